//! Tests that clients outside anybody's control can't exhaust the memory or the descriptors of a gateway.
//!
//! Each test sends one crowd to a gateway with small limits. It checks that the process lives, that its peak memory
//! and its open descriptors stay under their bounds, and that an ordinary request is answered while the crowd holds
//! its connections and after it has left. The tests run one at a time, because memory is measured.

#[path = "../gateway/support/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of the module")]
mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use standins::server::{append_keyed_record, unix_ms};
use support::{Process, start_raw_server, start_standin, wait_for};
use tempfile::TempDir;

const HOST: &str = "licencias.example";
/// Largest body that the configuration allows.
const BODY_MAX: usize = 8 << 20;
/// Memory of the gateway's machine.
const MACHINE_MB: usize = 96;
/// Open descriptors that the machine allows.
const DESCRIPTORS_MAX: usize = 300;
/// Memory of a machine on which few connections can hold large heads.
const SMALL_MACHINE_MB: usize = 48;
/// Open descriptors that a machine allows on which only memory limits connections.
const MANY_DESCRIPTORS: usize = 1_200;
/// Connections of a crowd that sends bodies.
const BODY_CROWD: usize = 24;
/// Connections of a crowd that sends heads without an end.
const HEAD_CROWD: usize = 400;
/// Connections of a crowd that doesn't read its responses.
const READER_CROWD: usize = 120;
/// Time after which a caller stops writing to a gateway that doesn't read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A store, three servers and a gateway with small limits.
struct Cluster {
    gateway: Process,
    /// Memory of the gateway's machine.
    memory_mb: usize,
    /// Bound on open descriptors, which is also what the machine allows.
    descriptors: usize,
    store: SocketAddr,
    /// Kept until the end of the test.
    _others: Vec<Process>,
    _directory: TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl Cluster {
    fn start() -> Self {
        Self::start_with(MACHINE_MB, DESCRIPTORS_MAX)
    }

    /// Starts a cluster whose gateway has this much memory and open descriptors.
    fn start_with(memory_mb: usize, descriptors: usize) -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = TempDir::new().expect("a temporary directory");
        let store = start_standin("store", &["--listen", "127.0.0.1:0"]);
        let store_address = store.address;
        let address = store_address.to_string();
        let mut others: Vec<Process> = (0..3)
            .map(|number| {
                let name = format!("renovaciones-{number}");
                let names = ["--name", &name, "--service", "renovaciones", "--store", &address];
                start_standin("server", &names)
            })
            .collect();
        others.push(store);
        publish(&address, &directory);
        let (gateway, _) = start_gateway(store_address, &directory, memory_mb, descriptors);
        let cluster = Self {
            gateway,
            memory_mb,
            descriptors,
            store: store_address,
            _others: others,
            _directory: directory,
            _turn: turn,
        };
        cluster.wait_until_answered("the start");
        cluster
    }

    fn check_memory(&self) {
        check_memory(&self.gateway, self.memory_mb);
    }

    /// Announces the only server of `avisos`, which sends one text and then another without an end, whatever it is asked
    /// for, and waits until it gets requests of callers.
    fn add_endless_server(&self, start: &'static str, rest: &'static str) {
        let is_reached = Arc::new(AtomicBool::new(false));
        let is_reached_by = Arc::clone(&is_reached);
        let address = start_raw_server(move |stream, ids| {
            let Some(id) = ids.next() else {
                return;
            };
            is_reached_by.fetch_or(!id.is_empty(), Ordering::Relaxed);
            let batch = rest.repeat((16 << 10) / rest.len() + 1);
            let mut is_open = stream.write_all(start.as_bytes()).is_ok();
            while is_open {
                is_open = stream.write_all(batch.as_bytes()).is_ok();
            }
        });
        let entry = serde_json::json!({
            "service": "avisos", "address": address.to_string(), "zone": "zone-a", "version": "v1", "slots": 1000,
            "state": "ready", "cold_left": "0ms", "seq": 1, "born": unix_ms(),
        });
        let value = entry.to_string();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let append = append_keyed_record(self.store, "keyed.servers", "endless", value.as_bytes());
        runtime
            .expect("a runtime")
            .block_on(append)
            .expect("an accepted record");
        wait_for("the server to get a request", || {
            let mut stream = TcpStream::connect(self.gateway.address).expect("a connection");
            let text = format!("{}\r\n", head("GET", "/avisos/7"));
            stream.write_all(text.as_bytes()).expect("a request");
            std::thread::sleep(Duration::from_millis(200));
            is_reached.load(Ordering::Relaxed).then_some(())
        });
    }

