//! Appends records and finds out what became of them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::Shared;
use crate::fold::Outcome;
use crate::log::{AppendError, Log, STATE_STREAM};
use crate::records::{Envelope, encode_record};
use crate::types::{Offset, RecordId};

/// Outcomes that a host remembers, so that an operator can ask again after a lost answer.
const OUTCOMES_KEPT: usize = 4096;
/// Pause before a record whose append failed is appended again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Outcomes of the newest records by their ids.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    by_id: BTreeMap<RecordId, (Offset, Outcome)>,
    order: VecDeque<RecordId>,
}

impl Outcomes {
    /// Remembers an outcome; the first one for an id stays, as later ones are repetitions.
    pub(crate) fn insert(&mut self, id: RecordId, offset: Offset, outcome: Outcome) {
        if self.by_id.contains_key(&id) {
            return;
        }
        self.by_id.insert(id, (offset, outcome));
        self.order.push_back(id);
        if self.order.len() > OUTCOMES_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }

    pub(crate) fn find(&self, id: RecordId) -> Option<(Offset, Outcome)> {
        self.by_id.get(&id).cloned()
    }
}

/// What became of a proposed record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Proposal {
    /// The record is in the log, and every host folds it alike.
    Folded { offset: Offset, outcome: Outcome },
    /// The log refused the record; it has no effect.
    Refused(String),
    /// It is not known whether the record is in the log.
    Unknown(String),
}

/// Appends a record and waits until this host has folded it.
///
/// An append whose answer was lost is repeated with the same id, which is safe: the record names
/// its base, so at most one copy applies.
pub(crate) async fn propose(shared: &Shared, log: &impl Log, envelope: &Envelope, limit: Duration) -> Proposal {
    let text = match encode_record(envelope) {
        Ok(text) => text,
        Err(error) => return Proposal::Refused(error.to_string()),
    };
    let deadline = Instant::now() + limit;
    let mut folded = shared.folded.subscribe();
    loop {
        let error = match timeout_at(deadline, log.append(STATE_STREAM, text.clone())).await {
            Ok(Ok(offset)) => {
                let wait = timeout_at(deadline, folded.wait_for(|&f| f >= offset)).await;
                if matches!(wait, Ok(Ok(_))) {
                    return find_proposal(shared, envelope.id).unwrap_or(Proposal::Unknown("outcome forgotten".into()));
                }
                "the host did not read the record back in time".to_owned()
            }
            Ok(Err(AppendError::Refused(why))) => return Proposal::Refused(why),
            Ok(Err(AppendError::Unknown(why))) => why,
            Err(_) => "timeout".to_owned(),
        };
        sleep(RETRY_PAUSE.min(deadline.saturating_duration_since(Instant::now()))).await;
        if let Some(found) = find_proposal(shared, envelope.id) {
            return found;
        }
        if Instant::now() >= deadline {
            return Proposal::Unknown(error);
        }
    }
}

/// Looks up a record that this host has folded.
pub(crate) fn find_proposal(shared: &Shared, id: RecordId) -> Option<Proposal> {
    shared
        .outcomes()
        .find(id)
        .map(|(offset, outcome)| Proposal::Folded { offset, outcome })
}
