//! Lends the slots and connections of one upstream to the hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use super::fair::{FairOrder, Lane};
use super::ledger::Account;
use super::ramp::{PoolWarmth, Ramp, Sign};
use super::{CREDIT_EXPIRY, HomeTerm, Instance, Lend, Outcome, Report, Sample};
use crate::types::UpstreamName;

/// Waiting requests per slot that the queue takes; more would wait longer than any deadline.
const QUEUE_PER_SLOT: u32 = 64;
/// Time after which a slot goes to another waiting host even from a host with equal demand.
///
/// Each such change leaves the slot idle for about 1 ms on the way, 2% of this time.
const TURN: Duration = Duration::from_millis(50);
/// Weight of a new latency in the average service time.
const SERVICE_GAIN: f64 = 0.05;

/// What an upstream can bear from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Capacity {
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

#[derive(Debug)]
struct Waiting {
    count: u32,
    since: Instant,
    until: Instant,
}

/// Credits under an earlier broker that this one doesn't know yet.
#[derive(Debug)]
struct Rebuild {
    unanswered: BTreeSet<Instance>,
    /// Time at which the earlier broker has certainly stopped.
    not_before: Instant,
    /// Time at which the credits of hosts that haven't answered have expired.
    until: Instant,
}

/// Lends the slots and connections of one upstream; lives at its home host.
#[derive(Debug)]
pub(crate) struct Broker {
    upstream: UpstreamName,
    term: HomeTerm,
    connections: u32,
    /// Hosts that share the connection budget.
    hosts: u32,
    accounts: BTreeMap<Instance, Account>,
    /// Requests that wait at hosts for a slot.
    wants: BTreeMap<(Lane, Instance), Waiting>,
    order: FairOrder,
    ramp: Ramp,
    pool: PoolWarmth,
    rebuild: Option<Rebuild>,
    version: u64,
    /// Average time that an attempt takes, in seconds.
    service: Option<f64>,
    changed: BTreeSet<Instance>,
    ejected_until: Option<Instant>,
    /// Requests waited at the last change, and the holders know it.
    contended: bool,
}

impl Broker {
    /// Starts a broker that asks `members` for what they hold under an earlier one.
    ///
    /// `members` are all hosts that may hold credits. `not_before` is the time at which the
    /// earlier broker can no longer lend: `now` if it has answered or is evicted, otherwise the
    /// end of its routing lease.
    pub(crate) fn new(
        upstream: UpstreamName,
        term: HomeTerm,
        capacity: Capacity,
        members: impl IntoIterator<Item = Instance>,
        not_before: Instant,
        now: Instant,
    ) -> Self {
        let unanswered: BTreeSet<Instance> = members.into_iter().collect();
        let hosts = u32::try_from(unanswered.len()).unwrap_or(u32::MAX).max(1);
        Self {
            upstream,
            term,
            connections: capacity.connections,
            hosts,
            accounts: BTreeMap::new(),
            wants: BTreeMap::new(),
            order: FairOrder::default(),
            ramp: Ramp::new(capacity.slots),
            pool: PoolWarmth::default(),
            rebuild: Some(Rebuild {
                unanswered,
                not_before,
                until: not_before.max(now) + CREDIT_EXPIRY,
            }),
            version: 0,
            service: None,
            changed: BTreeSet::new(),
            ejected_until: None,
            contended: false,
        }
    }

    pub(crate) fn term(&self) -> &HomeTerm {
        &self.term
    }

    #[cfg(test)]
    pub(crate) fn ramp(&self) -> &Ramp {
        &self.ramp
    }

    /// Tells whether credits under an earlier broker may be unknown; nothing is lent then.
    #[cfg(test)]
    pub(crate) fn is_rebuilding(&self) -> bool {
        self.rebuild.is_some()
    }

    /// Most slots that all hosts together may use, as far as the broker can know.
    pub(crate) fn lent(&self) -> u32 {
        self.accounts.values().map(|a| a.slots.bound()).sum()
    }

    /// Sets what the upstream can bear and how many hosts share its connections.
    pub(crate) fn resize(&mut self, capacity: Capacity, hosts: u32, now: Instant) {
        self.connections = capacity.connections;
        self.hosts = hosts.max(1);
        self.ramp.resize(capacity.slots, now);
    }

    /// Sets how many upstreams of the pool are in slow start, from the lends of their brokers.
    pub(crate) fn set_pool(&mut self, pool: PoolWarmth) {
        self.pool = pool;
    }

    /// Takes a sign of a cold start that no sample carries.
    pub(crate) fn note(&mut self, sign: Sign, now: Instant) -> Vec<Lend> {
        self.ramp.note(sign, self.pool, now);
        self.tick(now)
    }

