//! Sends one request to one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::answer::{AnswerBody, AnswerGuard};
use super::connection::{ConnectError, ConnectLimits, Connection, Connections, Connector};
use super::forward::{BodyError, ForwardBody};
use crate::types::{Reason, UpstreamName, Verdict};

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) upstream: UpstreamName,
    pub(crate) address: SocketAddr,
    pub(crate) limits: ConnectLimits,
    /// A connection that has been idle for long may carry the request.
    pub(crate) idempotent: bool,
}

/// Why an attempt got no answer.
#[derive(Debug)]
pub(crate) struct Failure<G> {
    pub(crate) verdict: Verdict,
    pub(crate) reason: Reason,
    /// The request, if nothing of it has left.
    pub(crate) request: Option<Request<ForwardBody>>,
    pub(crate) guard: G,
    /// The connection may have gone silent; a probe on a new one tells.
    pub(crate) probe: bool,
    /// Age of the connection that was used.
    pub(crate) age: Duration,
}

/// Sends a request and waits for the head of the answer until the deadline.
///
/// # Errors
///
/// Fails with the verdict `NotRun` only if no byte of the request has left.
pub(crate) async fn run_attempt<G: AnswerGuard>(
    connector: &Connector,
    target: &Target,
    mut request: Request<ForwardBody>,
    deadline: Instant,
    guard: G,
) -> Result<Response<AnswerBody<G>>, Failure<G>> {
    let connections = connector.connections(&target.upstream);
    let mut pooled = connections.take_idle(Instant::now(), &target.limits, target.idempotent);
    loop {
        let from_pool = pooled.is_some();
        let mut connection = match pooled.take() {
            Some(connection) => connection,
            None => match open(&connections, target, deadline).await {
                Ok(connection) => connection,
                Err(reason) => {
                    let request = Some(request);
                    return Err(Failure {
                        verdict: Verdict::NotRun,
                        reason,
                        request,
                        guard,
                        probe: false,
                        age: Duration::ZERO,
                    });
                }
            },
        };
        let started = Instant::now();
        let opened = connection.opened;
        match send(&mut connection, request, deadline).await {
            Ok(head) => {
                connections.note_answer(connection.id(), Instant::now());
                let (parts, incoming) = head.into_parts();
                let body = AnswerBody::new(incoming, guard, connections, connection);
                return Ok(Response::from_parts(parts, body));
            }
            // The upstream closed an idle connection before the request was written.
            Err(SendError::Unsent(unsent)) if from_pool => request = *unsent,
            Err(SendError::Unsent(unsent)) => {
                let (verdict, reason) = (Verdict::NotRun, Reason::ConnectionLost);
                return Err(Failure {
                    verdict,
                    reason,
                    request: Some(*unsent),
                    guard,
                    probe: false,
                    age: opened.elapsed(),
                });
            }
            Err(SendError::Sent(reason)) => {
                let verdict = Verdict::MayHaveRun;
                let late = reason == Reason::DeadlineExceeded;
                let probe = late && connections.note_timeout(connection.id(), started, Instant::now());
                return Err(Failure {
                    verdict,
                    reason,
                    request: None,
                    guard,
                    probe,
                    age: opened.elapsed(),
                });
            }
        }
    }
}

async fn open(connections: &Arc<Connections>, target: &Target, deadline: Instant) -> Result<Connection, Reason> {
    match timeout_at(deadline, connections.open(target.address, &target.limits)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(ConnectError::Budget)) => connections.take_any().ok_or(Reason::QueueFull),
        Ok(Err(ConnectError::Io)) => Err(Reason::ConnectFailed),
        Err(_) => Err(Reason::QueueTimeout),
    }
}

enum SendError {
    Unsent(Box<Request<ForwardBody>>),
    Sent(Reason),
}

async fn send(
    connection: &mut Connection,
    request: Request<ForwardBody>,
    deadline: Instant,
) -> Result<Response<Incoming>, SendError> {
    if timeout_at(deadline, connection.sender.ready())
        .await
        .is_ok_and(|ready| ready.is_err())
    {
        return Err(SendError::Unsent(Box::new(request)));
    }
    connection.reset.store(true, Ordering::Release);
    match timeout_at(deadline, connection.sender.try_send_request(request)).await {
        Err(_) => Err(SendError::Sent(Reason::DeadlineExceeded)),
        Ok(Ok(head)) => Ok(head),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => Err(SendError::Unsent(Box::new(request))),
            None => Err(SendError::Sent(explain(error.error()))),
        },
    }
}

fn explain(error: &hyper::Error) -> Reason {
    if error.is_parse() || error.is_parse_too_large() {
        return Reason::BadAnswer;
    }
    let cause = std::error::Error::source(error).and_then(|e| e.downcast_ref::<BodyError>());
    match cause {
        Some(BodyError::TooLarge(_)) => Reason::BodyTooLarge,
        Some(BodyError::Incomplete(_)) => Reason::BodyIncomplete,
        None => Reason::ConnectionLost,
    }
}
