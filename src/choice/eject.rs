//! Ejects upstreams that fail or are slow next to their pool.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::Outcome;
use crate::types::UpstreamName;

/// Consecutive failures that eject an upstream.
const FAILURES_MAX: u32 = 5;
/// Multiple of the pool's median latency that ejects an upstream.
const SLOW_FACTOR: f64 = 5.0;
/// Answers before the latency of an upstream is judged.
const ANSWERS_MIN: u32 = 10;
/// Answers before an upstream that was ejected lately is judged; it is probably still slow.
const ANSWERS_AGAIN: u32 = 3;
/// Weight of a new latency in the average.
const LATENCY_GAIN: f64 = 0.2;
/// Time of the first ejection; each further one in a row takes as much longer.
const EJECTION: Duration = Duration::from_secs(5);
/// Longest ejection, in units of [`EJECTION`].
const EJECTION_MAX: u32 = 6;

/// A change that the host has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ejection {
    /// The upstream gets no new work.
    Eject(UpstreamName),
    /// The upstream gets work again, by slow start: the broker has to note `Sign::Returned`.
    Return(UpstreamName),
}

#[derive(Debug, Default)]
struct Health {
    failures: u32,
    answers: u32,
    latency: f64,
    ejected_until: Option<Instant>,
    /// Ejections in a row.
    ejections: u32,
}

/// Ejection state of the upstreams of one pool.
#[derive(Debug, Default)]
pub(crate) struct Ejector {
    upstreams: BTreeMap<UpstreamName, Health>,
}

impl Ejector {
    /// Sets the upstreams of the pool and keeps what is known of those that stay.
    pub(crate) fn set_upstreams(&mut self, names: impl IntoIterator<Item = UpstreamName>) {
        let mut known = std::mem::take(&mut self.upstreams);
        let keep = |name: UpstreamName| {
            let health = known.remove(&name).unwrap_or_default();
            (name, health)
        };
        self.upstreams = names.into_iter().map(keep).collect();
    }

    pub(crate) fn is_ejected(&self, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(|h| h.ejected_until.is_some())
    }

    /// Takes a finished attempt.
    pub(crate) fn note(
        &mut self,
        name: &UpstreamName,
        outcome: Outcome,
        latency: Duration,
        now: Instant,
    ) -> Option<Ejection> {
        let health = self.upstreams.get_mut(name)?;
        match outcome {
            Outcome::Cancelled => {}
            Outcome::Answered => health.answer(latency.as_secs_f64()),
            Outcome::Failed | Outcome::Shed | Outcome::Reset => health.failures += 1,
        }
        let failing = health.failures >= FAILURES_MAX;
        if failing { self.eject(name, now) } else { None }
    }

    /// Follows an ejection by another host, told by the upstream's broker.
    pub(crate) fn follow(&mut self, name: &UpstreamName, left: Duration, now: Instant) -> Option<Ejection> {
        let ejection = if left.is_zero() { None } else { self.eject(name, now) };
        if ejection.is_some()
            && let Some(health) = self.upstreams.get_mut(name)
        {
            health.ejected_until = Some(now + left);
        }
        ejection
    }

    /// End of an ejection, to be told to the upstream's broker.
    pub(crate) fn ejected_until(&self, name: &UpstreamName) -> Option<Instant> {
        self.upstreams.get(name).and_then(|h| h.ejected_until)
    }

    /// Ejects the slowest upstreams and returns those whose time is over.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<Ejection> {
        let mut changes = Vec::new();
        for (name, health) in &mut self.upstreams {
            if health.ejected_until.is_some_and(|until| until <= now) {
                health.give_back();
                changes.push(Ejection::Return(name.clone()));
            }
        }
        for name in self.list_slow() {
            changes.extend(self.eject(&name, now));
        }
        changes
    }

    /// Lists upstreams that are far slower than the median, slowest first.
    fn list_slow(&self) -> Vec<UpstreamName> {
        let judged = |h: &&Health| h.is_judged() && h.ejected_until.is_none();
        let mut latencies: Vec<f64> = self.upstreams.values().filter(judged).map(|h| h.latency).collect();
        latencies.sort_unstable_by(f64::total_cmp);
        let Some(&median) = latencies.get(latencies.len() / 2) else {
            return Vec::new();
        };
        let is_slow = |(_, h): &(&UpstreamName, &Health)| judged(h) && h.latency >= SLOW_FACTOR * median;
        let mut slow: Vec<_> = self.upstreams.iter().filter(is_slow).collect();
        slow.sort_by(|(_, a), (_, b)| b.latency.total_cmp(&a.latency));
        slow.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Ejects an upstream unless a third of the pool is ejected.
    fn eject(&mut self, name: &UpstreamName, now: Instant) -> Option<Ejection> {
        let ejected = self.upstreams.values().filter(|h| h.ejected_until.is_some()).count();
        let room = (ejected + 1) * 3 <= self.upstreams.len();
        let health = self.upstreams.get_mut(name)?;
        if !room || health.ejected_until.is_some() {
            return None;
        }
        health.ejections = (health.ejections + 1).min(EJECTION_MAX);
        health.ejected_until = Some(now + EJECTION * health.ejections);
        Some(Ejection::Eject(name.clone()))
    }
}

impl Health {
    fn is_judged(&self) -> bool {
        let enough = if self.ejections > 0 { ANSWERS_AGAIN } else { ANSWERS_MIN };
        self.answers >= enough
    }

    fn answer(&mut self, latency: f64) {
        self.failures = 0;
        self.answers = self.answers.saturating_add(1);
        if self.answers == 1 {
            self.latency = latency;
        } else {
            self.latency += LATENCY_GAIN * (latency - self.latency);
        }
        // Ten times the judged answers without an ejection end the row.
        if self.answers == 10 * ANSWERS_MIN {
            self.ejections = 0;
        }
    }

    fn give_back(&mut self) {
        self.ejected_until = None;
        self.failures = 0;
        self.answers = 0;
    }
}
