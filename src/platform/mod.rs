//! Wire formats of the platform on which a deployment runs, and the client of its store.
//!
//! This module makes no decisions. It decodes each name on the wire once into the types of the other
//! modules, which don't know the platform's names.

mod bounds;
mod configuration;
mod headers;
mod orders;
mod servers;
mod store;
mod units;

#[cfg(test)]
mod tests;

pub(crate) use bounds::{Bounds, decode_bounds};
pub(crate) use configuration::{Decoded, decode_catalog, decode_with_key};
pub(crate) use headers::{
    CREDENTIAL, DEADLINE, EXPECTED_INSTANCE, INSTANCE, NOT_EXECUTED, REQUEST_ID, SHARD_KEY, SIGNATURE, TENANT,
    read_cold, read_leaving, read_limit, read_load, read_pause,
};
pub(crate) use orders::{LeaseCommand, encode_command, read_handover};
pub(crate) use servers::decode_server;
pub(crate) use store::{Member, ProducerState, Record, Store, StoreError};

/// Topic of the operators' records.
pub(crate) const OPERATOR_TOPIC: &str = "keyed.op";
/// Topic of the upstreams' announcements.
pub(crate) const UPSTREAM_TOPIC: &str = "keyed.servers";
/// Topic of the hosts' own records.
pub(crate) const HOST_TOPIC: &str = "keyed.ragworthub";

/// Topic of the hosts' counts of requests.
pub(crate) const COUNT_TOPIC: &str = "keyed.ragworthub-counts";

/// Key of the configuration in the operators' topic.
const CONFIGURATION_KEY: &str = "config";
/// Prefix of the keys that take an availability zone out of service.
const EVACUATION_PREFIX: &str = "evacuate/";

/// Subject of an operators' record, as its key states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OperatorKey {
    Configuration,
    Evacuation(String),
    Other,
}

/// Parses the key of an operators' record.
pub(crate) fn read_operator_key(key: &str) -> OperatorKey {
    if key == CONFIGURATION_KEY {
        return OperatorKey::Configuration;
    }
    match key.strip_prefix(EVACUATION_PREFIX) {
        Some(zone) => OperatorKey::Evacuation(zone.to_owned()),
        None => OperatorKey::Other,
    }
}
