//! Graceful shutdown: reports the host as not ready, drains the connections of callers and exits.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::counting::save_counts;
use super::election::leave;
use super::state::Gateway;

/// Time until the load balancer no longer uses a host that isn't ready: it probes once a second and
/// removes the host after two failed probes.
const UNREADY_NOTICE_DELAY: Duration = Duration::from_millis(2_600);
/// Time reserved before the forced end of the process, for responses of this host and the last save of the counts.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);
/// Time reserved for the last save of the counts.
const SAVE_MARGIN: Duration = Duration::from_millis(500);
/// Time reserved between the end of the process and its forced end.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Time by which an upstream has to respond before this host does: a response takes some time to arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);
/// Time that a request may need, as a multiple of the typical latency of its route.
const LATENCY_FACTOR: u32 = 3;
/// Time between two checks for connections that are still open.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// When the steps of a shutdown are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShutdownSchedule {
    /// Callers' connections close after the request in progress.
    drain_start: Instant,
    /// Requests that have no response yet get one of this host.
    answers_end: Instant,
    /// The counts are saved, even if responses are still being sent.
    save_start: Instant,
    /// The process ends.
    exit: Instant,
}

impl ShutdownSchedule {
    /// Plans a shutdown that starts now and has to end within a time.
    pub(crate) fn new(now: Instant, time: Duration) -> Self {
        let answers_end = now + time.saturating_sub(ANSWER_MARGIN);
        Self {
            drain_start: (now + UNREADY_NOTICE_DELAY).min(answers_end),
            answers_end,
            save_start: now + time.saturating_sub(SAVE_MARGIN),
            exit: now + time.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Reports whether a request of a route with this typical latency may still be sent to an upstream: its response
    /// is expected before the process ends.
    pub(crate) fn admits(&self, now: Instant, typical: Duration) -> bool {
        now + typical * LATENCY_FACTOR <= self.response_deadline()
    }

    /// Returns the time until which upstreams may work on requests, so that their responses can be forwarded.
    pub(crate) fn response_deadline(&self) -> Instant {
        self.answers_end - RESPONSE_MARGIN
    }
}

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
    let schedule = ShutdownSchedule::new(Instant::now(), gateway.bounds.stop);
    info!(gateway.log, "stopping"; "connections" => gateway.caller_connections.get());
    gateway.shutdown.set(Some(schedule));
    gateway.is_stopping.set(true);
    // Not waited for: while the store doesn't respond, it would delay the drain.
    let state = Rc::clone(gateway);
    spawn_local(async move { leave(&state).await });
    sleep_until(schedule.drain_start).await;
    gateway.is_draining.set(true);
    gateway.drain_started.notify_waiters();
    wait_until_drained(gateway, schedule.answers_end).await;
    if gateway.caller_connections.get() > 0 {
        info!(gateway.log, "shutdown time is nearly over; requests without a response get one of this host";
            "connections" => gateway.caller_connections.get());
        gateway.answers_ended.set(true);
        gateway.answers_due.notify_waiters();
        wait_until_drained(gateway, schedule.save_start).await;
    }
    gateway.counts.borrow_mut().is_final = true;
    if timeout_at(schedule.exit, save_counts(gateway)).await.is_err() {
        warn!(
            gateway.log,
            "counts not saved: the store didn't respond before the end of the shutdown time"
        );
    }
    if gateway.caller_connections.get() > 0 {
        warn!(gateway.log, "shutdown time is over; open connections of callers are cut";
            "connections" => gateway.caller_connections.get());
    }
}

/// Waits until callers have no open connections, at most until `end`.
async fn wait_until_drained(gateway: &Gateway, end: Instant) {
    while gateway.caller_connections.get() > 0 && Instant::now() < end {
        sleep_until((Instant::now() + DRAIN_POLL_PERIOD).min(end)).await;
    }
}
