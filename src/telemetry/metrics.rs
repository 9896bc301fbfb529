//! Counters, gauges and histograms of a gateway.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::memory::Holder;
use crate::types::{Reason, RouteName, StoreEra, TenantName};

/// Upper bounds of the latency histogram's buckets, from a fast response to the longest timeout.
const LATENCY_BUCKETS_SECONDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 8.0];

/// Limit on the number of tenants with metrics of their own.
const TENANT_SERIES_MAX: usize = 200;
/// Exported age of something that isn't known yet.
const UNKNOWN_AGE_SECONDS: f64 = -1.0;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RouteStatusLabels {
    route: RouteName,
    status: u16,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RouteLabels {
    route: RouteName,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct MessageLabels {
    kind: &'static str,
    direction: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ConnectionLabels {
    connection: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TunnelLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ExtremeLabels {
    upstream: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct HolderLabels {
    holder: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PeerLabels {
    peer: &'static str,
}

/// Calls to the store by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreCalls {
    calls: Family<CallLabels, Counter>,
    exceeded_limits: Family<PeerLabels, Counter>,
}

impl StoreCalls {
    pub(crate) fn count(&self, call: &'static str) {
        self.calls.get_or_create(&CallLabels { call }).inc();
    }

    /// Counts a limit on what the store may send that it exceeded.
    pub(crate) fn count_exceeded_limit(&self) {
        self.exceeded_limits.get_or_create(&PeerLabels { peer: "store" }).inc();
    }
}

/// Whether a message between hosts was sent or received by this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Sent,
    Received,
}

/// What became of a tunnel: the first two at the host that asked for it, the others at the host that was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelOutcome {
    Opened,
    Failed,
    Served,
    Refused,
}

impl TunnelOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Failed => "failed",
            Self::Served => "served",
            Self::Refused => "refused",
        }
    }
}

/// Metrics of a gateway.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    responses: Family<RouteStatusLabels, Counter>,
    refusals: Family<ReasonLabels, Counter>,
    failures: Family<ReasonLabels, Counter>,
    retries: Family<ReasonLabels, Counter>,
    latencies: Family<RouteLabels, Histogram>,
    /// Times from the head of a request to the end of its body.
    body_times: Histogram,
    crashes: Counter,
    /// Datagrams between hosts, and their bytes.
    messages: Family<MessageLabels, Counter>,
    message_bytes: Family<MessageLabels, Counter>,
    store_calls: StoreCalls,
    lease_calls: Family<CallLabels, Counter>,
    connections: Family<ConnectionLabels, Counter>,
    tunnels: Family<TunnelLabels, Counter>,
    closed_callers: Family<ReasonLabels, Counter>,
    key_moves: Counter,
    /// Service times learned of the fastest and the slowest upstream.
    learned_times: Family<ExtremeLabels, Gauge>,
    tenants: Family<TenantLabels, Counter>,
    /// Tenants with a series of their own.
    known_tenants: RefCell<BTreeSet<TenantName>>,
    /// Bytes held for callers and upstreams.
    held_bytes: Family<HolderLabels, Gauge>,
    memory_limit: Gauge,
    caller_connections: Gauge,
    configuration: Gauge,
    upstreams: Gauge,
    hosts: Gauge,
    grantor: Gauge,
    degraded: Gauge,
    store_era: Gauge,
    links_cut: Gauge,
    /// In seconds.
    store_age: Gauge<f64, AtomicU64>,
    configuration_age: Gauge<f64, AtomicU64>,
    owners_age: Gauge<f64, AtomicU64>,
}

