//! Confirms the grantor by other hosts, and tells those before it to stop.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use super::feed::readers;
use super::grants::GrantorState;
use super::peers::{Message, send};
use super::state::Gateway;
use crate::keys::HostIncarnation;
use crate::types::HostName;

/// Time between two rounds of messages for a grantor; several fit into the age that a confirmation
/// may have.
const ROUND_PERIOD: Duration = Duration::from_millis(250);
/// Time without the store after which witnesses are asked in each round; a join each 0.4 s and its
/// call come before.
const STORE_SILENCE: Duration = Duration::from_millis(500);
/// Time between two rounds in which hosts are asked so that witnesses can be chosen.
const CHOICE_PERIOD: Duration = Duration::from_secs(1);
/// Time after its last answer for which a host counts as answering: two rounds and a lost message.
const ANSWER_AGE: Duration = Duration::from_millis(3_200);
/// Hosts that are asked, so that a few of them may be lost.
const ASKED_MAX: usize = 8;

/// Sends what a grantor has to ask and to tell, for the life of the process.
pub(super) async fn run_confirmation_rounds(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let start = Instant::now();
    let mut chosen = start;
    loop {
        sleep(ROUND_PERIOD).await;
        let now = Instant::now();
        let chooses = now >= chosen + CHOICE_PERIOD;
        if chooses {
            chosen = now;
        }
        let mut messages = Vec::new();
        if let Some(active) = gateway.grants.active.borrow_mut().as_mut() {
            if chooses {
                choose(now, active);
            }
            messages.extend(
                find_untold(now, active)
                    .into_iter()
                    .map(|host| (host, Message::StandDown { epoch: active.epoch })),
            );
            if chooses || now > active.confirmations.by_store + STORE_SILENCE {
                let asked_ms = u64::try_from((now - gateway.started).as_millis()).unwrap_or(u64::MAX);
                let ask = Message::Ask {
                    epoch: active.epoch,
                    asked_ms,
                };
                messages.extend(find_asked(&gateway, active).into_iter().map(|host| (host, ask.clone())));
            }
        }
        for (host, message) in messages {
            if let Some(address) = find_address(&gateway, &host) {
                send(&socket, address, &message).await;
            }
        }
    }
}

fn find_address(gateway: &Gateway, host: &HostName) -> Option<SocketAddr> {
    gateway.hosts.borrow().get(host).map(|presence| presence.peers)
}

/// Takes hosts that answer as witnesses of each pool's grantor.
fn choose(now: Instant, active: &mut GrantorState) {
    active.last_responses.retain(|_, at| now < *at + ANSWER_AGE);
    let answering: Vec<HostIncarnation> = active.last_responses.keys().cloned().collect();
    for pool in active.pools.values_mut() {
        pool.grantor.set_witnesses(&answering);
    }
}

/// Gives the hosts that have to learn of the new epoch before earlier grantors count as stopped.
fn find_untold(now: Instant, active: &GrantorState) -> BTreeSet<HostName> {
    let predecessors = active
        .pools
        .values()
        .flat_map(|pool| pool.grantor.predecessors().still_active(now));
    let hosts = predecessors.flat_map(|predecessor| {
        predecessor
            .witnesses
            .into_iter()
            .map(|incarnation| incarnation.host)
            .chain([predecessor.host])
    });
    hosts.collect()
}

/// Gives the hosts that are asked to confirm the grantor: its witnesses, and others for a choice.
fn find_asked(gateway: &Gateway, active: &GrantorState) -> BTreeSet<HostName> {
    let own = &gateway.settings.host;
    let witnesses = active.pools.values().flat_map(|pool| &pool.grantor.table().witnesses);
    let mut asked: BTreeSet<HostName> = witnesses.map(|incarnation| incarnation.host.clone()).collect();
    let hosts = gateway.hosts.borrow();
    let readers = readers(gateway);
    let others = readers.iter().chain(hosts.keys()).filter(|host| *host != own);
    for host in others {
        if asked.len() >= ASKED_MAX {
            break;
        }
        asked.insert(host.clone());
    }
    asked
}

/// Answers a grantor that asks; nothing if a newer one is known.
pub(super) fn confirm(gateway: &Gateway, epoch: u64, asked_ms: u64) -> Option<Message> {
    let is_newest = epoch >= gateway.grants.newest_epoch.get();
    gateway.grants.record_epoch(epoch);
    is_newest.then(|| Message::Vouch {
        incarnation: gateway.incarnation_id(),
        epoch,
        asked_ms,
    })
}

/// Takes in that a host confirmed this grantor when it was asked.
pub(super) fn record_confirmation(gateway: &Gateway, incarnation: HostIncarnation, epoch: u64, asked_ms: u64) {
    let asked = gateway.started + Duration::from_millis(asked_ms);
    let mut active = gateway.grants.active.borrow_mut();
    let Some(active) = active
        .as_mut()
        .filter(|active| active.epoch == epoch && asked <= Instant::now())
    else {
        return;
    };
    active.last_responses.insert(incarnation.clone(), Instant::now());
    let newest = active.confirmations.by_witness.entry(incarnation).or_insert(asked);
    *newest = asked.max(*newest);
}

/// Stops granting for a grantor with a newer epoch, and confirms no older one from now on.
pub(super) fn stand_down(gateway: &Gateway, epoch: u64) -> Message {
    gateway.grants.record_epoch(epoch);
    let mut active = gateway.grants.active.borrow_mut();
    if active.as_ref().is_some_and(|active| active.epoch < epoch) {
        info!(gateway.log, "grantor stops"; "why" => "another host took over", "epoch" => epoch);
        *active = None;
    }
    Message::Stopped {
        incarnation: gateway.incarnation_id(),
        epoch,
    }
}

/// Takes in that a host knows of this grantor's epoch.
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
