//! Ranges without an owner that may serve them.

use super::board::{Board, Piece, Ranking, next_hash};
use super::{Input, Limits, MoveCause, RangeMove, UpstreamState, to_float};
use crate::types::{KeyHash, KeyRange, UpstreamName};

/// Gives ranges that were never assigned to upstreams.
pub(super) fn assign_gaps(input: &Input, board: &mut Board, limits: &Limits) -> Vec<RangeMove> {
    let gaps = find_gaps(input);
    let count = u32::try_from(input.upstreams.len()).unwrap_or(u32::MAX);
    if gaps.is_empty() || count == 0 {
        return Vec::new();
    }
    let mut refuges = rank_refuges(board);
    let mut moves = Vec::new();
    for cell in KeyRange::divide_all(limits.initial_ranges.saturating_mul(count).max(1)) {
        let start = gaps.partition_point(|gap| gap.last < cell.first);
        for gap in gaps[start..].iter().take_while(|gap| gap.first <= cell.last) {
            let range = KeyRange {
                first: gap.first.max(cell.first),
                last: gap.last.min(cell.last),
            };
            let load = to_float(range.width()) * board.density;
            let Some(to) = place_load(board, &mut refuges, load) else {
                return Vec::new();
            };
            let cause = MoveCause::Initial;
            moves.push(RangeMove {
                range,
                from: None,
                to,
                cause,
            });
        }
    }
    moves
}

/// Parts of the hash space that are neither assigned nor about to be.
fn find_gaps(input: &Input) -> Vec<KeyRange> {
    let serving = |name: &UpstreamName| input.upstreams.get(name).is_some_and(|c| c.state.is_serving());
    let planned = input.pending.iter().filter(|m| m.from.is_none() && serving(&m.to));
    let mut taken: Vec<KeyRange> = input.ranges.iter().map(|info| info.range).collect();
    taken.extend(planned.map(|m| m.range));
    taken.sort_unstable();
    let mut gaps = Vec::new();
    let mut next = Some(KeyHash::MIN);
    for range in taken {
        let Some(first) = next else { break };
        if range.first > first {
            let last = KeyHash(range.first.0 - 1);
            gaps.push(KeyRange { first, last });
        }
        next = next_hash(range.last.max(KeyHash(first.0.saturating_sub(1))));
    }
    if let Some(first) = next {
        let last = KeyHash::MAX;
        gaps.push(KeyRange { first, last });
    }
    gaps
}

/// Moves ranges away from owners that are lost, leaving or gone from the pool, hottest first.
pub(super) fn replace_owners(board: &mut Board) -> Vec<RangeMove> {
    let needs_owner = |piece: &&Piece| piece.stuck || !owner_serves(board, piece);
    let mut orphans: Vec<Piece> = board.pieces.iter().filter(needs_owner).copied().collect();
    orphans.sort_by(|a, b| b.load.total_cmp(&a.load).then(a.range.cmp(&b.range)));
    let mut refuges = rank_refuges(board);
    let plan = |piece: Piece| {
        let (to, cause) = if owner_serves(board, &piece) {
            // A former leader froze the range and did not finish the move.
            (piece.from.clone(), MoveCause::Balance)
        } else {
            (place_load(board, &mut refuges, piece.load)?, cause_of(board, &piece))
        };
        let from = Some(piece.from.clone());
        let range = piece.range;
        Some(RangeMove { range, from, to, cause })
    };
    orphans.into_iter().filter_map(plan).collect()
}

fn owner_serves(board: &Board, piece: &Piece) -> bool {
    piece.owner.is_some_and(|i| board.nodes[i].state.is_serving())
}

fn cause_of(board: &Board, piece: &Piece) -> MoveCause {
    match piece.owner.map(|i| board.nodes[i].state) {
        Some(UpstreamState::Lost) => MoveCause::Loss,
        // An upstream that operators removed from the tables may still run, so it is asked to stop.
        None | Some(UpstreamState::Leaving | UpstreamState::Out) => MoveCause::Leaving,
        Some(UpstreamState::Serving | UpstreamState::Ramping { .. }) => MoveCause::Balance,
    }
}

fn rank_refuges(board: &Board) -> Ranking {
    let mut ranking = Ranking::default();
    for (i, node) in board.nodes.iter().enumerate().filter(|(_, n)| n.state.is_serving()) {
        ranking.set(i, node.load / node.refuge_slots());
    }
    ranking
}

/// Adds a load to the least loaded upstream.
fn place_load(board: &mut Board, refuges: &mut Ranking, load: f64) -> Option<UpstreamName> {
    let (_, i) = refuges.lowest()?;
    let node = &mut board.nodes[i];
    node.load += load;
    refuges.set(i, node.load / node.refuge_slots());
    Some(node.name.clone())
}
