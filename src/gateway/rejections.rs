//! Log lines of rejected requests, with the details that show whether the caller is the cause.

use std::time::Duration;

use http::HeaderValue;
use slog::warn;
use tokio::time::Instant;

use super::body::BodyFault;
use super::framing::Caller;
use super::state::Gateway;
use crate::catalog::Catalog;
use crate::memory::Holder;
use crate::types::{Reason, RouteName, Verdict};

/// Limit on a text of a caller in a log line, in bytes.
const LOGGED_TEXT_MAX: usize = 200;

/// What is known of the body of a request before it is read.
pub(super) struct ExpectedBody<'a> {
    pub(super) id: &'a HeaderValue,
    pub(super) route: &'a RouteName,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    /// Length that the head states; `None` for a chunked body.
    pub(super) announced: Option<u64>,
    pub(super) limit: usize,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Shortens a text of a caller to what fits into a log line.
fn truncate(text: &str) -> &str {
    text.get(..LOGGED_TEXT_MAX).unwrap_or(text)
}

/// Logs a request that matches no usable route, with the age of the configuration that it was compared with.
pub(super) fn log_unmatched(
    gateway: &Gateway,
    id: &HeaderValue,
    catalog: &Catalog,
    host: &str,
    path: &str,
    reason: Reason,
) {
    let now = Instant::now();
    warn!(gateway.log, "no route matches"; "request" => id.to_str().unwrap_or_default(),
        "host_header" => truncate(host), "path" => truncate(path), "configuration" => %catalog.version,
        "reason" => reason.as_str(),
        "in_force_ms" => gateway.catalog_changed.get().map(|at| millis(now.saturating_duration_since(at))),
        "store_age_ms" => gateway.feed.schedule.get().age(now).map(millis));
}

/// Logs a body that wasn't read to its end, with how much of it arrived in which time.
pub(super) fn log_unread_body(
    gateway: &Gateway,
    caller: &Caller,
    body: &ExpectedBody<'_>,
    received: usize,
    fault: &BodyFault,
) {
    let reason = fault.reason();
    warn!(gateway.log, "body not read to its end; the connection closes";
        "request" => body.id.to_str().unwrap_or_default(), "reason" => reason.as_str(), "cause" => %fault,
        "verdict" => Verdict::NotRun.as_str(), "status" => reason.status(), "route" => %body.route,
        "ms" => millis(body.arrived.elapsed()), "deadline_ms" => millis(body.deadline - body.arrived),
        "announced" => body.announced, "received" => received, "body_limit" => body.limit,
        "held" => gateway.memory.held(Holder::Body), "memory_limit" => gateway.memory.total(),
        "caller" => %caller.address());
}

/// Counts and logs a head that the HTTP library has rejected. Other errors concern only the caller of the connection, who
/// sees them too.
pub(super) fn record_rejected_head(gateway: &Gateway, caller: &Caller, error: &hyper::Error) {
    if !error.is_parse() {
        return;
    }
    let reason = if error.is_parse_too_large() {
        Reason::HeadTooLarge
    } else {
        Reason::BadHead
    };
    gateway.metrics.count_refusal(reason);
    warn!(gateway.log, "head of a request rejected; the connection closes"; "reason" => reason.as_str(),
        "status" => reason.status(), "error" => %error, "head_bytes" => caller.head_length(),
        "caller" => %caller.address());
}
