//! Calls of the command line to a host.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

/// A host answers a change within 10 s; the rest is for the way.
const CALL_LIMIT: Duration = Duration::from_secs(15);
/// Largest answer; a listing of 440,000 ranges needs about 64 MiB.
const ANSWER_MAX: usize = 128 << 20;

/// Why a call to a host failed.
#[derive(Debug, Display, Error)]
pub(crate) enum CallError {
    /// host {0} can't be reached: {1}
    Unreachable(SocketAddr, String),
    /// host {0} did not answer: {1}
    Lost(SocketAddr, String),
    /// host {0} refused the call with status {1}: {2}
    Refused(SocketAddr, StatusCode, String),
    /// host {0} gave an answer that can't be read: {1}
    Answer(SocketAddr, String),
}

/// A host's interface for operators.
#[derive(Debug)]
pub(crate) struct HostClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    credential: String,
}

impl HostClient {
    /// Address of the host.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn new(address: SocketAddr, credential: String) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
            credential,
        }
    }

    /// Reads a document.
    ///
    /// # Errors
    ///
    /// Fails if the host can't be reached, refuses, or answers in another form.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a document and reads the answer.
    ///
    /// # Errors
    ///
    /// Fails like [`HostClient::get`]; the host may have acted on the document all the same.
    pub(crate) async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, CallError> {
        let body = serde_json::to_vec(body).map_err(|e| CallError::Answer(self.address, e.to_string()))?;
        self.call(Method::POST, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(&self, method: Method, path: &str, body: Bytes) -> Result<T, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.credential))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| CallError::Unreachable(self.address, e.to_string()))?;
        let exchange = async {
            let answer = self.client.request(request).await.map_err(|e| self.explain(&e))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), ANSWER_MAX).collect().await;
            let body = body.map_err(|e| CallError::Lost(self.address, e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let late = |_| Err(CallError::Lost(self.address, "timeout".to_owned()));
        let (status, body) = timeout(CALL_LIMIT, exchange).await.unwrap_or_else(late)?;
        if !status.is_success() {
            return Err(CallError::Refused(self.address, status, find_message(&body)));
        }
        serde_json::from_slice(&body).map_err(|e| CallError::Answer(self.address, e.to_string()))
    }

    fn explain(&self, error: &hyper_util::client::legacy::Error) -> CallError {
        if error.is_connect() {
            // Nothing was sent, so the call had no effect.
            CallError::Unreachable(self.address, error.to_string())
        } else {
            CallError::Lost(self.address, error.to_string())
        }
    }
}

/// Takes the message out of an error of the operator API.
fn find_message(body: &[u8]) -> String {
    let error: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let message = error.as_ref().and_then(|error| error["message"].as_str());
    message.map_or_else(|| String::from_utf8_lossy(body).into_owned(), str::to_owned)
}
