//! Rules for how long a grantor may send grants, and for when its successor can be sure that it has stopped.
//!
//! - A grantor sends grants only while it has a recent confirmation, either by the store or by a majority
//!   of its witnesses. Witnesses are other hosts; one confirms a grantor if it knows of no newer epoch.
//! - A grantor names its witnesses in the tables that it saves, where the next grantor finds them.
//! - Once a majority of these witnesses has acknowledged the epoch of the next grantor, no majority confirms
//!   the earlier grantor any more. It stops when its last confirmations are too old.
//! - A store that has come back from an older copy may lack tables, and so grantors and leases. The first grantor of an era
//!   asks all hosts what they know, and waits until leases that it doesn't know have expired (see [`Inquiry`]).
//! - Without witnesses, an outage of the store and the loss of a grantor look the same. Then the earlier grantor
//!   sends grants for up to [`STORE_OUTAGE_LIMIT`] without the store, and the next one waits for that time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::types::{HostName, StoreEra};

/// Age up to which a confirmation lets a grantor send grants; longer than a failed call to the store
/// and its retry together.
pub(crate) const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1_500);
/// Longest time for which a grantor sends grants without a confirmation by the store. Upstreams must not
/// lose their keys in an outage of the store. A new grantor waits for this time unless it is sure that
/// the earlier one has stopped.
pub(crate) const STORE_OUTAGE_LIMIT: Duration = Duration::from_secs(12);
/// Largest number of witnesses of a grantor; a majority of them survives the loss of one zone of three.
const WITNESSES_MAX: usize = 5;

/// Position of the era in an epoch; generations of the election group take the bits below.
const ERA_SHIFT: u32 = 32;

/// Returns the epoch of a grantor that is elected in a generation of its group. The group may give out generations again after
/// the store has come back from an older copy, so epochs of a later era are higher.
pub(crate) fn epoch_of(era: StoreEra, generation: u64) -> u64 {
    (era.0 << ERA_SHIFT) | generation.min(u32::MAX.into())
}

/// Returns the era of the store in which a grantor was elected.
pub(crate) fn era_of(epoch: u64) -> StoreEra {
    StoreEra(epoch >> ERA_SHIFT)
}

/// Returns the number above which the fences of an epoch lie. Fences of earlier eras that the store has lost lie below.
pub(crate) fn fence_floor(epoch: u64) -> u64 {
    era_of(epoch).0 << ERA_SHIFT
}

/// One process of a host; a later process doesn't know which epochs an earlier one acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct HostIncarnation {
    pub(crate) host: HostName,
    /// Start of the process in Unix milliseconds.
    pub(crate) incarnation: u64,
}

/// An earlier grantor that may still send grants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Predecessor {
    pub(crate) host: HostName,
    pub(crate) epoch: u64,
    pub(crate) witnesses: BTreeSet<HostIncarnation>,
}

/// The latest evidence that a grantor is still the newest one.
#[derive(Clone, Debug)]
pub(crate) struct Confirmations {
    /// Start of the last call in which the store confirmed the grantor.
    pub(crate) by_store: Instant,
    /// Send time of the latest request that each host answered with a confirmation.
    pub(crate) by_witness: BTreeMap<HostIncarnation, Instant>,
}

impl Confirmations {
    /// Reports whether a grantor with the given witnesses may send grants.
    pub(crate) fn permit_grants(&self, now: Instant, witnesses: &BTreeSet<HostIncarnation>) -> bool {
        if now <= self.by_store + CONFIRMATION_VALIDITY {
            return true;
        }
        let has_confirmed = |incarnation: &&HostIncarnation| {
            self.by_witness
                .get(incarnation)
                .is_some_and(|&requested_at| now <= requested_at + CONFIRMATION_VALIDITY)
        };
        let has_majority =
            witnesses.is_empty() || is_majority(witnesses.iter().filter(has_confirmed).count(), witnesses);
        has_majority && now <= self.by_store + STORE_OUTAGE_LIMIT
    }
}

fn is_majority(count: usize, witnesses: &BTreeSet<HostIncarnation>) -> bool {
    count * 2 > witnesses.len()
}

/// Chooses witnesses among hosts that answer, and prefers the current ones.
pub(crate) fn choose_witnesses(
    current: &BTreeSet<HostIncarnation>,
    answering: &[HostIncarnation],
) -> BTreeSet<HostIncarnation> {
    let kept = current.iter().filter(|incarnation| answering.contains(incarnation));
    let new = answering.iter().filter(|incarnation| !current.contains(incarnation));
    kept.chain(new).take(WITNESSES_MAX).cloned().collect()
}

/// What a new grantor knows of the earlier grantors.
#[derive(Clone, Debug, Default)]
pub(crate) struct Predecessors {
    entries: Vec<(Predecessor, StopState)>,
}

/// Evidence that an earlier grantor has stopped.
#[derive(Clone, Debug)]
struct StopState {
    /// Its witnesses that acknowledged the new epoch.
    acknowledged_by: BTreeSet<HostIncarnation>,
    /// Time after which it sends no grants.
    stopped_by: Instant,
}

