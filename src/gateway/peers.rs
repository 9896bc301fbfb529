//! Datagrams between hosts: counts for the grantor, changes of owners, what was read from the store.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::feed::{apply_deltas, readers};
use super::grants::record_counts;
use super::orders::record_cold;
use super::state::{Gateway, Presence};
use super::support::{confirm_grantor, record_confirmation, record_epoch_ack, run_confirmation_rounds, step_down};
use super::watch::{HOST_PREFIX, apply_table_delta};
use crate::fleet::Fingerprint;
use crate::keys::{HostIncarnation, KeyCounts, TableDelta};
use crate::platform::HOST_TOPIC;
use crate::relay::{Topic, TopicDelta};
use crate::types::{HostName, UpstreamName};

/// Time between two messages to the grantor.
const COUNT_PERIOD: Duration = Duration::from_millis(500);
/// Keys in one message, which keeps it within one datagram of 1,400 bytes.
const KEYS_MAX: usize = 200;
/// Largest message to all hosts, in bytes; a larger one would fill small links when a hundred hosts
/// get it.
const MESSAGE_MAX: usize = 8 << 10;
/// Largest datagram that is read, in bytes.
const DATAGRAM_MAX: usize = 16 << 10;
/// First byte of a datagram whose message is as MessagePack has it.
const PLAIN: u8 = 0;
/// First byte of a datagram whose message is packed (RFC 1951).
const PACKED: u8 = 1;
/// Largest message that isn't packed, in bytes; it fits one packet as it is.
const PLAIN_MAX: usize = 1_000;
/// Largest message after unpacking, in bytes; more is damage.
const UNPACKED_MAX: u64 = 1 << 20;
/// Pause after announcing this host in the store failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A message between hosts. A lost one is made up for by the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Requests by key, for the grantor.
    Counts(KeyCounts),
    /// A grantor asks its predecessors to step down, and their witnesses to confirm them no more.
    #[serde(rename = "StandDown")]
    StepDown { epoch: u64 },
    /// A grantor asks hosts to confirm that they know no newer epoch. The time is that of the
    /// request, by the grantor's own clock.
    #[serde(rename = "Ask")]
    ConfirmRequest { epoch: u64, requested_ms: u64 },
    /// Response to [`Message::ConfirmRequest`] of a host that knows no newer epoch.
    #[serde(rename = "Vouch")]
    Confirmation {
        incarnation: HostIncarnation,
        epoch: u64,
        requested_ms: u64,
    },
    /// Requests that may have crashed upstreams.
    Crashes(Vec<Fingerprint>),
    /// An upstream may have restarted; its next announcement is needed.
    Suspect(UpstreamName),
    /// An upstream turned cold and may not have announced it yet.
    Cold { upstream: UpstreamName, millis: u64 },
    /// Owners of keys changed, as saved in the store.
    Change(TableDelta),
    /// Owners of keys changed by more than one message holds; the store has them.
    Refresh,
    /// What a host has read from the store's topics.
    Read(Vec<TopicDelta>),
    /// Response to [`Message::StepDown`]: the host sends no grants under older epochs and confirms none.
    #[serde(rename = "Stopped")]
    EpochAck { incarnation: HostIncarnation, epoch: u64 },
}

/// Messages to all other hosts that wait to be sent.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    messages: RefCell<Vec<Message>>,
    added: Notify,
}

impl Outbox {
    pub(crate) fn send(&self, message: Message) {
        self.messages.borrow_mut().push(message);
        self.added.notify_one();
    }
}

/// Announces this host in the store and starts the exchange of datagrams.
///
/// # Errors
///
/// Fails if the address for datagrams can't be used.
pub(crate) async fn start_peers(gateway: &Rc<Gateway>) -> Result<(), String> {
    let address = gateway.settings.listen.peers;
    let socket = UdpSocket::bind(address).await;
    let socket = Rc::new(socket.map_err(|e| format!("can't receive datagrams on {address}: {e}"))?);
    let peers = socket.local_addr().map_err(|e| e.to_string())?;
    spawn_local(announce(Rc::clone(gateway), peers));
    spawn_local(receive(Rc::clone(gateway), Rc::clone(&socket)));
    spawn_local(send_outbox(Rc::clone(gateway), Rc::clone(&socket)));
    spawn_local(run_confirmation_rounds(Rc::clone(gateway), Rc::clone(&socket)));
    spawn_local(send_counts(Rc::clone(gateway), socket));
    Ok(())
}

