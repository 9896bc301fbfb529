//! The grantor of a pool's keys as a state machine without input and output.
//!
//! Two rules keep a key at one owner. A grant goes out only for an assignment that is saved in the
//! store. And a new owner gets a grant only after each earlier owner either confirmed a release under
//! the new, higher fence, which also makes it refuse grants that are still on their way, or can't
//! hold the keys any more because its last possible grant has run out. A later run under its name
//! shows nothing: the grant may have reached that one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use super::{Confirmations, Holder, HostIncarnation, KeyRange, KeyTable, Move, Predecessors, choose_witnesses};
use crate::types::HostName;

/// Time between two orders that failed, for one assignment.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time between two probes of an upstream that doesn't answer grants.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Clock error of an upstream that is allowed for, as a divisor of the hold: PROTOCOL says 2%, so
/// 1/33 leaves a margin.
const CLOCK_MARGIN: u32 = 33;
/// Longest way of a grant to an upstream while nothing is degraded.
const TRAVEL_TIME: Duration = Duration::from_millis(300);

/// Times of grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseTiming {
    /// Time for which a grant is given.
    pub(crate) duration: Duration,
    /// Time after which it is given again.
    pub(crate) renewal_period: Duration,
    /// Limit of the call that gives it, up to whose end it may be sent.
    pub(crate) call_timeout: Duration,
}

/// What the process around the grantor has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    Save(KeyTable),
    Grant {
        holder: Holder,
        range: KeyRange,
        fence: u64,
        handover: Option<String>,
        /// The connection broke since the last grant: the process may be a new one, and cold.
        check_health: bool,
    },
    Release {
        holder: Holder,
        range: KeyRange,
        fence: u64,
    },
    /// Asks an unresponsive upstream that owns nothing whether it answers again.
    Probe(Holder),
}

/// How a release ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReleaseOutcome {
    /// The keys are free; with the token for a warm start of the next owner, if there is one.
    Released(Option<String>),
    /// The upstream refused the connection; it may live and have too many.
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

/// How a grant ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantOutcome {
    Taken,
    /// The upstream has seen a higher fence.
    Fenced,
    /// No answer came; the connection didn't break.
    Unknown,
    /// No connection could be opened: nothing was sent, and the upstream may have ended.
    NotSent,
    /// The connection broke: the upstream may have started anew.
    Broken,
}

/// What is in progress for an assignment, by its fence.
#[derive(Clone, Debug, Default)]
struct Progress {
    released: BTreeSet<Holder>,
    /// Releases in flight or failed, with the time of the next try.
    releasing: BTreeMap<Holder, Option<Instant>>,
    handover: Option<String>,
    is_granting: bool,
    granted: Option<Instant>,
    next_try: Option<Instant>,
    is_broken: bool,
}

/// Grants the keys of one pool.
#[derive(Clone, Debug)]
pub(crate) struct Grantor {
    table: KeyTable,
    timing: LeaseTiming,
    /// Grantors before this one.
    predecessors: Predecessors,
    /// Witnesses in the last table that was saved; a next grantor asks these or those of the table
    /// that is being saved.
    saved_witnesses: BTreeSet<HostIncarnation>,
    saving_witnesses: BTreeSet<HostIncarnation>,
    /// Highest fence of the last table that was saved.
    saved_fence: u64,
    is_saving: bool,
    is_changed: bool,
    /// Last time at which a grant to a run may have been sent, by this grantor or an earlier one.
    sent: BTreeMap<Holder, Instant>,
    /// Grants to a run that may yet be sent: a busy host hands them to the network late.
    sending: BTreeMap<Holder, u32>,
    progress: BTreeMap<u64, Progress>,
    /// Upstreams that don't answer grants.
    unresponsive: BTreeMap<Holder, Unresponsive>,
}

/// An upstream that doesn't answer grants.
#[derive(Clone, Copy, Debug)]
struct Unresponsive {
    since: Instant,
    /// Time of the next probe, once it owns nothing any more.
    next: Instant,
}

