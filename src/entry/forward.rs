//! Attempts of a request at upstreams.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use dropshot::Body;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Request, Response, Uri};
use http_body::Body as _;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use super::call::Call;
use super::counted::{Counted, SentMark};
use super::delivery::Delivery;
use super::headers::{DEADLINE, EPOCH, INCARNATION, KEY_HASH, NOT_RUN, REQUEST_ID, strip_headers};
use super::refusal::{Refusal, mark_answer};
use crate::admission::{Demand, Outcome};
use crate::choice::{Failure as RetryQuestion, Fingerprint, RunEnd};
use crate::exchange::{AnswerBody, ConnectLimits, Failure, ForwardBody, Target, run_attempt};
use crate::host::{
    CallEnd, Shared, Slot, WatchedRun, acquire_alone, acquire_slot, note_restart, tell_incarnation, wait_for_standing,
};
use crate::ownership::{Denied, Pass};
use crate::types::{Caller, Incarnation, Reason, UpstreamName, Verdict};

/// Longest wait for a new connection; one takes about 1 ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// A connection idle for longer is closed.
const IDLE_LIMIT: Duration = Duration::from_mins(1);

/// Time between two probes of an upstream that refused a connection.
const UPSTREAM_PROBE: Duration = Duration::from_millis(200);
/// Probes after which a request finds out itself whether the upstream is back; it may have left
/// the tables meanwhile.
const UPSTREAM_PROBES: u32 = 300;

/// Largest answer that is held in memory until its count is safe, in bytes.
const SHORT_ANSWER: u64 = 64 << 10;

/// Upstreams of a shared pool that a request asks for a slot before it is refused.
const CHOICES_MAX: u32 = 3;

/// Time after which an upstream that had no grant for a key is asked again. Grants follow a move
/// within one call to the upstream.
const GRANT_WAIT: Duration = Duration::from_millis(10);
/// Grants are renewed every 300 ms, so that 50 waits cover one that was lost.
const GRANT_WAITS_MAX: u32 = 50;

/// A request that is ready to be sent.
pub(super) struct Outgoing {
    pub(super) parts: Parts,
    pub(super) body: ForwardBody,
    pub(super) fingerprint: Fingerprint,
    /// The request may have crashed upstreams and runs with nothing beside it.
    pub(super) alone: bool,
}

/// An attempt that got no answer to deliver.
struct Failed {
    refusal: Refusal,
    /// The body, if nothing of it has left.
    unsent: Option<ForwardBody>,
    upstream: Option<UpstreamName>,
}

impl Failed {
    fn before_sending(reason: Reason, body: ForwardBody) -> Self {
        Self {
            refusal: Refusal::not_run(reason),
            unsent: Some(body),
            upstream: None,
        }
    }
}

/// Sends a request until an upstream answers it or no further attempt is allowed.
///
/// # Errors
///
/// Gives the refusal with what is known of all attempts together.
pub(super) async fn forward_request(
    shared: &Arc<Shared>,
    call: &Call,
    mut outgoing: Outgoing,
    counted: &mut Option<Counted>,
) -> Result<Response<Body>, Refusal> {
    strip_headers(&mut outgoing.parts.headers);
    let mut tried = BTreeSet::new();
    let mut verdict = Verdict::NotRun;
    let mut grant_waits = 0;
    let mut attempts = 0;
    loop {
        let copy = outgoing.body.replay();
        let body = std::mem::replace(&mut outgoing.body, ForwardBody::empty());
        let failed = match attempt(shared, call, &outgoing, body, &tried, counted).await {
            Ok(answer) => return Ok(answer),
            Err(failed) => failed,
        };
        // An earlier attempt that may have run is not undone by a later one that did not.
        verdict = verdict.max(failed.refusal.verdict);
        set_verdict(counted, verdict);
        let refusal = Refusal {
            verdict,
            reason: failed.refusal.reason,
        };
        let Some(body) = failed.unsent.or(copy) else {
            return Err(refusal);
        };
        // A wait that ended without a send is no reason for another one.
        let Some(upstream) = failed.upstream else {
            return Err(refusal);
        };
        if refusal.reason == Reason::GrantRefused && grant_waits < GRANT_WAITS_MAX {
            // The grant of a new owner is on its way; the refusal cost the upstream next to nothing.
            grant_waits += 1;
            tokio::time::sleep(GRANT_WAIT).await;
            if Instant::now() < call.deadline {
                shared.metrics.count_retry(&call.route().name, refusal.reason);
                outgoing.body = body;
                continue;
            }
            return Err(refusal);
        }
        tried.insert(upstream);
        attempts += 1;
        let question = RetryQuestion {
            verdict: failed.refusal.verdict,
            idempotent: call.idempotent,
            attempts,
            deadline: call.deadline,
        };
        shared
            .policies
            .spend_retry(&question, Instant::now())
            .map_err(|_| refusal)?;
        // The failed attempt may have crashed its upstream, and the next one must not crash another.
        outgoing.alone = wait_for_standing(shared, outgoing.fingerprint, call.deadline)
            .await
            .map_err(|reason| Refusal { verdict, reason })?;
        shared.metrics.count_retry(&call.route().name, refusal.reason);
        outgoing.body = body;
    }
}

