//! The way of a request from its caller to the answer.

use std::sync::Arc;

use dropshot::Body;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use slog::info;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::Xxh3;

use super::call::{Call, NotAdmitted, admit_request};
use super::claim::{Claimed, claim_request, conclude_claim};
use super::counted::Counted;
use super::forward::{Outgoing, forward_request};
use super::headers::{IDEMPOTENCY_KEY, find_request_id};
use super::refusal::{Refusal, refuse};
use crate::choice::Fingerprint;
use crate::exchange::{BodyError, ForwardBody, read_body};
use crate::host::{Shared, wait_for_standing};
use crate::types::Reason;

/// Bytes of the body that a fingerprint covers.
const FINGERPRINT_BODY: usize = 4096;

/// Serves one request of a caller.
pub(super) async fn serve_request(shared: &Arc<Shared>, request: Request<Body>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    if let Some(answer) = answer_probe(shared, parts.uri.path()) {
        return answer;
    }
    let id = find_request_id(&parts.headers);
    let (route, result) = match admit_request(shared, id, &parts) {
        Ok(call) => (
            Some(call.route().name.clone()),
            run_call(shared, &call, parts, body).await,
        ),
        Err(NotAdmitted { route, refusal }) => (route, Err(refusal)),
    };
    result.unwrap_or_else(|refusal| {
        shared.metrics.count_refusal(route.as_ref(), refusal.reason);
        info!(shared.log, "refused"; "request" => id.to_string(), "verdict" => refusal.verdict.as_str(),
            "reason" => refusal.reason.as_str(), "route" => route.map(|r| r.to_string()));
        refuse(id, refusal)
    })
}

/// Answers the balancer's probes.
fn answer_probe(shared: &Shared, path: &str) -> Option<Response<Body>> {
    let up = match path {
        "/.ragworthub/live" => true,
        "/.ragworthub/ready" => shared.is_ready(),
        _ => return None,
    };
    let mut answer = Response::new(Body::from(if up { "ok\n" } else { "not ready\n" }));
    if !up {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Some(answer)
}

async fn run_call(shared: &Arc<Shared>, call: &Call, parts: Parts, body: Body) -> Result<Response<Body>, Refusal> {
    shared.policies.count_request(call.pool_name(), call.started);
    let mut counted = Some(Counted::admit(shared, call));
    let result = run_counted(shared, call, parts, body, &mut counted).await;
    if let Some(mut counted) = counted {
        // The router itself answers. What counts is whether this request ran, and not what is known
        // of an earlier one with the same idempotency key.
        counted.finish();
        counted.release().await;
        counted.end(true);
    }
    result
}

async fn run_counted(
    shared: &Arc<Shared>,
    call: &Call,
    parts: Parts,
    body: Body,
    counted: &mut Option<Counted>,
) -> Result<Response<Body>, Refusal> {
    let limit = call.route().body_max.0;
    let body = match timeout_at(call.deadline, read_body(body, limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge(_))) => return Err(Refusal::not_run(Reason::BodyTooLarge)),
        Ok(Err(BodyError::Incomplete(_))) | Err(_) => return Err(Refusal::not_run(Reason::BodyIncomplete)),
    };
    let fingerprint = fingerprint_request(call, &parts, &body);
    let alone = wait_for_standing(shared, fingerprint, call.deadline)
        .await
        .map_err(Refusal::of_suspect)?;
    let claimed = claim_request(shared, call, &parts.headers, fingerprint).await?;
    let outgoing = Outgoing {
        parts,
        body,
        fingerprint,
        alone,
    };
    match claimed {
        Claimed::Free => forward_request(shared, call, outgoing, counted).await,
        Claimed::Won(won) => {
            let result = forward_request(shared, call, outgoing, counted).await;
            conclude_claim(won, result).await
        }
        Claimed::Replay(answer) => Ok(answer),
    }
}

/// Hashes what makes a request the same as another one that crashed an upstream.
fn fingerprint_request(call: &Call, parts: &Parts, body: &ForwardBody) -> Fingerprint {
    let mut hasher = Xxh3::new();
    let path = parts.uri.path_and_query().map_or("", |p| p.as_str());
    let key = parts
        .headers
        .get(IDEMPOTENCY_KEY)
        .map_or(&b""[..], |value| value.as_bytes());
    let start = body.start();
    let start = &start[..start.len().min(FINGERPRINT_BODY)];
    for part in [
        call.caller.as_str().as_bytes(),
        parts.method.as_str().as_bytes(),
        path.as_bytes(),
        key,
        start,
    ] {
        // The length keeps two neighbours from being cut at another place.
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    Fingerprint(hasher.digest())
}
