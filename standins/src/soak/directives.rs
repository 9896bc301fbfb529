//! Lets servers state in their responses what they take, and checks that gateways follow.

use std::time::Duration;

use tokio::time::sleep;

use super::{GATEWAY_COUNT, Harness, server_name};
use crate::server::{EventRecord, NAMED_LIMIT, PAUSE_SECONDS, ServerEvent, unix_ms};

/// Time for which the servers do so.
const PHASE: Duration = Duration::from_millis(7_500);
/// Indices of the server that names a limit, of the one that wants pauses, and of the one that leaves.
const LIMITED: usize = 0;
const PAUSING: usize = 4;
const LEAVING: usize = 5;
/// Time within which gateways follow a limit, and length of the windows in which requests are counted, in
/// milliseconds.
const STABLE_MS: u64 = 3_000;
const LIMIT_WINDOW_MS: u64 = 4_000;
/// Time in which each gateway gets a response of a server, in milliseconds.
const LEARN_MS: u64 = 1_000;
/// The default of the gateways' bound `drain`, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// Time in which requests may still be on their way to a server that wants a pause, in milliseconds.
const PAUSE_SLACK_MS: u64 = 500;
/// Number of requests of a gateway that may reach such a server in its pause.
const PAUSED_MAX: usize = 2;

/// When the servers began and ended to state what they take, in Unix milliseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct DirectivePhase {
    pub(super) start: u64,
    pub(super) end: u64,
}

impl Harness {
    /// Lets one server name a limit, one want pauses and one leave, while no other fault is injected.
    pub(super) async fn run_directive_phase(&mut self) -> Result<DirectivePhase, String> {
        for (index, fault) in [(LIMITED, "limit"), (PAUSING, "pause"), (LEAVING, "leave")] {
            self.set_server_fault(index, fault).await;
        }
        let start = unix_ms();
        sleep(PHASE).await;
        let end = unix_ms();
        for index in [LIMITED, PAUSING] {
            self.set_server_fault(index, "none").await;
        }
        self.servers[LEAVING] = None;
        self.start_server(LEAVING)?;
        Ok(DirectivePhase { start, end })
    }
}

/// Returns the requests that reached a server in a phase: the times in milliseconds since its start, and the ids.
fn find_arrivals(records: &[EventRecord], phase: DirectivePhase, index: usize) -> Vec<(u64, &str)> {
    let name = server_name(index);
    let is_inside = |record: &&EventRecord| record.server == name && (phase.start..phase.end).contains(&record.at);
    let arrivals = records
        .iter()
        .filter(is_inside)
        .filter_map(|record| match &record.event {
            ServerEvent::Run(id, _) | ServerEvent::Refuse(id) => Some((record.at - phase.start, id.as_str())),
            _ => None,
        });
    arrivals.collect()
}

/// Returns the gateway to which a caller with requests of this id is connected.
fn find_gateway(id: &str) -> Option<usize> {
    let caller: usize = id.strip_prefix('c')?.split('-').next()?.parse().ok()?;
    Some(caller % GATEWAY_COUNT)
}

/// Returns the violations of what servers stated in a phase.
pub(super) fn check_directives(records: &[EventRecord], phase: DirectivePhase) -> Vec<String> {
    let mut violations = Vec::new();
    let limited = find_arrivals(records, phase, LIMITED);
    let late: Vec<u64> = limited
        .iter()
        .map(|(at, _)| *at)
        .filter(|at| *at >= STABLE_MS)
        .collect();
    let in_window = |start: &u64| {
        late.iter()
            .filter(|at| (*start..start + LIMIT_WINDOW_MS).contains(at))
            .count()
    };
    let most = late.iter().map(in_window).max().unwrap_or_default();
    let bound = u64::from(NAMED_LIMIT) * LIMIT_WINDOW_MS / 1_000 * 3 / 2 + 5;
    if u64::try_from(most).unwrap_or(u64::MAX) > bound {
        violations.push(format!(
            "a server with a limit of {NAMED_LIMIT}/s got {most} requests in {LIMIT_WINDOW_MS} ms; allowed {bound}"
        ));
    }
    let leaving = find_arrivals(records, phase, LEAVING);
    // The first request of the phase tells a gateway, and that one the others, that the server is leaving. None may
    // have been sent before, if the gateways had no connection to the server.
    let told = leaving.iter().map(|(at, _)| *at).min().unwrap_or_default();
    let late = leaving.iter().filter(|(at, _)| *at > told + LEARN_MS + DRAIN_MS);
    let count = late.count();
    if count > 0 {
        violations.push(format!(
            "a server that is leaving got {count} requests later than {DRAIN_MS} ms after that"
        ));
    }
    let paused = find_arrivals(records, phase, PAUSING);
    // A pause starts with a refusal. A server that runs requests hasn't been told yet to refuse them.
    let refusals: Vec<&str> = records
        .iter()
        .filter_map(|record| match &record.event {
            ServerEvent::Refuse(id) => Some(id.as_str()),
            _ => None,
        })
        .collect();
    let pause = u64::from(PAUSE_SECONDS) * 1_000;
    for gateway in 0..GATEWAY_COUNT {
        let own: Vec<(u64, &str)> = paused
            .iter()
            .copied()
            .filter(|(_, id)| find_gateway(id) == Some(gateway))
            .collect();
        let in_pause = |refused: &u64| {
            let window = refused + PAUSE_SLACK_MS..refused + pause;
            own.iter().filter(|(at, _)| window.contains(at)).count()
        };
        let refused = own.iter().filter(|(_, id)| refusals.contains(id));
        let most = refused.map(|(at, _)| in_pause(at)).max().unwrap_or_default();
        if most > PAUSED_MAX {
            violations.push(format!(
                "a server that wanted a pause got {most} requests of gateway {gateway} in it"
            ));
        }
    }
    violations
}
