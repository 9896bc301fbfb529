//! Stand-in for the platform: append-only log and host list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpResponseOk, HttpServer, Path, Query, RequestContext,
    ServerBuilder, TypedBody, UntypedBody, endpoint,
};
use http::Response;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::{Discard, Logger, o};
use tokio::sync::watch;
use tokio::time::timeout;

/// Largest record that the log takes, in bytes.
const RECORD_MAX: usize = 1 << 20;
/// Most bytes of records in one answer.
const ANSWER_MAX: usize = 4 << 20;

/// State of the stand-in.
#[derive(Debug)]
pub struct Platform {
    streams: Mutex<BTreeMap<String, Stream>>,
    hosts: Mutex<BTreeMap<String, String>>,
    fault: Mutex<Fault>,
    changed: watch::Sender<u64>,
    /// Records that a stream keeps.
    retention: usize,
}

/// Records of a stream; the first has offset `dropped + 1`.
#[derive(Debug, Default)]
struct Stream {
    dropped: u64,
    records: std::collections::VecDeque<String>,
}

/// A fault that tests switch on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// All calls work.
    #[default]
    None,
    /// All calls fail.
    Down,
    /// Appends take effect and their answers are lost.
    AnswerLost,
    /// All calls take a second longer.
    Slow,
}

/// A record as readers get it.
#[derive(Debug, Serialize, JsonSchema)]
struct RecordView {
    offset: u64,
    data: String,
}

#[derive(Debug, Serialize, JsonSchema)]
struct BatchView {
    oldest: u64,
    next: u64,
    records: Vec<RecordView>,
}

#[derive(Debug, Serialize, JsonSchema)]
struct HostView {
    host: String,
    state: String,
}

#[derive(Deserialize, JsonSchema)]
struct StreamPath {
    stream: String,
}

#[derive(Deserialize, JsonSchema)]
struct HostPath {
    host: String,
}

#[derive(Deserialize, JsonSchema)]
struct ReadQuery {
    from: u64,
    max: Option<usize>,
    wait_ms: Option<u64>,
}

#[derive(Serialize, JsonSchema)]
struct Appended {
    offset: u64,
}

impl Platform {
    fn new(retention: usize) -> Self {
        Self {
            streams: Mutex::default(),
            hosts: Mutex::default(),
            fault: Mutex::default(),
            changed: watch::Sender::new(0),
            retention,
        }
    }

