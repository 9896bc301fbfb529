//! Stand-in for an upstream: grants, slots, cold start, faults, and a record of what it ran.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use ragworthub::{CheckError, GrantCheck};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

type Answer = Response<BoxBody<Bytes, Infallible>>;

/// Size of the pieces of a long answer, in bytes.
const PIECE: usize = 64 << 10;

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Name that answers carry.
    pub name: String,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Time that a request takes.
    pub service: Duration,
    /// Requests that wait for a slot before further ones are shed.
    pub queue: usize,
    /// Whether it checks grants for requests that carry a key's hash.
    pub fenced: bool,
}

/// What an upstream did; tests judge promises by it.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Requests run.
    pub ran: u64,
    /// Runs by idempotency key, for requests that carry one.
    pub keys: BTreeMap<String, u64>,
    /// Runs by request id.
    pub requests: BTreeMap<String, u64>,
    /// Most requests that were in progress at once.
    pub peak: u64,
}

/// A run of a request for a key.
#[derive(Debug, Serialize)]
pub struct KeyRun {
    /// Hash of the key, as the request carried it.
    pub hash: String,
    /// Epoch that the request carried.
    pub epoch: u64,
    /// Microseconds since the Unix epoch; processes of one machine share this clock.
    pub start: u64,
    /// The same at the end; missing while the run goes on.
    pub end: Option<u64>,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Upstream {
    behaviour: Behaviour,
    incarnation: u64,
    slots: Semaphore,
    waiting: AtomicU64,
    busy: AtomicU64,
    grants: Mutex<GrantCheck>,
    report: Mutex<Report>,
    runs: Mutex<Vec<KeyRun>>,
}

impl Upstream {
    fn new(behaviour: Behaviour) -> Self {
        let incarnation = read_clock();
        let report = Report {
            incarnation,
            ran: 0,
            keys: BTreeMap::new(),
            requests: BTreeMap::new(),
            peak: 0,
        };
        Self {
            slots: Semaphore::new(behaviour.slots),
            behaviour,
            incarnation,
            waiting: AtomicU64::new(0),
            busy: AtomicU64::new(0),
            grants: Mutex::new(GrantCheck::new(incarnation)),
            report: Mutex::new(report),
            runs: Mutex::default(),
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/.ragworthub/health") => self.text(StatusCode::OK, self.lock_grants().read_clock()),
            (&Method::PUT, "/.ragworthub/grant") => self.take_order(request, GrantCheck::accept_grant).await,
            (&Method::PUT, "/.ragworthub/revoke") => self.take_order(request, GrantCheck::revoke).await,
            (&Method::GET, "/.ragworthub/report") => {
                let report = serde_json::to_string(&*self.lock_report()).unwrap_or_default();
                self.text(StatusCode::OK, report)
            }
            (&Method::GET, "/.ragworthub/runs") => {
                let runs = serde_json::to_string(&*self.lock_runs()).unwrap_or_default();
                self.text(StatusCode::OK, runs)
            }
            _ => self.run(request).await,
        }
    }

    async fn take_order(
        &self,
        request: Request<Incoming>,
        order: impl FnOnce(&mut GrantCheck, &[u8]) -> Result<(), CheckError>,
    ) -> Answer {
        let Ok(body) = request.into_body().collect().await else {
            return self.text(StatusCode::BAD_REQUEST, "body ended early");
        };
        let mut grants = self.lock_grants();
        match order(&mut grants, &body.to_bytes()) {
            Ok(()) => self.text(StatusCode::OK, grants.read_clock()),
            Err(error) => self.text(StatusCode::CONFLICT, error.to_string()),
        }
    }

    /// Checks the grant for a request that carries a key's hash.
    fn check_grant(&self, headers: &HeaderMap) -> Result<(), CheckError> {
        let header = |name| headers.get(name).and_then(|v| v.to_str().ok());
        match (header("ragworthub-key-hash"), header("ragworthub-epoch")) {
            (Some(hash), Some(epoch)) if self.behaviour.fenced => self.lock_grants().check_request(hash, epoch),
            _ => Ok(()),
        }
    }

    async fn run(&self, request: Request<Incoming>) -> Answer {
        if self.waiting.load(Ordering::SeqCst) >= self.behaviour.queue as u64 {
            return self.refuse("shed");
        }
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let permit = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        let Ok(_permit) = permit else {
            return self.refuse("stopping");
        };
        // The grant may have ended while the request waited for its slot.
        if let Err(error) = self.check_grant(request.headers()) {
            let mut answer = self.refuse(error.to_string());
            *answer.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return answer;
        }
        let busy = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
        self.note_run(request.headers(), busy);
        // A cancelled request drops this future, and is no longer in progress.
        let _busy = Busy(&self.busy);
        let run = self.start_key_run(request.headers());
        let answer = self.work(request).await;
        if let Some(index) = run {
            self.lock_runs()[index].end = Some(read_clock());
        }
        answer
    }

