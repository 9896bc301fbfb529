//! Applies the decisions on tenants: identifies them, fetches and issues tokens for their caps, and finds out whether the
//! configuration that this host knows is in force.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use rand::RngExt;
use slog::{info, warn};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout_at};

use super::answer::Refusal;
use super::counting::boot_time;
use super::feed::readers;
use super::peers::Message;
use super::request::draw_retry_after;
use super::state::Gateway;
use super::watch::proves_absence;
use crate::catalog::{Catalog, Route};
use crate::platform::{CREDENTIAL, TENANT};
use crate::relay::Topic;
use crate::tenants::{
    Allowance, AuthError, CapDecision, CapKeeper, CapLimits, Freshness, Issue, SPARE_SHARE, Tenant, VERIFY_PERIOD,
};
use crate::types::{HostName, Offset, Rate, Reason, StoreEra, TenantName};

/// Time for which a request waits for a token of its tenant's cap.
const TOKEN_WAIT_MAX: Duration = Duration::from_millis(90);
/// Time after which an unanswered request for tokens is repeated.
const TOKEN_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Time between two messages with requests for tokens, in which further requests are collected.
const ASK_GAP: Duration = Duration::from_millis(2);
/// Range that `Retry-After` is drawn from while the keeper of the caps doesn't answer.
const CAP_UNKNOWN_RETRY_AFTER_MS: (u64, u64) = (100, 400);
/// Range that `Retry-After` is drawn from while this host can't tell whether a credential has been removed.
const UNSURE_RETRY_AFTER_MS: (u64, u64) = (200, 800);
/// Range of the spread that is added to the time until a tenant has tokens again, so that its callers don't return
/// together.
const CAPPED_SPREAD_MS: (u64, u64) = (50, 900);
/// Questions for the configuration in force that are kept until they are answered.
const QUESTIONS_MAX: usize = 64;

/// Request of a host for tokens of one tenant.
pub(crate) type TokenRequest = (TenantName, u32, u32);
/// Tokens issued for one tenant, and the time in milliseconds until there are more.
pub(crate) type TokenIssue = (TenantName, u32, u32);

/// What this host knows of tenants beyond the configuration.
#[derive(Debug, Default)]
pub(crate) struct Tenancy {
    allowances: RefCell<BTreeMap<TenantName, Allowance>>,
    /// Token buckets, while this host keeps them.
    keeper: RefCell<Option<CapKeeper>>,
    tokens_changed: Notify,
    ask_due: Notify,
    freshness: Cell<Freshness>,
    /// When each open question was sent, by its number.
    questions: RefCell<BTreeMap<u64, Duration>>,
    next_question: Cell<u64>,
    /// Credentials aren't accepted, because the configuration may not be in force.
    is_unsure: Cell<bool>,
}

impl Tenancy {
    /// Records that this host has read the operators' records from the store, in a call that started at a time.
    pub(super) fn record_read(&self, started: Duration) {
        let mut freshness = self.freshness.get();
        freshness.record(started);
        self.freshness.set(freshness);
    }
}

/// Starts the tasks that fetch tokens and ask for the configuration in force.
pub(crate) fn start_tenancy(gateway: &Rc<Gateway>) {
    spawn_local(fetch_tokens(Rc::clone(gateway)));
    spawn_local(verify_configuration(Rc::clone(gateway)));
}

/// Reports whether credentials are accepted: the configuration that this host knows is recent enough.
pub(crate) fn accepts_credentials(gateway: &Gateway) -> bool {
    let bound = gateway.bounds.revocation;
    bound.is_none_or(|bound| gateway.tenancy.freshness.get().accepts(boot_time(), bound))
}

