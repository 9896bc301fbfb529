//! Client of the platform's store: topics with ordered records, and groups of members.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use displaydoc::Display;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::Instant;

use super::units::format_time;
use crate::gateway::{CallError, Endpoint};
use crate::types::Offset;

/// Limit for one call; the store answers within 0.3 s also when it is slow.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Time of a call above which the store counts as degraded; usual are 4 ms and the way.
const SLOW_CALL: Duration = Duration::from_millis(60);
/// Time after a slow or failed call for which the store counts as degraded.
const DEGRADED_TIME: Duration = Duration::from_secs(8);
/// Limit for opening a connection to the store.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Largest part of a topic that one read returns, in KiB.
const READ_KIB: u32 = 512;

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// the store did nothing: {0}
    Refused(String),
    /// the store may have done it: {0}
    Unknown(String),
    /// a newer epoch of the producer is in force: {0}
    Fenced(String),
    /// another append of the same epoch came before: {0}
    OutOfSequence(String),
    /// the records asked for are gone; the oldest one left has offset {0}
    Gone(Offset),
}

/// The newest record of one key, or a record of a keyed topic; no value means that the key is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) offset: Offset,
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
}

/// Records of one read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Batch {
    /// Offset of the next record to read.
    pub(crate) next: Offset,
    pub(crate) records: Vec<Record>,
    /// The topic ended there when it was read.
    pub(crate) is_last: bool,
}

/// The newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Listing {
    /// Offset from which a read goes on; records at or after it may be in the listing already.
    pub(crate) next: Offset,
    pub(crate) records: Vec<Record>,
}

/// A member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) group: String,
    pub(crate) name: String,
}

/// What a member holds after a join.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GroupShare {
    pub(crate) generation: u64,
    /// Partitions of the topic that belong to the member.
    pub(crate) partitions: Vec<u32>,
}

/// Where an append goes on: the producer's epoch and the number of the append in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ProducerState {
    pub(crate) producer: String,
    pub(crate) epoch: u64,
    pub(crate) sequence: u64,
}

#[derive(Deserialize)]
struct WireAppended {
    end_offset: u64,
}

#[derive(Deserialize)]
struct WireItem {
    key: String,
    #[serde(default)]
    value: String,
    offset: u64,
}

#[derive(Deserialize)]
struct WireListing {
    items: Vec<WireItem>,
    has_more: bool,
    end_offset: u64,
}

#[derive(Deserialize)]
struct WireConflict {
    why: String,
}

#[derive(Deserialize)]
struct WireGone {
    first: u64,
}

#[derive(Serialize)]
struct WireJoin<'a> {
    group: &'a str,
    member: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    topics: Option<[&'a str; 1]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ttl_time: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    generation: Option<u64>,
}

#[derive(Deserialize)]
struct WireJoined {
    generation: u64,
    /// Topic, partition and committed offset.
    parts: Vec<(String, u32, u64)>,
}

/// Connections to the store.
#[derive(Debug)]
pub(crate) struct Store {
    endpoint: Endpoint,
    /// Until when the store counts as degraded.
    degraded_until: Cell<Option<Instant>>,
}

impl Store {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            endpoint: Endpoint::new(address, CONNECT_LIMIT),
            degraded_until: Cell::default(),
        }
    }

    /// Tells whether calls were slow or failed of late.
    pub(crate) fn is_degraded(&self, now: Instant) -> bool {
        self.degraded_until.get().is_some_and(|end| now < end)
    }

    fn mark_degraded(&self, now: Instant) {
        self.degraded_until.set(Some(now + DEGRADED_TIME));
    }

    /// Reads the newest record of each key of a topic.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer each page.
    pub(crate) async fn list(&self, topic: &str) -> Result<Listing, StoreError> {
        let mut records = Vec::new();
        let mut first_end = None;
        let mut after = String::new();
        loop {
            let mut uri = format!("/log-newest?topic={topic}&part=0");
            if !after.is_empty() {
                uri.push_str("&after=");
                uri.push_str(&escape(&after));
            }
            let body = self.call(Method::GET, &uri, Bytes::new()).await?;
            let page = parse::<WireListing>(&body)?;
            // Pages are no snapshot: records written since the first page are read again.
            let end = *first_end.get_or_insert(page.end_offset);
            after = page.items.last().map(|item| item.key.clone()).unwrap_or_default();
            for item in page.items {
                let value = STANDARD
                    .decode(&item.value)
                    .map_err(|e| StoreError::Unknown(e.to_string()))?;
                records.push(Record {
                    offset: Offset(item.offset),
                    key: item.key,
                    value: Some(value.into()),
                });
            }
            if !page.has_more || after.is_empty() {
                return Ok(Listing {
                    next: Offset(end),
                    records,
                });
            }
        }
    }

    /// Reads the records of a keyed topic from an offset on, as many as one answer holds.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer, or no longer keeps the offset.
    pub(crate) async fn read(&self, topic: &str, from: Offset) -> Result<Batch, StoreError> {
        let uri = format!("/log-read?topic={topic}&part=0&from={from}&max_kb={READ_KIB}&wait_ms=0");
        let body = self.call(Method::GET, &uri, Bytes::new()).await?;
        decode_batch(from, body).ok_or_else(|| StoreError::Unknown("records that can't be read".to_owned()))
    }

    /// Appends records to a keyed topic; an empty list only announces the producer's epoch.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Fenced`] if a newer epoch is in force, and with
    /// [`StoreError::Unknown`] if the records may have been appended.
    pub(crate) async fn append(
        &self,
        topic: &str,
        producer: Option<&ProducerState>,
        records: &[(&str, &[u8])],
    ) -> Result<Offset, StoreError> {
        let mut uri = format!("/log-append?topic={topic}&part=0");
        if let Some(state) = producer {
            let producer = escape(&state.producer);
            let (epoch, sequence) = (state.epoch, state.sequence);
            uri = format!("{uri}&producer={producer}&epoch={epoch}&seq={sequence}");
        }
        let body = encode_records(records);
        let body = self.call(Method::POST, &uri, body).await?;
        parse::<WireAppended>(&body).map(|appended| Offset(appended.end_offset))
    }

    /// Joins a group, or stays in it.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer.
    pub(crate) async fn join(
        &self,
        member: &Member,
        topic: &str,
        ttl: Duration,
        generation: u64,
    ) -> Result<GroupShare, StoreError> {
        let join = WireJoin {
            group: &member.group,
            member: &member.name,
            topics: Some([topic]),
            ttl_time: Some(format_time(ttl)),
            generation: Some(generation),
        };
        let body = self.call(Method::POST, "/log-join", encode(&join)).await?;
        let joined = parse::<WireJoined>(&body)?;
        let rows = joined.parts.into_iter().filter(|(name, ..)| name == topic);
        Ok(GroupShare {
            generation: joined.generation,
            partitions: rows.map(|(_, partition, _)| partition).collect(),
        })
    }

    /// Leaves a group.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer; the membership then ends with its time to live.
    pub(crate) async fn leave(&self, member: &Member) -> Result<(), StoreError> {
        let leave = WireJoin {
            group: &member.group,
            member: &member.name,
            topics: None,
            ttl_time: None,
            generation: None,
        };
        self.call(Method::POST, "/log-leave", encode(&leave)).await?;
        Ok(())
    }

    async fn call(&self, method: Method, uri: &str, body: Bytes) -> Result<Bytes, StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(HOST, self.endpoint.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| StoreError::Refused(e.to_string()))?;
        let start = Instant::now();
        let response = self.endpoint.call(request, CALL_LIMIT).await;
        let now = Instant::now();
        let is_slow = now > start + SLOW_CALL;
        let is_lost = response
            .as_ref()
            .map_or(true, |response| response.status() == StatusCode::SERVICE_UNAVAILABLE);
        if is_slow || is_lost {
            self.mark_degraded(now);
        }
        let response = response.map_err(|e| match e {
            CallError::NotSent(_) | CallError::Refused => StoreError::Refused(e.to_string()),
            CallError::Broken(_) | CallError::TimedOut(_) => StoreError::Unknown(e.to_string()),
        })?;
        read_status(response.status(), response.into_body())
    }
}

