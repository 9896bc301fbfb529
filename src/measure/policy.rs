//! Discrete events of requests, upstream slots and service times around the real decision code.
//!
//! The model is small on purpose: hosts, upstreams with slots and a queue, delays of the network,
//! and service times. The decisions are those of `admission` and `choice`.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "counts and microseconds of the model are far below the limits of their types"
)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, Write};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::time::Instant;

use crate::admission::{
    Admission, Broker, Capacity, CreditHolder, Demand, HomeTerm, Instance, Lend, Outcome, Permit, Report, Sample, Sign,
    Step, Ticket, home_host,
};
use crate::choice::{Ejection, Ejector, Failure, HedgeBudget, HedgeQuestion, Load, RetryBudget, pick_upstream};
use crate::tables::Priority;
use crate::types::{Caller, HostName, Incarnation, UpstreamName, Verdict};

const SEEDS: [u64; 3] = [11, 22, 33];
/// Time of the simulated run, and the part of it that is not counted.
const RUN: Duration = Duration::from_secs(6);
const WARM_UP: Duration = Duration::from_secs(2);
const COUNTED: Duration = Duration::from_secs(4);
/// Time at which faults occur.
const FAULT_AT: Duration = Duration::from_secs(3);
/// One way between two hosts, or a host and an upstream.
const HOP: Duration = Duration::from_micros(500);
/// Time in which the news of a broken connection reaches the home host and its recall the others.
const NOTICE: Duration = Duration::from_millis(2);
const DEADLINE: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(2);

/// Sizes of one deployment's shared pool.
#[derive(Clone, Copy, Debug)]
struct Site {
    name: &'static str,
    hosts: usize,
    upstreams: usize,
    slots: u32,
    /// Service time: a fixed part and the mean of an exponential part.
    fixed: Duration,
    random: Duration,
}

const SITES: [Site; 2] = [
    Site {
        name: "guatemala",
        hosts: 8,
        upstreams: 10,
        slots: 4,
        fixed: Duration::from_millis(4),
        random: Duration::from_millis(6),
    },
    Site {
        name: "senegal",
        hosts: 9,
        upstreams: 10,
        slots: 6,
        fixed: Duration::from_millis(8),
        random: Duration::from_millis(12),
    },
];

impl Site {
    /// Requests per second that the pool can serve.
    fn capacity(&self) -> f64 {
        let slots = f64::from(self.slots) * self.upstreams as f64;
        slots / (self.fixed + self.random).as_secs_f64()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    RoundRobin,
    LeastInFlight,
    TwoChoices,
    /// Each request has one owner.
    Keyed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Limit {
    None,
    /// The slots divided by the hosts, at least one per host.
    Share,
    Credits,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Two upstreams are ten times slower from the start.
    Slow,
    /// Upstreams turn cold: their requests in flight break, and they bear one at first.
    Cold(usize),
    /// A host is lost while it holds credits; its callers go to the others.
    HostLost,
}

#[derive(Clone, Copy, Debug)]
struct Setup {
    site: Site,
    load: f64,
    choice: Choice,
    limit: Limit,
    eject: bool,
    hedge: bool,
    ramp: bool,
    fault: Fault,
}

struct Request {
    host: usize,
    arrived: Instant,
    done: bool,
    hedged: bool,
    retries: u32,
    attempts: Vec<usize>,
    failed: BTreeSet<usize>,
    key: usize,
}

enum Phase {
    Waiting(Ticket),
    Sent(Option<Permit>),
    Over,
}

struct Attempt {
    request: usize,
    host: usize,
    upstream: usize,
    sent: Instant,
    /// Incarnation of the upstream that finished it.
    incarnation: Option<Incarnation>,
    phase: Phase,
}

struct Server {
    name: UpstreamName,
    slow: f64,
    incarnation: u64,
    running: BTreeSet<usize>,
    queue: VecDeque<usize>,
    /// Requests that it can bear at once.
    bound: u32,
    completed: u32,
    cold: bool,
    restarted: Instant,
}

struct Node {
    alive: bool,
    holders: Vec<CreditHolder>,
    /// Waiting attempts of the static share, and how many run.
    shares: Vec<(VecDeque<usize>, u32)>,
    loads: Vec<Load>,
    ejector: Ejector,
    hedges: HedgeBudget,
    retries: RetryBudget,
    utilisation: f64,
    running: u32,
    tickets: BTreeMap<(usize, Ticket), usize>,
    next: usize,
}

enum Event {
    Arrive,
    Tick,
    Report(usize, Report),
    Lend(usize, Lend),
    Sign(usize),
    Reach(usize),
    Finish(usize, u64),
    Answer(usize, Outcome),
    Cancel(usize),
    Hedge(usize),
    Deadline(usize),
    Fault,
}

/// What one run has shown.
#[derive(Clone, Debug, Default)]
struct Figures {
    latencies: Vec<u32>,
    requests: u32,
    answered: u32,
    hedges: u32,
    retries: u32,
    /// Most requests at one upstream at once, those in its queue included.
    peak: u32,
    /// Most requests above the bound of a cold upstream, and starts above it.
    peak_above: u32,
    above: u32,
    /// Starts above it that were sent after the hosts could know.
    above_late: u32,
    /// Crashes of cold upstreams by twice their bound or more.
    crashes: u32,
    /// Answers in the second after the fault, and in the second before it.
    after_fault: u32,
    before_fault: u32,
}

impl Figures {
    fn percentile(&self, per_mille: usize) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() * per_mille / 1000).min(sorted.len().saturating_sub(1));
        f64::from(sorted.get(rank).copied().unwrap_or_default()) / 1000.0
    }

