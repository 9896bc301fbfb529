//! Share of a pool's requests that may be sent a second time.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Parts into which the window is divided.
const PARTS: u32 = 20;
/// Part of the limit that is used; the rest covers hosts that joined unnoticed.
const USED_SHARE: f64 = 0.75;

/// Limit on second sends over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryLimits {
    pub(crate) window: Duration,
    /// Second sends for each request.
    pub(crate) ratio: f64,
    /// Second sends of all hosts beyond the ratio.
    pub(crate) extra: f64,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    start: Instant,
    requests: u32,
    extra: u32,
}

/// Counts a pool's requests and second sends at this host in a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    parts: VecDeque<Part>,
}

impl RetryBudget {
    pub(crate) fn record_request(&mut self, now: Instant, limits: &RetryLimits) {
        self.part(now, limits).requests += 1;
    }

    /// Takes one second send; false if this host's share is used up.
    pub(crate) fn try_take(&mut self, now: Instant, limits: &RetryLimits, hosts: usize) -> bool {
        self.part(now, limits);
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let used: u32 = self.parts.iter().map(|p| p.extra).sum();
        // The oldest part is only partly inside the window: its requests don't count.
        let requests: u32 = self.parts.iter().skip(1).map(|p| p.requests).sum();
        let limit = limits.ratio * f64::from(requests) + limits.extra / f64::from(hosts);
        if f64::from(used + 1) > limit * USED_SHARE {
            return false;
        }
        self.part(now, limits).extra += 1;
        true
    }

    fn part(&mut self, now: Instant, limits: &RetryLimits) -> &mut Part {
        let length = limits.window / PARTS;
        while self
            .parts
            .front()
            .is_some_and(|p| now >= p.start + limits.window + length)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|p| now >= p.start + length) {
            self.parts.push_back(Part {
                start: now,
                requests: 0,
                extra: 0,
            });
        }
        self.parts.back_mut().expect("a part was added if there was none")
    }
}
