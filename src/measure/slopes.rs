//! Cost per unit of the decision code as one size at a time varies.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::hint::black_box;
use std::io::{self, Write};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::placement::{spread, to_f64};
use super::pool::PoolModel;
use crate::admission::{
    Admission, Broker, Capacity, CreditHolder, Demand, HomeTerm, Lend, Outcome as End, Report as CreditReport, Sample,
    Step, home_host,
};
use crate::choice::{LatencyAverage, Load, pick_upstream};
use crate::counts::{Ledger, Period};
use crate::fold::{Member, Membership, Outcome, RangeTable, State, Version};
use crate::membership::Report;
use crate::once::{ClaimKey, Fingerprint, Register, RegisterLimits, RequestKey, Vote};
use crate::peer::Heartbeat;
use crate::placement::{LoadReport, LoadTable, UpstreamState};
use crate::records::{Envelope, RangeOwner, Record, decode_record, encode_record};
use crate::tables::{Ownership, Pool, Priority, Tables};
use crate::types::{
    Caller, HostName, Incarnation, Instance, KeyHash, KeyRange, Offset, PoolName, RecordId, RequestId, RouteName, Span,
    UpstreamName, Verdict,
};

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
    let mut slopes = vec![
        measure_memory("ranges", [(4_400, 6_900), (44_000, 6_900), (440_000, 6_900)])?,
        measure_memory("upstreams", [(100_000, 69), (100_000, 690), (100_000, 6_900)])?,
        measure_register_memory()?,
        measure_counts_memory()?,
    ];
    slopes.extend(measure_lookup());
    slopes.push(measure_frozen());
    slopes.extend(measure_fold());
    slopes.extend(measure_plan());
    slopes.push(measure_record());
    slopes.extend(measure_admission());
    slopes.extend(measure_choice());
    slopes.push(measure_register());
    slopes.extend(measure_counts());
    slopes.extend(measure_heartbeat());
    writeln!(out, "load average: {}", fs::read_to_string("/proc/loadavg")?.trim())?;
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

/// Measures the memory of tables with numbers of ranges and upstreams.
fn measure_memory(size: &'static str, tables: [(usize, usize); 3]) -> io::Result<Slope> {
    let mut points = Vec::new();
    let mut kept = Vec::new();
    for (ranges, upstreams) in tables {
        let mut costs = Vec::new();
        for _ in 0..REPEATS {
            // The input is made before and stays, so that only the table's memory counts.
            let input = owners(ranges, upstreams);
            let before = resident_bytes()?;
            let table = fill_from(&input);
            costs.push(to_f64(grown_bytes(before)?) / 1_048_576.0);
            kept.push((input, table));
        }
        let size = if size == "ranges" { ranges } else { upstreams };
        points.push(Point { size, costs });
    }
    // Memory that is given back would serve the next table without growth of the process.
    std::mem::forget(kept);
    Ok(Slope {
        name: "range table, memory",
        size,
        unit: "MiB",
        points,
        bound: Some(32.0),
    })
}

