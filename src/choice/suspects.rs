//! Requests that may have crashed an upstream.
//!
//! A connection that breaks puts the fingerprints of its requests under suspicion of the
//! upstream's crash. A suspicion ends when the upstream proves to be alive, when the request
//! completes, or with time. A suspect runs alone on an upstream, and only while no other host runs
//! it: one host per fingerprint, chosen by rendezvous hash, is its arbiter and grants one run at a
//! time, once every host has confirmed that it knows the suspicion and runs the request no more.
//! A second crash blocks the fingerprint.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::rendezvous;
use crate::types::{HostName, Incarnation, UpstreamName, value};

/// Time for which a crash is held against a request.
const BLOCK: Duration = Duration::from_mins(10);
/// Time for which a broken connection is held against a request without proof of a crash.
const DOUBT: Duration = Duration::from_secs(5);
/// Time for which a record is kept after its crashes no longer count, longer than any message is
/// late, so that a late copy doesn't revive it.
const MEMORY: Duration = Duration::from_mins(20);
/// Longest time that a granted run may take without news of its end.
const RUN_MAX: Duration = Duration::from_secs(30);
/// Time from asking for a run to its start; with the attempt it stays below [`RUN_MAX`].
const START_MAX: Duration = Duration::from_secs(10);
/// Time for which a host repeats what it has learned about a suspect.
///
/// Crashes are rare and a lost message would let the request through, so each host passes on news
/// about ten times.
const REPEAT: Duration = Duration::from_millis(500);
/// Time between repetitions of a message without an answer.
const RESEND: Duration = Duration::from_millis(50);

value! {
    /// XXH3-64 of what makes a request the same as another.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub(crate) struct Fingerprint(pub(crate) u64);

    /// Loss of one run of an upstream.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) struct Crash {
        pub(crate) upstream: UpstreamName,
        pub(crate) incarnation: Incarnation,
    }

    /// What is known of a crash with a request in flight.
    #[derive(Copy, Eq)]
    pub(crate) struct CrashInfo {
        /// Time since the crash, when the message was written.
        pub(crate) age: Duration,
        /// The request was alone on the upstream.
        pub(crate) alone: bool,
        /// The upstream refused connections afterwards or came back with another incarnation.
        pub(crate) confirmed: bool,
        /// The upstream survived, or the request has completed since.
        pub(crate) cleared: bool,
    }

    /// Crashes with one request in flight; merging is a union, in any order and repeatable.
    #[derive(Eq)]
    pub(crate) struct Suspect {
        pub(crate) fingerprint: Fingerprint,
        pub(crate) crashes: BTreeMap<Crash, CrashInfo>,
    }

    /// One request to run a suspect alone.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) struct Run {
        pub(crate) host: HostName,
        /// Rises with each run that the host asks for.
        pub(crate) number: u64,
    }

    /// Messages between hosts about suspects; each may be lost, late or repeated.
    #[derive(Eq)]
    pub(crate) enum SuspectMessage {
        /// Tells what the sender knows of a suspect.
        Share(Suspect),
        /// Confirms what the sender knows, and whether it runs the request.
        Confirm { suspect: Suspect, from: HostName, running: bool },
        /// Asks the arbiter for a run.
        Ask { suspect: Suspect, run: Run },
        /// Grants a run.
        Grant { fingerprint: Fingerprint, run: Run },
        /// Ends a run.
        End { suspect: Suspect, run: Run },
        /// Confirms the end of a run.
        Ended { run: Run },
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Receivers of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    All,
    Host(HostName),
}

/// What a request with a fingerprint may do at this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Runs like any other.
    Clear,
    /// Runs now, alone on an upstream.
    Alone,
    /// Waits, at most until its deadline.
    Wait,
    /// Is refused with `Reason::SuspectBlocked`.
    Blocked,
}

/// How a run of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// With a complete answer.
    Completed,
    /// With a reset or an early end of the connection.
    Broken,
    /// In another way, which says nothing about a crash.
    Other,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    at: Instant,
    alone: bool,
    confirmed: bool,
    cleared: bool,
}

