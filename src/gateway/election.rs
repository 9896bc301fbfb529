//! Leader election for the grantor, through a group of the store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, sleep};

use super::feed::reader_rank;
use super::grants::{GRANTOR_PRODUCER, GrantorState};
use super::state::Gateway;
use super::watch::{HOST_PREFIX, TABLE_PREFIX};
use crate::keys::{Confirmations, KeyTable};
use crate::platform::{HOST_TOPIC, Member, ProducerState, StoreError};

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
        if !gateway.grants.is_grantor() && !schedule.is_election_candidate(Instant::now(), reader_rank(&gateway)) {
            if std::mem::take(&mut is_member) {
                info!(gateway.log, "host leaves the election";
                    "why" => "reader hosts relay the store's records to it");
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
                gateway.grants.generation.set(share.generation);
                apply_group_share(
                    &gateway,
                    started,
                    share.generation,
                    share.partitions.contains(&GRANTOR_PARTITION),
                )
                .await;
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

async fn apply_group_share(gateway: &Rc<Gateway>, started: Instant, generation: u64, has_partition: bool) {
    let is_grantor = gateway.grants.active.borrow().is_some();
    if !has_partition {
        if is_grantor {
            info!(gateway.log, "grantor stops"; "why" => "this host no longer has the partition of the grantor",
                "generation" => generation);
            *gateway.grants.active.borrow_mut() = None;
        }
        return;
    }
    if is_grantor {
        if let Some(active) = gateway.grants.active.borrow_mut().as_mut() {
            active.confirmations.by_store = started;
            active.needs_confirmation = false;
        }
        return;
    }
    if gateway.catalog.borrow().is_none() || !gateway.fleet_known.get() || gateway.is_stopping.get() {
        return;
    }
    match take_over(gateway, started, generation).await {
        Ok(active) => {
            info!(gateway.log, "grantor starts"; "epoch" => active.epoch, "tables" => active.saved_tables.len());
            *gateway.grants.active.borrow_mut() = Some(active);
        }
        Err(error) => warn!(gateway.log, "takeover as grantor failed; trying again after the next join";
            "epoch" => generation, "error" => %error),
    }
}

/// Makes the store reject saves of earlier grantors and reads the tables that they saved.
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
        saved_tables,
        pools: BTreeMap::new(),
    })
}
