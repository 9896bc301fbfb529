//! A planned stop: no new connections, all requests in progress answered, then the end.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep, sleep_until};

use super::counting::save_counts;
use super::election::leave;
use super::state::Gateway;

/// Time in which the balancer notices that the host isn't ready; it asks once a second and takes
/// the host out after two misses.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time kept free before the forced end of the process.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Time between two looks at the connections that are left.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Waits for the signal to stop, and stops.
///
/// # Errors
///
/// Fails if signals can't be received.
pub(crate) async fn wait_for_stop(gateway: &Rc<Gateway>) -> Result<(), String> {
    let receive = |kind| signal(kind).map_err(|e| format!("can't receive signals: {e}"));
    let mut term = receive(SignalKind::terminate())?;
    let mut interrupt = receive(SignalKind::interrupt())?;
    let mut hangup = receive(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            // Settings hold for the life of a process; what may change is in the store.
            _ = hangup.recv() => info!(gateway.log, "reload"; "changed" => "nothing"),
        }
    }
    stop(gateway).await;
    Ok(())
}

async fn stop(gateway: &Rc<Gateway>) {
    let ends = Instant::now() + gateway.bounds.stop.saturating_sub(END_MARGIN);
    info!(gateway.log, "stopping"; "connections" => gateway.caller_connections.get());
    gateway.is_stopping.set(true);
    leave(gateway).await;
    sleep(NOTICE_TIME).await;
    gateway.is_draining.set(true);
    gateway.drain_started.notify_waiters();
    while gateway.caller_connections.get() > 0 && Instant::now() < ends {
        sleep_until((Instant::now() + LOOK_PERIOD).min(ends)).await;
    }
    gateway.counts.borrow_mut().is_final = true;
    save_counts(gateway).await;
    if gateway.caller_connections.get() > 0 {
        warn!(gateway.log, "connections cut at the end"; "connections" => gateway.caller_connections.get());
    }
}
