//! The pool during one round, with planned moves applied.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time::Instant;

use super::{Candidate, History, Input, Limits, RangeMove, SPACE, UpstreamState, to_float};
use crate::types::{KeyHash, KeyRange, UpstreamName, Zone};

/// Upstreams and ranges of a pool, as indexed tables.
pub(super) struct Board<'a> {
    /// Upstreams in an order that alternates between zones, so that ties spread over them.
    pub(super) nodes: Vec<Node<'a>>,
    /// Parts of the assigned hash space, in order.
    pub(super) pieces: Vec<Piece<'a>>,
    /// Hot hashes with their loads.
    pub(super) loads: &'a super::LoadReport,
    /// Load per hash where nothing was measured.
    pub(super) density: f64,
}

/// An upstream.
pub(super) struct Node<'a> {
    pub(super) name: &'a UpstreamName,
    pub(super) state: UpstreamState,
    pub(super) slots: f64,
    /// Slots that count while it is in slow start.
    pub(super) ramp: f64,
    /// Lost repeatedly.
    pub(super) unstable: bool,
    /// Came back only recently.
    pub(super) settling: bool,
    pub(super) load: f64,
}

/// A range, or a part of one that moves on its own.
#[derive(Clone, Copy)]
pub(super) struct Piece<'a> {
    pub(super) range: KeyRange,
    /// Owner in the folded table.
    pub(super) from: &'a UpstreamName,
    /// Index of the owner after pending moves; `None` if it is not in the pool.
    pub(super) owner: Option<usize>,
    pub(super) load: f64,
    /// May move for balance.
    pub(super) movable: bool,
    /// Frozen without a pending move that would end the freeze.
    pub(super) stuck: bool,
}

impl<'a> Board<'a> {
    pub(super) fn build(now: Instant, input: &Input<'a>, history: &History, limits: &Limits) -> Self {
        let nodes = list_nodes(now, input.upstreams, history, limits);
        let index: BTreeMap<&UpstreamName, usize> = nodes.iter().enumerate().map(|(i, n)| (n.name, i)).collect();
        let pieces = list_pieces(input, &nodes, &index, history);
        let mut board = Self {
            nodes,
            pieces,
            loads: input.loads,
            density: 0.0,
        };
        board.spread_loads(limits);
        board
    }

    /// Attributes reported loads to pieces, and estimates what is missing.
    fn spread_loads(&mut self, limits: &Limits) {
        let mut known = vec![false; self.pieces.len()];
        let mut start = 0;
        for (&range, &rate) in &self.loads.ranges {
            // Reports are in the order of their first hashes, so the pieces are walked once.
            while self.pieces.get(start).is_some_and(|p| p.range.last < range.first) {
                start += 1;
            }
            self.spread_report(range, rate, start, &mut known);
        }
        let parts = || self.pieces.iter().zip(&known).filter(|&(_, &k)| k);
        let load: f64 = parts().map(|(p, _)| p.load).sum();
        let width: f64 = parts().map(|(p, _)| to_float(p.range.width())).sum();
        let measured = if width > 0.0 { load / width } else { 0.0 };
        let serving = self.nodes.iter().filter(|n| n.state.is_serving()).count().max(1);
        let background = limits.background * to_float(serving as u128) / to_float(SPACE);
        for (piece, known) in self.pieces.iter_mut().zip(&known) {
            let estimate = if *known { background } else { measured + background };
            piece.load += estimate * to_float(piece.range.width());
            if let Some(owner) = piece.owner {
                self.nodes[owner].load += piece.load;
            }
        }
        self.density = measured + background;
    }

    /// Attributes the load of a reported range, which may differ from the present ranges.
    ///
    /// `start` is the first piece that doesn't end before it.
    fn spread_report(&mut self, range: KeyRange, rate: f64, start: usize, known: &mut [bool]) {
        let within = self.pieces[start..].iter().take_while(|p| p.range.first <= range.last);
        let count = within.count();
        let parts = &mut self.pieces[start..start + count];
        known[start..start + count].fill(true);
        if let [piece] = parts {
            piece.load += rate;
            return;
        }
        let hot: f64 = self.loads.hot_within(range).map(|(_, r)| r).sum();
        let scale = if hot > rate { rate / hot } else { 1.0 };
        let rest = (rate - hot * scale).max(0.0);
        for piece in parts {
            let common = KeyRange {
                first: piece.range.first.max(range.first),
                last: piece.range.last.min(range.last),
            };
            let hot: f64 = self.loads.hot_within(common).map(|(_, r)| r).sum();
            piece.load += hot * scale + rest * to_float(common.width()) / to_float(range.width());
        }
    }

    /// Mean load per slot over the upstreams that take part in balance.
    pub(super) fn mean_load(&self) -> f64 {
        let nodes = || self.nodes.iter().filter(|n| n.balances());
        let load: f64 = nodes().map(|n| n.load).sum();
        let slots: f64 = nodes().map(|n| n.slots).sum();
        if slots > 0.0 { load / slots } else { 0.0 }
    }
}

impl Node<'_> {
    /// Tells whether the upstream takes part in balance.
    pub(super) fn balances(&self) -> bool {
        self.state.is_serving() && !self.unstable
    }

    /// Slots that count when the range of a lost or leaving owner needs a place.
    pub(super) fn refuge_slots(&self) -> f64 {
        if self.unstable { 1.0 } else { self.ramp }
    }
}