/// Returns the tenant of a request; `None` if the configuration or the route requires none.
///
/// # Errors
///
/// Returns the refusal of a request without an acceptable credential.
pub(super) fn identify(
    gateway: &Gateway,
    catalog: &Catalog,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Rc<Tenant>>, Refusal> {
    let Some(directory) = catalog.tenants.as_ref().filter(|_| !route.is_public) else {
        return Ok(None);
    };
    let refuse_unsure = || {
        let retry_after = draw_retry_after(gateway, UNSURE_RETRY_AFTER_MS);
        Refusal::not_run(Reason::CredentialUnsure, Some(retry_after))
    };
    if !accepts_credentials(gateway) {
        return Err(refuse_unsure());
    }
    let may_be_missing = directory.is_partial() && headers.contains_key(CREDENTIAL);
    let credentials = headers.get_all(CREDENTIAL).iter().map(HeaderValue::as_bytes);
    directory
        .authenticate(credentials)
        .map(Some)
        .map_err(|error| match error {
            AuthError::Unknown if may_be_missing || !proves_absence(gateway) => refuse_unsure(),
            AuthError::Unknown => Refusal::not_run(Reason::UnknownCredential, None),
            AuthError::Malformed => Refusal::not_run(Reason::BadCredential, None),
        })
}

/// Sets the headers by which upstreams learn of the tenant, whatever the caller sent.
pub(super) fn set_tenant_headers(catalog: &Catalog, tenant: Option<&Tenant>, headers: &mut HeaderMap) {
    if catalog.tenants.is_none() {
        return;
    }
    headers.remove(CREDENTIAL);
    headers.remove(TENANT);
    let name = tenant.and_then(|tenant| HeaderValue::from_str(tenant.name.as_str()).ok());
    if let Some(name) = name {
        headers.insert(TENANT, name);
    }
}

fn cap_of(tenant: &Tenant) -> Option<CapLimits> {
    tenant.rate.map(|rate| CapLimits {
        rate,
        burst: tenant.burst,
    })
}

/// Takes a token of a tenant's cap for a request; waits a short time for one from the keeper.
///
/// # Errors
///
/// Returns the refusal of a request beyond the cap.
pub(super) async fn take_token(gateway: &Gateway, tenant: &Tenant) -> Result<(), Refusal> {
    let Some(limits) = cap_of(tenant) else {
        return Ok(());
    };
    let start = Instant::now();
    with_allowance(gateway, &tenant.name, |allowance| allowance.record_request(start));
    let result = match decide(gateway, &tenant.name, start) {
        CapDecision::Ask => wait_for_token(gateway, tenant, limits, start).await,
        CapDecision::Admit => Ok(()),
        CapDecision::Refuse(wait) => Err(refuse_capped(gateway, wait)),
    };
    let is_low = with_allowance(gateway, &tenant.name, |allowance| allowance.is_low(start));
    if is_low {
        gateway.tenancy.ask_due.notify_one();
    }
    result
}

/// Puts back the token of a request that has not run.
pub(super) fn return_token(gateway: &Gateway, tenant: &Tenant) {
    if tenant.rate.is_some() {
        with_allowance(gateway, &tenant.name, |allowance| {
            allowance.return_token(Instant::now());
        });
    }
}

fn with_allowance<T>(gateway: &Gateway, tenant: &TenantName, apply: impl FnOnce(&mut Allowance) -> T) -> T {
    let mut allowances = gateway.tenancy.allowances.borrow_mut();
    let allowance = allowances
        .entry(tenant.clone())
        .or_insert_with(|| Allowance::new(Instant::now()));
    apply(allowance)
}

fn decide(gateway: &Gateway, tenant: &TenantName, now: Instant) -> CapDecision {
    with_allowance(gateway, tenant, |allowance| allowance.decide(now))
}

fn refuse_capped(gateway: &Gateway, wait: Duration) -> Refusal {
    let spread = draw_retry_after(gateway, CAPPED_SPREAD_MS);
    Refusal::not_run(Reason::TenantCapped, Some(wait + spread))
}

/// Counts a request as waiting for a token until dropped, also if its caller leaves.
struct WaitGuard<'a> {
    gateway: &'a Gateway,
    tenant: &'a TenantName,
}

impl<'a> WaitGuard<'a> {
    fn new(gateway: &'a Gateway, tenant: &'a TenantName) -> Self {
        with_allowance(gateway, tenant, |allowance| allowance.record_wait(true));
        Self { gateway, tenant }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        with_allowance(self.gateway, self.tenant, |allowance| allowance.record_wait(false));
    }
}