fn set_verdict(counted: &mut Option<Counted>, verdict: Verdict) {
    if let Some(counted) = counted {
        counted.set_verdict(verdict);
    }
}

/// What one of several attempts of a request knows of the others.
struct Attempt {
    /// Upstreams that are used only where no other serves.
    tried: BTreeSet<UpstreamName>,
    sent: SentMark,
    /// The upstream, once the request has been sent to it.
    chosen: OnceLock<UpstreamName>,
}

/// An answer whose head has arrived.
struct Arrived {
    upstream: UpstreamName,
    answer: Response<AnswerBody<Delivery>>,
}

/// Makes an attempt, and a second one beside it if the first is slow and the budget allows it.
async fn attempt(
    shared: &Arc<Shared>,
    call: &Call,
    outgoing: &Outgoing,
    body: ForwardBody,
    tried: &BTreeSet<UpstreamName>,
    counted: &mut Option<Counted>,
) -> Result<Response<Body>, Failed> {
    let sent = counted.as_ref().map(Counted::sent_mark).unwrap_or_default();
    let own = Attempt {
        tried: tried.clone(),
        sent,
        chosen: OnceLock::new(),
    };
    let copy = if call.may_hedge() { body.replay() } else { None };
    let first = attempt_once(shared, call, outgoing, body, &own);
    let arrived = match copy.zip(shared.policies.hedge_delay(call.pool_name())) {
        None => first.await?,
        Some((copy, delay)) => {
            let hedge = hedge_after(shared, call, outgoing, copy, &own, delay);
            // The loser is dropped, which cancels it down to its upstream.
            tokio::select! {
                result = first => result?,
                arrived = hedge => arrived,
            }
        }
    };
    take_answer(shared, call, arrived, counted).await
}

/// Waits for a hedge to be due and makes it; without an answer it leaves the decision to the
/// first attempt.
async fn hedge_after(
    shared: &Arc<Shared>,
    call: &Call,
    outgoing: &Outgoing,
    body: ForwardBody,
    first: &Attempt,
    delay: Duration,
) -> Arrived {
    let started = Instant::now();
    tokio::time::sleep(delay).await;
    // A request that still waits for a slot is not helped by a second one that waits.
    let Some(slow) = first.chosen.get() else {
        return std::future::pending().await;
    };
    let mut tried = first.tried.clone();
    tried.insert(slow.clone());
    let own = Attempt {
        tried,
        sent: first.sent.clone(),
        chosen: OnceLock::new(),
    };
    if shared
        .policies
        .spend_hedge(call.pool_name(), call.idempotent, call.key.is_none(), started.elapsed())
    {
        shared.metrics.count_hedge(&call.route().name);
        if let Ok(arrived) = attempt_once(shared, call, outgoing, body, &own).await {
            return arrived;
        }
    }
    std::future::pending().await
}

