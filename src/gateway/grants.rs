//! Work of the grantor: plans which upstream owns which keys, saves the key tables in the store and
//! sends lease commands to upstreams.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

use super::connect::{Endpoint, SessionNumber};
use super::counting::boot_time;
use super::election::run_election;
use super::orders::{GRANT_CALL_TIMEOUT, check_cold, grant, release, request_load};
use super::peers::Message;
use super::state::Gateway;
use super::watch::{TABLE_PREFIX, apply_newer_table, apply_table_delta};
use crate::catalog::{Catalog, Pool};
use crate::fleet::{PoolSpeeds, SpeedBook, Upstream};
use crate::keys::{
    Action, Admissions, Candidate, Confirmations, GrantOutcome, Grantor, Holder, HostIncarnation, KeyCounts, KeyRange,
    KeyRates, KeyTable, LeaseTiming, Move, ReleaseOutcome, WatchedOwner, era_of, measure_owners, plan_balance,
    plan_orphans,
};
use crate::platform::{HOST_TOPIC, LeaseCommand, ProducerState, StoreError};
use crate::types::{HostName, PoolName, StoreEra};

/// Producer name of the grantor's appends; the store rejects those of older epochs.
pub(super) const GRANTOR_PRODUCER: &str = "grantor";
/// Duration of a lease. It is long enough for a new grantor to renew the leases after the loss of the
/// previous one (`MEMBER_TTL`, `JOIN_PERIOD` and three calls). The keys of a lost owner can't go to
/// another owner before their lease has expired.
const LEASE_DURATION: Duration = Duration::from_millis(2_500);
/// Time between renewals of a lease. Four renewals at this period fit into its duration; fewer attempts fit
/// if they time out, because a retry starts only after the timeout and a delay.
const RENEWAL_PERIOD: Duration = Duration::from_millis(600);
/// Time between two ticks of the grantor.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Gap between two ticks above which this process may have been frozen: it starts no further commands
/// until the store confirms that it is still the grantor.
const TICK_GAP_MAX: Duration = Duration::from_millis(600);
/// Least drift between the clocks with and without suspended time that shows a suspension.
const SUSPENSION_DRIFT_MIN: Duration = Duration::from_millis(50);
/// Time between two checks of the balance.
const REBALANCE_PERIOD: Duration = Duration::from_millis(250);
/// Time between two rounds of moves that only even out the loads.
const EVEN_PERIOD: Duration = Duration::from_millis(500);
/// Time between two rounds of questions to overloaded owners for their queues.
const WATCH_PERIOD: Duration = Duration::from_millis(500);
/// Time that a new grantor waits for announcements before it assigns keys of a pool without owners.
const FIRST_ASSIGNMENT_DELAY: Duration = Duration::from_secs(3);
/// Time since an owner's first failed grant after which its keys go to others, unless it has answered a
/// grant meanwhile. Three grants, including the first, fail within it if each fails at once and the store
/// doesn't delay the retries. If they time out, only the first has failed by then.
const UNRESPONSIVE_LIMIT: Duration = Duration::from_millis(700);
/// Load, relative to the request rate that a cold upstream tolerates, up to which it is assigned keys.
const COLD_LOAD_RATIO: f64 = 0.6;
/// Load, relative to the limit that an upstream names, up to which it is assigned keys. Each host has an equal
/// share of the limit, but not of the load.
const NAMED_LOAD_RATIO: f64 = 0.75;
/// Latency assumed for a pool that is not the first target of any route.
const DEFAULT_LATENCY: Duration = Duration::from_millis(100);

pub(super) struct PoolGrantor {
    pub(super) grantor: Grantor,
    pub(super) rates: KeyRates,
    /// Speeds of the pool's upstreams as of the last check of the balance.
    pub(super) speeds: Option<PoolSpeeds>,
    pub(super) last_rebalance: Instant,
    /// When moves that only even out the loads were last planned.
    pub(super) last_even: Instant,
    /// When overloaded owners were last asked for their queues.
    pub(super) last_watch: Instant,
    pub(super) admissions: Admissions,
}

