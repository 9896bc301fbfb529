//! Stand-in for an upstream server: it announces itself in the store, accepts leases of keys and runs
//! requests.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::future::pending;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::{BufMut, Bytes, BytesMut};
use clap::ValueEnum;
use http::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;

use crate::http::{BufferedRequest, Reply, reply, serve};

const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// Configuration of a stand-in server.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Name, unique across all services.
    pub name: String,
    /// Service to which the server belongs.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the store in which the server announces itself.
    pub store: SocketAddr,
    /// Address that the server announces, which may be that of a proxy.
    pub address: SocketAddr,
    /// Path of the event log; without one, events aren't logged.
    pub event_log: Option<PathBuf>,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Time for which each request runs.
    pub work_time: Duration,
    /// Whether the server runs only requests for keys on which it has a lease.
    pub is_sharded: bool,
    /// How the server ends when it runs a request for a path that contains [`CRASH_PATH`].
    pub crash: CrashMode,
}

/// Part of the path of requests that get a response of [`LARGE_BYTES`].
pub const LARGE_PATH: &str = "large";
/// Size of the body of a large response.
pub const LARGE_BYTES: usize = 8 << 20;
/// Part of the path of requests that crash the server.
pub const CRASH_PATH: &str = "crash";
/// Delay between the last byte of a response and the end of the process, so that the bytes are sent first.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// How a server ends when it runs a request that crashes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum CrashMode {
    /// The process exits, so its connections close.
    #[default]
    Exit,
    /// Nothing is answered any more, on open and on new connections.
    Hang,
    /// As `Hang`, and new connections are refused.
    HangRefusing,
    /// The process exits after the head and a part of the body of the response.
    AfterHead,
    /// The process exits after the complete response.
    AfterResponse,
}

/// Fault that the stand-in simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerFault {
    /// No fault.
    #[default]
    None,
    /// Requests run, but their connection ends without a response.
    #[serde(rename = "lose-answers")]
    DropResponses,
    /// Requests run and fail with 500.
    Fail,
    /// Requests are refused with 503 and don't run.
    Shed,
    /// Responses have the id of another request.
    #[serde(rename = "crossed")]
    WrongId,
    /// The connection ends within the body of a response with a content length.
    #[serde(rename = "break-sized")]
    TruncateSized,
    /// The connection ends within the body of a chunked response.
    #[serde(rename = "break-chunked")]
    TruncateChunked,
    /// The server announces that it is draining.
    Drain,
    /// The server names a limit of [`NAMED_LIMIT`] in its responses.
    Limit,
    /// The server states in its responses that it is leaving, and announces nothing.
    Leave,
    /// Requests are refused with 503 and `Retry-After` of [`PAUSE_SECONDS`].
    Pause,
}

/// Time for which a server that refuses requests wants none, in seconds.
pub const PAUSE_SECONDS: u32 = 2;

/// Requests per second that a server names as its limit.
pub const NAMED_LIMIT: u32 = 4;

/// What the stand-in has run; tests compare it with what callers received.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunReport {
    /// Number of runs by request id.
    pub requests: BTreeMap<String, u64>,
    /// First key, last key and fence of each accepted grant.
    pub grants: Vec<(u16, u16, u64)>,
    /// Requests whose connection ended while they ran, with the time for which they ran, in
    /// milliseconds.
    #[serde(rename = "cut")]
    pub aborted: BTreeMap<String, u64>,
}

/// Counts a request as no longer running when dropped, and reports its run as aborted if the run is
/// not complete.
struct RunGuard<'a> {
    server: &'a Server,
    id: &'a str,
    start: Instant,
    is_complete: bool,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.server.running.fetch_sub(1, Ordering::Relaxed);
        if !self.is_complete {
            let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.server.lock().runs.aborted.insert(self.id.to_owned(), ms);
        }
    }
}

/// An event that a server logs before the event takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerEvent {
    /// The server accepted a grant: first key, last key, fence, and expiry of the lease in Unix
    /// milliseconds.
    Grant(u16, u16, u64, u64),
    /// The server released keys: first key, last key and fence.
    Release(u16, u16, u64),
    /// The server started to run the request with this id, for this key if the server is sharded.
    Run(String, Option<u16>),
    /// The server refused the request with this id and wants no further ones for a time.
    Refuse(String),
    /// The process of the server was killed; logged by whoever killed it.
    End,
    /// The process of the server is resumed after a suspension; logged by whoever resumes it.
    Resume,
}

