//! The work of the host that grants keys: what is due, what is saved, what upstreams are told.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use slog::{info, warn};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::connect::Endpoint;
use super::election::elect;
use super::orders::{GRANT_SENDING, ask_cold, grant, release};
use super::peers::Message;
use super::state::Gateway;
use super::watch::{TABLE_PREFIX, apply_table_delta};
use crate::catalog::Catalog;
use crate::keys::{
    Action, Candidate, Confirmations, GrantOutcome, Grantor, Holder, HostIncarnation, KeyCounts, KeyRange, KeyRates,
    KeyTable, LeaseTiming, Move, ReleaseOutcome, plan_balance, plan_orphans,
};
use crate::platform::{HOST_TOPIC, LeaseCommand, ProducerState, StoreError};
use crate::relay::Topic;
use crate::types::PoolName;

/// Producer under which the grantor saves, so that a newer epoch shuts out an older one.
pub(super) const PRODUCER: &str = "grantor";
/// Time for which keys are granted: a new grantor renews within this time after the last one was
/// lost (`MEMBER_TTL`, `JOIN_PERIOD` and three calls), and a lost owner's keys wait for it.
const GRANT_TIME: Duration = Duration::from_millis(2_500);
/// Time after which a grant is given again; four tries fit into its time.
const RENEWAL_PERIOD: Duration = Duration::from_millis(600);
/// Time between two steps of the grantor.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Gap between two steps after which this process may have been frozen: the store must confirm it
/// before it gives another order.
const FREEZE_GAP: Duration = Duration::from_millis(600);
/// Difference between the clocks with and without suspended time that shows a suspension.
const SUSPEND_GAP: Duration = Duration::from_millis(50);
/// Time between two looks at the balance.
const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// Time for upstreams to announce themselves before keys are given for the first time.
const GATHER_TIME: Duration = Duration::from_secs(3);
/// Silence of an owner after which its keys go to others; three grants fail in it.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Share of the rate that a cold upstream bears for which it is given keys.
const COLD_SHARE: f64 = 0.6;
/// Time of a request where none has been answered yet.
const TYPICAL_DEFAULT: Duration = Duration::from_millis(100);

pub(super) struct PoolGrantor {
    pub(super) grantor: Grantor,
    pub(super) rates: KeyRates,
    pub(super) planned: Instant,
}

/// What the grantor has while it is one.
pub(super) struct GrantorState {
    pub(super) epoch: u64,
    pub(super) since: Instant,
    /// What confirms it: the store, or other hosts.
    pub(super) confirmations: Confirmations,
    pub(super) is_suspended: bool,
    /// When hosts last answered, for the choice of witnesses.
    pub(super) answering: BTreeMap<HostIncarnation, Instant>,
    /// Tables found when it took over, for pools that are not led yet.
    pub(super) found: BTreeMap<PoolName, KeyTable>,
    pub(super) pools: BTreeMap<PoolName, PoolGrantor>,
}

/// State of the election and of the grantor.
#[derive(Default)]
pub(crate) struct Grants {
    pub(super) active: RefCell<Option<GrantorState>>,
    /// Addresses of runs of upstreams, also of those whose entries are gone.
    pub(super) addresses: RefCell<BTreeMap<Holder, SocketAddr>>,
    pub(super) endpoints: RefCell<BTreeMap<Holder, Rc<Endpoint>>>,
    pub(super) generation: Cell<u64>,
    /// Newest epoch of a grantor that this host has heard of.
    pub(super) seen_epoch: Cell<u64>,
    /// The member has left since this process started, so its next epoch is a new one.
    pub(super) is_new_member: Cell<bool>,
}

impl Grants {
    /// Notes that a grantor has an epoch; older ones aren't confirmed from now on.
    pub(super) fn record_epoch(&self, epoch: u64) {
        self.seen_epoch.set(self.seen_epoch.get().max(epoch));
    }

