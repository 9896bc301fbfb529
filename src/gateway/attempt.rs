//! Makes one attempt at an upstream and classifies its outcome.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, Version};
use http_body::Body;
use hyper::body::Incoming;
use slog::warn;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::answer::{AttemptGuard, ResponseBody, strip_hop_by_hop_headers};
use super::body::BufferedBody;
use super::connect::open_stream;
use super::connections::Sender;
use super::crashes::{record_heard, request_check};
use super::directives::apply_directives;
use super::links::record_link_failure;
use super::outbound::{HEAD_MAX_BYTES, HeadTooLarge};
use super::peers::Message;
use super::request::RequestContext;
use super::speeds::{record_service_time, reported_queue_factor};
use super::state::Gateway;
use super::tunnels::open_tunnel;
use crate::fleet::{Outcome, RunEnd};
use crate::memory::{Holder, Reservation};
use crate::platform::{DEADLINE, EXPECTED_INSTANCE, NOT_EXECUTED, REQUEST_ID, SIGNATURE, read_load};
use crate::types::{Reason, UpstreamName, Verdict};

/// Timeout for opening a connection to an upstream, which usually takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which a terminated upstream may restart under its name without having announced the
/// restart.
const RESTART_WINDOW: Duration = Duration::from_secs(1);
/// Smallest time without a response after which an upstream may have ended.
pub(super) const SILENCE_MIN: Duration = Duration::from_millis(500);
/// The same as a multiple of the route's typical latency.
const SILENCE_FACTOR: u32 = 3;

/// Lowest status that is invalid because it is too high (RFC 9110, section 15); the HTTP library rejects those below 100.
const INVALID_STATUS_MIN: u16 = 600;

/// Largest memory that a response takes on its way: the read buffer of the upstream's connection, a frame of the same
/// size in transit, and the write buffer of the caller's connection.
const RESPONSE_BUFFER_BYTES: usize = 3 * HEAD_MAX_BYTES;

/// Why an attempt failed, and whether the upstream may have run the request.
pub(super) struct Failure {
    pub(super) reason: Reason,
    pub(super) verdict: Verdict,
    /// Response of the upstream, forwarded to the caller if there is no retry.
    pub(super) response: Option<Box<Response<ResponseBody>>>,
}

pub(super) type AttemptResult = Result<Response<ResponseBody>, Failure>;

/// Makes one attempt at an upstream. Returns `None` if the upstream could not be reached and
/// nothing was sent.
pub(super) async fn attempt_once(
    gateway: &Rc<Gateway>,
    ctx: &mut RequestContext,
    upstream: &UpstreamName,
) -> Option<AttemptResult> {
    let started = Instant::now();
    let queue_factor = gateway
        .fleet
        .borrow()
        .get(upstream)
        .map_or(1.0, |u| u.load.queue_factor(started));
    let mut guard = AttemptGuard::start(gateway, upstream, &ctx.id);
    ctx.is_attempting = true;
    let sent = connect_and_send(gateway, ctx, &mut guard, started).await;
    ctx.is_attempting = false;
    let Some((sender, response)) = sent else {
        ctx.unreachable.push(upstream.clone());
        return None;
    };
    ctx.tried.push(upstream.clone());
    Some(response.and_then(|response| {
        guard.hold_connection(sender, response.headers());
        // The queue that the upstream reports with its response counts if it is longer.
        let reported = read_load(response.headers()).map_or(1.0, reported_queue_factor);
        let latency = started.elapsed().div_f64(queue_factor.max(reported));
        check_response(gateway, ctx, latency, response, guard)
    }))
}

