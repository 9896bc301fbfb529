//! The answer's body on its way to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::Instant;

use super::connection::{Connection, Connections};

/// Bytes of an undelivered answer that are read to keep its connection; more costs less to close.
const DRAIN_MAX: usize = 64 << 10;

/// Why an answer's body ends early.
#[derive(Debug, Display, Error)]
pub(crate) enum AnswerError {
    /// the upstream's connection broke: {0}
    Upstream(hyper::Error),
    /// the key moved to another owner before the answer was complete
    Aborted,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    /// The caller got all of it.
    Whole,
    /// The upstream's connection broke; the caller's is aborted, so that it can tell.
    Truncated,
    /// The caller left before the end.
    Abandoned,
}

/// Accompanies an answer until its end.
pub(crate) trait AnswerGuard: Send + Sync + Unpin + 'static {
    /// Tells when the end of the answer may be delivered.
    fn poll_release(&mut self, context: &mut Context<'_>) -> Poll<()>;

    /// Tells when the answer has to end although the upstream is not done.
    fn poll_abort(&mut self, context: &mut Context<'_>) -> Poll<()>;

    /// Hears that the upstream has sent everything; its slot is free.
    fn upstream_done(&mut self);

    /// Hears how the answer ended; called once.
    fn finish(&mut self, ended: Ended);
}

/// A body that holds its last bytes until its guard releases them.
#[derive(Debug)]
pub(crate) struct AnswerBody<G: AnswerGuard> {
    incoming: Incoming,
    guard: G,
    connections: Arc<Connections>,
    connection: Option<Connection>,
    opened: Instant,
    last: Option<Frame<Bytes>>,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Streaming,
    /// The upstream is done, and the guard has not yet released the end.
    Holding,
    Released,
    Ended,
}

impl<G: AnswerGuard> AnswerBody<G> {
    pub(super) fn new(incoming: Incoming, guard: G, connections: Arc<Connections>, connection: Connection) -> Self {
        Self {
            incoming,
            guard,
            connections,
            opened: connection.opened,
            connection: Some(connection),
            last: None,
            stage: Stage::Streaming,
        }
    }

    pub(crate) fn guard(&mut self) -> &mut G {
        &mut self.guard
    }

    /// Age of the connection that brings the answer.
    pub(crate) fn connection_age(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Reads the rest of an answer that is not delivered, up to [`DRAIN_MAX`].
    pub(crate) async fn drain(&mut self) {
        let mut left = DRAIN_MAX;
        while self.stage == Stage::Streaming {
            match self.incoming.frame().await {
                Some(Ok(frame)) if frame.data_ref().map_or(0, Bytes::len) <= left => {
                    left -= frame.data_ref().map_or(0, Bytes::len);
                }
                Some(_) => return,
                None => self.finish_upstream(),
            }
        }
    }

    /// Waits until the end may be delivered, if the answer has no content.
    ///
    /// Without content the head is the end, and nothing after it could be held.
    pub(crate) async fn hold_head(&mut self) {
        // Not earlier: the guard gives its slot back with what it has heard of the head.
        if self.stage == Stage::Streaming && self.incoming.is_end_stream() {
            self.finish_upstream();
        }
        if self.stage == Stage::Holding {
            std::future::poll_fn(|context| self.guard.poll_release(context)).await;
            self.finish(Ended::Whole);
        }
    }

    fn finish_upstream(&mut self) {
        self.stage = Stage::Holding;
        self.guard.upstream_done();
        if let Some(connection) = self.connection.take() {
            connection.reset.store(false, Ordering::Release);
            self.connections.put_back(connection, Instant::now());
        }
    }

    fn finish(&mut self, ended: Ended) {
        if self.stage != Stage::Ended {
            self.stage = Stage::Ended;
            self.guard.finish(ended);
        }
    }
}

impl<G: AnswerGuard> Body for AnswerBody<G> {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let this = self.get_mut();
        if this.stage == Stage::Streaming {
            if this.guard.poll_abort(context).is_ready() {
                this.finish(Ended::Truncated);
                return Poll::Ready(Some(Err(AnswerError::Aborted)));
            }
            match ready!(Pin::new(&mut this.incoming).poll_frame(context)) {
                Some(Ok(frame)) => {
                    if !this.incoming.is_end_stream() {
                        return Poll::Ready(Some(Ok(frame)));
                    }
                    this.last = Some(frame);
                    this.finish_upstream();
                }
                Some(Err(error)) => {
                    this.finish(Ended::Truncated);
                    return Poll::Ready(Some(Err(AnswerError::Upstream(error))));
                }
                None => this.finish_upstream(),
            }
        }
        if this.stage == Stage::Holding {
            ready!(this.guard.poll_release(context));
            this.stage = Stage::Released;
        }
        if let Some(frame) = this.last.take() {
            return Poll::Ready(Some(Ok(frame)));
        }
        this.finish(Ended::Whole);
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.stage == Stage::Ended
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.last.as_ref().and_then(Frame::data_ref).map_or(0, Bytes::len) as u64;
        match self.incoming.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(rest + held),
            None => SizeHint::default(),
        }
    }
}

impl<G: AnswerGuard> Drop for AnswerBody<G> {
    fn drop(&mut self) {
        // A server that knows the length stops polling after the last byte.
        let delivered = self.stage == Stage::Released && self.last.is_none();
        self.finish(if delivered { Ended::Whole } else { Ended::Abandoned });
    }
}