    /// Takes a report and gives the lends to send, among them the one to the reporter.
    ///
    /// Reports of another term or upstream and reports that newer ones have overtaken change
    /// nothing.
    pub(crate) fn hear(&mut self, report: &Report, now: Instant) -> Vec<Lend> {
        if report.term != self.term || report.upstream != self.upstream {
            return Vec::new();
        }
        self.expire(now);
        // An answer would renew credits that the earlier broker may already lend to others.
        if self.rebuild.as_ref().is_some_and(|r| now < r.not_before) {
            return Vec::new();
        }
        let rebuilding = self.rebuild.is_some();
        if let Some(rebuild) = &mut self.rebuild {
            rebuild.unanswered.remove(&report.from);
        }
        let known = self.accounts.contains_key(&report.from);
        let account = self
            .accounts
            .entry(report.from.clone())
            .or_insert_with(|| Account::open(now, report.first_sample));
        if known && report.sequence <= account.sequence {
            return Vec::new();
        }
        account.heard = now;
        account.sequence = report.sequence;
        account.isolate = report.isolate;
        account.connections_wanted = report.connections_wanted;
        account.slots.hear(report.slots);
        account.connections.hear(report.connections);
        if !known && rebuilding {
            account.slots.adopt();
            account.connections.adopt();
        } else if !known {
            // What an expired account held may be lent again already.
            self.version += 1;
            account.slots.allow(self.version, 0);
            account.connections.allow(self.version, 0);
        }
        self.take_ejection(report.ejected, now);
        self.take_samples(report, now);
        self.take_wants(report, now);
        self.changed.insert(report.from.clone());
        self.serve(now);
        self.collect(now)
    }

