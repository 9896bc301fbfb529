//! Cost per unit of the decision code as one size at a time varies.

use std::fs;
use std::hint::black_box;
use std::io::{self, Write};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::placement::{spread, to_f64};
use super::pool::PoolModel;
use crate::fold::{Outcome, RangeTable, State};
use crate::placement::{LoadReport, LoadTable, UpstreamState};
use crate::records::{Envelope, RangeOwner, Record, decode_record, encode_record};
use crate::tables::{Ownership, Pool, Tables};
use crate::types::{HostName, Incarnation, KeyHash, KeyRange, Offset, PoolName, RecordId, Span, UpstreamName};

const REPEATS: usize = 5;
const SEED: u64 = 1;
/// Ranges of one `Assign` record while a table is filled.
const CHUNK: usize = 1_000;
const LOOKUPS: usize = 1_000_000;

/// A cost over one size.
struct Slope {
    name: &'static str,
    /// The size that varies; all others stay.
    size: &'static str,
    unit: &'static str,
    points: Vec<Point>,
    /// Highest cost allowed at the largest size.
    bound: Option<f64>,
}

struct Point {
    size: usize,
    costs: Vec<f64>,
}

/// Measures cost slopes, and prints a table and the same as JSON lines.
///
/// # Errors
///
/// Fails if `out` can't be written or `/proc/self/statm` can't be read.
pub fn run_slope_measures(out: &mut impl Write) -> io::Result<()> {
    // Memory comes first, while the process has freed little that a table could use again.
    let mut slopes = vec![measure_memory()?];
    slopes.push(measure_lookup());
    slopes.extend(measure_fold());
    slopes.extend(measure_plan());
    slopes.push(measure_record());
    print_table(out, &slopes)?;
    print_lines(out, &slopes)
}

fn vary(sizes: &[usize], mut cost: impl FnMut(usize) -> f64) -> Vec<Point> {
    let mut point = |&size: &usize| Point {
        size,
        costs: (0..REPEATS).map(|_| cost(size)).collect(),
    };
    sizes.iter().map(&mut point).collect()
}

fn measure_memory() -> io::Result<Slope> {
    let mut points = Vec::new();
    let mut kept = Vec::new();
    for size in [4_400, 44_000, 440_000] {
        let mut costs = Vec::new();
        for _ in 0..REPEATS {
            // The input is made before and stays, so that only the table's memory counts.
            let input = owners(size, 6_900);
            let before = resident_bytes()?;
            let table = fill_from(&input);
            let grown = resident_bytes()?.saturating_sub(before);
            costs.push(to_f64(grown) / 1_048_576.0);
            kept.push((input, table));
        }
        points.push(Point { size, costs });
    }
    drop(kept);
    Ok(Slope {
        name: "range table, memory",
        size: "ranges",
        unit: "MiB",
        points,
        bound: Some(32.0),
    })
}

/// Resident memory of the process, with the page size of 4 KiB that Linux has on x86-64.
fn resident_bytes() -> io::Result<usize> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).and_then(|field| field.parse::<usize>().ok());
    pages
        .map(|n| n * 4096)
        .ok_or_else(|| io::Error::other("statm has no resident field"))
}

fn upstream(i: usize) -> UpstreamName {
    format!("server-{i:04}").parse().expect("a valid name")
}

fn owners(ranges: usize, upstreams: usize) -> Vec<RangeOwner> {
    let names: Vec<UpstreamName> = (0..upstreams).map(upstream).collect();
    let cells = KeyRange::divide_all(u32::try_from(ranges).expect("a small count"));
    let owner = |(i, range): (usize, KeyRange)| RangeOwner {
        range,
        frozen: Offset(0),
        owner: names[i % upstreams].clone(),
    };
    cells.into_iter().enumerate().map(owner).collect()
}

fn fill_table(ranges: usize, upstreams: usize) -> RangeTable {
    fill_from(&owners(ranges, upstreams))
}

