use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::{CallerState, CallerTable, Holder, MemoryBudget, SMALL_BODY_BYTES};

const MACHINE: usize = 120_000_000;
const LARGEST_BODY: usize = 64 << 20;

/// Guards against a small machine that can't take a single body of the largest size, and against a second one that
/// is taken beside it.
#[test]
fn single_body_of_the_largest_size_fits() {
    let budget = MemoryBudget::new(MACHINE);
    budget.set_largest_body(LARGEST_BODY);
    let body = budget.try_reserve(Holder::Body, LARGEST_BODY);
    assert!(body.is_some());
    assert!(budget.try_reserve(Holder::Body, LARGEST_BODY).is_none());
    assert!(budget.total() * 4 <= MACHINE * 3);
    drop(body);
    assert_eq!(budget.held(Holder::Body), 0);
}

/// Guards against large bodies that leave no room for ordinary requests, whether announced or growing by chunks.
#[test]
fn small_bodies_are_admitted_beside_as_many_large_ones_as_fit() {
    let budget = MemoryBudget::new(MACHINE);
    budget.set_largest_body(1 << 20);
    let mut large = Vec::new();
    while let Some(body) = budget.try_reserve(Holder::Body, 1 << 20) {
        large.push(body);
    }
    let mut chunked = budget
        .try_reserve(Holder::Body, 4 << 10)
        .expect("room for a small body");
    while chunked.try_grow(SMALL_BODY_BYTES) {}
    let small: Vec<_> = (0..32)
        .filter_map(|_| budget.try_reserve(Holder::Body, SMALL_BODY_BYTES))
        .collect();
    assert_eq!(small.len(), 32);
}

proptest! {
    /// Guards against bytes that are counted twice or never returned.
    #[test]
    fn held_bytes_equal_the_live_reservations(sizes in prop::collection::vec((0usize..3, 0usize..1 << 22), 1..60)) {
        let budget = MemoryBudget::new(MACHINE);
        let mut live = Vec::new();
        let mut expected = 0;
        for (number, (holder, bytes)) in sizes.into_iter().enumerate() {
            let holder = Holder::ALL[holder];
            if let Some(reservation) = budget.try_reserve(holder, bytes) {
                live.push((bytes, reservation));
                expected += bytes;
            }
            if number % 3 == 2 && let Some((bytes, _)) = live.pop() {
                expected -= bytes;
            }
            let held: usize = Holder::ALL.iter().map(|holder| budget.held(*holder)).sum();
            prop_assert_eq!(held, expected);
            prop_assert!(!budget.is_exceeded());
        }
    }
}

/// Guards against closing a connection whose request is being served, and against an order that closes callers inside
/// the limits before those that stop within a head.
#[test]
fn late_heads_are_closed_before_idle_connections_and_served_ones_never() {
    let start = Instant::now();
    let mut table = CallerTable::default();
    let (_, served) = table.add(start);
    served.set_state(start, CallerState::Serving);
    let (unused, idle) = table.add(start);
    idle.set_state(start, CallerState::Idle);
    let (late, _head) = table.add(start);
    let now = start + Duration::from_secs(5);
    let (_, fresh) = table.add(now);
    assert!(table.close_one(now));
    assert!(!table.contains(late));
    assert!(table.close_one(now));
    assert!(!table.contains(unused));
    assert!(!table.close_one(now), "a served and a fresh connection stay");
    drop(fresh);
}

/// Guards against stalled uploads or unread responses that keep all connections for as long as they like.
#[test]
fn stalled_connections_are_closed_last() {
    let start = Instant::now();
    let mut table = CallerTable::default();
    let (stalled, body) = table.add(start);
    body.set_state(start, CallerState::Body);
    let (_, reader) = table.add(start);
    reader.set_state(start, CallerState::Serving);
    reader.record_write(start, true);
    let now = start + Duration::from_secs(3);
    let (moving, progress) = table.add(start);
    progress.set_state(start, CallerState::Body);
    progress.record_read(now);
    assert!(table.close_one(now));
    assert!(!table.contains(stalled));
    assert!(table.close_unread(now));
    assert!(table.contains(moving));
}
