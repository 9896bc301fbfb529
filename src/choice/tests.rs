use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::Instant;

use super::*;
use crate::admission::Outcome;
use crate::types::{HostName, Incarnation, UpstreamName, Verdict};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn upstream(index: usize) -> UpstreamName {
    format!("upstream{index}").parse().unwrap()
}

fn host(index: usize) -> HostName {
    format!("host{index}").parse().unwrap()
}

fn crash(index: usize) -> Crash {
    Crash {
        upstream: upstream(index),
        incarnation: Incarnation(1),
    }
}

/// Guards against work for an excluded upstream, and against none where one may serve.
#[test]
fn only_usable_upstreams_are_picked() {
    let now = Instant::now();
    let mut rng = Pcg64::seed_from_u64(1);
    let loads = vec![Load::default(); 50];
    for _ in 0..200 {
        assert_eq!(pick_upstream(&loads, |i| i == 7, now, &mut rng), Some(7));
    }
    assert_eq!(pick_upstream(&loads, |_| false, now, &mut rng), None);
    assert_eq!(pick_upstream(&[], |_| true, now, &mut rng), None);
    for _ in 0..50 {
        let other = pick_again(&loads[..3], |_| true, &[0, 2], now, &mut rng);
        assert_eq!(other, Some(1), "a failed upstream is tried again");
    }
    assert_eq!(pick_again(&loads[..1], |_| true, &[0], now, &mut rng), Some(0));
}

/// Guards against a slow or busy upstream that gets as much work as others.
#[test]
fn slow_and_busy_upstreams_get_less() {
    let now = Instant::now();
    let mut rng = Pcg64::seed_from_u64(1);
    let mut loads = vec![Load::default(); 10];
    for load in &mut loads {
        load.latency.record(ms(10), now);
    }
    loads[0].latency.record(ms(1000), now - ms(1));
    loads[0].latency = LatencyAverage::default();
    loads[0].latency.record(ms(100), now);
    loads[1].in_flight = 5;
    let picks: Vec<_> = (0..9000)
        .map(|_| pick_upstream(&loads, |_| true, now, &mut rng))
        .collect();
    let count = |i| picks.iter().filter(|p| **p == Some(i)).count();
    // Only the pair of both can choose one of them: 1 of 45 draws.
    assert!(
        count(0) == 0 && (100..300).contains(&count(1)),
        "{} {}",
        count(0),
        count(1)
    );
    assert!((2..10).all(|i| count(i) > 700));
    assert!(loads[0].latency.seconds(now + ms(3000)) < 0.01);
}

/// Guards against a pool that ejection leaves without capacity.
#[test]
fn at_most_a_third_of_a_pool_is_ejected() {
    let now = Instant::now();
    let mut ejector = Ejector::default();
    ejector.set_upstreams((0..10).map(upstream));
    let mut ejected = BTreeSet::new();
    for i in 0..10 {
        for _ in 0..5 {
            let change = ejector.note(&upstream(i), Outcome::Failed, ms(1), now);
            ejected.extend(change.map(|_| i));
        }
    }
    assert_eq!(ejected, BTreeSet::from([0, 1, 2]));
    let back = ejector.tick(now + ms(5000));
    assert_eq!(back.len(), 3);
    assert!(matches!(&back[0], Ejection::Return(name) if *name == upstream(0)));
}

/// Guards against a straggler that stays in use, and healthy upstreams that are ejected.
#[test]
fn stragglers_are_ejected_by_the_median() {
    let now = Instant::now();
    let mut ejector = Ejector::default();
    ejector.set_upstreams((0..10).map(upstream));
    for i in 0..10 {
        for _ in 0..20 {
            let latency = if i < 2 { ms(100) } else { ms(10 + i as u64) };
            ejector.note(&upstream(i), Outcome::Answered, latency, now);
        }
    }
    let changes = ejector.tick(now);
    assert_eq!(changes.len(), 2);
    assert!(ejector.is_ejected(&upstream(0)) && ejector.is_ejected(&upstream(1)));
}

