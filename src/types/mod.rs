//! Ids, key hashes, verdicts and reasons that all modules share.

/// Adds the derives of a plain value: cloned, compared, printed and serialized.
macro_rules! value {
    ($($item:item)+) => {$(
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $item
    )+};
}

pub(crate) use value;

mod fault;
mod ids;
mod key;
mod quantity;
mod verdict;

#[cfg(test)]
mod tests;

pub(crate) use fault::Fault;
pub(crate) use ids::{BadName, BadNumber};
pub(crate) use ids::{
    Caller, HostName, Incarnation, Instance, Offset, PoolName, RecordId, RequestId, RouteName, UpstreamName, Zone,
};
pub(crate) use key::{KeyHash, KeyRange};
pub(crate) use quantity::{Size, Span};
pub(crate) use verdict::{Reason, Verdict};