/// State of a host at the time of a scrape.
#[derive(Clone, Debug, Default)]
pub(crate) struct StateSnapshot {
    /// Version of the configuration in force; 0 if there is none.
    pub(crate) configuration: u64,
    pub(crate) upstreams: usize,
    pub(crate) hosts: usize,
    pub(crate) is_grantor: bool,
    pub(crate) is_degraded: bool,
    pub(crate) store_era: StoreEra,
    /// This host reaches no upstream itself.
    pub(crate) is_cut: bool,
    /// Lowest and highest service time learned of an upstream, in percent of the average of its pool.
    pub(crate) learned_times: Option<(u16, u16)>,
    /// Bytes held by purpose.
    pub(crate) held: BTreeMap<Holder, usize>,
    pub(crate) memory_limit: usize,
    /// Number of open connections of callers.
    pub(crate) callers: usize,
    /// Time since this host last knew all that the store holds.
    pub(crate) store_age: Option<Duration>,
    /// Time since the current configuration came into force.
    pub(crate) configuration_age: Option<Duration>,
    /// Time since the owners of keys last changed in any pool.
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
            latencies: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS_SECONDS)),
            body_times: Histogram::new(LATENCY_BUCKETS_SECONDS),
            crashes: Counter::default(),
            messages: Family::default(),
            message_bytes: Family::default(),
            store_calls: StoreCalls::default(),
            lease_calls: Family::default(),
            connections: Family::default(),
            tunnels: Family::default(),
            closed_callers: Family::default(),
            key_moves: Counter::default(),
            learned_times: Family::default(),
            tenants: Family::default(),
            known_tenants: RefCell::default(),
            held_bytes: Family::default(),
            memory_limit: Gauge::default(),
            caller_connections: Gauge::default(),
            configuration: Gauge::default(),
            upstreams: Gauge::default(),
            hosts: Gauge::default(),
            grantor: Gauge::default(),
            degraded: Gauge::default(),
            store_era: Gauge::default(),
            links_cut: Gauge::default(),
            store_age: Gauge::default(),
            configuration_age: Gauge::default(),
            owners_age: Gauge::default(),
        };
        let r = &mut metrics.registry;
        r.register(
            "answers",
            "Upstream responses by route and status",
            metrics.responses.clone(),
        );
        r.register(
            "refusals",
            "Requests without an upstream response by reason",
            metrics.refusals.clone(),
        );
        r.register("failures", "Failed attempts by reason", metrics.failures.clone());
        r.register(
            "retries",
            "Retries by the reason of the preceding failure",
            metrics.retries.clone(),
        );
        r.register(
            "answer_seconds",
            "Time to the response head by route",
            metrics.latencies.clone(),
        );
        r.register(
            "crashes",
            "Crashes of upstreams with a request that may have caused them",
            metrics.crashes.clone(),
        );
        metrics.register_costs();
        metrics.register_holdings();
        let r = &mut metrics.registry;
        for (name, help, gauge) in [
            (
                "configuration_version",
                "Version of the configuration in force",
                &metrics.configuration,
            ),
            ("upstreams", "Known upstreams", &metrics.upstreams),
            ("hosts", "Known hosts", &metrics.hosts),
            ("grantor", "1 while this host is the grantor", &metrics.grantor),
            (
                "store_disturbed",
                "1 after a slow or failed call to the store",
                &metrics.degraded,
            ),
            (
                "store_era",
                "Era of the store; it rises when the store comes back from an older copy",
                &metrics.store_era,
            ),
            (
                "links_cut",
                "1 while this host reaches no upstream itself",
                &metrics.links_cut,
            ),
        ] {
            r.register(name, help, gauge.clone());
        }
        metrics.register_ages();
        metrics
    }

    /// Registers the ages of what this host knows.
    fn register_ages(&mut self) {
        for (name, help, gauge) in [
            (
                "store_age_seconds",
                "Time since this host last knew all that the store holds; -1 if it never did",
                &self.store_age,
            ),
            (
                "configuration_age_seconds",
                "Time since the configuration came into force; -1 without one",
                &self.configuration_age,
            ),
            (
                "owners_age_seconds",
                "Time since the owners of keys last changed; -1 without any",
                &self.owners_age,
            ),
        ] {
            self.registry.register(name, help, gauge.clone());
        }
    }

    /// Registers the counters of what hosts exchange with each other, the store and upstreams.
    fn register_costs(&mut self) {
        let r = &mut self.registry;
        r.register(
            "messages",
            "Datagrams between hosts by kind and direction",
            self.messages.clone(),
        );
        r.register(
            "message_bytes",
            "Bytes of datagrams between hosts by kind and direction",
            self.message_bytes.clone(),
        );
        r.register(
            "exceeded_limits",
            "Limits on what peers send that were exceeded",
            self.store_calls.exceeded_limits.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the store by kind",
            self.store_calls.calls.clone(),
        );
        r.register(
            "lease_calls",
            "Calls to upstreams about keys by kind",
            self.lease_calls.clone(),
        );
        r.register(
            "attempt_connections",
            "Attempts by whether they used a new or an idle connection",
            self.connections.clone(),
        );
        r.register(
            "tunnels",
            "Connections to upstreams through other hosts, and those opened for other hosts, by outcome",
            self.tunnels.clone(),
        );
    }

    /// Registers what is held for callers and upstreams, what was closed for want of room, caps, and placement.
    fn register_holdings(&mut self) {
        self.registry.register(
            "body_seconds",
            "Time from the head of a request to the end of its body",
            self.body_times.clone(),
        );
        let r = &mut self.registry;
        r.register(
            "closed_callers",
            "Connections of callers that were closed or refused for want of room, by reason",
            self.closed_callers.clone(),
        );
        r.register(
            "key_moves",
            "Moves of keys that this host has planned",
            self.key_moves.clone(),
        );
        r.register(
            "learned_service_time_percent",
            "Learned service time of the fastest and the slowest upstream, relative to its pool",
            self.learned_times.clone(),
        );
        r.register(
            "tenant_requests",
            "Requests by tenant and outcome at the cap",
            self.tenants.clone(),
        );
        r.register(
            "held_bytes",
            "Memory held for callers and upstreams by purpose",
            self.held_bytes.clone(),
        );
        r.register(
            "held_bytes_limit",
            "Memory that may be held for callers and upstreams",
            self.memory_limit.clone(),
        );
        r.register(
            "caller_connections",
            "Open connections of callers",
            self.caller_connections.clone(),
        );
    }

    /// Counts a connection of a caller that was closed or refused for want of room.
    pub(crate) fn count_closed_caller(&self, reason: &'static str) {
        self.closed_callers.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts moves of keys that this host has planned.
    pub(crate) fn count_moves(&self, moves: usize) {
        self.key_moves.inc_by(moves as u64);
    }

    /// Counts a request of a tenant, which its cap admits or refuses for a reason. Tenants beyond a number share a series.
    pub(crate) fn count_tenant(&self, tenant: &TenantName, refusal: Option<Reason>) {
        let mut known = self.known_tenants.borrow_mut();
        let has_series = known.contains(tenant) || (known.len() < TENANT_SERIES_MAX && known.insert(tenant.clone()));
        let labels = TenantLabels {
            tenant: if has_series { tenant.as_str() } else { "other" }.to_owned(),
            outcome: refusal.map_or("admitted", Reason::as_str),
        };
        self.tenants.get_or_create(&labels).inc();
    }

    pub(crate) fn count_response(&self, route: &RouteName, status: u16) {
        let labels = RouteStatusLabels {
            route: route.clone(),
            status,
        };
        self.responses.get_or_create(&labels).inc();
    }

    pub(crate) fn observe_time(&self, route: &RouteName, time: Duration) {
        let labels = RouteLabels { route: route.clone() };
        self.latencies.get_or_create(&labels).observe(time.as_secs_f64());
    }

    pub(crate) fn observe_body_time(&self, time: Duration) {
        self.body_times.observe(time.as_secs_f64());
    }

    pub(crate) fn count_refusal(&self, reason: Reason) {
        self.refusals
            .get_or_create(&ReasonLabels {
                reason: reason.as_str(),
            })
            .inc();
    }

    pub(crate) fn count_failure(&self, reason: Reason) {
        self.failures
            .get_or_create(&ReasonLabels {
                reason: reason.as_str(),
            })
            .inc();
    }

    pub(crate) fn count_retry(&self, reason: Reason) {
        self.retries
            .get_or_create(&ReasonLabels {
                reason: reason.as_str(),
            })
            .inc();
    }

    /// Counts a datagram that went to, or came from, a number of hosts.
    pub(crate) fn count_message(&self, direction: Direction, kind: &'static str, bytes: usize, hosts: usize) {
        let direction = match direction {
            Direction::Sent => "sent",
            Direction::Received => "received",
        };
        let labels = MessageLabels { kind, direction };
        let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
        self.messages.get_or_create(&labels).inc_by(count(hosts));
        self.message_bytes.get_or_create(&labels).inc_by(count(bytes * hosts));
    }

    /// Returns the counters of calls to the store.
    pub(crate) fn store_calls(&self) -> StoreCalls {
        self.store_calls.clone()
    }

    pub(crate) fn count_lease_call(&self, call: &'static str) {
        self.lease_calls.get_or_create(&CallLabels { call }).inc();
    }

    /// Counts the connection of an attempt.
    pub(crate) fn count_connection(&self, is_new: bool) {
        let connection = if is_new { "new" } else { "idle" };
        self.connections.get_or_create(&ConnectionLabels { connection }).inc();
    }

    /// Counts a connection to an upstream through another host, or for one.
    pub(crate) fn count_tunnel(&self, outcome: TunnelOutcome) {
        let outcome = outcome.as_str();
        self.tunnels.get_or_create(&TunnelLabels { outcome }).inc();
    }

    /// Counts a peer that exceeded a limit on what it may send.
    pub(crate) fn count_exceeded_limit(&self, peer: &'static str) {
        let limits = &self.store_calls.exceeded_limits;
        limits.get_or_create(&PeerLabels { peer }).inc();
    }

    pub(crate) fn count_crash(&self) {
        self.crashes.inc();
    }

    /// Sets the gauges from the snapshot and encodes all metrics in the text format.
    pub(crate) fn render(&self, snapshot: StateSnapshot) -> String {
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.configuration
            .set(i64::try_from(snapshot.configuration).unwrap_or(i64::MAX));
        self.upstreams.set(count(snapshot.upstreams));
        self.hosts.set(count(snapshot.hosts));
        self.grantor.set(snapshot.is_grantor.into());
        self.degraded.set(snapshot.is_degraded.into());
        self.store_era
            .set(i64::try_from(snapshot.store_era.0).unwrap_or(i64::MAX));
        self.links_cut.set(snapshot.is_cut.into());
        for (holder, bytes) in snapshot.held {
            let labels = HolderLabels {
                holder: holder.as_str(),
            };
            self.held_bytes.get_or_create(&labels).set(count(bytes));
        }
        let (fastest, slowest) = snapshot.learned_times.unwrap_or((100, 100));
        for (upstream, percent) in [("fastest", fastest), ("slowest", slowest)] {
            self.learned_times
                .get_or_create(&ExtremeLabels { upstream })
                .set(percent.into());
        }
        self.memory_limit.set(count(snapshot.memory_limit));
        self.caller_connections.set(count(snapshot.callers));
        let seconds = |age: Option<Duration>| age.map_or(UNKNOWN_AGE_SECONDS, |age| age.as_secs_f64());
        self.store_age.set(seconds(snapshot.store_age));
        self.configuration_age.set(seconds(snapshot.configuration_age));
        self.owners_age.set(seconds(snapshot.owners_age));
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
