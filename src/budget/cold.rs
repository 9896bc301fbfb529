//! Share of the requests that a cold upstream bears.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::types::{HostName, UpstreamName};

/// Window in which requests to a cold upstream are counted, longer than the bound's second because
/// requests wait for a connection for up to 0.25 s and travel for different times.
const WINDOW: Duration = Duration::from_millis(1_300);
/// Part of the bound that hosts use together.
const USED_SHARE: f64 = 0.8;

/// Requests that one host may send to a cold upstream in a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ColdQuota(pub(crate) u32);

impl ColdQuota {
    /// Divides a bound on the requests in one second among hosts.
    ///
    /// With more hosts than requests, only some hosts use an upstream while it is cold: those
    /// whose hash with the upstream's name ranks first. All hosts that know the same list agree.
    pub(crate) fn of_host(bound: f64, hosts: &[HostName], own: &HostName, upstream: &UpstreamName) -> Self {
        let whole = to_count(bound * USED_SHARE);
        let count = u32::try_from(hosts.len().max(1)).unwrap_or(u32::MAX);
        if whole >= count {
            return Self(whole / count);
        }
        let score = |host: &HostName| xxh3_64(format!("{host} {upstream}").as_bytes());
        let own_score = score(own);
        let before = hosts.iter().filter(|host| score(host) < own_score).count();
        let is_home = u32::try_from(before).is_ok_and(|before| before < whole);
        Self(u32::from(is_home))
    }
}

/// Truncates a small positive number.
fn to_count(number: f64) -> u32 {
    let mut count = 0;
    while f64::from(count + 1) <= number.min(10_000.0) {
        count += 1;
    }
    count
}

/// Counts this host's requests to one cold upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdLimiter {
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
