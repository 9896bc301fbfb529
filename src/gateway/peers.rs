//! Best-effort datagrams between hosts: request counts for the grantor, confirmations of grantors,
//! changes of key owners and relayed store records.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

use super::crashes::{WireReport, apply_reports};
use super::directives::record_leaving;
use super::feed::{apply_deltas, readers};
use super::grants::record_counts;
use super::links::record_host_links;
use super::orders::record_cold;
use super::speeds::{apply_speeds, record_observations};
use super::state::{Gateway, Presence};
use super::support::{
    confirm_grantor, record_confirmation, record_epoch_ack, record_known_tables, run_confirmation_rounds, step_down,
};
use super::tenancy::{TokenIssue, TokenRequest, answer_freshness, apply_issues, issue_tokens, record_freshness};
use super::tunnels::accept_tunnels;
use super::watch::{HOST_PREFIX, apply_table_delta};
use crate::fleet::{Fingerprint, Observed, Speeds};
use crate::keys::{HostIncarnation, KeyCounts, TableDelta};
use crate::platform::HOST_TOPIC;
use crate::relay::{Topic, TopicDelta};
use crate::telemetry::Direction;
use crate::types::{HostName, Offset, PoolName, StoreEra, UpstreamName, Zone};

/// Time between two reports of request counts to the grantor.
const COUNTS_PERIOD: Duration = Duration::from_millis(500);
/// Most keys in one message with counts, which keeps it within one datagram of 1,400 bytes.
const MESSAGE_KEYS_MAX: usize = 200;
/// Largest message to all hosts; the fan-out of a larger one to a hundred hosts would fill small links.
const MESSAGE_MAX_BYTES: usize = 8 << 10;
/// Number of hosts of another availability zone from which on messages to all are sent on there.
const FORWARD_HOSTS_MIN: usize = 4;
/// Hosts of a zone that take turns in sending messages on.
const FORWARDERS_PER_ZONE: usize = 2;
/// Time for which one of them does.
const FORWARD_TURN: Duration = Duration::from_secs(2);
/// Largest datagram that is received.
const DATAGRAM_MAX_BYTES: usize = 16 << 10;
/// First byte of a datagram whose message is plain MessagePack.
const ENCODING_PLAIN: u8 = 0;
/// First byte of a datagram whose message is compressed with DEFLATE (RFC 1951).
const ENCODING_DEFLATE: u8 = 1;
/// Largest message that is sent without compression; it fits into one packet as it is.
const PLAIN_MAX_BYTES: usize = 1_000;
/// Largest message after decompression. A datagram of the largest size could hold one of 16 MB.
const DECOMPRESSED_MAX_BYTES: usize = 1 << 20;
/// Number of ports that are tried if the settings leave the choice to the system.
const BIND_ATTEMPTS: u32 = 8;
/// Delay before this host's entry is written to the store again after a write failed.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A message between hosts. Delivery is best effort; what a loss means depends on the message:
///
/// - The grantor repeats `StepDown` and `ConfirmRequest` in rounds, and hosts respond again.
/// - The store has what `OwnersChanged`, `Refresh` and `Relay` are about; hosts that miss one read the store.
/// - `CrashReports` are sent several times, to several homes; each has all that the host has seen.
/// - `Admissions` are repeated while an owner is overloaded; without them all requests are admitted.
/// - `TokenRequest` and `FreshnessRequest` are repeated until they are answered; tokens that are lost stay unused.
/// - `ServiceTimes` and `Speeds` are sent anew every few seconds; until then, hosts go by what they know.
/// - `Leaving` is not repeated. A host that misses it learns from the next response of the upstream.
/// - `Counts`, `Cold` and `Suspect` are neither repeated nor in the store. Without `Counts`, the
///   grantor's request rates are too low for a time.
///   Without `Cold`, the receiver may not know that the upstream is cold before the upstream announces it.
///   Without `Suspect`, the sender may treat the upstream as cold for the whole time that it assumed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Request counts by key, for the grantor.
    Counts(KeyCounts),
    /// A grantor asks its predecessors to step down, and their witnesses to stop confirming them.
    #[serde(rename = "StandDown")]
    StepDown { epoch: u64 },
    /// A grantor asks hosts to confirm that they know no newer epoch. `requested_ms` is the time of the
    /// request since the start of the grantor's process, by its own clock.
    #[serde(rename = "Ask")]
    ConfirmRequest { epoch: u64, requested_ms: u64 },
    /// Response to [`Message::ConfirmRequest`] of a host that knows no newer epoch.
    #[serde(rename = "Vouch")]
    Confirmation {
        incarnation: HostIncarnation,
        epoch: u64,
        requested_ms: u64,
    },
    /// Requests that may have crashed upstreams. Only builds without [`Message::CrashReports`] send it.
    Crashes(Vec<Fingerprint>),
    /// Requests that may have crashed upstreams, with all crashes that a host has seen of each. The host itself sends
    /// it to the homes of the requests, and these to all hosts.
    CrashReports { host: HostName, reports: Vec<WireReport> },
    /// An upstream may have restarted: readers are to relay its next announcement even if it is unchanged.
    Suspect(UpstreamName),
    /// An upstream is cold and may not have announced it yet.
    Cold { upstream: UpstreamName, millis: u64 },
    /// An incarnation of an upstream states in its responses that it is leaving.
    Leaving { upstream: UpstreamName, incarnation: u64 },
    /// Owners of keys changed; the store has the change.
    #[serde(rename = "Change")]
    OwnersChanged(TableDelta),
    /// Owners of keys changed, and no delta is sent: it would be too large, or there is no earlier save in
    /// the grantor's epoch to base it on. Receivers read the store.
    Refresh,
    /// Records that a reader relays from the store's topics.
    #[serde(rename = "Read")]
    Relay(Vec<TopicDelta>),
    /// Response to [`Message::StepDown`]: the host sends no grants under older epochs and confirms none.
    #[serde(rename = "Stopped")]
    EpochAck { incarnation: HostIncarnation, epoch: u64 },
    /// Response to [`Message::StepDown`]: epoch and revision of the newest key table of each pool that the host knows, and
    /// the newest epoch of a grantor that it knows from earlier eras of the store.
    KnownTables {
        incarnation: HostIncarnation,
        epoch: u64,
        former_epoch: u64,
        tables: BTreeMap<PoolName, (u64, u64)>,
    },
    /// Whether a host reaches no upstream; repeated while this is so.
    Links { host: HostName, is_cut: bool },
    /// Shares of the requests that hosts are to admit for overloaded owners of keys.
    Admissions(BTreeMap<UpstreamName, f64>),
    /// A host asks the keeper of the tenants' caps for tokens and returns those that it didn't use.
    TokenRequest(Vec<TokenRequest>),
    /// Response to [`Message::TokenRequest`].
    TokenIssue(Vec<TokenIssue>),
    /// Service times that a host has observed at upstreams, for the grantor.
    ServiceTimes(BTreeMap<UpstreamName, Observed>),
    /// Speeds of upstreams that the grantor has learned.
    Speeds(Speeds),
    /// An encoded message that the receiver sends on to the other hosts of its availability zone.
    Forward(Bytes),
    /// A host asks whether the configuration that it knows is in force.
    FreshnessRequest { number: u64 },
    /// Response to [`Message::FreshnessRequest`]: the sender knew `age_ms` ago that all operators' records before an offset
    /// are those of the store in an era.
    Freshness {
        number: u64,
        age_ms: u64,
        next: Offset,
        #[serde(default)]
        era: StoreEra,
        /// Version of the configuration that the sender knows.
        #[serde(default)]
        version: u64,
    },
}

