//! Requests a second for each key, from the hosts' counts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{KEYS, KeyRange};
use crate::types::{HostName, PoolName};

/// Weight of the newest counts in the moving average, for each second that they cover.
const NEW_WEIGHT: f64 = 0.5;
/// Load that is spread evenly over all keys, as a share of all load: keys without requests of
/// late may get some.
const EVEN_SHARE: f64 = 0.05;
/// The same as a rate, in requests a second, so that keys count also before any request.
const EVEN_RATE: f64 = 1.0;

/// Requests of one host since its last message, by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyCounts {
    pub(crate) host: HostName,
    pub(crate) pool: PoolName,
    pub(crate) counts: BTreeMap<u16, u32>,
}

/// Moving averages of the requests for each key of a pool.
#[derive(Clone, Debug)]
pub(crate) struct KeyRates {
    rates: Vec<f64>,
    fresh: BTreeMap<u16, u32>,
    /// Sums of the rates up to each key, with the even share.
    sums: Vec<f64>,
}

impl Default for KeyRates {
    fn default() -> Self {
        let mut rates = Self {
            rates: vec![0.0; KEYS],
            fresh: BTreeMap::new(),
            sums: vec![0.0; KEYS + 1],
        };
        rates.sum();
        rates
    }
}

impl KeyRates {
    pub(crate) fn record_counts(&mut self, counts: &BTreeMap<u16, u32>) {
        for (key, count) in counts {
            *self.fresh.entry(*key).or_default() += count;
        }
    }

    /// Folds the counts since the last call into the averages.
    pub(crate) fn advance(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.001);
        let weight = 1.0 - (1.0 - NEW_WEIGHT).powf(seconds);
        for rate in &mut self.rates {
            *rate *= 1.0 - weight;
        }
        for (key, count) in std::mem::take(&mut self.fresh) {
            self.rates[usize::from(key)] += weight * f64::from(count) / seconds;
        }
        self.sum();
    }

    fn sum(&mut self) {
        let total: f64 = self.rates.iter().sum();
        let keys = u32::try_from(KEYS).expect("the number of keys is small");
        let even = (total * EVEN_SHARE).max(EVEN_RATE) / f64::from(keys);
        let mut sum = 0.0;
        for (at, rate) in self.rates.iter().enumerate() {
            sum += rate + even;
            self.sums[at + 1] = sum;
        }
    }

    /// Gives the load of keys in requests a second.
    pub(crate) fn load(&self, range: KeyRange) -> f64 {
        self.sums[usize::from(range.last) + 1] - self.sums[usize::from(range.first)]
    }

    /// Cuts off the last keys whose load comes closest to the wanted one; the cut may take all.
    pub(crate) fn cut_last(&self, range: KeyRange, wanted: f64) -> KeyRange {
        let rest = self.cut(range, self.load(range) - wanted);
        match rest.last.checked_add(1).filter(|&first| first <= range.last) {
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

    /// Cuts off the first keys whose load comes closest to the wanted one; the cut may take all.
    pub(crate) fn cut(&self, range: KeyRange, wanted: f64) -> KeyRange {
        let start = self.sums[usize::from(range.first)];
        let ends = &self.sums[usize::from(range.first) + 1..=usize::from(range.last) + 1];
        let over = ends.partition_point(|&end| end - start < wanted).min(ends.len() - 1);
        let excess = ends[over] - start - wanted;
        let lack = over.checked_sub(1).map(|before| wanted - (ends[before] - start));
        let at = match lack {
            Some(lack) if lack < excess => over - 1,
            _ => over,
        };
        KeyRange {
            first: range.first,
            last: range.first + u16::try_from(at).expect("keys fit 16 bits"),
        }
    }
}