    /// Drops what has expired, lends what is free and recalls what is needed elsewhere.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<Lend> {
        self.expire(now);
        self.serve(now);
        self.collect(now)
    }

    fn expire(&mut self, now: Instant) {
        let gone = |a: &Account| now.duration_since(a.heard) >= CREDIT_EXPIRY;
        self.accounts.retain(|_, a| !gone(a));
        let accounts = &self.accounts;
        self.wants
            .retain(|(_, instance), w| w.until > now && accounts.contains_key(instance));
        self.changed.retain(|i| accounts.contains_key(i));
        let done = |r: &Rebuild| now >= r.until || (r.unanswered.is_empty() && now >= r.not_before);
        if self.rebuild.as_ref().is_some_and(done) {
            self.rebuild = None;
        }
    }

    /// Passes on the longest ejection by any host.
    fn take_ejection(&mut self, ejected: Duration, now: Instant) {
        let until = now + ejected;
        // Two reports of one ejection differ by their way here.
        let longer = self
            .ejected_until
            .is_none_or(|known| until > known + Duration::from_millis(100));
        if !ejected.is_zero() && longer {
            self.ejected_until = Some(until);
            self.changed.extend(self.accounts.keys().cloned());
        }
    }

    fn take_samples(&mut self, report: &Report, now: Instant) {
        let Some(account) = self.accounts.get_mut(&report.from) else {
            return;
        };
        let seen = account.samples_seen.saturating_sub(report.first_sample);
        let end = report.first_sample + report.samples.len() as u64;
        account.samples_seen = account.samples_seen.max(end);
        let fresh = report.samples.iter().skip(usize::try_from(seen).unwrap_or(usize::MAX));
        for sample in fresh {
            self.ramp.complete(sample, self.pool, now);
            if sample.outcome == Outcome::Answered {
                let latency = sample.latency.as_secs_f64();
                let service = self.service.get_or_insert(latency);
                *service += SERVICE_GAIN * (latency - *service);
            }
        }
    }

    /// Replaces what waits at the reporter.
    fn take_wants(&mut self, report: &Report, now: Instant) {
        let Some(account) = self.accounts.get(&report.from) else {
            return;
        };
        // The reporter still counts requests as waiting for which an allowance is on its way.
        let mut served = account.slots.unseen();
        let mut room = (QUEUE_PER_SLOT * self.ramp.limit()).saturating_sub(self.count_waiting(&report.from));
        let mut renewed = BTreeMap::new();
        for want in &report.wants {
            let skipped = served.min(want.count);
            served -= skipped;
            let count = (want.count - skipped).min(room);
            room -= count;
            if count > 0 {
                let lane = Lane {
                    priority: want.priority,
                    caller: want.caller.clone(),
                };
                let key = (lane, report.from.clone());
                let since = self.wants.get(&key).map_or(now, |w| w.since);
                let until = now + want.patience;
                renewed.insert(key, Waiting { count, since, until });
            }
        }
        self.wants.retain(|(_, i), _| *i != report.from);
        self.wants.append(&mut renewed);
    }

    /// Counts the requests that wait at other hosts.
    fn count_waiting(&self, except: &Instance) -> u32 {
        let others = self.wants.iter().filter(|((_, i), _)| i != except);
        others.map(|(_, w)| w.count).sum()
    }

    fn serve(&mut self, now: Instant) {
        if self.rebuild.is_none() {
            while self.lend_next(now) {}
        }
        self.recall(now);
        self.serve_connections();
        self.announce_contention();
    }

    /// Tells the holders when requests begin to wait; the end goes with the next lend.
    fn announce_contention(&mut self) {
        let contended = !self.wants.is_empty();
        if contended && !self.contended {
            let holders = self.accounts.iter().filter(|(_, a)| a.slots.count() > 0);
            self.changed.extend(holders.map(|(i, _)| i.clone()));
        }
        self.contended = contended;
    }

    /// Limit for an instance, which isolation takes to 0 or 1.
    fn present_limit(&self) -> u32 {
        if self.find_isolated().is_some() {
            1
        } else {
            self.ramp.limit()
        }
    }

    /// Finds the instance that may have the upstream for itself, the first that asks.
    fn find_isolated(&self) -> Option<&Instance> {
        self.accounts.iter().find(|(_, a)| a.isolate).map(|(i, _)| i)
    }

    fn lend_next(&mut self, now: Instant) -> bool {
        if self.lent() >= self.present_limit() {
            return false;
        }
        let isolated = self.find_isolated().cloned();
        let admitted = |i: &Instance| isolated.as_ref().is_none_or(|only| only == i);
        let waiting = self.wants.keys().filter(|(_, i)| admitted(i)).map(|(l, _)| l);
        let Some(lane) = self.order.choose(waiting) else {
            return false;
        };
        let in_lane = self.wants.iter().filter(|((l, i), _)| *l == lane && admitted(i));
        let Some((_, key)) = in_lane.map(|(k, w)| (w.since, k.clone())).min() else {
            return false;
        };
        self.take_turn(&key, now);
        true
    }

    fn take_turn(&mut self, key: &(Lane, Instance), now: Instant) {
        if let Some(waiting) = self.wants.get_mut(key) {
            waiting.count -= 1;
            // Hosts of one lane take turns.
            waiting.since = now;
            if waiting.count == 0 {
                self.wants.remove(key);
            }
        }
        if let Some(account) = self.accounts.get_mut(&key.1) {
            account.lent = now;
        }
        self.set_slots(&key.1.clone(), 1);
    }

    fn set_slots(&mut self, instance: &Instance, change: i32) {
        if let Some(account) = self.accounts.get_mut(instance) {
            self.version += 1;
            let count = account.slots.count().saturating_add_signed(change);
            account.slots.allow(self.version, count);
            self.changed.insert(instance.clone());
        }
    }

    /// Recalls slots above the limit, and slots that other hosts wait for, one at a time.
    fn recall(&mut self, now: Instant) {
        let limit = self.present_limit();
        let isolated = self.find_isolated().cloned();
        loop {
            let allowed: u32 = self.accounts.values().map(|a| a.slots.count()).sum();
            let others = self.accounts.iter().filter(|(i, _)| isolated.as_ref() != Some(*i));
            let largest = others
                .filter(|(_, a)| a.slots.count() > 0)
                .max_by_key(|(_, a)| (a.slots.count(), now.duration_since(a.lent)));
            let over = allowed > limit || isolated.is_some();
            let victim = match largest {
                Some((instance, _)) if over => instance.clone(),
                _ => break,
            };
            self.set_slots(&victim, -1);
        }
        if isolated.is_none() && self.lent() >= limit {
            self.recall_for_waiting(now);
        }
    }

    fn recall_for_waiting(&mut self, now: Instant) {
        let waiting: u32 = self.wants.values().map(|w| w.count).sum();
        let returning: u32 = self.accounts.values().map(|a| a.slots.returning()).sum();
        for _ in returning..waiting {
            let Some(victim) = self.find_victim(now).cloned() else {
                return;
            };
            self.set_slots(&victim, -1);
            if let Some(account) = self.accounts.get_mut(&victim) {
                account.lent = now;
            }
        }
    }

    /// Finds the instance with the most slots that has to give one to a waiting instance.
    fn find_victim(&self, now: Instant) -> Option<&Instance> {
        let counts = self.wants.keys().filter_map(|(_, i)| Some((i, self.accounts.get(i)?)));
        let counts: BTreeMap<&Instance, u32> = counts.map(|(i, a)| (i, a.slots.count())).collect();
        let has_to_give = |(instance, account): &(&Instance, &Account)| {
            let count = account.slots.count();
            let turn_over = now.duration_since(account.lent) >= TURN;
            let mut others = counts.iter().filter(|(i, _)| *i != instance);
            count > 0 && others.any(|(_, &other)| count > other + 1 || (turn_over && count >= other))
        };
        let victims = self.accounts.iter().filter(has_to_give);
        victims
            .max_by_key(|(_, a)| (a.slots.count(), now.duration_since(a.lent)))
            .map(|(i, _)| i)
    }

    /// Share of the connection budget that loans to other hosts never take.
    fn connection_share(&self) -> u32 {
        self.connections / (2 * self.hosts)
    }

    /// Lends connections, first up to each host's share, then as loans up to its wish.
    fn serve_connections(&mut self) {
        let instances: Vec<Instance> = self.accounts.keys().cloned().collect();
        for instance in &instances {
            self.cut_connections(instance);
        }
        if self.rebuild.is_some() {
            return;
        }
        let share = self.connection_share();
        let missing = instances.iter().map(|i| self.grant_connections(i, share)).sum();
        if missing > 0 {
            self.recall_loans(missing);
        } else {
            for instance in &instances {
                self.grant_connections(instance, u32::MAX);
            }
        }
    }

    fn cut_connections(&mut self, instance: &Instance) {
        if let Some(account) = self.accounts.get(instance)
            && account.connections_wanted < account.connections.count()
        {
            self.set_connections(instance, account.connections_wanted);
        }
    }

    /// Lends an instance what it wants up to `most` from what is free; gives what is missing.
    fn grant_connections(&mut self, instance: &Instance, most: u32) -> u32 {
        let Some(account) = self.accounts.get(instance) else {
            return 0;
        };
        let count = account.connections.count();
        let wanted = account.connections_wanted.min(most).saturating_sub(count);
        let lent: u32 = self.accounts.values().map(|a| a.connections.bound()).sum();
        let granted = wanted.min(self.connections.saturating_sub(lent));
        if granted > 0 {
            self.set_connections(instance, count + granted);
        }
        wanted - granted
    }

    fn recall_loans(&mut self, missing: u32) {
        let returning: u32 = self.accounts.values().map(|a| a.connections.returning()).sum();
        let share = self.connection_share();
        for _ in returning..missing {
            let largest = self.accounts.iter().max_by_key(|(_, a)| a.connections.count());
            match largest {
                Some((instance, a)) if a.connections.count() > share => {
                    let (instance, count) = (instance.clone(), a.connections.count() - 1);
                    self.set_connections(&instance, count);
                }
                _ => return,
            }
        }
    }

    fn set_connections(&mut self, instance: &Instance, count: u32) {
        if let Some(account) = self.accounts.get_mut(instance) {
            self.version += 1;
            account.connections.allow(self.version, count);
            self.changed.insert(instance.clone());
        }
    }

    /// Expected wait of a request that joins the queue now.
    fn expect_wait(&self) -> Duration {
        let waiting: u32 = self.wants.values().map(|w| w.count).sum();
        let service = self.service.unwrap_or_default();
        Duration::from_secs_f64(service * f64::from(waiting) / f64::from(self.ramp.limit()))
    }

    fn collect(&mut self, now: Instant) -> Vec<Lend> {
        let changed = std::mem::take(&mut self.changed);
        let lends = changed.iter().filter_map(|i| self.write_lend(i, now));
        lends.collect()
    }

    fn write_lend(&self, to: &Instance, now: Instant) -> Option<Lend> {
        let account = self.accounts.get(to)?;
        let alone = || {
            let others = self.accounts.iter().filter(|(i, _)| *i != to);
            others.map(|(_, a)| a.slots.bound()).sum::<u32>() == 0
        };
        Some(Lend {
            upstream: self.upstream.clone(),
            term: self.term.clone(),
            to: to.clone(),
            echo: account.sequence,
            samples_seen: account.samples_seen,
            slots: account.slots.allowance(),
            connections: account.connections.allowance(),
            wait: self.expect_wait(),
            limit: self.ramp.limit(),
            cold: self.ramp.is_cold(),
            contended: self.wants.keys().any(|(_, i)| i != to),
            ejected: self.ejected_until.map_or(Duration::ZERO, |at| at.duration_since(now)),
            isolated: self.rebuild.is_none() && self.find_isolated() == Some(to) && alone(),
        })
    }
}

impl Sample {
    /// Tells whether the attempt counts against the upstream.
    pub(crate) fn is_failure(&self) -> bool {
        match self.outcome {
            Outcome::Failed | Outcome::Shed | Outcome::Reset => true,
            Outcome::Answered | Outcome::Cancelled => false,
        }
    }
}