impl Predecessors {
    /// Creates the record of the given grantors, each of which may still send grants for up to
    /// [`STORE_OUTAGE_LIMIT`]. The caller omits earlier grantors on its own host, as these have stopped.
    pub(crate) fn new(now: Instant, predecessors: impl IntoIterator<Item = Predecessor>) -> Self {
        let start = StopState {
            acknowledged_by: BTreeSet::new(),
            stopped_by: now + STORE_OUTAGE_LIMIT,
        };
        let predecessors: BTreeSet<Predecessor> = predecessors.into_iter().collect();
        Self {
            entries: predecessors
                .into_iter()
                .map(|predecessor| (predecessor, start.clone()))
                .collect(),
        }
    }

    /// Records that a host neither sends grants under older epochs nor confirms their grantors.
    pub(crate) fn record_epoch_ack(&mut self, now: Instant, incarnation: &HostIncarnation) {
        for (predecessor, state) in &mut self.entries {
            if predecessor.host == incarnation.host {
                state.stopped_by = state.stopped_by.min(now);
            }
            if predecessor.witnesses.contains(incarnation) {
                state.acknowledged_by.insert(incarnation.clone());
                if is_majority(state.acknowledged_by.len(), &predecessor.witnesses) {
                    state.stopped_by = state.stopped_by.min(now + CONFIRMATION_VALIDITY);
                }
            }
        }
    }

    /// Returns the time after which no earlier grantor sends grants, or `None` if there is no earlier grantor.
    pub(crate) fn stopped_by(&self) -> Option<Instant> {
        self.entries.iter().map(|(_, state)| state.stopped_by).max()
    }

    /// Returns the earlier grantors that may still send grants.
    pub(crate) fn still_active(&self, now: Instant) -> Vec<Predecessor> {
        let still_active = self.entries.iter().filter(|(_, state)| state.stopped_by > now);
        still_active.map(|(predecessor, _)| predecessor.clone()).collect()
    }
}

/// What a host knows of a pool's keys from before the store came back from an older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Knowledge {
    /// Newest epoch of any grantor.
    pub(crate) epoch: u64,
    /// Epoch and revision of the newest key table.
    pub(crate) table: (u64, u64),
}

/// Finds out whether other hosts know of leases that were granted under key tables which the store has lost.
///
/// A grantor of which the store knows nothing any more can be in force at any other host. It has stopped once its host, or a
/// later process there, has answered. Without an answer it may go on for [`STORE_OUTAGE_LIMIT`].
#[derive(Clone, Debug)]
pub(crate) struct Inquiry {
    start: Instant,
    /// Epoch and revision of the table that the grantor starts from.
    origin: (u64, u64),
    /// Hosts that haven't answered.
    open: BTreeSet<HostName>,
    /// Hosts that have answered and know of no grantor or table that came after the origin.
    agreeing: BTreeSet<HostIncarnation>,
    /// A host knows a table that came after the origin. A grantor that has saved none has granted nothing.
    has_newer: bool,
    last_answer: Instant,
}

impl Inquiry {
    /// Creates an inquiry of other hosts.
    pub(crate) fn new(start: Instant, origin: (u64, u64), hosts: BTreeSet<HostName>) -> Self {
        Self {
            start,
            origin,
            open: hosts,
            agreeing: BTreeSet::new(),
            has_newer: false,
            last_answer: start,
        }
    }

    /// Records the answer of a host.
    pub(crate) fn record_answer(&mut self, now: Instant, host: &HostIncarnation, knowledge: Knowledge) {
        let knows_newer = knowledge.table > self.origin;
        if !knows_newer && knowledge.epoch <= self.origin.0 {
            self.agreeing.insert(host.clone());
        }
        if self.open.remove(&host.host) {
            self.has_newer |= knows_newer;
            self.last_answer = now;
        }
    }

    /// Returns the hosts that haven't answered.
    pub(crate) fn open(&self) -> &BTreeSet<HostName> {
        &self.open
    }

    /// Reports whether the grantor knows all leases, or those that it doesn't know have expired. `expiry_time` is the longest
    /// time from the end of a grantor to the expiry of its leases.
    pub(crate) fn is_settled(&self, now: Instant, expiry_time: Duration) -> bool {
        if !self.open.is_empty() {
            return now >= self.start + STORE_OUTAGE_LIMIT + expiry_time;
        }
        !self.has_newer || now >= self.last_answer + expiry_time
    }

    /// Reports whether the grantor of the origin may renew its leases as it did before the store's return: no other grantor
    /// can assume that it has stopped, because a majority of its witnesses has acknowledged no epoch in between, and
    /// acknowledges none of an earlier era any more.
    pub(crate) fn permits_renewals(
        &self,
        now: Instant,
        confirmed: Instant,
        witnesses: &BTreeSet<HostIncarnation>,
    ) -> bool {
        let agreeing = witnesses.intersection(&self.agreeing).count();
        let has_majority = witnesses.is_empty() || is_majority(agreeing, witnesses);
        !self.has_newer
            && (now <= confirmed + CONFIRMATION_VALIDITY || (has_majority && now <= confirmed + STORE_OUTAGE_LIMIT))
    }
}
