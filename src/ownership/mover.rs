//! The move protocol, as the leader drives it.
//!
//! What a move still needs follows from the folded state and from reports that hosts repeat: a
//! range is frozen until an `Assign` names its `Freeze`. A new leader therefore finishes or undoes
//! the moves of the old one, and an append whose answer was lost is made again: a `Freeze` of a
//! frozen range and an `Assign` for an ended `Freeze` change nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Drain, FreezeAck, FrozenGroup, FrozenGroups, GrantedRange, Revoke};
use super::{frozen_groups, ownership_of, run_limit};
use crate::fold::{RangeInfo, RangeTable, State};
use crate::membership::{APPEND_RETRY, Instance, Liveness, majority, outlast};
use crate::placement::{MoveCause, RangeMove};
use crate::records::{RangeOwner, Record};
use crate::settings::Timing;
use crate::tables::Ownership;
use crate::types::{HostName, KeyHash, KeyRange, Offset, PoolName, UpstreamName};

/// Ranges in one record; keeps it below half of the largest accepted record.
const BATCH: usize = 2_048;

/// A revocation without an answer is sent again after this time.
const REVOKE_RETRY: Duration = Duration::from_millis(100);

/// A leader that has not heard a majority for longer starts no move, because it could not finish.
const CONTACT: Duration = Duration::from_millis(500);

/// Planned moves by pool.
pub(crate) type Plan = BTreeMap<PoolName, Vec<RangeMove>>;

/// What the host must do for a move.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum MoveAction {
    Append(Record),
    /// Send a revocation; its answer goes to [`Mover::note_revoked`].
    Revoke(UpstreamName, Revoke),
}

/// Drives the moves of key ranges.
///
/// Every host feeds it with reports; only the leader's appends anything.
#[derive(Debug)]
pub(crate) struct Mover {
    lease: Duration,
    grant: Duration,
    /// Term for which `jobs` and `proposed` hold.
    term: Option<Offset>,
    jobs: BTreeMap<(PoolName, KeyHash), Job>,
    proposed: Vec<(Record, Instant)>,
    /// Offset at which `frozen` was read from the state.
    folded: Offset,
    frozen: FrozenGroups,
    freezes: BTreeMap<Offset, FreezeRow>,
    groups: BTreeMap<(Offset, UpstreamName), GroupRow>,
    membership: (Offset, bool),
    /// When the membership or its settling last changed, as far as this host knows.
    changed: Instant,
}

/// A planned move that is not finished.
#[derive(Debug)]
struct Job {
    range: KeyRange,
    from: Option<UpstreamName>,
    to: UpstreamName,
}

/// Progress of a `Freeze` over the hosts.
#[derive(Debug, Default)]
struct FreezeRow {
    /// When a majority was first known to have folded it.
    majority: Option<Instant>,
    stopped: Option<Stopped>,
}

/// From this instant on no host routes to the ranges or renews their grants.
#[derive(Clone, Copy, Debug)]
struct Stopped {
    at: Instant,
    /// All members have folded the `Freeze`; otherwise the leases of the others have ended.
    by_all: bool,
}

/// Progress of the ranges of one owner in a `Freeze`.
#[derive(Debug, Default)]
struct GroupRow {
    acks: BTreeMap<HostName, HostAck>,
    revoked: bool,
    revoke_sent: Option<Instant>,
}

#[derive(Debug)]
struct HostAck {
    sender: Instance,
    drain: Drain,
    /// Latest instant from which a grant of this host counts.
    renewed: Instant,
}

/// What the decisions of one tick read.
struct View<'a> {
    now: Instant,
    state: &'a State,
    liveness: &'a Liveness,
    lost: &'a BTreeSet<UpstreamName>,
    term: Offset,
}

impl Mover {
    pub(crate) fn new(timing: &Timing, now: Instant) -> Self {
        Self {
            lease: timing.routing_lease.0,
            grant: timing.grant.0,
            term: None,
            jobs: BTreeMap::new(),
            proposed: Vec::new(),
            folded: Offset(0),
            frozen: FrozenGroups::new(),
            freezes: BTreeMap::new(),
            groups: BTreeMap::new(),
            membership: (Offset(0), false),
            changed: now,
        }
    }

