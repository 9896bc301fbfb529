//! Carries credits between this host's requests and the home hosts of upstreams.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use super::Shared;
use crate::admission::{
    Admission, Broker, Capacity, CreditHolder, Demand, HomeTerm, Instance, Lend, Outcome, Permit, PoolWarmth, Report,
    Sample, Sign, Step, Ticket, home_host,
};
use crate::choice::Crash;
use crate::fold::State;
use crate::membership::outlast;
use crate::peer::Lends;
use crate::tables::{Priority, Upstream};
use crate::telemetry::Metrics;
use crate::types::{Caller, HostName, Incarnation, Reason, UpstreamName};

/// Messages between a broker and a holder of this host that one event may cause. Two sides that
/// answer each other without end would otherwise keep the lock for ever; what is dropped here is
/// repeated at the next tick.
const LOCAL_MESSAGES_MAX: usize = 64;

/// Time between two checks whether an upstream is free for a request that runs alone.
const ISOLATION_CHECK: Duration = Duration::from_millis(5);
/// Longest wait for the slot with which a host tells that an upstream was restarted.
const TELL_LIMIT: Duration = Duration::from_secs(1);

/// Credits of this host and, for upstreams whose home it is, the brokers.
#[derive(Debug)]
pub(crate) struct Credits {
    me: Instance,
    queue_max: usize,
    tables: Mutex<CreditTables>,
}

#[derive(Debug, Default)]
struct CreditTables {
    holders: BTreeMap<UpstreamName, HolderRow>,
    brokers: BTreeMap<UpstreamName, Broker>,
    candidacies: BTreeMap<UpstreamName, Candidacy>,
    /// Announced terms that never got a broker. A host that has heard one follows it until it hears
    /// of a higher one, so they are announced until the present home has taken such a term.
    withdrawn: BTreeMap<UpstreamName, HomeTerm>,
    /// Last run of each upstream that is known to have crashed; news of a crash is repeated.
    crashed: BTreeMap<UpstreamName, Incarnation>,
}

/// This host's announcement that it becomes home of an upstream.
///
/// A member that has heard the term runs no earlier broker any more, so the new one may start as
/// soon as all members with a routing lease have answered.
#[derive(Debug)]
struct Candidacy {
    term: HomeTerm,
    since: Instant,
    heard: BTreeSet<HostName>,
}

#[derive(Debug)]
struct HolderRow {
    holder: CreditHolder,
    waiting: BTreeMap<Ticket, oneshot::Sender<Result<Permit, Reason>>>,
}

/// A message between a holder and a broker.
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
    /// The host is to be the only user of the upstream while the slot is held.
    alone: Option<Isolation>,
}

/// Asks for the sole use of an upstream until dropped.
#[derive(Debug)]
struct Isolation {
    shared: Arc<Shared>,
    upstream: UpstreamName,
}

impl Isolation {
    fn begin(shared: &Arc<Shared>, upstream: &UpstreamName) -> Self {
        let outbox = shared.credits.set_isolate(upstream, true, Instant::now());
        send_messages(shared, outbox);
        Self {
            shared: Arc::clone(shared),
            upstream: upstream.clone(),
        }
    }
}

impl Drop for Isolation {
    fn drop(&mut self) {
        let outbox = self.shared.credits.set_isolate(&self.upstream, false, Instant::now());
        send_messages(&self.shared, outbox);
    }
}

impl Slot {
    pub(crate) fn upstream(&self) -> &UpstreamName {
        &self.upstream
    }

    /// Sets what the release tells the upstream's broker.
    pub(crate) fn set_sample(&mut self, sample: Sample) {
        self.sample = sample;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let outbox = self
                .shared
                .credits
                .release(&self.upstream, permit, self.sample, Instant::now());
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
            let _cancel = CancelOnDrop {
                shared: Arc::clone(shared),
                upstream: upstream.clone(),
                ticket,
            };
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
        alone: None,
    })
}

/// Waits until this host is the only user of an upstream with nothing in flight, and takes a slot.
///
/// # Errors
///
/// Gives the reason if the request must be refused; it has not run.
pub(crate) async fn acquire_alone(
    shared: &Arc<Shared>,
    upstream: &UpstreamName,
    demand: &Demand,
) -> Result<Slot, Reason> {
    let isolation = Isolation::begin(shared, upstream);
    while !shared.credits.is_idle_and_isolated(upstream, Instant::now()) {
        if Instant::now() >= demand.deadline {
            return Err(Reason::SuspectWaiting);
        }
        sleep(ISOLATION_CHECK).await;
    }
    let mut slot = acquire_slot(shared, upstream, demand).await?;
    slot.alone = Some(isolation);
    Ok(slot)
}