    fn merge(&mut self, other: Self) {
        self.latencies.extend(other.latencies);
        self.requests += other.requests;
        self.answered += other.answered;
        self.hedges += other.hedges;
        self.retries += other.retries;
        self.peak = self.peak.max(other.peak);
        self.peak_above = self.peak_above.max(other.peak_above);
        self.above += other.above;
        self.above_late += other.above_late;
        self.crashes += other.crashes;
        self.after_fault += other.after_fault;
        self.before_fault += other.before_fault;
    }
}

struct Model {
    setup: Setup,
    start: Instant,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    rng: Pcg64,
    nodes: Vec<Node>,
    names: Vec<HostName>,
    servers: Vec<Server>,
    brokers: Vec<Broker>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    figures: Figures,
}

fn name_host(index: usize) -> HostName {
    format!("host-{index}").parse().expect("the name is valid")
}

fn name_upstream(index: usize) -> UpstreamName {
    format!("upstream-{index}").parse().expect("the name is valid")
}

fn name_caller() -> Caller {
    "caller".parse().expect("the name is valid")
}

impl Model {
    fn new(setup: Setup, seed: u64) -> Self {
        let start = Instant::now();
        let names: Vec<HostName> = (0..setup.site.hosts).map(name_host).collect();
        let servers: Vec<Server> = (0..setup.site.upstreams)
            .map(|i| Server::new(i, &setup, start))
            .collect();
        let home = |server: &Server| home_host(&server.name, &names).expect("there are hosts").clone();
        let terms: Vec<HomeTerm> = servers
            .iter()
            .map(|s| HomeTerm {
                round: 1,
                host: home(s),
            })
            .collect();
        let capacity = Capacity {
            slots: setup.site.slots,
            connections: 100,
        };
        let brokers = servers
            .iter()
            .zip(&terms)
            .map(|(s, term)| Broker::new(s.name.clone(), term.clone(), capacity, [], start, start))
            .collect();
        let nodes = names.iter().map(|name| Node::new(name, &terms, start)).collect();
        let mut model = Self {
            setup,
            start,
            now: start,
            events: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64::seed_from_u64(seed),
            nodes,
            names,
            servers,
            brokers,
            requests: Vec::new(),
            attempts: Vec::new(),
            figures: Figures::default(),
        };
        model.push(Duration::ZERO, Event::Arrive);
        model.push(TICK, Event::Tick);
        model.push(FAULT_AT, Event::Fault);
        model
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn run(mut self) -> Figures {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= self.start + RUN {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.figures
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick => self.tick(),
            Event::Report(broker, report) => {
                if self.nodes[self.find_home(broker)].alive {
                    let lends = self.brokers[broker].hear(&report, self.now);
                    self.send_lends(broker, lends);
                }
            }
            Event::Lend(host, lend) => self.take_lend(host, &lend),
            Event::Sign(upstream) => {
                let lends = self.brokers[upstream].note(Sign::Returned, self.now);
                self.send_lends(upstream, lends);
            }
            Event::Reach(attempt) => self.reach(attempt),
            Event::Finish(attempt, incarnation) => self.finish(attempt, incarnation),
            Event::Answer(attempt, outcome) => self.answer(attempt, outcome),
            Event::Cancel(attempt) => self.cancel(attempt),
            Event::Hedge(request) => self.hedge(request),
            Event::Deadline(request) => self.expire(request),
            Event::Fault => self.fail(),
        }
    }

    fn find_home(&self, broker: usize) -> usize {
        let host = &self.brokers[broker].term().host;
        self.names.iter().position(|n| n == host).unwrap_or_default()
    }

    fn is_counted(&self, at: Instant) -> bool {
        at >= self.start + WARM_UP
    }

    // Callers

    fn arrive(&mut self) {
        let rate = self.setup.site.capacity() * self.setup.load;
        let gap = Duration::from_secs_f64(-(1.0 - self.rng.random::<f64>()).ln() / rate);
        self.push(gap, Event::Arrive);
        let host = self.draw_host();
        let request = self.requests.len();
        let key = self.rng.random_range(0..self.servers.len());
        self.requests.push(Request {
            host,
            arrived: self.now,
            done: false,
            hedged: false,
            retries: 0,
            attempts: Vec::new(),
            failed: BTreeSet::new(),
            key,
        });
        if self.is_counted(self.now) {
            self.figures.requests += 1;
        }
        let slots = f64::from(self.setup.site.slots) * self.servers.len() as f64;
        let alive = self.nodes.iter().filter(|n| n.alive).count() as f64;
        let node = &mut self.nodes[host];
        let utilisation = f64::from(node.running) * alive / slots;
        node.utilisation += 0.02 * (utilisation - node.utilisation);
        node.hedges.count_request(node.utilisation);
        node.retries.count_request(self.now);
        if self.setup.hedge
            && let Some(delay) = node.hedges.delay()
        {
            self.push(delay, Event::Hedge(request));
        }
        self.push(DEADLINE, Event::Deadline(request));
        self.launch(request);
    }

    fn draw_host(&mut self) -> usize {
        loop {
            let mut host = self.rng.random_range(0..self.nodes.len());
            // The callers of keyed pools fall unevenly on the hosts.
            if self.setup.choice == Choice::Keyed {
                host = host.min(self.rng.random_range(0..self.nodes.len()));
            }
            if self.nodes[host].alive {
                return host;
            }
        }
    }

    /// Starts an attempt of a request on an upstream that has none of it.
    fn launch(&mut self, request: usize) {
        let host = self.requests[request].host;
        let Some(upstream) = self.choose(request, host) else {
            return;
        };
        let attempt = self.attempts.len();
        self.requests[request].attempts.push(attempt);
        self.nodes[host].loads[upstream].in_flight += 1;
        self.attempts.push(Attempt {
            request,
            host,
            upstream,
            sent: self.now,
            incarnation: None,
            phase: Phase::Over,
        });
        match self.setup.limit {
            Limit::None => self.send(attempt, None),
            Limit::Share => {
                self.nodes[host].shares[upstream].0.push_back(attempt);
                self.serve_share(host, upstream);
            }
            Limit::Credits => self.ask_holder(attempt),
        }
    }

    fn choose(&mut self, request: usize, host: usize) -> Option<usize> {
        let request = &self.requests[request];
        let tried = |i: usize| {
            let open = request.attempts.iter().map(|&a| self.attempts[a].upstream);
            request.failed.contains(&i) || open.into_iter().any(|u| u == i)
        };
        let node = &self.nodes[host];
        let ejected = |i: usize| self.setup.eject && node.ejector.is_ejected(&self.servers[i].name);
        let usable = |i: usize| !tried(i) && !ejected(i);
        let count = self.servers.len();
        let chosen = match self.setup.choice {
            Choice::Keyed => Some(request.key),
            Choice::RoundRobin => (0..count).map(|i| (node.next + i) % count).find(|&i| usable(i)),
            Choice::LeastInFlight => (0..count)
                .map(|i| (node.next + i) % count)
                .filter(|&i| usable(i))
                .min_by_key(|&i| node.loads[i].in_flight),
            Choice::TwoChoices => pick_upstream(&node.loads, usable, self.now, &mut self.rng),
        };
        if let Some(chosen) = chosen {
            self.nodes[host].next = chosen + 1;
        }
        chosen
    }

    fn ask_holder(&mut self, attempt: usize) {
        let Attempt {
            request,
            host,
            upstream,
            ..
        } = self.attempts[attempt];
        let demand = Demand {
            priority: Priority::Normal,
            caller: name_caller(),
            deadline: self.requests[request].arrived + DEADLINE,
        };
        let (admission, steps) = self.nodes[host].holders[upstream].admit(&demand, self.now);
        match admission {
            Admission::Start(permit) => self.send(attempt, Some(permit)),
            Admission::Wait(ticket) => {
                self.attempts[attempt].phase = Phase::Waiting(ticket);
                self.nodes[host].tickets.insert((upstream, ticket), attempt);
            }
            Admission::Refuse(_) => self.turn_away(attempt),
        }
        self.run_steps(host, upstream, steps);
    }

    fn run_steps(&mut self, host: usize, upstream: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Start(ticket, permit) => {
                    if let Some(attempt) = self.nodes[host].tickets.remove(&(upstream, ticket)) {
                        self.send(attempt, Some(permit));
                    }
                }
                Step::Refuse(ticket, _) => {
                    if let Some(attempt) = self.nodes[host].tickets.remove(&(upstream, ticket)) {
                        self.turn_away(attempt);
                    }
                }
                Step::Send(report) => {
                    let near = self.find_home(upstream) == host;
                    let delay = if near { Duration::ZERO } else { HOP };
                    self.push(delay, Event::Report(upstream, report));
                }
            }
        }
    }

    fn send_lends(&mut self, upstream: usize, lends: Vec<Lend>) {
        for lend in lends {
            let to = self.names.iter().position(|n| *n == lend.to.host).unwrap_or_default();
            let near = self.find_home(upstream) == to;
            let delay = if near { Duration::ZERO } else { HOP };
            self.push(delay, Event::Lend(to, lend));
        }
    }

    fn take_lend(&mut self, host: usize, lend: &Lend) {
        if !self.nodes[host].alive {
            return;
        }
        let upstream = self.servers.iter().position(|s| s.name == lend.upstream);
        let Some(upstream) = upstream else { return };
        if self.setup.eject {
            self.nodes[host].ejector.follow(&lend.upstream, lend.ejected, self.now);
        }
        let steps = self.nodes[host].holders[upstream].hear(lend, self.now);
        self.run_steps(host, upstream, steps);
    }

    fn serve_share(&mut self, host: usize, upstream: usize) {
        let share = (self.setup.site.slots / self.setup.site.hosts as u32).max(1);
        let (queue, running) = &mut self.nodes[host].shares[upstream];
        if *running < share
            && let Some(attempt) = queue.pop_front()
        {
            *running += 1;
            self.send(attempt, None);
        }
    }

    fn send(&mut self, attempt: usize, permit: Option<Permit>) {
        self.attempts[attempt].sent = self.now;
        self.attempts[attempt].phase = Phase::Sent(permit);
        self.nodes[self.attempts[attempt].host].running += 1;
        self.push(HOP, Event::Reach(attempt));
    }

    // Upstreams

    fn reach(&mut self, attempt: usize) {
        let on = self.attempts[attempt].upstream;
        let server = &mut self.servers[on];
        server.queue.push_back(attempt);
        let present = (server.queue.len() + server.running.len()) as u32;
        self.figures.peak = self.figures.peak.max(present);
        if server.cold && present > server.bound {
            self.figures.above += 1;
            self.figures.peak_above = self.figures.peak_above.max(present - server.bound);
            let sent = self.attempts[attempt].sent;
            self.figures.above_late += u32::from(sent > server.restarted + NOTICE);
            if present > 2 * server.bound + 1 {
                self.figures.crashes += 1;
                self.restart(on);
                return;
            }
        }
        self.work(on);
    }

    fn work(&mut self, on: usize) {
        while self.servers[on].running.len() < self.setup.site.slots as usize {
            let Some(attempt) = self.servers[on].queue.pop_front() else {
                return;
            };
            let random = -(1.0 - self.rng.random::<f64>()).ln() * self.setup.site.random.as_secs_f64();
            let service = (self.setup.site.fixed.as_secs_f64() + random) * self.servers[on].slow;
            self.servers[on].running.insert(attempt);
            let incarnation = self.servers[on].incarnation;
            self.push(Duration::from_secs_f64(service), Event::Finish(attempt, incarnation));
        }
    }

    fn finish(&mut self, attempt: usize, incarnation: u64) {
        let on = self.attempts[attempt].upstream;
        let slots = self.setup.site.slots;
        let server = &mut self.servers[on];
        if server.incarnation != incarnation || !server.running.remove(&attempt) {
            return;
        }
        self.attempts[attempt].incarnation = Some(Incarnation(incarnation));
        server.completed += 1;
        if server.cold && server.completed >= 8 * server.bound {
            server.completed = 0;
            server.bound += 1;
            server.cold = server.bound < slots;
        }
        self.push(HOP, Event::Answer(attempt, Outcome::Answered));
        self.work(on);
    }

    fn restart(&mut self, on: usize) {
        let server = &mut self.servers[on];
        server.incarnation += 1;
        server.bound = 1;
        server.completed = 0;
        server.cold = true;
        server.restarted = self.now;
        let mut broken: Vec<usize> = server.queue.drain(..).collect();
        broken.extend(std::mem::take(&mut server.running));
        for attempt in broken {
            self.push(HOP, Event::Answer(attempt, Outcome::Reset));
        }
    }

    fn cancel(&mut self, attempt: usize) {
        let on = self.attempts[attempt].upstream;
        let server = &mut self.servers[on];
        server.queue.retain(|a| *a != attempt);
        server.running.remove(&attempt);
        self.work(on);
    }

    // Answers at the hosts

    fn answer(&mut self, attempt: usize, outcome: Outcome) {
        let Attempt {
            request,
            host,
            upstream,
            sent,
            ..
        } = self.attempts[attempt];
        if !self.nodes[host].alive || matches!(self.attempts[attempt].phase, Phase::Over) {
            return;
        }
        let latency = self.now.duration_since(sent);
        self.release(attempt, outcome, latency);
        let node = &mut self.nodes[host];
        if outcome == Outcome::Answered {
            node.loads[upstream].latency.record(latency, self.now);
        }
        if self.setup.eject {
            node.ejector
                .note(&self.servers[upstream].name, outcome, latency, self.now);
        }
        if self.requests[request].done {
            return;
        }
        if outcome == Outcome::Answered {
            self.deliver(request);
        } else {
            self.retry(request, upstream, Verdict::MayHaveRun);
        }
    }

    fn deliver(&mut self, request: usize) {
        self.requests[request].done = true;
        let Request { host, arrived, .. } = self.requests[request];
        let latency = self.now.duration_since(arrived);
        self.nodes[host].hedges.note(latency);
        // Answers are counted when they come, as those of the warm-up stand for those cut off.
        if self.is_counted(self.now) && latency <= DEADLINE {
            self.figures.answered += 1;
            self.figures.latencies.push(latency.as_micros() as u32);
        }
        let since_fault = self.now.duration_since(self.start).as_secs_f64() - FAULT_AT.as_secs_f64();
        self.figures.after_fault += u32::from((0.0..1.0).contains(&since_fault));
        self.figures.before_fault += u32::from((-1.0..0.0).contains(&since_fault));
        self.abandon(request);
    }

    /// Ends an attempt that the holder refused, and tries another upstream of a shared pool.
    fn turn_away(&mut self, attempt: usize) {
        let Attempt { request, upstream, .. } = self.attempts[attempt];
        self.close(attempt);
        let alone = self.requests[request]
            .attempts
            .iter()
            .all(|&a| matches!(self.attempts[a].phase, Phase::Over));
        if alone && !self.requests[request].done && self.setup.choice != Choice::Keyed {
            self.retry(request, upstream, Verdict::NotRun);
        }
    }

    fn retry(&mut self, request: usize, failed: usize, verdict: Verdict) {
        let state = &mut self.requests[request];
        state.failed.insert(failed);
        let failure = Failure {
            verdict,
            idempotent: true,
            attempts: state.retries + 1,
            deadline: state.arrived + DEADLINE,
        };
        let host = state.host;
        if self.nodes[host].retries.spend(&failure, self.now).is_ok() {
            self.requests[request].retries += 1;
            self.figures.retries += 1;
            self.launch(request);
        }
    }

    fn hedge(&mut self, request: usize) {
        let state = &self.requests[request];
        let node = &mut self.nodes[state.host];
        let question = HedgeQuestion {
            idempotent: true,
            shared: self.setup.choice != Choice::Keyed,
            elapsed: self.now.duration_since(state.arrived),
            utilisation: node.utilisation,
        };
        if !state.done && !state.hedged && node.alive && node.hedges.spend(&question) {
            if self.is_counted(state.arrived) {
                self.figures.hedges += 1;
            }
            self.requests[request].hedged = true;
            self.launch(request);
        }
    }

    fn expire(&mut self, request: usize) {
        if !self.requests[request].done {
            self.requests[request].done = true;
            if self.setup.limit != Limit::None {
                self.abandon(request);
            }
        }
    }

    /// Ends the open attempts of a request that is over.
    fn abandon(&mut self, request: usize) {
        for attempt in self.requests[request].attempts.clone() {
            let Attempt {
                host, upstream, sent, ..
            } = self.attempts[attempt];
            match &self.attempts[attempt].phase {
                Phase::Over => {}
                Phase::Waiting(ticket) => {
                    let ticket = *ticket;
                    self.nodes[host].tickets.remove(&(upstream, ticket));
                    let steps = self.nodes[host].holders[upstream].cancel(ticket, self.now);
                    self.close(attempt);
                    self.run_steps(host, upstream, steps);
                }
                Phase::Sent(_) => {
                    let latency = self.now.duration_since(sent);
                    // What is lost by waiting for the slower upstream counts as its latency.
                    self.nodes[host].loads[upstream].latency.record(latency, self.now);
                    // The host cancels before it starts another attempt with the same credit.
                    self.push(HOP, Event::Cancel(attempt));
                    self.release(attempt, Outcome::Cancelled, latency);
                }
            }
        }
    }

    fn close(&mut self, attempt: usize) {
        let Attempt { host, upstream, .. } = self.attempts[attempt];
        self.attempts[attempt].phase = Phase::Over;
        self.nodes[host].loads[upstream].in_flight -= 1;
    }

    fn release(&mut self, attempt: usize, outcome: Outcome, latency: Duration) {
        let Attempt { host, upstream, .. } = self.attempts[attempt];
        let phase = std::mem::replace(&mut self.attempts[attempt].phase, Phase::Over);
        self.close(attempt);
        self.nodes[host].running -= 1;
        if self.setup.limit == Limit::Share {
            self.nodes[host].shares[upstream].1 -= 1;
            self.serve_share(host, upstream);
        }
        if let Phase::Sent(Some(permit)) = phase {
            let ramped = self.setup.ramp;
            let sample = Sample {
                outcome: if ramped { outcome } else { Outcome::Cancelled },
                latency,
                connection_age: Duration::ZERO,
                incarnation: self.attempts[attempt].incarnation.filter(|_| ramped),
            };
            let steps = self.nodes[host].holders[upstream].release(permit, sample, self.now);
            self.run_steps(host, upstream, steps);
        }
    }

    // Time and faults

    fn tick(&mut self) {
        self.push(TICK, Event::Tick);
        let eject = self.setup.eject && self.now.duration_since(self.start).as_millis().is_multiple_of(100);
        for host in 0..self.nodes.len() {
            if !self.nodes[host].alive {
                continue;
            }
            if self.setup.limit == Limit::Credits {
                for upstream in 0..self.servers.len() {
                    let steps = self.nodes[host].holders[upstream].tick(self.now);
                    self.run_steps(host, upstream, steps);
                }
            }
            for change in if eject {
                self.nodes[host].ejector.tick(self.now)
            } else {
                Vec::new()
            } {
                self.tell_ejection(host, &change);
            }
        }
        for upstream in 0..self.brokers.len() {
            if self.nodes[self.find_home(upstream)].alive {
                let lends = self.brokers[upstream].tick(self.now);
                self.send_lends(upstream, lends);
            }
        }
    }

    fn tell_ejection(&mut self, host: usize, change: &Ejection) {
        let (Ejection::Eject(name) | Ejection::Return(name)) = change;
        let Some(upstream) = self.servers.iter().position(|s| s.name == *name) else {
            return;
        };
        match (change, self.nodes[host].ejector.ejected_until(name)) {
            (Ejection::Eject(_), Some(until)) => {
                let steps = self.nodes[host].holders[upstream].set_ejected(until, self.now);
                self.run_steps(host, upstream, steps);
            }
            (Ejection::Eject(_), None) => {}
            (Ejection::Return(_), _) => self.push(HOP, Event::Sign(upstream)),
        }
    }

    fn fail(&mut self) {
        match self.setup.fault {
            Fault::None | Fault::Slow => {}
            Fault::Cold(count) => (0..count).for_each(|on| self.restart(on)),
            Fault::HostLost => self.lose_host(0),
        }
    }

    /// Loses a host: its requests end at the upstreams, and its brokers move to their new homes.
    fn lose_host(&mut self, host: usize) {
        self.nodes[host].alive = false;
        for attempt in 0..self.attempts.len() {
            let sent = matches!(self.attempts[attempt].phase, Phase::Sent(_));
            if self.attempts[attempt].host == host && sent {
                self.push(HOP, Event::Cancel(attempt));
            }
        }
        let members: Vec<Instance> = self.names.iter().map(make_instance).collect();
        let live: Vec<HostName> = self
            .names
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != host)
            .map(|(_, n)| n.clone())
            .collect();
        for upstream in 0..self.brokers.len() {
            if self.find_home(upstream) != host {
                continue;
            }
            let name = self.servers[upstream].name.clone();
            let Some(home) = home_host(&name, &live).cloned() else {
                continue;
            };
            let term = HomeTerm { round: 2, host: home };
            let capacity = Capacity {
                slots: self.setup.site.slots,
                connections: 100,
            };
            self.brokers[upstream] = Broker::new(name, term.clone(), capacity, members.clone(), self.now, self.now);
            for other in (0..self.nodes.len()).filter(|&i| i != host) {
                let steps = self.nodes[other].holders[upstream].set_home(term.clone(), self.now);
                self.run_steps(other, upstream, steps);
            }
        }
    }
}

