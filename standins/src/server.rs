//! Stand-in for a server of the users: it announces itself in the store, takes grants and runs requests.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::http::{BufferedRequest, Reply, reply, serve};

/// Time between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// How the stand-in is set up.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name, unique over all services.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the store in which it announces itself.
    pub store: SocketAddr,
    /// Address that it announces, which may be that of a proxy.
    pub address: SocketAddr,
    /// File to which it appends what it does.
    pub record: Option<PathBuf>,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Time that a request takes.
    pub work: Duration,
    /// It runs only requests for keys that were granted to it.
    pub is_sharded: bool,
}

/// How the stand-in misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerFault {
    /// It works as it should.
    #[default]
    None,
    /// Requests run and their connection is cut.
    LoseAnswers,
    /// Requests run and fail with 500.
    Fail,
    /// Requests are refused as not run.
    Shed,
    /// Answers carry the id of another request.
    Crossed,
    /// The connection ends within the body of an answer, whose length is given or not.
    BreakSized,
    /// The same for an answer in chunks.
    BreakChunked,
    /// It announces that it leaves.
    Drain,
}

/// What the stand-in ran; tests judge promises by it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Runs {
    /// Runs by request id.
    pub requests: BTreeMap<String, u64>,
    /// Times that each key's grant was taken, with the fence.
    pub grants: Vec<(u16, u16, u64)>,
    /// Requests whose connection ended while they ran, with the time for which they did, in ms.
    pub cut: BTreeMap<String, u64>,
}

/// Notes a run as cut if it is dropped before its end.
struct Running<'a> {
    server: &'a Server,
    id: &'a str,
    start: Instant,
    is_done: bool,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.server.running.fetch_sub(1, Ordering::Relaxed);
        if !self.is_done {
            let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.server.lock().runs.cut.insert(self.id.to_owned(), ms);
        }
    }
}

/// What a server did, as it appends it to its record before the effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerEvent {
    /// It took keys until a time in Unix milliseconds.
    Grant(u16, u16, u64, u64),
    /// It gave up keys.
    Release(u16, u16, u64),
    /// It began to run a request, for a key if there is one.
    Run(String, Option<u16>),
    /// Its process was ended, as told by who ended it.
    End,
}

/// A line of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Unix milliseconds.
    pub at: u64,
    /// Name of the server.
    pub server: String,
    /// What it did.
    #[serde(rename = "deed")]
    pub event: ServerEvent,
}

/// Gives the time of day in Unix milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or_default()
}

/// Appends a line to a record in one write, so that lines of several processes don't mix.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn append_event(path: &Path, server: &str, event: ServerEvent) -> std::io::Result<()> {
    let line = EventRecord {
        at: unix_ms(),
        server: server.to_owned(),
        event,
    };
    let mut text = serde_json::to_vec(&line)?;
    text.push(b'\n');
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)?
        .write_all(&text)
}

#[derive(Debug)]
struct Grant {
    first: u16,
    last: u16,
    fence: u64,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    grants: Vec<Grant>,
    seen: u64,
    fault: ServerFault,
    runs: Runs,
}

/// The stand-in.
#[derive(Debug)]
pub struct Server {
    setup: Setup,
    born: u64,
    slots: Semaphore,
    running: AtomicU64,
    state: Mutex<State>,
}