async fn attempt_once(
    shared: &Arc<Shared>,
    call: &Call,
    outgoing: &Outgoing,
    body: ForwardBody,
    own: &Attempt,
) -> Result<Arrived, Failed> {
    let (slot, pass) = match reserve(shared, call, outgoing.alone, &own.tried).await {
        Ok(reserved) => reserved,
        Err(reason) => return Err(Failed::before_sending(reason, body)),
    };
    let upstream = slot.upstream().clone();
    let Some(target) = find_target(shared, call, &upstream) else {
        if let Some(pass) = &pass {
            shared.agreement.with_gate(|gate| gate.end(pass));
        }
        return Err(Failed::before_sending(Reason::NoUpstream, body));
    };
    let request = build_request(call, &outgoing.parts, pass.as_ref(), body);
    let run = WatchedRun::start(shared, outgoing.fingerprint, &upstream, target.address, outgoing.alone);
    let delivery = Delivery::start(shared, call, slot, run, pass);
    own.sent.set();
    own.chosen.set(upstream.clone()).ok();
    match send(shared, call, &target, request, delivery).await {
        Ok(answer) => Ok(Arrived { upstream, answer }),
        Err(failure) => Err(take_failure(shared, call, &target, failure)),
    }
}

/// Reserves a slot of the upstream that gets the request, and the right to route its key.
async fn reserve(
    shared: &Arc<Shared>,
    call: &Call,
    alone: bool,
    tried: &BTreeSet<UpstreamName>,
) -> Result<(Slot, Option<Pass>), Reason> {
    let demand = Demand {
        priority: call.route().priority,
        caller: call.caller.clone(),
        deadline: call.deadline,
    };
    let mut busy = tried.clone();
    let mut refused = 0;
    loop {
        let upstream = choose_upstream(shared, call, &busy).await?;
        let result = if alone {
            acquire_alone(shared, &upstream, &demand).await
        } else {
            acquire_slot(shared, &upstream, &demand).await
        };
        let slot = match result {
            Ok(slot) => slot,
            Err(reason) => {
                refused += 1;
                if call.key.is_some() || refused >= CHOICES_MAX || Instant::now() >= call.deadline {
                    return Err(reason);
                }
                busy.insert(upstream);
                continue;
            }
        };
        let Some(hash) = call.key else { return Ok((slot, None)) };
        let begun = {
            let state = shared.state();
            shared
                .agreement
                .with_gate(|gate| gate.begin(Instant::now(), &state, call.pool_name(), hash))
        };
        match begun {
            Ok(pass) if pass.owner == upstream => return Ok((slot, Some(pass))),
            // The key moved while the request waited for the slot.
            Ok(pass) => shared.agreement.with_gate(|gate| gate.end(&pass)),
            Err(Denied::Frozen) => {}
            Err(Denied::NoLease) => return Err(Reason::NoLease),
            Err(Denied::NoOwner) => return Err(Reason::NoOwner),
        }
    }
}

async fn choose_upstream(
    shared: &Arc<Shared>,
    call: &Call,
    tried: &BTreeSet<UpstreamName>,
) -> Result<UpstreamName, Reason> {
    if call.key.is_some() {
        return wait_for_owner(shared, call).await;
    }
    let state = shared.state();
    let pool = call.pool();
    let serving = |name: &UpstreamName| {
        let upstream = &pool.upstreams[name];
        state.in_service(&upstream.host, &upstream.zone) && !shared.agreement.is_leaving(&upstream.host)
    };
    let picked = shared
        .policies
        .pick(call.pool_name(), pool, serving, tried, Instant::now());
    picked.ok_or(Reason::NoUpstream)
}

/// Waits while the key moves, until its next owner is known.
async fn wait_for_owner(shared: &Arc<Shared>, call: &Call) -> Result<UpstreamName, Reason> {
    let mut folded = shared.folded.subscribe();
    let mut waiting = None;
    loop {
        match find_owner(shared, call) {
            Some(Ok(owner)) => return Ok(owner),
            Some(Err(reason)) => return Err(reason),
            None => {}
        }
        if waiting.is_none() {
            waiting = Some(shared.wait_for_move().ok_or(Reason::QueueFull)?);
        }
        if timeout_at(call.deadline, folded.changed()).await.is_err() {
            return Err(Reason::NoOwner);
        }
    }
}

