//! Moves of ranges from upstreams that carry more than their share.

use tokio::time::Instant;

use super::board::{Board, Piece, Ranking};
use super::history::budget_width;
use super::{History, Limits, MoveCause, RangeMove, SPACE, to_float};
use crate::types::{KeyHash, KeyRange};

/// Parts of an upstream's share below which moving a piece has no noticeable effect.
const PIECE_MIN: f64 = 1.0 / 256.0;
/// Part of an upstream's share from which a hot hash is worth a range of its own.
const HOT_MIN: f64 = 1.0 / 32.0;
/// Part of an upstream's share by which a move that overfills its target must improve the pair.
const GAIN_MIN: f64 = 0.02;

/// Plans moves for balance, hottest pieces first, within the budget.
pub(super) fn balance_loads(now: Instant, board: &mut Board, history: &mut History, limits: &Limits) -> Vec<RangeMove> {
    let mean = board.mean_load();
    if mean <= 0.0 {
        return Vec::new();
    }
    let mut round = Round::start(board, mean, limits);
    let mut left = history.moves_left(board.pieces.len());
    let mut moves = Vec::new();
    while left > 0
        && let Some((source, target)) = round.pick_pair(limits)
    {
        let Some(piece) = round.take_piece(board, source, target, history, limits) else {
            round.sources.remove(source);
            continue;
        };
        board.nodes[source].load -= piece.load;
        board.nodes[target].load += piece.load;
        round.rank(board, source, limits);
        round.rank(board, target, limits);
        history.note_move(now, piece.range, limits);
        left -= 1;
        moves.push(RangeMove {
            range: piece.range,
            from: Some(piece.from.clone()),
            to: board.nodes[target].name.clone(),
            cause: MoveCause::Balance,
        });
    }
    moves
}

/// Upstreams by load during a round.
struct Round<'a> {
    /// Mean load per slot.
    mean: f64,
    /// Load over share of upstreams that may give.
    sources: Ranking,
    /// Load over share, in slow start over the ramp's part of it, of upstreams that may take.
    targets: Ranking,
    /// Upstreams that were above the overload threshold in this round.
    overloaded: Vec<bool>,
    /// Movable pieces by owner, hottest first; filled at first use.
    pieces: Vec<Option<Vec<Piece<'a>>>>,
    /// Indices of all pieces by owner; filled at first use.
    by_owner: Vec<Vec<usize>>,
}

impl<'a> Round<'a> {
    fn start(board: &Board<'a>, mean: f64, limits: &Limits) -> Self {
        let count = board.nodes.len();
        let mut round = Self {
            mean,
            sources: Ranking::default(),
            targets: Ranking::default(),
            overloaded: vec![false; count],
            pieces: vec![None; count],
            by_owner: Vec::new(),
        };
        for (i, node) in board.nodes.iter().enumerate().filter(|(_, n)| n.balances()) {
            let ratio = node.load / (node.slots * mean);
            round.overloaded[i] = ratio > limits.overload;
            round.sources.set(i, ratio);
            if !node.settling {
                round.targets.set(i, node.load / (node.ramp * mean));
            }
        }
        round
    }

    /// Picks the most loaded upstream and the one that takes from it.
    fn pick_pair(&self, limits: &Limits) -> Option<(usize, usize)> {
        let (ratio, source) = self.sources.highest()?;
        let (fill, target) = self.targets.lowest()?;
        let overloaded = self.overloaded[source] && ratio > limits.relief;
        let filling = fill < limits.underload && ratio > 1.0;
        (source != target && (overloaded || filling)).then_some((source, target))
    }

    /// Updates the ratios of an upstream that gave or took a piece.
    fn rank(&mut self, board: &Board, i: usize, limits: &Limits) {
        let node = &board.nodes[i];
        let ratio = node.load / (node.slots * self.mean);
        self.overloaded[i] |= ratio > limits.overload;
        if self.sources.contains(i) {
            self.sources.set(i, ratio);
        }
        if self.targets.contains(i) {
            self.targets.set(i, node.load / (node.ramp * self.mean));
        }
    }

