//! Limit that an upstream names for the requests of all hosts, divided among the hosts.

use std::time::Duration;

use tokio::time::Instant;

use crate::types::Rate;

/// Requests per second of all hosts together that are sent whatever the limit; only responses show that the limit
/// has ended.
const RATE_MIN: f64 = 0.25;
/// Time whose share a host may send at once.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Limits this host's requests to one upstream to its share of the upstream's limit, by a token bucket.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RateLimiter {
    limit: Rate,
    /// Requests that could be sent at once at `updated`.
    tokens: f64,
    updated: Instant,
}

impl RateLimiter {
    /// Creates a limiter. `phase`, a number from 0 to 1, is the first token's part that is there at once; random
    /// phases keep the hosts from sending their first requests at the same time.
    pub(crate) fn new(now: Instant, limit: Rate, phase: f64) -> Self {
        Self {
            limit,
            tokens: phase.clamp(0.0, 1.0),
            updated: now,
        }
    }

    pub(crate) fn limit(&self) -> Rate {
        self.limit
    }

    pub(crate) fn set_limit(&mut self, now: Instant, limit: Rate, hosts: usize) {
        self.tokens = self.tokens_at(now, hosts);
        self.updated = now;
        self.limit = limit;
    }

    /// Returns this host's share of the limit, in requests per second.
    fn share(&self, hosts: usize) -> f64 {
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        self.limit.per_second().max(RATE_MIN) / f64::from(hosts)
    }

    fn tokens_at(&self, now: Instant, hosts: usize) -> f64 {
        let share = self.share(hosts);
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.tokens + share * elapsed).min((share * BURST_TIME.as_secs_f64()).max(1.0))
    }

    pub(crate) fn admits(&self, now: Instant, hosts: usize) -> bool {
        self.tokens_at(now, hosts) >= 1.0
    }

    pub(crate) fn record_sent(&mut self, now: Instant, hosts: usize) {
        self.tokens = self.tokens_at(now, hosts) - 1.0;
        self.updated = now;
    }
}
