//! The way of one request: its route, its upstream, its attempts, its answer.

use std::convert::Infallible;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, Version};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::RngExt;
use slog::{info, warn};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::answer::{AnswerBody, Flight, Refusal, strip_hop_headers};
use super::connections::Sender;
use super::counting::count;
use super::framing::HeadBytes;
use super::peers::Message;
use super::state::Gateway;
use crate::catalog::{Catalog, Effect, Pool, Route, find_target};
use crate::fleet::{Fingerprint, Need, Outcome, Preference, Upstream, expect_time, pick_upstream};
use crate::platform::{DEADLINE, EXPECTED_INSTANCE, NOT_EXECUTED, REQUEST_ID, SHARD_KEY, SIGNATURE, read_load};
use crate::types::{PoolName, Reason, UpstreamName, Verdict};

/// Longest wait for a connection to an upstream; a new one takes a few milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Longest wait for the new owner of a key that moves: the running work ends within a few hundred
/// milliseconds.
const OWNER_WAIT: Duration = Duration::from_millis(400);
/// First and last time after which a refused caller may come back while a key has no owner.
const OWNER_RETRY: (u64, u64) = (150, 400);
/// The same while no upstream has room, about the time of a few requests.
const ROOM_RETRY: (u64, u64) = (40, 160);
/// The same while the host doesn't know enough to serve.
const START_RETRY: (u64, u64) = (100, 400);
/// Time in which an upstream that ended may be back under its name without having announced it.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Upstreams that are tried without sending, as no connection could be opened.
const UNREACHABLE_MAX: u32 = 3;
/// Expected time, as a multiple of the time left, above which a request is refused at once.
const HOPELESS: f64 = 1.3;

/// Body of a request as it is sent: read whole before, so that it can be sent again.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentBody(Option<Bytes>);

impl Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.0.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}

/// A request while it is served.
struct Job {
    gateway: Rc<Gateway>,
    id: HeaderValue,
    arrived: Instant,
    /// Time of the final answer at the latest.
    ends: Instant,
    catalog: Rc<Catalog>,
    route: Route,
    pool: PoolName,
    key: Option<u16>,
    head: Parts,
    body: SentBody,
    fingerprint: Fingerprint,
    /// Upstreams to which the request was sent.
    tried: Vec<UpstreamName>,
    /// Owner that said that it doesn't hold the key.
    stale_owner: Option<UpstreamName>,
    verdict: Verdict,
    unreachable: u32,
    /// It is at an upstream, or was sent and its end is not known yet.
    is_sent: bool,
    /// Its end was counted and logged.
    is_ended: bool,
}

impl Drop for Job {
    /// Counts a request whose caller left: its task is dropped, wherever it stands.
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let verdict = if self.is_sent {
            Verdict::MayHaveRun
        } else {
            self.verdict
        };
        count(&self.gateway, &self.route.name, verdict);
        info!(self.gateway.log, "caller left"; "request" => self.id.to_str().unwrap_or_default(),
            "route" => %self.route.name, "pool" => %self.pool, "verdict" => verdict.as_str(),
            "ms" => u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX));
    }
}

/// How an attempt ended without an answer for the caller.
struct Failure {
    reason: Reason,
    verdict: Verdict,
    /// An answer that may be passed on if there is no further attempt.
    answer: Option<Box<Response<AnswerBody>>>,
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    bytes: HeadBytes,
) -> Result<Response<AnswerBody>, Infallible> {
    let arrived = Instant::now();
    let id = request.headers().get(REQUEST_ID).cloned();
    let response = match accept(&gateway, arrived, id.clone(), request, &bytes).await {
        Ok(mut job) => {
            let result = run(&gateway, &mut job).await;
            job.is_ended = true;
            log_end(&gateway, &job, &result);
            result.unwrap_or_else(|refusal| refusal.into_response(id.as_ref()))
        }
        Err(refusal) => {
            let text = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            gateway.metrics.count_refusal(refusal.reason);
            warn!(gateway.log, "request refused"; "request" => text, "reason" => refusal.reason.as_str(),
                "verdict" => refusal.verdict.as_str(), "status" => refusal.status().as_u16());
            refusal.into_response(id.as_ref())
        }
    };
    bytes.clear();
    Ok(response)
}

