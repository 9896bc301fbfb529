//! Which requests are admitted while only a share of them can be.
//!
//! It answers an overloaded upstream whose requests are of different urgency, or partly come back after a refusal. All hosts
//! know the share; each one fills it with the most urgent requests of its own mix, so no message is needed for a request.
//! A less urgent class isn't refused altogether.

use std::collections::BTreeMap;

use tokio::time::Instant;

/// Time constant of the averages of the mix.
const MIX_SECONDS: f64 = 3.0;
/// Part of the share that each class is admitted with at least.
const SHARE_FLOOR: f64 = 0.3;

/// Urgency of a request; smaller is more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestClass {
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    /// It wasn't refused before. A request that comes back has less time left.
    pub(crate) is_first: bool,
}

/// Recent requests of one pool at this host by class.
#[derive(Clone, Debug)]
pub(crate) struct ClassMix {
    counts: BTreeMap<RequestClass, f64>,
    updated: Instant,
}

impl ClassMix {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            counts: BTreeMap::new(),
            updated: now,
        }
    }

    /// Counts a request.
    pub(crate) fn record(&mut self, now: Instant, class: RequestClass) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let left = (-elapsed / MIX_SECONDS).exp();
        self.counts.values_mut().for_each(|count| *count *= left);
        self.updated = now;
        *self.counts.entry(class).or_default() += 1.0;
    }

    /// Returns the probability with which a request of a class is admitted, so that a share of all requests is.
    pub(crate) fn probability(&self, class: RequestClass, share: f64) -> f64 {
        let total: f64 = self.counts.values().sum();
        let own = self.counts.get(&class).copied().unwrap_or_default();
        if own <= 0.0 {
            return share;
        }
        let before: f64 = self.counts.range(..class).map(|(_, count)| count).sum();
        let filled = (share * total - before) / own;
        filled.clamp(share * SHARE_FLOOR, 1.0)
    }
}
