//! State of the process, shared by its tasks.

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
use super::crashes::CrashWatch;
use super::feed::Feed;
use super::grants::Grants;
use super::links::LinkWatch;
use super::peers::Outbox;
use super::stop::ShutdownSchedule;
use super::tenancy::{Tenancy, accepts_credentials};
use super::tunnels::has_tunnel_host;
use crate::budget::{ClassMix, ColdLimiter, ColdQuota, Division, RequestClass, RetryBudget, RetryLimits};
use crate::catalog::{Catalog, Pool, Route};
use crate::counts::ProcessCounts;
use crate::fleet::{Fleet, Observations, Runs, Speeds, Suspects, Upstream};
use crate::keys::{HostIncarnation, KeyTable};
use crate::memory::{CallerTable, Holder, MemoryBudget};
use crate::platform::{Bounds, Store};
use crate::relay::Topic;
use crate::settings::Settings;
use crate::telemetry::{Metrics, StateSnapshot};
use crate::types::{HostName, Offset, PoolName, RouteName, UpstreamName, Zone};

/// Weight of one response in the moving average of a route's latency.
const TYPICAL_LATENCY_WEIGHT: f64 = 0.05;
/// Minimum time between two store reads caused by upstreams that refuse a key: when an owner is lost,
/// requests for all its keys are refused at once.
const OWNER_REFRESH_GAP_MIN: Duration = Duration::from_millis(400);
/// Time in which a change of owners reaches this host after the upstreams have applied it.
const OWNER_CHANGE_TIME: Duration = Duration::from_millis(200);
/// Longest time for which keys without a ready owner count as moving. A longer move waits for more than
/// running requests, mostly for a lost owner.
const MOVE_WINDOW: Duration = Duration::from_millis(600);
/// Time for which a share of the requests for an overloaded owner holds; the grantor repeats it twice a second.
const ADMISSION_TIME: Duration = Duration::from_millis(1_600);
/// Share of a route's latency objective that is assumed as its typical latency before the first response.
const INITIAL_TYPICAL_SHARE: f64 = 0.3;

/// Time for which a host whose entry was removed counts where limits are divided. A running host announces itself again
/// within a second or two.
const DEPARTED_TIME: Duration = Duration::from_secs(5);
/// Part of the longest time that the callers of a route wait, below which a caller has come back after a refusal.
const FIRST_TIMEOUT_SHARE: f64 = 0.97;
/// Size of a request and its response from which on another zone is used only if the own one is much slower.
const LARGE_BYTES: f64 = 3_072.0;
/// Share of the descriptors for connections of callers, and the same share for connections to upstreams. The rest is for
/// listeners, the store, status checks and files.
const CONNECTIONS_SHARE: f64 = 0.45;

/// Entry with which a host announces itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Presence {
    pub(crate) peers: SocketAddr,
    pub(crate) zone: Zone,
    #[serde(default)]
    pub(crate) millicores: u32,
    /// Start of the process in Unix milliseconds, so that a restart on the same host is noticed.
    #[serde(default)]
    pub(crate) incarnation: u64,
}

/// Statistics of the requests of one route at this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteStats {
    /// Typical latency of a response.
    typical_ms: Option<f64>,
    /// Longest time that callers wait.
    longest_timeout: Duration,
    /// Typical size of a request and its response together.
    typical_bytes: Option<f64>,
    /// Deficit of each target, for smooth weighted round robin.
    deficits: Vec<f64>,
}