    async fn work(&self, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        let parameter = |name: &str| find_parameter(parts.uri.query().unwrap_or_default(), name);
        let received = body.collect().await.map_or(0, |b| b.to_bytes().len());
        if parameter("crash").is_some() {
            std::process::exit(3);
        }
        let extra = Duration::from_millis(parameter("sleep_ms").unwrap_or(0));
        tokio::time::sleep(self.behaviour.service + extra).await;
        if let Some(length) = parameter("bytes") {
            return self.stream_bytes(length);
        }
        let id = parts
            .headers
            .get("ragworthub-request-id")
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default();
        let body = serde_json::json!({
            "upstream": self.behaviour.name, "method": parts.method.as_str(), "path": parts.uri.path(),
            "received": received, "request": id,
        });
        self.text(StatusCode::OK, body.to_string())
    }

    fn note_run(&self, headers: &HeaderMap, busy: u64) {
        let header = |name| headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let mut report = self.lock_report();
        report.ran += 1;
        report.peak = report.peak.max(busy);
        if let Some(key) = header("idempotency-key") {
            *report.keys.entry(key).or_default() += 1;
        }
        if let Some(id) = header("ragworthub-request-id") {
            // Bounds the memory of a long load run; tests of promises send fewer requests.
            if report.requests.len() < 100_000 {
                *report.requests.entry(id).or_default() += 1;
            }
        }
    }

    /// Notes a run for a key and gives its place in the list.
    fn start_key_run(&self, headers: &HeaderMap) -> Option<usize> {
        let header = |name| headers.get(name).and_then(|v| v.to_str().ok());
        let hash = header("ragworthub-key-hash")?.to_owned();
        let epoch = header("ragworthub-epoch")?.parse().ok()?;
        let mut runs = self.lock_runs();
        // Bounds the memory of a long load run; tests of promises send fewer requests.
        if runs.len() >= 100_000 {
            return None;
        }
        let (start, end) = (read_clock(), None);
        runs.push(KeyRun {
            hash,
            epoch,
            start,
            end,
        });
        Some(runs.len() - 1)
    }

    fn lock_runs(&self) -> MutexGuard<'_, Vec<KeyRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_grants(&self) -> MutexGuard<'_, GrantCheck> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_report(&self) -> MutexGuard<'_, Report> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn refuse(&self, text: impl Into<Bytes>) -> Answer {
        let mut answer = self.text(StatusCode::SERVICE_UNAVAILABLE, text);
        answer
            .headers_mut()
            .insert("ragworthub-not-run", "true".parse().expect("a header value"));
        answer
    }

    fn stream_bytes(&self, length: u64) -> Answer {
        let piece = Bytes::from(vec![b'x'; PIECE]);
        let pieces = futures::stream::unfold(length, move |left| {
            let now = left.min(PIECE as u64);
            let data = piece.slice(..usize::try_from(now).unwrap_or(PIECE));
            std::future::ready((left > 0).then(|| (Ok(Frame::data(data)), left - now)))
        });
        let mut answer = self.text(StatusCode::OK, "");
        answer.headers_mut().insert("content-length", length.into());
        *answer.body_mut() = BodyExt::boxed(StreamBody::new(pieces));
        answer
    }

    fn text(&self, status: StatusCode, text: impl Into<Bytes>) -> Answer {
        let mut answer = Response::new(Full::new(text.into()).boxed());
        *answer.status_mut() = status;
        answer
            .headers_mut()
            .insert("ragworthub-incarnation", self.incarnation.into());
        answer
    }
}

/// Counts a request in progress until dropped.
struct Busy<'a>(&'a AtomicU64);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Microseconds since the Unix epoch.
fn read_clock() -> u64 {
    let since = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(0)
}

fn find_parameter(query: &str, name: &str) -> Option<u64> {
    let value = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(n, _)| *n == name)?
        .1;
    value.parse().ok()
}

/// Starts the stand-in and returns its address; it runs as long as the runtime.
///
/// It also listens at the same port of the loopback addresses from 127.1.0.0 on, as many as `more`
/// says, where it passes for further upstreams.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub async fn start_upstream(listen: SocketAddr, more: u16, behaviour: Behaviour) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let upstream = Arc::new(Upstream::new(behaviour));
    tokio::spawn(accept_connections(listener, Arc::clone(&upstream)));
    for i in 0..more {
        let [high, low] = i.to_be_bytes();
        let listener = TcpListener::bind((Ipv4Addr::new(127, 1, high, low), address.port())).await?;
        tokio::spawn(accept_connections(listener, Arc::clone(&upstream)));
    }
    Ok(address)
}

async fn accept_connections(listener: TcpListener, upstream: Arc<Upstream>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        stream.set_nodelay(true).ok();
        let upstream = Arc::clone(&upstream);
        let service = service_fn(move |request| {
            let upstream = Arc::clone(&upstream);
            async move { Ok::<_, Infallible>(upstream.serve(request).await) }
        });
        tokio::spawn(
            http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service),
        );
    }
}