impl Held {
    fn counts(&self, now: Instant) -> bool {
        let hold = if self.confirmed { BLOCK } else { DOUBT };
        !self.cleared && now.duration_since(self.at) < hold
    }
}

type Messages = Vec<(Target, SuspectMessage)>;

#[derive(Debug, Default)]
struct Record {
    crashes: BTreeMap<Crash, Held>,
    /// As arbiter: crashes that each host knows, if it runs the request no more.
    confirmations: BTreeMap<HostName, BTreeSet<Crash>>,
    /// As arbiter: the granted run and when it was granted.
    granted: Option<(Run, Instant)>,
    /// As arbiter: last ended run of each host.
    ended: BTreeMap<HostName, u64>,
    /// Run that this host asks for.
    asked: Option<Asked>,
    /// When this host last learned something about the suspect.
    learned: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Asked {
    run: Run,
    granted: bool,
    at: Instant,
}

impl Record {
    fn list_counting(&self, now: Instant) -> BTreeSet<&Crash> {
        let counting = self.crashes.iter().filter(|(_, h)| h.counts(now));
        counting.map(|(crash, _)| crash).collect()
    }

    fn is_blocked(&self, now: Instant) -> bool {
        let counting = || self.crashes.values().filter(|h| h.counts(now));
        counting().any(|h| h.alone && h.confirmed) || counting().count() >= 2
    }

    /// Tells whether a crash is neither proved nor disproved yet.
    fn is_open(&self, now: Instant) -> bool {
        self.crashes.values().any(|h| h.counts(now) && !h.confirmed)
    }

    fn may_start(&self, now: Instant) -> bool {
        let asked = self.asked.as_ref();
        asked.is_some_and(|a| a.granted && now.duration_since(a.at) < START_MAX)
    }

    fn merge(&mut self, suspect: &Suspect, now: Instant) {
        for (crash, info) in &suspect.crashes {
            let at = now.checked_sub(info.age).unwrap_or(now);
            let known = self.crashes.contains_key(crash);
            let held = self.crashes.entry(crash.clone()).or_insert(Held {
                at,
                alone: false,
                confirmed: false,
                cleared: false,
            });
            let before = *held;
            held.at = held.at.min(at);
            held.alone |= info.alone;
            held.confirmed |= info.confirmed;
            held.cleared |= info.cleared;
            let flags = |h: &Held| (h.alone, h.confirmed, h.cleared);
            // A copy that came faster only moves the time, which is no news.
            if !known || flags(held) != flags(&before) {
                self.learned = Some(now);
            }
        }
    }

    fn write(&self, fingerprint: Fingerprint, now: Instant) -> Suspect {
        let write_info = |(crash, held): (&Crash, &Held)| {
            let info = CrashInfo {
                age: now.duration_since(held.at),
                alone: held.alone,
                confirmed: held.confirmed,
                cleared: held.cleared,
            };
            (crash.clone(), info)
        };
        let crashes = self.crashes.iter().map(write_info).collect();
        Suspect { fingerprint, crashes }
    }

    fn clear_all(&mut self, now: Instant) {
        self.learned = Some(now);
        for held in self.crashes.values_mut() {
            held.cleared = true;
        }
    }
}

/// Suspects known to one host.
#[derive(Debug)]
pub(crate) struct Suspects {
    host: HostName,
    members: BTreeSet<HostName>,
    records: BTreeMap<Fingerprint, Record>,
    /// Requests in flight.
    running: BTreeMap<Fingerprint, u32>,
    /// Ends of runs that the arbiter has not confirmed.
    ending: BTreeMap<Run, Fingerprint>,
    next_run: u64,
    repeated: Instant,
}

impl Suspects {
    /// Starts without suspects. `first_run` has to be above all runs of earlier incarnations of
    /// the host, for example its incarnation shifted left by 32 bits.
    pub(crate) fn new(host: HostName, first_run: u64, now: Instant) -> Self {
        Self {
            host,
            members: BTreeSet::new(),
            records: BTreeMap::new(),
            running: BTreeMap::new(),
            ending: BTreeMap::new(),
            next_run: first_run,
            repeated: now,
        }
    }

