//! Planning of moves: which keys are assigned to which upstream.
//!
//! The plan handles the loss of an owner, a hot range that moves, upstreams that join, and a whole zone
//! that starts cold. As few keys as possible move, and a cold upstream gets no more load than it
//! tolerates.

use std::collections::{BTreeMap, BTreeSet};

use super::{Assignment, Holder, KeyRange, KeyRates, KeyTable, WatchedOwner};

/// Ratio of an upstream's usage to the mean above which keys move away from it, if the usage also exceeds
/// `BUSY_USAGE`. Also the ratio of an upstream's load to its limit above which keys move away from it.
const IMBALANCE_RATIO: f64 = 1.3;
/// Usage, as a share of the slots, below which imbalance doesn't make requests wait.
const BUSY_USAGE: f64 = 0.35;
/// Ratio of the target's usage to the mean below which the target is filled up to the mean, even if the source
/// then falls below the mean. Apart from a hot key, keys move only if the wanted load exceeds this share of the
/// target's load at mean usage.
const EMPTY_RATIO: f64 = 0.1;
/// Headroom of an upstream, as a share of its load at mean usage, up to which it counts as full.
const HEADROOM_SHARE_MIN: f64 = 0.01;
/// Smallest and largest load of a range that moves, relative to the wanted load.
const PIECE_LOAD_MIN: f64 = 0.1;
const PIECE_LOAD_MAX: f64 = 1.5;
/// Capacity of an upstream, relative to that of the owner, above which a hot key moves to it.
const HOT_KEY_CAPACITY_RATIO: f64 = 1.4;
/// Usage, and its ratio to the mean, above which an upstream is overloaded: its requests wait longer than they run.
const OVERLOAD_USAGE: f64 = 0.9;
const OVERLOAD_RATIO: f64 = 1.5;
/// Largest number of moves in one round that only even out the loads. Each move delays the requests for its keys until
/// those that run have ended.
const EVEN_MOVES_MAX: usize = 3;
/// Number of candidates for each move in one round from overloaded upstreams.
const CANDIDATES_PER_MOVE: usize = 6;

/// An upstream that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) holder: Holder,
    /// Requests per second that occupy all its slots.
    pub(crate) capacity: f64,
    /// Largest load that it tolerates while it is cold or names a limit, in requests per second.
    pub(crate) limit: Option<f64>,
}

/// Keys and their new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Move {
    pub(crate) range: KeyRange,
    pub(crate) owner: Holder,
}

/// Current loads of the candidates, in requests per second.
struct PoolLoads<'a> {
    candidates: &'a [Candidate],
    loads: Vec<f64>,
}

impl PoolLoads<'_> {
    /// Returns the load of a candidate as a share of its capacity.
    fn usage(&self, index: usize) -> f64 {
        self.loads[index] / self.candidates[index].capacity.max(0.001)
    }

    /// Returns the load that a candidate can take up to the given usage and its limit; negative if it has more.
    fn headroom(&self, index: usize, usage: f64) -> f64 {
        let candidate = &self.candidates[index];
        let wanted = (usage * candidate.capacity).min(candidate.limit.unwrap_or(f64::INFINITY));
        wanted - self.loads[index]
    }

    /// Returns the load of a candidate relative to the load that it can take up to the given usage and its limit.
    fn excess(&self, index: usize, usage: f64) -> f64 {
        let load = self.loads[index];
        load / (load + self.headroom(index, usage)).max(0.001)
    }

    /// Returns the candidate with the most headroom.
    fn most_headroom(&self, usage: f64) -> Option<usize> {
        let all = 0..self.candidates.len();
        all.max_by(|&a, &b| self.headroom(a, usage).total_cmp(&self.headroom(b, usage)))
    }

    /// Returns the usage at which all load is spread evenly over the candidates, with those that have limits held at these.
    fn mean_usage(&self, total: f64) -> f64 {
        let mut is_limited = vec![false; self.candidates.len()];
        loop {
            let (mut load, mut capacity) = (total, 0.0);
            for (candidate, &is_limited) in self.candidates.iter().zip(&is_limited) {
                match candidate.limit.filter(|_| is_limited) {
                    Some(limit) => load -= limit,
                    None => capacity += candidate.capacity,
                }
            }
            let usage = load.max(0.0) / f64::max(capacity, 0.001);
            let exceeds_limit = |c: &Candidate| c.limit.is_some_and(|limit| usage * c.capacity > limit);
            let exceeding = self
                .candidates
                .iter()
                .zip(&is_limited)
                .position(|(c, &limited)| !limited && exceeds_limit(c));
            match exceeding {
                Some(index) => is_limited[index] = true,
                None => return usage,
            }
        }
    }

    /// Returns the candidate that gets load when no candidate has headroom: the one with the lowest usage, and
    /// a cold one only if all are cold.
    fn fallback(&self) -> Option<usize> {
        let all = 0..self.candidates.len();
        let rank = |index: usize| (self.candidates[index].limit.is_some(), self.usage(index));
        all.min_by(|&a, &b| {
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }
}

fn measure_loads<'a>(table: &KeyTable, candidates: &'a [Candidate], rates: &KeyRates) -> PoolLoads<'a> {
    let indices: BTreeMap<&Holder, usize> = candidates
        .iter()
        .enumerate()
        .map(|(index, c)| (&c.holder, index))
        .collect();
    let mut loads = vec![0.0; candidates.len()];
    for assignment in &table.assignments {
        if let Some(&index) = assignment.owner.as_ref().and_then(|owner| indices.get(owner)) {
            loads[index] += rates.load(assignment.range);
        }
    }
    PoolLoads { candidates, loads }
}

