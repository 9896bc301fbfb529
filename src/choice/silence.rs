//! Detects connections that have gone silent while the upstream answers on new ones.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Idle time after which a connection carries no non-idempotent request.
const IDLE_MAX: Duration = Duration::from_secs(30);
/// Age below which a connection has proved to work by being opened.
const FRESH: Duration = Duration::from_secs(1);
/// Time in which a probe has to answer, as in the detection of a lost upstream.
const PROBE_LIMIT: Duration = Duration::from_millis(600);

/// Number of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// What the host has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SilenceStep {
    /// Opens a new connection and asks for the upstream's health on it.
    Probe,
    /// Closes the connections once their exchanges have ended, and uses them for no others.
    Retire(Vec<ConnectionId>),
    /// Counts this many timeouts against the upstream.
    Blame(u32),
    /// Counts this many timeouts as `Reason::ConnectionSilent`, and not against the upstream.
    Forgive(u32),
}

#[derive(Debug)]
struct Connection {
    opened: Instant,
    heard: Instant,
}

/// Connections of one host to one upstream.
#[derive(Debug, Default)]
pub(crate) struct Silence {
    connections: BTreeMap<ConnectionId, Connection>,
    /// Starts of the timed-out exchanges that wait for the probe.
    pending: Vec<Instant>,
    probe: Option<Instant>,
}

impl Silence {
    pub(crate) fn open(&mut self, id: ConnectionId, now: Instant) {
        let connection = Connection {
            opened: now,
            heard: now,
        };
        self.connections.insert(id, connection);
    }

    pub(crate) fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Takes an answer, or a part of one, on a connection.
    pub(crate) fn answer(&mut self, id: ConnectionId, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.heard = now;
        }
    }

    /// Tells whether a connection may carry a request.
    pub(crate) fn is_fit(&self, id: ConnectionId, idempotent: bool, now: Instant) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|c| idempotent || now.duration_since(c.heard) <= IDLE_MAX)
    }

    /// Takes the timeout of an exchange that was sent at `started`; its connection is closed.
    pub(crate) fn time_out(&mut self, id: ConnectionId, started: Instant, now: Instant) -> Vec<SilenceStep> {
        let Some(connection) = self.connections.remove(&id) else {
            return Vec::new();
        };
        let fresh = started.duration_since(connection.opened) < FRESH;
        // A connection that has answered since is not silent; the upstream is slow.
        if fresh || connection.heard > started {
            return vec![SilenceStep::Blame(1)];
        }
        self.pending.push(started);
        if self.probe.is_some() {
            return Vec::new();
        }
        self.probe = Some(now);
        vec![SilenceStep::Probe]
    }

    /// Takes the answer of the probe: every older connection that has stayed silent is retired.
    pub(crate) fn probe_answered(&mut self) -> Vec<SilenceStep> {
        let Some(probe) = self.probe.take() else {
            return Vec::new();
        };
        let timeouts = std::mem::take(&mut self.pending);
        let Some(first) = timeouts.iter().min().copied() else {
            return Vec::new();
        };
        let is_silent = |c: &Connection| c.opened < probe && c.heard <= first;
        let silent = self.connections.iter().filter(|(_, c)| is_silent(c));
        let silent: Vec<ConnectionId> = silent.map(|(id, _)| *id).collect();
        for id in &silent {
            self.connections.remove(id);
        }
        let forgiven = SilenceStep::Forgive(count(&timeouts));
        if silent.is_empty() {
            vec![forgiven]
        } else {
            vec![SilenceStep::Retire(silent), forgiven]
        }
    }

    /// Takes the failure of the probe: the timeouts count against the upstream.
    pub(crate) fn probe_failed(&mut self) -> Vec<SilenceStep> {
        self.probe = None;
        let timeouts = std::mem::take(&mut self.pending);
        if timeouts.is_empty() {
            Vec::new()
        } else {
            vec![SilenceStep::Blame(count(&timeouts))]
        }
    }

    /// Counts a probe without an answer as failed.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<SilenceStep> {
        let late = self.probe.is_some_and(|at| now.duration_since(at) >= PROBE_LIMIT);
        if late { self.probe_failed() } else { Vec::new() }
    }
}

fn count(timeouts: &[Instant]) -> u32 {
    u32::try_from(timeouts.len()).unwrap_or(u32::MAX)
}
