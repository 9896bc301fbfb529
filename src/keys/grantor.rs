//! The grantor of a pool's keys, as a state machine that does no I/O.
//!
//! Two rules ensure that a key never has two owners:
//!
//! - A grant is sent only for an assignment that is saved in the store.
//! - A new owner gets a grant only after each earlier owner has either confirmed a release or can no
//!   longer hold a lease. The release carries the new, higher fence, so the earlier owner also refuses
//!   grants to it that are still in flight. Without a release, the last lease that the earlier owner may
//!   have been granted must have expired.
//!
//! A newer incarnation of an earlier owner doesn't show that the keys are free: the last grant may have
//! reached that incarnation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use super::{
    Confirmations, Holder, HostIncarnation, Inquiry, KeyRange, KeyTable, Knowledge, Move, Predecessors,
    choose_witnesses, fence_floor,
};
use crate::types::HostName;

/// Delay before a failed command for an assignment is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time between two probes of an upstream that doesn't answer grants.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Least time between two saves that only state which assignments have become ready. Each save goes to all hosts.
const READY_SAVE_GAP: Duration = Duration::from_millis(150);
/// Part of the lease duration that is added for the clock error of an upstream, as a divisor: the protocol
/// states an error of 2%, and 1/33 leaves a margin.
const CLOCK_ERROR_DIVISOR: u32 = 33;
/// Longest time that a grant takes to reach an upstream while nothing is degraded.
const GRANT_DELAY_MAX: Duration = Duration::from_millis(300);

/// Durations that govern leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseTiming {
    /// Time for which a grant is valid.
    pub(crate) duration: Duration,
    /// Time after which the lease is renewed by another grant.
    pub(crate) renewal_period: Duration,
    /// Timeout of the call that sends a grant; the grant may leave the host at any time before the call ends.
    pub(crate) call_timeout: Duration,
}

impl LeaseTiming {
    /// Returns the longest time from the end of a grant's call to the expiry of the lease, by the slowest clock allowed.
    fn longest_lease(&self) -> Duration {
        self.duration + self.duration / CLOCK_ERROR_DIVISOR + GRANT_DELAY_MAX
    }

    /// Returns the longest time from the end of a grantor to the expiry of its leases.
    pub(crate) fn expiry_time(&self) -> Duration {
        self.call_timeout + self.longest_lease()
    }
}

/// An operation that the caller has to carry out for the grantor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    Save(KeyTable),
    Grant {
        holder: Holder,
        range: KeyRange,
        fence: u64,
        /// Token for a warm start of the owner, from the release by an earlier one.
        handover: Option<String>,
        /// Whether to find out first if the upstream is cold: since the last accepted grant, its connection broke or
        /// couldn't be opened, so its process may have restarted.
        check_health: bool,
        /// The upstream has accepted a grant under this fence. The command may only go to the same process, over a
        /// connection that has stayed open since then.
        is_renewal: bool,
    },
    Release {
        holder: Holder,
        range: KeyRange,
        fence: u64,
    },
    /// Checks whether an unresponsive upstream that owns no keys answers again.
    Probe(Holder),
}

/// Result of a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReleaseOutcome {
    /// The upstream no longer holds the keys. Contains the token for a warm start of the next owner, if any.
    Released(Option<String>),
    /// The upstream refused the connection; it may be running and have too many connections.
    Refused,
    Unknown,
}

impl ReleaseOutcome {
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Released(_) => "released",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// Result of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantOutcome {
    Taken,
    /// The upstream has seen a higher fence.
    Fenced,
    /// No usable response arrived, but the connection didn't break.
    Unknown,
    /// Nothing was sent, because no connection could be opened or none had stayed open for a renewal. The upstream may
    /// have stopped.
    NotSent,
    /// The connection broke: the upstream may have restarted.
    Broken,
}

