//! Which requests ran at each upstream around the time at which it was last heard from. They may be the cause
//! if the upstream turns out to have ended.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::{Crash, Fingerprint};
use crate::types::UpstreamName;

/// Time after its complete response for which a request may still be the cause of the upstream's end.
pub(crate) const LINGER: Duration = Duration::from_millis(500);
/// Time for which requests without a complete response are kept. Announcements show a restart within it.
const UNRESOLVED_EXPIRY: Duration = Duration::from_secs(6);
/// Limit on the requests of one kind that are kept for one upstream.
const KEPT_MAX: usize = 256;

/// A request that was sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) request: Fingerprint,
    pub(crate) sent: Instant,
}

/// How a run ended, as far as this host has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// Nothing was sent, or the upstream stated that it didn't run the request.
    NotRun,
    /// The complete response has arrived.
    Complete,
    /// The connection broke, or the response was invalid.
    Broken,
    /// Nobody waits for the response any more.
    Abandoned,
}

#[derive(Clone, Copy, Debug)]
struct EndedRun {
    run: Run,
    at: Instant,
    is_broken: bool,
}

/// Runs at one upstream.
#[derive(Clone, Debug, Default)]
struct Activity {
    last_heard: Option<Instant>,
    running: Vec<Run>,
    /// Runs without a complete response.
    unresolved: VecDeque<EndedRun>,
    /// Complete runs after which the upstream hasn't been heard from for long enough.
    completed: VecDeque<EndedRun>,
}

/// Runs at all upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Runs {
    upstreams: BTreeMap<UpstreamName, Activity>,
}

impl Runs {
    pub(crate) fn start(&mut self, upstream: &UpstreamName, run: Run) {
        let activity = self.upstreams.entry(upstream.clone()).or_default();
        activity.running.push(run);
    }

    pub(crate) fn end(&mut self, now: Instant, upstream: &UpstreamName, run: Run, end: RunEnd) {
        let activity = self.upstreams.entry(upstream.clone()).or_default();
        let index = activity.running.iter().position(|r| *r == run);
        if let Some(index) = index {
            activity.running.swap_remove(index);
        }
        let kept = match end {
            RunEnd::Complete => &mut activity.completed,
            // Without an index, the run already counts as the cause of an end.
            RunEnd::Broken | RunEnd::Abandoned if index.is_some() => &mut activity.unresolved,
            RunEnd::NotRun | RunEnd::Broken | RunEnd::Abandoned => return,
        };
        if kept.len() >= KEPT_MAX {
            kept.pop_front();
        }
        kept.push_back(EndedRun {
            run,
            at: now,
            is_broken: end == RunEnd::Broken,
        });
    }

    /// Records that an upstream responded. Returns the requests that it has survived, with the times of their
    /// complete responses.
    pub(crate) fn record_heard(&mut self, now: Instant, upstream: &UpstreamName) -> Vec<(Fingerprint, Instant)> {
        let activity = self.upstreams.entry(upstream.clone()).or_default();
        activity.last_heard = Some(now);
        let mut survived = Vec::new();
        while let Some(ended) = activity.completed.front().filter(|ended| ended.at + LINGER <= now) {
            survived.push((ended.run.request, ended.at));
            activity.completed.pop_front();
        }
        survived
    }

    /// Reports whether an upstream has responded to anything since a time.
    pub(crate) fn has_responded_since(&self, upstream: &UpstreamName, time: Instant) -> bool {
        let activity = self.upstreams.get(upstream);
        activity.is_some_and(|activity| activity.last_heard.is_some_and(|at| at > time))
    }

    /// Reports whether requests are known that would be suspects if the upstream had ended.
    pub(crate) fn has_suspects(&self, upstream: &UpstreamName) -> bool {
        self.upstreams.get(upstream).is_some_and(|activity| {
            !(activity.running.is_empty() && activity.unresolved.is_empty() && activity.completed.is_empty())
        })
    }

    /// Records that an upstream has ended. Returns the requests that may be the cause.
    pub(crate) fn record_end(&mut self, now: Instant, upstream: &UpstreamName) -> BTreeMap<Fingerprint, Crash> {
        let Some(activity) = self.upstreams.remove(upstream) else {
            return BTreeMap::new();
        };
        let completed = activity
            .completed
            .iter()
            .filter(|ended| activity.last_heard.is_none_or(|at| at <= ended.at + LINGER))
            .map(|ended| (ended.run, ended.at));
        let unresolved = activity
            .unresolved
            .iter()
            .filter(|ended| now < ended.at + UNRESOLVED_EXPIRY)
            .map(|ended| {
                // Silence doesn't show when the upstream ended; a new process may have been heard from since.
                let end = if ended.is_broken { ended.at } else { ended.run.sent };
                (ended.run, end)
            });
        let running = activity.running.iter().map(|run| (*run, run.sent));
        let mut crashes: BTreeMap<Fingerprint, Crash> = BTreeMap::new();
        for (Run { request, sent }, ended) in completed.chain(unresolved).chain(running) {
            let crash = crashes.entry(request).or_insert_with(|| Crash {
                upstream: upstream.clone(),
                heard: activity.last_heard,
                sent,
                ended,
                noticed: now,
            });
            if crash.sent < sent {
                (crash.sent, crash.ended) = (sent, ended);
            }
        }
        crashes
    }

    /// Removes what is too old to matter.
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.upstreams.retain(|_, activity| {
            activity.unresolved.retain(|ended| now < ended.at + UNRESOLVED_EXPIRY);
            let is_recent = activity.last_heard.is_some_and(|at| now < at + UNRESOLVED_EXPIRY);
            is_recent || !activity.running.is_empty() || !activity.unresolved.is_empty()
        });
    }
}