fn log_end(gateway: &Gateway, job: &Job, result: &Result<Response<AnswerBody>, Refusal>) {
    let id = job.id.to_str().unwrap_or_default();
    let ms = u64::try_from(job.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
    let upstreams = job.tried.iter().map(UpstreamName::as_str).collect::<Vec<_>>().join(",");
    let verdict = result.as_ref().map_or_else(|refusal| refusal.verdict, |_| Verdict::Ran);
    count(gateway, &job.route.name, verdict);
    match result {
        Ok(response) => {
            gateway
                .metrics
                .count_answer(&job.route.name, response.status().as_u16());
            gateway.metrics.observe_time(&job.route.name, job.arrived.elapsed());
            info!(gateway.log, "request answered"; "request" => id, "route" => %job.route.name,
                "configuration" => %job.catalog.version, "pool" => %job.pool, "key" => job.key,
                "upstreams" => upstreams, "status" => response.status().as_u16(), "ms" => ms);
        }
        Err(refusal) => {
            gateway.metrics.count_refusal(refusal.reason);
            warn!(gateway.log, "request refused"; "request" => id, "route" => %job.route.name,
                "configuration" => %job.catalog.version, "pool" => %job.pool, "key" => job.key,
                "upstreams" => upstreams, "reason" => refusal.reason.as_str(),
                "verdict" => refusal.verdict.as_str(), "status" => refusal.status().as_u16(),
                "retry_after_ms" => refusal.retry_after.map(|t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX)),
                "ms" => ms);
        }
    }
}

/// Checks a request, finds its route and reads its body.
async fn accept(
    gateway: &Rc<Gateway>,
    arrived: Instant,
    id: Option<HeaderValue>,
    request: Request<Incoming>,
    bytes: &HeadBytes,
) -> Result<Job, Refusal> {
    let refuse = |reason| Refusal::not_run(reason, None);
    let id = id.ok_or(refuse(Reason::BadHeader))?;
    let headers = request.headers();
    // Two lengths could be read differently by the next parser on the way.
    if headers.contains_key(TRANSFER_ENCODING) && bytes.has_length() {
        return Err(refuse(Reason::BadHeader));
    }
    let catalog = gateway.catalog.borrow().clone();
    let Some(catalog) = catalog.filter(|_| gateway.fleet_known.get()) else {
        return Err(Refusal::not_run(
            Reason::NotReady,
            Some(draw_time(gateway, START_RETRY)),
        ));
    };
    let (mut head, body) = request.into_parts();
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let (host, path) = find_target(&head.uri, host);
    let route = catalog.find_route(host, path).ok_or(refuse(Reason::NoRoute))?.clone();
    let deadline = match head.headers.get(DEADLINE) {
        None => None,
        Some(value) => {
            let ms = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
            Some(Duration::from_millis(ms.ok_or(refuse(Reason::BadHeader))?))
        }
    };
    let ends = arrived + deadline.unwrap_or(route.timeout).min(route.timeout);
    let pool = gateway.choose_target(&route).ok_or(refuse(Reason::NoUpstream))?;
    let is_sharded = catalog.pools.get(&pool).is_some_and(|pool| pool.is_sharded);
    let key = if is_sharded {
        Some(read_key(&head).ok_or(refuse(Reason::KeyMissing))?)
    } else {
        None
    };
    let limit = catalog.limits.body_bytes;
    let body = timeout_at(ends, read_body(body, limit)).await;
    let body = body.unwrap_or(Err(Reason::BodyIncomplete)).map_err(refuse)?;
    strip_hop_headers(&mut head.headers);
    for name in [CONTENT_LENGTH, EXPECTED_INSTANCE] {
        head.headers.remove(name);
    }
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let bytes = body.0.as_deref().unwrap_or_default();
    let fingerprint = Fingerprint::of(head.method.as_str(), path, bytes);
    if gateway.suspects.borrow().is_blocked(arrived, fingerprint) {
        return Err(Refusal {
            reason: Reason::SuspectBlocked,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
        });
    }
    gateway.note_request(arrived, &pool);
    if let Some(key) = key {
        gateway.count_key(&pool, key);
    }
    Ok(Job {
        gateway: Rc::clone(gateway),
        id,
        arrived,
        ends,
        catalog,
        route,
        pool,
        key,
        head,
        body,
        fingerprint,
        tried: Vec::new(),
        stale_owner: None,
        verdict: Verdict::NotRun,
        unreachable: 0,
        is_sent: false,
        is_ended: false,
    })
}

