//! State that the tasks of a host share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use slog::Logger;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::Instant;

use super::agreement::Agreement;
use super::counting::Counting;
use super::credits::{Credits, ReportQueue};
use super::flights::Flights;
use super::policies::Policies;
use super::proposal::Outcomes;
use super::registry::Registry;
use super::suspicion::Suspicion;
use super::tail::Tail;
use super::upstream_calls::UpstreamCalls;
use crate::exchange::Connector;
use crate::fold::State;
use crate::peer::Peers;
use crate::settings::Settings;
use crate::telemetry::Metrics;
use crate::types::{Incarnation, Instance, Offset};

/// Requests that may wait for the end of moves at once; each holds at most 64 KiB of body.
const MOVE_WAITERS: usize = 512;

/// What all tasks of a host see.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) me: Instance,
    /// Where peers reach this host.
    pub(crate) peer_address: SocketAddr,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) connector: Connector,
    pub(crate) peers: Peers,
    pub(crate) calls: UpstreamCalls,
    pub(crate) agreement: Agreement,
    pub(crate) credits: Credits,
    pub(crate) reports: ReportQueue,
    pub(crate) flights: Flights,
    pub(crate) policies: Policies,
    pub(crate) suspicion: Suspicion,
    pub(crate) registry: Registry,
    pub(crate) counting: Counting,
    pub(crate) tail: Tail,
    state: RwLock<State>,
    outcomes: Mutex<Outcomes>,
    /// Offset of the last folded record; tasks that wait for a change subscribe to it.
    pub(crate) folded: watch::Sender<Offset>,
    draining: AtomicBool,
    requests: watch::Sender<u32>,
    /// Places of requests that wait for the end of a move.
    moving: Arc<Semaphore>,
}

impl Shared {
    /// Makes the state of a host that peers reach at `peers`.
    pub(crate) fn new(settings: Settings, log: Logger, peers: SocketAddr) -> Self {
        let now = Instant::now();
        let me = Instance {
            host: settings.host.clone(),
            incarnation: draw_incarnation(),
        };
        Self {
            metrics: Metrics::new(),
            connector: Connector::default(),
            peers: Peers::new(&settings.credentials.peers),
            calls: UpstreamCalls::new(),
            agreement: Agreement::new(&settings, me.clone(), peers, now),
            reports: ReportQueue::default(),
            credits: Credits::new(me.clone(), settings.limits.queue),
            flights: Flights::default(),
            policies: Policies::new(now),
            suspicion: Suspicion::new(&me, now),
            registry: Registry::new(me.clone(), settings.limits.register_entries),
            counting: Counting::new(&me, settings.zone.clone(), now),
            tail: Tail::default(),
            settings,
            me,
            peer_address: peers,
            log,
            state: RwLock::default(),
            outcomes: Mutex::default(),
            folded: watch::Sender::new(Offset(0)),
            draining: AtomicBool::new(false),
            requests: watch::Sender::new(0),
            moving: Arc::new(Semaphore::new(MOVE_WAITERS)),
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
        self.agreement.start_draining();
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Tells whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state();
        let in_service = state.in_service(&self.settings.host, &self.settings.zone);
        let has_tables = state.tables_version.offset != Offset(0) && self.counting.is_running(&self.me);
        !self.is_draining() && has_tables && in_service && self.agreement.holds_lease(Instant::now(), &state)
    }

    /// Tells whether this host holds the newest term, as far as it has folded.
    pub(crate) fn leads(&self) -> bool {
        self.me.led_term(&self.state()).is_some()
    }

    /// Tells whether this host may route.
    pub(crate) fn holds_lease(&self) -> bool {
        self.agreement.holds_lease(Instant::now(), &self.state())
    }

    /// Counts a caller's request until the value is dropped.
    pub(crate) fn enter_request(self: &Arc<Self>) -> InFlight {
        // Waking the one task that waits at a stop costs more than the count itself.
        self.requests.send_if_modified(|n| {
            *n += 1;
            false
        });
        InFlight(Arc::clone(self))
    }

    /// Lets a request wait for the end of a move, unless too many do.
    pub(crate) fn wait_for_move(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.moving).try_acquire_owned().ok()
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
        self.0.requests.send_if_modified(|n| {
            *n -= 1;
            *n == 0
        });
    }
}

/// Gives the number of this run of the process, which must be higher than that of an earlier run.
fn draw_incarnation() -> Incarnation {
    let since = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    Incarnation(u64::try_from(since.as_micros()).unwrap_or(0))
}
