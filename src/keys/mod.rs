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

pub(crate) use grantor::{Action, GrantOutcome, Grantor, Hold, ReleaseOutcome};
pub(crate) use plan::{Candidate, Move, plan_balance, plan_orphans};
pub(crate) use rates::{KeyCounts, KeyRates};
pub(crate) use succession::{Former, HostRun, Succession, Support, choose_witnesses};

/// Number of keys, which are 0 to 65535.
pub(crate) const KEYS: usize = 1 << 16;

/// Keys from a first to a last one, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Span {
    pub(crate) first: u16,
    pub(crate) last: u16,
}

impl Span {
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

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

/// One run of an upstream; a later run under the same name holds nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Holder {
    pub(crate) upstream: UpstreamName,
    /// Start of the run in Unix milliseconds.
    pub(crate) born: u64,
}

impl Holder {
    pub(crate) fn of(said: &Announcement) -> Self {
        Self {
            upstream: said.upstream.clone(),
            born: said.born,
        }
    }
}

/// Keys with one assignment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part {
    pub(crate) span: Span,
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
    pub(crate) parts: Vec<Part>,
    /// Hosts that confirm the grantor while the store doesn't.
    #[serde(default)]
    pub(crate) witnesses: BTreeSet<HostRun>,
    /// Earlier grantors that may still give grants.
    #[serde(default)]
    pub(crate) formers: Vec<Former>,
}

/// What changed from one save of a table to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TableChange {
    pub(crate) pool: PoolName,
    pub(crate) epoch: u64,
    /// Revision on which the change builds.
    pub(crate) base: u64,
    pub(crate) revision: u64,
    last_fence: u64,
    parts: Vec<Part>,
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
            parts: vec![Part {
                span: Span::ALL,
                fence: 1,
                owner: None,
                ready: false,
                previous: BTreeSet::new(),
            }],
            witnesses: BTreeSet::new(),
            formers: Vec::new(),
        }
    }

    /// Gives all grantors that may still give grants by this table, as far as the table tells.
    pub(crate) fn grantors(&self) -> impl Iterator<Item = Former> {
        let last = Former {
            host: self.grantor.clone(),
            epoch: self.epoch,
            witnesses: self.witnesses.clone(),
        };
        self.formers.iter().cloned().chain([last])
    }

    /// Finds the part with a key.
    ///
    /// # Panics
    ///
    /// Never for tables that this module made or that [`KeyTable::is_whole`] accepts.
    pub(crate) fn find(&self, key: u16) -> &Part {
        let at = self.parts.partition_point(|part| part.span.last < key);
        &self.parts[at]
    }

    /// Tells whether each key is in one part; a table of another writer may be damaged.
    pub(crate) fn is_whole(&self) -> bool {
        let mut next = 0_u32;
        for part in &self.parts {
            if u32::from(part.span.first) != next || part.span.last < part.span.first {
                return false;
            }
            next = u32::from(part.span.last) + 1;
        }
        next == u32::from(u16::MAX) + 1
    }

    /// Tells whether this is a later save than another one.
    pub(crate) fn is_after(&self, other: &Self) -> bool {
        (self.epoch, self.revision) > (other.epoch, other.revision)
    }

    /// Gives what changed since an earlier save.
    pub(crate) fn changes_since(&self, old: &Self) -> TableChange {
        let known = |part: &&Part| !old.parts.contains(part);
        TableChange {
            pool: self.pool.clone(),
            epoch: self.epoch,
            base: old.revision,
            revision: self.revision,
            last_fence: self.last_fence,
            parts: self.parts.iter().filter(known).cloned().collect(),
        }
    }

    /// Gives the table after a change; nothing if the change builds on another table.
    pub(crate) fn with_change(&self, change: &TableChange) -> Option<Self> {
        if (self.epoch, self.revision) != (change.epoch, change.base) {
            return None;
        }
        let is_kept = |part: &&Part| change.parts.iter().all(|new| new.span.overlap(part.span).is_none());
        let mut parts: Vec<Part> = self.parts.iter().filter(is_kept).cloned().collect();
        parts.extend(change.parts.iter().cloned());
        parts.sort_by_key(|part| part.span);
        let table = Self {
            revision: change.revision,
            last_fence: change.last_fence,
            parts,
            ..self.clone()
        };
        table.is_whole().then_some(table)
    }

    fn draw_fence(&mut self) -> u64 {
        self.last_fence += 1;
        self.last_fence
    }

    /// Assigns keys to an owner under new fences; the earlier owners become previous ones.
    pub(crate) fn assign(&mut self, span: Span, owner: Option<&Holder>) {
        let mut parts = Vec::with_capacity(self.parts.len() + 2);
        for part in std::mem::take(&mut self.parts) {
            let Some(moved) = part.span.overlap(span) else {
                parts.push(part);
                continue;
            };
            if part.span.first < moved.first {
                let before = Span {
                    first: part.span.first,
                    last: moved.first - 1,
                };
                parts.push(self.keep_rest(&part, before));
            }
            let mut previous = part.previous.clone();
            previous.extend(part.owner.clone());
            let fence = self.draw_fence();
            parts.push(Part {
                span: moved,
                fence,
                owner: owner.cloned(),
                ready: false,
                previous,
            });
            if moved.last < part.span.last {
                let after = Span {
                    first: moved.last + 1,
                    last: part.span.last,
                };
                parts.push(self.keep_rest(&part, after));
            }
        }
        self.parts = parts;
    }

    /// Keeps the rest of a split part with its owner, under a fence of its own.
    fn keep_rest(&mut self, part: &Part, span: Span) -> Part {
        Part {
            span,
            fence: self.draw_fence(),
            ..part.clone()
        }
    }

    /// Joins neighbouring parts of one owner, which keeps the table and the renewals few.
    pub(crate) fn merge(&mut self) {
        let mut parts: Vec<Part> = Vec::with_capacity(self.parts.len());
        for part in std::mem::take(&mut self.parts) {
            let fits = |last: &&mut Part| last.ready && part.ready && last.owner == part.owner;
            if let Some(last) = parts.last_mut().filter(fits) {
                last.span.last = part.span.last;
                last.fence = 0;
            } else {
                parts.push(part);
            }
        }
        self.parts = parts;
        for at in 0..self.parts.len() {
            if self.parts[at].fence == 0 {
                self.parts[at].fence = self.draw_fence();
            }
        }
    }

    /// Gives a part a new fence, for an owner whose connection broke.
    pub(crate) fn renew_fence(&mut self, fence: u64) {
        let new = self.last_fence + 1;
        if let Some(part) = self.parts.iter_mut().find(|part| part.fence == fence) {
            part.fence = new;
            self.last_fence = new;
        }
    }
}