fn read_key(head: &Parts) -> Option<u16> {
    head.headers.get(SHARD_KEY)?.to_str().ok()?.trim().parse().ok()
}

async fn read_body(mut body: Incoming, limit: usize) -> Result<SentBody, Reason> {
    if body.is_end_stream() {
        return Ok(SentBody(None));
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Reason::BodyIncomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(Reason::BodyTooLarge);
        }
        whole.extend_from_slice(&data);
    }
    Ok(SentBody(Some(whole.freeze())))
}

fn draw_time(gateway: &Gateway, range: (u64, u64)) -> Duration {
    Duration::from_millis(gateway.rng.borrow_mut().random_range(range.0..=range.1))
}

/// Makes attempts until there is an answer or a reason for none.
async fn run(gateway: &Rc<Gateway>, job: &mut Job) -> Result<Response<AnswerBody>, Refusal> {
    loop {
        let upstream = choose(gateway, job).await?;
        let failure = match attempt(gateway, job, &upstream).await {
            None => continue,
            Some(Ok(answer)) => return Ok(answer),
            Some(Err(failure)) => failure,
        };
        job.verdict = job.verdict.max(failure.verdict);
        if failure.reason == Reason::GrantRefused {
            job.stale_owner = Some(upstream);
        }
        gateway.metrics.count_failure(failure.reason);
        if may_retry(gateway, job, failure.reason) {
            gateway.metrics.count_retry(failure.reason);
            continue;
        }
        if let Some(answer) = failure.answer {
            return Ok(*answer);
        }
        let retry_after = (job.verdict == Verdict::NotRun).then(|| draw_time(gateway, ROOM_RETRY));
        return Err(Refusal {
            reason: failure.reason,
            verdict: job.verdict,
            retry_after,
        });
    }
}

fn may_retry(gateway: &Gateway, job: &Job, reason: Reason) -> bool {
    let now = Instant::now();
    // Nobody else holds the key, unless the owner said that it doesn't.
    if job.key.is_some() && reason == Reason::UpstreamShed {
        return false;
    }
    let is_allowed = job.verdict == Verdict::NotRun || job.route.effect.is_repeatable();
    let sent = u32::try_from(job.tried.len()).unwrap_or(u32::MAX);
    is_allowed && sent < job.route.attempts && now < job.ends && gateway.take_retry(now, &job.pool)
}

/// Chooses the upstream of the next attempt.
async fn choose(gateway: &Gateway, job: &Job) -> Result<UpstreamName, Refusal> {
    let pool = job.catalog.pools.get(&job.pool);
    let Some(pool) = pool.filter(|_| job.unreachable < UNREACHABLE_MAX) else {
        return Err(refuse_room(gateway, job, Reason::NoUpstream));
    };
    match job.key {
        Some(key) => choose_owner(gateway, job, pool, key).await,
        None => choose_any(gateway, job, pool),
    }
}

fn refuse_room(gateway: &Gateway, job: &Job, reason: Reason) -> Refusal {
    Refusal {
        reason,
        verdict: job.verdict,
        retry_after: (job.verdict == Verdict::NotRun).then(|| draw_time(gateway, ROOM_RETRY)),
    }
}