impl Server {
    /// Makes a stand-in.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        Self {
            born: unix_ms(),
            slots: Semaphore::new(setup.slots),
            running: AtomicU64::new(0),
            state: Mutex::default(),
            setup,
        }
    }

    /// Serves and announces itself until the process ends.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        tokio::spawn(announce(Arc::clone(&self)));
        let handle = move |request| {
            let server = Arc::clone(&self);
            async move { server.handle(request).await }
        };
        serve(listener, handle).await;
    }

    /// Records what it is about to do; without its record a test would judge wrongly.
    fn record(&self, event: ServerEvent) {
        if let Some(path) = &self.setup.record {
            append_event(path, &self.setup.name, event).expect("the record can be written");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: BufferedRequest) -> Reply {
        match request.uri().path() {
            "/standin/fault" => {
                self.lock().fault = serde_json::from_slice(request.body()).unwrap_or_default();
                reply(StatusCode::OK, "")
            }
            "/standin/runs" => {
                let runs = serde_json::to_string(&self.lock().runs).unwrap_or_default();
                reply(StatusCode::OK, runs)
            }
            "/grant" => self.grant(request.body()),
            "/release" => self.release(request.body()),
            _ => self.work(&request).await,
        }
    }

    fn grant(&self, body: &Bytes) -> Reply {
        let Some(order) = Order::read(body) else {
            return reply(StatusCode::BAD_REQUEST, "");
        };
        let mut state = self.lock();
        let overlaps = |grant: &Grant| grant.first <= order.last && order.first <= grant.last;
        let is_fenced = state.grants.iter().any(|g| overlaps(g) && g.fence > order.fence);
        if is_fenced {
            return reply(StatusCode::CONFLICT, "");
        }
        let until = unix_ms() + u64::try_from(order.hold.as_millis()).unwrap_or_default();
        self.record(ServerEvent::Grant(order.first, order.last, order.fence, until));
        state
            .grants
            .retain(|g| !(g.first == order.first && g.last == order.last));
        state.grants.push(Grant {
            first: order.first,
            last: order.last,
            fence: order.fence,
            until: Instant::now() + order.hold,
        });
        state.seen = state.seen.max(order.fence);
        state.runs.grants.push((order.first, order.last, order.fence));
        reply(StatusCode::OK, "")
    }

    fn release(&self, body: &Bytes) -> Reply {
        let Some(order) = Order::read(body) else {
            return reply(StatusCode::BAD_REQUEST, "");
        };
        let now = Instant::now();
        let mut state = self.lock();
        let mut kept = Vec::new();
        for grant in std::mem::take(&mut state.grants) {
            if grant.last < order.first || order.last < grant.first || grant.fence > order.fence {
                kept.push(grant);
                continue;
            }
            let piece = |first, last| Grant {
                first,
                last,
                fence: grant.fence,
                until: grant.until,
            };
            if grant.first < order.first {
                kept.push(piece(grant.first, order.first - 1));
            }
            if grant.last > order.last {
                kept.push(piece(order.last + 1, grant.last));
            }
        }
        // Remembers the fence of the release, so that late grants below it are refused.
        kept.push(Grant {
            first: order.first,
            last: order.last,
            fence: order.fence,
            until: now,
        });
        state.grants = kept;
        self.record(ServerEvent::Release(order.first, order.last, order.fence));
        reply(StatusCode::OK, "")
    }

    fn holds(&self, key: u16) -> bool {
        let now = Instant::now();
        self.lock()
            .grants
            .iter()
            .any(|g| (g.first..=g.last).contains(&key) && g.until > now)
    }

    async fn work(&self, request: &BufferedRequest) -> Reply {
        let header = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
        };
        let id = header("x-ragworthub-request-id").to_owned();
        let fault = self.lock().fault;
        let expected = header("x-ragworthub-expected-instance");
        let key = header("x-ragworthub-shard-key").parse::<u16>().ok();
        let is_held = !self.setup.is_sharded || key.is_some_and(|key| self.holds(key));
        if expected != self.setup.name || !is_held {
            return self.answer(StatusCode::MISDIRECTED_REQUEST, &id, false, Bytes::new());
        }
        if fault == ServerFault::Shed {
            return self.answer(StatusCode::SERVICE_UNAVAILABLE, &id, false, Bytes::new());
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return Reply::Disconnect;
        };
        self.record(ServerEvent::Run(id.clone(), key.filter(|_| self.setup.is_sharded)));
        *self.lock().runs.requests.entry(id.clone()).or_default() += 1;
        self.running.fetch_add(1, Ordering::Relaxed);
        let mut running = Running {
            server: self,
            id: &id,
            start: Instant::now(),
            is_done: false,
        };
        if !self.setup.work.is_zero() {
            sleep(self.setup.work).await;
        }
        running.is_done = true;
        drop(running);
        if fault == ServerFault::LoseAnswers {
            return Reply::Disconnect;
        }
        let status = if fault == ServerFault::Fail {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::OK
        };
        let id = if fault == ServerFault::Crossed { "another" } else { &id };
        let text = json!({ "server": self.setup.name, "path": request.uri().path(), "request": id }).to_string();
        let length = text.len() * 2;
        match (self.answer(status, id, true, text.into()), fault) {
            (Reply::Complete(mut answer), ServerFault::BreakSized) => {
                answer.headers_mut().insert(CONTENT_LENGTH, length.into());
                Reply::Truncated(answer)
            }
            (Reply::Complete(answer), ServerFault::BreakChunked) => Reply::Truncated(answer),
            (answer, _) => answer,
        }
    }

    fn answer(&self, status: StatusCode, id: &str, has_run: bool, body: Bytes) -> Reply {
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        let running = self.running.load(Ordering::Relaxed);
        let load = format!("{running},0,{},100", self.setup.slots);
        let proof = if has_run {
            ("x-ragworthub-response-signature", "standin")
        } else {
            ("x-ragworthub-not-executed", "1")
        };
        for (name, value) in [
            ("x-ragworthub-request-id", id),
            ("x-ragworthub-instance-id", &self.setup.name),
            ("x-ragworthub-server-load", &load),
            proof,
        ] {
            if let Ok(value) = HeaderValue::from_str(value) {
                response.headers_mut().insert(HeaderName::from_static(name), value);
            }
        }
        Reply::Complete(response)
    }
}

