//! The host that grants keys: its election through the store, its orders to upstreams.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::Full;
use nix::time::{ClockId, clock_gettime};
use slog::{info, warn};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::connect::{CallError, Endpoint};
use super::peers::Message;
use super::state::Gateway;
use super::watch::{HOST_PREFIX, TABLE_PREFIX, note_change};
use crate::catalog::Catalog;
use crate::keys::{
    Action, Candidate, GrantOutcome, Grantor, Hold, Holder, KeyCounts, KeyRates, KeyTable, Move, ReleaseOutcome, Span,
    plan_balance, plan_orphans,
};
use crate::platform::{HOST_TOPIC, INSTANCE, Member, Order, StoreError, Tail, encode_order, read_cold, read_handover};
use crate::types::{HostName, PoolName, UpstreamName};

/// Group whose member with the first partition is the grantor.
const GROUP: &str = "ragworthub-grantor";
/// Producer under which the grantor saves, so that a newer epoch shuts out an older one.
const PRODUCER: &str = "grantor";
/// Partition of the host topic that holds the hosts' records.
const PARTITION: u32 = 0;
/// Time after which a member that is silent loses its partitions; the store's least is 1 s.
const MEMBER_TTL: Duration = Duration::from_millis(1_200);
/// Time between two joins.
const JOIN_PERIOD: Duration = Duration::from_millis(400);
/// Time for which keys are granted: a new grantor renews within this time after the last one was
/// lost (`MEMBER_TTL`, `JOIN_PERIOD` and three calls), and a lost owner's keys wait for it.
const GRANT_TIME: Duration = Duration::from_millis(2_500);
const RENEWAL_PERIOD: Duration = Duration::from_millis(600);
/// Longest time for which a grantor renews without hearing from the store. An outage of the store
/// must not take the keys away; a new grantor waits for this time where it can't be sure.
const UNCONFIRMED_LIMIT: Duration = Duration::from_secs(12);
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
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
const GRANT_LIMIT: Duration = Duration::from_millis(600);
/// Time for hosts to learn that an upstream is cold.
const COLD_NOTICE: Duration = Duration::from_millis(30);
/// Limit for a release, which is answered when the running work on the keys has ended.
const RELEASE_LIMIT: Duration = Duration::from_secs(4);
/// Share of the rate that a cold upstream bears for which it is given keys.
const COLD_SHARE: f64 = 0.6;
/// Time of a request where none has been answered yet.
const USUAL_DEFAULT: Duration = Duration::from_millis(100);

struct LedPool {
    grantor: Grantor,
    rates: KeyRates,
    planned: Instant,
}

/// What the grantor has while it is one.
struct Led {
    epoch: u64,
    since: Instant,
    /// Start of the last call in which the store confirmed it.
    confirmed: Instant,
    is_suspended: bool,
    /// Grantor before this one, which may still renew grants.
    former: Option<HostName>,
    /// No earlier grantor can still be at work.
    is_alone: bool,
    /// Tables found when it took over, for pools that are not led yet.
    found: BTreeMap<PoolName, KeyTable>,
    pools: BTreeMap<PoolName, LedPool>,
}

/// State of the election and of the grantor.
#[derive(Default)]
pub(crate) struct Grants {
    led: RefCell<Option<Led>>,
    /// Addresses of runs of upstreams, also of those whose entries are gone.
    addresses: RefCell<BTreeMap<Holder, SocketAddr>>,
    endpoints: RefCell<BTreeMap<Holder, Rc<Endpoint>>>,
    generation: Cell<u64>,
    /// The member has left since this process started, so its next epoch is a new one.
    is_new_member: Cell<bool>,
}

