//! Outlier ejection: which upstreams receive no requests for a while because requests fail there.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of one outcome in the moving average of failures (EWMA).
const FAILURE_WEIGHT: f64 = 0.2;
/// Average failure rate above which an upstream is ejected.
const FAILURE_RATE_MAX: f64 = 0.35;
/// Consecutive failures after which an upstream is ejected, whatever its average failure rate.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// Length of the first ejection; doubled with each further one.
const EJECTION_TIME_FIRST: Duration = Duration::from_millis(700);
const EJECTION_TIME_MAX: Duration = Duration::from_secs(6);

/// Time between two attempts to connect to an unreachable owner of keys.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(200);

/// Outcome of a request to an upstream, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Served,
    /// The upstream refused the request because it is full; this is load, not a failure.
    Shed,
    /// The request failed, or the connection was lost.
    Failed,
    /// No connection could be opened.
    Unreachable,
}

/// Health of an upstream, derived from the outcomes of this host's own requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Moving average, from 0 to 1.
    failure_rate: f64,
    consecutive_failures: u32,
    /// Ejections since the failure rate was last low; sets the length of the next one.
    ejections: u32,
    /// End of the ejection; kept until a probe request succeeds.
    ejected_until: Option<Instant>,
    /// When a connection last couldn't be opened; `None` once the upstream has responded.
    unreachable_at: Option<Instant>,
    /// Whether a probe request is in flight.
    is_probing: bool,
}

impl Health {
    /// Records an outcome. Returns true if the outcome calls for an ejection, even if the upstream is
    /// already ejected.
    pub(crate) fn record(&mut self, now: Instant, outcome: Outcome) -> bool {
        let was_probing = std::mem::take(&mut self.is_probing);
        match outcome {
            Outcome::Unreachable => self.unreachable_at = Some(now),
            Outcome::Served | Outcome::Shed => self.unreachable_at = None,
            Outcome::Failed => {}
        }
        match outcome {
            Outcome::Served => {
                self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
                self.consecutive_failures = 0;
                if was_probing && self.failure_rate < FAILURE_RATE_MAX {
                    self.ejected_until = None;
                }
                if self.failure_rate < FAILURE_RATE_MAX / 4.0 {
                    self.ejections = 0;
                }
                false
            }
            Outcome::Shed => false,
            Outcome::Failed | Outcome::Unreachable => {
                self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
                self.consecutive_failures += 1;
                let is_outlier = outcome == Outcome::Unreachable
                    || was_probing
                    || self.consecutive_failures >= CONSECUTIVE_FAILURES_MAX
                    || self.failure_rate > FAILURE_RATE_MAX;
                if is_outlier {
                    self.eject(now);
                }
                is_outlier
            }
        }
    }

    fn eject(&mut self, now: Instant) {
        // Capped at the limit, so that a single successful probe request ends the ejection, even
        // after failures of requests that were in flight when it began.
        self.failure_rate = self.failure_rate.min(FAILURE_RATE_MAX);
        if self.ejected_until.is_some_and(|end| end > now) {
            return;
        }
        let duration = EJECTION_TIME_FIRST * 2_u32.pow(self.ejections.min(8));
        self.ejected_until = Some(now + duration.min(EJECTION_TIME_MAX));
        self.ejections += 1;
    }

    /// Reports whether a request may be sent: the upstream isn't ejected, or is due for
    /// a probe request.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(end) => end <= now && !self.is_probing,
        }
    }

    /// Returns the time until which no connection should be attempted.
    ///
    /// Owners of keys are subject only to this backoff, not to ejection: while an owner fails some
    /// requests, no other upstream can serve its keys.
    pub(crate) fn backoff_until(&self, now: Instant) -> Option<Instant> {
        self.unreachable_at
            .map(|at| at + UNREACHABLE_BACKOFF)
            .filter(|&until| now < until)
    }

    /// Records that a request is sent; to an ejected upstream, it is a probe.
    pub(crate) fn start(&mut self) {
        self.is_probing |= self.ejected_until.is_some();
    }

    /// Records that a request ended without an outcome, for example because its caller left.
    pub(crate) fn cancel(&mut self) {
        self.is_probing = false;
    }
}
