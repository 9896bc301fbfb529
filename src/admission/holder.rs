//! Credits of one host for one upstream, and the requests that wait for them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::fair::{FairOrder, Lane};
use super::{Allowance, CREDIT_USE, Holding, HomeTerm, Instance, Lend, Outcome, Report, Sample, Want};
use crate::tables::Priority;
use crate::types::{Caller, Reason, UpstreamName};

/// Idle time after which a credit goes back; shorter would return it between two requests.
const IDLE: Duration = Duration::from_millis(5);
/// Time without an answer after which a report is sent again.
const RESEND: Duration = Duration::from_millis(50);
/// Time between reports that only keep credits alive; four fit into [`CREDIT_USE`].
const KEEP_ALIVE: Duration = Duration::from_millis(100);
/// Samples kept for a home host that doesn't answer.
const SAMPLES_MAX: usize = 1024;
/// Multiple of the average service time that has to be left when an attempt starts.
///
/// An attempt that its deadline cuts off has used its slot for nothing.
const SERVICE_LEFT: f64 = 3.0;
/// Weight of a new latency in the average service time.
const SERVICE_GAIN: f64 = 0.1;

/// Number of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ticket(pub(crate) u64);

/// Right to run one attempt; goes back with [`CreditHolder::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub(crate) struct Permit {
    /// Which uninterrupted period of holding credits it belongs to.
    tenure: u64,
}

/// A request that needs a slot.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    pub(crate) priority: Priority,
    pub(crate) caller: Caller,
    /// Time by which the answer has to be there.
    pub(crate) deadline: Instant,
}

/// Result of asking for a slot.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Start(Permit),
    /// A [`Step`] with this ticket follows.
    Wait(Ticket),
    /// The request has not run.
    Refuse(Reason),
}

/// What the host has to do for a holder.
#[derive(Debug, PartialEq)]
pub(crate) enum Step {
    /// Starts a waiting request.
    Start(Ticket, Permit),
    /// Refuses a waiting request, which has not run.
    Refuse(Ticket, Reason),
    /// Sends a report to the home host of the upstream.
    Send(Report),
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Instant,
    slots: u32,
    connections: u32,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    deadline: Instant,
}

/// Credits of one host for one upstream, and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct CreditHolder {
    upstream: UpstreamName,
    owner: Instance,
    term: Option<HomeTerm>,
    queue_max: usize,
    queue: BTreeMap<Lane, VecDeque<Waiting>>,
    order: FairOrder,
    next_ticket: u64,
    slots: Holding,
    /// Credits that the broker allows; less than `slots.held` while it recalls some in use.
    allowed: u32,
    running: u32,
    connections: Holding,
    connections_open: u32,
    connections_wanted: u32,
    valid_until: Option<Instant>,
    tenure: u64,
    idle_since: Option<Instant>,
    /// Most attempts that ran at once since `idle_since`.
    peak: u32,
    sequence: u64,
    /// Reports since the last answered one, by sequence.
    sent: BTreeMap<u64, Sent>,
    /// Last report that the broker has answered.
    answered: u64,
    last_sent: Option<Instant>,
    /// Something that the broker has to know has changed since the last report.
    stale: bool,
    first_sample: u64,
    samples: VecDeque<Sample>,
    service: Option<f64>,
    last_lend: Option<Lend>,
    isolate: bool,
    ejected_until: Option<Instant>,
}

impl CreditHolder {
    /// Starts without credits and without a home host.
    pub(crate) fn new(upstream: UpstreamName, owner: Instance, queue_max: usize) -> Self {
        Self {
            upstream,
            owner,
            term: None,
            queue_max,
            queue: BTreeMap::new(),
            order: FairOrder::default(),
            next_ticket: 0,
            slots: Holding::default(),
            allowed: 0,
            running: 0,
            connections: Holding::default(),
            connections_open: 0,
            connections_wanted: 0,
            valid_until: None,
            tenure: 0,
            idle_since: None,
            peak: 0,
            sequence: 0,
            sent: BTreeMap::new(),
            answered: 0,
            last_sent: None,
            stale: false,
            first_sample: 0,
            samples: VecDeque::new(),
            service: None,
            last_lend: None,
            isolate: false,
            ejected_until: None,
        }
    }

    pub(crate) fn owner(&self) -> &Instance {
        &self.owner
    }

    pub(crate) fn term(&self) -> Option<&HomeTerm> {
        self.term.as_ref()
    }

    /// Newest lend, for the upstream's limit, slow start and isolation.
    pub(crate) fn last_lend(&self) -> Option<&Lend> {
        self.last_lend.as_ref()
    }

