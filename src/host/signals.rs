//! Signals that stop the process.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics if the process can't install a signal handler.
pub(super) async fn wait_for_stop() {
    let mut terminate = signal(SignalKind::terminate()).expect("a handler for SIGTERM");
    let mut interrupt = signal(SignalKind::interrupt()).expect("a handler for SIGINT");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