    /// Switches a fault on, or off with [`Fault::None`].
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
        self.changed.send_modify(|n| *n += 1);
    }

    /// Appends a record and returns its offset.
    pub fn append(&self, stream: &str, data: String) -> u64 {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.records.push_back(data);
        if stream.records.len() > self.retention {
            stream.records.pop_front();
            stream.dropped += 1;
        }
        let offset = stream.dropped + stream.records.len() as u64;
        drop(streams);
        self.changed.send_modify(|n| *n += 1);
        offset
    }

    /// Oldest offset that a stream keeps.
    fn oldest(&self, name: &str) -> u64 {
        lock(&self.streams).get(name).map_or(1, |stream| stream.dropped + 1)
    }

    /// Reads at most `max` records; `None` if the offset is no longer kept.
    fn read(&self, name: &str, from: u64, max: usize) -> Option<BatchView> {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(name.to_owned()).or_default();
        let skip = from.max(1).checked_sub(stream.dropped + 1)?;
        let mut bytes = 0;
        let fits = |r: &&String| {
            bytes += r.len();
            bytes <= ANSWER_MAX
        };
        let tail = stream.records.iter().skip(usize::try_from(skip).unwrap_or(usize::MAX));
        let kept = tail.take(max).take_while(fits).cloned();
        let records = (stream.dropped + 1 + skip..)
            .zip(kept)
            .map(|(offset, data)| RecordView { offset, data });
        Some(BatchView {
            oldest: stream.dropped + 1,
            next: stream.dropped + 1 + stream.records.len() as u64,
            records: records.collect(),
        })
    }

    async fn check_fault(&self) -> Result<(), HttpError> {
        let fault = *lock(&self.fault);
        match fault {
            Fault::None | Fault::AnswerLost => Ok(()),
            Fault::Down => Err(HttpError::for_unavail(None, "log is down".to_owned())),
            Fault::Slow => {
                tokio::time::sleep(Duration::from_secs(1)).await;
                Ok(())
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Appends a record.
#[endpoint { method = POST, path = "/v1/streams/{stream}/records", request_body_max_bytes = RECORD_MAX }]
async fn append_record(
    context: RequestContext<Platform>,
    path: Path<StreamPath>,
    body: UntypedBody,
) -> Result<HttpResponseOk<Appended>, HttpError> {
    let platform = context.context();
    platform.check_fault().await?;
    let data = body.as_str()?.to_owned();
    let offset = platform.append(&path.into_inner().stream, data);
    if *lock(&platform.fault) == Fault::AnswerLost {
        return Err(HttpError::for_unavail(None, "answer lost".to_owned()));
    }
    Ok(HttpResponseOk(Appended { offset }))
}

/// Reads records from an offset on.
#[endpoint { method = GET, path = "/v1/streams/{stream}/records" }]
async fn read_records(
    context: RequestContext<Platform>,
    path: Path<StreamPath>,
    query: Query<ReadQuery>,
) -> Result<Response<Body>, HttpError> {
    let platform = context.context();
    let (stream, query) = (path.into_inner().stream, query.into_inner());
    let mut changed = platform.changed.subscribe();
    let max = query.max.unwrap_or(256).min(4096);
    let wait = async {
        loop {
            platform.check_fault().await?;
            match platform.read(&stream, query.from, max) {
                Some(batch) if batch.records.is_empty() => changed.changed().await.ok(),
                other => return Ok::<_, HttpError>(other),
            };
        }
    };
    let limit = Duration::from_millis(query.wait_ms.unwrap_or(0).min(30_000));
    let batch = match timeout(limit, wait).await {
        Ok(found) => found?,
        Err(_) => platform.read(&stream, query.from, max),
    };
    platform.check_fault().await?;
    let (status, body) = match batch {
        Some(batch) => (
            200,
            serde_json::to_string(&batch).map_err(|e| HttpError::for_internal_error(e.to_string()))?,
        ),
        None => (
            410,
            serde_json::json!({ "oldest": platform.oldest(&stream) }).to_string(),
        ),
    };
    let answer = Response::builder()
        .status(status)
        .header("content-type", "application/json");
    answer
        .body(body.into())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

/// Lists hosts that are live or leaving.
#[endpoint { method = GET, path = "/v1/hosts" }]
async fn list_hosts(context: RequestContext<Platform>) -> Result<HttpResponseOk<Vec<HostView>>, HttpError> {
    let platform = context.context();
    platform.check_fault().await?;
    let hosts = lock(&platform.hosts);
    let view = |(host, state): (&String, &String)| HostView {
        host: host.clone(),
        state: state.clone(),
    };
    Ok(HttpResponseOk(hosts.iter().map(view).collect()))
}

/// Sets a host's state in the list.
#[endpoint { method = PUT, path = "/v1/hosts/{host}" }]
async fn set_host(
    context: RequestContext<Platform>,
    path: Path<HostPath>,
    body: TypedBody<String>,
) -> Result<HttpResponseOk<()>, HttpError> {
    lock(&context.context().hosts).insert(path.into_inner().host, body.into_inner());
    Ok(HttpResponseOk(()))
}

/// Switches a fault.
#[endpoint { method = PUT, path = "/fault" }]
async fn set_fault(context: RequestContext<Platform>, body: TypedBody<Fault>) -> Result<HttpResponseOk<()>, HttpError> {
    context.context().set_fault(body.into_inner());
    Ok(HttpResponseOk(()))
}

/// Starts the stand-in; the server runs until it is closed.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start_platform(listen: SocketAddr, retention: usize) -> Result<HttpServer<Platform>, String> {
    let mut api = ApiDescription::new();
    api.register(append_record).map_err(|e| e.to_string())?;
    api.register(read_records).map_err(|e| e.to_string())?;
    api.register(list_hosts).map_err(|e| e.to_string())?;
    api.register(set_host).map_err(|e| e.to_string())?;
    api.register(set_fault).map_err(|e| e.to_string())?;
    let config = ConfigDropshot {
        bind_address: listen,
        ..ConfigDropshot::default()
    };
    let log = Logger::root(Discard, o!());
    ServerBuilder::new(api, Platform::new(retention), log)
        .config(config)
        .start()
        .map_err(|e| e.to_string())
}
