//! Replays of load on an owner of keys that exceeds what it can serve.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::super::{Admissions, Holder, WatchedOwner};
use crate::fleet::LoadReport;

const SLOTS: usize = 6;
/// Requests that an upstream queues before it refuses.
const QUEUE: usize = 24;
const WORK_MS: u64 = 550;
/// Time within which a response is worth most.
const OBJECTIVE_MS: u64 = 1_500;
/// Requests per second that the owner can serve.
const CAPACITY: f64 = 10.9;
const STEP_MS: u64 = 10;
/// Time between two reports of the queue.
const REPORT_MS: u64 = 500;

#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    on_time: u32,
    late: u32,
    refused: u32,
}

fn holder() -> Holder {
    Holder {
        upstream: "u".parse().expect("valid name"),
        incarnation: 1,
    }
}

/// Replays a load in requests per second, given by the time in milliseconds, of `time_ms`.
fn replay(time_ms: u64, load: impl Fn(u64) -> f64, has_admission: bool) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut admissions = Admissions::default();
    let mut outcome = Outcome::default();
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let mut share = 1.0;
    for at in (0..time_ms / STEP_MS).map(|step| step * STEP_MS) {
        for (arrived, end) in running.extract_if(.., |(_, end)| *end <= at) {
            let is_on_time = end - arrived <= OBJECTIVE_MS;
            outcome.on_time += u32::from(is_on_time);
            outcome.late += u32::from(!is_on_time);
        }
        while running.len() < SLOTS
            && let Some(arrived) = waiting.pop_front()
        {
            running.push((arrived, at + WORK_MS));
        }
        if at % REPORT_MS == 0 && has_admission {
            let owner = WatchedOwner {
                holder: holder(),
                load: load(at),
                capacity: CAPACITY,
            };
            let watched = admissions.watched([owner].into_iter());
            admissions.retain(&watched);
            for owner in &watched {
                let count = |number: usize| u32::try_from(number).expect("a small number");
                let report = LoadReport {
                    running: count(running.len()),
                    waiting: count(waiting.len()),
                    slots: count(SLOTS),
                    slowness: 100,
                };
                admissions.update(owner, report);
            }
            share = admissions.shares().map(|(_, share)| share).next().unwrap_or(1.0);
        }
        if rng.random_bool((load(at) / 100.0).min(1.0)) {
            outcome.requests += 1;
            let is_admitted = rng.random_bool(share) && waiting.len() < QUEUE;
            outcome.refused += u32::from(!is_admitted);
            if is_admitted {
                waiting.push_back(at);
            }
        }
    }
    outcome
}

/// Guards against late responses to nearly all requests for a hot key, because its owner's queue is always full.
#[test]
fn hot_key_is_served_in_time_up_to_its_owners_capacity() {
    let (before, after) = (replay(20_000, |_| 40.0, false), replay(20_000, |_| 40.0, true));
    println!("without {before:?}\nwith {after:?}");
    assert!(before.on_time * 5 < before.late, "the load is no overload: {before:?}");
    // The owner can serve 218 requests in 20 s.
    assert!(after.on_time > 218 * 6 / 10, "{after:?}");
    assert!(after.late * 4 < after.on_time, "{after:?}");
}

/// Guards against requests that are refused although the owner has room: under a load that it can bear, and after an
/// overload has ended.
#[test]
fn bearable_load_is_admitted_also_after_an_overload() {
    let calm = replay(20_000, |_| 8.0, true);
    println!("{calm:?}");
    assert!(calm.refused * 20 <= calm.requests, "{calm:?}");
    let overload = |at| if at < 10_000 { 40.0 } else { 6.0 };
    let (whole, first) = (replay(30_000, overload, true), replay(10_000, overload, true));
    println!("{first:?}\n{whole:?}");
    let refused = whole.refused - first.refused;
    let requests = whole.requests - first.requests;
    assert!(
        refused * 3 <= requests,
        "{refused} of {requests} refused after the overload"
    );
}
