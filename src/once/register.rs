//! A member's register of idempotency keys.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::copy::CopyState;
use super::{
    ANSWER_MAX, ClaimAnswer, ClaimKey, Fingerprint, Instance, RequestKey, SettleKey, StoredAnswer, Vote, WithdrawKey,
};
use crate::fold::Membership;
use crate::types::{Offset, RequestId, Verdict};

/// Time that a settled key, or the key of a lost coordinator, is kept.
pub(crate) const RETENTION: Duration = Duration::from_hours(2);

/// Time that a withdrawn attempt is remembered; no call between hosts lives nearly as long.
const WITHDRAWN_TIME: Duration = Duration::from_mins(10);

/// Bounds of a register's memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegisterLimits {
    /// Keys above which new claims are refused. Copies and settlements may exceed it, because
    /// dropping them could let a request run again.
    pub(crate) entries: usize,
    /// Withdrawn attempts that are remembered.
    pub(crate) withdrawn: usize,
    /// Bytes of stored answers; beyond it, only verdicts are stored.
    pub(crate) answer_bytes: usize,
}

impl Default for RegisterLimits {
    fn default() -> Self {
        Self {
            entries: 400_000,
            withdrawn: 100_000,
            answer_bytes: 64 << 20,
        }
    }
}

/// An attempt that holds a key.
#[derive(Clone, Debug)]
pub(super) struct Holding {
    pub(super) attempt: RequestId,
    pub(super) fingerprint: Fingerprint,
    pub(super) coordinator: Instance,
    pub(super) stage: Stage,
}

/// How far an attempt that holds a key has come.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// The coordinator is a member and has not settled it.
    Open,
    /// The coordinator left the membership without settling it.
    Abandoned { expires: Instant },
    /// The coordinator has settled it.
    Settled {
        verdict: Verdict,
        answer: Option<Arc<StoredAnswer>>,
        expires: Instant,
    },
}

impl Stage {
    pub(super) fn expires(&self) -> Option<Instant> {
        match self {
            Self::Open => None,
            Self::Abandoned { expires } | Self::Settled { expires, .. } => Some(*expires),
        }
    }

    fn answer_size(&self) -> usize {
        match self {
            Self::Settled { answer: Some(a), .. } => a.size(),
            Self::Settled { answer: None, .. } | Self::Open | Self::Abandoned { .. } => 0,
        }
    }
}

/// A member's memory of claimed and settled keys.
#[derive(Debug)]
pub(crate) struct Register {
    pub(super) me: Instance,
    limits: RegisterLimits,
    pub(super) version: Offset,
    pub(super) members: BTreeSet<Instance>,
    joined: Option<Instant>,
    pub(super) voting: bool,
    /// Largest membership since the last complete copy.
    pub(super) electorate: usize,
    pub(super) copy: Option<CopyState>,
    /// Usually one attempt per key; a copy can bring in attempts that compete.
    pub(super) entries: BTreeMap<RequestKey, Vec<Holding>>,
    withdrawn: BTreeSet<RequestId>,
    /// Withdrawn attempts, the next to be forgotten first.
    forgets: VecDeque<(Instant, RequestId)>,
    expiries: BTreeSet<(Instant, RequestKey)>,
    answer_bytes: usize,
}

impl Register {
    /// Makes the empty register of a process that has just started; it doesn't vote.
    pub(crate) fn new(me: Instance, limits: RegisterLimits) -> Self {
        Self {
            me,
            limits,
            version: Offset(0),
            members: BTreeSet::new(),
            joined: None,
            voting: false,
            electorate: 0,
            copy: None,
            entries: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            forgets: VecDeque::new(),
            expiries: BTreeSet::new(),
            answer_bytes: 0,
        }
    }

    /// Lets the register vote without a copy.
    ///
    /// Only for the first member ever, or when an operator accepts that the keys of a lost
    /// majority are forgotten.
    pub(crate) fn accept_loss(&mut self) {
        self.finish_copy(self.members.len());
    }

