//! Hosts that are told what another one has read, against hosts that read it themselves.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use serde_json::json;
use tokio::time::Instant;

use super::gateway;
use crate::gateway::feed::{apply_deltas, apply_records};
use crate::gateway::state::Gateway;
use crate::keys::KeyTable;
use crate::platform::Record;
use crate::relay::{Topic, TopicDelta, Update};
use crate::types::Offset;

/// A time after which entries that lapsed are gone.
const LONG_AFTER: Duration = Duration::from_mins(1);

/// What an upstream or another writer puts into the topic.
#[derive(Clone, Debug)]
enum Step {
    /// An upstream announces itself; its number, run, state and cold time in seconds.
    Announce(u64, u64, bool, u64),
    Remove(u64),
    Damaged(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0u64..4, 0u64..3, any::<bool>(), 0u64..2).prop_map(|(at, incarnation, ready, cold)| Step::Announce(at, incarnation, ready, 9 * cold)),
        2 => (0u64..4).prop_map(Step::Remove),
        1 => (0u64..4).prop_map(Step::Damaged),
    ]
}

fn record(offset: u64, step: &Step) -> Record {
    let (at, value) = match step {
        Step::Announce(at, incarnation, is_ready, cold) => {
            let state = if *is_ready { "ready" } else { "draining" };
            let text = json!({"service": "placas", "address": format!("10.0.0.{at}:80"), "zone": "z", "slots": 4,
                "state": state, "cold_left": format!("{cold}s"), "seq": offset, "born": incarnation});
            (at, Some(Bytes::from(text.to_string())))
        }
        Step::Remove(at) => (at, None),
        Step::Damaged(at) => (at, Some(Bytes::from_static(b"\xff{"))),
    };
    Record {
        offset: Offset(offset),
        key: format!("i-{at}"),
        value,
    }
}

fn read(gateway: &Gateway, log: &[Record], to: u64) -> TopicDelta {
    let from = gateway.feed.next_offset(Topic::Upstreams).unwrap_or_default();
    let records = log
        .iter()
        .filter(|record| record.offset >= from && record.offset.0 < to);
    let records = records.cloned().collect();
    apply_records(gateway, Topic::Upstreams, Offset(to), records)
}

/// Gives what decisions see of the upstreams.
fn known(gateway: &Gateway) -> Vec<String> {
    let fleet = gateway.fleet.borrow();
    let now = Instant::now();
    let pool = "placas".parse().expect("a name");
    let upstreams = fleet.in_pool(&pool);
    let text = |u: &crate::fleet::Upstream| {
        format!(
            "{} {} {:?} cold: {}",
            u.announcement.upstream,
            u.announcement.incarnation,
            u.announcement.phase,
            u.is_cold(now)
        )
    };
    upstreams.map(text).collect()
}

proptest! {
    /// A host that hears only some of the messages, some of them late, ends with what a reader knows: a missed
    /// record would send requests to upstreams that left, or none to new ones.
    #[test]
    fn listeners_know_what_readers_know(
        steps in proptest::collection::vec(step(), 1..60),
        sizes in proptest::collection::vec((1u64..6, 0u8..4), 1..40),
        failures in any::<(bool, bool)>(),
    ) {
        let log: Vec<Record> = (0..).zip(&steps).map(|(at, step)| record(at, step)).collect();
        let end = log.len() as u64;
        let (reader, listener) = (gateway(), gateway());
        for (host, has_failed) in [(&reader, failures.0), (&listener, failures.1)] {
            if has_failed {
                // Entries that are removed from now on may only have lapsed.
                host.fleet.borrow_mut().record_store_failure(Instant::now());
            }
            // Both have listed an empty topic.
            apply_records(host, Topic::Upstreams, Offset(0), Vec::new());
        }
        let mut at = 0;
        let mut late = Vec::new();
        for (size, fate) in sizes.into_iter().chain([(end, 0)]) {
            at = end.min(at + size);
            let delta = read(&reader, &log, at);
            match fate {
                0 | 1 => apply_deltas(&listener, &[delta]),
                2 => late.push(delta),
                _ => {}
            }
            if fate == 1 && let Some(delta) = late.pop() {
                apply_deltas(&listener, &[delta]);
            }
            if listener.feed.take_requested().contains(&Topic::Upstreams) {
                read(&listener, &log, at);
            }
        }
        for host in [&reader, &listener] {
            host.fleet.borrow_mut().expire(Instant::now() + LONG_AFTER);
        }
        prop_assert_eq!(listener.feed.next_offset(Topic::Upstreams), Some(Offset(end)));
        prop_assert_eq!(known(&listener), known(&reader));
    }
}

/// Most records only repeat what is known; passing them all on would fill the links of 90 hosts.
#[test]
fn repeated_announcements_are_not_passed_on() {
    let gateway = gateway();
    apply_records(&gateway, Topic::Upstreams, Offset(0), Vec::new());
    let log: Vec<Record> = (0..50)
        .map(|at| record(at, &Step::Announce(at % 4, 1, true, 0)))
        .collect();
    let delta = read(&gateway, &log, 50);
    assert_eq!(delta.updates.map(|updates| updates.len()), Some(4));
}

/// Owners of keys are too large for a datagram; a host that missed the grantor's message must read them.
#[test]
fn unknown_owners_are_read() {
    let gateway = gateway();
    apply_records(&gateway, Topic::Hosts, Offset(0), Vec::new());
    let delta = |revision| TopicDelta {
        topic: Topic::Hosts,
        from: Offset(0),
        next: Offset(1),
        updates: Some(vec![Update::Owners {
            pool: "placas".parse().expect("a name"),
            epoch: 3,
            revision,
        }]),
    };
    let mut table = KeyTable::new("placas".parse().expect("a name"), "a".parse().expect("a name"), 3);
    table.revision = 2;
    gateway.install_table(Instant::now(), table);
    apply_deltas(&gateway, &[delta(4)]);
    assert!(gateway.feed.take_requested().contains(&Topic::Hosts));
    assert_eq!(gateway.feed.next_offset(Topic::Hosts), Some(Offset(0)));
    apply_deltas(&gateway, &[delta(2)]);
    assert!(gateway.feed.take_requested().is_empty());
    assert_eq!(gateway.feed.next_offset(Topic::Hosts), Some(Offset(1)));
}

/// An upstream that was wrongly suspected of a restart got only a cold one's share from a host until the
/// suspicion ran out, as its announcements told the readers nothing new.
#[tokio::test(start_paused = true)]
async fn a_suspicion_ends_with_the_next_announcement() {
    let (reader, listener) = (gateway(), gateway());
    let announce = |offset| vec![record(offset, &Step::Announce(1, 1, true, 0))];
    for host in [&reader, &listener] {
        apply_records(host, Topic::Upstreams, Offset(0), Vec::new());
        apply_records(host, Topic::Upstreams, Offset(1), announce(0));
    }
    let name = "i-1".parse().expect("a name");
    assert!(
        listener
            .fleet
            .borrow_mut()
            .suspect_cold(Instant::now(), &name, LONG_AFTER)
    );
    reader.fleet.borrow_mut().request_announcement(Instant::now(), &name);
    for offset in 1..4 {
        tokio::time::advance(Duration::from_secs(1)).await;
        let delta = apply_records(&reader, Topic::Upstreams, Offset(offset + 1), announce(offset));
        apply_deltas(&listener, &[delta]);
    }
    assert_eq!(known(&listener), ["i-1 1 Ready cold: false"]);
}
