//! Wiring of an entry host: shared state, tasks, graceful shutdown.

mod leader;
mod proposal;
mod reader;
mod shared;
mod signals;

use std::sync::Arc;

use displaydoc::Display;
use slog::{Logger, info};
use thiserror::Error;

use crate::control::start_operators;
use crate::entry::start_entry;
use crate::log::HttpLog;
use crate::settings::Settings;
use crate::telemetry::build_logger;

pub(crate) use proposal::{Proposal, find_proposal, propose};
pub(crate) use shared::{InFlight, Shared};

/// Why a host can't run.
#[derive(Debug, Display, Error)]
pub(crate) enum HostError {
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
    let shared = Arc::new(Shared::new(settings, log.clone()));
    let platform = HttpLog::new(shared.settings.platform.log);
    let server = start_entry(&shared).map_err(HostError::Callers)?;
    let operators = start_operators(&shared, &platform).map_err(HostError::Operators)?;
    info!(log, "listening"; "callers" => server.local_addr().to_string(),
        "operators" => operators.local_addr().to_string());
    let reader = tokio::spawn(reader::follow_log(Arc::clone(&shared), platform.clone()));
    let leader = tokio::spawn(leader::lead(Arc::clone(&shared), platform));
    signals::wait_for_stop().await;
    stop(&shared, &log).await;
    reader.abort();
    leader.abort();
    server.close().await.ok();
    operators.close().await.ok();
    info!(log, "stopped");
    Ok(())
}

/// Refuses new work and waits for requests in flight, up to the limit of the settings.
async fn stop(shared: &Shared, log: &Logger) {
    shared.start_draining();
    info!(log, "draining"; "in_flight" => shared.in_flight());
    let drained = tokio::time::timeout(shared.settings.timing.shutdown.0, shared.wait_until_idle());
    tokio::select! {
        result = drained => info!(log, "drained"; "complete" => result.is_ok()),
        () = signals::wait_for_stop() => info!(log, "second signal, not waiting"),
    }
}
