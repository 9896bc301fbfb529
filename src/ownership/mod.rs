//! Moves of key ranges, grants and loss of owners.
//!
//! Each host runs [`Gate`], [`Granter`] and [`Health`]; the leader also acts on [`LossDetector`] and
//! [`Mover`], which every host feeds so that a new leader knows what the old one knew.
//! [`UpstreamGrants`] is the check on the side of a fenced upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fold::State;
use crate::tables::Ownership;
use crate::types::{Incarnation, KeyRange, Offset, PoolName, Span, UpstreamName, value};

mod gate;
mod grant_check;
mod granter;
mod grants;
mod health;
mod loss;
mod mover;

#[cfg(test)]
mod tests;

pub(crate) use gate::{Denied, Gate, Pass, PassId};
pub use grant_check::{CheckError, GrantCheck};
pub(crate) use granter::Granter;
pub(crate) use grants::{GrantRefusal, UpstreamGrants};
pub(crate) use health::Health;
pub(crate) use loss::LossDetector;
pub(crate) use mover::{MoveAction, Mover, Plan};

value! {
    /// A reading of an upstream's clock, which it sends with each answer.
    ///
    /// A grant counts from such a reading. Counted from receipt, a grant that lay in the socket of
    /// a frozen upstream would start anew when the upstream wakes.
    #[derive(Copy, Eq)]
    pub(crate) struct UpstreamClock {
        pub(crate) incarnation: Incarnation,
        /// Time since the upstream started.
        pub(crate) uptime: Span,
    }

    /// Permits a fenced upstream to serve ranges for a time.
    #[derive(Eq)]
    pub(crate) struct Grant {
        pub(crate) pool: PoolName,
        /// The reading from which `duration` counts.
        pub(crate) from: UpstreamClock,
        pub(crate) duration: Span,
        pub(crate) ranges: Vec<GrantedRange>,
    }

    /// A range with its fencing token.
    #[derive(Copy, Eq)]
    pub(crate) struct GrantedRange {
        pub(crate) range: KeyRange,
        pub(crate) epoch: Offset,
    }

    /// Ends grants before their time.
    #[derive(Eq)]
    pub(crate) struct Revoke {
        pub(crate) pool: PoolName,
        /// The `Freeze` for which the leader revokes; the upstream returns it.
        pub(crate) freeze: Offset,
        pub(crate) ranges: Vec<GrantedRange>,
    }

    /// What a host says about the ranges of one owner that a `Freeze` stopped.
    #[derive(Eq)]
    pub(crate) struct FreezeAck {
        pub(crate) freeze: Offset,
        pub(crate) owner: UpstreamName,
        pub(crate) drain: Drain,
        /// Age of the newest clock reading that a grant of this host to the owner counts from; at
        /// most the time for which this host has run.
        pub(crate) renewed: Span,
    }

    /// How far the requests in flight on frozen ranges are.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "kebab-case")]
    pub(crate) enum Drain {
        /// Some are in flight.
        Busy,
        /// None is in flight, but some were aborted and may still run.
        Aborted,
        /// All have ended.
        Ended,
    }
}

/// Ranges of one owner that one `Freeze` stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
struct FrozenGroup {
    pool: PoolName,
    ranges: Vec<GrantedRange>,
}

/// Frozen ranges by the `Freeze` and the owner.
type FrozenGroups = BTreeMap<(Offset, UpstreamName), FrozenGroup>;

fn frozen_groups(state: &State) -> FrozenGroups {
    let mut groups = FrozenGroups::new();
    for (pool, table) in &state.ranges {
        for info in table.iter() {
            let Some(freeze) = info.frozen else { continue };
            let group = groups
                .entry((freeze, info.owner.clone()))
                .or_insert_with(|| FrozenGroup {
                    pool: pool.clone(),
                    ranges: Vec::new(),
                });
            group.ranges.push(GrantedRange {
                range: info.range,
                epoch: info.epoch,
            });
        }
    }
    groups
}

fn ownership_of(state: &State, pool: &PoolName) -> Option<Ownership> {
    state.tables.pools.get(pool).map(|p| p.ownership)
}

/// Longest time that an upstream of a pool works on one request.
///
/// A pool that was unpublished meanwhile gets the default, so that its moves still end.
fn run_limit(state: &State, pool: &PoolName) -> Duration {
    const DEFAULT: Duration = Duration::from_millis(1_500);
    state.tables.pools.get(pool).map_or(DEFAULT, |p| p.run_limit.0)
}
