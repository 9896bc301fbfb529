//! Records of the log stream `ragworthub` and their JSON codec.

use std::net::SocketAddr;

use displaydoc::Display;
use thiserror::Error;

use crate::fold::SnapshotChunk;
use crate::tables::Tables;
use crate::types::{HostName, Incarnation, KeyRange, Offset, PoolName, RecordId, UpstreamName, Zone, value};

#[cfg(test)]
mod tests;

/// Largest accepted record, in bytes; a reader must hold a batch of them in memory.
pub(crate) const RECORD_MAX: usize = 1 << 20;

value! {
    /// A record with the id by which its author finds it again after a lost answer.
    pub(crate) struct Envelope {
        pub(crate) id: RecordId,
        /// The operator or host that wrote it; shown to those whose change conflicts with it.
        pub(crate) author: String,
        pub(crate) body: Record,
    }

    /// One change of the agreed state.
    ///
    /// `base` is the version that a record builds on: the offset of the record that set the
    /// current version. `term` is the offset of the leader's claim.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub(crate) enum Record {
        /// Replaces both tables.
        Publish { base: Offset, tables: Tables },
        /// Takes an availability zone or a host out of service, or back.
        SetService { base: Offset, target: ServiceTarget, in_service: bool },
        /// Adds an entry host to the membership.
        Join { base: Offset, host: HostName, incarnation: Incarnation, zone: Zone, address: SocketAddr },
        /// Replaces all members by one host, after operators made sure that the others are gone.
        Reform { base: Offset, host: HostName, incarnation: Incarnation, zone: Zone, address: SocketAddr },
        /// Removes an entry host from the membership.
        Evict { base: Offset, term: Offset, host: HostName, incarnation: Incarnation },
        /// States that a membership change can no longer be missed by a majority.
        Settle { term: Offset, change: Offset },
        /// Claims leadership; its offset is the new term.
        Claim { base: Offset, host: HostName, incarnation: Incarnation },
        /// Stops routing and grant renewal for ranges.
        ///
        /// `base` is the offset up to which the leader had folded; a range that was assigned after
        /// it is not stopped.
        Freeze { base: Offset, term: Offset, pool: PoolName, ranges: Vec<KeyRange> },
        /// Gives ranges that are frozen, or were never assigned, to owners.
        Assign { term: Offset, pool: PoolName, ranges: Vec<RangeOwner> },
        /// A part of the text of the whole state at the offset `through`.
        Snapshot { term: Offset, through: Offset, part: u32, parts: u32, chunk: Box<SnapshotChunk> },
    }

    /// What operators take out of service.
    #[serde(tag = "scope", content = "name", rename_all = "kebab-case")]
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) enum ServiceTarget {
        /// All upstreams and entry hosts of an availability zone.
        Zone(Zone),
        /// All upstreams on a host, or an entry host.
        Host(HostName),
    }

    /// A range and its next owner.
    pub(crate) struct RangeOwner {
        pub(crate) range: KeyRange,
        /// Offset of the record that stopped the range; 0 for a range that was never assigned.
        pub(crate) frozen: Offset,
        pub(crate) owner: UpstreamName,
    }
}

/// Why the text of a log record can't be used.
#[derive(Debug, Display, Error)]
pub(crate) enum BadRecord {
    /// record has {0} bytes, at most 1048576 are allowed
    TooLong(usize),
    /// record is not valid: {0}
    Syntax(serde_json::Error),
}

/// Writes a record as JSON.
///
/// # Errors
///
/// Fails if the record is longer than [`RECORD_MAX`].
pub(crate) fn encode_record(envelope: &Envelope) -> Result<String, BadRecord> {
    let text = serde_json::to_string(envelope).map_err(BadRecord::Syntax)?;
    if text.len() > RECORD_MAX {
        Err(BadRecord::TooLong(text.len()))
    } else {
        Ok(text)
    }
}

/// Reads a record from JSON.
///
/// # Errors
///
/// Fails if the text is too long, is no JSON, or has unknown or missing fields. Every host skips
/// such a record alike.
pub(crate) fn decode_record(text: &str) -> Result<Envelope, BadRecord> {
    if text.len() > RECORD_MAX {
        return Err(BadRecord::TooLong(text.len()));
    }
    serde_json::from_str(text).map_err(BadRecord::Syntax)
}
