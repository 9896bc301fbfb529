//! The coordinator's side of a claim.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::register::instances;
use super::{
    ANSWER_MAX, ClaimAnswer, ClaimKey, Fingerprint, Instance, RequestKey, SettleKey, StoredAnswer, Vote, WithdrawKey,
    majority, overlap,
};
use crate::fold::Membership;
use crate::types::{Offset, Reason, RequestId, Verdict, Zone, value};

/// Time after which an unanswered message is sent again; a call between hosts takes a few
/// milliseconds.
const RESEND: Duration = Duration::from_millis(100);

/// What a claim is for.
#[derive(Clone, Debug)]
pub(crate) struct ClaimSpec {
    pub(crate) key: RequestKey,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) attempt: RequestId,
    pub(crate) coordinator: Instance,
    /// Time after which a claim without a majority is given up.
    pub(crate) deadline: Instant,
}

/// A message to a member's register; the host's own register is a member like the others.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ClaimAction {
    pub(crate) to: Instance,
    pub(crate) message: ClaimMessage,
}

value! {
    /// What a coordinator sends to a register.
    pub(crate) enum ClaimMessage {
        Claim(ClaimKey),
        Settle(SettleKey),
        Withdraw(WithdrawKey),
    }
}

/// The decision of a claim.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClaimOutcome {
    /// The request may run.
    Won,
    /// Another attempt of the key has not ended, or its host was lost.
    HeldOpen,
    /// An earlier attempt of the key has ended.
    Settled {
        verdict: Verdict,
        answer: Option<Arc<StoredAnswer>>,
    },
    /// The key was used for a different request.
    Mismatch,
    /// No majority could be had. The verdict is `NotRun` only if so many members know no other
    /// attempt that none can have won; otherwise an earlier attempt may have run.
    Unavailable { verdict: Verdict },
}

impl ClaimOutcome {
    /// Verdict and reason of the refusal. `None` if the request may run, or if the stored answer
    /// is given.
    pub(crate) fn refusal(&self) -> Option<(Verdict, Reason)> {
        match self {
            Self::Won | Self::Settled { answer: Some(_), .. } => None,
            Self::HeldOpen => Some((Verdict::MayHaveRun, Reason::DuplicateOpen)),
            Self::Settled { verdict, answer: None } => Some((*verdict, Reason::DuplicateRan)),
            Self::Mismatch => Some((Verdict::MayHaveRun, Reason::DuplicateMismatch)),
            Self::Unavailable { verdict } => Some((*verdict, Reason::RegisterUnavailable)),
        }
    }
}

#[derive(Clone, Debug)]
enum Phase {
    Asking,
    Won,
    Settling {
        verdict: Verdict,
        answer: Option<Arc<StoredAnswer>>,
    },
    Withdrawing,
}

/// One attempt's claim of a key, from the first question until all members know its end.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    spec: ClaimSpec,
    phase: Phase,
    version: Offset,
    members: BTreeMap<Instance, Zone>,
    /// Answers under the current membership version.
    votes: BTreeMap<Instance, Vote>,
    /// Members that have acknowledged the end of the attempt.
    acknowledged: BTreeSet<Instance>,
    sent: BTreeMap<Instance, Instant>,
    outcome: Option<ClaimOutcome>,
}

impl Claim {
    /// Starts a claim; the first [`Claim::tick`] returns the questions.
    pub(crate) fn new(spec: ClaimSpec, membership: &Membership) -> Self {
        let mut claim = Self {
            spec,
            phase: Phase::Asking,
            version: Offset(0),
            members: BTreeMap::new(),
            votes: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            sent: BTreeMap::new(),
            outcome: None,
        };
        claim.set_members(membership);
        claim
    }

    /// Takes over a folded membership; an older one is ignored.
    ///
    /// A claim that is not decided asks all members again, because a vote counts only under the
    /// version that it was given for.
    pub(crate) fn set_members(&mut self, membership: &Membership) {
        if membership.version.offset <= self.version {
            return;
        }
        self.version = membership.version.offset;
        let zones = membership.members.values().map(|m| m.zone.clone());
        self.members = instances(membership).zip(zones).collect();
        self.votes.clear();
        self.sent.retain(|to, _| self.acknowledged.contains(to));
    }

    /// Returns the decision, once there is one.
    pub(crate) fn outcome(&self) -> Option<&ClaimOutcome> {
        self.outcome.as_ref()
    }

    /// Tells whether nothing remains to be sent.
    pub(crate) fn is_done(&self) -> bool {
        match self.phase {
            Phase::Asking | Phase::Won => false,
            Phase::Settling { .. } | Phase::Withdrawing => self.members.keys().all(|m| self.acknowledged.contains(m)),
        }
    }