    /// Notes an acknowledgement of a host, this one included.
    pub(crate) fn note_ack(&mut self, now: Instant, sender: &Instance, ack: &FreezeAck) {
        let key = (ack.freeze, ack.owner.clone());
        if ack.freeze <= self.folded && !self.frozen.contains_key(&key) {
            return;
        }
        let renewed = now.checked_sub(ack.renewed.0).unwrap_or(now);
        let host_ack = HostAck {
            sender: sender.clone(),
            drain: ack.drain,
            renewed,
        };
        let row = self.groups.entry(key).or_default();
        row.acks.insert(sender.host.clone(), host_ack);
    }

    /// Notes that an upstream answered a revocation.
    pub(crate) fn note_revoked(&mut self, freeze: Offset, upstream: &UpstreamName) {
        if let Some(row) = self.groups.get_mut(&(freeze, upstream.clone())) {
            row.revoked = true;
        }
    }

    /// Follows the folded state and gives the leader's next steps.
    ///
    /// `term` is the term that this host leads; without one it only follows. `plan` may repeat
    /// moves that are in progress; a new target replaces the old one.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        state: &State,
        term: Option<Offset>,
        liveness: &Liveness,
        lost: &BTreeSet<UpstreamName>,
        plan: &Plan,
    ) -> Vec<MoveAction> {
        self.follow_state(now, state, liveness);
        if self.term != term {
            self.term = term;
            self.jobs.clear();
            self.proposed.clear();
        }
        let Some(term) = term else { return Vec::new() };
        let view = View {
            now,
            state,
            liveness,
            lost,
            term,
        };
        self.drop_jobs(&view);
        self.take_plan(&view, plan);
        let mut wanted = self.initial_assigns(&view);
        wanted.extend(self.wanted_freezes(&view));
        wanted.extend(self.wanted_assigns(&view));
        let mut actions = self.propose(now, wanted);
        actions.extend(self.wanted_revokes(&view));
        actions
    }

    fn follow_state(&mut self, now: Instant, state: &State, liveness: &Liveness) {
        let membership = (state.membership.version.offset, state.membership.settled);
        if self.membership != membership {
            self.membership = membership;
            self.changed = now;
        }
        if self.folded != state.folded {
            self.folded = state.folded;
            self.frozen = frozen_groups(state);
            let frozen = &self.frozen;
            self.groups
                .retain(|key, _| key.0 > state.folded || frozen.contains_key(key));
            self.freezes
                .retain(|freeze, _| frozen.keys().any(|(offset, _)| offset == freeze));
        }
        for key in self.frozen.keys() {
            self.groups.entry(key.clone()).or_default();
            let row = self.freezes.entry(key.0).or_default();
            row.follow(now, state, liveness, key.0, self.lease);
        }
    }

    /// Drops jobs that are done, whose range has meanwhile another owner, or whose target became
    /// unusable before the range was frozen.
    fn drop_jobs(&mut self, view: &View<'_>) {
        self.jobs.retain(|(pool, _), job| {
            let Some(table) = view.state.ranges.get(pool) else {
                return false;
            };
            let usable = view.is_usable(pool, &job.to);
            let parts: Vec<RangeInfo<'_>> = overlapping(table, job.range).collect();
            match &job.from {
                None => usable && parts.is_empty(),
                Some(from) => {
                    let under_way = parts.iter().any(|part| part.frozen.is_some());
                    let owned = !parts.is_empty() && parts.iter().all(|part| part.owner == from);
                    owned && (usable || under_way)
                }
            }
        });
    }

    fn take_plan(&mut self, view: &View<'_>, plan: &Plan) {
        for (pool, moves) in plan {
            for planned in moves.iter().filter(|m| view.is_usable(pool, &m.to)) {
                let key = (pool.clone(), planned.range.first);
                let known = self.jobs.get(&key).is_some_and(|job| job.range == planned.range);
                let sound = planned.from.is_none() == (planned.cause == MoveCause::Initial);
                if sound && (known || !self.overlaps_job(pool, planned.range)) {
                    let job = Job {
                        range: planned.range,
                        from: planned.from.clone(),
                        to: planned.to.clone(),
                    };
                    self.jobs.insert(key, job);
                }
            }
        }
        // Moves that don't fit the state, like those of an older plan, would fail whole records.
        self.drop_jobs(view);
    }

    fn overlaps_job(&self, pool: &PoolName, range: KeyRange) -> bool {
        self.job_before(pool, range.last)
            .is_some_and(|job| job.range.overlaps(range))
    }

    /// The last job that begins at a hash or before it.
    fn job_before(&self, pool: &PoolName, hash: KeyHash) -> Option<&Job> {
        let first = (pool.clone(), KeyHash::MIN);
        let (_, job) = self.jobs.range(first..=(pool.clone(), hash)).next_back()?;
        Some(job)
    }

    fn job_for(&self, pool: &PoolName, range: KeyRange) -> Option<&Job> {
        self.job_before(pool, range.first)
            .filter(|job| job.range.first <= range.first && range.last <= job.range.last)
    }

    fn initial_assigns(&self, view: &View<'_>) -> Vec<Record> {
        let mut by_pool: BTreeMap<&PoolName, Vec<RangeOwner>> = BTreeMap::new();
        for ((pool, _), job) in self.jobs.iter().filter(|(_, job)| job.from.is_none()) {
            by_pool.entry(pool).or_default().push(RangeOwner {
                range: job.range,
                frozen: Offset(0),
                owner: job.to.clone(),
            });
        }
        by_pool
            .into_iter()
            .flat_map(|(pool, ranges)| assign_records(view.term, pool, &ranges))
            .collect()
    }

    /// Freezes for jobs whose ranges are served, without those already proposed.
    fn wanted_freezes(&self, view: &View<'_>) -> Vec<Record> {
        if !view.liveness.hears_majority(view.now, view.state, CONTACT) {
            return Vec::new();
        }
        let mut by_pool: BTreeMap<&PoolName, Vec<KeyRange>> = BTreeMap::new();
        for ((pool, _), job) in self.jobs.iter().filter(|(_, job)| job.from.is_some()) {
            let Some(table) = view.state.ranges.get(pool) else {
                continue;
            };
            if is_served(table, job.range) {
                by_pool.entry(pool).or_default().push(job.range);
            }
        }
        by_pool
            .into_iter()
            .flat_map(|(pool, ranges)| self.freeze_records(view, pool, &ranges))
            .collect()
    }

    fn freeze_records(&self, view: &View<'_>, pool: &PoolName, ranges: &[KeyRange]) -> Vec<Record> {
        let freeze = |ranges: &[KeyRange]| Record::Freeze {
            base: view.state.folded,
            term: view.term,
            pool: pool.clone(),
            ranges: ranges.to_vec(),
        };
        let mut records: Vec<Record> = self.pending_freezes(view.now, pool).cloned().collect();
        let proposed: BTreeSet<KeyRange> = records.iter().flat_map(freeze_ranges).copied().collect();
        let fresh: Vec<KeyRange> = ranges.iter().filter(|r| !proposed.contains(r)).copied().collect();
        records.retain(|record| freeze_ranges(record).iter().any(|r| ranges.contains(r)));
        records.extend(fresh.chunks(BATCH).map(freeze));
        records
    }

    fn pending_freezes<'a>(&'a self, now: Instant, pool: &'a PoolName) -> impl Iterator<Item = &'a Record> {
        let recent = move |at: Instant| now < at + APPEND_RETRY;
        self.proposed
            .iter()
            .filter(move |(record, at)| {
                recent(*at) && matches!(record, Record::Freeze { pool: named, .. } if named == pool)
            })
            .map(|(record, _)| record)
    }

    fn wanted_assigns(&self, view: &View<'_>) -> Vec<Record> {
        let mut records = Vec::new();
        for ((freeze, owner), group) in &self.frozen {
            let cleared = self.is_cleared(view, *freeze, owner, group);
            let ranges = self.next_owners(view, *freeze, owner, group, cleared);
            records.extend(assign_records(view.term, &group.pool, &ranges));
        }
        records
    }

    /// Next owners of the ranges of a group that can be given out now.
    ///
    /// A range goes back to its owner at any time: no second owner is involved.
    fn next_owners(
        &self,
        view: &View<'_>,
        freeze: Offset,
        owner: &UpstreamName,
        group: &FrozenGroup,
        cleared: bool,
    ) -> Vec<RangeOwner> {
        let mut next: Vec<RangeOwner> = Vec::new();
        for GrantedRange { range, .. } in &group.ranges {
            let Some(to) = self.target(view, owner, group, *range) else {
                continue;
            };
            if to != *owner && !cleared {
                continue;
            }
            let job = self.job_for(&group.pool, *range).map(|job| job.range);
            match next.last_mut() {
                // Parts of one planned range become one entry again.
                Some(last)
                    if last.owner == to
                        && last.range.last.0.checked_add(1) == Some(range.first.0)
                        && job.is_some_and(|job| job.contains(last.range.first)) =>
                {
                    last.range.last = range.last;
                }
                Some(_) | None => next.push(RangeOwner {
                    range: *range,
                    frozen: freeze,
                    owner: to,
                }),
            }
        }
        next
    }

    /// The upstream that gets a frozen range: as planned if that is usable, else the present owner
    /// unless it is lost, else one that the hash decides.
    fn target(
        &self,
        view: &View<'_>,
        owner: &UpstreamName,
        group: &FrozenGroup,
        range: KeyRange,
    ) -> Option<UpstreamName> {
        let planned = self.job_for(&group.pool, range).map(|job| &job.to);
        if let Some(to) = planned.filter(|to| view.is_usable(&group.pool, to)) {
            return Some(to.clone());
        }
        let pool = view.state.tables.pools.get(&group.pool)?;
        if pool.upstreams.contains_key(owner) && !view.lost.contains(owner) {
            return Some(owner.clone());
        }
        let usable = pool.upstreams.keys().filter(|name| view.is_usable(&group.pool, name));
        usable
            .max_by_key(|name| xxh3_64_with_seed(name.as_str().as_bytes(), range.first.0))
            .cloned()
    }

    /// Tells whether no host and no upstream serves the group's ranges any more.
    fn is_cleared(&self, view: &View<'_>, freeze: Offset, owner: &UpstreamName, group: &FrozenGroup) -> bool {
        let Some(stopped) = self.freezes.get(&freeze).and_then(|row| row.stopped) else {
            return false;
        };
        let Some(row) = self.groups.get(&(freeze, owner.clone())) else {
            return false;
        };
        match ownership_of(view.state, &group.pool) {
            Some(Ownership::Fenced) => {
                row.revoked || view.now >= self.last_renewal(view, row, stopped) + outlast(self.grant)
            }
            Some(Ownership::Unfenced | Ownership::Shared) | None => {
                let limit = outlast(run_limit(view.state, &group.pool));
                let old_run = self.changed + limit;
                let ended = stopped.by_all && row.all_ended(view.state) && view.now >= old_run;
                let by_limit = view.now >= stopped.at + limit && (!stopped.by_all || view.now >= old_run);
                ended || by_limit
            }
        }
    }

    /// Latest instant from which a grant for the group's ranges can count.
    ///
    /// Members that left before the ranges stopped sent their last grants before they settled.
    fn last_renewal(&self, view: &View<'_>, row: &GroupRow, stopped: Stopped) -> Instant {
        if !stopped.by_all {
            return stopped.at;
        }
        let members = &view.state.membership.members;
        let renewed = members.iter().map(|(host, member)| {
            let ack = row.acks.get(host);
            ack.filter(|ack| ack.sender.incarnation == member.incarnation)
                .map_or(stopped.at, |ack| ack.renewed.min(stopped.at))
        });
        let latest = renewed.max().unwrap_or(stopped.at);
        latest.max(self.changed.min(stopped.at))
    }

    /// Revocations for planned moves whose requests have ended as far as hosts answer.
    fn wanted_revokes(&mut self, view: &View<'_>) -> Vec<MoveAction> {
        let mut actions = Vec::new();
        for ((freeze, owner), group) in &self.frozen {
            let stopped = self.freezes.get(freeze).and_then(|row| row.stopped);
            let fenced = ownership_of(view.state, &group.pool) == Some(Ownership::Fenced);
            let Some(row) = self.groups.get_mut(&(*freeze, owner.clone())) else {
                continue;
            };
            let due = row.revoke_sent.is_none_or(|at| view.now >= at + REVOKE_RETRY);
            let drained = row.has_drained(view.state);
            if stopped.is_none() || !fenced || row.revoked || !due || !drained || view.lost.contains(owner) {
                continue;
            }
            row.revoke_sent = Some(view.now);
            let revoke = Revoke {
                pool: group.pool.clone(),
                freeze: *freeze,
                ranges: group.ranges.clone(),
            };
            actions.push(MoveAction::Revoke(owner.clone(), revoke));
        }
        actions
    }

    /// Passes each wanted record on once per [`APPEND_RETRY`] and forgets the others.
    fn propose(&mut self, now: Instant, wanted: Vec<Record>) -> Vec<MoveAction> {
        let mut proposed = Vec::new();
        let mut actions = Vec::new();
        for record in wanted {
            let last = self.proposed.iter().find(|(known, _)| *known == record);
            let pending = last.map(|(_, at)| *at).filter(|&at| now < at + APPEND_RETRY);
            if pending.is_none() {
                actions.push(MoveAction::Append(record.clone()));
            }
            proposed.push((record, pending.unwrap_or(now)));
        }
        self.proposed = proposed;
        actions
    }
}