async fn wait_for_token(gateway: &Gateway, tenant: &Tenant, limits: CapLimits, start: Instant) -> Result<(), Refusal> {
    let guard = WaitGuard::new(gateway, &tenant.name);
    let end = start + TOKEN_WAIT_MAX;
    while gateway.find_grantor().is_some() && Instant::now() < end {
        gateway.tenancy.ask_due.notify_one();
        let retry_at = (Instant::now() + TOKEN_RETRY_DELAY).min(end);
        loop {
            let changed = gateway.tenancy.tokens_changed.notified();
            match decide(gateway, &tenant.name, Instant::now()) {
                CapDecision::Admit => return Ok(()),
                CapDecision::Refuse(wait) => return Err(refuse_capped(gateway, wait)),
                CapDecision::Ask => {}
            }
            if timeout_at(retry_at, changed).await.is_err() {
                break;
            }
        }
    }
    drop(guard);
    let bounds = &gateway.bounds;
    let rate = if gateway.find_grantor().is_some() {
        let tolerance =
            (limits.rate * bounds.cap_window.as_secs_f64() + limits.burst) * bounds.cap_overage + bounds.cap_extra;
        tolerance * SPARE_SHARE / bounds.cap_window.as_secs_f64().max(1.0)
    } else {
        // No host is elected, so the cap is divided evenly.
        limits.rate
    };
    let division = gateway.division(tenant.name.as_str());
    let has_spare = with_allowance(gateway, &tenant.name, |allowance| {
        allowance.try_spare(Instant::now(), Rate::from_f64(rate), division)
    });
    if has_spare {
        return Ok(());
    }
    let retry_after = draw_retry_after(gateway, CAP_UNKNOWN_RETRY_AFTER_MS);
    Err(Refusal::not_run(Reason::CapUnknown, Some(retry_after)))
}

async fn fetch_tokens(gateway: Rc<Gateway>) {
    loop {
        gateway.tenancy.ask_due.notified().await;
        let requests = collect_requests(&gateway);
        let keeper = gateway.find_grantor();
        if let Some(keeper) = keeper.filter(|_| !requests.is_empty()) {
            if keeper == gateway.settings.host {
                if let Some(issues) = issue_tokens(&gateway, &requests) {
                    apply_issues(&gateway, &issues);
                }
            } else {
                gateway.outbox.send_to(keeper, Message::TokenRequest(requests));
            }
        }
        sleep(ASK_GAP).await;
    }
}

fn collect_requests(gateway: &Gateway) -> Vec<TokenRequest> {
    let now = Instant::now();
    let mut allowances = gateway.tenancy.allowances.borrow_mut();
    let mut requests = Vec::new();
    for (tenant, allowance) in allowances.iter_mut() {
        let returned = allowance.take_expired(now);
        let wanted = allowance.wanted();
        if wanted > 0 || returned > 0 {
            requests.push((tenant.clone(), wanted, returned));
        }
    }
    requests
}

/// Issues tokens if this host keeps the caps and is confirmed as the grantor.
pub(super) fn issue_tokens(gateway: &Gateway, requests: &[TokenRequest]) -> Option<Vec<TokenIssue>> {
    let now = Instant::now();
    let (epoch, since) = gateway.grants.sole_epoch(now)?;
    let catalog = gateway.catalog.borrow().clone()?;
    let directory = catalog.tenants.as_ref()?;
    let mut keeper = gateway.tenancy.keeper.borrow_mut();
    if keeper.as_ref().is_none_or(|keeper| keeper.epoch() != epoch) {
        info!(gateway.log, "this host keeps the caps of tenants"; "epoch" => epoch);
        *keeper = Some(CapKeeper::new(since, epoch));
    }
    let keeper = keeper.as_mut()?;
    let issue = |(name, wanted, returned): &TokenRequest| {
        let limits = directory.find(name).and_then(|tenant| cap_of(tenant))?;
        let issue = keeper.issue(now, name, limits, *wanted, *returned);
        let wait = u32::try_from(issue.wait.as_millis()).unwrap_or(u32::MAX);
        Some((name.clone(), issue.tokens, wait))
    };
    Some(requests.iter().filter_map(issue).collect())
}

/// Adds tokens that the keeper has issued to this host.
pub(super) fn apply_issues(gateway: &Gateway, issues: &[TokenIssue]) {
    let now = Instant::now();
    for (tenant, tokens, wait) in issues {
        let issue = Issue {
            tokens: *tokens,
            wait: Duration::from_millis((*wait).into()),
        };
        with_allowance(gateway, tenant, |allowance| allowance.record_issue(now, issue));
    }
    gateway.tenancy.tokens_changed.notify_waiters();
}

