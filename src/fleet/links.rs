//! Whether this host reaches upstreams at all: failures at several of them may be faults of its own links.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::types::UpstreamName;

/// Time for which a failure to reach an upstream counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);
/// Number of upstreams that can't be reached from which on the links are verified.
const DOUBT_MIN: usize = 2;
/// Smallest time between two verifications while upstreams can be reached.
const VERIFICATION_GAP: Duration = Duration::from_millis(500);

/// What this host knows of its links to upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Links {
    /// When each upstream last couldn't be reached.
    failures: BTreeMap<UpstreamName, Instant>,
    /// When an upstream was last reached over a new connection.
    reached: Option<Instant>,
    is_cut: bool,
}

impl Links {
    /// Records that an upstream couldn't be reached. Returns true if the links have to be verified.
    pub(crate) fn record_failure(&mut self, now: Instant, upstream: &UpstreamName) -> bool {
        self.failures.insert(upstream.clone(), now);
        self.failures.retain(|_, at| now < *at + FAILURE_WINDOW);
        self.is_doubtful(now) && self.reached.is_none_or(|at| now >= at + VERIFICATION_GAP)
    }

    /// Records whether one of several upstreams was reached over a new connection. Returns true if this changes whether this
    /// host is cut off.
    pub(crate) fn record_verification(&mut self, now: Instant, has_reached: bool) -> bool {
        if has_reached {
            self.reached = Some(now);
        }
        let was_cut = std::mem::replace(&mut self.is_cut, !has_reached);
        was_cut == has_reached
    }

    /// Reports whether an upstream couldn't be reached lately.
    pub(crate) fn has_failed(&self, now: Instant, upstream: &UpstreamName) -> bool {
        let failure = self.failures.get(upstream);
        failure.is_some_and(|at| now < *at + FAILURE_WINDOW)
    }

    /// Reports whether this host reaches no upstream.
    pub(crate) fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Reports whether failures at upstreams may be faults of this host's links, which have to be verified.
    pub(crate) fn is_doubtful(&self, now: Instant) -> bool {
        let is_recent =
            |at: &&Instant| now < **at + FAILURE_WINDOW && self.reached.is_none_or(|reached| **at > reached);
        !self.is_cut && self.failures.values().filter(is_recent).count() >= DOUBT_MIN
    }

    /// Reports whether an upstream was reached over a new connection after a time.
    pub(crate) fn has_reached_since(&self, time: Instant) -> bool {
        self.reached.is_some_and(|at| at >= time)
    }
}
