//! Responses to callers: streamed from an upstream, or a refusal of this host.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::header::{CONNECTION, HeaderName, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use slog::warn;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

use super::attempt::SILENCE_MIN;
use super::connections::{Sender, read_keep_alive};
use super::crashes::{check_after_trial, record_heard, request_check};
use super::framing::Caller;
use super::state::Gateway;
use crate::fleet::{Fingerprint, Run, RunEnd};
use crate::memory::Reservation;
use crate::platform::REQUEST_ID;
use crate::types::{Reason, UpstreamName, Verdict};

/// Response header that tells whether the request ran.
const VERDICT: HeaderName = HeaderName::from_static("ragworthub-verdict");
/// Response header that tells why the host refused the request.
const REASON: HeaderName = HeaderName::from_static("ragworthub-reason");

/// Hop-by-hop headers, in addition to those that `Connection` names.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    TRANSFER_ENCODING,
    TE,
    TRAILER,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authenticate"),
];

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Counts an attempt as in flight at its upstream until dropped, and holds its connection.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    gateway: Rc<Gateway>,
    pub(crate) upstream: UpstreamName,
    request: HeaderValue,
    /// The run, from when the request was sent until the response is complete.
    run: Option<Run>,
    sender: Option<Sender>,
    keep_alive: Option<Duration>,
}

impl AttemptGuard {
    pub(crate) fn start(gateway: &Rc<Gateway>, upstream: &UpstreamName, request: &HeaderValue) -> Self {
        gateway.count_in_flight(Instant::now(), upstream);
        Self {
            gateway: Rc::clone(gateway),
            upstream: upstream.clone(),
            request: request.clone(),
            run: None,
            sender: None,
            keep_alive: None,
        }
    }

    /// Records that the request is sent.
    pub(crate) fn start_run(&mut self, now: Instant, request: Fingerprint) {
        let run = Run { request, sent: now };
        self.gateway.runs.borrow_mut().start(&self.upstream, run);
        self.run = Some(run);
    }

    /// Records how the run ended. Does nothing if it has ended already.
    pub(crate) fn end_run(&mut self, end: RunEnd) {
        if let Some(run) = self.run.take() {
            let now = Instant::now();
            self.gateway.runs.borrow_mut().end(now, &self.upstream, run, end);
            if end == RunEnd::Complete && self.gateway.suspects.borrow().is_blocked(run.request) {
                check_after_trial(&self.gateway, &self.upstream);
            }
        }
    }

    /// Holds the connection until the response body ends.
    pub(crate) fn hold_connection(&mut self, sender: Sender, headers: &HeaderMap) {
        self.sender = Some(sender);
        self.keep_alive = read_keep_alive(headers);
    }

    fn log_broken_body(&self, error: &BodyError) {
        warn!(self.gateway.log, "response broke off within its body; the caller's connection is closed";
            "request" => self.request.to_str().unwrap_or_default(), "upstream" => %self.upstream, "error" => %error);
    }

    /// Returns the connection to its pool for further requests.
    pub(crate) fn return_connection(&mut self) {
        if let Some(sender) = self.sender.take() {
            let now = Instant::now();
            self.gateway
                .connections
                .put_idle(now, &self.upstream, sender, self.keep_alive);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(entry) = self.gateway.fleet.borrow_mut().get_mut(&self.upstream) {
            entry.load.in_flight = entry.load.in_flight.saturating_sub(1);
            entry.health.cancel();
        }
        if let Some(run) = self.run {
            self.end_run(RunEnd::Abandoned);
            let is_silent = run.sent.elapsed() >= SILENCE_MIN
                && !self.gateway.runs.borrow().has_responded_since(&self.upstream, run.sent);
            if is_silent {
                request_check(&self.gateway, &self.upstream);
            }
        }
    }
}

/// Body of a response to a caller.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    Empty,
    /// The body that an upstream streams. An error in it closes the caller's connection, so that a
    /// truncated response never looks complete.
    Upstream {
        body: Incoming,
        guard: AttemptGuard,
        /// Ends at the request's deadline.
        timer: Pin<Box<Sleep>>,
        /// Memory that the response takes on its way; returned when the body is dropped.
        _reservation: Reservation,
    },
}

/// Body of a response on its connection, which is idle again once the body has been sent or dropped.
#[derive(Debug)]
pub(crate) struct CallerBody {
    body: ResponseBody,
    caller: Caller,
}

impl CallerBody {
    pub(crate) fn new(body: ResponseBody, caller: Caller) -> Self {
        Self { body, caller }
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        self.caller.end_request();
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Why the body of a response is incomplete.
#[derive(Debug, Display, Error)]
pub(crate) enum BodyError {
    /// upstream broke off: {0}
    Upstream(hyper::Error),
    /// deadline passed
    DeadlineExceeded,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Upstream { body, guard, timer, .. } => {
                // First, as a body without end may always have a frame ready.
                if timer.as_mut().poll(cx).is_ready() {
                    guard.log_broken_body(&BodyError::DeadlineExceeded);
                    return Poll::Ready(Some(Err(BodyError::DeadlineExceeded)));
                }
                let frame = Pin::new(&mut *body).poll_frame(cx).map_err(BodyError::Upstream);
                if matches!(frame, Poll::Ready(None))
                    || (matches!(frame, Poll::Ready(Some(Ok(_)))) && body.is_end_stream())
                {
                    record_heard(&guard.gateway, Instant::now(), &guard.upstream);
                    guard.end_run(RunEnd::Complete);
                    guard.return_connection();
                }
                if let Poll::Ready(Some(Err(error))) = &frame {
                    guard.log_broken_body(error);
                    guard.end_run(RunEnd::Broken);
                    request_check(&guard.gateway, &guard.upstream);
                }
                frame
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Upstream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Upstream { body, .. } => body.size_hint(),
        }
    }
}

/// This host's own response to a request, sent if there is no response of an upstream to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    pub(crate) verdict: Verdict,
    /// Time after which the caller may retry; only given if the request has not run.
    pub(crate) retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn not_run(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            retry_after,
        }
    }

    /// Returns the status of the reason, adjusted to the verdict: 503 guarantees that the request has not
    /// run.
    pub(crate) fn status(self) -> StatusCode {
        let status = StatusCode::from_u16(self.reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        match (self.verdict, status) {
            (Verdict::NotRun, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => StatusCode::SERVICE_UNAVAILABLE,
            (Verdict::MayHaveRun | Verdict::Ran, StatusCode::SERVICE_UNAVAILABLE) => StatusCode::BAD_GATEWAY,
            (_, status) => status,
        }
    }

    /// Reports whether the request is refused because of its body.
    pub(crate) fn is_about_body(self) -> bool {
        matches!(
            self.reason,
            Reason::BodyTooLarge | Reason::BodyIncomplete | Reason::BodyLate | Reason::MemoryFull
        )
    }

    pub(crate) fn into_response(self, id: Option<&HeaderValue>) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::Empty);
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if let Some(id) = id {
            headers.insert(REQUEST_ID, id.clone());
        }
        headers.insert(VERDICT, HeaderValue::from_static(self.verdict.as_str()));
        headers.insert(REASON, HeaderValue::from_static(self.reason.as_str()));
        if let Some(time) = self.retry_after {
            let seconds = format!("{:.3}", time.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("digits and a point form a valid header value");
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