    pub(super) fn finish_copy(&mut self, electorate: usize) {
        self.voting = true;
        self.electorate = electorate;
        self.copy = None;
    }

    /// Takes over a folded membership; an older one is ignored.
    ///
    /// Open keys of coordinators that are no longer members start their retention time.
    pub(crate) fn set_members(&mut self, membership: &Membership, now: Instant) {
        if membership.version.offset <= self.version {
            return;
        }
        self.version = membership.version.offset;
        self.members = instances(membership).collect();
        if self.members.contains(&self.me) {
            self.joined.get_or_insert(now);
        } else {
            self.voting = false;
        }
        self.electorate = self.electorate.max(self.members.len());
        self.follow_members();
        self.abandon_keys(now);
    }

    fn abandon_keys(&mut self, now: Instant) {
        let expires = now + RETENTION;
        for (key, holdings) in &mut self.entries {
            for holding in holdings {
                if matches!(holding.stage, Stage::Open) && !self.members.contains(&holding.coordinator) {
                    holding.stage = Stage::Abandoned { expires };
                    self.expiries.insert((expires, key.clone()));
                }
            }
        }
    }

    /// Number of keys held.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Bytes of stored answers.
    #[cfg(test)]
    pub(crate) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Tells whether this register's votes count.
    pub(crate) fn is_voting(&self) -> bool {
        self.voting
    }

    /// Answers a claim.
    pub(crate) fn claim(&mut self, claim: &ClaimKey, now: Instant) -> ClaimAnswer {
        self.expire(now);
        ClaimAnswer {
            version: self.version,
            vote: self.vote(claim),
        }
    }

    fn vote(&mut self, claim: &ClaimKey) -> Vote {
        let stale = claim.version != self.version || !self.members.contains(&claim.coordinator);
        if stale || !self.voting || self.withdrawn.contains(&claim.attempt) {
            return Vote::Abstains;
        }
        let electorate = self.electorate;
        let Some(holdings) = self.entries.get(&claim.key) else {
            if self.entries.len() >= self.limits.entries {
                return Vote::Full { electorate };
            }
            let holding = Holding {
                attempt: claim.attempt,
                fingerprint: claim.fingerprint,
                coordinator: claim.coordinator.clone(),
                stage: Stage::Open,
            };
            self.entries.insert(claim.key.clone(), vec![holding]);
            return Vote::Accepted { electorate };
        };
        judge_holdings(holdings, claim, electorate)
    }

    /// Stores the end of an attempt; a repeat changes nothing.
    ///
    /// It is stored even where the claim was not accepted, so that more members know it.
    pub(crate) fn settle(&mut self, settled: &SettleKey, now: Instant) {
        self.expire(now);
        let full = self.entries.len() >= self.limits.entries && !self.entries.contains_key(&settled.key);
        if settled.verdict == Verdict::NotRun || full || self.withdrawn.contains(&settled.attempt) {
            return;
        }
        let holding = Holding {
            attempt: settled.attempt,
            fingerprint: settled.fingerprint,
            coordinator: settled.coordinator.clone(),
            stage: Stage::Settled {
                verdict: settled.verdict,
                answer: settled.answer.clone(),
                expires: now + RETENTION,
            },
        };
        self.merge_holding(&settled.key, holding);
    }

    /// Adds what is known of an attempt; a settled stage replaces one that isn't.
    pub(super) fn merge_holding(&mut self, key: &RequestKey, mut holding: Holding) {
        if self.withdrawn.contains(&holding.attempt) {
            return;
        }
        let holdings = self.entries.entry(key.clone()).or_default();
        let known = holdings.iter_mut().find(|h| h.attempt == holding.attempt);
        if known.as_ref().is_some_and(|k| rank(&k.stage) >= rank(&holding.stage)) {
            return;
        }
        if let Stage::Settled { answer, .. } = &mut holding.stage {
            let room = self
                .limits
                .answer_bytes
                .saturating_sub(self.answer_bytes)
                .min(ANSWER_MAX);
            *answer = answer.take().filter(|a| a.size() <= room);
        }
        self.answer_bytes += holding.stage.answer_size();
        self.answer_bytes -= known.as_ref().map_or(0, |k| k.stage.answer_size());
        if let Some(expires) = holding.stage.expires() {
            self.expiries.insert((expires, key.clone()));
        }
        match known {
            Some(known) => *known = holding,
            None => holdings.push(holding),
        }
    }

