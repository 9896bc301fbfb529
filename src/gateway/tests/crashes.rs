use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

use super::super::crashes::{request_check, start_crash_watch};
use super::{CONFIGURATION, announcement, gateway};
use crate::fleet::{Fingerprint, Run, RunEnd};
use crate::gateway::watch::apply_catalog;
use crate::types::Offset;

/// Longest wait for the end of an upstream to be noticed. It is generous because the test waits for an event.
const NOTICE_MAX: Duration = Duration::from_mins(1);
/// Time between two checks for it.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Guards against dropping the request for a check of an upstream because the one before has just found it running:
/// its end would be noticed only by chance.
#[tokio::test]
async fn check_requested_during_the_gap_after_another_is_made_later() {
    let test = async {
        let gateway = gateway();
        apply_catalog(&gateway, Offset(1), CONFIGURATION.as_bytes());
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let listener = listener.expect("a free port");
        let mut announcement = announcement(Duration::ZERO);
        announcement.pool = "renovaciones".parse().expect("valid name");
        announcement.address = listener.local_addr().expect("an address");
        let name = announcement.upstream.clone();
        let now = Instant::now();
        gateway.fleet.borrow_mut().announce(now, announcement);
        let run = Run {
            request: Fingerprint::of("GET", "/x", []),
            sent: now,
        };
        gateway.runs.borrow_mut().start(&name, run);
        gateway.runs.borrow_mut().end(now, &name, run, RunEnd::Broken);
        start_crash_watch(&gateway);
        request_check(&gateway, &name);
        let (mut stream, _) = listener.accept().await.expect("a connection of the first check");
        let mut buffer = [0; 1_024];
        let length = stream.read(&mut buffer).await.expect("a request");
        assert!(length > 0);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(response).await.expect("a response");
        drop(listener);
        sleep(Duration::from_millis(100)).await;
        request_check(&gateway, &name);
        let requested = Instant::now();
        while gateway.runs.borrow().has_suspects(&name) && requested.elapsed() < NOTICE_MAX {
            sleep(POLL_PERIOD).await;
        }
        assert!(!gateway.runs.borrow().has_suspects(&name), "its end was not noticed");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against taking an upstream for ended, and its requests for the cause, because its health response exceeds a limit.
#[tokio::test]
async fn health_response_beyond_a_limit_is_no_end_of_an_upstream() {
    let test = async {
        let gateway = gateway();
        apply_catalog(&gateway, Offset(1), CONFIGURATION.as_bytes());
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let listener = listener.expect("a free port");
        let mut announcement = announcement(Duration::ZERO);
        announcement.pool = "renovaciones".parse().expect("valid name");
        announcement.address = listener.local_addr().expect("an address");
        let name = announcement.upstream.clone();
        let now = Instant::now();
        gateway.fleet.borrow_mut().announce(now, announcement);
        let run = Run {
            request: Fingerprint::of("GET", "/x", []),
            sent: now,
        };
        gateway.runs.borrow_mut().start(&name, run);
        gateway.runs.borrow_mut().end(now, &name, run, RunEnd::Broken);
        start_crash_watch(&gateway);
        request_check(&gateway, &name);
        let (mut stream, _) = listener.accept().await.expect("a connection of the first check");
        let length = stream.read(&mut [0; 1_024]).await.expect("a request");
        assert!(length > 0);
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n{}",
            "x".repeat(100_000)
        );
        // The gateway closes the connection at the limit.
        let _ = stream.write_all(response.as_bytes()).await;
        request_check(&gateway, &name);
        // There is a second check only while the request isn't resolved.
        let second = timeout(NOTICE_MAX, listener.accept()).await;
        assert!(second.is_ok(), "the upstream counts as ended");
    };
    LocalSet::new().run_until(test).await;
}