impl Server {
    fn new(index: usize, setup: &Setup, start: Instant) -> Self {
        let slow = setup.fault == Fault::Slow && index < 2;
        Self {
            name: name_upstream(index),
            slow: if slow { 10.0 } else { 1.0 },
            incarnation: 1,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            bound: setup.site.slots,
            completed: 0,
            cold: false,
            restarted: start,
        }
    }
}

fn make_instance(name: &HostName) -> Instance {
    Instance {
        host: name.clone(),
        incarnation: Incarnation(1),
    }
}

impl Node {
    fn new(name: &HostName, terms: &[HomeTerm], now: Instant) -> Self {
        let holders = terms.iter().enumerate().map(|(i, term)| {
            let mut holder = CreditHolder::new(name_upstream(i), make_instance(name), 256);
            holder.set_home(term.clone(), now);
            holder
        });
        let mut ejector = Ejector::default();
        ejector.set_upstreams((0..terms.len()).map(name_upstream));
        Self {
            alive: true,
            holders: holders.collect(),
            shares: vec![(VecDeque::new(), 0); terms.len()],
            loads: vec![Load::default(); terms.len()],
            ejector,
            hedges: HedgeBudget::default(),
            retries: RetryBudget::new(now),
            utilisation: 0.0,
            running: 0,
            tickets: BTreeMap::new(),
            next: 0,
        }
    }
}

