//! Chooses the upstream of a request that any upstream of its pool may run.
//!
//! Answers to the load patterns of slow, grey and noisy upstreams and of zones of unequal load: the
//! one with the least expected time among a few drawn ones, in the host's own zone while there is
//! room. A few drawn ones instead of all keep hosts with the same reports from sending all to one.

use std::time::Duration;

use rand::RngExt;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::{Fleet, Upstream};
use crate::types::{PoolName, UpstreamName, Zone};

/// Candidates drawn in each of the two groups, the own zone and the others.
const DRAWN: usize = 3;
/// Most expected time, in usual times, at which the own zone counts as having room.
const PREFER_ROOM: f64 = 1.35;
/// The same for large answers, whose way between zones is dear.
const STRONGLY_PREFER_ROOM: f64 = 2.2;

/// Whether the own zone goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    Prefer,
    /// Large answers: another zone only if the own one would be late.
    StronglyPrefer,
}

/// What a request needs of its upstream.
#[derive(Clone, Debug)]
pub(crate) struct PickCriteria<'a> {
    pub(crate) pool: &'a PoolName,
    pub(crate) zone: &'a Zone,
    pub(crate) locality: Locality,
    /// Upstreams to which the request was sent already.
    pub(crate) tried: &'a [UpstreamName],
}

/// Chooses an upstream among those that `has_room` admits.
pub(crate) fn pick_upstream(
    now: Instant,
    fleet: &Fleet,
    criteria: &PickCriteria<'_>,
    rng: &mut impl RngExt,
    has_room: impl Fn(&Upstream) -> bool,
) -> Option<UpstreamName> {
    let usable = |u: &&Upstream| {
        fleet.is_in_service(u)
            && u.health.admits(now)
            && !criteria.tried.contains(&u.announcement.upstream)
            && has_room(u)
    };
    let candidates: Vec<&Upstream> = fleet.in_pool(criteria.pool).filter(usable).collect();
    let (near, far): (Vec<&Upstream>, Vec<&Upstream>) = candidates
        .into_iter()
        .partition(|u| u.announcement.zone == *criteria.zone);
    let near = draw_best(now, &near, rng);
    let far = draw_best(now, &far, rng);
    let chosen = match (near, far) {
        (Some((near, time)), Some((far, other))) => {
            let room = match criteria.locality {
                Locality::Prefer => PREFER_ROOM,
                Locality::StronglyPrefer => STRONGLY_PREFER_ROOM,
            };
            if time <= room || time <= other * room {
                near
            } else {
                far
            }
        }
        (Some((only, _)), None) | (None, Some((only, _))) => only,
        (None, None) => return None,
    };
    Some(chosen.announcement.upstream.clone())
}

fn draw_best<'a>(now: Instant, group: &[&'a Upstream], rng: &mut impl RngExt) -> Option<(&'a Upstream, f64)> {
    let drawn = group.iter().copied().sample(rng, DRAWN);
    let timed = drawn.into_iter().map(|u| (u, u.load.latency_factor(now)));
    timed.min_by(|(_, a), (_, b)| a.total_cmp(b))
}

/// Estimates how long a request at an upstream takes.
pub(crate) fn expected_latency(now: Instant, upstream: &Upstream, typical: Duration) -> Duration {
    typical.mul_f64(upstream.load.latency_factor(now))
}
