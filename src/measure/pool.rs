//! A pool whose planned moves take effect at once, for measures and tests.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::fold::RangeTable;
use crate::placement::{Candidate, History, Input, Limits, LoadReport, RangeMove, UpstreamState, plan_moves};
use crate::records::RangeOwner;
use crate::types::{KeyRange, Offset, UpstreamName, Zone};

/// Upstreams, ranges and the planner's memory of one pool.
pub(crate) struct PoolModel {
    pub(crate) ranges: RangeTable,
    pub(crate) upstreams: BTreeMap<UpstreamName, Candidate>,
    pub(crate) history: History,
    pub(crate) limits: Limits,
    pub(crate) now: Instant,
    offset: u64,
}

impl PoolModel {
    /// Creates a pool of `count` upstreams in three zones, without ranges.
    ///
    /// # Panics
    ///
    /// Never: the generated names are valid.
    pub(crate) fn new(count: usize, slots: u32) -> Self {
        let candidate = |i: usize| {
            let zone: Zone = format!("zone-{}", i % 3).parse().expect("a valid name");
            let name: UpstreamName = format!("server-{i:04}").parse().expect("a valid name");
            let state = UpstreamState::Serving;
            (name, Candidate { zone, slots, state })
        };
        Self {
            ranges: RangeTable::default(),
            upstreams: (0..count).map(candidate).collect(),
            history: History::default(),
            limits: Limits::default(),
            now: Instant::now(),
            offset: 0,
        }
    }

    /// Plans a round without applying it.
    pub(crate) fn plan(&mut self, loads: &LoadReport, pending: &[RangeMove]) -> Vec<RangeMove> {
        let input = Input {
            ranges: &self.ranges,
            loads,
            upstreams: &self.upstreams,
            pending,
        };
        plan_moves(self.now, &input, &mut self.history, &self.limits)
    }

    /// Applies moves as the fold would.
    ///
    /// # Panics
    ///
    /// Panics if the fold would reject a move.
    pub(crate) fn apply(&mut self, moves: &[RangeMove]) {
        let (initial, rest): (Vec<&RangeMove>, Vec<&RangeMove>) = moves.iter().partition(|m| m.from.is_none());
        self.assign(&initial, Offset(0));
        let frozen = self.next_offset();
        let ranges: Vec<KeyRange> = rest.iter().map(|m| m.range).collect();
        self.ranges
            .freeze_ranges(frozen, frozen, &ranges)
            .expect("moves of served ranges");
        self.assign(&rest, frozen);
    }

    fn assign(&mut self, moves: &[&RangeMove], frozen: Offset) {
        let owner = |m: &&RangeMove| RangeOwner {
            range: m.range,
            frozen,
            owner: m.to.clone(),
        };
        let owners: Vec<RangeOwner> = moves.iter().map(owner).collect();
        let offset = self.next_offset();
        self.ranges.assign_ranges(offset, &owners).expect("frozen ranges");
    }

    pub(crate) fn next_offset(&mut self) -> Offset {
        self.offset += 1;
        Offset(self.offset)
    }

    /// Plans and applies a round, then lets a second pass.
    pub(crate) fn step(&mut self, loads: &LoadReport) -> Vec<RangeMove> {
        let moves = self.plan(loads, &[]);
        self.apply(&moves);
        self.now += Duration::from_secs(1);
        moves
    }

    /// Sets the state of an upstream.
    pub(crate) fn set_state(&mut self, index: usize, state: UpstreamState) {
        if let Some(candidate) = self.upstreams.values_mut().nth(index) {
            candidate.state = state;
        }
    }

    /// Sets the state of all upstreams in a zone.
    pub(crate) fn set_zone(&mut self, zone: &str, state: UpstreamState) {
        let within = self.upstreams.values_mut().filter(|c| c.zone.as_str() == zone);
        within.for_each(|c| c.state = state);
    }
}
