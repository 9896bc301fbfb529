use super::judge::{Outcome, check_leases, check_requests};
use crate::server::{EventRecord, ServerEvent};

fn line(at: u64, server: &str, event: ServerEvent) -> EventRecord {
    EventRecord {
        at,
        server: server.to_owned(),
        event,
    }
}

fn execution(at: u64, server: &str, key: u16) -> EventRecord {
    line(at, server, ServerEvent::Run(format!("r-{at}"), Some(key)))
}

fn outcome(status: u16, body: &str) -> Outcome {
    Outcome {
        id: "r".to_owned(),
        non_idempotent: true,
        response: Some((status, body.into())),
        is_signed: true,
    }
}

/// The check misses two servers with leases on the same keys, so that soak runs prove nothing. Short
/// overlaps are allowed unless both servers execute requests.
#[test]
fn check_leases_reports_overlapping_leases() {
    let grant = |until| ServerEvent::Grant(0, 99, 5, until);
    let short_overlap = [line(0, "a", grant(1_000)), line(800, "b", grant(2_000))];
    assert!(
        check_leases(&short_overlap).is_empty(),
        "neither server executed a request"
    );
    let long_overlap = [line(0, "a", grant(1_400)), line(800, "b", grant(2_000))];
    assert_eq!(check_leases(&long_overlap).len(), 1);
    let [first, second] = short_overlap;
    assert_eq!(
        check_leases(&[first, second, execution(810, "a", 7), execution(820, "b", 8)]).len(),
        1
    );
}

/// The check ignores a release, the end of a server or a renewal: it reports leases that have ended or
/// misses those that were extended. A release below the fence of a lease must not end it.
#[test]
fn check_leases_applies_releases_ends_and_renewals() {
    let grant = |until| ServerEvent::Grant(0, 99, 5, until);
    let other_grant = line(800, "b", ServerEvent::Grant(0, 50, 6, 9_000));
    let granted = line(0, "a", grant(9_000));
    for end in [ServerEvent::Release(0, 50, 6), ServerEvent::End] {
        assert!(check_leases(&[granted.clone(), line(700, "a", end), other_grant.clone()]).is_empty());
    }
    let stale_release = line(700, "a", ServerEvent::Release(0, 50, 4));
    assert_eq!(
        check_leases(&[granted, stale_release, other_grant.clone()]).len(),
        1,
        "a release below the fence must not end the lease"
    );
    let renewed = [line(0, "a", grant(500)), line(400, "a", grant(1_500)), other_grant];
    assert_eq!(check_leases(&renewed).len(), 1);
}

/// The check misses a response that contradicts the records, a request that no caller sent, or a second
/// execution of a request that may be executed at most once.
#[test]
fn check_requests_reports_wrong_responses_and_executions() {
    let execution_record = [line(1, "a", ServerEvent::Run("r".to_owned(), None))];
    let complete_body = "{\"request\":\"r\"}";
    assert!(check_requests(&[outcome(200, complete_body)], &execution_record).is_empty());
    assert_eq!(
        check_requests(&[outcome(200, complete_body)], &[]).len(),
        1,
        "no server executed it"
    );
    assert_eq!(
        check_requests(&[outcome(200, "{\"request\":\"s\"}")], &execution_record).len(),
        1
    );
    assert_eq!(check_requests(&[outcome(503, "")], &execution_record).len(), 1);
    assert_eq!(check_requests(&[], &execution_record).len(), 1, "no caller sent it");
    let two_executions = [execution_record[0].clone(), execution_record[0].clone()];
    assert_eq!(check_requests(&[outcome(502, "")], &two_executions).len(), 1);
}