enum Entry {
    Started(Permit),
    Refused(Reason),
    Waiting(Ticket, oneshot::Receiver<Result<Permit, Reason>>),
}

impl Credits {
    pub(crate) fn new(me: Instance, queue_max: u32) -> Self {
        Self {
            me,
            queue_max: queue_max as usize,
            tables: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, CreditTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self, upstream: &UpstreamName, demand: &Demand, now: Instant) -> (Entry, Outbox) {
        let mut tables = self.lock();
        let row = tables.row(upstream, self);
        let (admission, steps) = row.holder.admit(demand, now);
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
        let steps = row.holder.cancel(ticket, now);
        tables.carry_out(upstream, steps, self, now)
    }

    fn set_isolate(&self, upstream: &UpstreamName, isolate: bool, now: Instant) -> Outbox {
        let mut tables = self.lock();
        let steps = tables.row(upstream, self).holder.set_isolate(isolate, now);
        tables.carry_out(upstream, steps, self, now)
    }

    fn is_idle_and_isolated(&self, upstream: &UpstreamName, now: Instant) -> bool {
        let mut tables = self.lock();
        let holder = &tables.row(upstream, self).holder;
        holder.is_isolated(now) && holder.running() == 0
    }

    fn release(&self, upstream: &UpstreamName, permit: Permit, sample: Sample, now: Instant) -> Outbox {
        let mut tables = self.lock();
        let steps = tables.row(upstream, self).holder.release(permit, sample, now);
        tables.carry_out(upstream, steps, self, now)
    }

    /// Takes a report of a holder at another host and gives the lends that answer it.
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

    /// Takes a proved crash of an upstream: its next run starts cold.
    ///
    /// Without that, as many requests as it has slots reach the next run before its first answer
    /// tells that it is another one.
    fn note_crash(&self, crash: &Crash, now: Instant) -> Outbox {
        let mut tables = self.lock();
        let before = tables.crashed.insert(crash.upstream.clone(), crash.incarnation);
        if before == Some(crash.incarnation) {
            return Outbox::new();
        }
        let broker = tables.brokers.get_mut(&crash.upstream);
        let lends = broker.map(|b| b.note(Sign::Reset, now)).unwrap_or_default();
        let queue = lends.into_iter().map(CreditMessage::Lend).collect();
        tables.run_queue(queue, self, now)
    }

    /// Tells whether this host is home of an upstream.
    pub(super) fn runs_broker(&self) -> bool {
        !self.lock().brokers.is_empty()
    }

    /// Terms of the brokers that this host runs or is about to run, for the heartbeats.
    pub(crate) fn homes(&self) -> BTreeMap<UpstreamName, HomeTerm> {
        let tables = self.lock();
        let running = tables.brokers.iter().map(|(name, broker)| (name, broker.term()));
        let announced = tables
            .candidacies
            .iter()
            .map(|(name, candidacy)| (name, &candidacy.term));
        tables
            .withdrawn
            .iter()
            .chain(running)
            .chain(announced)
            .map(|(name, term)| (name.clone(), term.clone()))
            .collect()
    }

    /// Notes that a member has answered a heartbeat that announced terms.
    pub(super) fn note_announced(&self, host: &HostName, terms: &BTreeMap<UpstreamName, HomeTerm>) {
        for (name, candidacy) in &mut self.lock().candidacies {
            if terms.get(name) == Some(&candidacy.term) {
                candidacy.heard.insert(host.clone());
            }
        }
    }

    /// Tells whether peers should hear a new term at once.
    pub(super) fn is_announcing(&self) -> bool {
        !self.lock().candidacies.is_empty()
    }

    /// Concurrency limits of upstreams in slow start, as far as this host uses them.
    pub(crate) fn cold_limits(&self) -> BTreeMap<UpstreamName, u32> {
        let tables = self.lock();
        let lends = tables
            .holders
            .iter()
            .filter_map(|(name, row)| Some((name, row.holder.last_lend()?)));
        lends
            .filter(|(_, lend)| lend.cold)
            .map(|(name, lend)| (name.clone(), lend.limit))
            .collect()
    }

    /// Shows the limits and credits of this host.
    fn show(&self, metrics: &Metrics) {
        for (name, row) in &self.lock().holders {
            if let Some(lend) = row.holder.last_lend() {
                metrics.set_credits(name, lend.limit, lend.slots.count);
            }
        }
    }

    /// Ejections that the brokers have passed on, with the time left of each.
    pub(crate) fn ejections(&self) -> BTreeMap<UpstreamName, Duration> {
        let tables = self.lock();
        let lends = tables
            .holders
            .iter()
            .filter_map(|(name, row)| Some((name, row.holder.last_lend()?)));
        let ejected = lends.filter(|(_, lend)| !lend.ejected.is_zero());
        ejected.map(|(name, lend)| (name.clone(), lend.ejected)).collect()
    }

    /// Share of the slots of upstreams in use, if all hosts use as many as this one.
    fn utilisation<'a>(&self, upstreams: impl Iterator<Item = &'a UpstreamName>, hosts: usize) -> f64 {
        let tables = self.lock();
        let rows = upstreams.filter_map(|name| tables.holders.get(name));
        let lent = rows.filter_map(|row| Some((row.holder.running(), row.holder.last_lend()?.limit)));
        let (running, limit) = lent.fold((0, 0), |(r, l), (running, limit)| (r + running, l + limit));
        let hosts = f64::from(u32::try_from(hosts).unwrap_or(u32::MAX));
        if limit == 0 {
            1.0
        } else {
            f64::from(running) * hosts / f64::from(limit)
        }
    }