/// State of this host while it is the grantor.
pub(super) struct GrantorState {
    pub(super) epoch: u64,
    pub(super) active_since: Instant,
    pub(super) confirmations: Confirmations,
    /// This process may have been frozen: no new commands until the store confirms the grantor.
    pub(super) needs_confirmation: bool,
    /// When the last confirmation of each host arrived, for the choice of witnesses.
    pub(super) last_responses: BTreeMap<HostIncarnation, Instant>,
    /// Newest tables known at the takeover, of pools that have no [`PoolGrantor`] yet.
    pub(super) saved_tables: BTreeMap<PoolName, KeyTable>,
    pub(super) pools: BTreeMap<PoolName, PoolGrantor>,
}

/// State of the election and of the grantor, on every host.
#[derive(Default)]
pub(crate) struct Grants {
    pub(super) active: RefCell<Option<GrantorState>>,
    /// Addresses of upstream incarnations, including those whose entries are gone from the store.
    pub(super) addresses: RefCell<BTreeMap<Holder, SocketAddr>>,
    pub(super) endpoints: RefCell<BTreeMap<Holder, Rc<Endpoint>>>,
    /// Speeds of upstreams as all hosts have observed them, while this host is the grantor.
    pub(super) speed_book: RefCell<SpeedBook>,
    /// Session in which each lease, named by its holder and fence, was last accepted.
    pub(super) sessions: RefCell<BTreeMap<(Holder, u64), SessionNumber>>,
    /// Generation of the membership in the election group, as of the last join.
    pub(super) generation: Cell<u64>,
    /// Newest epoch of any grantor known to this host.
    pub(super) newest_epoch: Cell<u64>,
    /// Newest epoch of any grantor known to this host in an earlier era of the store.
    former_epoch: Cell<u64>,
    /// The store has confirmed that this process left the group, so its next epoch is a new one.
    pub(super) leave_confirmed: Cell<bool>,
}

impl Grants {
    /// Records the epoch of a grantor; this host no longer confirms grantors with older epochs.
    pub(super) fn record_epoch(&self, epoch: u64) {
        let newest = self.newest_epoch.get();
        if era_of(epoch) > era_of(newest) {
            self.former_epoch.set(newest);
        }
        self.newest_epoch.set(newest.max(epoch));
    }

    /// Returns the newest known epoch of a grantor before an era of the store.
    pub(super) fn epoch_before(&self, era: StoreEra) -> u64 {
        let newest = self.newest_epoch.get();
        if era_of(newest) < era {
            newest
        } else {
            self.former_epoch.get()
        }
    }

    fn is_grantor_of_epoch(&self, epoch: u64) -> bool {
        self.active
            .borrow()
            .as_ref()
            .is_some_and(|active| active.epoch == epoch)
    }

    /// Returns this host's epoch, and since when it has been the only grantor, while no other host can assume that it has
    /// stopped.
    pub(super) fn sole_epoch(&self, now: Instant) -> Option<(u64, Instant)> {
        let active = self.active.borrow();
        let active = active.as_ref().filter(|active| !active.needs_confirmation)?;
        let grantors = || active.pools.values().map(|pool| &pool.grantor);
        let is_confirmed = grantors().all(|grantor| grantor.may_send_commands(now, &active.confirmations));
        let stopped_by = grantors()
            .filter_map(|grantor| grantor.predecessors().stopped_by())
            .max();
        let since = stopped_by.map_or(active.active_since, |at| at.max(active.active_since));
        (is_confirmed && !active.pools.is_empty() && since <= now).then_some((active.epoch, since))
    }

    pub(crate) fn is_grantor(&self) -> bool {
        self.active.borrow().is_some()
    }
}

impl std::fmt::Debug for Grants {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Grants")
            .field("generation", &self.generation)
            .finish_non_exhaustive()
    }
}

pub(super) struct SaveRequest {
    epoch: u64,
    table: KeyTable,
}

/// Starts the tasks of the election and of the grantor.
pub(crate) fn start_grants(gateway: &Rc<Gateway>) {
    let (saves, queue) = unbounded_channel();
    spawn_local(run_election(Rc::clone(gateway)));
    spawn_local(run_grantor(Rc::clone(gateway), saves));
    spawn_local(save_tables(Rc::clone(gateway), queue));
}