impl Grants {
    pub(crate) fn is_leading(&self) -> bool {
        self.led.borrow().is_some()
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

fn member(gateway: &Gateway) -> Member {
    Member {
        group: GROUP.to_owned(),
        name: gateway.settings.host.to_string(),
    }
}

/// Starts the election and the grantor's work.
pub(crate) fn start_grants(gateway: &Rc<Gateway>) {
    let (saves, queue) = unbounded_channel();
    spawn_local(elect(Rc::clone(gateway)));
    spawn_local(work(Rc::clone(gateway), saves));
    spawn_local(save_tables(Rc::clone(gateway), queue));
}

/// Ends this host's part in the election and its entry in the store.
pub(crate) async fn leave(gateway: &Gateway) {
    if gateway.grants.led.borrow_mut().take().is_some() {
        info!(gateway.log, "grantor stops"; "why" => "the host stops");
    }
    let key = format!("{HOST_PREFIX}{}", gateway.settings.host);
    let member = member(gateway);
    let removal: [(&str, &[u8]); 1] = [(&key, b"")];
    let (left, removed) = tokio::join!(
        gateway.store.leave(&member),
        gateway.store.append(HOST_TOPIC, None, &removal)
    );
    for error in [left.err(), removed.err()].into_iter().flatten() {
        warn!(gateway.log, "the store was not told that the host leaves"; "error" => %error);
    }
}

/// Stops granting for a grantor with a newer epoch.
pub(crate) fn stand_down(gateway: &Gateway, epoch: u64) {
    let mut led = gateway.grants.led.borrow_mut();
    if led.as_ref().is_some_and(|led| led.epoch < epoch) {
        info!(gateway.log, "grantor stops"; "why" => "another host took over", "epoch" => epoch);
        *led = None;
    }
}

/// Takes in that the grantor before this one has stopped.
pub(crate) fn note_stopped(gateway: &Gateway, epoch: u64, host: &HostName) {
    let mut led = gateway.grants.led.borrow_mut();
    let Some(led) = led.as_mut().filter(|led| led.epoch == epoch) else {
        return;
    };
    if led.former.as_ref() == Some(host) {
        info!(gateway.log, "former grantor has stopped"; "former" => %host, "epoch" => epoch);
        led.former = None;
        led.is_alone = true;
        for pool in led.pools.values_mut() {
            pool.grantor.note_stopped(Instant::now());
        }
    }
}

/// Gives the former grantor that this one has yet to hear of, with the epoch of this one.
pub(crate) fn find_former(gateway: &Gateway) -> Option<(HostName, u64)> {
    let led = gateway.grants.led.borrow();
    let led = led.as_ref()?;
    Some((led.former.clone()?, led.epoch))
}

/// Takes in a host's counts of requests by key.
pub(crate) fn note_counts(gateway: &Gateway, counts: &KeyCounts) {
    let mut led = gateway.grants.led.borrow_mut();
    let pool = led.as_mut().and_then(|led| led.pools.get_mut(&counts.pool));
    if let Some(pool) = pool {
        pool.rates.note_counts(&counts.counts);
    }
}

async fn elect(gateway: Rc<Gateway>) {
    while !gateway.is_stopping.get() {
        if !gateway.grants.is_new_member.get() {
            // An earlier process of this host may have saved under the epoch that the group still has.
            match gateway.store.leave(&member(&gateway)).await {
                Ok(()) => gateway.grants.is_new_member.set(true),
                Err(error) => {
                    warn!(gateway.log, "group not left before joining"; "error" => %error);
                    sleep(JOIN_PERIOD).await;
                    continue;
                }
            }
        }
        let started = Instant::now();
        let generation = gateway.grants.generation.get();
        let joined = gateway
            .store
            .join(&member(&gateway), HOST_TOPIC, MEMBER_TTL, generation)
            .await;
        match joined {
            Ok(share) => {
                gateway.grants.generation.set(share.generation);
                note_share(
                    &gateway,
                    started,
                    share.generation,
                    share.partitions.contains(&PARTITION),
                )
                .await;
            }
            Err(error) => warn!(gateway.log, "group not joined"; "error" => %error),
        }
        sleep(JOIN_PERIOD).await;
    }
}

async fn note_share(gateway: &Rc<Gateway>, started: Instant, generation: u64, is_grantor: bool) {
    let is_leading = gateway.grants.led.borrow().is_some();
    if !is_grantor {
        if is_leading {
            info!(gateway.log, "grantor stops"; "why" => "another host has the partition", "generation" => generation);
            *gateway.grants.led.borrow_mut() = None;
        }
        return;
    }
    if is_leading {
        if let Some(led) = gateway.grants.led.borrow_mut().as_mut() {
            led.confirmed = started;
            led.is_suspended = false;
        }
        return;
    }
    if gateway.catalog.borrow().is_none() || !gateway.fleet_known.get() || gateway.is_stopping.get() {
        return;
    }
    match take_over(gateway, started, generation).await {
        Ok(led) => {
            info!(gateway.log, "grantor starts"; "epoch" => led.epoch, "tables" => led.found.len());
            *gateway.grants.led.borrow_mut() = Some(led);
        }
        Err(error) => warn!(gateway.log, "grantor can't start"; "epoch" => generation, "error" => %error),
    }
}

/// Shuts out earlier grantors and reads what they saved.
async fn take_over(gateway: &Gateway, started: Instant, epoch: u64) -> Result<Led, StoreError> {
    let tail = Tail {
        producer: PRODUCER.to_owned(),
        epoch,
        sequence: 0,
    };
    gateway.store.append(HOST_TOPIC, Some(&tail), &[]).await?;
    let listing = gateway.store.list(HOST_TOPIC).await?;
    let mut found = BTreeMap::new();
    for record in &listing.records {
        if !record.key.starts_with(TABLE_PREFIX) {
            continue;
        }
        let table = record
            .value
            .as_ref()
            .and_then(|bytes| rmp_serde::from_slice::<KeyTable>(bytes).ok());
        match table.filter(KeyTable::is_whole) {
            Some(table) => {
                found.insert(table.pool.clone(), table);
            }
            // Keys may be held under fences that are not known now, so nothing may be granted.
            None => return Err(StoreError::Unknown(format!("record {} can't be read", record.key))),
        }
    }
    let newest = found.values().max_by_key(|table| table.epoch);
    let former = newest.map(|table| table.grantor.clone());
    let own = &gateway.settings.host;
    Ok(Led {
        epoch,
        since: Instant::now(),
        confirmed: started,
        is_suspended: false,
        // This process leads nothing, and an earlier one of this host has ended.
        is_alone: former.as_ref().is_none_or(|former| former == own),
        former: former.filter(|former| former != own),
        found,
        pools: BTreeMap::new(),
    })
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
        if was_frozen && let Some(led) = gateway.grants.led.borrow_mut().as_mut() {
            warn!(gateway.log, "process was frozen; the store has to confirm the grantor"; "epoch" => led.epoch);
            led.is_suspended = true;
        }
        let catalog = gateway.catalog.borrow().clone();
        if let Some(catalog) = catalog {
            step(&gateway, now, &catalog, &saves);
        }
    }
}

fn step(gateway: &Rc<Gateway>, now: Instant, catalog: &Catalog, saves: &UnboundedSender<Save>) {
    let mut guard = gateway.grants.led.borrow_mut();
    let Some(led) = guard.as_mut() else {
        return;
    };
    if led.is_suspended || now > led.confirmed + UNCONFIRMED_LIMIT {
        return;
    }
    add_pools(gateway, now, led, catalog);
    note_addresses(gateway, led);
    let epoch = led.epoch;
    let since = led.since;
    for (name, pool) in &mut led.pools {
        if now >= since + GATHER_TIME || pool.grantor.table().parts.iter().any(|part| part.owner.is_some()) {
            plan(gateway, now, catalog, name, pool);
        }
        let fleet = gateway.fleet.borrow();
        let addresses = gateway.grants.addresses.borrow();
        let is_ended = |holder: &Holder| fleet.get(&holder.upstream).is_some_and(|u| u.said.born > holder.born);
        let is_known = |holder: &Holder| addresses.contains_key(holder);
        let actions = pool.grantor.tick(now, is_ended, is_known);
        for action in actions {
            start_action(gateway, epoch, name, action, saves);
        }
    }
}

fn add_pools(gateway: &Gateway, now: Instant, led: &mut Led, catalog: &Catalog) {
    let hold = Hold {
        time: GRANT_TIME.min(gateway.bounds.grant),
        renewal: RENEWAL_PERIOD,
        takeover: if led.is_alone {
            Duration::ZERO
        } else {
            UNCONFIRMED_LIMIT
        },
    };
    for pool in catalog.pools.values().filter(|pool| pool.is_sharded) {
        if led.pools.contains_key(&pool.name) {
            continue;
        }
        let host = &gateway.settings.host;
        let mut table = led
            .found
            .remove(&pool.name)
            .unwrap_or_else(|| KeyTable::new(pool.name.clone(), host.clone(), led.epoch));
        table.grantor = host.clone();
        table.epoch = led.epoch;
        table.revision = 0;
        let led_pool = LedPool {
            grantor: Grantor::take_over(now, table, hold),
            rates: KeyRates::default(),
            planned: now,
        };
        led.pools.insert(pool.name.clone(), led_pool);
    }
}

/// Remembers where runs of upstreams are, so that those whose entries are gone can still be told
/// to release keys.
fn note_addresses(gateway: &Gateway, led: &Led) {
    let fleet = gateway.fleet.borrow();
    let mut addresses = gateway.grants.addresses.borrow_mut();
    let is_used = |holder: &Holder| {
        let mut parts = led.pools.values().flat_map(|pool| &pool.grantor.table().parts);
        parts.any(|part| part.owner.as_ref() == Some(holder) || part.previous.contains(holder))
    };
    addresses.retain(|holder, _| fleet.get(&holder.upstream).is_some() || is_used(holder));
    for name in led.pools.keys() {
        for upstream in fleet.in_pool(name) {
            addresses.insert(Holder::of(&upstream.said), upstream.said.address);
        }
    }
    gateway.grants.endpoints.borrow_mut().retain(|holder, endpoint| {
        addresses
            .get(holder)
            .is_some_and(|address| *address == endpoint.address)
    });
}

fn plan(gateway: &Gateway, now: Instant, catalog: &Catalog, name: &PoolName, pool: &mut LedPool) {
    let fleet = gateway.fleet.borrow();
    let Some(settings) = catalog.pools.get(name) else {
        return;
    };
    let usual = usual_time(gateway, catalog, name).as_secs_f64();
    let silent = pool.grantor.silent_since(now.checked_sub(SILENCE_LIMIT).unwrap_or(now));
    let candidates: Vec<Candidate> = fleet
        .in_pool(name)
        .filter(|u| fleet.is_in_service(u))
        .filter(|u| !silent.contains(&Holder::of(&u.said)) && !pool.grantor.has_ended(&Holder::of(&u.said)))
        .map(|u| Candidate {
            holder: Holder::of(&u.said),
            capacity: f64::from(u.said.slots) / (usual * u.load.pace.clamp(0.4, 3.0)),
            limit: u.is_cold(now).then_some(settings.cold_rate * COLD_SHARE),
        })
        .collect();
    let moves = plan_orphans(pool.grantor.table(), &candidates, &pool.rates);
    if !moves.is_empty() {
        log_moves(gateway, name, "owner lost or leaving", &moves);
        pool.grantor.apply(&moves);
    }
    let elapsed = now.duration_since(pool.planned);
    if elapsed >= PLAN_PERIOD {
        pool.planned = now;
        pool.rates.advance(elapsed);
        if pool.grantor.table().parts.iter().all(|part| part.ready) {
            let moves = plan_balance(pool.grantor.table(), &candidates, &pool.rates);
            log_moves(gateway, name, "balance", &moves);
            pool.grantor.apply(&moves);
        }
    }
}

fn log_moves(gateway: &Gateway, pool: &PoolName, why: &str, moves: &[Move]) {
    for next in moves {
        info!(gateway.log, "keys move"; "pool" => %pool, "keys" => %next.span, "owner" => %next.owner.upstream,
            "born" => next.owner.born, "why" => why);
    }
}

/// Gives the usual time of the requests of a pool.
fn usual_time(gateway: &Gateway, catalog: &Catalog, pool: &PoolName) -> Duration {
    let routes = catalog.routes.values().flat_map(BTreeMap::values);
    let first = routes
        .into_iter()
        .find(|route| route.targets.first().is_some_and(|t| t.pool == *pool));
    first.map_or(USUAL_DEFAULT, |route| gateway.usual_time(route))
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
            span,
            fence,
            handover,
            asks_health,
        } => {
            let hold = GRANT_TIME.min(gateway.bounds.grant);
            let order = Order::Grant {
                span,
                fence,
                hold,
                handover,
            };
            spawn_local(async move {
                if asks_health {
                    ask_cold(&gateway, &pool, &holder).await;
                }
                let sent = Instant::now();
                let outcome = grant(&gateway, &holder, &order).await;
                if outcome != GrantOutcome::Taken {
                    warn!(gateway.log, "grant failed"; "upstream" => %holder.upstream, "keys" => %span,
                        "fence" => fence, "outcome" => ?outcome);
                }
                with_grantor(&gateway, epoch, &pool, |grantor| {
                    grantor.note_grant(Instant::now(), &holder, fence, sent, outcome);
                });
            });
        }
        Action::Probe(holder) => {
            // It owns nothing, so giving back a key under the lowest fence changes nothing.
            let span = Span { first: 0, last: 0 };
            let order = Order::Release { span, fence: 0 };
            spawn_local(async move {
                if matches!(release(&gateway, &holder, &order).await, ReleaseOutcome::Released(_)) {
                    info!(gateway.log, "upstream takes grants again"; "upstream" => %holder.upstream);
                    with_grantor(&gateway, epoch, &pool, |grantor| grantor.note_answering(&holder));
                }
            });
        }
        Action::Release { holder, span, fence } => {
            let order = Order::Release { span, fence };
            spawn_local(async move {
                let outcome = release(&gateway, &holder, &order).await;
                info!(gateway.log, "keys released"; "upstream" => %holder.upstream, "keys" => %span, "fence" => fence,
                    "outcome" => outcome.as_str(),
                    "handover" => matches!(outcome, ReleaseOutcome::Released(Some(_))));
                with_grantor(&gateway, epoch, &pool, |grantor| {
                    grantor.note_release(Instant::now(), &holder, fence, outcome);
                });
            });
        }
    }
}

