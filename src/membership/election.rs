//! When to claim leadership, join, evict and settle.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Instance, Liveness, PauseDetector, Report, majority, outlast};
use crate::fold::State;
use crate::records::Record;
use crate::settings::Timing;
use crate::types::{HostName, Offset, Zone};

/// Delay of a claim per rank, several times the usual append, so that claims rarely collide.
const RANK_DELAY: Duration = Duration::from_millis(100);

/// A member that is silent for longer is evicted. Shorter pauses are frequent and would cost two
/// membership changes each.
const EVICT_AFTER: Duration = Duration::from_secs(3);

/// Longest time that a membership change waits for the copy of a register, so that a member that
/// is lost in between can be evicted.
const COPY_LIMIT: Duration = Duration::from_secs(5);

/// A leader whose reads of the log fail for longer gives way to a host that still reaches it.
const LOG_SILENCE: Duration = Duration::from_secs(2);

/// An append without a visible effect is repeated after this time. A repeat is harmless: its base
/// or term no longer matches once the first one took effect.
pub(crate) const APPEND_RETRY: Duration = Duration::from_secs(1);

/// Where this host is, as its `Join` states it.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) zone: Zone,
    pub(crate) address: SocketAddr,
}

/// Decides which records about membership and leadership this host appends.
#[derive(Debug)]
pub(crate) struct Election {
    me: Instance,
    site: Site,
    lease: Duration,
    pauses: PauseDetector,
    leader_heard: Instant,
    term: Offset,
    log_read: Option<Instant>,
    /// Newest version of the membership in an earlier tick.
    version: Offset,
    change: Change,
    /// Base of the last `Evict` that this host proposed.
    evict_base: Option<Offset>,
    proposed: Option<(Record, Instant)>,
}

/// What this host knows of the last membership change.
#[derive(Debug, Default)]
struct Change {
    offset: Offset,
    /// Certainly a `Join`. After an `Evict` the evicted host may hold a lease that no member knows
    /// of, so the acknowledgement of all members is not enough.
    is_join: bool,
    /// When a majority was first known to have folded it.
    majority: Option<Instant>,
}

impl Election {
    pub(crate) fn new(me: Instance, site: Site, timing: &Timing, now: Instant) -> Self {
        Self {
            me,
            site,
            lease: timing.routing_lease.0,
            pauses: PauseDetector::new(now),
            leader_heard: now,
            term: Offset(0),
            log_read: None,
            version: Offset(0),
            change: Change::default(),
            evict_base: None,
            proposed: None,
        }
    }

    /// Notes that a read of the log was answered.
    pub(crate) fn note_read(&mut self, now: Instant) {
        self.log_read = Some(now);
    }

    /// Notes a report, which may be the leader's.
    pub(crate) fn note_report(&mut self, now: Instant, state: &State, report: &Report) {
        if report.leads.is_some_and(|term| term >= state.leader.term) {
            self.leader_heard = now;
        }
    }

    /// Term that this host leads while it reaches the log and a majority.
    ///
    /// A leader that doesn't announces nothing, and the others replace it.
    pub(crate) fn acting_term(&self, now: Instant, state: &State, liveness: &Liveness) -> Option<Offset> {
        let term = self.me.led_term(state)?;
        let able = self.reads_log(now) && liveness.hears_majority(now, state, self.lease);
        able.then_some(term)
    }

    /// Gives the record to append now, if any.
    pub(crate) fn tick(&mut self, now: Instant, state: &State, liveness: &Liveness) -> Option<Record> {
        let stood_still = self.pauses.tick(now);
        if stood_still || self.term != state.leader.term {
            self.leader_heard = now;
            self.term = state.leader.term;
        }
        self.follow_change(now, state, liveness);
        let wanted = self.wanted(now, state, liveness);
        self.propose(now, wanted)
    }

