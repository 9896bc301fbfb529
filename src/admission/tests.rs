use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::Instant;

use super::fair::{FairOrder, Lane};
use super::*;
use crate::types::Reason;

const SLOTS: u32 = 4;
const CONNECTIONS: u32 = 20;
const HOSTS: usize = 5;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(prefix: &str, index: usize) -> T {
    format!("{prefix}{index}").parse().unwrap()
}

fn sample(outcome: Outcome, latency: Duration) -> Sample {
    Sample {
        outcome,
        latency,
        connection_age: Duration::ZERO,
        incarnation: None,
    }
}

fn lane(priority: Priority, caller: usize) -> Lane {
    Lane {
        priority,
        caller: name("caller", caller),
    }
}

enum Message {
    Up(Report),
    Down(Lend),
}

struct Host {
    holder: CreditHolder,
    permits: Vec<Permit>,
    paused_until: u64,
    served: u32,
    connections: u32,
}

impl Host {
    fn new(index: usize, incarnation: u64) -> Self {
        let instance = Instance {
            host: name("host", index),
            incarnation: Incarnation(incarnation),
        };
        Self {
            holder: CreditHolder::new(name("upstream", 0), instance, 64),
            permits: Vec::new(),
            paused_until: 0,
            served: 0,
            connections: 0,
        }
    }
}

/// Hosts and brokers joined by a network that loses, delays and repeats messages.
struct World {
    base: Instant,
    at: u64,
    hosts: Vec<Host>,
    /// The present broker and earlier ones with the time at which they stop.
    brokers: Vec<(Broker, u64)>,
    /// Terms that hosts have yet to learn of: when, which host, which term.
    news: Vec<(u64, usize, HomeTerm)>,
    network: BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// Percentage of messages that are lost, repeated or late.
    faults: u32,
    rng: Pcg64,
    allowed: BTreeMap<(HomeTerm, Instance), Allowance>,
}

impl World {
    fn new(faults: u32, seed: u64) -> Self {
        let mut world = Self {
            base: Instant::now(),
            at: 0,
            hosts: (0..HOSTS).map(|i| Host::new(i, 1)).collect(),
            brokers: Vec::new(),
            news: Vec::new(),
            network: BTreeMap::new(),
            sent: 0,
            faults,
            rng: Pcg64::seed_from_u64(seed),
            allowed: BTreeMap::new(),
        };
        world.change_home(0, 1);
        world
    }

    fn now(&self) -> Instant {
        self.base + ms(self.at)
    }

    fn change_home(&mut self, stops_in: u64, learned_in: u64) {
        let term = HomeTerm {
            round: self.brokers.last().map_or(1, |(b, _)| b.term().round + 1),
            host: name("host", 0),
        };
        let members: Vec<Instance> = self.hosts.iter().map(|h| instance(&h.holder)).collect();
        let now = self.now();
        for (_, stops) in &mut self.brokers {
            *stops = (*stops).min(self.at + stops_in);
        }
        let latest = self.brokers.iter().map(|(_, stops)| *stops).max().unwrap_or(0);
        let capacity = Capacity {
            slots: SLOTS,
            connections: CONNECTIONS,
        };
        let not_before = self.base + ms(latest);
        let broker = Broker::new(name("upstream", 0), term.clone(), capacity, members, not_before, now);
        self.brokers.push((broker, u64::MAX));
        for host in 0..HOSTS {
            let delay = self.rng.random_range(0..=learned_in);
            self.news.push((self.at + delay, host, term.clone()));
        }
    }

    fn send(&mut self, message: impl Fn() -> Message) {
        let faulty = self.rng.random_range(0..100) < self.faults;
        let copies = if faulty { self.rng.random_range(0..3) } else { 1 };
        for _ in 0..copies {
            let delay = if faulty { self.rng.random_range(0..900) } else { 0 };
            self.sent += 1;
            self.network.insert((self.at + 1 + delay, self.sent), message());
        }
    }

