//! Finds out whether upstreams have ended while they ran requests, and shares the suspects among the hosts.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, Response};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::attempt::record_outcome;
use super::connect::{CALL_BODY_MAX_BYTES, CallError, Endpoint};
use super::links::{record_link_failure, verify_links};
use super::orders::record_call_limit;
use super::peers::Message;
use super::state::Gateway;
use crate::fleet::{Crash, CrashReport, Fingerprint, HostRing, LINGER, Outcome, RequestReport};
use crate::platform::{INSTANCE, read_cold};
use crate::types::{HostName, UpstreamName};

/// Delay of a check, in which an upstream that is ending closes its sockets.
const CHECK_DELAY: Duration = Duration::from_millis(100);
/// Timeout for opening the connection of a check.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a check. Upstreams respond on their health path at once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// Smallest time between the ends of a check of an upstream and the start of the next one.
const CHECK_GAP: Duration = Duration::from_secs(1);
/// Time between two sendings of reports.
const REPORT_PERIOD: Duration = Duration::from_millis(300);
/// Most reports in one message, which keeps it below the limit on messages to all hosts.
const MESSAGE_REPORTS_MAX: usize = 20;

/// Upstreams to check, and reports to send.
#[derive(Debug, Default)]
pub(crate) struct CrashWatch {
    queue: RefCell<BTreeSet<UpstreamName>>,
    queued: Notify,
    /// Upstreams that are being checked, each with whether another check has been requested meanwhile.
    checking: RefCell<BTreeMap<UpstreamName, bool>>,
    reports_due: Notify,
}

/// A report of one request on its way to another host. Times are ages in microseconds when it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireReport {
    request: Fingerprint,
    crashes: Vec<WireCrash>,
    served: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireCrash {
    upstream: UpstreamName,
    heard: Option<u64>,
    sent: u64,
    ended: u64,
    noticed: u64,
}

impl WireReport {
    fn new(now: Instant, request: Fingerprint, report: &CrashReport) -> Self {
        let crash = |crash: &Crash| WireCrash {
            upstream: crash.upstream.clone(),
            heard: crash.heard.map(|at| age_micros(now, at)),
            sent: age_micros(now, crash.sent),
            ended: age_micros(now, crash.ended),
            noticed: age_micros(now, crash.noticed),
        };
        Self {
            request,
            crashes: report.crashes.iter().map(crash).collect(),
            served: report.served.map(|at| age_micros(now, at)),
        }
    }

    fn report(&self, now: Instant) -> CrashReport {
        let crash = |crash: &WireCrash| {
            Some(Crash {
                upstream: crash.upstream.clone(),
                heard: crash.heard.and_then(|micros| time_of_age(now, micros)),
                sent: time_of_age(now, crash.sent)?,
                ended: time_of_age(now, crash.ended)?,
                noticed: time_of_age(now, crash.noticed)?,
            })
        };
        CrashReport {
            crashes: self.crashes.iter().filter_map(crash).collect(),
            served: self.served.and_then(|micros| time_of_age(now, micros)),
        }
    }
}

fn age_micros(now: Instant, at: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(at).as_micros()).unwrap_or(u64::MAX)
}

/// Returns the time of an age; `None` if the clock can't represent it.
fn time_of_age(now: Instant, micros: u64) -> Option<Instant> {
    now.checked_sub(Duration::from_micros(micros))
}

/// Starts the tasks that check upstreams and send reports.
pub(crate) fn start_crash_watch(gateway: &Rc<Gateway>) {
    spawn_local(run_checks(Rc::clone(gateway)));
    spawn_local(run_reports(Rc::clone(gateway)));
}

/// Sends the reports of suspects again, for a host that has just joined, to all of `hosts`.
pub(crate) fn resend_reports<'a>(gateway: &Gateway, hosts: impl Iterator<Item = &'a HostName>) {
    let ring = HostRing::new(hosts);
    gateway
        .suspects
        .borrow_mut()
        .resend_reports(&gateway.settings.host, &ring);
    gateway.crash_watch.reports_due.notify_one();
}

/// Requests a check of an upstream that may have ended, if requests ran there that may be the cause and the
/// upstream wants no pause.
pub(crate) fn request_check(gateway: &Gateway, upstream: &UpstreamName) {
    let now = Instant::now();
    let is_paused = gateway
        .fleet
        .borrow()
        .get(upstream)
        .is_some_and(|u| u.pause_end(now).is_some());
    if !is_paused && gateway.runs.borrow().has_suspects(upstream) {
        gateway.crash_watch.queue.borrow_mut().insert(upstream.clone());
        gateway.crash_watch.queued.notify_one();
    }
}

