//! A host's own counters.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fold::{EndedBy, Ending};
use super::sheet::Sheet;
use super::{Batch, CountKey, CountsBody, HoldAnswer, Instance, Period};
use crate::fold::Membership;
use crate::once::instances;
use crate::types::{Caller, RouteName, Verdict, Zone};

/// Time between two appends of counters to the log.
const FLUSH_EVERY: Duration = Duration::from_secs(5);

/// Time between two appends while answers wait and no holder acknowledges.
const FLUSH_URGENT: Duration = Duration::from_millis(250);

/// Longest time that the end of an answer waits for a durable copy of its count.
const RELEASE_WAIT: Duration = Duration::from_secs(1);

/// Time until a batch is first sent again; doubled up to [`KEEP_ALIVE`].
const RESEND: Duration = Duration::from_millis(50);

/// Time after which an empty batch shows a holder that it is still one.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Time after the end of a period during which late counters of it still appear.
const SETTLE_TIME: Duration = Duration::from_mins(5);

/// A counted answer whose end waits for a durable copy of the count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ticket {
    key: CountKey,
    sequence: u64,
    since: Instant,
}

/// Whether the end of an answer may be released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Release {
    /// Not yet; ask again after an acknowledgement or at the returned time.
    Wait { until: Instant },
    /// The count is at a holder or in the log.
    Durable,
    /// Neither was reachable in time; the answer is counted as exposed. A host without a routing
    /// lease aborts the answer instead: if it is lost too, nobody learns of the exposed count.
    Exposed,
}

#[derive(Debug)]
struct Peer {
    acked: u64,
    sent: u64,
    sent_at: Option<Instant>,
    resend: Duration,
}

/// The counters of this instance.
#[derive(Debug)]
pub(crate) struct Ledger {
    me: Instance,
    zone: Zone,
    start: Period,
    /// First period that new requests can be counted in.
    floor: Period,
    sheet: Sheet,
    /// Number of the changes that are made now; raised when a batch is cut.
    sequence: u64,
    peers: BTreeMap<Instance, Peer>,
    flushed: u64,
    flushed_at: Instant,
    complete: Option<Period>,
    /// An answer that waits for a copy: its sequence number, and since when.
    waiting: Option<(u64, Instant)>,
}

impl Ledger {
    /// Makes the ledger of a new instance. `closed` is the last period that the counts stream
    /// shows as closed; no request is counted in it, even if the clock is behind.
    pub(crate) fn new(me: Instance, zone: Zone, closed: Period, wall: SystemTime, now: Instant) -> Self {
        let start = Period::of(wall).max(closed.next());
        Self {
            me,
            zone,
            start,
            floor: start,
            sheet: Sheet::default(),
            sequence: 1,
            peers: BTreeMap::new(),
            flushed: 0,
            flushed_at: now,
            complete: None,
            waiting: None,
        }
    }

    /// Returns the record that must be folded before the first request is admitted.
    pub(crate) fn start_record(&self) -> CountsBody {
        CountsBody::Start {
            instance: self.me.clone(),
            period: self.start,
        }
    }

    /// Chooses two holders, in other availability zones where the membership has them.
    pub(crate) fn set_members(&mut self, membership: &Membership) {
        let zones = membership.members.values().map(|m| &m.zone);
        let others = instances(membership).zip(zones).filter(|(i, _)| *i != self.me);
        let rank = |i: &Instance| xxh3_64_with_seed(i.host.as_str().as_bytes(), self.me.incarnation.0);
        let mut ranked: Vec<_> = others
            .map(|(i, zone)| ((*zone == self.zone, rank(&i)), i, zone))
            .collect();
        ranked.sort();
        if ranked.iter().any(|((same, _), _, _)| !same) {
            ranked.retain(|((same, _), _, _)| !same);
        }
        let first = ranked.first().map(|(_, _, zone)| *zone);
        let second = ranked.iter().skip(1).find(|(_, _, zone)| Some(*zone) != first);
        let second = second.or(ranked.get(1));
        let chosen: Vec<_> = ranked
            .first()
            .into_iter()
            .chain(second)
            .map(|(_, i, _)| i.clone())
            .collect();
        self.peers.retain(|peer, _| chosen.contains(peer));
        // The holders that stay are told of the new choice at once.
        self.peers.values_mut().for_each(|peer| peer.sent_at = None);
        for peer in chosen {
            self.peers.entry(peer).or_insert(Peer {
                acked: 0,
                sent: 0,
                sent_at: None,
                resend: RESEND,
            });
        }
    }

