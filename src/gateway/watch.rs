//! Applies the records of the store's topics: those of operators, of upstreams and of hosts.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::crashes::{record_end, resend_reports};
use super::feed::{follow_topics, reconcile, retry_deferred};
use super::state::{Gateway, Presence};
use crate::catalog::Currency;
use crate::fleet::Change;
use crate::keys::{KeyTable, TableDelta};
use crate::platform::{Decoded, OperatorKey, Record, decode_catalog, decode_server, read_operator_key};
use crate::relay::{Topic, Update};
use crate::types::{Offset, PoolName, UpstreamName, Zone};

/// Time between two sweeps for upstreams and connections that have expired.
const SWEEP_PERIOD: Duration = Duration::from_millis(250);

/// Prefix of the keys of host entries.
pub(crate) const HOST_PREFIX: &str = "host/";
/// Prefix of the keys under which the grantor saves the key tables of pools.
pub(crate) const TABLE_PREFIX: &str = "keys/";

/// Starts the tasks that follow the store and remove expired upstreams and connections.
pub(crate) fn start_watches(gateway: &Rc<Gateway>) {
    spawn_local(follow_topics(Rc::clone(gateway)));
    spawn_local(sweep(Rc::clone(gateway)));
}

/// Applies a record and returns the update to be relayed, if there is one. Records must come in the
/// order of the topic.
pub(crate) fn apply_record(gateway: &Gateway, topic: Topic, record: &Record) -> Option<Update> {
    match topic {
        Topic::Operators => apply_operator_record(gateway, record),
        Topic::Upstreams => apply_upstream_record(gateway, record),
        Topic::Hosts => apply_host_record(gateway, record),
    }
}

/// Applies the records of a complete listing.
///
/// A listing is unsettled while others may still write again what the store has lost by its return from an older copy. It
/// then replaces nothing that has no version, and removes nothing but upstreams, which have a grace period.
pub(crate) fn apply_listing(gateway: &Gateway, topic: Topic, records: &[Record], is_settled: bool) {
    for record in records {
        let is_newer = is_settled || !is_known_newer(gateway, topic, record);
        if is_newer && !is_returned_entry(gateway, topic, record) {
            apply_record(gateway, topic, record);
        }
    }
    if is_settled || topic == Topic::Upstreams {
        let keys = records.iter().map(|record| record.key.as_str()).collect();
        retain_listed(gateway, topic, &keys);
    }
}

/// Reports whether what this host knows of a record's key may be newer than the record and can't be compared with it.
fn is_known_newer(gateway: &Gateway, topic: Topic, record: &Record) -> bool {
    match topic {
        Topic::Operators => matches!(read_operator_key(&record.key), OperatorKey::Evacuation(_)),
        Topic::Upstreams => false,
        Topic::Hosts => {
            let host = record.key.strip_prefix(HOST_PREFIX);
            host.and_then(|host| host.parse().ok())
                .is_some_and(|host| gateway.knows_host(&host))
        }
    }
}

/// Reports whether a record is the entry of a process that had removed it before the store came back from an older copy.
pub(super) fn is_returned_entry(gateway: &Gateway, topic: Topic, record: &Record) -> bool {
    let host = record.key.strip_prefix(HOST_PREFIX).and_then(|host| host.parse().ok());
    let entry = record.value.as_ref();
    let entry = entry.and_then(|text| serde_json::from_slice::<Presence>(text).ok());
    let (Topic::Hosts, Some(host), Some(entry)) = (topic, host, entry) else {
        return false;
    };
    let removed = gateway.lost_removals.borrow().get(&host).copied();
    removed == Some(entry.incarnation) && !gateway.hosts.borrow().contains_key(&host)
}

/// Drops closed zones, upstreams and hosts whose keys are missing from a complete listing of their topic.
fn retain_listed(gateway: &Gateway, topic: Topic, keys: &BTreeSet<&str>) {
    match topic {
        Topic::Operators => {
            let zones = keys.iter().filter_map(|key| match read_operator_key(key) {
                OperatorKey::Evacuation(zone) => Some(zone),
                OperatorKey::Configuration | OperatorKey::Other => None,
            });
            let closed: BTreeSet<String> = zones.collect();
            let mut fleet = gateway.fleet.borrow_mut();
            fleet.retain_closed_zones(|zone| closed.contains(zone.as_str()));
        }
        Topic::Upstreams => {
            let listed: BTreeSet<UpstreamName> = keys.iter().filter_map(|key| key.parse().ok()).collect();
            gateway.fleet.borrow_mut().retain(Instant::now(), &listed);
            gateway.fleet_known.set(true);
        }
        Topic::Hosts => {
            let listed = |host: &str| keys.contains(format!("{HOST_PREFIX}{host}").as_str());
            let mut gone = Vec::new();
            gateway.hosts.borrow_mut().retain(|host, _| {
                let is_listed = listed(host.as_str());
                gone.extend((!is_listed).then(|| host.clone()));
                is_listed
            });
            for host in gone {
                gateway.record_departure(Instant::now(), host);
            }
        }
    }
}