/// Runs a setup over all seeds.
fn run_seeds(setup: Setup) -> Figures {
    let mut all = Figures::default();
    std::thread::scope(|scope| {
        let runs = SEEDS.map(|seed| scope.spawn(move || Model::new(setup, seed).run()));
        for run in runs {
            all.merge(run.join().expect("a run does not panic"));
        }
    });
    all
}

/// One experiment: what it is called, its setup, and what its policies are called.
struct Case {
    experiment: &'static str,
    policy: &'static str,
    setup: Setup,
}

fn list_cases(site: Site) -> Vec<Case> {
    let plain = Setup {
        site,
        load: 0.5,
        choice: Choice::RoundRobin,
        limit: Limit::None,
        eject: false,
        hedge: false,
        ramp: false,
        fault: Fault::None,
    };
    let full = Setup {
        choice: Choice::TwoChoices,
        limit: Limit::Credits,
        eject: true,
        hedge: true,
        ramp: true,
        ..plain
    };
    let mut cases = Vec::new();
    let mut add = |experiment, policy, setup| {
        cases.push(Case {
            experiment,
            policy,
            setup,
        });
    };
    for (experiment, fault) in [("tail-healthy", Fault::None), ("tail-2-of-10-slow", Fault::Slow)] {
        let least = Setup {
            choice: Choice::LeastInFlight,
            ..plain
        };
        add(experiment, "round-robin", Setup { fault, ..plain });
        add(experiment, "least-in-flight", Setup { fault, ..least });
        add(
            experiment,
            "no-hedges",
            Setup {
                fault,
                hedge: false,
                ..full
            },
        );
        add(experiment, "full", Setup { fault, ..full });
    }
    let double = |setup| Setup { load: 2.0, ..setup };
    let share = Setup {
        limit: Limit::Share,
        ..plain
    };
    add("overload-2x", "no-limit", double(plain));
    add("overload-2x", "static-share", double(share));
    add("overload-2x", "full", double(full));
    for (experiment, count) in [("cold-1", 1), ("cold-5", 5)] {
        let fault = Fault::Cold(count);
        let busy = |setup| Setup {
            load: 0.6,
            fault,
            ..setup
        };
        add(experiment, "no-limit", busy(plain));
        add(experiment, "no-ramp", busy(Setup { ramp: false, ..full }));
        add(experiment, "full", busy(full));
    }
    for (experiment, fault) in [("keyed-80%", Fault::None), ("keyed-80%-host-lost", Fault::HostLost)] {
        let keyed = |setup| Setup {
            load: 0.8,
            choice: Choice::Keyed,
            eject: false,
            hedge: false,
            fault,
            ..setup
        };
        add(experiment, "no-limit", keyed(plain));
        add(experiment, "static-share", keyed(share));
        add(experiment, "credits", keyed(full));
    }
    cases
}

