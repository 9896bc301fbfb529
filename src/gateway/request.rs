//! Serves one request: finds its route, chooses upstreams, makes attempts and returns the response.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use rand::RngExt;
use slog::{info, warn};
use tokio::time::Instant;

use super::answer::{CallerBody, Refusal, ResponseBody, strip_hop_by_hop_headers};
use super::attempt::{AttemptResult, attempt_once};
use super::body::{BufferedBody, read_body};
use super::choose::choose_upstream;
use super::counting::count_request;
use super::framing::Caller;
use super::rejections::{ExpectedBody, log_unmatched, log_unread_body};
use super::state::Gateway;
use super::tenancy::{identify, return_token, set_tenant_headers, take_token};
use super::watch::proves_absence;
use crate::budget::RequestClass;
use crate::catalog::{Catalog, Route, RouteMatch, find_target, has_valid_escapes};
use crate::fleet::Fingerprint;
use crate::platform::{DEADLINE, EXPECTED_INSTANCE, REQUEST_ID, SHARD_KEY};
use crate::tenants::Tenant;
use crate::types::{PoolName, Reason, UpstreamName, Verdict};

/// Range that `Retry-After` is drawn from while no upstream can take a request, and for a late body: about the duration of
/// a few requests.
const RETRY_AFTER_MS: (u64, u64) = (40, 160);
/// Time after the start of the process in which other hosts tell it of requests that crash upstreams. Until then it sends
/// no request again that may have run, as it can't tell whether the request caused the failure.
const SUSPECTS_DELAY: Duration = Duration::from_secs(3);
/// Longest time for which a caller waits, as far as this host is concerned; no route has a longer timeout.
const DEADLINE_MAX_MS: f64 = 1e12;
/// Range that `Retry-After` is drawn from while the host has no configuration or list of upstreams.
const NOT_READY_RETRY_AFTER_MS: (u64, u64) = (100, 400);

/// Range that `Retry-After` is drawn from while the route of a request isn't known for certain or can't be used.
const UNSURE_RETRY_AFTER_MS: (u64, u64) = (200, 800);
/// Range that `Retry-After` is drawn from while the memory for callers is used up: other bodies take about this time to
/// be sent on or to be given up.
const MEMORY_RETRY_AFTER_MS: (u64, u64) = (300, 1_500);
/// Range that `Retry-After` is drawn from while the host stops: other hosts can take the request at once.
const STOPPING_RETRY_AFTER_MS: (u64, u64) = (5, 30);

/// Context of a request while it is being served.
pub(super) struct RequestContext {
    pub(super) gateway: Rc<Gateway>,
    pub(super) id: HeaderValue,
    pub(super) arrived: Instant,
    /// Latest time of the final response.
    pub(super) deadline: Instant,
    pub(super) catalog: Rc<Catalog>,
    pub(super) route: Route,
    pub(super) pool: PoolName,
    pub(super) key: Option<u16>,
    /// Urgency of the request.
    pub(super) class: RequestClass,
    /// Tenant that holds the caller's credential.
    pub(super) tenant: Option<Rc<Tenant>>,
    pub(super) head: Parts,
    pub(super) body: BufferedBody,
    pub(super) fingerprint: Fingerprint,
    /// Upstreams that the request was sent to.
    pub(super) tried: Vec<UpstreamName>,
    /// Last owner that refused the request because it doesn't hold the key.
    pub(super) stale_owner: Option<UpstreamName>,
    /// Highest verdict of the attempts so far.
    pub(super) verdict: Verdict,
    /// Upstreams that could not be reached; nothing was sent to them.
    pub(super) unreachable: Vec<UpstreamName>,
    /// An attempt is under way, so the request may have been sent and its outcome is still unknown.
    pub(super) is_attempting: bool,
    /// The outcome has been counted and logged.
    pub(super) is_recorded: bool,
}

impl RequestContext {
    /// Puts back the token of the tenant's cap if no upstream ran the request.
    fn return_token(&self, verdict: Verdict) {
        if let Some(tenant) = self.tenant.as_ref().filter(|_| verdict == Verdict::NotRun) {
            return_token(&self.gateway, tenant);
        }
    }

    /// Returns the verdict if the request ends now, without a response to the attempt under way.
    fn verdict_if_ended(&self) -> Verdict {
        if self.is_attempting {
            Verdict::MayHaveRun
        } else {
            self.verdict
        }
    }

