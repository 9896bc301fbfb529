//! Request rates of the keys of a pool, from the counts that hosts report.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{KEYS, KeyRange};
use crate::types::{HostName, PoolName};

/// Weight of the newest counts in the moving average, if they cover one second.
const NEW_WEIGHT_PER_S: f64 = 0.5;
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
    /// Counts since the last call of [`KeyRates::advance`].
    pending: BTreeMap<u16, u32>,
    /// Loads of all keys below each key, including the load that is added to all keys.
    prefix_sums: Vec<f64>,
}

impl Default for KeyRates {
    fn default() -> Self {
        let mut rates = Self {
            rates: vec![0.0; KEYS],
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
        for rate in &mut self.rates {
            *rate *= 1.0 - weight;
        }
        for (key, count) in std::mem::take(&mut self.pending) {
            self.rates[usize::from(key)] += weight * f64::from(count) / seconds;
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