/// Runs the policy experiments and writes a table, then the same as JSON lines.
///
/// # Errors
///
/// Fails if the output can't be written.
pub fn run_policy_measures(out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "{:10} {:20} {:16} {:>7} {:>8} {:>8} {:>8} {:>7} {:>6} {:>5} {:>6} {:>6} {:>6} {:>8} {:>7}",
        "site",
        "experiment",
        "policy",
        "goodput",
        "p50 ms",
        "p99 ms",
        "p999 ms",
        "hedges",
        "retry",
        "peak",
        "above",
        "starts",
        "late",
        "crashes",
        "after"
    )?;
    let mut lines = Vec::new();
    for case in SITES.iter().flat_map(|site| list_cases(*site)) {
        let figures = run_seeds(case.setup);
        write_row(out, &case, &figures)?;
        lines.push(write_json(&case, &figures));
    }
    for line in lines {
        writeln!(out, "{line}")?;
    }
    writeln!(out, "{}", time_choice())
}

/// Times the choice among 1,000 upstreams with 300 ejected, and with all but one excluded.
fn time_choice() -> serde_json::Value {
    const UPSTREAMS: usize = 1000;
    let now = Instant::now();
    let mut rng = Pcg64::seed_from_u64(SEEDS[0]);
    let names: Vec<UpstreamName> = (0..UPSTREAMS).map(name_upstream).collect();
    let mut ejector = Ejector::default();
    ejector.set_upstreams(names.iter().cloned());
    for name in names.iter().take(300) {
        for _ in 0..5 {
            ejector.note(name, Outcome::Failed, TICK, now);
        }
    }
    let mut loads = vec![Load::default(); UPSTREAMS];
    for load in &mut loads {
        load.latency
            .record(Duration::from_micros(rng.random_range(1000..20_000)), now);
    }
    json!({
        "experiment": "choice-of-1000",
        "ns_with_300_ejected": time_picks(&loads, |i| !ejector.is_ejected(&names[i]), now),
        "ns_with_one_usable": time_picks(&loads, |i| i == 500, now),
    })
}