impl Message {
    /// Returns the label of the message's metrics.
    fn kind(&self) -> &'static str {
        match self {
            Self::Counts(_) => "counts",
            Self::StepDown { .. } => "step-down",
            Self::ConfirmRequest { .. } => "confirm-request",
            Self::Confirmation { .. } => "confirmation",
            Self::Crashes(_) => "crashes",
            Self::CrashReports { .. } => "crash-reports",
            Self::Suspect(_) => "suspect",
            Self::Cold { .. } => "cold",
            Self::Leaving { .. } => "leaving",
            Self::OwnersChanged(_) => "owners-changed",
            Self::Refresh => "refresh",
            Self::Relay(_) => "relay",
            Self::EpochAck { .. } => "epoch-ack",
            Self::KnownTables { .. } => "known-tables",
            Self::Links { .. } => "links",
            Self::Admissions(_) => "admissions",
            Self::TokenRequest(_) => "token-request",
            Self::TokenIssue(_) => "token-issue",
            Self::ServiceTimes(_) => "service-times",
            Self::Speeds(_) => "speeds",
            Self::Forward(_) => "forward",
            Self::FreshnessRequest { .. } => "freshness-request",
            Self::Freshness { .. } => "freshness",
        }
    }
}

/// Hosts that a message is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Recipients {
    /// All other hosts.
    All,
    Readers,
    One(HostName),
}