    /// Builds the refusal of a request that can't have a response of an upstream before this process ends.
    fn refuse_at_exit(&self, gateway: &Gateway) -> Refusal {
        let verdict = self.verdict_if_ended();
        Refusal {
            reason: Reason::HostStopping,
            verdict,
            retry_after: (verdict == Verdict::NotRun).then(|| draw_retry_after(gateway, STOPPING_RETRY_AFTER_MS)),
        }
    }
}

impl Drop for RequestContext {
    /// Counts and logs a cancelled request: its task is dropped, at any point, if the caller disconnects.
    fn drop(&mut self) {
        if self.is_recorded {
            return;
        }
        let verdict = self.verdict_if_ended();
        self.return_token(verdict);
        count_request(&self.gateway, &self.route.name, verdict);
        info!(self.gateway.log, "caller left"; "request" => self.id.to_str().unwrap_or_default(),
            "route" => %self.route.name, "pool" => %self.pool, "verdict" => verdict.as_str(),
            "ms" => u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX));
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    caller: Caller,
) -> Result<Response<CallerBody>, Infallible> {
    let arrived = Instant::now();
    caller.begin_request(!request.body().is_end_stream());
    let id = request.headers().get(REQUEST_ID).cloned();
    let response = match prepare(&gateway, arrived, id.clone(), request, &caller).await {
        Ok(mut ctx) => {
            let result = tokio::select! {
                biased;
                result = run_attempts(&gateway, &mut ctx) => Some(result),
                () = gateway.wait_for_answers_end() => None,
            };
            let result = result.unwrap_or_else(|| Err(ctx.refuse_at_exit(&gateway)));
            ctx.is_recorded = true;
            record_result(&gateway, &ctx, &result);
            result.unwrap_or_else(|refusal| refusal.into_response(id.as_ref()))
        }
        Err(refusal) => {
            gateway.metrics.count_refusal(refusal.reason);
            // A body that wasn't read to its end has a line already.
            if !refusal.is_about_body() {
                let text = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
                warn!(gateway.log, "request refused"; "request" => text, "reason" => refusal.reason.as_str(),
                    "verdict" => refusal.verdict.as_str(), "status" => refusal.status().as_u16());
            }
            let mut response = refusal.into_response(id.as_ref());
            if caller.is_receiving() {
                caller.leave_body_unread();
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
        }
    };
    caller.clear_head();
    Ok(response.map(|body| CallerBody::new(body, caller)))
}

fn record_result(gateway: &Gateway, ctx: &RequestContext, result: &Result<Response<ResponseBody>, Refusal>) {
    let id = ctx.id.to_str().unwrap_or_default();
    let ms = u64::try_from(ctx.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
    let join = |names: &[UpstreamName]| names.iter().map(UpstreamName::as_str).collect::<Vec<_>>().join(",");
    let upstreams = join(&ctx.tried);
    let verdict = result.as_ref().map_or_else(|refusal| refusal.verdict, |_| Verdict::Ran);
    ctx.return_token(verdict);
    count_request(gateway, &ctx.route.name, verdict);
    let tenant = ctx.tenant.as_ref().map(|tenant| tenant.name.as_str());
    match result {
        Ok(response) => {
            gateway
                .metrics
                .count_response(&ctx.route.name, response.status().as_u16());
            gateway.metrics.observe_time(&ctx.route.name, ctx.arrived.elapsed());
            info!(gateway.log, "request answered"; "request" => id, "route" => %ctx.route.name,
                "configuration" => %ctx.catalog.version, "pool" => %ctx.pool, "key" => ctx.key,
                "tenant" => tenant, "upstreams" => upstreams, "status" => response.status().as_u16(), "ms" => ms);
        }
        Err(refusal) => {
            gateway.metrics.count_refusal(refusal.reason);
            warn!(gateway.log, "request refused"; "request" => id, "route" => %ctx.route.name,
                "configuration" => %ctx.catalog.version, "pool" => %ctx.pool, "key" => ctx.key,
                "tenant" => tenant, "upstreams" => upstreams, "unreachable" => join(&ctx.unreachable), "reason" => refusal.reason.as_str(),
                "verdict" => refusal.verdict.as_str(), "status" => refusal.status().as_u16(),
                "retry_after_ms" => refusal.retry_after.map(|t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX)),
                "ms" => ms);
        }
    }
}

/// Validates a request, finds its route and reads its body.
async fn prepare(
    gateway: &Rc<Gateway>,
    arrived: Instant,
    id: Option<HeaderValue>,
    request: Request<Incoming>,
    caller: &Caller,
) -> Result<RequestContext, Refusal> {
    let refuse = |reason| Refusal::not_run(reason, None);
    let id = id.ok_or(refuse(Reason::BadHeader))?;
    let headers = request.headers();
    // Prevents request smuggling: the next parser on the path could use `Content-Length`, while the HTTP
    // library here uses `Transfer-Encoding`.
    if headers.contains_key(TRANSFER_ENCODING) && caller.has_content_length() {
        return Err(refuse(Reason::BadHeader));
    }
    let catalog = gateway.catalog.borrow().clone();
    let Some(catalog) = catalog.filter(|_| gateway.fleet_known.get()) else {
        return Err(Refusal::not_run(
            Reason::NotReady,
            Some(draw_retry_after(gateway, NOT_READY_RETRY_AFTER_MS)),
        ));
    };
    let (mut head, body) = request.into_parts();
    if !has_valid_escapes(head.uri.path()) {
        return Err(refuse(Reason::BadPath));
    }
    let route = find_route(gateway, &id, &catalog, &head)?;
    let caller_timeout = read_deadline(&head)?;
    let deadline = arrived + caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    let tenant = identify(gateway, &catalog, &route, &head.headers)?;
    let pool = gateway.choose_target(&route).ok_or(refuse(Reason::NoUpstream))?;
    let is_sharded = catalog.pools.get(&pool).is_some_and(|pool| pool.is_sharded);
    let key = is_sharded
        .then(|| read_key(gateway, &catalog, &route, &head))
        .transpose()?;
    if let Some(tenant) = &tenant {
        let result = take_token(gateway, tenant).await;
        gateway
            .metrics
            .count_tenant(&tenant.name, result.as_ref().err().map(|refusal| refusal.reason));
        result.map_err(|refusal| log_capped(gateway, &id, tenant, refusal))?;
    }
    let expected = ExpectedBody {
        id: &id,
        route: &route.name,
        arrived,
        deadline,
        announced: body.size_hint().exact(),
        limit: catalog.limits.body_bytes,
    };
    let body = receive_body(gateway, caller, body, &expected).await?;
    caller.begin_serving();
    strip_hop_by_hop_headers(&mut head.headers);
    for name in [CONTENT_LENGTH, EXPECTED_INSTANCE] {
        head.headers.remove(name);
    }
    set_tenant_headers(&catalog, tenant.as_deref(), &mut head.headers);
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let fingerprint = Fingerprint::of(head.method.as_str(), path, body.segments());
    if is_refused(gateway, fingerprint) {
        log_blocked(gateway, &id, fingerprint);
        return Err(refuse_suspect());
    }
    gateway.record_request(arrived, &pool);
    let priority = tenant.as_ref().and_then(|tenant| tenant.priority);
    let class = gateway.classify(&route, priority.unwrap_or(route.priority), caller_timeout);
    if let Some(key) = key {
        gateway.count_key_request(&pool, key);
        gateway.record_class(arrived, &pool, class);
    }
    Ok(RequestContext {
        gateway: Rc::clone(gateway),
        id,
        arrived,
        deadline,
        catalog,
        route,
        pool,
        key,
        class,
        tenant,
        head,
        body,
        fingerprint,
        tried: Vec::new(),
        stale_owner: None,
        verdict: Verdict::NotRun,
        unreachable: Vec::new(),
        is_attempting: false,
        is_recorded: false,
    })
}

/// Returns the route of a request.
///
/// # Errors
///
/// Returns the refusal of a request without a usable route.
fn find_route(gateway: &Gateway, id: &HeaderValue, catalog: &Catalog, head: &Parts) -> Result<Route, Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let (host, path) = find_target(&head.uri, host);
    let reason = match catalog.match_route(host, path) {
        RouteMatch::Found(route) => return Ok(route.clone()),
        RouteMatch::Unusable => Reason::RouteUnusable,
        RouteMatch::Missing if proves_absence(gateway) => Reason::NoRoute,
        RouteMatch::Unsure | RouteMatch::Missing => Reason::RouteUnsure,
    };
    log_unmatched(gateway, id, catalog, host, path, reason);
    let may_exist = reason != Reason::NoRoute;
    let retry_after = may_exist.then(|| draw_retry_after(gateway, UNSURE_RETRY_AFTER_MS));
    Err(Refusal::not_run(reason, retry_after))
}

