//! Elects the host that grants keys, through a group of the store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, sleep};

use super::feed::rank;
use super::grants::{GrantorState, PRODUCER};
use super::state::Gateway;
use super::watch::{HOST_PREFIX, TABLE_PREFIX};
use crate::keys::{Confirmations, KeyTable};
use crate::platform::{HOST_TOPIC, Member, ProducerState, StoreError};

/// Group whose member with the first partition is the grantor.
const GROUP: &str = "ragworthub-grantor";
/// Partition of the host topic that holds the hosts' records.
const PARTITION: u32 = 0;
/// Time after which a member that is silent loses its partitions; the store's least is 1 s.
const MEMBER_TTL: Duration = Duration::from_millis(1_200);
/// Time between two joins.
const JOIN_PERIOD: Duration = Duration::from_millis(400);

fn member(gateway: &Gateway) -> Member {
    Member {
        group: GROUP.to_owned(),
        name: gateway.settings.host.to_string(),
    }
}

/// Ends this host's part in the election and its entry in the store.
pub(crate) async fn leave(gateway: &Gateway) {
    if gateway.grants.active.borrow_mut().take().is_some() {
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

pub(super) async fn elect(gateway: Rc<Gateway>) {
    let mut is_member = false;
    while !gateway.is_stopping.get() {
        let schedule = gateway.feed.schedule.get();
        if !gateway.grants.is_grantor() && !schedule.is_election_candidate(Instant::now(), rank(&gateway)) {
            if std::mem::take(&mut is_member) {
                info!(gateway.log, "host leaves the election"; "why" => "other hosts read the store for it");
                // If this fails, the membership ends with its time to live.
                gateway.grants.is_new_member.set(false);
                leave_group(&gateway).await;
            }
            sleep(JOIN_PERIOD).await;
            continue;
        }
        // An earlier process of this host may have saved under the epoch that the group still has.
        if !gateway.grants.is_new_member.get() && !leave_group(&gateway).await {
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
                    share.partitions.contains(&PARTITION),
                )
                .await;
            }
            Err(error) => warn!(gateway.log, "group not joined"; "error" => %error),
        }
        sleep(JOIN_PERIOD).await;
    }
}

/// Ends this host's membership, so that its next one has a new generation; false if that failed.
async fn leave_group(gateway: &Gateway) -> bool {
    match gateway.store.leave(&member(gateway)).await {
        Ok(()) => gateway.grants.is_new_member.set(true),
        Err(error) => warn!(gateway.log, "group not left"; "error" => %error),
    }
    gateway.grants.is_new_member.get()
}

async fn apply_group_share(gateway: &Rc<Gateway>, started: Instant, generation: u64, has_partition: bool) {
    let is_grantor = gateway.grants.active.borrow().is_some();
    if !has_partition {
        if is_grantor {
            info!(gateway.log, "grantor stops"; "why" => "another host has the partition", "generation" => generation);
            *gateway.grants.active.borrow_mut() = None;
        }
        return;
    }
    if is_grantor {
        if let Some(active) = gateway.grants.active.borrow_mut().as_mut() {
            active.confirmations.by_store = started;
            active.is_suspended = false;
        }
        return;
    }
    if gateway.catalog.borrow().is_none() || !gateway.fleet_known.get() || gateway.is_stopping.get() {
        return;
    }
    match take_over(gateway, started, generation).await {
        Ok(active) => {
            info!(gateway.log, "grantor starts"; "epoch" => active.epoch, "tables" => active.found.len());
            *gateway.grants.active.borrow_mut() = Some(active);
        }
        Err(error) => warn!(gateway.log, "grantor can't start"; "epoch" => generation, "error" => %error),
    }
}

/// Shuts out earlier grantors and reads what they saved.
async fn take_over(gateway: &Gateway, started: Instant, epoch: u64) -> Result<GrantorState, StoreError> {
    let producer = ProducerState {
        producer: PRODUCER.to_owned(),
        epoch,
        sequence: 0,
    };
    gateway.store.append(HOST_TOPIC, Some(&producer), &[]).await?;
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
        match table.filter(KeyTable::is_complete) {
            Some(table) => {
                found.insert(table.pool.clone(), table);
            }
            // Keys may be held under fences that are not known now, so nothing may be granted.
            None => return Err(StoreError::Unknown(format!("record {} can't be read", record.key))),
        }
    }
    gateway.grants.record_epoch(epoch);
    Ok(GrantorState {
        epoch,
        since: Instant::now(),
        confirmations: Confirmations {
            by_store: started,
            by_witness: BTreeMap::new(),
        },
        is_suspended: false,
        answering: BTreeMap::new(),
        found,
        pools: BTreeMap::new(),
    })
}
