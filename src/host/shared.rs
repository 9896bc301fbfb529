//! State that the tasks of a host share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use slog::Logger;
use tokio::sync::watch;

use super::proposal::Outcomes;
use crate::exchange::Connector;
use crate::fold::State;
use crate::settings::Settings;
use crate::telemetry::Metrics;
use crate::types::{Incarnation, Offset};

/// What all tasks of a host see.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) connector: Connector,
    state: RwLock<State>,
    outcomes: Mutex<Outcomes>,
    /// Offset of the last folded record; tasks that wait for a change subscribe to it.
    pub(crate) folded: watch::Sender<Offset>,
    draining: AtomicBool,
    requests: watch::Sender<u32>,
}

impl Shared {
    pub(crate) fn new(settings: Settings, log: Logger) -> Self {
        Self {
            settings,
            incarnation: draw_incarnation(),
            log,
            metrics: Metrics::new(),
            connector: Connector::default(),
            state: RwLock::default(),
            outcomes: Mutex::default(),
            folded: watch::Sender::new(Offset(0)),
            draining: AtomicBool::new(false),
            requests: watch::Sender::new(0),
        }
    }

    /// Reads the agreed state; held only for look-ups, never across a wait.
    pub(crate) fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn outcomes(&self) -> MutexGuard<'_, Outcomes> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the agreed state and wakes the tasks that wait for it.
    pub(crate) fn change_state(&self, change: impl FnOnce(&mut State)) {
        let mut state: RwLockWriteGuard<'_, State> = self.state.write().unwrap_or_else(PoisonError::into_inner);
        change(&mut state);
        let folded = state.folded;
        drop(state);
        self.metrics.set_folded(folded.0);
        self.folded.send_replace(folded);
    }

    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Tells whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.state().tables_version.offset != Offset(0)
    }

    /// Counts a caller's request until the value is dropped.
    pub(crate) fn enter_request(self: &Arc<Self>) -> InFlight {
        self.requests.send_modify(|n| *n += 1);
        InFlight(Arc::clone(self))
    }

    pub(crate) fn in_flight(&self) -> u32 {
        *self.requests.borrow()
    }

    pub(crate) async fn wait_until_idle(&self) {
        self.requests.subscribe().wait_for(|&n| n == 0).await.ok();
    }
}

/// A caller's request in progress.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.requests.send_modify(|n| *n -= 1);
    }
}

/// Draws the number of this run of the process; a later run must not repeat it.
fn draw_incarnation() -> Incarnation {
    let (high, _) = uuid::Uuid::new_v4().as_u64_pair();
    Incarnation(high)
}
