//! The configuration that operators publish: routes, pools of upstreams, and limits on requests.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::Uri;

use crate::tenants::TenantDirectory;
use crate::types::{Offset, PoolName, RouteName, UpstreamName, Zone};

mod check;
mod currency;
#[cfg(test)]
mod tests;

pub(crate) use check::{Finding, compare};
pub(crate) use currency::Currency;

/// Version number that operators give a configuration. A host replaces the configuration in force only by
/// one with a higher version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CatalogVersion(pub(crate) u64);

impl fmt::Display for CatalogVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Idempotency {
    /// Repeated execution changes nothing.
    Idempotent,
    /// As `Idempotent`, with large responses.
    Download,
    /// Must run at most once.
    NonIdempotent,
    /// As `NonIdempotent`, with large requests.
    Upload,
}

impl Idempotency {
    /// Reports whether a request that may have run may be sent again.
    pub(crate) fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::NonIdempotent | Self::Upload => false,
        }
    }

    /// Reports whether requests or responses are large, so that another zone costs many bytes.
    pub(crate) fn is_large(self) -> bool {
        match self {
            Self::Download | Self::Upload => true,
            Self::Idempotent | Self::NonIdempotent => false,
        }
    }
}

/// A pool that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) pool: PoolName,
    pub(crate) weight: u32,
}

/// A rule that selects requests by host and path, with their pools and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    pub(crate) name: RouteName,
    /// Lower-case host of the URL, without a port.
    pub(crate) host: String,
    /// Starts and ends with a slash.
    pub(crate) prefix: String,
    pub(crate) idempotency: Idempotency,
    /// Longest time until the final response.
    pub(crate) timeout: Duration,
    /// Time within which callers want the response.
    pub(crate) objective: Duration,
    /// 0 is the most urgent.
    pub(crate) priority: u8,
    /// Largest number of upstreams to which one request may be sent.
    pub(crate) attempts: u32,
    pub(crate) targets: Vec<Target>,
    /// Whether requests need no credential.
    pub(crate) is_public: bool,
}

/// A group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Pool {
    pub(crate) name: PoolName,
    /// Connections that one upstream accepts from all hosts together.
    pub(crate) connections: u32,
    /// Requests per second that a cold upstream tolerates from all hosts together.
    pub(crate) cold_rate: f64,
    /// How long an upstream stays cold after its start.
    pub(crate) cold_time: Duration,
    /// Path of an upstream's health check.
    pub(crate) health_path: String,
    /// Whether each key has one owner, which receives all requests for it.
    pub(crate) is_sharded: bool,
}

/// Limits on what a caller may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    pub(crate) header_bytes: usize,
    pub(crate) body_bytes: usize,
    pub(crate) idle_time: Duration,
}

/// A configuration, as operators publish it.
#[derive(Clone, Debug)]
pub(crate) struct Catalog {
    pub(crate) version: CatalogVersion,
    /// Offset of its record in the store, by which a host recognizes the record of the configuration in force
    /// when it reads it again.
    pub(crate) offset: Offset,
    /// Routes by host and prefix.
    pub(crate) routes: BTreeMap<String, BTreeMap<String, Route>>,
    /// Routes that exist, but whose entries can't be used.
    pub(crate) unusable_routes: Vec<UnusableRoute>,
    pub(crate) pools: BTreeMap<PoolName, Pool>,
    pub(crate) limits: CallerLimits,
    /// Tenants by credential; `None` if requests need no credential.
    pub(crate) tenants: Option<TenantDirectory>,
}

/// What can be read of a route that exists, but whose entry can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnusableRoute {
    /// As [`Route::host`]; `None` if it can't be read.
    pub(crate) host: Option<String>,
    /// As [`Route::prefix`], but may lack the last slash; `None` if it can't be read.
    pub(crate) prefix: Option<String>,
}

/// Result of the search for the route of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteMatch<'a> {
    Found(&'a Route),
    /// The route with the longest matching prefix can't be used, or names no pool.
    Unusable,
    /// No known route matches, but one whose host or prefix can't be read might.
    Unsure,
    Missing,
}