    fn run_steps(&mut self, host: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Start(_, permit) => {
                    self.hosts[host].permits.push(permit);
                    self.hosts[host].served += 1;
                }
                Step::Refuse(..) => {}
                Step::Send(report) => self.send(|| Message::Up(report.clone())),
            }
        }
    }

    fn admit(&mut self, host: usize, priority: Priority, caller: usize, patience: u64) {
        let demand = Demand {
            priority,
            caller: name("caller", caller),
            deadline: self.now() + ms(patience),
        };
        let now = self.now();
        if self.hosts[host].paused_until > self.at {
            return;
        }
        let (admission, steps) = self.hosts[host].holder.admit(&demand, now);
        if let Admission::Start(permit) = admission {
            self.hosts[host].permits.push(permit);
            self.hosts[host].served += 1;
        }
        self.run_steps(host, steps);
    }

    fn release(&mut self, host: usize) {
        let now = self.now();
        if self.hosts[host].paused_until <= self.at
            && let Some(permit) = self.hosts[host].permits.pop()
        {
            let done = sample(Outcome::Answered, ms(5));
            let steps = self.hosts[host].holder.release(permit, done, now);
            self.run_steps(host, steps);
        }
    }

    /// Lets a millisecond pass, then checks the limits.
    fn step(&mut self) {
        self.at += 1;
        let now = self.now();
        self.learn(now);
        while let Some(((at, _), _)) = self.network.first_key_value()
            && *at <= self.at
        {
            let (_, message) = self.network.pop_first().unwrap();
            self.deliver(message, now);
        }
        for host in 0..HOSTS {
            if self.hosts[host].paused_until <= self.at {
                let limit = self.hosts[host].holder.connection_limit(now);
                self.hosts[host].connections = self.hosts[host].connections.min(limit);
                let steps = self.hosts[host].holder.tick(now);
                self.run_steps(host, steps);
            }
        }
        self.brokers.retain(|(_, stops)| *stops > self.at);
        for index in 0..self.brokers.len() {
            let lends = self.brokers[index].0.tick(now);
            self.take_lends(index, lends);
        }
        self.check(now);
    }

    fn learn(&mut self, now: Instant) {
        let (due, later) = self.news.drain(..).partition(|(at, ..)| *at <= self.at);
        self.news = later;
        let due: Vec<(u64, usize, HomeTerm)> = due;
        for (at, host, term) in due {
            if self.hosts[host].paused_until > self.at {
                self.news.push((at + 1, host, term));
                continue;
            }
            let steps = self.hosts[host].holder.set_home(term, now);
            self.run_steps(host, steps);
        }
    }

    fn deliver(&mut self, message: Message, now: Instant) {
        match message {
            Message::Up(report) => {
                for index in 0..self.brokers.len() {
                    let lends = self.brokers[index].0.hear(&report, now);
                    self.take_lends(index, lends);
                }
            }
            Message::Down(lend) => {
                let Some(host) = self.hosts.iter().position(|h| instance(&h.holder) == lend.to) else {
                    return;
                };
                if self.hosts[host].paused_until > self.at {
                    // The message waits in the paused host's socket.
                    let at = self.hosts[host].paused_until + 1;
                    self.sent += 1;
                    self.network.insert((at, self.sent), Message::Down(lend));
                    return;
                }
                let steps = self.hosts[host].holder.hear(&lend, now);
                self.run_steps(host, steps);
            }
        }
    }

    /// Sends lends; one that adds a slot must leave the total within the present limit.
    fn take_lends(&mut self, broker: usize, lends: Vec<Lend>) {
        for lend in lends {
            let key = (lend.term.clone(), lend.to.clone());
            let before = self.allowed.insert(key, lend.slots).unwrap_or_default();
            let broker = &self.brokers[broker].0;
            // A rebuilding broker confirms what hosts hold and lends nothing.
            if !broker.is_rebuilding() && lend.slots.version > before.version && lend.slots.count > before.count {
                assert!(broker.lent() <= broker.ramp().limit(), "lent above the present limit");
            }
            self.send(|| Message::Down(lend.clone()));
        }
    }

    fn check(&self, now: Instant) {
        let usable: u32 = self.hosts.iter().map(|h| h.holder.usable(now)).sum();
        assert!(usable <= SLOTS, "{usable} slots usable at {} ms", self.at);
        let connections: u32 = self.hosts.iter().map(|h| h.holder.connection_limit(now)).sum();
        assert!(
            connections <= CONNECTIONS,
            "{connections} connections at {} ms",
            self.at
        );
    }

    fn apply(&mut self, action: &Action) {
        let now = self.now();
        match *action {
            Action::Pass(millis) => (0..millis).for_each(|_| self.step()),
            Action::Admit(host, caller, patience) => self.admit(host, Priority::Normal, caller, patience),
            Action::Release(host) => self.release(host),
            Action::Connect(host, wanted) => {
                let steps = self.hosts[host].holder.set_connections(0, wanted, now);
                self.run_steps(host, steps);
            }
            Action::Pause(host, millis) => self.hosts[host].paused_until = self.at + millis,
            Action::Restart(host) => {
                let incarnation = instance(&self.hosts[host].holder).incarnation.0 + 1;
                self.hosts[host] = Host::new(host, incarnation);
                let term = self.brokers.last().unwrap().0.term().clone();
                self.news.push((self.at, host, term));
            }
            Action::ChangeHome(stops_in, learned_in) => self.change_home(stops_in, learned_in),
            Action::Chill => {
                let last = self.brokers.len() - 1;
                let lends = self.brokers[last].0.note(Sign::NewIncarnation, now);
                self.take_lends(last, lends);
            }
        }
    }
}

