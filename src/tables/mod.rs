//! The two tables that operators publish: routes and pools.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::types::{Caller, HostName, PoolName, RouteName, Size, Span, UpstreamName, Zone, value};

mod matching;
mod reading;
mod service;

#[cfg(test)]
mod tests;

#[cfg(test)]
pub(crate) use matching::KeyError;
pub(crate) use matching::{find_caller, find_key, match_route};
pub(crate) use reading::parse_tables;
pub(crate) use service::{CapacityReport, UnknownTarget, check_capacity, check_service_target};

value! {
    /// Both tables; a route names its pool.
    #[derive(Default)]
    pub(crate) struct Tables {
        /// Routes; the longest matching prefix wins, then the first.
        pub(crate) routes: Vec<Route>,
        pub(crate) pools: BTreeMap<PoolName, Pool>,
    }

    /// Which callers and keys go to which pool.
    pub(crate) struct Route {
        pub(crate) name: RouteName,
        /// Path prefix that requests of this route share; ends at a segment border.
        pub(crate) prefix: String,
        /// Methods of this route; empty for all.
        #[serde(default)]
        pub(crate) methods: Vec<String>,
        pub(crate) callers: CallerRule,
        pub(crate) pool: PoolName,
        /// Where the key stands; needed if the pool is divided by key.
        #[serde(default)]
        pub(crate) key: Option<KeySource>,
        #[serde(default)]
        pub(crate) idempotent: Idempotence,
        #[serde(default)]
        pub(crate) priority: Priority,
        /// Time limit for the answer's head.
        #[serde(default = "default_deadline")]
        pub(crate) deadline: Span,
        /// Largest request body.
        #[serde(default = "default_body")]
        pub(crate) body_max: Size,
    }

    /// How a caller is identified and which callers are admitted.
    pub(crate) struct CallerRule {
        /// Header that carries the caller's name.
        #[serde(default = "default_caller_header")]
        pub(crate) header: String,
        /// Admitted callers.
        pub(crate) names: Vec<Caller>,
    }

    /// Where a request's key stands.
    #[serde(rename_all = "kebab-case")]
    pub(crate) enum KeySource {
        /// The path segment at this index after the prefix, from 0.
        Segment(u16),
        /// The value of this header.
        Header(String),
        /// The value of this query parameter.
        Query(String),
    }

    /// Which requests of a route may run more than once.
    #[derive(Copy, Default)]
    #[serde(rename_all = "kebab-case")]
    pub(crate) enum Idempotence {
        /// As HTTP defines it: GET, HEAD, OPTIONS, PUT and DELETE.
        #[default]
        Method,
        /// All requests.
        Always,
        /// No request.
        Never,
    }

    /// Order in which waiting requests are admitted.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "kebab-case")]
    pub(crate) enum Priority {
        /// Somebody waits at a window.
        High,
        /// Usual work.
        #[default]
        Normal,
        /// Downloads and batches.
        Bulk,
    }

    /// A group of upstreams that serve the same requests.
    pub(crate) struct Pool {
        pub(crate) ownership: Ownership,
        /// Whether a refusal with `ragworthub-not-run: true` proves that the request did not run.
        #[serde(default)]
        pub(crate) trusted_refusals: bool,
        /// Longest time that an upstream works on one request.
        #[serde(default = "default_run_limit")]
        pub(crate) run_limit: Span,
        pub(crate) upstreams: BTreeMap<UpstreamName, Upstream>,
    }

    /// Whether keys of a pool have owners, and who checks it.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub(crate) enum Ownership {
        /// Any upstream may serve any request.
        Shared,
        /// Keys have owners, and upstreams check their grants.
        Fenced,
        /// Keys have owners, and only the routers protect them.
        Unfenced,
    }

    /// A server of a pool.
    pub(crate) struct Upstream {
        /// The machine it runs on.
        pub(crate) host: HostName,
        pub(crate) zone: Zone,
        pub(crate) address: SocketAddr,
        /// Requests that it can work on at once.
        pub(crate) slots: u32,
        /// Connections that it can bear, from all hosts together.
        pub(crate) connections: u32,
    }
}

const fn default_deadline() -> Span {
    Span::from_millis(2_000)
}

const fn default_run_limit() -> Span {
    Span::from_millis(1_500)
}

const fn default_body() -> Size {
    Size(64 << 20)
}

fn default_caller_header() -> String {
    "ragworthub-caller".to_owned()
}

impl Pool {
    /// Tells whether the pool is divided by key.
    pub(crate) fn is_keyed(&self) -> bool {
        match self.ownership {
            Ownership::Shared => false,
            Ownership::Fenced | Ownership::Unfenced => true,
        }
    }
}