/// Sends the request over an idle connection, or over a new one if there is none or it has closed.
/// Returns `None` if nothing was sent.
async fn connect_and_send(
    gateway: &Gateway,
    ctx: &RequestContext,
    guard: &mut AttemptGuard,
    now: Instant,
) -> Option<(Sender, Result<Response<Incoming>, Failure>)> {
    let upstream = &guard.upstream.clone();
    let address = gateway.fleet.borrow().get(upstream).map(|u| u.announcement.address)?;
    let is_non_idempotent = !ctx.route.idempotency.is_retryable();
    if let Some(mut sender) = gateway.connections.take_idle(now, upstream, address, is_non_idempotent)
        && let Some(result) = send(gateway, ctx, guard, &mut sender).await
    {
        gateway.metrics.count_connection(false);
        return Some((sender, result));
    }
    let is_cut = gateway.is_cut_off();
    let stream = async {
        if is_cut {
            open_tunnel(gateway, upstream).await
        } else {
            open_stream(address, CONNECT_TIMEOUT).await
        }
    };
    match gateway.connections.open(upstream, address, stream).await {
        Ok(mut sender) => {
            gateway.metrics.count_connection(true);
            let sent = send(gateway, ctx, guard, &mut sender).await;
            if sent.is_none() {
                record_unreachable(gateway, upstream, "connection closed before the request was sent");
            }
            sent.map(|result| (sender, result))
        }
        // Another host couldn't open it either, or none can; this shows nothing of the upstream.
        Err(error) if is_cut => {
            warn!(gateway.log, "upstream not reached through another host"; "upstream" => %upstream,
                "error" => %error);
            None
        }
        Err(error) => {
            if error.kind() == ErrorKind::ConnectionRefused {
                // The upstream's process has ended; a new one starts cold.
                let cold_time = ctx
                    .catalog
                    .pools
                    .get(&ctx.pool)
                    .map_or(Duration::ZERO, |pool| pool.cold_time);
                let mut fleet = gateway.fleet.borrow_mut();
                if fleet.suspect_cold(Instant::now(), upstream, cold_time + RESTART_WINDOW) {
                    // A live upstream that has too many connections also refuses new ones. Its next
                    // announcement shows whether it restarted. Readers relay only announcements that
                    // are new to them, so they are asked to relay this one in any case.
                    gateway.outbox.send(Message::Suspect(upstream.clone()));
                }
            }
            record_unreachable(gateway, upstream, &error.to_string());
            None
        }
    }
}

fn record_unreachable(gateway: &Gateway, upstream: &UpstreamName, error: &str) {
    record_outcome(gateway, upstream, Outcome::Unreachable);
    record_link_failure(gateway, upstream);
    request_check(gateway, upstream);
    warn!(gateway.log, "upstream unreachable"; "upstream" => %upstream, "error" => error);
}

pub(super) fn record_outcome(gateway: &Gateway, upstream: &UpstreamName, outcome: Outcome) {
    let now = Instant::now();
    let mut fleet = gateway.fleet.borrow_mut();
    if fleet.get_mut(upstream).is_some_and(|u| u.health.record(now, outcome)) {
        warn!(gateway.log, "upstream left out"; "upstream" => %upstream, "outcome" => ?outcome);
    }
}

/// Result of sending a request; `None` if nothing was sent.
type SendResult = Option<Result<Response<Incoming>, Failure>>;

async fn send(gateway: &Gateway, ctx: &RequestContext, guard: &mut AttemptGuard, sender: &mut Sender) -> SendResult {
    let now = Instant::now();
    let upstream = &guard.upstream.clone();
    let request = build_request(gateway, ctx, upstream, now);
    guard.start_run(now, ctx.fingerprint);
    let response = sender.try_send_request(request);
    tokio::pin!(response);
    let silence_end = now + silence_limit(gateway, ctx);
    let mut result = timeout_at(silence_end.min(ctx.deadline), &mut response).await.ok();
    if result.is_none() && silence_end < ctx.deadline {
        if !gateway.runs.borrow().has_responded_since(upstream, now) {
            request_check(gateway, upstream);
        }
        result = timeout_at(ctx.deadline, response).await.ok();
    }
    match result {
        Some(Ok(response)) => Some(Ok(response)),
        Some(Err(error)) if error.message().is_some() => {
            guard.end_run(RunEnd::NotRun);
            None
        }
        Some(Err(error)) => {
            let error = error.into_error();
            record_outcome(gateway, upstream, Outcome::Failed);
            record_link_failure(gateway, upstream);
            warn!(gateway.log, "attempt failed"; "request" => ctx.id.to_str().unwrap_or_default(),
                "upstream" => %upstream, "error" => %error, "fingerprint" => %ctx.fingerprint);
            // A connection that timed out has been silent; it doesn't show when the upstream ended.
            let is_silent = std::error::Error::source(&error)
                .and_then(|source| source.downcast_ref::<std::io::Error>())
                .is_some_and(|source| source.kind() == ErrorKind::TimedOut);
            guard.end_run(if is_silent { RunEnd::Abandoned } else { RunEnd::Broken });
            request_check(gateway, upstream);
            let is_too_large = HeadTooLarge::is_cause_of(&error);
            if is_too_large {
                gateway.metrics.count_exceeded_limit("upstream");
                warn!(gateway.log, "upstream exceeded a limit; its connection is closed"; "upstream" => %upstream,
                    "request" => ctx.id.to_str().unwrap_or_default(), "error" => %HeadTooLarge);
            }
            let reason = if is_too_large || error.is_parse() {
                Reason::BadResponse
            } else {
                Reason::ConnectionLost
            };
            Some(Err(failure(reason, Verdict::MayHaveRun)))
        }
        None => {
            record_outcome(gateway, upstream, Outcome::Failed);
            warn!(gateway.log, "attempt timed out"; "request" => ctx.id.to_str().unwrap_or_default(),
                "upstream" => %upstream, "fingerprint" => %ctx.fingerprint);
            guard.end_run(RunEnd::Abandoned);
            request_check(gateway, upstream);
            Some(Err(failure(Reason::DeadlineExceeded, Verdict::MayHaveRun)))
        }
    }
}

