//! Planned stops of a gateway while requests are in progress and arriving.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use super::{CONFIGURATION, Cluster, HOST_HEADER, set_fault};

/// Time between SIGTERM and the forced end of the process, as in the settings of the cluster.
const GRACE: Duration = Duration::from_secs(6);
/// Time that callers wait for a response, longer than the grace.
const CALLER_TIMEOUT_MS: u64 = 8_000;
/// Times between two requests of the same kind.
const REQUEST_PERIOD: Duration = Duration::from_millis(200);

/// Time for which requests are sent before SIGTERM.
const LEAD: Duration = Duration::from_secs(1);

/// How a caller connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    New,
    /// A connection that has served a request before SIGTERM.
    Kept,
}

/// What a caller has received.
#[derive(Debug)]
#[expect(dead_code, reason = "some fields are only printed")]
struct Exchange {
    id: String,
    method: &'static str,
    connection: Connection,
    /// Time from SIGTERM to the sending of the request.
    sent: Duration,
    /// Status of the response if it is complete.
    status: Option<u16>,
}

/// Raises the timeout of all routes above the grace.
fn raise_timeouts(cluster: &Cluster) {
    let text = std::fs::read_to_string(CONFIGURATION).expect("the example configuration");
    let text = text
        .replace("\"00000001\"", "\"00000002\"")
        .replace("\"timeout\": \"2s\"", "\"timeout\": \"10s\"");
    let file = cluster.directory.path().join("long.json");
    std::fs::write(&file, text).expect("a configuration file");
    cluster.publish(Path::new(&file));
    // Longer than hosts take to read a configuration.
    std::thread::sleep(Duration::from_secs(2));
}

fn write_request(stream: &mut TcpStream, method: &str, id: &str) -> std::io::Result<()> {
    let path = if method == "GET" {
        "/flotas/7"
    } else {
        "/renovaciones/7"
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\nX-Ragworthub-Request-Id: {id}\r\n\
         X-Ragworthub-Deadline-Ms: {CALLER_TIMEOUT_MS}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes())
}

/// Reads one response and returns its status if the response is complete.
fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok())?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    head.split(' ').nth(1)?.parse().ok()
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(GRACE * 2))?;
    Ok(stream)
}

/// Sends requests to a gateway from a while before SIGTERM until the process has ended. Requests that begin to run on
/// the servers `failing` after SIGTERM fail. Returns what the callers received, and the time that the process took to
/// end.
fn stop_under_load(cluster: &mut Cluster, failing: &[SocketAddr]) -> (Vec<Exchange>, Duration) {
    let address = cluster.gateways[0].address;
    let kept_count = 2 * GRACE.as_millis() / REQUEST_PERIOD.as_millis();
    let kept = (0..kept_count).map(|number| {
        let mut stream = connect(address).expect("a connection");
        write_request(&mut stream, "GET", &format!("first-{number}")).expect("a request");
        stream
    });
    let mut kept: Vec<TcpStream> = kept.collect();
    for stream in &mut kept {
        assert!(
            read_status(stream).is_some(),
            "a request before the stop has no response"
        );
    }
    let start = Instant::now();
    let stop = start + LEAD;
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let is_over = &is_over;
        let exchange = move |id: String, method, connection, stream: Option<TcpStream>| {
            let sent = Instant::now().saturating_duration_since(stop);
            let status = stream.or_else(|| connect(address).ok()).and_then(|mut stream| {
                write_request(&mut stream, method, &id).ok()?;
                read_status(&mut stream)
            });
            Exchange {
                id,
                method,
                connection,
                sent,
                status,
            }
        };
        let load = scope.spawn(move || {
            let mut callers = Vec::new();
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let method = if number % 2 == 0 { "GET" } else { "POST" };
                for connection in [Connection::New, Connection::Kept] {
                    let stream = (connection == Connection::Kept).then(|| kept.pop()).flatten();
                    if connection == Connection::Kept && stream.is_none() {
                        continue;
                    }
                    let id = format!("{method}-{connection:?}-{number}");
                    callers.push(scope.spawn(move || exchange(id, method, connection, stream)));
                }
                std::thread::sleep(REQUEST_PERIOD);
            }
            callers
                .into_iter()
                .map(|caller| caller.join().expect("a caller"))
                .collect()
        });
        std::thread::sleep(LEAD);
        cluster.gateways[0].signal("TERM");
        let signalled = Instant::now();
        for server in failing {
            set_fault(*server, &json!("fail"));
        }
        let code = cluster.gateways[0].wait_exit_code();
        let took = signalled.elapsed();
        is_over.store(true, Ordering::Relaxed);
        assert_eq!(code, Some(0));
        (load.join().expect("the load"), took)
    })
}

/// Checks that each request that has run has a complete response, and that none that was reported as not run has
/// run. Returns the number of complete successes.
fn check_exchanges(cluster: &Cluster, exchanges: &[Exchange]) -> usize {
    let mut broken = Vec::new();
    for exchange in exchanges {
        let runs = cluster.run_count(&exchange.id);
        let is_cut = exchange.status.is_none() && runs > 0;
        let is_false_refusal = exchange.status == Some(503) && runs > 0;
        let is_repeated = exchange.method == "POST" && runs > 1;
        if is_cut || is_false_refusal || is_repeated {
            broken.push((exchange, runs));
        }
    }
    assert!(
        broken.is_empty(),
        "{} of {}: {broken:#?}",
        broken.len(),
        exchanges.len()
    );
    exchanges.iter().filter(|exchange| exchange.status == Some(200)).count()
}

/// A planned stop under load.
struct Stop {
    /// Time that the servers take for each request, in milliseconds.
    work_ms: u64,
    /// Whether requests that begin to run on two of the three servers after SIGTERM fail.
    has_failures: bool,
    /// Whether the store responds.
    has_store: bool,
}

impl Stop {
    /// Plays the stop and checks it. Returns the number of complete successes.
    fn check(&self) -> usize {
        let work = self.work_ms.to_string();
        let mut cluster = Cluster::start_with(1, 3, &["--slots", "64", "--work-ms", &work]);
        raise_timeouts(&cluster);
        if !self.has_store {
            set_fault(cluster.store.address, &json!({ "delay_ms": 60_000 }));
        }
        let failing = &cluster.servers[3..5];
        let failing: Vec<SocketAddr> = failing.iter().map(|(_, server)| server.address).collect();
        let failing = if self.has_failures { failing.as_slice() } else { &[] };
        let (exchanges, took) = stop_under_load(&mut cluster, failing);
        assert!(took < GRACE, "the process ended after {took:?}");
        check_exchanges(&cluster, &exchanges)
    }
}

/// Guards against a request that is taken late in the grace, passed on and cut without a response at its end. While
/// the store doesn't respond, the departure from it takes longer.
#[test]
fn request_taken_late_in_the_grace_is_not_cut() {
    assert!(
        Stop {
            work_ms: 2_500,
            has_failures: false,
            has_store: false
        }
        .check()
            > 0,
        "no request was served"
    );
}

/// Guards against a request that fails late in the grace, is sent to a second server and cut without a response.
#[test]
fn failed_request_is_not_cut_in_its_retry() {
    Stop {
        work_ms: 2_000,
        has_failures: true,
        has_store: true,
    }
    .check();
}

/// Guards against requests in progress at SIGTERM that take longer than the grace and are cut without a response.
#[test]
fn request_longer_than_the_grace_has_a_response() {
    Stop {
        work_ms: 30_000,
        has_failures: false,
        has_store: true,
    }
    .check();
}
