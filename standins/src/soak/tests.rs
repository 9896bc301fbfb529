use super::crash::check_crashes;
use super::directives::{DirectivePhase, check_directives};
use super::judge::{Outcome, check_fences, check_leases, check_removal, check_requests};
use crate::server::{EventRecord, ServerEvent};

fn record(at: u64, server: &str, event: ServerEvent) -> EventRecord {
    EventRecord {
        at,
        server: server.to_owned(),
        event,
    }
}

fn run(at: u64, server: &str, key: u16) -> EventRecord {
    record(at, server, ServerEvent::Run(format!("r-{at}"), Some(key)))
}

fn outcome(status: u16, body: &str) -> Outcome {
    Outcome {
        id: "r".to_owned(),
        non_idempotent: true,
        response: Some((status, body.into())),
        is_signed: true,
    }
}

/// Guards against a check that misses two servers with leases on the same keys, so that soak runs prove
/// nothing, or that reports a short overlap during which neither server runs a request.
#[test]
fn check_leases_reports_overlapping_leases() {
    let grant = |until| ServerEvent::Grant(0, 99, 5, until);
    let short_overlap = [record(0, "a", grant(1_000)), record(800, "b", grant(2_000))];
    assert!(check_leases(&short_overlap).is_empty(), "neither server ran a request");
    let long_overlap = [record(0, "a", grant(1_400)), record(800, "b", grant(2_000))];
    assert_eq!(check_leases(&long_overlap).len(), 1);
    let [first, second] = short_overlap;
    assert_eq!(
        check_leases(&[first, second, run(810, "a", 7), run(820, "b", 8)]).len(),
        1
    );
}

/// Guards against a check that reports leases that a release or the end of a server has ended, or that
/// misses leases that were renewed or that a release with a lower fence didn't end.
#[test]
fn check_leases_applies_releases_ends_and_renewals() {
    let grant = |until| ServerEvent::Grant(0, 99, 5, until);
    let other_grant = record(800, "b", ServerEvent::Grant(0, 50, 6, 9_000));
    let granted = record(0, "a", grant(9_000));
    for end in [ServerEvent::Release(0, 50, 6), ServerEvent::End] {
        assert!(check_leases(&[granted.clone(), record(700, "a", end), other_grant.clone()]).is_empty());
    }
    let stale_release = record(700, "a", ServerEvent::Release(0, 50, 4));
    assert_eq!(
        check_leases(&[granted, stale_release, other_grant.clone()]).len(),
        1,
        "a release below the fence must not end the lease"
    );
    let renewed = [record(0, "a", grant(500)), record(400, "a", grant(1_500)), other_grant];
    assert_eq!(check_leases(&renewed).len(), 1);
}

/// Guards against a check that misses a response that contradicts the event log, a request that no caller
/// sent, or a second run of a request that may run at most once.
#[test]
fn check_requests_reports_wrong_responses_and_runs() {
    let one_run = [record(1, "a", ServerEvent::Run("r".to_owned(), None))];
    let complete_body = "{\"credential\":\"\",\"request\":\"r\",\"tenant\":\"soak\"}";
    assert!(check_requests(&[outcome(200, complete_body)], &one_run).is_empty());
    assert_eq!(
        check_requests(&[outcome(200, complete_body)], &[]).len(),
        1,
        "no server ran it"
    );
    assert_eq!(
        check_requests(&[outcome(200, "{\"request\":\"s\"}")], &one_run).len(),
        1
    );
    for (from, to) in [("\"soak\"", "\"other\""), ("\"\"", "\"soak-key\"")] {
        let body = complete_body.replacen(from, to, 1);
        assert_eq!(check_requests(&[outcome(200, &body)], &one_run).len(), 1, "{body}");
    }
    assert_eq!(check_requests(&[outcome(503, "")], &one_run).len(), 1);
    assert_eq!(check_requests(&[], &one_run).len(), 1, "no caller sent it");
    let two_runs = [one_run[0].clone(), one_run[0].clone()];
    assert_eq!(check_requests(&[outcome(502, "")], &two_runs).len(), 1);
}

