//! Messages between hosts.

use std::collections::{BTreeMap, BTreeSet};

pub(crate) use crate::admission::Report as CreditReport;
use crate::admission::{HomeTerm, Lend};
use crate::choice::SuspectMessage;
pub(crate) use crate::counts::{Batch, HoldAnswer};
use crate::log::RawRecord;
use crate::membership::Report;
use crate::once::{ClaimAnswer, RequestKey};
pub(crate) use crate::once::{ClaimMessage, CopyPage};
use crate::ownership::FreezeAck;
use crate::placement::LoadReport;
use crate::types::{PoolName, UpstreamName, value};

value! {
    /// What a host tells each peer several times per routing lease.
    pub(crate) struct Heartbeat {
        pub(crate) report: Report,
        pub(crate) acks: Vec<FreezeAck>,
        /// Upstreams that the sender can't reach.
        pub(crate) unreachable: BTreeSet<UpstreamName>,
        /// Upstreams whose broker the sender runs.
        pub(crate) homes: BTreeMap<UpstreamName, HomeTerm>,
        /// Loads of key ranges, in some heartbeats only.
        pub(crate) loads: Option<BTreeMap<PoolName, LoadReport>>,
    }

    /// The answer to a heartbeat.
    pub(crate) struct HeartbeatAnswer {
        pub(crate) heartbeat: Heartbeat,
        /// The answering host has folded no further than the asking one.
        pub(crate) confirms: bool,
        /// Records that the asking host has not folded, as far as the answering one keeps them.
        pub(crate) records: Vec<RawRecord>,
    }

    /// Credits lent by a home host.
    pub(crate) struct Lends {
        pub(crate) lends: Vec<Lend>,
    }

    /// A register's answer to a message of a claim.
    pub(crate) enum RegisterAnswer {
        Vote(ClaimAnswer),
        Received,
        /// The message was not taken and has to be sent again.
        Again,
    }

    /// Asks for the page of a register that follows a key.
    pub(crate) struct CopyQuestion {
        pub(crate) after: Option<RequestKey>,
    }

    /// Messages about requests that may have crashed upstreams.
    pub(crate) struct SuspectNews {
        pub(crate) messages: Vec<SuspectMessage>,
    }

    /// An answer without content.
    pub(crate) struct Received {}
}
