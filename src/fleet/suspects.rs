//! Requests that crash each upstream that runs them.
//!
//! A request that was in flight when an upstream's connection broke is suspected once that upstream
//! can't be reached. After three crashes at different times without an answer in between it is
//! blocked. An answer clears it, so a frequent request that was only near a crash never gets there.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::types::UpstreamName;

/// Time after a broken connection within which an unreachable upstream shows a crash.
const CRASH_WINDOW: Duration = Duration::from_secs(3);
/// Crashes in this span count as one, as when a zone loses power.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Crashes after which a request is blocked.
const CRASHES_MAX: u32 = 3;
/// Time for which a request stays suspected after its last crash.
const MEMORY: Duration = Duration::from_mins(10);
/// Requests that are remembered at most, against callers that send ever new ones.
const SUSPECTS_MAX: usize = 4_096;

/// Hash of what makes a request the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Fingerprint(u64);

impl Fingerprint {
    pub(crate) fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for piece in [method.as_bytes(), path.as_bytes(), body] {
            hash.update(piece);
            // Keeps the pieces apart.
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

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    last: Instant,
}

/// Requests in flight at broken connections, and those suspected of crashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects {
    broken: BTreeMap<UpstreamName, Vec<(Fingerprint, Instant)>>,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Notes that a connection broke with a request in flight.
    pub(crate) fn record_broken_connection(&mut self, now: Instant, upstream: &UpstreamName, request: Fingerprint) {
        let broken = self.broken.entry(upstream.clone()).or_default();
        broken.retain(|(_, at)| now < *at + CRASH_WINDOW);
        broken.push((request, now));
    }

    /// Notes that an upstream can't be reached; gives the requests that may have crashed it.
    pub(crate) fn record_unreachable(&mut self, now: Instant, upstream: &UpstreamName) -> Vec<Fingerprint> {
        let broken = self.broken.remove(upstream).unwrap_or_default();
        let recent = broken.into_iter().filter(|(_, at)| now < *at + CRASH_WINDOW);
        let requests: Vec<Fingerprint> = recent.map(|(request, _)| request).collect();
        for &request in &requests {
            self.record_crash(now, request);
        }
        requests
    }

    /// Notes a crash that this host or another one has seen.
    pub(crate) fn record_crash(&mut self, now: Instant, request: Fingerprint) {
        self.suspects.retain(|_, suspect| now < suspect.last + MEMORY);
        if self.suspects.len() >= SUSPECTS_MAX {
            return;
        }
        let suspect = self
            .suspects
            .entry(request)
            .or_insert(Suspect { crashes: 0, last: now });
        if suspect.crashes == 0 || now >= suspect.last + SAME_CRASH {
            suspect.crashes += 1;
        }
        suspect.last = now;
    }

    /// Notes that an upstream answered a request.
    pub(crate) fn record_response(&mut self, request: Fingerprint) {
        if !self.suspects.is_empty() {
            self.suspects.remove(&request);
        }
    }

    pub(crate) fn is_blocked(&self, now: Instant, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|s| s.crashes >= CRASHES_MAX && now < s.last + MEMORY)
    }
}