    /// Tells whether this host is the grantor with the given epoch.
    fn is_grantor_of_epoch(&self, epoch: u64) -> bool {
        self.active
            .borrow()
            .as_ref()
            .is_some_and(|active| active.epoch == epoch)
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

/// A table to be saved under an epoch.
struct Save {
    epoch: u64,
    table: KeyTable,
}

/// Starts the election and the grantor's work.
pub(crate) fn start_grants(gateway: &Rc<Gateway>) {
    let (saves, queue) = unbounded_channel();
    spawn_local(elect(Rc::clone(gateway)));
    spawn_local(work(Rc::clone(gateway), saves));
    spawn_local(save_tables(Rc::clone(gateway), queue));
}

/// Takes in a host's counts of requests by key.
pub(crate) fn record_counts(gateway: &Gateway, counts: &KeyCounts) {
    let mut active = gateway.grants.active.borrow_mut();
    let pool = active.as_mut().and_then(|active| active.pools.get_mut(&counts.pool));
    if let Some(pool) = pool {
        pool.rates.record_counts(&counts.counts);
    }
}

/// Seconds for which the process was suspended since the system started.
fn suspended_time(start: Instant) -> Duration {
    // Both clocks start with the system, so only their difference counts.
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from);
    boot.saturating_sub(start.elapsed())
}

async fn work(gateway: Rc<Gateway>, saves: UnboundedSender<Save>) {
    let start = Instant::now();
    let mut suspended = suspended_time(start);
    let mut last = start;
    loop {
        sleep(TICK_PERIOD).await;
        let now = Instant::now();
        let present = suspended_time(start);
        let was_frozen = now > last + FREEZE_GAP || present > suspended + SUSPEND_GAP;
        (last, suspended) = (now, present);
        if was_frozen && let Some(active) = gateway.grants.active.borrow_mut().as_mut() {
            warn!(gateway.log, "process was frozen; the store has to confirm the grantor"; "epoch" => active.epoch);
            active.is_suspended = true;
        }
        let catalog = gateway.catalog.borrow().clone();
        if let Some(catalog) = catalog {
            step(&gateway, now, &catalog, &saves);
        }
    }
}

fn step(gateway: &Rc<Gateway>, now: Instant, catalog: &Catalog, saves: &UnboundedSender<Save>) {
    let mut guard = gateway.grants.active.borrow_mut();
    let Some(active) = guard.as_mut() else {
        return;
    };
    if active.is_suspended {
        return;
    }
    add_pools(gateway, now, active, catalog);
    update_addresses(gateway, active);
    let epoch = active.epoch;
    let since = active.since;
    for (name, pool) in &mut active.pools {
        if now >= since + GATHER_TIME
            || pool
                .grantor
                .table()
                .assignments
                .iter()
                .any(|assignment| assignment.owner.is_some())
        {
            plan(gateway, now, catalog, name, pool);
        }
        let addresses = gateway.grants.addresses.borrow();
        let is_known = |holder: &Holder| addresses.contains_key(holder);
        let actions = pool.grantor.tick(now, &active.confirmations, is_known);
        for action in actions {
            start_action(gateway, epoch, name, action, saves);
        }
    }
}

fn add_pools(gateway: &Gateway, now: Instant, active: &mut GrantorState, catalog: &Catalog) {
    let timing = LeaseTiming {
        duration: GRANT_TIME.min(gateway.bounds.grant),
        renewal_period: RENEWAL_PERIOD,
        call_timeout: GRANT_SENDING,
    };
    for pool in catalog.pools.values().filter(|pool| pool.is_sharded) {
        if active.pools.contains_key(&pool.name) {
            continue;
        }
        let host = &gateway.settings.host;
        let found = active.found.remove(&pool.name);
        let table = found.unwrap_or_else(|| KeyTable::new(pool.name.clone(), host.clone(), active.epoch));
        let pool_grantor = PoolGrantor {
            grantor: Grantor::take_over(now, host, active.epoch, table, timing),
            rates: KeyRates::default(),
            planned: now,
        };
        active.pools.insert(pool.name.clone(), pool_grantor);
    }
}

/// Remembers where runs of upstreams are, so that those whose entries are gone can still be told
/// to release keys. Orders for a run that has ended go to the later one of its name.
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
    gateway.grants.endpoints.borrow_mut().retain(|holder, endpoint| {
        addresses
            .get(holder)
            .is_some_and(|address| *address == endpoint.address)
    });
}

fn plan(gateway: &Gateway, now: Instant, catalog: &Catalog, name: &PoolName, pool: &mut PoolGrantor) {
    let fleet = gateway.fleet.borrow();
    let Some(settings) = catalog.pools.get(name) else {
        return;
    };
    let typical = typical_latency(gateway, catalog, name).as_secs_f64();
    let unresponsive = pool
        .grantor
        .unresponsive_since(now.checked_sub(SILENCE_LIMIT).unwrap_or(now));
    let candidates: Vec<Candidate> = fleet
        .in_pool(name)
        .filter(|u| fleet.is_in_service(u))
        .filter(|u| !unresponsive.contains(&Holder::of(&u.announcement)))
        .map(|u| Candidate {
            holder: Holder::of(&u.announcement),
            capacity: f64::from(u.announcement.slots) / (typical * u.load.latency_ratio.clamp(0.4, 3.0)),
            limit: u.is_cold(now).then_some(settings.cold_rate * COLD_SHARE),
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
            "no owner yet"
        } else {
            "owner lost or leaving"
        };
        log_moves(gateway, name, why, &moves);
        pool.grantor.apply(&moves);
    }
    let elapsed = now.duration_since(pool.planned);
    if elapsed >= PLAN_PERIOD {
        pool.planned = now;
        pool.rates.advance(elapsed);
        if pool
            .grantor
            .table()
            .assignments
            .iter()
            .all(|assignment| assignment.ready)
        {
            let moves = plan_balance(pool.grantor.table(), &candidates, &pool.rates);
            log_moves(gateway, name, "balance", &moves);
            pool.grantor.apply(&moves);
        }
    }
}

