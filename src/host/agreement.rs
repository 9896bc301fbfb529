//! Runs the decisions on leases, leadership and ownership.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::credits::{follow_homes, tick_credits, tick_ejections};
use super::planner::{Conditions, Loads, PlanSource};
use super::proposal::{Proposal, propose};
use super::suspicion::tick_suspicion;
use super::upstream_calls::CallEnd;
use super::{Shared, reader};
use crate::fold::State;
use crate::log::Log;
use crate::membership::{Election, Instance, Lease, Liveness, Report, Site};
use crate::ownership::{Gate, Grant, Granter, Health, LossDetector, MoveAction, Mover, PassId, Revoke};
use crate::peer::{Heartbeat, HeartbeatAnswer};
use crate::records::{Envelope, Record};
use crate::settings::Settings;
use crate::types::{HostName, KeyHash, KeyRange, Offset, PoolName, RecordId, UpstreamName};

/// Time between two rounds of decisions; the guard of the lease covers one round.
const TICK: Duration = Duration::from_millis(20);
/// An append that is not visible by then is given up; the decisions repeat it.
const APPEND_LIMIT: Duration = Duration::from_secs(2);

/// The decision tables of this host.
#[derive(Debug)]
pub(crate) struct Agreement {
    tables: Mutex<Tables>,
}

#[derive(Debug)]
struct Tables {
    me: Instance,
    lease: Lease,
    liveness: Liveness,
    election: Election,
    gate: Gate,
    granter: Granter,
    health: Health,
    losses: LossDetector,
    mover: Mover,
    plans: PlanSource,
    /// Machines that the platform's list calls leaving.
    leaving: BTreeSet<HostName>,
    unreachable: BTreeSet<UpstreamName>,
    heartbeat_sent: Option<Instant>,
    was_leading: Option<Offset>,
    register_votes: bool,
    /// Offset of the state that this host last wrote as a snapshot.
    snapshot: Offset,
    /// The host is about to stop; others become home of its upstreams.
    draining: bool,
}

/// What a round of decisions asks the process to do.
#[derive(Debug, Default)]
struct Round {
    appends: Vec<Record>,
    revokes: Vec<(UpstreamName, Revoke)>,
    grants: Vec<(UpstreamName, Grant)>,
    probes: Vec<UpstreamName>,
    aborts: Vec<(PoolName, PassId)>,
    heartbeat: Option<Heartbeat>,
    live: Vec<HostName>,
    /// Parts of a snapshot, to be appended in order.
    snapshot: Vec<Record>,
}

