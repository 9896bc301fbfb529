//! Ownership of keys: which upstream of a sharded pool owns which keys, and how keys change owners.
//!
//! One host at a time is the grantor. To change the owner of keys,
//!
//! 1. the grantor assigns the keys to an upstream under a fence (a fencing token) that is higher than all
//!    earlier ones,
//! 2. it saves the assignment in the store,
//! 3. it grants the keys to the upstream as a lease, once no earlier owner can hold them.
//!
//! Every host reads the saved assignments and routes requests by them.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::catalog::Announcement;
use crate::types::{HostName, PoolName, UpstreamName};

mod admission;
mod grantor;
mod plan;
mod rates;
mod succession;

#[cfg(test)]
mod tests;

pub(crate) use admission::{Admissions, WatchedOwner};
pub(crate) use grantor::{Action, GrantOutcome, Grantor, LeaseTiming, ReleaseOutcome};
pub(crate) use plan::{Candidate, Move, measure_owners, plan_balance, plan_orphans};
pub(crate) use rates::{KeyCounts, KeyRates};
#[cfg(test)]
pub(crate) use succession::STORE_OUTAGE_LIMIT;
pub(crate) use succession::{
    Confirmations, HostIncarnation, Inquiry, Knowledge, Predecessor, Predecessors, choose_witnesses, epoch_of, era_of,
    fence_floor,
};

/// Number of keys; they range from 0 to 65535.
pub(crate) const KEYS: usize = 1 << 16;

/// An inclusive range of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct KeyRange {
    pub(crate) first: u16,
    pub(crate) last: u16,
}

impl KeyRange {
    pub(crate) const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Returns the keys that both ranges contain.
    pub(crate) fn overlap(self, other: Self) -> Option<Self> {
        let first = self.first.max(other.first);
        let last = self.last.min(other.last);
        (first <= last).then_some(Self { first, last })
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

/// One process of an upstream; a later process of the same name starts without keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Holder {
    pub(crate) upstream: UpstreamName,
    /// Start of the process in Unix milliseconds.
    pub(crate) incarnation: u64,
}

impl Holder {
    pub(crate) fn of(announcement: &Announcement) -> Self {
        Self {
            upstream: announcement.upstream.clone(),
            incarnation: announcement.incarnation,
        }
    }
}

/// A range of keys with one owner and one fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Assignment {
    pub(crate) range: KeyRange,
    /// Fencing token: unique to this assignment and higher than that of any earlier assignment.
    pub(crate) fence: u64,
    pub(crate) owner: Option<Holder>,
    /// Whether the owner has accepted the grant, so that requests may be sent to it.
    pub(crate) ready: bool,
    /// Earlier owners whose leases may still be in force.
    pub(crate) previous: BTreeSet<Holder>,
}

/// All key assignments of a pool, as saved in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyTable {
    pub(crate) pool: PoolName,
    /// Host that saved this table.
    pub(crate) grantor: HostName,
    /// The grantor's epoch, from the store.
    pub(crate) epoch: u64,
    /// Number of this save within the epoch.
    pub(crate) revision: u64,
    /// Highest fence assigned so far.
    pub(crate) last_fence: u64,
    /// Ordered by key, without gaps.
    pub(crate) assignments: Vec<Assignment>,
    /// Hosts that confirm the grantor while the store doesn't.
    #[serde(default)]
    pub(crate) witnesses: BTreeSet<HostIncarnation>,
    /// Earlier grantors that may still send grants.
    #[serde(default)]
    pub(crate) predecessors: Vec<Predecessor>,
}

/// Changes between two saves of a table within one epoch.
///
/// It omits the witnesses and predecessors: only the next grantor needs them, and it reads the whole table from the
/// store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TableDelta {
    pub(crate) pool: PoolName,
    pub(crate) epoch: u64,
    /// Revision to which the delta applies.
    pub(crate) base: u64,
    pub(crate) revision: u64,
    last_fence: u64,
    assignments: Vec<Assignment>,
}

impl KeyTable {
    /// Creates a table in which no key has an owner.
    pub(crate) fn new(pool: PoolName, grantor: HostName, epoch: u64) -> Self {
        Self {
            pool,
            grantor,
            epoch,
            revision: 0,
            last_fence: 1,
            assignments: vec![Assignment {
                range: KeyRange::ALL,
                fence: 1,
                owner: None,
                ready: false,
                previous: BTreeSet::new(),
            }],
            witnesses: BTreeSet::new(),
            predecessors: Vec::new(),
        }
    }

    /// Returns the grantors that may still send grants according to this table: the one that saved it and its
    /// predecessors.
    pub(crate) fn grantors(&self) -> impl Iterator<Item = Predecessor> {
        let writer = Predecessor {
            host: self.grantor.clone(),
            epoch: self.epoch,
            witnesses: self.witnesses.clone(),
        };
        self.predecessors.iter().cloned().chain([writer])
    }

