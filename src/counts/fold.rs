//! The deterministic fold of the counts stream, and its reports.

use std::collections::{BTreeMap, BTreeSet};

use super::period::{CLOSE_DELAY, WallTime};
use super::sheet::Progress;
use super::{Batch, CountKey, Counters, CountsBody, CountsChunk, Instance, Period};
use crate::fold::Membership;
use crate::once::instances;
use crate::types::{Caller, Offset, RouteName, value};

/// Rows in a part of a snapshot, so that its record stays below the size limit of the log.
const SNAPSHOT_ROWS: usize = 1000;

value! {
    /// How an instance ended.
    #[derive(Eq)]
    pub(crate) struct Ending {
        pub(crate) by: EndedBy,
        /// Period of the end; the instance counted nothing later.
        pub(crate) period: Period,
        /// Highest sequence number that a holder had.
        pub(crate) through: u64,
        /// The holder that wrote this, or all that did.
        pub(crate) written: BTreeSet<Instance>,
        /// The holders that the instance is known to have used last.
        pub(crate) holders: BTreeSet<Instance>,
    }

    /// Who wrote the last counters of an instance, the better known last.
    #[serde(rename_all = "kebab-case")]
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub(crate) enum EndedBy {
        /// Nobody; the counters since its last flush are lost.
        Nobody,
        /// A holder.
        Holder,
        /// The instance itself.
        Own,
    }

    /// What is known of an instance that has not ended by itself.
    pub(crate) struct Account {
        start: Period,
        progress: Progress,
        complete: Option<Period>,
        end: Option<Ending>,
    }

    /// Why counts of an instance may differ from those of its callers.
    #[serde(rename_all = "kebab-case")]
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub(crate) enum Why {
        /// A holder wrote its last counters: every answer that a caller received is counted.
        /// Requests of its last moments whose caller got no complete answer may be missing, or be
        /// counted as answered.
        Unanswered,
        /// As before, and received answers may be missing too: some were released without a copy
        /// of their count, or the log had later counters than the holders, or not all holders
        /// wrote their copies. One acknowledgement releases an answer, so each holder may have
        /// what the other lacks.
        Exposed,
        /// Nobody wrote its last counters.
        Missing,
        /// It reported changes after the period was closed; they are not counted.
        Late,
    }
}

impl Ending {
    /// Makes an ending that no holder wrote.
    pub(super) fn new(by: EndedBy, period: Period) -> Self {
        Self {
            by,
            period,
            through: 0,
            written: BTreeSet::new(),
            holders: BTreeSet::new(),
        }
    }
}

/// What became of a record of the counts stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountsOutcome {
    /// The record was folded, perhaps without a change.
    Applied,
    /// A record below the folded offset.
    AlreadyFolded,
    /// The instance has not started, or has ended.
    UnknownInstance,
    /// A `Start` in a closed period, or of an instance that has ended.
    StartRefused,
    /// A `Close` of a closed period, or before all instances are complete.
    CloseRefused,
}

/// A snapshot has no complete set of parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IncompleteSnapshot;

value! {
    /// An instance whose counts may differ from those of its callers.
    #[derive(Eq)]
    pub(crate) struct Uncertain {
        pub(crate) instance: Instance,
        pub(crate) why: Why,
    }

    /// Counts of one caller and route.
    #[derive(Eq)]
    pub(crate) struct ReportRow {
        pub(crate) caller: Caller,
        pub(crate) route: RouteName,
        pub(crate) counters: Counters,
    }

    /// Counts of a period.
    #[derive(Eq)]
    pub(crate) struct Report {
        pub(crate) period: Period,
        /// The counts no longer change.
        pub(crate) closed: bool,
        pub(crate) rows: Vec<ReportRow>,
        pub(crate) uncertain: Vec<Uncertain>,
    }
}

/// All that the counts stream says.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct CountsState {
    pub(crate) folded: Offset,
    /// Last closed period.
    closed: Option<Period>,
    accounts: BTreeMap<Instance, Account>,
    rows: BTreeMap<Instance, BTreeMap<CountKey, Counters>>,
    /// Instances that ended by themselves, with their start, as long as a repeated `Start` could
    /// be accepted.
    ended: BTreeMap<Instance, Period>,
    /// Sums of instances that have ended and of closed periods.
    totals: BTreeMap<CountKey, Counters>,
    /// Uncertain instances of closed periods.
    uncertain: BTreeMap<(Period, Instance), Why>,
}

