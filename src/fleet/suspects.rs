//! Detects and blocks poisonous requests, which crash every upstream that runs them.
//!
//! A request that ran when an upstream ended is a suspect. It is blocked after three crashes, of which each
//! request was sent after the crash before: requests that run at several upstreams when these end at the same
//! time, as when a zone loses power, are not the cause. A complete response of an upstream that goes on running
//! clears the suspicion, so a frequent request that merely ran during crashes is never blocked.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::types::{HostName, UpstreamName};

/// Number of crashes after which a request is blocked.
const BLOCKING_CRASHES: usize = 3;
/// Number of crashes after which a request isn't retried: each retry may crash a further upstream.
const NO_RETRY_CRASHES: usize = 2;
/// Time after its last crash or response at which a request stops being a suspect.
const SUSPECT_EXPIRY: Duration = Duration::from_mins(10);
/// Limit on the number of suspects, against callers that keep sending new requests.
const SUSPECTS_MAX: usize = 4_096;
/// Limit on the crashes of one request that are kept for each host that saw them.
const CRASHES_MAX: usize = 8;
/// Time for which a complete response is kept. Crashes are noticed and reported within it.
const SERVED_EXPIRY: Duration = Duration::from_secs(6);
/// Limit on the complete responses that are kept.
const SERVED_MAX: usize = 65_536;

/// Hash of a request's method, path and body; requests with equal hashes count as the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Fingerprint(u64);

impl Fingerprint {
    pub(crate) fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for piece in [method.as_bytes(), path.as_bytes(), body] {
            hash.update(piece);
            // Delimits the pieces, so that different requests don't hash the same bytes.
            hash.update(&[0]);
        }
        Self(hash.digest())
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
    /// When the upstream ended; at the earliest when it was last heard from.
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
    /// Latest complete response; only crashes of requests that were sent later count.
    served: Option<Instant>,
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

    /// Drops the crashes of requests that were sent before the latest complete response.
    fn apply_served(&mut self) {
        if let Some(served) = self.served {
            for crashes in self.crashes.values_mut() {
                crashes.retain(|crash| crash.sent > served);
            }
        }
    }
}

/// Requests that are suspected of crashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Recent complete responses.
    served: BTreeMap<Fingerprint, Instant>,
}

impl Suspects {
    /// Records a crash that this host has seen. Returns the number of crashes that count.
    pub(crate) fn record_crash(&mut self, now: Instant, own: &HostName, request: Fingerprint, crash: Crash) -> usize {
        let Some(suspect) = self.suspect_mut(now, request) else {
            return 0;
        };
        let crashes = suspect.crashes.entry(own.clone()).or_default();
        if crashes.len() >= CRASHES_MAX {
            crashes.remove(0);
        }
        crashes.push(crash);
        suspect.apply_served();
        suspect.count_crashes()
    }

    /// Replaces what another host has reported of a request before. Returns the number of crashes that count.
    pub(crate) fn apply_report(
        &mut self,
        now: Instant,
        host: &HostName,
        request: Fingerprint,
        report: CrashReport,
    ) -> usize {
        let Some(suspect) = self.suspect_mut(now, request) else {
            return 0;
        };
        suspect.crashes.insert(host.clone(), report.crashes);
        suspect.served = suspect.served.max(report.served);
        suspect.apply_served();
        suspect.count_crashes()
    }

    /// Returns the suspect of a request, which is added unless there are too many.
    fn suspect_mut(&mut self, now: Instant, request: Fingerprint) -> Option<&mut Suspect> {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&request) {
            return None;
        }
        let suspect = self.suspects.entry(request).or_insert_with(|| Suspect {
            crashes: BTreeMap::new(),
            served: self.served.get(&request).copied(),
            changed: now,
        });
        suspect.changed = now;
        Some(suspect)
    }

    /// Records that an upstream has completed a request at a time and went on running. Reports whether this
    /// cleared a suspicion.
    pub(crate) fn record_served(&mut self, request: Fingerprint, at: Instant) -> bool {
        if self.served.len() < SERVED_MAX {
            self.served.insert(request, at);
        }
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return false;
        };
        let before = suspect.count_crashes();
        suspect.served = suspect.served.max(Some(at));
        suspect.apply_served();
        suspect.count_crashes() < before
    }

    /// Returns what this host has seen of all suspects, for the other hosts.
    pub(crate) fn own_reports(&self, own: &HostName) -> Vec<(Fingerprint, CrashReport)> {
        let reports = self.suspects.iter().filter_map(|(&request, suspect)| {
            let crashes = suspect.crashes.get(own)?;
            let report = CrashReport {
                crashes: crashes.clone(),
                served: suspect.served,
            };
            Some((request, report))
        });
        reports.collect()
    }

    fn count_crashes(&self, request: Fingerprint) -> usize {
        self.suspects.get(&request).map_or(0, Suspect::count_crashes)
    }

    pub(crate) fn is_blocked(&self, request: Fingerprint) -> bool {
        self.count_crashes(request) >= BLOCKING_CRASHES
    }

    pub(crate) fn may_retry(&self, request: Fingerprint) -> bool {
        self.count_crashes(request) < NO_RETRY_CRASHES
    }

    /// Removes what is too old to matter.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.suspects
            .retain(|_, suspect| now < suspect.changed + SUSPECT_EXPIRY);
        self.served.retain(|_, at| now < *at + SERVED_EXPIRY);
    }
}