fn choose_any(gateway: &Gateway, job: &Job, pool: &Pool) -> Result<UpstreamName, Refusal> {
    let now = Instant::now();
    let fleet = gateway.fleet.borrow();
    let need = Need {
        pool: &job.pool,
        zone: &gateway.settings.zone,
        preference: match job.route.effect {
            Effect::Download => Preference::VeryNear,
            Effect::Idempotent | Effect::Once => Preference::Near,
        },
        tried: &job.tried,
    };
    let has_room = |u: &_| gateway.has_room(now, pool, u);
    let picked = pick_upstream(now, &fleet, &need, &mut *gateway.rng.borrow_mut(), has_room);
    let picked = picked.ok_or_else(|| {
        let has_any = fleet.in_pool(&job.pool).any(|u| fleet.is_in_service(u));
        refuse_room(
            gateway,
            job,
            if has_any { Reason::QueueFull } else { Reason::NoUpstream },
        )
    })?;
    match fleet.get(&picked) {
        Some(upstream) if is_hopeless(gateway, job, now, upstream) => Err(refuse_room(gateway, job, Reason::QueueFull)),
        _ => Ok(picked),
    }
}

/// Tells whether an upstream would answer far too late.
fn is_hopeless(gateway: &Gateway, job: &Job, now: Instant, upstream: &Upstream) -> bool {
    let expected = expect_time(now, upstream, gateway.usual_time(&job.route));
    expected > job.ends.saturating_duration_since(now).mul_f64(HOPELESS)
}

/// What is known of a key's owner.
enum Ownership {
    Owned(UpstreamName),
    /// The key is on its way to a new owner.
    Moving,
    /// The owner couldn't be reached; it may be tried again at this time.
    Paused(Instant),
    /// No owner takes requests, and none will very soon.
    Lost,
}

/// Finds the owner of a key, waiting a short time for one while the key moves.
async fn choose_owner(gateway: &Gateway, job: &Job, pool: &Pool, key: u16) -> Result<UpstreamName, Refusal> {
    let gives_up = (Instant::now() + OWNER_WAIT).min(job.ends);
    loop {
        let changed = gateway.tables_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let now = Instant::now();
        match find_owner(gateway, job, now, key) {
            Ownership::Owned(owner) => {
                let fleet = gateway.fleet.borrow();
                let upstream = fleet.get(&owner).filter(|u| gateway.has_room(now, pool, u));
                return match upstream.filter(|u| !is_hopeless(gateway, job, now, u)) {
                    Some(_) => Ok(owner),
                    None => Err(refuse_room(gateway, job, Reason::QueueFull)),
                };
            }
            Ownership::Paused(until) if until < gives_up => sleep_until(until).await,
            Ownership::Moving if timeout_at(gives_up, changed).await.is_ok() => {}
            Ownership::Moving | Ownership::Paused(_) | Ownership::Lost => {
                return Err(Refusal {
                    reason: Reason::NoOwner,
                    verdict: job.verdict,
                    retry_after: (job.verdict == Verdict::NotRun).then(|| draw_time(gateway, OWNER_RETRY)),
                });
            }
        }
    }
}

fn find_owner(gateway: &Gateway, job: &Job, now: Instant, key: u16) -> Ownership {
    let tables = gateway.tables.borrow();
    let Some(part) = tables.get(&job.pool).map(|table| table.find(key)) else {
        return Ownership::Lost;
    };
    let Some(owner) = part.owner.as_ref().filter(|_| part.ready) else {
        return if gateway.is_moving(now, &job.pool, part.fence) {
            Ownership::Moving
        } else {
            Ownership::Lost
        };
    };
    let fleet = gateway.fleet.borrow();
    let upstream = fleet.get(&owner.upstream).filter(|u| u.said.born == owner.born);
    let Some(upstream) = upstream.filter(|u| fleet.serves_keys(now, u)) else {
        return Ownership::Lost;
    };
    // It doesn't hold the key yet, or not any more.
    if job.stale_owner.as_ref() == Some(&owner.upstream) {
        return Ownership::Moving;
    }
    match upstream.health.paused_until(now) {
        Some(until) => Ownership::Paused(until),
        None => Ownership::Owned(owner.upstream.clone()),
    }
}

type Attempted = Result<Response<AnswerBody>, Failure>;

/// Sends the request to one upstream; nothing if no connection could be opened.
async fn attempt(gateway: &Rc<Gateway>, job: &mut Job, upstream: &UpstreamName) -> Option<Attempted> {
    let started = Instant::now();
    let waiting = gateway
        .fleet
        .borrow()
        .get(upstream)
        .map_or(1.0, |u| u.load.queue_factor(started));
    let mut flight = Flight::start(gateway, upstream);
    job.is_sent = true;
    let sent = send_somehow(gateway, job, upstream, started).await;
    job.is_sent = false;
    let Some((sender, response)) = sent else {
        job.unreachable += 1;
        return None;
    };
    job.tried.push(upstream.clone());
    Some(response.and_then(|response| {
        flight.hold(sender, response.headers());
        judge(gateway, job, started.elapsed().div_f64(waiting), response, flight)
    }))
}

