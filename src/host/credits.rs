//! Carries credits between this host's requests and the home hosts of upstreams.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Shared;
use crate::admission::{
    Admission, Broker, Capacity, Demand, HomeTerm, Instance, Lend, Outcome, Permit, PoolWarmth, Purse, Report, Sample,
    Step, Ticket, home_host,
};
use crate::fold::State;
use crate::peer::Lends;
use crate::tables::Upstream;
use crate::types::{HostName, Reason, UpstreamName};

/// Credits of this host and, for upstreams whose home it is, the brokers.
#[derive(Debug)]
pub(crate) struct Credits {
    me: Instance,
    queue_max: usize,
    tables: Mutex<CreditTables>,
}

#[derive(Debug, Default)]
struct CreditTables {
    purses: BTreeMap<UpstreamName, PurseRow>,
    brokers: BTreeMap<UpstreamName, Broker>,
}

#[derive(Debug)]
struct PurseRow {
    purse: Purse,
    waiting: BTreeMap<Ticket, oneshot::Sender<Result<Permit, Reason>>>,
}

/// A message between a purse and a broker.
#[derive(Debug)]
enum CreditMessage {
    Report(Report),
    Lend(Lend),
}

/// Messages for other hosts.
type Outbox = Vec<CreditMessage>;

/// A slot of an upstream; released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    shared: Arc<Shared>,
    upstream: UpstreamName,
    permit: Option<Permit>,
    sample: Sample,
}

impl Slot {
    /// Sets what the release tells the upstream's broker.
    pub(crate) fn set_sample(&mut self, sample: Sample) {
        self.sample = sample;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let outbox = self.shared.credits.release(&self.upstream, permit, self.sample, Instant::now());
            send_messages(&self.shared, outbox);
        }
    }
}

/// Removes a waiting request whose caller has gone.
struct CancelOnDrop {
    shared: Arc<Shared>,
    upstream: UpstreamName,
    ticket: Ticket,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let outbox = self.shared.credits.cancel(&self.upstream, self.ticket, Instant::now());
        send_messages(&self.shared, outbox);
    }
}

/// Waits for a slot of an upstream.
///
/// # Errors
///
/// Gives the reason if the request must be refused; it has not run.
pub(crate) async fn acquire_slot(
    shared: &Arc<Shared>,
    upstream: &UpstreamName,
    demand: &Demand,
) -> Result<Slot, Reason> {
    let (admission, outbox) = shared.credits.admit(upstream, demand, Instant::now());
    send_messages(shared, outbox);
    let permit = match admission {
        Entry::Started(permit) => permit,
        Entry::Refused(reason) => return Err(reason),
        Entry::Waiting(ticket, answer) => {
            let _cancel = CancelOnDrop { shared: Arc::clone(shared), upstream: upstream.clone(), ticket };
            answer.await.map_err(|_| Reason::NoUpstream)??
        }
    };
    Ok(Slot {
        shared: Arc::clone(shared),
        upstream: upstream.clone(),
        permit: Some(permit),
        sample: Sample {
            outcome: Outcome::Cancelled,
            latency: Duration::ZERO,
            connection_age: Duration::ZERO,
            incarnation: None,
        },
    })
}

enum Entry {
    Started(Permit),
    Refused(Reason),
    Waiting(Ticket, oneshot::Receiver<Result<Permit, Reason>>),
}

impl Credits {
    pub(crate) fn new(me: Instance, queue_max: u32) -> Self {
        Self { me, queue_max: queue_max as usize, tables: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, CreditTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self, upstream: &UpstreamName, demand: &Demand, now: Instant) -> (Entry, Outbox) {
        let mut tables = self.lock();
        let row = tables.row(upstream, self);
        let (admission, steps) = row.purse.admit(demand, now);
        let entry = match admission {
            Admission::Start(permit) => Entry::Started(permit),
            Admission::Refuse(reason) => Entry::Refused(reason),
            Admission::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                row.waiting.insert(ticket, sender);
                Entry::Waiting(ticket, receiver)
            }
        };
        (entry, tables.carry_out(upstream, steps, self, now))
    }

    fn cancel(&self, upstream: &UpstreamName, ticket: Ticket, now: Instant) -> Outbox {
        let mut tables = self.lock();
        let row = tables.row(upstream, self);
        if row.waiting.remove(&ticket).is_none() {
            return Outbox::new();
        }
        let steps = row.purse.cancel(ticket, now);
        tables.carry_out(upstream, steps, self, now)
    }

    fn release(&self, upstream: &UpstreamName, permit: Permit, sample: Sample, now: Instant) -> Outbox {
        let mut tables = self.lock();
        let steps = tables.row(upstream, self).purse.release(permit, sample, now);
        tables.carry_out(upstream, steps, self, now)
    }

