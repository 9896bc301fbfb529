//! Decides when a second attempt runs beside a slow one.

use std::collections::VecDeque;
use std::time::Duration;

/// Extra attempts per request while slots are free.
const SHARE: f64 = 0.05;
/// Slot utilisation up to which the full share is granted.
const FULL_BELOW: f64 = 0.5;
/// Slot utilisation from which no hedge is sent.
const NONE_ABOVE: f64 = 0.7;
/// Hedges that can be saved up.
const BURST: f64 = 10.0;
/// Latencies that the percentile is taken from.
const KEPT: usize = 1000;
/// Answers between two calculations of the percentile.
const CALCULATE_EVERY: u32 = 50;
/// Answers before the first hedge.
const ANSWERS_MIN: usize = 100;

/// A request that is still waiting for its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HedgeQuestion {
    pub(crate) idempotent: bool,
    /// The pool is shared, not divided by key.
    pub(crate) shared: bool,
    /// Time since the first attempt was sent.
    pub(crate) elapsed: Duration,
    /// Share of the pool's slots in use, from 0 to 1.
    pub(crate) utilisation: f64,
}

/// Budget of hedged requests of one pool.
#[derive(Debug, Default)]
pub(crate) struct HedgeBudget {
    tokens: f64,
    latencies: VecDeque<Duration>,
    since_calculated: u32,
    delay: Option<Duration>,
}

impl HedgeBudget {
    /// Counts a request and earns its share of a hedge.
    pub(crate) fn count_request(&mut self, utilisation: f64) {
        let scale = ((NONE_ABOVE - utilisation) / (NONE_ABOVE - FULL_BELOW)).clamp(0.0, 1.0);
        self.tokens = (self.tokens + SHARE * scale).min(BURST);
    }

    /// Takes the latency of a request, from its first attempt to its answer.
    pub(crate) fn note(&mut self, latency: Duration) {
        if self.latencies.len() == KEPT {
            self.latencies.pop_front();
        }
        self.latencies.push_back(latency);
        self.since_calculated += 1;
        if self.since_calculated >= CALCULATE_EVERY && self.latencies.len() >= ANSWERS_MIN {
            self.since_calculated = 0;
            let mut sorted: Vec<Duration> = self.latencies.iter().copied().collect();
            let rank = sorted.len() * 95 / 100;
            self.delay = Some(*sorted.select_nth_unstable(rank).1);
        }
    }

    /// Time after which a request may be hedged, the 95th percentile; `None` while unknown.
    pub(crate) fn delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Spends a hedge if the request may have one; the loser of the two has to be cancelled.
    pub(crate) fn spend(&mut self, question: &HedgeQuestion) -> bool {
        let late = self.delay.is_some_and(|delay| question.elapsed >= delay);
        let free = question.utilisation < NONE_ABOVE && self.tokens >= 1.0;
        let granted = question.idempotent && question.shared && late && free;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
