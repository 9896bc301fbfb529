//! Plans which key ranges move to which upstreams.

use crate::types::{KeyRange, UpstreamName, value};

value! {
    /// A range that should get a new owner.
    #[derive(Eq)]
    pub(crate) struct RangeMove {
        pub(crate) range: KeyRange,
        /// Present owner; `None` if the range was never assigned.
        pub(crate) from: Option<UpstreamName>,
        pub(crate) to: UpstreamName,
        pub(crate) cause: MoveCause,
    }

    /// Why a range moves.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "kebab-case")]
    pub(crate) enum MoveCause {
        /// The range was never assigned.
        Initial,
        /// Its owner is lost.
        Loss,
        /// Its owner, or the owner's host or zone, is leaving or out of service.
        Leaving,
        /// Its owner carries more than its share.
        Balance,
    }
}