impl CountsState {
    /// Folds one record.
    pub(crate) fn apply(&mut self, offset: Offset, body: &CountsBody) -> CountsOutcome {
        if offset <= self.folded {
            return CountsOutcome::AlreadyFolded;
        }
        self.folded = offset;
        match body {
            CountsBody::Start { instance, period } => self.start(instance, *period),
            CountsBody::Counts {
                batch,
                complete,
                ending,
            } => self.count(batch, *complete, ending.as_ref()),
            CountsBody::Missing { instance, period } => self.end(instance, &Ending::new(EndedBy::Nobody, *period)),
            CountsBody::Close { period } => self.close(*period),
            CountsBody::Snapshot { .. } => CountsOutcome::Applied,
        }
    }

    /// Passes over a record that can't be decoded.
    pub(crate) fn skip(&mut self, offset: Offset) {
        self.folded = self.folded.max(offset);
    }

    /// Last closed period.
    pub(crate) fn closed(&self) -> Period {
        self.closed.unwrap_or(Period::MIN)
    }

    /// Tells whether an instance has started and not ended; only then may it admit requests.
    pub(crate) fn is_running(&self, instance: &Instance) -> bool {
        self.accounts.get(instance).is_some_and(|a| a.end.is_none())
    }

    /// Returns the instances that are no members and whose last counters nobody has written.
    ///
    /// The leader writes `Missing` for one that stays here for a minute.
    pub(crate) fn orphans(&self, membership: &Membership) -> Vec<Instance> {
        let members: BTreeSet<_> = instances(membership).collect();
        let open = self.accounts.iter().filter(|(_, a)| a.end.is_none());
        open.map(|(i, _)| i.clone()).filter(|i| !members.contains(i)).collect()
    }

    /// Returns the period to close, if one ended long enough ago and everything is written.
    pub(crate) fn due_close(&self, wall: WallTime) -> Option<Period> {
        let period = Period::of(wall.checked_sub(CLOSE_DELAY)?).previous();
        self.can_close(period).then_some(period)
    }

    fn can_close(&self, period: Period) -> bool {
        let written = |a: &Account| a.start > period || a.end.is_some() || a.complete >= Some(period);
        period > self.closed() && self.accounts.values().all(written)
    }

    fn start(&mut self, instance: &Instance, period: Period) -> CountsOutcome {
        if period <= self.closed() || self.ended.contains_key(instance) {
            return CountsOutcome::StartRefused;
        }
        self.accounts.entry(instance.clone()).or_insert(Account {
            start: period,
            progress: Progress::default(),
            complete: None,
            end: None,
        });
        CountsOutcome::Applied
    }

    fn count(&mut self, batch: &Batch, complete: Option<Period>, ending: Option<&Ending>) -> CountsOutcome {
        let closed = self.closed();
        let Some(account) = self.accounts.get_mut(&batch.instance) else {
            return CountsOutcome::UnknownInstance;
        };
        for entry in &batch.entries {
            if entry.key.period > closed {
                let rows = self.rows.entry(batch.instance.clone()).or_default();
                rows.entry(entry.key.clone()).or_default().raise(&entry.counters);
            } else if entry.changed > account.progress.through {
                self.uncertain
                    .insert((entry.key.period, batch.instance.clone()), Why::Late);
            }
        }
        if !account.progress.note_batch(batch) {
            return CountsOutcome::Applied;
        }
        account.complete = account.complete.max(complete);
        match ending {
            Some(ending) => self.end(&batch.instance, ending),
            None => CountsOutcome::Applied,
        }
    }

    fn end(&mut self, instance: &Instance, ending: &Ending) -> CountsOutcome {
        let Some(account) = self.accounts.get_mut(instance) else {
            return CountsOutcome::UnknownInstance;
        };
        let known = account.end.get_or_insert_with(|| ending.clone());
        known.by = known.by.max(ending.by);
        known.period = known.period.max(ending.period);
        known.through = known.through.max(ending.through);
        known.written.extend(ending.written.iter().cloned());
        known.holders.extend(ending.holders.iter().cloned());
        if known.by == EndedBy::Own {
            let start = account.start;
            self.accounts.remove(instance);
            self.ended.insert(instance.clone(), start);
            let rows = self.rows.remove(instance).unwrap_or_default();
            self.total_rows(rows, true);
        }
        CountsOutcome::Applied
    }

