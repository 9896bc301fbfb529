//! Leader election for the grantor, through a group of the store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, sleep};

use super::feed::{election_rank, follow_era};
use super::grants::{GRANTOR_PRODUCER, GrantorState, PoolGrantor, other_hosts};
use super::state::Gateway;
use super::watch::{HOST_PREFIX, TABLE_PREFIX};
use crate::keys::{Confirmations, KeyTable, epoch_of, era_of};
use crate::platform::{HOST_TOPIC, Member, ProducerState, StoreError};
use crate::types::PoolName;

/// Group in the store whose member with [`GRANTOR_PARTITION`] is the grantor.
const ELECTION_GROUP: &str = "ragworthub-grantor";
/// Partition of the host topic that holds the records of all hosts.
const GRANTOR_PARTITION: u32 = 0;
/// Time to live of a membership, after which a member that has not joined again loses its
/// partitions; the store's minimum is 1 s.
const MEMBER_TTL: Duration = Duration::from_millis(1_200);
/// Time between two joins, each of which renews the membership.
const JOIN_PERIOD: Duration = Duration::from_millis(400);

fn member(gateway: &Gateway) -> Member {
    Member {
        group: ELECTION_GROUP.to_owned(),
        name: gateway.settings.host.to_string(),
    }
}

/// Steps down, leaves the election group and removes this host's entry from the store.
pub(crate) async fn leave(gateway: &Gateway) {
    if gateway.grants.active.borrow_mut().take().is_some() {
        info!(gateway.log, "grantor stops"; "why" => "this host is shutting down");
    }
    let key = format!("{HOST_PREFIX}{}", gateway.settings.host);
    let member = member(gateway);
    let removal: [(&str, &[u8]); 1] = [(&key, b"")];
    let (left, removed) = tokio::join!(
        gateway.store.leave(&member),
        gateway.store.append(HOST_TOPIC, None, &removal)
    );
    for error in [left.err(), removed.err()].into_iter().flatten() {
        warn!(gateway.log, "departure of this host not confirmed by the store; its membership or entry may remain";
            "error" => %error);
    }
}

pub(super) async fn run_election(gateway: Rc<Gateway>) {
    let mut is_member = false;
    while !gateway.is_stopping.get() {
        let schedule = gateway.feed.schedule.get();
        let is_cut = gateway.is_cut_off();
        if is_cut && gateway.grants.active.borrow_mut().take().is_some() {
            info!(gateway.log, "grantor stops"; "why" => "this host reaches no upstream");
        }
        let is_candidate = schedule.is_election_candidate(Instant::now(), election_rank(&gateway));
        if is_cut || !(gateway.grants.is_grantor() || is_candidate) {
            if std::mem::take(&mut is_member) {
                let why = if is_cut {
                    "it reaches no upstream"
                } else {
                    "reader hosts relay the store's records to it"
                };
                info!(gateway.log, "host leaves the election"; "why" => why);
                // If this fails, the membership ends with its TTL.
                gateway.grants.leave_confirmed.set(false);
                leave_group(&gateway).await;
            }
            sleep(JOIN_PERIOD).await;
            continue;
        }
        // Leaving first gives this process a new epoch: an earlier process of this host may have saved
        // tables under the epoch that the group still has.
        if !gateway.grants.leave_confirmed.get() && !leave_group(&gateway).await {
            sleep(JOIN_PERIOD).await;
            continue;
        }
        is_member = true;
        let started = Instant::now();
        let generation = gateway.grants.generation.get();
        let joined = gateway
            .store
            .join(&member(&gateway), HOST_TOPIC, MEMBER_TTL, generation)
            .await;
        match joined {
            Ok(share) => {
                let era = gateway.store.era();
                follow_era(&gateway, era);
                gateway.grants.generation.set(share.generation);
                let epoch = epoch_of(era, share.generation);
                let has_partition = share.partitions.contains(&GRANTOR_PARTITION);
                apply_group_share(&gateway, started, epoch, has_partition).await;
            }
            Err(error) => warn!(gateway.log, "group not joined"; "error" => %error),
        }
        sleep(JOIN_PERIOD).await;
    }
}

/// Leaves the group, so that the next membership has a new generation. Returns whether the store
/// has confirmed a leave.
async fn leave_group(gateway: &Gateway) -> bool {
    match gateway.store.leave(&member(gateway)).await {
        Ok(()) => gateway.grants.leave_confirmed.set(true),
        Err(error) => warn!(gateway.log, "can't leave the election group; trying again before the next join";
            "error" => %error),
    }
    gateway.grants.leave_confirmed.get()
}

