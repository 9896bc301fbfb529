//! Slow start of a cold upstream.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::{Outcome, Sample};
use crate::types::Incarnation;

/// Latency over this multiple of the baseline is a sign of a cold start.
const SLOW_FACTOR: f64 = 3.0;
/// Latency up to this multiple of the baseline lets the limit grow.
///
/// It is below [`SLOW_FACTOR`], so that the limit doesn't swing at the border.
const HEALTHY_FACTOR: f64 = 2.0;
/// Baselines below this, in seconds, are judged as if they were this long. Answers of a few
/// hundred microseconds vary by more than the factors through scheduling alone.
const BASELINE_MIN: f64 = 0.002;
/// Answers over which latency is judged, by their median.
const JUDGED: usize = 20;
/// Completed requests per unit of the limit before the limit grows.
const WINDOW: u32 = 8;
/// Windows of steady slowness after which the latency counts as the new baseline.
///
/// A straggler stays slow however little it gets; without this its limit would stay at 1.
const STEADY_WINDOWS: u32 = 4;
/// Weight of a new latency in the baseline.
const BASELINE_GAIN: f64 = 0.02;
/// Weight of a lower latency: a recovered straggler gets its old baseline back soon.
const BASELINE_DROP: f64 = 0.2;
/// Earlier incarnations to remember; answers are never late by more restarts than this.
const PAST: usize = 8;

/// A sign of a cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sign {
    /// The upstream answers with another incarnation.
    NewIncarnation,
    /// A connection was reset.
    ///
    /// The limit drops before a new connection is open, because that connection may already
    /// reach a cold upstream. An answer on an older connection takes the sign back.
    Reset,
    /// The upstream sheds load.
    Shed,
    /// Latency is far above the baseline.
    Slow,
    /// The upstream returns after ejection or being out of service.
    Returned,
}

impl Sign {
    /// Tells whether overload of the whole pool can cause the sign as well.
    fn is_weak(self) -> bool {
        match self {
            Self::Shed | Self::Slow => true,
            Self::NewIncarnation | Self::Reset | Self::Returned => false,
        }
    }
}

/// How many upstreams of the pool are in slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolWarmth {
    pub(crate) cold: u32,
    pub(crate) total: u32,
}

