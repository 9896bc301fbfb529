//! Which upstream of a sharded pool owns which keys, and how keys change owners.
//!
//! One host at a time is the grantor. It saves an assignment in the store before it gives it to an
//! upstream, under a fence that is above all fences given before. Every host reads the saved
//! assignments and routes by them.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::catalog::Announcement;
use crate::types::{HostName, PoolName, UpstreamName};

mod grantor;
mod plan;
mod rates;
mod succession;

#[cfg(test)]
mod tests;

pub(crate) use grantor::{Action, GrantOutcome, Grantor, LeaseTiming, ReleaseOutcome};
pub(crate) use plan::{Candidate, Move, plan_balance, plan_orphans};
pub(crate) use rates::{KeyCounts, KeyRates};
pub(crate) use succession::{Confirmations, HostIncarnation, Predecessor, Predecessors, choose_witnesses};

/// Number of keys, which are 0 to 65535.
pub(crate) const KEYS: usize = 1 << 16;

/// Keys from a first to a last one, both included.
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

    /// Gives the keys that are in both.
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

/// One run of an upstream; a later run under the same name holds nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Holder {
    pub(crate) upstream: UpstreamName,
    /// Start of the run in Unix milliseconds.
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

/// Keys with one assignment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Assignment {
    pub(crate) range: KeyRange,
    /// Unique to this assignment and above those of all earlier ones.
    pub(crate) fence: u64,
    pub(crate) owner: Option<Holder>,
    /// The owner has taken the grant, so requests may go there.
    pub(crate) ready: bool,
    /// Earlier owners that may still hold the keys.
    pub(crate) previous: BTreeSet<Holder>,
}

/// All assignments of a pool, as saved in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyTable {
    pub(crate) pool: PoolName,
    /// Host that saved this table.
    pub(crate) grantor: HostName,
    /// The grantor's epoch, from the store.
    pub(crate) epoch: u64,
    /// Number of the save within the epoch.
    pub(crate) revision: u64,
    pub(crate) last_fence: u64,
    /// Ordered by key, without gaps.
    pub(crate) assignments: Vec<Assignment>,
    /// Hosts that confirm the grantor while the store doesn't.
    #[serde(default)]
    pub(crate) witnesses: BTreeSet<HostIncarnation>,
    /// Earlier grantors that may still give grants.
    #[serde(default)]
    pub(crate) predecessors: Vec<Predecessor>,
}

/// What changed from one save of a table to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TableDelta {
    pub(crate) pool: PoolName,
    pub(crate) epoch: u64,
    /// Revision on which the change builds.
    pub(crate) base: u64,
    pub(crate) revision: u64,
    last_fence: u64,
    assignments: Vec<Assignment>,
}

impl KeyTable {
    /// Makes a table in which no key has an owner.
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

    /// Gives all grantors that may still give grants by this table, as far as the table tells.
    pub(crate) fn grantors(&self) -> impl Iterator<Item = Predecessor> {
        let last = Predecessor {
            host: self.grantor.clone(),
            epoch: self.epoch,
            witnesses: self.witnesses.clone(),
        };
        self.predecessors.iter().cloned().chain([last])
    }

    /// Finds the assignment with a key.
    ///
    /// # Panics
    ///
    /// Never for tables that this module made or that [`KeyTable::is_complete`] accepts.
    pub(crate) fn find(&self, key: u16) -> &Assignment {
        let at = self
            .assignments
            .partition_point(|assignment| assignment.range.last < key);
        &self.assignments[at]
    }

    /// Tells whether each key is in one assignment; a table of another writer may be damaged.
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

    /// Tells whether this is a later save than another one.
    pub(crate) fn is_newer_than(&self, other: &Self) -> bool {
        (self.epoch, self.revision) > (other.epoch, other.revision)
    }

    /// Gives what changed since an earlier save.
    pub(crate) fn delta_since(&self, old: &Self) -> TableDelta {
        let known = |assignment: &&Assignment| !old.assignments.contains(assignment);
        TableDelta {
            pool: self.pool.clone(),
            epoch: self.epoch,
            base: old.revision,
            revision: self.revision,
            last_fence: self.last_fence,
            assignments: self.assignments.iter().filter(known).cloned().collect(),
        }
    }

    /// Gives the table after a change; nothing if the change builds on another table.
    pub(crate) fn apply_delta(&self, delta: &TableDelta) -> Option<Self> {
        if (self.epoch, self.revision) != (delta.epoch, delta.base) {
            return None;
        }
        let is_kept = |assignment: &&Assignment| {
            delta
                .assignments
                .iter()
                .all(|new| new.range.overlap(assignment.range).is_none())
        };
        let mut assignments: Vec<Assignment> = self.assignments.iter().filter(is_kept).cloned().collect();
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

    fn draw_fence(&mut self) -> u64 {
        self.last_fence += 1;
        self.last_fence
    }

    /// Assigns keys to an owner under new fences; the earlier owners become previous ones.
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
                assignments.push(self.keep_rest(&assignment, before));
            }
            let mut previous = assignment.previous.clone();
            previous.extend(assignment.owner.clone());
            let fence = self.draw_fence();
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
                assignments.push(self.keep_rest(&assignment, after));
            }
        }
        self.assignments = assignments;
    }

    /// Keeps the rest of a split assignment with its owner, under a fence of its own.
    fn keep_rest(&mut self, assignment: &Assignment, range: KeyRange) -> Assignment {
        Assignment {
            range,
            fence: self.draw_fence(),
            ..assignment.clone()
        }
    }

    /// Joins neighbouring assignments of one owner, which keeps the table and the renewals few.
    pub(crate) fn merge(&mut self) {
        let mut assignments: Vec<Assignment> = Vec::with_capacity(self.assignments.len());
        for assignment in std::mem::take(&mut self.assignments) {
            let fits = |last: &&mut Assignment| last.ready && assignment.ready && last.owner == assignment.owner;
            if let Some(last) = assignments.last_mut().filter(fits) {
                last.range.last = assignment.range.last;
                last.fence = 0;
            } else {
                assignments.push(assignment);
            }
        }
        self.assignments = assignments;
        for at in 0..self.assignments.len() {
            if self.assignments[at].fence == 0 {
                self.assignments[at].fence = self.draw_fence();
            }
        }
    }

    /// Gives an assignment a new fence, for an owner whose connection broke.
    pub(crate) fn renew_fence(&mut self, fence: u64) {
        let new = self.last_fence + 1;
        if let Some(assignment) = self.assignments.iter_mut().find(|assignment| assignment.fence == fence) {
            assignment.fence = new;
            self.last_fence = new;
        }
    }
}
