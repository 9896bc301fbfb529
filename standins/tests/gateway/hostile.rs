//! Servers and other writers that don't follow the protocol.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::server::{append_keyed_record, unix_ms};

use super::support::start_raw_server;
use super::{Cluster, HOST_HEADER, wait_for};

/// Timeout of the routes, plus the time that a response may take longer.
const ANSWER_MAX: Duration = Duration::from_millis(2_500);

/// What a server of these tests has seen.
#[derive(Default)]
struct Seen {
    /// Number of requests that it ran.
    runs: AtomicUsize,
    /// The gateway closed a connection on which the response had no end.
    is_closed: AtomicBool,
}

pub(super) fn append_record(cluster: &Cluster, key: &str, value: &[u8]) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let append = append_keyed_record(cluster.store.address, "keyed.servers", key, value);
    runtime
        .expect("a runtime")
        .block_on(append)
        .expect("an accepted record");
}

pub(super) fn entry(address: &str) -> Value {
    json!({
        "service": "renovaciones", "address": address, "zone": "zone-a", "version": "v1", "slots": 4, "state": "ready",
        "cold_left": "0ms", "seq": 1, "born": unix_ms(),
    })
}

/// Starts a gateway whose only server of `renovaciones` is a raw one.
pub(super) fn start_with_raw_server(
    serve: impl Fn(&mut TcpStream, &mut dyn Iterator<Item = String>) + Send + Sync + 'static,
) -> Cluster {
    let cluster = Cluster::start_with(1, 0, &[]);
    let address = start_raw_server(serve);
    append_record(&cluster, "raw", entry(&address.to_string()).to_string().as_bytes());
    std::thread::sleep(Duration::from_secs(2));
    cluster
}

fn refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Ragworthub-Request-Id: {id}\r\nX-Ragworthub-Not-Executed: 1\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Guards against telling a caller that a request has not run because the server wrote an earlier refusal once more
/// on the same connection.
#[test]
fn repeated_refusal_is_not_taken_for_the_response_to_a_later_request() {
    for writes_at_once in [false, true] {
        let seen = Arc::new(Seen::default());
        let server = Arc::clone(&seen);
        let cluster = start_with_raw_server(move |stream, ids| {
            let mut refused: Option<String> = None;
            for id in ids {
                let response = match &refused {
                    // Only the first request of a connection is refused; the others run.
                    None => {
                        refused = Some(id.clone());
                        if writes_at_once {
                            refusal(&id).repeat(2)
                        } else {
                            refusal(&id)
                        }
                    }
                    Some(first) => {
                        server.runs.fetch_add(1, Ordering::Relaxed);
                        let earlier = refusal(first).repeat(usize::from(!writes_at_once));
                        format!(
                            "{earlier}HTTP/1.1 200 OK\r\nX-Ragworthub-Request-Id: {id}\r\n\
                             X-Ragworthub-Response-Signature: raw\r\nContent-Length: 2\r\n\r\n{{}}"
                        )
                    }
                };
                if stream.write_all(response.as_bytes()).is_err() {
                    return;
                }
            }
        });
        for number in 0..12 {
            let runs = seen.runs.load(Ordering::Relaxed);
            let response = cluster.call(0, "POST", "/renovaciones/7", &format!("p-{number}"), None);
            let has_run = seen.runs.load(Ordering::Relaxed) > runs;
            assert!(response.status != 503 || !has_run, "request {number} ran and got 503");
            assert!(
                seen.runs.load(Ordering::Relaxed) <= runs + 1,
                "request {number} ran twice"
            );
        }
        assert!(
            seen.runs.load(Ordering::Relaxed) > 0 || writes_at_once,
            "no connection was kept"
        );
    }
}

/// Sends a request to a server whose response begins with `start`, where `@` stands for the request's id, and goes
/// on with `rest` until the gateway closes the connection.
fn check_endless_response(start: &str, rest: &'static str) {
    let label = format!("{start:?} {rest:?}");
    let start = start.to_owned();
    let seen = Arc::new(Seen::default());
    let server = Arc::clone(&seen);
    let cluster = start_with_raw_server(move |stream, ids| {
        let Some(id) = ids.next() else {
            return;
        };
        let mut is_open = stream.write_all(start.replace('@', &id).as_bytes()).is_ok();
        while is_open {
            is_open = stream.write_all(rest.repeat(20).as_bytes()).is_ok();
            std::thread::sleep(Duration::from_millis(2));
        }
        server.is_closed.store(true, Ordering::Relaxed);
    });
    let text = format!(
        "GET /flotas/7 HTTP/1.1\r\nHost: {HOST_HEADER}\r\nX-Ragworthub-Request-Id: e-1\r\n\
         Connection: close\r\n\r\n"
    );
    let mut stream = TcpStream::connect(cluster.gateways[0].address).expect("a connection");
    stream.set_read_timeout(Some(ANSWER_MAX)).expect("a timeout");
    stream.write_all(text.as_bytes()).expect("a request");
    let sent = Instant::now();
    let mut buffer = vec![0; 65_536];
    while sent.elapsed() < ANSWER_MAX && stream.read(&mut buffer).is_ok_and(|bytes| bytes > 0) {}
    assert!(
        sent.elapsed() < ANSWER_MAX,
        "{label}: no end after {:?}",
        sent.elapsed()
    );
    wait_for("the gateway to close the server's connection", || {
        seen.is_closed.load(Ordering::Relaxed).then_some(())
    });
    assert!(
        sent.elapsed() < ANSWER_MAX,
        "{label}: the server's connection stayed open"
    );
}

