//! The deterministic state machine that every host runs over the log's records.
//!
//! [`State::apply`] depends on nothing but the state, the offset and the record: no clock, no
//! settings. Two hosts that folded up to the same offset have the same state.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::records::{Envelope, Record, ServiceTarget};
use crate::tables::Tables;
use crate::types::{HostName, Incarnation, Offset, PoolName, Zone, value};

mod ranges;

#[cfg(test)]
mod tests;

pub(crate) use ranges::{RangeError, RangeInfo, RangeTable};

value! {
    /// All that the hosts agree on.
    #[derive(Default)]
    pub(crate) struct State {
        /// Offset of the last folded record.
        pub(crate) folded: Offset,
        pub(crate) tables: Tables,
        pub(crate) tables_version: Version,
        pub(crate) service: Service,
        pub(crate) membership: Membership,
        pub(crate) leader: Leader,
        pub(crate) ranges: BTreeMap<PoolName, RangeTable>,
    }

    /// The offset that set a versioned part of the state, and who wrote it.
    #[derive(Default)]
    pub(crate) struct Version {
        pub(crate) offset: Offset,
        pub(crate) author: String,
    }

    /// What operators have taken out of service.
    #[derive(Default)]
    pub(crate) struct Service {
        pub(crate) version: Version,
        pub(crate) out: BTreeSet<ServiceTarget>,
    }

    /// The entry hosts that vouch for one another.
    #[derive(Default)]
    pub(crate) struct Membership {
        pub(crate) version: Version,
        pub(crate) members: BTreeMap<HostName, Member>,
        /// The last change can no longer be missed by a majority, so another may follow.
        pub(crate) settled: bool,
    }

    /// An entry host in the membership.
    pub(crate) struct Member {
        pub(crate) incarnation: Incarnation,
        pub(crate) zone: Zone,
        pub(crate) address: SocketAddr,
    }

    /// The holder of the newest term.
    #[derive(Default)]
    pub(crate) struct Leader {
        /// Offset of the claim; 0 before the first.
        pub(crate) term: Offset,
        pub(crate) host: Option<HostName>,
        pub(crate) incarnation: Incarnation,
    }

    /// A part of a snapshot.
    pub(crate) struct SnapshotChunk {
        /// The state without ranges, in the first part only.
        pub(crate) state: Option<State>,
        pub(crate) ranges: BTreeMap<PoolName, RangeTable>,
    }
}

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The record changed the state.
    Applied,
    /// The record builds on a version that is no longer current.
    Conflict { current: Offset, author: String },
    /// The record was written under a term that has ended.
    StaleTerm { current: Offset },
    /// An earlier membership change is not settled yet.
    Unsettled { change: Offset },
    /// The record contradicts the state in another way.
    Rejected(Rejection),
}

/// Why a record contradicts the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// A `Publish` whose route names a pool that is not there.
    DanglingPool,
    /// A record that names a host or incarnation that is no member.
    NotMember,
    /// A `Settle` for a change that is not the last one.
    NotLastChange,
    /// A `Freeze` or `Assign` whose ranges don't fit the table.
    Ranges(RangeError),
    /// A record below the folded offset.
    AlreadyFolded,
}

impl State {
    /// Folds one record.
    ///
    /// A record that doesn't apply changes nothing but the folded offset.
    pub(crate) fn apply(&mut self, offset: Offset, envelope: &Envelope) -> Outcome {
        if offset <= self.folded {
            return Outcome::Rejected(Rejection::AlreadyFolded);
        }
        self.folded = offset;
        let result = self.apply_body(offset, envelope);
        result.err().unwrap_or(Outcome::Applied)
    }

    /// Passes over a record that can't be decoded.
    pub(crate) fn skip(&mut self, offset: Offset) {
        self.folded = self.folded.max(offset);
    }