fn instance(holder: &CreditHolder) -> Instance {
    holder.owner().clone()
}

#[derive(Clone, Debug)]
enum Action {
    Pass(u64),
    Admit(usize, usize, u64),
    Release(usize),
    Connect(usize, u32),
    Pause(usize, u64),
    Restart(usize),
    ChangeHome(u64, u64),
    Chill,
}

fn any_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        8 => (1..30u64).prop_map(Action::Pass),
        1 => (300..700u64).prop_map(Action::Pass),
        12 => (0..HOSTS, 0..3usize, 10..800u64).prop_map(|(h, c, p)| Action::Admit(h, c, p)),
        8 => (0..HOSTS).prop_map(Action::Release),
        2 => (0..HOSTS, 0..20u32).prop_map(|(h, w)| Action::Connect(h, w)),
        1 => (0..HOSTS, 1..900u64).prop_map(|(h, p)| Action::Pause(h, p)),
        1 => (0..HOSTS).prop_map(Action::Restart),
        1 => (0..400u64, 0..1200u64).prop_map(|(s, l)| Action::ChangeHome(s, l)),
        1 => Just(Action::Chill),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against credits that two hosts can use at once after loss, delay, repetition, a
    /// pause, a restart or a change of the home host.
    #[test]
    fn usable_credits_never_exceed_the_limit(
        actions in prop::collection::vec(any_action(), 1..120),
        faults in prop_oneof![Just(0u32), Just(30), Just(80)],
        seed: u64,
    ) {
        let mut world = World::new(faults, seed);
        for action in &actions {
            world.apply(action);
        }
    }

    /// Guards against capacity that stays lost once the faults are over.
    #[test]
    fn credits_come_back_after_faults(actions in prop::collection::vec(any_action(), 1..60), seed: u64) {
        let mut world = World::new(50, seed);
        for action in &actions {
            world.apply(action);
        }
        world.faults = 0;
        (0..2500).for_each(|_| world.step());
        (0..HOSTS).for_each(|h| world.hosts[h].permits.clear());
        let mut fresh = World::new(0, seed);
        fresh.hosts = (0..HOSTS).map(|i| Host::new(i, 1000)).collect();
        fresh.brokers = std::mem::take(&mut world.brokers);
        fresh.base = world.base;
        fresh.at = world.at;
        fresh.change_home(0, 1);
        (0..600).for_each(|_| fresh.step());
        (0..SLOTS).for_each(|c| fresh.admit(0, Priority::Normal, c as usize, 500));
        (0..10).for_each(|_| fresh.step());
        prop_assert_eq!(fresh.hosts[0].served, SLOTS);
    }

    /// Guards against a caller that gets more turns by waiting with more requests.
    #[test]
    fn callers_share_turns(callers in 2..8usize, turns in 1..200usize) {
        let lanes: Vec<Lane> = (0..callers).map(|c| lane(Priority::Normal, c)).collect();
        let mut order = FairOrder::default();
        let mut served: BTreeMap<Lane, usize> = lanes.iter().cloned().map(|l| (l, 0)).collect();
        for _ in 0..turns {
            // Each lane stands for any number of requests, and is listed once per waiting host.
            let waiting = lanes.iter().chain(&lanes[..1]).chain(&lanes[..1]);
            *served.get_mut(&order.choose(waiting).unwrap()).unwrap() += 1;
        }
        let (least, most) = (served.values().min().unwrap(), served.values().max().unwrap());
        prop_assert!(most - least <= 1, "{:?}", served);
    }

    /// Guards against a limit that grows without the completed requests that it needs.
    #[test]
    fn ramp_stays_below_its_bound(steps in prop::collection::vec((0..20u32, 1..60u64), 1..800)) {
        let start = Instant::now();
        let mut ramp = Ramp::new(6);
        let mut answered = 0;
        let mut now = start;
        for (kind, latency) in steps {
            now += ms(1);
            let before = ramp.limit();
            let done = match kind {
                0 => Some(sample(Outcome::Shed, ms(1))),
                1 => Some(sample(Outcome::Failed, ms(1))),
                2 => { ramp.note(Sign::NewIncarnation, PoolWarmth::default(), now); None }
                _ => Some(sample(Outcome::Answered, ms(latency))),
            };
            if let Some(done) = done {
                answered += u32::from(done.outcome == Outcome::Answered);
                ramp.complete(&done, PoolWarmth::default(), now);
            }
            prop_assert!(ramp.limit() <= 6);
            if kind == 0 || kind == 2 {
                prop_assert_eq!(ramp.limit(), 1);
            }
            if ramp.limit() > before {
                prop_assert_eq!(ramp.limit(), before + 1);
                prop_assert!(answered >= 8 * before);
            }
            if ramp.limit() != before || kind == 0 || kind == 2 {
                answered = 0;
            }
        }
    }
}

