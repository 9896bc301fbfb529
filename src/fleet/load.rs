//! Load of an upstream, estimated from this host's requests in flight, the load that the upstream
//! reports, and its latency relative to the typical latency of the route.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant with which the reported requests of other hosts decay; reports come with each
/// response, a few per second.
const REPORT_DECAY: Duration = Duration::from_millis(1_500);
/// Time constant with which the reported slowness decays; the slowness of an upstream's machine
/// changes several times a second.
const SLOWNESS_DECAY: Duration = Duration::from_millis(400);
/// Time constant with which the latency ratio that this host has seen counts less: an upstream that was slow for a moment
/// gets no requests that would show that it no longer is.
const LATENCY_RATIO_DECAY: Duration = Duration::from_secs(6);
/// Weight of one response in the moving average of the latency ratio (EWMA).
const LATENCY_RATIO_WEIGHT: f64 = 0.1;
/// Range to which the latency ratio of a single response is clamped, to limit outliers.
const LATENCY_RATIO_RANGE: (f64, f64) = (0.1, 8.0);

/// Load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadReport {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    /// Current processing time, in percent of the typical one.
    pub(crate) slowness: u32,
}

/// Estimate of an upstream's load.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    /// Requests of this host.
    pub(crate) in_flight: u32,
    /// Moving average of latencies relative to the typical latency of the route; above 1 is slower.
    pub(crate) latency_ratio: f64,
    /// The same as all hosts have observed it; 1 until this host is told.
    typical_ratio: f64,
    /// When the last response arrived.
    responded_at: Instant,
    slots: f64,
    /// Requests of other hosts at the last report.
    other_requests: f64,
    /// Reported slowness as a factor; 1 is typical.
    slowness: f64,
    reported_at: Instant,
}

impl Load {
    pub(crate) fn new(now: Instant, slots: u32) -> Self {
        Self {
            in_flight: 0,
            latency_ratio: 1.0,
            typical_ratio: 1.0,
            responded_at: now,
            slots: f64::from(slots.max(1)),
            other_requests: 0.0,
            slowness: 1.0,
            reported_at: now,
        }
    }

    pub(crate) fn record_load(&mut self, now: Instant, report: LoadReport) {
        let total = f64::from(report.running + report.waiting);
        self.other_requests = (total - f64::from(self.in_flight)).max(0.0);
        self.slots = f64::from(report.slots.max(1));
        self.slowness = f64::from(report.slowness.max(1)) / 100.0;
        self.reported_at = now;
    }

    /// Records the latency of a response, relative to the typical latency of its route.
    pub(crate) fn record_latency(&mut self, now: Instant, ratio: f64) {
        self.responded_at = now;
        let ratio = ratio.clamp(LATENCY_RATIO_RANGE.0, LATENCY_RATIO_RANGE.1);
        self.latency_ratio += LATENCY_RATIO_WEIGHT * (ratio - self.latency_ratio);
    }

    /// Sets the latency ratio that all hosts have observed.
    pub(crate) fn set_typical_ratio(&mut self, ratio: f64) {
        self.typical_ratio = ratio;
    }

    /// Estimates the factor by which waiting for a slot prolongs a further request.
    pub(crate) fn queue_factor(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported_at).as_secs_f64();
        let others = self.other_requests * (-age / REPORT_DECAY.as_secs_f64()).exp();
        let ahead = others + f64::from(self.in_flight);
        let queued = (ahead + 1.0 - self.slots).max(0.0);
        1.0 + queued / self.slots
    }

    /// Estimates the latency of a further request as a multiple of the typical latency of its route.
    pub(crate) fn latency_factor(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported_at).as_secs_f64();
        let slowness = 1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_DECAY.as_secs_f64()).exp();
        let silence = now.saturating_duration_since(self.responded_at).as_secs_f64();
        let typical = self.typical_ratio;
        let latency_ratio =
            typical + (self.latency_ratio - typical) * (-silence / LATENCY_RATIO_DECAY.as_secs_f64()).exp();
        latency_ratio * slowness.max(0.5) * self.queue_factor(now)
    }
}
