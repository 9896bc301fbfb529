//! Follows the store's topics: the operators' records, the upstreams' and the hosts' own.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::state::{Gateway, Presence};
use crate::catalog::CatalogVersion;
use crate::fleet::Change;
use crate::keys::{KeyTable, TableChange};
use crate::platform::{
    HOST_TOPIC, OPERATOR_TOPIC, OperatorKey, Record, StoreError, UPSTREAM_TOPIC, decode_catalog, decode_server,
    read_operator_key,
};
use crate::types::{Offset, UpstreamName, Zone};

/// Time for which the store holds a read without records; silent connections show by keep-alive.
const READ_WAIT: Duration = Duration::from_secs(20);
/// The same while the store is disturbed: a waiting read may then miss a record, and the next one
/// has to find it within the bound on new configurations.
const SHORT_READ_WAIT: Duration = Duration::from_millis(700);
/// Time between two reads of the upstreams' records, which come tens of times a second; within the
/// shortest bound on draining, with a margin for the read.
const UPSTREAM_PERIOD: Duration = Duration::from_millis(1_300);
/// The same while the store is disturbed, so that a failed read can be made again within the bound.
const UPSTREAM_PERIOD_SHORT: Duration = Duration::from_millis(600);
/// Time between two reads of the hosts' records; the grantor sends changes of owners itself.
const HOST_PERIOD: Duration = Duration::from_secs(2);
/// Pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time between two looks for upstreams and connections whose time is over.
const SWEEP_PERIOD: Duration = Duration::from_millis(250);

/// Start of the keys under which hosts say where they are.
pub(crate) const HOST_PREFIX: &str = "host/";
/// Start of the keys under which the grantor saves the owners of a pool's keys.
pub(crate) const TABLE_PREFIX: &str = "keys/";

/// Something that follows a topic.
trait Follower {
    const TOPIC: &'static str;
    /// Time for which a read waits for a record.
    const WAIT: Duration;

    /// Waits until the next read is due.
    async fn pause(&mut self, gateway: &Gateway);

    /// Takes in a record, in the order of the topic.
    fn apply(&mut self, gateway: &Gateway, record: &Record);

    /// Takes in that a listing is complete: keys that it doesn't have are gone.
    fn reset(&mut self, gateway: &Gateway, keys: &BTreeSet<&str>);
}

/// Starts the tasks that follow the topics.
pub(crate) fn start_watches(gateway: &Rc<Gateway>) {
    spawn_local(follow(Rc::clone(gateway), Operators));
    spawn_local(follow(Rc::clone(gateway), Upstreams));
    spawn_local(follow(Rc::clone(gateway), Hosts));
    spawn_local(sweep(Rc::clone(gateway)));
}

