//! Client of the platform's store, which has keyed (compacted) topics and consumer groups.

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

use super::headers::read_era;
use super::units::format_time;
use crate::gateway::{CallError, Endpoint};
use crate::telemetry::StoreCalls;
use crate::types::{Offset, StoreEra};

/// Timeout of a call; even a slow store responds within 0.3 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Latency of a call above which the store counts as degraded; typical are 4 ms plus network latency.
const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(60);
/// Time for which the store counts as degraded after a slow or failed call.
const DEGRADED_TIME: Duration = Duration::from_secs(8);
/// Timeout for opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the body of a response: a page of 1 MB in base64, within JSON, must fit.
const BODY_MAX_BYTES: usize = 4 << 20;
/// Largest size of the records that one read of a topic returns.
const READ_MAX_KIB: u32 = 512;
/// Most records that are taken from one read; the others are read next. A record takes at least 64 bytes here, and as
/// few as 4 in a response.
pub(super) const BATCH_RECORDS_MAX: usize = 32 << 10;
/// Most pages of a listing, which has up to 500 records on each.
const LISTING_PAGES_MAX: usize = 1_000;
/// Most memory that the records of a listing take on a gateway.
const LISTING_MAX_BYTES: usize = 16 << 20;

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// the store did not execute the call: {0}
    Refused(String),
    /// the store may have executed the call: {0}
    Unknown(String),
    /// the producer is fenced by a newer epoch: {0}
    Fenced(String),
    /// another append with the same producer epoch came first: {0}
    OutOfSequence(String),
    /// the requested records are no longer stored; the oldest stored one has offset {0}
    Gone(Offset),
}

/// A record of a keyed topic; one without a value is a tombstone, which deletes its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) offset: Offset,
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
}

/// Consecutive records of a topic, from one read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Batch {
    /// Offset from which to read next.
    pub(crate) next: Offset,
    pub(crate) records: Vec<Record>,
    /// Whether the topic ended after these records when it was read.
    pub(crate) is_last: bool,
}

/// The newest record of each key of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Listing {
    /// Offset from which to read next; the listing may already contain records at or after it.
    pub(crate) next: Offset,
    pub(crate) records: Vec<Record>,
}

/// A member of a consumer group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) group: String,
    pub(crate) name: String,
}

/// Partitions assigned to a member of a consumer group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GroupShare {
    pub(crate) generation: u64,
    pub(crate) partitions: Vec<u32>,
}

/// Epoch of a producer, and sequence number of an append within the epoch.
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
struct WirePage {
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

/// Client of the store.
#[derive(Debug)]
pub(crate) struct Store {
    endpoint: Endpoint,
    degraded_until: Cell<Option<Instant>>,
    /// Newest era of the store that is known.
    era: Cell<StoreEra>,
    calls: StoreCalls,
    /// Most memory that the records of a listing take.
    listing_max: usize,
}

impl Store {
    /// Creates a client that counts its calls.
    pub(crate) fn new(address: SocketAddr, calls: StoreCalls) -> Self {
        Self {
            endpoint: Endpoint::new(address, CONNECT_TIMEOUT, BODY_MAX_BYTES),
            degraded_until: Cell::default(),
            era: Cell::default(),
            calls,
            listing_max: LISTING_MAX_BYTES,
        }
    }

    /// Accepts listings of any size, for programs that list one topic and end.
    pub(crate) fn without_listing_limit(self) -> Self {
        Self {
            listing_max: usize::MAX,
            ..self
        }
    }

    /// Reports whether a recent call was slow or failed.
    pub(crate) fn is_degraded(&self, now: Instant) -> bool {
        self.degraded_until.get().is_some_and(|end| now < end)
    }

    /// Returns the newest era of the store that is known. Right after a call that succeeded, it is that of the response.
    pub(crate) fn era(&self) -> StoreEra {
        self.era.get()
    }

    /// Records an era that another host knows.
    pub(crate) fn record_era(&self, era: StoreEra) {
        self.era.set(era.max(self.era.get()));
    }

