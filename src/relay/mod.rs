//! Decides which hosts read the store for all others, when a host reads it itself, and whether a
//! relayed delta continues what a host knows.
//!
//! Relaying keeps the number of reads from growing with the number of hosts. In each availability
//! zone a few hosts are readers, ranked across all zones. Each reader waits a little longer than the
//! one ranked before it, and starts its wait anew when it receives the read of another one. A host
//! that receives no reads reads the store itself, so a reader that is lost, cut off or refused by the
//! store costs the other hosts only one wait, and the hosts need no agreement.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::platform::Record;
use crate::types::{HostName, Offset, PoolName, StoreEra, Zone};

#[cfg(test)]
mod tests;

/// Readers in each availability zone; the second one covers the loss of the first.
const READERS_PER_ZONE: usize = 2;
/// Time after which the first reader reads again; a third of the shortest drain bound, so that two
/// failed reads fit into the bound.
const READ_PERIOD: Duration = Duration::from_millis(650);
/// Replaces `READ_PERIOD` while the store is degraded; shorter, because some reads may fail.
const READ_PERIOD_DEGRADED: Duration = Duration::from_millis(450);
/// Additional delay of each further reader; longer than a read and its datagram take.
const RANK_DELAY: Duration = Duration::from_millis(60);
/// Rank from which the delay no longer grows.
const RANK_MAX: u32 = 5;
/// Additional delay, compared with the first reader, after which hosts that aren't readers read for
/// themselves.
const NON_READER_DELAY: Duration = Duration::from_millis(400);
/// Largest jitter, as a fraction of `NON_READER_DELAY`, so that hosts don't all call at once.
const NON_READER_JITTER: f64 = 0.4;
/// Time without a relayed read after which hosts that aren't readers take part in the election of the
/// grantor; longer than the wait of the last reader. Such a host counts as reaching the store only
/// while its own last read is more recent than this.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a relayed read in which the store counts as serving other hosts: two periods between reads.
const RELAYED_TIME: Duration = Duration::from_millis(1_300);
/// Backoff after the first failed read; multiplied by `BACKOFF_FACTOR` after each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(150);
const BACKOFF_FACTOR: u32 = 2;
/// Longest backoff of a reader while the store doesn't answer; short, as all hosts wait for its reads.
const READER_BACKOFF_MAX: Duration = Duration::from_millis(300);
/// Longest backoff of other hosts; long, so that calls in an outage don't grow with the number of
/// hosts.
const NON_READER_BACKOFF_MAX: Duration = Duration::from_millis(1_200);

/// Bytes of an update in a message in addition to its names and value.
const UPDATE_OVERHEAD: usize = 32;

/// Topic of the store that hosts follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Topic {
    Operators,
    Upstreams,
    Hosts,
}

impl Topic {
    pub(crate) const ALL: [Self; 3] = [Self::Operators, Self::Upstreams, Self::Hosts];
}

/// A record that a reader relays to other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Update {
    Record(Record),
    /// The owners of a pool's keys were saved. The grantor itself sends the changes.
    Owners {
        pool: PoolName,
        epoch: u64,
        revision: u64,
    },
}

impl Update {
    /// Returns the approximate size of the update in a message, in bytes.
    pub(crate) fn size(&self) -> usize {
        let content = match self {
            Self::Record(record) => record.key.len() + record.value.as_ref().map_or(0, bytes::Bytes::len),
            Self::Owners { pool, .. } => pool.as_str().len(),
        };
        content + UPDATE_OVERHEAD
    }
}

/// What a reader found in a topic between two offsets.
///
/// Records that changed nothing for the reader are omitted: hosts at the same offset have the same
/// state, so these records would change nothing there either.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TopicDelta {
    pub(crate) topic: Topic,
    pub(crate) from: Offset,
    pub(crate) next: Offset,
    /// `None` if the updates are too large for a datagram and must be read from the store.
    pub(crate) updates: Option<Vec<Update>>,
    /// Era of the store that the offsets belong to.
    #[serde(default)]
    pub(crate) era: StoreEra,
}

/// Relation of a delta to the offset up to which a host has followed the topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Continuity {
    /// The delta ends before the host's offset.
    Stale,
    /// The delta ends at the host's offset.
    Current,
    /// The delta contains the host's next record, and can be applied.
    Continues,
    /// The delta lacks records after the host's offset, so the host can't apply it.
    Gap,
}

impl TopicDelta {
    /// Returns the delta with its offsets only, for a message that would be too large otherwise.
    pub(crate) fn without_updates(self) -> Self {
        Self { updates: None, ..self }
    }