    /// Sets the members that may run requests, this host among them.
    pub(crate) fn set_members(&mut self, members: impl IntoIterator<Item = HostName>) {
        self.members = members.into_iter().collect();
    }

    /// Tells what a request may do now; to be asked again after each message while it waits.
    pub(crate) fn judge(&mut self, fingerprint: Fingerprint, now: Instant) -> (Standing, Messages) {
        let standing = self.find_standing(fingerprint, now);
        if standing != Standing::Wait {
            return (standing, Vec::new());
        }
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return (standing, Vec::new());
        };
        let expired = |a: &Asked| now.duration_since(a.at) >= START_MAX;
        if let Some(old) = record.asked.take_if(|a| expired(a)) {
            self.ending.insert(old.run, fingerprint);
        }
        if record.asked.is_some() || record.is_open(now) || self.running.contains_key(&fingerprint) {
            return (standing, Vec::new());
        }
        self.next_run += 1;
        let run = Run {
            host: self.host.clone(),
            number: self.next_run,
        };
        record.asked = Some(Asked {
            run,
            granted: false,
            at: now,
        });
        let messages = self.ask(fingerprint, now);
        (self.find_standing(fingerprint, now), messages)
    }

    fn find_standing(&self, fingerprint: Fingerprint, now: Instant) -> Standing {
        let Some(record) = self.records.get(&fingerprint) else {
            return Standing::Clear;
        };
        if record.is_blocked(now) {
            Standing::Blocked
        } else if record.list_counting(now).is_empty() {
            Standing::Clear
        } else if record.may_start(now) && !self.running.contains_key(&fingerprint) {
            Standing::Alone
        } else {
            Standing::Wait
        }
    }

    /// Counts a request as in flight. Its standing has to be `Clear` or `Alone` at this moment.
    pub(crate) fn start(&mut self, fingerprint: Fingerprint) {
        *self.running.entry(fingerprint).or_default() += 1;
    }