/// Sends over an idle connection, or over a new one if there is none or it has ended.
async fn send_somehow(
    gateway: &Gateway,
    job: &Job,
    upstream: &UpstreamName,
    now: Instant,
) -> Option<(Sender, Result<Response<Incoming>, Failure>)> {
    let address = gateway.fleet.borrow().get(upstream).map(|u| u.said.address)?;
    let is_once = job.route.effect == Effect::Once;
    if let Some(mut sender) = gateway.connections.take(now, upstream, address, is_once)
        && let Some(result) = send(gateway, job, upstream, &mut sender).await
    {
        return Some((sender, result));
    }
    match gateway.connections.open(upstream, address, CONNECT_LIMIT).await {
        Ok(mut sender) => {
            let sent = send(gateway, job, upstream, &mut sender).await;
            if sent.is_none() {
                note_unreachable(gateway, upstream, "the connection ended before the request was sent");
            }
            sent.map(|result| (sender, result))
        }
        Err(error) => {
            if error.kind() == ErrorKind::ConnectionRefused {
                // Its process has ended; the next one starts cold.
                let time = job
                    .catalog
                    .pools
                    .get(&job.pool)
                    .map_or(Duration::ZERO, |pool| pool.cold_time);
                gateway
                    .fleet
                    .borrow_mut()
                    .suspect_cold(Instant::now(), upstream, time + RESTART_TIME);
            }
            note_unreachable(gateway, upstream, &error.to_string());
            None
        }
    }
}

fn note_unreachable(gateway: &Gateway, upstream: &UpstreamName, error: &str) {
    note_outcome(gateway, upstream, Outcome::Unreachable);
    let crashed = gateway.suspects.borrow_mut().note_down(Instant::now(), upstream);
    for request in &crashed {
        warn!(gateway.log, "request may have crashed an upstream"; "upstream" => %upstream, "fingerprint" => %request);
    }
    if !crashed.is_empty() {
        gateway.outbox.send(Message::Crashes(crashed));
    }
    warn!(gateway.log, "upstream unreachable"; "upstream" => %upstream, "error" => error);
}

fn note_outcome(gateway: &Gateway, upstream: &UpstreamName, outcome: Outcome) {
    let now = Instant::now();
    let mut fleet = gateway.fleet.borrow_mut();
    if fleet.get_mut(upstream).is_some_and(|u| u.health.note(now, outcome)) {
        warn!(gateway.log, "upstream left out"; "upstream" => %upstream, "outcome" => ?outcome);
    }
}

/// How sending ended; nothing if nothing was sent.
type Sent = Option<Result<Response<Incoming>, Failure>>;

async fn send(gateway: &Gateway, job: &Job, upstream: &UpstreamName, sender: &mut Sender) -> Sent {
    let now = Instant::now();
    let request = build_request(job, upstream, now);
    let answer = async {
        tokio::select! {
            biased;
            answer = sender.try_send_request(request) => Some(answer),
            () = sleep_until(job.ends) => None,
        }
    };
    match answer.await {
        Some(Ok(response)) => Some(Ok(response)),
        Some(Err(error)) if error.message().is_some() => None,
        Some(Err(error)) => {
            let error = error.into_error();
            note_outcome(gateway, upstream, Outcome::Failed);
            warn!(gateway.log, "attempt failed"; "request" => job.id.to_str().unwrap_or_default(),
                "upstream" => %upstream, "error" => %error);
            gateway
                .suspects
                .borrow_mut()
                .note_broken(now, upstream, job.fingerprint);
            let reason = if error.is_parse() {
                Reason::BadAnswer
            } else {
                Reason::ConnectionLost
            };
            Some(Err(fail(reason, Verdict::MayHaveRun)))
        }
        None => {
            note_outcome(gateway, upstream, Outcome::Failed);
            Some(Err(fail(Reason::DeadlineExceeded, Verdict::MayHaveRun)))
        }
    }
}

