//! The check of a fenced upstream: requests are accepted under an unexpired grant only.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{Grant, GrantedRange, Revoke, UpstreamClock};
use crate::types::{Incarnation, KeyHash, Offset, Span};

/// Grants that an upstream holds, in memory only.
#[derive(Debug)]
pub(crate) struct UpstreamGrants {
    incarnation: Incarnation,
    started: Instant,
    segments: BTreeMap<KeyHash, Segment>,
}

/// Hashes with the same newest grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Segment {
    last: KeyHash,
    epoch: Offset,
    /// End by the uptime of this upstream.
    until: Duration,
    /// The epoch was ended and is never granted again.
    revoked: bool,
}

/// Why an upstream refuses a request or a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantRefusal {
    /// No grant covers the hash.
    NotGranted,
    /// The grant has ended.
    Expired,
    /// The request carries another epoch than the grant.
    OtherEpoch,
    /// The grant counts from a clock reading of another run, or from one that lies ahead.
    ForeignClock,
}

impl UpstreamGrants {
    pub(crate) fn new(incarnation: Incarnation, started: Instant) -> Self {
        Self {
            incarnation,
            started,
            segments: BTreeMap::new(),
        }
    }

    /// Reads the clock from which grants count; each answer to a host carries it.
    pub(crate) fn read_clock(&self, now: Instant) -> UpstreamClock {
        UpstreamClock {
            incarnation: self.incarnation,
            uptime: Span(self.uptime(now)),
        }
    }

    /// Takes a grant. Ranges whose epoch is older than a known one, or revoked, are passed over.
    ///
    /// # Errors
    ///
    /// Fails if the grant counts from a reading that this run of the upstream did not give.
    pub(crate) fn accept_grant(&mut self, now: Instant, grant: &Grant) -> Result<(), GrantRefusal> {
        if grant.from.incarnation != self.incarnation || grant.from.uptime.0 > self.uptime(now) {
            return Err(GrantRefusal::ForeignClock);
        }
        let until = grant.from.uptime.0 + grant.duration.0;
        for granted in &grant.ranges {
            self.paint(*granted, |old| match old {
                Some(old) if old.epoch > granted.epoch || (old.epoch == granted.epoch && old.revoked) => old,
                Some(old) if old.epoch == granted.epoch => Segment {
                    until: old.until.max(until),
                    ..old
                },
                Some(_) | None => Segment {
                    last: granted.range.last,
                    epoch: granted.epoch,
                    until,
                    revoked: false,
                },
            });
        }
        Ok(())
    }

    /// Ends the grants of the given epochs and all older ones at once.
    pub(crate) fn revoke(&mut self, revoke: &Revoke) {
        for revoked in &revoke.ranges {
            self.paint(*revoked, |old| match old {
                Some(old) if old.epoch > revoked.epoch => old,
                Some(_) | None => Segment {
                    last: revoked.range.last,
                    epoch: revoked.epoch,
                    until: Duration::ZERO,
                    revoked: true,
                },
            });
        }
    }

    /// Tells whether a request for a hash, sent under an epoch, may be worked on.
    ///
    /// # Errors
    ///
    /// Fails unless an unexpired grant of the same epoch covers the hash.
    pub(crate) fn check_request(&self, now: Instant, hash: KeyHash, epoch: Offset) -> Result<(), GrantRefusal> {
        let found = self.segments.range(..=hash).next_back().map(|(_, s)| s);
        let segment = found.filter(|s| hash <= s.last).ok_or(GrantRefusal::NotGranted)?;
        if segment.epoch != epoch {
            Err(GrantRefusal::OtherEpoch)
        } else if segment.revoked || self.uptime(now) >= segment.until {
            Err(GrantRefusal::Expired)
        } else {
            Ok(())
        }
    }

    fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Replaces each known segment of a range, and each gap between them, by what `decide` gives.
    fn paint(&mut self, granted: GrantedRange, decide: impl Fn(Option<Segment>) -> Segment) {
        let range = granted.range;
        self.split_at(range.first);
        if let Some(after) = range.last.0.checked_add(1) {
            self.split_at(KeyHash(after));
        }
        let inside: Vec<(KeyHash, Segment)> = self
            .segments
            .range(range.first..=range.last)
            .map(|(&first, &segment)| (first, segment))
            .collect();
        let mut painted = Vec::new();
        let mut next = Some(range.first);
        for (first, segment) in inside {
            if let Some(gap) = next.filter(|&gap| gap < first) {
                push_segment(&mut painted, gap, KeyHash(first.0 - 1), decide(None));
            }
            push_segment(&mut painted, first, segment.last, decide(Some(segment)));
            next = segment.last.0.checked_add(1).map(KeyHash);
            self.segments.remove(&first);
        }
        if let Some(gap) = next.filter(|&gap| gap <= range.last) {
            push_segment(&mut painted, gap, range.last, decide(None));
        }
        self.segments.extend(painted);
    }

    fn split_at(&mut self, hash: KeyHash) {
        let Some((&first, segment)) = self.segments.range_mut(..hash).next_back() else {
            return;
        };
        if segment.last < hash || first == hash {
            return;
        }
        let tail = *segment;
        segment.last = KeyHash(hash.0 - 1);
        self.segments.insert(hash, tail);
    }
}

/// Appends a segment, or extends the one before it if they are alike.
fn push_segment(segments: &mut Vec<(KeyHash, Segment)>, first: KeyHash, last: KeyHash, segment: Segment) {
    let added = Segment { last, ..segment };
    match segments.last_mut() {
        Some((_, before)) if Segment { last, ..*before } == added => before.last = last,
        Some(_) | None => segments.push((first, added)),
    }
}