impl Agreement {
    pub(crate) fn new(settings: &Settings, me: Instance, peers: SocketAddr, now: Instant) -> Self {
        let timing = &settings.timing;
        let site = Site {
            zone: settings.zone.clone(),
            address: peers,
        };
        let tables = Tables {
            lease: Lease::new(me.clone(), timing, now),
            liveness: Liveness::new(me.clone(), now),
            election: Election::new(me.clone(), site, timing, now),
            gate: Gate::new(),
            granter: Granter::new(timing, now),
            health: Health::new(timing, now),
            losses: LossDetector::new(me.clone(), timing),
            mover: Mover::new(timing, now),
            plans: PlanSource::new(now),
            leaving: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            heartbeat_sent: None,
            was_leading: None,
            register_votes: false,
            snapshot: Offset(0),
            draining: false,
            me,
        };
        Self {
            tables: Mutex::new(tables),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives access to the admission of requests to key ranges.
    pub(crate) fn with_gate<T>(&self, use_gate: impl FnOnce(&mut Gate) -> T) -> T {
        use_gate(&mut self.lock().gate)
    }

    /// Announces to the peers that this host is about to stop.
    pub(super) fn start_draining(&self) {
        self.lock().draining = true;
    }

    /// Tells whether this host may route.
    pub(crate) fn holds_lease(&self, now: Instant, state: &State) -> bool {
        self.lock().lease.holds(now, state)
    }

    /// Tells whether this host has run long enough to confirm the leases of others.
    pub(crate) fn confirms_peers(&self, now: Instant, state: &State) -> bool {
        self.lock().lease.confirms(now, state, state.folded)
    }

    /// Notes a read of the log that was sent at `asked`; its records must be folded.
    pub(crate) fn note_read(&self, asked: Instant, state: &State, next: Offset) {
        let mut tables = self.lock();
        tables.lease.note_read(asked, state, next);
        tables.election.note_read(Instant::now());
        let until = tables.lease.until(Instant::now(), state);
        tables.gate.set_lease(until);
    }

    /// Sets the machines that the platform's list calls leaving.
    pub(crate) fn set_leaving(&self, leaving: BTreeSet<HostName>) {
        self.lock().leaving = leaving;
    }

    /// Tells whether the platform's list calls a machine leaving.
    pub(crate) fn is_leaving(&self, host: &HostName) -> bool {
        self.lock().leaving.contains(host)
    }

    /// Adds load of one request to a key's range, for the planner.
    pub(crate) fn note_load(&self, pool: &PoolName, range: KeyRange, hash: KeyHash, now: Instant) {
        self.lock().plans.note_load(pool, range, hash, now);
    }

    /// Notes the answer of an upstream to a question sent at `asked`.
    fn note_call(&self, asked: Instant, upstream: &UpstreamName, end: &CallEnd) {
        let now = Instant::now();
        let mut tables = self.lock();
        match end {
            CallEnd::Answered(clock) => {
                tables.health.note_answer(asked, upstream);
                tables.granter.note_clock(now, upstream, *clock);
            }
            CallEnd::Refused => tables.health.note_refused(upstream),
            CallEnd::Failed => {}
        }
    }
}

impl Tables {
    fn describe(&mut self, now: Instant, state: &State, loads: Option<Loads>) -> Heartbeat {
        let report = Report {
            sender: self.me.clone(),
            folded: state.folded,
            leads: self.election.acting_term(now, state, &self.liveness),
            // Peers that wait for a stopping host's silence can't lend its upstreams' slots meanwhile.
            has_lease: !self.draining && self.lease.holds(now, state),
            register_votes: self.register_votes,
        };
        let acks = self.gate.acks(now, state, &self.granter);
        Heartbeat {
            report,
            acks,
            unreachable: self.unreachable.clone(),
            homes: BTreeMap::new(),
            loads,
        }
    }

    fn take_heartbeat(&mut self, now: Instant, state: &State, heartbeat: Heartbeat) {
        let sender = &heartbeat.report.sender;
        self.liveness.note_report(now, &heartbeat.report);
        self.election.note_report(now, state, &heartbeat.report);
        self.losses.note_unreachable(now, sender, heartbeat.unreachable);
        for ack in &heartbeat.acks {
            self.mover.note_ack(now, sender, ack);
        }
        if let Some(loads) = heartbeat.loads {
            self.plans.note_peer_loads(&sender.host, loads, now);
        }
    }

    fn decide(
        &mut self,
        now: Instant,
        state: &State,
        settings: &Settings,
        cold: &BTreeMap<UpstreamName, u32>,
        announcing: bool,
    ) -> Round {
        let mut round = Round::default();
        self.liveness.tick(now, state);
        let until = self.lease.until(now, state);
        self.gate.set_lease(until);
        round.aborts = self.gate.tick(now, state);
        round.grants = self.granter.tick(now, state, until);
        round.probes = self.health.tick(now, state);
        self.unreachable = self.health.unreachable(now, state);
        let me = self.me.clone();
        self.losses.note_unreachable(now, &me, self.unreachable.clone());
        for ack in self.gate.acks(now, state, &self.granter) {
            self.mover.note_ack(now, &me, &ack);
        }
        round.appends.extend(self.election.tick(now, state, &self.liveness));
        let retention = settings.platform.retention_records;
        self.move_ranges(now, state, cold, retention, &mut round);
        round.live = self.live_members(now, state, settings.timing.detection.0);
        let due = |sent| now >= sent + settings.timing.heartbeat.0;
        // A freeze waits for every host, so its acknowledgement doesn't wait for the next heartbeat.
        let urgent = announcing || !self.gate.acks(now, state, &self.granter).is_empty();
        if urgent || self.heartbeat_sent.is_none_or(due) {
            self.heartbeat_sent = Some(now);
            let loads = self.plans.due_report(now);
            round.heartbeat = Some(self.describe(now, state, loads));
        }
        round
    }

    fn move_ranges(
        &mut self,
        now: Instant,
        state: &State,
        cold: &BTreeMap<UpstreamName, u32>,
        retention: u64,
        round: &mut Round,
    ) {
        let term = self.election.acting_term(now, state, &self.liveness);
        let lost = self.losses.lost(now, state, &self.liveness, &self.leaving);
        if self.was_leading != term {
            self.plans.reset();
        }
        let conditions = Conditions {
            lost: &lost,
            leaving: &self.leaving,
            cold,
        };
        let plan = term
            .map(|_| self.plans.plan(now, state, &conditions))
            .unwrap_or_default();
        for action in self.mover.tick(now, state, term, &self.liveness, &lost, &plan) {
            match action {
                MoveAction::Append(record) => round.appends.push(record),
                MoveAction::Revoke(upstream, revoke) => round.revokes.push((upstream, revoke)),
            }
        }
        self.was_leading = term;
        if let Some(term) = term {
            round.snapshot = self.take_snapshot(state, term, retention);
        }
    }

    /// Writes the state if half of the retention has passed; one that is lost on the way is written
    /// again after another eighth.
    fn take_snapshot(&mut self, state: &State, term: Offset, retention: u64) -> Vec<Record> {
        let tried = self.snapshot.0 + retention / 8;
        if !state.snapshot_due(retention) || state.folded.0 < tried {
            return Vec::new();
        }
        self.snapshot = state.folded;
        state.take_snapshot(term)
    }

    /// Members that can start a broker: this host and those heard lately with a routing lease,
    /// without those that are about to stop.
    fn live_members(&self, now: Instant, state: &State, within: Duration) -> Vec<HostName> {
        let others = self.liveness.lease_holders(now, within).cloned();
        let starts = !self.draining && self.lease.holds(now, state);
        let me = starts.then(|| self.me.host.clone());
        others
            .chain(me)
            .filter(|host| state.membership.members.contains_key(host))
            .collect()
    }
}

/// Runs rounds of decisions until the task is aborted.
pub(super) async fn run_agreement(shared: Arc<Shared>, log: impl Log) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut folded = shared.folded.subscribe();
    let mut tables = Offset(0);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = folded.changed() => {}
        }
        let now = Instant::now();
        let round = {
            let state = shared.state();
            if tables != state.tables_version.offset {
                tables = state.tables_version.offset;
                let pools = &state.tables.pools;
                shared
                    .connector
                    .retain(|name| pools.values().any(|pool| pool.upstreams.contains_key(name)));
            }
            shared.peers.set_members(&state.membership);
            let cold = shared.credits.cold_limits();
            shared.agreement.lock().register_votes = shared.registry.is_voting();
            shared
                .agreement
                .lock()
                .decide(now, &state, &shared.settings, &cold, shared.credits.is_announcing())
        };
        tick_credits(&shared, &round.live, now);
        tick_suspicion(&shared, shared.peers.members(), now);
        tick_ejections(&shared, now);
        shared.metrics.set_lease(shared.holds_lease());
        carry_out(&shared, &log, round);
    }
}