/// A line of an event log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// Time in Unix milliseconds.
    pub at: u64,
    /// Name of the server.
    pub server: String,
    /// What the server did.
    #[serde(rename = "deed")]
    pub event: ServerEvent,
}

/// Returns the current time in Unix milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or_default()
}

/// Appends a record to an event log in one write, so that records of several processes don't mix.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn append_event(path: &Path, server: &str, event: ServerEvent) -> std::io::Result<()> {
    let record = EventRecord {
        at: unix_ms(),
        server: server.to_owned(),
        event,
    };
    let mut text = serde_json::to_vec(&record)?;
    text.push(b'\n');
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)?
        .write_all(&text)
}

/// A lease on a range of keys. A released range is kept as an expired lease with the fence of the release.
#[derive(Debug)]
struct Lease {
    first: u16,
    last: u16,
    fence: u64,
    expiry: Instant,
}

#[derive(Debug, Default)]
struct State {
    leases: Vec<Lease>,
    /// Highest fence of all accepted grants.
    max_fence: u64,
    fault: ServerFault,
    runs: RunReport,
}

/// A server whose requests take a fixed time.
#[derive(Debug)]
pub struct Server {
    config: ServerConfig,
    /// Start of the server in Unix milliseconds.
    incarnation: u64,
    slots: Semaphore,
    running: AtomicU64,
    state: Mutex<State>,
    /// Set once the server hangs.
    is_hung: watch::Sender<bool>,
}

impl Server {
    /// Creates a server that simulates no fault.
    #[must_use]
    pub fn new(config: ServerConfig) -> Self {
        Self {
            incarnation: unix_ms(),
            slots: Semaphore::new(config.slots),
            running: AtomicU64::new(0),
            state: Mutex::default(),
            is_hung: watch::Sender::new(false),
            config,
        }
    }

