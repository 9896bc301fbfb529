//! The upstreams that a host knows, with their health and load, and the choice among them.
//!
//! The table follows the announcements of upstreams, which hosts read from the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::budget::RateLimiter;
use crate::catalog::{Announcement, Phase};
use crate::types::{PoolName, UpstreamName, Zone};

mod health;
mod homes;
mod links;
mod load;
mod pick;
mod runs;
mod speeds;
mod suspects;

#[cfg(test)]
mod tests;

pub(crate) use health::{Health, Outcome};
pub(crate) use homes::HostRing;
pub(crate) use links::Links;
pub(crate) use load::{Load, LoadReport};
pub(crate) use pick::{Locality, PickCriteria, expected_latency, pick_upstream};
pub(crate) use runs::{LINGER, Run, RunEnd, Runs};
pub(crate) use speeds::{Observations, Observed, PoolSpeeds, SpeedBook, Speeds};
pub(crate) use suspects::{Crash, CrashReport, Fingerprint, RequestReport, Suspects};

/// Grace period after a store outage for upstreams whose entries have expired; upstreams announce
/// themselves again within about two seconds after the store's return.
pub(crate) const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// Longest time between the writing and the reading of an announcement, on a host that receives no
/// updates from readers.
const ANNOUNCEMENT_LAG: Duration = Duration::from_millis(1_500);
/// Smallest time by which the end of a cold period has to come earlier to count as a change; greater than the
/// usual time between the writing and the reading of an announcement. A later end always counts: hosts that
/// didn't learn of it would send a cold upstream the load of a warm one.
const COLD_END_TOLERANCE: Duration = Duration::from_secs(1);
/// Time for which a draining owner of keys still receives requests while its keys are reassigned;
/// well below the shortest drain bound.
const HANDOFF_TIME: Duration = Duration::from_millis(800);

/// An upstream as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) announcement: Announcement,
    /// When the upstream first stated in a response that it is leaving, whatever it announces.
    leaving_since: Option<Instant>,
    /// When this host learnt of the incarnation.
    pub(crate) known_since: Instant,
    /// When this host learnt of the current phase.
    pub(crate) phase_since: Instant,
    /// End of the cold period; in the past if the upstream isn't cold.
    pub(crate) cold_until: Instant,
    /// When the upstream was last suspected to be cold.
    suspected_at: Option<Instant>,
    /// When another host requested the next announcement, because it suspects a restart.
    requested_at: Option<Instant>,
    /// End of the grace period, if the entry expired around a store outage.
    pub(crate) grace_until: Option<Instant>,
    pub(crate) health: Health,
    pub(crate) load: Load,
    /// End of the pause that the upstream wanted when it last refused a request.
    pub(crate) paused_until: Option<Instant>,
    /// Limit that the upstream named in its last response.
    pub(crate) limiter: Option<RateLimiter>,
}

/// Incarnation of an upstream and sequence number of its announcement; greater is newer.
type AnnouncementVersion = (u64, u64);

/// The upstreams and the zones that are out of service.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    upstreams: BTreeMap<UpstreamName, Upstream>,
    pools: BTreeMap<PoolName, BTreeSet<UpstreamName>>,
    /// Newest version for each name. Versions of removed upstreams are kept, so that a late
    /// announcement doesn't bring an upstream back.
    versions: BTreeMap<UpstreamName, AnnouncementVersion>,
    /// Zones that operators have taken out of service.
    closed_zones: BTreeSet<Zone>,
    /// When the store last failed or responded again after a failure; the grace period of expired entries
    /// starts then.
    store_failure: Option<Instant>,
}

/// Effect of an announcement on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing that affects decisions.
    None,
    /// The announcement is older than the newest one, or the last one of a removed upstream.
    Stale,
    /// A new upstream, a new incarnation of a known one, or one that changed its pool.
    Joined,
    /// The phase, address, slots or cold period changed, an expired entry came back, or another host
    /// requested the announcement.
    Updated,
}