async fn announce(gateway: Rc<Gateway>, peers: SocketAddr) {
    let presence = Presence {
        peers,
        zone: gateway.settings.zone.clone(),
        millicores: gateway.settings.millicores(),
    };
    let text = serde_json::to_vec(&presence).expect("addresses and names have a JSON form");
    let key = format!("{HOST_PREFIX}{}", gateway.settings.host);
    loop {
        match gateway.store.append(HOST_TOPIC, None, &[(&key, &text)]).await {
            Ok(offset) => {
                info!(gateway.log, "host announced"; "offset" => offset.0);
                return;
            }
            Err(error) => {
                warn!(gateway.log, "host not announced"; "error" => %error);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            // An ICMP error of an earlier datagram; its loss is made up for by the next one.
            continue;
        };
        match decode(&buffer[..length]) {
            Ok(Message::Counts(counts)) => record_counts(&gateway, &counts),
            Ok(Message::StepDown { epoch }) => send(&socket, sender, &step_down(&gateway, epoch)).await,
            Ok(Message::ConfirmRequest { epoch, requested_ms }) => {
                if let Some(reply) = confirm_grantor(&gateway, epoch, requested_ms) {
                    send(&socket, sender, &reply).await;
                }
            }
            Ok(Message::Confirmation {
                incarnation,
                epoch,
                requested_ms,
            }) => record_confirmation(&gateway, incarnation, epoch, requested_ms),
            Ok(Message::Crashes(requests)) => {
                let mut suspects = gateway.suspects.borrow_mut();
                for request in requests {
                    suspects.record_crash(Instant::now(), request);
                }
            }
            Ok(Message::Cold { upstream, millis }) => record_cold(&gateway, &upstream, Duration::from_millis(millis)),
            Ok(Message::Suspect(upstream)) => {
                gateway
                    .fleet
                    .borrow_mut()
                    .request_announcement(Instant::now(), &upstream);
            }
            Ok(Message::Change(delta)) => apply_table_delta(&gateway, &delta),
            Ok(Message::Read(deltas)) => apply_deltas(&gateway, &deltas),
            Ok(Message::Refresh) => gateway.feed.request_read(Topic::Hosts),
            Ok(Message::EpochAck { incarnation, epoch }) => record_epoch_ack(&gateway, &incarnation, epoch),
            Err(error) => warn!(gateway.log, "datagram can't be read"; "bytes" => length, "error" => error),
        }
    }
}

async fn send_counts(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        sleep(COUNT_PERIOD).await;
        let pools: Vec<_> = gateway.tables.borrow().values().cloned().collect();
        for table in pools {
            let mut counts = gateway.key_counts.borrow_mut().remove(&table.pool).unwrap_or_default();
            while !counts.is_empty() {
                let rest = counts.keys().nth(KEYS_MAX).copied();
                let rest = rest.map(|key| counts.split_off(&key)).unwrap_or_default();
                let message = KeyCounts {
                    host: gateway.settings.host.clone(),
                    pool: table.pool.clone(),
                    counts: std::mem::replace(&mut counts, rest),
                };
                send_to_grantor(&gateway, &socket, &table.grantor, message).await;
            }
        }
    }
}

async fn send_to_grantor(gateway: &Gateway, socket: &UdpSocket, grantor: &HostName, counts: KeyCounts) {
    if *grantor == gateway.settings.host {
        record_counts(gateway, &counts);
        return;
    }
    let address = gateway.hosts.borrow().get(grantor).map(|presence| presence.peers);
    if let Some(address) = address {
        send(socket, address, &Message::Counts(counts)).await;
    }
}

/// Sends the messages of the outbox to all other hosts.
async fn send_outbox(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        gateway.outbox.added.notified().await;
        let messages = std::mem::take(&mut *gateway.outbox.messages.borrow_mut());
        let (hosts, readers) = find_others(&gateway);
        for message in messages {
            let hosts = match &message {
                Message::Suspect(_) => &readers,
                _ => &hosts,
            };
            let mut bytes = encode(&message);
            if bytes.len() > MESSAGE_MAX {
                bytes = encode(&shorten(message));
            }
            for address in hosts {
                // Lost messages are made up for by the next read of the store.
                let _ = socket.send_to(&bytes, address).await;
            }
        }
    }
}

pub(super) async fn send(socket: &UdpSocket, address: SocketAddr, message: &Message) {
    // Lost messages are made up for by later ones, also if the system refuses to send.
    let _ = socket.send_to(&encode(message), address).await;
}

/// Gives the addresses of all other hosts, and of those that are readers.
fn find_others(gateway: &Gateway) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let hosts = gateway.hosts.borrow();
    let others = |host: &&HostName| **host != gateway.settings.host;
    let address = |host: &HostName| hosts.get(host).map(|presence| presence.peers);
    let readers = readers(gateway).iter().filter(others).filter_map(address).collect();
    (hosts.keys().filter(others).filter_map(address).collect(), readers)
}

/// Gives the message that takes the place of one that is too large: the store has the rest.
fn shorten(message: Message) -> Message {
    match message {
        Message::Read(deltas) => Message::Read(deltas.into_iter().map(TopicDelta::without_updates).collect()),
        _ => Message::Refresh,
    }
}

/// Encodes a message; records and names repeat much, so larger ones are packed.
pub(super) fn encode(message: &Message) -> Vec<u8> {
    let bytes = rmp_serde::to_vec(message).expect("names and numbers have a MessagePack form");
    if bytes.len() <= PLAIN_MAX {
        return [&[PLAIN], bytes.as_slice()].concat();
    }
    let mut packed = DeflateEncoder::new(vec![PACKED], Compression::fast());
    packed.write_all(&bytes).expect("a vector takes any bytes");
    packed.finish().expect("a vector takes any bytes")
}

pub(super) fn decode(datagram: &[u8]) -> Result<Message, String> {
    let (form, bytes) = datagram.split_first().ok_or("an empty datagram")?;
    let mut plain = Vec::new();
    let bytes = match *form {
        PLAIN => bytes,
        PACKED => {
            let mut unpacked = DeflateDecoder::new(bytes).take(UNPACKED_MAX);
            unpacked.read_to_end(&mut plain).map_err(|e| e.to_string())?;
            &plain
        }
        other => return Err(format!("unknown form {other}")),
    };
    rmp_serde::from_slice(bytes).map_err(|e| e.to_string())
}