/// Returns the time after which an upstream without a response may have ended.
fn silence_limit(gateway: &Gateway, ctx: &RequestContext) -> Duration {
    (gateway.typical_latency(&ctx.route) * SILENCE_FACTOR).max(SILENCE_MIN)
}

fn failure(reason: Reason, verdict: Verdict) -> Failure {
    Failure {
        reason,
        verdict,
        response: None,
    }
}

fn build_request(
    gateway: &Gateway,
    ctx: &RequestContext,
    upstream: &UpstreamName,
    now: Instant,
) -> Request<BufferedBody> {
    let mut request = Request::new(ctx.body.clone());
    *request.method_mut() = ctx.head.method.clone();
    *request.version_mut() = Version::HTTP_11;
    let path = ctx.head.uri.path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(Uri::default, Uri::from);
    let headers = request.headers_mut();
    headers.clone_from(&ctx.head.headers);
    let exit = gateway.shutdown.get().map(|schedule| schedule.response_deadline());
    let deadline = exit.map_or(ctx.deadline, |exit| ctx.deadline.min(exit));
    let left = deadline.saturating_duration_since(now).as_millis();
    headers.insert(DEADLINE, HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX)));
    if let Ok(name) = HeaderValue::from_str(upstream.as_str()) {
        headers.insert(EXPECTED_INSTANCE, name);
    }
    request
}

/// Reports whether a response may be forwarded as the upstream's own.
///
/// Without a signature, only a failure that neither rejects the request nor promises that it has not run may be forwarded:
/// callers treat it like a 502 of this host.
fn is_trusted(status: StatusCode, headers: &HeaderMap) -> bool {
    if status.as_u16() >= INVALID_STATUS_MIN {
        return false;
    }
    if !headers.contains_key(SIGNATURE) {
        return status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE;
    }
    !(status.is_informational() || status.is_success() && headers.contains_key(CONTENT_ENCODING))
}