    /// Announces the server and serves requests until accepting connections fails.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        tokio::spawn(announce(Arc::clone(&self)));
        let server = Arc::clone(&self);
        let handle = move |request| {
            let server = Arc::clone(&server);
            async move { server.handle(request).await }
        };
        let mut is_hung = self.is_hung.subscribe();
        let refuses_when_hung = self.config.crash == CrashMode::HangRefusing;
        let closing = async {
            let hung = is_hung.wait_for(|&is_hung| is_hung && refuses_when_hung).await;
            drop(hung);
        };
        tokio::select! {
            () = serve(listener, handle) => {}
            // Only the listener closes; open connections are served by tasks of their own.
            () = closing => pending().await,
        }
    }

    /// Ends the server, or returns the reply after which it ends.
    async fn crash(&self, response: Reply) -> Reply {
        match self.config.crash {
            CrashMode::Exit => std::process::exit(1),
            CrashMode::Hang | CrashMode::HangRefusing => {
                self.is_hung.send_replace(true);
                pending().await
            }
            CrashMode::AfterHead | CrashMode::AfterResponse => {
                tokio::spawn(async {
                    sleep(CRASH_DELAY).await;
                    std::process::exit(1);
                });
                match response {
                    Reply::Complete(mut response) if self.config.crash == CrashMode::AfterHead => {
                        response.headers_mut().insert(CONTENT_LENGTH, (1 << 20).into());
                        Reply::Truncated(response)
                    }
                    reply => reply,
                }
            }
        }
    }

    /// Appends an event to the event log, if there is one.
    ///
    /// # Panics
    ///
    /// Panics if the log can't be written, because a test can't check the server without the event.
    fn log_event(&self, event: ServerEvent) {
        if let Some(path) = &self.config.event_log {
            append_event(path, &self.config.name, event).expect("the event log must be writable");
        }
    }

    /// Logs a request that arrives while the server hangs.
    fn log_arrival(&self, request: &BufferedRequest) {
        if let Some(id) = request.headers().get("x-ragworthub-request-id") {
            self.log_event(ServerEvent::Run(id.to_str().unwrap_or_default().to_owned(), None));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: BufferedRequest) -> Reply {
        let path = request.uri().path();
        if *self.is_hung.borrow() && !path.starts_with("/standin/") {
            self.log_arrival(&request);
            return pending().await;
        }
        match path {
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
            _ => self.run_request(&request).await,
        }
    }

    /// Accepts a lease unless the server knows a newer fence for one of the keys.
    fn grant(&self, body: &Bytes) -> Reply {
        let Some(command) = LeaseCommand::parse(body) else {
            return reply(StatusCode::BAD_REQUEST, "");
        };
        let mut state = self.lock();
        let overlaps = |lease: &Lease| lease.first <= command.last && command.first <= lease.last;
        let is_fenced = state.leases.iter().any(|l| overlaps(l) && l.fence > command.fence);
        if is_fenced {
            return reply(StatusCode::CONFLICT, "");
        }
        let expiry = unix_ms() + u64::try_from(command.duration.as_millis()).unwrap_or_default();
        self.log_event(ServerEvent::Grant(command.first, command.last, command.fence, expiry));
        state
            .leases
            .retain(|l| !(l.first == command.first && l.last == command.last));
        state.leases.push(Lease {
            first: command.first,
            last: command.last,
            fence: command.fence,
            expiry: Instant::now() + command.duration,
        });
        state.max_fence = state.max_fence.max(command.fence);
        state.runs.grants.push((command.first, command.last, command.fence));
        reply(StatusCode::OK, "")
    }

    /// Ends the leases on a range of keys, except those with a newer fence.
    fn release(&self, body: &Bytes) -> Reply {
        let Some(command) = LeaseCommand::parse(body) else {
            return reply(StatusCode::BAD_REQUEST, "");
        };
        let now = Instant::now();
        let mut state = self.lock();
        let mut kept = Vec::new();
        for lease in std::mem::take(&mut state.leases) {
            if lease.last < command.first || command.last < lease.first || lease.fence > command.fence {
                kept.push(lease);
                continue;
            }
            let subrange = |first, last| Lease {
                first,
                last,
                fence: lease.fence,
                expiry: lease.expiry,
            };
            if lease.first < command.first {
                kept.push(subrange(lease.first, command.first - 1));
            }
            if lease.last > command.last {
                kept.push(subrange(command.last + 1, lease.last));
            }
        }
        // Keeps the fence of the release, so that delayed grants with a lower fence are refused.
        kept.push(Lease {
            first: command.first,
            last: command.last,
            fence: command.fence,
            expiry: now,
        });
        state.leases = kept;
        self.log_event(ServerEvent::Release(command.first, command.last, command.fence));
        reply(StatusCode::OK, "")
    }

    fn has_lease(&self, key: u16) -> bool {
        let now = Instant::now();
        self.lock()
            .leases
            .iter()
            .any(|l| (l.first..=l.last).contains(&key) && l.expiry > now)
    }

    async fn run_request(&self, request: &BufferedRequest) -> Reply {
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
        let may_run = !self.config.is_sharded || key.is_some_and(|key| self.has_lease(key));
        if expected != self.config.name || !may_run {
            return self.build_reply(StatusCode::MISDIRECTED_REQUEST, &id, false, Bytes::new());
        }
        if fault == ServerFault::Pause {
            self.log_event(ServerEvent::Refuse(id.clone()));
        }
        if matches!(fault, ServerFault::Shed | ServerFault::Pause) {
            return self.build_reply(StatusCode::SERVICE_UNAVAILABLE, &id, false, Bytes::new());
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return Reply::Disconnect;
        };
        self.log_event(ServerEvent::Run(id.clone(), key.filter(|_| self.config.is_sharded)));
        *self.lock().runs.requests.entry(id.clone()).or_default() += 1;
        self.running.fetch_add(1, Ordering::Relaxed);
        let mut guard = RunGuard {
            server: self,
            id: &id,
            start: Instant::now(),
            is_complete: false,
        };
        let deadline = header("x-ragworthub-deadline-ms").parse().map(Duration::from_millis);
        let work_time = deadline.map_or(self.config.work_time, |deadline| deadline.min(self.config.work_time));
        if !work_time.is_zero() {
            sleep(work_time).await;
        }
        guard.is_complete = true;
        drop(guard);
        if work_time < self.config.work_time {
            return self.build_reply(StatusCode::GATEWAY_TIMEOUT, &id, true, Bytes::new());
        }
        if request.uri().path().contains(CRASH_PATH) {
            let reply = self.build_reply(StatusCode::OK, &id, true, Bytes::from_static(b"{}"));
            return self.crash(reply).await;
        }
        if fault == ServerFault::DropResponses {
            return Reply::Disconnect;
        }
        let status = if fault == ServerFault::Fail {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::OK
        };
        let id = if fault == ServerFault::WrongId { "another" } else { &id };
        if request.uri().path().contains(LARGE_PATH) && request.method() == Method::GET {
            return self.build_reply(status, id, true, vec![b'l'; LARGE_BYTES].into());
        }
        let text = json!({
            "server": self.config.name,
            "path": request.uri().path(),
            "tenant": header("x-ragworthub-tenant"),
            "credential": header("x-ragworthub-credential"),
            "request": id,
        })
        .to_string();
        let length = text.len() * 2;
        match (self.build_reply(status, id, true, text.into()), fault) {
            (Reply::Complete(mut response), ServerFault::TruncateSized) => {
                response.headers_mut().insert(CONTENT_LENGTH, length.into());
                Reply::Truncated(response)
            }
            (Reply::Complete(response), ServerFault::TruncateChunked) => Reply::Truncated(response),
            (reply, _) => reply,
        }
    }

    /// Builds a response with the headers that a gateway expects of an upstream server.
    fn build_reply(&self, status: StatusCode, id: &str, has_run: bool, body: Bytes) -> Reply {
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        let running = self.running.load(Ordering::Relaxed);
        // Running requests, waiting requests, slots, and slowness in percent.
        let load = format!("{running},0,{},100", self.config.slots);
        let execution_header = if has_run {
            ("x-ragworthub-response-signature", "standin")
        } else {
            ("x-ragworthub-not-executed", "1")
        };
        for (name, value) in [
            ("x-ragworthub-request-id", id),
            ("x-ragworthub-instance-id", &self.config.name),
            ("x-ragworthub-server-load", &load),
            execution_header,
        ] {
            if let Ok(value) = HeaderValue::from_str(value) {
                response.headers_mut().insert(HeaderName::from_static(name), value);
            }
        }
        let directive = match self.lock().fault {
            ServerFault::Limit => Some(("server-limit", NAMED_LIMIT.into())),
            ServerFault::Leave => Some(("server-leaving", HeaderValue::from_static("1"))),
            ServerFault::Pause => Some(("retry-after", PAUSE_SECONDS.into())),
            _ => None,
        };
        response
            .headers_mut()
            .extend(directive.map(|(name, value)| (HeaderName::from_static(name), value)));
        Reply::Complete(response)
    }
}