/// Reads the body of a request.
async fn receive_body(
    gateway: &Gateway,
    caller: &Caller,
    body: Incoming,
    expected: &ExpectedBody<'_>,
) -> Result<BufferedBody, Refusal> {
    if body.is_end_stream() {
        return Ok(BufferedBody::default());
    }
    let received = Cell::new(0);
    let result = read_body(&gateway.memory, body, expected.limit, expected.deadline, &received).await;
    gateway.metrics.observe_body_time(expected.arrived.elapsed());
    result.map_err(|fault| {
        log_unread_body(gateway, caller, expected, received.get(), &fault);
        let reason = fault.reason();
        let range = match reason {
            Reason::MemoryFull => Some(MEMORY_RETRY_AFTER_MS),
            Reason::BodyLate => Some(RETRY_AFTER_MS),
            _ => None,
        };
        Refusal::not_run(reason, range.map(|range| draw_retry_after(gateway, range)))
    })
}

/// Logs which tenant's cap a refusal is about, and returns the refusal.
fn log_capped(gateway: &Gateway, id: &HeaderValue, tenant: &Tenant, refusal: Refusal) -> Refusal {
    warn!(gateway.log, "tenant has no token"; "request" => id.to_str().unwrap_or_default(),
        "tenant" => %tenant.name, "reason" => refusal.reason.as_str(), "cap" => tenant.rate, "burst" => tenant.burst);
    refusal
}

