//! Stand-in for the platform's store: topics, keyed topics and groups.

use std::collections::BTreeMap;
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

/// How the stand-in misbehaves.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFault {
    /// All calls get 503.
    pub down: bool,
    /// All calls are cut without effect.
    pub cut: bool,
    /// Appends take effect and are cut.
    pub lose_answers: bool,
    /// Time before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Members of groups whose joins get 503.
    pub turned_away: Vec<String>,
}

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    sequence: u64,
}

#[derive(Debug, Default)]
struct Topic {
    /// Offset of the first record that is kept.
    first: u64,
    records: Vec<Bytes>,
    newest: BTreeMap<String, (u64, Bytes)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Debug)]
struct Joined {
    until: Instant,
}

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Joined>,
    topic: String,
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    groups: BTreeMap<String, Group>,
    fault: StoreFault,
}

/// The stand-in.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, is_keyed: bool, mut body: Bytes) -> Option<u64> {
        let start = self.end();
        while body.has_remaining() {
            if body.remaining() < 4 {
                return None;
            }
            let length = body.get_u32() as usize;
            if body.remaining() < length {
                return None;
            }
            let record = body.split_to(length);
            if is_keyed {
                let (key, value) = split_key(&record)?;
                if value.is_empty() {
                    self.newest.remove(&key);
                } else {
                    self.newest.insert(key, (self.end(), value));
                }
            }
            self.records.push(record);
        }
        Some(start)
    }
}

fn split_key(record: &Bytes) -> Option<(String, Bytes)> {
    let length = usize::from(*record.first()?);
    let key = record.get(1..=length)?;
    let key = String::from_utf8(key.to_vec()).ok()?;
    Some((key, record.slice(1 + length..)))
}

type Query = BTreeMap<String, String>;

