//! Runs non-idempotent requests with an idempotency key at most once.

use std::sync::Arc;

use bytes::Bytes;
use dropshot::Body;
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Response, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;

use super::call::Call;
use super::headers::{IDEMPOTENCY_KEY, REPLAYED, REQUEST_ID};
use super::refusal::{Refusal, mark_answer};
use crate::choice::Fingerprint;
use crate::host::{Shared, WonClaim, claim_key};
use crate::once::{ANSWER_MAX, ClaimOutcome, ClaimSpec, Fingerprint as ContentHash, KEY_MAX, RequestKey, StoredAnswer};
use crate::types::{Reason, RequestId, Verdict};

/// What a claim allows.
pub(super) enum Claimed {
    /// The request needs no claim.
    Free,
    /// The request may run once.
    Won(WonClaim),
    /// The request ran before; this is its answer.
    Replay(Response<Body>),
}

/// Claims the idempotency key of a request that must run at most once.
///
/// # Errors
///
/// Gives the refusal if the key is unusable, held by another attempt, or can't be claimed.
pub(super) async fn claim_request(
    shared: &Arc<Shared>,
    call: &Call,
    headers: &HeaderMap,
    fingerprint: Fingerprint,
) -> Result<Claimed, Refusal> {
    let Some(key) = headers.get(IDEMPOTENCY_KEY).filter(|_| !call.idempotent) else {
        return Ok(Claimed::Free);
    };
    let key = key.to_str().ok().filter(|key| !key.is_empty() && key.len() <= KEY_MAX);
    let key = key.ok_or(Refusal::not_run(Reason::BadHeader))?;
    let spec = ClaimSpec {
        key: RequestKey {
            caller: call.caller.clone(),
            route: call.route().name.clone(),
            key: key.into(),
        },
        fingerprint: ContentHash { hash: fingerprint.0 },
        // The caller's request id may be repeated by a resend, and each attempt needs its own.
        attempt: RequestId::draw(),
        coordinator: shared.me.clone(),
        deadline: call.deadline,
    };
    let (outcome, won) = claim_key(shared, spec).await;
    if let Some((verdict, reason)) = outcome.refusal() {
        return Err(Refusal { verdict, reason });
    }
    match (outcome, won) {
        (
            ClaimOutcome::Settled {
                answer: Some(answer), ..
            },
            _,
        ) => Ok(Claimed::Replay(replay_answer(call, &answer))),
        (_, Some(won)) => Ok(Claimed::Won(won)),
        (_, None) => Err(Refusal {
            verdict: Verdict::MayHaveRun,
            reason: Reason::RegisterUnavailable,
        }),
    }
}

fn replay_answer(call: &Call, stored: &StoredAnswer) -> Response<Body> {
    let mut answer = Response::new(Body::from(Bytes::copy_from_slice(&stored.body)));
    *answer.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let headers = answer.headers_mut();
    for (name, value) in &stored.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    mark_answer(headers, call.id, Verdict::Ran);
    answer
}

/// Ends a won claim with the result of its request, and stores a short answer for resends.
///
/// # Errors
///
/// Gives the refusal of the request itself, or one for a short answer that was cut off.
pub(super) async fn conclude_claim(
    won: WonClaim,
    result: Result<Response<Body>, Refusal>,
) -> Result<Response<Body>, Refusal> {
    let answer = match result {
        Ok(answer) => answer,
        Err(refusal) => {
            won.conclude(refusal.verdict, None);
            return Err(refusal);
        }
    };
    if answer.size_hint().upper().is_none_or(|size| size > ANSWER_MAX as u64) {
        won.conclude(Verdict::Ran, None);
        return Ok(answer);
    }
    let (parts, body) = answer.into_parts();
    let Ok(body) = body.collect().await else {
        won.conclude(Verdict::Ran, None);
        return Err(Refusal {
            verdict: Verdict::MayHaveRun,
            reason: Reason::ConnectionLost,
        });
    };
    let body = body.to_bytes();
    let stored = StoredAnswer {
        status: parts.status.as_u16(),
        headers: store_headers(&parts.headers),
        body: body.as_ref().into(),
    };
    won.conclude(Verdict::Ran, Some(stored));
    Ok(Response::from_parts(parts, Body::from(body)))
}

fn store_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let own = |name: &HeaderName| *name == REQUEST_ID;
    let text = |(name, value): (&HeaderName, &HeaderValue)| Some((name.to_string(), value.to_str().ok()?.to_owned()));
    headers.iter().filter(|(name, _)| !own(name)).filter_map(text).collect()
}