    fn total_rows(&mut self, rows: impl IntoIterator<Item = (CountKey, Counters)>, ended: bool) {
        for (key, counters) in rows {
            let counters = if ended { counters.end_open() } else { counters };
            self.totals.entry(key).or_default().add(&counters);
        }
    }

    fn close(&mut self, period: Period) -> CountsOutcome {
        if !self.can_close(period) {
            return CountsOutcome::CloseRefused;
        }
        for at in self.open_periods(period) {
            for Uncertain { instance, why } in self.list_uncertain(at) {
                self.uncertain.insert((at, instance), why);
            }
        }
        for (instance, mut rows) in std::mem::take(&mut self.rows) {
            let ended = self.accounts.get(&instance).is_some_and(|a| a.end.is_some());
            let later = rows.extract_if(.., |key, _| key.period > period).collect();
            self.total_rows(rows, ended);
            self.rows.insert(instance, later);
        }
        self.closed = Some(period);
        let past = |a: &Account| a.end.as_ref().is_some_and(|end| end.period <= period);
        self.accounts.retain(|_, account| !past(account));
        self.rows
            .retain(|instance, rows| !rows.is_empty() && self.accounts.contains_key(instance));
        self.ended.retain(|_, start| *start > period);
        CountsOutcome::Applied
    }

    /// Periods up to one in which an instance that is still listed took part.
    fn open_periods(&self, through: Period) -> Vec<Period> {
        let first = self.accounts.values().map(|a| a.start).min().unwrap_or(through);
        let first = first.max(self.closed().next());
        std::iter::successors(Some(first), |p| Some(p.next()))
            .take_while(|p| *p <= through)
            .collect()
    }

    fn list_uncertain(&self, period: Period) -> Vec<Uncertain> {
        let known = self.uncertain.iter().filter(|((at, _), _)| *at == period);
        let mut list: BTreeMap<_, _> = known.map(|((_, i), why)| (i.clone(), *why)).collect();
        if period > self.closed() {
            let current = self
                .accounts
                .iter()
                .filter_map(|(i, a)| Some((i.clone(), self.doubt(i, a, period)?)));
            list.extend(current);
        }
        let listed = list.into_iter();
        listed.map(|(instance, why)| Uncertain { instance, why }).collect()
    }

    fn doubt(&self, instance: &Instance, account: &Account, period: Period) -> Option<Why> {
        let end = account.end.as_ref()?;
        let part = account.start <= period && period <= end.period && account.complete < Some(period);
        let rows = self.rows.get(instance).into_iter().flatten();
        let mut counters = rows.filter(|(key, _)| key.period == period).map(|(_, c)| c);
        let exposed = counters.any(|c| c.exposed > 0);
        let lagging = end.through < account.progress.through || !end.holders.is_subset(&end.written);
        match end.by {
            _ if !part => None,
            EndedBy::Nobody => Some(Why::Missing),
            EndedBy::Holder if exposed || lagging => Some(Why::Exposed),
            EndedBy::Holder => Some(Why::Unanswered),
            EndedBy::Own => None,
        }
    }

    /// Returns the counts of a period; `caller` limits the rows to one caller.
    pub(crate) fn report(&self, period: Period, caller: Option<&Caller>) -> Report {
        let mut sums: BTreeMap<(Caller, RouteName), Counters> = BTreeMap::new();
        let mut add = |key: &CountKey, counters: &Counters| {
            if key.period == period && caller.is_none_or(|c| *c == key.caller) {
                let row = (key.caller.clone(), key.route.clone());
                sums.entry(row).or_default().add(counters);
            }
        };
        for (key, counters) in &self.totals {
            add(key, counters);
        }
        for (instance, rows) in &self.rows {
            let ended = self.accounts.get(instance).is_some_and(|a| a.end.is_some());
            for (key, counters) in rows {
                add(key, &if ended { counters.end_open() } else { *counters });
            }
        }
        let rows = sums.into_iter().map(|((caller, route), counters)| ReportRow {
            caller,
            route,
            counters,
        });
        Report {
            period,
            closed: period <= self.closed(),
            rows: rows.collect(),
            uncertain: self.list_uncertain(period),
        }
    }

