use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::{Continuity, ReaderCandidate, Schedule, Topic, TopicDelta, rank_readers};
use crate::types::{HostName, Offset, Zone};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);
/// Shortest bound on draining, less the time of two calls to a slow store.
const AGE_MAX: Duration = Duration::from_millis(1_400);

struct Host {
    name: HostName,
    zone: Zone,
    rank: Option<usize>,
    schedule: Schedule,
}

fn candidates(names: &[(HostName, Zone)]) -> impl Iterator<Item = ReaderCandidate<'_>> {
    names.iter().map(|(host, zone)| ReaderCandidate {
        host,
        zone,
        millicores: 200,
    })
}

fn hosts(count: u16, zones: u16) -> Vec<Host> {
    let names: Vec<(HostName, Zone)> = (0..count)
        .map(|i| {
            let name = format!("front-{i}").parse().expect("a name");
            (name, format!("zone-{}", i % zones).parse().expect("a name"))
        })
        .collect();
    let now = Instant::now();
    let make = |(at, (name, zone)): (usize, &(HostName, Zone))| Host {
        name: name.clone(),
        zone: zone.clone(),
        rank: rank_readers(candidates(&names))
            .into_iter()
            .position(|reader| reader == name),
        schedule: Schedule::new(now, f64::from(u16::try_from(at).unwrap_or(0) % 10) / 10.0),
    };
    names.iter().enumerate().map(make).collect()
}

/// Plays hosts that read when it is their turn; gives the number of reads and the greatest age of
/// what a live host knew.
fn play(
    hosts: &mut [Host],
    time: Duration,
    lives: impl Fn(&Host) -> bool,
    hears: impl Fn(&Host, &Host) -> bool,
) -> (usize, Duration) {
    let start = Instant::now();
    for host in hosts.iter_mut() {
        host.schedule.record_read(start);
    }
    let (mut reads, mut oldest) = (0, Duration::ZERO);
    let mut now = start;
    while now < start + time {
        now += STEP;
        for at in 0..hosts.len() {
            let host = &hosts[at];
            let is_due = host.schedule.due(host.rank, false).is_none_or(|due| due <= now);
            if !lives(host) || !is_due {
                continue;
            }
            reads += 1;
            oldest = oldest.max(host.schedule.age(now).unwrap_or_default());
            hosts[at].schedule.record_read(now);
            if hosts[at].rank.is_none() {
                continue;
            }
            for to in (0..hosts.len()).filter(|&to| to != at) {
                if lives(&hosts[to]) && hears(&hosts[at], &hosts[to]) {
                    oldest = oldest.max(hosts[to].schedule.age(now).unwrap_or_default());
                    hosts[to].schedule.record_relayed(now);
                }
            }
        }
    }
    (reads, oldest)
}

/// A zone without readers would read for itself after a cut; ranks that clash would read twice.
#[test]
fn each_zone_has_two_readers() {
    for (count, zones) in [(9, 3), (8, 3), (58, 3), (90, 4), (300, 7)] {
        let hosts = hosts(count, zones);
        let ranks: BTreeSet<usize> = hosts.iter().filter_map(|host| host.rank).collect();
        assert_eq!(ranks, (0..usize::from(zones) * 2).collect());
        let firsts = hosts
            .iter()
            .filter(|host| host.rank.is_some_and(|rank| rank < usize::from(zones)));
        let first_zones: BTreeSet<&Zone> = firsts.map(|host| &host.zone).collect();
        assert_eq!(
            first_zones.len(),
            usize::from(zones),
            "the first readers are in all zones"
        );
    }
}

/// A grantor on the weakest of 90 hosts renewed grants late; the strongest hosts have to do this work.
#[test]
fn strong_hosts_are_readers() {
    let names: Vec<HostName> = (0..8).map(|i| format!("front-{i}").parse().expect("a name")).collect();
    let zone: Zone = "z".parse().expect("a name");
    let candidates = names.iter().zip([100, 500, 100, 100, 400, 300, 100, 100]);
    let readers = rank_readers(candidates.map(|(host, millicores)| ReaderCandidate {
        host,
        zone: &zone,
        millicores,
    }));
    assert_eq!(readers, [&names[1], &names[4]]);
}

/// The reads of 300 hosts stay those of one, so that the store's rate doesn't limit the hosts.
#[test]
fn reads_do_not_grow_with_hosts() {
    for count in [9, 90, 300] {
        let (reads, oldest) = play(&mut hosts(count, 3), Duration::from_secs(13), |_| true, |_, _| true);
        assert!(reads <= 21, "{reads} reads by {count} hosts in 13 s");
        assert!(oldest <= AGE_MAX, "{oldest:?}");
    }
}

