//! Joins the membership, claims leadership and gives unassigned ranges to owners.

use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::time::sleep;

use super::{Proposal, Shared, propose};
use crate::fold::State;
use crate::log::Log;
use crate::records::{Envelope, RangeOwner, Record};
use crate::types::{KeyRange, Offset, RecordId};

/// Ranges per upstream at the first assignment.
const RANGES_PER_UPSTREAM: u32 = 64;
const PROPOSAL_LIMIT: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(50);

/// Writes what this host should write, until the task is aborted.
pub(super) async fn lead(shared: Arc<Shared>, log: impl Log) {
    loop {
        sleep(TICK).await;
        let next = next_record(&shared, &shared.state());
        let Some(body) = next else { continue };
        let envelope = Envelope {
            id: RecordId::draw(),
            author: shared.settings.host.to_string(),
            body,
        };
        match propose(&shared, &log, &envelope, PROPOSAL_LIMIT).await {
            Proposal::Folded { .. } => {}
            Proposal::Refused(why) | Proposal::Unknown(why) => {
                warn!(shared.log, "record not appended"; "error" => why);
            }
        }
    }
}

fn next_record(shared: &Shared, state: &State) -> Option<Record> {
    let (host, incarnation) = (shared.settings.host.clone(), shared.incarnation);
    let Some(member) = state.membership.members.get(&host) else {
        let (zone, address) = (shared.settings.zone.clone(), shared.settings.listen.peers);
        return Some(Record::Join {
            base: state.membership.version.offset,
            host,
            incarnation,
            zone,
            address,
        });
    };
    if member.incarnation != incarnation {
        return None;
    }
    if state.leader.term == Offset(0) {
        return Some(Record::Claim {
            base: Offset(0),
            host,
            incarnation,
        });
    }
    if state.leader.incarnation != incarnation {
        return None;
    }
    let term = state.leader.term;
    if !state.membership.settled {
        return Some(Record::Settle {
            term,
            change: state.membership.version.offset,
        });
    }
    assign_first(state, term)
}

fn assign_first(state: &State, term: Offset) -> Option<Record> {
    let unassigned = |(name, table): &(_, &crate::fold::RangeTable)| {
        table.len() == 0 && state.tables.pools.get(*name).is_some_and(|p| !p.upstreams.is_empty())
    };
    let (name, _) = state.ranges.iter().find(unassigned)?;
    let upstreams: Vec<_> = state.tables.pools[name].upstreams.keys().collect();
    let count = u32::try_from(upstreams.len()).ok()?;
    let ranges = KeyRange::divide_all(count * RANGES_PER_UPSTREAM);
    let owned = ranges.into_iter().zip(upstreams.iter().cycle());
    let ranges = owned
        .map(|(range, &owner)| RangeOwner {
            range,
            frozen: Offset(0),
            owner: owner.clone(),
        })
        .collect();
    Some(Record::Assign {
        term,
        pool: name.clone(),
        ranges,
    })
}