impl Fleet {
    /// Applies an announcement.
    pub(crate) fn announce(&mut self, now: Instant, announcement: Announcement) -> Change {
        let version = (announcement.incarnation, announcement.sequence);
        let known = self.versions.get(&announcement.upstream).copied();
        let is_present = self.upstreams.contains_key(&announcement.upstream);
        if known.is_some_and(|known| version < known || (version == known && !is_present)) {
            return Change::Stale;
        }
        self.versions.insert(announcement.upstream.clone(), version);
        let cold_until = now + announcement.cold_left;
        match self.upstreams.get_mut(&announcement.upstream) {
            Some(upstream)
                if upstream.announcement.incarnation == announcement.incarnation
                    && upstream.announcement.pool == announcement.pool =>
            {
                // The return of an expired entry counts as a change, so that readers relay it: other hosts
                // may have dropped the upstream.
                let was_expired = upstream.grace_until.take().is_some();
                let is_same_phase = upstream.announcement.phase == announcement.phase;
                let was_requested = upstream.requested_at.is_some_and(|at| now >= at + ANNOUNCEMENT_LAG);
                upstream.requested_at = upstream.requested_at.filter(|_| !was_requested);
                let is_unchanged = is_same_phase
                    && !was_expired
                    && !was_requested
                    && upstream.announcement.address == announcement.address
                    && upstream.announcement.slots == announcement.slots;
                if !is_same_phase {
                    upstream.phase_since = now;
                }
                let old_end = upstream.cold_until.max(now);
                // Within the lag, the announcement may have been written before the suspicion.
                let is_fresh = upstream.suspected_at.is_none_or(|at| now >= at + ANNOUNCEMENT_LAG);
                let new_end = if is_fresh { cold_until } else { cold_until.max(old_end) };
                let is_same_cold_end = new_end <= old_end && old_end.duration_since(new_end) < COLD_END_TOLERANCE;
                if !is_same_cold_end {
                    upstream.cold_until = new_end;
                }
                upstream.announcement = announcement;
                if is_unchanged && is_same_cold_end {
                    Change::None
                } else {
                    Change::Updated
                }
            }
            _ => {
                self.drop_upstream(&announcement.upstream.clone());
                self.insert(now, cold_until, announcement);
                Change::Joined
            }
        }
    }

    fn insert(&mut self, now: Instant, cold_until: Instant, announcement: Announcement) {
        // An address belongs to one process at a time, so the previous one there has ended.
        let previous = self
            .upstreams
            .values()
            .find(|u| u.announcement.address == announcement.address);
        if let Some(previous) = previous.map(|u| u.announcement.upstream.clone()) {
            self.drop_upstream(&previous);
        }
        let names = self.pools.entry(announcement.pool.clone()).or_default();
        names.insert(announcement.upstream.clone());
        let upstream = Upstream {
            leaving_since: None,
            known_since: now,
            phase_since: now,
            cold_until,
            suspected_at: None,
            requested_at: None,
            grace_until: None,
            health: Health::default(),
            load: Load::new(now, announcement.slots),
            paused_until: None,
            limiter: None,
            announcement,
        };
        self.upstreams.insert(upstream.announcement.upstream.clone(), upstream);
    }

    /// Applies the removal of an upstream's entry.
    ///
    /// Around a store outage the entry may merely have expired. A ready upstream then stays for a
    /// grace period, after which [`Fleet::expire`] drops it unless its entry has come back.
    pub(crate) fn remove(&mut self, now: Instant, name: &UpstreamName) {
        let grace_end = self.store_failure.map(|at| at + EXPIRY_GRACE).filter(|&end| end > now);
        match (grace_end, self.upstreams.get_mut(name)) {
            (Some(end), Some(upstream)) if upstream.is_staying() => {
                upstream.grace_until.get_or_insert(end);
            }
            _ => self.drop_upstream(name),
        }
    }

    /// Records that an upstream states that it is leaving. Returns its incarnation if this is new.
    pub(crate) fn record_leaving(&mut self, now: Instant, name: &UpstreamName) -> Option<u64> {
        let upstream = self.upstreams.get_mut(name).filter(|u| u.leaving_since.is_none())?;
        upstream.leaving_since = Some(now);
        Some(upstream.announcement.incarnation)
    }

