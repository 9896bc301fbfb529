//! Client of the platform's append-only log.
//!
//! The log is reached through the small HTTP interface that `docs/design.md` section 5 describes,
//! behind the trait [`Log`].

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use thiserror::Error;
use tokio::time::timeout;

use crate::types::{HostName, Offset, value};

/// Stream of the records that the hosts fold.
pub(crate) const STATE_STREAM: &str = "ragworthub";
/// Stream of request counts.
pub(crate) const COUNTS_STREAM: &str = "ragworthub-counts";

/// Most records in one read, which bounds the memory of a reader that catches up.
const BATCH_MAX: usize = 256;
/// Largest answer that a read accepts; 256 records of 64 KiB, twice the usual need.
const ANSWER_MAX: usize = 32 << 20;
/// Time that an answer may take beyond the wait that was asked for.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The log as the rest of the process sees it.
pub(crate) trait Log: Clone + Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails with [`AppendError::Unknown`] if the record may have been appended.
    fn append(&self, stream: &str, text: String) -> impl Future<Output = Result<Offset, AppendError>> + Send;

    /// Reads records from an offset on; waits for the first one at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the log doesn't answer or no longer keeps the offset.
    fn read(&self, stream: &str, from: Offset, wait: Duration)
    -> impl Future<Output = Result<Batch, ReadError>> + Send;
}

/// Records of one read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct Batch {
    /// Oldest offset that the log keeps.
    pub(crate) oldest: Offset,
    /// Offset that the next append will get.
    pub(crate) next: Offset,
    pub(crate) records: Vec<RawRecord>,
}

value! {
    /// A record as the log keeps it.
    #[derive(Eq)]
    pub(crate) struct RawRecord {
        pub(crate) offset: Offset,
        pub(crate) data: String,
    }
}

/// Why an append failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// the log refused the record: {0}
    Refused(String),
    /// the log did not answer, the record may have been appended: {0}
    Unknown(String),
}

/// Why a read failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// the log no longer keeps the offset, its oldest record is {0}
    Expired(Offset),
    /// the log did not answer: {0}
    Unavailable(String),
}

value! {
    /// A host in the platform's list.
    #[derive(Eq)]
    pub(crate) struct ListedHost {
        pub(crate) host: HostName,
        pub(crate) state: HostState,
    }

    /// What the platform says of a host; it lags.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub(crate) enum HostState {
        Live,
        Leaving,
    }
}

/// Reads the platform's list of hosts.
///
/// # Errors
///
/// Fails if the list can't be read.
pub(crate) async fn read_hosts(address: SocketAddr) -> Result<Vec<ListedHost>, ReadError> {
    let request = build_request(Method::GET, &format!("http://{address}/v1/hosts"), Bytes::new());
    let answer = HttpLog::new(address).call(request, CALL_LIMIT).await;
    let (_, body) = answer.map_err(ReadError::Unavailable)?;
    serde_json::from_slice(&body).map_err(|e| ReadError::Unavailable(e.to_string()))
}

/// The log over HTTP.
#[derive(Clone, Debug)]
pub(crate) struct HttpLog {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct Gone {
    oldest: Offset,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

impl HttpLog {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .build(connector);
        Self { client, address }
    }

    async fn call(&self, request: Request<Full<Bytes>>, limit: Duration) -> Result<(StatusCode, Bytes), String> {
        let exchange = async {
            let answer = self.client.request(request).await.map_err(|e| e.to_string())?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), ANSWER_MAX)
                .collect()
                .await
                .map_err(|e| e.to_string())?;
            Ok((status, body.to_bytes()))
        };
        timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| Err("timeout".to_owned()))
    }
}

fn build_request(method: Method, uri: &str, body: Bytes) -> Request<Full<Bytes>> {
    let builder = Request::builder().method(method).uri(uri);
    builder
        .body(Full::new(body))
        .expect("address and stream name form a valid URI")
}

impl Log for HttpLog {
    async fn append(&self, stream: &str, text: String) -> Result<Offset, AppendError> {
        let uri = format!("http://{}/v1/streams/{stream}/records", self.address);
        let request = build_request(Method::POST, &uri, text.into());
        let (status, body) = self.call(request, CALL_LIMIT).await.map_err(AppendError::Unknown)?;
        if status.is_client_error() {
            return Err(AppendError::Refused(String::from_utf8_lossy(&body).into_owned()));
        }
        let answer = serde_json::from_slice::<Appended>(&body);
        answer
            .map(|a| a.offset)
            .map_err(|e| AppendError::Unknown(format!("status {status}: {e}")))
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let uri = format!(
            "http://{}/v1/streams/{stream}/records?from={from}&max={BATCH_MAX}&wait_ms={}",
            self.address,
            wait.as_millis()
        );
        let request = build_request(Method::GET, &uri, Bytes::new());
        let (status, body) = self
            .call(request, wait + CALL_LIMIT)
            .await
            .map_err(ReadError::Unavailable)?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map_err(|e| ReadError::Unavailable(e.to_string())),
            StatusCode::GONE => {
                let gone = serde_json::from_slice::<Gone>(&body);
                Err(gone.map_or_else(
                    |e| ReadError::Unavailable(e.to_string()),
                    |g| ReadError::Expired(g.oldest),
                ))
            }
            other => Err(ReadError::Unavailable(format!("status {other}"))),
        }
    }
}