/// Returns the loads and capacities of the candidates.
pub(crate) fn measure_owners(table: &KeyTable, candidates: &[Candidate], rates: &KeyRates) -> Vec<WatchedOwner> {
    let pool = measure_loads(table, candidates, rates);
    let owners = candidates.iter().zip(&pool.loads);
    let owners = owners.map(|(candidate, &load)| WatchedOwner {
        holder: candidate.holder.clone(),
        load,
        capacity: candidate.capacity,
    });
    owners.collect()
}

/// Assigns orphaned keys, which have no usable owner, to the candidates with the most headroom.
pub(crate) fn plan_orphans(table: &KeyTable, candidates: &[Candidate], rates: &KeyRates) -> Vec<Move> {
    let usable: BTreeSet<&Holder> = candidates.iter().map(|c| &c.holder).collect();
    let has_owner = |assignment: &Assignment| assignment.owner.as_ref().is_some_and(|owner| usable.contains(owner));
    // The grantor plans in each tick, and measuring the loads takes time in proportion to the assignments.
    if table.assignments.iter().all(has_owner) {
        return Vec::new();
    }
    let mut pool = measure_loads(table, candidates, rates);
    let usage = pool.mean_usage(rates.load(KeyRange::ALL));
    let mut moves = Vec::new();
    for assignment in &table.assignments {
        if has_owner(assignment) {
            continue;
        }
        let mut remaining = Some(assignment.range);
        while let Some(range) = remaining {
            let Some(mut index) = pool.most_headroom(usage) else {
                return moves;
            };
            let headroom = pool.headroom(index, usage);
            if headroom <= pool.candidates[index].capacity * usage * HEADROOM_SHARE_MIN {
                index = pool.fallback().unwrap_or(index);
            }
            // A range that exceeds the headroom only a little is not split.
            let piece = if headroom <= 0.0 || rates.load(range) <= headroom * 1.2 {
                range
            } else {
                rates.cut_first(range, headroom)
            };
            pool.loads[index] += rates.load(piece);
            moves.push(Move {
                range: piece,
                owner: candidates[index].holder.clone(),
            });
            remaining = (piece.last < range.last).then(|| KeyRange {
                first: piece.last + 1,
                last: range.last,
            });
        }
    }
    moves
}

/// Plans rebalancing moves, from upstreams with high usage to those with headroom. `evens_out` permits a few moves from
/// upstreams that are only above the others.
///
/// A heat of many keys near one another belongs to one owner and needs many, so a round has as many moves from overloaded
/// upstreams as the pool's size allows. Each move is planned on the loads that the moves before it leave.
pub(crate) fn plan_balance(table: &KeyTable, candidates: &[Candidate], rates: &KeyRates, evens_out: bool) -> Vec<Move> {
    let mut balance = Balance::new(table, candidates, rates);
    let mut moves = Vec::new();
    while evens_out
        && moves.len() < EVEN_MOVES_MAX
        && let Some(next) = balance.next_move(Cause::Imbalance)
    {
        moves.push(next);
    }
    balance.exhausted.clear();
    while moves.len() < candidates.len() / CANDIDATES_PER_MOVE
        && let Some(next) = balance.next_move(Cause::Overload)
    {
        moves.push(next);
    }
    moves
}

/// Why keys move away from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// It has more load than others, or another one has almost none.
    Imbalance,
    /// Its requests wait.
    Overload,
}

/// Loads and parts of a pool while a round of moves is planned.
struct Balance<'a> {
    pool: PoolLoads<'a>,
    rates: &'a KeyRates,
    /// Parts of each candidate that may move. Those that are on their way to it count in its load only.
    parts: Vec<Vec<KeyRange>>,
    /// Usage at which all load is spread evenly.
    mean: f64,
    /// Candidates from which no further part can move in this round.
    exhausted: BTreeSet<usize>,
}

impl<'a> Balance<'a> {
    fn new(table: &KeyTable, candidates: &'a [Candidate], rates: &'a KeyRates) -> Self {
        let pool = measure_loads(table, candidates, rates);
        let indices: BTreeMap<&Holder, usize> = candidates
            .iter()
            .enumerate()
            .map(|(index, c)| (&c.holder, index))
            .collect();
        let mut parts = vec![Vec::new(); candidates.len()];
        for assignment in table.assignments.iter().filter(|assignment| assignment.ready) {
            if let Some(&index) = assignment.owner.as_ref().and_then(|owner| indices.get(owner)) {
                parts[index].push(assignment.range);
            }
        }
        Self {
            mean: pool.mean_usage(rates.load(KeyRange::ALL)),
            pool,
            rates,
            parts,
            exhausted: BTreeSet::new(),
        }
    }

