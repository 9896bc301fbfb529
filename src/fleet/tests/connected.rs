//! Choice of upstreams by hosts that share them with many others.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use super::super::{Fleet, LoadReport, Locality, PickCriteria, pick_upstream};
use super::{announcement, ms, name, pool, zone};
use crate::types::UpstreamName;

const HOST_COUNT: u32 = 30;
const UPSTREAM_COUNT: u32 = 24;
const SLOTS: u32 = 6;
const WORK_MS: u32 = 220;
/// Time after which an idle connection closes.
const IDLE_MS: u64 = 7_000;
const STEP_MS: u32 = 10;

/// What a replay of requests has shown.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    opened: usize,
    /// Requests that began to wait for a slot.
    queued: usize,
    /// Most requests of one upstream.
    most: usize,
}

/// Replays a load of `rate` requests per second from all hosts for 30 s.
fn replay(rate: f64, uses_connections: bool) -> Outcome {
    let start = Instant::now();
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut fleets: Vec<Fleet> = (0..HOST_COUNT).map(|_| Fleet::default()).collect();
    let names: Vec<UpstreamName> = (0..UPSTREAM_COUNT)
        .map(|number| name(&format!("u{number:02}")))
        .collect();
    for fleet in &mut fleets {
        for (number, upstream) in (1..).zip(&names) {
            let mut entry = announcement(upstream.as_str(), "z1", 1, 1);
            entry.address.set_port(number);
            entry.slots = SLOTS;
            fleet.announce(start, entry);
        }
    }
    // Idle connections of each host, and requests in flight with their hosts and ends.
    let mut idle: Vec<BTreeMap<UpstreamName, Vec<u64>>> = vec![BTreeMap::new(); fleets.len()];
    let mut running: BTreeMap<UpstreamName, Vec<(usize, u64)>> = BTreeMap::new();
    // When each slot of an upstream is free again.
    let mut slots: BTreeMap<UpstreamName, [u64; SLOTS as usize]> = BTreeMap::new();
    let mut counts: BTreeMap<UpstreamName, usize> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let (pool, zone) = (pool(), zone("z1"));
    for at in (0..30_000 / u64::from(STEP_MS)).map(|step| step * u64::from(STEP_MS)) {
        let now = start + ms(at);
        for (upstream, requests) in &mut running {
            let ended: Vec<_> = requests.extract_if(.., |(_, end)| *end <= at).collect();
            let total = u32::try_from(requests.len()).expect("a small number");
            for (host, _) in ended {
                let entry = fleets[host].get_mut(upstream).expect("known upstream");
                entry.load.in_flight -= 1;
                entry.load.record_load(
                    now,
                    LoadReport {
                        running: total.min(SLOTS),
                        waiting: total.saturating_sub(SLOTS),
                        slots: SLOTS,
                        slowness: 100,
                    },
                );
                idle[host].entry(upstream.clone()).or_default().push(at);
            }
        }
        for (host, fleet) in fleets.iter_mut().enumerate() {
            if !rng.random_bool(rate / f64::from(HOST_COUNT) * f64::from(STEP_MS) / 1e3) {
                continue;
            }
            idle[host].retain(|_, since| {
                since.retain(|since| at < since + IDLE_MS);
                !since.is_empty()
            });
            let connected: Vec<UpstreamName> = idle[host].keys().cloned().collect();
            let criteria = PickCriteria {
                pool: &pool,
                zone: &zone,
                locality: Locality::Prefer,
                tried: &[],
                connected: if uses_connections { &connected } else { &[] },
            };
            let upstream = pick_upstream(now, fleet, &criteria, &mut rng, |_| true).expect("an upstream");
            fleet.get_mut(&upstream).expect("known upstream").load.in_flight += 1;
            let is_reused = idle[host].get_mut(&upstream).and_then(Vec::pop).is_some();
            let requests = running.entry(upstream.clone()).or_default();
            let slot = slots
                .entry(upstream.clone())
                .or_default()
                .iter_mut()
                .min()
                .expect("a slot");
            let is_queued = *slot > at;
            *slot = at.max(*slot) + u64::from(WORK_MS);
            requests.push((host, *slot));
            outcome.requests += 1;
            outcome.opened += usize::from(!is_reused);
            outcome.queued += usize::from(is_queued);
            *counts.entry(upstream).or_default() += 1;
        }
    }
    outcome.most = counts.values().copied().max().unwrap_or_default();
    outcome
}

