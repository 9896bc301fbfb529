use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tokio::time::Instant;

use super::*;
use crate::measure::pool::PoolModel;
use crate::types::KeyHash;

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A pool after its initial assignment.
fn assigned(count: usize) -> PoolModel {
    let mut pool = PoolModel::new(count, 4);
    pool.step(&LoadReport::default());
    pool
}

/// Reports a load for each range of the table, drawn by `draw` from the range's first hash.
fn report(pool: &PoolModel, draw: impl Fn(u64) -> f64) -> LoadReport {
    let ranges = pool.ranges.iter().map(|info| (info.range, draw(info.range.first.0)));
    LoadReport {
        ranges: ranges.collect(),
        hot: BTreeMap::new(),
    }
}

/// A load in proportion to width, changed by up to `noise` in a way that looks random.
fn noisy(pool: &PoolModel, total: f64, noise: f64, round: u64) -> LoadReport {
    let mut loads = report(pool, |_| 0.0);
    for (range, rate) in &mut loads.ranges {
        let mut bytes = range.first.0.to_le_bytes().to_vec();
        bytes.extend(round.to_le_bytes());
        let unit = to_float(KeyHash::of(&bytes).0.into()) / to_float(SPACE);
        *rate = total * to_float(range.width()) / to_float(SPACE) * (1.0 + noise * (2.0 * unit - 1.0));
    }
    loads
}

fn owned_widths(pool: &PoolModel) -> BTreeMap<UpstreamName, f64> {
    let mut widths: BTreeMap<UpstreamName, f64> = pool.upstreams.keys().map(|n| (n.clone(), 0.0)).collect();
    for info in pool.ranges.iter() {
        *widths.entry(info.owner.clone()).or_default() += to_float(info.range.width()) / to_float(SPACE);
    }
    widths
}

fn state() -> impl Strategy<Value = UpstreamState> {
    prop_oneof![
        4 => Just(UpstreamState::Serving),
        1 => (1..5_u32).prop_map(|limit| UpstreamState::Ramping { limit }),
        1 => Just(UpstreamState::Lost),
        1 => Just(UpstreamState::Leaving),
        1 => Just(UpstreamState::Out),
    ]
}

/// State changes by round: which upstream, and what it becomes.
fn changes() -> impl Strategy<Value = Vec<(usize, UpstreamState)>> {
    prop::collection::vec((0..9_usize, state()), 1..30)
}

/// Rounds with state changes and uneven loads; returns the moves of each round.
fn run_changes(pool: &mut PoolModel, changes: &[(usize, UpstreamState)], seed: u64) -> Vec<Vec<RangeMove>> {
    let mut rounds = Vec::new();
    for (&(index, state), round) in changes.iter().zip(seed..) {
        pool.set_state(index, state);
        let loads = noisy(pool, 9_000.0, 0.9, round);
        rounds.push(pool.step(&loads));
    }
    rounds
}

/// Tells whether an upstream may own ranges, written apart from the planner's own rule.
fn serves(pool: &PoolModel, name: &UpstreamName) -> bool {
    let state = pool.upstreams[name].state;
    !matches!(state, UpstreamState::Lost | UpstreamState::Leaving | UpstreamState::Out)
}

fn covers_space(pool: &PoolModel) -> bool {
    pool.ranges.iter().map(|info| info.range.width()).sum::<u128>() == SPACE
}

