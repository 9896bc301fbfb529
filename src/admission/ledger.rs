//! Account of one instance at a broker.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::{Allowance, Holding};

/// What one instance may hold of one resource.
///
/// The broker's allowance and the instance's holding cross on the way, so the account keeps each
/// allowance until the instance has confirmed it or a newer one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    present: Allowance,
    reported: Holding,
    unconfirmed: BTreeMap<u64, u32>,
}

impl Line {
    /// Most units that the instance may use or hold at this moment.
    pub(crate) fn bound(&self) -> u32 {
        let issued = self.unconfirmed.values().copied().max().unwrap_or_default();
        self.reported.held.max(issued) + self.reported.overdue
    }

    pub(crate) fn allowance(&self) -> Allowance {
        self.present
    }

    pub(crate) fn count(&self) -> u32 {
        self.present.count
    }

    /// Units that were allowed and that the instance doesn't know of yet.
    pub(crate) fn unseen(&self) -> u32 {
        self.present.count.saturating_sub(self.reported.held)
    }

    /// Units that the instance still holds above its allowance.
    pub(crate) fn returning(&self) -> u32 {
        self.bound() - self.present.count.min(self.bound())
    }

    /// Takes over a holding reported by the instance.
    pub(crate) fn hear(&mut self, holding: Holding) {
        self.reported = holding;
        self.unconfirmed.retain(|version, _| *version > holding.version);
        if holding.version >= self.present.version {
            // What the instance gave back needs a new allowance to be used again.
            self.present.count = self.present.count.min(holding.held);
        }
    }

    /// Confirms what the instance holds under an earlier broker.
    ///
    /// The version stays 0, so that an instance whose credits expire meanwhile can't take them
    /// again.
    pub(crate) fn adopt(&mut self) {
        self.present.count = self.reported.held;
    }

    /// Sets a new allowance.
    pub(crate) fn allow(&mut self, version: u64, count: u32) {
        self.present = Allowance { version, count };
        self.unconfirmed.insert(version, count);
    }
}

/// Account of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    pub(crate) heard: Instant,
    pub(crate) sequence: u64,
    pub(crate) samples_seen: u64,
    /// When the slots last grew.
    pub(crate) lent: Instant,
    pub(crate) slots: Line,
    pub(crate) connections: Line,
    pub(crate) connections_wanted: u32,
    pub(crate) isolate: bool,
}

impl Account {
    pub(crate) fn open(now: Instant, samples_seen: u64) -> Self {
        Self {
            heard: now,
            sequence: 0,
            samples_seen,
            lent: now,
            slots: Line::default(),
            connections: Line::default(),
            connections_wanted: 0,
            isolate: false,
        }
    }
}