/// Adds a host's request counts to the rates of a pool, if this host is the grantor.
pub(crate) fn record_counts(gateway: &Gateway, counts: &KeyCounts) {
    let mut active = gateway.grants.active.borrow_mut();
    let pool = active.as_mut().and_then(|active| active.pools.get_mut(&counts.pool));
    if let Some(pool) = pool {
        pool.rates.record_counts(&counts.counts);
    }
}

/// Returns `CLOCK_BOOTTIME`, which counts suspended time, less the time since `start` that [`Instant`] counts.
///
/// An increase from one call to the next is time for which the process was suspended.
fn clock_drift(start: Instant) -> Duration {
    // Both clocks start at boot; `start` adds a constant, so only changes of the difference matter.
    boot_time().saturating_sub(start.elapsed())
}

async fn run_grantor(gateway: Rc<Gateway>, saves: UnboundedSender<SaveRequest>) {
    let start = Instant::now();
    let mut last_drift = clock_drift(start);
    let mut last_tick = start;
    loop {
        sleep(TICK_PERIOD).await;
        let now = Instant::now();
        let drift = clock_drift(start);
        let was_frozen = now > last_tick + TICK_GAP_MAX || drift > last_drift + SUSPENSION_DRIFT_MIN;
        (last_tick, last_drift) = (now, drift);
        if was_frozen && let Some(active) = gateway.grants.active.borrow_mut().as_mut() {
            warn!(gateway.log, "process was frozen; no new lease commands until the store confirms this grantor";
                "epoch" => active.epoch);
            active.needs_confirmation = true;
        }
        let catalog = gateway.catalog.borrow().clone();
        if let Some(catalog) = catalog {
            tick_pools(&gateway, now, &catalog, &saves);
        }
    }
}

fn tick_pools(gateway: &Rc<Gateway>, now: Instant, catalog: &Catalog, saves: &UnboundedSender<SaveRequest>) {
    let mut guard = gateway.grants.active.borrow_mut();
    let Some(active) = guard.as_mut() else {
        return;
    };
    if active.needs_confirmation {
        return;
    }
    // Owners that seem unresponsive may be out of this host's reach only.
    let may_plan = !gateway.is_cut_off() && !gateway.links.is_doubtful(now);
    add_pool_grantors(gateway, now, active, catalog);
    update_addresses(gateway, active);
    let epoch = active.epoch;
    let active_since = active.active_since;
    for (name, pool) in &mut active.pools {
        let has_owners = |table: &KeyTable| table.assignments.iter().any(|assignment| assignment.owner.is_some());
        let is_due = now >= active_since + FIRST_ASSIGNMENT_DELAY || has_owners(pool.grantor.table());
        if is_due && may_plan {
            let watched = plan_moves(gateway, now, catalog, name, pool);
            if !watched.is_empty() {
                spawn_local(update_admissions(Rc::clone(gateway), epoch, name.clone(), watched));
            }
        }
        let addresses = gateway.grants.addresses.borrow();
        let is_known = |holder: &Holder| addresses.contains_key(holder);
        let actions = pool.grantor.tick(now, &active.confirmations, is_known);
        for action in actions {
            start_action(gateway, epoch, name, action, saves);
        }
    }
}

pub(super) fn lease_timing(gateway: &Gateway) -> LeaseTiming {
    LeaseTiming {
        duration: LEASE_DURATION.min(gateway.bounds.grant),
        renewal_period: RENEWAL_PERIOD,
        call_timeout: GRANT_CALL_TIMEOUT,
    }
}

