mod crashes;
mod endless;
mod feed;
mod grants;
mod peers;
mod stop;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::LocalSet;
use tokio::time::Instant;

use super::answer::AttemptGuard;
use super::connect::{CALL_BODY_MAX_BYTES, CallError, Endpoint};
use super::directives::apply_directives;
use super::state::Gateway;
use super::watch::{apply_catalog, apply_record};
use crate::catalog::{Announcement, Phase, Pool};
use crate::platform::Record;
use crate::relay::Topic;
use crate::settings::parse_settings;
use crate::types::{Offset, UpstreamName};

const SETTINGS: &str = "host: a\nzone: z\nlisten: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', \
                        peers: '127.0.0.1:3', metrics: '127.0.0.1:4' }\nstore: 127.0.0.1:5\n";
const CONFIGURATION: &str = include_str!("../../../examples/platform/configuration.json");

pub(super) fn gateway() -> Rc<Gateway> {
    let settings = parse_settings(SETTINGS).expect("valid settings");
    Rc::new(Gateway::new(settings, Logger::root(Discard, o!())))
}

/// Returns the announcement of an upstream that stays cold for a time.
pub(super) fn announcement(cold_left: Duration) -> Announcement {
    Announcement {
        upstream: "u".parse().expect("valid name"),
        pool: "p".parse().expect("valid name"),
        address: "127.0.0.1:6".parse().expect("valid address"),
        zone: "z".parse().expect("valid name"),
        slots: 4,
        phase: Phase::Ready,
        cold_left,
        incarnation: 1,
        sequence: 1,
    }
}

/// Announces an upstream that stays cold for a time, and returns its name.
fn announce(gateway: &Gateway, now: Instant, cold_left: Duration) -> UpstreamName {
    let announcement = announcement(cold_left);
    let name = announcement.upstream.clone();
    gateway.fleet.borrow_mut().announce(now, announcement);
    name
}

/// Guards against replacing the configuration in force by an older one that is read later, or by one that can't
/// be decoded.
#[tokio::test]
async fn older_or_invalid_configuration_does_not_replace_newer() {
    let gateway = gateway();
    let with_version = |version: &str| CONFIGURATION.replace("00000001", version);
    let in_force = || gateway.catalog.borrow().as_ref().map(|c| (c.version.0, c.offset.0));
    apply_catalog(&gateway, Offset(4), with_version("0000000a").as_bytes());
    assert_eq!(in_force(), Some((10, 4)));
    apply_catalog(&gateway, Offset(5), with_version("00000009").as_bytes());
    apply_catalog(&gateway, Offset(6), b"{\"version\":");
    apply_catalog(&gateway, Offset(4), with_version("0000000a").as_bytes());
    assert_eq!(in_force(), Some((10, 4)));
    apply_catalog(&gateway, Offset(7), with_version("0000000c").as_bytes());
    assert_eq!(in_force(), Some((12, 7)));
}

