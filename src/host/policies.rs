//! What this host has seen of upstreams lately, and the budgets that follow from it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::Outcome;
use crate::choice::{Denial, Ejection, Ejector, Failure, HedgeBudget, HedgeQuestion, Load, RetryBudget, pick_again};
use crate::tables::Pool;
use crate::types::{Incarnation, PoolName, UpstreamName};

/// Policies of all pools.
#[derive(Debug)]
pub(crate) struct Policies {
    pools: Mutex<BTreeMap<PoolName, PoolPolicy>>,
    retries: Mutex<RetryBudget>,
    incarnations: Mutex<BTreeMap<UpstreamName, Incarnation>>,
    /// Upstreams that refused a connection and have not answered since.
    refusing: Mutex<BTreeSet<UpstreamName>>,
}

#[derive(Debug, Default)]
struct PoolPolicy {
    names: Vec<UpstreamName>,
    loads: Vec<Load>,
    ejector: Ejector,
    hedges: HedgeBudget,
    /// Share of the slots in use, from 0 to 1.
    utilisation: f64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Policies {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            pools: Mutex::default(),
            retries: Mutex::new(RetryBudget::new(now)),
            incarnations: Mutex::default(),
            refusing: Mutex::default(),
        }
    }

    /// Chooses an upstream of a shared pool; one that has failed only if no other is usable.
    ///
    /// Where all upstreams that `usable` admits are ejected, an ejected one is chosen: a doubtful
    /// upstream is better than a refusal.
    pub(crate) fn pick(
        &self,
        name: &PoolName,
        pool: &Pool,
        usable: impl Fn(&UpstreamName) -> bool,
        failed: &BTreeSet<UpstreamName>,
        now: Instant,
    ) -> Option<UpstreamName> {
        let mut pools = lock(&self.pools);
        let policy = pools.entry(name.clone()).or_default();
        policy.follow_pool(pool);
        let PoolPolicy {
            names, loads, ejector, ..
        } = policy;
        let refusing = lock(&self.refusing);
        let good = |i: usize| usable(&names[i]) && !ejector.is_ejected(&names[i]) && !refusing.contains(&names[i]);
        let rng = &mut rand::rng();
        let failed: Vec<usize> = failed
            .iter()
            .filter_map(|name| names.binary_search(name).ok())
            .collect();
        let found = pick_again(loads, good, &failed, now, rng);
        let found = found.or_else(|| pick_again(loads, |i| usable(&names[i]), &failed, now, rng));
        found.map(|i| names[i].clone())
    }

    /// Notes that an upstream refused a connection; true if that is news.
    pub(crate) fn note_refusing(&self, upstream: &UpstreamName) -> bool {
        lock(&self.refusing).insert(upstream.clone())
    }

    /// Notes that an upstream accepts connections again.
    pub(crate) fn note_accepting(&self, upstream: &UpstreamName) {
        lock(&self.refusing).remove(upstream);
    }

    /// Counts an admitted request.
    pub(crate) fn count_request(&self, pool: &PoolName, now: Instant) {
        lock(&self.retries).count_request(now);
        if let Some(policy) = lock(&self.pools).get_mut(pool) {
            let utilisation = policy.utilisation;
            policy.hedges.count_request(utilisation);
        }
    }

    /// Counts the start of an attempt.
    pub(crate) fn start_attempt(&self, pool: &PoolName, upstream: &UpstreamName) {
        if let Some(load) = lock(&self.pools).get_mut(pool).and_then(|p| p.load(upstream)) {
            load.in_flight += 1;
        }
    }

    /// Counts the end of an attempt.
    ///
    /// `unanswered` is the length of one that was cancelled before its answer came. It is a lower
    /// bound of the latency; without it, the losers of hedges would leave a slow upstream looking
    /// fast.
    pub(crate) fn end_attempt(
        &self,
        pool: &PoolName,
        upstream: &UpstreamName,
        unanswered: Option<Duration>,
        now: Instant,
    ) {
        let mut pools = lock(&self.pools);
        let Some(load) = pools.get_mut(pool).and_then(|p| p.load(upstream)) else {
            return;
        };
        load.in_flight = load.in_flight.saturating_sub(1);
        if let Some(bound) = unanswered.filter(|bound| bound.as_secs_f64() > load.latency.seconds(now)) {
            load.latency.record(bound, now);
        }
    }

    /// Takes the time to the head of an answer, or that of a failure. Gives the end of the ejection
    /// if the upstream is ejected for it.
    pub(crate) fn note_outcome(
        &self,
        pool: &PoolName,
        upstream: &UpstreamName,
        outcome: Outcome,
        latency: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let mut pools = lock(&self.pools);
        let policy = pools.get_mut(pool)?;
        let ejection = policy.ejector.note(upstream, outcome, latency, now);
        if outcome == Outcome::Answered {
            policy.hedges.note(latency);
            if let Some(load) = policy.load(upstream) {
                load.latency.record(latency, now);
            }
        }
        ejection.and_then(|_| policy.ejector.ejected_until(upstream))
    }

    /// Spends a retry on a failed request.
    ///
    /// # Errors
    ///
    /// Gives the reason why the request must not be retried.
    pub(crate) fn spend_retry(&self, failure: &Failure, now: Instant) -> Result<(), Denial> {
        lock(&self.retries).spend(failure, now)
    }

    /// Time after which a request to a pool may be hedged.
    pub(crate) fn hedge_delay(&self, pool: &PoolName) -> Option<Duration> {
        lock(&self.pools).get(pool).and_then(|policy| policy.hedges.delay())
    }

    /// Spends a hedge, if the request may have one.
    pub(crate) fn spend_hedge(&self, pool: &PoolName, idempotent: bool, shared: bool, elapsed: Duration) -> bool {
        let mut pools = lock(&self.pools);
        let Some(policy) = pools.get_mut(pool) else {
            return false;
        };
        let utilisation = policy.utilisation;
        policy.hedges.spend(&HedgeQuestion {
            idempotent,
            shared,
            elapsed,
            utilisation,
        })
    }

    /// Notes the incarnation that an upstream answers with and gives the one known before, if it
    /// was another.
    pub(crate) fn note_incarnation(&self, upstream: &UpstreamName, incarnation: Incarnation) -> Option<Incarnation> {
        let before = lock(&self.incarnations).insert(upstream.clone(), incarnation);
        before.filter(|b| *b != incarnation)
    }

    /// Incarnation that an upstream was last known by.
    pub(crate) fn incarnation(&self, upstream: &UpstreamName) -> Option<Incarnation> {
        lock(&self.incarnations).get(upstream).copied()
    }

    /// Ejects upstreams that are slow, with the end of each ejection, and gives those whose
    /// ejection has ended.
    pub(crate) fn tick(&self, now: Instant) -> (BTreeMap<UpstreamName, Instant>, Vec<UpstreamName>) {
        let mut ejected = BTreeMap::new();
        let mut returned = Vec::new();
        for policy in lock(&self.pools).values_mut() {
            for change in policy.ejector.tick(now) {
                match change {
                    Ejection::Return(name) => returned.push(name),
                    Ejection::Eject(name) => {
                        ejected.extend(policy.ejector.ejected_until(&name).map(|until| (name, until)));
                    }
                }
            }
        }
        (ejected, returned)
    }

    /// Follows the ejections that other hosts decided.
    pub(crate) fn follow_ejections(&self, ejections: &BTreeMap<UpstreamName, Duration>, now: Instant) {
        for policy in lock(&self.pools).values_mut() {
            for (name, left) in ejections {
                policy.ejector.follow(name, *left, now);
            }
        }
    }

    /// Sets the share of each pool's slots in use, as far as this host sees it.
    pub(crate) fn set_utilisation(&self, pool: &PoolName, utilisation: f64) {
        if let Some(policy) = lock(&self.pools).get_mut(pool) {
            policy.utilisation = utilisation;
        }
    }
}

impl PoolPolicy {
    fn follow_pool(&mut self, pool: &Pool) {
        if self.names.iter().eq(pool.upstreams.keys()) {
            return;
        }
        let known: BTreeMap<UpstreamName, Load> = self.names.drain(..).zip(self.loads.drain(..)).collect();
        self.names = pool.upstreams.keys().cloned().collect();
        self.loads = self
            .names
            .iter()
            .map(|name| known.get(name).copied().unwrap_or_default())
            .collect();
        self.ejector.set_upstreams(self.names.iter().cloned());
    }

    fn load(&mut self, upstream: &UpstreamName) -> Option<&mut Load> {
        let index = self.names.binary_search(upstream).ok()?;
        self.loads.get_mut(index)
    }
}