    /// Returns how the delta relates to a host whose next record is at `next`.
    pub(crate) fn continuity(&self, next: Option<Offset>) -> Continuity {
        match next {
            Some(next) if self.next < next => Continuity::Stale,
            Some(next) if self.next == next => Continuity::Current,
            Some(next) if self.from <= next && self.updates.is_some() => Continuity::Continues,
            Some(_) | None => Continuity::Gap,
        }
    }
}

/// A host that may be chosen as a reader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReaderCandidate<'a> {
    pub(crate) host: &'a HostName,
    pub(crate) zone: &'a Zone,
    /// Thousandths of a core that the host may use.
    pub(crate) millicores: u32,
}

/// Returns the readers by rank: the first readers of all zones precede the second ones.
///
/// In each zone, the hosts with the most processor time are chosen, because readers and the grantor,
/// which is one of them, have the most work.
pub(crate) fn rank_readers<'a>(candidates: impl Iterator<Item = ReaderCandidate<'a>>) -> Vec<&'a HostName> {
    let mut zones: BTreeMap<&Zone, Vec<ReaderCandidate<'_>>> = BTreeMap::new();
    for candidate in candidates {
        zones.entry(candidate.zone).or_default().push(candidate);
    }
    for candidates in zones.values_mut() {
        candidates.sort_by_cached_key(|candidate| {
            (
                Reverse(candidate.millicores),
                xxh3_64(candidate.host.as_str().as_bytes()),
            )
        });
    }
    let positions = 0..READERS_PER_ZONE;
    let readers = positions.flat_map(|position| zones.values().filter_map(move |candidates| candidates.get(position)));
    readers.map(|candidate| candidate.host).collect()
}

/// Schedule by which a host reads the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// The host's state is at least as new as a read of the store at this time.
    as_of: Option<Instant>,
    /// When a relayed read was last received; initially, when this host started.
    last_relayed: Instant,
    /// A read has been relayed to this host.
    has_relay: bool,
    /// Backoff after the next failure; zero while reads succeed.
    backoff: Duration,
    /// Jitter of this host, between 0 and 1.
    jitter: f64,
}

impl Schedule {
    pub(crate) fn new(now: Instant, jitter: f64) -> Self {
        Self {
            as_of: None,
            last_relayed: now,
            has_relay: false,
            backoff: Duration::ZERO,
            jitter,
        }
    }

    /// Records that all topics were read, in calls that started at `started`.
    pub(crate) fn record_read(&mut self, started: Instant) {
        self.as_of = Some(started);
        self.backoff = Duration::ZERO;
    }

    /// Records that a read of another host, no older than this host's state, was relayed.
    pub(crate) fn record_relayed(&mut self, now: Instant) {
        self.as_of = Some(now);
        self.last_relayed = now;
        self.has_relay = true;
        self.backoff = Duration::ZERO;
    }

    /// Reports whether a read of another host was relayed a short time ago.
    pub(crate) fn is_relayed(&self, now: Instant) -> bool {
        self.has_relay && now < self.last_relayed + RELAYED_TIME
    }

    /// Returns when a host reads next, or `None` if it must read at once. Only readers have a rank.
    pub(crate) fn due(&self, rank: Option<usize>, is_degraded: bool) -> Option<Instant> {
        let period = if is_degraded { READ_PERIOD_DEGRADED } else { READ_PERIOD };
        let delay = match rank {
            Some(rank) => RANK_DELAY * u32::try_from(rank).unwrap_or(RANK_MAX).min(RANK_MAX),
            None => NON_READER_DELAY.mul_f64(1.0 + NON_READER_JITTER * self.jitter),
        };
        self.as_of.map(|as_of| as_of + period + delay)
    }

    /// Records a failed read and returns the backoff before the next one.
    pub(crate) fn record_failure(&mut self, rank: Option<usize>) -> Duration {
        let backoff_max = if rank.is_some() {
            READER_BACKOFF_MAX
        } else {
            NON_READER_BACKOFF_MAX
        };
        let backoff = self.backoff.clamp(BACKOFF_MIN, backoff_max);
        self.backoff = backoff * BACKOFF_FACTOR;
        backoff
    }

    /// Reports whether a read has failed since the last successful or relayed one.
    pub(crate) fn is_failing(&self) -> bool {
        !self.backoff.is_zero()
    }

    /// Reports whether a host takes part in the election of the grantor. Readers do, and so do other
    /// hosts that reach the store but receive no relayed reads.
    pub(crate) fn is_election_candidate(&self, now: Instant, rank: Option<usize>) -> bool {
        let reaches_store = self.age(now).is_some_and(|age| age < ELECTION_TIMEOUT);
        rank.is_some() || (now >= self.last_relayed + ELECTION_TIMEOUT && reaches_store)
    }

    /// Returns the age of what the host knows from the store.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|as_of| now.saturating_duration_since(as_of))
    }
}