pub(super) fn add_pool_grantors(gateway: &Gateway, now: Instant, active: &mut GrantorState, catalog: &Catalog) {
    let timing = lease_timing(gateway);
    for pool in catalog.pools.values().filter(|pool| pool.is_sharded) {
        if active.pools.contains_key(&pool.name) {
            continue;
        }
        let host = &gateway.settings.host;
        let saved = active.saved_tables.remove(&pool.name);
        let may_lack_saves = saved
            .as_ref()
            .is_none_or(|table| era_of(table.epoch) < era_of(active.epoch));
        // The lowest epoch, as a table that another host knows goes before an empty one.
        let table = saved.unwrap_or_else(|| KeyTable::new(pool.name.clone(), host.clone(), 0));
        let mut grantor = Grantor::take_over(now, host, active.epoch, table, timing);
        if may_lack_saves {
            grantor.inquire(now, other_hosts(gateway));
        }
        let pool_grantor = PoolGrantor {
            grantor,
            rates: KeyRates::default(),
            speeds: None,
            last_rebalance: now,
            last_even: now,
            last_watch: now,
            admissions: Admissions::default(),
        };
        active.pools.insert(pool.name.clone(), pool_grantor);
    }
}

pub(super) fn other_hosts(gateway: &Gateway) -> BTreeSet<HostName> {
    let hosts = gateway.hosts.borrow();
    let others = hosts.keys().filter(|host| **host != gateway.settings.host);
    others.cloned().collect()
}

/// Updates the addresses of upstream incarnations.
///
/// Current and previous owners of keys stay, so that an upstream whose entry is gone from the store
/// can still be sent a release. Commands for an incarnation that has ended go to the later one of
/// the same name.
fn update_addresses(gateway: &Gateway, active: &GrantorState) {
    let fleet = gateway.fleet.borrow();
    let mut addresses = gateway.grants.addresses.borrow_mut();
    let is_used = |holder: &Holder| {
        let mut assignments = active.pools.values().flat_map(|pool| &pool.grantor.table().assignments);
        assignments.any(|assignment| assignment.owner.as_ref() == Some(holder) || assignment.previous.contains(holder))
    };
    addresses.retain(|holder, _| fleet.get(&holder.upstream).is_some() || is_used(holder));
    for name in active.pools.keys() {
        for upstream in fleet.in_pool(name) {
            addresses.insert(Holder::of(&upstream.announcement), upstream.announcement.address);
        }
    }
    let assignments = active.pools.values().flat_map(|pool| &pool.grantor.table().assignments);
    for holder in assignments.flat_map(|assignment| assignment.owner.iter().chain(&assignment.previous)) {
        if let Some(later) = fleet
            .get(&holder.upstream)
            .filter(|u| u.announcement.incarnation > holder.incarnation)
        {
            addresses.insert(holder.clone(), later.announcement.address);
        }
    }
    let count: usize = active
        .pools
        .values()
        .map(|pool| pool.grantor.table().assignments.len())
        .sum();
    let mut sessions = gateway.grants.sessions.borrow_mut();
    if sessions.len() > count * 2 {
        let assignments = active.pools.values().flat_map(|pool| &pool.grantor.table().assignments);
        let fences: BTreeSet<u64> = assignments.map(|assignment| assignment.fence).collect();
        sessions.retain(|(_, fence), _| fences.contains(fence));
    }
    gateway.grants.endpoints.borrow_mut().retain(|holder, endpoint| {
        addresses
            .get(holder)
            .is_some_and(|address| *address == endpoint.address)
    });
}

