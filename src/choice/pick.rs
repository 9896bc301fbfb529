//! Chooses an upstream of a shared pool.

use std::time::Duration;

use rand::{Rng, RngExt};
use tokio::time::Instant;

/// Time in which a latency average decays to 1/e.
const DECAY: Duration = Duration::from_secs(1);
/// Lowest latency that counts, in seconds, so that requests in flight count for a new upstream.
const LATENCY_MIN: f64 = 1e-4;
/// Random draws before the usable upstreams are listed instead.
const DRAWS_MAX: usize = 8;

/// Moving average of latency that decays while no answers come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LatencyAverage {
    seconds: f64,
    at: Option<Instant>,
}

impl LatencyAverage {
    /// Present average in seconds; 0 before the first answer.
    pub(crate) fn seconds(&self, now: Instant) -> f64 {
        self.at.map_or(0.0, |at| self.seconds * weigh(at, now))
    }

    pub(crate) fn record(&mut self, latency: Duration, now: Instant) {
        let latency = latency.as_secs_f64();
        self.seconds = match self.at {
            None => latency,
            Some(at) => latency + (self.seconds - latency) * weigh(at, now),
        };
        self.at = Some(now);
    }
}

fn weigh(at: Instant, now: Instant) -> f64 {
    (-now.duration_since(at).as_secs_f64() / DECAY.as_secs_f64()).exp()
}

/// What a host knows of the load of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Load {
    pub(crate) in_flight: u32,
    pub(crate) latency: LatencyAverage,
}

impl Load {
    fn cost(&self, now: Instant) -> f64 {
        (f64::from(self.in_flight) + 1.0) * self.latency.seconds(now).max(LATENCY_MIN)
    }
}

/// Chooses the better of two random usable upstreams, or `None` if none is usable.
///
/// `usable` excludes ejected upstreams, those out of service and those that just failed.
pub(crate) fn pick_upstream(
    loads: &[Load],
    usable: impl Fn(usize) -> bool,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<usize> {
    let (a, b) = draw_pair(loads.len(), &usable, rng)?;
    Some(if loads[b].cost(now) < loads[a].cost(now) { b } else { a })
}

/// Chooses an upstream for another attempt; one that has failed serves only if no other may.
pub(crate) fn pick_again(
    loads: &[Load],
    usable: impl Fn(usize) -> bool,
    failed: &[usize],
    now: Instant,
    rng: &mut impl Rng,
) -> Option<usize> {
    let other = pick_upstream(loads, |i| usable(i) && !failed.contains(&i), now, rng);
    other.or_else(|| pick_upstream(loads, usable, now, rng))
}

fn draw_pair(len: usize, usable: &impl Fn(usize) -> bool, rng: &mut impl Rng) -> Option<(usize, usize)> {
    if len == 0 {
        return None;
    }
    let mut first = None;
    for _ in 0..DRAWS_MAX {
        let drawn = rng.random_range(0..len);
        if first != Some(drawn) && usable(drawn) {
            match first {
                None => first = Some(drawn),
                Some(first) => return Some((first, drawn)),
            }
        }
    }
    let listed: Vec<usize> = (0..len).filter(|&i| usable(i)).collect();
    let any = |rng: &mut _, from: &[usize]| from.get(RngExt::random_range(rng, 0..from.len().max(1))).copied();
    let first = first.or_else(|| any(rng, &listed))?;
    let others: Vec<usize> = listed.into_iter().filter(|&i| i != first).collect();
    Some((first, any(rng, &others).unwrap_or(first)))
}