/// All state of the process.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    /// Start of the process on the monotonic clock.
    pub(crate) started: Instant,
    /// Start of the process in Unix milliseconds.
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
    /// Hosts whose entries were removed a short time ago. They still count where limits are divided among hosts, as a
    /// removal may be late and its host running.
    departed: RefCell<BTreeMap<HostName, Instant>>,
    /// Incarnations of the hosts that have removed their entries.
    pub(crate) removed: RefCell<BTreeMap<HostName, u64>>,
    /// Those that had done so when the store came back from an older copy, which may contain the entries again.
    pub(crate) lost_removals: RefCell<BTreeMap<HostName, u64>>,
    /// Woken when the entry of this host is removed or may be lost in the store.
    pub(crate) entry_lost: Notify,
    pub(crate) tables: RefCell<BTreeMap<PoolName, Rc<KeyTable>>>,
    /// When each assignment without a ready owner was first seen, by pool and fence.
    moving_since: RefCell<BTreeMap<(PoolName, u64), Instant>>,
    /// Woken when a key table changes.
    pub(crate) tables_changed: Notify,
    pub(crate) feed: Feed,
    /// Record of a configuration that can't be decoded and is newer than the one in force.
    pub(crate) unread_catalog: Cell<Option<Offset>>,
    /// When the configuration last changed.
    pub(crate) catalog_changed: Cell<Option<Instant>>,
    /// When the owners of keys last changed.
    owners_changed: Cell<Option<Instant>>,
    /// When a read of the owners of keys was last requested because an upstream refused a key.
    owners_refreshed: Cell<Option<Instant>>,
    /// When an upstream first refused a key since the last refresh of the owners.
    key_refused: Cell<Option<Instant>>,
    pub(crate) connections: Connections,
    pub(crate) budgets: RefCell<BTreeMap<PoolName, RetryBudget>>,
    pub(crate) cold_limiters: RefCell<BTreeMap<UpstreamName, ColdLimiter>>,
    /// Shares of the requests to be admitted for overloaded owners of keys, and when each of them ends.
    admissions: RefCell<BTreeMap<UpstreamName, (f64, Instant)>>,
    /// This host's quotas at cold upstreams, as of the current hosts and configuration.
    cold_quotas: RefCell<BTreeMap<UpstreamName, ColdQuota>>,
    pub(crate) route_stats: RefCell<BTreeMap<RouteName, RouteStats>>,
    /// Recent requests of each sharded pool by class.
    class_mixes: RefCell<BTreeMap<PoolName, ClassMix>>,
    /// Requests by pool and key since the last message to the grantor.
    pub(crate) key_counts: RefCell<BTreeMap<PoolName, BTreeMap<u16, u32>>>,
    pub(crate) grants: Grants,
    pub(crate) tenancy: Tenancy,
    /// Service times that this host has observed since its last message to the grantor.
    pub(crate) observations: RefCell<Observations>,
    /// Speeds of upstreams that the grantor has learned.
    pub(crate) speeds: RefCell<Speeds>,
    pub(crate) runs: RefCell<Runs>,
    pub(crate) suspects: RefCell<Suspects>,
    pub(crate) crash_watch: CrashWatch,
    pub(crate) links: LinkWatch,
    pub(crate) outbox: Outbox,
    pub(crate) counts: RefCell<ProcessCounts>,
    pub(crate) counts_changed: Cell<bool>,
    /// Store key under which this process saves its counts.
    pub(crate) counts_key: RefCell<String>,
    pub(crate) rng: RefCell<Pcg64Mcg>,
    pub(crate) is_stopping: Cell<bool>,
    /// Schedule of the shutdown, once it has started.
    pub(crate) shutdown: Cell<Option<ShutdownSchedule>>,
    /// Memory that may be held for callers and upstreams.
    pub(crate) memory: MemoryBudget,
    /// Open connections of callers, except those that are closing for want of room.
    pub(crate) callers: RefCell<CallerTable>,
    /// Number of open connections of callers.
    pub(crate) caller_connections: Cell<usize>,
    /// Tells the connections of callers to close after the request in progress.
    pub(crate) drain_started: Notify,
    /// Set before `drain_started` is notified, for connections that are accepted afterwards.
    pub(crate) is_draining: Cell<bool>,
    /// Tells the connections of callers that a configuration with other limits on callers is in force.
    pub(crate) limits_changed: Notify,
    /// Tells the requests that have no response yet that this host has to respond now.
    pub(crate) answers_due: Notify,
    /// Set before `answers_due` is notified, for requests that arrive afterwards.
    pub(crate) answers_ended: Cell<bool>,
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a number of descriptors"
)]
fn share_of_descriptors(descriptors: usize) -> usize {
    (descriptors as f64 * CONNECTIONS_SHARE) as usize
}

