//! Follows the log and folds its records.

use std::sync::Arc;
use std::time::Duration;

use slog::{debug, warn};
use tokio::time::sleep;

use super::Shared;
use crate::fold::Outcome;
use crate::log::{Batch, Log, RawRecord, ReadError, STATE_STREAM};
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
        let from = Offset(shared.state().folded.0 + 1);
        match log.read(STATE_STREAM, from, wait).await {
            Ok(batch) => fold_batch(&shared, &batch),
            Err(error) => {
                if error == ReadError::Expired {
                    warn!(shared.log, "log no longer keeps the next record"; "offset" => from.0);
                }
                debug!(shared.log, "log read failed"; "error" => error.to_string());
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn fold_batch(shared: &Shared, batch: &Batch) {
    if batch.records.is_empty() {
        return;
    }
    shared.change_state(|state| {
        for record in &batch.records {
            fold_record(shared, state, record);
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
