//! Ids, verdicts and reasons that all modules share.

/// Adds the derives of a plain value: cloned, compared, printed and serialized.
macro_rules! value {
    ($($item:item)+) => {$(
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $item
    )+};
}

pub(crate) use value;

mod ids;
mod verdict;

#[cfg(test)]
mod tests;

pub(crate) use ids::{BadNumber, HostName, Offset, PoolName, RouteName, UpstreamName, Zone};
pub(crate) use verdict::{Reason, Verdict};