impl Gateway {
    pub(crate) fn new(settings: Settings, log: Logger) -> Self {
        let bounds = settings.bounds();
        let mut rng = Pcg64Mcg::from_rng(&mut rand::rng());
        let metrics = Metrics::new();
        Self {
            store: Store::new(settings.store, metrics.store_calls()),
            bounds,
            log,
            memory: MemoryBudget::new(settings.memory_bytes()),
            connections: Connections::new(share_of_descriptors(settings.descriptor_limit())),
            settings,
            started: Instant::now(),
            incarnation: u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX),
            metrics,
            catalog: RefCell::default(),
            fleet: RefCell::default(),
            fleet_known: Cell::new(false),
            hosts: RefCell::default(),
            departed: RefCell::default(),
            removed: RefCell::default(),
            lost_removals: RefCell::default(),
            entry_lost: Notify::new(),
            tables: RefCell::default(),
            moving_since: RefCell::default(),
            tables_changed: Notify::new(),
            feed: Feed::new(rng.random()),
            unread_catalog: Cell::default(),
            catalog_changed: Cell::default(),
            owners_changed: Cell::default(),
            owners_refreshed: Cell::default(),
            key_refused: Cell::default(),
            budgets: RefCell::default(),
            cold_limiters: RefCell::default(),
            cold_quotas: RefCell::default(),
            admissions: RefCell::default(),
            route_stats: RefCell::default(),
            class_mixes: RefCell::default(),
            key_counts: RefCell::default(),
            grants: Grants::default(),
            tenancy: Tenancy::default(),
            observations: RefCell::default(),
            speeds: RefCell::default(),
            runs: RefCell::default(),
            suspects: RefCell::default(),
            crash_watch: CrashWatch::default(),
            links: LinkWatch::default(),
            outbox: Outbox::default(),
            counts: RefCell::default(),
            counts_changed: Cell::new(false),
            counts_key: RefCell::default(),
            rng: RefCell::new(rng),
            is_stopping: Cell::new(false),
            shutdown: Cell::default(),
            callers: RefCell::default(),
            caller_connections: Cell::new(0),
            drain_started: Notify::new(),
            is_draining: Cell::new(false),
            limits_changed: Notify::new(),
            answers_due: Notify::new(),
            answers_ended: Cell::new(false),
        }
    }

    /// Returns the incarnation of this process.
    pub(crate) fn incarnation_id(&self) -> HostIncarnation {
        HostIncarnation {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Reports whether requests can be served: the configuration, the upstreams and the owners of all
    /// sharded pools are known, and the host is not stopping. A host that reaches no upstream serves through another one; if
    /// none does, no other host would serve its callers better.
    pub(crate) fn is_ready(&self) -> bool {
        let catalog = self.catalog.borrow();
        let Some(catalog) = catalog.as_ref() else {
            return false;
        };
        let tables = self.tables.borrow();
        let mut sharded = catalog.pools.values().filter(|pool| pool.is_sharded);
        let has_owners = sharded.all(|pool| tables.contains_key(&pool.name));
        let accepts_callers = catalog.tenants.is_none() || accepts_credentials(self);
        self.fleet_known.get() && has_owners && accepts_callers && !self.is_stopping.get()
    }

    /// Reports whether this host reaches no upstream while another host does. If none does, as on machines without processor
    /// time to spare, each host goes on as if its links were sound.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.links.is_cut() && has_tunnel_host(self)
    }

    /// Returns a snapshot of the state for the metrics.
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
            store_era: self.store.era(),
            is_cut: self.links.is_cut(),
            learned_times: self.learned_times(),
            held: Holder::ALL.map(|holder| (holder, self.memory.held(holder))).into(),
            memory_limit: self.memory.total(),
            callers: self.caller_connections.get(),
        }
    }

    /// Returns the lowest and the highest service time learned of an upstream, in percent of the average of its pool.
    fn learned_times(&self) -> Option<(u16, u16)> {
        let speeds = self.speeds.borrow();
        let percents = || speeds.values().flat_map(|pool| pool.percents.values().copied());
        percents().min().zip(percents().max())
    }

    /// Replaces the key table of a pool with a newer one.
    pub(crate) fn install_table(&self, now: Instant, table: KeyTable) {
        let mut moving = self.moving_since.borrow_mut();
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

    /// Reports whether the keys of the assignment with a fence are moving and their new owner is still
    /// expected soon.
    pub(crate) fn is_moving(&self, now: Instant, pool: &PoolName, fence: u64) -> bool {
        let since = self.moving_since.borrow().get(&(pool.clone(), fence)).copied();
        since.is_some_and(|since| now < since + MOVE_WINDOW)
    }

    /// Records that an upstream refused a key that it doesn't hold, as this host believes.
    pub(crate) fn record_refused_key(&self, now: Instant) {
        if self.key_refused.get().is_none() {
            self.key_refused.set(Some(now));
        }
    }

    /// Requests a read of the owners of keys if an upstream has refused a key and no change of the owners has arrived
    /// since. Does nothing if the last such request is too recent.
    pub(crate) fn refresh_owners(&self, now: Instant) {
        let Some(refused) = self.key_refused.get().filter(|at| now >= *at + OWNER_CHANGE_TIME) else {
            return;
        };
        let is_too_early = self
            .owners_refreshed
            .get()
            .is_some_and(|at| now < at + OWNER_REFRESH_GAP_MIN);
        if is_too_early {
            return;
        }
        self.key_refused.set(None);
        if self.owners_changed.get().is_none_or(|changed| changed < refused) {
            self.owners_refreshed.set(Some(now));
            self.feed.request_read(Topic::Hosts);
        }
    }

    /// Returns the number of connections that callers may have open.
    pub(crate) fn caller_limit(&self) -> usize {
        share_of_descriptors(self.settings.descriptor_limit())
    }

    /// Returns the host that grants keys, as the newest key table states it.
    pub(crate) fn find_grantor(&self) -> Option<HostName> {
        let tables = self.tables.borrow();
        let newest = tables.values().max_by_key(|table| table.epoch)?;
        Some(newest.grantor.clone())
    }

    /// Returns the number of hosts that share the limits, including this one.
    pub(crate) fn host_count(&self) -> usize {
        (self.hosts.borrow().len() + self.departed.borrow().len()).max(1)
    }

    /// Reports whether a host has an entry, or had one a short time ago.
    pub(crate) fn knows_host(&self, host: &HostName) -> bool {
        self.hosts.borrow().contains_key(host) || self.departed.borrow().contains_key(host)
    }

    /// Records that the entry of a host was removed. The host of this process announces itself again.
    pub(crate) fn record_departure(&self, now: Instant, host: HostName) {
        if host == self.settings.host {
            self.entry_lost.notify_one();
        }
        self.departed.borrow_mut().insert(host, now);
        self.reset_cold_quotas();
    }

    /// Records that a host has an entry.
    pub(crate) fn record_arrival(&self, host: &HostName) {
        self.departed.borrow_mut().remove(host);
        self.removed.borrow_mut().remove(host);
        self.reset_cold_quotas();
    }

    /// Forgets hosts whose entries have been gone for long enough.
    pub(crate) fn sweep_departed(&self, now: Instant) {
        let count = self.departed.borrow().len();
        self.departed
            .borrow_mut()
            .retain(|_, since| now < *since + DEPARTED_TIME);
        if self.departed.borrow().len() < count {
            self.reset_cold_quotas();
        }
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

    /// Takes a retry from this host's share of a pool's retry budget; returns false if it is used up.
    pub(crate) fn try_take_retry(&self, now: Instant, pool: &PoolName) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(pool.clone()).or_default();
        budget.try_take(now, &self.retry_limits(), self.host_count())
    }

    /// Reports whether an upstream can take one more request: it wants no pause, a connection is available, and
    /// this host's shares of the upstream's own limit and of the limit on cold upstreams have room.
    pub(crate) fn has_room(&self, now: Instant, pool: &Pool, upstream: &Upstream) -> bool {
        upstream.pause_end(now).is_none()
            && self.admits_limited(now, upstream)
            && self.admits_cold(now, pool, upstream)
            && self
                .connections
                .has_room(&upstream.announcement.upstream, self.connection_limit(pool))
    }

    /// Reports whether an upstream names no limit, or this host's share of it has room.
    pub(crate) fn admits_limited(&self, now: Instant, upstream: &Upstream) -> bool {
        let limiter = upstream.limiter.as_ref();
        limiter.is_none_or(|limiter| limiter.admits(now, self.division(upstream.announcement.upstream.as_str())))
    }

    /// Returns how a limit is divided among the hosts.
    pub(crate) fn division(&self, subject: &str) -> Division {
        let (hosts, departed) = (self.hosts.borrow(), self.departed.borrow());
        let hosts = hosts.keys().chain(departed.keys());
        Division::of_host(unix_time(), hosts, &self.settings.host, subject)
    }

    /// Returns the number of connections that this host may open to one upstream for requests.
    pub(crate) fn connection_limit(&self, pool: &Pool) -> u32 {
        // One connection is reserved for lease commands.
        let hosts = u32::try_from(self.host_count()).unwrap_or(u32::MAX);
        ((pool.connections / hosts).saturating_sub(1)).max(1)
    }

    /// Reports whether an upstream is warm, or this host's quota of requests to the cold upstream has room.
    pub(crate) fn admits_cold(&self, now: Instant, pool: &Pool, upstream: &Upstream) -> bool {
        if !upstream.is_cold(now) {
            return true;
        }
        let quota = self.cold_quota(pool, &upstream.announcement.upstream);
        let limiters = self.cold_limiters.borrow();
        limiters
            .get(&upstream.announcement.upstream)
            .map_or(quota.0 > 0, |limiter| limiter.admits(now, quota))
    }

    /// Returns the class of a request of a route: one whose caller waits clearly less long than others do comes back after a
    /// refusal.
    pub(crate) fn classify(&self, route: &Route, priority: u8, caller_timeout: Option<Duration>) -> RequestClass {
        let mut routes = self.route_stats.borrow_mut();
        let stats = routes.entry(route.name.clone()).or_default();
        let timeout = caller_timeout.unwrap_or(route.timeout);
        stats.longest_timeout = stats.longest_timeout.max(timeout);
        RequestClass {
            priority,
            is_first: timeout >= stats.longest_timeout.mul_f64(FIRST_TIMEOUT_SHARE),
        }
    }

    /// Counts a request of a class in the mix of its pool.
    pub(crate) fn record_class(&self, now: Instant, pool: &PoolName, class: RequestClass) {
        let mut mixes = self.class_mixes.borrow_mut();
        let mix = mixes.entry(pool.clone()).or_insert_with(|| ClassMix::new(now));
        mix.record(now, class);
    }

    /// Records which shares of the requests for overloaded owners of keys are to be admitted for a time.
    pub(crate) fn record_admissions(&self, now: Instant, shares: &BTreeMap<UpstreamName, f64>) {
        let mut admissions = self.admissions.borrow_mut();
        admissions.retain(|_, (_, end)| now < *end);
        admissions.extend(
            shares
                .iter()
                .map(|(owner, &share)| (owner.clone(), (share, now + ADMISSION_TIME))),
        );
    }

    /// Decides at random whether a request for an owner of keys is admitted; all are unless the owner is overloaded.
    pub(crate) fn admits_by_share(
        &self,
        now: Instant,
        pool: &PoolName,
        owner: &UpstreamName,
        class: RequestClass,
    ) -> bool {
        let admissions = self.admissions.borrow();
        let share = admissions
            .get(owner)
            .filter(|(_, end)| now < *end)
            .map(|(share, _)| *share);
        let Some(share) = share else {
            return true;
        };
        let mixes = self.class_mixes.borrow();
        let probability = mixes.get(pool).map_or(share, |mix| mix.probability(class, share));
        self.rng.borrow_mut().random_bool(probability.clamp(0.0, 1.0))
    }

    fn cold_quota(&self, pool: &Pool, upstream: &UpstreamName) -> ColdQuota {
        if let Some(&quota) = self.cold_quotas.borrow().get(upstream) {
            return quota;
        }
        let bound = pool.cold_rate * self.bounds.cold_factor + self.bounds.cold_extra;
        let departed = self.departed.borrow();
        let hosts: Vec<HostName> = self.hosts.borrow().keys().chain(departed.keys()).cloned().collect();
        let quota = ColdQuota::of_host(bound, &hosts, &self.settings.host, upstream);
        self.cold_quotas.borrow_mut().insert(upstream.clone(), quota);
        quota
    }

    /// Drops the quotas at cold upstreams, because the hosts or the configuration changed.
    pub(crate) fn reset_cold_quotas(&self) {
        self.cold_quotas.borrow_mut().clear();
    }

    /// Counts a request as in flight at an upstream. It counts as soon as the upstream is chosen, because
    /// other requests choose theirs before this one is sent.
    pub(crate) fn count_in_flight(&self, now: Instant, upstream: &UpstreamName) {
        let mut fleet = self.fleet.borrow_mut();
        let Some(entry) = fleet.get_mut(upstream) else {
            return;
        };
        entry.load.in_flight += 1;
        entry.health.start();
        if let Some(limiter) = &mut entry.limiter {
            limiter.record_sent(now, self.division(upstream.as_str()));
        }
        if entry.is_cold(now) {
            let mut limiters = self.cold_limiters.borrow_mut();
            limiters.entry(upstream.clone()).or_default().record_sent(now);
        } else if !self.cold_limiters.borrow().is_empty() {
            self.cold_limiters.borrow_mut().remove(upstream);
        }
    }

    /// Returns the typical latency of a route.
    pub(crate) fn typical_latency(&self, route: &Route) -> Duration {
        let routes = self.route_stats.borrow();
        let typical = routes.get(&route.name).and_then(|stats| stats.typical_ms);
        typical.map_or(route.objective.mul_f64(INITIAL_TYPICAL_SHARE), |ms| {
            Duration::from_secs_f64(ms / 1e3)
        })
    }

    /// Reports whether a request of a route may be sent to an upstream: unless this host is shutting down, or its
    /// response is expected before the process ends.
    pub(crate) fn admits_before_exit(&self, now: Instant, route: &Route) -> bool {
        let schedule = self.shutdown.get();
        schedule.is_none_or(|schedule| schedule.admits(now, self.typical_latency(route)))
    }

    /// Waits until requests without a response have to get one of this host, because the process is about to end.
    pub(crate) async fn wait_for_answers_end(&self) {
        let due = self.answers_due.notified();
        tokio::pin!(due);
        due.as_mut().enable();
        if !self.answers_ended.get() {
            due.await;
        }
    }

    /// Records the latency of a response and returns its ratio to the route's typical latency.
    pub(crate) fn record_latency(&self, route: &Route, time: Duration) -> f64 {
        let mut routes = self.route_stats.borrow_mut();
        let stats = routes.entry(route.name.clone()).or_default();
        let ms = time.as_secs_f64() * 1e3;
        let typical_ms = stats.typical_ms.get_or_insert(ms);
        *typical_ms += TYPICAL_LATENCY_WEIGHT * (ms - *typical_ms);
        ms / typical_ms.max(0.1)
    }

    /// Records the size of the bodies of a request and its response.
    pub(crate) fn record_bytes(&self, route: &RouteName, bytes: u64) {
        let mut routes = self.route_stats.borrow_mut();
        let stats = routes.entry(route.clone()).or_default();
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let typical = stats.typical_bytes.get_or_insert(bytes);
        *typical += TYPICAL_LATENCY_WEIGHT * (bytes - *typical);
    }

    /// Reports whether requests of a route or their responses are large, so that sending them to another zone is costly.
    pub(crate) fn is_large(&self, route: &Route) -> bool {
        let routes = self.route_stats.borrow();
        let typical = routes.get(&route.name).and_then(|stats| stats.typical_bytes);
        route.idempotency.is_large() || typical.is_some_and(|bytes| bytes >= LARGE_BYTES)
    }

    /// Chooses a target by smooth weighted round robin: the one with the largest deficit, so that each
    /// target gets exactly its share.
    pub(crate) fn choose_target(&self, route: &Route) -> Option<PoolName> {
        if let [only] = route.targets.as_slice() {
            return Some(only.pool.clone());
        }
        let total: f64 = route.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut routes = self.route_stats.borrow_mut();
        let stats = routes.entry(route.name.clone()).or_default();
        stats.deficits.resize(route.targets.len(), 0.0);
        for (deficit, target) in stats.deficits.iter_mut().zip(&route.targets) {
            *deficit += f64::from(target.weight) / total.max(1.0);
        }
        let largest = (0..stats.deficits.len()).max_by(|&a, &b| stats.deficits[a].total_cmp(&stats.deficits[b]))?;
        stats.deficits[largest] -= 1.0;
        Some(route.targets[largest].pool.clone())
    }

    /// Counts a request for a key, for the next message to the grantor.
    pub(crate) fn count_key_request(&self, pool: &PoolName, key: u16) {
        let mut counts = self.key_counts.borrow_mut();
        *counts.entry(pool.clone()).or_default().entry(key).or_default() += 1;
    }
}