    /// Plans the next move, if one is needed.
    fn next_move(&mut self, cause: Cause) -> Option<Move> {
        let target = self.pool.most_headroom(self.mean)?;
        let is_empty = cause == Cause::Imbalance && self.pool.usage(target) < self.mean * EMPTY_RATIO;
        loop {
            let sources = (0..self.parts.len()).filter(|&from| from != target && !self.exhausted.contains(&from));
            let from = sources
                .filter(|&from| is_empty || self.is_source(from, cause))
                .max_by(|&a, &b| self.excess(a).total_cmp(&self.excess(b)))?;
            let Some((range, to)) = self.choose_keys(from, target, is_empty) else {
                self.exhausted.insert(from);
                continue;
            };
            return Some(self.record_move(from, range, to));
        }
    }

    fn excess(&self, index: usize) -> f64 {
        self.pool.excess(index, self.mean)
    }

    fn is_source(&self, index: usize, cause: Cause) -> bool {
        let usage = self.pool.usage(index);
        match cause {
            Cause::Imbalance => {
                let limit = self.pool.candidates[index].limit;
                let is_over_limit = limit.is_some_and(|limit| self.pool.loads[index] > limit * IMBALANCE_RATIO);
                is_over_limit || usage > BUSY_USAGE.max(self.mean * IMBALANCE_RATIO)
            }
            Cause::Overload => usage > OVERLOAD_USAGE.max(self.mean * OVERLOAD_RATIO),
        }
    }

    /// Chooses keys of a source and the candidate that they move to: the target, or another one for a single hot key.
    fn choose_keys(&self, from: usize, target: usize, is_empty: bool) -> Option<(KeyRange, usize)> {
        let excess = -self.pool.headroom(from, self.mean);
        let headroom = self.pool.headroom(target, self.mean);
        // An almost empty upstream is filled up to the mean, even if the source then falls below the mean.
        let wanted = if is_empty { headroom } else { excess.min(headroom) };
        let is_worthwhile = wanted > self.mean * self.pool.candidates[target].capacity * EMPTY_RATIO;
        let piece = is_worthwhile
            .then(|| find_piece(&self.parts[from], self.rates, wanted))
            .flatten();
        piece.map(|range| (range, target)).or_else(|| self.find_hot_key(from))
    }

    fn record_move(&mut self, from: usize, range: KeyRange, to: usize) -> Move {
        let load = self.rates.load(range);
        self.pool.loads[from] -= load;
        self.pool.loads[to] += load;
        let moved = |part: &KeyRange| part.overlap(range).is_some();
        if let Some(index) = self.parts[from].iter().position(moved) {
            let part = self.parts[from].remove(index);
            if part.first < range.first {
                self.parts[from].push(KeyRange {
                    first: part.first,
                    last: range.first - 1,
                });
            }
            if range.last < part.last {
                self.parts[from].push(KeyRange {
                    first: range.last + 1,
                    last: part.last,
                });
            }
        }
        Move {
            range,
            owner: self.pool.candidates[to].holder.clone(),
        }
    }

    /// Returns a single key whose load exceeds its owner's capacity, and a warm upstream of clearly larger capacity.
    fn find_hot_key(&self, from: usize) -> Option<(KeyRange, usize)> {
        let candidates = self.pool.candidates;
        let is_hot =
            |range: &&KeyRange| range.first == range.last && self.rates.load(**range) > candidates[from].capacity;
        let hot = self.parts[from].iter().filter(is_hot);
        let hot = hot.max_by(|a, b| self.rates.load(**a).total_cmp(&self.rates.load(**b)))?;
        let warm = (0..candidates.len()).filter(|&index| candidates[index].limit.is_none());
        let best = warm.max_by(|&a, &b| candidates[a].capacity.total_cmp(&candidates[b].capacity))?;
        let is_better = candidates[best].capacity > candidates[from].capacity * HOT_KEY_CAPACITY_RATIO;
        is_better.then_some((*hot, best))
    }
}

/// Returns keys with about the wanted load, at either end of one of the parts of an owner.
fn find_piece(parts: &[KeyRange], rates: &KeyRates, wanted: f64) -> Option<KeyRange> {
    let mut ranges = parts.to_vec();
    ranges.sort_by(|a, b| rates.load(*b).total_cmp(&rates.load(*a)));
    let ends = ranges
        .into_iter()
        .flat_map(|range| [rates.cut_first(range, wanted), rates.cut_last(range, wanted)]);
    // A load far above the headroom would only move the hot spot, and a tiny one isn't worth a move.
    let fits = |range: &KeyRange| (wanted * PIECE_LOAD_MIN..=wanted * PIECE_LOAD_MAX).contains(&rates.load(*range));
    ends.into_iter().find(fits)
}
