//! Wiring of an entry host: shared state, tasks, graceful shutdown.

mod agreement;
mod credits;
mod flights;
mod peer_side;
mod planner;
mod policies;
mod proposal;
mod reader;
mod shared;
mod signals;
mod suspicion;
mod tail;
mod upstream_calls;

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use slog::{Logger, info};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::control::start_operators;
use crate::entry::start_entry;
use crate::log::HttpLog;
use crate::peer::serve_peers;
use crate::settings::Settings;
use crate::telemetry::build_logger;

use peer_side::PeerSide;

pub(crate) use credits::{Slot, acquire_alone, acquire_slot, tell_incarnation};
pub(crate) use proposal::{Proposal, find_proposal, propose};
pub(crate) use shared::{InFlight, Shared};
pub(crate) use suspicion::{WatchedRun, note_restart, wait_for_standing};
pub(crate) use upstream_calls::CallEnd;

/// Why a host can't run.
#[derive(Debug, Display, Error)]
pub(crate) enum HostError {
    /// can't listen for peers: {0}
    Peers(std::io::Error),
    /// can't listen for callers: {0}
    Callers(String),
    /// can't listen for operators: {0}
    Operators(String),
}

/// Runs an entry host until it is told to stop.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub(crate) async fn run_host(settings: Settings) -> Result<(), HostError> {
    let log = build_logger(settings.host.as_str());
    let listener = TcpListener::bind(settings.listen.peers)
        .await
        .map_err(HostError::Peers)?;
    let peers = listener.local_addr().map_err(HostError::Peers)?;
    let shared = Arc::new(Shared::new(settings, log.clone(), peers));
    serve_peers(
        listener,
        shared.settings.credentials.peers.clone(),
        Arc::new(PeerSide(Arc::clone(&shared))),
    );
    let platform = HttpLog::new(shared.settings.platform.log);
    let server = start_entry(&shared).map_err(HostError::Callers)?;
    let operators = start_operators(&shared, &platform).map_err(HostError::Operators)?;
    info!(log, "listening"; "callers" => server.local_addr().to_string(),
        "operators" => operators.local_addr().to_string(), "peers" => peers.to_string());
    let reader = tokio::spawn(reader::follow_log(Arc::clone(&shared), platform.clone()));
    let agreement = tokio::spawn(agreement::run_agreement(Arc::clone(&shared), platform));
    signals::wait_for_stop().await;
    stop(&shared, &log).await;
    reader.abort();
    agreement.abort();
    server.close().await.ok();
    operators.close().await.ok();
    info!(log, "stopped");
    Ok(())
}

/// Longest wait at a stop until other hosts are home of this host's upstreams; without that wait
/// they first have to notice the loss, and requests for these upstreams wait about 2 s.
const HANDOVER_LIMIT: Duration = Duration::from_secs(2);
/// Time between two checks of the handover.
const HANDOVER_CHECK: Duration = Duration::from_millis(20);

/// Waits until other hosts lend the slots of the upstreams whose home this host is.
async fn hand_over_credits(shared: &Shared) {
    let has_peers = shared.state().membership.members.len() > 1;
    let end = Instant::now() + HANDOVER_LIMIT;
    while has_peers && shared.credits.runs_broker() && Instant::now() < end {
        sleep(HANDOVER_CHECK).await;
    }
    if has_peers {
        // The new homes ask what this host holds, and would wait 500 ms for a missing answer.
        sleep(shared.settings.timing.heartbeat.0).await;
    }
}

/// Refuses new work and waits for requests in flight, up to the limit of the settings.
async fn stop(shared: &Shared, log: &Logger) {
    shared.start_draining();
    info!(log, "draining"; "in_flight" => shared.in_flight());
    let drained = tokio::time::timeout(shared.settings.timing.shutdown.0, async {
        shared.wait_until_idle().await;
        hand_over_credits(shared).await;
    });
    tokio::select! {
        result = drained => info!(log, "drained"; "complete" => result.is_ok()),
        () = signals::wait_for_stop() => info!(log, "second signal, not waiting"),
    }
}
