//! Monthly totals of requests, which partners compare with their own at the end of a month.
//!
//! Each process counts its own requests from its start and periodically saves the totals in the
//! store. A save replaces the previous one, so a repeated save changes nothing. No response waits
//! for counting or saving.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::types::{RouteName, Verdict, value};

#[cfg(test)]
mod tests;

/// Length of the month at the start of a timestamp like `2026-12-04T13:47:30Z`.
const MONTH_BYTES: usize = 7;

/// A calendar month in UTC, like `2026-12`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Month(String);

impl Month {
    /// Returns the month of a time since the Unix epoch.
    pub(crate) fn of(time: Duration) -> Self {
        let mut text = humantime::format_rfc3339_seconds(UNIX_EPOCH + time).to_string();
        text.truncate(MONTH_BYTES);
        Self(text)
    }
}

impl fmt::Display for Month {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

value! {
    /// Number of requests of one route in one month, by verdict.
    #[derive(Copy, Default, Eq)]
    pub(crate) struct Tally {
        /// All requests; the sum of the other fields.
        pub(crate) admitted: u64,
        pub(crate) not_run: u64,
        pub(crate) ran: u64,
        pub(crate) may_have_run: u64,
    }

    /// Monthly totals that one process has counted since its start.
    #[derive(Default, Eq)]
    pub(crate) struct ProcessCounts {
        pub(crate) months: BTreeMap<Month, BTreeMap<RouteName, Tally>>,
        /// Whether the process ended by a planned stop, so that the totals are complete.
        pub(crate) is_final: bool,
    }
}

impl Tally {
    /// Adds the totals of another process.
    pub(crate) fn add(&mut self, other: Self) {
        self.admitted += other.admitted;
        self.not_run += other.not_run;
        self.ran += other.ran;
        self.may_have_run += other.may_have_run;
    }
}

impl ProcessCounts {
    /// Counts a finished request.
    pub(crate) fn count(&mut self, month: Month, route: &RouteName, verdict: Verdict) {
        let routes = self.months.entry(month).or_default();
        let tally = routes.entry(route.clone()).or_default();
        tally.admitted += 1;
        match verdict {
            Verdict::NotRun => tally.not_run += 1,
            Verdict::Ran => tally.ran += 1,
            Verdict::MayHaveRun => tally.may_have_run += 1,
        }
    }
}

/// Monthly totals over all processes, and the processes whose last requests may be missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Report {
    pub(crate) months: BTreeMap<Month, BTreeMap<RouteName, Tally>>,
    /// Processes that are still running, or that ended without a planned stop.
    pub(crate) open: Vec<String>,
}

/// Aggregates the totals of all processes.
pub(crate) fn merge_counts(processes: &BTreeMap<String, ProcessCounts>) -> Report {
    let mut report = Report::default();
    for (process, counts) in processes {
        for (month, routes) in &counts.months {
            let totals = report.months.entry(month.clone()).or_default();
            for (route, tally) in routes {
                totals.entry(route.clone()).or_default().add(*tally);
            }
        }
        if !counts.is_final {
            report.open.push(process.clone());
        }
    }
    report
}
