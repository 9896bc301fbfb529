use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::{ClassMix, ColdLimiter, ColdQuota, Division, RateLimiter, RequestClass, RetryBudget, RetryLimits};
use crate::types::HostName;

const LIMITS: RetryLimits = RetryLimits {
    window: Duration::from_secs(10),
    ratio: 0.2,
    extra: 58.0,
};

fn hosts(count: usize) -> Vec<HostName> {
    (0..count)
        .map(|n| format!("host-{n}").parse().expect("valid name"))
        .collect()
}

/// Guards against quotas of 1 to 300 hosts that together exceed the bound for a cold upstream or use less
/// than half of it.
#[test]
fn cold_quotas_of_all_hosts_stay_within_the_bound() {
    let upstream = "u1".parse().expect("valid name");
    for (count, bound) in [(1, 23.0), (3, 23.0), (9, 26.0), (58, 26.0), (90, 26.0), (300, 26.0)] {
        let hosts = hosts(count);
        let quotas = hosts
            .iter()
            .map(|own| ColdQuota::of_host(bound, &hosts, own, &upstream).0);
        let total: u32 = quotas.sum();
        assert!(f64::from(total) <= bound, "{count} hosts send {total}");
        assert!(
            f64::from(total) >= bound * 0.5,
            "{count} hosts use only {total} of {bound}"
        );
    }
}

/// Guards against two bursts that pass in the same second at the border of a window.
#[test]
fn cold_limiter_admits_no_double_burst() {
    let start = Instant::now();
    let mut limiter = ColdLimiter::default();
    let quota = ColdQuota(2);
    let sent = (0..40).filter(|step| {
        let now = start + Duration::from_millis(step * 50);
        let admitted = limiter.admits(now, quota);
        if admitted {
            limiter.record_sent(now);
        }
        admitted
    });
    assert!(sent.count() <= 4, "more than two requests per second in two seconds");
}

/// Guards against shares of 1 to 300 hosts that together send an upstream, in some 4 s, more than one and a half
/// times the limit that it names and five requests, whatever the hosts send and whenever they learn of the limit.
#[test]
fn shares_of_a_named_limit_stay_within_the_bound() {
    for (hosts, limit) in [
        (1_u32, "4"),
        (3, "0.5"),
        (9, "5.2"),
        (9, "10.2"),
        (25, "10"),
        (25, "40"),
        (300, "10"),
        (300, "0.5"),
        (300, "400"),
    ] {
        let start = Instant::now();
        let rate = limit.parse().expect("valid rate");
        let mut limiters: Vec<_> = (0..hosts)
            .map(|number| RateLimiter::new(start, rate, f64::from(number) / f64::from(hosts)))
            .collect();
        let names = self::hosts(hosts as usize);
        let mut divisions = Vec::new();
        let mut sent = Vec::new();
        for step in 0..2_000_u64 {
            let now = start + Duration::from_millis(10 * step);
            // All hosts are idle for 5 s, then all of them want to send as much as they may.
            let time = Duration::from_millis(10 * step);
            if step % 1_000 == 0 {
                let division = |own| Division::of_host(time, names.iter(), own, "u1");
                divisions = names.iter().map(division).collect();
            }
            for (division, limiter) in divisions.iter().zip(&mut limiters).filter(|_| step > 500) {
                let division = Division {
                    elapsed: Duration::from_millis(step % 1_000 * 10),
                    ..*division
                };
                while limiter.admits(now, division) {
                    limiter.record_sent(now, division);
                    sent.push(now);
                }
            }
        }
        let bound = 1.5 * 4.0 * limit.parse::<f64>().expect("a number") + 5.0;
        for &from in &sent {
            let count = sent
                .iter()
                .filter(|&&at| from <= at && at < from + Duration::from_secs(4))
                .count();
            let count = f64::from(u32::try_from(count).expect("a small number"));
            assert!(
                count <= bound,
                "{hosts} hosts, limit {limit}: {count} requests, {bound} allowed"
            );
        }
        assert!(!sent.is_empty());
    }
}

proptest! {
    /// Guards against more retries in a window than this host's share of the limit, whatever the load.
    #[test]
    fn retries_stay_within_the_bound(steps in prop::collection::vec((0_u16..300, any::<bool>()), 1..400)) {
        let mut now = Instant::now();
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (wait, wants_retry) in steps {
            now += Duration::from_millis(wait.into());
            budget.record_request(now, &LIMITS);
            requests.push(now);
            if wants_retry && budget.try_take(now, &LIMITS, 9) {
                retries.push(now);
            }
        }
        for &end in &retries {
            let is_inside = |at: &&Instant| **at <= end && end < **at + LIMITS.window;
            let retried = retries.iter().filter(is_inside).count();
            let requested = requests.iter().filter(is_inside).count();
            let limit = 0.2 * f64::from(u32::try_from(requested).unwrap()) + 58.0 / 9.0;
            prop_assert!(f64::from(u32::try_from(retried).unwrap()) <= limit);
        }
    }
}

/// Guards against a retry budget that stays exhausted for ever after callers have retried at once.
#[test]
fn exhausted_retry_budget_recovers() {
    let start = Instant::now();
    let mut budget = RetryBudget::default();
    while budget.try_take(start, &LIMITS, 9) {}
    assert!(!budget.try_take(start + Duration::from_secs(5), &LIMITS, 9));
    assert!(budget.try_take(start + Duration::from_secs(11), &LIMITS, 9));
}

/// Replays an overload by two kinds of requests, of which the more urgent one alone fits the share. Guards against a less
/// urgent kind that takes the room of a more urgent one, or that is refused altogether, and against admitting more than
/// the share.
#[test]
fn urgent_requests_fill_a_share_first() {
    let start = Instant::now();
    let class = |priority| RequestClass {
        priority,
        is_first: true,
    };
    let mut mix = ClassMix::new(start);
    for number in 0..400_u64 {
        let now = start + Duration::from_millis(10 * number);
        mix.record(now, class(if number % 4 == 0 { 1 } else { 2 }));
    }
    let (urgent, other) = (mix.probability(class(1), 0.5), mix.probability(class(2), 0.5));
    assert!(urgent > 0.99, "{urgent}");
    assert!((0.3..0.4).contains(&other), "{other}");
    assert!((urgent * 0.25 + other * 0.75 - 0.5).abs() < 0.02);
    let scarce = mix.probability(class(2), 0.2);
    assert!(scarce >= 0.2 * 0.25, "a quarter of the mean at least: {scarce}");
    assert!(mix.probability(class(0), 0.5) <= 0.5, "an unknown class gets the share");
}

/// Guards against callers that come back after a refusal and are refused again for the sake of new ones.
#[test]
fn returning_requests_precede_first_ones_of_their_priority() {
    let start = Instant::now();
    let class = |is_first| RequestClass { priority: 1, is_first };
    let mut mix = ClassMix::new(start);
    for number in 0..300 {
        mix.record(start, class(number % 3 != 0));
    }
    assert!(mix.probability(class(false), 0.4) > 0.99);
    assert!(mix.probability(class(true), 0.4) < 0.2);
}
