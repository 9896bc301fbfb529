//! Graceful shutdown: reports the host as not ready, drains the connections of callers and exits.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep, sleep_until};

use super::counting::save_counts;
use super::election::leave;
use super::state::Gateway;

/// Time until the load balancer no longer uses a host that isn't ready: it probes once a second and
/// removes the host after two failed probes.
const UNREADY_NOTICE_DELAY: Duration = Duration::from_millis(2_600);
/// Time reserved between the end of the drain and the forced end of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time between two checks for connections that are still open.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Waits for a signal to stop, then shuts down gracefully.
///
/// # Errors
///
/// Fails if signals can't be received.
pub(crate) async fn wait_for_stop(gateway: &Rc<Gateway>) -> Result<(), String> {
    let receive = |kind| signal(kind).map_err(|e| format!("can't install a signal handler: {e}"));
    let mut term = receive(SignalKind::terminate())?;
    let mut interrupt = receive(SignalKind::interrupt())?;
    let mut hangup = receive(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            // Settings can't change while a process runs; what may change is in the store.
            _ = hangup.recv() => info!(gateway.log, "reload"; "changed" => "nothing"),
        }
    }
    shut_down(gateway).await;
    Ok(())
}

async fn shut_down(gateway: &Rc<Gateway>) {
    let deadline = Instant::now() + gateway.bounds.stop.saturating_sub(EXIT_MARGIN);
    info!(gateway.log, "stopping"; "connections" => gateway.caller_connections.get());
    gateway.is_stopping.set(true);
    leave(gateway).await;
    sleep(UNREADY_NOTICE_DELAY).await;
    gateway.is_draining.set(true);
    gateway.drain_started.notify_waiters();
    while gateway.caller_connections.get() > 0 && Instant::now() < deadline {
        sleep_until((Instant::now() + DRAIN_POLL_PERIOD).min(deadline)).await;
    }
    gateway.counts.borrow_mut().is_final = true;
    save_counts(gateway).await;
    if gateway.caller_connections.get() > 0 {
        warn!(gateway.log, "shutdown time is over; open connections of callers are cut";
            "connections" => gateway.caller_connections.get());
    }
}