/// Guards against a new connection for most requests when hundreds of hosts and upstreams share the load, so that each
/// pair uses its connection too seldom to find it open.
#[test]
fn calm_load_reuses_connections() {
    let (before, after) = (replay(100.0, false), replay(100.0, true));
    println!("without {before:?}\nwith {after:?}");
    assert!(after.opened * 5 <= after.requests, "{after:?}");
    // No upstream gets more than three times its share.
    assert!(after.most * UPSTREAM_COUNT as usize <= after.requests * 3, "{after:?}");
}

/// Returns how many of 400 requests go to the upstream `new` while there are idle connections to `a` and `b`.
fn count_picks_of_new(fleet: &Fleet, now: Instant) -> usize {
    let (pool, zone) = (pool(), zone("z1"));
    let connected = [name("a"), name("b")];
    let criteria = PickCriteria {
        pool: &pool,
        zone: &zone,
        locality: Locality::Prefer,
        tried: &[],
        connected: &connected,
    };
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let picks = (0..400).map(|_| pick_upstream(now, fleet, &criteria, &mut rng, |_| true));
    picks.filter(|picked| *picked == Some(name("new"))).count()
}

/// Guards against upstreams that join in calm and get no request, because all hosts keep to those that they are
/// connected to.
#[test]
fn upstream_that_joins_gets_requests() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    for (port, upstream) in [(1, "a"), (2, "b"), (3, "c")] {
        let mut entry = announcement(upstream, "z1", 1, 1);
        entry.address.set_port(port);
        fleet.announce(start, entry);
    }
    let joined = start + ms(20_000);
    fleet.announce(joined, announcement("new", "z1", 1, 1));
    assert!(count_picks_of_new(&fleet, joined + ms(1_000)) > 20);
    assert_eq!(count_picks_of_new(&fleet, joined + ms(30_000)), 0);
}

/// Guards against upstreams that get no request after a pause that they wanted: their idle connections have closed, and
/// hosts keep to those that they are connected to.
#[test]
fn upstream_whose_pause_has_ended_gets_requests() {
    let start = Instant::now();
    let mut fleet = Fleet::default();
    for (port, upstream) in [(1, "a"), (2, "b"), (3, "new")] {
        let mut entry = announcement(upstream, "z1", 1, 1);
        entry.address.set_port(port);
        fleet.announce(start, entry);
    }
    let pause_end = start + ms(20_000);
    let paused = fleet.get_mut(&name("new")).expect("a known upstream");
    paused.paused_until = Some(pause_end);
    assert_eq!(count_picks_of_new(&fleet, pause_end - ms(1)), 0);
    assert!(count_picks_of_new(&fleet, pause_end + ms(1_000)) > 20);
    assert_eq!(count_picks_of_new(&fleet, pause_end + ms(30_000)), 0);
}

/// Guards against upstreams that are overloaded because hosts keep to those that they are connected to.
#[test]
fn heavy_load_spreads_beyond_connections() {
    let capacity = f64::from(UPSTREAM_COUNT * SLOTS) / (f64::from(WORK_MS) / 1e3);
    let (before, after) = (replay(capacity * 0.7, false), replay(capacity * 0.7, true));
    println!("without {before:?}\nwith {after:?}");
    assert!(
        after.queued * 10 <= after.requests.max(before.queued * 10),
        "{before:?} {after:?}"
    );
}