fn report_of(steps: Vec<Step>) -> Report {
    let reports = steps.into_iter().filter_map(|step| match step {
        Step::Send(report) => Some(report),
        Step::Start(..) | Step::Refuse(..) => None,
    });
    reports.last().unwrap()
}

/// Guards against a late allowance that gives back credits which have gone back or expired.
#[test]
fn a_late_allowance_adds_only_what_it_adds() {
    let mut world = World::new(0, 7);
    (0..10).for_each(|_| world.step());
    let (mut broker, _) = world.brokers.pop().unwrap();
    let demand = |now: Instant| Demand {
        priority: Priority::Normal,
        caller: name("caller", 0),
        deadline: now + ms(400),
    };
    let start = world.now();
    let holder = &mut world.hosts[0].holder;
    let (_, steps) = holder.admit(&demand(start), start);
    let first = broker.hear(&report_of(steps), start);
    let started = holder.hear(&first[0], start);
    let Step::Start(_, permit) = started.into_iter().next().unwrap() else {
        panic!("no credit came");
    };
    let (_, steps) = holder.admit(&demand(start), start + ms(1));
    let late = broker.hear(&report_of(steps), start + ms(1));
    assert_eq!(late[0].slots.count, 2);
    let permit_end = sample(Outcome::Cancelled, ms(1));
    holder.cancel(Ticket(2), start + ms(2));
    holder.release(permit, permit_end, start + ms(2));
    holder.tick(start + ms(3));
    holder.tick(start + ms(10));
    assert_eq!(holder.usable(start + ms(10)), 0, "the idle credit went back");
    holder.hear(&late[0], start + ms(11));
    assert_eq!(holder.usable(start + ms(11)), 1);
}

