//! Names, offsets, verdicts and reasons that all modules share.

/// Derives `Clone`, `Debug`, `PartialEq`, `Serialize` and `Deserialize` for plain data types, and makes
/// deserialization reject unknown fields.
macro_rules! value {
    ($($item:item)+) => {$(
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $item
    )+};
}

pub(crate) use value;

mod ids;
mod rate;
mod verdict;

#[cfg(test)]
mod tests;

pub(crate) use ids::{
    HostName, Offset, ParseValueError, PoolName, RouteName, StoreEra, TenantName, UpstreamName, Zone,
};
pub(crate) use rate::Rate;
pub(crate) use verdict::{Reason, Verdict};
