//! Learning of the speeds of upstreams from the observations of all hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use super::super::{Observations, SpeedBook};
use crate::types::UpstreamName;

const UPSTREAMS: usize = 12;
const HOSTS: usize = 40;
/// Service times relative to the typical one, by upstream.
const TIMES: [f64; 3] = [0.7, 1.0, 1.6];
/// Typical time relative to the objective of the route.
const TYPICAL: f64 = 0.3;

fn names() -> Vec<UpstreamName> {
    (0..UPSTREAMS)
        .map(|number| format!("u{number:02}").parse().expect("valid name"))
        .collect()
}

/// A pool whose hosts observe requests that are spread evenly, and report once a second.
struct Replay {
    now: Instant,
    rng: Pcg64Mcg,
    names: Vec<UpstreamName>,
    book: SpeedBook,
}

impl Replay {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            rng: Pcg64Mcg::seed_from_u64(5),
            names: names(),
            book: SpeedBook::default(),
        }
    }

    /// Plays seconds with a number of requests to each upstream. Every fifth request takes three times as long, as beside
    /// a noisy neighbour.
    fn play(&mut self, seconds: u32, requests: u32, time: impl Fn(usize) -> f64) {
        for _ in 0..seconds {
            let mut hosts: Vec<Observations> = vec![Observations::default(); HOSTS];
            for (number, name) in self.names.iter().enumerate() {
                for _ in 0..requests {
                    let noise = if self.rng.random_bool(0.2) { 3.0 } else { 1.0 };
                    let spread = self.rng.random_range(0.5..1.5);
                    let host = self.rng.random_range(0..HOSTS);
                    hosts[host].record(name, TYPICAL * time(number) * noise * spread);
                }
            }
            self.now += Duration::from_secs(1);
            for mut host in hosts {
                for (upstream, observed) in host.take() {
                    self.book.record(self.now, &upstream, observed);
                }
            }
        }
    }

    /// Returns the learned times by upstream, relative to their mean.
    fn ratios(&self) -> Vec<f64> {
        let speeds = self.book.speeds(self.now, self.names.iter()).expect("observations");
        self.names.iter().map(|name| speeds.ratio(name)).collect()
    }
}

fn time_of(number: usize) -> f64 {
    TIMES[number % TIMES.len()]
}

/// Guards against plans by equal capacities in a pool whose upstreams differ in speed.
#[test]
fn times_are_learned_from_few_requests_a_host() {
    let mut replay = Replay::new();
    replay.play(10, 10, time_of);
    let mean = TIMES.iter().sum::<f64>() / 3.0;
    for (number, ratio) in replay.ratios().into_iter().enumerate() {
        let expected = time_of(number) / mean;
        assert!(
            (ratio / expected - 1.0).abs() < 0.25,
            "{number}: {ratio}, expected {expected}"
        );
    }
}

/// Guards against an upstream that turns five times slower and keeps its load, or that recovers and stays without.
#[test]
fn slow_down_and_recovery_are_followed() {
    let mut replay = Replay::new();
    replay.play(10, 10, |_| 1.0);
    replay.play(5, 10, |number| if number == 0 { 5.0 } else { 1.0 });
    assert!(replay.ratios()[0] > 2.0, "{:?}", replay.ratios());
    replay.play(15, 10, |_| 1.0);
    let recovered = replay.ratios()[0];
    assert!(recovered < 1.4, "{recovered}");
}

/// Guards against an estimate that follows a single slow response.
#[test]
fn single_observation_counts_little() {
    let mut replay = Replay::new();
    replay.play(5, 20, |_| 1.0);
    let mut host = Observations::default();
    let new: UpstreamName = "new".parse().expect("valid name");
    host.record(&new, TYPICAL * 8.0);
    let observed: BTreeMap<_, _> = host.take();
    replay.book.record(replay.now, &new, observed[&new]);
    replay.names.push(new);
    let ratio = *replay.ratios().last().expect("the new upstream");
    assert!((1.0..2.2).contains(&ratio), "{ratio}");
}

proptest! {
    /// Guards against estimates out of range, whatever hosts report.
    #[test]
    fn ratios_stay_in_range(samples in prop::collection::vec((0_usize..UPSTREAMS, -1e9_f64..1e9), 1..200)) {
        let mut replay = Replay::new();
        let mut host = Observations::default();
        for (number, sample) in samples {
            host.record(&replay.names[number], sample);
        }
        for (upstream, observed) in host.take() {
            replay.book.record(replay.now, &upstream, observed);
        }
        for ratio in replay.ratios() {
            prop_assert!((0.29..=4.01).contains(&ratio), "{ratio}");
        }
    }
}