/// Guards against a new home host that renews credits which the earlier one still manages.
#[test]
fn a_new_home_waits_for_the_end_of_the_earlier() {
    let mut world = World::new(0, 7);
    (0..10).for_each(|_| world.step());
    (0..4).for_each(|_| world.admit(0, Priority::Normal, 0, 300));
    (0..5).for_each(|_| world.step());
    assert_eq!(world.hosts[0].served, 4);
    world.change_home(700, 0);
    // Host 0 knows the new home at once, host 1 only later.
    world.news.retain(|(_, host, _)| *host == 0);
    for _ in 0..690 {
        if world.hosts[1].holder.waiting() == 0 {
            world.admit(1, Priority::Normal, 1, 2000);
        }
        world.step();
    }
    assert!(world.hosts[1].served > 0, "the earlier home lends expired credits");
    assert!(world.brokers.last().unwrap().0.is_rebuilding());
}

/// Guards against strict priorities that let downloads wait for ever.
#[test]
fn lower_priorities_get_turns() {
    let lanes = [
        lane(Priority::High, 0),
        lane(Priority::Normal, 1),
        lane(Priority::Bulk, 2),
    ];
    let mut order = FairOrder::default();
    let turns: Vec<Lane> = (0..160).map(|_| order.choose(lanes.iter()).unwrap()).collect();
    let count = |l: &Lane| turns.iter().filter(|t| *t == l).count();
    assert_eq!([count(&lanes[0]), count(&lanes[1]), count(&lanes[2])], [140, 10, 10]);
}

/// Guards against hosts that keep their credits while others wait.
#[test]
fn every_host_and_caller_is_served_under_overload() {
    let mut world = World::new(0, 7);
    for round in 0..3000 {
        for host in 0..HOSTS {
            if world.hosts[host].holder.waiting() < 4 {
                let priority = if host == 4 { Priority::Bulk } else { Priority::High };
                world.admit(host, priority, host, 2000);
            }
            if round % 5 == 0 {
                world.release(host);
            }
        }
        world.step();
    }
    let served: Vec<u32> = world.hosts.iter().map(|h| h.served).collect();
    assert!(served[..4].iter().all(|&s| s > 200), "{served:?}");
    assert!(served[4] > 50, "{served:?}");
    assert!(served.iter().sum::<u32>() > 2100, "capacity is idle: {served:?}");
}

/// Guards against a host below its share of connections that loans keep out.
#[test]
fn loans_of_connections_are_recalled() {
    let mut world = World::new(0, 7);
    (0..10).for_each(|_| world.step());
    world.apply(&Action::Connect(0, 20));
    (0..10).for_each(|_| world.step());
    let limit = |world: &World, host: usize| world.hosts[host].holder.connection_limit(world.now());
    assert_eq!(limit(&world, 0), 20);
    world.apply(&Action::Connect(1, 2));
    (0..200).for_each(|_| world.step());
    assert_eq!((limit(&world, 0), limit(&world, 1)), (18, 2));
}

/// Guards against two hosts on an upstream while one has asked to be alone.
#[test]
fn isolation_waits_for_the_others() {
    let mut world = World::new(0, 7);
    (0..10).for_each(|_| world.step());
    world.admit(1, Priority::Normal, 1, 500);
    (0..5).for_each(|_| world.step());
    assert_eq!(world.hosts[1].served, 1);
    let now = world.now();
    let steps = world.hosts[0].holder.set_isolate(true, now);
    world.run_steps(0, steps);
    (0..100).for_each(|_| world.step());
    assert!(!world.hosts[0].holder.is_isolated(world.now()));
    world.release(1);
    world.admit(0, Priority::Normal, 0, 500);
    world.admit(2, Priority::Normal, 2, 500);
    (0..10).for_each(|_| world.step());
    assert!(world.hosts[0].holder.is_isolated(world.now()));
    assert_eq!((world.hosts[0].served, world.hosts[2].served), (1, 0));
}

/// Guards against requests that wait although they can't be served in time.
#[test]
fn hopeless_requests_are_refused_early() {
    let mut world = World::new(0, 7);
    (0..10).for_each(|_| world.step());
    for _ in 0..40 {
        world.admit(0, Priority::Normal, 0, 10_000);
        (0..5).for_each(|_| world.step());
        world.release(0);
    }
    for _ in 0..30 {
        world.admit(0, Priority::Normal, 0, 10_000);
    }
    (0..20).for_each(|_| world.step());
    let demand = Demand {
        priority: Priority::Normal,
        caller: name("caller", 1),
        deadline: world.now() + ms(8),
    };
    let now = world.now();
    let (admission, _) = world.hosts[0].holder.admit(&demand, now);
    assert_eq!(admission, Admission::Refuse(Reason::QueueTimeout));
}

