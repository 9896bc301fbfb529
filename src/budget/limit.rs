//! Limit on the requests of all hosts, such as an upstream names, divided among the hosts.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::types::{HostName, Rate};

/// Requests per second of all hosts together that are sent whatever the limit; only responses show that the limit
/// has ended.
const RATE_MIN: f64 = 0.25;
/// Time whose share a host may send at once.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Time for which the same hosts use the limit of an upstream, if it is too small for all of them.
const TURN_TIME: Duration = Duration::from_secs(10);

/// How the limit of an upstream is divided among the hosts.
///
/// A host needs a whole token for a request. If the limit gives each host less than one token in a second, hosts that
/// are idle would all hold one and could send them at once. So only as many hosts use the upstream as have a token each,
/// and they take turns. All hosts that know the same list of hosts and about the same time choose the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Division {
    pub(crate) hosts: usize,
    /// Number of hosts that come before this one in the current turn.
    pub(crate) rank: usize,
    pub(crate) turn: u64,
    /// Time since the start of the turn.
    pub(crate) elapsed: Duration,
}

impl Division {
    /// Returns the division of the limit that is named `subject` at a time since the Unix epoch.
    pub(crate) fn of_host<'a>(
        unix_time: Duration,
        hosts: impl Iterator<Item = &'a HostName>,
        own: &HostName,
        subject: &str,
    ) -> Self {
        let turn = unix_time.as_secs() / TURN_TIME.as_secs();
        let score = |host: &HostName| xxh3_64(format!("{host} {subject} {turn}").as_bytes());
        let own_score = score(own);
        let mut division = Self {
            hosts: 0,
            rank: 0,
            turn,
            elapsed: Duration::from_nanos(
                u64::try_from(unix_time.as_nanos() % TURN_TIME.as_nanos()).unwrap_or_default(),
            ),
        };
        for host in hosts {
            division.hosts += 1;
            division.rank += usize::from(score(host) < own_score);
        }
        division.hosts = division.hosts.max(1);
        division
    }
}

/// Limits this host's requests to one upstream to its share of the upstream's limit, by a token bucket.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RateLimiter {
    limit: Rate,
    /// Requests that could be sent at once at `updated`.
    tokens: f64,
    updated: Instant,
    /// Turn in which the tokens were collected.
    turn: u64,
}

impl RateLimiter {
    /// Creates a limiter. `phase`, a number from 0 to 1, is the first token's part that is there at once; random
    /// phases keep the hosts from sending their first requests at the same time.
    pub(crate) fn new(now: Instant, limit: Rate, phase: f64) -> Self {
        Self {
            limit,
            tokens: phase.clamp(0.0, 1.0),
            updated: now,
            turn: 0,
        }
    }

    pub(crate) fn limit(&self) -> Rate {
        self.limit
    }

    pub(crate) fn set_limit(&mut self, now: Instant, limit: Rate, division: Division) {
        self.update(now, division);
        self.limit = limit;
    }

    /// Returns this host's share of the limit, in requests per second; `None` if it is not its turn.
    fn share(&self, division: Division) -> Option<f64> {
        let rate = self.limit.per_second().max(RATE_MIN);
        let hosts = to_f64(division.hosts);
        let users = (rate * BURST_TIME.as_secs_f64()).ceil().clamp(1.0, hosts);
        (to_f64(division.rank) < users).then_some(rate / users)
    }

    fn tokens_at(&self, now: Instant, division: Division) -> f64 {
        let Some(share) = self.share(division) else {
            return 0.0;
        };
        let takes_turns = share * to_f64(division.hosts) > self.limit.per_second().max(RATE_MIN);
        let cap = (share * BURST_TIME.as_secs_f64()).max(1.0);
        if takes_turns && self.turn != division.turn {
            return (share * division.elapsed.as_secs_f64()).min(cap);
        }
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.tokens + share * elapsed).min(cap)
    }

    fn update(&mut self, now: Instant, division: Division) {
        self.tokens = self.tokens_at(now, division);
        self.updated = now;
        self.turn = division.turn;
    }

    pub(crate) fn admits(&self, now: Instant, division: Division) -> bool {
        self.tokens_at(now, division) >= 1.0
    }

    pub(crate) fn record_sent(&mut self, now: Instant, division: Division) {
        self.update(now, division);
        self.tokens -= 1.0;
    }
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
