//! Requests that crash every server that runs them.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use standins::server::{EventRecord, ServerEvent, unix_ms};

use tempfile::TempDir;

use super::Cluster;

const SERVERS: usize = 8;
const GATEWAYS: usize = 3;
/// Pause between two of the requests that crash servers.
const CRASH_PERIOD: Duration = Duration::from_millis(700);
/// Time for which these requests are sent.
const CRASH_TIME: Duration = Duration::from_secs(16);
/// Time for which a server is gone after it ended.
const RESTART_MS: u64 = 3_000;
/// Time after the third crash in which the gateways may still learn that a request crashes servers.
const STABLE_MS: u64 = 3_000;
/// Number of times that such a request may reach servers after that time.
const LATE_MAX: usize = 3;

/// Pause between two other requests to a gateway.
const LOAD_PERIOD: Duration = Duration::from_millis(40);

/// Requests that crash servers, as the servers logged them: time in Unix milliseconds and server.
type Arrivals = Vec<(u64, String)>;

/// Sends requests for one path that crash servers to the gateways in turn, and restarts servers some time
/// after they ended.
fn crash_servers(mode: &str) -> Arrivals {
    let directory = TempDir::new().expect("a temporary directory");
    let log = directory.path().join("events");
    let log_name = log.display().to_string();
    let flags = ["--crash", mode, "--record", &log_name, "--work-ms", "20"];
    let mut cluster = Cluster::start_with(GATEWAYS, SERVERS, &flags);
    let first = cluster.servers.len() - SERVERS;
    let crashing = cluster.servers.split_off(first);
    let mut crashing: Vec<_> = crashing.into_iter().map(|(name, server)| (name, server, 0)).collect();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let (cluster, is_over) = (&cluster, &is_over);
        let others: Vec<_> = (0..GATEWAYS)
            .map(|gateway| scope.spawn(move || cluster.send_load(gateway, 0, LOAD_PERIOD, is_over)))
            .collect();
        let start = Instant::now();
        for number in 0.. {
            if start.elapsed() >= CRASH_TIME {
                break;
            }
            let gateway = number % GATEWAYS;
            scope.spawn(move || cluster.call(gateway, "GET", "/flotas/crash", &format!("poison-{number}"), None));
            std::thread::sleep(CRASH_PERIOD);
            let arrivals = read_arrivals(&log);
            for (name, server, started) in &mut crashing {
                let crash = arrivals.iter().find(|(at, reached)| reached == name && at >= started);
                if crash.is_some_and(|(at, _)| unix_ms() > at + RESTART_MS) {
                    server.kill();
                    *started = unix_ms();
                    *server = cluster.spawn_server("renovaciones", name, &flags);
                }
            }
        }
        is_over.store(true, Ordering::Relaxed);
        let served: usize = others
            .into_iter()
            .map(|other| other.join().expect("a load thread"))
            .sum();
        assert!(served > 0, "no other request was served");
    });
    read_arrivals(&log)
}

/// Returns when requests that crash servers reached servers, and which ones.
fn read_arrivals(log: &Path) -> Arrivals {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let records = text
        .lines()
        .filter_map(|line| serde_json::from_str::<EventRecord>(line).ok());
    let is_crash = |record: &EventRecord| matches!(&record.event, ServerEvent::Run(id, _) if id.starts_with("poison"));
    records
        .filter(is_crash)
        .map(|record| (record.at, record.server))
        .collect()
}

/// Checks that requests which crash servers reach few servers once three have ended.
fn check_blocked(mode: &str) {
    let arrivals = crash_servers(mode);
    let mut crashed = BTreeSet::new();
    let third = arrivals
        .iter()
        .find(|(_, server)| crashed.insert(server) && crashed.len() == 3);
    let (third, _) = third.expect("three servers crash");
    let late: Vec<_> = arrivals.iter().filter(|(at, _)| *at > third + STABLE_MS).collect();
    println!("{mode}: {} arrivals, {} late", arrivals.len(), late.len());
    assert!(
        late.len() <= LATE_MAX,
        "{mode}: {} arrivals, {} too late: {late:?}",
        arrivals.len(),
        late.len()
    );
}

/// Guards against a request that goes on ending servers whose process exits under it.
#[test]
fn request_under_which_servers_exit_is_blocked() {
    check_blocked("exit");
}

/// Guards against a request that goes on ending servers which fall silent and accept connections.
#[test]
fn request_under_which_servers_hang_is_blocked() {
    check_blocked("hang");
}

/// Guards against a request that goes on ending servers which fall silent and refuse connections.
#[test]
fn request_under_which_servers_hang_and_refuse_connections_is_blocked() {
    check_blocked("hang-refusing");
}

/// Guards against a request that goes on ending servers after the head of its response.
#[test]
fn request_under_which_servers_end_after_the_head_is_blocked() {
    check_blocked("after-head");
}

/// Guards against a request that goes on ending servers right after its complete response.
#[test]
fn request_under_which_servers_end_after_the_response_is_blocked() {
    check_blocked("after-response");
}
