//! Retry budget: limits the retries of a pool's requests.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Number of buckets into which the sliding window is divided.
const BUCKETS: u32 = 20;
/// Fraction of the limit that is used; the rest is a reserve for hosts that joined unnoticed.
const USED_FRACTION: f64 = 0.75;

/// Limit on the retries of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryLimits {
    pub(crate) window: Duration,
    /// Retries allowed per request.
    pub(crate) ratio: f64,
    /// Retries that all hosts together may send in a window beyond the ratio.
    pub(crate) extra: f64,
}

/// Counts of one bucket of the sliding window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

/// Counts a pool's requests and retries at this host in a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    pub(crate) fn record_request(&mut self, now: Instant, limits: &RetryLimits) {
        self.current_bucket(now, limits).requests += 1;
    }

    /// Takes one retry from the budget. Returns false if this host's share is used up.
    pub(crate) fn try_take(&mut self, now: Instant, limits: &RetryLimits, hosts: usize) -> bool {
        self.current_bucket(now, limits);
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let used: u32 = self.buckets.iter().map(|b| b.retries).sum();
        // The oldest bucket is only partly inside the window, so its requests aren't counted.
        let requests: u32 = self.buckets.iter().skip(1).map(|b| b.requests).sum();
        let limit = limits.ratio * f64::from(requests) + limits.extra / f64::from(hosts);
        if f64::from(used + 1) > limit * USED_FRACTION {
            return false;
        }
        self.current_bucket(now, limits).retries += 1;
        true
    }

    /// Drops the buckets outside the window and returns the current one.
    fn current_bucket(&mut self, now: Instant, limits: &RetryLimits) -> &mut Bucket {
        let bucket_length = limits.window / BUCKETS;
        while self
            .buckets
            .front()
            .is_some_and(|b| now >= b.start + limits.window + bucket_length)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| now >= b.start + bucket_length) {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was added if there was none")
    }
}