    /// Takes the hottest piece of `source` that fits `target`, cutting one if none fits whole.
    fn take_piece(
        &mut self,
        board: &Board<'a>,
        source: usize,
        target: usize,
        history: &History,
        limits: &Limits,
    ) -> Option<Piece<'a>> {
        let (from, to) = (&board.nodes[source], &board.nodes[target]);
        let share = from.slots * self.mean;
        // A ramp is a bound: an upstream in slow start never gets more than its part.
        let fill = if to.ramp < to.slots { 1.0 } else { limits.fill };
        let room = to.ramp * self.mean * fill - to.load;
        let excess = from.load - share * (2.0 - limits.fill);
        let most = room.min(excess);
        // A hot key may push a steady upstream above its share if both end up better than the
        // source was: it costs no budget, while the cold ranges beside it would take minutes.
        let steady = to.ramp >= to.slots && self.overloaded[source];
        let even = (from.load * to.slots - to.load * from.slots) / (from.slots + to.slots);
        let hottest = if steady {
            most.max(even - share * GAIN_MIN)
        } else {
            most
        };
        let least = share * PIECE_MIN;
        let width = history.width_left(limits);
        self.fill_pieces(board, source, share, limits);
        let pieces = self.pieces[source].as_mut()?;
        let fits = |p: &Piece| p.load <= hottest && p.load >= least && p.range.width() <= width;
        if let Some(i) = pieces.iter().position(fits) {
            return Some(pieces.remove(i));
        }
        let bound = Cut {
            most,
            least,
            width,
            budget: budget_width(limits),
        };
        let i = pieces.iter().position(|p| bound.part_of(p).is_some())?;
        let part = bound.part_of(&pieces[i])?;
        pieces[i] = Piece {
            range: KeyRange {
                first: KeyHash(part.range.last.0 + 1),
                last: pieces[i].range.last,
            },
            load: pieces[i].load - part.load,
            ..pieces[i]
        };
        Some(part)
    }

    /// Lists the movable pieces of an upstream, with hot ranges split.
    fn fill_pieces(&mut self, board: &Board<'a>, source: usize, share: f64, limits: &Limits) {
        if self.pieces[source].is_some() {
            return;
        }
        if self.by_owner.is_empty() {
            self.by_owner = index_owners(board);
        }
        let mut list = Vec::new();
        for &i in &self.by_owner[source] {
            let piece = board.pieces[i];
            if piece.load > share * limits.split_above && piece.range.width() > 1 {
                split_hot(board, piece, share, &mut list);
            } else {
                list.push(piece);
            }
        }
        list.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.range.cmp(&b.range)));
        self.pieces[source] = Some(list);
    }
}

fn index_owners(board: &Board) -> Vec<Vec<usize>> {
    let mut lists = vec![Vec::new(); board.nodes.len()];
    for (i, piece) in board.pieces.iter().enumerate().filter(|(_, p)| p.movable) {
        if let Some(owner) = piece.owner {
            lists[owner].push(i);
        }
    }
    lists
}

/// Splits a hot range around its hot hashes; without a known one, in two halves.
fn split_hot<'a>(board: &Board<'a>, piece: Piece<'a>, share: f64, list: &mut Vec<Piece<'a>>) {
    let hot: Vec<(KeyHash, f64)> = board
        .loads
        .hot_within(piece.range)
        .filter(|&(_, rate)| rate >= share * HOT_MIN)
        .collect();
    let sum: f64 = hot.iter().map(|&(_, rate)| rate).sum();
    let density = (piece.load - sum).max(0.0) / to_float(piece.range.width());
    let mut add = |first: u64, last: u64, hot: f64| {
        let range = KeyRange {
            first: KeyHash(first),
            last: KeyHash(last),
        };
        let load = hot + density * to_float(range.width());
        list.push(Piece { range, load, ..piece });
    };
    let (mut next, end) = (piece.range.first.0, piece.range.last.0);
    if hot.is_empty() {
        let middle = next + (end - next) / 2;
        add(next, middle, 0.0);
        add(middle + 1, end, 0.0);
        return;
    }
    for (KeyHash(hash), rate) in hot {
        if hash > next {
            add(next, hash - 1, 0.0);
        }
        add(hash, hash, rate);
        if hash == end {
            return;
        }
        next = hash + 1;
    }
    add(next, end, 0.0);
}

/// Bounds of a part that is cut off a range.
struct Cut {
    most: f64,
    least: f64,
    /// Width that may still move now.
    width: u128,
    /// Width that may move in a whole window.
    budget: u128,
}

impl Cut {
    /// Cuts off the first part of a range that is too hot or too wide to move whole.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of the space"
    )]
    fn part_of<'a>(&self, piece: &Piece<'a>) -> Option<Piece<'a>> {
        let width = piece.range.width();
        let too_hot = piece.load > self.most;
        // A range that is only too wide for what is left of the window waits for the next one.
        if !too_hot && width <= self.budget || width > SPACE || piece.load <= 0.0 {
            return None;
        }
        let part = (to_float(width) * (self.most / piece.load).clamp(0.0, 1.0)) as u128;
        let part = part.min(self.width).min(width - 1);
        let load = piece.load * to_float(part) / to_float(width);
        if part == 0 || load < self.least {
            return None;
        }
        let last = KeyHash(piece.range.first.0 + u64::try_from(part - 1).ok()?);
        let range = KeyRange { last, ..piece.range };
        Some(Piece { range, load, ..*piece })
    }
}