    /// Counts an admitted request and returns the row for its end.
    pub(crate) fn admit(&mut self, caller: &Caller, route: &RouteName, wall: SystemTime) -> CountKey {
        let key = CountKey {
            caller: caller.clone(),
            route: route.clone(),
            period: Period::of(wall).max(self.floor),
        };
        self.sheet.change(&key, self.sequence, |c| c.admitted += 1);
        key
    }

    /// Counts the end of a request, before the end of its answer is released. `answered` is true
    /// if the complete answer, also a refusal, will be delivered once the ticket allows it.
    pub(crate) fn finish(&mut self, key: &CountKey, verdict: Verdict, answered: bool, now: Instant) -> Ticket {
        self.sheet.change(key, self.sequence, |c| {
            c.count_verdict(verdict);
            c.answered += u64::from(answered);
        });
        if answered {
            self.waiting.get_or_insert((self.sequence, now));
        }
        Ticket {
            key: key.clone(),
            sequence: self.sequence,
            since: now,
        }
    }

    /// Counts an answer whose last byte was released but could not be written to the caller.
    pub(crate) fn unconfirm(&mut self, key: &CountKey) {
        self.sheet.change(key, self.sequence, |c| c.unconfirmed += 1);
    }

    /// Tells whether the end of an answer may be released.
    ///
    /// After `Durable` or `Exposed`, the caller of this method releases it and doesn't ask again.
    pub(crate) fn check_release(&mut self, ticket: &Ticket, now: Instant) -> Release {
        if self.durable() >= ticket.sequence {
            return Release::Durable;
        }
        let until = ticket.since + RELEASE_WAIT;
        if now < until {
            return Release::Wait { until };
        }
        self.sheet.change(&ticket.key, self.sequence, |c| c.exposed += 1);
        Release::Exposed
    }

    /// Highest sequence number that a holder or the log has.
    fn durable(&self) -> u64 {
        let acked = self.peers.values().map(|p| p.acked).max();
        acked.unwrap_or(0).max(self.flushed)
    }

    fn note_durable(&mut self, now: Instant) {
        let durable = self.durable();
        if self.waiting.is_some_and(|(sequence, _)| durable >= sequence) {
            let rest = durable + 1 < self.sequence;
            self.waiting = rest.then_some((self.sequence - 1, now));
        }
    }

    /// Ends the current sequence number if it has changes; all changes are up to the result.
    fn cut(&mut self) -> u64 {
        if self.sheet.has_changes(self.sequence - 1) {
            self.sequence += 1;
        }
        self.sequence - 1
    }

    /// Returns the batches that are due; called every millisecond.
    pub(crate) fn batches(&mut self, now: Instant) -> Vec<(Instance, Batch)> {
        let through = self.cut();
        let mut batches = Vec::new();
        let holders: BTreeSet<_> = self.peers.keys().cloned().collect();
        for (to, peer) in &mut self.peers {
            let since = peer.sent_at.map(|at| now.saturating_duration_since(at));
            if peer.sent > peer.acked && since.is_some_and(|s| s >= peer.resend) {
                peer.sent = peer.acked;
                peer.resend = (peer.resend * 2).min(KEEP_ALIVE);
            }
            // A silent peer gets new changes only with the next resend.
            let silent = peer.resend > RESEND && since.is_some_and(|s| s < peer.resend);
            let idle = since.is_none_or(|s| s >= KEEP_ALIVE);
            if silent || peer.sent >= through && !idle {
                continue;
            }
            let parts = self.sheet.batches(&self.me, peer.sent, through);
            batches.extend(parts.into_iter().map(|batch| {
                let holders = holders.clone();
                (to.clone(), Batch { holders, ..batch })
            }));
            peer.sent = through;
            peer.sent_at = Some(now);
        }
        batches
    }