    /// Number of rows and instances, which determines the size of a snapshot.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        let rows = self.rows.values().map(BTreeMap::len).sum::<usize>();
        rows + self.accounts.len() + self.ended.len() + self.totals.len() + self.uncertain.len()
    }

    /// Writes the whole state as snapshot records.
    pub(crate) fn take_snapshot(&self) -> Vec<CountsBody> {
        let mut chunks = vec![CountsChunk {
            closed: self.closed,
            ..CountsChunk::default()
        }];
        let accounts = self.accounts.iter().map(|(i, a)| (i.clone(), a.clone()));
        split_rows(&mut chunks, accounts, |chunk| &mut chunk.accounts);
        let rows = self.rows.iter().flat_map(|(i, rows)| rows.iter().map(move |r| (i, r)));
        let rows = rows.map(|(i, (key, counters))| (i.clone(), key.clone(), *counters));
        split_rows(&mut chunks, rows, |chunk| &mut chunk.rows);
        let ended = self.ended.iter().map(|(i, start)| (i.clone(), *start));
        split_rows(&mut chunks, ended, |chunk| &mut chunk.ended);
        let totals = self.totals.iter().map(|(key, c)| (key.clone(), *c));
        split_rows(&mut chunks, totals, |chunk| &mut chunk.totals);
        let uncertain = self.uncertain.iter();
        let uncertain = uncertain.map(|((period, i), why)| (*period, i.clone(), *why));
        split_rows(&mut chunks, uncertain, |chunk| &mut chunk.uncertain);
        let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        let numbered = (0..parts).zip(chunks);
        numbered
            .map(|(part, chunk)| CountsBody::Snapshot {
                through: self.folded,
                part,
                parts,
                chunk: Box::new(chunk),
            })
            .collect()
    }

    /// Reads a state from the parts of one snapshot, in any order.
    ///
    /// The records after its `through` offset must be folded next.
    ///
    /// # Errors
    ///
    /// Fails if a part is missing or belongs to another snapshot.
    pub(crate) fn restore(records: &[CountsBody]) -> Result<Self, IncompleteSnapshot> {
        let mut state = Self::default();
        let mut seen = BTreeSet::new();
        let mut wanted = None;
        for record in records {
            let CountsBody::Snapshot {
                through,
                part,
                parts,
                chunk,
            } = record
            else {
                continue;
            };
            if *wanted.get_or_insert((*through, *parts)) != (*through, *parts) {
                return Err(IncompleteSnapshot);
            }
            seen.insert(*part);
            state.folded = *through;
            state.load_chunk(chunk);
        }
        match wanted {
            Some((_, parts)) if seen.len() == parts as usize => Ok(state),
            _ => Err(IncompleteSnapshot),
        }
    }

    fn load_chunk(&mut self, chunk: &CountsChunk) {
        self.closed = self.closed.max(chunk.closed);
        self.accounts.extend(chunk.accounts.iter().cloned());
        for (instance, key, counters) in &chunk.rows {
            let rows = self.rows.entry(instance.clone()).or_default();
            rows.insert(key.clone(), *counters);
        }
        self.ended.extend(chunk.ended.iter().cloned());
        self.totals.extend(chunk.totals.iter().cloned());
        let uncertain = chunk.uncertain.iter().cloned();
        self.uncertain
            .extend(uncertain.map(|(period, i, why)| ((period, i), why)));
    }
}

/// Adds rows to the list of a new chunk, and of another one whenever it is full.
fn split_rows<T>(
    chunks: &mut Vec<CountsChunk>,
    rows: impl Iterator<Item = T>,
    list: fn(&mut CountsChunk) -> &mut Vec<T>,
) {
    let mut rows = rows.peekable();
    while rows.peek().is_some() {
        let mut chunk = CountsChunk::default();
        list(&mut chunk).extend(rows.by_ref().take(SNAPSHOT_ROWS));
        chunks.push(chunk);
    }
}
