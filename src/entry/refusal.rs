//! Answers of the router itself.

use dropshot::Body;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};

use super::headers::{REASON, REQUEST_ID, VERDICT};
use crate::types::{Reason, RequestId, Verdict};

/// Why the router answers in place of an upstream, and what is known of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) verdict: Verdict,
    pub(crate) reason: Reason,
}

impl Refusal {
    /// A refusal of a request that no upstream has seen.
    pub(crate) fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
        }
    }

    /// A refusal of a request that may have crashed upstreams when it was sent before.
    pub(crate) fn of_suspect(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
        }
    }
}

/// Builds the answer of a refusal.
pub(crate) fn refuse(id: RequestId, refusal: Refusal) -> Response<Body> {
    let Refusal { verdict, reason } = refusal;
    let text = serde_json::json!({
        "request": id.to_string(), "verdict": verdict.as_str(), "reason": reason.as_str(),
    });
    let mut answer = Response::new(Body::from(text.to_string()));
    *answer.status_mut() = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
    mark_answer(headers, id, verdict);
    if let Some(seconds) = retry_after(refusal) {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    answer
}

/// Adds the headers that every answer carries.
pub(crate) fn mark_answer(headers: &mut http::HeaderMap, id: RequestId, verdict: Verdict) {
    let id = HeaderValue::from_str(&id.to_string()).expect("a UUID is a header value");
    headers.insert(REQUEST_ID, id);
    headers.insert(VERDICT, HeaderValue::from_static(verdict.as_str()));
}

/// Seconds after which another try may succeed; `None` where a repetition is of no use.
fn retry_after(refusal: Refusal) -> Option<u16> {
    match (refusal.verdict, refusal.reason.status()) {
        (Verdict::NotRun, 502 | 503) => Some(1),
        _ => None,
    }
}
