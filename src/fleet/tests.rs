use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use super::{
    Change, Fingerprint, Fleet, Health, Load, LoadReport, Locality, Outcome, PickCriteria, Suspects, pick_upstream,
};
use crate::catalog::{Announcement, Phase};
use crate::types::{PoolName, UpstreamName, Zone};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name(text: &str) -> UpstreamName {
    text.parse().expect("a name")
}

fn zone(text: &str) -> Zone {
    text.parse().expect("a name")
}

fn pool() -> PoolName {
    "p".parse().expect("a name")
}

fn announcement(upstream: &str, place: &str, incarnation: u64, sequence: u64) -> Announcement {
    let number: u16 = upstream.bytes().map(u16::from).sum();
    Announcement {
        upstream: name(upstream),
        pool: pool(),
        address: format!("10.0.0.1:{number}").parse().expect("an address"),
        zone: zone(place),
        slots: 4,
        phase: Phase::Ready,
        cold_left: Duration::ZERO,
        incarnation,
        sequence,
    }
}

fn known(fleet: &Fleet) -> Vec<String> {
    fleet
        .in_pool(&pool())
        .map(|u| u.announcement.upstream.to_string())
        .collect()
}

/// An old announcement that arrives late must not undo a newer one, nor bring back one that left.
#[test]
fn late_announcements_change_nothing() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.announce(now, announcement("a", "z1", 10, 5));
    let mut leaving = announcement("a", "z1", 10, 6);
    leaving.phase = Phase::Draining;
    assert_eq!(fleet.announce(now, leaving), Change::Updated);
    assert_eq!(fleet.announce(now, announcement("a", "z1", 10, 5)), Change::Stale);
    assert!(!fleet.is_in_service(fleet.get(&name("a")).expect("known")));
    fleet.remove(now, &name("a"));
    assert_eq!(fleet.announce(now, announcement("a", "z1", 10, 6)), Change::Stale);
    assert_eq!(fleet.announce(now, announcement("a", "z1", 9, 90)), Change::Stale);
    assert_eq!(fleet.announce(now, announcement("a", "z1", 11, 1)), Change::Joined);
}

/// Without an outage an entry that is gone means that the upstream leaves at once.
#[test]
fn a_removed_entry_ends_its_use() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.announce(now, announcement("a", "z1", 1, 1));
    fleet.remove(now, &name("a"));
    assert!(known(&fleet).is_empty());
}

/// Entries that lapsed in an outage of the store come back; those that don't are gone.
#[test]
fn lapsed_entries_stay_until_the_store_is_back() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    for upstream in ["a", "b"] {
        fleet.announce(start, announcement(upstream, "z1", 1, 1));
    }
    fleet.record_store_failure(start + ms(5_000));
    let back = start + ms(5_200);
    fleet.remove(back, &name("a"));
    fleet.remove(back, &name("b"));
    assert_eq!(known(&fleet), ["a", "b"]);
    fleet.announce(back + ms(1_500), announcement("a", "z1", 1, 2));
    fleet.expire(back + ms(2_500));
    assert_eq!(known(&fleet), ["a"]);
}

/// A process that restarted under its name is cold before its announcement says so, and an announcement
/// from before its crash must not undo that.
#[test]
fn a_suspected_restart_counts_as_cold() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.announce(now, announcement("a", "z1", 1, 1));
    fleet.suspect_cold(now, &name("a"), ms(4_000));
    let is_cold = |fleet: &Fleet, at| fleet.get(&name("a")).expect("known").is_cold(at);
    fleet.announce(now + ms(500), announcement("a", "z1", 1, 2));
    assert!(is_cold(&fleet, now + ms(600)));
    fleet.announce(now + ms(2_000), announcement("a", "z1", 1, 3));
    assert!(!is_cold(&fleet, now + ms(2_100)));
}

/// A process that took over an address shows that the former one there has ended.
#[test]
fn an_address_has_one_upstream() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.announce(now, announcement("a", "z1", 1, 1));
    let mut next = announcement("b", "z1", 2, 1);
    next.address = announcement("a", "z1", 1, 1).address;
    fleet.announce(now, next);
    assert_eq!(known(&fleet), ["b"]);
}

/// Upstreams that a complete listing doesn't have are gone.
#[test]
fn a_listing_replaces_what_was_known() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    for upstream in ["a", "b"] {
        fleet.announce(now, announcement(upstream, "z1", 1, 1));
    }
    fleet.retain(now, &BTreeSet::from([name("b")]));
    assert_eq!(known(&fleet), ["b"]);
}