/// Queue of messages to other hosts.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    messages: RefCell<Vec<(Recipients, Message)>>,
    message_added: Notify,
}

impl Outbox {
    /// Sends [`Message::Suspect`] to the readers, all other messages to all hosts.
    pub(crate) fn send(&self, message: Message) {
        let recipients = match message {
            Message::Suspect(_) => Recipients::Readers,
            _ => Recipients::All,
        };
        self.push(recipients, message);
    }

    pub(crate) fn send_to(&self, host: HostName, message: Message) {
        self.push(Recipients::One(host), message);
    }

    fn push(&self, recipients: Recipients, message: Message) {
        self.messages.borrow_mut().push((recipients, message));
        self.message_added.notify_one();
    }
}

/// Starts to announce this host in the store and to exchange datagrams with others.
///
/// # Errors
///
/// Fails if the socket for datagrams or the one for connections can't be bound.
pub(crate) async fn start_peers(gateway: &Rc<Gateway>) -> Result<(), String> {
    let address = gateway.settings.listen.peers;
    let (listener, socket) = bind_peers(address)
        .await
        .map_err(|e| format!("can't listen for other hosts on {address}: {e}"))?;
    let socket = Rc::new(socket);
    let peers = socket.local_addr().map_err(|e| e.to_string())?;
    spawn_local(accept_tunnels(Rc::clone(gateway), listener));
    spawn_local(announce_host(Rc::clone(gateway), peers));
    spawn_local(receive_datagrams(Rc::clone(gateway), Rc::clone(&socket)));
    spawn_local(send_outbox(Rc::clone(gateway), Rc::clone(&socket)));
    spawn_local(run_confirmation_rounds(Rc::clone(gateway), Rc::clone(&socket)));
    spawn_local(send_counts(Rc::clone(gateway), socket));
    Ok(())
}

/// Opens the socket for connections and the one for datagrams at the same address.
async fn bind_peers(address: SocketAddr) -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = if address.port() == 0 { BIND_ATTEMPTS } else { 1 };
    loop {
        let listener = TcpListener::bind(address).await?;
        attempts -= 1;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            // The system chose a port that is free for connections only.
            Err(error) if error.kind() == ErrorKind::AddrInUse && attempts > 0 => {}
            Err(error) => return Err(error),
        }
    }
}