    /// Frees a key from an attempt that is proved not to have run, and remembers the attempt so
    /// that its claim has no effect if it arrives later.
    ///
    /// Returns whether the withdrawal is complete; if not, the coordinator sends it again.
    pub(crate) fn withdraw(&mut self, withdrawn: &WithdrawKey, now: Instant) -> bool {
        self.expire(now);
        let known = self.withdrawn.contains(&withdrawn.attempt);
        let room = self.withdrawn.len() < self.limits.withdrawn;
        if let Some(holdings) = self.entries.get_mut(&withdrawn.key) {
            let settled = |h: &Holding| matches!(h.stage, Stage::Settled { .. });
            holdings.retain(|h| h.attempt != withdrawn.attempt || settled(h));
            if holdings.is_empty() {
                self.entries.remove(&withdrawn.key);
            }
        }
        if room && !known {
            self.withdrawn.insert(withdrawn.attempt);
            self.forgets.push_back((now + WITHDRAWN_TIME, withdrawn.attempt));
        }
        room || known
    }

    /// Drops what has expired. A member that could copy from nobody for the retention time votes
    /// from then on, because what it could have copied has expired too.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((at, key)) = self.expiries.first().cloned().filter(|(at, _)| *at <= now) {
            self.expiries.pop_first();
            self.expire_key(&key, at);
        }
        while let Some((_, attempt)) = self.forgets.pop_front_if(|(at, _)| *at <= now) {
            self.withdrawn.remove(&attempt);
        }
        let waited = self.joined.is_some_and(|joined| joined + RETENTION <= now);
        if !self.voting && waited && self.members.contains(&self.me) {
            self.finish_copy(self.electorate);
        }
    }

    fn expire_key(&mut self, key: &RequestKey, at: Instant) {
        let Some(holdings) = self.entries.get_mut(key) else {
            return;
        };
        let freed = &mut self.answer_bytes;
        holdings.retain(|holding| {
            let keep = holding.stage.expires().is_none_or(|expires| expires > at);
            if !keep {
                *freed -= holding.stage.answer_size();
            }
            keep
        });
        if holdings.is_empty() {
            self.entries.remove(key);
        }
    }
}

/// Instances of a membership.
pub(crate) fn instances(membership: &Membership) -> impl Iterator<Item = Instance> {
    membership.members.iter().map(|(host, member)| Instance {
        host: host.clone(),
        incarnation: member.incarnation,
    })
}

fn rank(stage: &Stage) -> u8 {
    match stage {
        Stage::Open => 0,
        Stage::Abandoned { .. } => 1,
        Stage::Settled {
            verdict: Verdict::NotRun | Verdict::MayHaveRun,
            ..
        } => 2,
        Stage::Settled {
            verdict: Verdict::Ran, ..
        } => 3,
    }
}

fn judge_holdings(holdings: &[Holding], claim: &ClaimKey, electorate: usize) -> Vote {
    let same = |h: &&Holding| h.fingerprint == claim.fingerprint;
    let best = holdings.iter().filter(same).max_by_key(|h| rank(&h.stage));
    if let Some(Stage::Settled { verdict, answer, .. }) = best.map(|h| &h.stage) {
        return Vote::Settled {
            verdict: *verdict,
            answer: answer.clone(),
        };
    }
    if holdings.iter().any(|h| !same(&h)) {
        return Vote::Mismatch;
    }
    let own = |h: &Holding| h.attempt == claim.attempt && matches!(h.stage, Stage::Open);
    if holdings.iter().all(own) {
        Vote::Accepted { electorate }
    } else {
        Vote::Open
    }
}