fn fail(reason: Reason, verdict: Verdict) -> Failure {
    Failure {
        reason,
        verdict,
        answer: None,
    }
}

fn build_request(job: &Job, upstream: &UpstreamName, now: Instant) -> Request<SentBody> {
    let mut request = Request::new(job.body.clone());
    *request.method_mut() = job.head.method.clone();
    *request.version_mut() = Version::HTTP_11;
    let path = job.head.uri.path_and_query().cloned();
    *request.uri_mut() = path.map_or_else(Uri::default, Uri::from);
    let headers = request.headers_mut();
    headers.clone_from(&job.head.headers);
    let left = job.ends.saturating_duration_since(now).as_millis();
    headers.insert(DEADLINE, HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX)));
    if let Ok(name) = HeaderValue::from_str(upstream.as_str()) {
        headers.insert(EXPECTED_INSTANCE, name);
    }
    request
}

/// Decides what an upstream's answer means; `time` is without the wait for a slot.
fn judge(
    gateway: &Rc<Gateway>,
    job: &Job,
    time: Duration,
    response: Response<Incoming>,
    mut flight: Flight,
) -> Attempted {
    let upstream = flight.upstream.clone();
    let now = Instant::now();
    let headers = response.headers();
    let report = read_load(headers);
    if headers.get(REQUEST_ID) != Some(&job.id) {
        note_outcome(gateway, &upstream, Outcome::Failed);
        warn!(gateway.log, "answer of another request"; "request" => job.id.to_str().unwrap_or_default(),
            "upstream" => %upstream, "status" => response.status().as_u16());
        return Err(fail(Reason::BadAnswer, Verdict::MayHaveRun));
    }
    let status = response.status();
    let is_not_run = headers.contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
    if let (Some(report), Some(entry)) = (report, gateway.fleet.borrow_mut().get_mut(&upstream)) {
        entry.load.note_report(now, report);
    }
    if is_not_run {
        if response.body().is_end_stream() {
            flight.finish();
        }
        note_outcome(gateway, &upstream, Outcome::Shed);
        let is_stale = status == StatusCode::MISDIRECTED_REQUEST;
        if is_stale && job.key.is_some() {
            gateway.refresh_owners(now);
        }
        let reason = if is_stale {
            Reason::GrantRefused
        } else {
            Reason::UpstreamShed
        };
        return Err(fail(reason, Verdict::NotRun));
    }
    let is_whole = !status.is_success() || (headers.contains_key(SIGNATURE) && !headers.contains_key(CONTENT_ENCODING));
    if !is_whole || status.is_informational() {
        note_outcome(gateway, &upstream, Outcome::Failed);
        return Err(fail(Reason::BadAnswer, Verdict::MayHaveRun));
    }
    gateway.suspects.borrow_mut().note_answer(job.fingerprint);
    let is_failure = status.is_server_error();
    note_outcome(
        gateway,
        &upstream,
        if is_failure { Outcome::Failed } else { Outcome::Served },
    );
    if !is_failure {
        let ratio = gateway.note_time(&job.route, time);
        if let Some(entry) = gateway.fleet.borrow_mut().get_mut(&upstream) {
            entry.load.note_time(ratio);
        }
    }
    let answer = pass_on(job, response, flight);
    if is_failure {
        return Err(Failure {
            reason: Reason::UpstreamFailed,
            verdict: Verdict::Ran,
            answer: Some(Box::new(answer)),
        });
    }
    Ok(answer)
}

fn pass_on(job: &Job, response: Response<Incoming>, mut flight: Flight) -> Response<AnswerBody> {
    let (mut head, body) = response.into_parts();
    strip_hop_headers(&mut head.headers);
    head.version = Version::HTTP_11;
    if body.is_end_stream() {
        flight.finish();
    }
    let has_body = job.head.method != Method::HEAD && !body.is_end_stream();
    let body = if has_body {
        AnswerBody::Upstream { body, flight }
    } else {
        AnswerBody::Empty
    };
    Response::from_parts(head, body)
}