async fn announce_host(gateway: Rc<Gateway>, peers: SocketAddr) {
    let presence = Presence {
        peers,
        zone: gateway.settings.zone.clone(),
        millicores: gateway.settings.millicores(),
        incarnation: gateway.incarnation_id().incarnation,
    };
    let text = serde_json::to_vec(&presence).expect("a host entry encodes as JSON");
    let key = format!("{HOST_PREFIX}{}", gateway.settings.host);
    loop {
        match gateway.store.append(HOST_TOPIC, None, &[(&key, &text)]).await {
            Ok(offset) => {
                info!(gateway.log, "host announced"; "offset" => offset.0);
                gateway.entry_lost.notified().await;
                if gateway.is_stopping.get() {
                    return;
                }
                warn!(gateway.log, "entry of this host is gone; announcing it again");
            }
            Err(error) => {
                warn!(gateway.log, "host not announced"; "error" => %error);
                sleep(ANNOUNCE_RETRY_DELAY).await;
            }
        }
    }
}

async fn receive_datagrams(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            // An ICMP error for a datagram sent earlier. Losses are tolerated, so it is ignored.
            continue;
        };
        let mut message = decode(&buffer[..length]);
        if let Ok(message) = &message {
            gateway
                .metrics
                .count_message(Direction::Received, message.kind(), length, 1);
        }
        if let Ok(Message::Forward(bytes)) = &message {
            let bytes = bytes.clone();
            for address in zone_addresses(&gateway) {
                // As for other datagrams, a failure counts as a loss.
                let _ = socket.send_to(&bytes, address).await;
            }
            message = decode(&bytes);
        }
        match message {
            Ok(Message::Forward(_)) => warn!(gateway.log, "datagram ignored: it is to be sent on twice"),
            Ok(Message::Counts(counts)) => record_counts(&gateway, &counts),
            Ok(Message::StepDown { epoch }) => {
                for reply in step_down(&gateway, epoch) {
                    send(&gateway, &socket, sender, &reply).await;
                }
            }
            Ok(Message::KnownTables {
                incarnation,
                epoch,
                former_epoch,
                tables,
            }) => record_known_tables(&gateway, &incarnation, epoch, former_epoch, &tables),
            Ok(Message::ConfirmRequest { epoch, requested_ms }) => {
                if let Some(reply) = confirm_grantor(&gateway, epoch, requested_ms) {
                    send(&gateway, &socket, sender, &reply).await;
                }
            }
            Ok(Message::Confirmation {
                incarnation,
                epoch,
                requested_ms,
            }) => record_confirmation(&gateway, incarnation, epoch, requested_ms),
            Ok(Message::Crashes(requests)) => {
                info!(gateway.log, "crash report of an older build ignored; it doesn't name the upstream";
                    "requests" => requests.len());
            }
            Ok(Message::CrashReports { host, reports }) => apply_reports(&gateway, &host, &reports),
            Ok(Message::Cold { upstream, millis }) => record_cold(&gateway, &upstream, Duration::from_millis(millis)),
            Ok(Message::Leaving { upstream, incarnation }) => record_leaving(&gateway, &upstream, incarnation),
            Ok(Message::Suspect(upstream)) => {
                gateway
                    .fleet
                    .borrow_mut()
                    .request_announcement(Instant::now(), &upstream);
            }
            Ok(Message::OwnersChanged(delta)) => apply_table_delta(&gateway, &delta),
            Ok(Message::Relay(deltas)) => apply_deltas(&gateway, &deltas),
            Ok(Message::Refresh) => gateway.feed.request_read(Topic::Hosts),
            Ok(Message::Admissions(shares)) => gateway.record_admissions(Instant::now(), &shares),
            Ok(Message::TokenRequest(requests)) => {
                if let Some(issues) = issue_tokens(&gateway, &requests) {
                    send(&gateway, &socket, sender, &Message::TokenIssue(issues)).await;
                }
            }
            Ok(Message::TokenIssue(issues)) => apply_issues(&gateway, &issues),
            Ok(Message::ServiceTimes(observed)) => record_observations(&gateway, &observed),
            Ok(Message::Speeds(speeds)) => apply_speeds(&gateway, speeds),
            Ok(Message::FreshnessRequest { number }) => {
                if let Some(reply) = answer_freshness(&gateway, number) {
                    send(&gateway, &socket, sender, &reply).await;
                }
            }
            Ok(Message::Freshness {
                number,
                age_ms,
                next,
                era,
                version,
            }) => record_freshness(&gateway, number, age_ms, (era, next), version),
            Ok(Message::Links { host, is_cut }) => record_host_links(&gateway, host, is_cut),
            Ok(Message::EpochAck { incarnation, epoch }) => record_epoch_ack(&gateway, &incarnation, epoch),
            Err(error) => warn!(gateway.log, "datagram from another host can't be decoded; ignored";
                "sender" => %sender, "bytes" => length, "error" => error),
        }
    }
}