/// Asks readers whether the configuration is in force, and reads it if none answers.
async fn verify_configuration(gateway: Rc<Gateway>) {
    let Some(bound) = gateway.bounds.revocation else {
        return;
    };
    loop {
        let jitter = gateway.rng.borrow_mut().random_range(0.8..1.0);
        sleep(VERIFY_PERIOD.mul_f64(jitter)).await;
        let has_tenants = gateway.catalog.borrow().as_ref().is_some_and(|c| c.tenants.is_some());
        if !has_tenants {
            continue;
        }
        let now = boot_time();
        let freshness = gateway.tenancy.freshness.get();
        record_acceptance(&gateway, freshness.accepts(now, bound));
        if freshness.age(now).is_none_or(|age| age >= VERIFY_PERIOD / 2) {
            ask_readers(&gateway, freshness.asks_all(now, bound));
        }
        if freshness.needs_read(now, bound) {
            gateway.feed.request_read(Topic::Operators);
        }
    }
}

fn record_acceptance(gateway: &Gateway, is_accepted: bool) {
    let is_unsure = !is_accepted;
    if gateway.tenancy.is_unsure.replace(is_unsure) == is_unsure {
        return;
    }
    if is_accepted {
        info!(
            gateway.log,
            "credentials are accepted again: the configuration is known to be in force"
        );
    } else {
        warn!(
            gateway.log,
            "credentials aren't accepted: the configuration may have changed unnoticed"
        );
    }
}

pub(super) fn ask_readers(gateway: &Gateway, asks_all: bool) {
    let own = &gateway.settings.host;
    let zone = |host: &HostName| gateway.hosts.borrow().get(host).map(|presence| presence.zone.clone());
    let mut targets: Vec<HostName> = readers(gateway).into_iter().filter(|host| host != own).collect();
    if !asks_all {
        // The first reader of the own zone, or the first one of all.
        targets.sort_by_key(|host| zone(host).as_ref() != Some(&gateway.settings.zone));
        targets.truncate(1);
    }
    let number = gateway.tenancy.next_question.get();
    gateway.tenancy.next_question.set(number + 1);
    let mut questions = gateway.tenancy.questions.borrow_mut();
    questions.insert(number, boot_time());
    while questions.len() > QUESTIONS_MAX {
        questions.pop_first();
    }
    for target in targets {
        gateway.outbox.send_to(target, Message::FreshnessRequest { number });
    }
}

/// Builds the answer to a question for the configuration in force; `None` if this host doesn't know.
pub(super) fn answer_freshness(gateway: &Gateway, number: u64) -> Option<Message> {
    let age = gateway.tenancy.freshness.get().age(boot_time())?;
    Some(Message::Freshness {
        number,
        age_ms: u64::try_from(age.as_millis()).ok()?.saturating_add(1),
        next: gateway.feed.next_offset(Topic::Operators)?,
        era: gateway.feed.era(),
        version: known_version(gateway),
    })
}

/// Returns the version of the configuration that this host knows; 0 without one.
fn known_version(gateway: &Gateway) -> u64 {
    gateway.catalog.borrow().as_ref().map_or(0, |catalog| catalog.version.0)
}

/// Applies the answer to a question, whose sender knows the operators' records before an offset of an era, and a version of the
/// configuration. If this host lacks one of them, or the two know different eras of the store, it learns nothing. The version
/// counts because the store may have lost the record that the sender knows.
pub(super) fn record_freshness(
    gateway: &Gateway,
    number: u64,
    age_ms: u64,
    (era, next): (StoreEra, Offset),
    version: u64,
) {
    let asked = gateway.tenancy.questions.borrow().get(&number).copied();
    let own_next = gateway.feed.next_offset(Topic::Operators);
    let has_records = era == gateway.feed.era() && own_next.is_some_and(|own| own >= next);
    let knows_all = has_records && known_version(gateway) >= version;
    if let Some(asked) = asked.filter(|_| knows_all) {
        let mut freshness = gateway.tenancy.freshness.get();
        freshness.record_answer(asked, Duration::from_millis(age_ms));
        gateway.tenancy.freshness.set(freshness);
    }
}