impl PoolWarmth {
    /// Tells whether a third of the pool or more is cold.
    fn is_short(self) -> bool {
        self.total > 0 && self.cold * 3 >= self.total
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Warm,
    Cold {
        sign: Sign,
        since: Instant,
        /// Limit before the sign, restored if the sign proves false.
        before: u32,
        unhealthy: u32,
    },
}

/// Concurrency limit of one upstream.
#[derive(Debug)]
pub(crate) struct Ramp {
    slots: u32,
    limit: u32,
    phase: Phase,
    baseline: Option<f64>,
    incarnation: Option<Incarnation>,
    /// Earlier incarnations, whose late answers are no new restart.
    past: VecDeque<Incarnation>,
    recent: VecDeque<f64>,
    window: Vec<f64>,
    /// Failed attempts in the window.
    failures: u32,
    last_halved: Option<Instant>,
}

impl Ramp {
    /// Starts warm with all slots.
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            limit: slots.max(1),
            phase: Phase::Warm,
            baseline: None,
            incarnation: None,
            past: VecDeque::new(),
            recent: VecDeque::with_capacity(JUDGED),
            window: Vec::new(),
            failures: 0,
            last_halved: None,
        }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.phase != Phase::Warm
    }

    /// Sets another number of slots; growth goes through the ramp.
    pub(crate) fn resize(&mut self, slots: u32, now: Instant) {
        let grown = slots > self.slots;
        self.slots = slots.max(1);
        self.limit = self.limit.min(self.slots);
        if grown && self.phase == Phase::Warm {
            self.enter_cold(Sign::Returned, self.limit, now);
        }
    }

    /// Takes a sign of a cold start.
    ///
    /// While a third of the pool is cold, a weak sign only halves the limit, once a second: such
    /// a sign then more likely comes from overload, and a limit of 1 everywhere would leave the
    /// pool without capacity.
    pub(crate) fn note(&mut self, sign: Sign, pool: PoolWarmth, now: Instant) {
        if sign.is_weak() && !self.is_cold() && pool.is_short() {
            let due = self
                .last_halved
                .is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1));
            if due {
                self.last_halved = Some(now);
                self.enter_cold(sign, (self.limit / 2).max(1), now);
            }
        } else {
            self.enter_cold(sign, 1, now);
        }
    }

    fn enter_cold(&mut self, sign: Sign, limit: u32, now: Instant) {
        let before = match self.phase {
            Phase::Warm => self.limit,
            // A restored limit must never be above one that an earlier sign has taken away.
            Phase::Cold { .. } => limit,
        };
        self.limit = limit.min(self.slots);
        self.phase = Phase::Cold {
            sign,
            since: now,
            before,
            unhealthy: 0,
        };
        self.clear_window();
        self.recent.clear();
    }

    fn clear_window(&mut self) {
        self.window.clear();
        self.failures = 0;
    }

    /// Takes a finished attempt.
    pub(crate) fn complete(&mut self, sample: &Sample, pool: PoolWarmth, now: Instant) {
        self.check_incarnation(sample, pool, now);
        match sample.outcome {
            Outcome::Cancelled => {}
            Outcome::Shed => self.note(Sign::Shed, pool, now),
            Outcome::Failed => self.fail(),
            Outcome::Reset => self.note(Sign::Reset, pool, now),
            // An answer of an earlier incarnation, reported late, shows nothing about this one.
            Outcome::Answered if sample.incarnation.is_some_and(|i| self.past.contains(&i)) => {}
            Outcome::Answered => {
                self.check_survival(sample, now);
                self.answer(sample.latency.as_secs_f64(), pool, now);
            }
        }
    }

    fn check_incarnation(&mut self, sample: &Sample, pool: PoolWarmth, now: Instant) {
        let Some(found) = sample.incarnation else { return };
        match self.incarnation {
            Some(known) if found == known || self.past.contains(&found) => {}
            Some(known) => {
                if self.past.len() == PAST {
                    self.past.pop_front();
                }
                self.past.push_back(known);
                self.incarnation = Some(found);
                self.note(Sign::NewIncarnation, pool, now);
            }
            None => self.incarnation = Some(found),
        }
    }

    /// Takes a failure; a cold upstream that fails a quarter of a window starts over.
    fn fail(&mut self) {
        let Phase::Cold { unhealthy, .. } = &mut self.phase else {
            return;
        };
        self.failures += 1;
        if self.failures * 4 > WINDOW * self.limit {
            *unhealthy = 0;
            self.limit = 1;
            self.clear_window();
        }
    }

    /// Restores the limit if an answer proves that the process survived a reset.
    fn check_survival(&mut self, sample: &Sample, now: Instant) {
        let Phase::Cold {
            sign: Sign::Reset,
            since,
            before,
            ..
        } = self.phase
        else {
            return;
        };
        if sample.connection_age > now.duration_since(since) {
            self.limit = before.min(self.slots);
            self.phase = Phase::Warm;
            self.clear_window();
        }
    }

    fn answer(&mut self, latency: f64, pool: PoolWarmth, now: Instant) {
        match self.phase {
            Phase::Warm => self.answer_warm(latency, pool, now),
            Phase::Cold { .. } => self.answer_cold(latency),
        }
    }

    fn answer_warm(&mut self, latency: f64, pool: PoolWarmth, now: Instant) {
        if self.recent.len() == JUDGED {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
        let full = self.recent.len() == JUDGED;
        match self.baseline {
            None if full => self.baseline = Some(find_median(self.recent.iter().copied())),
            None => {}
            Some(base) if full && find_median(self.recent.iter().copied()) > SLOW_FACTOR * base.max(BASELINE_MIN) => {
                self.note(Sign::Slow, pool, now);
                self.recent.clear();
            }
            // Slow answers stay out, so that the baseline doesn't follow the slowness it shows.
            Some(base) if latency > SLOW_FACTOR * base.max(BASELINE_MIN) => {}
            Some(base) => {
                let gain = if latency < base / 2.0 {
                    BASELINE_DROP
                } else {
                    BASELINE_GAIN
                };
                self.baseline = Some(base + gain * (latency - base));
            }
        }
    }

    fn answer_cold(&mut self, latency: f64) {
        self.window.push(latency);
        let target = usize::try_from(WINDOW * self.limit).unwrap_or(usize::MAX);
        if self.window.len() < target {
            return;
        }
        let median = find_median(self.window.drain(..));
        self.failures = 0;
        let base = *self.baseline.get_or_insert(median);
        let Phase::Cold { unhealthy, .. } = &mut self.phase else {
            return;
        };
        if median <= HEALTHY_FACTOR * base.max(BASELINE_MIN) {
            *unhealthy = 0;
            self.grow();
        } else {
            *unhealthy += 1;
            if *unhealthy >= STEADY_WINDOWS {
                *unhealthy = 0;
                self.baseline = Some(median);
            }
        }
    }

    fn grow(&mut self) {
        self.limit = (self.limit + 1).min(self.slots);
        if self.limit == self.slots {
            self.phase = Phase::Warm;
            self.recent.clear();
        }
    }
}

fn find_median(values: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}
