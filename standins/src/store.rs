//! Stand-in for the platform's store: topics, keyed topics and consumer groups, all in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::http::{BufferedRequest, Reply, reply, serve};

/// Fault that the stand-in simulates.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFault {
    /// Responds to all calls with 503.
    pub down: bool,
    /// Closes the connection of each call without handling the call.
    #[serde(rename = "cut")]
    pub disconnect: bool,
    /// Closes the connection of each append after the append has taken effect.
    #[serde(rename = "lose_answers")]
    pub drop_responses: bool,
    /// Delay before each call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Group members whose joins get 503.
    #[serde(rename = "turned_away")]
    pub rejected_members: Vec<String>,
}

/// The newest epoch of a producer, and the newest sequence number within it.
#[derive(Clone, Debug, Default)]
struct Producer {
    epoch: u64,
    sequence: u64,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    /// Offset of the first record that is kept.
    first_offset: u64,
    records: Vec<Bytes>,
    /// Offset and value of each key's newest record, in keyed topics.
    newest: BTreeMap<String, (u64, Bytes)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Clone, Debug)]
struct Membership {
    expiry: Instant,
}

/// A consumer group of one topic.
#[derive(Clone, Debug, Default)]
struct Group {
    /// Counts changes of the set of members.
    generation: u64,
    members: BTreeMap<String, Membership>,
    topic: String,
}

/// What a copy of the store contains.
#[derive(Clone, Debug, Default)]
struct Contents {
    topics: BTreeMap<String, Topic>,
    groups: BTreeMap<String, Group>,
}

#[derive(Debug)]
struct State {
    contents: Contents,
    /// Copy that the store comes back from when it is restored.
    copy: Contents,
    /// Number of restorations, including the first start.
    era: u64,
    fault: StoreFault,
}

impl Default for State {
    fn default() -> Self {
        Self {
            contents: Contents::default(),
            copy: Contents::default(),
            era: 1,
            fault: StoreFault::default(),
        }
    }
}

/// Topics whose writers write again what a restoration has lost.
const REWRITTEN_TOPICS: [&str; 2] = ["keyed.op", "keyed.servers"];

/// How the stand-in is restored from its copy.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
struct Restoration {
    /// Delay in milliseconds before operators and servers write again what was lost.
    rewrite_ms: u64,
}

/// A store that keeps everything in memory.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    /// Number of appends; a change wakes the reads that wait for records.
    append_count: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            append_count: watch::Sender::new(0),
        }
    }
}

impl Topic {
    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Returns the records from an offset on.
    fn since(&self, offset: u64) -> impl Iterator<Item = &Bytes> {
        let skip = usize::try_from(offset.saturating_sub(self.first_offset)).unwrap_or(usize::MAX);
        self.records.iter().skip(skip)
    }

    fn append_record(&mut self, is_keyed: bool, record: Bytes) -> Option<()> {
        if is_keyed {
            let (key, value) = split_key(&record)?;
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (self.end_offset(), value));
            }
        }
        self.records.push(record);
        Some(())
    }

    /// Appends length-prefixed records and returns the offset of the first one, or `None` at the
    /// first malformed record; those before it stay appended.
    fn append(&mut self, is_keyed: bool, mut body: Bytes) -> Option<u64> {
        let start = self.end_offset();
        while body.has_remaining() {
            if body.remaining() < 4 {
                return None;
            }
            let length = body.get_u32() as usize;
            if body.remaining() < length {
                return None;
            }
            self.append_record(is_keyed, body.split_to(length))?;
        }
        Some(start)
    }
}

/// Splits a keyed record into its key, which is preceded by a length byte, and its value.
fn split_key(record: &Bytes) -> Option<(String, Bytes)> {
    let length = usize::from(*record.first()?);
    let key = record.get(1..=length)?;
    let key = String::from_utf8(key.to_vec()).ok()?;
    Some((key, record.slice(1 + length..)))
}

/// Records that a restoration has removed from a topic.
#[derive(Debug)]
struct LostRecords {
    topic: &'static str,
    /// Offset at which the copy ends.
    end: u64,
    /// Newest record of each key.
    records: Vec<Bytes>,
}

impl State {
    /// Replaces the contents by the copy. Returns, by topic, the newest record of each key that operators and servers have
    /// written since.
    fn restore(&mut self) -> Vec<LostRecords> {
        let lost = REWRITTEN_TOPICS.map(|name| {
            let end = self.copy.topics.get(name).map_or(0, Topic::end_offset);
            let topic = self.contents.topics.get(name);
            let lost = topic.into_iter().flat_map(|topic| topic.since(end));
            let newest: BTreeMap<String, Bytes> = lost
                .filter_map(|record| split_key(record).map(|(key, _)| (key, record.clone())))
                .collect();
            LostRecords {
                topic: name,
                end,
                records: newest.into_values().collect(),
            }
        });
        self.contents = self.copy.clone();
        self.era += 1;
        lost.into()
    }
}