/// Returns the time for which the caller waits, if the request states it; zero if that time has passed.
///
/// # Errors
///
/// Returns the refusal of a request whose deadline isn't a number.
fn read_deadline(head: &Parts) -> Result<Option<Duration>, Refusal> {
    let Some(value) = head.headers.get(DEADLINE) else {
        return Ok(None);
    };
    let ms = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let ms = ms.filter(|ms| ms.is_finite());
    let ms = ms.ok_or(Refusal::not_run(Reason::BadHeader, None))?;
    Ok(Some(Duration::from_secs_f64(ms.clamp(0.0, DEADLINE_MAX_MS) / 1e3)))
}

/// Returns the key of a request to a sharded pool.
///
/// # Errors
///
/// Returns the refusal of a request without a valid key.
fn read_key(gateway: &Gateway, catalog: &Catalog, route: &Route, head: &Parts) -> Result<u16, Refusal> {
    let Some(value) = head.headers.get(SHARD_KEY) else {
        return Err(if catalog.mixes_keys(route) {
            let retry_after = draw_retry_after(gateway, UNSURE_RETRY_AFTER_MS);
            Refusal::not_run(Reason::SplitMixed, Some(retry_after))
        } else {
            Refusal::not_run(Reason::KeyMissing, None)
        });
    };
    let key = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    key.ok_or(Refusal::not_run(Reason::KeyMissing, None))
}

/// Draws the time of a `Retry-After` header from a range in milliseconds.
pub(super) fn draw_retry_after(gateway: &Gateway, range: (u64, u64)) -> Duration {
    Duration::from_millis(gateway.rng.borrow_mut().random_range(range.0..=range.1))
}