fn grown_bytes(before: usize) -> io::Result<usize> {
    resident_bytes().map(|now| now.saturating_sub(before))
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

/// Measures lookups beside a single ordered map, each repetition of both in turn.
fn measure_lookup() -> [Slope; 2] {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let hashes: Vec<KeyHash> = (0..LOOKUPS).map(|_| KeyHash(rng.random())).collect();
    let mut points = [Vec::new(), Vec::new()];
    for size in [4_400, 44_000, 440_000] {
        let table = fill_table(size, 1_000);
        let map = single_map(&table);
        let mut costs = [Vec::new(), Vec::new()];
        for _ in 0..REPEATS {
            costs[0].push(lookup_cost(&hashes, |hash| table.find_range(hash)));
            costs[1].push(lookup_cost(&hashes, |hash| map.range(..=hash).next_back()));
        }
        for (points, costs) in points.iter_mut().zip(costs) {
            points.push(Point { size, costs });
        }
    }
    let [table, map] = points;
    let slope = |name, points, bound| Slope {
        name,
        size: "ranges",
        unit: "ns",
        points,
        bound,
    };
    [
        slope("key lookup", table, Some(300.0)),
        slope("key lookup, one BTreeMap", map, None),
    ]
}

fn lookup_cost<T>(hashes: &[KeyHash], find: impl Fn(KeyHash) -> T) -> f64 {
    let start = Instant::now();
    for &hash in hashes {
        black_box(find(hash));
    }
    nanos(start.elapsed()) / to_f64(hashes.len())
}

/// A range as the table kept it before it had buckets, 24 bytes.
struct SingleEntry {
    _last: KeyHash,
    _epoch: Offset,
    _owner: u32,
    _frozen: bool,
}

fn single_map(table: &RangeTable) -> BTreeMap<KeyHash, SingleEntry> {
    let entry = |info: crate::fold::RangeInfo| SingleEntry {
        _last: info.range.last,
        _epoch: info.epoch,
        _owner: 0,
        _frozen: info.frozen.is_some(),
    };
    table.iter().map(|info| (info.range.first, entry(info))).collect()
}

/// Time to list 100 frozen ranges.
fn measure_frozen() -> Slope {
    let points = vary(&[4_400, 44_000, 440_000], |size| {
        let mut table = fill_table(size, 1_000);
        let some: Vec<KeyRange> = table.iter().step_by(size / 100).map(|info| info.range).collect();
        table.freeze_ranges(Offset(2), Offset(1), &some).expect("served ranges");
        let start = Instant::now();
        assert_eq!(black_box(table.frozen().count()), some.len());
        nanos(start.elapsed()) / 1e3
    });
    Slope {
        name: "list of 100 frozen ranges",
        size: "ranges",
        unit: "us",
        points,
        bound: None,
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

fn instance(i: usize) -> Instance {
    Instance {
        host: host(i),
        incarnation: Incarnation(1),
    }
}

fn membership(members: usize) -> Membership {
    let member = |i: usize| Member {
        incarnation: Incarnation(1),
        zone: format!("zone-{}", i % 3).parse().expect("a valid name"),
        address: ([10, 0, 0, 1], 80).into(),
    };
    Membership {
        founder: None,
        version: Version {
            offset: Offset(1),
            author: String::new(),
        },
        members: (0..members).map(|i| (host(i), member(i))).collect(),
        settled: true,
    }
}

fn caller(i: usize) -> Caller {
    format!("caller-{i:05}").parse().expect("a valid name")
}

const REPORTS: usize = 2_000;

/// One upstream's broker and the holders of all hosts; every host always has requests.
struct CreditWorld {
    broker: Broker,
    holders: Vec<CreditHolder>,
    now: tokio::time::Instant,
}

impl CreditWorld {
    fn new(hosts: usize, slots: usize) -> Self {
        let now = tokio::time::Instant::now();
        let term = HomeTerm {
            round: 1,
            host: host(0),
        };
        let slots = u32::try_from(slots).expect("a small count");
        let capacity = Capacity {
            slots,
            connections: 2 * slots,
        };
        let mut broker = Broker::new(upstream(0), term.clone(), capacity, [], now, now);
        broker.tick(now);
        let holder = |i| {
            let mut holder = CreditHolder::new(upstream(0), instance(i), 1 << 20);
            holder.set_home(term.clone(), now);
            holder
        };
        Self {
            broker,
            holders: (0..hosts).map(holder).collect(),
            now,
        }
    }

    /// Takes reports to the broker until no messages are left; gives the number of reports.
    fn deliver(&mut self, steps: Vec<Step>) -> usize {
        let mut reports: Vec<CreditReport> = sent(steps);
        let mut count = 0;
        while let Some(report) = reports.pop() {
            count += 1;
            for lend in self.broker.hear(&report, self.now) {
                reports.extend(sent(self.hear(&lend)));
            }
        }
        count
    }

    fn hear(&mut self, lend: &Lend) -> Vec<Step> {
        let holder = self.holders.iter_mut().find(|p| *p.owner() == lend.to);
        holder.expect("a holder per host").hear(lend, self.now)
    }
}

fn sent(steps: Vec<Step>) -> Vec<CreditReport> {
    let report = |step| match step {
        Step::Send(report) => Some(report),
        Step::Start(..) | Step::Refuse(..) => None,
    };
    steps.into_iter().filter_map(report).collect()
}

fn answered() -> Sample {
    Sample {
        outcome: End::Answered,
        latency: Duration::from_millis(5),
        connection_age: Duration::ZERO,
        incarnation: None,
    }
}

/// Time of the broker for one report while requests of `callers` wait at each of `hosts`.
fn broker_cost(hosts: usize, callers: usize) -> f64 {
    let mut world = CreditWorld::new(hosts, 4);
    for index in 0..hosts {
        for i in 0..callers {
            let demand = demand(i, world.now);
            let (_, steps) = world.holders[index].admit(&demand, world.now);
            world.deliver(steps);
        }
    }
    let mut spent = Duration::ZERO;
    let mut heard = 0;
    for i in 0..REPORTS {
        world.now += Duration::from_millis(100).div_f64(to_f64(hosts));
        let mut reports = sent(world.holders[i % hosts].tick(world.now));
        while let Some(report) = reports.pop() {
            let start = Instant::now();
            let lends = world.broker.hear(&report, world.now);
            spent += start.elapsed();
            heard += 1;
            for lend in &lends {
                world.hear(lend);
            }
        }
    }
    nanos(spent) / to_f64(heard.max(1))
}

fn demand(i: usize, now: tokio::time::Instant) -> Demand {
    Demand {
        priority: Priority::Normal,
        caller: caller(i),
        deadline: now + Duration::from_hours(1),
    }
}

/// Time of a holder to admit and release one request while `running` others run.
fn holder_cost(running: usize) -> f64 {
    let mut world = CreditWorld::new(1, running + 1);
    let mut permits = Vec::new();
    for i in 0..=running {
        let demand = demand(i, world.now);
        let (admission, steps) = world.holders[0].admit(&demand, world.now);
        if let Admission::Start(permit) = admission {
            permits.push(permit);
        }
        world.deliver(steps);
    }
    let request = demand(0, world.now);
    assert_eq!(world.holders[0].running() as usize, running + 1, "all requests run");
    let mut spent = Duration::ZERO;
    for _ in 0..REPORTS {
        world.now += Duration::from_micros(100);
        let start = Instant::now();
        let mut steps = match permits.pop() {
            Some(permit) => world.holders[0].release(permit, answered(), world.now),
            None => Vec::new(),
        };
        let (admission, more) = world.holders[0].admit(&request, world.now);
        spent += start.elapsed();
        steps.extend(more);
        if let Admission::Start(permit) = admission {
            permits.push(permit);
        }
        // Reports that nobody answers would keep all samples and grow.
        world.deliver(steps);
    }
    nanos(spent) / to_f64(REPORTS)
}

fn measure_admission() -> Vec<Slope> {
    let slope = |name, size, points| Slope {
        name,
        size,
        unit: "ns",
        points,
        bound: None,
    };
    vec![
        slope(
            "broker, per report",
            "members",
            vary(&[3, 30, 300], |n| broker_cost(n, 1)),
        ),
        slope(
            "broker, per report",
            "callers",
            vary(&[1, 10, 100], |n| broker_cost(9, n)),
        ),
        slope("holder, per request", "in flight", vary(&[4, 64, 1_000], holder_cost)),
    ]
}

/// Time of one choice, with all upstreams usable and with one in 50.
fn measure_choice() -> Vec<Slope> {
    let slope = |name, step: usize| Slope {
        name,
        size: "upstreams",
        unit: "ns",
        points: vary(&[10, 100, 1_000], |n| choice_cost(n, step)),
        bound: Some(2_000.0),
    };
    vec![slope("choice, all usable", 1), slope("choice, 1 in 50 usable", 50)]
}

fn choice_cost(upstreams: usize, step: usize) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let now = tokio::time::Instant::now();
    let load = |_| {
        let mut latency = LatencyAverage::default();
        latency.record(Duration::from_micros(rng.random_range(500..5_000)), now);
        Load {
            in_flight: rng.random_range(0..8),
            latency,
        }
    };
    let loads: Vec<Load> = (0..upstreams).map(load).collect();
    let rounds = LOOKUPS / 10;
    let start = Instant::now();
    for _ in 0..rounds {
        black_box(pick_upstream(&loads, |i| i % step == 0, now, &mut rng));
    }
    nanos(start.elapsed()) / to_f64(rounds)
}

fn register() -> Register {
    let limits = RegisterLimits::default();
    let mut register = Register::new(instance(0), limits);
    register.set_members(&membership(9), tokio::time::Instant::now());
    register.accept_loss();
    register
}

fn claims(count: usize) -> Vec<ClaimKey> {
    let claim = |i| ClaimKey {
        version: Offset(1),
        key: RequestKey {
            caller: caller(i % 1_000),
            route: "renovaciones".parse::<RouteName>().expect("a valid name"),
            key: Arc::from(RequestId::draw().to_string()),
        },
        fingerprint: Fingerprint { hash: i as u64 },
        attempt: RequestId::draw(),
        coordinator: instance(i % 9),
    };
    (0..count).map(claim).collect()
}

fn claim_all(register: &mut Register, claims: &[ClaimKey]) {
    let now = tokio::time::Instant::now();
    for claim in claims {
        let vote = register.claim(claim, now).vote;
        assert!(matches!(vote, Vote::Accepted { .. }), "the key is free");
    }
}

/// Memory of a register per key; keys and names come from decoded messages and count in full.
fn measure_register_memory() -> io::Result<Slope> {
    let mut points = Vec::new();
    let mut kept = Vec::new();
    for size in [4_000, 40_000, 400_000] {
        let mut costs = Vec::new();
        for _ in 0..REPEATS {
            let before = resident_bytes()?;
            let mut register = register();
            for _ in 0..size / 1_000 {
                // The register shares the names and keys of the claims, so they stay when these go.
                claim_all(&mut register, &claims(1_000));
            }
            costs.push(to_f64(grown_bytes(before)?) / to_f64(size));
            kept.push(register);
        }
        points.push(Point { size, costs });
    }
    std::mem::forget(kept);
    Ok(Slope {
        name: "register, memory per key",
        size: "keys",
        unit: "B",
        points,
        bound: None,
    })
}

fn measure_register() -> Slope {
    let points = vary(&[4_000, 40_000, 400_000], |size| {
        let claims = claims(size);
        let mut register = register();
        let start = Instant::now();
        claim_all(&mut register, &claims);
        nanos(start.elapsed()) / to_f64(size)
    });
    Slope {
        name: "register, per claim",
        size: "keys",
        unit: "ns",
        points,
        bound: None,
    }
}

fn ledger() -> Ledger {
    let zone = "zone-0".parse().expect("a valid name");
    let wall = SystemTime::now();
    let closed = Period::of(wall).previous();
    Ledger::new(instance(0), zone, closed, wall, tokio::time::Instant::now())
}

/// Counts requests of callers on one route, each admitted and ended.
fn count_requests(ledger: &mut Ledger, callers: &[Caller], requests: usize) {
    let route: RouteName = "placas".parse().expect("a valid name");
    let (wall, now) = (SystemTime::now(), tokio::time::Instant::now());
    for caller in callers.iter().cycle().take(requests) {
        let key = ledger.admit(caller, &route, wall);
        black_box(ledger.finish(&key, Verdict::Ran, true, now));
    }
}

fn measure_counts_memory() -> io::Result<Slope> {
    let mut points = Vec::new();
    let mut kept = Vec::new();
    for size in [1_000, 10_000, 100_000] {
        let callers: Vec<Caller> = (0..size).map(caller).collect();
        let mut costs = Vec::new();
        for _ in 0..REPEATS {
            let before = resident_bytes()?;
            let mut ledger = ledger();
            count_requests(&mut ledger, &callers, size);
            costs.push(to_f64(grown_bytes(before)?) / to_f64(size));
            kept.push(ledger);
        }
        points.push(Point { size, costs });
    }
    std::mem::forget(kept);
    Ok(Slope {
        name: "counts, memory per row",
        size: "callers",
        unit: "B",
        points,
        bound: None,
    })
}

fn measure_counts() -> Vec<Slope> {
    let request = vary(&[100, 1_000, 10_000], |size| {
        let callers: Vec<Caller> = (0..size).map(caller).collect();
        let mut ledger = ledger();
        let start = Instant::now();
        count_requests(&mut ledger, &callers, LOOKUPS / 10);
        nanos(start.elapsed()) / to_f64(LOOKUPS / 10)
    });
    // All rows changed since the last flush.
    let flush = vary(&[100, 1_000, 10_000], |size| {
        let callers: Vec<Caller> = (0..size).map(caller).collect();
        let mut ledger = ledger();
        count_requests(&mut ledger, &callers, size);
        let records = ledger.flush(SystemTime::now(), tokio::time::Instant::now());
        let bytes = |record| serde_json::to_string(record).map_or(0, |text| text.len());
        to_f64(records.iter().map(bytes).sum()) / to_f64(size)
    });
    let slope = |name, unit, points| Slope {
        name,
        size: "callers",
        unit,
        points,
        bound: None,
    };
    vec![
        slope("counts, per request", "ns", request),
        slope("counts, flush per row", "B", flush),
    ]
}

/// Sizes of a heartbeat; its sender is home of its share of the upstreams.
#[derive(Clone, Copy)]
struct BeatSize {
    members: usize,
    upstreams: usize,
    /// Ranges in the report of loads; 0 for a heartbeat without one.
    ranges: usize,
}

fn measure_heartbeat() -> Vec<Slope> {
    let base = BeatSize {
        members: 9,
        upstreams: 100,
        ranges: 0,
    };
    let slope = |size, sizes: [usize; 3], set: fn(&mut BeatSize, usize)| Slope {
        name: "heartbeat",
        size,
        unit: "B",
        points: vary(&sizes, |value| {
            let mut sizes = base;
            set(&mut sizes, value);
            heartbeat_bytes(sizes)
        }),
        bound: None,
    };
    vec![
        slope("members", [3, 30, 300], |s, n| s.members = n),
        slope("upstreams", [70, 690, 6_900], |s, n| s.upstreams = n),
        slope("ranges", [40, 400, 4_000], |s, n| s.ranges = n),
    ]
}

fn heartbeat_bytes(sizes: BeatSize) -> f64 {
    let hosts: Vec<HostName> = (0..sizes.members).map(host).collect();
    let term = HomeTerm {
        round: 1,
        host: host(0),
    };
    let homes = (0..sizes.upstreams).map(upstream);
    let homes = homes.filter(|name| home_host(name, &hosts) == Some(&hosts[0]));
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let load = |range: KeyRange| (range, 1_000.0 * rng.random::<f64>());
    let report = (sizes.ranges > 0).then(|| LoadReport {
        ranges: KeyRange::divide_all(u32::try_from(sizes.ranges).expect("a small count"))
            .into_iter()
            .map(load)
            .collect(),
        ..LoadReport::default()
    });
    let pool: PoolName = "pool".parse().expect("a valid name");
    let beat = Heartbeat {
        report: Report {
            register_votes: true,
            sender: instance(0),
            folded: Offset(1_000_000),
            leads: None,
            has_lease: true,
        },
        acks: Vec::new(),
        unreachable: BTreeSet::new(),
        homes: homes.map(|name| (name, term.clone())).collect(),
        loads: report.map(|report| [(pool, report)].into()),
    };
    to_f64(rmp_serde::to_vec_named(&beat).expect("a message").len())
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

fn median(costs: &[f64]) -> f64 {
    let mut sorted = costs.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

fn print_table(out: &mut impl Write, slopes: &[Slope]) -> io::Result<()> {
    writeln!(
        out,
        "{:<28} {:<10} {:>8} {:>10} {:>10} {:>10} {:>8} unit",
        "cost", "size", "value", "median", "least", "most", "bound"
    )?;
    for slope in slopes {
        for point in &slope.points {
            let (_, least, most) = spread(&point.costs);
            let median = median(&point.costs);
            let bound = slope.bound_at(point).map_or_else(|| "-".to_owned(), |b| b.to_string());
            writeln!(
                out,
                "{:<28} {:<10} {:>8} {median:>10.3} {least:>10.3} {most:>10.3} {bound:>8} {}",
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
                "mean": mean, "median": median(&point.costs), "least": least, "most": most, "samples": point.costs.len(),
                "bound": slope.bound_at(point), "intercept": fit.intercept, "slope": fit.slope,
                "explained": fit.explained,
            });
            writeln!(out, "{line}")?;
        }
    }
    Ok(())
}
