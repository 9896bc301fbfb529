//! Which hosts read the store for all, when a host reads it itself, and whether what another host
//! has read continues what is known.
//!
//! Load pattern: reads that grow with the number of hosts. A few ranked hosts of each availability
//! zone read in turn: each waits a little longer than the one before it, and what it hears starts
//! its wait anew. A host that hears nothing reads for itself, so a lost, cut off or refused reader
//! costs the others one wait and no agreement is needed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::platform::Record;
use crate::types::{HostName, Offset, PoolName, Zone};

#[cfg(test)]
mod tests;

/// Hosts of each availability zone that read for all; the second one covers the loss of the first.
const READERS_PER_ZONE: usize = 2;
/// Time after which the first reader reads again; a third of the shortest bound on draining, so
/// that two failed reads fit into it.
const READ_PERIOD: Duration = Duration::from_millis(650);
/// The same while the store is degraded and single reads fail.
const READ_PERIOD_SHORT: Duration = Duration::from_millis(450);
/// What each further reader waits longer; above the time of a read and its datagram.
const RANK_STEP: Duration = Duration::from_millis(60);
/// Ranks from this one on wait equally long.
const RANK_MAX: u32 = 5;
/// What other hosts wait longer than the first reader before they read for themselves.
const OTHERS_DELAY: Duration = Duration::from_millis(400);
/// Part of `OTHERS_DELAY` by which hosts differ, so that they don't all call at once.
const OTHERS_SPREAD: f64 = 0.4;
/// Silence of all readers after which other hosts take part in the election of the grantor;
/// longer than the wait of the last reader.
const ELECTION_SILENCE: Duration = Duration::from_secs(2);
/// Pause after a failed read; grows by `PAUSE_GROWTH` with each further one.
const PAUSE_LEAST: Duration = Duration::from_millis(150);
const PAUSE_GROWTH: u32 = 2;
/// Longest pause of a reader while the store doesn't answer: what it reads is what all wait for.
const PAUSE_READER: Duration = Duration::from_millis(300);
/// Longest pause of the others, so that an outage isn't answered by calls that grow with the hosts.
const PAUSE_OTHERS: Duration = Duration::from_millis(1_200);

/// Bytes of an item in a message beside its names and its value.
const UPDATE_OVERHEAD: usize = 32;

/// A topic of the store that hosts follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Topic {
    Operators,
    Upstreams,
    Hosts,
}

impl Topic {
    pub(crate) const ALL: [Self; 3] = [Self::Operators, Self::Upstreams, Self::Hosts];
}

/// One of the records that a reader passes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Update {
    Record(Record),
    /// Owners of keys were saved; the grantor sends what changed itself.
    Owners {
        pool: PoolName,
        epoch: u64,
        revision: u64,
    },
}

impl Update {
    /// Gives about the number of bytes that the item takes in a message.
    pub(crate) fn size(&self) -> usize {
        let content = match self {
            Self::Record(record) => record.key.len() + record.value.as_ref().map_or(0, bytes::Bytes::len),
            Self::Owners { pool, .. } => pool.as_str().len(),
        };
        content + UPDATE_OVERHEAD
    }
}

/// What a reader found in a topic from one offset to another.
///
/// Records that changed nothing for the reader are left out. Hosts at the same offset know the same,
/// so they change nothing there either.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TopicDelta {
    pub(crate) topic: Topic,
    pub(crate) from: Offset,
    pub(crate) next: Offset,
    /// None if it is too large for a datagram; the store has it.
    pub(crate) updates: Option<Vec<Update>>,
}

/// How a delta relates to what a host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Continuity {
    /// The host has read further.
    Stale,
    /// It ends where the host is.
    Current,
    /// It continues what the host knows.
    Continues,
    /// Records between are missing.
    Gap,
}

impl TopicDelta {
    /// Leaves only the offsets, for a message that would be too large.
    pub(crate) fn without_updates(self) -> Self {
        Self { updates: None, ..self }
    }

    /// Tells how the delta relates to a host whose next record is `next`.
    pub(crate) fn continuity(&self, next: Option<Offset>) -> Continuity {
        match next {
            Some(next) if self.next < next => Continuity::Stale,
            Some(next) if self.next == next => Continuity::Current,
            Some(next) if self.from <= next && self.updates.is_some() => Continuity::Continues,
            Some(_) | None => Continuity::Gap,
        }
    }
}

/// A host as the choice of readers sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReaderCandidate<'a> {
    pub(crate) host: &'a HostName,
    pub(crate) zone: &'a Zone,
    /// Thousandths of a core that the host may use.
    pub(crate) millicores: u32,
}

/// Gives the readers by rank: the first ones of all zones come before the second ones. They are the
/// hosts with most processor time, as they and the grantor, which is one of them, have most to do.
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
    let turns = 0..READERS_PER_ZONE;
    let readers = turns.flat_map(|turn| zones.values().filter_map(move |candidates| candidates.get(turn)));
    readers.map(|candidate| candidate.host).collect()
}

/// When a host reads the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// Since when the host's knowledge is at least as new as a read at that time.
    fresh: Option<Instant>,
    /// When another host's read was last received; at first, when this host started.
    last_relayed: Instant,
    /// Pause after the next failure; zero while reads succeed.
    pause: Duration,
    /// Between 0 and 1, different for each host.
    spread: f64,
}

impl Schedule {
    pub(crate) fn new(now: Instant, spread: f64) -> Self {
        Self {
            fresh: None,
            last_relayed: now,
            pause: Duration::ZERO,
            spread,
        }
    }

    /// Notes that all topics were read, in calls that started at the given time.
    pub(crate) fn record_read(&mut self, started: Instant) {
        self.fresh = Some(started);
        self.pause = Duration::ZERO;
    }

    /// Notes that another host has read and that everything fits.
    pub(crate) fn record_relayed(&mut self, now: Instant) {
        self.fresh = Some(now);
        self.last_relayed = now;
        self.pause = Duration::ZERO;
    }

    /// Gives the time at which a host with the given rank reads, or none for at once.
    pub(crate) fn due(&self, rank: Option<usize>, is_degraded: bool) -> Option<Instant> {
        let period = if is_degraded { READ_PERIOD_SHORT } else { READ_PERIOD };
        let delay = match rank {
            Some(rank) => RANK_STEP * u32::try_from(rank).unwrap_or(RANK_MAX).min(RANK_MAX),
            None => OTHERS_DELAY.mul_f64(1.0 + OTHERS_SPREAD * self.spread),
        };
        self.fresh.map(|fresh| fresh + period + delay)
    }

    /// Notes that a read failed; gives the pause before the next one.
    pub(crate) fn record_failure(&mut self, rank: Option<usize>) -> Duration {
        let longest = if rank.is_some() { PAUSE_READER } else { PAUSE_OTHERS };
        let pause = self.pause.clamp(PAUSE_LEAST, longest);
        self.pause = pause * PAUSE_GROWTH;
        pause
    }

    /// Tells whether reads have failed since the last one that succeeded or was heard of.
    pub(crate) fn is_failing(&self) -> bool {
        !self.pause.is_zero()
    }

    /// Tells whether a host takes part in the election: the readers do, and others that reach the
    /// store but don't hear any reader.
    pub(crate) fn is_election_candidate(&self, now: Instant, rank: Option<usize>) -> bool {
        let reaches_store = self.age(now).is_some_and(|age| age < ELECTION_SILENCE);
        rank.is_some() || (now >= self.last_relayed + ELECTION_SILENCE && reaches_store)
    }

    /// Age of what the host knows from the store.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh.map(|fresh| now.saturating_duration_since(fresh))
    }
}