/// Moves keys whose owner is lost, and in a longer period those of overloaded owners. Returns the owners to ask for their
/// queues, if that is due.
fn plan_moves(
    gateway: &Gateway,
    now: Instant,
    catalog: &Catalog,
    name: &PoolName,
    pool: &mut PoolGrantor,
) -> Vec<WatchedOwner> {
    let fleet = gateway.fleet.borrow();
    let Some(settings) = catalog.pools.get(name) else {
        return Vec::new();
    };
    let typical = typical_latency(gateway, catalog, name).as_secs_f64();
    let elapsed = now.duration_since(pool.last_rebalance);
    let is_due = elapsed >= REBALANCE_PERIOD;
    if is_due && gateway.settings.learns_capacity() {
        let members = fleet.in_pool(name).map(|u| &u.announcement.upstream);
        pool.speeds = gateway.grants.speed_book.borrow().speeds(now, members);
    }
    let service_ratio = |u: &Upstream| {
        let learned = pool
            .speeds
            .as_ref()
            .map(|speeds| speeds.ratio(&u.announcement.upstream));
        learned.unwrap_or(u.load.latency_ratio)
    };
    let unresponsive = pool
        .grantor
        .unresponsive_since(now.checked_sub(UNRESPONSIVE_LIMIT).unwrap_or(now));
    let candidates: Vec<Candidate> = fleet
        .in_pool(name)
        .filter(|u| fleet.is_in_service(u))
        .filter(|u| !unresponsive.contains(&Holder::of(&u.announcement)))
        .map(|u| Candidate {
            holder: Holder::of(&u.announcement),
            capacity: f64::from(u.announcement.slots) / (typical * service_ratio(u).clamp(0.4, 3.0)),
            limit: load_limit(now, settings, u),
        })
        .collect();
    let moves = plan_orphans(pool.grantor.table(), &candidates, &pool.rates);
    if !moves.is_empty() {
        let is_first = pool
            .grantor
            .table()
            .assignments
            .iter()
            .all(|assignment| assignment.owner.is_none());
        let why = if is_first {
            "no key of the pool has an owner yet"
        } else {
            "the owner is lost, leaving, unresponsive or out of service"
        };
        record_moves(gateway, name, why, &moves);
        pool.grantor.apply(&moves);
    }
    if !is_due {
        return Vec::new();
    }
    pool.last_rebalance = now;
    pool.rates.advance(elapsed);
    // While the table can't be saved, each move would take the lease of its keys away without a new owner.
    if pool.grantor.is_saved() {
        let is_settled = pool
            .grantor
            .table()
            .assignments
            .iter()
            .all(|assignment| assignment.ready);
        let evens_out = is_settled && now >= pool.last_even + EVEN_PERIOD;
        if evens_out {
            pool.last_even = now;
        }
        let moves = plan_balance(pool.grantor.table(), &candidates, &pool.rates, evens_out);
        record_moves(gateway, name, "balance", &moves);
        pool.grantor.apply(&moves);
    }
    if now < pool.last_watch + WATCH_PERIOD {
        return Vec::new();
    }
    pool.last_watch = now;
    let owners = measure_owners(pool.grantor.table(), &candidates, &pool.rates);
    pool.admissions.watched(owners.into_iter())
}

/// Asks owners for their queues and tells all hosts which share of the requests for each of them to admit.
async fn update_admissions(gateway: Rc<Gateway>, epoch: u64, pool: PoolName, watched: Vec<WatchedOwner>) {
    let mut questions = JoinSet::new();
    for owner in watched.iter().cloned() {
        let (gateway, pool) = (Rc::clone(&gateway), pool.clone());
        questions.spawn_local(async move {
            let report = request_load(&gateway, &pool, &owner.holder).await;
            report.map(|report| (owner, report))
        });
    }
    let reports = questions.join_all().await.into_iter().flatten();
    let mut shares = BTreeMap::new();
    if let Some(active) = gateway
        .grants
        .active
        .borrow_mut()
        .as_mut()
        .filter(|active| active.epoch == epoch)
        && let Some(pool) = active.pools.get_mut(&pool)
    {
        pool.admissions.retain(&watched);
        for (owner, report) in reports {
            pool.admissions.update(&owner, report);
        }
        shares.extend(
            pool.admissions
                .shares()
                .map(|(holder, share)| (holder.upstream.clone(), share)),
        );
    }
    if !shares.is_empty() {
        info!(gateway.log, "owners overloaded; hosts admit a share of their requests"; "pool" => %pool,
            "shares" => shares.iter().map(|(owner, share)| format!("{owner}={share:.3}")).collect::<Vec<_>>().join(","));
        gateway.record_admissions(Instant::now(), &shares);
        gateway.outbox.send(Message::Admissions(shares));
    }
}

/// Returns the load up to which an upstream is assigned keys, in requests per second; `None` without a limit.
fn load_limit(now: Instant, settings: &Pool, upstream: &Upstream) -> Option<f64> {
    let cold = upstream.is_cold(now).then_some(settings.cold_rate * COLD_LOAD_RATIO);
    let named = upstream.limiter.as_ref().map(|limiter| limiter.limit().per_second());
    let limits = cold.into_iter().chain(named.map(|rate| rate * NAMED_LOAD_RATIO));
    limits.reduce(f64::min)
}