/// State of the releases and grants for an assignment.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// Earlier owners that confirmed a release.
    released: BTreeSet<Holder>,
    /// Earlier owners whose release in flight was sent when no older grant could reach them any more.
    conclusive: BTreeSet<Holder>,
    /// Earlier owners that confirmed such a release: no process at their address holds the keys.
    freed: BTreeSet<Holder>,
    /// Earlier owners with a release in flight (`None`) or a failed one, with the time of its retry.
    releasing: BTreeMap<Holder, Option<Instant>>,
    /// Token for a warm start of the next owner.
    handover: Option<String>,
    is_granting: bool,
    /// Start of the last call whose grant was accepted.
    granted_at: Option<Instant>,
    retry_at: Option<Instant>,
    /// Whether the connection broke or couldn't be opened since the last accepted grant.
    connection_broken: bool,
}

/// State machine that grants the keys of one pool.
#[derive(Clone, Debug)]
pub(crate) struct Grantor {
    table: KeyTable,
    timing: LeaseTiming,
    /// Earlier grantors whose grants may still be in force.
    predecessors: Predecessors,
    /// What other hosts know of tables that the store may have lost.
    inquiry: Option<Inquiry>,
    /// Epoch and revision of the table that this grantor has started from.
    origin: (u64, u64),
    /// Set while this grantor has still to take up an epoch of a later era.
    continuation: Option<Continuation>,
    /// Witnesses in the last saved table. The next grantor asks these or `saving_witnesses`, as it may find
    /// either table in the store.
    saved_witnesses: BTreeSet<HostIncarnation>,
    /// Witnesses in the table that is being saved.
    saving_witnesses: BTreeSet<HostIncarnation>,
    /// Highest fence of the last saved table.
    saved_fence: u64,
    is_saving: bool,
    /// Whether the table has changes that no save contains yet and that grants wait for.
    needs_save: bool,
    /// Whether assignments have become ready since the last save.
    has_ready_changes: bool,
    /// When the last save started.
    last_save: Option<Instant>,
    /// Last time at which this grantor or an earlier one may have sent a grant to each upstream.
    last_sent: BTreeMap<Holder, Instant>,
    /// Fence and keys of the grant calls in flight to each upstream: a busy host may hand their bytes to the network
    /// late.
    in_flight: BTreeMap<Holder, Vec<(u64, KeyRange)>>,
    /// Progress of each assignment, by its fence.
    progress: BTreeMap<u64, Progress>,
    /// Upstreams that don't answer grants.
    unresponsive: BTreeMap<Holder, Unresponsive>,
}

/// A change of a grantor to an epoch of a later era.
#[derive(Clone, Copy, Debug)]
struct Continuation {
    epoch: u64,
    /// Start of the last call in which the store confirmed the grantor in the earlier era.
    confirmed: Instant,
}

/// An upstream that doesn't answer grants.
#[derive(Clone, Copy, Debug)]
struct Unresponsive {
    since: Instant,
    /// Time of the next probe, which is sent only if the upstream owns no keys.
    next_probe: Instant,
}

impl Grantor {
    /// Creates the grantor of a new epoch from a saved table, under which earlier grantors may have sent grants.
    ///
    /// Earlier grantors on the same host have stopped: a host has one process, and that process grants nothing
    /// when it takes over.
    pub(crate) fn take_over(
        now: Instant,
        host: &HostName,
        epoch: u64,
        mut table: KeyTable,
        timing: LeaseTiming,
    ) -> Self {
        let predecessors = table.grantors().filter(|predecessor| predecessor.host != *host);
        let predecessors = Predecessors::new(now, predecessors);
        let origin = (table.epoch, table.revision);
        table.last_fence = table.last_fence.max(fence_floor(epoch));
        table.grantor = host.clone();
        table.epoch = epoch;
        table.revision = 0;
        table.witnesses = BTreeSet::new();
        // This host has no connection to an owner that shows that its process still is the one that earlier grants
        // were sent to.
        let fences: Vec<u64> = table.assignments.iter().map(|assignment| assignment.fence).collect();
        for fence in fences {
            table.replace_fence(fence);
        }
        // Grants of earlier grantors may be sent until their calls time out.
        let stopped_by = predecessors.stopped_by().unwrap_or(now) + timing.call_timeout;
        let holders = table
            .assignments
            .iter()
            .flat_map(|assignment| assignment.owner.iter().chain(&assignment.previous));
        let last_sent = holders.map(|holder| (holder.clone(), stopped_by)).collect();
        Self {
            // No grants before the first save: only the saved table names this grantor to the next one.
            saved_fence: 0,
            table,
            timing,
            predecessors,
            inquiry: None,
            origin,
            continuation: None,
            saved_witnesses: BTreeSet::new(),
            saving_witnesses: BTreeSet::new(),
            is_saving: false,
            needs_save: true,
            has_ready_changes: false,
            last_save: None,
            last_sent,
            in_flight: BTreeMap::new(),
            progress: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
        }
    }

