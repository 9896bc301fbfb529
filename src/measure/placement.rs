//! Imbalance and churn of placement, beside baselines, at the sizes of both deployments.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::baselines::Baseline;
use super::pool::PoolModel;
use crate::placement::{LoadReport, LoadTable, UpstreamState};
use crate::types::{KeyHash, UpstreamName};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const KEYS: usize = 50_000;
/// Requests/s to the pool, over all hosts.
const RATE: usize = 4_000;
const HOSTS: usize = 8;
const WINDOW: Duration = Duration::from_secs(20);
const HOT_KEYS: usize = 180;
/// Part of the load that the hot keys carry, with Zipf weights of exponent 0.9.
const HOT_PART: f64 = 0.3;
const HOT_EXPONENT: f64 = 0.9;
/// Slots of an upstream that came back grow by one in this many seconds.
const RAMP_SECONDS: u32 = 6;
/// Seconds between rounds of planning.
const ROUND: u32 = 2;

/// Size of a service that is sharded by key.
#[derive(Clone, Copy)]
struct Deployment {
    name: &'static str,
    servers: usize,
    slots: u32,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "guatemala-placas",
        servers: 13,
        slots: 4,
    },
    Deployment {
        name: "senegal-cairnindex",
        servers: 14,
        slots: 6,
    },
];

/// A figure over all seeds.
struct Row {
    deployment: &'static str,
    measure: &'static str,
    placement: &'static str,
    values: Vec<f64>,
    target: Option<f64>,
}

/// Measures placement and its baselines, and prints a table and the same as JSON lines.
///
/// # Errors
///
/// Fails if `out` can't be written.
pub fn run_placement_measures(out: &mut impl Write) -> io::Result<()> {
    let mut rows = Vec::new();
    for deployment in DEPLOYMENTS {
        let mut figures = Figures::default();
        for seed in SEEDS {
            measure_planner(deployment, seed, &mut figures);
            measure_baselines(deployment, seed, &mut figures);
        }
        rows.extend(figures.into_rows(deployment));
    }
    print_table(out, &rows)?;
    print_lines(out, &rows)
}

/// What is measured, with its target for the planner.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Measure {
    EvenImbalance,
    HotImbalance,
    /// Imbalance right after the hot keys changed, before any move.
    ShiftImbalance,
    /// Keys that moved within two minutes of a loss, times the number of servers.
    LossChurn,
    /// The same after the hot keys changed, when servers own unequal parts of the space.
    HotLossChurn,
    /// Keys that moved when a zone was taken out, over the part that the zone owned.
    ZoneOutChurn,
    /// Imbalance among the rest while the zone is out.
    ZoneOutImbalance,
    /// Keys that moved within ten minutes of its return, over that part.
    ZoneBackChurn,
    ZoneBackImbalance,
    /// Keys that moved over two outages of 16 s with 20 s between, over that part.
    ZoneFlapChurn,
    /// Ranges per server at the end of a run in which the hot keys changed five times.
    TableGrowth,
}

impl Measure {
    fn describe(self) -> (&'static str, Option<f64>) {
        match self {
            Self::EvenImbalance => ("imbalance, even keys", Some(1.15)),
            Self::HotImbalance => ("imbalance, 120 s after hot keys change", Some(1.25)),
            Self::ShiftImbalance => ("imbalance, hot keys just changed", None),
            Self::LossChurn => ("churn of a loss x n", Some(1.1)),
            Self::HotLossChurn => ("churn of a loss x n, hot keys", Some(1.1)),
            Self::ZoneOutChurn => ("churn of a zone leaving / its share", Some(1.0)),
            Self::ZoneOutImbalance => ("imbalance of the rest, zone out", None),
            Self::ZoneBackChurn => ("churn of its return / its share", Some(1.0)),
            Self::ZoneBackImbalance => ("imbalance, 600 s after its return", Some(1.15)),
            Self::ZoneFlapChurn => ("churn of two short outages / its share", None),
            Self::TableGrowth => ("ranges per server after 5 hot key changes", None),
        }
    }
}

