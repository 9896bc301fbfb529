//! Wiring of an entry host: shared state, tasks, graceful shutdown.

mod agreement;
mod counting;
mod credits;
mod flights;
mod host_list;
mod peer_side;
mod planner;
mod policies;
mod proposal;
mod reader;
mod registry;
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
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::control::start_operators;
use crate::entry::start_entry;
use crate::log::HttpLog;
use crate::peer::serve_peers;
use crate::settings::Settings;
use crate::telemetry::build_logger;

use peer_side::PeerSide;

pub(crate) use counting::ReleaseSignal;
pub(crate) use credits::{Slot, acquire_alone, acquire_slot, eject_upstream, tell_incarnation};
pub(crate) use proposal::{Proposal, find_proposal, propose};
pub(crate) use registry::{WonClaim, claim_key};
pub(crate) use shared::{InFlight, Shared};
pub(crate) use suspicion::{WatchedRun, note_restart, wait_for_standing};
pub(crate) use upstream_calls::CallEnd;

/// Longest wait of a planned stop for the log to take the last counters; holders have them too.
const COUNTS_LIMIT: Duration = Duration::from_secs(5);

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
    let mut tasks = JoinSet::new();
    tasks.spawn(reader::follow_log(Arc::clone(&shared), platform.clone()));
    tasks.spawn(agreement::run_agreement(Arc::clone(&shared), platform.clone()));
    tasks.spawn(registry::keep_register(Arc::clone(&shared)));
    tasks.spawn(counting::replicate_counts(Arc::clone(&shared)));
    tasks.spawn(counting::follow_counts(Arc::clone(&shared), platform.clone()));
    tasks.spawn(counting::write_counts(Arc::clone(&shared), platform.clone()));
    if let Some(hosts) = shared.settings.platform.hosts {
        tasks.spawn(host_list::follow_hosts(Arc::clone(&shared), hosts));
    }
    signals::wait_for_stop().await;
    stop(&shared, &log).await;
    server.close().await.ok();
    let counted = timeout(COUNTS_LIMIT, counting::end_counts(&shared, &platform)).await;
    info!(log, "counts written"; "complete" => counted == Ok(true));
    tasks.abort_all();
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
    let drained = timeout(shared.settings.timing.shutdown.0, async {
        shared.wait_until_idle().await;
        hand_over_credits(shared).await;
    });
    tokio::select! {
        result = drained => info!(log, "drained"; "complete" => result.is_ok()),
        () = signals::wait_for_stop() => info!(log, "second signal, not waiting"),
    }
}
