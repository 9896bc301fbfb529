//! Detects and blocks poisonous requests, which crash every upstream that runs them.
//!
//! A request that ran when an upstream ended is a suspect. It is blocked after three crashes, of which each
//! request was sent after the crash before: requests that run at several upstreams when these end at the same
//! time, as when a zone loses power, are not the cause. A complete response of an upstream that goes on running
//! clears the suspicion, also for a short time to come, so a frequent request that merely ran during crashes
//! isn't blocked. If all upstreams of a pool end within a longer time, a frequent request may still be blocked;
//! so one host sends a blocked request again, twice at most, to see whether it is served.
//!
//! Hosts report crashes only to the homes of a request, a few hosts that a hash selects. Homes share a suspect with all
//! hosts once two crashes count: the loss of a zone makes suspects of all that ran there, but of one crash each.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::HostRing;
use crate::types::{HostName, UpstreamName};

/// Number of crashes after which a request is blocked.
const BLOCKING_CRASHES: usize = 3;
/// Number of crashes after which a request isn't retried: each retry may crash a further upstream.
const NO_RETRY_CRASHES: usize = 2;
/// Number of crashes from which on all hosts know a suspect.
const SHARED_CRASHES: usize = NO_RETRY_CRASHES;
/// Time after its last crash or response at which a request stops being a suspect.
const SUSPECT_EXPIRY: Duration = Duration::from_mins(10);
/// Limit on the number of suspects, against callers that keep sending new requests.
const SUSPECTS_MAX: usize = 4_096;
/// Limit on the crashes of one request that are kept for each host that saw them.
const CRASHES_MAX: usize = 8;
/// Time after a complete response in which crashes don't count.
const SERVED_GRACE: Duration = Duration::from_secs(3);
/// Number of times that a report is sent: datagrams are lost at times.
const REPORT_SENDS: u8 = 2;
/// Time for which a complete response is kept. Hosts other than the homes learn only of the second crash that they may
/// have served the request since the first one.
const SERVED_EXPIRY: Duration = Duration::from_mins(1);
/// Times after the last crash at which one host sends a blocked request again.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(5), Duration::from_secs(30)];
/// Ends the name under which the crashes are kept that a former process of a host has seen.
const FORMER_SUFFIX: &str = ".former";
/// Limit on the complete responses that are kept.
const SERVED_MAX: usize = 65_536;

/// Hash of a request's method, path and body; requests with equal hashes count as the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Fingerprint(u64);

impl Fingerprint {
    /// Hashes a request; the segments of the body count as one piece.
    pub(crate) fn of<'a>(method: &str, path: &str, body: impl IntoIterator<Item = &'a [u8]>) -> Self {
        // Delimits the pieces, so that different requests don't hash the same bytes.
        const DELIMITER: &[u8] = &[0];
        let mut hash = Xxh3::new();
        for piece in [method.as_bytes(), DELIMITER, path.as_bytes(), DELIMITER] {
            hash.update(piece);
        }
        for segment in body {
            hash.update(segment);
        }
        hash.update(DELIMITER);
        Self(hash.digest())
    }
}

impl Fingerprint {
    pub(crate) fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The end of an upstream while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    pub(crate) upstream: UpstreamName,
    /// When the upstream was last heard from before it ended.
    pub(crate) heard: Option<Instant>,
    /// When the request was sent to the upstream.
    pub(crate) sent: Instant,
    /// When the upstream ended; if it fell silent, the earliest possible time.
    pub(crate) ended: Instant,
    /// When the end was noticed.
    pub(crate) noticed: Instant,
}

/// What a host has seen of a suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CrashReport {
    pub(crate) crashes: Vec<Crash>,
    /// When an upstream that went on running last completed the request.
    pub(crate) served: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Crashes by the host that saw them.
    crashes: BTreeMap<HostName, Vec<Crash>>,
    /// Latest complete response.
    served: Option<Instant>,
    /// How often this host has sent the request although it is blocked.
    trials: usize,
    /// An upstream rejected a trial without running it, which doesn't count.
    has_rejected_trial: bool,
    /// Two crashes have counted, so all hosts have to know what changes.
    is_shared: bool,
    changed: Instant,
}