/// Guards against hedges that are not allowed, not yet due or above their share.
#[test]
fn hedges_stay_within_their_share() {
    let mut budget = HedgeBudget::default();
    (1..=200u64).for_each(|i| budget.note(ms(i)));
    assert_eq!(budget.delay(), Some(ms(191)));
    let question = HedgeQuestion {
        idempotent: true,
        shared: true,
        elapsed: ms(300),
        utilisation: 0.2,
    };
    let mut run = |question: HedgeQuestion| {
        let mut spent = 0;
        for _ in 0..1000 {
            budget.count_request(question.utilisation);
            spent += u32::from(budget.spend(&question));
        }
        spent
    };
    assert!((45..=50).contains(&run(question)));
    let scaled = |utilisation| HedgeQuestion {
        utilisation,
        ..question
    };
    assert!((20..=26).contains(&run(scaled(0.6))));
    assert!(run(scaled(0.7)) == 0);
    for barred in [
        HedgeQuestion {
            idempotent: false,
            ..question
        },
        HedgeQuestion {
            shared: false,
            ..question
        },
        HedgeQuestion {
            elapsed: ms(100),
            ..question
        },
    ] {
        assert_eq!(run(barred), 0);
    }
}

/// Guards against a second run of a request that must not run twice, and retries too late.
#[test]
fn retries_follow_the_verdict() {
    let now = Instant::now() + ms(1000);
    let failure = |verdict, idempotent, attempts, left| Failure {
        verdict,
        idempotent,
        attempts,
        deadline: now + ms(left),
    };
    let judge = |failure: Failure| RetryBudget::new(now).spend(&failure, now);
    assert_eq!(judge(failure(Verdict::NotRun, false, 1, 5)), Ok(()));
    assert_eq!(judge(failure(Verdict::NotRun, false, 2, 5)), Ok(()));
    assert_eq!(judge(failure(Verdict::MayHaveRun, true, 1, 5)), Ok(()));
    assert_eq!(judge(failure(Verdict::MayHaveRun, false, 1, 5)), Err(Denial::Verdict));
    assert_eq!(judge(failure(Verdict::Ran, true, 1, 5)), Err(Denial::Verdict));
    assert_eq!(judge(failure(Verdict::NotRun, true, 3, 5)), Err(Denial::Attempts));
    assert_eq!(judge(failure(Verdict::NotRun, true, 1, 0)), Err(Denial::Deadline));
}

/// Guards against timeouts of dead connections that count against a healthy upstream.
#[test]
fn silent_connections_are_retired() {
    let start = Instant::now();
    let at = |millis| start + ms(millis);
    let id = ConnectionId;
    let mut silence = Silence::default();
    (1..=4).for_each(|i| silence.open(id(i), at(0)));
    silence.answer(id(3), at(6000));
    assert_eq!(
        silence.time_out(id(1), at(5000), at(7000)),
        [SilenceStep::Probe],
        "an old connection is in doubt"
    );
    assert_eq!(silence.time_out(id(2), at(5100), at(7100)), []);
    silence.open(id(5), at(7001));
    assert_eq!(
        silence.probe_answered(),
        [SilenceStep::Retire(vec![id(4)]), SilenceStep::Forgive(2)],
        "those that answered since or are new stay"
    );
    assert_eq!(
        silence.time_out(id(5), at(7100), at(9100)),
        [SilenceStep::Blame(1)],
        "a fresh connection shows that the upstream is slow"
    );
    assert_eq!(silence.time_out(id(3), at(9000), at(11_000)), [SilenceStep::Probe]);
    assert_eq!(silence.tick(at(11_600)), [SilenceStep::Blame(1)]);
    silence.open(id(6), at(12_000));
    assert!(silence.is_fit(id(6), false, at(42_000)) && !silence.is_fit(id(6), false, at(42_001)));
    assert!(silence.is_fit(id(6), true, at(90_000)));
}

/// Hosts that share suspects over a network that loses, delays and repeats messages.
struct World {
    now: Instant,
    hosts: Vec<Suspects>,
    network: Vec<(Instant, usize, SuspectMessage)>,
    /// Runs in flight: host, fingerprint, upstream, alone.
    runs: Vec<(usize, Fingerprint, usize, bool)>,
    /// Upstreams lost while they ran each fingerprint.
    lost: BTreeMap<Fingerprint, usize>,
    answered: BTreeMap<Fingerprint, usize>,
    next_upstream: usize,
    faults: u32,
    rng: Pcg64,
}

impl World {
    fn new(faults: u32, seed: u64) -> Self {
        let now = Instant::now();
        let hosts = (0..4).map(|i| {
            let mut suspects = Suspects::new(host(i), 0, now);
            suspects.set_members((0..4).map(host));
            suspects
        });
        Self {
            now,
            hosts: hosts.collect(),
            network: Vec::new(),
            runs: Vec::new(),
            lost: BTreeMap::new(),
            answered: BTreeMap::new(),
            next_upstream: 0,
            faults,
            rng: Pcg64::seed_from_u64(seed),
        }
    }