impl Grantor {
    /// Takes over a table whose last grants earlier grantors may have given.
    ///
    /// Earlier grantors on the same host have ended: a host has one process, and that leads nothing.
    pub(crate) fn take_over(
        now: Instant,
        host: &HostName,
        epoch: u64,
        mut table: KeyTable,
        timing: LeaseTiming,
    ) -> Self {
        let predecessors = table.grantors().filter(|predecessor| predecessor.host != *host);
        let predecessors = Predecessors::new(now, predecessors);
        table.grantor = host.clone();
        table.epoch = epoch;
        table.revision = 0;
        table.witnesses = BTreeSet::new();
        // Grants that were asked for before may be sent until the end of their calls.
        let stopped_by = predecessors.stopped_by().unwrap_or(now) + timing.call_timeout;
        let holders = table
            .assignments
            .iter()
            .flat_map(|assignment| assignment.owner.iter().chain(&assignment.previous));
        let sent = holders.map(|holder| (holder.clone(), stopped_by)).collect();
        Self {
            // Only the saved table tells the next grantor who this one is.
            saved_fence: 0,
            table,
            timing,
            predecessors,
            saved_witnesses: BTreeSet::new(),
            saving_witnesses: BTreeSet::new(),
            is_saving: false,
            is_changed: true,
            sent,
            sending: BTreeMap::new(),
            progress: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
        }
    }

    pub(crate) fn table(&self) -> &KeyTable {
        &self.table
    }

    /// Notes that a host knows of this grantor's epoch: it gives no grants under older ones and
    /// confirms none.
    pub(crate) fn record_epoch_ack(&mut self, now: Instant, incarnation: &HostIncarnation) {
        self.predecessors.record_epoch_ack(now, incarnation);
        // This grantor's own grants were all sent by now.
        let stopped_by = self
            .predecessors
            .stopped_by()
            .map_or(now, |stopped_by| stopped_by.max(now))
            + self.timing.call_timeout;
        for sent in self.sent.values_mut() {
            *sent = (*sent).min(stopped_by);
        }
    }

    /// Grantors before this one that may still give grants.
    pub(crate) fn predecessors(&self) -> &Predecessors {
        &self.predecessors
    }

    /// Takes hosts that answer as witnesses; takes effect once saved.
    pub(crate) fn set_witnesses(&mut self, answering: &[HostIncarnation]) {
        let chosen = choose_witnesses(&self.table.witnesses, answering);
        if chosen != self.table.witnesses {
            self.table.witnesses = chosen;
            self.is_changed = true;
        }
    }

    /// Tells whether this grantor may give orders: no later one can rely on its having stopped.
    pub(super) fn may_send_commands(&self, now: Instant, confirmations: &Confirmations) -> bool {
        confirmations.permit_grants(now, &self.saved_witnesses)
            && (!self.is_saving || confirmations.permit_grants(now, &self.saving_witnesses))
    }

    /// Changes owners; takes effect once saved.
    pub(crate) fn apply(&mut self, moves: &[Move]) {
        for next in moves {
            self.table.assign(next.range, Some(&next.owner));
        }
        if !moves.is_empty() {
            self.table.merge();
            self.is_changed = true;
        }
    }

    /// Owners that have not answered grants for a time.
    pub(crate) fn unresponsive_since(&self, limit: Instant) -> BTreeSet<Holder> {
        let unresponsive = self.unresponsive.iter().filter(|(_, entry)| entry.since <= limit);
        unresponsive.map(|(holder, _)| holder.clone()).collect()
    }

