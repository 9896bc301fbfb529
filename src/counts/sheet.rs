//! Counter rows of one instance, and the batches that carry their changes.

use std::collections::{BTreeMap, BTreeSet};

use super::{CountKey, Counters, Instance, Period};
use crate::types::value;

/// Rows in a batch, so that its record stays below the size limit of the log.
const BATCH_ROWS: usize = 1000;

value! {
    /// Changed rows of an instance.
    ///
    /// The rows may be used in any case. Only a reader that has everything up to `after` has
    /// everything up to `through` once it has all parts.
    pub(crate) struct Batch {
        pub(crate) instance: Instance,
        pub(crate) after: u64,
        pub(crate) through: u64,
        pub(crate) part: u32,
        pub(crate) parts: u32,
        pub(crate) entries: Vec<Entry>,
        /// The holders that the instance uses now; empty in the log.
        pub(crate) holders: BTreeSet<Instance>,
    }

    /// How much of an instance's changes a reader has.
    #[derive(Default)]
    pub(crate) struct Progress {
        pub(super) through: u64,
        after: u64,
        pending: u64,
        parts: BTreeSet<u32>,
    }

    /// A counter row.
    pub(crate) struct Entry {
        pub(crate) key: CountKey,
        pub(crate) counters: Counters,
        /// Sequence number of the row's last change.
        pub(crate) changed: u64,
    }
}

impl Progress {
    /// Notes a batch; returns whether the reader has everything up to the end of the batch.
    pub(super) fn note_batch(&mut self, batch: &Batch) -> bool {
        if batch.after <= self.through && batch.through > self.through {
            if (self.after, self.pending) != (batch.after, batch.through) {
                (self.after, self.pending) = (batch.after, batch.through);
                self.parts.clear();
            }
            self.parts.insert(batch.part);
            if self.parts.len() == batch.parts as usize {
                self.through = batch.through;
                self.parts.clear();
            }
        }
        batch.through <= self.through
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Row {
    pub(super) counters: Counters,
    changed: u64,
}

/// The rows of an instance, found by key or by their last change.
#[derive(Clone, Debug, Default)]
pub(super) struct Sheet {
    pub(super) rows: BTreeMap<CountKey, Row>,
    by_change: BTreeSet<(u64, CountKey)>,
}

impl Sheet {
    /// Changes a row under a sequence number.
    pub(super) fn change(&mut self, key: &CountKey, sequence: u64, change: impl FnOnce(&mut Counters)) {
        let row = self.rows.entry(key.clone()).or_default();
        change(&mut row.counters);
        if row.changed < sequence {
            self.by_change.remove(&(row.changed, key.clone()));
            self.by_change.insert((sequence, key.clone()));
            row.changed = sequence;
        }
    }

    /// Takes over the rows of a batch.
    pub(super) fn raise(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.change(&entry.key, entry.changed, |c| c.raise(&entry.counters));
        }
    }

    /// Tells whether a row changed after a sequence number.
    pub(super) fn has_changes(&self, after: u64) -> bool {
        self.by_change.last().is_some_and(|(at, _)| *at > after)
    }

    /// Returns the rows changed after a sequence number, as the parts of one batch.
    pub(super) fn batches(&self, instance: &Instance, after: u64, through: u64) -> Vec<Batch> {
        let changes = self.by_change.iter().rev().take_while(|(at, _)| *at > after);
        let entries: Vec<_> = changes
            .map(|(at, key)| Entry {
                key: key.clone(),
                counters: self.rows[key].counters,
                changed: *at,
            })
            .collect();
        let mut chunks: Vec<_> = entries.chunks(BATCH_ROWS).map(<[Entry]>::to_vec).collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        let numbered = (0..parts).zip(chunks);
        numbered
            .map(|(part, entries)| Batch {
                instance: instance.clone(),
                after,
                through,
                part,
                parts,
                entries,
                holders: BTreeSet::new(),
            })
            .collect()
    }

    /// Drops the rows of periods up to one.
    pub(super) fn drop_periods(&mut self, through: Period) {
        self.rows.retain(|key, _| key.period > through);
        self.by_change.retain(|(_, key)| key.period > through);
    }
}