    /// Slots that the host may use at this time, running attempts included.
    #[cfg(test)]
    pub(crate) fn usable(&self, now: Instant) -> u32 {
        if self.is_valid(now) { self.slots.held } else { 0 }
    }

    /// Attempts that run, those with expired credits included.
    pub(crate) fn running(&self) -> u32 {
        self.running + self.slots.overdue
    }

    pub(crate) fn waiting(&self) -> usize {
        self.queue.values().map(VecDeque::len).sum()
    }

    /// Connections that the host may have open at this time.
    #[cfg(test)]
    pub(crate) fn connection_limit(&self, now: Instant) -> u32 {
        if self.is_valid(now) { self.connections.held } else { 0 }
    }

    /// Tells whether this host is the only user of the upstream.
    pub(crate) fn is_isolated(&self, now: Instant) -> bool {
        self.isolate && self.is_valid(now) && self.last_lend.as_ref().is_some_and(|l| l.isolated)
    }

    /// Follows another broker and reports to it; ignores a term that is not higher.
    ///
    /// A host that ran the earlier broker drops it before this call.
    pub(crate) fn set_home(&mut self, term: HomeTerm, now: Instant) -> Vec<Step> {
        if self.term.as_ref().is_some_and(|present| *present >= term) {
            return Vec::new();
        }
        self.expire(now);
        self.term = Some(term);
        self.sent.clear();
        self.slots.version = 0;
        self.connections.version = 0;
        self.stale = true;
        self.act(now)
    }

    /// Sets how many connections are open and how many could be used.
    #[cfg(test)]
    pub(crate) fn set_connections(&mut self, open: u32, wanted: u32, now: Instant) -> Vec<Step> {
        self.stale |= self.connections_wanted != wanted;
        self.connections_open = open;
        self.connections_wanted = wanted;
        self.act(now)
    }

    /// Asks to be the only user of the upstream, or ends it.
    pub(crate) fn set_isolate(&mut self, isolate: bool, now: Instant) -> Vec<Step> {
        self.stale |= self.isolate != isolate;
        self.isolate = isolate;
        self.act(now)
    }

    /// Tells the broker, and through it the other hosts, that this host has ejected the upstream.
    pub(crate) fn set_ejected(&mut self, until: Instant, now: Instant) -> Vec<Step> {
        self.ejected_until = Some(until);
        self.stale = true;
        self.act(now)
    }

    /// Asks for a slot. Sends are among the steps.
    pub(crate) fn admit(&mut self, demand: &Demand, now: Instant) -> (Admission, Vec<Step>) {
        let mut steps = self.act(now);
        let admission = self.decide(demand, now);
        steps.extend(self.act(now));
        (admission, steps)
    }

    fn decide(&mut self, demand: &Demand, now: Instant) -> Admission {
        let latest = self.find_latest_start(demand.deadline);
        if latest <= now {
            return Admission::Refuse(Reason::QueueTimeout);
        }
        if self.waiting() == 0 && self.has_free(now) {
            return Admission::Start(self.take());
        }
        if self.waiting() >= self.queue_max {
            return Admission::Refuse(Reason::QueueFull);
        }
        if now + self.expect_wait(demand.priority, now) > latest {
            return Admission::Refuse(Reason::QueueTimeout);
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let lane = Lane {
            priority: demand.priority,
            caller: demand.caller.clone(),
        };
        let deadline = demand.deadline;
        self.queue
            .entry(lane)
            .or_default()
            .push_back(Waiting { ticket, deadline });
        self.stale = true;
        Admission::Wait(ticket)
    }

    /// Forgets a waiting request, whose caller has gone.
    pub(crate) fn cancel(&mut self, ticket: Ticket, now: Instant) -> Vec<Step> {
        for waiting in self.queue.values_mut() {
            waiting.retain(|w| w.ticket != ticket);
        }
        self.queue.retain(|_, waiting| !waiting.is_empty());
        self.stale = true;
        self.act(now)
    }

    /// Takes back the permit of a finished attempt.
    #[expect(clippy::needless_pass_by_value, reason = "a permit is good for one attempt")]
    pub(crate) fn release(&mut self, permit: Permit, sample: Sample, now: Instant) -> Vec<Step> {
        self.expire(now);
        if permit.tenure == self.tenure {
            self.running -= 1;
            if self.slots.held > self.allowed {
                self.slots.held -= 1;
                self.stale = true;
            }
        } else {
            self.slots.overdue -= 1;
            self.stale = true;
        }
        if sample.outcome == Outcome::Reset {
            // The upstream may be cold, and the broker has yet to lower its limit.
            self.return_free();
        }
        if sample.outcome == Outcome::Answered {
            let latency = sample.latency.as_secs_f64();
            let service = self.service.get_or_insert(latency);
            *service += SERVICE_GAIN * (latency - *service);
        }
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
            self.first_sample += 1;
        }
        self.samples.push_back(sample);
        // A cold upstream grows by completed requests, and a failure may be a sign of one.
        self.stale |= sample.is_failure() || self.last_lend.as_ref().is_some_and(|l| l.cold);
        self.act(now)
    }