    fn mark_degraded(&self, now: Instant) {
        self.degraded_until.set(Some(now + DEGRADED_TIME));
    }

    /// Lists the newest record of each key of a topic, page by page.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't return every page, repeats one, says that more follow an empty one, or exceeds a limit on
    /// the listing.
    pub(crate) async fn list(&self, topic: &str) -> Result<Listing, StoreError> {
        let mut records = Vec::new();
        let mut first = None;
        let mut after = String::new();
        let mut bytes = 0;
        for _ in 0..LISTING_PAGES_MAX {
            let mut uri = format!("/log-newest?topic={topic}&part=0");
            if !after.is_empty() {
                uri.push_str("&after=");
                uri.push_str(&escape(&after));
            }
            self.calls.count("list");
            let (page_era, body) = self.call(Method::GET, &uri, Bytes::new()).await?;
            let page = parse::<WirePage>(&body)?;
            // Pages aren't a consistent snapshot, so records written since the first page are read again.
            let (era, end) = *first.get_or_insert((page_era, page.end_offset));
            if page_era != era {
                let text = format!("the store came back from an older copy while {topic} was listed");
                return Err(StoreError::Unknown(text));
            }
            let last = page.items.last().map(|item| item.key.clone()).unwrap_or_default();
            if page.has_more && last.is_empty() {
                let text = format!("the listing of {topic} goes on after {after:?}, but the page there is empty");
                return Err(StoreError::Unknown(text));
            }
            if page.has_more && last == after {
                return Err(self.exceeded_limit(format!("the listing of {topic} repeats the page up to key {last:?}")));
            }
            after = last;
            for item in page.items {
                let value = STANDARD
                    .decode(&item.value)
                    .map_err(|e| StoreError::Unknown(e.to_string()))?;
                bytes += size_of::<Record>() + item.key.len() + value.len();
                if bytes > self.listing_max {
                    let limit = self.listing_max;
                    return Err(self.exceeded_limit(format!("the listing of {topic} takes more than {limit} bytes")));
                }
                records.push(Record {
                    offset: Offset(item.offset),
                    key: item.key,
                    value: Some(value.into()),
                });
            }
            if !page.has_more {
                return Ok(Listing {
                    next: Offset(end),
                    records,
                });
            }
        }
        Err(self.exceeded_limit(format!(
            "the listing of {topic} has more than {LISTING_PAGES_MAX} pages"
        )))
    }

    /// Counts a limit that the store exceeded, and returns the error.
    fn exceeded_limit(&self, text: String) -> StoreError {
        self.calls.count_exceeded_limit();
        StoreError::Unknown(text)
    }

    /// Reads records of a keyed topic from an offset on, as many as fit into one response.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond, or responds with an error: [`StoreError::Gone`] if it no longer
    /// stores the offset.
    pub(crate) async fn read(&self, topic: &str, from: Offset) -> Result<Batch, StoreError> {
        let uri = format!("/log-read?topic={topic}&part=0&from={from}&max_kb={READ_MAX_KIB}&wait_ms=0");
        self.calls.count("read");
        let (_, body) = self.call(Method::GET, &uri, Bytes::new()).await?;
        decode_batch(from, body).ok_or_else(|| StoreError::Unknown("malformed records in the response".to_owned()))
    }

    /// Appends records to a keyed topic. An empty list only announces the producer's epoch.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Fenced`] if the producer has a newer epoch, and with
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
        self.calls.count("append");
        let (_, body) = self.call(Method::POST, &uri, body).await?;
        parse::<WireAppended>(&body).map(|appended| Offset(appended.end_offset))
    }

