//! Counts requests, keeps copies at peers, and writes the counts stream.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use slog::{debug, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};

use super::Shared;
use crate::counts::{
    Batch, CountKey, CountsBody, CountsEnvelope, CountsState, HoldAnswer, Holder, Ledger, Period, Release, Report,
    Ticket, decode_counts, encode_counts,
};
use crate::fold::State;
use crate::log::{COUNTS_STREAM, Log, RawRecord, ReadError};
use crate::types::{Caller, Instance, Offset, RecordId, RouteName, Verdict, Zone};

/// Longest time that changes wait for others in the same batch.
const BATCH_WAIT: Duration = Duration::from_millis(1);
/// Time between two looks at what is due without a change.
const IDLE_WAIT: Duration = Duration::from_millis(50);
/// Time between two looks at the log's side of the counts.
const LOG_TICK: Duration = Duration::from_millis(250);
/// Wait of a read of the counts stream, which is not urgent.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Pause after a failed read.
const READ_RETRY: Duration = Duration::from_millis(500);
/// Time for which the last counters of an evicted instance may come before they count as missing.
const ORPHAN_TIME: Duration = Duration::from_mins(1);

/// Counters of this host, copies of others, and the folded counts stream.
#[derive(Debug)]
pub(crate) struct Counting {
    tables: Mutex<Tables>,
    changed: Notify,
}

#[derive(Debug)]
struct Tables {
    ledger: Ledger,
    holder: Holder,
    counts: CountsState,
    /// Offset of the newest state of which the log holds a snapshot.
    snapshot: Offset,
    /// Last closed period whose rows were dropped.
    dropped: Period,
    membership: Offset,
    waiting: Vec<(Ticket, oneshot::Sender<()>)>,
}

/// Waits until the end of an answer may be released; an error means that it may.
pub(crate) type ReleaseSignal = oneshot::Receiver<()>;

