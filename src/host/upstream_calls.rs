//! Probes, grants and revocations, which go to upstreams outside of requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use tokio::time::timeout;

use crate::ownership::{Grant, Revoke, UpstreamClock};

/// A probe of a remote upstream takes about 6 ms; the detection time is 600 ms.
const CALL_LIMIT: Duration = Duration::from_millis(250);
/// Largest answer, in bytes; a clock reading has fewer than 100.
const ANSWER_MAX: usize = 4096;

/// How a call to an upstream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// The upstream answered with a reading of its clock.
    Answered(UpstreamClock),
    /// Nothing listens at its address.
    Refused,
    /// No usable answer came.
    Failed,
}

/// Client for calls that carry no request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamCalls {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl UpstreamCalls {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CALL_LIMIT));
        connector.set_nodelay(true);
        // A new connection for each call shows whether the upstream accepts them; a kept one can
        // have gone silent.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Self { client }
    }

    /// Asks for the upstream's clock.
    pub(crate) async fn probe(&self, address: SocketAddr) -> CallEnd {
        self.call(Method::GET, address, "health", &()).await
    }

    /// Tells whether the upstream answers at all on a new connection.
    pub(crate) async fn is_answering(&self, address: SocketAddr) -> bool {
        let uri = format!("http://{address}/.ragworthub/health");
        let Ok(request) = Request::get(uri).body(Full::new(Bytes::new())) else {
            return false;
        };
        matches!(timeout(CALL_LIMIT, self.client.request(request)).await, Ok(Ok(_)))
    }

    /// Sends a grant.
    pub(crate) async fn grant(&self, address: SocketAddr, grant: &Grant) -> CallEnd {
        self.call(Method::PUT, address, "grant", grant).await
    }

    /// Sends a revocation.
    pub(crate) async fn revoke(&self, address: SocketAddr, revoke: &Revoke) -> CallEnd {
        self.call(Method::PUT, address, "revoke", revoke).await
    }

    async fn call(&self, method: Method, address: SocketAddr, name: &str, body: &impl Serialize) -> CallEnd {
        let Ok(body) = serde_json::to_vec(body) else {
            return CallEnd::Failed;
        };
        let body = if method == Method::GET {
            Bytes::new()
        } else {
            body.into()
        };
        let uri = format!("http://{address}/.ragworthub/{name}");
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json");
        let Ok(request) = request.body(Full::new(body)) else {
            return CallEnd::Failed;
        };
        timeout(CALL_LIMIT, self.exchange(request))
            .await
            .unwrap_or(CallEnd::Failed)
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> CallEnd {
        let answer = match self.client.request(request).await {
            Ok(answer) if answer.status().is_success() => answer,
            Err(error) if is_refused(&error) => return CallEnd::Refused,
            Ok(_) | Err(_) => return CallEnd::Failed,
        };
        let body = Limited::new(answer.into_body(), ANSWER_MAX).collect().await;
        let clock = body.ok().and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
        clock.map_or(CallEnd::Failed, CallEnd::Answered)
    }
}

fn is_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let kind = error.downcast_ref::<std::io::Error>().map(std::io::Error::kind);
        if kind == Some(std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}
