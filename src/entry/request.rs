//! The way of a request from its caller to an upstream and back.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use dropshot::Body;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderValue, Request, Response, Uri};
use slog::info;
use tokio::time::{Instant, timeout_at};

use super::headers::{DEADLINE, EPOCH, KEY_HASH, NOT_RUN, REQUEST_ID, find_request_id, strip_headers};
use super::refusal::{Refusal, mark_answer, refuse};
use crate::exchange::{
    AnswerBody, AnswerGuard, BodyError, ConnectLimits, Ended, Failure, ForwardBody, Target, read_body, run_attempt,
};
use crate::host::Shared;
use crate::tables::{Pool, Route, Tables, find_caller, find_key, match_route};
use crate::types::{Caller, KeyHash, Offset, Reason, RequestId, UpstreamName, Verdict};

/// Longest wait for a new connection; one takes about 1 ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// A connection idle for longer is not reused.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Attempts of one request, the first included.
const ATTEMPTS_MAX: usize = 3;

/// What is known of a request before its first attempt.
struct Call {
    id: RequestId,
    tables: Arc<Tables>,
    route: usize,
    caller: Caller,
    key: Option<KeyHash>,
    idempotent: bool,
    deadline: Instant,
}

impl Call {
    fn route(&self) -> &Route {
        &self.tables.routes[self.route]
    }

    fn pool(&self) -> &Pool {
        &self.tables.pools[&self.route().pool]
    }
}

/// Where an attempt goes, and with which fencing token.
struct Choice {
    target: Target,
    epoch: Option<Offset>,
}

/// Serves one request of a caller.
pub(crate) async fn serve_request(shared: &Arc<Shared>, request: Request<Body>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    if let Some(answer) = answer_probe(shared, parts.uri.path()) {
        return answer;
    }
    let id = find_request_id(&parts.headers);
    let (route, result) = match admit(shared, id, &parts) {
        Ok(call) => (
            Some(call.route().name.clone()),
            forward(shared, &call, parts, body).await,
        ),
        Err((route, refusal)) => (route, Err(refusal)),
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
        *answer.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    Some(answer)
}

fn admit(shared: &Shared, id: RequestId, parts: &Parts) -> Result<Call, (Option<crate::types::RouteName>, Refusal)> {
    let refuse = |reason| (None, Refusal::not_run(reason));
    if shared.is_draining() {
        return Err(refuse(Reason::Draining));
    }
    if !shared.is_ready() {
        return Err(refuse(Reason::NotReady));
    }
    let tables = Arc::clone(&shared.state().tables);
    let route = match_route(&tables, &parts.method, parts.uri.path()).ok_or_else(|| refuse(Reason::NoRoute))?;
    let refuse = |reason| (Some(route.name.clone()), Refusal::not_run(reason));
    let caller = find_caller(route, &parts.headers).map_err(refuse)?;
    let keyed = tables.pools[&route.pool].is_keyed();
    let key = if keyed {
        Some(find_key(route, &parts.uri, &parts.headers).map_err(|e| refuse(e.reason()))?)
    } else {
        None
    };
    let idempotent = route.is_idempotent(&parts.method);
    let deadline = Instant::now() + route.deadline.0;
    let index = tables
        .routes
        .iter()
        .position(|r| std::ptr::eq(r, route))
        .expect("the route is of these tables");
    Ok(Call {
        id,
        tables: Arc::clone(&tables),
        route: index,
        caller,
        key,
        idempotent,
        deadline,
    })
}

async fn forward(shared: &Arc<Shared>, call: &Call, mut parts: Parts, body: Body) -> Result<Response<Body>, Refusal> {
    let limit = call.route().body_max.0;
    let mut body = match timeout_at(call.deadline, read_body(body, limit)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge(_))) => return Err(Refusal::not_run(Reason::BodyTooLarge)),
        Ok(Err(BodyError::Incomplete(_))) | Err(_) => return Err(Refusal::not_run(Reason::BodyIncomplete)),
    };
    strip_headers(&mut parts.headers);
    let mut tried = BTreeSet::new();
    loop {
        let choice = choose_upstream(shared, call, &tried).map_err(Refusal::not_run)?;
        let copy = body.replay();
        let request = build_request(call, &parts, &choice, body);
        let upstream = choice.target.upstream.clone();
        let (refusal, unsent) = match attempt(shared, call, &choice, request).await {
            Ok(answer) => return Ok(answer),
            Err((refusal, unsent)) => (refusal, unsent),
        };
        tried.insert(upstream);
        let may_repeat = refusal.verdict == Verdict::NotRun || call.idempotent;
        let Some(again) = unsent.or(copy) else {
            return Err(refusal);
        };
        if !may_repeat || tried.len() >= ATTEMPTS_MAX || Instant::now() >= call.deadline {
            return Err(refusal);
        }
        shared.metrics.count_retry(&call.route().name, refusal.reason);
        body = again;
    }
}

