//! The gateway process, which serves callers' requests from upstreams and follows the store.
//!
//! All tasks run on one thread. The decisions are made in [`crate::fleet`], [`crate::keys`] and
//! [`crate::budget`]; the tasks in this module provide the input and carry out the decisions.

mod answer;
mod attempt;
mod body;
mod callers;
mod choose;
mod connect;
mod connections;
mod counting;
mod crashes;
mod directives;
mod election;
mod feed;
mod framing;
mod grants;
mod links;
mod orders;
mod outbound;
mod peers;
mod rejections;
mod request;
mod speeds;
mod state;
mod stop;
mod support;
mod tenancy;
mod tunnels;
mod watch;

#[cfg(test)]
mod tests;

use std::rc::Rc;

use slog::{Logger, info};
use tokio::task::{LocalSet, spawn_local};

pub(crate) use connect::{CallError, Endpoint};

use crate::settings::Settings;
use state::Gateway;

/// Runs the gateway until a signal stops it.
///
/// # Errors
///
/// Fails with a description if the gateway can't start, for instance because it can't listen on an
/// address of its settings.
pub(crate) fn run_gateway(settings: Settings, log: &Logger) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("can't start the runtime: {e}"))?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(run(settings, log)))
}

async fn run(settings: Settings, log: &Logger) -> Result<(), String> {
    info!(log, "start"; "zone" => %settings.zone, "callers" => %settings.listen.callers,
        "store" => %settings.store, "version" => env!("CARGO_PKG_VERSION"));
    let gateway = Rc::new(Gateway::new(settings, log.clone()));
    let listeners = callers::listen(&gateway).await?;
    watch::start_watches(&gateway);
    peers::start_peers(&gateway).await?;
    crashes::start_crash_watch(&gateway);
    grants::start_grants(&gateway);
    tenancy::start_tenancy(&gateway);
    spawn_local(links::watch_links(Rc::clone(&gateway)));
    spawn_local(speeds::share_speeds(Rc::clone(&gateway)));
    counting::start_saving(&gateway);
    callers::start_callers(&gateway, listeners);
    stop::wait_for_stop(&gateway).await?;
    info!(log, "stopped");
    Ok(())
}
