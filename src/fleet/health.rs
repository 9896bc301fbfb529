//! Which upstreams are left out for a while because requests fail there.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of one outcome in the moving average of failures, in outcomes.
const FAILURE_WEIGHT: f64 = 0.2;
/// Share of failures above which an upstream is left out.
const FAILURE_SHARE: f64 = 0.35;
/// Failures in a row after which an upstream is left out, whatever its average.
const FAILURES_IN_ROW: u32 = 3;
/// First time for which an upstream is left out; doubled with each further time.
const EJECTION_FIRST: Duration = Duration::from_millis(700);
/// Longest time for which an upstream is left out.
const EJECTION_MAX: Duration = Duration::from_secs(6);

/// Time between two tries to connect to an owner of keys that can't be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(200);

/// How an attempt at an upstream ended, as its health sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Served,
    /// It refused because it is full; that is load, not a failure.
    Shed,
    /// It failed the request or broke off.
    Failed,
    /// No connection could be opened.
    Unreachable,
}

/// Health of an upstream from the outcomes of this host's own requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: f64,
    in_row: u32,
    times: u32,
    ejected_until: Option<Instant>,
    /// When a connection last couldn't be opened.
    unreachable: Option<Instant>,
    /// A request that tries an upstream whose time out is over is in flight.
    is_tried: bool,
}

impl Health {
    /// Takes in an outcome; true if the upstream is left out from now on.
    pub(crate) fn record(&mut self, now: Instant, outcome: Outcome) -> bool {
        let was_tried = std::mem::take(&mut self.is_tried);
        match outcome {
            Outcome::Unreachable => self.unreachable = Some(now),
            Outcome::Served | Outcome::Shed => self.unreachable = None,
            Outcome::Failed => {}
        }
        match outcome {
            Outcome::Served => {
                self.failures -= FAILURE_WEIGHT * self.failures;
                self.in_row = 0;
                if was_tried && self.failures < FAILURE_SHARE {
                    self.ejected_until = None;
                }
                if self.failures < FAILURE_SHARE / 4.0 {
                    self.times = 0;
                }
                false
            }
            Outcome::Shed => false,
            Outcome::Failed | Outcome::Unreachable => {
                self.failures += FAILURE_WEIGHT * (1.0 - self.failures);
                self.in_row += 1;
                let is_bad = outcome == Outcome::Unreachable
                    || was_tried
                    || self.in_row >= FAILURES_IN_ROW
                    || self.failures > FAILURE_SHARE;
                if is_bad {
                    self.eject(now);
                }
                is_bad
            }
        }
    }

    fn eject(&mut self, now: Instant) {
        // The average starts anew at the limit, so that one good answer can bring it back, also
        // after failures of requests that were in flight when it was left out.
        self.failures = self.failures.min(FAILURE_SHARE);
        if self.ejected_until.is_some_and(|end| end > now) {
            return;
        }
        let time = EJECTION_FIRST * 2_u32.pow(self.times.min(8));
        self.ejected_until = Some(now + time.min(EJECTION_MAX));
        self.times += 1;
    }

    /// Tells whether requests may go there: not left out, or due for one that tries it.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(end) => end <= now && !self.is_tried,
        }
    }

    /// Gives the time until which no connection should be tried; the only measure for an owner of
    /// keys, as nobody else can serve them while it fails some.
    pub(crate) fn backoff_until(&self, now: Instant) -> Option<Instant> {
        self.unreachable
            .map(|at| at + UNREACHABLE_BACKOFF)
            .filter(|&until| now < until)
    }

    /// Notes that a request goes there.
    pub(crate) fn start(&mut self) {
        self.is_tried |= self.ejected_until.is_some();
    }

    /// Notes that a request ended without telling anything, for instance as its caller left.
    pub(crate) fn cancel(&mut self) {
        self.is_tried = false;
    }
}