/// The owner of a request's key; `None` while the key moves.
fn find_owner(shared: &Shared, call: &Call) -> Option<Result<UpstreamName, Reason>> {
    let state = shared.state();
    let hash = call.key?;
    let Some(info) = state
        .ranges
        .get(call.pool_name())
        .and_then(|table| table.find_range(hash))
    else {
        return Some(Err(Reason::NoOwner));
    };
    if info.frozen.is_some() {
        return None;
    }
    let (owner, range) = (info.owner.clone(), info.range);
    shared
        .agreement
        .note_load(call.pool_name(), range, hash, Instant::now());
    Some(Ok(owner))
}

/// Finds where an attempt goes. Each host may open its share of the upstream's connections, which
/// is no smaller than the slots of the upstreams in use today.
fn find_target(shared: &Shared, call: &Call, name: &UpstreamName) -> Option<Target> {
    let hosts = u32::try_from(shared.state().membership.members.len())
        .unwrap_or(u32::MAX)
        .max(1);
    let upstream = call.pool().upstreams.get(name)?;
    let limits = ConnectLimits {
        connect: CONNECT_LIMIT,
        open: (upstream.connections / hosts).max(1),
        idle: IDLE_LIMIT,
    };
    let address: SocketAddr = upstream.address;
    Some(Target {
        upstream: name.clone(),
        address,
        limits,
        idempotent: call.idempotent,
    })
}

