//! The deterministic state machine that every host runs over the log's records.
//!
//! [`State::apply`] depends on nothing but the state, the offset and the record: no clock, no
//! settings. Two hosts that folded up to the same offset have the same state.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

#[cfg(test)]
use crate::records::{BadRecord, decode_record};
use crate::records::{Envelope, Record, ServiceTarget};
use crate::tables::{Tables, UnknownTarget, check_service_target};
use crate::types::{HostName, Incarnation, Instance, Offset, PoolName, Zone, value};

mod owners;
mod ranges;
mod snapshot;

#[cfg(test)]
mod tests;

pub(crate) use ranges::{RangeError, RangeInfo, RangeTable};
use snapshot::SnapshotKey;
pub(crate) use snapshot::{SnapshotChunk, SnapshotProgress, SnapshotReader};

value! {
    /// All that the hosts agree on.
    #[derive(Default)]
    pub(crate) struct State {
        /// Offset of the last folded record.
        pub(crate) folded: Offset,
        pub(crate) tables: Arc<Tables>,
        pub(crate) tables_version: Version,
        pub(crate) service: Service,
        pub(crate) membership: Membership,
        pub(crate) leader: Leader,
        /// Ranges of the pools that are, or were, divided by key. A pool that is removed keeps its
        /// ranges, so that its keys have their owners when it is published again.
        pub(crate) ranges: BTreeMap<PoolName, RangeTable>,
        pub(crate) snapshot: SnapshotProgress,
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
        /// The host that began the membership; its registers need no copy from others.
        pub(crate) founder: Option<Instance>,
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
        /// The host that claimed the term; `None` before the first and after its eviction.
        pub(crate) host: Option<HostName>,
        pub(crate) incarnation: Incarnation,
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
    /// A `Join` of a host that is a member, perhaps with an earlier incarnation.
    AlreadyMember,
    /// A `Settle` for a change that is not the last one.
    NotLastChange,
    /// A `Freeze` or `Assign` whose ranges don't fit the table.
    Ranges(RangeError),
    /// A part of a snapshot with impossible numbers, or of an older snapshot.
    Snapshot,
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

    /// Folds the text of a record; one that can't be decoded is passed over.
    ///
    /// # Errors
    ///
    /// Tells why the text can't be decoded. The folded offset advances all the same, so that every
    /// host skips such a record alike.
    #[cfg(test)]
    pub(crate) fn apply_text(&mut self, offset: Offset, text: &str) -> Result<Outcome, BadRecord> {
        let decoded = decode_record(text);
        if decoded.is_err() {
            self.skip(offset);
        }
        decoded.map(|envelope| self.apply(offset, &envelope))
    }

    fn apply_body(&mut self, offset: Offset, envelope: &Envelope) -> Result<(), Outcome> {
        let version = || Version {
            offset,
            author: envelope.author.clone(),
        };
        match &envelope.body {
            Record::Publish { base, tables } => {
                check_base(&self.tables_version, *base)?;
                self.publish(offset, tables)?;
                self.tables_version = version();
            }
            Record::SetService {
                base,
                target,
                in_service,
            } => {
                check_base(&self.service.version, *base)?;
                self.service.set(target, *in_service);
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
                self.membership.join(host, Member::new(*incarnation, zone, *address))?;
                self.membership.version = version();
            }
            Record::Reform {
                base,
                host,
                incarnation,
                zone,
                address,
            } => {
                check_base(&self.membership.version, *base)?;
                self.membership.reform(host, Member::new(*incarnation, zone, *address));
                self.membership.version = version();
                self.leader.host = None;
            }
            Record::Evict {
                base,
                term,
                host,
                incarnation,
            } => {
                self.check_term(*term)?;
                self.check_membership(*base)?;
                self.evict(host, *incarnation)?;
                self.membership.version = version();
            }
            Record::Settle { term, change } => {
                self.check_term(*term)?;
                self.membership.settle(*change)?;
            }
            Record::Claim {
                base,
                host,
                incarnation,
            } => {
                self.claim(offset, *base, host, *incarnation)?;
            }
            Record::Freeze {
                base,
                term,
                pool,
                ranges,
            } => {
                self.check_leader(*term)?;
                let table = self.range_table(pool)?;
                table.freeze_ranges(offset, *base, ranges).map_err(reject_ranges)?;
            }
            Record::Assign { term, pool, ranges } => {
                self.check_leader(*term)?;
                let table = self.range_table(pool)?;
                table.assign_ranges(offset, ranges).map_err(reject_ranges)?;
            }
            Record::Snapshot {
                term,
                through,
                part,
                parts,
                ..
            } => {
                self.check_leader(*term)?;
                let key = SnapshotKey::check(offset, *term, *through, *part, *parts);
                self.note_part(key.ok_or(Outcome::Rejected(Rejection::Snapshot))?, *part)?;
            }
        }
        Ok(())
    }

    fn publish(&mut self, offset: Offset, tables: &Tables) -> Result<(), Outcome> {
        check_pools(tables)?;
        for (name, _) in tables.pools.iter().filter(|(_, pool)| pool.is_keyed()) {
            let was_shared = self.tables.pools.get(name).is_some_and(|pool| !pool.is_keyed());
            let table = self.ranges.entry(name.clone()).or_default();
            // Until now any upstream served any key, so the former owners may not simply go on.
            if was_shared {
                table.freeze_all(offset);
            }
        }
        self.tables = Arc::new(tables.clone());
        Ok(())
    }

    fn evict(&mut self, host: &HostName, incarnation: Incarnation) -> Result<(), Outcome> {
        self.check_member(host, incarnation)?;
        self.membership.members.remove(host);
        self.membership.settled = self.membership.members.is_empty();
        // The term stays, so that the next claim builds on it, but nobody moves ranges under it.
        if self.leader.host.as_ref() == Some(host) {
            self.leader.host = None;
        }
        Ok(())
    }

    fn claim(
        &mut self,
        offset: Offset,
        base: Offset,
        host: &HostName,
        incarnation: Incarnation,
    ) -> Result<(), Outcome> {
        if base != self.leader.term {
            return Err(self.stale_term());
        }
        self.check_member(host, incarnation)?;
        self.leader = Leader {
            term: offset,
            host: Some(host.clone()),
            incarnation,
        };
        Ok(())
    }

    /// Checks the term of a record that an operator may also write for a leader that is lost.
    fn check_term(&self, term: Offset) -> Result<(), Outcome> {
        if term == self.leader.term && term != Offset(0) {
            Ok(())
        } else {
            Err(self.stale_term())
        }
    }

    /// Checks the term of a record that only a leader within the membership may write.
    fn check_leader(&self, term: Offset) -> Result<(), Outcome> {
        self.check_term(term)?;
        match self.leader.host {
            Some(_) => Ok(()),
            None => Err(self.stale_term()),
        }
    }

    fn stale_term(&self) -> Outcome {
        Outcome::StaleTerm {
            current: self.leader.term,
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

    /// Checks that operators may take a target out of service or bring it back.
    ///
    /// Entry hosts and targets that are out of service already are accepted beside those of the
    /// tables.
    ///
    /// # Errors
    ///
    /// Fails if nothing is known of the target.
    pub(crate) fn check_service_target(&self, target: &ServiceTarget) -> Result<(), UnknownTarget> {
        let mut members = self.membership.members.iter();
        let member = members.any(|(host, member)| match target {
            ServiceTarget::Zone(zone) => member.zone == *zone,
            ServiceTarget::Host(name) => host == name,
        });
        if member || self.service.out.contains(target) {
            return Ok(());
        }
        check_service_target(&self.tables, target)
    }
}

impl Membership {
    fn join(&mut self, host: &HostName, member: Member) -> Result<(), Outcome> {
        // A restarted host is first evicted: replacing it in one step would let two majorities
        // miss each other.
        if self.members.contains_key(host) {
            return Err(Outcome::Rejected(Rejection::AlreadyMember));
        }
        let is_first = self.members.is_empty();
        if is_first {
            self.founder = Some(Instance {
                host: host.clone(),
                incarnation: member.incarnation,
            });
        }
        self.settled = is_first;
        self.members.insert(host.clone(), member);
        Ok(())
    }

    /// Replaces all members by one.
    fn reform(&mut self, host: &HostName, member: Member) {
        self.founder = Some(Instance {
            host: host.clone(),
            incarnation: member.incarnation,
        });
        self.members = BTreeMap::from([(host.clone(), member)]);
        self.settled = true;
    }

    fn settle(&mut self, change: Offset) -> Result<(), Outcome> {
        if change != self.version.offset {
            return Err(Outcome::Rejected(Rejection::NotLastChange));
        }
        self.settled = true;
        Ok(())
    }
}

impl Member {
    fn new(incarnation: Incarnation, zone: &Zone, address: SocketAddr) -> Self {
        Self {
            incarnation,
            zone: zone.clone(),
            address,
        }
    }
}

impl Service {
    fn set(&mut self, target: &ServiceTarget, in_service: bool) {
        if in_service {
            self.out.remove(target);
        } else {
            self.out.insert(target.clone());
        }
    }

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
