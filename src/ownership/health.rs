//! Which upstreams this host can't reach.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::fold::State;
use crate::membership::PauseDetector;
use crate::settings::Timing;
use crate::tables::Pool;
use crate::types::UpstreamName;

/// Follows the probes and attempts of this host.
#[derive(Debug)]
pub(crate) struct Health {
    detection: Duration,
    pauses: PauseDetector,
    upstreams: BTreeMap<UpstreamName, Contact>,
}

/// Last contacts with an upstream.
#[derive(Debug, Default)]
struct Contact {
    probed: Option<Instant>,
    /// First question since the last answer.
    unanswered: Option<Instant>,
    /// When the last answered question was sent.
    answered: Option<Instant>,
    refused: bool,
}

impl Health {
    pub(crate) fn new(timing: &Timing, now: Instant) -> Self {
        Self {
            detection: timing.detection.0,
            pauses: PauseDetector::new(now),
            upstreams: BTreeMap::new(),
        }
    }

    /// Gives the upstreams of pools divided by key to probe now, each three times per detection
    /// time.
    pub(crate) fn tick(&mut self, now: Instant, state: &State) -> Vec<UpstreamName> {
        if self.pauses.tick(now) {
            // Answers that arrived during the pause are not read yet.
            for contact in self.upstreams.values_mut() {
                contact.unanswered = contact.unanswered.map(|_| now);
            }
        }
        let keyed = || state.tables.pools.values().filter(|pool| pool.is_keyed());
        self.upstreams
            .retain(|name, _| keyed().any(|pool| pool.upstreams.contains_key(name)));
        let mut due = Vec::new();
        for name in keyed().flat_map(|pool| pool.upstreams.keys()) {
            let contact = self.upstreams.entry(name.clone()).or_default();
            if contact.probed.is_none_or(|at| now >= at + self.detection / 3) {
                contact.probed = Some(now);
                contact.unanswered = contact.unanswered.or(Some(now));
                due.push(name.clone());
            }
        }
        due
    }

    /// Notes an answer, to a probe or to an attempt, to a question sent at `asked`.
    ///
    /// A broken attempt is no such answer, and neither is one that timed out: the connection may be
    /// at fault.
    pub(crate) fn note_answer(&mut self, asked: Instant, upstream: &UpstreamName) {
        if let Some(contact) = self.upstreams.get_mut(upstream) {
            contact.answered = contact.answered.max(Some(asked));
            contact.unanswered = None;
            contact.refused = false;
        }
    }

    /// Notes that a connection was refused, so that nothing listens at the upstream's address.
    pub(crate) fn note_refused(&mut self, upstream: &UpstreamName) {
        if let Some(contact) = self.upstreams.get_mut(upstream) {
            contact.refused = true;
        }
    }

    /// Upstreams that this host can't reach although it reaches others of their pool.
    ///
    /// Without another one that answered within half of the detection time this host itself may be
    /// cut off. A refused connection proves that it is not.
    pub(crate) fn unreachable(&self, now: Instant, state: &State) -> BTreeSet<UpstreamName> {
        let keyed = state.tables.pools.values().filter(|pool| pool.is_keyed());
        keyed.flat_map(|pool| self.unreachable_in(now, pool)).cloned().collect()
    }

    fn unreachable_in<'a>(&'a self, now: Instant, pool: &'a Pool) -> impl Iterator<Item = &'a UpstreamName> {
        let contacts = move || {
            let names = pool.upstreams.keys();
            names.filter_map(|name| self.upstreams.get(name).map(|contact| (name, contact)))
        };
        let recent = |c: &Contact| c.answered.is_some_and(|at| now <= at + self.detection / 2);
        let connected = contacts().any(|(_, c)| recent(c));
        contacts()
            .filter(move |(_, c)| c.refused || (connected && c.is_silent(now, self.detection)))
            .map(|(name, _)| name)
    }
}

impl Contact {
    fn is_silent(&self, now: Instant, detection: Duration) -> bool {
        self.unanswered.is_some_and(|at| now >= at + detection)
    }
}
