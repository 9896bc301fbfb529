//! How long a grantor may go on, and when the next one can be sure that it has stopped.
//!
//! A grantor needs a fresh confirmation by the store or by most of its witnesses: other hosts that
//! know of no newer epoch. It names them in the tables that it saves, so the next grantor finds them
//! there; once most of them know its epoch, the earlier grantor is confirmed by nobody any more.
//! Without witnesses an outage of the store and the loss of a grantor look alike, and both sides go
//! by one long time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::types::HostName;

/// Age of the newest confirmation up to which a grantor gives grants; above the time of a call to
/// the store that fails and its repetition.
pub(crate) const CONFIRMED_TIME: Duration = Duration::from_millis(1_500);
/// Longest time for which a grantor goes on without the store. An outage of the store must not take
/// the keys away; a new grantor waits for this time where it can't be sure.
pub(crate) const UNCONFIRMED_LIMIT: Duration = Duration::from_secs(12);
/// Hosts that confirm a grantor beside the store; most of them outlast the loss of a zone of three.
const WITNESSES_MAX: usize = 5;

/// One run of a host's process; a later one knows nothing of what an earlier one promised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct HostIncarnation {
    pub(crate) host: HostName,
    /// Start of the process in Unix milliseconds.
    pub(crate) incarnation: u64,
}

/// A grantor before the present one that may still give grants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Predecessor {
    pub(crate) host: HostName,
    pub(crate) epoch: u64,
    pub(crate) witnesses: BTreeSet<HostIncarnation>,
}

/// What speaks for a grantor at present.
#[derive(Clone, Debug)]
pub(crate) struct Confirmations {
    /// Start of the last call in which the store confirmed it.
    pub(crate) by_store: Instant,
    /// When hosts were last asked that then confirmed it.
    pub(crate) by_witness: BTreeMap<HostIncarnation, Instant>,
}

impl Confirmations {
    /// Tells whether a grantor with the given witnesses may give grants.
    pub(crate) fn permit_grants(&self, now: Instant, witnesses: &BTreeSet<HostIncarnation>) -> bool {
        if now <= self.by_store + CONFIRMED_TIME {
            return true;
        }
        let has_confirmed = |incarnation: &&HostIncarnation| {
            self.by_witness
                .get(incarnation)
                .is_some_and(|&asked| now <= asked + CONFIRMED_TIME)
        };
        let is_backed = witnesses.is_empty() || is_most(witnesses.iter().filter(has_confirmed).count(), witnesses);
        is_backed && now <= self.by_store + UNCONFIRMED_LIMIT
    }
}

fn is_most(count: usize, witnesses: &BTreeSet<HostIncarnation>) -> bool {
    count * 2 > witnesses.len()
}

/// Chooses witnesses among hosts that answer, keeping those that there are.
pub(crate) fn choose_witnesses(
    present: &BTreeSet<HostIncarnation>,
    answering: &[HostIncarnation],
) -> BTreeSet<HostIncarnation> {
    let kept = present.iter().filter(|incarnation| answering.contains(incarnation));
    let new = answering.iter().filter(|incarnation| !present.contains(incarnation));
    kept.chain(new).take(WITNESSES_MAX).cloned().collect()
}

/// What a new grantor knows of those before it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Predecessors {
    predecessors: Vec<(Predecessor, Ending)>,
}

#[derive(Clone, Debug)]
struct Ending {
    /// Witnesses that know of the new epoch.
    told: BTreeSet<HostIncarnation>,
    /// Time after which it gives no grants.
    stopped_by: Instant,
}

impl Predecessors {
    /// Starts with the grantors that a table names, for a process that is none of them any more.
    pub(crate) fn new(now: Instant, predecessors: impl IntoIterator<Item = Predecessor>) -> Self {
        let start = Ending {
            told: BTreeSet::new(),
            stopped_by: now + UNCONFIRMED_LIMIT,
        };
        let predecessors: BTreeSet<Predecessor> = predecessors.into_iter().collect();
        Self {
            predecessors: predecessors
                .into_iter()
                .map(|predecessor| (predecessor, start.clone()))
                .collect(),
        }
    }

    /// Notes that a host gives no grants under older epochs, and confirms none.
    pub(crate) fn record_epoch_ack(&mut self, now: Instant, incarnation: &HostIncarnation) {
        for (predecessor, ending) in &mut self.predecessors {
            if predecessor.host == incarnation.host {
                ending.stopped_by = ending.stopped_by.min(now);
            }
            if predecessor.witnesses.contains(incarnation) {
                ending.told.insert(incarnation.clone());
                if is_most(ending.told.len(), &predecessor.witnesses) {
                    ending.stopped_by = ending.stopped_by.min(now + CONFIRMED_TIME);
                }
            }
        }
    }

    /// Gives the time after which no earlier grantor gives grants; nothing if there was none.
    pub(crate) fn stopped_by(&self) -> Option<Instant> {
        self.predecessors.iter().map(|(_, ending)| ending.stopped_by).max()
    }

    /// Gives the earlier grantors that may still give grants.
    pub(crate) fn still_active(&self, now: Instant) -> Vec<Predecessor> {
        let still_active = self.predecessors.iter().filter(|(_, ending)| ending.stopped_by > now);
        still_active.map(|(predecessor, _)| predecessor.clone()).collect()
    }
}