    /// Takes a holder's answer.
    pub(crate) fn acknowledge(&mut self, from: &Instance, answer: HoldAnswer, now: Instant) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if answer.accepted {
            peer.acked = peer.acked.max(answer.through);
            peer.resend = RESEND;
        } else {
            peer.acked = answer.through;
            peer.sent = answer.through;
        }
        self.note_durable(now);
    }

    /// Tells whether counters should be appended to the log: every 5 s, and sooner while answers
    /// wait that no holder acknowledges.
    pub(crate) fn is_flush_due(&self, now: Instant) -> bool {
        let urgent = self.waiting.is_some_and(|(_, since)| now >= since + 2 * RESEND);
        let every = if urgent { FLUSH_URGENT } else { FLUSH_EVERY };
        now >= self.flushed_at + every
    }

    /// Returns the records to append, in order; empty if nothing has changed. The caller reports
    /// the success of all of them by [`Ledger::note_flushed`]; if one fails, it drops the rest.
    pub(crate) fn flush(&mut self, wall: SystemTime, now: Instant) -> Vec<CountsBody> {
        self.flushed_at = now;
        let complete = self.complete_period(wall);
        if !self.sheet.has_changes(self.flushed) && complete == self.complete {
            return Vec::new();
        }
        self.records(complete, None)
    }

    /// Returns the last records of an instance that has ended all its requests, for a graceful
    /// shutdown.
    pub(crate) fn end(&mut self, wall: SystemTime) -> Vec<CountsBody> {
        let period = Period::of(wall).max(self.floor);
        self.records(None, Some(&Ending::new(EndedBy::Own, period)))
    }

    fn records(&mut self, complete: Option<Period>, ending: Option<&Ending>) -> Vec<CountsBody> {
        let through = self.cut();
        let batches = self.sheet.batches(&self.me, self.flushed, through);
        let body = |batch| CountsBody::Counts {
            batch,
            complete,
            ending: ending.cloned(),
        };
        batches.into_iter().map(body).collect()
    }

    /// Notes that all records of a flush are in the log.
    pub(crate) fn note_flushed(&mut self, records: &[CountsBody], now: Instant) {
        for record in records {
            if let CountsBody::Counts { batch, complete, .. } = record {
                self.flushed = self.flushed.max(batch.through);
                self.complete = self.complete.max(*complete);
            }
        }
        self.note_durable(now);
    }

    /// Last period that ended some time ago and has no open request; later requests are not
    /// counted in it, even if the clock is set back.
    fn complete_period(&mut self, wall: SystemTime) -> Option<Period> {
        let ended = Period::of(wall.checked_sub(SETTLE_TIME).unwrap_or(wall)).previous();
        let open = self.sheet.rows.iter().filter(|(_, row)| row.counters.open() > 0);
        let first = open.map(|(key, _)| key.period.previous()).min();
        let complete = Some(first.map_or(ended, |p| p.min(ended))).filter(|p| *p >= self.start);
        self.floor = self.floor.max(complete.map_or(self.floor, Period::next));
        complete.max(self.complete)
    }

    /// Drops the rows of closed periods.
    pub(crate) fn drop_periods(&mut self, closed: Period) {
        // The parts of a batch are cut differently now, so they need another number.
        self.sequence += 1;
        self.sheet.drop_periods(closed);
    }
}