/// Makes attempts until one has a response for the caller or the request has to be refused.
async fn run_attempts(gateway: &Rc<Gateway>, ctx: &mut RequestContext) -> Result<Response<ResponseBody>, Refusal> {
    loop {
        if !gateway.admits_before_exit(Instant::now(), &ctx.route) {
            return Err(ctx.refuse_at_exit(gateway));
        }
        let upstream = choose_upstream(gateway, ctx).await?;
        // The request may have become blocked since it arrived.
        let is_trial = gateway.suspects.borrow().is_blocked(ctx.fingerprint);
        if is_trial {
            if is_refused(gateway, ctx.fingerprint) {
                log_blocked(gateway, &ctx.id, ctx.fingerprint);
                return Err(refuse_suspect());
            }
            gateway.suspects.borrow_mut().record_trial(ctx.fingerprint);
            warn!(gateway.log, "blocked request sent on as a trial"; "request" => ctx.id.to_str().unwrap_or_default(),
                "upstream" => %upstream, "fingerprint" => %ctx.fingerprint);
        }
        let result = attempt_once(gateway, ctx, &upstream).await;
        if is_trial && !may_have_run(result.as_ref()) {
            let was_sent = result.is_some();
            gateway.suspects.borrow_mut().cancel_trial(ctx.fingerprint, was_sent);
        }
        let failure = match result {
            None => continue,
            Some(Ok(response)) => return Ok(response),
            Some(Err(failure)) => failure,
        };
        ctx.verdict = ctx.verdict.max(failure.verdict);
        if failure.reason == Reason::GrantRefused {
            ctx.stale_owner = Some(upstream);
        }
        gateway.metrics.count_failure(failure.reason);
        if admit_retry(gateway, ctx, failure.reason) {
            gateway.metrics.count_retry(failure.reason);
            continue;
        }
        if let Some(response) = failure.response {
            return Ok(*response);
        }
        let retry_after = (ctx.verdict == Verdict::NotRun).then(|| draw_retry_after(gateway, RETRY_AFTER_MS));
        return Err(Refusal {
            reason: failure.reason,
            verdict: ctx.verdict,
            retry_after,
        });
    }
}

/// Reports whether an upstream may have run an attempt; `None` if nothing was sent.
fn may_have_run(result: Option<&AttemptResult>) -> bool {
    result.is_some_and(|result| {
        result
            .as_ref()
            .err()
            .is_none_or(|failure| failure.verdict != Verdict::NotRun)
    })
}

/// Reports whether the request may be retried, and if so takes the retry from the pool's budget.
fn admit_retry(gateway: &Gateway, ctx: &RequestContext, reason: Reason) -> bool {
    let now = Instant::now();
    // Only the owner holds the key, so no other upstream can serve a request that the owner shed. If
    // the owner refused because it doesn't hold the key, another one may.
    if ctx.key.is_some() && reason == Reason::UpstreamShed {
        return false;
    }
    let is_allowed = ctx.verdict == Verdict::NotRun || ctx.route.idempotency.is_retryable();
    let sent = u32::try_from(ctx.tried.len()).unwrap_or(u32::MAX);
    let is_judged = ctx.verdict == Verdict::NotRun || now >= gateway.started + SUSPECTS_DELAY;
    let is_suspect = !is_judged || !gateway.suspects.borrow().may_retry(ctx.fingerprint);
    is_allowed
        && !is_suspect
        && sent < ctx.route.attempts
        && now < ctx.deadline
        && gateway.admits_before_exit(now, &ctx.route)
        && gateway.try_take_retry(now, &ctx.pool)
}

/// Reports whether a request is refused because it crashes upstreams.
fn is_refused(gateway: &Gateway, request: Fingerprint) -> bool {
    let suspects = gateway.suspects.borrow();
    let hosts = gateway.hosts.borrow();
    suspects.is_blocked(request)
        && !suspects.is_trial_due(Instant::now(), &gateway.settings.host, hosts.keys(), request)
}

/// Logs which request is blocked; the lines about its crashes have the same fingerprint.
fn log_blocked(gateway: &Gateway, id: &HeaderValue, request: Fingerprint) {
    warn!(gateway.log, "request is blocked: it crashes upstreams"; "request" => id.to_str().unwrap_or_default(),
        "fingerprint" => %request);
}

/// Builds the refusal of a request that crashes upstreams. Callers are not told to come back.
fn refuse_suspect() -> Refusal {
    Refusal {
        reason: Reason::SuspectBlocked,
        verdict: Verdict::MayHaveRun,
        retry_after: None,
    }
}

/// Builds the refusal of a request that no upstream can take now; a `Retry-After` is only given if
/// the request has not run.
pub(super) fn build_refusal(gateway: &Gateway, ctx: &RequestContext, reason: Reason) -> Refusal {
    Refusal {
        reason,
        verdict: ctx.verdict,
        retry_after: (ctx.verdict == Verdict::NotRun).then(|| draw_retry_after(gateway, RETRY_AFTER_MS)),
    }
}
