//! Chooses the upstream for an attempt: the owner of the key, or any upstream of an unsharded pool.

use std::time::Duration;

use tokio::time::{Instant, sleep_until, timeout_at};

use super::answer::Refusal;
use super::request::{RequestContext, build_refusal, draw_retry_after};
use super::state::Gateway;
use crate::catalog::Pool;
use crate::fleet::{Locality, PickCriteria, Upstream, expected_latency, pick_upstream};
use crate::types::{Reason, UpstreamName, Verdict};

/// Longest wait for the new owner of a moving key; running requests for it end within a few hundred
/// milliseconds.
const OWNER_WAIT_MAX: Duration = Duration::from_millis(400);
/// Range that `Retry-After` is drawn from while a key has no owner.
const NO_OWNER_RETRY_AFTER_MS: (u64, u64) = (150, 400);
/// Range that `Retry-After` is drawn from while a key's owner is overloaded: about the time in which its queue is
/// served, spread so that callers don't return together.
const OVERLOAD_RETRY_AFTER_MS: (u64, u64) = (200, 1_200);
/// Number of unreachable upstreams after which a request is refused.
const UNREACHABLE_MAX: usize = 3;
/// Expected latency, as a multiple of the time until the deadline, above which a request is refused
/// at once.
const DEADLINE_TOLERANCE: f64 = 1.3;

/// Chooses the upstream for the next attempt.
pub(super) async fn choose_upstream(gateway: &Gateway, ctx: &RequestContext) -> Result<UpstreamName, Refusal> {
    let Some(pool) = ctx.catalog.pools.get(&ctx.pool) else {
        return Err(build_refusal(gateway, ctx, Reason::NoUpstream));
    };
    if ctx.unreachable.len() >= UNREACHABLE_MAX {
        return Err(build_refusal(gateway, ctx, Reason::UpstreamUnreachable));
    }
    match ctx.key {
        Some(key) => choose_owner(gateway, ctx, pool, key).await,
        None => choose_any(gateway, ctx, pool),
    }
}

fn choose_any(gateway: &Gateway, ctx: &RequestContext, pool: &Pool) -> Result<UpstreamName, Refusal> {
    let now = Instant::now();
    let fleet = gateway.fleet.borrow();
    let is_non_idempotent = !ctx.route.idempotency.is_retryable();
    let connected = gateway.connections.connected_upstreams(now, is_non_idempotent);
    let criteria = PickCriteria {
        pool: &ctx.pool,
        zone: &gateway.settings.zone,
        locality: if gateway.is_large(&ctx.route) {
            Locality::StronglyPrefer
        } else {
            Locality::Prefer
        },
        tried: &ctx.tried,
        connected: &connected,
    };
    let has_room = |u: &_| gateway.has_room(now, pool, u);
    let picked = pick_upstream(now, &fleet, &criteria, &mut *gateway.rng.borrow_mut(), has_room);
    let picked = picked.ok_or_else(|| {
        let has_upstream = fleet.in_pool(&ctx.pool).any(|u| fleet.is_in_service(u));
        build_refusal(
            gateway,
            ctx,
            if !has_upstream {
                Reason::NoUpstream
            } else if fleet.in_pool(&ctx.pool).any(|u| u.pause_end(now).is_some()) {
                Reason::UpstreamPaused
            } else if fleet.in_pool(&ctx.pool).any(|u| !gateway.admits_limited(now, u)) {
                Reason::UpstreamLimited
            } else {
                Reason::QueueFull
            },
        )
    })?;
    match fleet.get(&picked) {
        Some(upstream) if misses_deadline(gateway, ctx, now, upstream) => {
            Err(build_refusal(gateway, ctx, Reason::QueueFull))
        }
        _ => Ok(picked),
    }
}

/// Reports whether an upstream is expected to respond long after the deadline.
fn misses_deadline(gateway: &Gateway, ctx: &RequestContext, now: Instant, upstream: &Upstream) -> bool {
    let expected = expected_latency(now, upstream, gateway.typical_latency(&ctx.route));
    expected > ctx.deadline.saturating_duration_since(now).mul_f64(DEADLINE_TOLERANCE)
}