async fn follow<F: Follower + 'static>(gateway: Rc<Gateway>, mut follower: F) {
    let mut next: Option<Offset> = None;
    let mut is_lost = false;
    loop {
        let result = match next {
            None => list(&gateway, &mut follower).await,
            Some(from) => read(&gateway, &mut follower, from).await,
        };
        match result {
            Ok(offset) => {
                if std::mem::take(&mut is_lost) {
                    info!(gateway.log, "store regained"; "topic" => F::TOPIC, "offset" => offset.0);
                }
                let is_first = next.replace(offset).is_none();
                if !is_first {
                    follower.pause(&gateway).await;
                }
            }
            Err(StoreError::Gone(first)) => {
                info!(gateway.log, "records gone, listing again"; "topic" => F::TOPIC, "first" => first.0);
                next = None;
            }
            Err(error) => {
                gateway.fleet.borrow_mut().note_store_failure(Instant::now());
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(gateway.log, "store lost"; "topic" => F::TOPIC, "error" => %error);
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn list<F: Follower>(gateway: &Gateway, follower: &mut F) -> Result<Offset, StoreError> {
    let listing = gateway.store.list(F::TOPIC).await?;
    for record in &listing.records {
        follower.apply(gateway, record);
    }
    let keys = listing.records.iter().map(|record| record.key.as_str()).collect();
    follower.reset(gateway, &keys);
    Ok(listing.next)
}

async fn read<F: Follower>(gateway: &Gateway, follower: &mut F, from: Offset) -> Result<Offset, StoreError> {
    let store = &gateway.store;
    let is_short = F::WAIT.is_zero() || store.is_disturbed(Instant::now());
    let batch = if is_short {
        store.read(F::TOPIC, from, F::WAIT.min(SHORT_READ_WAIT)).await?
    } else {
        tokio::select! {
            batch = store.read(F::TOPIC, from, F::WAIT) => batch?,
            () = store.wait_disturbance() => return Ok(from),
        }
    };
    for record in &batch.records {
        follower.apply(gateway, record);
    }
    Ok(batch.next)
}

/// Follows the configuration and the zones that operators take out of service.
struct Operators;

impl Follower for Operators {
    const TOPIC: &'static str = OPERATOR_TOPIC;
    const WAIT: Duration = READ_WAIT;

    async fn pause(&mut self, _: &Gateway) {}

    fn apply(&mut self, gateway: &Gateway, record: &Record) {
        match (read_operator_key(&record.key), &record.value) {
            (OperatorKey::Configuration, Some(text)) => apply_catalog(gateway, record.offset, text),
            (OperatorKey::Configuration, None) => {
                warn!(gateway.log, "configuration removed; the last one stays"; "offset" => record.offset.0);
            }
            (OperatorKey::Evacuation(zone), value) => apply_evacuation(gateway, &zone, value.is_some()),
            (OperatorKey::Other, _) => {}
        }
    }

    fn reset(&mut self, gateway: &Gateway, keys: &BTreeSet<&str>) {
        let closed: BTreeSet<String> = keys
            .iter()
            .filter_map(|key| match read_operator_key(key) {
                OperatorKey::Evacuation(zone) => Some(zone),
                OperatorKey::Configuration | OperatorKey::Other => None,
            })
            .collect();
        gateway
            .fleet
            .borrow_mut()
            .keep_closed(|zone| closed.contains(zone.as_str()));
    }
}

/// Takes a configuration into use if it is newer than the one in force.
pub(crate) fn apply_catalog(gateway: &Gateway, offset: Offset, text: &[u8]) {
    let known = gateway.catalog.borrow().as_ref().map(|c| (c.version, c.offset));
    match decode_catalog(offset, text) {
        Ok(catalog) if known.is_some_and(|(version, at)| catalog.version <= version && at != offset) => {
            warn!(gateway.log, "older configuration passed over"; "version" => %catalog.version,
                "offset" => offset.0, "in_force" => %known.map_or(CatalogVersion(0), |(version, _)| version));
        }
        Ok(_) if known.is_some_and(|(_, at)| at == offset) => {}
        Ok(catalog) => {
            info!(gateway.log, "configuration in force"; "version" => %catalog.version, "offset" => offset.0,
                "pools" => catalog.pools.len());
            *gateway.catalog.borrow_mut() = Some(Rc::new(catalog));
        }
        Err(error) => {
            warn!(gateway.log, "configuration can't be read; the last one stays"; "offset" => offset.0,
                "error" => %error);
        }
    }
}

fn apply_evacuation(gateway: &Gateway, zone: &str, is_closed: bool) {
    let Ok(zone) = zone.parse::<Zone>() else {
        warn!(gateway.log, "zone name can't be read"; "zone" => zone);
        return;
    };
    info!(gateway.log, "zone service changed"; "zone" => %zone, "in_service" => !is_closed);
    let mut fleet = gateway.fleet.borrow_mut();
    if is_closed {
        fleet.close_zone(zone);
    } else {
        fleet.open_zone(&zone);
    }
}

/// Follows what upstreams announce.
struct Upstreams;

impl Follower for Upstreams {
    const TOPIC: &'static str = UPSTREAM_TOPIC;
    const WAIT: Duration = Duration::ZERO;

    async fn pause(&mut self, gateway: &Gateway) {
        let is_disturbed = gateway.store.is_disturbed(Instant::now());
        let period = if is_disturbed {
            UPSTREAM_PERIOD_SHORT
        } else {
            UPSTREAM_PERIOD
        };
        sleep(period).await;
    }

    fn apply(&mut self, gateway: &Gateway, record: &Record) {
        let now = Instant::now();
        let mut fleet = gateway.fleet.borrow_mut();
        let Some(text) = &record.value else {
            if let Ok(name) = record.key.parse() {
                info!(gateway.log, "upstream entry gone"; "upstream" => %name, "offset" => record.offset.0);
                fleet.remove(now, &name);
            }
            return;
        };
        match decode_server(&record.key, text) {
            Ok(said) => {
                let (name, phase, born) = (said.upstream.clone(), said.phase, said.born);
                let cold_ms = u64::try_from(said.cold_left.as_millis()).unwrap_or(u64::MAX);
                let change = fleet.announce(now, said);
                if matches!(change, Change::Joined | Change::Updated) {
                    info!(gateway.log, "upstream known"; "upstream" => %name, "phase" => ?phase, "born" => born,
                        "cold_ms" => cold_ms, "offset" => record.offset.0);
                }
            }
            // It names no upstream that may be used; what was known of the name holds.
            Err(error) => {
                warn!(gateway.log, "upstream entry can't be read"; "key" => &record.key,
                    "offset" => record.offset.0, "error" => error);
            }
        }
    }

    fn reset(&mut self, gateway: &Gateway, keys: &BTreeSet<&str>) {
        let listed: BTreeSet<UpstreamName> = keys.iter().filter_map(|key| key.parse().ok()).collect();
        gateway.fleet.borrow_mut().retain(Instant::now(), &listed);
        gateway.fleet_known.set(true);
    }
}

/// Follows the hosts and the owners of keys.
struct Hosts;

impl Follower for Hosts {
    const TOPIC: &'static str = HOST_TOPIC;
    const WAIT: Duration = Duration::ZERO;

    async fn pause(&mut self, gateway: &Gateway) {
        // The limit is the usual end; an earlier one is asked for when something was missed.
        let _ = timeout(HOST_PERIOD, gateway.refresh_hosts.notified()).await;
    }

    fn apply(&mut self, gateway: &Gateway, record: &Record) {
        if let Some(host) = record.key.strip_prefix(HOST_PREFIX) {
            apply_host(gateway, host, record);
        } else if let Some(pool) = record.key.strip_prefix(TABLE_PREFIX) {
            apply_table(gateway, pool, record);
        }
    }

    fn reset(&mut self, gateway: &Gateway, keys: &BTreeSet<&str>) {
        let listed = |host: &str| keys.contains(format!("{HOST_PREFIX}{host}").as_str());
        gateway.hosts.borrow_mut().retain(|host, _| listed(host.as_str()));
    }
}

fn apply_host(gateway: &Gateway, host: &str, record: &Record) {
    let Ok(host) = host.parse() else {
        warn!(gateway.log, "host name can't be read"; "key" => &record.key);
        return;
    };
    let mut hosts = gateway.hosts.borrow_mut();
    match &record.value {
        None => {
            hosts.remove(&host);
        }
        Some(text) => match serde_json::from_slice::<Presence>(text) {
            Ok(presence) => {
                hosts.insert(host, presence);
            }
            Err(error) => warn!(gateway.log, "host entry can't be read"; "key" => &record.key, "error" => %error),
        },
    }
}

fn apply_table(gateway: &Gateway, pool: &str, record: &Record) {
    let table = record.value.as_ref();
    let table = table.and_then(|bytes| rmp_serde::from_slice::<KeyTable>(bytes).ok());
    match table.filter(|table| table.is_whole() && table.pool.as_str() == pool) {
        Some(table) => note_table(gateway, table),
        None => warn!(gateway.log, "owners of keys can't be read"; "key" => &record.key, "offset" => record.offset.0),
    }
}

/// Takes in a table if it is newer than the one that is known.
fn note_table(gateway: &Gateway, table: KeyTable) {
    let known = gateway.tables.borrow().get(&table.pool).cloned();
    if known.is_some_and(|known| !table.is_after(&known)) {
        return;
    }
    info!(gateway.log, "owners of keys known"; "pool" => %table.pool, "grantor" => %table.grantor,
        "epoch" => table.epoch, "revision" => table.revision, "last_fence" => table.last_fence,
        "parts" => table.parts.len(), "ready" => table.parts.iter().filter(|p| p.ready).count());
    gateway.use_table(Instant::now(), table);
}

/// Takes in a change that the grantor sent after it was saved; reads the store if it doesn't fit.
pub(crate) fn note_change(gateway: &Gateway, change: &TableChange) {
    let known = gateway.tables.borrow().get(&change.pool).cloned();
    if known
        .as_ref()
        .is_some_and(|known| (known.epoch, known.revision) >= (change.epoch, change.revision))
    {
        return;
    }
    match known.and_then(|known| known.with_change(change)) {
        Some(table) => note_table(gateway, table),
        None => gateway.refresh_hosts.notify_one(),
    }
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        sleep(SWEEP_PERIOD).await;
        let now = Instant::now();
        for name in gateway.fleet.borrow_mut().expire(now) {
            info!(gateway.log, "upstream didn't come back after the store's outage"; "upstream" => %name);
        }
        gateway.connections.sweep(now);
    }
}