fn choose_upstream(shared: &Shared, call: &Call, tried: &BTreeSet<UpstreamName>) -> Result<Choice, Reason> {
    let state = shared.state();
    let pool = call.pool();
    let (name, epoch) = if let Some(hash) = call.key {
        let range = state
            .ranges
            .get(&call.route().pool)
            .and_then(|t| t.find_range(hash))
            .ok_or(Reason::NoOwner)?;
        (range.owner.clone(), Some(range.epoch))
    } else {
        let serving = |(name, upstream): &(&UpstreamName, &crate::tables::Upstream)| {
            state.in_service(&upstream.host, &upstream.zone) && !tried.contains(*name)
        };
        let candidates: Vec<_> = pool.upstreams.iter().filter(serving).collect();
        let index = rand::random_range(0..candidates.len().max(1));
        (candidates.get(index).ok_or(Reason::NoUpstream)?.0.clone(), None)
    };
    let upstream = pool.upstreams.get(&name).ok_or(Reason::NoOwner)?;
    let limits = ConnectLimits {
        connect: CONNECT_LIMIT,
        open: upstream.connections,
        idle: IDLE_LIMIT,
    };
    let target = Target {
        upstream: name,
        address: upstream.address,
        limits,
        reuse: true,
    };
    Ok(Choice { target, epoch })
}

fn build_request(call: &Call, parts: &Parts, choice: &Choice, body: ForwardBody) -> Request<ForwardBody> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = origin_form(&parts.uri);
    let headers = request.headers_mut();
    *headers = parts.headers.clone();
    let value = |text: String| HeaderValue::from_str(&text).expect("numbers and ids are header values");
    let left = call.deadline.saturating_duration_since(Instant::now());
    headers.insert(DEADLINE, value(left.as_millis().to_string()));
    headers.insert(REQUEST_ID, value(call.id.to_string()));
    if let (Some(epoch), Some(hash)) = (choice.epoch, call.key) {
        headers.insert(EPOCH, value(epoch.to_string()));
        headers.insert(KEY_HASH, value(hash.to_string()));
    }
    request
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri
        .path_and_query()
        .cloned()
        .unwrap_or_else(|| PathAndQuery::from_static("/"));
    Uri::from(path)
}

async fn attempt(
    shared: &Arc<Shared>,
    call: &Call,
    choice: &Choice,
    request: Request<ForwardBody>,
) -> Result<Response<Body>, (Refusal, Option<ForwardBody>)> {
    let guard = Delivery::start(shared, call, &choice.target.upstream);
    let result = run_attempt(&shared.connector, &choice.target, request, call.deadline, guard).await;
    let answer = result.map_err(|failure| {
        let Failure {
            verdict,
            reason,
            request,
            ..
        } = failure;
        (Refusal { verdict, reason }, request.map(Request::into_body))
    })?;
    shared.metrics.observe_latency(
        &choice.target.upstream,
        Instant::now() - (call.deadline - call.route().deadline.0),
    );
    if call.pool().trusted_refusals && answer.headers().get(NOT_RUN).is_some_and(|v| v == "true") {
        return Err((Refusal::not_run(Reason::UpstreamShed), None));
    }
    Ok(deliver(call, answer).await)
}

async fn deliver(call: &Call, answer: Response<AnswerBody<Delivery>>) -> Response<Body> {
    let (mut parts, mut body) = answer.into_parts();
    strip_headers(&mut parts.headers);
    mark_answer(&mut parts.headers, call.id, Verdict::Ran);
    body.hold_head().await;
    Response::from_parts(parts, Body::wrap(body))
}

/// Accompanies an answer to its caller.
struct Delivery {
    shared: Arc<Shared>,
    upstream: UpstreamName,
    route: crate::types::RouteName,
    _request: crate::host::InFlight,
}

impl Delivery {
    fn start(shared: &Arc<Shared>, call: &Call, upstream: &UpstreamName) -> Self {
        shared.metrics.change_in_flight(upstream, 1);
        Self {
            shared: Arc::clone(shared),
            upstream: upstream.clone(),
            route: call.route().name.clone(),
            _request: shared.enter_request(),
        }
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.shared.metrics.change_in_flight(&self.upstream, -1);
    }
}

impl AnswerGuard for Delivery {
    fn poll_release(&mut self, _: &mut Context<'_>) -> Poll<()> {
        Poll::Ready(())
    }

    fn upstream_done(&mut self) {}

    fn finish(&mut self, ended: Ended) {
        let verdict = match ended {
            Ended::Whole => Verdict::Ran,
            Ended::Truncated | Ended::Abandoned => Verdict::MayHaveRun,
        };
        self.shared.metrics.count_request(&self.route, verdict);
    }
}
