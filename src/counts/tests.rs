use std::collections::BTreeMap;
use std::time::Duration;

use super::{Month, ProcessCounts, Tally, merge_counts};
use crate::types::Verdict;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against counting a request of the last second of a month in the next month.
#[test]
fn months_end_with_their_last_second() {
    assert_eq!(Month::of(at(1_767_225_599)).to_string(), "2025-12");
    assert_eq!(Month::of(at(1_767_225_600)).to_string(), "2026-01");
}

/// Guards against totals that omit a process, or that hide that a process ended without a planned stop.
#[test]
fn totals_include_all_processes_and_name_open_ones() {
    let route = "renovaciones".parse().expect("a name");
    let month = Month::of(at(1_767_225_600));
    let mut first = ProcessCounts::default();
    first.count(month.clone(), &route, Verdict::Ran);
    first.count(month.clone(), &route, Verdict::NotRun);
    first.is_final = true;
    let mut second = ProcessCounts::default();
    second.count(month.clone(), &route, Verdict::MayHaveRun);
    let processes = BTreeMap::from([("a/1".to_owned(), first), ("b/1".to_owned(), second)]);
    let report = merge_counts(&processes);
    let expected = Tally {
        admitted: 3,
        not_run: 1,
        ran: 1,
        may_have_run: 1,
    };
    assert_eq!(report.months[&month][&route], expected);
    assert_eq!(report.open, ["b/1"]);
}