    fn apply_body(&mut self, offset: Offset, envelope: &Envelope) -> Result<(), Outcome> {
        let version = || Version {
            offset,
            author: envelope.author.clone(),
        };
        match &envelope.body {
            Record::Publish { base, tables } => {
                check_base(&self.tables_version, *base)?;
                check_pools(tables)?;
                self.tables = tables.clone();
                self.tables_version = version();
                for (name, _) in tables.pools.iter().filter(|(_, pool)| pool.is_keyed()) {
                    self.ranges.entry(name.clone()).or_default();
                }
            }
            Record::SetService {
                base,
                target,
                in_service,
            } => {
                check_base(&self.service.version, *base)?;
                if *in_service {
                    self.service.out.remove(target);
                } else {
                    self.service.out.insert(target.clone());
                }
                self.service.version = version();
            }
            Record::Join {
                base,
                host,
                incarnation,
                zone,
                address,
            } => {
                self.check_membership(*base)?;
                let member = Member {
                    incarnation: *incarnation,
                    zone: zone.clone(),
                    address: *address,
                };
                // A restarted host is first evicted: replacing it in one step would let two
                // majorities miss each other.
                if self.membership.members.contains_key(host) {
                    return Err(conflict(&self.membership.version));
                }
                self.membership.settled = self.membership.members.is_empty();
                self.membership.members.insert(host.clone(), member);
                self.membership.version = version();
            }
            Record::Evict {
                base,
                term,
                host,
                incarnation,
            } => {
                self.check_term(*term)?;
                self.check_membership(*base)?;
                self.check_member(host, *incarnation)?;
                self.membership.members.remove(host);
                self.membership.settled = self.membership.members.is_empty();
                self.membership.version = version();
            }
            Record::Settle { term, change } => {
                self.check_term(*term)?;
                if *change != self.membership.version.offset {
                    return Err(Outcome::Rejected(Rejection::NotLastChange));
                }
                self.membership.settled = true;
            }
            Record::Claim {
                base,
                host,
                incarnation,
            } => {
                if *base != self.leader.term {
                    return Err(Outcome::StaleTerm {
                        current: self.leader.term,
                    });
                }
                self.check_member(host, *incarnation)?;
                self.leader = Leader {
                    term: offset,
                    host: Some(host.clone()),
                    incarnation: *incarnation,
                };
            }
            Record::Freeze { term, pool, ranges } => {
                self.check_term(*term)?;
                self.range_table(pool)?
                    .freeze_ranges(offset, ranges)
                    .map_err(reject_ranges)?;
            }
            Record::Assign { term, pool, ranges } => {
                self.check_term(*term)?;
                self.range_table(pool)?
                    .assign_ranges(offset, ranges)
                    .map_err(reject_ranges)?;
            }
            Record::Snapshot { .. } => {}
        }
        Ok(())
    }

    fn check_term(&self, term: Offset) -> Result<(), Outcome> {
        if term == self.leader.term && term != Offset(0) {
            Ok(())
        } else {
            Err(Outcome::StaleTerm {
                current: self.leader.term,
            })
        }
    }

    fn check_membership(&self, base: Offset) -> Result<(), Outcome> {
        check_base(&self.membership.version, base)?;
        if self.membership.settled || self.membership.members.is_empty() {
            Ok(())
        } else {
            Err(Outcome::Unsettled {
                change: self.membership.version.offset,
            })
        }
    }

    fn check_member(&self, host: &HostName, incarnation: Incarnation) -> Result<(), Outcome> {
        match self.membership.members.get(host) {
            Some(member) if member.incarnation == incarnation => Ok(()),
            _ => Err(Outcome::Rejected(Rejection::NotMember)),
        }
    }

    fn range_table(&mut self, pool: &PoolName) -> Result<&mut RangeTable, Outcome> {
        let missing = Outcome::Rejected(Rejection::Ranges(RangeError::UnknownPool));
        self.ranges.get_mut(pool).ok_or(missing)
    }

    /// Tells whether new work may go to a host in a zone.
    pub(crate) fn in_service(&self, host: &HostName, zone: &Zone) -> bool {
        self.service.admits(host, zone)
    }
}

impl Service {
    /// Tells whether neither a host nor its zone is out of service.
    pub(crate) fn admits(&self, host: &HostName, zone: &Zone) -> bool {
        let out = |target| self.out.contains(&target);
        !out(ServiceTarget::Host(host.clone())) && !out(ServiceTarget::Zone(zone.clone()))
    }
}

fn check_base(version: &Version, base: Offset) -> Result<(), Outcome> {
    if version.offset == base {
        Ok(())
    } else {
        Err(conflict(version))
    }
}

fn conflict(version: &Version) -> Outcome {
    Outcome::Conflict {
        current: version.offset,
        author: version.author.clone(),
    }
}

fn check_pools(tables: &Tables) -> Result<(), Outcome> {
    if tables.routes.iter().all(|route| tables.pools.contains_key(&route.pool)) {
        Ok(())
    } else {
        Err(Outcome::Rejected(Rejection::DanglingPool))
    }
}

fn reject_ranges(error: RangeError) -> Outcome {
    Outcome::Rejected(Rejection::Ranges(error))
}
