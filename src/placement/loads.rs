//! Loads of ranges and of single hot hashes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::types::{KeyHash, KeyRange, value};

/// Time constants after which weights are rescaled; e^50 is far from the limits of `f64`.
const RESCALE: f64 = 50.0;
/// Ranges with a lower rate (requests/s) are forgotten, so that ranges that no longer exist don't
/// fill the memory.
const RATE_MIN: f64 = 0.001;
/// One of this many requests updates a full sketch, with as many times the weight. Each update
/// costs several tree operations, which would otherwise be most of the cost of a decision.
const SAMPLING: u32 = 8;

/// Decaying loads that a host measures for one pool.
///
/// Weights decay exponentially. They are kept multiplied by a factor that grows with time, so that
/// an observation touches one entry only.
#[derive(Clone, Debug)]
pub(crate) struct LoadTable {
    window: Duration,
    /// Time at which the factor was 1.
    landmark: Instant,
    ranges: BTreeMap<KeyRange, f64>,
    sketch: Sketch,
}

value! {
    /// Loads per second, as hosts send them to the leader, which adds them up.
    #[derive(Default)]
    pub(crate) struct LoadReport {
        pub(crate) ranges: BTreeMap<KeyRange, f64>,
        /// Lower bounds for single hashes.
        pub(crate) hot: BTreeMap<KeyHash, f64>,
    }
}

impl LoadTable {
    /// Creates an empty table that averages over `window` and follows `hashes` hot hashes.
    ///
    /// A hash is found if its load exceeds the total load divided by `hashes`.
    pub(crate) fn new(now: Instant, window: Duration, hashes: usize) -> Self {
        Self {
            window,
            landmark: now,
            ranges: BTreeMap::new(),
            sketch: Sketch::new(hashes),
        }
    }

    /// Counts a request for a hash within a range of the folded table.
    pub(crate) fn record(&mut self, now: Instant, range: KeyRange, hash: KeyHash, cost: f64) {
        if self.age(now) > RESCALE {
            self.rescale(now);
        }
        let weight = cost * self.age(now).exp();
        *self.ranges.entry(range).or_insert(0.0) += weight;
        self.sketch.sample(hash, weight);
    }

    /// Reports the loads of the `most` hottest ranges and of hot hashes.
    pub(crate) fn report(&mut self, now: Instant, most: usize) -> LoadReport {
        self.rescale(now);
        let window = self.window.as_secs_f64();
        self.ranges.retain(|_, weight| *weight >= RATE_MIN * window);
        let mut order: Vec<(KeyRange, f64)> = self.ranges.iter().map(|(&r, &w)| (r, w / window)).collect();
        order.sort_by(|a, b| b.1.total_cmp(&a.1));
        order.truncate(most);
        let hot = self.sketch.hot_hashes().map(|(hash, w)| (hash, w / window));
        LoadReport {
            ranges: order.into_iter().collect(),
            hot: hot.collect(),
        }
    }

    /// Number of entries in memory.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.ranges.len() + self.sketch.counters.len()
    }

    fn age(&self, now: Instant) -> f64 {
        now.saturating_duration_since(self.landmark).as_secs_f64() / self.window.as_secs_f64()
    }

    fn rescale(&mut self, now: Instant) {
        let factor = (-self.age(now)).exp();
        self.ranges.values_mut().for_each(|w| *w *= factor);
        self.sketch.rescale(factor);
        self.landmark = self.landmark.max(now);
    }
}

impl LoadReport {
    /// Adds the loads of another host.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (&range, &rate) in &other.ranges {
            *self.ranges.entry(range).or_insert(0.0) += rate;
        }
        for (&hash, &rate) in &other.hot {
            *self.hot.entry(hash).or_insert(0.0) += rate;
        }
    }

    /// Iterates over the hot hashes within a range.
    pub(super) fn hot_within(&self, range: KeyRange) -> impl Iterator<Item = (KeyHash, f64)> {
        self.hot
            .range(range.first..=range.last)
            .map(|(&hash, &rate)| (hash, rate))
    }
}

/// Heavy hitters by the space-saving algorithm.
///
/// A new hash replaces the lightest one and inherits its weight as a possible error.
#[derive(Clone, Debug)]
struct Sketch {
    capacity: usize,
    counters: BTreeMap<KeyHash, Counter>,
    /// Counters by weight; weights are not negative, so their bits are in order.
    order: BTreeSet<(u64, KeyHash)>,
    /// State of the generator that picks samples.
    random: u64,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    weight: f64,
    error: f64,
}

impl Sketch {
    fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            counters: BTreeMap::new(),
            order: BTreeSet::new(),
            random: 0,
        }
    }

    /// Adds a weight, or, once the sketch is full, a sample of them.
    fn sample(&mut self, hash: KeyHash, weight: f64) {
        if self.counters.len() < self.capacity {
            self.add(hash, weight);
            return;
        }
        // Multiplier and increment of Knuth's MMIX generator; a plain count could follow the
        // rhythm of the requests.
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        if self.random >> 32 < (1 << 32) / u64::from(SAMPLING) {
            self.add(hash, weight * f64::from(SAMPLING));
        }
    }

    fn add(&mut self, hash: KeyHash, weight: f64) {
        let counter = match self.counters.get(&hash) {
            Some(&counter) => {
                self.order.remove(&(counter.weight.to_bits(), hash));
                counter
            }
            None => self.make_room(),
        };
        let counter = Counter {
            weight: counter.weight + weight,
            ..counter
        };
        self.counters.insert(hash, counter);
        self.order.insert((counter.weight.to_bits(), hash));
    }

    fn make_room(&mut self) -> Counter {
        let mut error = 0.0;
        if self.counters.len() >= self.capacity
            && let Some((bits, lightest)) = self.order.pop_first()
        {
            self.counters.remove(&lightest);
            error = f64::from_bits(bits);
        }
        Counter { weight: error, error }
    }

    fn rescale(&mut self, factor: f64) {
        for counter in self.counters.values_mut() {
            counter.weight *= factor;
            counter.error *= factor;
        }
        let order = self.counters.iter().map(|(&hash, c)| (c.weight.to_bits(), hash));
        self.order = order.collect();
    }

    /// Iterates over hashes whose sure weight exceeds the largest possible error.
    fn hot_hashes(&self) -> impl Iterator<Item = (KeyHash, f64)> {
        let full = self.counters.len() >= self.capacity;
        let lightest = self.order.first().map_or(0.0, |&(bits, _)| f64::from_bits(bits));
        let floor = if full { lightest } else { 0.0 };
        let sure = self.counters.iter().map(|(&hash, c)| (hash, c.weight - c.error));
        sure.filter(move |&(_, weight)| weight > floor)
    }
}
