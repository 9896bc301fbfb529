//! Calls to upstreams about the keys that they hold: lease commands and health checks.

use std::rc::Rc;
use std::time::Duration;

use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::Full;
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use super::connect::{CALL_BODY_MAX_BYTES, CallError, Endpoint};
use super::links::record_link_failure;
use super::peers::Message;
use super::state::Gateway;
use crate::fleet::LoadReport;
use crate::keys::{GrantOutcome, Holder, ReleaseOutcome};
use crate::platform::{INSTANCE, LeaseCommand, encode_command, read_cold, read_handover, read_load};
use crate::types::{PoolName, UpstreamName};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a grant, to which upstreams respond at once; as long as a renewal period.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of the whole call that sends a grant, including the connection; the grant may still leave
/// this host until then.
pub(super) const GRANT_CALL_TIMEOUT: Duration = CONNECT_TIMEOUT.saturating_add(GRANT_TIMEOUT);
/// Timeout of a question for the load; shorter than the time between two.
const LOAD_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before a grant to a cold upstream, in which the other hosts learn that it is cold.
const COLD_NOTICE_DELAY: Duration = Duration::from_millis(30);
/// Timeout of a release, to which upstreams respond once their requests in flight for the keys have ended.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);

/// Logs and counts a call whose response exceeded a limit.
pub(super) fn record_call_limit(gateway: &Gateway, upstream: &UpstreamName, error: Option<&CallError>) {
    if let Some(CallError::TooLarge(limit)) = error {
        gateway.metrics.count_exceeded_limit("upstream");
        warn!(gateway.log, "upstream exceeded a limit; its connection is closed"; "upstream" => %upstream,
            "error" => limit);
    }
}

fn find_endpoint(gateway: &Gateway, holder: &Holder) -> Option<Rc<Endpoint>> {
    let address = *gateway.grants.addresses.borrow().get(holder)?;
    let mut endpoints = gateway.grants.endpoints.borrow_mut();
    let endpoint = endpoints
        .entry(holder.clone())
        .or_insert_with(|| Rc::new(Endpoint::new(address, CONNECT_TIMEOUT, CALL_BODY_MAX_BYTES)));
    Some(Rc::clone(endpoint))
}

/// Checks whether an upstream whose connection broke is cold, and notifies all hosts before it gets
/// keys, as they would otherwise send it the load of a warm one.
pub(super) async fn check_cold(gateway: &Gateway, pool: &PoolName, holder: &Holder) {
    let path = gateway
        .catalog
        .borrow()
        .as_ref()
        .and_then(|c| c.pools.get(pool).map(|p| p.health_path.clone()));
    let (Some(path), Some(endpoint)) = (path, find_endpoint(gateway, holder)) else {
        return;
    };
    let request = Request::get(path).header(HOST, "upstream").body(Full::default());
    let Ok(request) = request else {
        return;
    };
    // If the check gets no response, the grant fails as well; its retry repeats the check.
    let response = endpoint.call(request, GRANT_TIMEOUT).await;
    record_call_limit(gateway, &holder.upstream, response.as_ref().err());
    let Ok(response) = response else {
        return;
    };
    let cold = read_cold(response.headers());
    info!(gateway.log, "upstream asked after a broken connection"; "upstream" => %holder.upstream,
        "status" => response.status().as_u16(), "cold_ms" => u64::try_from(cold.as_millis()).unwrap_or(u64::MAX));
    if !cold.is_zero() {
        record_cold(gateway, &holder.upstream, cold);
        gateway.outbox.send(Message::Cold {
            upstream: holder.upstream.clone(),
            millis: u64::try_from(cold.as_millis()).unwrap_or(u64::MAX),
        });
        sleep(COLD_NOTICE_DELAY).await;
    }
}

/// Asks an owner of keys for its load; `None` if it doesn't respond or doesn't tell.
pub(super) async fn request_load(gateway: &Gateway, pool: &PoolName, holder: &Holder) -> Option<LoadReport> {
    let catalog = gateway.catalog.borrow().clone()?;
    let path = &catalog.pools.get(pool)?.health_path;
    let endpoint = find_endpoint(gateway, holder)?;
    gateway.metrics.count_lease_call("load");
    let request = Request::get(path).header(HOST, "upstream").body(Full::default()).ok()?;
    // Without a report the share of the owner stays as it is until the next round.
    let response = endpoint.call(request, LOAD_TIMEOUT).await;
    record_call_limit(gateway, &holder.upstream, response.as_ref().err());
    read_load(response.ok()?.headers())
}

/// Records that an upstream is cold for the given time.
pub(crate) fn record_cold(gateway: &Gateway, upstream: &UpstreamName, time: Duration) {
    gateway.fleet.borrow_mut().suspect_cold(Instant::now(), upstream, time);
}

/// Sends a grant. A renewal goes only to the process that accepted the lease.
pub(super) async fn grant(
    gateway: &Gateway,
    holder: &Holder,
    command: &LeaseCommand,
    is_renewal: bool,
) -> GrantOutcome {
    let Some(endpoint) = find_endpoint(gateway, holder) else {
        return GrantOutcome::NotSent;
    };
    gateway.metrics.count_lease_call("grant");
    let lease = (holder.clone(), command.fence());
    let session = gateway.grants.sessions.borrow().get(&lease).copied();
    if is_renewal && session.is_none() {
        return GrantOutcome::NotSent;
    }
    let request = encode_command(command, &holder.upstream);
    let session = session.filter(|_| is_renewal);
    let result = endpoint.call_in_session(session, request, GRANT_TIMEOUT).await;
    record_call_limit(gateway, &holder.upstream, result.as_ref().err());
    if result.is_err() {
        record_link_failure(gateway, &holder.upstream);
    }
    match result {
        Ok((response, session)) => match response.status() {
            StatusCode::OK => {
                gateway.grants.sessions.borrow_mut().insert(lease, session);
                GrantOutcome::Taken
            }
            StatusCode::CONFLICT => GrantOutcome::Fenced,
            StatusCode::MISDIRECTED_REQUEST => GrantOutcome::Broken,
            _ => GrantOutcome::Unknown,
        },
        Err(CallError::NotSent(_) | CallError::Refused) => GrantOutcome::NotSent,
        Err(CallError::Broken(_) | CallError::TooLarge(_)) => GrantOutcome::Broken,
        Err(CallError::TimedOut(_)) => GrantOutcome::Unknown,
    }
}

pub(super) async fn release(gateway: &Gateway, holder: &Holder, command: &LeaseCommand) -> ReleaseOutcome {
    let Some(endpoint) = find_endpoint(gateway, holder) else {
        return ReleaseOutcome::Unknown;
    };
    gateway.metrics.count_lease_call("release");
    let request = encode_command(command, &holder.upstream);
    let response = endpoint.call(request, RELEASE_TIMEOUT).await;
    record_call_limit(gateway, &holder.upstream, response.as_ref().err());
    if response.is_err() {
        record_link_failure(gateway, &holder.upstream);
    }
    match response {
        Ok(response) if response.status() == StatusCode::OK => {
            ReleaseOutcome::Released(read_handover(response.headers()))
        }
        // Another process has the address, so the one that held the keys has ended.
        Ok(response)
            if response.status() == StatusCode::MISDIRECTED_REQUEST && response.headers().contains_key(INSTANCE) =>
        {
            ReleaseOutcome::Released(None)
        }
        Err(CallError::Refused) => ReleaseOutcome::Refused,
        Ok(_) | Err(_) => ReleaseOutcome::Unknown,
    }
}
