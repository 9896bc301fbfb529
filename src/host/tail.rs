//! Keeps the newest records of the log for peers that can't read it.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use crate::log::RawRecord;
use crate::types::Offset;

/// Records that are kept; a peer that has missed more waits for the log.
const KEPT: usize = 1024;
/// Bytes of records in one answer, below the largest message.
const ANSWER_MAX: usize = 4 << 20;

/// The newest folded records.
#[derive(Debug, Default)]
pub(crate) struct Tail {
    records: Mutex<VecDeque<RawRecord>>,
}

impl Tail {
    /// Adds a record that was just folded.
    pub(super) fn push(&self, record: RawRecord) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push_back(record);
        if records.len() > KEPT {
            records.pop_front();
        }
    }

    /// Gives the records that follow an offset, or none if some of them are no longer kept.
    pub(super) fn since(&self, folded: Offset) -> Vec<RawRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if records.front().is_none_or(|first| first.offset.0 > folded.0 + 1) {
            return Vec::new();
        }
        let mut bytes = 0;
        let missed = records.iter().filter(|record| record.offset > folded);
        let fits = |record: &&RawRecord| {
            bytes += record.data.len();
            bytes <= ANSWER_MAX
        };
        missed.take_while(fits).cloned().collect()
    }
}
