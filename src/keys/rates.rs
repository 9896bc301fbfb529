//! Request rates of the keys of a pool, from the counts that hosts report.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{KEYS, KeyRange};
use crate::types::{HostName, PoolName};

/// Weight of the newest counts in the moving average, if they cover one second.
const NEW_WEIGHT_PER_S: f64 = 0.5;
/// The same for the average that shows a sudden heat.
const HEAT_WEIGHT_PER_S: f64 = 0.94;
/// Number of standard deviations by which the counts of a key have to exceed those expected to show a heat.
const HEAT_DEVIATIONS: f64 = 3.0;
/// Requests in addition, as the deviation of small counts means little.
const HEAT_COUNT_MIN: f64 = 3.0;
/// Time in which the fast average counts requests, about its time constant.
const HEAT_SECONDS: f64 = 0.35;
/// Load that is added evenly to all keys, as a share of the total load: keys without recent requests
/// may get some.
const BASE_LOAD_SHARE: f64 = 0.05;
/// Smallest load that is added to all keys together, in requests per second, so that keys also have a load before
/// the first request.
const BASE_LOAD_PER_S: f64 = 1.0;

/// Number of requests for each key that a host has counted since its last message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyCounts {
    pub(crate) host: HostName,
    pub(crate) pool: PoolName,
    pub(crate) counts: BTreeMap<u16, u32>,
}

/// Moving average of the requests per second for each key of a pool.
#[derive(Clone, Debug)]
pub(crate) struct KeyRates {
    rates: Vec<f64>,
    /// Faster averages.
    heats: Vec<f64>,
    /// Counts since the last call of [`KeyRates::advance`].
    pending: BTreeMap<u16, u32>,
    /// Loads of all keys below each key, including the load that is added to all keys.
    prefix_sums: Vec<f64>,
}

impl Default for KeyRates {
    fn default() -> Self {
        let mut rates = Self {
            rates: vec![0.0; KEYS],
            heats: vec![0.0; KEYS],
            pending: BTreeMap::new(),
            prefix_sums: vec![0.0; KEYS + 1],
        };
        rates.update_sums();
        rates
    }
}

impl KeyRates {
    pub(crate) fn record_counts(&mut self, counts: &BTreeMap<u16, u32>) {
        for (key, count) in counts {
            *self.pending.entry(*key).or_default() += count;
        }
    }

    /// Adds the counts since the last call to the moving averages.
    pub(crate) fn advance(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.001);
        let weight = 1.0 - (1.0 - NEW_WEIGHT_PER_S).powf(seconds);
        let heat_weight = 1.0 - (1.0 - HEAT_WEIGHT_PER_S).powf(seconds);
        for (rate, heat) in self.rates.iter_mut().zip(&mut self.heats) {
            *rate *= 1.0 - weight;
            *heat *= 1.0 - heat_weight;
        }
        for (key, count) in std::mem::take(&mut self.pending) {
            let key = usize::from(key);
            let rate = f64::from(count) / seconds;
            self.rates[key] += weight * rate;
            self.heats[key] += heat_weight * rate;
            // A heat is over before the slow average shows it.
            let expected = self.rates[key] * HEAT_SECONDS;
            let significant = expected + HEAT_DEVIATIONS * expected.sqrt() + HEAT_COUNT_MIN;
            if self.heats[key] * HEAT_SECONDS > significant {
                self.rates[key] = self.heats[key];
            }
        }
        self.update_sums();
    }

    fn update_sums(&mut self) {
        let total: f64 = self.rates.iter().sum();
        let keys = u32::try_from(KEYS).expect("the number of keys is small");
        let base_rate = (total * BASE_LOAD_SHARE).max(BASE_LOAD_PER_S) / f64::from(keys);
        let mut sum = 0.0;
        for (key, rate) in self.rates.iter().enumerate() {
            sum += rate + base_rate;
            self.prefix_sums[key + 1] = sum;
        }
    }

    /// Returns the load of a range of keys in requests per second.
    pub(crate) fn load(&self, range: KeyRange) -> f64 {
        self.prefix_sums[usize::from(range.last) + 1] - self.prefix_sums[usize::from(range.first)]
    }

    /// Returns the last keys of a range whose load is closest to the wanted one; at least one key, at most all.
    pub(crate) fn cut_last(&self, range: KeyRange, wanted: f64) -> KeyRange {
        let remaining = self.cut_first(range, self.load(range) - wanted);
        match remaining.last.checked_add(1).filter(|&first| first <= range.last) {
            Some(first) => KeyRange {
                first,
                last: range.last,
            },
            None => KeyRange {
                first: range.last,
                last: range.last,
            },
        }
    }

    /// Returns the first keys of a range whose load is closest to the wanted one; at least one key, at most all.
    pub(crate) fn cut_first(&self, range: KeyRange, wanted: f64) -> KeyRange {
        let start = self.prefix_sums[usize::from(range.first)];
        let ends = &self.prefix_sums[usize::from(range.first) + 1..=usize::from(range.last) + 1];
        let above = ends.partition_point(|&end| end - start < wanted).min(ends.len() - 1);
        let excess = ends[above] - start - wanted;
        let shortfall = above.checked_sub(1).map(|below| wanted - (ends[below] - start));
        let index = match shortfall {
            Some(shortfall) if shortfall < excess => above - 1,
            _ => above,
        };
        KeyRange {
            first: range.first,
            last: range.first + u16::try_from(index).expect("keys fit 16 bits"),
        }
    }
}