fn fill_from(input: &[RangeOwner]) -> RangeTable {
    let mut table = RangeTable::default();
    for chunk in input.chunks(CHUNK) {
        table.assign_ranges(Offset(1), chunk).expect("free ranges");
    }
    table
}

fn measure_lookup() -> Slope {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let hashes: Vec<KeyHash> = (0..LOOKUPS).map(|_| KeyHash(rng.random())).collect();
    let points = [4_400, 44_000, 440_000].map(|size| {
        let table = fill_table(size, 1_000);
        let cost = || {
            let start = Instant::now();
            for &hash in &hashes {
                black_box(table.find_range(hash));
            }
            nanos(start.elapsed()) / to_f64(LOOKUPS)
        };
        Point {
            size,
            costs: std::iter::repeat_with(cost).take(REPEATS).collect(),
        }
    });
    Slope {
        name: "key lookup",
        size: "ranges",
        unit: "ns",
        points: points.into(),
        bound: Some(300.0),
    }
}

fn nanos(time: Duration) -> f64 {
    time.as_secs_f64() * 1e9
}

/// Sizes of a folded state and of what is folded onto it.
#[derive(Clone, Copy)]
struct FoldSize {
    records: usize,
    ranges: usize,
    upstreams: usize,
    members: usize,
}

fn measure_fold() -> Vec<Slope> {
    let base = FoldSize {
        records: 10_000,
        ranges: 10_000,
        upstreams: 100,
        members: 9,
    };
    let slope = |size, sizes: [usize; 3], set: fn(&mut FoldSize, usize)| {
        let cost = |value| {
            let mut sizes = base;
            set(&mut sizes, value);
            fold_cost(sizes)
        };
        let points = vary(&sizes, cost);
        // At least 100,000 records/s.
        Slope {
            name: "fold with JSON, per record",
            size,
            unit: "ns",
            points,
            bound: Some(10_000.0),
        }
    };
    vec![
        slope("records", [1_000, 10_000, 100_000], |s, n| s.records = n),
        slope("ranges", [1_000, 20_000, 440_000], |s, n| s.ranges = n),
        slope("upstreams", [10, 100, 1_000], |s, n| s.upstreams = n),
        slope("members", [3, 30, 300], |s, n| s.members = n),
    ]
}

/// Time to decode and fold one record, half `Freeze` and half `Assign` of single ranges.
fn fold_cost(sizes: FoldSize) -> f64 {
    let mut state = start_state(sizes);
    let first = state.folded.0 + 1;
    let texts = move_records(sizes, &state);
    let start = Instant::now();
    for (text, offset) in texts.iter().zip(first..) {
        let envelope = decode_record(text).expect("a valid record");
        assert_eq!(state.apply(Offset(offset), &envelope), Outcome::Applied);
    }
    nanos(start.elapsed()) / to_f64(texts.len())
}

fn envelope(body: Record) -> Envelope {
    Envelope {
        id: RecordId::draw(),
        author: "host-000".to_owned(),
        body,
    }
}

fn host(i: usize) -> HostName {
    format!("host-{i:03}").parse().expect("a valid name")
}

fn start_state(sizes: FoldSize) -> State {
    let mut state = State::default();
    let fold = |state: &mut State, body| {
        let offset = Offset(state.folded.0 + 1);
        let outcome = state.apply(offset, &envelope(body));
        assert_eq!(outcome, Outcome::Applied);
        offset
    };
    let pool: PoolName = "pool".parse().expect("a valid name");
    let tables = Tables {
        routes: Vec::new(),
        pools: [(pool.clone(), empty_pool())].into(),
    };
    fold(
        &mut state,
        Record::Publish {
            base: Offset(0),
            tables,
        },
    );
    let mut term = Offset(0);
    for i in 0..sizes.members {
        let join = Record::Join {
            base: state.membership.version.offset,
            host: host(i),
            incarnation: Incarnation(1),
            zone: "zone-0".parse().expect("a valid name"),
            address: ([10, 0, 0, 1], 80).into(),
        };
        let change = fold(&mut state, join);
        if i == 0 {
            let incarnation = Incarnation(1);
            term = fold(
                &mut state,
                Record::Claim {
                    base: Offset(0),
                    host: host(0),
                    incarnation,
                },
            );
        }
        fold(&mut state, Record::Settle { term, change });
    }
    for chunk in owners(sizes.ranges, sizes.upstreams).chunks(CHUNK) {
        let ranges = chunk.to_vec();
        fold(
            &mut state,
            Record::Assign {
                term,
                pool: pool.clone(),
                ranges,
            },
        );
    }
    state
}

