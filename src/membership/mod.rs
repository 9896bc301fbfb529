//! Routing lease, peer liveness and leadership.
//!
//! Safety rests on facts that stay true: an instant before a question was sent, and the offset
//! that an incarnation of a host has folded. A decision made after a pause is late, never wrong.

use std::time::Duration;

use tokio::time::Instant;

use crate::fold::{Membership, State};
use crate::types::{Offset, value};

mod election;
mod lease;
mod liveness;

#[cfg(test)]
mod tests;

pub(crate) use crate::types::Instance;

pub(crate) use election::{APPEND_RETRY, Election, Site};
pub(crate) use lease::Lease;
pub(crate) use liveness::Liveness;

/// Added to each wait for another clock; covers one tick and the delay of a timer.
pub(crate) const GUARD: Duration = Duration::from_millis(50);

/// A gap between two ticks above this means that the process stood still. Ticks come every 20 ms;
/// a shorter gap may be a busy machine.
const PAUSE: Duration = Duration::from_millis(250);

value! {
    /// What a host tells its peers in each question and each answer.
    #[derive(Eq)]
    pub(crate) struct Report {
        pub(crate) sender: Instance,
        /// Offset up to which the sender has folded.
        pub(crate) folded: Offset,
        /// Term that the sender leads and is able to act for; see [`Election::acting_term`].
        pub(crate) leads: Option<Offset>,
        pub(crate) has_lease: bool,
        /// The sender's register of idempotency keys votes.
        pub(crate) register_votes: bool,
    }
}

impl Instance {
    /// Tells whether this run of the host is a member.
    pub(crate) fn is_member(&self, membership: &Membership) -> bool {
        let member = membership.members.get(&self.host);
        member.is_some_and(|m| m.incarnation == self.incarnation)
    }

    /// Term under which this run of the host may write, by the folded state alone.
    pub(crate) fn led_term(&self, state: &State) -> Option<Offset> {
        let leader = &state.leader;
        let same = leader.host.as_ref() == Some(&self.host) && leader.incarnation == self.incarnation;
        (same && self.is_member(&state.membership)).then_some(leader.term)
    }
}

/// Smallest number of members that is more than half.
pub(crate) fn majority(membership: &Membership) -> usize {
    membership.members.len() / 2 + 1
}

/// Wait on this clock after which a length of time has passed on every host's clock.
///
/// Rates of clocks differ by at most 1%.
pub(crate) fn outlast(length: Duration) -> Duration {
    length + length / 100 + GUARD
}

/// Finds out that the process stood still.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    last: Instant,
    resumed: Instant,
}

impl PauseDetector {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            last: now,
            resumed: now,
        }
    }

    /// Notes a tick and tells whether the process stood still before it.
    pub(crate) fn tick(&mut self, now: Instant) -> bool {
        let stood_still = now.saturating_duration_since(self.last) > PAUSE;
        if stood_still {
            self.resumed = now;
        }
        self.last = now;
        stood_still
    }

    /// Start of the process, or end of its last pause.
    pub(crate) fn resumed(&self) -> Instant {
        self.resumed
    }
}
