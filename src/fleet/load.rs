//! How busy an upstream is: own requests in flight, its reports, and its latency ratio beside its pool.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a report of the requests of other hosts has lost most of its weight; reports
/// come with each answer, a few a second.
const REPORT_DECAY: Duration = Duration::from_millis(1_500);
/// The same for the slowness of an upstream's machine, which changes several times a second.
const SLOWNESS_DECAY: Duration = Duration::from_millis(400);
/// Weight of one answer in the moving average of the latency ratio, in answers.
const LATENCY_RATIO_WEIGHT: f64 = 0.1;
/// Bounds of one answer's ratio to the usual time, against outliers.
const LATENCY_RATIO_RANGE: (f64, f64) = (0.1, 8.0);

/// What an upstream reported of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadReport {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    /// Time that work takes at the moment, in percent of the usual.
    pub(crate) slowness: u32,
}

/// What is known of an upstream's load.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) in_flight: u32,
    /// Time of an answer relative to the usual one of the same route; above 1 is slower.
    pub(crate) latency_ratio: f64,
    slots: f64,
    /// Requests of other hosts at the last report.
    others: f64,
    slowness: f64,
    reported: Instant,
}

impl Load {
    pub(crate) fn new(now: Instant, slots: u32) -> Self {
        Self {
            in_flight: 0,
            latency_ratio: 1.0,
            slots: f64::from(slots.max(1)),
            others: 0.0,
            slowness: 1.0,
            reported: now,
        }
    }

    /// Takes in a report that came with an answer.
    pub(crate) fn record_load(&mut self, now: Instant, report: LoadReport) {
        let all = f64::from(report.running + report.waiting);
        self.others = (all - f64::from(self.in_flight)).max(0.0);
        self.slots = f64::from(report.slots.max(1));
        self.slowness = f64::from(report.slowness.max(1)) / 100.0;
        self.reported = now;
    }

    /// Takes in the time that an answer took, relative to the usual one of its route.
    pub(crate) fn record_latency(&mut self, ratio: f64) {
        let ratio = ratio.clamp(LATENCY_RATIO_RANGE.0, LATENCY_RATIO_RANGE.1);
        self.latency_ratio += LATENCY_RATIO_WEIGHT * (ratio - self.latency_ratio);
    }

    /// Estimates by how much waiting for a slot lengthens a further request.
    pub(crate) fn queue_factor(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported).as_secs_f64();
        let others = self.others * (-age / REPORT_DECAY.as_secs_f64()).exp();
        let ahead = others + f64::from(self.in_flight);
        let queued = (ahead + 1.0 - self.slots).max(0.0);
        1.0 + queued / self.slots
    }

    /// Estimates the time of a further request, in units of the usual time of its route.
    pub(crate) fn latency_factor(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported).as_secs_f64();
        let slowness = 1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_DECAY.as_secs_f64()).exp();
        self.latency_ratio * slowness.max(0.5) * self.queue_factor(now)
    }
}
