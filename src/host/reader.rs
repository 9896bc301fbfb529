//! Follows the log and folds its records.

use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn};
use tokio::time::{Instant, sleep};

use super::Shared;
use crate::fold::{Outcome, SnapshotReader};
use crate::log::{Log, RawRecord, ReadError, STATE_STREAM};
use crate::records::decode_record;
use crate::types::Offset;

/// A quarter of the routing lease, so that three lost reads don't end it.
const READS_PER_LEASE: u32 = 4;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reads the state stream until the task is aborted.
pub(super) async fn follow_log(shared: Arc<Shared>, log: impl Log) {
    let wait = shared.settings.timing.routing_lease.0 / READS_PER_LEASE;
    loop {
        let folded = shared.state().folded;
        // The lease counts from before the question was sent.
        let asked = Instant::now();
        match log.read(STATE_STREAM, Offset(folded.0 + 1), wait).await {
            Ok(batch) => {
                fold_records(&shared, folded, &batch.records);
                shared.agreement.note_read(asked, &shared.state(), batch.next);
            }
            Err(ReadError::Expired(oldest)) => {
                info!(shared.log, "restarting from a snapshot"; "folded" => folded.0, "oldest" => oldest.0);
                if !restore_snapshot(&shared, &log, oldest).await {
                    warn!(shared.log, "no complete snapshot in the log"; "oldest" => oldest.0);
                    sleep(RETRY_PAUSE).await;
                }
            }
            Err(error) => {
                debug!(shared.log, "log read failed"; "error" => error.to_string());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Replaces the state by the newest complete snapshot in the log.
///
/// Returns whether a newer state was found.
async fn restore_snapshot(shared: &Shared, log: &impl Log, oldest: Offset) -> bool {
    let mut snapshot = SnapshotReader::new(oldest);
    let mut from = oldest;
    loop {
        let Ok(batch) = log.read(STATE_STREAM, from, Duration::ZERO).await else {
            return false;
        };
        let Some(last) = batch.records.last() else { break };
        from = Offset(last.offset.0 + 1);
        for record in &batch.records {
            if let Ok(envelope) = decode_record(&record.data) {
                snapshot.add(record.offset, &envelope);
            }
        }
    }
    let mut restored = false;
    shared.change_state(|state| restored = snapshot.restore(state));
    restored
}

/// Folds records that follow `folded`, from the log or from a peer.
pub(super) fn fold_records(shared: &Shared, folded: Offset, records: &[RawRecord]) {
    // A gap would fold later records on a state that misses earlier ones.
    let follows = records.first().is_some_and(|first| first.offset.0 <= folded.0 + 1);
    if !follows {
        return;
    }
    shared.change_state(|state| {
        let fresh = records.iter().filter(|record| record.offset > folded);
        for record in fresh {
            if record.offset.0 == state.folded.0 + 1 {
                fold_record(shared, state, record);
                shared.tail.push(record.clone());
            }
        }
    });
}

fn fold_record(shared: &Shared, state: &mut crate::fold::State, record: &RawRecord) {
    match decode_record(&record.data) {
        Ok(envelope) => {
            let outcome = state.apply(record.offset, &envelope);
            if outcome != Outcome::Applied {
                debug!(shared.log, "record not applied"; "offset" => record.offset.0, "outcome" => ?outcome);
            }
            shared.outcomes().insert(envelope.id, record.offset, outcome);
        }
        Err(error) => {
            // Every host skips the same records, so their states stay equal.
            state.skip(record.offset);
            shared.metrics.count_skipped();
            warn!(shared.log, "record skipped"; "offset" => record.offset.0, "error" => error.to_string());
        }
    }
}