/// Body of a grant or release.
struct LeaseCommand {
    first: u16,
    last: u16,
    fence: u64,
    duration: Duration,
}

impl LeaseCommand {
    fn parse(body: &Bytes) -> Option<Self> {
        let command = serde_json::from_slice::<Value>(body).ok()?;
        let key = |name: &str| u16::try_from(command[name].as_u64()?).ok();
        let duration = command["hold_time"].as_str().unwrap_or("0ms");
        Some(Self {
            first: key("from")?,
            last: key("target")?,
            fence: command["fence"].as_u64()?,
            duration: Duration::from_millis(duration.strip_suffix("ms")?.parse().ok()?),
        })
    }
}

async fn announce(server: Arc<Server>) {
    let mut sequence = 0;
    while !*server.is_hung.borrow() {
        sequence += 1;
        let config = &server.config;
        let state = if server.lock().fault == ServerFault::Drain {
            "draining"
        } else {
            "ready"
        };
        let entry = json!({
            "service": config.service, "address": config.address, "zone": config.zone, "version": "v1",
            "slots": config.slots, "state": state, "cold_left": "0ms", "seq": sequence, "born": server.incarnation,
        });
        // A failed announcement is ignored: the next one replaces it.
        let _ = append_keyed_record(
            config.store,
            "keyed.servers",
            &config.name,
            entry.to_string().as_bytes(),
        )
        .await;
        sleep(ANNOUNCE_PERIOD).await;
    }
}

/// Appends one record to a keyed topic of the store.
///
/// # Errors
///
/// Returns an error if the key is longer than 255 bytes, or if the store can't be reached or rejects
/// the record.
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
    let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
    match response.status() {
        StatusCode::OK => Ok(()),
        status => Err(format!("store responded with status {status}")),
    }
}