impl Suspect {
    /// Returns the largest number of crashes of which each request was sent after the crash before.
    fn count_crashes(&self) -> usize {
        let mut crashes: Vec<&Crash> = self.crashes.values().flatten().collect();
        crashes.sort_by_key(|crash| crash.ended);
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in crashes {
            let is_later = counted.last().is_none_or(|last| crash.sent >= last.ended);
            // Several hosts may have sent the request to an upstream before its end was noticed. An upstream that
            // is heard from after that is a new process.
            let before = counted.iter().rev().find(|c| c.upstream == crash.upstream);
            let is_new_end = before.is_none_or(|before| crash.heard.is_some_and(|heard| heard > before.noticed));
            if is_later && is_new_end {
                counted.push(crash);
            }
        }
        counted.len()
    }

    /// Returns what a host has seen of the request, with the latest response that is known.
    fn report_of(&self, host: &HostName) -> CrashReport {
        CrashReport {
            crashes: self.crashes.get(host).cloned().unwrap_or_default(),
            served: self.served,
        }
    }

    fn has_single_crash(&self) -> bool {
        self.crashes.values().map(Vec::len).sum::<usize>() <= 1
    }

    /// Drops the crashes that the latest complete response outdates.
    fn apply_served(&mut self) {
        if let Some(served) = self.served {
            for crashes in self.crashes.values_mut() {
                crashes.retain(|crash| crash.sent > served + SERVED_GRACE);
            }
        }
    }

    /// Returns how often the request has been sent although it is blocked. A process that has restarted knows the trials
    /// before that only by the crashes that followed.
    fn trial_count(&self) -> usize {
        self.trials.max(self.count_crashes().saturating_sub(BLOCKING_CRASHES))
    }

    fn is_trial_due(&self, now: Instant) -> bool {
        let last_crash = self.crashes.values().flatten().map(|crash| crash.noticed).max();
        let delay = TRIAL_DELAYS.get(self.trial_count());
        last_crash
            .zip(delay)
            .is_some_and(|(last_crash, &delay)| now >= last_crash + delay)
    }
}

/// Requests that are suspected of crashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects {
    entries: BTreeMap<Fingerprint, Suspect>,
    /// Recent complete responses.
    served: BTreeMap<Fingerprint, Instant>,
    /// How often the report of a suspect has still to be sent.
    unsent: BTreeMap<Fingerprint, u8>,
    /// Suspects of at most one crash by the time of their last change, which are evicted first.
    singles: BTreeSet<(Instant, Fingerprint)>,
}

/// A request and what one host has seen of it.
pub(crate) type RequestReport = (Fingerprint, CrashReport);

/// Reports to be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct DueReports {
    /// Reports of this host, by the home that gets them.
    pub(crate) to_homes: BTreeMap<HostName, Vec<RequestReport>>,
    /// Reports for all hosts, by the host that has seen the crashes.
    pub(crate) to_all: BTreeMap<HostName, Vec<RequestReport>>,
}

/// Effect of another host's report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReportEffect {
    /// Number of crashes that count.
    pub(crate) crashes: usize,
    /// The report changes what this host knows of a suspect that all hosts have to know.
    pub(crate) is_shared_news: bool,
}

impl Suspects {
    /// Records a crash that this host has seen. Returns the number of crashes that count.
    pub(crate) fn record_crash(&mut self, now: Instant, own: &HostName, request: Fingerprint, crash: Crash) -> usize {
        let count = self.update(now, request, |suspect| {
            let crashes = suspect.crashes.entry(own.clone()).or_default();
            if crashes.len() >= CRASHES_MAX {
                crashes.remove(0);
            }
            crashes.push(crash);
            suspect.apply_served();
            suspect.count_crashes()
        });
        if count.is_some() {
            self.unsent.insert(request, REPORT_SENDS);
        }
        count.unwrap_or_default()
    }

