//! The routing lease of this host.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{Instance, majority, outlast};
use crate::fold::State;
use crate::settings::Timing;
use crate::types::{HostName, Incarnation, Offset};

/// The right of this host to route and to renew grants.
///
/// It ends one lease length after the instant before the question that renewed it. A change that a
/// majority of the members has folded is therefore known to every routing host one lease later.
#[derive(Debug)]
pub(crate) struct Lease {
    me: Instance,
    length: Duration,
    started: Instant,
    /// Instant before the newest log read that ended at the folded tail.
    read: Option<Instant>,
    answers: BTreeMap<HostName, Confirmation>,
}

#[derive(Debug)]
struct Confirmation {
    incarnation: Incarnation,
    asked: Instant,
}

impl Lease {
    pub(crate) fn new(me: Instance, timing: &Timing, started: Instant) -> Self {
        Self {
            me,
            length: timing.routing_lease.0,
            started,
            read: None,
            answers: BTreeMap::new(),
        }
    }

    /// Notes a log read sent at `asked` whose answer gave `next` as the next free offset.
    ///
    /// The records of the answer must be folded before this call.
    pub(crate) fn note_read(&mut self, asked: Instant, state: &State, next: Offset) {
        if state.folded.0 + 1 >= next.0 {
            self.read = self.read.max(Some(asked));
        }
    }

    /// Notes an answer to a question sent at `asked` that confirmed this host's folded offset.
    pub(crate) fn note_confirmed(&mut self, asked: Instant, from: &Instance) {
        let newer = |c: &Confirmation| c.incarnation == from.incarnation && c.asked >= asked;
        if self.answers.get(&from.host).is_some_and(newer) {
            return;
        }
        let confirmation = Confirmation {
            incarnation: from.incarnation,
            asked,
        };
        self.answers.insert(from.host.clone(), confirmation);
    }

    /// Tells whether this host may confirm another one that has folded up to `folded`.
    ///
    /// A host that just started may have confirmed others in its former run by a state that it no
    /// longer knows, so it confirms nobody for a full lease.
    pub(crate) fn confirms(&self, now: Instant, state: &State, folded: Offset) -> bool {
        now >= self.started + outlast(self.length) && state.folded <= folded
    }

    /// End of the lease; `None` if this host is no member or was never confirmed.
    pub(crate) fn until(&self, now: Instant, state: &State) -> Option<Instant> {
        if !self.me.is_member(&state.membership) {
            return None;
        }
        let asked = self.read.max(self.majority_asked(now, state))?;
        Some(asked + self.length)
    }

    /// Tells whether this host may route and renew grants.
    pub(crate) fn holds(&self, now: Instant, state: &State) -> bool {
        self.until(now, state).is_some_and(|until| now < until)
    }

    /// Newest instant since which a majority, this host included, has confirmed.
    fn majority_asked(&self, now: Instant, state: &State) -> Option<Instant> {
        let members = &state.membership.members;
        let mut asked: Vec<Instant> = self
            .answers
            .iter()
            .filter(|&(host, c)| {
                *host != self.me.host && members.get(host).is_some_and(|m| m.incarnation == c.incarnation)
            })
            .map(|(_, c)| c.asked)
            .collect();
        asked.push(now);
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked.get(majority(&state.membership) - 1).copied()
    }
}