/// Guards against a check that misses requests which go on reaching servers after they crashed three, or that
/// counts arrivals at a server that has ended already.
#[test]
fn check_crashes_reports_late_arrivals() {
    let arrival = |at: u64, server: &str| record(at, server, ServerEvent::Run(format!("crash-{at}"), None));
    let crashes = [
        arrival(0, "a"),
        arrival(500, "a"),
        arrival(700, "b"),
        arrival(1_400, "c"),
    ];
    let late = |count: u64| (0..count).map(|number| arrival(4_500 + number, "b"));
    let records = |count| crashes.iter().cloned().chain(late(count)).collect::<Vec<_>>();
    assert!(check_crashes(&records(3)).is_empty());
    assert_eq!(check_crashes(&records(4)).len(), 1);
    let two_servers = [crashes[..3].to_vec(), late(1).collect()].concat();
    assert!(
        check_crashes(&two_servers).is_empty(),
        "the third crash is the last arrival"
    );
}

/// Guards against a check that misses servers which get what they have stated that they don't take.
#[test]
fn check_directives_reports_each_kind() {
    let phase = DirectivePhase { start: 0, end: 7_500 };
    let run = |at: u64, server: &str, id: &str| record(at, server, ServerEvent::Run(id.to_owned(), None));
    let refuse = |at: u64, id: &str| record(at, "renovaciones-4", ServerEvent::Refuse(id.to_owned()));
    let limited = |count: u64| {
        (0..count)
            .map(|n| run(3_000 + n, "placas-0", "c1-1"))
            .collect::<Vec<_>>()
    };
    assert!(check_directives(&limited(29), phase).is_empty());
    assert_eq!(check_directives(&limited(30), phase).len(), 1);
    // The first request of the phase tells the gateways; the bound counts from it.
    let leaving = |first, last| {
        [
            run(first, "renovaciones-5", "c1-1"),
            run(last, "renovaciones-5", "c1-2"),
        ]
    };
    for first in [0, 4_000] {
        assert!(check_directives(&leaving(first, first + 3_000), phase).is_empty());
        assert_eq!(check_directives(&leaving(first, first + 3_001), phase).len(), 1);
    }
    let unpaused: Vec<EventRecord> = (0..9).map(|n| run(600 * n, "renovaciones-4", "c0-1")).collect();
    assert!(check_directives(&unpaused, phase).is_empty(), "it refused none");
    let paused = [
        refuse(0, "c0-1"),
        refuse(600, "c3-1"),
        refuse(700, "c0-2"),
        refuse(800, "c1-1"),
    ];
    assert!(
        check_directives(&paused, phase).is_empty(),
        "one of them is of another gateway"
    );
    let paused = [paused.to_vec(), vec![refuse(900, "c3-2")]].concat();
    assert_eq!(check_directives(&paused, phase).len(), 1);
}

/// Guards against a check that reports grants that a suspended server takes late, which the rule on owners doesn't
/// count, or that doesn't report the leases that the server takes afterwards.
#[test]
fn check_leases_passes_over_grants_taken_at_the_end_of_a_suspension() {
    let grant = |fence, until| ServerEvent::Grant(0, 99, fence, until);
    let resumed = record(7_000, "a", ServerEvent::Resume);
    let new_owner = record(3_000, "b", grant(6, 9_500));
    let late = record(7_100, "a", grant(5, 9_600));
    assert!(check_leases(&[new_owner.clone(), resumed.clone(), late.clone()]).is_empty());
    assert_eq!(check_leases(&[new_owner.clone(), late]).len(), 1);
    let later = record(7_400, "a", grant(5, 9_900));
    assert_eq!(check_leases(&[new_owner, resumed, later]).len(), 1);
}

/// Guards against a check that misses a server that takes keys under a fence of its former incarnation.
#[test]
fn check_fences_reports_a_fence_of_a_former_incarnation() {
    let grant = |at, fence| record(at, "a", ServerEvent::Grant(0, 99, fence, at + 2_500));
    let end = record(500, "a", ServerEvent::End);
    assert_eq!(check_fences(&[grant(0, 5), end.clone(), grant(900, 5)]).len(), 1);
    assert!(check_fences(&[grant(0, 5), grant(400, 5), end, grant(900, 6)]).is_empty());
}

/// Guards against a check that misses a request that runs long after its credential was removed.
#[test]
fn check_removal_reports_late_runs() {
    let run = |at, id: &str| record(at, "a", ServerEvent::Run(id.to_owned(), None));
    let records = [run(1_000, "c0-1"), run(9_000, "c0-2"), run(9_000, "c1-2")];
    assert_eq!(check_removal(&records, Some(1_000)).len(), 1);
    assert!(check_removal(&records, Some(2_000)).is_empty());
    assert!(check_removal(&records, None).is_empty());
}
