use super::judge::{Outcome, judge_keys, judge_requests};
use crate::server::{EventRecord, ServerEvent};

fn line(at: u64, server: &str, event: ServerEvent) -> EventRecord {
    EventRecord {
        at,
        server: server.to_owned(),
        event,
    }
}

fn run(at: u64, server: &str, key: u16) -> EventRecord {
    line(at, server, ServerEvent::Run(format!("r-{at}"), Some(key)))
}

fn outcome(status: u16, body: &str) -> Outcome {
    Outcome {
        id: "r".to_owned(),
        is_once: true,
        answer: Some((status, body.into())),
        is_signed: true,
    }
}

/// A judge that misses a fault makes each soak worthless.
#[test]
fn two_holders_are_found() {
    let grant = |until| ServerEvent::Grant(0, 99, 5, until);
    let short = [line(0, "a", grant(1_000)), line(800, "b", grant(2_000))];
    assert!(judge_keys(&short).is_empty(), "nobody ran a request");
    let long = [line(0, "a", grant(1_400)), line(800, "b", grant(2_000))];
    assert_eq!(judge_keys(&long).len(), 1);
    let [first, second] = short;
    assert_eq!(
        judge_keys(&[first, second, run(810, "a", 7), run(820, "b", 8)]).len(),
        1
    );
}

#[test]
fn releases_ends_and_renewals_count() {
    let grant = |until| ServerEvent::Grant(0, 99, 5, until);
    let next = line(800, "b", ServerEvent::Grant(0, 50, 6, 9_000));
    let held = line(0, "a", grant(9_000));
    for end in [ServerEvent::Release(0, 50, 6), ServerEvent::End] {
        assert!(judge_keys(&[held.clone(), line(700, "a", end), next.clone()]).is_empty());
    }
    let low = line(700, "a", ServerEvent::Release(0, 50, 4));
    assert_eq!(
        judge_keys(&[held, low, next.clone()]).len(),
        1,
        "a release below the fence frees nothing"
    );
    let renewed = [line(0, "a", grant(500)), line(400, "a", grant(1_500)), next];
    assert_eq!(judge_keys(&renewed).len(), 1);
}

#[test]
fn false_answers_are_found() {
    let ran = [line(1, "a", ServerEvent::Run("r".to_owned(), None))];
    let whole = "{\"request\":\"r\"}";
    assert!(judge_requests(&[outcome(200, whole)], &ran).is_empty());
    assert_eq!(judge_requests(&[outcome(200, whole)], &[]).len(), 1, "nobody ran it");
    assert_eq!(judge_requests(&[outcome(200, "{\"request\":\"s\"}")], &ran).len(), 1);
    assert_eq!(judge_requests(&[outcome(503, "")], &ran).len(), 1);
    assert_eq!(judge_requests(&[], &ran).len(), 1, "nobody asked for it");
    let twice = [ran[0].clone(), ran[0].clone()];
    assert_eq!(judge_requests(&[outcome(502, "")], &twice).len(), 1);
}
