//! Callers that keep their connections for as long as they can.

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

/// Time for which a caller waits; the routes' timeout and half a second.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Pause of a caller that finds no gateway at its address.
const NO_GATEWAY_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two requests of a caller, in milliseconds.
const PAUSE_MAX: u64 = 40;
/// Chance that a caller opens a new connection though it has one.
const NEW_CONNECTION: f64 = 0.02;

type Client = SendRequest<Empty<Bytes>>;

/// What all callers got.
pub(super) type Outcomes = Arc<Mutex<Vec<Outcome>>>;

/// Sends requests to one gateway until the load ends.
pub(super) async fn call_on(
    number: u64,
    gateway: SocketAddr,
    seed: u64,
    ends: watch::Receiver<bool>,
    outcomes: Outcomes,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (number << 32));
    let mut client: Option<Client> = None;
    let mut count = 0;
    while !*ends.borrow() {
        let is_open = client.as_ref().is_some_and(|client| !client.is_closed());
        if !is_open || rng.random_bool(NEW_CONNECTION) {
            client = connect(gateway).await;
        }
        let Some(open) = client.as_mut() else {
            sleep(NO_GATEWAY_PAUSE).await;
            continue;
        };
        count += 1;
        let is_once = rng.random_bool(0.4);
        let id = format!("c{number}-{count}");
        let answer = timeout(PATIENCE, call(open, &id, is_once, rng.random())).await;
        let answer = answer.ok().flatten();
        if answer.is_none() {
            client = None;
        }
        let (answer, is_signed) = answer.map_or((None, false), |(status, body, signed)| (Some((status, body)), signed));
        let outcome = Outcome {
            id,
            is_once,
            answer,
            is_signed,
        };
        outcomes.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
        sleep(Duration::from_millis(rng.random_range(0..PAUSE_MAX))).await;
    }
}

pub(super) async fn connect(gateway: SocketAddr) -> Option<Client> {
    let stream = TcpStream::connect(gateway).await.ok()?;
    let (client, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // Its end shows at the client.
    tokio::spawn(connection);
    Some(client)
}

/// Makes a call; gives status, body and whether it is signed, or nothing if there is no whole answer.
pub(super) async fn call(client: &mut Client, id: &str, is_once: bool, key: u16) -> Option<(u16, Vec<u8>, bool)> {
    client.ready().await.ok()?;
    let (method, path) = if is_once {
        ("POST", "/renovaciones/1")
    } else {
        ("GET", "/placas/1")
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "licencias.example")
        .header("x-ragworthub-request-id", id)
        .header("x-ragworthub-deadline-ms", "2000")
        .header("x-ragworthub-shard-key", key.to_string())
        .body(Empty::new())
        .ok()?;
    let answer = client.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let is_signed = answer.headers().contains_key("x-ragworthub-response-signature");
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    Some((status, body.to_vec(), is_signed))
}