    /// Takes a report of a purse at another host and gives the lends that answer it.
    fn hear_report(&self, report: Report, now: Instant) -> (Vec<Lend>, Outbox) {
        let reporter = report.from.clone();
        let mut tables = self.lock();
        let outbox = tables.run_queue(VecDeque::from([CreditMessage::Report(report)]), self, now);
        let mut answer = Vec::new();
        let mut rest = Outbox::new();
        for message in outbox {
            match message {
                CreditMessage::Lend(lend) if lend.to == reporter => answer.push(lend),
                other => rest.push(other),
            }
        }
        (answer, rest)
    }

    fn hear_lends(&self, lends: Vec<Lend>, now: Instant) -> Outbox {
        let queue = lends.into_iter().map(CreditMessage::Lend).collect();
        self.lock().run_queue(queue, self, now)
    }

    /// Brokers that this host runs, for the heartbeats.
    pub(crate) fn homes(&self) -> BTreeMap<UpstreamName, HomeTerm> {
        let tables = self.lock();
        tables.brokers.iter().map(|(name, broker)| (name.clone(), broker.term().clone())).collect()
    }

    /// Follows the brokers that another host runs.
    fn follow_homes(&self, homes: BTreeMap<UpstreamName, HomeTerm>, now: Instant) -> Outbox {
        let mut tables = self.lock();
        let mut outbox = Outbox::new();
        for (upstream, term) in homes {
            if tables.brokers.get(&upstream).is_some_and(|b| *b.term() < term) {
                tables.brokers.remove(&upstream);
            }
            let steps = tables.row(&upstream, self).purse.set_home(term, now);
            outbox.extend(tables.carry_out(&upstream, steps, self, now));
        }
        outbox
    }

    /// Becomes home of upstreams, lends, recalls, and refuses requests that waited too long.
    ///
    /// `live` are the members that can run a broker, this host among them if it may route.
    fn tick(&self, now: Instant, state: &State, live: &[HostName], lease: Duration) -> Outbox {
        let mut tables = self.lock();
        let mut outbox = Outbox::new();
        for pool in state.tables.pools.values() {
            for (name, upstream) in &pool.upstreams {
                outbox.extend(tables.follow_home(name, upstream, state, live, self, lease, now));
            }
            tables.share_warmth(pool.upstreams.keys());
        }
        let kept = |name: &UpstreamName| state.tables.pools.values().any(|p| p.upstreams.contains_key(name));
        tables.brokers.retain(|name, _| kept(name));
        tables.purses.retain(|name, row| kept(name) || row.purse.running() > 0 || !row.waiting.is_empty());
        let names: Vec<UpstreamName> = tables.purses.keys().cloned().collect();
        for name in names {
            let steps = tables.row(&name, self).purse.tick(now);
            outbox.extend(tables.carry_out(&name, steps, self, now));
            let lends = tables.brokers.get_mut(&name).map(|b| b.tick(now)).unwrap_or_default();
            let queue = lends.into_iter().map(CreditMessage::Lend).collect();
            outbox.extend(tables.run_queue(queue, self, now));
        }
        outbox
    }
}

impl CreditTables {
    fn row(&mut self, upstream: &UpstreamName, credits: &Credits) -> &mut PurseRow {
        self.purses.entry(upstream.clone()).or_insert_with(|| PurseRow {
            purse: Purse::new(upstream.clone(), credits.me.clone(), credits.queue_max),
            waiting: BTreeMap::new(),
        })
    }

    /// Carries out the steps of a purse; messages between its two sides on this host stay here.
    fn carry_out(&mut self, upstream: &UpstreamName, steps: Vec<Step>, credits: &Credits, now: Instant) -> Outbox {
        let mut queue = VecDeque::new();
        self.take_steps(upstream, steps, &mut queue, credits, now);
        self.run_queue(queue, credits, now)
    }

