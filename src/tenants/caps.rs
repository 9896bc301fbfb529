//! Caps of tenants over all hosts together.
//!
//! They answer tenants that send far more than usual, also from hosts that change. One host, the grantor of keys, keeps a
//! token bucket for each tenant and issues tokens to the hosts that ask; a request needs a token. As no token is issued
//! twice, the sum over all hosts stays within the cap wherever the callers are, and what a host doesn't use, others can.
//! A host without an answer may use its part of the tolerance of the cap, which can't break the bound.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::budget::{Division, RateLimiter};
use crate::types::{Rate, TenantName};

/// Time for which a host keeps tokens that it has fetched ahead.
const TOKEN_LIFETIME: Duration = Duration::from_millis(1_500);
/// Time whose requests a host fetches tokens for ahead.
const AHEAD_SECONDS: f64 = 0.25;
/// Most tokens that a host fetches ahead for one tenant.
const AHEAD_MAX: f64 = 24.0;
/// Time constant of the average of the requests of a tenant at a host.
const DEMAND_SECONDS: f64 = 2.0;
/// Share of the tolerance of a cap that hosts without an answer may use together.
pub(crate) const SPARE_SHARE: f64 = 0.6;
/// Shortest and longest time for which a host refuses requests of a tenant after the keeper had no token. Within it, the
/// keeper isn't asked again.
const EMPTY_TIME: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(400));

/// Cap of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CapLimits {
    /// Requests per second.
    pub(crate) rate: f64,
    /// Requests beyond the rate that may be sent at once.
    pub(crate) burst: f64,
}

/// Token bucket of fractional tokens.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    updated: Instant,
}

impl Bucket {
    fn refill(&mut self, now: Instant, rate: f64, size: f64) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min(size);
        self.updated = now;
    }
}

/// Answer of the keeper to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Issue {
    pub(crate) tokens: u32,
    /// Time until the bucket has a token again, if it has none left.
    pub(crate) wait: Duration,
}

/// Token buckets of all tenants, at the host that keeps them.
#[derive(Clone, Debug)]
pub(crate) struct CapKeeper {
    /// Term of office of the keeper. A new one can't know what the one before has issued, so its buckets start empty.
    epoch: u64,
    started: Instant,
    buckets: BTreeMap<TenantName, Bucket>,
}

impl CapKeeper {
    /// Creates the keeper that is the only one since a time.
    pub(crate) fn new(since: Instant, epoch: u64) -> Self {
        Self {
            epoch,
            started: since,
            buckets: BTreeMap::new(),
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Issues up to `wanted` tokens, after taking back those that a host returns.
    pub(crate) fn issue(
        &mut self,
        now: Instant,
        tenant: &TenantName,
        limits: CapLimits,
        wanted: u32,
        returned: u32,
    ) -> Issue {
        let size = limits.burst.max(1.0);
        let bucket = self.buckets.entry(tenant.clone()).or_insert(Bucket {
            tokens: 0.0,
            updated: self.started,
        });
        bucket.refill(now, limits.rate, size);
        bucket.tokens = (bucket.tokens + f64::from(returned)).min(size);
        let mut tokens = 0;
        while tokens < wanted && bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            tokens += 1;
        }
        let missing = (1.0 - bucket.tokens).max(0.0);
        Issue {
            tokens,
            wait: Duration::from_secs_f64((missing / limits.rate.max(0.01)).min(10.0)),
        }
    }
}

/// Decision on a request of a tenant with a cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CapDecision {
    /// A token has been taken.
    Admit,
    /// The keeper has to be asked.
    Ask,
    /// The cap is used up; a token may be there after this time.
    Refuse(Duration),
}

/// Tokens of one tenant at one host.
#[derive(Clone, Debug)]
pub(crate) struct Allowance {
    tokens: u32,
    expiry: Instant,
    /// Until when the keeper has no tokens.
    empty_until: Option<Instant>,
    /// Requests per second, averaged.
    demand: f64,
    demand_at: Instant,
    /// Requests that wait for tokens.
    waiting: u32,
    /// This host's part of the tolerance, for requests without an answer of the keeper.
    spare: RateLimiter,
}

impl Allowance {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tokens: 0,
            expiry: now,
            empty_until: None,
            demand: 0.0,
            demand_at: now,
            waiting: 0,
            spare: RateLimiter::new(now, Rate::default(), 0.0),
        }
    }

    /// Counts a request that has arrived.
    pub(crate) fn record_request(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand = self.demand * (-elapsed / DEMAND_SECONDS).exp() + 1.0 / DEMAND_SECONDS;
        self.demand_at = now;
    }

    /// Decides on a request, and takes its token if there is one.
    pub(crate) fn decide(&mut self, now: Instant) -> CapDecision {
        if self.tokens > 0 && now < self.expiry {
            self.tokens -= 1;
            return CapDecision::Admit;
        }
        match self.empty_until.filter(|until| now < *until) {
            Some(until) => CapDecision::Refuse(until - now),
            None => CapDecision::Ask,
        }
    }

    /// Counts a request as waiting for a token, or as no longer waiting.
    pub(crate) fn record_wait(&mut self, is_waiting: bool) {
        self.waiting = if is_waiting {
            self.waiting + 1
        } else {
            self.waiting.saturating_sub(1)
        };
    }

    /// Returns the tokens to ask for, for the requests that wait and those expected soon.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small number, limited above"
    )]
    pub(crate) fn wanted(&self) -> u32 {
        let ahead = (self.demand * AHEAD_SECONDS).min(AHEAD_MAX) as u32;
        (self.waiting + ahead).saturating_sub(self.tokens)
    }

    /// Reports whether tokens are to be fetched although no request waits for one.
    pub(crate) fn is_low(&self, now: Instant) -> bool {
        let is_empty = self.empty_until.is_some_and(|until| now < until);
        let enough = (self.demand * AHEAD_SECONDS / 2.0).min(AHEAD_MAX / 2.0);
        !is_empty && enough >= 1.0 && f64::from(self.tokens) < enough
    }

    /// Takes the tokens that have expired; they go back to the keeper.
    pub(crate) fn take_expired(&mut self, now: Instant) -> u32 {
        if now < self.expiry {
            return 0;
        }
        std::mem::take(&mut self.tokens)
    }

    /// Adds issued tokens.
    pub(crate) fn record_issue(&mut self, now: Instant, issue: Issue) {
        self.tokens += issue.tokens;
        self.expiry = now + TOKEN_LIFETIME;
        self.empty_until = (issue.tokens == 0).then(|| now + issue.wait.clamp(EMPTY_TIME.0, EMPTY_TIME.1));
    }

    /// Puts back the token of a request that no upstream ran.
    pub(crate) fn return_token(&mut self, now: Instant) {
        self.tokens += 1;
        self.expiry = self.expiry.max(now + TOKEN_LIFETIME);
        self.empty_until = None;
    }

    /// Takes a spare token, of which all hosts together get `rate` per second.
    pub(crate) fn try_spare(&mut self, now: Instant, rate: Rate, division: Division) -> bool {
        if self.spare.limit() != rate {
            self.spare.set_limit(now, rate, division);
        }
        let has_token = self.spare.admits(now, division);
        if has_token {
            self.spare.record_sent(now, division);
        }
        has_token
    }
}
