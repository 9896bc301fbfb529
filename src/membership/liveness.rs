//! Who was heard when, and what they have folded.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{Instance, PauseDetector, Report, majority};
use crate::fold::State;
use crate::types::{HostName, Incarnation, Offset};

/// Reports of the other members, one row per member.
#[derive(Debug)]
pub(crate) struct Liveness {
    me: Instance,
    pauses: PauseDetector,
    peers: BTreeMap<HostName, Peer>,
}

#[derive(Debug)]
struct Peer {
    incarnation: Incarnation,
    /// Highest incarnation heard under this name.
    newest: Incarnation,
    folded: Offset,
    has_lease: bool,
    register_votes: bool,
    /// When the row was made; silence counts from here until a report arrives.
    since: Instant,
    heard: Option<Instant>,
}

impl Liveness {
    pub(crate) fn new(me: Instance, now: Instant) -> Self {
        Self {
            me,
            pauses: PauseDetector::new(now),
            peers: BTreeMap::new(),
        }
    }

    /// Follows the folded membership and notices pauses of this process.
    pub(crate) fn tick(&mut self, now: Instant, state: &State) {
        self.pauses.tick(now);
        let members = &state.membership.members;
        self.peers.retain(|host, _| members.contains_key(host));
        for (host, member) in members.iter().filter(|(host, _)| **host != self.me.host) {
            let known = self
                .peers
                .get(host)
                .is_some_and(|p| p.incarnation == member.incarnation);
            if !known {
                self.peers.insert(host.clone(), Peer::new(member.incarnation, now));
            }
        }
    }

    /// Notes a report of another host.
    pub(crate) fn note_report(&mut self, now: Instant, report: &Report) {
        let Some(peer) = self.peers.get_mut(&report.sender.host) else {
            return;
        };
        peer.newest = peer.newest.max(report.sender.incarnation);
        if peer.incarnation == report.sender.incarnation {
            peer.heard = Some(now);
            peer.folded = peer.folded.max(report.folded);
            peer.has_lease = report.has_lease;
            peer.register_votes = report.register_votes;
        }
    }

    /// Tells whether the registers of all other members vote.
    pub(crate) fn all_vote(&self) -> bool {
        self.peers.values().all(|peer| peer.register_votes)
    }

    /// How long a member was silent while this process was running.
    pub(crate) fn silence(&self, now: Instant, host: &HostName) -> Duration {
        let Some(peer) = self.peers.get(host) else {
            return Duration::ZERO;
        };
        let from = peer.heard.unwrap_or(peer.since).max(self.pauses.resumed());
        now.saturating_duration_since(from)
    }

    /// Tells whether a newer run of a member's host was heard.
    ///
    /// An incarnation that is lower than the member's counts as silence: it may be a late message.
    pub(crate) fn is_replaced(&self, host: &HostName) -> bool {
        self.peers.get(host).is_some_and(|p| p.newest > p.incarnation)
    }

    /// Tells whether more than half of the members, this one included, were heard within a time.
    pub(crate) fn hears_majority(&self, now: Instant, state: &State, within: Duration) -> bool {
        let recent = |p: &&Peer| p.heard.is_some_and(|at| now.saturating_duration_since(at) <= within);
        1 + self.peers.values().filter(recent).count() >= majority(&state.membership)
    }

    /// Members that have folded up to an offset, by their own reports.
    pub(crate) fn folded_members<'a>(&'a self, state: &'a State, offset: Offset) -> impl Iterator<Item = &'a HostName> {
        state.membership.members.iter().filter_map(move |(host, member)| {
            let reached = if *host == self.me.host {
                member.incarnation == self.me.incarnation && state.folded >= offset
            } else {
                let peer = self.peers.get(host);
                peer.is_some_and(|p| p.incarnation == member.incarnation && p.folded >= offset)
            };
            reached.then_some(host)
        })
    }

    /// Other members that said within a time that they hold a routing lease.
    pub(crate) fn lease_holders(&self, now: Instant, within: Duration) -> impl Iterator<Item = &HostName> {
        let recent = move |p: &Peer| p.heard.is_some_and(|at| now.saturating_duration_since(at) <= within);
        self.peers
            .iter()
            .filter(move |(_, p)| p.has_lease && recent(p))
            .map(|(host, _)| host)
    }
}

impl Peer {
    fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            newest: incarnation,
            folded: Offset(0),
            has_lease: false,
            register_votes: false,
            since: now,
            heard: None,
        }
    }
}
