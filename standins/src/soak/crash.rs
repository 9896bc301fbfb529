//! Sends requests that crash every server that runs them, and checks that gateways stop forwarding them.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::load::{connect, send};
use super::{GATEWAY_COUNT, Harness, SERVERS_PER_SERVICE, read_events, server_name};
use crate::server::{EventRecord, ServerEvent, unix_ms};

/// Prefix of the ids of these requests.
pub(super) const CRASH_ID: &str = "crash-";
/// Number of these requests.
const REQUESTS: usize = 14;
const PERIOD: Duration = Duration::from_millis(700);
/// Time after which a server that has ended is started again, in milliseconds.
const RESTART_MS: u64 = 1_000;
/// Time after the third crash in which gateways may still learn that a request crashes servers, in
/// milliseconds.
const STABLE_MS: u64 = 3_000;
/// Number of times that the request may reach servers after that time.
const LATE_MAX: usize = 3;

impl Harness {
    /// Sends one path that crashes servers to the gateways in turn, while no other fault is injected.
    pub(super) async fn send_crash_requests(&mut self) -> Result<(), String> {
        let mut started: BTreeMap<usize, u64> = BTreeMap::new();
        for number in 0..REQUESTS {
            let gateway = self.caller_addresses[number % GATEWAY_COUNT];
            tokio::spawn(async move {
                if let Some(mut client) = connect(gateway).await {
                    let id = format!("{CRASH_ID}{number}");
                    // The response doesn't matter; the log of the servers shows where the request ran.
                    let _ = timeout(
                        Duration::from_secs(3),
                        send(&mut client, &id, "GET", "/flotas/crash", 0),
                    )
                    .await;
                }
            });
            sleep(PERIOD).await;
            let arrivals = find_arrivals(&read_events(&self.event_log)?);
            for index in SERVERS_PER_SERVICE..SERVERS_PER_SERVICE * 2 {
                let since = started.get(&index).copied().unwrap_or_default();
                let name = server_name(index);
                let crash = arrivals.iter().find(|(at, server)| *server == name && *at >= since);
                if crash.is_some_and(|(at, _)| unix_ms() > at + RESTART_MS) {
                    self.servers[index] = None;
                    started.insert(index, unix_ms());
                    self.start_server(index)?;
                }
            }
        }
        Ok(())
    }
}

/// Returns when requests that crash servers reached a server, and which one.
fn find_arrivals(records: &[EventRecord]) -> Vec<(u64, String)> {
    let is_crash = |record: &&EventRecord| matches!(&record.event, ServerEvent::Run(id, _) if id.starts_with(CRASH_ID));
    let arrivals = records.iter().filter(is_crash);
    arrivals.map(|record| (record.at, record.server.clone())).collect()
}

/// Returns a violation if such requests went on reaching servers after they had crashed three.
pub(super) fn check_crashes(records: &[EventRecord]) -> Vec<String> {
    let arrivals = find_arrivals(records);
    let mut ended: BTreeMap<&str, u64> = BTreeMap::new();
    let mut crashes = Vec::new();
    for (at, server) in &arrivals {
        // A server is back after RESTART_MS; until then it has not ended once more.
        if ended.get(server.as_str()).is_none_or(|end| *at > end + RESTART_MS) {
            ended.insert(server, *at);
            crashes.push(*at);
        }
    }
    let Some(third) = crashes.get(2) else {
        return Vec::new();
    };
    let late = arrivals.iter().filter(|(at, _)| *at > third + STABLE_MS).count();
    if late <= LATE_MAX {
        return Vec::new();
    }
    vec![format!(
        "a request that had crashed 3 servers reached servers {late} times more, later than {STABLE_MS} ms after that"
    )]
}
