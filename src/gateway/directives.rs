//! Applies what upstreams state in their responses about the requests that they take.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use rand::RngExt;
use slog::info;
use tokio::time::Instant;

use super::peers::Message;
use super::state::Gateway;
use crate::budget::RateLimiter;
use crate::platform::{read_leaving, read_limit, read_pause};
use crate::types::{Rate, UpstreamName};

/// Applies the headers of a response.
pub(super) fn apply_directives(
    gateway: &Gateway,
    now: Instant,
    upstream: &UpstreamName,
    status: StatusCode,
    headers: &HeaderMap,
) {
    apply_limit(gateway, now, upstream, read_limit(headers));
    if status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(pause) = read_pause(headers)
    {
        apply_pause(gateway, now, upstream, pause);
    }
    if read_leaving(headers) {
        let incarnation = gateway.fleet.borrow_mut().record_leaving(now, upstream);
        if let Some(incarnation) = incarnation {
            info!(gateway.log, "upstream states that it is leaving"; "upstream" => %upstream, "born" => incarnation);
            gateway.outbox.send(Message::Leaving {
                upstream: upstream.clone(),
                incarnation,
            });
        }
    }
}

/// Records that an upstream wants no requests of this host for a time.
fn apply_pause(gateway: &Gateway, now: Instant, upstream: &UpstreamName, pause: Duration) {
    let mut fleet = gateway.fleet.borrow_mut();
    if let Some(entry) = fleet.get_mut(upstream) {
        if entry.pause_end(now).is_none() {
            info!(gateway.log, "upstream wants a pause"; "upstream" => %upstream,
                "ms" => u64::try_from(pause.as_millis()).unwrap_or(u64::MAX));
        }
        entry.paused_until = entry.paused_until.max(Some(now + pause));
    }
}

/// Records that another host had a response in which an upstream states that it is leaving.
pub(super) fn record_leaving(gateway: &Gateway, upstream: &UpstreamName, incarnation: u64) {
    let mut fleet = gateway.fleet.borrow_mut();
    let is_same = fleet
        .get(upstream)
        .is_some_and(|u| u.announcement.incarnation == incarnation);
    if is_same && fleet.record_leaving(Instant::now(), upstream).is_some() {
        info!(gateway.log, "upstream is leaving, as another host reports"; "upstream" => %upstream,
            "born" => incarnation);
    }
}

/// Applies the limit that an upstream names in a response; `None` if it names none.
fn apply_limit(gateway: &Gateway, now: Instant, upstream: &UpstreamName, limit: Option<Rate>) {
    let mut fleet = gateway.fleet.borrow_mut();
    let Some(entry) = fleet.get_mut(upstream) else {
        return;
    };
    match (limit, &mut entry.limiter) {
        (None, None) => {}
        (None, limiter) => {
            info!(gateway.log, "upstream names no limit any more"; "upstream" => %upstream);
            *limiter = None;
        }
        (Some(limit), Some(limiter)) if limiter.limit() == limit => {}
        (Some(limit), limiter) => {
            info!(gateway.log, "upstream names a limit"; "upstream" => %upstream, "limit" => %limit,
                "hosts" => gateway.host_count());
            match limiter {
                Some(limiter) => limiter.set_limit(now, limit, gateway.division(upstream.as_str())),
                None => *limiter = Some(RateLimiter::new(now, limit, gateway.rng.borrow_mut().random())),
            }
        }
    }
}
