//! What the process knows, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use slog::Logger;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::connections::Connections;
use super::counting::unix_time;
use super::feed::Feed;
use super::grants::Grants;
use super::peers::Outbox;
use crate::budget::{ColdLimiter, ColdQuota, RetryBudget, RetryLimits};
use crate::catalog::{Catalog, Pool, Route};
use crate::counts::ProcessCounts;
use crate::fleet::{Fleet, Suspects, Upstream};
use crate::keys::{HostIncarnation, KeyTable};
use crate::platform::{Bounds, Store};
use crate::relay::Topic;
use crate::settings::Settings;
use crate::telemetry::{Metrics, StateSnapshot};
use crate::types::{HostName, PoolName, RouteName, UpstreamName, Zone};

/// Weight of one answer in the moving average of a route's time, in answers.
const TYPICAL_WEIGHT: f64 = 0.05;
/// Least time between two reads of the store because of upstreams that don't hold a key: all keys
/// of a lost owner are refused at once.
const REFRESH_PERIOD: Duration = Duration::from_millis(400);
/// Time after which a move of keys waits for more than running work, mostly for a lost owner.
const MOVE_TIME: Duration = Duration::from_millis(600);
/// Part of a route's objective that is taken as its usual time before there is an answer.
const TYPICAL_START: f64 = 0.3;

/// What a host says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Presence {
    pub(crate) peers: SocketAddr,
    pub(crate) zone: Zone,
    #[serde(default)]
    pub(crate) millicores: u32,
}

/// What this host has seen of a route.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteStats {
    /// Usual time of an answer in milliseconds.
    typical: Option<f64>,
    /// What each target lacks of its share, for a smooth weighted choice.
    lacks: Vec<f64>,
}

/// All state of the process.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    /// Start of the process by the steady clock, and in Unix milliseconds.
    pub(crate) started: Instant,
    incarnation: u64,
    pub(crate) bounds: Bounds,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) store: Store,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) fleet: RefCell<Fleet>,
    /// The list of upstreams has been read at least once.
    pub(crate) fleet_known: Cell<bool>,
    pub(crate) hosts: RefCell<BTreeMap<HostName, Presence>>,
    pub(crate) tables: RefCell<BTreeMap<PoolName, Rc<KeyTable>>>,
    /// When keys without a ready owner were first seen so, by pool and fence.
    moving: RefCell<BTreeMap<(PoolName, u64), Instant>>,
    /// Woken when a key table changes.
    pub(crate) tables_changed: Notify,
    pub(crate) feed: Feed,
    pub(crate) catalog_changed: Cell<Option<Instant>>,
    owners_changed: Cell<Option<Instant>>,
    owners_refreshed: Cell<Option<Instant>>,
    pub(crate) connections: Connections,
    pub(crate) budgets: RefCell<BTreeMap<PoolName, RetryBudget>>,
    pub(crate) cold_limiters: RefCell<BTreeMap<UpstreamName, ColdLimiter>>,
    pub(crate) routes: RefCell<BTreeMap<RouteName, RouteStats>>,
    /// Requests by pool and key since the last message to the grantor.
    pub(crate) key_counts: RefCell<BTreeMap<PoolName, BTreeMap<u16, u32>>>,
    pub(crate) grants: Grants,
    pub(crate) suspects: RefCell<Suspects>,
    pub(crate) outbox: Outbox,
    pub(crate) counts: RefCell<ProcessCounts>,
    pub(crate) counts_changed: Cell<bool>,
    /// Key under which this process saves its counts.
    pub(crate) counts_key: RefCell<String>,
    pub(crate) rng: RefCell<Pcg64Mcg>,
    pub(crate) is_stopping: Cell<bool>,
    /// Connections of callers that are open.
    pub(crate) caller_connections: Cell<usize>,
    /// Tells the connections of callers to end after the request in progress.
    pub(crate) drain_started: Notify,
    pub(crate) is_draining: Cell<bool>,
}