fn list_nodes<'a>(
    now: Instant,
    upstreams: &'a BTreeMap<UpstreamName, Candidate>,
    history: &History,
    limits: &Limits,
) -> Vec<Node<'a>> {
    let mut seen: BTreeMap<&Zone, usize> = BTreeMap::new();
    let mut order: Vec<(usize, &Zone, &UpstreamName, &Candidate)> = Vec::new();
    for (name, candidate) in upstreams {
        let rank = seen.entry(&candidate.zone).or_default();
        order.push((*rank, &candidate.zone, name, candidate));
        *rank += 1;
    }
    order.sort_by_key(|&(rank, zone, name, _)| (rank, zone, name));
    let node = |(_, _, name, candidate): (usize, &Zone, &'a UpstreamName, &Candidate)| {
        let slots = candidate.slots.max(1);
        let ramp = match candidate.state {
            UpstreamState::Ramping { limit } => limit.clamp(1, slots),
            UpstreamState::Serving | UpstreamState::Lost | UpstreamState::Leaving | UpstreamState::Out => slots,
        };
        Node {
            name,
            state: candidate.state,
            slots: slots.into(),
            ramp: ramp.into(),
            unstable: history.is_unstable(name, now),
            settling: history.is_settling(name, now, limits),
            load: 0.0,
        }
    };
    order.into_iter().map(node).collect()
}

fn list_pieces<'a>(
    input: &Input<'a>,
    nodes: &[Node],
    index: &BTreeMap<&UpstreamName, usize>,
    history: &History,
) -> Vec<Piece<'a>> {
    let pending: BTreeMap<KeyHash, &RangeMove> = input.pending.iter().map(|m| (m.range.first, m)).collect();
    // Owners of the table are interned, so a name is looked up once by its place in memory.
    let mut known: BTreeMap<*const UpstreamName, Option<usize>> = BTreeMap::new();
    let mut pieces = Vec::with_capacity(input.ranges.len());
    for info in input.ranges.iter() {
        let place = std::ptr::from_ref(info.owner);
        let owner = *known.entry(place).or_insert_with(|| index.get(info.owner).copied());
        for (range, planned) in cut_pending(info.range, &pending) {
            // A pending move to an upstream that fell away meanwhile is planned anew.
            let target = planned.and_then(|m| index.get(&m.to).copied());
            let target = target.filter(|&i| nodes[i].state.is_serving());
            let stuck = info.frozen.is_some() && target.is_none();
            pieces.push(Piece {
                range,
                from: info.owner,
                owner: target.or(owner),
                load: 0.0,
                movable: planned.is_none() && info.frozen.is_none() && !history.is_held(range),
                stuck,
            });
        }
    }
    pieces
}

/// Cuts a range at the ends of pending moves.
fn cut_pending<'m>(
    range: KeyRange,
    pending: &BTreeMap<KeyHash, &'m RangeMove>,
) -> Vec<(KeyRange, Option<&'m RangeMove>)> {
    if pending.is_empty() {
        return vec![(range, None)];
    }
    let before = pending.range(..range.first).next_back().map(|(_, m)| *m);
    let within = pending.range(range.first..=range.last).map(|(_, m)| *m);
    let mut parts = Vec::new();
    let mut next = Some(range.first);
    for planned in before.into_iter().chain(within) {
        let Some(first) = next else { break };
        if planned.range.last < first {
            continue;
        }
        if planned.range.first > first {
            let last = KeyHash(planned.range.first.0 - 1);
            parts.push((KeyRange { first, last }, None));
        }
        let common = KeyRange {
            first: planned.range.first.max(first),
            last: planned.range.last.min(range.last),
        };
        parts.push((common, Some(planned)));
        next = next_hash(common.last);
    }
    if let Some(first) = next.filter(|&first| first <= range.last) {
        let last = range.last;
        parts.push((KeyRange { first, last }, None));
    }
    parts
}

/// The hash after another one; `None` at the end of the space.
pub(super) fn next_hash(hash: KeyHash) -> Option<KeyHash> {
    hash.0.checked_add(1).map(KeyHash)
}

/// Upstreams in the order of a load ratio.
#[derive(Default)]
pub(super) struct Ranking {
    /// Ratios are not negative, so their bits are in order.
    order: BTreeSet<(u64, usize)>,
    /// Bits of the ratio by upstream; `None` if it is not ranked.
    ratios: Vec<Option<u64>>,
}

impl Ranking {
    /// Sets the ratio of an upstream.
    pub(super) fn set(&mut self, node: usize, ratio: f64) {
        self.remove(node);
        let bits = ratio.max(0.0).to_bits();
        if self.ratios.len() <= node {
            self.ratios.resize(node + 1, None);
        }
        self.ratios[node] = Some(bits);
        self.order.insert((bits, node));
    }

    pub(super) fn remove(&mut self, node: usize) {
        if let Some(bits) = self.ratios.get_mut(node).and_then(Option::take) {
            self.order.remove(&(bits, node));
        }
    }

    pub(super) fn contains(&self, node: usize) -> bool {
        self.ratios.get(node).is_some_and(Option::is_some)
    }

    pub(super) fn lowest(&self) -> Option<(f64, usize)> {
        self.order.first().map(|&(bits, node)| (f64::from_bits(bits), node))
    }

    pub(super) fn highest(&self) -> Option<(f64, usize)> {
        self.order.last().map(|&(bits, node)| (f64::from_bits(bits), node))
    }
}