fn apply_operator_record(gateway: &Gateway, record: &Record) -> Option<Update> {
    match (read_operator_key(&record.key), &record.value) {
        (OperatorKey::Configuration, Some(text)) => apply_catalog(gateway, record.offset, text),
        (OperatorKey::Configuration, None) => {
            warn!(gateway.log, "configuration record removed; the previous configuration stays in use";
                "offset" => record.offset.0);
        }
        (OperatorKey::Evacuation(zone), value) => apply_evacuation(gateway, &zone, value.is_some()),
        (OperatorKey::Other, _) => return None,
    }
    Some(Update::Record(record.clone()))
}

/// Reports whether this host can tell callers that something isn't configured: it knows the newest configuration.
pub(super) fn proves_absence(gateway: &Gateway) -> bool {
    let now = Instant::now();
    let currency = Currency {
        has_newer: gateway.unread_catalog.get().is_some()
            || gateway.feed.lacks_records(Topic::Operators)
            || !gateway.feed.is_store_complete(now),
        age: gateway.feed.schedule.get().age(now),
    };
    currency.proves_absence(gateway.bounds.configuration)
}

/// Installs a configuration if its version is higher than that of the one in force. The version alone decides: the store may
/// give out an offset again.
pub(crate) fn apply_catalog(gateway: &Gateway, offset: Offset, text: &[u8]) {
    let known = gateway.catalog.borrow().as_ref().map(|c| (c.version, c.offset));
    let decoded = decode_catalog(offset, text);
    let unread = gateway.unread_catalog.get().filter(|unread| *unread > offset);
    gateway
        .unread_catalog
        .set(unread.or(decoded.is_err().then_some(offset)));
    match decoded {
        Ok(decoded) if known.is_some_and(|(version, _)| decoded.catalog.version < version) => {
            let (version, known_offset) = known.unwrap_or_default();
            warn!(gateway.log, "older configuration passed over"; "version" => %decoded.catalog.version,
                "offset" => offset.0, "in_force" => %version, "in_force_offset" => known_offset.0);
        }
        Ok(decoded) if known.is_some_and(|(version, _)| decoded.catalog.version == version) => {}
        Ok(Decoded { catalog, faults, .. }) => {
            for fault in faults {
                warn!(gateway.log, "part of the configuration can't be used"; "version" => %catalog.version,
                    "offset" => offset.0, "fault" => %fault);
            }
            info!(gateway.log, "configuration in force"; "version" => %catalog.version, "offset" => offset.0,
                "pools" => catalog.pools.len());
            gateway.memory.set_largest_body(catalog.limits.body_bytes);
            let limits = catalog.limits.clone();
            let previous = gateway.catalog.borrow_mut().replace(Rc::new(catalog));
            if previous.is_none_or(|previous| previous.limits != limits) {
                gateway.limits_changed.notify_waiters();
            }
            gateway.reset_cold_quotas();
            gateway.catalog_changed.set(Some(Instant::now()));
        }
        Err(error) => {
            warn!(gateway.log, "configuration can't be read; the previous one stays in use"; "offset" => offset.0,
                "error" => %error);
        }
    }
}