    /// Takes a lend; one of another term, for another instance or without newer news is harmless.
    pub(crate) fn hear(&mut self, lend: &Lend, now: Instant) -> Vec<Step> {
        self.expire(now);
        if Some(&lend.term) != self.term.as_ref() || lend.to != self.owner {
            return Vec::new();
        }
        let sent = self.sent.get(&lend.echo).copied();
        if let Some(sent) = sent {
            self.valid_until = self.valid_until.max(Some(sent.at + CREDIT_USE));
            self.answered = self.answered.max(lend.echo);
            self.sent.retain(|sequence, _| *sequence >= lend.echo);
        }
        while self.first_sample < lend.samples_seen && self.samples.pop_front().is_some() {
            self.first_sample += 1;
        }
        // An allowance is good only if the broker has heard from this host lately.
        if let Some(sent) = sent
            && self.is_valid(now)
        {
            self.take_slots(lend.slots, sent.slots);
            self.take_connections(lend.connections, sent.connections);
            let older = |last: &Lend| lend.echo < last.echo && lend.term == last.term;
            if !self.last_lend.as_ref().is_some_and(older) {
                self.last_lend = Some(lend.clone());
            }
        }
        self.act(now)
    }

    fn take_slots(&mut self, allowance: Allowance, reported: u32) {
        if allowance.version <= self.slots.version {
            return;
        }
        let count = cap_allowance(allowance.count, self.slots.held, reported);
        self.stale |= count != allowance.count || count < self.slots.held;
        self.slots.version = allowance.version;
        self.slots.held = count.max(self.running);
        self.allowed = count;
        self.idle_since = None;
    }

    fn take_connections(&mut self, allowance: Allowance, reported: u32) {
        if allowance.version <= self.connections.version {
            return;
        }
        let count = cap_allowance(allowance.count, self.connections.held, reported);
        self.stale |= count != allowance.count || count < self.connections.held;
        self.connections.version = allowance.version;
        self.connections.held = count;
    }