fn record_moves(gateway: &Gateway, pool: &PoolName, why: &str, moves: &[Move]) {
    gateway.metrics.count_moves(moves.len());
    for key_move in moves {
        info!(gateway.log, "keys move"; "pool" => %pool, "keys" => %key_move.range,
            "owner" => %key_move.owner.upstream,
            "born" => key_move.owner.incarnation, "why" => why);
    }
}

/// Returns the typical latency of the first route whose first target is the pool.
fn typical_latency(gateway: &Gateway, catalog: &Catalog, pool: &PoolName) -> Duration {
    let routes = catalog.routes.values().flat_map(BTreeMap::values);
    let first = routes
        .into_iter()
        .find(|route| route.targets.first().is_some_and(|t| t.pool == *pool));
    first.map_or(DEFAULT_LATENCY, |route| gateway.typical_latency(route))
}

pub(super) fn start_action(
    gateway: &Rc<Gateway>,
    epoch: u64,
    pool: &PoolName,
    action: Action,
    saves: &UnboundedSender<SaveRequest>,
) {
    let gateway = Rc::clone(gateway);
    let pool = pool.clone();
    match action {
        Action::Save(table) => {
            // Sending can't fail: the receiver lives as long as the process.
            let _ = saves.send(SaveRequest { epoch, table });
        }
        Action::Grant {
            holder,
            range,
            fence,
            handover,
            check_health,
            is_renewal,
        } => {
            let lease = LEASE_DURATION.min(gateway.bounds.grant);
            let command = LeaseCommand::Grant {
                range,
                fence,
                lease,
                handover,
            };
            spawn_local(async move {
                if check_health {
                    check_cold(&gateway, &pool, &holder).await;
                    if !may_send_grant(&gateway, epoch, &pool) {
                        warn!(gateway.log, "grant not sent: this host is no longer confirmed as the grantor";
                            "pool" => %pool, "upstream" => %holder.upstream, "keys" => %range, "fence" => fence);
                        let now = Instant::now();
                        with_grantor(&gateway, epoch, &pool, |grantor| {
                            grantor.record_grant(now, &holder, fence, now, GrantOutcome::NotSent);
                        });
                        return;
                    }
                }
                let sent = Instant::now();
                let outcome = grant(&gateway, &holder, &command, is_renewal).await;
                if outcome != GrantOutcome::Taken {
                    warn!(gateway.log, "grant failed"; "pool" => %pool, "upstream" => %holder.upstream, "keys" => %range,
                        "fence" => fence, "outcome" => ?outcome);
                }
                with_grantor(&gateway, epoch, &pool, |grantor| {
                    grantor.record_grant(Instant::now(), &holder, fence, sent, outcome);
                });
            });
        }
        Action::Probe(holder) => {
            // The upstream owns no keys, so a release under the lowest fence changes nothing.
            let range = KeyRange { first: 0, last: 0 };
            let command = LeaseCommand::Release { range, fence: 0 };
            spawn_local(async move {
                if matches!(release(&gateway, &holder, &command).await, ReleaseOutcome::Released(_)) {
                    info!(gateway.log, "upstream takes grants again"; "upstream" => %holder.upstream);
                    with_grantor(&gateway, epoch, &pool, |grantor| grantor.record_recovery(&holder));
                }
            });
        }
        Action::Release { holder, range, fence } => {
            let command = LeaseCommand::Release { range, fence };
            spawn_local(async move {
                let outcome = release(&gateway, &holder, &command).await;
                info!(gateway.log, "keys released"; "pool" => %pool, "upstream" => %holder.upstream, "keys" => %range, "fence" => fence,
                    "outcome" => outcome.as_str(),
                    "handover" => matches!(outcome, ReleaseOutcome::Released(Some(_))));
                with_grantor(&gateway, epoch, &pool, |grantor| {
                    grantor.record_release(Instant::now(), &holder, fence, outcome);
                });
            });
        }
    }
}

