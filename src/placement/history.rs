//! What the planner remembers between rounds.

use std::collections::{BTreeMap, VecDeque};

use tokio::time::Instant;

use super::{Candidate, Limits, SPACE, to_float};
use crate::types::{KeyHash, KeyRange, UpstreamName};

/// Moves for balance per window are at most this part of the ranges, but at least [`MOVES_MIN`].
const MOVES_DIVISOR: usize = 100;
/// Enough to isolate and spread the hot keys of a small pool within two minutes.
const MOVES_MIN: usize = 64;

/// Memory of the planner for one pool; a new leader starts with an empty one.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    upstreams: BTreeMap<UpstreamName, Presence>,
    /// Widths moved for balance within the budget window.
    moved: VecDeque<(Instant, u128)>,
    /// Ranges that must stay, by first hash; they don't overlap.
    held: BTreeMap<KeyHash, Hold>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    last: KeyHash,
    until: Instant,
}

/// Recent comings and goings of an upstream.
#[derive(Clone, Debug, Default)]
struct Presence {
    serving: bool,
    /// When it came back; `None` if it was never seen away.
    back: Option<Instant>,
    last_loss: Option<Instant>,
    unstable_until: Option<Instant>,
}

impl History {
    /// Notes state changes of upstreams and forgets what has expired.
    pub(super) fn observe(&mut self, now: Instant, upstreams: &BTreeMap<UpstreamName, Candidate>, limits: &Limits) {
        for (name, candidate) in upstreams {
            let known = self.upstreams.contains_key(name);
            let presence = self.upstreams.entry(name.clone()).or_default();
            presence.observe(now, known, candidate, limits);
        }
        // An upstream that left the tables may come back; its losses count for the window.
        self.upstreams.retain(|name, presence| {
            let recent = presence.last_loss.is_some_and(|t| now < t + limits.flap_window);
            upstreams.contains_key(name) || recent
        });
        while self
            .moved
            .front()
            .is_some_and(|&(t, _)| now >= t + limits.budget_window)
        {
            self.moved.pop_front();
        }
        self.held.retain(|_, hold| now < hold.until);
    }

    /// Tells whether an upstream was lost repeatedly.
    pub(super) fn is_unstable(&self, name: &UpstreamName, now: Instant) -> bool {
        let presence = self.upstreams.get(name);
        presence.and_then(|p| p.unstable_until).is_some_and(|t| now < t)
    }

    /// Tells whether an upstream came back only recently.
    pub(super) fn is_settling(&self, name: &UpstreamName, now: Instant, limits: &Limits) -> bool {
        let back = self.upstreams.get(name).and_then(|p| p.back);
        back.is_some_and(|t| now < t + limits.settle)
    }

    /// Tells whether a part of a range moved for balance recently.
    pub(super) fn is_held(&self, range: KeyRange) -> bool {
        let below = self.held.range(..=range.last).next_back();
        below.is_some_and(|(_, hold)| hold.last >= range.first)
    }

    /// Number of hashes that may still move for balance now.
    pub(super) fn width_left(&self, limits: &Limits) -> u128 {
        let spent: u128 = self.moved.iter().map(|&(_, width)| width).sum();
        budget_width(limits).saturating_sub(spent)
    }

    /// Number of moves for balance that may still be planned now.
    pub(super) fn moves_left(&self, ranges: usize) -> usize {
        (ranges / MOVES_DIVISOR).max(MOVES_MIN).saturating_sub(self.moved.len())
    }

    /// Notes a move for balance.
    pub(super) fn note_move(&mut self, now: Instant, range: KeyRange, limits: &Limits) {
        self.moved.push_back((now, range.width()));
        self.hold_range(now, range, limits);
    }

    /// Notes a merge, which changes no owner.
    pub(super) fn note_merge(&mut self, now: Instant, range: KeyRange, limits: &Limits) {
        self.moved.push_back((now, 0));
        self.hold_range(now, range, limits);
    }

    fn hold_range(&mut self, now: Instant, range: KeyRange, limits: &Limits) {
        let hold = Hold {
            last: range.last,
            until: now + limits.hold,
        };
        self.held.insert(range.first, hold);
    }
}

impl Presence {
    fn observe(&mut self, now: Instant, known: bool, candidate: &Candidate, limits: &Limits) {
        let serving = candidate.state.is_serving();
        let lost = candidate.state == super::UpstreamState::Lost;
        if known && serving && !self.serving {
            self.back = Some(now);
        }
        // Only a server that served can be lost; one that was taken out before was expected to go.
        if self.serving && lost {
            if self.last_loss.is_some_and(|t| now < t + limits.flap_window) {
                self.unstable_until = Some(now + limits.flap_window);
            }
            self.last_loss = Some(now);
        }
        self.serving = serving;
    }
}

/// Number of hashes that may move for balance within a window.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of the space"
)]
pub(super) fn budget_width(limits: &Limits) -> u128 {
    (to_float(SPACE) * limits.budget) as u128
}