impl Catalog {
    /// Returns the route of the host with the longest prefix that the path starts with.
    pub(crate) fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        match self.match_route(host, path) {
            RouteMatch::Found(route) => Some(route),
            RouteMatch::Unusable | RouteMatch::Unsure | RouteMatch::Missing => None,
        }
    }

    /// Reports whether a route splits its requests between pools with and without keys, so that a caller can't know whether
    /// it has to send one.
    pub(crate) fn mixes_keys(&self, route: &Route) -> bool {
        let is_sharded = |target: &Target| self.pools.get(&target.pool).is_some_and(|pool| pool.is_sharded);
        let mut targets = route.targets.iter().filter(|target| target.weight > 0);
        let first = targets.next().map(is_sharded);
        targets.any(|target| Some(is_sharded(target)) != first)
    }

    /// Finds the route of the host with the longest prefix that the path starts with. An unusable route takes part: a
    /// shorter prefix may belong to another pool.
    pub(crate) fn match_route(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let host = host_name(host);
        let found = self.routes.get(&host).and_then(|routes| {
            let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
            ends.find_map(|end| routes.get(&path[..end]))
        });
        let covers = |route: &&UnusableRoute| {
            route.host.as_ref().is_none_or(|known| *known == host)
                && route.prefix.as_ref().is_none_or(|known| covers_path(known, path))
        };
        let mut is_unsure = false;
        for route in self.unusable_routes.iter().filter(covers) {
            let prefix = route.prefix.as_ref().filter(|_| route.host.is_some());
            if prefix.is_some_and(|prefix| found.is_none_or(|found| prefix.len() > found.prefix.len())) {
                return RouteMatch::Unusable;
            }
            is_unsure |= prefix.is_none();
        }
        match found {
            Some(route) if route.targets.is_empty() => RouteMatch::Unusable,
            Some(route) => RouteMatch::Found(route),
            None if is_unsure => RouteMatch::Unsure,
            None => RouteMatch::Missing,
        }
    }
}

/// Reports whether a path begins with a prefix that may lack its last slash.
fn covers_path(prefix: &str, path: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/'))
}

/// Returns the lower-case name of a host without its port and the dot that marks a name as complete.
pub(crate) fn host_name(host: &str) -> String {
    let is_port = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    let name = host.rsplit_once(':').filter(|(_, port)| is_port(port));
    let name = name.map_or(host, |(name, _)| name);
    name.strip_suffix('.').unwrap_or(name).to_ascii_lowercase()
}

/// Reports whether each percent sign of a path starts an escape of two hexadecimal digits (RFC 3986, section 2.1).
pub(crate) fn has_valid_escapes(path: &str) -> bool {
    let is_escape = |rest: &[u8]| rest.len() >= 2 && rest[..2].iter().all(u8::is_ascii_hexdigit);
    path.as_bytes().split(|&byte| byte == b'%').skip(1).all(is_escape)
}

/// Returns the host and path by which the route of a request is found.
pub(crate) fn find_target<'a>(uri: &'a Uri, host_header: Option<&'a str>) -> (&'a str, &'a str) {
    (uri.host().or(host_header).unwrap_or_default(), uri.path())
}

/// Whether an upstream announces that it accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Ready,
    Draining,
}

/// State that an upstream announces.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Announcement {
    pub(crate) upstream: UpstreamName,
    pub(crate) pool: PoolName,
    pub(crate) address: SocketAddr,
    pub(crate) zone: Zone,
    /// Number of requests that the upstream can run at the same time.
    pub(crate) slots: u32,
    pub(crate) phase: Phase,
    /// Remaining time for which the upstream stays cold.
    pub(crate) cold_left: Duration,
    /// Start of the process in Unix milliseconds; distinguishes processes with the same name.
    pub(crate) incarnation: u64,
    /// Sequence number of the announcement within the incarnation.
    pub(crate) sequence: u64,
}