    /// Replaces what another host has reported of a request before.
    pub(crate) fn apply_report(
        &mut self,
        now: Instant,
        host: &HostName,
        request: Fingerprint,
        report: CrashReport,
    ) -> ReportEffect {
        let applied = self.update(now, request, |suspect| {
            let known = suspect.crashes.get(host).map_or(0, Vec::len);
            let before = suspect.count_crashes();
            let has_served_later = suspect.served > report.served;
            suspect.crashes.insert(host.clone(), report.crashes);
            suspect.served = suspect.served.max(report.served);
            let reported = suspect.count_crashes();
            suspect.apply_served();
            let after = suspect.count_crashes();
            suspect.is_shared |= after >= SHARED_CRASHES;
            let is_news = before != after || known != suspect.crashes.get(host).map_or(0, Vec::len);
            let effect = ReportEffect {
                crashes: after,
                is_shared_news: is_news && suspect.is_shared,
            };
            (effect, has_served_later && after < reported)
        });
        let (effect, is_outdated) = applied.unwrap_or_default();
        if is_outdated {
            // The homes don't know yet that this host has a later response.
            self.unsent.insert(request, REPORT_SENDS);
        }
        effect
    }

    /// Keeps what the former process of a host has seen apart from what its new process reports. The new process doesn't
    /// know the former crashes, so its reports would replace them, and it applies no reports in its own name.
    pub(crate) fn retire_process(&mut self, host: &HostName) {
        let Ok(former) = format!("{host}{FORMER_SUFFIX}").parse::<HostName>() else {
            return;
        };
        for suspect in self.entries.values_mut() {
            if let Some(crashes) = suspect.crashes.remove(host) {
                let kept = suspect.crashes.entry(former.clone()).or_default();
                kept.extend(crashes);
                let surplus = kept.len().saturating_sub(CRASHES_MAX);
                kept.drain(..surplus);
            }
        }
    }

    /// Makes the report of a request due.
    pub(crate) fn request_report(&mut self, request: Fingerprint) {
        self.unsent.insert(request, REPORT_SENDS);
    }

    /// Changes the suspect of a request, which is added unless there are too many with more than one crash.
    fn update<T>(&mut self, now: Instant, request: Fingerprint, change: impl FnOnce(&mut Suspect) -> T) -> Option<T> {
        if self.entries.len() >= SUSPECTS_MAX && !self.entries.contains_key(&request) {
            let (_, oldest) = self.singles.pop_first()?;
            self.entries.remove(&oldest);
        }
        let suspect = self.entries.entry(request).or_insert_with(|| Suspect {
            crashes: BTreeMap::new(),
            served: self.served.get(&request).copied(),
            trials: 0,
            has_rejected_trial: false,
            is_shared: false,
            changed: now,
        });
        self.singles.remove(&(suspect.changed, request));
        suspect.changed = now;
        let result = change(suspect);
        suspect.is_shared |= suspect.count_crashes() >= SHARED_CRASHES;
        if suspect.has_single_crash() {
            self.singles.insert((now, request));
        }
        Some(result)
    }

    /// Records that an upstream has completed a request at a time and went on running. Reports whether this
    /// cleared a suspicion.
    pub(crate) fn record_served(&mut self, request: Fingerprint, at: Instant) -> bool {
        if self.served.len() < SERVED_MAX {
            self.served.insert(request, at);
        }
        let Some(suspect) = self.entries.get_mut(&request) else {
            return false;
        };
        let before = suspect.count_crashes();
        suspect.served = suspect.served.max(Some(at));
        suspect.apply_served();
        let is_cleared = suspect.count_crashes() < before;
        if suspect.has_single_crash() {
            self.singles.insert((suspect.changed, request));
        }
        if is_cleared {
            self.unsent.insert(request, REPORT_SENDS);
        }
        is_cleared
    }