proptest! {
    #![proptest_config(config(32))]

    /// Guards against a key that loses its owner to an upstream that can't serve it, and against
    /// a range that is left without an owner while another upstream serves.
    #[test]
    fn owners_always_serve(changes in changes(), seed: u32) {
        let mut pool = PoolModel::new(9, 4);
        for (change, round) in changes.iter().zip(u64::from(seed)..) {
            for moved in run_changes(&mut pool, &[*change], round).concat() {
                prop_assert!(serves(&pool, &moved.to), "{moved:?}");
            }
            if pool.upstreams.keys().any(|name| serves(&pool, name)) {
                prop_assert!(covers_space(&pool));
                for info in pool.ranges.iter() {
                    prop_assert!(serves(&pool, info.owner), "{info:?}");
                }
            }
        }
    }

    /// Guards against churn beyond the budget, and against a range that bounces.
    #[test]
    fn balance_keeps_budget_and_hold(hot in prop::collection::vec((0..600_usize, 1.0..50.0), 1..20), seed: u32) {
        let mut pool = assigned(9);
        let mut moved: Vec<(Instant, RangeMove)> = Vec::new();
        for round in 0..90 {
            let mut loads = noisy(&pool, 9_000.0, 0.3, u64::from(seed) + round);
            for (index, factor) in &hot {
                let count = loads.ranges.len();
                loads.ranges.values_mut().nth(index % count).into_iter().for_each(|rate| *rate *= factor);
            }
            let now = pool.now;
            for item in pool.step(&loads) {
                prop_assert_eq!(item.cause, MoveCause::Balance);
                let bounced = moved.iter().find(|(t, m)| now < *t + Duration::from_mins(1) && m.range.overlaps(item.range));
                prop_assert!(bounced.is_none(), "{:?} after {:?}", item, bounced);
                moved.push((now, item));
            }
            let recent = moved.iter().filter(|(t, _)| now < *t + Duration::from_secs(10));
            let width: u128 = recent.map(|(_, m)| m.range.width()).sum();
            prop_assert!(to_float(width) <= 0.01 * to_float(SPACE), "{width}");
        }
    }

    /// Guards against hosts that plan differently from the same state after a change of leader.
    #[test]
    fn rounds_are_deterministic(changes in changes(), seed: u32) {
        let mut first = PoolModel::new(9, 4);
        let mut second = PoolModel::new(9, 4);
        second.now = first.now + Duration::from_millis(1_234);
        let moves = run_changes(&mut first, &changes, seed.into());
        prop_assert_eq!(moves, run_changes(&mut second, &changes, seed.into()));
    }

    /// Guards against moves that chase the noise of the averages.
    #[test]
    fn noise_moves_nothing(total in 0.0..100_000.0, seed: u32) {
        let mut pool = assigned(9);
        for round in 0..30 {
            let loads = noisy(&pool, total, 0.3, u64::from(seed) + round);
            let moves = pool.step(&loads);
            prop_assert!(moves.is_empty(), "{moves:?}");
        }
    }

    /// Guards against plans that the fold rejects, or ranges left behind, while earlier moves are
    /// still on their way and upstreams come and go.
    #[test]
    fn delayed_moves_fit_together(changes in changes(), seed: u32) {
        let mut pool = PoolModel::new(9, 4);
        let mut pending: Vec<(usize, RangeMove)> = Vec::new();
        for (round, &(index, state)) in changes.iter().chain(&[(0, UpstreamState::Serving); 8]).enumerate() {
            pool.set_state(index, state);
            let serving = |m: &RangeMove| serves(&pool, &m.to);
            pending.retain(|(_, m)| serving(m));
            let (due, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(start, _)| start + 2 <= round);
            pool.apply(&due.into_iter().map(|(_, m)| m).collect::<Vec<_>>());
            pending = rest;
            let known: Vec<RangeMove> = pending.iter().map(|(_, m)| m.clone()).collect();
            let loads = noisy(&pool, 9_000.0, 0.9, u64::from(seed) + round as u64);
            for planned in pool.plan(&loads, &known) {
                prop_assert!(known.iter().all(|m| !m.range.overlaps(planned.range)), "{planned:?}");
                pending.push((round, planned));
            }
            pool.now += Duration::from_secs(1);
        }
        prop_assert!(covers_space(&pool));
        for info in pool.ranges.iter() {
            prop_assert!(serves(&pool, info.owner), "{info:?}");
        }
    }

    /// Guards against a pending move that is planned a second time, and against one that stays
    /// bound for an upstream that was lost meanwhile.
    #[test]
    fn pending_moves_count_as_done(lost in 0..9_usize, next in 0..9_usize) {
        let mut pool = assigned(9);
        pool.set_state(lost, UpstreamState::Lost);
        let loads = LoadReport::default();
        let pending = pool.plan(&loads, &[]);
        prop_assert!(pool.plan(&loads, &pending).is_empty());
        pool.set_state(next, UpstreamState::Lost);
        let name = pool.upstreams.keys().nth(next).unwrap().clone();
        let again = pool.plan(&loads, &pending);
        let freed: BTreeSet<KeyRange> = pending.iter().filter(|m| m.to == name).map(|m| m.range).collect();
        let planned: BTreeSet<KeyRange> = again.iter().map(|m| m.range).collect();
        prop_assert!(planned.is_superset(&freed));
        prop_assert!(again.iter().all(|m| m.to != name));
    }
}