impl Counting {
    pub(crate) fn new(me: &Instance, zone: Zone, now: Instant) -> Self {
        let tables = Tables {
            ledger: Ledger::new(me.clone(), zone, Period::MIN, SystemTime::now(), now),
            holder: Holder::new(me.clone()),
            counts: CountsState::default(),
            snapshot: Offset(0),
            dropped: Period::MIN,
            membership: Offset(0),
            waiting: Vec::new(),
        };
        Self {
            tables: Mutex::new(tables),
            changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the counts stream knows this run of the host, so that it may count.
    pub(crate) fn is_running(&self, me: &Instance) -> bool {
        self.lock().counts.is_running(me)
    }

    /// Counts an admitted request.
    pub(crate) fn admit(&self, caller: &Caller, route: &RouteName) -> CountKey {
        self.lock().ledger.admit(caller, route, SystemTime::now())
    }

    /// Counts the end of a request whose answer is not delivered as a whole.
    pub(crate) fn finish_undelivered(&self, key: &CountKey, verdict: Verdict) {
        self.lock().ledger.finish(key, verdict, false, Instant::now());
        self.changed.notify_one();
    }

    /// Counts the end of a request whose answer is delivered as soon as the signal comes.
    pub(crate) fn finish(&self, key: &CountKey, verdict: Verdict) -> ReleaseSignal {
        let (sender, receiver) = oneshot::channel();
        let mut tables = self.lock();
        let ticket = tables.ledger.finish(key, verdict, true, Instant::now());
        tables.waiting.push((ticket, sender));
        drop(tables);
        self.changed.notify_one();
        receiver
    }

    /// Counts an answer whose end could not be written to its caller.
    pub(crate) fn unconfirm(&self, key: &CountKey) {
        self.lock().ledger.unconfirm(key);
        self.changed.notify_one();
    }

    /// Keeps the counters of another instance.
    pub(super) fn hold(&self, batch: &Batch) -> HoldAnswer {
        self.lock().holder.hold(batch, Instant::now())
    }

    /// Counts of a period, for all callers or one.
    pub(crate) fn report(&self, period: Period, caller: Option<&Caller>) -> Report {
        self.lock().counts.report(period, caller)
    }
}

impl Tables {
    fn follow_members(&mut self, state: &State, now: Instant) {
        if self.membership != state.membership.version.offset {
            self.membership = state.membership.version.offset;
            self.ledger.set_members(&state.membership);
            self.holder.set_members(&state.membership, now);
        }
        self.holder.drop_stale(now);
    }

    /// Drops the rows of periods that were closed since the last call.
    fn drop_closed(&mut self) {
        let closed = self.counts.closed();
        if closed > self.dropped {
            self.dropped = closed;
            self.ledger.drop_periods(closed);
            self.holder.drop_periods(closed);
        }
    }

    /// Releases the answers whose counts are safe.
    fn release(&mut self, now: Instant) {
        let ledger = &mut self.ledger;
        let ready = |(ticket, _): &mut (Ticket, _)| match ledger.check_release(ticket, now) {
            Release::Wait { .. } => false,
            Release::Durable | Release::Exposed => true,
        };
        for (_, sender) in self.waiting.extract_if(.., ready) {
            sender.send(()).ok();
        }
    }
}

/// Sends changes to the holders until the task is aborted.
pub(super) async fn replicate_counts(shared: Arc<Shared>) {
    loop {
        if timeout(IDLE_WAIT, shared.counting.changed.notified()).await.is_ok() {
            sleep(BATCH_WAIT).await;
        }
        let now = Instant::now();
        let batches = {
            let state = shared.state();
            let mut tables = shared.counting.lock();
            tables.follow_members(&state, now);
            tables.release(now);
            tables.ledger.batches(now)
        };
        for (to, batch) in batches {
            tokio::spawn(send_batch(Arc::clone(&shared), to, batch));
        }
    }
}

async fn send_batch(shared: Arc<Shared>, to: Instance, batch: Batch) {
    if let Ok(answer) = shared.peers.hold_counts(&to.host, batch).await {
        let now = Instant::now();
        let mut tables = shared.counting.lock();
        tables.ledger.acknowledge(&to, answer, now);
        tables.release(now);
    }
}

/// Folds the counts stream until the task is aborted.
pub(super) async fn follow_counts(shared: Arc<Shared>, log: impl Log) {
    loop {
        let folded = shared.counting.lock().counts.folded;
        match log.read(COUNTS_STREAM, Offset(folded.0 + 1), READ_WAIT).await {
            Ok(batch) => {
                let mut tables = shared.counting.lock();
                for record in &batch.records {
                    fold_record(&shared, &mut tables, record);
                }
                tables.drop_closed();
            }
            Err(ReadError::Expired(oldest)) => {
                if !restore_snapshot(&shared, &log, oldest).await {
                    warn!(shared.log, "no complete snapshot of the counts"; "oldest" => oldest.0);
                    sleep(READ_RETRY).await;
                }
            }
            Err(error) => {
                debug!(shared.log, "counts read failed"; "error" => error.to_string());
                sleep(READ_RETRY).await;
            }
        }
    }
}

/// Replaces the folded counts by the newest complete snapshot in the log.
///
/// Returns whether a newer state was found.
async fn restore_snapshot(shared: &Shared, log: &impl Log, oldest: Offset) -> bool {
    let mut snapshots: BTreeMap<Offset, Vec<CountsBody>> = BTreeMap::new();
    let mut from = oldest;
    loop {
        let Ok(batch) = log.read(COUNTS_STREAM, from, Duration::ZERO).await else {
            return false;
        };
        let Some(last) = batch.records.last() else { break };
        from = Offset(last.offset.0 + 1);
        for record in &batch.records {
            if let Ok(CountsEnvelope { body, .. }) = decode_counts(&record.data)
                && let CountsBody::Snapshot { through, .. } = body
            {
                snapshots.entry(through).or_default().push(body);
            }
        }
    }
    // The records after a snapshot must still be there.
    let mut usable = snapshots
        .into_iter()
        .rev()
        .filter(|(through, _)| through.0 + 1 >= oldest.0);
    let newest = usable.find_map(|(_, parts)| CountsState::restore(&parts).ok());
    let mut tables = shared.counting.lock();
    let newer = newest.filter(|state| state.folded > tables.counts.folded);
    let found = newer.is_some();
    if let Some(state) = newer {
        tables.counts = state;
    }
    found
}

fn fold_record(shared: &Shared, tables: &mut Tables, record: &RawRecord) {
    let counts = &mut tables.counts;
    match decode_counts(&record.data) {
        Ok(envelope) => {
            counts.apply(record.offset, &envelope.body);
            if let CountsBody::Snapshot { through, .. } = envelope.body {
                tables.snapshot = tables.snapshot.max(through);
            }
        }
        Err(error) => {
            counts.skip(record.offset);
            shared.metrics.count_skipped();
            warn!(shared.log, "counts record skipped"; "offset" => record.offset.0, "error" => error.to_string());
        }
    }
}

/// Writes this host's counters, those of lost hosts and, as leader, the ends of periods.
pub(super) async fn write_counts(shared: Arc<Shared>, log: impl Log) {
    let mut started = false;
    let mut orphans = Vec::new();
    loop {
        sleep(LOG_TICK).await;
        if !shared.counting.is_running(&shared.me) {
            let start = shared.counting.lock().ledger.start_record();
            started = started || append(&shared, &log, start).await;
            if started {
                // The record is in the log; the reader folds it next.
                sleep(READ_RETRY).await;
                started = false;
            }
            continue;
        }
        flush(&shared, &log).await;
        write_endings(&shared, &log).await;
        if shared.leads() {
            close_counts(&shared, &log, &mut orphans).await;
            write_snapshot(&shared, &log).await;
        }
    }
}

async fn flush(shared: &Shared, log: &impl Log) {
    let now = Instant::now();
    let records = {
        let mut tables = shared.counting.lock();
        if !tables.ledger.is_flush_due(now) {
            return;
        }
        tables.ledger.flush(SystemTime::now(), now)
    };
    write_records(shared, log, records).await;
}

/// Appends the records of a flush in order and notes them if all are in the log.
async fn write_records(shared: &Shared, log: &impl Log, records: Vec<CountsBody>) -> bool {
    for record in &records {
        if !append(shared, log, record.clone()).await {
            return false;
        }
    }
    let now = Instant::now();
    let mut tables = shared.counting.lock();
    tables.ledger.note_flushed(&records, now);
    tables.release(now);
    true
}

async fn write_endings(shared: &Shared, log: &impl Log) {
    let endings = shared.counting.lock().holder.endings(SystemTime::now());
    for (instance, records) in endings {
        let mut complete = true;
        for record in records {
            complete = complete && append(shared, log, record).await;
        }
        if complete {
            shared.counting.lock().holder.forget(&instance);
        }
    }
}

async fn close_counts(shared: &Shared, log: &impl Log, orphans: &mut Vec<(Instance, Instant)>) {
    let now = Instant::now();
    let wall = SystemTime::now();
    let (lost, due) = {
        let state = shared.state();
        let tables = shared.counting.lock();
        (tables.counts.orphans(&state.membership), tables.counts.due_close(wall))
    };
    orphans.retain(|(instance, _)| lost.contains(instance));
    for instance in lost {
        if !orphans.iter().any(|(known, _)| *known == instance) {
            orphans.push((instance, now));
        }
    }
    for (instance, _) in orphans.iter().filter(|(_, since)| now >= *since + ORPHAN_TIME) {
        let record = CountsBody::Missing {
            instance: instance.clone(),
            period: Period::of(wall),
        };
        append(shared, log, record).await;
    }
    if let Some(period) = due {
        append(shared, log, CountsBody::Close { period }).await;
    }
}

/// Writes the folded counts again before the log drops the records that they come from.
async fn write_snapshot(shared: &Shared, log: &impl Log) {
    let retention = shared.settings.platform.retention_records;
    let parts = {
        let tables = shared.counting.lock();
        if tables.counts.folded.0 - tables.snapshot.0 < retention / 2 {
            return;
        }
        tables.counts.take_snapshot()
    };
    for part in parts {
        if !append(shared, log, part).await {
            return;
        }
    }
}

/// Writes the last counters of this host before a planned stop ends.
pub(super) async fn end_counts(shared: &Shared, log: &impl Log) -> bool {
    let records = shared.counting.lock().ledger.end(SystemTime::now());
    write_records(shared, log, records).await
}

async fn append(shared: &Shared, log: &impl Log, body: CountsBody) -> bool {
    let envelope = CountsEnvelope {
        id: RecordId::draw(),
        author: shared.me.host.to_string(),
        body,
    };
    let text = match encode_counts(&envelope) {
        Ok(text) => text,
        Err(error) => {
            warn!(shared.log, "counts record not written"; "error" => error.to_string());
            return false;
        }
    };
    // A record whose answer was lost is appended again; the counters are maxima.
    log.append(COUNTS_STREAM, text).await.is_ok()
}