fn log_moves(gateway: &Gateway, pool: &PoolName, why: &str, moves: &[Move]) {
    for next in moves {
        info!(gateway.log, "keys move"; "pool" => %pool, "keys" => %next.range, "owner" => %next.owner.upstream,
            "born" => next.owner.incarnation, "why" => why);
    }
}

/// Gives the usual time of the requests of a pool.
fn typical_latency(gateway: &Gateway, catalog: &Catalog, pool: &PoolName) -> Duration {
    let routes = catalog.routes.values().flat_map(BTreeMap::values);
    let first = routes
        .into_iter()
        .find(|route| route.targets.first().is_some_and(|t| t.pool == *pool));
    first.map_or(TYPICAL_DEFAULT, |route| gateway.typical_latency(route))
}

fn start_action(gateway: &Rc<Gateway>, epoch: u64, pool: &PoolName, action: Action, saves: &UnboundedSender<Save>) {
    let gateway = Rc::clone(gateway);
    let pool = pool.clone();
    match action {
        Action::Save(table) => {
            // The receiver lives as long as the process.
            let _ = saves.send(Save { epoch, table });
        }
        Action::Grant {
            holder,
            range,
            fence,
            handover,
            check_health,
        } => {
            let lease = GRANT_TIME.min(gateway.bounds.grant);
            let command = LeaseCommand::Grant {
                range,
                fence,
                lease,
                handover,
            };
            spawn_local(async move {
                if check_health {
                    ask_cold(&gateway, &pool, &holder).await;
                    if !gateway.grants.is_grantor_of_epoch(epoch) {
                        return;
                    }
                }
                let sent = Instant::now();
                let outcome = grant(&gateway, &holder, &command).await;
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
            // It owns nothing, so giving back a key under the lowest fence changes nothing.
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

/// Applies a result to the grantor that asked for it, if it still is one.
fn with_grantor(gateway: &Gateway, epoch: u64, pool: &PoolName, apply: impl FnOnce(&mut Grantor)) {
    let mut active = gateway.grants.active.borrow_mut();
    let active = active.as_mut().filter(|active| active.epoch == epoch);
    if let Some(pool) = active.and_then(|active| active.pools.get_mut(pool)) {
        apply(&mut pool.grantor);
    }
}

async fn save_tables(gateway: Rc<Gateway>, mut queue: UnboundedReceiver<Save>) {
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
                gateway.outbox.send(Message::Change(delta));
            }
            _ => {
                gateway.feed.request_read(Topic::Hosts);
                gateway.outbox.send(Message::Refresh);
            }
        }
        with_grantor(&gateway, save.epoch, &save.table.pool, |grantor| {
            grantor.record_saved(last_fence);
        });
    }
}

/// Saves a table; an append whose answer was lost is repeated as it was until it is answered.
async fn save_table(gateway: &Gateway, save: &Save, sequence: u64) -> bool {
    let key = format!("{TABLE_PREFIX}{}", save.table.pool);
    let bytes = rmp_serde::to_vec(&save.table).expect("names and numbers have a MessagePack form");
    let producer = ProducerState {
        producer: PRODUCER.to_owned(),
        epoch: save.epoch,
        sequence,
    };
    loop {
        if !gateway.grants.is_grantor_of_epoch(save.epoch) {
            return false;
        }
        match gateway
            .store
            .append(HOST_TOPIC, Some(&producer), &[(&key, &bytes)])
            .await
        {
            Ok(_) => return true,
            Err(StoreError::Fenced(text)) => {
                warn!(gateway.log, "grantor stops"; "why" => "a newer epoch is in force", "answer" => text);
                *gateway.grants.active.borrow_mut() = None;
                return false;
            }
            Err(StoreError::OutOfSequence(text)) => {
                warn!(gateway.log, "grantor stops"; "why" => "its epoch was used before", "answer" => text);
                gateway.grants.is_new_member.set(false);
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