    fn reads_log(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) <= LOG_SILENCE;
        self.log_read.is_some_and(recent)
    }

    fn follow_change(&mut self, now: Instant, state: &State, liveness: &Liveness) {
        let offset = state.membership.version.offset;
        if self.change.offset != offset {
            self.change = Change {
                offset,
                is_join: self.is_join(state),
                majority: None,
            };
        }
        self.version = offset;
        let folded = liveness.folded_members(state, offset).count();
        if self.change.majority.is_none() && folded >= majority(&state.membership) {
            self.change.majority = Some(now);
        }
    }

    /// Tells whether the new change can't be an `Evict`.
    ///
    /// Only the leader writes an `Evict`, with the version that it saw as the base.
    fn is_join(&self, state: &State) -> bool {
        let within_term = self
            .me
            .led_term(state)
            .is_some_and(|term| state.membership.version.offset > term);
        within_term && self.evict_base.is_none_or(|base| base < self.version)
    }

    fn wanted(&self, now: Instant, state: &State, liveness: &Liveness) -> Option<Record> {
        if !self.me.is_member(&state.membership) {
            return self.wanted_join(now, state);
        }
        match self.me.led_term(state) {
            Some(term) if state.membership.settled => self.wanted_evict(now, state, liveness, term),
            Some(term) => self.wanted_settle(now, state, liveness, term),
            None => self.wanted_claim(now, state, liveness),
        }
    }

    fn wanted_join(&self, now: Instant, state: &State) -> Option<Record> {
        let membership = &state.membership;
        let open = membership.settled || membership.members.is_empty();
        let free = !membership.members.contains_key(&self.me.host);
        (open && free && self.reads_log(now)).then(|| Record::Join {
            base: membership.version.offset,
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
            zone: self.site.zone.clone(),
            address: self.site.address,
        })
    }

    fn wanted_claim(&self, now: Instant, state: &State, liveness: &Liveness) -> Option<Record> {
        let able = self.reads_log(now) && liveness.hears_majority(now, state, self.lease);
        let silence = if leader_is_member(state) {
            self.lease
        } else {
            Duration::ZERO
        };
        let due = self.leader_heard + silence + RANK_DELAY * claim_rank(state, &self.me.host);
        (able && now >= due).then(|| Record::Claim {
            base: state.leader.term,
            host: self.me.host.clone(),
            incarnation: self.me.incarnation,
        })
    }

    /// Picks a member to evict: first one whose host runs anew and waits to join.
    fn wanted_evict(&self, now: Instant, state: &State, liveness: &Liveness, term: Offset) -> Option<Record> {
        self.acting_term(now, state, liveness)?;
        let membership = &state.membership;
        let others = || membership.members.iter().filter(|(host, _)| **host != self.me.host);
        let replaced = others().find(|(host, _)| liveness.is_replaced(host));
        let silent = || others().find(|(host, _)| liveness.silence(now, host) > EVICT_AFTER);
        let (host, member) = replaced.or_else(silent)?;
        Some(Record::Evict {
            base: membership.version.offset,
            term,
            host: host.clone(),
            incarnation: member.incarnation,
        })
    }

    fn wanted_settle(&self, now: Instant, state: &State, liveness: &Liveness, term: Offset) -> Option<Record> {
        let change = self.change.offset;
        let folded = liveness.folded_members(state, change).count();
        let all = self.change.is_join && folded == state.membership.members.len();
        let lapsed = self.change.majority.is_some_and(|at| now >= at + outlast(self.lease));
        // A member whose register doesn't vote yet copies from those that do. Two of them at once
        // would each wait for the other.
        let copied = liveness.all_vote() || self.change.majority.is_some_and(|at| now >= at + COPY_LIMIT);
        (copied && (all || lapsed)).then_some(Record::Settle { term, change })
    }

    /// Passes a wanted record on once per [`APPEND_RETRY`].
    fn propose(&mut self, now: Instant, wanted: Option<Record>) -> Option<Record> {
        let Some(record) = wanted else {
            self.proposed = None;
            return None;
        };
        if let Some((last, at)) = &self.proposed
            && *last == record
            && now < *at + APPEND_RETRY
        {
            return None;
        }
        if let Record::Evict { base, .. } = &record {
            self.evict_base = Some(*base);
        }
        self.proposed = Some((record.clone(), now));
        Some(record)
    }
}

fn leader_is_member(state: &State) -> bool {
    let leader = &state.leader;
    let member = leader.host.as_ref().and_then(|host| state.membership.members.get(host));
    member.is_some_and(|m| m.incarnation == leader.incarnation)
}

/// Rank of a host among the members that may follow the present leader, by rendezvous hash.
fn claim_rank(state: &State, me: &HostName) -> u32 {
    let weight = |host: &HostName| {
        (
            xxh3_64_with_seed(host.as_str().as_bytes(), state.leader.term.0),
            host.clone(),
        )
    };
    let mine = weight(me);
    let others = state.membership.members.keys();
    let lower = others.filter(|host| state.leader.host.as_ref() != Some(host) && weight(host) < mine);
    u32::try_from(lower.count()).unwrap_or(u32::MAX)
}
