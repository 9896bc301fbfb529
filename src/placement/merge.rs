//! Merges of cold neighbours, so that splits don't let the table grow without bound.

use tokio::time::Instant;

use super::board::{Board, Piece, next_hash};
use super::{History, Input, Limits, MoveCause, RangeMove, SPACE};
use crate::types::{KeyRange, UpstreamName};

/// Merges per round; each stops its ranges for as long as a move.
const ROUND_MAX: usize = 16;
/// Part of an upstream's share above which a range is not cold.
const COLD_MAX: f64 = 1.0 / 32.0;

/// Plans merges once the table has more ranges than it should.
///
/// A merged range is at most twice as wide as one of the initial assignment. A narrow cold range
/// between ranges of another owner moves to that owner first.
pub(super) fn merge_ranges(
    now: Instant,
    input: &Input,
    board: &Board,
    history: &mut History,
    limits: &Limits,
) -> Vec<RangeMove> {
    let count = input.upstreams.len().max(1);
    if input.ranges.len() <= limits.merge_above as usize * count {
        return Vec::new();
    }
    let nominal = SPACE / (u128::from(limits.initial_ranges.max(1)) * count as u128);
    let bound = Bound {
        width: 2 * nominal,
        load: board.mean_load() * COLD_MAX,
        fragment: nominal / 4,
    };
    let mut left = history.moves_left(board.pieces.len()).min(ROUND_MAX);
    let mut moves = Vec::new();
    let mut start = 0;
    while left > 0 && start < board.pieces.len() {
        let run = bound.run_length(board, start);
        let piece = &board.pieces[start];
        if run > 1 {
            let last = board.pieces[start + run - 1].range.last;
            let range = KeyRange { last, ..piece.range };
            history.note_merge(now, range, limits);
            moves.push(make_move(range, piece, piece.from));
            left -= 1;
        } else if let Some(to) = bound.find_home(board, start)
            && piece.range.width() <= history.width_left(limits)
        {
            history.note_move(now, piece.range, limits);
            moves.push(make_move(piece.range, piece, to));
            left -= 1;
        }
        start += run;
    }
    moves
}

fn make_move(range: KeyRange, piece: &Piece, to: &UpstreamName) -> RangeMove {
    RangeMove {
        range,
        from: Some(piece.from.clone()),
        to: to.clone(),
        cause: MoveCause::Balance,
    }
}

/// Bounds within which ranges are merged.
struct Bound {
    /// Widest merged range.
    width: u128,
    /// Load per slot of the hottest merged range.
    load: f64,
    /// Widest range that moves only to be merged.
    fragment: u128,
}

impl Bound {
    /// Number of pieces from `start` on that can become one range; at least 1.
    fn run_length(&self, board: &Board, start: usize) -> usize {
        let first = &board.pieces[start];
        let Some(owner) = first.owner.filter(|_| first.movable) else {
            return 1;
        };
        let most = self.load * board.nodes[owner].slots;
        let (mut width, mut load) = (first.range.width(), first.load);
        let mut run = 1;
        for pair in board.pieces[start..].windows(2) {
            width += pair[1].range.width();
            load += pair[1].load;
            if !joins(&pair[0], &pair[1]) || width > self.width || load > most {
                break;
            }
            run += 1;
        }
        run
    }

    /// Finds the neighbouring owner that a cold fragment should move to.
    fn find_home<'a>(&self, board: &Board<'a>, i: usize) -> Option<&'a UpstreamName> {
        let piece = &board.pieces[i];
        let owner = piece
            .owner
            .filter(|_| piece.movable && piece.range.width() < self.fragment)?;
        if piece.load > self.load / 8.0 * board.nodes[owner].slots {
            return None;
        }
        let before = i.checked_sub(1).map(|i| &board.pieces[i]);
        let after = board.pieces.get(i + 1);
        let neighbours = [
            before.filter(|p| adjacent(p, piece)),
            after.filter(|p| adjacent(piece, p)),
        ];
        let homes = neighbours.into_iter().flatten().filter(|p| p.movable);
        let homes = homes.filter_map(|p| p.owner).filter(|&o| o != owner);
        let mut fit = homes
            .map(|o| &board.nodes[o])
            .filter(|n| n.balances() && !n.settling && n.ramp >= n.slots);
        fit.next().map(|n| n.name)
    }
}

fn adjacent(a: &Piece, b: &Piece) -> bool {
    next_hash(a.range.last) == Some(b.range.first)
}

fn joins(a: &Piece, b: &Piece) -> bool {
    adjacent(a, b) && a.owner == b.owner && a.movable && b.movable
}