    pub(crate) fn table(&self) -> &KeyTable {
        &self.table
    }

    /// Makes this grantor that of an epoch of a later era. Until it is sure to know all leases, it only renews its own, as it
    /// may while the store can't be reached; `confirmed` is when the store last confirmed it.
    pub(crate) fn enter_epoch(&mut self, now: Instant, epoch: u64, hosts: BTreeSet<HostName>, confirmed: Instant) {
        self.inquiry = Some(Inquiry::new(now, (self.table.epoch, self.table.revision), hosts));
        self.continuation = Some(Continuation { epoch, confirmed });
        // The results of calls that were started under the earlier epoch are not recorded any more.
        for (holder, _) in std::mem::take(&mut self.in_flight) {
            self.last_sent.insert(holder, now + self.timing.call_timeout);
        }
        for progress in self.progress.values_mut() {
            progress.is_granting = false;
            progress.releasing.clear();
            progress.conclusive.clear();
        }
    }

    /// Takes up the epoch of [`Grantor::enter_epoch`] once all leases are known.
    fn finish_inquiry(&mut self) {
        self.inquiry = None;
        if let Some(Continuation { epoch, .. }) = self.continuation.take() {
            self.table.epoch = epoch;
            self.table.revision = 0;
            self.table.last_fence = self.table.last_fence.max(fence_floor(epoch));
            self.is_saving = false;
            self.needs_save = true;
        }
    }

    /// Reports whether this grantor has granted leases in its epoch and knows all others, so that it can go on with them.
    pub(crate) fn can_continue(&self, now: Instant) -> bool {
        self.saved_fence > 0 && !self.may_lack_leases(now)
    }

    /// Reports whether this grantor may renew its leases although it may not know all others.
    fn may_renew(&self, now: Instant) -> bool {
        let (Some(inquiry), Some(continuation)) = (&self.inquiry, &self.continuation) else {
            return false;
        };
        let permits = |witnesses| inquiry.permits_renewals(now, continuation.confirmed, witnesses);
        permits(&self.saved_witnesses) && (!self.is_saving || permits(&self.saving_witnesses))
    }

    /// Records that a host acknowledged this grantor's epoch: it neither sends grants under older epochs nor
    /// confirms their grantors.
    pub(crate) fn record_epoch_ack(&mut self, now: Instant, incarnation: &HostIncarnation) {
        self.predecessors.record_epoch_ack(now, incarnation);
        // The times of this grantor's own grants are not later than now; calls in flight are counted apart.
        let stopped_by = self
            .predecessors
            .stopped_by()
            .map_or(now, |stopped_by| stopped_by.max(now))
            + self.timing.call_timeout;
        for last_sent in self.last_sent.values_mut() {
            *last_sent = (*last_sent).min(stopped_by);
        }
    }

    /// Makes the grantor wait until it is sure to know all leases that were granted under tables which the store has lost.
    pub(crate) fn inquire(&mut self, now: Instant, hosts: BTreeSet<HostName>) {
        self.inquiry = Some(Inquiry::new(now, self.origin, hosts));
    }

