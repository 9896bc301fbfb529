//! Generates load from callers that reuse their connections for as long as they can.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::judge::Outcome;

/// Time limit of a call: the timeout of the routes plus half a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before a caller tries again to connect to a gateway that can't be reached.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the random pause between two requests of a caller.
const PAUSE_MAX_MS: u64 = 40;
/// Probability that a caller opens a new connection although it has an open one.
const RECONNECT_PROBABILITY: f64 = 0.02;

/// Credential of all callers but one, and that of this one, which is removed during the run.
pub(super) const CREDENTIAL: &str = "soak-key";
pub(super) const REMOVED_CREDENTIAL: &str = "soak-removed-key";
/// Start of the ids of the requests with the credential that is removed.
pub(super) const REMOVED_ID: &str = "c0-";

type Client = SendRequest<Empty<Bytes>>;

/// The requests of all callers and the responses to them.
pub(super) type Outcomes = Arc<Mutex<Vec<Outcome>>>;

/// Sends requests to one gateway until the value of `stop_rx` is true.
pub(super) async fn run_caller(
    number: u64,
    gateway: SocketAddr,
    seed: u64,
    stop_rx: watch::Receiver<bool>,
    outcomes: Outcomes,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number << 32));
    let mut client: Option<Client> = None;
    let mut count = 0;
    while !*stop_rx.borrow() {
        let is_open = client.as_ref().is_some_and(|client| !client.is_closed());
        if !is_open || rng.random_bool(RECONNECT_PROBABILITY) {
            client = connect(gateway).await;
        }
        let Some(connected) = client.as_mut() else {
            sleep(RECONNECT_DELAY).await;
            continue;
        };
        count += 1;
        let non_idempotent = rng.random_bool(0.4);
        let id = format!("c{number}-{count}");
        let response = timeout(CALL_TIMEOUT, call(connected, &id, non_idempotent, rng.random())).await;
        let response = response.ok().flatten();
        if response.is_none() {
            client = None;
        }
        let (response, is_signed) =
            response.map_or((None, false), |(status, body, signed)| (Some((status, body)), signed));
        let outcome = Outcome {
            id,
            non_idempotent,
            response,
            is_signed,
        };
        outcomes.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
        sleep(Duration::from_millis(rng.random_range(0..PAUSE_MAX_MS))).await;
    }
}

pub(super) async fn connect(gateway: SocketAddr) -> Option<Client> {
    let stream = TcpStream::connect(gateway).await.ok()?;
    let (client, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // The client reports the end of the connection.
    tokio::spawn(connection);
    Some(client)
}

/// Sends a request of a caller. Returns the status, the body and whether the response is signed, or `None`
/// without a complete response.
pub(super) async fn call(
    client: &mut Client,
    id: &str,
    non_idempotent: bool,
    key: u16,
) -> Option<(u16, Vec<u8>, bool)> {
    let (method, path) = if non_idempotent {
        ("POST", "/renovaciones/1")
    } else {
        ("GET", "/placas/1")
    };
    send(client, id, method, path, key).await
}

/// Returns the credential of a request: one caller has a credential that is removed during the run.
fn credential_of(id: &str) -> &'static str {
    if id.starts_with(REMOVED_ID) {
        REMOVED_CREDENTIAL
    } else {
        CREDENTIAL
    }
}

/// Sends a request; see [`call`].
pub(super) async fn send(
    client: &mut Client,
    id: &str,
    method: &str,
    path: &str,
    key: u16,
) -> Option<(u16, Vec<u8>, bool)> {
    client.ready().await.ok()?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "licencias.example")
        .header("x-ragworthub-request-id", id)
        .header("x-ragworthub-deadline-ms", "2000")
        .header("x-ragworthub-shard-key", key.to_string())
        .header("x-ragworthub-credential", credential_of(id))
        .body(Empty::new())
        .ok()?;
    let response = client.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    let is_signed = response.headers().contains_key("x-ragworthub-response-signature");
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, body.to_vec(), is_signed))
}