    pub(crate) fn has_unsent_reports(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Makes the reports due once more of the suspects of which this host is a home and that all hosts have to know,
    /// because a new host knows none of them.
    pub(crate) fn resend_reports(&mut self, own: &HostName, ring: &HostRing<'_>) {
        let shared = self.entries.iter().filter(|(_, suspect)| suspect.is_shared);
        let own_shared = shared.filter(|(request, _)| ring.homes(**request).any(|home| home == own));
        self.unsent
            .extend(own_shared.map(|(&request, _)| (request, REPORT_SENDS)));
    }

    /// Returns the reports that are due: what this host has seen goes to the homes of the request, and what this host
    /// knows as a home goes to all hosts if they have to know the suspect.
    pub(crate) fn take_reports(&mut self, own: &HostName, ring: &HostRing<'_>) -> DueReports {
        let mut due = DueReports::default();
        for (&request, sends) in &mut self.unsent {
            *sends -= 1;
            let Some(suspect) = self.entries.get(&request) else {
                continue;
            };
            for home in ring.homes(request) {
                if home != own && (suspect.served.is_some() || suspect.crashes.contains_key(own)) {
                    let report = suspect.report_of(own);
                    due.to_homes.entry(home.clone()).or_default().push((request, report));
                } else if home == own && suspect.is_shared {
                    for host in suspect.crashes.keys() {
                        let report = suspect.report_of(host);
                        due.to_all.entry(host.clone()).or_default().push((request, report));
                    }
                }
            }
        }
        self.unsent.retain(|_, sends| *sends > 0);
        due
    }

    fn count_crashes(&self, request: Fingerprint) -> usize {
        self.entries.get(&request).map_or(0, Suspect::count_crashes)
    }

    pub(crate) fn is_blocked(&self, request: Fingerprint) -> bool {
        self.count_crashes(request) >= BLOCKING_CRASHES
    }

    /// Reports whether a blocked request may be sent again now by this host, one of `hosts`. All hosts that know
    /// the same list of hosts let the same one try.
    pub(crate) fn is_trial_due<'a>(
        &self,
        now: Instant,
        own: &HostName,
        hosts: impl Iterator<Item = &'a HostName>,
        request: Fingerprint,
    ) -> bool {
        let score = |host: &HostName| xxh3_64(format!("{host} {request}").as_bytes());
        let is_due = self
            .entries
            .get(&request)
            .is_some_and(|suspect| suspect.is_trial_due(now));
        is_due && hosts.map(score).min().is_none_or(|least| score(own) <= least)
    }

    pub(crate) fn record_trial(&mut self, request: Fingerprint) {
        if let Some(suspect) = self.entries.get_mut(&request) {
            suspect.trials += 1;
        }
    }

    /// Records that the latest trial was not run. One that reached an upstream is repeated only once: the platform allows three
    /// arrivals of a request that crashes upstreams.
    pub(crate) fn cancel_trial(&mut self, request: Fingerprint, was_sent: bool) {
        let Some(suspect) = self.entries.get_mut(&request) else {
            return;
        };
        if !was_sent || !std::mem::replace(&mut suspect.has_rejected_trial, true) {
            suspect.trials = suspect.trials.saturating_sub(1);
        }
    }

    pub(crate) fn may_retry(&self, request: Fingerprint) -> bool {
        self.count_crashes(request) < NO_RETRY_CRASHES
    }

    /// Removes what is too old to matter.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.entries.retain(|_, suspect| now < suspect.changed + SUSPECT_EXPIRY);
        self.singles.retain(|(changed, _)| now < *changed + SUSPECT_EXPIRY);
        self.served.retain(|_, at| now < *at + SERVED_EXPIRY);
    }
}