    /// Joins a consumer group, or renews the membership.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond, or responds with an error.
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
        self.calls.count("join");
        let (_, body) = self.call(Method::POST, "/log-join", encode(&join)).await?;
        let joined = parse::<WireJoined>(&body)?;
        let rows = joined.parts.into_iter().filter(|(name, ..)| name == topic);
        Ok(GroupShare {
            generation: joined.generation,
            partitions: rows.map(|(_, partition, _)| partition).collect(),
        })
    }

    /// Leaves a consumer group.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't respond, or responds with an error; the membership then ends with its
    /// TTL at the latest.
    pub(crate) async fn leave(&self, member: &Member) -> Result<(), StoreError> {
        let leave = WireJoin {
            group: &member.group,
            member: &member.name,
            topics: None,
            ttl_time: None,
            generation: None,
        };
        self.calls.count("leave");
        self.call(Method::POST, "/log-leave", encode(&leave)).await?;
        Ok(())
    }

    /// Makes a call and returns the era of the store with the body of its response. A response of an earlier era than a known
    /// one says nothing about what the store has now.
    async fn call(&self, method: Method, uri: &str, body: Bytes) -> Result<(StoreEra, Bytes), StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(HOST, self.endpoint.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| StoreError::Refused(e.to_string()))?;
        let start = Instant::now();
        let response = self.endpoint.call(request, CALL_TIMEOUT).await;
        let now = Instant::now();
        let is_slow = now > start + SLOW_CALL_THRESHOLD;
        let is_lost = response
            .as_ref()
            .map_or(true, |response| response.status() == StatusCode::SERVICE_UNAVAILABLE);
        if is_slow || is_lost {
            self.mark_degraded(now);
        }
        if matches!(response, Err(CallError::TooLarge(_))) {
            self.calls.count_exceeded_limit();
        }
        let response = response.map_err(|e| match e {
            CallError::NotSent(_) | CallError::Refused => StoreError::Refused(e.to_string()),
            CallError::Broken(_) | CallError::TooLarge(_) | CallError::TimedOut(_) => {
                StoreError::Unknown(e.to_string())
            }
        })?;
        let era = read_era(response.headers()).unwrap_or(self.era.get());
        if era < self.era.get() {
            return Err(StoreError::Unknown(format!("the response is of the earlier era {era}")));
        }
        self.era.set(era);
        read_status(response.status(), response.into_body()).map(|body| (era, body))
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

/// Distinguishes a newer epoch from a wrong sequence number within the same epoch.
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
        .expect("strings and numbers serialize to JSON")
        .into()
}

/// Percent-encodes all but unreserved characters, so that names need no further check in a query.
fn escape(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let escape_byte = |byte| match byte {
        byte if is_plain(byte) => char::from(byte).to_string(),
        byte => format!("%{byte:02X}"),
    };
    text.bytes().map(escape_byte).collect()
}

/// Encodes records, each as a length of four bytes, a key length of one byte, the key and the value.
pub(super) fn encode_records(records: &[(&str, &[u8])]) -> Bytes {
    let mut body = BytesMut::new();
    for (key, value) in records {
        let key = key.as_bytes();
        let length = u32::try_from(1 + key.len() + value.len()).expect("records are far below 4 GiB");
        body.put_u32(length);
        body.put_u8(u8::try_from(key.len()).expect("keys are names of at most 128 bytes and a prefix"));
        body.put_slice(key);
        body.put_slice(value);
    }
    body.freeze()
}

/// Decodes the response to a read. A record with a malformed key keeps its offset and gets an empty key. Returns `None`
/// if the response is malformed, or doesn't go on although the topic does: reading on at once would never end.
pub(super) fn decode_batch(from: Offset, mut body: Bytes) -> Option<Batch> {
    if body.len() < 16 {
        return None;
    }
    let end = body.get_u64();
    let _first = body.get_u64();
    let mut next = from;
    let mut records = Vec::new();
    while body.remaining() >= 4 && records.len() < BATCH_RECORDS_MAX {
        let length = usize::try_from(body.get_u32()).ok()?;
        if body.remaining() < length {
            return None;
        }
        records.push(decode_record(next, body.split_to(length)));
        next = Offset(next.0.checked_add(1)?);
    }
    let is_last = next.0 >= end;
    (is_last || next > from).then_some(Batch { next, records, is_last })
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