/// Requests a check of an upstream that has answered the trial of a blocked request, as nothing else may be sent to it that
/// would show that it goes on running.
pub(crate) fn check_after_trial(gateway: &Rc<Gateway>, upstream: &UpstreamName) {
    let (gateway, upstream) = (Rc::clone(gateway), upstream.clone());
    spawn_local(async move {
        sleep(LINGER).await;
        request_check(&gateway, &upstream);
    });
}

/// Records that an upstream has responded.
pub(crate) fn record_heard(gateway: &Gateway, now: Instant, upstream: &UpstreamName) {
    let survived = gateway.runs.borrow_mut().record_heard(now, upstream);
    for (request, at) in survived {
        if gateway.suspects.borrow_mut().record_served(request, at) {
            info!(gateway.log, "request no longer suspected of crashes"; "upstream" => %upstream,
                "fingerprint" => %request);
            gateway.crash_watch.reports_due.notify_one();
        }
    }
}

/// Records that an upstream has ended, which makes suspects of the requests that ran there.
pub(crate) fn record_end(gateway: &Gateway, now: Instant, upstream: &UpstreamName, evidence: &str) {
    let crashes = gateway.runs.borrow_mut().record_end(now, upstream);
    if crashes.is_empty() {
        return;
    }
    for (request, crash) in crashes {
        let own = &gateway.settings.host;
        let count = gateway.suspects.borrow_mut().record_crash(now, own, request, crash);
        gateway.metrics.count_crash();
        warn!(gateway.log, "request may have crashed an upstream"; "upstream" => %upstream, "fingerprint" => %request,
            "crashes" => count, "evidence" => evidence);
    }
    gateway.crash_watch.reports_due.notify_one();
}

async fn run_checks(gateway: Rc<Gateway>) {
    loop {
        gateway.crash_watch.queued.notified().await;
        let queue = std::mem::take(&mut *gateway.crash_watch.queue.borrow_mut());
        for upstream in queue {
            let mut checking = gateway.crash_watch.checking.borrow_mut();
            if let Some(is_requested) = checking.get_mut(&upstream) {
                *is_requested = true;
            } else {
                checking.insert(upstream.clone(), false);
                spawn_local(check_upstream(Rc::clone(&gateway), upstream));
            }
        }
    }
}

async fn check_upstream(gateway: Rc<Gateway>, upstream: UpstreamName) {
    let started = Instant::now();
    sleep(CHECK_DELAY).await;
    let first = call_health_path(&gateway, &upstream).await;
    let mut end = find_end(&gateway, &upstream, started, first.as_ref());
    let mut has_responded = matches!(first, Some(Ok(_)));
    if matches!(first, Some(Err(_))) {
        record_link_failure(&gateway, &upstream);
        if end.is_some() {
            let response = call_over_sound_links(&gateway, &upstream, started).await;
            end = find_end(&gateway, &upstream, started, response.as_ref());
            has_responded = matches!(response, Some(Ok(_)));
        }
    }
    let now = Instant::now();
    match end {
        Some(evidence) => {
            record_outcome(&gateway, &upstream, Outcome::Unreachable);
            record_end(&gateway, now, &upstream, evidence);
        }
        None if has_responded => record_heard(&gateway, now, &upstream),
        None => {}
    }
    sleep(CHECK_GAP).await;
    if gateway.crash_watch.checking.borrow_mut().remove(&upstream) == Some(true) {
        request_check(&gateway, &upstream);
    }
}

type CheckResult = Result<Response<Bytes>, CallError>;

/// Calls the health path again after a call since `started` has failed. Lost links look like the end of the upstream, and may
/// have come back after the first call, so they are verified before and after this one; `None` if they are lost.
async fn call_over_sound_links(gateway: &Gateway, upstream: &UpstreamName, started: Instant) -> Option<CheckResult> {
    if verify_links(gateway, started, upstream).await {
        let repeated = Instant::now();
        let response = call_health_path(gateway, upstream).await;
        let has_failed = matches!(response, Some(Err(_)));
        if !has_failed || verify_links(gateway, repeated, upstream).await {
            return response;
        }
    }
    info!(gateway.log, "no evidence that an upstream has ended: this host reaches no other either";
        "upstream" => %upstream);
    None
}