    /// Tells the other hosts, through the upstream's broker, that it is ejected.
    fn set_ejected(&self, upstream: &UpstreamName, until: Instant, now: Instant) -> Outbox {
        let mut tables = self.lock();
        let steps = tables.row(upstream, self).holder.set_ejected(until, now);
        tables.carry_out(upstream, steps, self, now)
    }

    /// Lets an upstream whose ejection has ended take work by slow start.
    fn note_returned(&self, upstream: &UpstreamName, now: Instant) -> Outbox {
        let mut tables = self.lock();
        let lends = tables
            .brokers
            .get_mut(upstream)
            .map(|broker| broker.note(Sign::Returned, now));
        let queue = lends.unwrap_or_default().into_iter().map(CreditMessage::Lend).collect();
        tables.run_queue(queue, self, now)
    }

    /// Follows the brokers that another host runs.
    fn follow_homes(&self, homes: BTreeMap<UpstreamName, HomeTerm>, now: Instant) -> Outbox {
        let mut tables = self.lock();
        let mut outbox = Outbox::new();
        for (upstream, term) in homes {
            if tables.brokers.get(&upstream).is_some_and(|b| *b.term() < term) {
                tables.brokers.remove(&upstream);
            }
            let steps = tables.row(&upstream, self).holder.set_home(term, now);
            outbox.extend(tables.carry_out(&upstream, steps, self, now));
        }
        outbox
    }

    /// Becomes home of upstreams, lends, recalls, and refuses requests that waited too long.
    ///
    /// `live` are the members that can start a broker. A host that drains is none of them, and
    /// keeps its brokers until others take over, as long as it `routes`.
    fn tick(&self, now: Instant, state: &State, live: &[HostName], lease: Duration, routes: bool) -> Outbox {
        let mut tables = self.lock();
        let mut outbox = Outbox::new();
        if !routes {
            // Without a routing lease, another host may have become home already.
            tables.brokers.clear();
            // Its candidacies are withdrawn below, since it is not among the live ones either.
        }
        for pool in state.tables.pools.values() {
            for (name, upstream) in &pool.upstreams {
                outbox.extend(tables.follow_home(name, upstream, state, live, self, lease, now));
            }
            tables.share_warmth(pool.upstreams.keys());
        }
        let kept = |name: &UpstreamName| state.tables.pools.values().any(|p| p.upstreams.contains_key(name));
        tables.brokers.retain(|name, _| kept(name));
        tables
            .holders
            .retain(|name, row| kept(name) || row.holder.running() > 0 || !row.waiting.is_empty());
        let names: Vec<UpstreamName> = tables.holders.keys().cloned().collect();
        for name in names {
            let steps = tables.row(&name, self).holder.tick(now);
            outbox.extend(tables.carry_out(&name, steps, self, now));
            let lends = tables.brokers.get_mut(&name).map(|b| b.tick(now)).unwrap_or_default();
            let queue = lends.into_iter().map(CreditMessage::Lend).collect();
            outbox.extend(tables.run_queue(queue, self, now));
        }
        outbox
    }
}