fn feed(ramp: &mut Ramp, count: u32, latency: u64, now: Instant) {
    for _ in 0..count {
        ramp.complete(&sample(Outcome::Answered, ms(latency)), PoolWarmth::default(), now);
    }
}

/// Guards against a straggler that is held at one request for ever.
#[test]
fn a_steady_straggler_gets_its_limit_back() {
    let now = Instant::now();
    let mut ramp = Ramp::new(4);
    feed(&mut ramp, 100, 10, now);
    feed(&mut ramp, 20, 100, now);
    assert_eq!(ramp.limit(), 1);
    feed(&mut ramp, 4 * 8 + 8 + 16 + 24, 100, now);
    assert_eq!((ramp.limit(), ramp.is_cold()), (4, false));
    feed(&mut ramp, 100, 10, now);
    feed(&mut ramp, 20, 100, now);
    assert_eq!(ramp.limit(), 1, "the old baseline is back");
}

/// Guards against a single lost connection, or a few slow answers, that count as a cold start.
#[test]
fn single_events_are_no_cold_start() {
    let now = Instant::now();
    let mut ramp = Ramp::new(4);
    feed(&mut ramp, 100, 10, now);
    feed(&mut ramp, 9, 500, now);
    assert_eq!(ramp.limit(), 4);
    ramp.note(Sign::Reset, PoolWarmth::default(), now);
    assert_eq!(ramp.limit(), 1);
    let survivor = Sample {
        connection_age: ms(50),
        ..sample(Outcome::Answered, ms(10))
    };
    ramp.complete(&survivor, PoolWarmth::default(), now + ms(20));
    assert_eq!(ramp.limit(), 4);
}

/// Guards against late answers of the incarnation before that warm up its successor.
#[test]
fn answers_of_an_earlier_incarnation_do_not_count() {
    let now = Instant::now();
    let mut ramp = Ramp::new(4);
    let mut answer = |incarnation, count| {
        let done = Sample {
            incarnation: Some(Incarnation(incarnation)),
            ..sample(Outcome::Answered, ms(10))
        };
        (0..count).for_each(|_| ramp.complete(&done, PoolWarmth::default(), now));
        ramp.limit()
    };
    assert_eq!(answer(1, 30), 4);
    assert_eq!(answer(2, 1), 1);
    assert_eq!(answer(1, 30), 1);
    assert_eq!(answer(2, 7), 2);
}

/// Guards against overload that takes every upstream of a pool to one request at once.
#[test]
fn weak_signs_only_halve_the_limit_of_a_cold_pool() {
    let now = Instant::now();
    let short = PoolWarmth { cold: 4, total: 10 };
    let mut ramp = Ramp::new(6);
    ramp.note(Sign::Shed, short, now);
    assert_eq!(ramp.limit(), 3);
    let mut ramp = Ramp::new(6);
    ramp.note(Sign::NewIncarnation, short, now);
    assert_eq!(ramp.limit(), 1);
}

/// Guards against homes that differ between hosts, or move without need.
#[test]
fn a_lost_host_moves_only_its_own_upstreams() {
    let hosts: Vec<HostName> = (0..9).map(|i| name("host", i)).collect();
    let mut homes = [0; 9];
    for i in 0..900 {
        let upstream: UpstreamName = name("upstream", i);
        let home = home_host(&upstream, &hosts).unwrap();
        homes[hosts.iter().position(|h| h == home).unwrap()] += 1;
        let rest = home_host(&upstream, &hosts[1..]).unwrap();
        assert!(rest == home || *home == hosts[0]);
        assert_eq!(home_host(&upstream, hosts.iter().rev()), Some(home));
    }
    assert!(homes.iter().all(|n| (70..=130).contains(n)), "{homes:?}");
    assert_eq!(home_host(&name("upstream", 0), &[]), None);
}