    /// Records what another host knows of the pool's keys.
    pub(crate) fn record_knowledge(&mut self, now: Instant, host: &HostIncarnation, knowledge: Knowledge) {
        if let Some(inquiry) = &mut self.inquiry {
            inquiry.record_answer(now, host, knowledge);
        }
    }

    /// Returns the hosts that still have to tell what they know.
    pub(crate) fn open_inquiries(&self) -> impl Iterator<Item = &HostName> {
        self.inquiry.iter().flat_map(Inquiry::open)
    }

    /// Reports whether leases that this grantor doesn't know may be in force.
    fn may_lack_leases(&self, now: Instant) -> bool {
        let inquiry = self.inquiry.as_ref();
        inquiry.is_some_and(|inquiry| !inquiry.is_settled(now, self.timing.expiry_time()))
    }

    /// Returns what is known of the earlier grantors.
    pub(crate) fn predecessors(&self) -> &Predecessors {
        &self.predecessors
    }

    /// Chooses the witnesses among the hosts that answer. The choice takes effect once it is saved.
    pub(crate) fn set_witnesses(&mut self, answering: &[HostIncarnation]) {
        let chosen = choose_witnesses(&self.table.witnesses, answering);
        if chosen != self.table.witnesses {
            self.table.witnesses = chosen;
            self.needs_save = true;
        }
    }

    /// Reports whether this grantor may send commands: it knows all leases, and no later grantor can assume yet that it has
    /// stopped.
    pub(crate) fn may_send_commands(&self, now: Instant, confirmations: &Confirmations) -> bool {
        !self.may_lack_leases(now)
            && confirmations.permit_grants(now, &self.saved_witnesses)
            && (!self.is_saving || confirmations.permit_grants(now, &self.saving_witnesses))
    }

    /// Reports whether the store has all assignments of the table.
    pub(crate) fn is_saved(&self) -> bool {
        !self.needs_save && !self.is_saving && self.saved_fence >= self.table.last_fence
    }

    /// Changes the owners of keys. The change takes effect once it is saved.
    pub(crate) fn apply(&mut self, moves: &[Move]) {
        for next in moves {
            self.table.assign(next.range, Some(&next.owner));
        }
        if !moves.is_empty() {
            self.table.merge();
            self.needs_save = true;
        }
    }

    /// Returns the upstreams that have not answered grants since `limit` or earlier.
    pub(crate) fn unresponsive_since(&self, limit: Instant) -> BTreeSet<Holder> {
        let unresponsive = self.unresponsive.iter().filter(|(_, entry)| entry.since <= limit);
        unresponsive.map(|(holder, _)| holder.clone()).collect()
    }