impl FreezeRow {
    fn follow(&mut self, now: Instant, state: &State, liveness: &Liveness, freeze: Offset, lease: Duration) {
        if self.stopped.is_some() {
            return;
        }
        let folded = liveness.folded_members(state, freeze).count();
        if self.majority.is_none() && folded >= majority(&state.membership) {
            self.majority = Some(now);
        }
        // While a change is not settled, an evicted host may still hold a lease.
        let by_all = state.membership.settled && folded == state.membership.members.len();
        let lapsed = self.majority.map(|at| at + outlast(lease)).filter(|&at| now >= at);
        self.stopped = match (by_all, lapsed) {
            (_, Some(at)) => Some(Stopped { at, by_all: false }),
            (true, None) => Some(Stopped { at: now, by_all: true }),
            (false, None) => None,
        };
    }
}

impl GroupRow {
    /// Tells whether all members said that all requests have ended.
    fn all_ended(&self, state: &State) -> bool {
        state.membership.members.iter().all(|(host, member)| {
            let ack = self.acks.get(host);
            ack.is_some_and(|a| a.sender.incarnation == member.incarnation && a.drain == Drain::Ended)
        })
    }

    /// Tells whether no host that acknowledged has requests in flight.
    fn has_drained(&self, state: &State) -> bool {
        let known = self.acks.values().filter(|a| a.sender.is_member(&state.membership));
        self.acks.len() >= majority(&state.membership) && known.into_iter().all(|a| a.drain != Drain::Busy)
    }
}