    /// Gives what is due; `is_known` knows the runs that can be called. An order for a run that has
    /// ended goes to the one after it, which may have taken its grants.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        confirmations: &Confirmations,
        is_known: impl Fn(&Holder) -> bool,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.may_send_commands(now, confirmations) {
            for at in 0..self.table.assignments.len() {
                if self.table.assignments[at].fence <= self.saved_fence {
                    self.step_assignment(now, at, &is_known, &mut actions);
                }
            }
            self.probe_unresponsive(now, &is_known, &mut actions);
        }
        self.forget_progress();
        if self.is_changed && !self.is_saving {
            self.is_changed = false;
            self.is_saving = true;
            self.saving_witnesses = self.table.witnesses.clone();
            self.table.predecessors = self.predecessors.still_active(now);
            self.table.revision += 1;
            actions.push(Action::Save(self.table.clone()));
        }
        actions
    }

    fn step_assignment(
        &mut self,
        now: Instant,
        at: usize,
        is_known: &impl Fn(&Holder) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let assignment = &self.table.assignments[at];
        let (range, fence) = (assignment.range, assignment.fence);
        let progress = self.progress.entry(fence).or_default();
        let mut is_free = true;
        for holder in assignment.previous.iter().filter(|_| !assignment.ready) {
            let last_sent = self.sent.get(holder).copied();
            let runs_out =
                last_sent.map(|sent| sent + self.timing.duration + self.timing.duration / CLOCK_MARGIN + TRAVEL_TIME);
            let is_same = assignment.owner.as_ref() == Some(holder);
            // A refused connection shows nothing: a live upstream with too many refuses more.
            let has_run_out = runs_out.is_none_or(|end| end <= now) && !self.sending.contains_key(holder);
            if is_same || has_run_out || progress.released.contains(holder) {
                continue;
            }
            is_free = false;
            let is_due = match progress.releasing.get(holder) {
                None => true,
                Some(next) => next.is_some_and(|next| next <= now),
            };
            if is_due && is_known(holder) {
                progress.releasing.insert(holder.clone(), None);
                actions.push(Action::Release {
                    holder: holder.clone(),
                    range,
                    fence,
                });
            }
        }
        let Some(owner) = assignment.owner.as_ref().filter(|owner| is_free && is_known(owner)) else {
            return;
        };
        let renews = progress.granted.map(|at| at + self.timing.renewal_period);
        let is_due = renews.is_none_or(|at| at <= now) && progress.next_try.is_none_or(|at| at <= now);
        if is_due && !progress.is_granting {
            progress.is_granting = true;
            *self.sending.entry(owner.clone()).or_default() += 1;
            actions.push(Action::Grant {
                holder: owner.clone(),
                range,
                fence,
                handover: progress.handover.clone().filter(|_| !assignment.ready),
                check_health: progress.is_broken,
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
            if entry.next <= now && !is_owner {
                entry.next = now + PROBE_PERIOD;
                actions.push(Action::Probe(holder.clone()));
            }
        }
    }

    /// Notes that an unresponsive upstream answers again.
    pub(crate) fn record_recovery(&mut self, holder: &Holder) {
        self.unresponsive.remove(holder);
    }

    /// Drops what is known of assignments that are no more.
    fn forget_progress(&mut self) {
        let fences: BTreeSet<u64> = self
            .table
            .assignments
            .iter()
            .map(|assignment| assignment.fence)
            .collect();
        self.progress.retain(|fence, _| fences.contains(fence));
    }

    /// Notes that a table is saved.
    pub(crate) fn record_saved(&mut self, last_fence: u64) {
        self.is_saving = false;
        self.saved_witnesses = std::mem::take(&mut self.saving_witnesses);
        self.saved_fence = self.saved_fence.max(last_fence);
    }

    /// Notes how a grant ended that was sent at `sent`.
    pub(crate) fn record_grant(
        &mut self,
        now: Instant,
        holder: &Holder,
        fence: u64,
        sent: Instant,
        outcome: GrantOutcome,
    ) {
        if outcome != GrantOutcome::NotSent {
            // It was sent at some time up to now.
            let last = self.sent.entry(holder.clone()).or_insert(now);
            *last = now.max(*last);
        }
        if let Some(count) = self.sending.get_mut(holder) {
            *count -= 1;
            if *count == 0 {
                self.sending.remove(holder);
            }
        }
        match outcome {
            GrantOutcome::Taken | GrantOutcome::Fenced => {
                self.unresponsive.remove(holder);
            }
            GrantOutcome::Unknown | GrantOutcome::Broken | GrantOutcome::NotSent => {
                let entry = Unresponsive {
                    since: now,
                    next: now + PROBE_PERIOD,
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
                progress.granted = Some(sent);
                progress.next_try = None;
                progress.is_broken = false;
                if !assignment.ready {
                    assignment.ready = true;
                    assignment.previous.clear();
                    self.is_changed = true;
                }
            }
            GrantOutcome::Unknown => progress.next_try = Some(now + RETRY_DELAY),
            // The next life of an upstream must not take keys under a fence of the last one.
            GrantOutcome::Broken | GrantOutcome::NotSent | GrantOutcome::Fenced => {
                let mut moved = progress.clone();
                moved.next_try = Some(now + RETRY_DELAY);
                moved.granted = None;
                moved.is_broken |= outcome != GrantOutcome::Fenced;
                self.table.replace_fence(fence);
                self.progress.insert(self.table.last_fence, moved);
                self.is_changed = true;
            }
        }
    }

    /// Notes how a release ended.
    pub(crate) fn record_release(&mut self, now: Instant, holder: &Holder, fence: u64, outcome: ReleaseOutcome) {
        let Some(progress) = self.progress.get_mut(&fence) else {
            return;
        };
        match outcome {
            ReleaseOutcome::Released(handover) => {
                progress.releasing.remove(holder);
                progress.released.insert(holder.clone());
                if handover.is_some() {
                    progress.handover = handover;
                }
            }
            ReleaseOutcome::Unknown | ReleaseOutcome::Refused => {
                progress.releasing.insert(holder.clone(), Some(now + RETRY_DELAY));
            }
        }
    }
}
