//! Records of the log stream `ragworthub-counts` and their JSON codec.

use super::fold::{Account, Ending, Why};
use super::{Batch, CountKey, Counters, Instance, Period};
use crate::records::{BadRecord, RECORD_MAX};
use crate::types::{Offset, RecordId, value};

value! {
    /// A record of the counts stream with the id by which its author finds it again.
    pub(crate) struct CountsEnvelope {
        pub(crate) id: RecordId,
        pub(crate) author: String,
        pub(crate) body: CountsBody,
    }

    /// What a record of the counts stream says.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub(crate) enum CountsBody {
        /// An instance is about to admit requests of a period and later ones.
        Start { instance: Instance, period: Period },
        /// Counters of an instance. `complete` is the last period that has no more changes.
        Counts { batch: Batch, complete: Option<Period>, ending: Option<Ending> },
        /// An instance left the membership in a period and no holder wrote its last counters.
        Missing { instance: Instance, period: Period },
        /// Closes a period, if all instances have written their last counters of it.
        Close { period: Period },
        /// A part of the whole state at an offset.
        Snapshot { through: Offset, part: u32, parts: u32, chunk: Box<CountsChunk> },
    }

    /// A part of a snapshot; a chunk of every list.
    #[derive(Default)]
    pub(crate) struct CountsChunk {
        pub(crate) closed: Option<Period>,
        pub(crate) accounts: Vec<(Instance, Account)>,
        pub(crate) rows: Vec<(Instance, CountKey, Counters)>,
        pub(crate) ended: Vec<(Instance, Period)>,
        pub(crate) totals: Vec<(CountKey, Counters)>,
        pub(crate) uncertain: Vec<(Period, Instance, Why)>,
    }
}

/// Writes a record as JSON.
///
/// # Errors
///
/// Fails if the record is longer than [`RECORD_MAX`].
pub(crate) fn encode_counts(envelope: &CountsEnvelope) -> Result<String, BadRecord> {
    let text = serde_json::to_string(envelope).map_err(BadRecord::Syntax)?;
    if text.len() > RECORD_MAX {
        Err(BadRecord::TooLong(text.len()))
    } else {
        Ok(text)
    }
}

/// Reads a record from JSON.
///
/// # Errors
///
/// Fails if the text is too long, is no JSON, or has unknown or missing fields. Every reader skips
/// such a record alike.
pub(crate) fn decode_counts(text: &str) -> Result<CountsEnvelope, BadRecord> {
    if text.len() > RECORD_MAX {
        return Err(BadRecord::TooLong(text.len()));
    }
    serde_json::from_str(text).map_err(BadRecord::Syntax)
}