/// Without any reader the others read for themselves, and take part in the election.
#[test]
fn silence_of_all_readers_is_noticed() {
    let mut hosts = hosts(30, 3);
    let (_, oldest) = play(
        &mut hosts,
        Duration::from_secs(5),
        |host| host.rank.is_none(),
        |_, _| true,
    );
    assert!(oldest <= AGE_MAX, "{oldest:?}");
    let now = Instant::now() + Duration::from_secs(5);
    let live = hosts.iter().filter(|host| host.rank.is_none());
    assert!(
        live.into_iter()
            .all(|host| host.schedule.is_election_candidate(now, host.rank))
    );
}

/// A host that hears readers leaves the election to them, so that joins don't grow with the hosts.
#[test]
fn only_readers_stand_for_election() {
    let mut hosts = hosts(30, 3);
    let now = Instant::now();
    for host in &mut hosts {
        host.schedule.record_relayed(now);
    }
    let standing = hosts
        .iter()
        .filter(|host| host.schedule.is_election_candidate(now + STEP, host.rank));
    assert_eq!(standing.count(), 6);
}

/// In an outage of the store calls would grow with the hosts, as each one tries again at once.
#[test]
fn an_outage_costs_few_calls() {
    let (mut reader, mut other) = (Schedule::new(Instant::now(), 0.0), Schedule::new(Instant::now(), 0.0));
    let outage = Duration::from_secs(8);
    let calls = |schedule: &mut Schedule, rank| {
        let (mut calls, mut time) = (0, Duration::ZERO);
        while time < outage {
            time += schedule.record_failure(rank);
            calls += 1;
        }
        (calls, schedule.record_failure(rank))
    };
    // A reader notices the return soon, for all.
    let (tries, pause) = calls(&mut reader, Some(0));
    assert!(
        tries <= 40 && pause <= Duration::from_millis(300),
        "{tries} calls, {pause:?}"
    );
    let (tries, pause) = calls(&mut other, None);
    assert!(tries <= 10 && pause <= AGE_MAX, "{tries} calls, {pause:?}");
    other.record_relayed(Instant::now());
    assert!(!other.is_failing());
}

/// A host that can't reach the store can't grant keys, so it must not try to join again and again.
#[test]
fn only_hosts_that_reach_the_store_stand() {
    let start = Instant::now();
    let mut schedule = Schedule::new(start, 0.0);
    schedule.record_read(start);
    let later = start + Duration::from_secs(3);
    assert!(!schedule.is_election_candidate(later, None));
    schedule.record_read(later);
    assert!(schedule.is_election_candidate(later, None));
}

fn delta(from: u64, next: u64, is_complete: bool) -> TopicDelta {
    TopicDelta {
        topic: Topic::Upstreams,
        from: Offset(from),
        next: Offset(next),
        updates: is_complete.then(Vec::new),
    }
}

/// A delta may be used only where nothing is missing before it, and a delayed one is no news.
#[test]
fn deltas_continue_only_without_gaps() {
    let at = |next: u64| Some(Offset(next));
    assert_eq!(delta(5, 9, true).continuity(at(5)), Continuity::Continues);
    assert_eq!(delta(5, 9, true).continuity(at(7)), Continuity::Continues);
    assert_eq!(delta(5, 9, true).continuity(at(4)), Continuity::Gap);
    assert_eq!(delta(5, 9, false).continuity(at(5)), Continuity::Gap);
    assert_eq!(delta(5, 9, false).continuity(at(9)), Continuity::Current);
    assert_eq!(delta(5, 9, true).continuity(at(10)), Continuity::Stale);
    assert_eq!(delta(5, 9, true).continuity(None), Continuity::Gap);
}

proptest! {
    /// Dead hosts, and zones that don't hear each other, must not let a live host's knowledge grow old.
    #[test]
    fn knowledge_stays_fresh_under_failures(
        dead in proptest::collection::btree_set(0usize..12, 0..12),
        deaf in proptest::collection::btree_set((0u16..3, 0u16..3), 0..6),
    ) {
        let mut hosts = hosts(12, 3);
        let names: Vec<HostName> = hosts.iter().map(|host| host.name.clone()).collect();
        let lives = |host: &Host| !dead.iter().any(|&at| names[at] == host.name);
        let number = |zone: &Zone| zone.as_str().trim_start_matches("zone-").parse::<u16>().expect("a number");
        let hears = |from: &Host, to: &Host| !deaf.contains(&(number(&from.zone), number(&to.zone)));
        let (_, oldest) = play(&mut hosts, Duration::from_secs(4), lives, hears);
        prop_assert!(oldest <= AGE_MAX, "{:?}", oldest);
    }
}