    /// Returns the messages that are due, and decides a claim whose deadline has passed.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<ClaimAction> {
        if matches!(self.phase, Phase::Asking) && now >= self.spec.deadline {
            self.lose();
        }
        let waiting: Vec<_> = self.members.keys().filter(|m| self.is_due(m, now)).cloned().collect();
        let mut actions = Vec::new();
        for to in waiting {
            if let Some(message) = self.message() {
                self.sent.insert(to.clone(), now);
                actions.push(ClaimAction { to, message });
            }
        }
        actions
    }

    fn is_due(&self, member: &Instance, now: Instant) -> bool {
        let answered = match self.phase {
            Phase::Asking => self.votes.contains_key(member),
            Phase::Won => true,
            Phase::Settling { .. } | Phase::Withdrawing => self.acknowledged.contains(member),
        };
        !answered && self.sent.get(member).is_none_or(|&sent| now >= sent + RESEND)
    }

    fn message(&self) -> Option<ClaimMessage> {
        let spec = &self.spec;
        match &self.phase {
            Phase::Asking => Some(ClaimMessage::Claim(ClaimKey {
                version: self.version,
                key: spec.key.clone(),
                fingerprint: spec.fingerprint,
                attempt: spec.attempt,
                coordinator: spec.coordinator.clone(),
            })),
            Phase::Won => None,
            Phase::Settling { verdict, answer } => Some(ClaimMessage::Settle(SettleKey {
                key: spec.key.clone(),
                fingerprint: spec.fingerprint,
                attempt: spec.attempt,
                coordinator: spec.coordinator.clone(),
                verdict: *verdict,
                answer: answer.clone(),
            })),
            Phase::Withdrawing => Some(ClaimMessage::Withdraw(WithdrawKey {
                key: spec.key.clone(),
                attempt: spec.attempt,
            })),
        }
    }

    /// Takes a register's answer to the claim.
    pub(crate) fn answer(&mut self, from: &Instance, answer: &ClaimAnswer) {
        let counts = answer.version == self.version && self.members.contains_key(from);
        if !counts || !matches!(self.phase, Phase::Asking) || answer.vote == Vote::Abstains {
            return;
        }
        self.votes.insert(from.clone(), answer.vote.clone());
        self.decide();
    }

    fn decide(&mut self) {
        let settled = self.votes.values().any(|v| matches!(v, Vote::Settled { .. }));
        let votes = |wanted: fn(&Vote) -> bool| self.votes.values().filter(|v| wanted(v)).count();
        let accepted = votes(|v| matches!(v, Vote::Accepted { .. }));
        let needed = majority(self.electorate());
        let open = self.members.len() - self.votes.len();
        if settled || accepted + open < needed || open == 0 && !self.is_won(accepted) {
            self.lose();
        } else if self.is_won(accepted) {
            self.phase = Phase::Won;
            self.outcome = Some(ClaimOutcome::Won);
        }
    }

    fn is_won(&self, accepted: usize) -> bool {
        let all: BTreeSet<_> = self.members.values().collect();
        let voters = self.votes.iter().filter(|(_, v)| matches!(v, Vote::Accepted { .. }));
        let zones: BTreeSet<_> = voters.filter_map(|(m, _)| self.members.get(m)).collect();
        accepted >= majority(self.electorate()) && zones.len() >= all.len().min(2)
    }

    /// Largest electorate that a voter named, at least the membership.
    fn electorate(&self) -> usize {
        let named = self.votes.values().filter_map(|vote| match vote {
            Vote::Accepted { electorate } | Vote::Full { electorate } => Some(*electorate),
            Vote::Open | Vote::Mismatch | Vote::Settled { .. } | Vote::Abstains => None,
        });
        named.max().unwrap_or(0).max(self.members.len())
    }

    fn lose(&mut self) {
        self.outcome = Some(self.loss());
        self.close(Phase::Withdrawing);
    }

    fn loss(&self) -> ClaimOutcome {
        let mut settled = None;
        let mut free = 0;
        let mut other = None;
        for vote in self.votes.values() {
            match vote {
                Vote::Settled { verdict, answer } => {
                    let known = (*verdict, answer.clone());
                    settled = Some(settled.map_or(known.clone(), |s| better(s, known)));
                }
                Vote::Mismatch => other = Some(ClaimOutcome::Mismatch),
                Vote::Open => other = other.or(Some(ClaimOutcome::HeldOpen)),
                Vote::Accepted { .. } | Vote::Full { .. } => free += 1,
                Vote::Abstains => {}
            }
        }
        if let Some((verdict, answer)) = settled {
            return ClaimOutcome::Settled { verdict, answer };
        }
        other.unwrap_or_else(|| ClaimOutcome::Unavailable {
            verdict: if free >= overlap(self.electorate()) && free > 0 {
                Verdict::NotRun
            } else {
                Verdict::MayHaveRun
            },
        })
    }

    fn close(&mut self, phase: Phase) {
        self.phase = phase;
        self.sent.clear();
    }

    /// Gives the claim up, for instance when its caller is gone; it can no longer win.
    ///
    /// Has no effect on a claim that is decided: one that is won ends with [`Claim::conclude`].
    pub(crate) fn give_up(&mut self) {
        if matches!(self.phase, Phase::Asking) {
            self.lose();
        }
    }

    /// Ends an attempt that won. `NotRun` needs a proof and frees the key; any other verdict
    /// settles it. An answer of more than [`ANSWER_MAX`] bytes is not stored.
    ///
    /// Has no effect on a claim that hasn't won or that has ended.
    pub(crate) fn conclude(&mut self, verdict: Verdict, answer: Option<StoredAnswer>) {
        if !matches!(self.phase, Phase::Won) {
            return;
        }
        let answer = answer.filter(|a| a.size() <= ANSWER_MAX).map(Arc::new);
        match verdict {
            Verdict::NotRun => self.close(Phase::Withdrawing),
            Verdict::MayHaveRun | Verdict::Ran => self.close(Phase::Settling { verdict, answer }),
        }
    }

    /// Takes a register's acknowledgement of the settlement or the withdrawal.
    pub(crate) fn acknowledge(&mut self, from: &Instance) {
        if matches!(self.phase, Phase::Settling { .. } | Phase::Withdrawing) {
            self.acknowledged.insert(from.clone());
        }
    }
}

type Known = (Verdict, Option<Arc<StoredAnswer>>);

/// Prefers the higher verdict, and an answer to none.
fn better(a: Known, b: Known) -> Known {
    if (b.0, b.1.is_some()) > (a.0, a.1.is_some()) {
        b
    } else {
        a
    }
}