    /// Drops what has expired, starts what can start and reports what has changed.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<Step> {
        self.act(now)
    }

    fn act(&mut self, now: Instant) -> Vec<Step> {
        self.expire(now);
        let mut steps = self.refuse_late(now);
        while self.has_free(now) {
            let Some(ticket) = self.pop_next() else { break };
            let permit = self.take();
            steps.push(Step::Start(ticket, permit));
        }
        self.return_idle(now);
        steps.extend(self.report(now).map(Step::Send));
        steps
    }

    fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    fn has_free(&self, now: Instant) -> bool {
        self.is_valid(now) && self.running < self.allowed
    }

    fn take(&mut self) -> Permit {
        self.running += 1;
        self.peak = self.peak.max(self.running);
        Permit { tenure: self.tenure }
    }

    fn expire(&mut self, now: Instant) {
        if self.valid_until.is_some_and(|until| now >= until) {
            self.valid_until = None;
            self.tenure += 1;
            self.slots.overdue += self.running;
            self.running = 0;
            self.slots.held = 0;
            self.allowed = 0;
            self.connections.held = 0;
            self.stale = true;
        }
        let oldest = now.checked_sub(CREDIT_USE);
        self.sent.retain(|_, sent| oldest.is_none_or(|oldest| sent.at > oldest));
    }

    fn refuse_late(&mut self, now: Instant) -> Vec<Step> {
        let mut steps = Vec::new();
        let left = self.service_left();
        for waiting in self.queue.values_mut() {
            let late = waiting.iter().filter(|w| w.deadline <= now + left);
            steps.extend(late.map(|w| Step::Refuse(w.ticket, Reason::QueueTimeout)));
            waiting.retain(|w| w.deadline > now + left);
        }
        self.queue.retain(|_, waiting| !waiting.is_empty());
        self.stale |= !steps.is_empty();
        steps
    }

    /// Time that an attempt is likely to take at most.
    fn service_left(&self) -> Duration {
        Duration::from_secs_f64(SERVICE_LEFT * self.service.unwrap_or_default())
    }

    fn find_latest_start(&self, deadline: Instant) -> Instant {
        deadline.checked_sub(self.service_left()).unwrap_or(deadline)
    }

    fn pop_next(&mut self) -> Option<Ticket> {
        let lane = self.order.choose(self.queue.keys())?;
        let waiting = self.queue.get_mut(&lane)?;
        let next = waiting.pop_front();
        if waiting.is_empty() {
            self.queue.remove(&lane);
        }
        next.map(|w| w.ticket)
    }

    /// Gives back the credits that have had no use for [`IDLE`].
    fn return_idle(&mut self, now: Instant) {
        if self.running >= self.slots.held || self.isolate {
            self.idle_since = None;
            return;
        }
        if self.last_lend.as_ref().is_some_and(|l| l.contended) {
            return self.return_free();
        }
        let Some(since) = self.idle_since else {
            self.idle_since = Some(now);
            self.peak = self.running;
            return;
        };
        if now.duration_since(since) >= IDLE {
            self.idle_since = None;
            self.stale |= self.peak < self.slots.held;
            self.slots.held = self.slots.held.min(self.peak);
            self.allowed = self.allowed.min(self.slots.held);
        }
    }

    /// Gives back the credits that no attempt uses at the moment.
    fn return_free(&mut self) {
        self.idle_since = None;
        self.stale |= self.running < self.slots.held;
        self.slots.held = self.running;
        self.allowed = self.allowed.min(self.running);
    }

    /// Expected wait of a new request of a priority, from those ahead of it and the service time.
    fn expect_wait(&self, priority: Priority, now: Instant) -> Duration {
        let service = self.service.unwrap_or_default();
        let ahead = self.queue.iter().filter(|(lane, _)| lane.priority <= priority);
        let ahead: usize = ahead.map(|(_, waiting)| waiting.len()).sum();
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let held = if self.is_valid(now) { self.allowed } else { 0 };
        if held > 0 {
            return Duration::from_secs_f64(service * (ahead + 1.0) / f64::from(held));
        }
        self.last_lend.as_ref().map(|l| l.wait).unwrap_or_default()
    }

    fn report(&mut self, now: Instant) -> Option<Report> {
        let term = self.term.clone()?;
        let quiet = self.last_sent.map_or(Duration::MAX, |at| now.duration_since(at));
        let attached = self.slots.held + self.slots.overdue + self.connections.held > 0
            || !self.queue.is_empty()
            || !self.samples.is_empty()
            || self.connections_wanted > 0;
        let resend = self.answered < self.sequence && quiet >= RESEND && attached;
        let due = self.stale || resend || (attached && quiet >= KEEP_ALIVE);
        if !due {
            return None;
        }
        self.stale = false;
        self.sequence += 1;
        let sent = Sent {
            at: now,
            slots: self.slots.held,
            connections: self.connections.held,
        };
        self.sent.insert(self.sequence, sent);
        self.last_sent = Some(now);
        Some(Report {
            upstream: self.upstream.clone(),
            term,
            from: self.owner.clone(),
            sequence: self.sequence,
            slots: self.slots,
            connections: Holding {
                // A connection in use outlives a recall until its exchange ends.
                overdue: self.connections_open.saturating_sub(self.connections.held),
                ..self.connections
            },
            connections_wanted: self.connections_wanted,
            wants: self.list_wants(now),
            isolate: self.isolate,
            ejected: self.ejected_until.map_or(Duration::ZERO, |at| at.duration_since(now)),
            first_sample: self.first_sample,
            samples: self.samples.iter().copied().collect(),
        })
    }

    fn list_wants(&self, now: Instant) -> Vec<Want> {
        let lanes = self.queue.iter().map(|(lane, waiting)| {
            let last = waiting.iter().map(|w| w.deadline).max().unwrap_or(now);
            Want {
                priority: lane.priority,
                caller: lane.caller.clone(),
                count: u32::try_from(waiting.len()).unwrap_or(u32::MAX),
                patience: last.duration_since(now),
            }
        });
        lanes.collect()
    }
}

/// Limits an allowance to what is held now and what it adds to the holding that it answers.
///
/// Without this, an allowance on its way would give back credits that have expired or gone back
/// since, and that another host may hold by now.
fn cap_allowance(count: u32, held: u32, reported: u32) -> u32 {
    count.min(held + count.saturating_sub(reported))
}
