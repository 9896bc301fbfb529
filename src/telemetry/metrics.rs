//! Counters and histograms of a gateway.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::types::{Reason, RouteName};

/// Upper bounds of the buckets of times, in seconds; from a fast answer to the longest timeout.
const TIME_BOUNDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 8.0];

/// Age of something that isn't known yet.
const UNKNOWN_AGE: f64 = -1.0;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RouteStatus {
    route: RouteName,
    status: u16,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OfRoute {
    route: RouteName,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OfReason {
    reason: &'static str,
}

/// Metrics of a gateway.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    responses: Family<RouteStatus, Counter>,
    refusals: Family<OfReason, Counter>,
    failures: Family<OfReason, Counter>,
    retries: Family<OfReason, Counter>,
    times: Family<OfRoute, Histogram>,
    configuration: Gauge,
    upstreams: Gauge,
    hosts: Gauge,
    grantor: Gauge,
    degraded: Gauge,
    /// In seconds.
    store_age: Gauge<f64, AtomicU64>,
    configuration_age: Gauge<f64, AtomicU64>,
    owners_age: Gauge<f64, AtomicU64>,
}

/// What a host knows, at the time at which its metrics are read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StateSnapshot {
    /// Version of the configuration in force; 0 if there is none.
    pub(crate) configuration: u64,
    pub(crate) upstreams: usize,
    pub(crate) hosts: usize,
    pub(crate) is_grantor: bool,
    pub(crate) is_degraded: bool,
    /// Time since the store was last known to hold nothing newer.
    pub(crate) store_age: Option<Duration>,
    /// Time since the configuration in force was taken into use.
    pub(crate) configuration_age: Option<Duration>,
    /// Time since a table of owners of keys last changed.
    pub(crate) owners_age: Option<Duration>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("ragworthub"),
            responses: Family::default(),
            refusals: Family::default(),
            failures: Family::default(),
            retries: Family::default(),
            times: Family::new_with_constructor(|| Histogram::new(TIME_BOUNDS)),
            configuration: Gauge::default(),
            upstreams: Gauge::default(),
            hosts: Gauge::default(),
            grantor: Gauge::default(),
            degraded: Gauge::default(),
            store_age: Gauge::default(),
            configuration_age: Gauge::default(),
            owners_age: Gauge::default(),
        };
        let r = &mut metrics.registry;
        r.register(
            "answers",
            "Answers of upstreams by route and status",
            metrics.responses.clone(),
        );
        r.register(
            "refusals",
            "Requests without an upstream's answer by reason",
            metrics.refusals.clone(),
        );
        r.register("failures", "Attempts that failed by reason", metrics.failures.clone());
        r.register(
            "retries",
            "Further attempts by the reason of the last failure",
            metrics.retries.clone(),
        );
        r.register(
            "answer_seconds",
            "Time to the head of an answer by route",
            metrics.times.clone(),
        );
        for (name, help, gauge) in [
            (
                "configuration_version",
                "Version of the configuration in force",
                &metrics.configuration,
            ),
            ("upstreams", "Upstreams known", &metrics.upstreams),
            ("hosts", "Hosts known", &metrics.hosts),
            ("grantor", "1 while this host grants keys", &metrics.grantor),
            (
                "store_disturbed",
                "1 after a slow or failed call to the store",
                &metrics.degraded,
            ),
        ] {
            r.register(name, help, gauge.clone());
        }
        for (name, help, gauge) in [
            (
                "store_age_seconds",
                "Time since this host last knew all that the store holds; -1 before",
                &metrics.store_age,
            ),
            (
                "configuration_age_seconds",
                "Time since the configuration in force was taken into use; -1 without one",
                &metrics.configuration_age,
            ),
            (
                "owners_age_seconds",
                "Time since owners of keys last changed; -1 without any",
                &metrics.owners_age,
            ),
        ] {
            r.register(name, help, gauge.clone());
        }
        metrics
    }

    pub(crate) fn count_response(&self, route: &RouteName, status: u16) {
        let labels = RouteStatus {
            route: route.clone(),
            status,
        };
        self.responses.get_or_create(&labels).inc();
    }

    pub(crate) fn observe_time(&self, route: &RouteName, time: Duration) {
        let labels = OfRoute { route: route.clone() };
        self.times.get_or_create(&labels).observe(time.as_secs_f64());
    }

    pub(crate) fn count_refusal(&self, reason: Reason) {
        self.refusals
            .get_or_create(&OfReason {
                reason: reason.as_str(),
            })
            .inc();
    }

    pub(crate) fn count_failure(&self, reason: Reason) {
        self.failures
            .get_or_create(&OfReason {
                reason: reason.as_str(),
            })
            .inc();
    }

    pub(crate) fn count_retry(&self, reason: Reason) {
        self.retries
            .get_or_create(&OfReason {
                reason: reason.as_str(),
            })
            .inc();
    }

    /// Writes all metrics as text, with what the host knows now.
    pub(crate) fn render(&self, snapshot: StateSnapshot) -> String {
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.configuration
            .set(i64::try_from(snapshot.configuration).unwrap_or(i64::MAX));
        self.upstreams.set(count(snapshot.upstreams));
        self.hosts.set(count(snapshot.hosts));
        self.grantor.set(snapshot.is_grantor.into());
        self.degraded.set(snapshot.is_degraded.into());
        let seconds = |age: Option<Duration>| age.map_or(UNKNOWN_AGE, |age| age.as_secs_f64());
        self.store_age.set(seconds(snapshot.store_age));
        self.configuration_age.set(seconds(snapshot.configuration_age));
        self.owners_age.set(seconds(snapshot.owners_age));
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("a string takes any text");
        text
    }
}
