//! Which grants this host sends to fenced upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{Grant, GrantedRange, UpstreamClock};
use crate::fold::State;
use crate::membership::outlast;
use crate::settings::Timing;
use crate::tables::Ownership;
use crate::types::{Offset, PoolName, Span, UpstreamName};

/// Renews the grants of fenced upstreams.
#[derive(Debug)]
pub(crate) struct Granter {
    started: Instant,
    renewal: Duration,
    duration: Span,
    upstreams: BTreeMap<UpstreamName, Target>,
    /// Offset at which `owned` was read from the state.
    folded: Offset,
    owned: BTreeMap<UpstreamName, Owned>,
}

/// What this host has exchanged with an upstream.
#[derive(Debug, Default)]
struct Target {
    reading: Option<Reading>,
    /// Reading of the last grant, and when that was sent.
    sent: Option<(Reading, Instant)>,
    /// Newest epoch and number of ranges of the last grant.
    covered: (Offset, usize),
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    clock: UpstreamClock,
    /// When the answer with the reading arrived, so not before it was read.
    received: Instant,
}

/// Ranges that an upstream serves.
#[derive(Debug)]
struct Owned {
    pool: PoolName,
    ranges: Vec<GrantedRange>,
}

impl Granter {
    pub(crate) fn new(timing: &Timing, started: Instant) -> Self {
        Self {
            started,
            renewal: timing.renewal.0,
            duration: timing.grant,
            upstreams: BTreeMap::new(),
            folded: Offset(0),
            owned: BTreeMap::new(),
        }
    }

    /// Notes the clock reading of an answer that arrived at `received`.
    pub(crate) fn note_clock(&mut self, received: Instant, upstream: &UpstreamName, clock: UpstreamClock) {
        let target = self.upstreams.entry(upstream.clone()).or_default();
        let older = |r: &Reading| r.clock.incarnation == clock.incarnation && r.clock.uptime >= clock.uptime;
        if !target.reading.as_ref().is_some_and(older) {
            target.reading = Some(Reading { clock, received });
        }
    }

    /// Gives the grants to send now.
    pub(crate) fn tick(&mut self, now: Instant, state: &State, lease: Option<Instant>) -> Vec<(UpstreamName, Grant)> {
        self.follow_ranges(now, state);
        if lease.is_none_or(|until| now >= until) {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for (upstream, owned) in &self.owned {
            let Some(target) = self.upstreams.get_mut(upstream) else {
                continue;
            };
            let Some(reading) = target.reading else { continue };
            let newest = owned.ranges.iter().map(|r| r.epoch).max().unwrap_or_default();
            let covered = (newest, owned.ranges.len());
            if target.covered == covered && !target.is_due(now, reading, self.renewal) {
                continue;
            }
            target.covered = covered;
            target.sent = Some((reading, now));
            let grant = Grant {
                pool: owned.pool.clone(),
                from: reading.clock,
                duration: self.duration,
                ranges: owned.ranges.clone(),
            };
            grants.push((upstream.clone(), grant));
        }
        grants
    }

    /// Instant from which the newest grant to an upstream counts at the latest.
    ///
    /// Without a grant it is the start of this host: its former run may have sent one until then.
    pub(crate) fn renewed(&self, upstream: &UpstreamName) -> Instant {
        let target = self.upstreams.get(upstream);
        let sent = target.and_then(|t| t.sent).map(|(reading, _)| reading.received);
        sent.unwrap_or(self.started).max(self.started)
    }

    fn follow_ranges(&mut self, now: Instant, state: &State) {
        if self.folded == state.folded {
            return;
        }
        self.folded = state.folded;
        self.owned.clear();
        for (pool, table) in &state.ranges {
            let Some(found) = state.tables.pools.get(pool) else {
                continue;
            };
            if found.ownership != Ownership::Fenced {
                continue;
            }
            for info in table.iter().filter(|info| info.frozen.is_none()) {
                let owned = self.owned.entry(info.owner.clone()).or_insert_with(|| Owned {
                    pool: pool.clone(),
                    ranges: Vec::new(),
                });
                owned.ranges.push(GrantedRange {
                    range: info.range,
                    epoch: info.epoch,
                });
            }
        }
        // The last grant to an upstream that was unpublished stays known until it has ended.
        let ended = |target: &Target| {
            let sent = target.sent.map(|(reading, _)| reading.received);
            sent.is_none_or(|at| now >= at + outlast(self.duration.0))
        };
        let published = |name: &UpstreamName| {
            state
                .tables
                .pools
                .values()
                .any(|pool| pool.upstreams.contains_key(name))
        };
        self.upstreams.retain(|name, target| published(name) || !ended(target));
    }
}

impl Target {
    /// A grant is also due when the last one counts from a reading that a much newer one replaces,
    /// as after a silence of the upstream.
    fn is_due(&self, now: Instant, reading: Reading, renewal: Duration) -> bool {
        self.sent.is_none_or(|(last, at)| {
            let newer = reading.received.saturating_duration_since(last.received);
            now >= at + renewal || newer >= 2 * renewal || reading.clock.incarnation != last.clock.incarnation
        })
    }
}