    /// Waits until an ordinary request is served.
    fn wait_until_answered(&self, when: &str) {
        let text = format!(
            "{}Content-Length: 5\r\nConnection: close\r\n\r\nhello",
            head("POST", "/renovaciones/7")
        );
        wait_for(&format!("an ordinary request to be served, {when}"), || {
            (exchange(self.gateway.address, text.as_bytes()) == 200).then_some(())
        });
    }

    /// Lets a crowd send, and checks the gateway while the crowd stays and after it has left.
    fn check_crowd(&mut self, size: usize, send: impl Fn(&mut TcpStream) -> std::io::Result<()> + Sync) {
        let address = self.gateway.address;
        let streams: Vec<TcpStream> = std::thread::scope(|scope| {
            let callers: Vec<_> = (0..size)
                .map(|_| {
                    scope.spawn(|| {
                        let mut stream = TcpStream::connect(address).ok()?;
                        stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
                        // The gateway may refuse to read on, or close the connection.
                        let _ = send(&mut stream);
                        Some(stream)
                    })
                })
                .collect();
            callers
                .into_iter()
                .filter_map(|c| c.join().expect("a caller"))
                .collect()
        });
        let descriptors = self.gateway.descriptors();
        self.wait_until_answered("while the crowd stays");
        drop(streams);
        self.wait_until_answered("after the crowd has left");
        assert!(self.gateway.is_running(), "the gateway has ended");
        println!("{descriptors} descriptors");
        self.check_memory();
        assert!(
            descriptors <= self.descriptors,
            "{descriptors} descriptors, at most {} are allowed",
            self.descriptors
        );
    }
}

/// Checks that the peak memory of a gateway is at most three quarters of its machine's.
fn check_memory(gateway: &Process, memory_mb: usize) {
    let peak = gateway.peak_memory_mb();
    println!("peak {peak} MB");
    let limit = memory_mb / 4 * 3;
    assert!(peak <= limit, "{peak} MB, at most {limit} MB are allowed");
}

/// Starts a gateway on a small machine; returns the address of its readiness check as well.
fn start_gateway(
    store: SocketAddr,
    directory: &TempDir,
    memory_mb: usize,
    descriptors: usize,
) -> (Process, SocketAddr) {
    let any = "127.0.0.1:0";
    let settings = format!(
        "host: front-0\nzone: zone-a\nlisten:\n  callers: {any}\n  ready: {any}\n  peers: {any}\n  \
         metrics: {any}\nstore: {store}\nbounds:\n  - \"grace=6s\"\n\
         memory_mb: {memory_mb}\ndescriptors: {descriptors}\n",
    );
    let path = directory.path().join("front-0.yaml");
    std::fs::write(&path, settings).expect("a settings file");
    support::start_gateway(&path.display().to_string())
}

fn publish(store: &str, directory: &TempDir) {
    let route = |name: &str, kind: &str, service: &str| {
        serde_json::json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout": "10s", "target_latency": "2s", "service": service, "max_attempts": 2})
    };
    let configuration = serde_json::json!({
        "version": "00000001", "routes": [route("renovaciones", "unsafe", "renovaciones"),
            route("padrones", "download", "renovaciones"), route("avisos", "safe", "avisos")],
        "services": [{"name": "renovaciones", "health_path": "/health", "max_connections": 1000},
            {"name": "avisos", "health_path": "/health", "max_connections": 1000}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": BODY_MAX, "header_timeout": "3s", "idle_timeout": "15s"},
    });
    let path = directory.path().join("configuration.json");
    std::fs::write(&path, configuration.to_string()).expect("a configuration file");
    let status = std::process::Command::new(env!("CARGO_BIN_EXE_operator"))
        .args(["--store", store, "--file"])
        .arg(path)
        .status();
    assert!(status.expect("the operator program must start").success());
}

fn head(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Ragworthub-Request-Id: r-1\r\n\
         X-Ragworthub-Deadline-Ms: 10000\r\n"
    )
}