/// Applies a result to the grantor that asked for it, if it still is one.
fn with_grantor(gateway: &Gateway, epoch: u64, pool: &PoolName, apply: impl FnOnce(&mut Grantor)) {
    let mut led = gateway.grants.led.borrow_mut();
    let led = led.as_mut().filter(|led| led.epoch == epoch);
    if let Some(pool) = led.and_then(|led| led.pools.get_mut(pool)) {
        apply(&mut pool.grantor);
    }
}

fn find_endpoint(gateway: &Gateway, holder: &Holder) -> Option<Rc<Endpoint>> {
    let address = *gateway.grants.addresses.borrow().get(holder)?;
    let mut endpoints = gateway.grants.endpoints.borrow_mut();
    let endpoint = endpoints
        .entry(holder.clone())
        .or_insert_with(|| Rc::new(Endpoint::new(address, CONNECT_LIMIT)));
    Some(Rc::clone(endpoint))
}

/// Asks an upstream whose connection broke whether it is cold, and tells all hosts before it gets
/// keys: they would send it their usual load.
async fn ask_cold(gateway: &Gateway, pool: &PoolName, holder: &Holder) {
    let path = gateway
        .catalog
        .borrow()
        .as_ref()
        .and_then(|c| c.pools.get(pool).map(|p| p.health_path.clone()));
    let (Some(path), Some(endpoint)) = (path, find_endpoint(gateway, holder)) else {
        return;
    };
    let request = Request::get(path).header(HOST, "upstream").body(Full::default());
    let Ok(request) = request else {
        return;
    };
    // Without an answer the grant fails as well and is tried again, with this question.
    let Ok(answer) = endpoint.call(request, GRANT_LIMIT).await else {
        return;
    };
    let cold = read_cold(answer.headers());
    info!(gateway.log, "upstream asked after a broken connection"; "upstream" => %holder.upstream,
        "status" => answer.status().as_u16(), "cold_ms" => u64::try_from(cold.as_millis()).unwrap_or(u64::MAX));
    if !cold.is_zero() {
        note_cold(gateway, &holder.upstream, cold);
        gateway.outbox.send(Message::Cold {
            upstream: holder.upstream.clone(),
            millis: u64::try_from(cold.as_millis()).unwrap_or(u64::MAX),
        });
        sleep(COLD_NOTICE).await;
    }
}