fn empty_pool() -> Pool {
    Pool {
        ownership: Ownership::Fenced,
        trusted_refusals: false,
        run_limit: Span::from_millis(1_500),
        upstreams: std::collections::BTreeMap::new(),
    }
}

fn move_records(sizes: FoldSize, state: &State) -> Vec<String> {
    let pool: PoolName = "pool".parse().expect("a valid name");
    let ranges: Vec<KeyRange> = state.ranges[&pool].iter().map(|info| info.range).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let term = state.leader.term;
    let mut texts = Vec::with_capacity(sizes.records);
    for i in 0..sizes.records / 2 {
        let range = ranges[rng.random_range(0..ranges.len())];
        let frozen = Offset(state.folded.0 + 1 + 2 * i as u64);
        let owner = upstream(rng.random_range(0..sizes.upstreams));
        let freeze = Record::Freeze {
            base: Offset(u64::MAX),
            term,
            pool: pool.clone(),
            ranges: vec![range],
        };
        let ranges = vec![RangeOwner { range, frozen, owner }];
        let assign = Record::Assign {
            term,
            pool: pool.clone(),
            ranges,
        };
        for body in [freeze, assign] {
            texts.push(encode_record(&envelope(body)).expect("a short record"));
        }
    }
    texts
}

fn measure_plan() -> Vec<Slope> {
    let slope = |name, size, points| Slope {
        name,
        size,
        unit: "ms",
        points,
        bound: Some(50.0),
    };
    let by_ranges = |cost: fn(usize, usize) -> f64| vary(&[640, 6_400, 64_000], |n| cost(n, 1_000));
    let by_upstreams = |cost: fn(usize, usize) -> f64| vary(&[10, 100, 1_000], |n| cost(64_000, n));
    vec![
        slope("planning round, balance", "ranges", by_ranges(balance_cost)),
        slope("planning round, balance", "upstreams", by_upstreams(balance_cost)),
        slope("planning round, zone lost", "ranges", by_ranges(loss_cost)),
        slope("planning round, zone lost", "upstreams", by_upstreams(loss_cost)),
    ]
}

fn loaded_pool(ranges: usize, upstreams: usize) -> (PoolModel, LoadReport) {
    let mut pool = PoolModel::new(upstreams, 4);
    pool.ranges = fill_table(ranges, upstreams);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let rates = pool
        .ranges
        .iter()
        .map(|info| (info.range, 2_000.0 * rng.random::<f64>().powi(4)));
    let mut loads = LoadReport {
        ranges: rates.collect(),
        ..LoadReport::default()
    };
    for info in pool.ranges.iter().step_by(64) {
        loads.hot.insert(info.range.first, 1_000.0);
    }
    (pool, loads)
}

fn balance_cost(ranges: usize, upstreams: usize) -> f64 {
    let (mut pool, loads) = loaded_pool(ranges, upstreams);
    plan_cost(&mut pool, &loads)
}

fn loss_cost(ranges: usize, upstreams: usize) -> f64 {
    let (mut pool, loads) = loaded_pool(ranges, upstreams);
    pool.set_zone("zone-0", UpstreamState::Lost);
    plan_cost(&mut pool, &loads)
}