async fn send_counts(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        sleep(COUNTS_PERIOD).await;
        let pools: Vec<_> = gateway.tables.borrow().values().cloned().collect();
        for table in pools {
            let mut counts = gateway.key_counts.borrow_mut().remove(&table.pool).unwrap_or_default();
            while !counts.is_empty() {
                let rest = counts.keys().nth(MESSAGE_KEYS_MAX).copied();
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
        send(gateway, socket, address, &Message::Counts(counts)).await;
    }
}

/// Sends the messages of the outbox.
async fn send_outbox(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        gateway.outbox.message_added.notified().await;
        let messages = std::mem::take(&mut *gateway.outbox.messages.borrow_mut());
        let readers = reader_addresses(&gateway);
        for (recipients, message) in messages {
            let (addresses, forwarders) = match &recipients {
                Recipients::All => plan_fan_out(&gateway),
                Recipients::Readers => (readers.clone(), Vec::new()),
                Recipients::One(host) => {
                    let address = gateway.hosts.borrow().get(host).map(|host| host.peers);
                    (address.into_iter().collect(), Vec::new())
                }
            };
            let kind = message.kind();
            let mut bytes = encode(&message);
            if bytes.len() > MESSAGE_MAX_BYTES {
                let Some(short) = shrink(message) else {
                    warn!(gateway.log, "message to other hosts is too large and not sent"; "kind" => kind,
                        "bytes" => bytes.len());
                    continue;
                };
                bytes = encode(&short);
            }
            let count = addresses.len();
            gateway.metrics.count_message(Direction::Sent, kind, bytes.len(), count);
            for address in addresses {
                // A datagram that can't be sent counts as lost; see `Message` for what a loss means.
                let _ = socket.send_to(&bytes, address).await;
            }
            if !forwarders.is_empty() {
                let forward = encode(&Message::Forward(bytes.into()));
                gateway
                    .metrics
                    .count_message(Direction::Sent, "forward", forward.len(), forwarders.len());
                for address in forwarders {
                    let _ = socket.send_to(&forward, address).await;
                }
            }
        }
    }
}

pub(super) async fn send(gateway: &Gateway, socket: &UdpSocket, address: SocketAddr, message: &Message) {
    let bytes = encode(message);
    gateway
        .metrics
        .count_message(Direction::Sent, message.kind(), bytes.len(), 1);
    // A datagram that the kernel can't send counts as lost; see `Message` for what a loss means.
    let _ = socket.send_to(&bytes, address).await;
}

/// Returns the addresses of the other hosts that are readers.
fn reader_addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let hosts = gateway.hosts.borrow();
    let others = |host: &&HostName| **host != gateway.settings.host;
    let address = |host: &HostName| hosts.get(host).map(|presence| presence.peers);
    readers(gateway).iter().filter(others).filter_map(address).collect()
}

/// Returns the addresses of the other hosts of the own availability zone.
fn zone_addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let hosts = gateway.hosts.borrow();
    let is_near =
        |host: &HostName, presence: &Presence| *host != gateway.settings.host && presence.zone == gateway.settings.zone;
    let near = hosts.iter().filter(|(host, presence)| is_near(host, presence));
    near.map(|(_, presence)| presence.peers).collect()
}