/// Reports whether this host may still send a grant of an epoch.
fn may_send_grant(gateway: &Gateway, epoch: u64, pool: &PoolName) -> bool {
    let active = gateway.grants.active.borrow();
    let active = active
        .as_ref()
        .filter(|active| active.epoch == epoch && !active.needs_confirmation);
    active.is_some_and(|active| {
        let pool = active.pools.get(pool);
        pool.is_some_and(|pool| pool.grantor.may_send_commands(Instant::now(), &active.confirmations))
    })
}

/// Applies the result of an action to the grantor of a pool, if this host is still the grantor of the
/// epoch in which the action was started.
fn with_grantor(gateway: &Gateway, epoch: u64, pool: &PoolName, apply: impl FnOnce(&mut Grantor)) {
    let mut active = gateway.grants.active.borrow_mut();
    let active = active.as_mut().filter(|active| active.epoch == epoch);
    if let Some(pool) = active.and_then(|active| active.pools.get_mut(pool)) {
        apply(&mut pool.grantor);
    }
}

async fn save_tables(gateway: Rc<Gateway>, mut queue: UnboundedReceiver<SaveRequest>) {
    let (mut epoch, mut sequence) = (0, 0);
    let mut saved: BTreeMap<PoolName, KeyTable> = BTreeMap::new();
    while let Some(save) = queue.recv().await {
        if save.epoch != epoch {
            (epoch, sequence) = (save.epoch, 0);
        }
        sequence += 1;
        let is_saved = save_table(&gateway, &save, sequence).await;
        if !is_saved {
            continue;
        }
        let last_fence = save.table.last_fence;
        match saved.insert(save.table.pool.clone(), save.table.clone()) {
            Some(old) if old.epoch == save.epoch => {
                let delta = save.table.delta_since(&old);
                apply_table_delta(&gateway, &delta);
                gateway.outbox.send(Message::OwnersChanged(delta));
            }
            _ => {
                // Known here at once, as other grantors may ask for it before it can be read.
                apply_newer_table(&gateway, save.table.clone());
                gateway.outbox.send(Message::Refresh);
            }
        }
        with_grantor(&gateway, save.epoch, &save.table.pool, |grantor| {
            grantor.record_saved(last_fence);
        });
    }
}

/// Saves a table and returns whether the store has it.
///
/// An append that fails is repeated unchanged, because the store may have executed it. This ends when
/// the store confirms or rejects the append, or when this host is no longer the grantor of the epoch.
async fn save_table(gateway: &Gateway, save: &SaveRequest, sequence: u64) -> bool {
    let key = format!("{TABLE_PREFIX}{}", save.table.pool);
    let bytes = rmp_serde::to_vec(&save.table).expect("a key table encodes as MessagePack");
    let producer = ProducerState {
        producer: GRANTOR_PRODUCER.to_owned(),
        epoch: save.epoch,
        sequence,
    };
    loop {
        if !gateway.grants.is_grantor_of_epoch(save.epoch) {
            return false;
        }
        let result = gateway
            .store
            .append(HOST_TOPIC, Some(&producer), &[(&key, &bytes)])
            .await;
        if gateway.store.era() > era_of(save.epoch) {
            warn!(gateway.log, "owners of keys not saved"; "pool" => %save.table.pool,
                "error" => "the store came back from an older copy; this grantor needs an epoch of the new era");
            return false;
        }
        match result {
            Ok(_) => return true,
            Err(StoreError::Fenced(text)) => {
                warn!(gateway.log, "grantor stops"; "why" => "the store rejected its save: a newer epoch is in force",
                    "answer" => text);
                *gateway.grants.active.borrow_mut() = None;
                return false;
            }
            Err(StoreError::OutOfSequence(text)) => {
                warn!(gateway.log, "grantor stops"; "why" => "the store rejected its save: the epoch was used before",
                    "answer" => text);
                gateway.grants.leave_confirmed.set(false);
                *gateway.grants.active.borrow_mut() = None;
                return false;
            }
            Err(error) => {
                warn!(gateway.log, "owners of keys not saved"; "pool" => %save.table.pool, "error" => %error);
                sleep(TICK_PERIOD).await;
            }
        }
    }
}
