//! Confirmation of a grantor by other hosts, and the stepping down of its predecessors.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use super::feed::readers;
use super::grants::{GrantorState, lease_timing};
use super::peers::{Message, send};
use super::state::Gateway;
use crate::keys::{HostIncarnation, Knowledge, era_of};
use crate::types::{HostName, PoolName};

/// Time between two rounds of messages of a grantor; several fit into the time for which a
/// confirmation is valid.
const ROUND_PERIOD: Duration = Duration::from_millis(250);
/// Age of the store's last confirmation above which each round asks the witnesses. It leaves time for
/// the next join, due after 0.4 s, and its call.
const WITNESS_FALLBACK_DELAY: Duration = Duration::from_millis(500);
/// Time between two choices of witnesses; hosts are asked for a confirmation at each one.
const WITNESS_CHOICE_PERIOD: Duration = Duration::from_secs(1);
/// Age of a host's last confirmation up to which the host can be a witness: it covers two choices and
/// a lost message.
const RESPONSE_AGE_MAX: Duration = Duration::from_millis(3_200);
/// Largest number of hosts that are asked for a confirmation, unless more are witnesses. It exceeds the number
/// of a pool's witnesses, so that the loss of a few hosts is tolerated.
const CONFIRM_HOSTS_MAX: usize = 8;

/// Sends the requests to step down and to confirm, in rounds, while this host is the grantor.
pub(super) async fn run_confirmation_rounds(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let start = Instant::now();
    let mut last_choice = start;
    loop {
        sleep(ROUND_PERIOD).await;
        let now = Instant::now();
        let is_choice_due = now >= last_choice + WITNESS_CHOICE_PERIOD;
        if is_choice_due {
            last_choice = now;
        }
        let mut messages = Vec::new();
        if let Some(active) = gateway.grants.active.borrow_mut().as_mut() {
            if is_choice_due {
                update_witnesses(now, active);
            }
            messages.extend(
                find_step_down_targets(now, active)
                    .into_iter()
                    .map(|host| (host, Message::StepDown { epoch: active.epoch })),
            );
            if is_choice_due || now > active.confirmations.by_store + WITNESS_FALLBACK_DELAY {
                let requested_ms = u64::try_from((now - gateway.started).as_millis()).unwrap_or(u64::MAX);
                let request = Message::ConfirmRequest {
                    epoch: active.epoch,
                    requested_ms,
                };
                messages.extend(
                    find_confirm_targets(&gateway, active)
                        .into_iter()
                        .map(|host| (host, request.clone())),
                );
            }
        }
        for (host, message) in messages {
            if let Some(address) = find_address(&gateway, &host) {
                send(&gateway, &socket, address, &message).await;
            }
        }
    }
}

fn find_address(gateway: &Gateway, host: &HostName) -> Option<SocketAddr> {
    gateway.hosts.borrow().get(host).map(|presence| presence.peers)
}

/// Makes hosts that have responded lately the witnesses of each pool's grantor.
fn update_witnesses(now: Instant, active: &mut GrantorState) {
    active.last_responses.retain(|_, at| now < *at + RESPONSE_AGE_MAX);
    let responsive: Vec<HostIncarnation> = active.last_responses.keys().cloned().collect();
    for pool in active.pools.values_mut() {
        pool.grantor.set_witnesses(&responsive);
    }
}

/// Returns the predecessors that may still be active and their witnesses, and the hosts that haven't told which key tables
/// they know: those that have to acknowledge the new epoch.
fn find_step_down_targets(now: Instant, active: &GrantorState) -> BTreeSet<HostName> {
    let predecessors = active
        .pools
        .values()
        .flat_map(|pool| pool.grantor.predecessors().still_active(now));
    let asked = active.pools.values().flat_map(|pool| pool.grantor.open_inquiries());
    let hosts = predecessors.flat_map(|predecessor| {
        predecessor
            .witnesses
            .into_iter()
            .map(|incarnation| incarnation.host)
            .chain([predecessor.host])
    });
    hosts.chain(asked.cloned()).collect()
}

/// Returns the hosts that are asked to confirm the grantor: its witnesses, and others that may
/// become witnesses.
fn find_confirm_targets(gateway: &Gateway, active: &GrantorState) -> BTreeSet<HostName> {
    let own = &gateway.settings.host;
    let witnesses = active.pools.values().flat_map(|pool| &pool.grantor.table().witnesses);
    let mut requested: BTreeSet<HostName> = witnesses.map(|incarnation| incarnation.host.clone()).collect();
    let hosts = gateway.hosts.borrow();
    let readers = readers(gateway);
    let others = readers.iter().chain(hosts.keys()).filter(|host| *host != own);
    for host in others {
        if requested.len() >= CONFIRM_HOSTS_MAX {
            break;
        }
        requested.insert(host.clone());
    }
    requested
}