fn pick(fleet: &Fleet, now: Instant, place: &str, locality: Locality) -> Option<UpstreamName> {
    let (pool, zone) = (pool(), zone(place));
    let criteria = PickCriteria {
        pool: &pool,
        zone: &zone,
        locality,
        tried: &[],
    };
    pick_upstream(now, fleet, &criteria, &mut Pcg64Mcg::seed_from_u64(1), |_| true)
}

/// Load pattern: the own zone is full. Requests must go on to another zone, and back when it has room.
#[test]
fn the_own_zone_goes_first_while_it_has_room() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.announce(now, announcement("near", "z1", 1, 1));
    fleet.announce(now, announcement("far", "z2", 1, 1));
    assert_eq!(pick(&fleet, now, "z1", Locality::Prefer), Some(name("near")));
    let near = fleet.get_mut(&name("near")).expect("known");
    near.load.record_load(
        now,
        LoadReport {
            running: 4,
            waiting: 6,
            slots: 4,
            slowness: 100,
        },
    );
    assert_eq!(pick(&fleet, now, "z1", Locality::Prefer), Some(name("far")));
    let later = now + ms(10_000);
    assert_eq!(pick(&fleet, later, "z1", Locality::Prefer), Some(name("near")));
}

/// Load pattern: a zone out of service. Nothing may go there.
#[test]
fn a_closed_zone_gets_nothing() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.announce(now, announcement("near", "z1", 1, 1));
    fleet.close_zone(zone("z1"));
    assert_eq!(pick(&fleet, now, "z1", Locality::Prefer), None);
    fleet.open_zone(&zone("z1"));
    assert_eq!(pick(&fleet, now, "z1", Locality::Prefer), Some(name("near")));
}

/// Load pattern: a noisy neighbour slows an upstream for a moment. Its report counts, and fades.
#[test]
fn slowness_fades() {
    let now = Instant::now();
    let mut load = Load::new(now, 4);
    load.record_load(
        now,
        LoadReport {
            running: 1,
            waiting: 0,
            slots: 4,
            slowness: 300,
        },
    );
    assert!(load.latency_factor(now) > 2.5);
    assert!(load.latency_factor(now + ms(3_000)) < 1.1);
}

/// Load pattern: a grey upstream fails part of its requests. It is left out, tried again, and comes back.
#[test]
fn a_grey_upstream_is_left_out_and_comes_back() {
    let start = Instant::now();
    let mut health = Health::default();
    for _ in 0..3 {
        health.record(start, Outcome::Failed);
    }
    assert!(!health.admits(start));
    let later = start + ms(800);
    assert!(health.admits(later));
    health.start();
    assert!(!health.admits(later), "only one request tries it");
    health.record(later, Outcome::Served);
    health.start();
    assert!(health.admits(later));
}

/// A request that crashes its upstreams is blocked; one that was only near a crash is not.
#[test]
fn a_crashing_request_is_blocked_and_others_are_not() {
    let start = Instant::now();
    let (deadly, innocent) = (Fingerprint::of("POST", "/x", b"1"), Fingerprint::of("GET", "/y", b""));
    let mut suspects = Suspects::default();
    for round in 0..3_u64 {
        let now = start + ms(2_000 * round);
        let upstream = name(&format!("u{round}"));
        suspects.record_broken_connection(now, &upstream, deadly);
        suspects.record_broken_connection(now, &upstream, innocent);
        suspects.record_unreachable(now + ms(50), &upstream);
        suspects.record_response(innocent);
    }
    let now = start + ms(5_000);
    assert!(suspects.is_blocked(now, deadly));
    assert!(!suspects.is_blocked(now, innocent));
}

/// Load pattern: a zone loses power. Its upstreams crash at once, which is no sign against a request.
#[test]
fn crashes_at_once_count_as_one() {
    let now = Instant::now();
    let request = Fingerprint::of("GET", "/y", b"");
    let mut suspects = Suspects::default();
    for number in 0..5 {
        let upstream = name(&format!("u{number}"));
        suspects.record_broken_connection(now, &upstream, request);
        suspects.record_unreachable(now + ms(100), &upstream);
    }
    assert!(!suspects.is_blocked(now + ms(200), request));
}

proptest! {
    /// However upstreams fail, the time out of one ends, so no upstream is lost for ever.
    #[test]
    fn every_ejection_ends(outcomes in prop::collection::vec(0_u8..4, 0..60)) {
        let mut now = Instant::now();
        let mut health = Health::default();
        for outcome in outcomes {
            now += ms(100);
            let outcome = match outcome {
                0 => Outcome::Served,
                1 => Outcome::Shed,
                2 => Outcome::Failed,
                _ => Outcome::Unreachable,
            };
            health.start();
            health.record(now, outcome);
        }
        prop_assert!(health.admits(now + ms(6_100)));
    }
}
