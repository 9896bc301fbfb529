//! The configuration that operators publish: which requests go to which pool, and how pools are used.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::Uri;

use crate::types::{Offset, PoolName, RouteName, UpstreamName, Zone};

#[cfg(test)]
mod tests;

/// Version of a configuration as operators number it; it only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CatalogVersion(pub(crate) u64);

impl fmt::Display for CatalogVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// What a repeated execution of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Idempotency {
    /// Running it again changes nothing.
    Idempotent,
    /// As `Idempotent`, with large answers.
    Download,
    /// It may run once at most.
    NonIdempotent,
}

impl Idempotency {
    pub(crate) fn is_retryable(self) -> bool {
        self != Self::NonIdempotent
    }
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) pool: PoolName,
    pub(crate) weight: u32,
}

/// Which requests go where, and within which limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    pub(crate) name: RouteName,
    /// Lower-case host of the URL, without a port.
    pub(crate) host: String,
    /// Starts and ends with a slash.
    pub(crate) prefix: String,
    pub(crate) idempotency: Idempotency,
    /// Longest time until the final answer.
    pub(crate) timeout: Duration,
    /// Time within which callers want the answer.
    pub(crate) objective: Duration,
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    /// Most upstreams to which one request may be sent.
    pub(crate) attempts: u32,
    pub(crate) targets: Vec<Target>,
}

/// A group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Pool {
    pub(crate) name: PoolName,
    /// Connections that one upstream accepts from all hosts together.
    pub(crate) connections: u32,
    /// Requests a second that a cold upstream tolerates from all hosts together.
    pub(crate) cold_rate: f64,
    /// How long an upstream stays cold after its start.
    pub(crate) cold_time: Duration,
    /// Path at which an upstream tells its state.
    pub(crate) health_path: String,
    /// Each key has one owner, to which requests for it go.
    pub(crate) is_sharded: bool,
}

/// Limits on what a caller may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    pub(crate) header_bytes: usize,
    pub(crate) body_bytes: usize,
    pub(crate) idle_time: Duration,
}

/// A whole configuration.
#[derive(Clone, Debug)]
pub(crate) struct Catalog {
    pub(crate) version: CatalogVersion,
    /// Position in the store, which decides which of two configurations is newer.
    pub(crate) offset: Offset,
    /// Routes by host and prefix.
    pub(crate) routes: BTreeMap<String, BTreeMap<String, Route>>,
    pub(crate) pools: BTreeMap<PoolName, Pool>,
    pub(crate) limits: CallerLimits,
}

impl Catalog {
    /// Finds the route with the longest prefix of the path.
    pub(crate) fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let routes = self.routes.get(&host)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }
}

impl Catalog {
    /// Finds references to pools that don't exist, and routes that no request could use.
    pub(crate) fn validate(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for route in self.routes.values().flat_map(BTreeMap::values) {
            if route.targets.iter().all(|target| target.weight == 0) {
                faults.push(format!("route {} has no target", route.name));
            }
            for target in &route.targets {
                if !self.pools.contains_key(&target.pool) {
                    faults.push(format!("route {}: no pool has the name {}", route.name, target.pool));
                }
            }
            if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
                faults.push(format!(
                    "route {}: prefix {:?} has no slash at an end",
                    route.name, route.prefix
                ));
            }
        }
        faults
    }
}

/// Gives the host and path that select the route of a request.
pub(crate) fn find_target<'a>(uri: &'a Uri, host_header: Option<&'a str>) -> (&'a str, &'a str) {
    (uri.host().or(host_header).unwrap_or_default(), uri.path())
}

/// Whether an upstream says that it takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Ready,
    Draining,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Announcement {
    pub(crate) upstream: UpstreamName,
    pub(crate) pool: PoolName,
    pub(crate) address: SocketAddr,
    pub(crate) zone: Zone,
    pub(crate) slots: u32,
    pub(crate) phase: Phase,
    /// How much longer it stays cold.
    pub(crate) cold_left: Duration,
    /// Start of the process in Unix milliseconds; tells two runs under one name apart.
    pub(crate) incarnation: u64,
    /// Number of the announcement within the run.
    pub(crate) sequence: u64,
}
