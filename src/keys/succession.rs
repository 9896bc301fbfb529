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
pub(crate) struct HostRun {
    pub(crate) host: HostName,
    /// Start of the process in Unix milliseconds.
    pub(crate) born: u64,
}

/// A grantor before the present one that may still give grants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Former {
    pub(crate) host: HostName,
    pub(crate) epoch: u64,
    pub(crate) witnesses: BTreeSet<HostRun>,
}

/// What speaks for a grantor at present.
#[derive(Clone, Debug)]
pub(crate) struct Support {
    /// Start of the last call in which the store confirmed it.
    pub(crate) confirmed: Instant,
    /// When hosts were last asked that then confirmed it.
    pub(crate) vouches: BTreeMap<HostRun, Instant>,
}

impl Support {
    /// Tells whether a grantor with the given witnesses may give grants.
    pub(crate) fn allows(&self, now: Instant, witnesses: &BTreeSet<HostRun>) -> bool {
        if now <= self.confirmed + CONFIRMED_TIME {
            return true;
        }
        let vouches = |run: &&HostRun| {
            self.vouches
                .get(run)
                .is_some_and(|&asked| now <= asked + CONFIRMED_TIME)
        };
        let is_backed = witnesses.is_empty() || is_most(witnesses.iter().filter(vouches).count(), witnesses);
        is_backed && now <= self.confirmed + UNCONFIRMED_LIMIT
    }
}

fn is_most(count: usize, witnesses: &BTreeSet<HostRun>) -> bool {
    count * 2 > witnesses.len()
}

/// Chooses witnesses among hosts that answer, keeping those that there are.
pub(crate) fn choose_witnesses(present: &BTreeSet<HostRun>, answering: &[HostRun]) -> BTreeSet<HostRun> {
    let kept = present.iter().filter(|run| answering.contains(run));
    let new = answering.iter().filter(|run| !present.contains(run));
    kept.chain(new).take(WITNESSES_MAX).cloned().collect()
}

/// What a new grantor knows of those before it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Succession {
    formers: Vec<(Former, Ending)>,
}

#[derive(Clone, Debug)]
struct Ending {
    /// Witnesses that know of the new epoch.
    told: BTreeSet<HostRun>,
    /// Time after which it gives no grants.
    stops: Instant,
}

impl Succession {
    /// Starts with the grantors that a table names, for a process that is none of them any more.
    pub(crate) fn new(now: Instant, formers: impl IntoIterator<Item = Former>) -> Self {
        let start = Ending {
            told: BTreeSet::new(),
            stops: now + UNCONFIRMED_LIMIT,
        };
        let formers: BTreeSet<Former> = formers.into_iter().collect();
        Self {
            formers: formers.into_iter().map(|former| (former, start.clone())).collect(),
        }
    }

    /// Notes that a host gives no grants under older epochs, and confirms none.
    pub(crate) fn note_told(&mut self, now: Instant, run: &HostRun) {
        for (former, ending) in &mut self.formers {
            if former.host == run.host {
                ending.stops = ending.stops.min(now);
            }
            if former.witnesses.contains(run) {
                ending.told.insert(run.clone());
                if is_most(ending.told.len(), &former.witnesses) {
                    ending.stops = ending.stops.min(now + CONFIRMED_TIME);
                }
            }
        }
    }

    /// Gives the time after which no earlier grantor gives grants; nothing if there was none.
    pub(crate) fn stops(&self) -> Option<Instant> {
        self.formers.iter().map(|(_, ending)| ending.stops).max()
    }

    /// Gives the earlier grantors that may still give grants.
    pub(crate) fn remaining(&self, now: Instant) -> Vec<Former> {
        let remaining = self.formers.iter().filter(|(_, ending)| ending.stops > now);
        remaining.map(|(former, _)| former.clone()).collect()
    }
}
