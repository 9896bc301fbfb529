//! Messages between hosts.

use std::collections::BTreeSet;

use crate::admission::Lend;
pub(crate) use crate::admission::Report as CreditReport;
use crate::choice::SuspectMessage;
use crate::log::RawRecord;
use crate::membership::Report;
use crate::ownership::FreezeAck;
use crate::types::{UpstreamName, value};

value! {
    /// What a host tells each peer several times per routing lease.
    pub(crate) struct Heartbeat {
        pub(crate) report: Report,
        pub(crate) acks: Vec<FreezeAck>,
        /// Upstreams that the sender can't reach.
        pub(crate) unreachable: BTreeSet<UpstreamName>,
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

    /// Messages about requests that may have crashed upstreams.
    pub(crate) struct SuspectNews {
        pub(crate) messages: Vec<SuspectMessage>,
    }

    /// An answer without content.
    pub(crate) struct Received {}
}