fn announce(length: usize) -> String {
    format!("{}Content-Length: {length}\r\n\r\n", head("POST", "/renovaciones/7"))
}

fn chunked() -> String {
    format!("{}Transfer-Encoding: chunked\r\n\r\n", head("POST", "/renovaciones/7"))
}

/// Sends a request and returns the status of the response; 0 means that there is none.
fn exchange(address: SocketAddr, text: &[u8]) -> u16 {
    let mut bytes = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        let timeout = Some(Duration::from_secs(20));
        stream.set_read_timeout(timeout).expect("a read timeout");
        let _ = stream.write_all(text);
        let _ = stream.read_to_end(&mut bytes);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    status.unwrap_or_default()
}

/// Sends a body in chunks of a size, without the last chunk.
fn send_chunks(stream: &mut TcpStream, length: usize, chunk: usize) -> std::io::Result<()> {
    stream.write_all(chunked().as_bytes())?;
    let text = format!("{chunk:x}\r\n{}\r\n", "r".repeat(chunk));
    // Sends small chunks together, so that the crowd's system calls don't take most of the time.
    let batch = (64 << 10) / text.len() + 1;
    for _ in 0..(length / chunk).div_ceil(batch) {
        stream.write_all(text.repeat(batch).as_bytes())?;
    }
    Ok(())
}

/// Guards against a refusal of a body that is as large as the configuration allows while nothing else is held.
#[test]
fn single_body_of_the_largest_size_is_served() {
    let cluster = Cluster::start();
    let text = format!(
        "{}Content-Length: {BODY_MAX}\r\nConnection: close\r\n\r\n{}",
        head("POST", "/renovaciones/7"),
        "r".repeat(BODY_MAX)
    );
    for _ in 0..4 {
        assert_eq!(exchange(cluster.gateway.address, text.as_bytes()), 200);
    }
    cluster.check_memory();
}

/// Guards against memory that grows with the number of bodies of legal size that stop just short of their end.
#[test]
fn whole_bodies_that_stop_short_stay_within_memory() {
    Cluster::start().check_crowd(BODY_CROWD, |stream| {
        stream.write_all(announce(BODY_MAX).as_bytes())?;
        stream.write_all(&vec![b'r'; BODY_MAX - 1])
    });
}

/// Guards against the same if the bodies arrive in small pieces.
#[test]
fn bodies_in_pieces_that_stop_short_stay_within_memory() {
    Cluster::start().check_crowd(BODY_CROWD, |stream| {
        stream.write_all(announce(BODY_MAX).as_bytes())?;
        let piece = [b'r'; 4 << 10];
        for _ in 0..BODY_MAX / piece.len() - 1 {
            stream.write_all(&piece)?;
        }
        stream.write_all(&piece[1..])
    });
}

/// Guards against memory that grows with the number of chunked bodies, whose size isn't announced.
#[test]
fn large_chunks_that_stop_short_stay_within_memory() {
    Cluster::start().check_crowd(BODY_CROWD, |stream| send_chunks(stream, BODY_MAX, 1 << 20));
}

/// Guards against chunks that each cost more memory than their one byte.
#[test]
fn chunks_of_one_byte_that_stop_short_stay_within_memory() {
    Cluster::start().check_crowd(BODY_CROWD, |stream| send_chunks(stream, 512 << 10, 1));
}

/// Guards against reading bodies that are announced as too large.
#[test]
fn bodies_announced_over_the_limit_stay_within_memory() {
    Cluster::start().check_crowd(BODY_CROWD, |stream| {
        stream.write_all(announce(BODY_MAX * 4).as_bytes())?;
        stream.write_all(&vec![b'r'; BODY_MAX * 4])
    });
}

/// Guards against keeping what was read of bodies that turn out to be too large.
#[test]
fn bodies_sent_over_the_limit_stay_within_memory() {
    Cluster::start().check_crowd(BODY_CROWD, |stream| send_chunks(stream, BODY_MAX * 4, 1 << 20));
}