#[derive(Default)]
struct Figures(BTreeMap<(Measure, &'static str), Vec<f64>>);

impl Figures {
    fn add(&mut self, measure: Measure, placement: &'static str, value: f64) {
        self.0.entry((measure, placement)).or_default().push(value);
    }

    fn into_rows(self, deployment: Deployment) -> impl Iterator<Item = Row> {
        self.0.into_iter().map(move |((measure, placement), values)| {
            let (name, target) = measure.describe();
            Row {
                deployment: deployment.name,
                measure: name,
                placement,
                values,
                target: target.filter(|_| placement == PLANNER),
            }
        })
    }
}

const PLANNER: &str = "planner";

/// Keys with their part of the load.
struct Keys {
    hashes: Vec<KeyHash>,
    weights: Vec<f64>,
    /// Running sums of the weights, for draws.
    sums: Vec<f64>,
}

impl Keys {
    /// Makes random keys of the same weight.
    fn even(rng: &mut Pcg64Mcg) -> Self {
        let hashes = (0..KEYS)
            .map(|_| KeyHash::of(&rng.random::<u64>().to_le_bytes()))
            .collect();
        let mut keys = Self {
            hashes,
            weights: vec![1.0 / to_f64(KEYS); KEYS],
            sums: Vec::new(),
        };
        keys.add_up();
        keys
    }

    /// Makes other keys the hottest ones.
    fn change_hot(&mut self, rng: &mut Pcg64Mcg) {
        self.weights.fill((1.0 - HOT_PART) / to_f64(KEYS));
        let weight = |rank: usize| to_f64(rank + 1).powf(-HOT_EXPONENT);
        let sum: f64 = (0..HOT_KEYS).map(weight).sum();
        for rank in 0..HOT_KEYS {
            self.weights[rng.random_range(0..KEYS)] += HOT_PART * weight(rank) / sum;
        }
        self.add_up();
    }

    fn add_up(&mut self) {
        let mut sum = 0.0;
        let running = self.weights.iter().map(|w| {
            sum += w;
            sum
        });
        self.sums = running.collect();
    }

    fn draw(&self, rng: &mut Pcg64Mcg) -> KeyHash {
        let point = rng.random::<f64>() * self.sums[KEYS - 1];
        self.hashes[self.sums.partition_point(|&s| s <= point).min(KEYS - 1)]
    }
}

/// A pool with callers and entry hosts that measure loads.
struct Run {
    pool: PoolModel,
    keys: Keys,
    hosts: Vec<LoadTable>,
    rng: Pcg64Mcg,
    owners: Vec<UpstreamName>,
    /// Key moves so far; a key counts each time.
    moved: usize,
}

impl Run {
    fn start(deployment: Deployment, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut pool = PoolModel::new(deployment.servers, deployment.slots);
        pool.step(&LoadReport::default());
        let host = |_| LoadTable::new(pool.now, WINDOW, 1024);
        let hosts = (0..HOSTS).map(host).collect();
        let keys = Keys::even(&mut rng);
        let owners = find_owners(&pool, &keys);
        let mut run = Self {
            pool,
            keys,
            hosts,
            rng,
            owners,
            moved: 0,
        };
        run.pass(60);
        run
    }

    /// Lets seconds pass, with a round of planning every [`ROUND`] seconds.
    fn pass(&mut self, seconds: u32) {
        for second in 1..=seconds {
            self.send_requests();
            if second % ROUND != 0 {
                self.pool.now += Duration::from_secs(1);
                continue;
            }
            let mut loads = LoadReport::default();
            for host in &mut self.hosts {
                loads.merge(&host.report(self.pool.now, usize::MAX));
            }
            if !self.pool.step(&loads).is_empty() {
                self.count_moves();
            }
        }
    }

    fn send_requests(&mut self) {
        for i in 0..RATE {
            let hash = self.keys.draw(&mut self.rng);
            if let Some(info) = self.pool.ranges.find_range(hash) {
                self.hosts[i % HOSTS].record(self.pool.now, info.range, hash, 1.0);
            }
        }
    }

    fn count_moves(&mut self) {
        let owners = find_owners(&self.pool, &self.keys);
        self.moved += owners.iter().zip(&self.owners).filter(|(a, b)| a != b).count();
        self.owners = owners;
    }

    /// Part of the keys that moved since the last call.
    fn take_churn(&mut self) -> f64 {
        to_f64(std::mem::take(&mut self.moved)) / to_f64(KEYS)
    }

    /// Load of the most loaded serving upstream over the mean.
    fn imbalance(&self) -> f64 {
        let mut loads: BTreeMap<&UpstreamName, f64> = BTreeMap::new();
        for (name, _) in self.pool.upstreams.iter().filter(|(_, c)| c.state.is_serving()) {
            loads.insert(name, 0.0);
        }
        for (owner, weight) in self.owners.iter().zip(&self.keys.weights) {
            *loads.entry(owner).or_default() += weight;
        }
        max_over_mean(loads.values().copied())
    }

    /// Part of the keys that a zone owns.
    fn zone_share(&self, zone: &str) -> f64 {
        let within = |name: &&UpstreamName| self.pool.upstreams[*name].zone.as_str() == zone;
        to_f64(self.owners.iter().filter(within).count()) / to_f64(KEYS)
    }

    /// Brings a zone back in slow start and lets the ramp end.
    fn return_zone(&mut self, zone: &str, slots: u32) {
        for limit in 1..slots {
            self.pool.set_zone(zone, UpstreamState::Ramping { limit });
            self.pass(RAMP_SECONDS);
        }
        self.pool.set_zone(zone, UpstreamState::Serving);
    }
}

fn find_owners(pool: &PoolModel, keys: &Keys) -> Vec<UpstreamName> {
    let owner = |&hash| pool.ranges.find_range(hash).map(|info| info.owner.clone());
    keys.hashes.iter().filter_map(owner).collect()
}

fn measure_planner(deployment: Deployment, seed: u64, figures: &mut Figures) {
    let mut run = Run::start(deployment, seed);
    figures.add(Measure::EvenImbalance, PLANNER, run.imbalance());
    measure_loss(deployment, seed, figures);
    measure_zone(deployment, seed, figures);
    measure_flap(deployment, seed, figures);

    for change in 0..5 {
        run.keys.change_hot(&mut run.rng);
        if change == 0 {
            figures.add(Measure::ShiftImbalance, PLANNER, run.imbalance());
        }
        run.pass(120);
        figures.add(Measure::HotImbalance, PLANNER, run.imbalance());
    }
    let ranges = to_f64(run.pool.ranges.len()) / to_f64(deployment.servers);
    figures.add(Measure::TableGrowth, PLANNER, ranges);
}

fn measure_loss(deployment: Deployment, seed: u64, figures: &mut Figures) {
    let n = to_f64(deployment.servers);
    let lost = usize::try_from(seed).unwrap_or(0) % deployment.servers;
    let mut run = Run::start(deployment, seed);
    run.take_churn();
    run.pool.set_state(lost, UpstreamState::Lost);
    run.pass(120);
    figures.add(Measure::LossChurn, PLANNER, run.take_churn() * n);

    let mut run = Run::start(deployment, seed);
    run.keys.change_hot(&mut run.rng);
    run.pass(180);
    run.take_churn();
    run.pool.set_state(lost, UpstreamState::Lost);
    run.pass(120);
    figures.add(Measure::HotLossChurn, PLANNER, run.take_churn() * n);
}

fn measure_zone(deployment: Deployment, seed: u64, figures: &mut Figures) {
    let mut run = Run::start(deployment, seed);
    let share = run.zone_share("zone-0");
    run.take_churn();
    run.pool.set_zone("zone-0", UpstreamState::Out);
    run.pass(60);
    figures.add(Measure::ZoneOutChurn, PLANNER, run.take_churn() / share);
    figures.add(Measure::ZoneOutImbalance, PLANNER, run.imbalance());
    run.return_zone("zone-0", deployment.slots);
    run.pass(600 - RAMP_SECONDS * (deployment.slots - 1));
    figures.add(Measure::ZoneBackChurn, PLANNER, run.take_churn() / share);
    figures.add(Measure::ZoneBackImbalance, PLANNER, run.imbalance());
}

fn measure_flap(deployment: Deployment, seed: u64, figures: &mut Figures) {
    let mut run = Run::start(deployment, seed);
    let share = run.zone_share("zone-0");
    run.take_churn();
    for _ in 0..2 {
        run.pool.set_zone("zone-0", UpstreamState::Lost);
        run.pass(16);
        run.return_zone("zone-0", deployment.slots);
        run.pass(20);
    }
    figures.add(Measure::ZoneFlapChurn, PLANNER, run.take_churn() / share);
}

fn measure_baselines(deployment: Deployment, seed: u64, figures: &mut Figures) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut keys = Keys::even(&mut rng);
    let all: Vec<u64> = (0..deployment.servers as u64).collect();
    let rest: Vec<u64> = all
        .iter()
        .copied()
        .filter(|&s| s != seed % deployment.servers as u64)
        .collect();
    let other_zones: Vec<u64> = all.iter().copied().filter(|s| s % 3 != 0).collect();
    for baseline in Baseline::ALL {
        let name = baseline.as_str();
        let before = baseline.place(&keys.hashes, &all);
        let churn = |servers: &[u64]| {
            let after = baseline.place(&keys.hashes, servers);
            to_f64(after.iter().zip(&before).filter(|(a, b)| a != b).count()) / to_f64(KEYS)
        };
        let owned = before.iter().filter(|s| *s % 3 == 0).count();
        let zone_churn = churn(&other_zones) * to_f64(KEYS) / to_f64(owned);
        figures.add(Measure::EvenImbalance, name, static_imbalance(&before, &keys));
        figures.add(Measure::LossChurn, name, churn(&rest) * to_f64(deployment.servers));
        figures.add(Measure::ZoneOutChurn, name, zone_churn);
        figures.add(Measure::ZoneBackChurn, name, zone_churn);
        figures.add(Measure::ZoneFlapChurn, name, 4.0 * zone_churn);
        let during = baseline.place(&keys.hashes, &other_zones);
        figures.add(Measure::ZoneOutImbalance, name, static_imbalance(&during, &keys));
    }
    for _ in 0..5 {
        keys.change_hot(&mut rng);
        for baseline in Baseline::ALL {
            let owners = baseline.place(&keys.hashes, &all);
            figures.add(
                Measure::HotImbalance,
                baseline.as_str(),
                static_imbalance(&owners, &keys),
            );
        }
    }
}

fn static_imbalance(owners: &[u64], keys: &Keys) -> f64 {
    let mut loads: BTreeMap<u64, f64> = BTreeMap::new();
    for (owner, weight) in owners.iter().zip(&keys.weights) {
        *loads.entry(*owner).or_default() += weight;
    }
    max_over_mean(loads.into_values())
}

fn max_over_mean(loads: impl Iterator<Item = f64>) -> f64 {
    let loads: Vec<f64> = loads.collect();
    let mean = loads.iter().sum::<f64>() / to_f64(loads.len());
    loads.into_iter().fold(0.0, f64::max) / mean
}

fn print_table(out: &mut impl Write, rows: &[Row]) -> io::Result<()> {
    writeln!(
        out,
        "{:<19} {:<42} {:<11} {:>7} {:>7} {:>7} {:>7}",
        "deployment", "measure", "placement", "mean", "least", "most", "target"
    )?;
    for row in rows {
        let (mean, least, most) = spread(&row.values);
        let target = row.target.map_or_else(|| "-".to_owned(), |t| format!("{t:.2}"));
        writeln!(
            out,
            "{:<19} {:<42} {:<11} {mean:>7.3} {least:>7.3} {most:>7.3} {target:>7}",
            row.deployment, row.measure, row.placement
        )?;
    }
    Ok(())
}

fn print_lines(out: &mut impl Write, rows: &[Row]) -> io::Result<()> {
    for row in rows {
        let (mean, least, most) = spread(&row.values);
        let line = serde_json::json!({
            "deployment": row.deployment, "measure": row.measure, "placement": row.placement,
            "mean": mean, "least": least, "most": most, "samples": row.values.len(), "target": row.target,
        });
        writeln!(out, "{line}")?;
    }
    Ok(())
}

/// Mean, least and greatest value.
pub(super) fn spread(values: &[f64]) -> (f64, f64, f64) {
    let mean = values.iter().sum::<f64>() / to_f64(values.len());
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (mean, least, most)
}

/// Converts a count.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(super) fn to_f64(count: usize) -> f64 {
    count as f64
}