fn build_request(call: &Call, parts: &Parts, pass: Option<&Pass>, body: ForwardBody) -> Request<ForwardBody> {
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = origin_form(&parts.uri);
    let headers = request.headers_mut();
    *headers = parts.headers.clone();
    let value = |text: String| HeaderValue::from_str(&text).expect("numbers and ids are header values");
    let left = call.deadline.saturating_duration_since(Instant::now());
    headers.insert(DEADLINE, value(left.as_millis().to_string()));
    headers.insert(REQUEST_ID, value(call.id.to_string()));
    if let (Some(pass), Some(hash)) = (pass, call.key) {
        headers.insert(EPOCH, value(pass.epoch.to_string()));
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

/// Runs the exchange until the head of the answer, the deadline, or an abort of the move.
async fn send(
    shared: &Arc<Shared>,
    call: &Call,
    target: &Target,
    request: Request<ForwardBody>,
    delivery: Delivery,
) -> Result<Response<AnswerBody<Delivery>>, Failure<Option<Delivery>>> {
    let token = delivery.aborted();
    let exchange = run_attempt(&shared.connector, target, request, call.deadline, delivery);
    let result = match token {
        None => exchange.await,
        Some(token) => tokio::select! {
            result = exchange => result,
            () = token.cancelled() => {
                let (verdict, reason) = (Verdict::MayHaveRun, Reason::MoveAborted);
                let age = Duration::ZERO;
                return Err(Failure { verdict, reason, request: None, guard: None, probe: false, age });
            }
        },
    };
    result.map_err(|f| Failure {
        verdict: f.verdict,
        reason: f.reason,
        request: f.request,
        guard: Some(f.guard),
        probe: f.probe,
        age: f.age,
    })
}

async fn take_answer(
    shared: &Arc<Shared>,
    call: &Call,
    arrived: Arrived,
    counted: &mut Option<Counted>,
) -> Result<Response<Body>, Failed> {
    let Arrived { upstream, answer } = arrived;
    let (mut parts, mut body) = answer.into_parts();
    let age = body.connection_age();
    let incarnation = find_incarnation(&parts.headers);
    if let Some(before) = incarnation.and_then(|i| shared.policies.note_incarnation(&upstream, i)) {
        note_restart(shared, &upstream, before);
    }
    let refused = parts.headers.get(NOT_RUN).is_some_and(|value| value == "true");
    if refused && call.pool().trusted_refusals {
        let granted = parts.status != http::StatusCode::MISDIRECTED_REQUEST;
        let reason = if granted {
            Reason::UpstreamShed
        } else {
            Reason::GrantRefused
        };
        let outcome = if granted { Outcome::Shed } else { Outcome::Cancelled };
        body.guard().note_refusal(outcome, incarnation, age);
        // The rest of the short answer is read, so that the connection can be used again.
        body.drain().await;
        return Err(Failed {
            refusal: Refusal::not_run(reason),
            unsent: None,
            upstream: Some(upstream),
        });
    }
    body.guard().note_head(incarnation, age);
    strip_headers(&mut parts.headers);
    mark_answer(&mut parts.headers, call.id, Verdict::Ran);
    if let Some(mut counted) = counted.take() {
        counted.set_verdict(Verdict::Ran);
        body.guard().set_counted(counted);
    }
    if body.size_hint().upper().is_none_or(|size| size > SHORT_ANSWER) {
        return Ok(Response::from_parts(parts, Body::wrap(body)));
    }
    body.hold_head().await;
    // The head of a short answer leaves together with its end, which waits for the count. Sent
    // before it, the head would delay the rest by up to 40 ms at a caller that acknowledges late.
    let Ok(whole) = body.collect().await else {
        let refusal = Refusal {
            verdict: Verdict::MayHaveRun,
            reason: Reason::ConnectionLost,
        };
        return Err(Failed {
            refusal,
            unsent: None,
            upstream: None,
        });
    };
    Ok(Response::from_parts(parts, Body::from(whole.to_bytes())))
}

fn find_incarnation(headers: &HeaderMap) -> Option<Incarnation> {
    headers.get(INCARNATION)?.to_str().ok()?.parse().ok()
}

fn take_failure(shared: &Arc<Shared>, call: &Call, target: &Target, failure: Failure<Option<Delivery>>) -> Failed {
    let Failure {
        verdict,
        reason,
        request,
        guard,
        probe,
        age,
    } = failure;
    if let Some(mut delivery) = guard {
        let (outcome, end) = match reason {
            Reason::ConnectionLost => (Outcome::Reset, RunEnd::Broken),
            Reason::BodyIncomplete | Reason::BodyTooLarge => (Outcome::Cancelled, RunEnd::Other),
            // A connection that may have gone silent says nothing about the upstream yet.
            _ if probe => (Outcome::Cancelled, RunEnd::Other),
            _ => (Outcome::Failed, RunEnd::Other),
        };
        delivery.note_failure(outcome, end, age);
    }
    if reason == Reason::ConnectFailed && shared.policies.note_refusing(&target.upstream) {
        tokio::spawn(await_upstream(Arc::clone(shared), target.clone(), call.caller.clone()));
    }
    if probe {
        tokio::spawn(probe_connections(
            Arc::clone(shared),
            target.clone(),
            call.route().name.clone(),
        ));
    }
    let unsent = request.map(Request::into_body);
    Failed {
        refusal: Refusal { verdict, reason },
        unsent,
        upstream: Some(target.upstream.clone()),
    }
}

/// Gives an upstream that refused a connection no new work until it answers.
async fn await_upstream(shared: Arc<Shared>, target: Target, caller: Caller) {
    for _ in 0..UPSTREAM_PROBES {
        tokio::time::sleep(UPSTREAM_PROBE).await;
        if let CallEnd::Answered(clock) = shared.calls.probe(target.address).await {
            // The home has to know of a restart before the first requests arrive.
            tell_incarnation(&shared, &target.upstream, caller, clock.incarnation).await;
            break;
        }
        if shared.calls.is_answering(target.address).await {
            break;
        }
    }
    shared.policies.note_accepting(&target.upstream);
}

/// Finds out on a new connection whether the upstream or only old connections are silent.
async fn probe_connections(shared: Arc<Shared>, target: Target, route: crate::types::RouteName) {
    let answered = shared.calls.is_answering(target.address).await;
    let connections = shared.connector.connections(&target.upstream);
    for _ in 0..connections.note_probe(answered) {
        shared.metrics.count_refusal(Some(&route), Reason::ConnectionSilent);
    }
}