/// Returns the confirmation for a grantor, or `None` if a newer epoch is known.
pub(super) fn confirm_grantor(gateway: &Gateway, epoch: u64, requested_ms: u64) -> Option<Message> {
    let is_newest = epoch >= gateway.grants.newest_epoch.get();
    gateway.grants.record_epoch(epoch);
    is_newest.then(|| Message::Confirmation {
        incarnation: gateway.incarnation_id(),
        epoch,
        requested_ms,
    })
}

/// Records that a host confirmed this grantor, as of the time of the request.
pub(super) fn record_confirmation(gateway: &Gateway, incarnation: HostIncarnation, epoch: u64, requested_ms: u64) {
    let requested = gateway.started + Duration::from_millis(requested_ms);
    let mut active = gateway.grants.active.borrow_mut();
    let Some(active) = active
        .as_mut()
        .filter(|active| active.epoch == epoch && requested <= Instant::now())
    else {
        return;
    };
    active.last_responses.insert(incarnation.clone(), Instant::now());
    let newest = active.confirmations.by_witness.entry(incarnation).or_insert(requested);
    *newest = requested.max(*newest);
}

/// Steps down in favour of a grantor with a newer epoch and returns what this host knows of keys and the acknowledgement;
/// older epochs are no longer confirmed, nor acknowledged.
pub(super) fn step_down(gateway: &Gateway, epoch: u64) -> Vec<Message> {
    if epoch < gateway.grants.newest_epoch.get() {
        return Vec::new();
    }
    gateway.grants.record_epoch(epoch);
    let mut active = gateway.grants.active.borrow_mut();
    if active.as_ref().is_some_and(|active| active.epoch < epoch) {
        info!(gateway.log, "grantor stops"; "why" => "another host took over with a newer epoch", "epoch" => epoch);
        *active = None;
    }
    let incarnation = gateway.incarnation_id();
    let mut messages = Vec::new();
    // The leases that an earlier process of this host has granted may still be in force before that.
    if gateway.started.elapsed() >= lease_timing(gateway).expiry_time() {
        let tables = gateway.tables.borrow();
        let newest = tables
            .values()
            .map(|table| (table.pool.clone(), (table.epoch, table.revision)));
        messages.push(Message::KnownTables {
            incarnation: incarnation.clone(),
            epoch,
            former_epoch: gateway.grants.epoch_before(era_of(epoch)),
            tables: newest.collect(),
        });
    }
    messages.push(Message::EpochAck { incarnation, epoch });
    messages
}

/// Records what a host knows of keys.
pub(super) fn record_known_tables(
    gateway: &Gateway,
    incarnation: &HostIncarnation,
    epoch: u64,
    former_epoch: u64,
    tables: &BTreeMap<PoolName, (u64, u64)>,
) {
    let mut active = gateway.grants.active.borrow_mut();
    let Some(active) = active.as_mut().filter(|active| active.epoch == epoch) else {
        return;
    };
    for (name, pool) in &mut active.pools {
        let knowledge = Knowledge {
            epoch: former_epoch,
            table: tables.get(name).copied().unwrap_or_default(),
        };
        pool.grantor.record_knowledge(Instant::now(), incarnation, knowledge);
    }
}

/// Records that a host has acknowledged this grantor's epoch.
pub(super) fn record_epoch_ack(gateway: &Gateway, incarnation: &HostIncarnation, epoch: u64) {
    let now = Instant::now();
    let mut active = gateway.grants.active.borrow_mut();
    let Some(active) = active.as_mut().filter(|active| active.epoch == epoch) else {
        return;
    };
    for (name, pool) in &mut active.pools {
        let before = pool.grantor.predecessors().stopped_by();
        pool.grantor.record_epoch_ack(now, incarnation);
        let after = pool.grantor.predecessors().stopped_by();
        if before != after
            && let Some(stopped_by) = after
        {
            info!(gateway.log, "former grantors stop"; "pool" => %name, "epoch" => epoch, "told" => %incarnation.host,
                "in_ms" => u64::try_from(stopped_by.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX));
        }
    }
}
