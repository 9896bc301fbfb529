//! Limits retries by verdict, deadline and budget.

use std::time::Duration;

use tokio::time::Instant;

use crate::types::Verdict;

/// Retries per request.
const RETRIES_MAX: u32 = 2;
/// Retries per admitted request, over all causes.
const SHARE: f64 = 0.1;
/// Retries per second that are granted however few requests there are.
const MINIMUM_RATE: f64 = 1.0;
/// Retries that can be saved up.
const BURST: f64 = 10.0;
/// Time between two fillings of the bucket.
const FILL_EVERY: Duration = Duration::from_millis(100);

/// A failed attempt that may be followed by another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub(crate) verdict: Verdict,
    pub(crate) idempotent: bool,
    /// Attempts made so far.
    pub(crate) attempts: u32,
    pub(crate) deadline: Instant,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// The upstream answered, or may have run a request that must not run twice.
    Verdict,
    Attempts,
    Deadline,
    Budget,
}

/// Token bucket of retries of one host.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    /// Requests since the last filling.
    requests: u32,
    filled: Instant,
}

impl RetryBudget {
    /// Starts with the retries of one second at the minimum rate.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tokens: MINIMUM_RATE,
            requests: 0,
            filled: now,
        }
    }

    /// Counts an admitted request.
    pub(crate) fn count_request(&mut self, now: Instant) {
        self.requests += 1;
        self.fill(now);
    }

    /// Spends a retry on a failed request.
    ///
    /// `pick_again` gives the upstream of the next attempt.
    ///
    /// # Errors
    ///
    /// Gives the reason why the request must not be retried.
    pub(crate) fn spend(&mut self, failure: &Failure, now: Instant) -> Result<(), Denial> {
        self.fill(now);
        let permitted = match failure.verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => failure.idempotent,
            Verdict::Ran => false,
        };
        if !permitted {
            return Err(Denial::Verdict);
        }
        if failure.attempts > RETRIES_MAX {
            return Err(Denial::Attempts);
        }
        if now >= failure.deadline {
            return Err(Denial::Deadline);
        }
        if self.tokens < 1.0 {
            return Err(Denial::Budget);
        }
        self.tokens -= 1.0;
        Ok(())
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.filled);
        if elapsed < FILL_EVERY {
            return;
        }
        let earned = (SHARE * f64::from(self.requests)).max(MINIMUM_RATE * elapsed.as_secs_f64());
        // A busy host earns more than the burst between two fillings.
        self.tokens = (self.tokens + earned).min(BURST.max(earned));
        self.requests = 0;
        self.filled = now;
    }
}
