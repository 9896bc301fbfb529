//! Messages between the command line and a host.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde_json::Value;

use crate::records::ServiceTarget;
use crate::tables::Tables;
use crate::types::{Offset, RecordId, value};

value! {
    /// A change that an operator asks for.
    pub(crate) struct ChangeRequest {
        pub(crate) id: RecordId,
        pub(crate) author: String,
        /// Version that the change builds on; without it, the one in force at the host.
        #[serde(default)]
        pub(crate) base: Option<Offset>,
        pub(crate) change: Change,
    }

    #[serde(rename_all = "kebab-case")]
    pub(crate) enum Change {
        Publish(Box<Tables>),
        SetService { target: ServiceTarget, in_service: bool },
        /// Makes the addressed host the only member.
        Reform,
    }

    /// What became of a change.
    #[derive(Eq)]
    #[serde(tag = "result", rename_all = "kebab-case")]
    pub(crate) enum ChangeResult {
        Applied { version: Offset },
        /// Another change came first.
        Conflict { version: Offset, author: String },
        Refused { why: String },
        /// It is not known yet whether the change took effect; ask again with its id.
        Unknown { id: RecordId, why: String },
    }

    /// State of a host as operators see it.
    pub(crate) struct Status {
        pub(crate) host: String,
        pub(crate) zone: String,
        pub(crate) ready: bool,
        pub(crate) draining: bool,
        /// The host has run long enough to confirm the leases of others, so that service survives
        /// an outage of the log.
        pub(crate) confirms_peers: bool,
        pub(crate) in_flight: u32,
        pub(crate) folded: Offset,
        pub(crate) tables_version: Offset,
        /// Who published the tables in force.
        pub(crate) tables_author: String,
        pub(crate) service_version: Offset,
        /// Who last took something out of service or back in.
        pub(crate) service_author: String,
        pub(crate) out_of_service: Vec<ServiceTarget>,
        pub(crate) members: BTreeMap<String, String>,
        pub(crate) leader: Option<String>,
        pub(crate) term: Offset,
    }

    /// A range of keys and its owner.
    pub(crate) struct OwnedRange {
        pub(crate) pool: String,
        pub(crate) range: String,
        pub(crate) owner: String,
        pub(crate) epoch: Offset,
        pub(crate) frozen: bool,
    }
}

/// A JSON value whose form the types of this module describe.
#[derive(Debug, serde::Serialize, serde::Deserialize, JsonSchema)]
#[serde(transparent)]
pub(crate) struct Document(pub(crate) Value);
