//! Counts a request from its admission to the end of its answer.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use crate::counts::CountKey;
use crate::host::{ReleaseSignal, Shared};
use crate::types::Verdict;

use super::call::Call;

/// A counted request. Dropped before its end, it counts with what is known by then.
pub(super) struct Counted {
    shared: Arc<Shared>,
    key: CountKey,
    /// Verdict if the request ended now.
    verdict: Verdict,
    stage: Stage,
}

enum Stage {
    Open,
    /// The count of the complete answer is on its way to a holder.
    Releasing(ReleaseSignal),
    Released,
    Ended,
}

impl Counted {
    pub(super) fn admit(shared: &Arc<Shared>, call: &Call) -> Self {
        let key = shared.counting.admit(&call.caller, &call.route().name);
        Self {
            shared: Arc::clone(shared),
            key,
            verdict: Verdict::NotRun,
            stage: Stage::Open,
        }
    }

    /// Sets the verdict that counts if the request ended now.
    pub(super) fn set_verdict(&mut self, verdict: Verdict) {
        self.verdict = verdict;
    }

    /// Counts the request with its verdict; its answer is delivered after the release.
    pub(super) fn finish(&mut self) {
        if matches!(self.stage, Stage::Open) {
            self.stage = Stage::Releasing(self.shared.counting.finish(&self.key, self.verdict));
        }
    }

    /// Tells whether the end of the answer may be delivered.
    pub(super) fn poll_release(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Stage::Releasing(signal) = &mut self.stage {
            if Pin::new(signal).poll(context).is_pending() {
                return Poll::Pending;
            }
            self.stage = Stage::Released;
        }
        Poll::Ready(())
    }

    /// Waits until the end of the answer may be delivered.
    pub(super) async fn release(&mut self) {
        std::future::poll_fn(|context| self.poll_release(context)).await;
    }

    /// Notes whether the end of the answer was delivered.
    pub(super) fn end(&mut self, delivered: bool) {
        match std::mem::replace(&mut self.stage, Stage::Ended) {
            Stage::Open => self.shared.counting.finish_undelivered(&self.key, self.verdict),
            Stage::Releasing(_) | Stage::Released if !delivered => self.shared.counting.unconfirm(&self.key),
            Stage::Releasing(_) | Stage::Released | Stage::Ended => {}
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.end(false);
    }
}
