//! The upstreams that a host knows: a table of entities and the systems that keep it true.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::catalog::{Announcement, Phase};
use crate::types::{PoolName, UpstreamName, Zone};

mod health;
mod load;
mod pick;
mod suspects;

#[cfg(test)]
mod tests;

pub(crate) use health::{Health, Outcome};
pub(crate) use load::{Load, LoadReport};
pub(crate) use pick::{Locality, PickCriteria, expected_latency, pick_upstream};
pub(crate) use suspects::{Fingerprint, Suspects};

/// Time after the store's return within which upstreams whose entries lapsed announce themselves
/// again; from the users' second letter, about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// Longest time from the writing of an announcement to its reading, on a host that hears no reader.
const ANNOUNCE_LAG: Duration = Duration::from_millis(1_500);
/// Difference of two announced ends of a cold time that says nothing; above the time between the
/// writing and the reading of an announcement.
const COLD_TOLERANCE: Duration = Duration::from_secs(1);
/// Use of a leaving owner of keys while its keys move; well inside the shortest bound on draining.
const HANDOFF_TIME: Duration = Duration::from_millis(800);

/// An upstream as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct Upstream {
    pub(crate) announcement: Announcement,
    /// When this host learnt of its present phase.
    pub(crate) since: Instant,
    /// Until when it counts as cold.
    pub(crate) cold_until: Instant,
    /// When it was last suspected to have turned cold.
    suspected: Option<Instant>,
    /// When another host asked for its next announcement, as it suspects a restart.
    asked: Option<Instant>,
    /// Its entry lapsed during an outage of the store; until when it may come back.
    pub(crate) lapsed_until: Option<Instant>,
    pub(crate) health: Health,
    pub(crate) load: Load,
}

/// Number of a run of an upstream and of its announcement.
type Stamp = (u64, u64);

/// The table of upstreams.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    upstreams: BTreeMap<UpstreamName, Upstream>,
    pools: BTreeMap<PoolName, BTreeSet<UpstreamName>>,
    /// Newest announcement of each name, also of names that are gone: an older one that arrives
    /// late must not bring an upstream back.
    stamps: BTreeMap<UpstreamName, Stamp>,
    /// Zones that operators took out of service.
    closed_zones: BTreeSet<Zone>,
    /// When the store last failed to answer.
    store_failed: Option<Instant>,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing that decisions use.
    None,
    /// It is older than what is known.
    Stale,
    /// A new upstream, or a new run of a known one.
    Joined,
    /// Its phase, address, load limits or cold time changed, its entry is back after it lapsed, or
    /// another host asked for it.
    Updated,
}

