//! Requests in flight that a move may have to abort.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use tokio_util::sync::CancellationToken;

use crate::ownership::PassId;

/// Requests in flight to owners of keys.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    tokens: Mutex<BTreeMap<PassId, CancellationToken>>,
}

impl Flights {
    /// Adds a request; the token tells it to end at once.
    pub(crate) fn add(&self, id: PassId) -> CancellationToken {
        let token = CancellationToken::new();
        self.tokens
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id, token.clone());
        token
    }

    pub(crate) fn find(&self, id: PassId) -> Option<CancellationToken> {
        self.tokens
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&id)
            .cloned()
    }

    pub(crate) fn remove(&self, id: PassId) {
        self.tokens.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
    }

    /// Tells a request to end at once.
    pub(super) fn abort(&self, id: PassId) {
        if let Some(token) = self.tokens.lock().unwrap_or_else(PoisonError::into_inner).get(&id) {
            token.cancel();
        }
    }
}