    fn send(&mut self, from: usize, messages: Vec<(Target, SuspectMessage)>) {
        for (target, message) in messages {
            for to in 0..self.hosts.len() {
                let included = match &target {
                    Target::All => to != from,
                    Target::Host(name) => *name == host(to),
                };
                let faulty = self.rng.random_range(0..100) < self.faults;
                let copies = if faulty { self.rng.random_range(0..3) } else { 1 };
                for _ in 0..if included { copies } else { 0 } {
                    let delay = if faulty { self.rng.random_range(1..400) } else { 1 };
                    self.network.push((self.now + ms(delay), to, message.clone()));
                }
            }
        }
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += ms(1);
            let (due, later) = self.network.drain(..).partition(|(at, ..)| *at <= self.now);
            self.network = later;
            let due: Vec<(Instant, usize, SuspectMessage)> = due;
            for (_, to, message) in due {
                let replies = self.hosts[to].hear(&message, self.now);
                self.send(to, replies);
            }
            for i in 0..self.hosts.len() {
                let messages = self.hosts[i].tick(self.now);
                self.send(i, messages);
            }
        }
    }

    /// Sends a request to a host, which starts it if it may.
    fn call(&mut self, at: usize, fingerprint: Fingerprint) -> Standing {
        let (standing, messages) = self.hosts[at].judge(fingerprint, self.now);
        self.send(at, messages);
        if matches!(standing, Standing::Clear | Standing::Alone) {
            self.hosts[at].start(fingerprint);
            self.next_upstream += 1;
            let alone = standing == Standing::Alone;
            self.runs.push((at, fingerprint, self.next_upstream, alone));
        }
        standing
    }

    /// Ends all runs; those of poison crash their upstream with `others` in flight there.
    fn end_runs(&mut self, poison: &BTreeSet<Fingerprint>, others: &[(usize, Fingerprint)]) {
        for (at, fingerprint, on, alone) in std::mem::take(&mut self.runs) {
            let crashes = poison.contains(&fingerprint);
            let end = if crashes { RunEnd::Broken } else { RunEnd::Completed };
            let count = if crashes { &mut self.lost } else { &mut self.answered };
            *count.entry(fingerprint).or_default() += 1;
            let messages = self.hosts[at].finish(fingerprint, crash(on), end, alone, self.now);
            self.send(at, messages);
            if !crashes {
                continue;
            }
            for &(at, bystander) in if alone { &[] } else { others } {
                let standing = self.hosts[at].judge(bystander, self.now).0;
                if standing == Standing::Clear {
                    self.hosts[at].start(bystander);
                    let messages = self.hosts[at].finish(bystander, crash(on), RunEnd::Broken, false, self.now);
                    self.send(at, messages);
                }
            }
            for at in 0..self.hosts.len() {
                let messages = self.hosts[at].confirm_crash(&crash(on), self.now);
                self.send(at, messages);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a third upstream lost to one request that comes back through any host, and
    /// against innocents that stay under suspicion.
    #[test]
    fn a_request_crashes_at_most_two_upstreams(
        calls in prop::collection::vec((0..4usize, 0..3u64, 0..120u64), 1..60),
        faults in prop_oneof![Just(0u32), Just(40)],
        seed: u64,
    ) {
        let mut world = World::new(faults, seed);
        let poison = BTreeSet::from([Fingerprint(0)]);
        let innocent = Fingerprint(7);
        for (at, fingerprint, pause) in calls {
            world.call(at, Fingerprint(fingerprint));
            world.end_runs(&poison, &[(at, innocent)]);
            // The first crash has to be known to all before the request comes back elsewhere.
            world.pass(if world.lost.get(&Fingerprint(0)) == Some(&1) { 400 + pause } else { pause });
            prop_assert!(world.lost.get(&Fingerprint(0)).is_none_or(|&lost| lost <= 2));
        }
        world.faults = 0;
        for _ in 0..40 {
            world.call(1, innocent);
            world.pass(20);
            world.end_runs(&poison, &[]);
        }
        prop_assert!(world.answered.get(&innocent).is_some_and(|&n| n >= 30));
    }

    /// Guards against hosts that judge a suspect by the order in which messages came.
    #[test]
    fn suspects_merge_in_any_order(picks in prop::collection::vec((0..5usize, 0..16u32, 0..4u64), 1..12)) {
        let now = Instant::now() + Duration::from_mins(1);
        let share = |&(on, bits, age): &(usize, u32, u64)| {
            let info = CrashInfo {
                age: Duration::from_secs(age),
                alone: bits & 1 > 0,
                confirmed: bits & 2 > 0,
                cleared: bits & 0b1100 == 0b1100,
            };
            let crashes = BTreeMap::from([(crash(on), info)]);
            SuspectMessage::Share(Suspect { fingerprint: Fingerprint(1), crashes })
        };
        let judge = |messages: &mut dyn Iterator<Item = SuspectMessage>| {
            let mut suspects = Suspects::new(host(0), 0, now);
            messages.for_each(|m| drop(suspects.hear(&m, now)));
            suspects.judge(Fingerprint(1), now).0
        };
        let once = judge(&mut picks.iter().map(share));
        prop_assert_eq!(once, judge(&mut picks.iter().rev().map(share)));
        prop_assert_eq!(once, judge(&mut picks.iter().chain(&picks).map(share)));
    }

    /// Guards against retries that multiply the load of an outage.
    #[test]
    fn retries_stay_within_the_budget(rate in 1..3000u32, seconds in 1..20u32) {
        let start = Instant::now();
        let mut budget = RetryBudget::new(start);
        let mut granted = 0;
        for request in 0..rate * seconds {
            let now = start + Duration::from_secs(1) * request / rate;
            budget.count_request(now);
            for attempts in 1..=3 {
                let failure = Failure {
                    verdict: Verdict::NotRun,
                    idempotent: false,
                    attempts,
                    deadline: now + ms(100),
                };
                granted += u32::from(budget.spend(&failure, now).is_ok());
            }
        }
        let most = (rate * seconds / 10).max(seconds) + 2;
        prop_assert!(granted <= most, "{} of {}", granted, most);
        prop_assert!(granted + 2 >= (rate / 10).min(10) * (seconds - 1), "{}", granted);
    }
}

/// Guards against a request that stays blocked, or is let go, at the wrong time.
#[test]
fn a_crash_alone_blocks_for_ten_minutes() {
    let mut world = World::new(0, 1);
    let poison = BTreeSet::from([Fingerprint(0)]);
    assert_eq!(world.call(0, Fingerprint(0)), Standing::Clear);
    world.end_runs(&poison, &[]);
    assert_eq!(world.call(1, Fingerprint(0)), Standing::Clear, "not known yet");
    world.runs.clear();
    let unknown = world.hosts[1].finish(Fingerprint(0), crash(9), RunEnd::Other, false, world.now);
    world.send(1, unknown);
    world.pass(5);
    assert_eq!(world.call(2, Fingerprint(0)), Standing::Wait);
    world.pass(60);
    assert_eq!(world.call(2, Fingerprint(0)), Standing::Alone);
    assert_eq!(world.call(3, Fingerprint(0)), Standing::Wait);
    world.pass(200);
    assert_eq!(world.call(3, Fingerprint(0)), Standing::Wait, "one run at a time");
    world.end_runs(&poison, &[]);
    world.pass(5);
    assert!((0..4).all(|i| world.call(i, Fingerprint(0)) == Standing::Blocked));
    world.now += Duration::from_mins(10);
    assert_eq!(world.call(0, Fingerprint(0)), Standing::Clear);
}

/// Guards against a third run after two upstreams were lost before the first crash was known.
#[test]
fn two_crashes_block_without_a_run_alone() {
    let mut world = World::new(0, 1);
    let poison = BTreeSet::from([Fingerprint(0)]);
    world.call(0, Fingerprint(0));
    world.call(1, Fingerprint(0));
    world.end_runs(&poison, &[]);
    assert_eq!(world.lost[&Fingerprint(0)], 2);
    world.pass(5);
    assert!((0..4).all(|i| world.call(i, Fingerprint(0)) == Standing::Blocked));
}

/// Guards against a lost connection that is taken for a crash.
#[test]
fn a_survivor_ends_the_suspicion() {
    let mut world = World::new(0, 1);
    world.call(0, Fingerprint(3));
    let messages = world.hosts[0].finish(Fingerprint(3), crash(1), RunEnd::Broken, false, world.now);
    world.send(0, messages);
    world.pass(2);
    assert_eq!(world.call(2, Fingerprint(3)), Standing::Wait);
    let messages = world.hosts[0].disprove_crash(&crash(1), world.now);
    world.send(0, messages);
    world.pass(2);
    assert_eq!(world.call(2, Fingerprint(3)), Standing::Clear);
}