    /// Returns the actions that are due; `is_known` reports whether an upstream can be called.
    ///
    /// A command for an incarnation that has ended goes to the next incarnation of the upstream, which may have
    /// accepted grants that were meant for the ended one.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        confirmations: &Confirmations,
        is_known: impl Fn(&Holder) -> bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.may_lack_leases(now) {
            if self.may_renew(now) {
                for index in 0..self.table.assignments.len() {
                    if self.is_renewable(index) {
                        self.step_assignment(now, index, &is_known, &mut actions);
                    }
                }
            }
            // No save: the next grantor would take a table of this era for complete.
            return actions;
        }
        self.finish_inquiry();
        if self.may_send_commands(now, confirmations) {
            for index in 0..self.table.assignments.len() {
                if self.table.assignments[index].fence <= self.saved_fence {
                    self.step_assignment(now, index, &is_known, &mut actions);
                }
            }
            self.probe_unresponsive(now, &is_known, &mut actions);
        }
        self.prune_progress();
        // After many moves, assignments become ready one by one.
        let is_ready_save_due = self.has_ready_changes && self.last_save.is_none_or(|at| now >= at + READY_SAVE_GAP);
        if (self.needs_save || is_ready_save_due) && !self.is_saving {
            self.needs_save = false;
            self.has_ready_changes = false;
            self.last_save = Some(now);
            self.is_saving = true;
            self.saving_witnesses = self.table.witnesses.clone();
            self.table.predecessors = self.predecessors.still_active(now);
            self.table.revision += 1;
            actions.push(Action::Save(self.table.clone()));
        }
        actions
    }

    /// Reports whether the owner of an assignment has accepted its lease from this grantor.
    fn is_renewable(&self, index: usize) -> bool {
        let assignment = &self.table.assignments[index];
        let progress = self.progress.get(&assignment.fence);
        assignment.ready && progress.is_some_and(|progress| progress.granted_at.is_some())
    }

    /// Adds the releases and the grant that are due for one assignment.
    fn step_assignment(
        &mut self,
        now: Instant,
        index: usize,
        is_known: &impl Fn(&Holder) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let assignment = &self.table.assignments[index];
        let (range, fence) = (assignment.range, assignment.fence);
        let progress = self.progress.entry(fence).or_default();
        let mut may_grant = true;
        for holder in assignment.previous.iter().filter(|_| !assignment.ready) {
            let last_sent = self.last_sent.get(holder).copied();
            let expires_at = last_sent.map(|sent_at| sent_at + self.timing.longest_lease());
            let is_owner = assignment.owner.as_ref() == Some(holder);
            // A refused connection proves nothing: a running upstream with too many connections refuses new ones.
            let calls = self.in_flight.get(holder);
            let has_expired = expires_at.is_none_or(|end| end <= now) && calls.is_none();
            // A grant that is still under way may reach a new process at the same address, which knows nothing of a release
            // before.
            let has_calls = calls.is_some_and(|calls| calls.iter().any(|(_, keys)| keys.overlap(range).is_some()));
            let is_settled = !has_calls && last_sent.is_none_or(|sent_at| sent_at <= now);
            if is_owner || has_expired || progress.freed.contains(holder) {
                continue;
            }
            may_grant = false;
            let is_due = match progress.releasing.get(holder) {
                None => is_settled || !progress.released.contains(holder),
                Some(retry_at) => retry_at.is_some_and(|retry_at| retry_at <= now),
            };
            if is_due && is_known(holder) {
                progress.releasing.insert(holder.clone(), None);
                if is_settled {
                    progress.conclusive.insert(holder.clone());
                }
                actions.push(Action::Release {
                    holder: holder.clone(),
                    range,
                    fence,
                });
            }
        }
        let Some(owner) = assignment.owner.as_ref().filter(|owner| may_grant && is_known(owner)) else {
            return;
        };
        let renew_at = progress.granted_at.map(|at| at + self.timing.renewal_period);
        let is_due = renew_at.is_none_or(|at| at <= now) && progress.retry_at.is_none_or(|at| at <= now);
        if is_due && !progress.is_granting {
            progress.is_granting = true;
            self.in_flight.entry(owner.clone()).or_default().push((fence, range));
            actions.push(Action::Grant {
                holder: owner.clone(),
                range,
                fence,
                handover: progress.handover.clone().filter(|_| !assignment.ready),
                check_health: progress.connection_broken,
                is_renewal: progress.granted_at.is_some(),
            });
        }
    }

    fn probe_unresponsive(&mut self, now: Instant, is_known: &impl Fn(&Holder) -> bool, actions: &mut Vec<Action>) {
        let assignments = &self.table.assignments;
        self.unresponsive.retain(|holder, _| is_known(holder));
        for (holder, entry) in &mut self.unresponsive {
            let is_owner = assignments
                .iter()
                .any(|assignment| assignment.owner.as_ref() == Some(holder));
            if entry.next_probe <= now && !is_owner {
                entry.next_probe = now + PROBE_PERIOD;
                actions.push(Action::Probe(holder.clone()));
            }
        }
    }

    /// Records that an unresponsive upstream answers again.
    pub(crate) fn record_recovery(&mut self, holder: &Holder) {
        self.unresponsive.remove(holder);
    }

    /// Discards the progress of assignments that no longer exist.
    fn prune_progress(&mut self) {
        let fences: BTreeSet<u64> = self
            .table
            .assignments
            .iter()
            .map(|assignment| assignment.fence)
            .collect();
        self.progress.retain(|fence, _| fences.contains(fence));
    }

    /// Records that the table that was being saved is now in the store.
    pub(crate) fn record_saved(&mut self, last_fence: u64) {
        self.is_saving = false;
        self.saved_witnesses = std::mem::take(&mut self.saving_witnesses);
        self.saved_fence = self.saved_fence.max(last_fence);
    }

    /// Records the result of a grant whose call started at `sent_at`.
    pub(crate) fn record_grant(
        &mut self,
        now: Instant,
        holder: &Holder,
        fence: u64,
        sent_at: Instant,
        outcome: GrantOutcome,
    ) {
        if outcome != GrantOutcome::NotSent {
            // The grant may have left this host at any time until now.
            let last_sent = self.last_sent.entry(holder.clone()).or_insert(now);
            *last_sent = now.max(*last_sent);
        }
        if let Some(calls) = self.in_flight.get_mut(holder) {
            if let Some(index) = calls.iter().position(|(sent, _)| *sent == fence) {
                calls.remove(index);
            }
            if calls.is_empty() {
                self.in_flight.remove(holder);
            }
        }
        match outcome {
            GrantOutcome::Taken | GrantOutcome::Fenced => {
                self.unresponsive.remove(holder);
            }
            GrantOutcome::Unknown | GrantOutcome::Broken | GrantOutcome::NotSent => {
                let entry = Unresponsive {
                    since: now,
                    next_probe: now + PROBE_PERIOD,
                };
                self.unresponsive.entry(holder.clone()).or_insert(entry);
            }
        }
        let Some(assignment) = self
            .table
            .assignments
            .iter_mut()
            .find(|assignment| assignment.fence == fence)
        else {
            return;
        };
        let progress = self.progress.entry(fence).or_default();
        progress.is_granting = false;
        match outcome {
            GrantOutcome::Taken => {
                progress.granted_at = Some(sent_at);
                progress.retry_at = None;
                progress.connection_broken = false;
                if !assignment.ready {
                    assignment.ready = true;
                    assignment.previous.clear();
                    self.has_ready_changes = true;
                }
            }
            GrantOutcome::Unknown => progress.retry_at = Some(now + RETRY_DELAY),
            // A new incarnation of an upstream must not accept keys under a fence of an earlier one.
            GrantOutcome::Broken | GrantOutcome::NotSent | GrantOutcome::Fenced => {
                let mut new_progress = progress.clone();
                new_progress.retry_at = Some(now + RETRY_DELAY);
                new_progress.granted_at = None;
                new_progress.connection_broken |= outcome != GrantOutcome::Fenced;
                self.table.replace_fence(fence);
                self.progress.insert(self.table.last_fence, new_progress);
                self.needs_save = true;
            }
        }
    }

    /// Records the result of a release.
    pub(crate) fn record_release(&mut self, now: Instant, holder: &Holder, fence: u64, outcome: ReleaseOutcome) {
        let Some(progress) = self.progress.get_mut(&fence) else {
            return;
        };
        match outcome {
            ReleaseOutcome::Released(handover) => {
                progress.releasing.remove(holder);
                progress.released.insert(holder.clone());
                if progress.conclusive.remove(holder) {
                    progress.freed.insert(holder.clone());
                }
                if handover.is_some() {
                    progress.handover = handover;
                }
            }
            ReleaseOutcome::Unknown | ReleaseOutcome::Refused => {
                progress.releasing.insert(holder.clone(), Some(now + RETRY_DELAY));
                progress.conclusive.remove(holder);
            }
        }
    }
}