fn apply_evacuation(gateway: &Gateway, zone: &str, is_closed: bool) {
    let Ok(zone) = zone.parse::<Zone>() else {
        warn!(gateway.log, "evacuation entry ignored: invalid availability zone name"; "zone" => zone);
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

/// Applies the announcement of an upstream. Most only repeat what is known, so they aren't relayed.
fn apply_upstream_record(gateway: &Gateway, record: &Record) -> Option<Update> {
    let now = Instant::now();
    let mut fleet = gateway.fleet.borrow_mut();
    let Some(text) = &record.value else {
        let name = record.key.parse().ok()?;
        info!(gateway.log, "upstream entry gone"; "upstream" => %name, "offset" => record.offset.0);
        fleet.remove(now, &name);
        return Some(Update::Record(record.clone()));
    };
    match decode_server(&record.key, text) {
        Ok(announcement) => {
            let (name, phase, incarnation) = (
                announcement.upstream.clone(),
                announcement.phase,
                announcement.incarnation,
            );
            let zone = announcement.zone.clone();
            let cold_ms = u64::try_from(announcement.cold_left.as_millis()).unwrap_or(u64::MAX);
            let is_restart = fleet
                .get(&name)
                .is_some_and(|u| u.announcement.incarnation < incarnation);
            let change = fleet.announce(now, announcement);
            if is_restart {
                record_end(gateway, now, &name, "new incarnation");
            }
            if !matches!(change, Change::Joined | Change::Updated) {
                return None;
            }
            info!(gateway.log, "upstream known"; "upstream" => %name, "zone" => %zone, "phase" => ?phase, "born" => incarnation,
                "cold_ms" => cold_ms, "offset" => record.offset.0);
            Some(Update::Record(record.clone()))
        }
        // The entry can't be used; the last valid announcement of the upstream stays in force.
        Err(error) => {
            warn!(gateway.log, "upstream entry can't be read"; "key" => &record.key,
                "offset" => record.offset.0, "error" => error);
            None
        }
    }
}

fn apply_host_record(gateway: &Gateway, record: &Record) -> Option<Update> {
    if let Some(host) = record.key.strip_prefix(HOST_PREFIX) {
        apply_presence(gateway, host, record);
        return Some(Update::Record(record.clone()));
    }
    let table = apply_table(gateway, record.key.strip_prefix(TABLE_PREFIX)?, record)?;
    Some(Update::Owners {
        pool: table.0,
        epoch: table.1,
        revision: table.2,
    })
}

fn apply_presence(gateway: &Gateway, host: &str, record: &Record) {
    let Ok(host) = host.parse() else {
        warn!(gateway.log, "host entry ignored: invalid host name in its key"; "key" => &record.key);
        return;
    };
    let mut hosts = gateway.hosts.borrow_mut();
    match &record.value {
        None => {
            let known = hosts.remove(&host);
            if let Some(known) = &known {
                gateway.removed.borrow_mut().insert(host.clone(), known.incarnation);
            }
            if known.is_some() || host == gateway.settings.host {
                gateway.record_departure(Instant::now(), host);
            }
        }
        Some(text) => match serde_json::from_slice::<Presence>(text) {
            Ok(presence) => {
                gateway.record_arrival(&host);
                let known = hosts.insert(host.clone(), presence.clone());
                if known.as_ref() != Some(&presence) {
                    // A new process doesn't know the suspects yet.
                    if host != gateway.settings.host {
                        gateway.suspects.borrow_mut().retire_process(&host);
                    }
                    resend_reports(gateway, hosts.keys());
                }
            }
            Err(error) => warn!(gateway.log, "host entry can't be decoded; the previous one stays";
                "key" => &record.key, "error" => %error),
        },
    }
}

/// Applies the key table of a pool and returns the table's pool, epoch and revision, or `None` if the
/// table is invalid.
fn apply_table(gateway: &Gateway, pool: &str, record: &Record) -> Option<(PoolName, u64, u64)> {
    let table = record.value.as_ref();
    let table = table.and_then(|bytes| rmp_serde::from_slice::<KeyTable>(bytes).ok());
    let Some(table) = table.filter(|table| table.is_complete() && table.pool.as_str() == pool) else {
        warn!(gateway.log, "key table is damaged, incomplete or of another pool; key owners stay as they are";
            "key" => &record.key, "offset" => record.offset.0);
        return None;
    };
    let saved = (table.pool.clone(), table.epoch, table.revision);
    apply_newer_table(gateway, table);
    Some(saved)
}

/// Reports whether this host has the key table of a pool as of an epoch and revision, or a newer one.
pub(crate) fn has_table(gateway: &Gateway, pool: &PoolName, saved: (u64, u64)) -> bool {
    let tables = gateway.tables.borrow();
    tables
        .get(pool)
        .is_some_and(|table| (table.epoch, table.revision) >= saved)
}

/// Installs a key table if it is newer than the known one.
pub(super) fn apply_newer_table(gateway: &Gateway, table: KeyTable) {
    let known = gateway.tables.borrow().get(&table.pool).cloned();
    if known.is_some_and(|known| !table.is_newer_than(&known)) {
        return;
    }
    gateway.grants.record_epoch(table.epoch);
    info!(gateway.log, "owners of keys known"; "pool" => %table.pool, "grantor" => %table.grantor,
        "epoch" => table.epoch, "revision" => table.revision, "last_fence" => table.last_fence,
        "parts" => table.assignments.len(), "ready" => table.assignments.iter().filter(|p| p.ready).count());
    gateway.install_table(Instant::now(), table);
}

/// Applies a delta that the grantor has saved, and those that waited for it. A delta that doesn't build on the known table
/// waits a short time for the one before it.
pub(crate) fn apply_table_delta(gateway: &Gateway, delta: &TableDelta) {
    let known = gateway.tables.borrow().get(&delta.pool).cloned();
    if known
        .as_ref()
        .is_some_and(|known| (known.epoch, known.revision) >= (delta.epoch, delta.revision))
    {
        return;
    }
    match known.and_then(|known| known.apply_delta(delta)) {
        Some(table) => {
            apply_newer_table(gateway, table);
            let mut deferred = gateway.feed.take_deferred_owners();
            deferred.sort_by_key(|delta| delta.revision);
            for delta in deferred {
                apply_table_delta(gateway, &delta);
            }
        }
        None => gateway.feed.defer_owners(delta.clone()),
    }
}

async fn sweep(gateway: Rc<Gateway>) {
    loop {
        sleep(SWEEP_PERIOD).await;
        let now = Instant::now();
        for name in gateway.fleet.borrow_mut().expire(now) {
            info!(gateway.log, "upstream removed: not announced again after the store outage"; "upstream" => %name);
        }
        gateway.connections.sweep(now);
        gateway.runs.borrow_mut().sweep(now);
        gateway.suspects.borrow_mut().sweep(now);
        gateway.sweep_departed(now);
        retry_deferred(&gateway, now);
        reconcile(&gateway, now);
        gateway.refresh_owners(now);
    }
}