fn read_query(request: &BufferedRequest) -> Query {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn number(query: &Query, name: &str) -> Option<u64> {
    query.get(name)?.parse().ok()
}

fn answer(value: &Value) -> Reply {
    reply(StatusCode::OK, value.to_string())
}

fn refuse(status: StatusCode, value: &Value) -> Reply {
    reply(status, value.to_string())
}

impl Store {
    /// Serves until the process ends.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        let handle = move |request| {
            let store = Arc::clone(&self);
            async move { store.handle(request).await }
        };
        serve(listener, handle).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: BufferedRequest) -> Reply {
        let path = request.uri().path().to_owned();
        if path == "/standin/fault" {
            return match serde_json::from_slice(request.body()) {
                Ok(fault) => {
                    self.lock().fault = fault;
                    answer(&json!({}))
                }
                Err(error) => reply(StatusCode::BAD_REQUEST, error.to_string()),
            };
        }
        let fault = self.lock().fault.clone();
        if fault.cut {
            return Reply::Disconnect;
        }
        if fault.down {
            return reply(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        sleep(Duration::from_millis(fault.delay_ms)).await;
        let query = read_query(&request);
        match (request.method(), path.as_str()) {
            (&Method::POST, "/log-append") => {
                let result = self.append(&query, request.into_body());
                if fault.lose_answers { Reply::Disconnect } else { result }
            }
            (&Method::GET, "/log-read") => self.read(&query).await,
            (&Method::GET, "/log-newest") => self.list(&query),
            (&Method::POST, "/log-join") => self.join(request.body(), &fault),
            (&Method::POST, "/log-leave") => self.leave(request.body()),
            _ => reply(StatusCode::NOT_FOUND, ""),
        }
    }

    fn append(&self, query: &Query, body: Bytes) -> Reply {
        let mut state = self.lock();
        let name = query.get("topic").cloned().unwrap_or_default();
        let is_keyed = name.starts_with("keyed.");
        let topic = state.topics.entry(name).or_default();
        if number(query, "at").is_some_and(|at| at != topic.end()) {
            return refuse(StatusCode::PRECONDITION_FAILED, &json!({ "end_offset": topic.end() }));
        }
        if let (Some(producer), Some(epoch), Some(sequence)) =
            (query.get("producer"), number(query, "epoch"), number(query, "seq"))
        {
            let known = topic.producers.entry(producer.clone()).or_default();
            if epoch < known.epoch {
                return refuse(StatusCode::CONFLICT, &json!({ "why": "fenced" }));
            }
            let expected = known.sequence + 1;
            if epoch == known.epoch && !body.is_empty() && sequence != expected && known.sequence != 0 {
                return refuse(StatusCode::CONFLICT, &json!({ "why": "seq", "seq": expected }));
            }
            if epoch > known.epoch {
                *known = Producer { epoch, sequence: 0 };
            }
            if !body.is_empty() {
                known.sequence = sequence;
            }
        }
        let Some(start) = topic.append(is_keyed, body) else {
            return reply(StatusCode::BAD_REQUEST, "records that can't be read");
        };
        let end = topic.end();
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        answer(&json!({ "offset": start, "end_offset": end }))
    }

    async fn read(&self, query: &Query) -> Reply {
        let name = query.get("topic").cloned().unwrap_or_default();
        let from = number(query, "from").unwrap_or_default();
        let ends = Instant::now() + Duration::from_millis(number(query, "wait_ms").unwrap_or_default());
        let mut changes = self.changed.subscribe();
        loop {
            {
                let mut state = self.lock();
                let topic = state.topics.entry(name.clone()).or_default();
                if from < topic.first {
                    return refuse(StatusCode::GONE, &json!({ "first": topic.first }));
                }
                if from < topic.end() || Instant::now() >= ends {
                    return reply(StatusCode::OK, encode(topic, from));
                }
            }
            let left = ends.saturating_duration_since(Instant::now());
            // The limit is looked at above.
            let _ = timeout(left, changes.changed()).await;
        }
    }

    fn list(&self, query: &Query) -> Reply {
        let mut state = self.lock();
        let name = query.get("topic").cloned().unwrap_or_default();
        let topic = state.topics.entry(name).or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let items = topic.newest.iter().filter(|(key, _)| **key > after);
        let items: Vec<Value> = items
            .map(|(key, (offset, value))| json!({ "key": key, "value": STANDARD.encode(value), "offset": offset }))
            .collect();
        answer(&json!({ "items": items, "has_more": false, "end_offset": topic.end() }))
    }

    fn join(&self, body: &Bytes, fault: &StoreFault) -> Reply {
        let Ok(call) = serde_json::from_slice::<Value>(body) else {
            return reply(StatusCode::BAD_REQUEST, "no JSON");
        };
        let text = |name: &str| call[name].as_str().unwrap_or_default().to_owned();
        let member = text("member");
        if fault.turned_away.contains(&member) {
            return reply(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        let ttl = text("ttl_time").trim_end_matches("ms").parse().unwrap_or(1_000);
        let now = Instant::now();
        let mut state = self.lock();
        let group = state.groups.entry(text("group")).or_default();
        call["topics"][0]
            .as_str()
            .unwrap_or_default()
            .clone_into(&mut group.topic);
        let before: Vec<String> = group.members.keys().cloned().collect();
        group.members.retain(|_, joined| joined.until > now);
        let until = now + Duration::from_millis(ttl);
        group.members.insert(member.clone(), Joined { until });
        if !group.members.keys().eq(before.iter()) {
            group.generation += 1;
        }
        // Only the first partition matters to the product; the first member has it.
        let is_first = group.members.keys().next() == Some(&member);
        let parts = if is_first {
            json!([[group.topic, 0, 0]])
        } else {
            json!([])
        };
        answer(&json!({ "generation": group.generation, "parts": parts }))
    }

    fn leave(&self, body: &Bytes) -> Reply {
        let call = serde_json::from_slice::<Value>(body).unwrap_or_default();
        let mut state = self.lock();
        let group = state
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
        answer(&json!({}))
    }

    /// Drops the records of a topic before its end; the newest of each key stay.
    pub fn forget(&self, topic: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.first = topic.end();
        topic.records.clear();
    }
}

fn encode(topic: &Topic, from: u64) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(topic.end());
    body.put_u64(topic.first);
    let skip = usize::try_from(from - topic.first).unwrap_or(usize::MAX);
    for record in topic.records.iter().skip(skip) {
        body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
        body.put_slice(record);
    }
    body.freeze()
}
