//! Accompanies an attempt from its start to the end of the answer.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use super::call::Call;
use super::counted::Counted;
use crate::admission::{Outcome, Sample};
use crate::choice::RunEnd;
use crate::exchange::{AnswerGuard, Ended};
use crate::host::{InFlight, Shared, Slot, WatchedRun, eject_upstream};
use crate::ownership::Pass;
use crate::types::{Incarnation, PoolName, RouteName, UpstreamName, Verdict};

/// What an attempt holds until it has ended.
pub(super) struct Delivery {
    shared: Arc<Shared>,
    pool: PoolName,
    route: RouteName,
    upstream: UpstreamName,
    started: Instant,
    /// An outcome was noted.
    answered: bool,
    held: Option<Held>,
    counted: Option<Counted>,
    aborted: Option<Pin<Box<WaitForCancellationFutureOwned>>>,
    _request: Arc<InFlight>,
}

/// What is given back as soon as the upstream is done.
struct Held {
    slot: Slot,
    run: WatchedRun,
    pass: Option<Pass>,
}

impl Delivery {
    pub(super) fn start(shared: &Arc<Shared>, call: &Call, slot: Slot, run: WatchedRun, pass: Option<Pass>) -> Self {
        let upstream = slot.upstream().clone();
        let token: Option<CancellationToken> = pass.as_ref().map(|pass| shared.flights.add(pass.id));
        shared.policies.start_attempt(call.pool_name(), &upstream);
        shared.metrics.change_in_flight(&upstream, 1);
        Self {
            shared: Arc::clone(shared),
            pool: call.pool_name().clone(),
            route: call.route().name.clone(),
            upstream,
            started: Instant::now(),
            answered: false,
            held: Some(Held { slot, run, pass }),
            counted: None,
            aborted: token.map(|token| Box::pin(token.cancelled_owned())),
            _request: Arc::clone(&call.request),
        }
    }

    /// Waits until the attempt has to end because its key moves.
    pub(super) fn aborted(&self) -> Option<CancellationToken> {
        let pass = self.held.as_ref()?.pass.as_ref()?;
        self.shared.flights.find(pass.id)
    }

    /// Hands over the count of the request, whose answer this attempt delivers.
    pub(super) fn set_counted(&mut self, mut counted: Counted) {
        if self.held.is_none() {
            // An answer without content was complete with its head.
            counted.finish();
        }
        self.counted = Some(counted);
    }

    /// Notes the head of an answer to a request that has run.
    pub(super) fn note_head(&mut self, incarnation: Option<Incarnation>, age: Duration) {
        self.note_outcome(Outcome::Answered, incarnation, age);
        if let Some(held) = &mut self.held {
            held.run.set_end(RunEnd::Completed);
        }
    }

    /// Notes that the upstream refused the request, which proves nothing about a suspect.
    pub(super) fn note_refusal(&mut self, outcome: Outcome, incarnation: Option<Incarnation>, age: Duration) {
        self.note_outcome(outcome, incarnation, age);
    }

    /// Notes that the attempt ended without an answer.
    pub(super) fn note_failure(&mut self, outcome: Outcome, end: RunEnd, age: Duration) {
        self.note_outcome(outcome, None, age);
        if let Some(held) = &mut self.held {
            held.run.set_end(end);
        }
    }

    fn note_outcome(&mut self, outcome: Outcome, incarnation: Option<Incarnation>, age: Duration) {
        let now = Instant::now();
        let latency = now - self.started;
        self.answered = true;
        let ejected = self
            .shared
            .policies
            .note_outcome(&self.pool, &self.upstream, outcome, latency, now);
        if let Some(until) = ejected {
            eject_upstream(&self.shared, &self.upstream, until);
        }
        if outcome == Outcome::Answered {
            self.shared.metrics.observe_latency(&self.upstream, latency);
        }
        if let Some(held) = &mut self.held {
            held.slot.set_sample(Sample {
                outcome,
                latency,
                connection_age: age,
                incarnation,
            });
        }
    }

    fn give_back(&mut self) {
        let Some(held) = self.held.take() else { return };
        if let Some(pass) = &held.pass {
            self.shared.agreement.with_gate(|gate| gate.end(pass));
            self.shared.flights.remove(pass.id);
        }
        let now = Instant::now();
        let unanswered = (!self.answered).then(|| now - self.started);
        self.shared
            .policies
            .end_attempt(&self.pool, &self.upstream, unanswered, now);
        self.shared.metrics.change_in_flight(&self.upstream, -1);
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.give_back();
    }
}

impl AnswerGuard for Delivery {
    fn poll_release(&mut self, context: &mut Context<'_>) -> Poll<()> {
        match &mut self.counted {
            Some(counted) => counted.poll_release(context),
            None => Poll::Ready(()),
        }
    }

    fn poll_abort(&mut self, context: &mut Context<'_>) -> Poll<()> {
        match &mut self.aborted {
            Some(aborted) => aborted.as_mut().poll(context),
            None => Poll::Pending,
        }
    }

    fn upstream_done(&mut self) {
        self.aborted = None;
        self.give_back();
        if let Some(counted) = &mut self.counted {
            counted.finish();
        }
    }

    fn finish(&mut self, ended: Ended) {
        if ended == Ended::Truncated {
            self.note_failure(Outcome::Reset, RunEnd::Broken, self.started.elapsed());
        }
        if let Some(counted) = &mut self.counted {
            counted.end(ended == Ended::Whole);
        }
        self.shared.metrics.count_request(&self.route, Verdict::Ran);
    }
}