/// Guards against a target of a split route that gets far more requests than its weight allows.
#[tokio::test]
async fn traffic_split_follows_weights() {
    let gateway = gateway();
    let split = r#""traffic_split":[{"service":"placas","weight":90},{"service":"renovaciones","weight":10}]"#;
    let text = CONFIGURATION.replacen(r#""service": "placas""#, split, 1);
    apply_catalog(&gateway, Offset(1), text.as_bytes());
    let catalog = gateway.catalog.borrow().clone().expect("installed configuration");
    let route = catalog
        .find_route("licencias.example", "/placas/1")
        .expect("matching route");
    let chosen = (0..100).filter_map(|_| gateway.choose_target(route));
    let first = chosen.filter(|pool| pool.as_str() == "placas").count();
    assert_eq!(first, 90);
}

/// Guards against requests that don't count against the limit of a cold upstream while they wait for their
/// connection: hosts sent 28 requests in 0.1 s to an upstream that tolerated 23 (incident inc-a379 of
/// cairnbook-gw).
#[tokio::test]
async fn requests_awaiting_a_connection_count_against_cold_limit() {
    let gateway = gateway();
    let now = Instant::now();
    let name = announce(&gateway, now, Duration::from_secs(3));
    let pool = Pool {
        name: "p".parse().expect("valid name"),
        connections: 100,
        cold_rate: 5.0,
        cold_time: Duration::from_secs(3),
        health_path: "/health".to_owned(),
        is_sharded: false,
    };
    let mut guards = Vec::new();
    for _ in 0..50 {
        let has_room = gateway
            .fleet
            .borrow()
            .get(&name)
            .is_some_and(|u| gateway.has_room(now, &pool, u));
        if has_room {
            guards.push(AttemptGuard::start(&gateway, &name, &HeaderValue::from_static("r")));
        }
    }
    // With this host alone, the limit is 5 + 1 requests; the host may use only a part of it.
    assert!((1..=6).contains(&guards.len()), "{} requests", guards.len());
}

/// Guards against a pause after a response other than 503, with a malformed `Retry-After`, or without end.
#[tokio::test]
async fn retry_after_starts_a_pause_only_with_503() {
    let now = Instant::now();
    let day = Duration::from_hours(24);
    for (status, text, end_ms) in [
        (503, "1.5", Some(1_500)),
        (503, "0", None),
        (503, "-1", None),
        (503, "soon", None),
        (503, "1e300", Some(3_600_000)),
        (429, "1", None),
        (200, "1", None),
    ] {
        let gateway = gateway();
        let name = announce(&gateway, now, Duration::ZERO);
        let status = StatusCode::from_u16(status).expect("valid status");
        let mut headers = HeaderMap::new();
        headers.insert("retry-after", text.parse().expect("valid header value"));
        apply_directives(&gateway, now, &name, status, &headers);
        let end = gateway.fleet.borrow().get(&name).and_then(|u| u.pause_end(now));
        assert_eq!(
            end.map(|end| end - now),
            end_ms.map(Duration::from_millis),
            "{status} {text}"
        );
        let is_over = gateway
            .fleet
            .borrow()
            .get(&name)
            .is_some_and(|u| u.pause_end(now + day).is_none());
        assert!(is_over, "{status} {text}");
    }
}

/// Receive buffer of the test server.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// Size of a body that is larger than this buffer and the kernel's other buffers of a connection together.
const BODY_BYTES: usize = 32 << 20;

/// Guards against a timed-out call that still arrives because its connection isn't reset. A grant that timed
/// out while a link was cut arrived once the link was restored, when the keys had another owner
/// (deploy/days/zone-and-grantor.toml).
#[tokio::test]
async fn timed_out_call_resets_its_connection() {
    let socket = TcpSocket::new_v4().expect("new socket");
    // A fixed size keeps the kernel from growing the buffer until it holds the whole body.
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("receive buffer set");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("free port");
    let listener = socket.listen(1).expect("listening socket");
    let address: SocketAddr = listener.local_addr().expect("valid address");
    let call = async move {
        let endpoint = Endpoint::new(address, Duration::from_secs(5), CALL_BODY_MAX_BYTES);
        let request = Request::post("/grant").body(Full::new(Bytes::from(vec![0; BODY_BYTES])));
        endpoint
            .call(request.expect("valid request"), Duration::from_millis(50))
            .await
    };
    let server = async {
        let (mut stream, _) = listener.accept().await.expect("accepted connection");
        // Reads only after the call timed out, so that bytes are queued at the sender as behind a cut link.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await
    };
    // The connection's task runs on until the server has seen the end of the connection.
    let local = LocalSet::new();
    let (called, read) = local.run_until(async { tokio::join!(call, server) }).await;
    assert!(matches!(called, Err(CallError::TimedOut(_))), "{called:?}");
    assert_eq!(read.expect_err("connection reset").kind(), ErrorKind::ConnectionReset);
}

/// Serves one call on each of two connections, and resets the first connection if `restarts`.
async fn serve_two_calls(listener: TcpListener, restarts: bool) {
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let mut kept = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut buffer = [0; 1_024];
        while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {
            if stream.write_all(response).await.is_err() || (restarts && kept.is_empty()) {
                break;
            }
        }
        kept.push(());
    }
}

/// Guards against a renewal that reaches another process than the one that accepted the lease: a process that ends
/// closes its connections, and the next one may listen at its address at once.
#[tokio::test]
async fn call_to_the_same_process_fails_once_its_connections_have_closed() {
    for restarts in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let endpoint = Endpoint::new(
            listener.local_addr().expect("valid address"),
            Duration::from_secs(5),
            CALL_BODY_MAX_BYTES,
        );
        let request = || Request::post("/grant").body(Full::default()).expect("valid request");
        let calls = async {
            let timeout = Duration::from_secs(5);
            let first = endpoint.call_in_session(None, request(), timeout).await;
            let (_, session) = first.expect("a response");
            // The connection's task learns of the end within this time.
            tokio::time::sleep(Duration::from_millis(100)).await;
            if restarts {
                // Another lease is granted to the new process first.
                let other = endpoint.call_in_session(None, request(), timeout).await;
                other.expect("a response");
            }
            endpoint.call_in_session(Some(session), request(), timeout).await
        };
        let local = LocalSet::new();
        let result = local
            .run_until(async {
                tokio::task::spawn_local(serve_two_calls(listener, restarts));
                calls.await
            })
            .await;
        assert_eq!(matches!(result, Err(CallError::NotSent(_))), restarts, "{result:?}");
    }
}

/// Guards against limits that are divided among too few hosts because the removal of an entry took effect late, when its
/// host was running again: the host must announce itself, and count until it has.
#[tokio::test]
async fn host_whose_entry_is_removed_still_counts_and_announces_itself() {
    let gateway = gateway();
    let record = |host: &str, value: Option<&str>| Record {
        offset: Offset(1),
        key: format!("host/{host}"),
        value: value.map(|text| text.to_owned().into()),
    };
    let entry = r#"{"peers":"127.0.0.1:9","zone":"z"}"#;
    for host in ["a", "b", "c"] {
        apply_record(&gateway, Topic::Hosts, &record(host, Some(entry)));
    }
    for host in ["a", "b"] {
        apply_record(&gateway, Topic::Hosts, &record(host, None));
    }
    assert_eq!(gateway.host_count(), 3);
    let lost = tokio::time::timeout(Duration::from_secs(1), gateway.entry_lost.notified()).await;
    assert!(lost.is_ok(), "the host must announce itself again");
    apply_record(&gateway, Topic::Hosts, &record("a", Some(entry)));
    assert_eq!(gateway.host_count(), 3);
    gateway.sweep_departed(Instant::now() + Duration::from_mins(1));
    assert_eq!(gateway.host_count(), 2);
}