fn time_picks(loads: &[Load], usable: impl Fn(usize) -> bool, now: Instant) -> u64 {
    const ROUNDS: u32 = 200_000;
    let mut rng = Pcg64::seed_from_u64(SEEDS[0]);
    let started = std::time::Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(pick_upstream(loads, &usable, now, &mut rng));
    }
    started.elapsed().as_nanos() as u64 / u64::from(ROUNDS)
}

/// Answers in time as a share of the lower of load and capacity.
fn find_goodput(case: &Case, figures: &Figures) -> f64 {
    let seconds = COUNTED.as_secs_f64() * SEEDS.len() as f64;
    f64::from(figures.answered) / (case.setup.site.capacity() * case.setup.load.min(1.0) * seconds)
}

fn find_share(part: u32, whole: u32) -> f64 {
    f64::from(part) / f64::from(whole.max(1))
}

fn write_row(out: &mut impl Write, case: &Case, f: &Figures) -> io::Result<()> {
    writeln!(
        out,
        "{:10} {:20} {:16} {:7.3} {:8.1} {:8.1} {:8.1} {:6.2}% {:6} {:5} {:6} {:6} {:6} {:8} {:7.3}",
        case.setup.site.name,
        case.experiment,
        case.policy,
        find_goodput(case, f),
        f.percentile(500),
        f.percentile(990),
        f.percentile(999),
        100.0 * find_share(f.hedges, f.requests),
        f.retries,
        f.peak,
        f.peak_above,
        f.above,
        f.above_late,
        f.crashes,
        find_share(f.after_fault, f.before_fault),
    )
}

fn write_json(case: &Case, f: &Figures) -> serde_json::Value {
    json!({
        "site": case.setup.site.name,
        "experiment": case.experiment,
        "policy": case.policy,
        "seeds": SEEDS,
        "load": case.setup.load,
        "slots": case.setup.site.slots,
        "requests": f.requests,
        "answered": f.answered,
        "goodput": find_goodput(case, f),
        "p50_ms": f.percentile(500),
        "p99_ms": f.percentile(990),
        "p999_ms": f.percentile(999),
        "hedge_share": find_share(f.hedges, f.requests),
        "retries": f.retries,
        "peak_at_upstream": f.peak,
        "peak_above_cold_bound": f.peak_above,
        "starts_above_cold_bound": f.above,
        "starts_above_cold_bound_after_notice": f.above_late,
        "crashes": f.crashes,
        "answers_after_fault": find_share(f.after_fault, f.before_fault),
    })
}
