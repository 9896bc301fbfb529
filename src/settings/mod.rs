//! Settings of a process, from a YAML file.

use std::fmt;
use std::net::SocketAddr;

use crate::types::{HostName, Span, Zone, value};

mod document;
mod reading;

#[cfg(test)]
mod tests;

pub(crate) use document::{Document, Fields, Node};
pub(crate) use reading::parse_settings;

value! {
    /// Settings of an entry host.
    pub(crate) struct Settings {
        /// Name of this host.
        pub(crate) host: HostName,
        /// Availability zone of this host.
        pub(crate) zone: Zone,
        pub(crate) listen: Listen,
        pub(crate) platform: Platform,
        pub(crate) credentials: Credentials,
        #[serde(default)]
        pub(crate) timing: Timing,
        #[serde(default)]
        pub(crate) limits: Limits,
    }

    /// Addresses on which the host listens; port 0 lets the system choose.
    pub(crate) struct Listen {
        pub(crate) callers: SocketAddr,
        pub(crate) peers: SocketAddr,
        pub(crate) operators: SocketAddr,
    }

    /// Where the platform's services are.
    pub(crate) struct Platform {
        /// Address of the append-only log.
        pub(crate) log: SocketAddr,
        /// Address of the host list; without it no host is known to be leaving.
        #[serde(default)]
        pub(crate) hosts: Option<SocketAddr>,
        /// Number of records after which the log drops a record.
        #[serde(default = "default_retention")]
        pub(crate) retention_records: u64,
    }

    /// Secrets that peers and operators must show.
    pub(crate) struct Credentials {
        pub(crate) peers: Secret,
        pub(crate) operators: Secret,
    }

    /// Time limits.
    #[serde(default)]
    pub(crate) struct Timing {
        /// How long a host may route after it last knew that its tables are current.
        pub(crate) routing_lease: Span,
        pub(crate) heartbeat: Span,
        /// How long an upstream accepts requests after its last grant.
        pub(crate) grant: Span,
        pub(crate) renewal: Span,
        /// How long an upstream or leader may be silent before it counts as lost.
        pub(crate) detection: Span,
        /// Longest wait for requests in flight at a planned stop.
        pub(crate) shutdown: Span,
    }

    /// Sizes that bound memory.
    #[serde(default)]
    pub(crate) struct Limits {
        /// Requests of callers in progress at once.
        pub(crate) requests: u32,
        /// Entries in the register of idempotency keys.
        pub(crate) register_entries: u32,
        /// Requests that may wait for one upstream.
        pub(crate) queue: u32,
    }
}

/// A secret that never shows in logs.
#[derive(Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub(crate) struct Secret(pub(crate) String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

const fn default_retention() -> u64 {
    1_000_000
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            routing_lease: Span::from_millis(1_000),
            heartbeat: Span::from_millis(200),
            grant: Span::from_millis(1_500),
            renewal: Span::from_millis(300),
            detection: Span::from_millis(600),
            shutdown: Span::from_millis(30_000),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            requests: 4_096,
            register_entries: 400_000,
            queue: 64,
        }
    }
}
