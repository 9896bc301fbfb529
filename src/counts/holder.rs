//! A peer's copy of the counters of other instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use tokio::time::Instant;

use super::fold::{EndedBy, Ending};
use super::sheet::{Progress, Sheet};
use super::{Batch, CountsBody, Instance, Period};
use crate::fold::Membership;
use crate::once::instances;
use crate::types::value;

/// Silence after which a copy no longer counts as an instance's last counters. An instance sends
/// to its holders at least once a second; one that has chosen other holders falls silent.
const FRESH: Duration = Duration::from_secs(15);

value! {
    /// A holder's answer to a batch.
    #[derive(Copy, Eq)]
    pub(crate) struct HoldAnswer {
        /// The holder has all changes up to here.
        pub(crate) through: u64,
        /// The batch followed what the holder has; if not, changes after `through` are missing.
        pub(crate) accepted: bool,
    }
}

#[derive(Debug)]
struct Held {
    sheet: Sheet,
    progress: Progress,
    holders: BTreeSet<Instance>,
    heard: Instant,
    /// Whether the copy was fresh when the instance left the membership.
    evicted: Option<bool>,
}

/// Copies of the counters of other instances.
#[derive(Debug)]
pub(crate) struct Holder {
    me: Instance,
    members: BTreeSet<Instance>,
    held: BTreeMap<Instance, Held>,
}

impl Holder {
    /// Makes the empty holder of a process that has just started.
    pub(crate) fn new(me: Instance) -> Self {
        Self {
            me,
            members: BTreeSet::new(),
            held: BTreeMap::new(),
        }
    }

    /// Keeps the changes of an instance. Changes of an instance that is no member are refused,
    /// because its last counters may be written already.
    pub(crate) fn hold(&mut self, batch: &Batch, now: Instant) -> HoldAnswer {
        if !self.members.contains(&batch.instance) {
            return HoldAnswer {
                through: 0,
                accepted: false,
            };
        }
        let held = self.held.entry(batch.instance.clone()).or_insert_with(|| Held {
            sheet: Sheet::default(),
            progress: Progress::default(),
            holders: BTreeSet::new(),
            heard: now,
            evicted: None,
        });
        held.heard = now;
        held.sheet.raise(&batch.entries);
        if batch.through >= held.progress.through {
            held.holders.clone_from(&batch.holders);
        }
        let accepted = batch.after <= held.progress.through;
        held.progress.note_batch(batch);
        HoldAnswer {
            through: held.progress.through,
            accepted,
        }
    }

    /// Takes over a folded membership; the counters of instances that left it become due.
    pub(crate) fn set_members(&mut self, membership: &Membership, now: Instant) {
        self.members = instances(membership).collect();
        for (instance, held) in &mut self.held {
            if !self.members.contains(instance) {
                held.evicted.get_or_insert(held.heard + FRESH > now);
            }
        }
    }

    /// Drops copies that are no longer renewed by instances that are still members.
    pub(crate) fn drop_stale(&mut self, now: Instant) {
        self.held
            .retain(|_, h| h.evicted.is_some() || h.heard + 2 * FRESH > now);
    }

    /// Drops the rows of closed periods, except of instances whose last records are being written.
    pub(crate) fn drop_periods(&mut self, closed: Period) {
        for held in self.held.values_mut().filter(|h| h.evicted.is_none()) {
            held.sheet.drop_periods(closed);
        }
    }

    /// Returns the last records of instances that left the membership.
    ///
    /// Several holders may write them: the fold takes the highest values and counts the requests
    /// that were open as `may_have_run`. A stale copy is written without an ending.
    pub(crate) fn endings(&self, wall: SystemTime) -> Vec<(Instance, Vec<CountsBody>)> {
        let period = Period::of(wall);
        let due = self.held.iter().filter_map(|(i, h)| Some((i, h, h.evicted?)));
        due.map(|(instance, held, fresh)| {
            let ending = fresh.then(|| Ending {
                by: EndedBy::Holder,
                period,
                through: held.progress.through,
                written: BTreeSet::from([self.me.clone()]),
                holders: held.holders.clone(),
            });
            let batches = held.sheet.batches(instance, 0, held.progress.through);
            let body = |batch| CountsBody::Counts {
                batch,
                complete: None,
                ending: ending.clone(),
            };
            (instance.clone(), batches.into_iter().map(body).collect())
        })
        .collect()
    }

    /// Forgets an instance whose last records have all been appended.
    pub(crate) fn forget(&mut self, instance: &Instance) {
        self.held.remove(instance);
    }
}