    fn take_steps(
        &mut self,
        upstream: &UpstreamName,
        steps: Vec<Step>,
        queue: &mut VecDeque<CreditMessage>,
        credits: &Credits,
        now: Instant,
    ) {
        let mut steps = VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            let row = self.row(upstream, credits);
            match step {
                Step::Start(ticket, permit) => {
                    let waiter = row.waiting.remove(&ticket);
                    let unused = match waiter.map(|w| w.send(Ok(permit))) {
                        Some(Err(Ok(permit))) => Some(permit),
                        _ => None,
                    };
                    if let Some(permit) = unused {
                        // The caller left between its turn and the message.
                        let sample = Sample {
                            outcome: Outcome::Cancelled,
                            latency: Duration::ZERO,
                            connection_age: Duration::ZERO,
                            incarnation: None,
                        };
                        steps.extend(row.purse.release(permit, sample, now));
                    }
                }
                Step::Refuse(ticket, reason) => {
                    if let Some(waiter) = row.waiting.remove(&ticket) {
                        waiter.send(Err(reason)).ok();
                    }
                }
                Step::Send(report) => queue.push_back(CreditMessage::Report(report)),
            }
        }
    }

    fn run_queue(&mut self, mut queue: VecDeque<CreditMessage>, credits: &Credits, now: Instant) -> Outbox {
        let mut outbox = Outbox::new();
        while let Some(message) = queue.pop_front() {
            match message {
                CreditMessage::Report(report) if report.term.host == credits.me.host => {
                    let broker = self.brokers.get_mut(&report.upstream);
                    let lends = broker.map(|b| b.hear(&report, now)).unwrap_or_default();
                    queue.extend(lends.into_iter().map(CreditMessage::Lend));
                }
                CreditMessage::Lend(lend) if lend.to.host == credits.me.host => {
                    let upstream = lend.upstream.clone();
                    let steps = self.row(&upstream, credits).purse.hear(&lend, now);
                    self.take_steps(&upstream, steps, &mut queue, credits, now);
                }
                other => outbox.push(other),
            }
        }
        outbox
    }

    #[expect(clippy::too_many_arguments, reason = "one call, which names each thing that the decision reads")]
    fn follow_home(
        &mut self,
        name: &UpstreamName,
        upstream: &Upstream,
        state: &State,
        live: &[HostName],
        credits: &Credits,
        lease: Duration,
        now: Instant,
    ) -> Outbox {
        let capacity = Capacity { slots: upstream.slots, connections: upstream.connections };
        let members = &state.membership.members;
        let is_home = home_host(name, live) == Some(&credits.me.host);
        if !is_home {
            // Another host's broker takes over with a higher term, which ends this one.
            return Outbox::new();
        }
        if let Some(broker) = self.brokers.get_mut(name) {
            let hosts = u32::try_from(members.len()).unwrap_or(u32::MAX);
            broker.resize(capacity, hosts, now);
            return Outbox::new();
        }
        let earlier = self.row(name, credits).purse.term().cloned();
        let round = earlier.as_ref().map_or(0, |t| t.round) + 1;
        let term = HomeTerm { round, host: credits.me.host.clone() };
        let evicted = earlier.as_ref().is_some_and(|t| !members.contains_key(&t.host));
        let alone = members.len() == 1;
        let not_before = if evicted || alone { now } else { now + lease };
        let instances = members
            .iter()
            .map(|(host, member)| Instance { host: host.clone(), incarnation: member.incarnation });
        let broker = Broker::new(name.clone(), term.clone(), capacity, instances, not_before, now);
        self.brokers.insert(name.clone(), broker);
        let steps = self.row(name, credits).purse.set_home(term, now);
        self.carry_out(name, steps, credits, now)
    }

    fn share_warmth<'a>(&mut self, upstreams: impl Iterator<Item = &'a UpstreamName> + Clone) {
        let rows = upstreams.clone().filter_map(|name| self.purses.get(name)?.purse.last_lend());
        let cold = rows.filter(|lend| lend.cold).count();
        let total = upstreams.clone().count();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        for name in upstreams {
            if let Some(broker) = self.brokers.get_mut(name) {
                broker.set_pool(PoolWarmth { cold: count(cold), total: count(total) });
            }
        }
    }
}

/// Takes a report of another host and gives the lends that answer it.
pub(super) fn answer_report(shared: &Arc<Shared>, report: Report) -> Vec<Lend> {
    let (lends, outbox) = shared.credits.hear_report(report, Instant::now());
    send_messages(shared, outbox);
    lends
}

/// Takes lends of another host.
pub(super) fn take_lends(shared: &Arc<Shared>, lends: Vec<Lend>) {
    let outbox = shared.credits.hear_lends(lends, Instant::now());
    send_messages(shared, outbox);
}

/// Takes the brokers that another host announces.
pub(super) fn follow_homes(shared: &Arc<Shared>, homes: BTreeMap<UpstreamName, HomeTerm>) {
    let outbox = shared.credits.follow_homes(homes, Instant::now());
    send_messages(shared, outbox);
}

/// Does what time requires.
pub(super) fn tick_credits(shared: &Arc<Shared>, live: &[HostName], now: Instant) {
    let lease = shared.settings.timing.routing_lease.0;
    let outbox = shared.credits.tick(now, &shared.state(), live, lease);
    send_messages(shared, outbox);
}

/// Sends messages to other hosts; a lost one is repeated by the decisions themselves.
fn send_messages(shared: &Arc<Shared>, outbox: Outbox) {
    let mut lends: BTreeMap<HostName, Vec<Lend>> = BTreeMap::new();
    for message in outbox {
        match message {
            CreditMessage::Report(report) => {
                tokio::spawn(send_report(Arc::clone(shared), report));
            }
            CreditMessage::Lend(lend) => lends.entry(lend.to.host.clone()).or_default().push(lend),
        }
    }
    for (host, lends) in lends {
        let shared = Arc::clone(shared);
        tokio::spawn(async move { shared.peers.lend_credits(&host, Lends { lends }).await.ok() });
    }
}

async fn send_report(shared: Arc<Shared>, report: Report) {
    let home = report.term.host.clone();
    if let Ok(answer) = shared.peers.report_credits(&home, report).await {
        take_lends(&shared, answer.lends);
    }
}
