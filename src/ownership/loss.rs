//! Which owners are lost, by the reports of the hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::fold::State;
use crate::membership::{Instance, Liveness, majority};
use crate::settings::Timing;
use crate::tables::Pool;
use crate::types::{HostName, UpstreamName};

/// Collects the upstreams that each host can't reach.
#[derive(Debug)]
pub(crate) struct LossDetector {
    me: Instance,
    fresh: Duration,
    reports: BTreeMap<HostName, Sighting>,
}

#[derive(Debug)]
struct Sighting {
    sender: Instance,
    at: Instant,
    unreachable: BTreeSet<UpstreamName>,
}

impl LossDetector {
    pub(crate) fn new(me: Instance, timing: &Timing) -> Self {
        Self {
            me,
            fresh: timing.detection.0,
            reports: BTreeMap::new(),
        }
    }

    /// Notes what a host, this one included, can't reach.
    pub(crate) fn note_unreachable(&mut self, now: Instant, sender: &Instance, unreachable: BTreeSet<UpstreamName>) {
        let sighting = Sighting {
            sender: sender.clone(),
            at: now,
            unreachable,
        };
        self.reports.insert(sender.host.clone(), sighting);
    }

    /// Gives the lost upstreams: more than half of the hosts with a routing lease can't reach them,
    /// or one can't and the platform's list says that their machine is gone.
    ///
    /// Nothing is lost without the reports of a majority of the members, nor while all upstreams of
    /// a pool would be: then the observers are cut off, or no upstream is left to move to.
    pub(crate) fn lost(
        &self,
        now: Instant,
        state: &State,
        liveness: &Liveness,
        gone: &BTreeSet<HostName>,
    ) -> BTreeSet<UpstreamName> {
        let voters = self.voters(now, state, liveness);
        if voters.len() < majority(&state.membership) {
            return BTreeSet::new();
        }
        let keyed = state.tables.pools.values().filter(|pool| pool.is_keyed());
        keyed.flat_map(|pool| lost_in(pool, &voters, gone)).cloned().collect()
    }

    /// Recent reports of members that hold a routing lease.
    fn voters(&self, now: Instant, state: &State, liveness: &Liveness) -> Vec<&Sighting> {
        let holders: BTreeSet<&HostName> = liveness.lease_holders(now, self.fresh).collect();
        let recent = |s: &&Sighting| now.saturating_duration_since(s.at) <= self.fresh;
        self.reports
            .values()
            .filter(recent)
            .filter(|s| s.sender == self.me || holders.contains(&s.sender.host))
            .filter(|s| s.sender.is_member(&state.membership))
            .collect()
    }
}

fn lost_in<'a>(
    pool: &'a Pool,
    voters: &[&Sighting],
    gone: &BTreeSet<HostName>,
) -> impl Iterator<Item = &'a UpstreamName> + use<'a> {
    let is_lost = |(name, upstream): &(&UpstreamName, &crate::tables::Upstream)| {
        let blind = voters.iter().filter(|s| s.unreachable.contains(*name)).count();
        2 * blind > voters.len() || (blind > 0 && gone.contains(&upstream.host))
    };
    let lost: Vec<&UpstreamName> = pool.upstreams.iter().filter(is_lost).map(|(name, _)| name).collect();
    let whole = lost.len() == pool.upstreams.len();
    lost.into_iter().filter(move |_| !whole)
}