impl Gateway {
    pub(crate) fn new(settings: Settings, log: Logger) -> Self {
        let bounds = settings.bounds();
        let mut rng = Pcg64Mcg::from_rng(&mut rand::rng());
        Self {
            store: Store::new(settings.store),
            bounds,
            log,
            settings,
            started: Instant::now(),
            incarnation: u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX),
            metrics: Metrics::new(),
            catalog: RefCell::default(),
            fleet: RefCell::default(),
            fleet_known: Cell::new(false),
            hosts: RefCell::default(),
            tables: RefCell::default(),
            moving: RefCell::default(),
            tables_changed: Notify::new(),
            feed: Feed::new(rng.random()),
            catalog_changed: Cell::default(),
            owners_changed: Cell::default(),
            owners_refreshed: Cell::default(),
            connections: Connections::default(),
            budgets: RefCell::default(),
            cold_limiters: RefCell::default(),
            routes: RefCell::default(),
            key_counts: RefCell::default(),
            grants: Grants::default(),
            suspects: RefCell::default(),
            outbox: Outbox::default(),
            counts: RefCell::default(),
            counts_changed: Cell::new(false),
            counts_key: RefCell::default(),
            rng: RefCell::new(rng),
            is_stopping: Cell::new(false),
            caller_connections: Cell::new(0),
            drain_started: Notify::new(),
            is_draining: Cell::new(false),
        }
    }

    /// Gives this run of the host's process.
    pub(crate) fn incarnation_id(&self) -> HostIncarnation {
        HostIncarnation {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Tells whether requests can be served: configuration, upstreams and owners of keys are known.
    pub(crate) fn is_ready(&self) -> bool {
        let catalog = self.catalog.borrow();
        let Some(catalog) = catalog.as_ref() else {
            return false;
        };
        let tables = self.tables.borrow();
        let mut sharded = catalog.pools.values().filter(|pool| pool.is_sharded);
        let has_owners = sharded.all(|pool| tables.contains_key(&pool.name));
        self.fleet_known.get() && has_owners && !self.is_stopping.get()
    }

    /// Gives what this host knows, for its metrics.
    pub(crate) fn state_snapshot(&self) -> StateSnapshot {
        let now = Instant::now();
        let age = |at: &Cell<Option<Instant>>| at.get().map(|at| now.saturating_duration_since(at));
        StateSnapshot {
            store_age: self.feed.schedule.get().age(now),
            configuration_age: age(&self.catalog_changed),
            owners_age: age(&self.owners_changed),
            configuration: self.catalog.borrow().as_ref().map_or(0, |catalog| catalog.version.0),
            upstreams: self.fleet.borrow().len(),
            hosts: self.hosts.borrow().len(),
            is_grantor: self.grants.is_grantor(),
            is_degraded: self.store.is_degraded(now),
        }
    }

    /// Takes a newer table of a pool's keys into use.
    pub(crate) fn install_table(&self, now: Instant, table: KeyTable) {
        let mut moving = self.moving.borrow_mut();
        let pending = |fence: u64| {
            table
                .assignments
                .iter()
                .any(|assignment| !assignment.ready && assignment.fence == fence)
        };
        moving.retain(|(pool, fence), _| *pool != table.pool || pending(*fence));
        for assignment in table.assignments.iter().filter(|assignment| !assignment.ready) {
            moving.entry((table.pool.clone(), assignment.fence)).or_insert(now);
        }
        self.tables.borrow_mut().insert(table.pool.clone(), Rc::new(table));
        self.owners_changed.set(Some(now));
        self.tables_changed.notify_waiters();
    }

    /// Tells whether keys are on their way to a new owner and should be there soon.
    pub(crate) fn is_moving(&self, now: Instant, pool: &PoolName, fence: u64) -> bool {
        let since = self.moving.borrow().get(&(pool.clone(), fence)).copied();
        since.is_some_and(|since| now < since + MOVE_TIME)
    }

    /// Reads the owners of keys anew, as an upstream said that it doesn't hold a key.
    pub(crate) fn request_owner_refresh(&self, now: Instant) {
        if self.owners_refreshed.get().is_none_or(|at| now >= at + REFRESH_PERIOD) {
            self.owners_refreshed.set(Some(now));
            self.feed.request_read(Topic::Hosts);
        }
    }

    /// Number of hosts that share the limits, this one included.
    pub(crate) fn host_count(&self) -> usize {
        self.hosts.borrow().len().max(1)
    }

    pub(crate) fn retry_limits(&self) -> RetryLimits {
        RetryLimits {
            window: self.bounds.retry_window,
            ratio: self.bounds.retry_ratio,
            extra: self.bounds.retry_extra,
        }
    }

    pub(crate) fn record_request(&self, now: Instant, pool: &PoolName) {
        let mut budgets = self.budgets.borrow_mut();
        budgets
            .entry(pool.clone())
            .or_default()
            .record_request(now, &self.retry_limits());
    }

    /// Takes a second send at a pool from this host's share.
    pub(crate) fn try_take_retry(&self, now: Instant, pool: &PoolName) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(pool.clone()).or_default();
        budget.try_take(now, &self.retry_limits(), self.host_count())
    }

    /// Tells whether an upstream has a connection for one more request, and bears it if it is cold.
    pub(crate) fn has_room(&self, now: Instant, pool: &Pool, upstream: &Upstream) -> bool {
        self.admits_cold(now, pool, upstream)
            && self
                .connections
                .has_room(&upstream.announcement.upstream, self.connection_limit(pool))
    }

    /// Connections to one upstream that this host may open.
    pub(crate) fn connection_limit(&self, pool: &Pool) -> u32 {
        // One is left for orders about keys.
        let hosts = u32::try_from(self.host_count()).unwrap_or(u32::MAX);
        ((pool.connections / hosts).saturating_sub(1)).max(1)
    }

    pub(crate) fn admits_cold(&self, now: Instant, pool: &Pool, upstream: &Upstream) -> bool {
        if !upstream.is_cold(now) {
            return true;
        }
        let bound = pool.cold_rate * self.bounds.cold_factor + self.bounds.cold_extra;
        let hosts: Vec<HostName> = self.hosts.borrow().keys().cloned().collect();
        let quota = ColdQuota::of_host(bound, &hosts, &self.settings.host, &upstream.announcement.upstream);
        let limiters = self.cold_limiters.borrow();
        limiters
            .get(&upstream.announcement.upstream)
            .map_or(quota.0 > 0, |limiter| limiter.admits(now, quota))
    }

    /// Counts a request for an upstream from its choice on: until it is sent, others are chosen.
    pub(crate) fn reserve(&self, now: Instant, upstream: &UpstreamName) {
        let mut fleet = self.fleet.borrow_mut();
        let Some(entry) = fleet.get_mut(upstream) else {
            return;
        };
        entry.load.in_flight += 1;
        entry.health.start();
        if entry.is_cold(now) {
            let mut limiters = self.cold_limiters.borrow_mut();
            limiters.entry(upstream.clone()).or_default().record_sent(now);
        } else if !self.cold_limiters.borrow().is_empty() {
            self.cold_limiters.borrow_mut().remove(upstream);
        }
    }

    /// Gives the usual time of a route's answers.
    pub(crate) fn typical_latency(&self, route: &Route) -> Duration {
        let routes = self.routes.borrow();
        let typical = routes.get(&route.name).and_then(|stats| stats.typical);
        typical.map_or(route.objective.mul_f64(TYPICAL_START), |ms| {
            Duration::from_secs_f64(ms / 1e3)
        })
    }

    /// Takes in the time of an answer; gives its ratio to the usual one.
    pub(crate) fn record_latency(&self, route: &Route, time: Duration) -> f64 {
        let mut routes = self.routes.borrow_mut();
        let stats = routes.entry(route.name.clone()).or_default();
        let ms = time.as_secs_f64() * 1e3;
        let typical = stats.typical.get_or_insert(ms);
        *typical += TYPICAL_WEIGHT * (ms - *typical);
        ms / typical.max(0.1)
    }

    /// Chooses the target whose share lacks most, so that each gets its weight exactly.
    pub(crate) fn choose_target(&self, route: &Route) -> Option<PoolName> {
        if let [only] = route.targets.as_slice() {
            return Some(only.pool.clone());
        }
        let total: f64 = route.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut routes = self.routes.borrow_mut();
        let stats = routes.entry(route.name.clone()).or_default();
        stats.lacks.resize(route.targets.len(), 0.0);
        for (lack, target) in stats.lacks.iter_mut().zip(&route.targets) {
            *lack += f64::from(target.weight) / total.max(1.0);
        }
        let most = (0..stats.lacks.len()).max_by(|&a, &b| stats.lacks[a].total_cmp(&stats.lacks[b]))?;
        stats.lacks[most] -= 1.0;
        Some(route.targets[most].pool.clone())
    }

    pub(crate) fn count_key_request(&self, pool: &PoolName, key: u16) {
        let mut counts = self.key_counts.borrow_mut();
        *counts.entry(pool.clone()).or_default().entry(key).or_default() += 1;
    }
}
