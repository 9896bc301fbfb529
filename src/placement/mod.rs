//! Plans which key ranges move to which upstreams.
//!
//! [`plan_moves`] looks at one pool at a time: owners of its ranges, loads, and the state of its
//! upstreams. A round goes through these systems in order:
//!
//! - [`orphans`]: ranges that were never assigned, or whose owner may no longer serve them;
//! - [`balance`]: ranges of upstreams that carry more than their share;
//! - [`merge`]: cold neighbours of one owner, so that the table stays small.
//!
//! [`LoadTable`] measures the loads on each host.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::fold::RangeTable;
use crate::types::{KeyRange, UpstreamName, Zone, value};

mod balance;
mod board;
mod history;
mod loads;
mod merge;
mod orphans;

#[cfg(test)]
mod tests;

pub(crate) use history::History;
pub(crate) use loads::{LoadReport, LoadTable};

use board::Board;

/// Number of hashes in the whole space.
const SPACE: u128 = 1 << 64;

value! {
    /// A range that should get a new owner.
    #[derive(Eq)]
    pub(crate) struct RangeMove {
        pub(crate) range: KeyRange,
        /// Present owner; `None` if the range was never assigned.
        pub(crate) from: Option<UpstreamName>,
        pub(crate) to: UpstreamName,
        pub(crate) cause: MoveCause,
    }

    /// Why a range moves.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "kebab-case")]
    pub(crate) enum MoveCause {
        /// The range was never assigned.
        Initial,
        /// Its owner is lost.
        Loss,
        /// Its owner, or the owner's host or zone, is leaving or out of service.
        Leaving,
        /// Its owner carries more than its share.
        Balance,
    }
}

/// What a round of planning looks at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Input<'a> {
    pub(crate) ranges: &'a RangeTable,
    /// Loads that the hosts reported, added up; may lack ranges.
    pub(crate) loads: &'a LoadReport,
    /// All upstreams of the pool.
    pub(crate) upstreams: &'a BTreeMap<UpstreamName, Candidate>,
    /// Moves of earlier rounds that are not assigned yet; they count as done.
    pub(crate) pending: &'a [RangeMove],
}

/// An upstream as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    pub(crate) zone: Zone,
    pub(crate) slots: u32,
    pub(crate) state: UpstreamState,
}

/// Whether an upstream may own ranges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamState {
    /// Serves at full speed.
    Serving,
    /// Serves in slow start, with the concurrency limit that its broker allows now.
    Ramping { limit: u32 },
    /// Declared lost.
    Lost,
    /// Announced that it leaves.
    Leaving,
    /// Its zone or host is out of service.
    Out,
}

impl UpstreamState {
    /// Tells whether the upstream may get ranges.
    pub(crate) fn is_serving(self) -> bool {
        match self {
            Self::Serving | Self::Ramping { .. } => true,
            Self::Lost | Self::Leaving | Self::Out => false,
        }
    }
}

/// Bounds and thresholds of the planner.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Ranges per upstream in the initial assignment.
    pub(crate) initial_ranges: u32,
    /// Ranges per upstream above which cold neighbours are merged.
    pub(crate) merge_above: u32,
    /// Load over share above which an upstream gives ranges away.
    pub(crate) overload: f64,
    /// Load over share down to which an overloaded upstream gives ranges away.
    pub(crate) relief: f64,
    /// Load over share below which an upstream is filled up.
    pub(crate) underload: f64,
    /// Load over share up to which an upstream takes ranges for balance.
    pub(crate) fill: f64,
    /// Part of an upstream's share above which a range is split.
    pub(crate) split_above: f64,
    /// Part of the hash space that may move for balance within `budget_window`.
    pub(crate) budget: f64,
    pub(crate) budget_window: Duration,
    /// Time for which a range that moved for balance stays.
    pub(crate) hold: Duration,
    /// Two losses within this time make an upstream unstable for the same time.
    pub(crate) flap_window: Duration,
    /// Time for which an upstream that came back gets no ranges for balance, so that a short
    /// outage that repeats doesn't move its ranges twice.
    pub(crate) settle: Duration,
    /// Requests per second and upstream that are assumed evenly over the hash space, beside what
    /// was measured. With averages over 20 s, chance alone then shifts an upstream's load by less
    /// than 6% of its share (three standard deviations) at any rate.
    pub(crate) background: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            initial_ranges: 64,
            merge_above: 80,
            overload: 1.10,
            relief: 1.05,
            underload: 0.90,
            fill: 1.03,
            split_above: 0.25,
            budget: 0.01,
            budget_window: Duration::from_secs(10),
            hold: Duration::from_mins(1),
            flap_window: Duration::from_mins(10),
            settle: Duration::from_secs(30),
            background: 20.0,
        }
    }
}

/// Plans the moves of one round for a pool.
///
/// The same sequence of calls gives the same moves. A move whose `from` and `to` are the same
/// merges the entries within its range, or ends a freeze that a former leader left behind.
pub(crate) fn plan_moves(now: Instant, input: &Input, history: &mut History, limits: &Limits) -> Vec<RangeMove> {
    history.observe(now, input.upstreams, limits);
    let mut board = Board::build(now, input, history, limits);
    let mut moves = orphans::assign_gaps(input, &mut board, limits);
    moves.extend(orphans::replace_owners(&mut board));
    // Loads are about to shift, so balance waits. Pending initial ranges are not in the table yet.
    let starting = input.pending.iter().any(|m| m.cause == MoveCause::Initial);
    if moves.is_empty() && !starting {
        moves = balance::balance_loads(now, &mut board, history, limits);
    }
    if moves.is_empty() && !starting {
        moves = merge::merge_ranges(now, input, &board, history, limits);
    }
    moves
}

/// Converts a number of hashes for arithmetic with loads.
#[expect(clippy::cast_precision_loss, reason = "loads are estimates")]
fn to_float(width: u128) -> f64 {
    width as f64
}