impl Fleet {
    /// Takes in an announcement.
    pub(crate) fn announce(&mut self, now: Instant, announcement: Announcement) -> Change {
        let stamp = (announcement.incarnation, announcement.sequence);
        let known = self.stamps.get(&announcement.upstream).copied();
        let present = self.upstreams.contains_key(&announcement.upstream);
        if known.is_some_and(|known| stamp < known || (stamp == known && !present)) {
            return Change::Stale;
        }
        self.stamps.insert(announcement.upstream.clone(), stamp);
        let cold_until = now + announcement.cold_left;
        match self.upstreams.get_mut(&announcement.upstream) {
            Some(upstream)
                if upstream.announcement.incarnation == announcement.incarnation
                    && upstream.announcement.pool == announcement.pool =>
            {
                // A host that learns of this only now must hear of it, as it may have dropped the upstream.
                let was_lapsed = upstream.lapsed_until.take().is_some();
                let is_same_phase = upstream.announcement.phase == announcement.phase;
                let was_asked = upstream.asked.is_some_and(|at| now >= at + ANNOUNCE_LAG);
                upstream.asked = upstream.asked.filter(|_| !was_asked);
                let is_same = is_same_phase
                    && !was_lapsed
                    && !was_asked
                    && upstream.announcement.address == announcement.address
                    && upstream.announcement.slots == announcement.slots;
                if !is_same_phase {
                    upstream.since = now;
                }
                let former_end = upstream.cold_until;
                // An announcement that is read now may be from before the suspicion.
                let is_fresh = upstream.suspected.is_none_or(|at| now >= at + ANNOUNCE_LAG);
                upstream.cold_until = if is_fresh {
                    cold_until
                } else {
                    cold_until.max(upstream.cold_until)
                };
                let is_same_cold = upstream.cold_until.max(now).duration_since(former_end.max(now)) < COLD_TOLERANCE
                    && former_end.max(now).duration_since(upstream.cold_until.max(now)) < COLD_TOLERANCE;
                upstream.announcement = announcement;
                if is_same && is_same_cold {
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
        // An address has one process at a time, so the former one there has ended.
        let former = self
            .upstreams
            .values()
            .find(|u| u.announcement.address == announcement.address);
        if let Some(former) = former.map(|u| u.announcement.upstream.clone()) {
            self.drop_upstream(&former);
        }
        let names = self.pools.entry(announcement.pool.clone()).or_default();
        names.insert(announcement.upstream.clone());
        let upstream = Upstream {
            since: now,
            cold_until,
            suspected: None,
            asked: None,
            lapsed_until: None,
            health: Health::default(),
            load: Load::new(now, announcement.slots),
            announcement,
        };
        self.upstreams.insert(upstream.announcement.upstream.clone(), upstream);
    }

    /// Takes in that an upstream's entry is gone.
    ///
    /// After an outage of the store the entry may only have lapsed; the upstream then stays until
    /// [`Fleet::expire`] finds that it didn't come back.
    pub(crate) fn remove(&mut self, now: Instant, name: &UpstreamName) {
        let lapse_ends = self.store_failed.map(|at| at + LAPSE_GRACE).filter(|&end| end > now);
        match (lapse_ends, self.upstreams.get_mut(name)) {
            (Some(end), Some(upstream)) if upstream.announcement.phase == Phase::Ready => {
                upstream.lapsed_until.get_or_insert(end);
            }
            _ => self.drop_upstream(name),
        }
    }

    /// Notes that an upstream is or may be cold, before it announces so; true if that is new.
    pub(crate) fn suspect_cold(&mut self, now: Instant, name: &UpstreamName, time: Duration) -> bool {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return false;
        };
        let is_new = !upstream.is_cold(now);
        upstream.cold_until = upstream.cold_until.max(now + time);
        upstream.suspected = Some(now);
        is_new
    }

    /// Notes that another host needs an upstream's next announcement, also if it changes nothing here.
    pub(crate) fn request_announcement(&mut self, now: Instant, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.asked = Some(now);
        }
    }

    fn drop_upstream(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.upstreams.remove(name)
            && let Some(names) = self.pools.get_mut(&upstream.announcement.pool)
        {
            names.remove(name);
        }
    }

    /// Notes that the store didn't answer.
    pub(crate) fn record_store_failure(&mut self, now: Instant) {
        self.store_failed = Some(now);
        for upstream in self.upstreams.values_mut() {
            if let Some(end) = &mut upstream.lapsed_until {
                *end = now + LAPSE_GRACE;
            }
        }
    }

    /// Drops upstreams whose entries lapsed and didn't come back, and gives their names.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<UpstreamName> {
        let over = |u: &&Upstream| u.lapsed_until.is_some_and(|end| end <= now);
        let names: Vec<_> = self
            .upstreams
            .values()
            .filter(over)
            .map(|u| u.announcement.upstream.clone())
            .collect();
        for name in &names {
            self.drop_upstream(name);
        }
        names
    }

    /// Keeps only the upstreams of a complete listing; the others are gone.
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

    /// Opens the zones that the test doesn't name.
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

    pub(crate) fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Gives the upstreams of a pool, whatever their state.
    pub(crate) fn in_pool<'a>(&'a self, pool: &PoolName) -> impl Iterator<Item = &'a Upstream> {
        let names = self.pools.get(pool).into_iter().flatten();
        names.filter_map(|name| self.upstreams.get(name))
    }

    /// Tells whether an upstream takes new work that any upstream of its pool may do.
    pub(crate) fn is_in_service(&self, upstream: &Upstream) -> bool {
        upstream.announcement.phase == Phase::Ready && !self.is_closed(&upstream.announcement.zone)
    }

    /// Tells whether an owner of keys takes requests for them, also for a short time after it
    /// began to leave.
    pub(crate) fn serves_keys(&self, now: Instant, upstream: &Upstream) -> bool {
        let is_leaving = upstream.announcement.phase == Phase::Draining;
        !self.is_closed(&upstream.announcement.zone) && (!is_leaving || now < upstream.since + HANDOFF_TIME)
    }
}

impl Upstream {
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }
}
