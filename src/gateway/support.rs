//! Confirms the grantor by other hosts, and tells those before it to stop.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use super::feed::readers;
use super::grants::Led;
use super::peers::{Message, send};
use super::state::Gateway;
use crate::keys::HostRun;
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
pub(super) async fn keep_support(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
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
        if let Some(led) = gateway.grants.led.borrow_mut().as_mut() {
            if chooses {
                choose(now, led);
            }
            messages.extend(
                find_untold(now, led)
                    .into_iter()
                    .map(|host| (host, Message::StandDown { epoch: led.epoch })),
            );
            if chooses || now > led.support.confirmed + STORE_SILENCE {
                let asked_ms = u64::try_from((now - gateway.started).as_millis()).unwrap_or(u64::MAX);
                let ask = Message::Ask {
                    epoch: led.epoch,
                    asked_ms,
                };
                messages.extend(find_asked(&gateway, led).into_iter().map(|host| (host, ask.clone())));
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
fn choose(now: Instant, led: &mut Led) {
    led.answering.retain(|_, at| now < *at + ANSWER_AGE);
    let answering: Vec<HostRun> = led.answering.keys().cloned().collect();
    for pool in led.pools.values_mut() {
        pool.grantor.set_witnesses(&answering);
    }
}

/// Gives the hosts that have to learn of the new epoch before earlier grantors count as stopped.
fn find_untold(now: Instant, led: &Led) -> BTreeSet<HostName> {
    let formers = led
        .pools
        .values()
        .flat_map(|pool| pool.grantor.succession().remaining(now));
    let hosts = formers.flat_map(|former| former.witnesses.into_iter().map(|run| run.host).chain([former.host]));
    hosts.collect()
}

/// Gives the hosts that are asked to confirm the grantor: its witnesses, and others for a choice.
fn find_asked(gateway: &Gateway, led: &Led) -> BTreeSet<HostName> {
    let own = &gateway.settings.host;
    let witnesses = led.pools.values().flat_map(|pool| &pool.grantor.table().witnesses);
    let mut asked: BTreeSet<HostName> = witnesses.map(|run| run.host.clone()).collect();
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
    let is_newest = epoch >= gateway.grants.seen_epoch.get();
    gateway.grants.note_epoch(epoch);
    is_newest.then(|| Message::Vouch {
        run: gateway.run(),
        epoch,
        asked_ms,
    })
}

/// Takes in that a host confirmed this grantor when it was asked.
pub(super) fn note_vouch(gateway: &Gateway, run: HostRun, epoch: u64, asked_ms: u64) {
    let asked = gateway.started + Duration::from_millis(asked_ms);
    let mut led = gateway.grants.led.borrow_mut();
    let Some(led) = led.as_mut().filter(|led| led.epoch == epoch && asked <= Instant::now()) else {
        return;
    };
    led.answering.insert(run.clone(), Instant::now());
    let newest = led.support.vouches.entry(run).or_insert(asked);
    *newest = asked.max(*newest);
}

/// Stops granting for a grantor with a newer epoch, and confirms no older one from now on.
pub(super) fn stand_down(gateway: &Gateway, epoch: u64) -> Message {
    gateway.grants.note_epoch(epoch);
    let mut led = gateway.grants.led.borrow_mut();
    if led.as_ref().is_some_and(|led| led.epoch < epoch) {
        info!(gateway.log, "grantor stops"; "why" => "another host took over", "epoch" => epoch);
        *led = None;
    }
    Message::Stopped {
        run: gateway.run(),
        epoch,
    }
}

/// Takes in that a host knows of this grantor's epoch.
pub(super) fn note_told(gateway: &Gateway, run: &HostRun, epoch: u64) {
    let now = Instant::now();
    let mut led = gateway.grants.led.borrow_mut();
    let Some(led) = led.as_mut().filter(|led| led.epoch == epoch) else {
        return;
    };
    for (name, pool) in &mut led.pools {
        let before = pool.grantor.succession().stops();
        pool.grantor.note_told(now, run);
        let after = pool.grantor.succession().stops();
        if before != after
            && let Some(stops) = after
        {
            info!(gateway.log, "former grantors stop"; "pool" => %name, "epoch" => epoch, "told" => %run.host,
                "in_ms" => u64::try_from(stops.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX));
        }
    }
}