fn carry_out(shared: &Arc<Shared>, log: &impl Log, round: Round) {
    if !round.snapshot.is_empty() {
        let (shared, log) = (Arc::clone(shared), log.clone());
        tokio::spawn(async move {
            for part in round.snapshot {
                append(Arc::clone(&shared), log.clone(), part).await;
            }
        });
    }
    for record in round.appends {
        tokio::spawn(append(Arc::clone(shared), log.clone(), record));
    }
    let addresses = upstream_addresses(&shared.state());
    for upstream in round.probes {
        let Some(&address) = addresses.get(&upstream) else {
            continue;
        };
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            let asked = Instant::now();
            let end = shared.calls.probe(address).await;
            shared.agreement.note_call(asked, &upstream, &end);
        });
    }
    for (upstream, grant) in round.grants {
        let Some(&address) = addresses.get(&upstream) else {
            continue;
        };
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            let asked = Instant::now();
            let end = shared.calls.grant(address, &grant).await;
            shared.agreement.note_call(asked, &upstream, &end);
        });
    }
    for (upstream, revoke) in round.revokes {
        let Some(&address) = addresses.get(&upstream) else {
            continue;
        };
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            let asked = Instant::now();
            let end = shared.calls.revoke(address, &revoke).await;
            shared.agreement.note_call(asked, &upstream, &end);
            if matches!(end, CallEnd::Answered(_)) {
                shared.agreement.lock().mover.note_revoked(revoke.freeze, &upstream);
            }
        });
    }
    for (_, pass) in round.aborts {
        shared.flights.abort(pass);
    }
    if let Some(mut heartbeat) = round.heartbeat {
        heartbeat.homes = shared.credits.homes();
        send_heartbeats(shared, &heartbeat);
    }
}

