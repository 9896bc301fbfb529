//! Decides which keys go to which upstream.
//!
//! Answers to the load patterns of an owner lost, a hot range that moves, servers that join, and a
//! whole zone that starts cold: as few keys as possible move, and a cold upstream gets no more load
//! than it tolerates.

use std::collections::{BTreeMap, BTreeSet};

use super::{Assignment, Holder, KeyRange, KeyRates, KeyTable};

/// Usage of the fullest upstream, relative to the mean, above which keys move.
const IMBALANCE: f64 = 1.3;
/// Share of the slots in use below which imbalance costs no waiting.
const BUSY_USAGE: f64 = 0.35;
/// Usage of an upstream, relative to the mean, below which it is filled.
const EMPTY: f64 = 0.1;
/// Room, as a share of what an upstream should have, below which it counts as filled.
const ROOM_LEAST: f64 = 0.01;
/// Full upstreams that are looked at in one step: the fullest may hold a single key that can't be cut.
const SOURCES_MAX: usize = 4;
/// Least and most load of a piece that moves, relative to the wanted load.
const PIECE_LEAST: f64 = 0.1;
const PIECE_MOST: f64 = 1.5;
/// Capacity, relative to that of its owner, for which a hot key moves.
const HOT_KEY_GAIN: f64 = 1.4;
/// Most moves for balance in one round.
const MOVES_MAX: usize = 3;

/// An upstream that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub(crate) holder: Holder,
    /// Requests a second that fill its slots.
    pub(crate) capacity: f64,
    /// Most load while it is cold, in requests a second.
    pub(crate) limit: Option<f64>,
}

/// Keys and their new owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Move {
    pub(crate) range: KeyRange,
    pub(crate) owner: Holder,
}

struct Shares<'a> {
    candidates: &'a [Candidate],
    loads: Vec<f64>,
}