/// Takes in that an upstream turned cold.
pub(crate) fn note_cold(gateway: &Gateway, upstream: &UpstreamName, time: Duration) {
    gateway.fleet.borrow_mut().suspect_cold(Instant::now(), upstream, time);
}

async fn grant(gateway: &Gateway, holder: &Holder, order: &Order) -> GrantOutcome {
    let Some(endpoint) = find_endpoint(gateway, holder) else {
        return GrantOutcome::Broken;
    };
    match endpoint.call(encode_order(order, &holder.upstream), GRANT_LIMIT).await {
        Ok(answer) => match answer.status() {
            StatusCode::OK => GrantOutcome::Taken,
            StatusCode::CONFLICT => GrantOutcome::Fenced,
            StatusCode::MISDIRECTED_REQUEST => GrantOutcome::Broken,
            _ => GrantOutcome::Unknown,
        },
        Err(CallError::NotSent(_) | CallError::Broken(_)) => GrantOutcome::Broken,
        Err(CallError::Refused) => GrantOutcome::Refused,
        Err(CallError::Silent(_)) => GrantOutcome::Unknown,
    }
}

async fn release(gateway: &Gateway, holder: &Holder, order: &Order) -> ReleaseOutcome {
    let Some(endpoint) = find_endpoint(gateway, holder) else {
        return ReleaseOutcome::Unknown;
    };
    match endpoint
        .call(encode_order(order, &holder.upstream), RELEASE_LIMIT)
        .await
    {
        Ok(answer) if answer.status() == StatusCode::OK => ReleaseOutcome::Released(read_handover(answer.headers())),
        // Another process has the address, so the one that held the keys has ended.
        Ok(answer) if answer.status() == StatusCode::MISDIRECTED_REQUEST && answer.headers().contains_key(INSTANCE) => {
            ReleaseOutcome::Released(None)
        }
        Err(CallError::Refused) => ReleaseOutcome::Refused,
        Ok(_) | Err(_) => ReleaseOutcome::Unknown,
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
                let change = save.table.changes_since(&old);
                note_change(&gateway, &change);
                gateway.outbox.send(Message::Change(change));
            }
            _ => {
                gateway.refresh_hosts.notify_one();
                gateway.outbox.send(Message::Refresh);
            }
        }
        with_grantor(&gateway, save.epoch, &save.table.pool, |grantor| {
            grantor.note_saved(last_fence);
        });
    }
}

