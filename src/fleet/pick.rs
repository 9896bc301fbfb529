//! Chooses the upstream for a request that any upstream of its pool may run.
//!
//! With many hosts and upstreams, each pair exchanges a request so seldom that connections would close before they are
//! used again. So upstreams that this host has an idle connection to come first while one of them has room. Each host
//! thereby uses a few upstreams in calm, more in a burst, and others than its neighbours. Some requests go to upstreams
//! that have just joined or wanted a pause, which otherwise would get none in calm.
//!
//! Uses the power of d choices: the upstream with the lowest expected latency among a few drawn at
//! random, in the host's own zone while that has room. Comparing all upstreams instead would let hosts
//! with the same load reports send all their requests to the same one. The choice copes with upstreams
//! that are slow, fail part of their requests or have noisy neighbours, and with zones of unequal load.

use std::time::Duration;

use rand::RngExt;
use rand::seq::{IteratorRandom, SliceRandom};
use tokio::time::Instant;

use super::{Fleet, Upstream};
use crate::types::{PoolName, UpstreamName, Zone};

/// Upstreams drawn from each of the two groups, the host's own zone and all other zones.
const SAMPLE_SIZE: usize = 3;
/// The host's own zone counts as having room up to this latency factor. Beyond it, the zone is still
/// used while its factor is at most this many times that of the other zones.
const PREFER_ROOM: f64 = 1.35;
/// Latency factor up to which an upstream with an idle connection counts as having room.
const CONNECTED_ROOM: f64 = 1.2;
/// Time for which an upstream is new to this host, after it has joined or its pause has ended.
const NEWCOMER_TIME: Duration = Duration::from_secs(8);
/// Share of the requests that go to new upstreams even if others have idle connections.
const NEWCOMER_SHARE: f64 = 0.1;
/// Replaces `PREFER_ROOM` for large responses; higher, because they are costly to send between zones.
const STRONGLY_PREFER_ROOM: f64 = 2.2;

/// How strongly the host's own zone is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    Prefer,
    /// For large responses: another zone is used only if the host's own zone is much slower.
    StronglyPrefer,
}

/// Requirements of a request on its upstream.
#[derive(Clone, Debug)]
pub(crate) struct PickCriteria<'a> {
    pub(crate) pool: &'a PoolName,
    /// Zone of this host.
    pub(crate) zone: &'a Zone,
    pub(crate) locality: Locality,
    /// Upstreams to which the request was already sent; they are not chosen again.
    pub(crate) tried: &'a [UpstreamName],
    /// Upstreams of any pool that this host has an idle connection to.
    pub(crate) connected: &'a [UpstreamName],
}

/// Chooses an upstream among those for which `has_room` returns true.
pub(crate) fn pick_upstream(
    now: Instant,
    fleet: &Fleet,
    criteria: &PickCriteria<'_>,
    rng: &mut impl RngExt,
    has_room: impl Fn(&Upstream) -> bool,
) -> Option<UpstreamName> {
    let is_usable = |u: &&Upstream| {
        fleet.is_in_service(u)
            && u.health.admits(now)
            && !criteria.tried.contains(&u.announcement.upstream)
            && has_room(u)
    };
    let is_local = |u: &&Upstream| u.announcement.zone == *criteria.zone;
    let has_local = fleet
        .in_pool(criteria.pool)
        .any(|u| is_local(&u) && fleet.is_in_service(u));
    // The hosts of each zone find out about its own new upstreams.
    let is_near = |u: &&Upstream| !has_local || is_local(u);
    if rng.random_bool(NEWCOMER_SHARE) {
        let is_new = |u: &&Upstream| is_near(u) && u.is_new_since(now, NEWCOMER_TIME);
        let newcomers: Vec<&Upstream> = fleet.in_pool(criteria.pool).filter(is_new).filter(is_usable).collect();
        if let Some((upstream, factor)) = draw_best(now, &newcomers, rng)
            && factor <= PREFER_ROOM
        {
            return Some(upstream.announcement.upstream.clone());
        }
    }
    let connected = criteria.connected.iter().filter_map(|name| fleet.get(name));
    let connected: Vec<&Upstream> = connected
        .filter(|u| u.announcement.pool == *criteria.pool && is_near(u))
        .filter(is_usable)
        .collect();
    if let Some((upstream, factor)) = draw_best(now, &connected, rng)
        && factor <= CONNECTED_ROOM
    {
        return Some(upstream.announcement.upstream.clone());
    }
    let candidates: Vec<&Upstream> = fleet.in_pool(criteria.pool).filter(is_usable).collect();
    let (local, remote): (Vec<&Upstream>, Vec<&Upstream>) = candidates.into_iter().partition(is_local);
    let local = draw_best(now, &local, rng);
    let remote = draw_best(now, &remote, rng);
    let chosen = match (local, remote) {
        (Some((local, local_factor)), Some((remote, remote_factor))) => {
            let room = match criteria.locality {
                Locality::Prefer => PREFER_ROOM,
                Locality::StronglyPrefer => STRONGLY_PREFER_ROOM,
            };
            if local_factor <= room || local_factor <= remote_factor * room {
                local
            } else {
                remote
            }
        }
        (Some((only, _)), None) | (None, Some((only, _))) => only,
        (None, None) => return None,
    };
    Some(chosen.announcement.upstream.clone())
}

/// Draws a sample and returns its upstream with the lowest latency factor, and that factor.
fn draw_best<'a>(now: Instant, group: &[&'a Upstream], rng: &mut impl RngExt) -> Option<(&'a Upstream, f64)> {
    let mut drawn = group.iter().copied().sample(rng, SAMPLE_SIZE);
    // Of upstreams with equal factors the first one wins, and a sample keeps the order of its group.
    drawn.shuffle(rng);
    let rated = drawn.into_iter().map(|u| (u, u.load.latency_factor(now)));
    rated.min_by(|(_, a), (_, b)| a.total_cmp(b))
}

/// Estimates the latency of a request at an upstream from the typical latency of its route.
pub(crate) fn expected_latency(now: Instant, upstream: &Upstream, typical: Duration) -> Duration {
    typical.mul_f64(upstream.load.latency_factor(now))
}
