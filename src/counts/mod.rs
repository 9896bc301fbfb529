//! Counts of requests that partners compare with their own at the end of a month.
//!
//! Each process counts for itself, from its start, and saves its sums in the store now and then; a
//! later save replaces an earlier one, so a repeated one changes nothing. Nothing of this is on the
//! way of an answer.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::types::{RouteName, Verdict, value};

#[cfg(test)]
mod tests;

/// Length of a month in a time like `2026-12-04T13:47:30Z`, in characters.
const MONTH_LENGTH: usize = 7;

/// A calendar month in UTC, like `2026-12`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Month(String);

impl Month {
    /// Gives the month of a time since the Unix epoch.
    pub(crate) fn of(time: Duration) -> Self {
        let mut text = humantime::format_rfc3339_seconds(UNIX_EPOCH + time).to_string();
        text.truncate(MONTH_LENGTH);
        Self(text)
    }
}

impl fmt::Display for Month {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

value! {
    /// Requests of one route in one month.
    #[derive(Copy, Default, Eq)]
    pub(crate) struct Tally {
        pub(crate) admitted: u64,
        pub(crate) not_run: u64,
        pub(crate) ran: u64,
        pub(crate) may_have_run: u64,
    }

    /// What one process counted since its start.
    #[derive(Default, Eq)]
    pub(crate) struct ProcessCounts {
        pub(crate) months: BTreeMap<Month, BTreeMap<RouteName, Tally>>,
        /// The process ended by a planned stop, so the sums are complete.
        pub(crate) is_final: bool,
    }
}

impl Tally {
    /// Adds the counts of another process.
    pub(crate) fn add(&mut self, other: Self) {
        self.admitted += other.admitted;
        self.not_run += other.not_run;
        self.ran += other.ran;
        self.may_have_run += other.may_have_run;
    }
}

impl ProcessCounts {
    /// Counts a request that has ended.
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

/// Sums of all processes, and those whose last requests may be missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Report {
    pub(crate) months: BTreeMap<Month, BTreeMap<RouteName, Tally>>,
    /// Processes that run still, or ended without a planned stop.
    pub(crate) open: Vec<String>,
}

/// Adds up the counts of all processes.
pub(crate) fn merge_counts(processes: &BTreeMap<String, ProcessCounts>) -> Report {
    let mut report = Report::default();
    for (process, counts) in processes {
        for (month, routes) in &counts.months {
            let sums = report.months.entry(month.clone()).or_default();
            for (route, tally) in routes {
                sums.entry(route.clone()).or_default().add(*tally);
            }
        }
        if !counts.is_final {
            report.open.push(process.clone());
        }
    }
    report
}