struct Order {
    first: u16,
    last: u16,
    fence: u64,
    hold: Duration,
}

impl Order {
    fn read(body: &Bytes) -> Option<Self> {
        let order = serde_json::from_slice::<Value>(body).ok()?;
        let key = |name: &str| u16::try_from(order[name].as_u64()?).ok();
        let hold = order["hold_time"].as_str().unwrap_or("0ms");
        Some(Self {
            first: key("from")?,
            last: key("target")?,
            fence: order["fence"].as_u64()?,
            hold: Duration::from_millis(hold.strip_suffix("ms")?.parse().ok()?),
        })
    }
}

async fn announce(server: Arc<Server>) {
    let mut sequence = 0;
    loop {
        sequence += 1;
        let setup = &server.setup;
        let state = if server.lock().fault == ServerFault::Drain {
            "draining"
        } else {
            "ready"
        };
        let entry = json!({
            "service": setup.service, "address": setup.address, "zone": setup.zone, "version": "v1",
            "slots": setup.slots, "state": state, "cold_left": "0ms", "seq": sequence, "born": server.born,
        });
        // The next announcement makes up for one that fails.
        let _ = append_keyed_record(setup.store, "keyed.servers", &setup.name, entry.to_string().as_bytes()).await;
        sleep(ANNOUNCE_PERIOD).await;
    }
}

/// Appends a record to a keyed topic of the store.
///
/// # Errors
///
/// Fails if the store doesn't take it.
pub async fn append_keyed_record(store: SocketAddr, topic: &str, key: &str, value: &[u8]) -> Result<(), String> {
    let mut body = BytesMut::new();
    body.put_u32(u32::try_from(1 + key.len() + value.len()).map_err(|e| e.to_string())?);
    body.put_u8(u8::try_from(key.len()).map_err(|e| e.to_string())?);
    body.put_slice(key.as_bytes());
    body.put_slice(value);
    let stream = TcpStream::connect(store).await.map_err(|e| e.to_string())?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|e| e.to_string())?;
    tokio::spawn(connection);
    let request = Request::post(format!("/log-append?topic={topic}&part=0"))
        .header("host", "store")
        .body(Full::new(body.freeze()))
        .map_err(|e| e.to_string())?;
    let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
    match answer.status() {
        StatusCode::OK => Ok(()),
        status => Err(format!("status {status}")),
    }
}