    /// Returns the assignment that contains a key.
    ///
    /// # Panics
    ///
    /// Panics if no assignment contains the key or a higher one. This can't happen with tables that this module
    /// creates or that [`KeyTable::is_complete`] accepts.
    pub(crate) fn find(&self, key: u16) -> &Assignment {
        let index = self
            .assignments
            .partition_point(|assignment| assignment.range.last < key);
        &self.assignments[index]
    }

    /// Reports whether each key is in exactly one assignment; a table from another writer may be damaged.
    pub(crate) fn is_complete(&self) -> bool {
        let mut next = 0_u32;
        for assignment in &self.assignments {
            if u32::from(assignment.range.first) != next || assignment.range.last < assignment.range.first {
                return false;
            }
            next = u32::from(assignment.range.last) + 1;
        }
        next == u32::from(u16::MAX) + 1
    }

    /// Reports whether this table was saved after another one.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.epoch, self.revision) > (other.epoch, other.revision)
    }

    /// Returns the changes since an earlier save.
    pub(crate) fn delta_since(&self, old: &Self) -> TableDelta {
        let is_changed = |assignment: &&Assignment| !old.assignments.contains(assignment);
        TableDelta {
            pool: self.pool.clone(),
            epoch: self.epoch,
            base: old.revision,
            revision: self.revision,
            last_fence: self.last_fence,
            assignments: self.assignments.iter().filter(is_changed).cloned().collect(),
        }
    }

    /// Returns the table after a delta, or `None` if the delta applies to another save or the result is incomplete.
    pub(crate) fn apply_delta(&self, delta: &TableDelta) -> Option<Self> {
        if (self.epoch, self.revision) != (delta.epoch, delta.base) {
            return None;
        }
        let is_unchanged = |assignment: &&Assignment| {
            delta
                .assignments
                .iter()
                .all(|new| new.range.overlap(assignment.range).is_none())
        };
        let mut assignments: Vec<Assignment> = self.assignments.iter().filter(is_unchanged).cloned().collect();
        assignments.extend(delta.assignments.iter().cloned());
        assignments.sort_by_key(|assignment| assignment.range);
        let table = Self {
            revision: delta.revision,
            last_fence: delta.last_fence,
            assignments,
            ..self.clone()
        };
        table.is_complete().then_some(table)
    }

    fn next_fence(&mut self) -> u64 {
        self.last_fence += 1;
        self.last_fence
    }

    /// Assigns keys to an owner under new fences. The owners that it replaces are added to `previous`.
    pub(crate) fn assign(&mut self, range: KeyRange, owner: Option<&Holder>) {
        let mut assignments = Vec::with_capacity(self.assignments.len() + 2);
        for assignment in std::mem::take(&mut self.assignments) {
            let Some(moved) = assignment.range.overlap(range) else {
                assignments.push(assignment);
                continue;
            };
            if assignment.range.first < moved.first {
                let before = KeyRange {
                    first: assignment.range.first,
                    last: moved.first - 1,
                };
                assignments.push(self.split_remainder(&assignment, before));
            }
            let mut previous = assignment.previous.clone();
            previous.extend(assignment.owner.clone());
            let fence = self.next_fence();
            assignments.push(Assignment {
                range: moved,
                fence,
                owner: owner.cloned(),
                ready: false,
                previous,
            });
            if moved.last < assignment.range.last {
                let after = KeyRange {
                    first: moved.last + 1,
                    last: assignment.range.last,
                };
                assignments.push(self.split_remainder(&assignment, after));
            }
        }
        self.assignments = assignments;
    }

    /// Returns the remaining range of a split assignment, with the same owner and a new fence.
    fn split_remainder(&mut self, assignment: &Assignment, range: KeyRange) -> Assignment {
        Assignment {
            range,
            fence: self.next_fence(),
            ..assignment.clone()
        }
    }

    /// Merges adjacent ready assignments of the same owner, which keeps the table small and the renewals few.
    pub(crate) fn merge(&mut self) {
        let mut assignments: Vec<Assignment> = Vec::with_capacity(self.assignments.len());
        for assignment in std::mem::take(&mut self.assignments) {
            let can_merge = |last: &&mut Assignment| last.ready && assignment.ready && last.owner == assignment.owner;
            if let Some(last) = assignments.last_mut().filter(can_merge) {
                last.range.last = assignment.range.last;
                // Marks the merged assignment for a new fence.
                last.fence = 0;
            } else {
                assignments.push(assignment);
            }
        }
        self.assignments = assignments;
        for index in 0..self.assignments.len() {
            if self.assignments[index].fence == 0 {
                self.assignments[index].fence = self.next_fence();
            }
        }
    }

    /// Replaces the fence of an assignment by a new, higher one, for example after the connection to its owner broke.
    pub(crate) fn replace_fence(&mut self, fence: u64) {
        let new = self.last_fence + 1;
        if let Some(assignment) = self.assignments.iter_mut().find(|assignment| assignment.fence == fence) {
            assignment.fence = new;
            self.last_fence = new;
        }
    }
}