impl View<'_> {
    /// Tells whether an upstream may get ranges.
    fn is_usable(&self, pool: &PoolName, name: &UpstreamName) -> bool {
        let pool = self.state.tables.pools.get(pool);
        let upstream = pool.and_then(|pool| pool.upstreams.get(name));
        upstream.is_some_and(|u| self.state.in_service(&u.host, &u.zone)) && !self.lost.contains(name)
    }
}

fn assign_records(term: Offset, pool: &PoolName, ranges: &[RangeOwner]) -> Vec<Record> {
    let assign = |ranges: &[RangeOwner]| Record::Assign {
        term,
        pool: pool.clone(),
        ranges: ranges.to_vec(),
    };
    ranges.chunks(BATCH).map(assign).collect()
}

fn freeze_ranges(record: &Record) -> &[KeyRange] {
    match record {
        Record::Freeze { ranges, .. } => ranges,
        Record::Publish { .. }
        | Record::SetService { .. }
        | Record::Join { .. }
        | Record::Reform { .. }
        | Record::Evict { .. }
        | Record::Settle { .. }
        | Record::Claim { .. }
        | Record::Assign { .. }
        | Record::Snapshot { .. } => &[],
    }
}

/// Iterates over the entries that share a hash with a range.
fn overlapping(table: &RangeTable, range: KeyRange) -> impl Iterator<Item = RangeInfo<'_>> {
    let at_or_after = move |hash: KeyHash| {
        let next = || table.iter().find(|info| info.range.first > hash);
        table.find_range(hash).or_else(next)
    };
    let after = move |info: &RangeInfo<'_>| {
        let next = info.range.last.0.checked_add(1).map(KeyHash)?;
        (next <= range.last).then_some(next).and_then(at_or_after)
    };
    std::iter::successors(at_or_after(range.first), after).take_while(move |info| info.range.first <= range.last)
}

/// Tells whether a range is covered without a gap by entries that are not frozen.
fn is_served(table: &RangeTable, range: KeyRange) -> bool {
    let mut width = 0;
    for part in overlapping(table, range) {
        if part.frozen.is_some() {
            return false;
        }
        let first = part.range.first.max(range.first);
        let last = part.range.last.min(range.last);
        width += KeyRange { first, last }.width();
    }
    width == range.width()
}