/// Guards against a response without end, in its head or body, that occupies the gateway and the caller until the
/// caller closes.
#[test]
fn response_without_end_is_closed_at_the_deadline() {
    let signed = "HTTP/1.1 200 OK\r\nX-Ragworthub-Request-Id: @\r\nX-Ragworthub-Response-Signature: raw\r\n";
    let cases = [
        (String::new(), "garbage "),
        ("HTTP/1.1 200 OK\r\n".to_owned(), "X-More: header\r\n"),
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        (format!("{signed}\r\n"), "body without end "),
        (format!("{signed}Transfer-Encoding: chunked\r\n\r\n"), "5\r\nhello\r\n"),
        (
            format!("{signed}Content-Length: 99999999999\r\n\r\n"),
            "body without end ",
        ),
    ];
    std::thread::scope(|scope| {
        for (start, rest) in &cases {
            scope.spawn(move || check_endless_response(start, rest));
        }
    });
}

/// Guards against a gateway that ends, or stops following the list of servers, because of an entry that can't be
/// decoded.
#[test]
fn odd_server_entries_do_not_stop_a_gateway() {
    let mut cluster = Cluster::start(1);
    let nested = format!("{}1{}", "[".repeat(100_000), "]".repeat(100_000));
    let number = "9".repeat(400);
    let with = |field: &str, value: &str| {
        let mut fields = entry("127.0.0.1:9");
        fields[field] = json!("@");
        fields.to_string().replace("\"@\"", value)
    };
    let entries = [
        nested.clone(),
        format!("{{\"service\":{nested}}}"),
        with("version", &nested),
        with("seq", &number),
        with("slots", &number),
        with("born", "1e999"),
        with("cold_left", "\"1e308s\""),
        with("address", "\"127.0.0.1:99999\""),
        with("address", "\"127.0.0.1:0\""),
        "\u{0}".to_owned(),
    ];
    for (index, text) in entries.iter().enumerate() {
        append_record(&cluster, &format!("odd-{index}"), text.as_bytes());
    }
    cluster.start_server("renovaciones", "late", &[]);
    let late = cluster.servers[cluster.servers.len() - 1].1.address;
    let mut number = 0;
    wait_for("the server that joined later to run a request", || {
        number += 1;
        let response = cluster.call(0, "POST", "/renovaciones/7", &format!("o-{number}"), None);
        assert_ne!(response.status, 0, "the gateway doesn't answer");
        let report: Value = serde_json::from_str(&super::get(late, "/standin/runs", "1").body).expect("JSON");
        report["requests"]
            .as_object()
            .is_some_and(|runs| !runs.is_empty())
            .then_some(())
    });
}

/// Reports whether a response looks like a complete success to its caller.
fn is_complete_success(response: &super::Response) -> bool {
    let header = |name: &str| response.headers.get(name).map(String::as_str);
    let length = header("content-length").and_then(|value| value.parse::<usize>().ok());
    let is_chunked = header("transfer-encoding") == Some("chunked");
    (200..300).contains(&response.status)
        && length.is_none_or(|length| response.body.len() >= length)
        && (!is_chunked || response.body.ends_with("0\r\n\r\n"))
}

/// Guards against a success with an empty or short body, framed as whole, because the server stopped within the head
/// of its response or the first chunk and closed.
#[test]
fn response_cut_anywhere_is_no_complete_success() {
    let framings = [
        "Content-Length: 2\r\n\r\n{}",
        "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "\r\n",
    ];
    let build = move |framing: usize, id: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nX-Ragworthub-Request-Id: {id}\r\nX-Ragworthub-Response-Signature: raw\r\n{}",
            framings[framing]
        )
    };
    let cluster = start_with_raw_server(move |stream, ids| {
        for id in ids {
            // An id states the framing, and how many bytes are sent.
            let mut parts = id.split('-').skip(1).map_while(|part| part.parse().ok());
            let response = match (parts.next(), parts.next()) {
                (Some(framing), Some(length)) => build(framing, &id)[..length].to_owned(),
                (Some(framing), None) => build(framing, &id),
                _ => "HTTP/1.1 200 OK\r\nX-Ragworthub-Instance-Id: raw\r\nContent-Length: 0\r\n\r\n".to_owned(),
            };
            let is_cut = id.starts_with("cut");
            if stream.write_all(response.as_bytes()).is_err() || is_cut {
                return;
            }
        }
    });
    let mut cut_count = 0;
    for framing in 0..framings.len() {
        let length = build(framing, "cut-0-100").len();
        for cut in 0..length {
            let id = format!("cut-{framing}-{cut:03}");
            let response = cluster.call(0, "POST", "/renovaciones/7", &id, None);
            assert!(
                !is_complete_success(&response),
                "{id}: {} {:?} {:?}",
                response.status,
                response.headers,
                response.body
            );
            cut_count += usize::from(response.status != 503);
            // Complete responses in between keep the server from being left out.
            for number in 0..4 {
                let response = cluster.call(0, "POST", "/renovaciones/7", &format!("whole-0-x{cut}{number}"), None);
                assert!(is_complete_success(&response), "after {id}: {}", response.status);
            }
        }
    }
    println!("{cut_count} cut responses");
    assert!(cut_count > 300, "{cut_count} cut responses");
}
