//! Feeds the planner with loads and keeps its plans until they are carried out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::fold::{RangeTable, State};
use crate::ownership::Plan;
use crate::placement::{
    Candidate, History, Input, Limits, LoadReport, LoadTable, RangeMove, UpstreamState, plan_moves,
};
use crate::tables::Upstream;
use crate::types::{HostName, KeyHash, KeyRange, PoolName, UpstreamName};

/// Time between two plans; losses are planned for at once.
const PLAN_EVERY: Duration = Duration::from_millis(250);
/// Time between two reports of loads; with 64 ranges each they cost less than 2 KB/s.
const REPORT_EVERY: Duration = Duration::from_secs(2);
/// Time over which loads are averaged.
const WINDOW: Duration = Duration::from_secs(20);
/// Reports older than this are not counted; their host may be gone.
const REPORT_AGE: Duration = Duration::from_secs(10);
/// Hottest ranges that a report names.
const REPORT_RANGES: usize = 64;
/// Single hashes that a host follows.
const HOT_HASHES: usize = 256;

/// Loads of all pools.
pub(crate) type Loads = BTreeMap<PoolName, LoadReport>;

/// Loads and plans of the pools divided by key.
#[derive(Debug)]
pub(super) struct PlanSource {
    limits: Limits,
    loads: BTreeMap<PoolName, LoadTable>,
    peers: BTreeMap<HostName, (Instant, Loads)>,
    reported: Instant,
    pools: BTreeMap<PoolName, PoolPlan>,
    planned: Option<Instant>,
    lost: BTreeSet<UpstreamName>,
}

#[derive(Debug, Default)]
struct PoolPlan {
    history: History,
    pending: Vec<RangeMove>,
}

/// What else than loads decides whether an upstream gets ranges.
pub(super) struct Conditions<'a> {
    pub(super) lost: &'a BTreeSet<UpstreamName>,
    /// Machines that the platform's list calls leaving.
    pub(super) leaving: &'a BTreeSet<HostName>,
    /// Concurrency limits of upstreams in slow start.
    pub(super) cold: &'a BTreeMap<UpstreamName, u32>,
}

impl PlanSource {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            limits: Limits::default(),
            loads: BTreeMap::new(),
            peers: BTreeMap::new(),
            reported: now,
            pools: BTreeMap::new(),
            planned: None,
            lost: BTreeSet::new(),
        }
    }

    /// Counts a request.
    pub(super) fn note_load(&mut self, pool: &PoolName, range: KeyRange, hash: KeyHash, now: Instant) {
        if !self.loads.contains_key(pool) {
            self.loads.insert(pool.clone(), LoadTable::new(now, WINDOW, HOT_HASHES));
        }
        if let Some(table) = self.loads.get_mut(pool) {
            table.record(now, range, hash, 1.0);
        }
    }

    /// Gives the loads to send to peers, if it is time for them.
    pub(super) fn due_report(&mut self, now: Instant) -> Option<Loads> {
        if now < self.reported + REPORT_EVERY {
            return None;
        }
        self.reported = now;
        Some(self.own_loads(now))
    }

    fn own_loads(&mut self, now: Instant) -> Loads {
        self.loads
            .iter_mut()
            .map(|(pool, table)| (pool.clone(), table.report(now, REPORT_RANGES)))
            .collect()
    }

    /// Takes the loads of a peer.
    pub(super) fn note_peer_loads(&mut self, host: &HostName, loads: Loads, now: Instant) {
        self.peers.insert(host.clone(), (now, loads));
    }

    /// Forgets the plans of an earlier term.
    pub(super) fn reset(&mut self) {
        self.pools.clear();
        self.planned = None;
    }

    /// Gives all moves that are planned and not carried out.
    pub(super) fn plan(&mut self, now: Instant, state: &State, conditions: &Conditions<'_>) -> Plan {
        let due = self.planned.is_none_or(|at| now >= at + PLAN_EVERY) || self.lost != *conditions.lost;
        if due {
            self.planned = Some(now);
            self.lost.clone_from(conditions.lost);
            self.plan_pools(now, state, conditions);
        }
        let pending = self.pools.iter().filter(|(_, plan)| !plan.pending.is_empty());
        pending
            .map(|(pool, plan)| (pool.clone(), plan.pending.clone()))
            .collect()
    }

    fn plan_pools(&mut self, now: Instant, state: &State, conditions: &Conditions<'_>) {
        let own = self.own_loads(now);
        self.peers.retain(|_, (at, _)| now < *at + REPORT_AGE);
        for (name, table) in &state.ranges {
            let Some(pool) = state.tables.pools.get(name) else {
                continue;
            };
            let upstreams: BTreeMap<UpstreamName, Candidate> = pool
                .upstreams
                .iter()
                .map(|(n, u)| (n.clone(), describe(n, u, state, conditions)))
                .collect();
            let mut loads = own.get(name).cloned().unwrap_or_default();
            self.peers
                .values()
                .filter_map(|(_, l)| l.get(name))
                .for_each(|l| loads.merge(l));
            let plan = self.pools.entry(name.clone()).or_default();
            plan.pending
                .retain(|m| is_open(m, table) && upstreams.get(&m.to).is_some_and(|c| c.state.is_serving()));
            let input = Input {
                ranges: table,
                loads: &loads,
                upstreams: &upstreams,
                pending: &plan.pending,
            };
            let moves = plan_moves(now, &input, &mut plan.history, &self.limits);
            plan.pending.extend(moves);
        }
    }
}

fn describe(name: &UpstreamName, upstream: &Upstream, state: &State, conditions: &Conditions<'_>) -> Candidate {
    let upstream_state = if conditions.lost.contains(name) {
        UpstreamState::Lost
    } else if !state.in_service(&upstream.host, &upstream.zone) {
        UpstreamState::Out
    } else if conditions.leaving.contains(&upstream.host) {
        UpstreamState::Leaving
    } else if let Some(&limit) = conditions.cold.get(name) {
        UpstreamState::Ramping { limit }
    } else {
        UpstreamState::Serving
    };
    Candidate {
        zone: upstream.zone.clone(),
        slots: upstream.slots,
        state: upstream_state,
    }
}

/// Tells whether a move is still to be made: its range has the owner that the plan started from,
/// and is not yet one entry of the new owner.
fn is_open(planned: &RangeMove, table: &RangeTable) -> bool {
    let mut parts = table.overlapping(planned.range).peekable();
    let Some(from) = &planned.from else {
        return parts.peek().is_none();
    };
    if parts.peek().is_none() {
        return false;
    }
    let merged = *from == planned.to;
    let whole = table
        .find_range(planned.range.first)
        .is_some_and(|info| info.range == planned.range);
    let frozen = table.overlapping(planned.range).any(|info| info.frozen.is_some());
    parts.all(|info| info.owner == from) && !(merged && whole && !frozen)
}