impl Shares<'_> {
    fn usage(&self, at: usize) -> f64 {
        self.loads[at] / self.candidates[at].capacity.max(0.001)
    }

    /// Load that brings an upstream to a usage, within its limit.
    fn room(&self, at: usize, usage: f64) -> f64 {
        let candidate = &self.candidates[at];
        let wanted = (usage * candidate.capacity).min(candidate.limit.unwrap_or(f64::INFINITY));
        wanted - self.loads[at]
    }

    fn emptiest(&self, usage: f64) -> Option<usize> {
        let all = 0..self.candidates.len();
        all.max_by(|&a, &b| self.room(a, usage).total_cmp(&self.room(b, usage)))
    }

    /// Usage at which all load fits, with those at their limits left at them.
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
            let is_over = |c: &Candidate| c.limit.is_some_and(|limit| usage * c.capacity > limit);
            let over = self
                .candidates
                .iter()
                .zip(&is_limited)
                .position(|(c, &limited)| !limited && is_over(c));
            match over {
                Some(at) => is_limited[at] = true,
                None => return usage,
            }
        }
    }

    /// The one that gets what nobody has room for: never a cold one if there is another.
    fn last_resort(&self) -> Option<usize> {
        let all = 0..self.candidates.len();
        let rank = |at: usize| (self.candidates[at].limit.is_some(), self.usage(at));
        all.min_by(|&a, &b| {
            let (a, b) = (rank(a), rank(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }
}

fn measure<'a>(table: &KeyTable, candidates: &'a [Candidate], rates: &KeyRates) -> Shares<'a> {
    let places: BTreeMap<&Holder, usize> = candidates.iter().enumerate().map(|(at, c)| (&c.holder, at)).collect();
    let mut loads = vec![0.0; candidates.len()];
    for assignment in &table.assignments {
        if let Some(&at) = assignment.owner.as_ref().and_then(|owner| places.get(owner)) {
            loads[at] += rates.load(assignment.range);
        }
    }
    Shares { candidates, loads }
}

/// Gives keys without a usable owner to the candidates with the most room.
pub(crate) fn plan_orphans(table: &KeyTable, candidates: &[Candidate], rates: &KeyRates) -> Vec<Move> {
    let usable: BTreeSet<&Holder> = candidates.iter().map(|c| &c.holder).collect();
    let mut shares = measure(table, candidates, rates);
    let usage = shares.mean_usage(rates.load(KeyRange::ALL));
    let mut moves = Vec::new();
    for assignment in &table.assignments {
        if assignment.owner.as_ref().is_some_and(|owner| usable.contains(owner)) {
            continue;
        }
        let mut rest = Some(assignment.range);
        while let Some(range) = rest {
            let Some(mut at) = shares.emptiest(usage) else {
                return moves;
            };
            let room = shares.room(at, usage);
            if room <= shares.candidates[at].capacity * usage * ROOM_LEAST {
                at = shares.last_resort().unwrap_or(at);
            }
            // A remainder too small to matter is not cut again.
            let piece = if room <= 0.0 || rates.load(range) <= room * 1.2 {
                range
            } else {
                rates.cut(range, room)
            };
            shares.loads[at] += rates.load(piece);
            moves.push(Move {
                range: piece,
                owner: candidates[at].holder.clone(),
            });
            rest = (piece.last < range.last).then(|| KeyRange {
                first: piece.last + 1,
                last: range.last,
            });
        }
    }
    moves
}

/// Moves keys from full upstreams to empty ones.
pub(crate) fn plan_balance(table: &KeyTable, candidates: &[Candidate], rates: &KeyRates) -> Vec<Move> {
    let mut table = table.clone();
    let mut moves = Vec::new();
    while moves.len() < MOVES_MAX {
        let Some(next) = plan_move(&table, candidates, rates) else {
            break;
        };
        table.assign(next.range, Some(&next.owner));
        moves.push(next);
    }
    moves
}

fn plan_move(table: &KeyTable, candidates: &[Candidate], rates: &KeyRates) -> Option<Move> {
    let shares = measure(table, candidates, rates);
    let mean = shares.mean_usage(rates.load(KeyRange::ALL));
    let emptiest = shares.emptiest(mean)?;
    let is_empty = shares.usage(emptiest) < mean * EMPTY;
    let mut full: Vec<usize> = (0..candidates.len()).filter(|&at| at != emptiest).collect();
    full.sort_by(|&a, &b| shares.usage(b).total_cmp(&shares.usage(a)));
    full.truncate(SOURCES_MAX);
    full.into_iter().find_map(|from| {
        let limit = candidates[from].limit;
        let is_over_limit = limit.is_some_and(|limit| shares.loads[from] > limit * IMBALANCE);
        let is_full = shares.usage(from) > BUSY_USAGE.max(mean * IMBALANCE);
        if !(is_full || is_empty || is_over_limit) {
            return None;
        }
        let excess = shares.loads[from] - mean * candidates[from].capacity;
        let room = shares.room(emptiest, mean);
        // An empty upstream is filled even if no other is above the mean by as much.
        let wanted = if is_empty { room } else { excess.min(room) };
        let piece = if wanted > mean * candidates[emptiest].capacity * EMPTY {
            find_piece(table, rates, &candidates[from].holder, wanted)
        } else {
            None
        };
        let to_emptiest = piece.map(|range| (range, emptiest));
        let (range, to) = to_emptiest.or_else(|| find_hot_key(table, rates, &shares, from))?;
        Some(Move {
            range,
            owner: candidates[to].holder.clone(),
        })
    })
}

/// Finds keys of an owner with about the wanted load, at either end of one of its assignments.
fn find_piece(table: &KeyTable, rates: &KeyRates, holder: &Holder, wanted: f64) -> Option<KeyRange> {
    let owned = |assignment: &&Assignment| assignment.ready && assignment.owner.as_ref() == Some(holder);
    let mut ranges: Vec<KeyRange> = table
        .assignments
        .iter()
        .filter(owned)
        .map(|assignment| assignment.range)
        .collect();
    ranges.sort_by(|a, b| rates.load(*b).total_cmp(&rates.load(*a)));
    let ends = ranges
        .into_iter()
        .flat_map(|range| [rates.cut(range, wanted), rates.cut_last(range, wanted)]);
    // A load far above the room would only move the hot place on, and a tiny one isn't worth a move.
    let fits = |range: &KeyRange| (wanted * PIECE_LEAST..=wanted * PIECE_MOST).contains(&rates.load(*range));
    ends.into_iter().find(fits)
}

/// Finds a single key that fills its owner, for an upstream that can do clearly more.
fn find_hot_key(table: &KeyTable, rates: &KeyRates, shares: &Shares<'_>, from: usize) -> Option<(KeyRange, usize)> {
    let candidates = shares.candidates;
    let holder = &candidates[from].holder;
    let owned = table
        .assignments
        .iter()
        .filter(|assignment| assignment.ready && assignment.owner.as_ref() == Some(holder));
    let hot = owned.filter(|assignment| {
        assignment.range.first == assignment.range.last && rates.load(assignment.range) > candidates[from].capacity
    });
    let hot = hot.max_by(|a, b| rates.load(a.range).total_cmp(&rates.load(b.range)))?;
    let warm = (0..candidates.len()).filter(|&at| candidates[at].limit.is_none());
    let best = warm.max_by(|&a, &b| candidates[a].capacity.total_cmp(&candidates[b].capacity))?;
    let is_better = candidates[best].capacity > candidates[from].capacity * HOT_KEY_GAIN;
    is_better.then_some((hot.range, best))
}