/// Guards against connections that use up the descriptors of the machine.
#[test]
fn heads_without_an_end_stay_within_descriptors() {
    Cluster::start().check_crowd(HEAD_CROWD, |stream| {
        let text = format!("{}Filler: {}", head("POST", "/renovaciones/7"), "r".repeat(12 << 10));
        stream.write_all(text.as_bytes())
    });
}

/// Guards against headers that each cost more memory than their few bytes.
#[test]
fn heads_of_many_headers_stay_within_memory() {
    let headers: Vec<String> = (0..500).map(|number| format!("{number:x}:\r\n")).collect();
    let headers = headers.concat();
    let text = format!("{}{headers}Content-Length: 5\r\n\r\n", head("POST", "/renovaciones/7"));
    Cluster::start_with(SMALL_MACHINE_MB, MANY_DESCRIPTORS).check_crowd(HEAD_CROWD, |stream| {
        // The gateway keeps the head while it waits for the body.
        stream.write_all(text.as_bytes())
    });
}

/// Guards against memory that grows with the number of callers that don't read large responses.
#[test]
fn responses_that_are_not_read_stay_within_memory() {
    Cluster::start().check_crowd(READER_CROWD, |stream| {
        let text = format!("{}\r\n", head("GET", "/padrones/large"));
        stream.write_all(text.as_bytes())?;
        // Waits for the head of the response, so that its body is on the way.
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        stream.read_exact(&mut [0])
    });
}

/// Guards against memory that grows with the number of requests at a server whose heads have no end.
#[test]
fn heads_of_servers_without_an_end_stay_within_memory() {
    for (start, rest) in [
        ("HTTP/1.1 200 OK\r\n", "X-More: header\r\n"),
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    ] {
        let mut cluster = Cluster::start();
        cluster.add_endless_server(start, rest);
        cluster.check_crowd(READER_CROWD, |stream| {
            stream.write_all(format!("{}\r\n", head("GET", "/avisos/7")).as_bytes())?;
            stream.set_read_timeout(Some(Duration::from_secs(20)))?;
            stream.read_exact(&mut [0])
        });
    }
}

/// Guards against memory that grows with the number of callers that don't read bodies without an end, in whatever
/// framing.
#[test]
fn bodies_of_servers_without_an_end_stay_within_memory() {
    const START: &str = "HTTP/1.1 200 OK\r\nX-Ragworthub-Request-Id: r-1\r\nX-Ragworthub-Response-Signature: raw\r\n";
    for (framing, rest) in [
        ("\r\n", "body without an end "),
        ("Transfer-Encoding: chunked\r\n\r\n", "1\r\nr\r\n"),
    ] {
        let mut cluster = Cluster::start();
        cluster.add_endless_server(format!("{START}{framing}").leak(), rest);
        cluster.check_crowd(READER_CROWD, |stream| {
            stream.write_all(format!("{}\r\n", head("GET", "/avisos/7")).as_bytes())?;
            stream.set_read_timeout(Some(Duration::from_secs(20)))?;
            stream.read_exact(&mut [0])
        });
    }
}

/// Guards against memory that grows with what the store sends in place of its responses.
#[test]
fn bodies_of_the_store_without_an_end_stay_within_memory() {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let directory = TempDir::new().expect("a temporary directory");
    let calls = Arc::new(AtomicUsize::new(0));
    let calls_seen = Arc::clone(&calls);
    let store = start_raw_server(move |stream, ids| {
        if ids.next().is_none() {
            return;
        }
        let batch = "1\r\nr\r\n".repeat(4 << 10);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        while is_open {
            is_open = stream.write_all(batch.as_bytes()).is_ok();
        }
        calls_seen.fetch_add(1, Ordering::Relaxed);
    });
    let (mut gateway, ready) = start_gateway(store, &directory, MACHINE_MB, DESCRIPTORS_MAX);
    wait_for("the gateway to close connections to the store", || {
        (calls.load(Ordering::Relaxed) >= 12).then_some(())
    });
    let probe = b"GET /ready HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
    assert_eq!(exchange(ready, probe), 503);
    assert!(gateway.is_running(), "the gateway has ended");
    check_memory(&gateway, MACHINE_MB);
}
