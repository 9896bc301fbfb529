//! Limit on the requests to a cold upstream, divided among the hosts.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::types::{HostName, UpstreamName};

/// Sliding window in which requests to a cold upstream are counted. It is longer than the one second
/// for which the bound is given, because requests wait for a connection for up to 0.25 s and take
/// different times to arrive.
const WINDOW: Duration = Duration::from_millis(1_300);
/// Fraction of the bound that all hosts together use.
const USED_FRACTION: f64 = 0.8;

/// Number of requests that one host may send to a cold upstream within a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ColdQuota(pub(crate) u32);

impl ColdQuota {
    /// Divides a bound on the requests per second among the hosts.
    ///
    /// If there are more hosts than requests, rendezvous hashing by the names of host and upstream
    /// selects the hosts that use the upstream while it is cold. All hosts that know the same list of
    /// hosts select the same ones.
    pub(crate) fn of_host(bound: f64, hosts: &[HostName], own: &HostName, upstream: &UpstreamName) -> Self {
        let total = truncate_count(bound * USED_FRACTION);
        let host_count = u32::try_from(hosts.len().max(1)).unwrap_or(u32::MAX);
        if total >= host_count {
            return Self(total / host_count);
        }
        let score = |host: &HostName| xxh3_64(format!("{host} {upstream}").as_bytes());
        let own_score = score(own);
        let rank = hosts.iter().filter(|host| score(host) < own_score).count();
        let is_selected = u32::try_from(rank).is_ok_and(|rank| rank < total);
        Self(u32::from(is_selected))
    }
}

/// Truncates a small non-negative number to an integer.
fn truncate_count(number: f64) -> u32 {
    let mut count = 0;
    while f64::from(count + 1) <= number.min(10_000.0) {
        count += 1;
    }
    count
}

/// Limits this host's requests to one cold upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdLimiter {
    /// Times of recent requests.
    sent: VecDeque<Instant>,
}

impl ColdLimiter {
    pub(crate) fn admits(&self, now: Instant, quota: ColdQuota) -> bool {
        let recent = self.sent.iter().filter(|&&at| now < at + WINDOW).count();
        u32::try_from(recent).is_ok_and(|recent| recent < quota.0)
    }

    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.sent.retain(|&at| now < at + WINDOW);
        self.sent.push_back(now);
    }
}