fn plan_cost(pool: &mut PoolModel, loads: &LoadReport) -> f64 {
    let start = Instant::now();
    let moves = black_box(pool.plan(loads, &[]));
    let cost = start.elapsed().as_secs_f64() * 1e3;
    assert!(!moves.is_empty(), "the round of the measure had nothing to plan");
    cost
}

/// Cost of counting one request, with keys that are all different.
fn measure_record() -> Slope {
    let points = vary(&[640, 6_400, 64_000], |size| {
        let ranges = KeyRange::divide_all(u32::try_from(size).expect("a small count"));
        let now = tokio::time::Instant::now();
        let mut table = LoadTable::new(now, Duration::from_secs(20), 1_024);
        let mut rng = Pcg64Mcg::seed_from_u64(SEED);
        let draws: Vec<(KeyRange, KeyHash)> = (0..LOOKUPS)
            .map(|_| (ranges[rng.random_range(0..size)], KeyHash(rng.random())))
            .collect();
        let start = Instant::now();
        for &(range, hash) in &draws {
            table.record(now, range, hash, 1.0);
        }
        nanos(start.elapsed()) / to_f64(LOOKUPS)
    });
    Slope {
        name: "load table, per request",
        size: "ranges",
        unit: "ns",
        points,
        bound: None,
    }
}

/// Least-squares line through all samples.
struct Fit {
    intercept: f64,
    slope: f64,
    /// Part of the variance that the line explains.
    explained: f64,
}

fn fit_line(points: &[Point]) -> Fit {
    let samples = || points.iter().flat_map(|p| p.costs.iter().map(|&c| (to_f64(p.size), c)));
    let count = to_f64(samples().count());
    let mean_x = samples().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = samples().map(|(_, y)| y).sum::<f64>() / count;
    let xx: f64 = samples().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let xy: f64 = samples().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let yy: f64 = samples().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let slope = xy / xx;
    Fit {
        intercept: mean_y - slope * mean_x,
        slope,
        explained: if yy > 0.0 { slope * xy / yy } else { 1.0 },
    }
}

impl Slope {
    /// Bound of the cost at a point; only the largest size has one.
    fn bound_at(&self, point: &Point) -> Option<f64> {
        let largest = self.points.iter().map(|p| p.size).max();
        self.bound.filter(|_| largest == Some(point.size))
    }
}

fn print_table(out: &mut impl Write, slopes: &[Slope]) -> io::Result<()> {
    writeln!(
        out,
        "{:<28} {:<10} {:>8} {:>10} {:>10} {:>10} {:>8} unit",
        "cost", "size", "value", "mean", "least", "most", "bound"
    )?;
    for slope in slopes {
        for point in &slope.points {
            let (mean, least, most) = spread(&point.costs);
            let bound = slope.bound_at(point).map_or_else(|| "-".to_owned(), |b| b.to_string());
            writeln!(
                out,
                "{:<28} {:<10} {:>8} {mean:>10.3} {least:>10.3} {most:>10.3} {bound:>8} {}",
                slope.name, slope.size, point.size, slope.unit
            )?;
        }
        let fit = fit_line(&slope.points);
        writeln!(
            out,
            "{:<28} {:<10} fit: {:.3} + {:.3e} x {}, r2 {:.3}",
            "", "", fit.intercept, fit.slope, slope.size, fit.explained
        )?;
    }
    Ok(())
}

fn print_lines(out: &mut impl Write, slopes: &[Slope]) -> io::Result<()> {
    for slope in slopes {
        let fit = fit_line(&slope.points);
        for point in &slope.points {
            let (mean, least, most) = spread(&point.costs);
            let line = serde_json::json!({
                "cost": slope.name, "size": slope.size, "value": point.size, "unit": slope.unit,
                "mean": mean, "least": least, "most": most, "samples": point.costs.len(),
                "bound": slope.bound_at(point), "intercept": fit.intercept, "slope": fit.slope,
                "explained": fit.explained,
            });
            writeln!(out, "{line}")?;
        }
    }
    Ok(())
}