type Query = BTreeMap<String, String>;

fn parse_query(request: &BufferedRequest) -> Query {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn parse_number(query: &Query, name: &str) -> Option<u64> {
    query.get(name)?.parse().ok()
}

fn json_reply(value: &Value) -> Reply {
    reply(StatusCode::OK, value.to_string())
}

fn error_reply(status: StatusCode, value: &Value) -> Reply {
    reply(status, value.to_string())
}

impl Store {
    /// Serves calls on the listener until accepting fails.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        let handle = move |request| {
            let store = Arc::clone(&self);
            async move {
                let mut reply = store.handle(request).await;
                if let Reply::Complete(response) = &mut reply {
                    let era = store.lock().era;
                    response.headers_mut().insert("store-era", era.into());
                }
                reply
            }
        };
        serve(listener, handle).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the lost records of operators and servers again, unless they have done so themselves.
    async fn rewrite(&self, delay: Duration, lost: Vec<LostRecords>) {
        sleep(delay).await;
        let mut state = self.lock();
        for LostRecords { topic, end, records } in lost {
            let topic = state.contents.topics.entry(topic.to_owned()).or_default();
            let key = |record: &Bytes| split_key(record).map(|(key, _)| key);
            let written: BTreeSet<Option<String>> = topic.since(end).map(key).collect();
            for record in records.into_iter().filter(|record| !written.contains(&key(record))) {
                // The records were appended before, so they are valid.
                let _ = topic.append_record(true, record);
            }
        }
        drop(state);
        self.append_count.send_modify(|count| *count += 1);
    }

    async fn handle(self: &Arc<Self>, request: BufferedRequest) -> Reply {
        let path = request.uri().path().to_owned();
        if path == "/standin/copy" {
            let mut state = self.lock();
            state.copy = state.contents.clone();
            return json_reply(&json!({}));
        }
        if path == "/standin/restore" {
            let Ok(restoration) = serde_json::from_slice::<Restoration>(request.body()) else {
                return reply(StatusCode::BAD_REQUEST, "request body is not a restoration");
            };
            let mut state = self.lock();
            let lost = state.restore();
            drop(state);
            let (store, delay) = (Arc::clone(self), Duration::from_millis(restoration.rewrite_ms));
            tokio::spawn(async move { store.rewrite(delay, lost).await });
            return json_reply(&json!({}));
        }
        if path == "/standin/fault" {
            return match serde_json::from_slice(request.body()) {
                Ok(fault) => {
                    self.lock().fault = fault;
                    json_reply(&json!({}))
                }
                Err(error) => reply(StatusCode::BAD_REQUEST, error.to_string()),
            };
        }
        let fault = self.lock().fault.clone();
        if fault.disconnect {
            return Reply::Disconnect;
        }
        if fault.down {
            return reply(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        sleep(Duration::from_millis(fault.delay_ms)).await;
        let query = parse_query(&request);
        match (request.method(), path.as_str()) {
            (&Method::POST, "/log-append") => {
                let result = self.append(&query, request.into_body());
                if fault.drop_responses {
                    Reply::Disconnect
                } else {
                    result
                }
            }
            (&Method::GET, "/log-read") => self.read(&query).await,
            (&Method::GET, "/log-newest") => self.list_newest(&query),
            (&Method::POST, "/log-join") => self.join(request.body(), &fault),
            (&Method::POST, "/log-leave") => self.leave(request.body()),
            _ => reply(StatusCode::NOT_FOUND, ""),
        }
    }

    fn append(&self, query: &Query, body: Bytes) -> Reply {
        let mut state = self.lock();
        let name = query.get("topic").cloned().unwrap_or_default();
        let is_keyed = name.starts_with("keyed.");
        let topic = state.contents.topics.entry(name).or_default();
        if parse_number(query, "at").is_some_and(|at| at != topic.end_offset()) {
            return error_reply(
                StatusCode::PRECONDITION_FAILED,
                &json!({ "end_offset": topic.end_offset() }),
            );
        }
        if let (Some(producer), Some(epoch), Some(sequence)) = (
            query.get("producer"),
            parse_number(query, "epoch"),
            parse_number(query, "seq"),
        ) {
            let known = topic.producers.entry(producer.clone()).or_default();
            if epoch < known.epoch {
                return error_reply(StatusCode::CONFLICT, &json!({ "why": "fenced" }));
            }
            let expected = known.sequence + 1;
            if epoch == known.epoch && !body.is_empty() && sequence != expected && known.sequence != 0 {
                return error_reply(StatusCode::CONFLICT, &json!({ "why": "seq", "seq": expected }));
            }
            if epoch > known.epoch {
                *known = Producer { epoch, sequence: 0 };
            }
            if !body.is_empty() {
                known.sequence = sequence;
            }
        }
        let Some(start) = topic.append(is_keyed, body) else {
            return reply(
                StatusCode::BAD_REQUEST,
                "malformed records: a length or a key is invalid",
            );
        };
        let end = topic.end_offset();
        drop(state);
        self.append_count.send_modify(|count| *count += 1);
        json_reply(&json!({ "offset": start, "end_offset": end }))
    }

    async fn read(&self, query: &Query) -> Reply {
        let name = query.get("topic").cloned().unwrap_or_default();
        let from = parse_number(query, "from").unwrap_or_default();
        let deadline = Instant::now() + Duration::from_millis(parse_number(query, "wait_ms").unwrap_or_default());
        let mut appends = self.append_count.subscribe();
        loop {
            {
                let mut state = self.lock();
                let topic = state.contents.topics.entry(name.clone()).or_default();
                if from < topic.first_offset || from > topic.end_offset() {
                    return error_reply(StatusCode::GONE, &json!({ "first": topic.first_offset }));
                }
                if from < topic.end_offset() || Instant::now() >= deadline {
                    return reply(StatusCode::OK, encode_records(topic, from));
                }
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            // The next iteration checks the deadline.
            let _ = timeout(remaining, appends.changed()).await;
        }
    }

    fn list_newest(&self, query: &Query) -> Reply {
        let mut state = self.lock();
        let name = query.get("topic").cloned().unwrap_or_default();
        let topic = state.contents.topics.entry(name).or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let items = topic.newest.iter().filter(|(key, _)| **key > after);
        let items: Vec<Value> = items
            .map(|(key, (offset, value))| json!({ "key": key, "value": STANDARD.encode(value), "offset": offset }))
            .collect();
        json_reply(&json!({ "items": items, "has_more": false, "end_offset": topic.end_offset() }))
    }

    fn join(&self, body: &Bytes, fault: &StoreFault) -> Reply {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return reply(StatusCode::BAD_REQUEST, "request body is not valid JSON");
        };
        let text = |name: &str| call[name].as_str().unwrap_or_default().to_owned();
        let member = text("member");
        if fault.rejected_members.contains(&member) {
            return reply(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let ttl = text("ttl_time").trim_end_matches("ms").parse().unwrap_or(1_000);
        let now = Instant::now();
        let mut state = self.lock();
        let group = state.contents.groups.entry(text("group")).or_default();
        call["topics"][0]
            .as_str()
            .unwrap_or_default()
            .clone_into(&mut group.topic);
        let previous: Vec<String> = group.members.keys().cloned().collect();
        group.members.retain(|_, membership| membership.expiry > now);
        let expiry = now + Duration::from_millis(ttl);
        group.members.insert(member.clone(), Membership { expiry });
        if !group.members.keys().eq(previous.iter()) {
            group.generation += 1;
        }
        // The gateway uses only the first partition, which goes to the first member by name.
        let is_first = group.members.keys().next() == Some(&member);
        let parts = if is_first {
            json!([[group.topic, 0, 0]])
        } else {
            json!([])
        };
        json_reply(&json!({ "generation": group.generation, "parts": parts }))
    }

    fn leave(&self, body: &Bytes) -> Reply {
        let call = serde_json::from_slice::<Value>(body).unwrap_or_default();
        let mut state = self.lock();
        let group = state
            .contents
            .groups
            .entry(call["group"].as_str().unwrap_or_default().to_owned())
            .or_default();
        if group
            .members
            .remove(call["member"].as_str().unwrap_or_default())
            .is_some()
        {
            group.generation += 1;
        }
        json_reply(&json!({}))
    }

    /// Discards all records of a topic; the newest record of each key stays listed.
    pub fn discard_records(&self, topic: &str) {
        let mut state = self.lock();
        let topic = state.contents.topics.entry(topic.to_owned()).or_default();
        topic.first_offset = topic.end_offset();
        topic.records.clear();
    }
}

/// Encodes the end and first offsets of a topic, and its length-prefixed records from an offset on.
fn encode_records(topic: &Topic, from: u64) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(topic.end_offset());
    body.put_u64(topic.first_offset);
    let skip = usize::try_from(from - topic.first_offset).unwrap_or(usize::MAX);
    for record in topic.records.iter().skip(skip) {
        body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
        body.put_slice(record);
    }
    body.freeze()
}
