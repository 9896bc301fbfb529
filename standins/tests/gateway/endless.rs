//! Peers that send without an end: a limit, and no deadline, bounds what a gateway reads of it.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::hostile::start_with_raw_server;
use super::{Cluster, exchange, get, wait_for};

/// Limit on what an upstream may send before the end of the head of its response.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// Largest amount of bytes that a server can write on a connection which nobody reads: the usual limits of Linux on
/// its send buffer (4 MiB) and on the receive buffer of the other end (6 MiB), and a reserve.
const KERNEL_BUFFERS_MAX_BYTES: usize = 11 << 20;

/// What a server has written without an end.
#[derive(Default)]
struct Writer {
    /// Bytes on one connection, at most.
    written: AtomicUsize,
    /// Connections that are still open.
    open: AtomicUsize,
}

impl Writer {
    /// Writes a text again and again until the gateway closes the connection.
    fn write_without_end(&self, stream: &mut TcpStream, text: &str) {
        let batch = text.repeat((16 << 10) / text.len() + 1);
        let mut sum = 0;
        self.open.fetch_add(1, Ordering::Relaxed);
        while stream.write_all(batch.as_bytes()).is_ok() {
            sum += batch.len();
            self.written.fetch_max(sum, Ordering::Relaxed);
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Checks that all connections are closed, and how much could be written on each.
    fn check(&self, label: &str) {
        wait_for(&format!("the gateway to close all connections, {label:?}"), || {
            (self.open.load(Ordering::Relaxed) == 0).then_some(())
        });
        let written = self.written.load(Ordering::Relaxed);
        println!("{label:?}: {written} bytes written");
        assert!(written > 0, "{label:?}: nothing was written");
        assert!(
            written <= 2 * HEAD_MAX_BYTES + KERNEL_BUFFERS_MAX_BYTES,
            "{label:?}: the server could write {written} bytes"
        );
    }
}

/// Waits until a request to the sound servers is served.
fn wait_until_served(cluster: &Cluster, when: &str) {
    let mut number = 0;
    wait_for(&format!("a request to sound servers to be served, {when}"), || {
        number += 1;
        let id = format!("sound-{number}");
        (cluster.call(0, "GET", "/placas/1", &id, Some(1)).status == 200).then_some(())
    });
}

/// Guards against a listener for readiness checks or metrics that keeps heads of any size.
#[test]
fn large_heads_of_status_checks_are_rejected() {
    let cluster = Cluster::start(1);
    let filler = "r".repeat(200 << 10);
    let text = format!("GET /ready HTTP/1.1\r\nHost: s\r\nFiller: {filler}\r\nConnection: close\r\n\r\n");
    for _ in 0..4 {
        assert_ne!(exchange(cluster.ready[0], &text).status, 200);
    }
    assert_eq!(get(cluster.ready[0], "/ready", "1").status, 200);
}

/// Guards against interim responses without end, each of which is small, that occupy the process until the deadline
/// of the request.
#[test]
fn interim_responses_without_end_are_bounded() {
    for interim in [
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
    ] {
        let writer = Arc::new(Writer::default());
        let server = Arc::clone(&writer);
        let cluster = start_with_raw_server(move |stream, ids| {
            if ids.next().is_some_and(|id| id.starts_with("e-")) {
                server.write_without_end(stream, interim);
            }
        });
        std::thread::scope(|scope| {
            let callers: Vec<_> = (0..8)
                .map(|number| {
                    let cluster = &cluster;
                    scope.spawn(move || cluster.call(0, "GET", "/flotas/7", &format!("e-{number}"), None).status)
                })
                .collect();
            wait_until_served(&cluster, "beside interim responses without end");
            for caller in callers {
                let status = caller.join().expect("a caller");
                assert!(matches!(status, 502..=504), "{interim:?}: status {status}");
            }
        });
        writer.check(interim);
        wait_until_served(&cluster, "after interim responses without end");
    }
}