impl CreditTables {
    fn row(&mut self, upstream: &UpstreamName, credits: &Credits) -> &mut HolderRow {
        self.holders.entry(upstream.clone()).or_insert_with(|| HolderRow {
            holder: CreditHolder::new(upstream.clone(), credits.me.clone(), credits.queue_max),
            waiting: BTreeMap::new(),
        })
    }

    /// Carries out the steps of a holder; messages between its two sides on this host stay here.
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
                        steps.extend(row.holder.release(permit, sample, now));
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
        for _ in 0..LOCAL_MESSAGES_MAX {
            let Some(message) = queue.pop_front() else { break };
            match message {
                CreditMessage::Report(report) if report.term.host == credits.me.host => {
                    let broker = self.brokers.get_mut(&report.upstream);
                    let lends = broker.map(|b| b.hear(&report, now)).unwrap_or_default();
                    queue.extend(lends.into_iter().map(CreditMessage::Lend));
                }
                CreditMessage::Lend(lend) if lend.to.host == credits.me.host => {
                    let upstream = lend.upstream.clone();
                    let steps = self.row(&upstream, credits).holder.hear(&lend, now);
                    self.take_steps(&upstream, steps, &mut queue, credits, now);
                }
                other => outbox.push(other),
            }
        }
        outbox
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one call, which names each thing that the decision reads"
    )]
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
        let capacity = Capacity {
            slots: upstream.slots,
            connections: upstream.connections,
        };
        let members = &state.membership.members;
        let is_home = home_host(name, live) == Some(&credits.me.host);
        if !is_home {
            // Another host's broker takes over with a higher term, which ends this one.
            self.withdraw(name);
            return Outbox::new();
        }
        if let Some(broker) = self.brokers.get_mut(name) {
            let hosts = u32::try_from(members.len()).unwrap_or(u32::MAX);
            broker.resize(capacity, hosts, now);
            return Outbox::new();
        }
        let Some(term) = self.win_candidacy(name, live, credits, lease, now) else {
            return Outbox::new();
        };
        let instances = members.iter().map(|(host, member)| Instance {
            host: host.clone(),
            incarnation: member.incarnation,
        });
        let broker = Broker::new(name.clone(), term.clone(), capacity, instances, now, now);
        self.brokers.insert(name.clone(), broker);
        let steps = self.row(name, credits).holder.set_home(term, now);
        self.carry_out(name, steps, credits, now)
    }

    /// Gives up the candidacy for an upstream, and forgets it once a higher term is known.
    fn withdraw(&mut self, name: &UpstreamName) {
        if let Some(candidacy) = self.candidacies.remove(name) {
            self.withdrawn.insert(name.clone(), candidacy.term);
        }
        let known = self.holders.get(name).and_then(|row| row.holder.term());
        if known > self.withdrawn.get(name) {
            self.withdrawn.remove(name);
        }
    }

    /// Announces a term and gives it once no earlier broker can lend any more.
    fn win_candidacy(
        &mut self,
        name: &UpstreamName,
        live: &[HostName],
        credits: &Credits,
        lease: Duration,
        now: Instant,
    ) -> Option<HomeTerm> {
        let known = self.row(name, credits).holder.term().cloned();
        let overtaken = |c: &Candidacy| known.as_ref().is_some_and(|known| *known >= c.term);
        if self.candidacies.get(name).is_none_or(overtaken) {
            let round = known.map_or(0, |term| term.round) + 1;
            let term = HomeTerm {
                round,
                host: credits.me.host.clone(),
            };
            let candidacy = Candidacy {
                term,
                since: now,
                heard: BTreeSet::new(),
            };
            self.candidacies.insert(name.clone(), candidacy);
        }
        let candidacy = self.candidacies.get(name)?;
        // A member without a routing lease runs no broker. One that was not heard for the detection
        // time has lost its lease by the end of the 500 ms that the new broker waits for its answer.
        let mut others = live.iter().filter(|host| **host != credits.me.host);
        if !others.all(|host| candidacy.heard.contains(host)) && now < candidacy.since + outlast(lease) {
            return None;
        }
        self.candidacies.remove(name).map(|candidacy| candidacy.term)
    }

    fn share_warmth<'a>(&mut self, upstreams: impl Iterator<Item = &'a UpstreamName> + Clone) {
        let rows = upstreams
            .clone()
            .filter_map(|name| self.holders.get(name)?.holder.last_lend());
        let cold = rows.filter(|lend| lend.cold).count();
        let total = upstreams.clone().count();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        for name in upstreams {
            if let Some(broker) = self.brokers.get_mut(name) {
                broker.set_pool(PoolWarmth {
                    cold: count(cold),
                    total: count(total),
                });
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

/// Ejects an upstream at all hosts.
pub(crate) fn eject_upstream(shared: &Arc<Shared>, upstream: &UpstreamName, until: Instant) {
    let outbox = shared.credits.set_ejected(upstream, until, Instant::now());
    send_messages(shared, outbox);
}

/// Follows ejections and their ends.
pub(super) fn tick_ejections(shared: &Arc<Shared>, now: Instant) {
    shared.policies.follow_ejections(&shared.credits.ejections(), now);
    {
        let state = shared.state();
        for (name, pool) in &state.tables.pools {
            let used = shared
                .credits
                .utilisation(pool.upstreams.keys(), state.membership.members.len());
            shared.policies.set_utilisation(name, used);
        }
    }
    shared.credits.show(&shared.metrics);
    let (ejected, returned) = shared.policies.tick(now);
    for (upstream, until) in ejected {
        eject_upstream(shared, &upstream, until);
    }
    for upstream in returned {
        let outbox = shared.credits.note_returned(&upstream, now);
        send_messages(shared, outbox);
    }
}

/// Takes a proved crash of an upstream.
pub(super) fn note_crash(shared: &Arc<Shared>, crash: &Crash) {
    let outbox = shared.credits.note_crash(crash, Instant::now());
    send_messages(shared, outbox);
}

/// Tells an upstream's home which run of the upstream answers.
///
/// The message travels with the release of a slot, which is taken for `caller`.
pub(crate) async fn tell_incarnation(
    shared: &Arc<Shared>,
    upstream: &UpstreamName,
    caller: Caller,
    incarnation: Incarnation,
) {
    let demand = Demand {
        priority: Priority::High,
        caller,
        deadline: Instant::now() + TELL_LIMIT,
    };
    if let Ok(mut slot) = acquire_slot(shared, upstream, &demand).await {
        slot.sample.incarnation = Some(incarnation);
    }
}

/// Does what time requires.
pub(super) fn tick_credits(shared: &Arc<Shared>, live: &[HostName], now: Instant) {
    let lease = shared.settings.timing.routing_lease.0;
    let routes = shared.holds_lease();
    let outbox = shared.credits.tick(now, &shared.state(), live, lease, routes);
    send_messages(shared, outbox);
}

/// Sends messages to other hosts; a lost one is repeated by the decisions themselves.
fn send_messages(shared: &Arc<Shared>, outbox: Outbox) {
    let mut lends: BTreeMap<HostName, Vec<Lend>> = BTreeMap::new();
    for message in outbox {
        match message {
            CreditMessage::Report(report) => {
                if let Some(report) = shared.reports.push(report) {
                    tokio::spawn(send_reports(Arc::clone(shared), report));
                }
            }
            CreditMessage::Lend(lend) => lends.entry(lend.to.host.clone()).or_default().push(lend),
        }
    }
    for (host, lends) in lends {
        let shared = Arc::clone(shared);
        tokio::spawn(async move { shared.peers.lend_credits(&host, Lends { lends }).await.ok() });
    }
}

/// Reports to remote homes: the newest that waits while one of the same upstream is on its way.
///
/// A report holds all that the home has not acknowledged, so the newest stands for those before
/// it. Under load there would otherwise be more reports than requests.
#[derive(Debug, Default)]
pub(crate) struct ReportQueue {
    waiting: Mutex<BTreeMap<UpstreamName, Option<Report>>>,
}

impl ReportQueue {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamName, Option<Report>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a report and gives it back if it can be sent at once.
    fn push(&self, report: Report) -> Option<Report> {
        let mut waiting = self.lock();
        if let Some(place) = waiting.get_mut(&report.upstream) {
            *place = Some(report);
            return None;
        }
        waiting.insert(report.upstream.clone(), None);
        Some(report)
    }

    /// Gives the report that waited for the end of one to the same upstream.
    fn next(&self, upstream: &UpstreamName) -> Option<Report> {
        let mut waiting = self.lock();
        let next = waiting.get_mut(upstream).and_then(Option::take);
        if next.is_none() {
            waiting.remove(upstream);
        }
        next
    }
}

async fn send_reports(shared: Arc<Shared>, first: Report) {
    let upstream = first.upstream.clone();
    let mut next = Some(first);
    while let Some(report) = next {
        let home = report.term.host.clone();
        if let Ok(answer) = shared.peers.report_credits(&home, report).await {
            take_lends(&shared, answer.lends);
        }
        next = shared.reports.next(&upstream);
    }
}