/// Classifies a response and records what it shows of the upstream. `latency` excludes the estimated
/// wait for a slot.
fn check_response(
    gateway: &Rc<Gateway>,
    ctx: &RequestContext,
    latency: Duration,
    response: Response<Incoming>,
    mut guard: AttemptGuard,
) -> AttemptResult {
    let upstream = guard.upstream.clone();
    let now = Instant::now();
    let headers = response.headers();
    let report = read_load(headers);
    record_heard(gateway, now, &upstream);
    if headers.get(REQUEST_ID) != Some(&ctx.id) {
        guard.end_run(RunEnd::Broken);
        request_check(gateway, &upstream);
        record_outcome(gateway, &upstream, Outcome::Failed);
        warn!(gateway.log, "answer of another request"; "request" => ctx.id.to_str().unwrap_or_default(),
            "upstream" => %upstream, "status" => response.status().as_u16());
        return Err(failure(Reason::BadResponse, Verdict::MayHaveRun));
    }
    let status = response.status();
    apply_directives(gateway, now, &upstream, status, headers);
    let is_not_executed = headers.contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    if let (Some(report), Some(entry)) = (report, gateway.fleet.borrow_mut().get_mut(&upstream)) {
        entry.load.record_load(now, report);
    }
    if is_not_executed {
        guard.end_run(RunEnd::NotRun);
        if response.body().is_end_stream() {
            guard.return_connection();
        }
        record_outcome(gateway, &upstream, Outcome::Shed);
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected && ctx.key.is_some() {
            gateway.record_refused_key(now);
        }
        let reason = if is_misdirected {
            Reason::GrantRefused
        } else {
            Reason::UpstreamShed
        };
        return Err(failure(reason, Verdict::NotRun));
    }
    let is_intact = is_trusted(status, headers);
    if !is_intact {
        if status.is_redirection() || status.is_client_error() {
            // Doesn't count as a failure: the requests of one caller must not take an upstream from the others.
            guard.end_run(RunEnd::Complete);
            warn!(gateway.log, "unsigned response that rejects the request"; "upstream" => %upstream,
                "request" => ctx.id.to_str().unwrap_or_default(), "status" => status.as_u16());
        } else {
            guard.end_run(RunEnd::Broken);
            request_check(gateway, &upstream);
            record_outcome(gateway, &upstream, Outcome::Failed);
        }
        return Err(failure(Reason::BadResponse, Verdict::MayHaveRun));
    }
    if let Some(length) = response.body().size_hint().exact() {
        gateway.record_bytes(
            &ctx.route.name,
            length + ctx.body.size_hint().exact().unwrap_or_default(),
        );
    }
    let is_server_error = status.is_server_error();
    if is_server_error {
        // The body of a failure may be dropped before it is complete.
        guard.end_run(RunEnd::Complete);
    }
    record_outcome(
        gateway,
        &upstream,
        if is_server_error {
            Outcome::Failed
        } else {
            Outcome::Served
        },
    );
    if !is_server_error {
        let ratio = record_service_time(gateway, &ctx.pool, &ctx.route, &upstream, latency);
        if let Some(entry) = gateway.fleet.borrow_mut().get_mut(&upstream) {
            entry.load.record_latency(now, ratio);
        }
    }
    let response = forward_response(gateway, ctx, response, guard);
    if is_server_error {
        return Err(Failure {
            reason: Reason::UpstreamFailed,
            verdict: Verdict::Ran,
            response: Some(Box::new(response)),
        });
    }
    Ok(response)
}

/// Reserves the memory that a response takes on its way. A response can't be refused any more: if the budget has no
/// room, the connection of the caller that has read nothing for the longest time is closed.
fn reserve_response(gateway: &Gateway, body: &Incoming) -> Reservation {
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let bytes = length.unwrap_or(RESPONSE_BUFFER_BYTES).min(RESPONSE_BUFFER_BYTES);
    let reservation = gateway.memory.reserve(Holder::Response, bytes);
    if gateway.memory.is_exceeded() && gateway.callers.borrow_mut().close_unread(Instant::now()) {
        gateway.metrics.count_closed_caller("unread");
        warn!(gateway.log, "memory for callers is used up; closed the connection of a caller that doesn't read";
            "held" => gateway.memory.held(Holder::Response), "memory_limit" => gateway.memory.total());
    }
    reservation
}

fn forward_response(
    gateway: &Gateway,
    ctx: &RequestContext,
    response: Response<Incoming>,
    mut guard: AttemptGuard,
) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    strip_hop_by_hop_headers(&mut head.headers);
    head.version = Version::HTTP_11;
    if body.is_end_stream() {
        guard.end_run(RunEnd::Complete);
        guard.return_connection();
    }
    let has_body = ctx.head.method != Method::HEAD && !body.is_end_stream();
    let body = if has_body {
        ResponseBody::Upstream {
            _reservation: reserve_response(gateway, &body),
            body,
            guard,
            timer: Box::pin(sleep_until(ctx.deadline)),
        }
    } else {
        ResponseBody::Empty
    };
    Response::from_parts(head, body)
}