    /// Takes the end of a run on an upstream with the incarnation known before.
    pub(crate) fn finish(
        &mut self,
        fingerprint: Fingerprint,
        on: Crash,
        end: RunEnd,
        alone: bool,
        now: Instant,
    ) -> Messages {
        if let Some(count) = self.running.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&fingerprint);
            }
        }
        match end {
            RunEnd::Completed => {
                if let Some(record) = self.records.get_mut(&fingerprint) {
                    record.clear_all(now);
                }
            }
            RunEnd::Broken => self.suspect(fingerprint, on, alone, now),
            RunEnd::Other => {}
        }
        let mut messages = Vec::new();
        if let Some(record) = self.records.get_mut(&fingerprint) {
            if end != RunEnd::Other {
                messages.push((Target::All, SuspectMessage::Share(record.write(fingerprint, now))));
            }
            if alone && let Some(asked) = record.asked.take() {
                self.ending.insert(asked.run, fingerprint);
            }
            messages.extend(self.send_ends(now));
            messages.extend(self.confirm(fingerprint, now));
        }
        messages
    }

    fn suspect(&mut self, fingerprint: Fingerprint, crash: Crash, alone: bool, now: Instant) {
        let record = self.records.entry(fingerprint).or_default();
        let held = record.crashes.entry(crash).or_insert(Held {
            at: now,
            alone: false,
            confirmed: false,
            cleared: false,
        });
        held.alone |= alone;
        record.learned = Some(now);
    }

    /// Takes proof of a crash: connections refused, or another incarnation.
    pub(crate) fn confirm_crash(&mut self, crash: &Crash, now: Instant) -> Messages {
        self.change(crash, now, |held| held.confirmed = true)
    }

    /// Takes proof that the run of the upstream goes on, from an answer on a new connection.
    pub(crate) fn disprove_crash(&mut self, crash: &Crash, now: Instant) -> Messages {
        self.change(crash, now, |held| held.cleared |= !held.confirmed)
    }

    fn change(&mut self, crash: &Crash, now: Instant, change: impl Fn(&mut Held)) -> Messages {
        let mut messages = Vec::new();
        for (fingerprint, record) in &mut self.records {
            if let Some(held) = record.crashes.get_mut(crash) {
                change(held);
                record.learned = Some(now);
                let share = SuspectMessage::Share(record.write(*fingerprint, now));
                messages.push((Target::All, share));
            }
        }
        messages
    }

    /// Takes a message of another host.
    pub(crate) fn hear(&mut self, message: &SuspectMessage, now: Instant) -> Messages {
        match message {
            SuspectMessage::Share(suspect) => {
                self.merge(suspect, now);
                self.confirm(suspect.fingerprint, now)
            }
            SuspectMessage::Confirm { suspect, from, running } => {
                self.merge(suspect, now);
                self.take_confirmation(suspect, from, *running)
            }
            SuspectMessage::Ask { suspect, run } => {
                self.merge(suspect, now);
                self.arbitrate(suspect.fingerprint, run, now)
            }
            SuspectMessage::Grant { fingerprint, run } => {
                if let Some(Some(asked)) = self.records.get_mut(fingerprint).map(|r| &mut r.asked) {
                    asked.granted |= asked.run == *run;
                }
                Vec::new()
            }
            SuspectMessage::End { suspect, run } => {
                self.merge(suspect, now);
                self.take_end(suspect.fingerprint, run)
            }
            SuspectMessage::Ended { run } => {
                self.ending.remove(run);
                Vec::new()
            }
        }
    }

    fn merge(&mut self, suspect: &Suspect, now: Instant) {
        let record = self.records.entry(suspect.fingerprint).or_default();
        record.merge(suspect, now);
    }

    fn find_arbiter(&self, fingerprint: Fingerprint) -> Option<HostName> {
        rendezvous(&fingerprint.0.to_le_bytes(), &self.members).cloned()
    }

    /// Confirms to the arbiter what this host knows.
    fn confirm(&mut self, fingerprint: Fingerprint, now: Instant) -> Messages {
        let (Some(arbiter), Some(record)) = (self.find_arbiter(fingerprint), self.records.get(&fingerprint)) else {
            return Vec::new();
        };
        let confirm = SuspectMessage::Confirm {
            suspect: record.write(fingerprint, now),
            from: self.host.clone(),
            running: self.running.contains_key(&fingerprint),
        };
        self.send(arbiter, confirm, now)
    }

    /// Delivers a message to its receiver, at once if that is this host.
    fn send(&mut self, to: HostName, message: SuspectMessage, now: Instant) -> Messages {
        if to == self.host {
            self.hear(&message, now)
        } else {
            vec![(Target::Host(to), message)]
        }
    }

    fn take_confirmation(&mut self, suspect: &Suspect, from: &HostName, running: bool) -> Messages {
        if let Some(record) = self.records.get_mut(&suspect.fingerprint) {
            if running {
                record.confirmations.remove(from);
            } else {
                // A host that has no proof of a crash forgets it early.
                let proved = suspect.crashes.iter().filter(|(_, info)| info.confirmed);
                let known = proved.map(|(crash, _)| crash.clone());
                record.confirmations.entry(from.clone()).or_default().extend(known);
            }
        }
        Vec::new()
    }

    /// Asks the arbiter for the run that this host wants.
    fn ask(&mut self, fingerprint: Fingerprint, now: Instant) -> Messages {
        let (Some(arbiter), Some(record)) = (self.find_arbiter(fingerprint), self.records.get(&fingerprint)) else {
            return Vec::new();
        };
        let Some(run) = record.asked.as_ref().map(|a| a.run.clone()) else {
            return Vec::new();
        };
        let suspect = record.write(fingerprint, now);
        self.send(arbiter, SuspectMessage::Ask { suspect, run }, now)
    }

    /// Grants a run, or shares the suspect with the hosts that have to confirm it first.
    fn arbitrate(&mut self, fingerprint: Fingerprint, run: &Run, now: Instant) -> Messages {
        if self.find_arbiter(fingerprint).as_ref() != Some(&self.host) {
            return Vec::new();
        }
        let running = self.running.contains_key(&fingerprint);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let share = SuspectMessage::Share(record.write(fingerprint, now));
        let over = record.ended.get(&run.host).is_some_and(|&last| run.number <= last);
        let busy = record
            .granted
            .as_ref()
            .is_some_and(|(granted, at)| granted != run && now.duration_since(*at) < RUN_MAX);
        if over || busy || record.is_blocked(now) || record.is_open(now) {
            return vec![(Target::Host(run.host.clone()), share)];
        }
        let crashes = record.list_counting(now);
        let confirmed = |host: &&HostName| {
            let known = record.confirmations.get(*host);
            **host == self.host && !running || known.is_some_and(|k| crashes.iter().all(|c| k.contains(*c)))
        };
        let missing: Vec<HostName> = self.members.iter().filter(|h| !confirmed(h)).cloned().collect();
        if !missing.is_empty() {
            let others = missing.into_iter().filter(|h| *h != self.host);
            return others.map(|h| (Target::Host(h), share.clone())).collect();
        }
        record.granted = Some((run.clone(), now));
        let grant = SuspectMessage::Grant {
            fingerprint,
            run: run.clone(),
        };
        self.send(run.host.clone(), grant, now)
    }

    fn take_end(&mut self, fingerprint: Fingerprint, run: &Run) -> Messages {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            let last = record.ended.entry(run.host.clone()).or_default();
            *last = run.number.max(*last);
            if record.granted.as_ref().is_some_and(|(granted, _)| granted == run) {
                record.granted = None;
            }
        }
        let ended = SuspectMessage::Ended { run: run.clone() };
        if run.host == self.host {
            self.ending.remove(run);
            Vec::new()
        } else {
            vec![(Target::Host(run.host.clone()), ended)]
        }
    }

    fn send_ends(&mut self, now: Instant) -> Messages {
        let mut messages = Vec::new();
        for (run, fingerprint) in self.ending.clone() {
            let record = self.records.get(&fingerprint);
            match (self.find_arbiter(fingerprint), record) {
                (Some(arbiter), Some(record)) => {
                    let suspect = record.write(fingerprint, now);
                    messages.extend(self.send(arbiter, SuspectMessage::End { suspect, run }, now));
                }
                _ => {
                    self.ending.remove(&run);
                }
            }
        }
        messages
    }

    /// Repeats unanswered messages and forgets old records.
    pub(crate) fn tick(&mut self, now: Instant) -> Messages {
        if now.duration_since(self.repeated) < RESEND {
            return Vec::new();
        }
        self.repeated = now;
        self.records.retain(|_, record| {
            let mut held = record.crashes.values();
            held.any(|h| now.duration_since(h.at) < MEMORY)
        });
        let mut messages = self.send_ends(now);
        messages.extend(self.repeat_news(now));
        let asked = self
            .records
            .iter()
            .filter(|(_, r)| r.asked.as_ref().is_some_and(|a| !a.granted));
        let asked: Vec<Fingerprint> = asked.map(|(f, _)| *f).collect();
        for fingerprint in asked {
            messages.extend(self.ask(fingerprint, now));
        }
        messages
    }

    fn repeat_news(&self, now: Instant) -> Messages {
        let is_news = |r: &Record| r.learned.is_some_and(|at| now.duration_since(at) < REPEAT);
        let news = self.records.iter().filter(|(_, r)| is_news(r));
        news.map(|(f, r)| (Target::All, SuspectMessage::Share(r.write(*f, now))))
            .collect()
    }

    /// Gives up the run that waiting requests of a fingerprint have asked for.
    pub(crate) fn give_up(&mut self, fingerprint: Fingerprint, now: Instant) -> Messages {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && let Some(asked) = record.asked.take()
        {
            self.ending.insert(asked.run, fingerprint);
        }
        self.send_ends(now)
    }
}