fn read_status(status: StatusCode, body: Bytes) -> Result<Bytes, StoreError> {
    let text = || {
        let text = String::from_utf8_lossy(&body);
        format!(
            "status {}: {}",
            status.as_u16(),
            text.chars().take(200).collect::<String>()
        )
    };
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::GONE => {
            Err(parse::<WireGone>(&body).map_or_else(|e| e, |gone| StoreError::Gone(Offset(gone.first))))
        }
        StatusCode::CONFLICT => Err(read_conflict(&body, text())),
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(StoreError::Refused(text()))
        }
        _ => Err(StoreError::Unknown(text())),
    }
}

/// Tells a newer epoch from a wrong number in the same one.
fn read_conflict(body: &[u8], text: String) -> StoreError {
    match serde_json::from_slice::<WireConflict>(body) {
        Ok(conflict) if conflict.why == "seq" => StoreError::OutOfSequence(text),
        Ok(_) | Err(_) => StoreError::Fenced(text),
    }
}

fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::Unknown(e.to_string()))
}

fn encode(message: &impl Serialize) -> Bytes {
    serde_json::to_vec(message)
        .expect("texts and numbers have a JSON form")
        .into()
}

/// Escapes a text for a query; all but unreserved characters, so that names need no further check.
fn escape(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let escape_byte = |byte| match byte {
        byte if is_plain(byte) => char::from(byte).to_string(),
        byte => format!("%{byte:02X}"),
    };
    text.bytes().map(escape_byte).collect()
}

/// Encodes records: four bytes of length, then a byte of key length, the key and the value.
pub(super) fn encode_records(records: &[(&str, &[u8])]) -> Bytes {
    let mut body = BytesMut::new();
    for (key, value) in records {
        let key = key.as_bytes();
        let length = u32::try_from(1 + key.len() + value.len()).expect("a record is far below 4 GiB");
        body.put_u32(length);
        body.put_u8(u8::try_from(key.len()).expect("keys are names of at most 128 bytes and a prefix"));
        body.put_slice(key);
        body.put_slice(value);
    }
    body.freeze()
}

/// Decodes the answer to a read; records whose key can't be read keep their offset and get an empty key.
pub(super) fn decode_batch(from: Offset, mut body: Bytes) -> Option<Batch> {
    if body.len() < 16 {
        return None;
    }
    let end = body.get_u64();
    let _first = body.get_u64();
    let mut next = from;
    let mut records = Vec::new();
    while body.remaining() >= 4 {
        let length = usize::try_from(body.get_u32()).ok()?;
        if body.remaining() < length {
            return None;
        }
        records.push(decode_record(next, body.split_to(length)));
        next = Offset(next.0 + 1);
    }
    Some(Batch {
        next,
        records,
        is_last: next.0 >= end,
    })
}

fn decode_record(offset: Offset, mut content: Bytes) -> Record {
    let mut key = String::new();
    if content.has_remaining() {
        let length = usize::from(content.get_u8());
        if content.len() >= length {
            key = String::from_utf8(content.split_to(length).to_vec()).unwrap_or_default();
        }
    }
    Record {
        offset,
        key,
        value: content.has_remaining().then_some(content),
    }
}