/// Returns the hosts that a message to all is sent to directly, and those that send it on within their zone: bytes between
/// zones are costly, and one host has not to send to hundreds. Two hosts of a zone take turns of some seconds, so that
/// messages keep their order and the loss of one host costs half of the messages until its entry is gone.
fn plan_fan_out(gateway: &Gateway) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let hosts = gateway.hosts.borrow();
    let mut zones: BTreeMap<&Zone, Vec<(&HostName, &Presence)>> = BTreeMap::new();
    for (host, presence) in hosts.iter().filter(|(host, _)| **host != gateway.settings.host) {
        zones.entry(&presence.zone).or_default().push((host, presence));
    }
    let turn = gateway.started.elapsed().as_secs() / FORWARD_TURN.as_secs();
    let turn = usize::try_from(turn).unwrap_or_default();
    let (mut direct, mut forwarders) = (Vec::new(), Vec::new());
    for (zone, members) in zones {
        // Builds that don't forward announce no incarnation.
        let forwards = members.iter().all(|(_, presence)| presence.incarnation > 0);
        if *zone == gateway.settings.zone || members.len() < FORWARD_HOSTS_MIN || !forwards {
            direct.extend(members.iter().map(|(_, presence)| presence.peers));
            continue;
        }
        let mut ranked = members;
        ranked.sort_by_key(|(host, presence)| (Reverse(presence.millicores), xxh3_64(host.as_str().as_bytes())));
        ranked.truncate(FORWARDERS_PER_ZONE);
        forwarders.push(ranked[turn % ranked.len()].1.peers);
    }
    (direct, forwarders)
}

/// Returns a short message in place of one that is too large; `None` if the store doesn't have what it is about.
///
/// Receivers read omitted records and key owners from the store. Messages that aren't in the store are kept short where they
/// are made.
pub(super) fn shrink(message: Message) -> Option<Message> {
    match message {
        Message::Relay(deltas) => {
            let deltas = deltas.into_iter().map(TopicDelta::without_updates);
            Some(Message::Relay(deltas.collect()))
        }
        Message::OwnersChanged(_) => Some(Message::Refresh),
        _ => None,
    }
}

/// Encodes a message. Larger messages are compressed; their records and names are repetitive.
pub(super) fn encode(message: &Message) -> Vec<u8> {
    let bytes = rmp_serde::to_vec(message).expect("a message encodes as MessagePack");
    if bytes.len() <= PLAIN_MAX_BYTES {
        return [&[ENCODING_PLAIN], bytes.as_slice()].concat();
    }
    let mut compressed = DeflateEncoder::new(vec![ENCODING_DEFLATE], Compression::fast());
    compressed.write_all(&bytes).expect("writes to a vector never fail");
    compressed.finish().expect("writes to a vector never fail")
}

pub(super) fn decode(datagram: &[u8]) -> Result<Message, String> {
    let (encoding, bytes) = datagram.split_first().ok_or("the datagram is empty")?;
    let mut plain = Vec::new();
    let bytes = match *encoding {
        ENCODING_PLAIN => bytes,
        ENCODING_DEFLATE => {
            let mut decompressed = DeflateDecoder::new(bytes).take(DECOMPRESSED_MAX_BYTES as u64 + 1);
            decompressed.read_to_end(&mut plain).map_err(|e| e.to_string())?;
            if plain.len() > DECOMPRESSED_MAX_BYTES {
                return Err(format!(
                    "it has more than {DECOMPRESSED_MAX_BYTES} bytes after decompression"
                ));
            }
            &plain
        }
        other => return Err(format!("unknown encoding byte {other}")),
    };
    rmp_serde::from_slice(bytes).map_err(|e| e.to_string())
}