proptest! {
    #![proptest_config(config(6))]

    /// Guards against balance that never comes to rest, or rests far from even.
    #[test]
    fn balance_converges(factors in prop::collection::vec(0.2..3.0, 16)) {
        let mut pool = assigned(6);
        // The load of a hash depends on its place only, so moves don't change the total.
        let density = |first: u64| factors[usize::try_from(first >> 60).unwrap()];
        let loads = |pool: &PoolModel| {
            let mut loads = report(pool, density);
            loads.ranges.iter_mut().for_each(|(range, rate)| *rate *= 60_000.0 * to_float(range.width()) / to_float(SPACE));
            loads
        };
        for _ in 0..400 {
            let loads = loads(&pool);
            pool.step(&loads);
        }
        for _ in 0..70 {
            let loads = loads(&pool);
            let moves = pool.step(&loads);
            prop_assert!(moves.is_empty(), "{moves:?}");
        }
        let rates = loads(&pool).ranges;
        let mut by_owner: BTreeMap<&UpstreamName, f64> = BTreeMap::new();
        for info in pool.ranges.iter() {
            *by_owner.entry(info.owner).or_default() += rates[&info.range];
        }
        let mean = by_owner.values().sum::<f64>() / 6.0;
        let most = by_owner.values().copied().fold(0.0, f64::max);
        prop_assert!(most <= 1.12 * mean, "{most} over {mean}");
    }
}

/// Guards against an uneven start, and against neighbours that a zone outage takes together.
#[test]
fn initial_ranges_are_even() {
    let pool = assigned(13);
    assert_eq!(pool.ranges.len(), 13 * 64);
    assert!(owned_widths(&pool).values().all(|w| (w * 13.0 - 1.0).abs() < 0.02));
    let zones: Vec<&Zone> = pool
        .ranges
        .iter()
        .map(|info| &pool.upstreams[info.owner].zone)
        .collect();
    let same = zones.windows(2).filter(|pair| pair[0] == pair[1]).count();
    assert!(same < zones.len() / 5, "{same} of {}", zones.len());
}

/// Guards against a new server that stays empty because nobody is above the threshold.
#[test]
fn new_server_is_filled() {
    let mut pool = assigned(13);
    pool.upstreams = PoolModel::new(14, 4).upstreams;
    for round in 0..200 {
        let loads = noisy(&pool, 9_000.0, 0.1, round);
        pool.step(&loads);
    }
    let widths = owned_widths(&pool);
    assert!(widths.values().all(|w| (0.85..1.1).contains(&(w * 14.0))), "{widths:?}");
}

/// Guards against ranges without a report that count as idle and draw more load to their owner.
#[test]
fn missing_loads_are_estimated() {
    let mut pool = assigned(9);
    let owner = pool.upstreams.keys().next().unwrap().clone();
    let mut loads = noisy(&pool, 9_000.0, 0.0, 0);
    let silent = pool.ranges.iter().filter(|info| *info.owner == owner).step_by(2);
    for info in silent {
        loads.ranges.remove(&info.range);
    }
    assert_eq!(pool.step(&loads), []);
}

/// Guards against a cold server that gets its whole share at once.
#[test]
fn ramp_bounds_returning_server() {
    let mut pool = assigned(6);
    pool.set_state(0, UpstreamState::Lost);
    pool.step(&LoadReport::default());
    for limit in 1..=4 {
        pool.set_state(0, UpstreamState::Ramping { limit });
        for round in 0..120 {
            let loads = noisy(&pool, 9_000.0, 0.0, round);
            pool.step(&loads);
            let width = owned_widths(&pool).values().next().copied().unwrap();
            assert!(width <= f64::from(limit) / 4.0 / 6.0 * 1.0001, "{width} at {limit}");
        }
    }
    assert!(owned_widths(&pool).values().next().unwrap() * 6.0 > 0.85);
}

/// Guards against ownership that follows a server which fails again and again.
#[test]
fn unstable_server_gets_nothing_for_balance() {
    let mut pool = assigned(6);
    for _ in 0..2 {
        pool.set_state(0, UpstreamState::Lost);
        pool.step(&LoadReport::default());
        // Taken out while it is away, which is no second loss.
        pool.set_state(0, UpstreamState::Out);
        pool.step(&LoadReport::default());
        pool.set_state(0, UpstreamState::Serving);
        pool.step(&LoadReport::default());
    }
    for round in 0..590 {
        let loads = noisy(&pool, 9_000.0, 0.1, round);
        assert!(pool.step(&loads).is_empty());
    }
    for round in 0..90 {
        let loads = noisy(&pool, 9_000.0, 0.1, round);
        pool.step(&loads);
    }
    assert!(owned_widths(&pool).values().next().unwrap() > &0.0);
}