/// Saves a table; an append whose answer was lost is repeated as it was until it is answered.
async fn save_table(gateway: &Gateway, save: &Save, sequence: u64) -> bool {
    let key = format!("{TABLE_PREFIX}{}", save.table.pool);
    let bytes = rmp_serde::to_vec(&save.table).expect("names and numbers have a MessagePack form");
    let tail = Tail {
        producer: PRODUCER.to_owned(),
        epoch: save.epoch,
        sequence,
    };
    loop {
        let is_leading = gateway
            .grants
            .led
            .borrow()
            .as_ref()
            .is_some_and(|led| led.epoch == save.epoch);
        if !is_leading {
            return false;
        }
        match gateway.store.append(HOST_TOPIC, Some(&tail), &[(&key, &bytes)]).await {
            Ok(_) => return true,
            Err(StoreError::Fenced(text)) => {
                warn!(gateway.log, "grantor stops"; "why" => "a newer epoch is in force", "answer" => text);
                *gateway.grants.led.borrow_mut() = None;
                return false;
            }
            Err(StoreError::OutOfSequence(text)) => {
                warn!(gateway.log, "grantor stops"; "why" => "its epoch was used before", "answer" => text);
                gateway.grants.is_new_member.set(false);
                *gateway.grants.led.borrow_mut() = None;
                return false;
            }
            Err(error) => {
                warn!(gateway.log, "owners of keys not saved"; "pool" => %save.table.pool, "error" => %error);
                sleep(TICK_PERIOD).await;
            }
        }
    }
}
