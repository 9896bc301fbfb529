//! Metrics in the Prometheus text format.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::types::{Reason, RouteName, UpstreamName, Verdict};

/// Upper bounds of the latency buckets, in seconds; finest around the 14 ms target.
const LATENCY_BOUNDS: [f64; 12] = [0.001, 0.002, 0.004, 0.007, 0.01, 0.014, 0.02, 0.04, 0.1, 0.4, 1.0, 4.0];

// The labels hold shared names, so that counting a request allocates nothing.

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteVerdict {
    route: RouteName,
    verdict: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteReason {
    route: RouteName,
    reason: &'static str,
}

/// The route is empty for a request that none matched.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Refused {
    route: String,
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OfRoute {
    route: RouteName,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OfUpstream {
    upstream: UpstreamName,
}

/// Counters, gauges and histograms of a host.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<RouteVerdict, Counter>,
    refusals: Family<Refused, Counter>,
    retries: Family<RouteReason, Counter>,
    hedges: Family<OfRoute, Counter>,
    latency: Family<OfUpstream, Histogram>,
    in_flight: Family<OfUpstream, Gauge>,
    limit: Family<OfUpstream, Gauge>,
    credits: Family<OfUpstream, Gauge>,
    skipped: Counter,
    folded: Gauge,
    lease: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("ragworthub"),
            requests: Family::default(),
            refusals: Family::default(),
            retries: Family::default(),
            hedges: Family::default(),
            latency: Family::new_with_constructor(|| Histogram::new(LATENCY_BOUNDS)),
            in_flight: Family::default(),
            limit: Family::default(),
            credits: Family::default(),
            skipped: Counter::default(),
            folded: Gauge::default(),
            lease: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests by route and verdict", self.requests.clone());
        r.register(
            "refusals",
            "Refused requests by route and reason",
            self.refusals.clone(),
        );
        r.register(
            "retries",
            "Further attempts by route and reason of the last failure",
            self.retries.clone(),
        );
        r.register(
            "upstream_limit",
            "Concurrency limit of an upstream over all hosts",
            self.limit.clone(),
        );
        r.register(
            "upstream_credits",
            "Slots of an upstream that this host may use",
            self.credits.clone(),
        );
        r.register(
            "hedges",
            "Second attempts beside a slow one, by route",
            self.hedges.clone(),
        );
        r.register(
            "upstream_latency_seconds",
            "Time to the head of an answer",
            self.latency.clone(),
        );
        r.register(
            "upstream_in_flight",
            "Attempts in flight by upstream",
            self.in_flight.clone(),
        );
        r.register(
            "log_records_skipped",
            "Log records that could not be decoded",
            self.skipped.clone(),
        );
        r.register(
            "log_folded_offset",
            "Offset of the last folded record",
            self.folded.clone(),
        );
        r.register(
            "routing_lease",
            "1 while the host holds a routing lease",
            self.lease.clone(),
        );
    }

    pub(crate) fn count_request(&self, route: &RouteName, verdict: Verdict) {
        let labels = RouteVerdict {
            route: route.clone(),
            verdict: verdict.as_str(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a refusal; requests that no route matches count under an empty route.
    pub(crate) fn count_refusal(&self, route: Option<&RouteName>, reason: Reason) {
        let route = route.map(ToString::to_string).unwrap_or_default();
        self.refusals
            .get_or_create(&Refused {
                route,
                reason: reason.as_str(),
            })
            .inc();
    }

    pub(crate) fn count_retry(&self, route: &RouteName, reason: Reason) {
        let labels = RouteReason {
            route: route.clone(),
            reason: reason.as_str(),
        };
        self.retries.get_or_create(&labels).inc();
    }

    pub(crate) fn count_hedge(&self, route: &RouteName) {
        self.hedges.get_or_create(&OfRoute { route: route.clone() }).inc();
    }

    pub(crate) fn observe_latency(&self, upstream: &UpstreamName, latency: Duration) {
        let labels = OfUpstream {
            upstream: upstream.clone(),
        };
        self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    }

    pub(crate) fn change_in_flight(&self, upstream: &UpstreamName, change: i64) {
        let labels = OfUpstream {
            upstream: upstream.clone(),
        };
        self.in_flight.get_or_create(&labels).inc_by(change);
    }

    /// Sets an upstream's concurrency limit over all hosts and the slots that this host may use.
    pub(crate) fn set_credits(&self, upstream: &UpstreamName, limit: u32, credits: u32) {
        let labels = OfUpstream {
            upstream: upstream.clone(),
        };
        self.limit.get_or_create(&labels).set(limit.into());
        self.credits.get_or_create(&labels).set(credits.into());
    }

    pub(crate) fn count_skipped(&self) {
        self.skipped.inc();
    }

    pub(crate) fn set_folded(&self, offset: u64) {
        self.folded.set(i64::try_from(offset).unwrap_or(i64::MAX));
    }

    pub(crate) fn set_lease(&self, held: bool) {
        self.lease.set(held.into());
    }

    /// Writes all metrics as text.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("a string takes any text");
        text
    }
}
