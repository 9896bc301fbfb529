//! Detects and blocks poisonous requests, which crash every upstream that runs them.
//!
//! A request that was in flight when the connection to an upstream broke becomes a suspect once that
//! upstream can't be reached. It is blocked after three crashes at different times without a response
//! in between. A response clears the suspicion, so a frequent request that was merely in flight during
//! crashes is never blocked.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::types::UpstreamName;

/// Time after a broken connection within which a failure to reach the upstream counts as a crash.
const CRASH_WINDOW: Duration = Duration::from_secs(3);
/// Crashes within this time count as one, as when a zone loses power.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Number of crashes after which a request is blocked.
const CRASHES_MAX: u32 = 3;
/// Time after its last crash at which a request stops being a suspect.
const SUSPECT_EXPIRY: Duration = Duration::from_mins(10);
/// Limit on the number of suspects, against callers that keep sending new requests.
const SUSPECTS_MAX: usize = 4_096;

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

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    last_crash: Instant,
}

/// Requests that were in flight on broken connections, and those suspected of causing crashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects {
    /// Requests per upstream, with the time at which the connection broke.
    broken: BTreeMap<UpstreamName, Vec<(Fingerprint, Instant)>>,
    suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Records that the connection to an upstream broke while a request was in flight on it.
    pub(crate) fn record_broken_connection(&mut self, now: Instant, upstream: &UpstreamName, request: Fingerprint) {
        let broken = self.broken.entry(upstream.clone()).or_default();
        broken.retain(|(_, at)| now < *at + CRASH_WINDOW);
        broken.push((request, now));
    }

    /// Records that an upstream can't be reached. Returns the requests that may have crashed it, each with the
    /// number of its crashes.
    pub(crate) fn record_unreachable(&mut self, now: Instant, upstream: &UpstreamName) -> Vec<(Fingerprint, u32)> {
        let broken = self.broken.remove(upstream).unwrap_or_default();
        let recent = broken.into_iter().filter(|(_, at)| now < *at + CRASH_WINDOW);
        let requests: Vec<Fingerprint> = recent.map(|(request, _)| request).collect();
        requests
            .into_iter()
            .map(|request| (request, self.record_crash(now, request)))
            .collect()
    }

    /// Records a crash that this host or another one has observed. Returns the number of crashes that count.
    pub(crate) fn record_crash(&mut self, now: Instant, request: Fingerprint) -> u32 {
        self.suspects
            .retain(|_, suspect| now < suspect.last_crash + SUSPECT_EXPIRY);
        if self.suspects.len() >= SUSPECTS_MAX {
            return 0;
        }
        let suspect = self.suspects.entry(request).or_insert(Suspect {
            crashes: 0,
            last_crash: now,
        });
        if suspect.crashes == 0 || now >= suspect.last_crash + SAME_CRASH_WINDOW {
            suspect.crashes += 1;
        }
        suspect.last_crash = now;
        suspect.crashes
    }

    /// Records that an upstream responded to a request, which clears the suspicion. Reports whether the request
    /// was a suspect.
    pub(crate) fn record_response(&mut self, request: Fingerprint) -> bool {
        !self.suspects.is_empty() && self.suspects.remove(&request).is_some()
    }

    pub(crate) fn is_blocked(&self, now: Instant, request: Fingerprint) -> bool {
        let suspect = self.suspects.get(&request);
        suspect.is_some_and(|s| s.crashes >= CRASHES_MAX && now < s.last_crash + SUSPECT_EXPIRY)
    }
}
