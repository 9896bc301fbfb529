//! Checks before operators take a zone or host out of service.

use std::collections::BTreeMap;

use displaydoc::Display;
use thiserror::Error;

use super::{Tables, Upstream};
use crate::fold::Service;
use crate::records::ServiceTarget;
use crate::types::{HostName, PoolName, Zone, value};

/// Why a target can't be taken out of service.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum UnknownTarget {
    /// no upstream is in availability zone {0}
    Zone(Zone),
    /// no upstream is on host {0}
    Host(HostName),
}

value! {
    /// Whether the rest of each pool can carry the load without a target.
    #[derive(Default)]
    pub(crate) struct CapacityReport {
        pub(crate) pools: BTreeMap<PoolName, PoolCapacity>,
    }

    /// Slots of a pool without a target.
    #[derive(Copy, Default, Eq)]
    pub(crate) struct PoolCapacity {
        /// Slots in service without the target.
        pub(crate) remaining: u64,
        /// Slots that requests occupy now, the target's included.
        pub(crate) in_use: u64,
    }
}

/// Checks that a target exists in the tables.
///
/// # Errors
///
/// Fails if no upstream is in the zone or on the host.
pub(crate) fn check_service_target(tables: &Tables, target: &ServiceTarget) -> Result<(), UnknownTarget> {
    let mut upstreams = tables.pools.values().flat_map(|pool| pool.upstreams.values());
    if upstreams.any(|upstream| is_target(upstream, target)) {
        return Ok(());
    }
    Err(match target {
        ServiceTarget::Zone(zone) => UnknownTarget::Zone(zone.clone()),
        ServiceTarget::Host(host) => UnknownTarget::Host(host.clone()),
    })
}

/// Reports what remains of each pool if a target is taken out of service.
///
/// Upstreams that are out already don't count. Pools that the target doesn't touch are included,
/// so that the report shows the whole deployment.
pub(crate) fn check_capacity(
    tables: &Tables,
    service: &Service,
    target: &ServiceTarget,
    in_use: &BTreeMap<PoolName, u64>,
) -> CapacityReport {
    let remains = |u: &&Upstream| service.admits(&u.host, &u.zone) && !is_target(u, target);
    let pools = tables.pools.iter().map(|(name, pool)| {
        let slots = pool.upstreams.values().filter(remains).map(|u| u64::from(u.slots));
        let capacity = PoolCapacity {
            remaining: slots.sum(),
            in_use: in_use.get(name).copied().unwrap_or_default(),
        };
        (name.clone(), capacity)
    });
    CapacityReport { pools: pools.collect() }
}

fn is_target(upstream: &Upstream, target: &ServiceTarget) -> bool {
    match target {
        ServiceTarget::Zone(zone) => upstream.zone == *zone,
        ServiceTarget::Host(host) => upstream.host == *host,
    }
}

impl PoolCapacity {
    /// Tells whether the slots in use leave 20% of the remaining slots free.
    pub(crate) fn suffices(self) -> bool {
        self.in_use.saturating_mul(5) <= self.remaining.saturating_mul(4)
    }
}

impl CapacityReport {
    /// Tells whether every pool can carry its load.
    pub(crate) fn suffices(&self) -> bool {
        self.pools.values().all(|pool| pool.suffices())
    }
}