    /// Treats an upstream as cold before it announces so. Returns true if it wasn't cold before.
    pub(crate) fn suspect_cold(&mut self, now: Instant, name: &UpstreamName, time: Duration) -> bool {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return false;
        };
        let is_new = !upstream.is_cold(now);
        upstream.cold_until = upstream.cold_until.max(now + time);
        upstream.suspected_at = Some(now);
        is_new
    }

    /// Records that another host needs an upstream's next announcement, even if it changes nothing
    /// here.
    pub(crate) fn request_announcement(&mut self, now: Instant, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.requested_at = Some(now);
        }
    }

    fn drop_upstream(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.remove(name)
            && let Some(names) = self.pools.get_mut(&upstream.announcement.pool)
        {
            names.remove(name);
        }
    }

    /// Records that the store failed, or that it responds again after a failure. Grace periods start anew
    /// from `now`, because upstreams can announce themselves again only after the store's return.
    pub(crate) fn record_store_failure(&mut self, now: Instant) {
        self.store_failure = Some(now);
        for upstream in self.upstreams.values_mut() {
            if let Some(end) = &mut upstream.grace_until {
                *end = now + EXPIRY_GRACE;
            }
        }
    }

    /// Drops the upstreams whose grace period has ended, and returns their names.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<UpstreamName> {
        let is_over = |u: &&Upstream| u.grace_until.is_some_and(|end| end <= now);
        let names: Vec<_> = self
            .upstreams
            .values()
            .filter(is_over)
            .map(|u| u.announcement.upstream.clone())
            .collect();
        for name in &names {
            self.drop_upstream(name);
        }
        names
    }

    /// Applies a complete listing: the upstreams that it doesn't contain are removed as by
    /// [`Fleet::remove`].
    pub(crate) fn retain(&mut self, now: Instant, listed: &BTreeSet<UpstreamName>) {
        let missing = self.upstreams.keys().filter(|name| !listed.contains(*name));
        for name in missing.cloned().collect::<Vec<_>>() {
            self.remove(now, &name);
        }
    }

    pub(crate) fn close_zone(&mut self, zone: Zone) {
        self.closed_zones.insert(zone);
    }

    pub(crate) fn open_zone(&mut self, zone: &Zone) {
        self.closed_zones.remove(zone);
    }

    /// Opens the closed zones for which `is_closed` returns false.
    pub(crate) fn retain_closed_zones(&mut self, is_closed: impl Fn(&Zone) -> bool) {
        self.closed_zones.retain(|zone| is_closed(zone));
    }

    pub(crate) fn is_closed(&self, zone: &Zone) -> bool {
        self.closed_zones.contains(zone)
    }

    pub(crate) fn get(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &UpstreamName) -> Option<&mut Upstream> {
        self.upstreams.get_mut(name)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &UpstreamName> {
        self.upstreams.keys()
    }

    /// Forgets failures of this host's own requests, and suspicions that rest on them.
    pub(crate) fn clear_failures(&mut self, now: Instant) {
        for upstream in self.upstreams.values_mut() {
            upstream.health = Health::default();
            if upstream.suspected_at.take().is_some() && upstream.announcement.cold_left.is_zero() {
                upstream.cold_until = upstream.cold_until.min(now);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the upstreams of a pool in any state.
    pub(crate) fn in_pool<'a>(&'a self, pool: &PoolName) -> impl Iterator<Item = &'a Upstream> {
        let names = self.pools.get(pool).into_iter().flatten();
        names.filter_map(|name| self.upstreams.get(name))
    }

    /// Returns the upstreams of a pool in any state, to be changed.
    pub(crate) fn in_pool_mut<'a>(&'a mut self, pool: &PoolName) -> impl Iterator<Item = &'a mut Upstream> {
        let names = self.pools.get(pool);
        let upstreams = self.upstreams.iter_mut();
        upstreams
            .filter_map(move |(name, upstream)| names.is_some_and(|names| names.contains(name)).then_some(upstream))
    }

    /// Reports whether an upstream accepts requests that any upstream of its pool may run.
    pub(crate) fn is_in_service(&self, upstream: &Upstream) -> bool {
        upstream.is_staying() && !self.is_closed(&upstream.announcement.zone)
    }

    /// Reports whether an owner of keys accepts requests for them, which includes a short time after
    /// it started draining.
    pub(crate) fn serves_keys(&self, now: Instant, upstream: &Upstream) -> bool {
        let draining_since = (upstream.announcement.phase == Phase::Draining).then_some(upstream.phase_since);
        let leaves_since = upstream.leaving_since.into_iter().chain(draining_since).min();
        let is_leaving = leaves_since.is_some_and(|since| now >= since + HANDOFF_TIME);
        !self.is_closed(&upstream.announcement.zone) && !is_leaving
    }
}

impl Upstream {
    /// Reports whether the upstream neither announces that it is draining nor states that it is leaving.
    fn is_staying(&self) -> bool {
        self.announcement.phase == Phase::Ready && self.leaving_since.is_none()
    }

    /// Reports whether the upstream has joined, or its pause has ended, within a time. This host then has no open
    /// connection to it.
    pub(crate) fn is_new_since(&self, now: Instant, time: Duration) -> bool {
        let pause_end = self.paused_until.filter(|&end| end <= now);
        now < self.known_since.max(pause_end.unwrap_or(self.known_since)) + time
    }

    /// Returns the end of the pause that the upstream wants, if it lasts.
    pub(crate) fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|&end| now < end)
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }
}
