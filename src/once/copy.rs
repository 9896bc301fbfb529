//! Copies of registers, by which a joining member learns the keys of the others.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::register::{Holding, Register, Stage};
use super::{Fingerprint, Instance, RequestKey, StoredAnswer, overlap};
use crate::types::{Offset, RequestId, Verdict, value};

/// Keys in a page.
const PAGE_KEYS: usize = 1000;

/// Bytes of stored answers after which a page ends.
const PAGE_BYTES: usize = 1 << 20;

value! {
    /// A question for the next page of a register.
    #[derive(Eq)]
    pub(crate) struct CopyAsk {
        pub(crate) source: Instance,
        pub(crate) after: Option<RequestKey>,
    }

    /// A part of a register.
    #[derive(Eq)]
    pub(crate) struct CopyPage {
        pub(crate) version: Offset,
        pub(crate) voting: bool,
        pub(crate) electorate: usize,
        pub(crate) entries: Vec<CopyEntry>,
        /// Last key of the page if more follow.
        pub(crate) next: Option<RequestKey>,
    }

    /// A key and the attempts that hold it.
    #[derive(Eq)]
    pub(crate) struct CopyEntry {
        pub(crate) key: RequestKey,
        pub(crate) holdings: Vec<CopyHolding>,
    }

    /// An attempt that holds a key.
    #[derive(Eq)]
    pub(crate) struct CopyHolding {
        pub(crate) attempt: RequestId,
        pub(crate) fingerprint: Fingerprint,
        pub(crate) coordinator: Instance,
        /// Result of a settled attempt.
        pub(crate) verdict: Option<Verdict>,
        pub(crate) answer: Option<Arc<StoredAnswer>>,
        /// Rest of the retention time; absent while the attempt is open.
        pub(crate) left: Option<Duration>,
    }
}

/// How far a register's copy from the other members has come.
#[derive(Clone, Debug)]
pub(crate) struct CopyState {
    /// Membership version at the start; sources must have reached it, so that no attempt wins
    /// under an older version after the copy.
    version: Offset,
    /// Largest membership since the start.
    since: usize,
    /// Largest electorate that a source named.
    electorate: usize,
    sources: BTreeMap<Instance, Progress>,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    after: Option<RequestKey>,
    complete: bool,
}

impl Register {
    /// Starts a copy if this member doesn't vote yet, or if evictions have left its electorate
    /// larger than the membership; follows changes of the membership in one that is under way.
    pub(super) fn follow_members(&mut self) {
        let size = self.members.len();
        if !self.members.contains(&self.me) || self.voting && self.electorate <= size {
            self.copy = None;
            return;
        }
        let version = self.version;
        let copy = self.copy.get_or_insert_with(|| CopyState {
            version,
            since: size,
            electorate: 0,
            sources: BTreeMap::new(),
        });
        copy.since = copy.since.max(size);
        for member in self.members.iter().filter(|m| **m != self.me) {
            copy.sources.entry(member.clone()).or_default();
        }
    }

    /// Returns the pages to fetch; empty if no copy is needed.
    pub(crate) fn next_copies(&self) -> Vec<CopyAsk> {
        let sources = self.copy.iter().flat_map(|copy| &copy.sources);
        sources
            .filter(|(source, progress)| !progress.complete && self.members.contains(source))
            .map(|(source, progress)| CopyAsk {
                source: source.clone(),
                after: progress.after.clone(),
            })
            .collect()
    }

    /// Returns the page of this register that follows a key.
    pub(crate) fn copy_out(&self, after: Option<&RequestKey>, now: Instant) -> CopyPage {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.entries.range((start, Bound::Unbounded)).peekable();
        let mut entries = Vec::new();
        let mut bytes = 0;
        while entries.len() < PAGE_KEYS && bytes < PAGE_BYTES {
            let Some((key, holdings)) = rest.next() else {
                break;
            };
            let holdings: Vec<_> = holdings.iter().map(|h| export_holding(h, now)).collect();
            let sizes = holdings.iter().filter_map(|h| h.answer.as_ref()).map(|a| a.size());
            bytes += sizes.sum::<usize>();
            let key = key.clone();
            entries.push(CopyEntry { key, holdings });
        }
        let more = rest.peek().is_some();
        CopyPage {
            version: self.version,
            voting: self.voting,
            electorate: self.electorate,
            next: entries.last().filter(|_| more).map(|entry| entry.key.clone()),
            entries,
        }
    }

    /// Takes over a page that was asked for, and votes once enough members are copied.
    ///
    /// A page that doesn't follow the last one from its source is ignored.
    pub(crate) fn copy_in(&mut self, ask: &CopyAsk, page: &CopyPage, now: Instant) {
        let Some(copy) = &mut self.copy else {
            return;
        };
        let current = |p: &&mut Progress| !p.complete && p.after == ask.after;
        let Some(progress) = copy.sources.get_mut(&ask.source).filter(current) else {
            return;
        };
        if !page.voting || page.version < copy.version {
            progress.after = None;
            return;
        }
        progress.after.clone_from(&page.next);
        progress.complete = page.next.is_none();
        copy.electorate = copy.electorate.max(page.electorate);
        for entry in &page.entries {
            for holding in &entry.holdings {
                let holding = self.import_holding(holding, page.version, now);
                self.merge_holding(&entry.key, holding);
            }
        }
        self.check_copy();
    }

    fn check_copy(&mut self) {
        let Some(copy) = &self.copy else {
            return;
        };
        let own = if self.voting { self.electorate } else { 0 };
        let electorate = copy.electorate.max(copy.since).max(own);
        let copied = copy.sources.values().filter(|p| p.complete).count();
        if copied + usize::from(self.voting) >= overlap(electorate) {
            self.finish_copy(copy.since);
        }
    }

    fn import_holding(&self, holding: &CopyHolding, version: Offset, now: Instant) -> Holding {
        // A coordinator that this member doesn't know yet may have joined since its version.
        let known = version > self.version || self.members.contains(&holding.coordinator);
        let expires = now + holding.left.unwrap_or(super::register::RETENTION);
        let stage = match holding.verdict {
            Some(verdict) => Stage::Settled {
                verdict,
                answer: holding.answer.clone(),
                expires,
            },
            None if known && holding.left.is_none() => Stage::Open,
            None => Stage::Abandoned { expires },
        };
        Holding {
            attempt: holding.attempt,
            fingerprint: holding.fingerprint,
            coordinator: holding.coordinator.clone(),
            stage,
        }
    }
}

fn export_holding(holding: &Holding, now: Instant) -> CopyHolding {
    let (verdict, answer) = match &holding.stage {
        Stage::Open | Stage::Abandoned { .. } => (None, None),
        Stage::Settled { verdict, answer, .. } => (Some(*verdict), answer.clone()),
    };
    CopyHolding {
        attempt: holding.attempt,
        fingerprint: holding.fingerprint,
        coordinator: holding.coordinator.clone(),
        verdict,
        answer,
        left: holding.stage.expires().map(|e| e.saturating_duration_since(now)),
    }
}
