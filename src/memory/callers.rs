//! Which connection of a caller is closed when there is no room for a further one.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Time after which the head of a request counts as late. Callers send a head at once.
const HEAD_TIME: Duration = Duration::from_secs(1);
/// Time without progress after which a body or a response counts as stalled. It covers two retransmissions of a lost
/// packet.
const STALL_TIME: Duration = Duration::from_secs(2);

/// What a connection of a caller is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerState {
    /// It waits for its next request.
    Idle,
    /// The head of a request arrives, or the first one is awaited.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request is being served or answered.
    Serving,
}

/// Progress of a connection of a caller.
#[derive(Debug)]
pub(crate) struct Progress {
    state: Cell<CallerState>,
    /// Start of the state; in the state `Body` the arrival of the last bytes.
    since: Cell<Instant>,
    /// Since when the caller reads nothing, while a response is being written.
    unread_since: Cell<Option<Instant>>,
    /// Wakes the task of the connection to close it.
    close: Notify,
}

impl Progress {
    fn new(now: Instant) -> Self {
        Self {
            state: Cell::new(CallerState::Head),
            since: Cell::new(now),
            unread_since: Cell::default(),
            close: Notify::new(),
        }
    }

    pub(crate) fn state(&self) -> CallerState {
        self.state.get()
    }

    pub(crate) fn set_state(&self, now: Instant, state: CallerState) {
        self.state.set(state);
        self.since.set(now);
    }

    /// Records that bytes arrived.
    pub(crate) fn record_read(&self, now: Instant) {
        match self.state.get() {
            CallerState::Idle => self.set_state(now, CallerState::Head),
            CallerState::Body => self.since.set(now),
            CallerState::Head | CallerState::Serving => {}
        }
    }

    /// Records whether a write has to wait for the caller to read.
    pub(crate) fn record_write(&self, now: Instant, is_blocked: bool) {
        let since = self.unread_since.get().unwrap_or(now);
        self.unread_since.set(is_blocked.then_some(since));
    }

    /// Waits until the connection has to close.
    pub(crate) async fn wait_for_close(&self) {
        self.close.notified().await;
    }

    /// Returns the order in which connections are closed for want of room, with the time that they have been in their
    /// state; `None` if the connection stays. Late heads come first, because no caller inside the limits sends them.
    fn rank(&self, now: Instant) -> Option<(u8, Duration)> {
        let time = now.saturating_duration_since(self.since.get());
        let unread = self
            .unread_since
            .get()
            .map(|since| now.saturating_duration_since(since));
        match (self.state.get(), unread) {
            (CallerState::Head, _) if time >= HEAD_TIME => Some((3, time)),
            (CallerState::Idle, None) => Some((2, time)),
            (CallerState::Body, _) if time >= STALL_TIME => Some((1, time)),
            (_, Some(unread)) if unread >= STALL_TIME => Some((0, unread)),
            _ => None,
        }
    }
}

/// Open connections of callers.
#[derive(Debug, Default)]
pub(crate) struct CallerTable {
    next: u64,
    /// Number of open connections, including those that have been told to close.
    open: usize,
    entries: BTreeMap<u64, Rc<Progress>>,
}

impl CallerTable {
    /// Returns the number of open connections.
    pub(crate) fn open_count(&self) -> usize {
        self.open
    }

    /// Adds a connection and returns its number.
    pub(crate) fn add(&mut self, now: Instant) -> (u64, Rc<Progress>) {
        let progress = Rc::new(Progress::new(now));
        self.next += 1;
        self.open += 1;
        self.entries.insert(self.next, Rc::clone(&progress));
        (self.next, progress)
    }

    /// Reports whether a connection is in the table.
    #[cfg(test)]
    pub(crate) fn contains(&self, number: u64) -> bool {
        self.entries.contains_key(&number)
    }

    /// Removes a connection that has closed.
    pub(crate) fn remove(&mut self, number: u64) {
        self.open = self.open.saturating_sub(1);
        self.entries.remove(&number);
    }

    /// Tells the task of the connection that is to be closed first to close it. Returns false if there is none.
    pub(crate) fn close_one(&mut self, now: Instant) -> bool {
        let ranked = self
            .entries
            .iter()
            .filter_map(|(number, progress)| progress.rank(now).map(|rank| (rank, *number)));
        let Some((_, number)) = ranked.max() else {
            return false;
        };
        if let Some(progress) = self.entries.remove(&number) {
            progress.close.notify_one();
        }
        true
    }

    /// Closes the connection whose caller has read nothing of its response for the longest time, if that is long.
    pub(crate) fn close_unread(&mut self, now: Instant) -> bool {
        let unread = self
            .entries
            .iter()
            .filter_map(|(number, progress)| Some((progress.unread_since.get()?, *number)));
        let Some((_, number)) = unread.min().filter(|(since, _)| now >= *since + STALL_TIME) else {
            return false;
        };
        if let Some(progress) = self.entries.remove(&number) {
            progress.close.notify_one();
        }
        true
    }
}