async fn apply_group_share(gateway: &Rc<Gateway>, started: Instant, epoch: u64, has_partition: bool) {
    let active_epoch = gateway.grants.active.borrow().as_ref().map(|active| active.epoch);
    if !has_partition {
        if active_epoch.is_some() {
            info!(gateway.log, "grantor stops"; "why" => "this host no longer has the partition of the grantor",
                "epoch" => epoch);
            *gateway.grants.active.borrow_mut() = None;
        }
        return;
    }
    // A group of a later era doesn't confirm the epoch of an earlier one.
    if active_epoch.is_some_and(|active| era_of(active) == era_of(epoch)) {
        if let Some(active) = gateway.grants.active.borrow_mut().as_mut() {
            active.confirmations.by_store = started;
            active.needs_confirmation = false;
        }
        return;
    }
    if gateway.catalog.borrow().is_none() || !gateway.fleet_known.get() || gateway.is_stopping.get() {
        return;
    }
    match take_over(gateway, started, epoch).await {
        Ok(active) => {
            info!(gateway.log, "grantor starts"; "epoch" => active.epoch, "tables" => active.saved_tables.len(),
                "continued" => active.pools.len());
            *gateway.grants.active.borrow_mut() = Some(active);
        }
        Err(error) => warn!(gateway.log, "takeover as grantor failed; trying again after the next join";
            "epoch" => epoch, "error" => %error),
    }
}

/// Makes the store reject saves of earlier grantors and reads the tables that they saved. Those that this host knows go before
/// older ones in the store, which may have come back from a copy.
async fn take_over(gateway: &Gateway, started: Instant, epoch: u64) -> Result<GrantorState, StoreError> {
    let producer = ProducerState {
        producer: GRANTOR_PRODUCER.to_owned(),
        epoch,
        sequence: 0,
    };
    gateway.store.append(HOST_TOPIC, Some(&producer), &[]).await?;
    let listing = gateway.store.list(HOST_TOPIC).await?;
    let mut saved_tables = BTreeMap::new();
    for record in &listing.records {
        if !record.key.starts_with(TABLE_PREFIX) {
            continue;
        }
        let table = record
            .value
            .as_ref()
            .and_then(|bytes| rmp_serde::from_slice::<KeyTable>(bytes).ok());
        match table.filter(KeyTable::is_complete) {
            Some(table) => {
                saved_tables.insert(table.pool.clone(), table);
            }
            // Keys may be leased under fences that are not known now, so nothing may be granted.
            None => return Err(StoreError::Unknown(format!("key table {} isn't valid", record.key))),
        }
    }
    if gateway.store.era() != era_of(epoch) {
        let text = "the store came back from an older copy during the takeover".to_owned();
        return Err(StoreError::Unknown(text));
    }
    for table in gateway.tables.borrow().values() {
        keep_newest(&mut saved_tables, table);
    }
    gateway.grants.record_epoch(epoch);
    Ok(GrantorState {
        epoch,
        active_since: Instant::now(),
        confirmations: Confirmations {
            by_store: started,
            by_witness: BTreeMap::new(),
        },
        needs_confirmation: false,
        last_responses: BTreeMap::new(),
        pools: continue_pools(gateway, epoch, &mut saved_tables),
        saved_tables,
    })
}

/// Takes the grantors with which this host goes on from its epoch before the store came back from an older copy, unless a
/// newer table than theirs is known.
fn continue_pools(
    gateway: &Gateway,
    epoch: u64,
    saved_tables: &mut BTreeMap<PoolName, KeyTable>,
) -> BTreeMap<PoolName, PoolGrantor> {
    let now = Instant::now();
    let Some(previous) = gateway.grants.active.borrow_mut().take() else {
        return BTreeMap::new();
    };
    let mut pools = previous.pools;
    pools.retain(|name, pool| {
        let is_newest = |saved: &KeyTable| !saved.is_newer_than(pool.grantor.table());
        pool.grantor.can_continue(now) && saved_tables.get(name).is_none_or(is_newest)
    });
    for (name, pool) in &mut pools {
        saved_tables.remove(name);
        let confirmed = previous.confirmations.by_store;
        pool.grantor.enter_epoch(now, epoch, other_hosts(gateway), confirmed);
    }
    pools
}

fn keep_newest(tables: &mut BTreeMap<PoolName, KeyTable>, table: &KeyTable) {
    if tables.get(&table.pool).is_none_or(|known| table.is_newer_than(known)) {
        tables.insert(table.pool.clone(), table.clone());
    }
}