fn upstream_addresses(state: &State) -> BTreeMap<UpstreamName, SocketAddr> {
    let upstreams = state.tables.pools.values().flat_map(|pool| &pool.upstreams);
    upstreams
        .map(|(name, upstream)| (name.clone(), upstream.address))
        .collect()
}

async fn append(shared: Arc<Shared>, log: impl Log, body: Record) {
    let envelope = Envelope {
        id: RecordId::draw(),
        author: shared.settings.host.to_string(),
        body,
    };
    match propose(&shared, &log, &envelope, APPEND_LIMIT).await {
        Proposal::Folded { offset, outcome } => {
            info!(shared.log, "record folded"; "offset" => offset.0, "outcome" => ?outcome);
        }
        Proposal::Refused(why) | Proposal::Unknown(why) => {
            warn!(shared.log, "record not appended"; "error" => why);
        }
    }
}

fn send_heartbeats(shared: &Arc<Shared>, heartbeat: &Heartbeat) {
    let members: Vec<HostName> = shared.state().membership.members.keys().cloned().collect();
    for host in members.into_iter().filter(|host| *host != shared.settings.host) {
        tokio::spawn(send_heartbeat(Arc::clone(shared), host, heartbeat.clone()));
    }
}

async fn send_heartbeat(shared: Arc<Shared>, host: HostName, heartbeat: Heartbeat) {
    let asked = Instant::now();
    let folded = heartbeat.report.folded;
    let announced = heartbeat.homes.clone();
    let Ok(answer) = shared.peers.exchange_heartbeat(&host, heartbeat).await else {
        return;
    };
    let HeartbeatAnswer {
        heartbeat,
        confirms,
        records,
    } = answer;
    if confirms {
        let state = shared.state();
        let mut tables = shared.agreement.lock();
        tables.lease.note_confirmed(asked, &heartbeat.report.sender);
        let until = tables.lease.until(Instant::now(), &state);
        tables.gate.set_lease(until);
    }
    reader::fold_records(&shared, folded, &records);
    take_heartbeat(&shared, heartbeat);
    shared.credits.note_announced(&host, &announced);
}

/// Takes a peer's heartbeat.
fn take_heartbeat(shared: &Arc<Shared>, heartbeat: Heartbeat) {
    let homes = heartbeat.homes.clone();
    {
        // The state is locked before the decision tables everywhere.
        let state = shared.state();
        shared
            .agreement
            .lock()
            .take_heartbeat(Instant::now(), &state, heartbeat);
    }
    follow_homes(shared, homes);
}

/// Takes a peer's heartbeat and answers it.
pub(super) fn answer_heartbeat(shared: &Arc<Shared>, heartbeat: Heartbeat) -> HeartbeatAnswer {
    let folded = heartbeat.report.folded;
    let sender_is_member = heartbeat.report.sender.is_member(&shared.state().membership);
    take_heartbeat(shared, heartbeat);
    let now = Instant::now();
    let state = shared.state();
    let mut tables = shared.agreement.lock();
    let confirms = sender_is_member && tables.lease.confirms(now, &state, folded);
    let mut heartbeat = tables.describe(now, &state, None);
    drop(tables);
    drop(state);
    heartbeat.homes = shared.credits.homes();
    HeartbeatAnswer {
        heartbeat,
        confirms,
        records: shared.tail.since(folded),
    }
}