/// Calls the health path over a new connection; `None` if the upstream is no longer known.
pub(super) async fn call_health_path(gateway: &Gateway, upstream: &UpstreamName) -> Option<CheckResult> {
    let (address, pool) = {
        let fleet = gateway.fleet.borrow();
        let announcement = &fleet.get(upstream)?.announcement;
        (announcement.address, announcement.pool.clone())
    };
    let catalog = gateway.catalog.borrow().clone()?;
    let path = &catalog.pools.get(&pool)?.health_path;
    let request = Request::get(path).header(HOST, "upstream").body(Full::default()).ok()?;
    let endpoint = Endpoint::new(address, CONNECT_TIMEOUT, CALL_BODY_MAX_BYTES);
    let response = endpoint.call(request, CHECK_TIMEOUT).await;
    record_call_limit(gateway, upstream, response.as_ref().err());
    Some(response)
}

/// Returns the evidence that an upstream has ended, if there is any. `started` is when this was suspected.
fn find_end(
    gateway: &Gateway,
    upstream: &UpstreamName,
    started: Instant,
    response: Option<&CheckResult>,
) -> Option<&'static str> {
    match response {
        // The entry of an upstream that leaves may be gone before the upstream. One whose response exceeds a limit runs.
        None | Some(Err(CallError::TooLarge(_))) => None,
        Some(Ok(response)) => {
            let instance = response.headers().get(INSTANCE);
            if instance.is_some_and(|name| name.as_bytes() != upstream.as_str().as_bytes()) {
                return Some("another instance at its address");
            }
            let is_known_cold = gateway.fleet.borrow().get(upstream).is_some_and(|u| u.is_cold(started));
            let is_new = !is_known_cold && !read_cold(response.headers()).is_zero();
            is_new.then_some("cold again")
        }
        // An upstream may also refuse new connections because it has too many.
        Some(Err(_)) if gateway.runs.borrow().has_responded_since(upstream, started) => None,
        Some(Err(CallError::Refused)) => Some("connection refused"),
        Some(Err(_)) => Some("no response on its health path"),
    }
}

/// Sends the reports that are due.
async fn run_reports(gateway: Rc<Gateway>) {
    loop {
        while gateway.suspects.borrow().has_unsent_reports() {
            send_reports(&gateway);
            sleep(REPORT_PERIOD).await;
        }
        gateway.crash_watch.reports_due.notified().await;
    }
}

fn send_reports(gateway: &Gateway) {
    let own = &gateway.settings.host;
    let hosts = gateway.hosts.borrow();
    let ring = HostRing::new(hosts.keys());
    let due = gateway.suspects.borrow_mut().take_reports(own, &ring);
    for (home, reports) in due.to_homes {
        for message in build_messages(own, &reports) {
            gateway.outbox.send_to(home.clone(), message);
        }
    }
    for (host, reports) in due.to_all {
        for message in build_messages(&host, &reports) {
            gateway.outbox.send(message);
        }
    }
}

/// Builds the messages with what a host has seen.
fn build_messages(host: &HostName, reports: &[RequestReport]) -> impl Iterator<Item = Message> {
    let now = Instant::now();
    reports
        .chunks(MESSAGE_REPORTS_MAX)
        .map(move |part| Message::CrashReports {
            host: host.clone(),
            reports: part
                .iter()
                .map(|(request, report)| WireReport::new(now, *request, report))
                .collect(),
        })
}

/// Applies the reports of a host, which come from the host itself or from a home of their requests.
pub(super) fn apply_reports(gateway: &Gateway, host: &HostName, reports: &[WireReport]) {
    let own = &gateway.settings.host;
    if host == own {
        return;
    }
    let now = Instant::now();
    let hosts = gateway.hosts.borrow();
    let ring = HostRing::new(hosts.keys());
    for wire in reports {
        let mut suspects = gateway.suspects.borrow_mut();
        let effect = suspects.apply_report(now, host, wire.request, wire.report(now));
        if effect.is_shared_news && ring.homes(wire.request).any(|home| home == own) {
            suspects.request_report(wire.request);
        }
        if suspects.has_unsent_reports() {
            gateway.crash_watch.reports_due.notify_one();
        }
        if effect.crashes > 1 {
            info!(gateway.log, "crash reported by another host"; "reporter" => %host, "fingerprint" => %wire.request,
                "crashes" => effect.crashes);
        }
    }
}