/// Guards against hot keys of one range that can't be separated.
#[test]
fn hot_key_moves_alone() {
    let mut pool = assigned(6);
    let range = pool.ranges.iter().nth(5).unwrap().range;
    let hashes = [77, 99].map(|offset| KeyHash(range.first.0 + offset));
    let mut loads = noisy(&pool, 6_000.0, 0.0, 0);
    *loads.ranges.get_mut(&range).unwrap() += 800.0;
    loads.hot.extend(hashes.into_iter().zip([500.0, 300.0]));
    let moves = pool.step(&loads);
    let single = |m: &RangeMove| hashes.contains(&m.range.first) && m.range.width() == 1;
    assert_eq!(moves.iter().filter(|m| single(m)).count(), 1, "{moves:?}");
}

/// Guards against a table that grows with every change of the hot keys.
#[test]
fn cold_fragments_are_merged() {
    let mut pool = assigned(3);
    let ranges: Vec<KeyRange> = pool.ranges.iter().map(|info| info.range).collect();
    let names: Vec<UpstreamName> = pool.upstreams.keys().cloned().collect();
    let single = |range: &KeyRange| {
        let hash = KeyHash(range.first.0 + 5);
        KeyRange {
            first: hash,
            last: hash,
        }
    };
    let scatter = |(i, range): (usize, &KeyRange)| RangeMove {
        range: single(range),
        from: Some(names[0].clone()),
        to: names[i % 3].clone(),
        cause: MoveCause::Balance,
    };
    let moves: Vec<RangeMove> = ranges.iter().enumerate().map(scatter).collect();
    pool.apply(&moves);
    assert!(pool.ranges.len() > 3 * 160);
    for round in 0..300 {
        let loads = noisy(&pool, 9_000.0, 0.0, round);
        pool.step(&loads);
    }
    assert!(pool.ranges.len() <= 3 * 80, "{}", pool.ranges.len());
    assert!(covers_space(&pool));
}

/// Guards against a range that stays frozen because the leader that froze it is gone.
#[test]
fn abandoned_freeze_is_ended() {
    let mut pool = assigned(3);
    let info = pool.ranges.iter().next().unwrap();
    let (range, owner) = (info.range, info.owner.clone());
    let offset = pool.next_offset();
    pool.ranges.freeze_ranges(offset, offset, &[range]).unwrap();
    let moves = pool.plan(&LoadReport::default(), &[]);
    let expected = RangeMove {
        range,
        from: Some(owner.clone()),
        to: owner,
        cause: MoveCause::Balance,
    };
    assert_eq!(moves, [expected]);
}

/// Guards against a sketch that grows with the number of keys or misses a hot one.
#[test]
fn sketch_is_bounded_and_finds_hot_keys() {
    let now = Instant::now();
    let mut table = LoadTable::new(now, Duration::from_secs(20), 64);
    for i in 0..40_000_u64 {
        let hash = KeyHash::of(&(if i % 10 == 0 { 0 } else { i }).to_le_bytes());
        table.record(now + Duration::from_millis(i), KeyRange::ALL, hash, 1.0);
    }
    assert!(table.len() <= 65);
    let later = now + Duration::from_secs(40);
    let report = table.report(later, 10);
    let hot = report.hot[&KeyHash::of(&0_u64.to_le_bytes())];
    // 1,000 requests/s for two windows: the average reaches 1 - e^-2 of it.
    assert!((70.0..105.0).contains(&hot), "{hot}");
    assert!((850.0..880.0).contains(&report.ranges[&KeyRange::ALL]), "{report:?}");
}

/// Guards against loads that never fade, and against hosts whose loads aren't added up.
#[test]
fn loads_decay_and_add_up() {
    let now = Instant::now();
    let mut table = LoadTable::new(now, Duration::from_secs(20), 8);
    for _ in 0..100 {
        table.record(now, KeyRange::ALL, KeyHash(1), 1.0);
    }
    let mut sum = table.report(now, 10);
    sum.merge(&table.report(now, 10));
    assert!((sum.ranges[&KeyRange::ALL] - 10.0).abs() < 1e-9);
    let later = now + Duration::from_secs(2_000);
    table.record(later, KeyRange::ALL, KeyHash(2), 1.0);
    let faded = table.report(later, 10);
    assert!((faded.ranges[&KeyRange::ALL] - 0.05).abs() < 1e-9, "{faded:?}");
}