/// State of a key's ownership.
enum Ownership {
    Owned(UpstreamName),
    /// The key is moving to a new owner.
    Moving,
    /// The owner could not be reached; connecting may be tried again at this time.
    Unreachable(Instant),
    /// No owner accepts requests, and none is expected soon.
    Unavailable,
}

/// Chooses the owner of a key. Waits a short time while the key moves or its owner is unreachable.
async fn choose_owner(gateway: &Gateway, ctx: &RequestContext, pool: &Pool, key: u16) -> Result<UpstreamName, Refusal> {
    let wait_until = (Instant::now() + OWNER_WAIT_MAX).min(ctx.deadline);
    loop {
        let changed = gateway.tables_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let now = Instant::now();
        match find_owner(gateway, ctx, now, key) {
            Ownership::Owned(owner) => {
                let fleet = gateway.fleet.borrow();
                let upstream = fleet.get(&owner);
                if let Some(end) = upstream.and_then(|u| u.pause_end(now)) {
                    return Err(Refusal {
                        retry_after: (ctx.verdict == Verdict::NotRun).then(|| end - now),
                        ..build_refusal(gateway, ctx, Reason::UpstreamPaused)
                    });
                }
                if upstream.is_some_and(|u| !gateway.admits_limited(now, u)) {
                    return Err(build_refusal(gateway, ctx, Reason::UpstreamLimited));
                }
                if ctx.tried.is_empty() && !gateway.admits_by_share(now, &ctx.pool, &owner, ctx.class) {
                    return Err(Refusal::not_run(
                        Reason::OwnerOverloaded,
                        Some(draw_retry_after(gateway, OVERLOAD_RETRY_AFTER_MS)),
                    ));
                }
                let upstream = upstream.filter(|u| gateway.has_room(now, pool, u));
                return match upstream.filter(|u| !misses_deadline(gateway, ctx, now, u)) {
                    Some(_) => Ok(owner),
                    None => Err(build_refusal(gateway, ctx, Reason::QueueFull)),
                };
            }
            Ownership::Unreachable(until) if until < wait_until => sleep_until(until).await,
            Ownership::Moving if timeout_at(wait_until, changed).await.is_ok() => {}
            Ownership::Moving | Ownership::Unreachable(_) | Ownership::Unavailable => {
                return Err(Refusal {
                    reason: Reason::NoOwner,
                    verdict: ctx.verdict,
                    retry_after: (ctx.verdict == Verdict::NotRun)
                        .then(|| draw_retry_after(gateway, NO_OWNER_RETRY_AFTER_MS)),
                });
            }
        }
    }
}

fn find_owner(gateway: &Gateway, ctx: &RequestContext, now: Instant, key: u16) -> Ownership {
    let tables = gateway.tables.borrow();
    let Some(assignment) = tables.get(&ctx.pool).map(|table| table.find(key)) else {
        return Ownership::Unavailable;
    };
    let Some(owner) = assignment.owner.as_ref().filter(|_| assignment.ready) else {
        return if gateway.is_moving(now, &ctx.pool, assignment.fence) {
            Ownership::Moving
        } else {
            Ownership::Unavailable
        };
    };
    let fleet = gateway.fleet.borrow();
    let upstream = fleet
        .get(&owner.upstream)
        .filter(|u| u.announcement.incarnation == owner.incarnation);
    let Some(upstream) = upstream.filter(|u| fleet.serves_keys(now, u)) else {
        return Ownership::Unavailable;
    };
    // The owner refused this request: it doesn't hold the key yet, or no longer holds it.
    if ctx.stale_owner.as_ref() == Some(&owner.upstream) {
        return Ownership::Moving;
    }
    match upstream.health.backoff_until(now) {
        Some(until) => Ownership::Unreachable(until),
        None => Ownership::Owned(owner.upstream.clone()),
    }
}
