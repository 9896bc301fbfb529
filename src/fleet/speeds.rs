//! Learns how fast each upstream works compared with the others of its pool.
//!
//! It answers pools whose upstreams differ in speed or slow down before they are full. A host exchanges a request with
//! each of hundreds of upstreams every few seconds only, so the observations of all hosts are pooled at the grantor, which
//! plans the owners of keys by them and tells all hosts the result. Estimates of few observations are drawn towards the
//! pool's average.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::types::{PoolName, UpstreamName};

/// Time constant with which observations count less; an upstream turns slow for a few seconds at a time.
const DECAY_SECONDS: f64 = 6.0;
/// Number of observations that the pool's average counts for in the estimate of an upstream.
const PRIOR_COUNT: f64 = 4.0;
/// Range of the estimates, relative to the pool's average; beyond it an upstream is ejected or takes what comes.
const RATIO_RANGE: (f64, f64) = (0.3, 4.0);
/// Deviation from the average in percent up to which an upstream counts as average.
const USUAL_PERCENT: u16 = 7;
/// Range to which one observation is clamped, relative to the objective of its route, to limit outliers.
const SAMPLE_RANGE: (f64, f64) = (0.001, 8.0);
/// Unit in which sums travel between hosts: thousandths of the objective.
const SUM_UNIT: f64 = 1e3;

/// Service times that a host has observed at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Observed {
    pub(crate) count: u32,
    /// Sum of the times, in thousandths of the objectives of their routes.
    pub(crate) sum: u32,
}

/// Service times that a host has observed since its last message to the grantor.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observations(BTreeMap<UpstreamName, Observed>);

impl Observations {
    /// Records a response: its time without the wait for a slot, relative to the objective of its route.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the sample is clamped to a small positive number"
    )]
    pub(crate) fn record(&mut self, upstream: &UpstreamName, sample: f64) {
        let sample = sample.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
        let observed = self.0.entry(upstream.clone()).or_default();
        observed.count += 1;
        observed.sum = observed.sum.saturating_add((sample * SUM_UNIT) as u32);
    }

    pub(crate) fn take(&mut self) -> BTreeMap<UpstreamName, Observed> {
        std::mem::take(&mut self.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Average {
    count: f64,
    sum: f64,
    updated: Instant,
}

impl Average {
    fn decayed(self, now: Instant) -> Self {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let left = (-elapsed / DECAY_SECONDS).exp();
        Self {
            count: self.count * left,
            sum: self.sum * left,
            updated: now,
        }
    }
}

/// Speeds of the upstreams of one pool, as hosts are told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct PoolSpeeds {
    /// Average service time of the pool, in thousandths of the objectives.
    pub(crate) average: u32,
    /// Service time of each upstream in percent of the average.
    pub(crate) percents: BTreeMap<UpstreamName, u16>,
}

/// Observations of all hosts, at the grantor.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedBook(BTreeMap<UpstreamName, Average>);

impl SpeedBook {
    /// Adds the observations of a host.
    pub(crate) fn record(&mut self, now: Instant, upstream: &UpstreamName, observed: Observed) {
        let empty = Average {
            count: 0.0,
            sum: 0.0,
            updated: now,
        };
        let average = self.0.entry(upstream.clone()).or_insert(empty);
        *average = average.decayed(now);
        average.count += f64::from(observed.count);
        average.sum += f64::from(observed.sum) / SUM_UNIT;
    }

    /// Drops upstreams that are no longer known.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&UpstreamName) -> bool) {
        self.0.retain(|upstream, _| is_known(upstream));
    }

    /// Returns the speeds of a pool's upstreams, of which those without observations have the average one; `None` if
    /// there are no observations.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "ratios and averages are small positive numbers"
    )]
    pub(crate) fn speeds<'a>(
        &self,
        now: Instant,
        members: impl Iterator<Item = &'a UpstreamName>,
    ) -> Option<PoolSpeeds> {
        let observed: Vec<(&UpstreamName, Average)> = members
            .filter_map(|name| Some((name, self.0.get(name)?.decayed(now))))
            .collect();
        let count: f64 = observed.iter().map(|(_, average)| average.count).sum();
        let sum: f64 = observed.iter().map(|(_, average)| average.sum).sum();
        if count < 1.0 || sum <= 0.0 {
            return None;
        }
        // Each upstream counts alike, however many requests it gets: else the average follows the fast ones.
        let mean = sum / count;
        let estimate = |average: &Average| (average.sum + PRIOR_COUNT * mean) / (average.count + PRIOR_COUNT);
        let members = f64::from(u32::try_from(observed.len()).unwrap_or(u32::MAX));
        let typical = observed.iter().map(|(_, average)| estimate(average)).sum::<f64>() / members;
        let percent = |average: &Average| {
            let ratio = (estimate(average) / typical).clamp(RATIO_RANGE.0, RATIO_RANGE.1);
            (ratio * 100.0).round() as u16
        };
        Some(PoolSpeeds {
            average: (typical * SUM_UNIT).max(1.0) as u32,
            percents: observed
                .iter()
                .map(|(name, average)| ((*name).clone(), percent(average)))
                .collect(),
        })
    }
}

/// Speeds by pool.
pub(crate) type Speeds = BTreeMap<PoolName, PoolSpeeds>;

impl PoolSpeeds {
    /// Leaves out the upstreams of about the average speed, which an upstream that isn't named has.
    pub(crate) fn without_usual(mut self) -> Self {
        self.percents.retain(|_, percent| percent.abs_diff(100) > USUAL_PERCENT);
        self
    }

    /// Returns the service time of an upstream relative to the pool's average.
    pub(crate) fn ratio(&self, upstream: &UpstreamName) -> f64 {
        self.percents
            .get(upstream)
            .map_or(1.0, |percent| f64::from(*percent) / 100.0)
    }

    /// Returns a sample, a time relative to the objective of its route, relative to the pool's average.
    pub(crate) fn relative(&self, sample: f64) -> f64 {
        sample * SUM_UNIT / f64::from(self.average.max(1))
    }
}
