//! Limits per upstream that hold over all hosts.
//!
//! Each upstream has a home host whose [`Broker`] lends its slots and connections. Each host has a
//! [`CreditHolder`] per upstream, which holds the credits lent to it and queues its requests. Messages
//! carry absolute counts with versions, so that loss, delay and repetition are harmless: a holder
//! takes an allowance only if it is newer than the last, and a broker counts the most that a host
//! may hold. Credits expire at the holder before they expire at the broker.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tables::Priority;
use crate::types::{Caller, HostName, Incarnation, UpstreamName, value};

mod broker;
mod fair;
mod holder;
mod ledger;
mod ramp;

#[cfg(test)]
mod tests;

pub(crate) use crate::types::Instance;

pub(crate) use broker::{Broker, Capacity};
pub(crate) use holder::{Admission, CreditHolder, Demand, Permit, Step, Ticket};
#[cfg(test)]
use ramp::Ramp;
pub(crate) use ramp::{PoolWarmth, Sign};

/// Time after a host's last message at which the broker takes its credits back.
pub(crate) const CREDIT_EXPIRY: Duration = Duration::from_millis(500);

/// Time after sending a confirmed report during which a holder may use its credits.
///
/// Shorter than [`CREDIT_EXPIRY`] by 2%, because the rates of two clocks may each be off by 1%.
pub(crate) const CREDIT_USE: Duration = Duration::from_millis(490);

value! {
    /// Identifies one broker of an upstream; a holder follows the highest that it knows.
    ///
    /// A host that becomes home uses a round above any that its own holder has followed.
    #[derive(Eq, PartialOrd, Ord)]
    pub(crate) struct HomeTerm {
        pub(crate) round: u64,
        pub(crate) host: HostName,
    }

    /// What a holder holds of one resource.
    #[derive(Copy, Default, Eq)]
    pub(crate) struct Holding {
        /// Version of the last allowance that the holder took.
        pub(crate) version: u64,
        /// Units that the holder may use.
        pub(crate) held: u32,
        /// Units still in use although the credits behind them have expired.
        pub(crate) overdue: u32,
    }

    /// What a broker allows a holder of one resource.
    #[derive(Copy, Default, Eq)]
    pub(crate) struct Allowance {
        pub(crate) version: u64,
        pub(crate) count: u32,
    }

    /// Requests of one caller and priority that wait at a host.
    pub(crate) struct Want {
        pub(crate) priority: Priority,
        pub(crate) caller: Caller,
        pub(crate) count: u32,
        /// Time left until the last of them has to start.
        pub(crate) patience: Duration,
    }

    /// How an attempt at an upstream ended.
    #[derive(Copy, Eq)]
    pub(crate) enum Outcome {
        /// A complete answer.
        Answered,
        /// The upstream refused because it is overloaded.
        Shed,
        /// The attempt failed or timed out.
        Failed,
        /// The upstream closed or reset the connection before the answer.
        Reset,
        /// The host ended the attempt, which says nothing about the upstream.
        Cancelled,
    }

    /// One finished attempt.
    #[derive(Copy)]
    pub(crate) struct Sample {
        pub(crate) outcome: Outcome,
        pub(crate) latency: Duration,
        /// Age of the connection at the end of the attempt.
        pub(crate) connection_age: Duration,
        /// Incarnation that the answer carries.
        pub(crate) incarnation: Option<Incarnation>,
    }

    /// State of a holder, sent to the home host of its upstream.
    pub(crate) struct Report {
        pub(crate) upstream: UpstreamName,
        pub(crate) term: HomeTerm,
        pub(crate) from: Instance,
        /// Rises with each report of the instance for this upstream.
        pub(crate) sequence: u64,
        pub(crate) slots: Holding,
        pub(crate) connections: Holding,
        /// Connections that the host could use.
        pub(crate) connections_wanted: u32,
        pub(crate) wants: Vec<Want>,
        /// The host wants to be the only user of the upstream.
        pub(crate) isolate: bool,
        /// Time for which the host has ejected the upstream; zero if it hasn't.
        pub(crate) ejected: Duration,
        /// Number of the first sample, counted from the start of the instance.
        pub(crate) first_sample: u64,
        pub(crate) samples: Vec<Sample>,
    }

    /// State of a holder's account at the broker, sent on each report and on each change.
    pub(crate) struct Lend {
        pub(crate) upstream: UpstreamName,
        pub(crate) term: HomeTerm,
        pub(crate) to: Instance,
        /// Sequence of the last report that the broker has received.
        pub(crate) echo: u64,
        /// End of the samples that the broker has received.
        pub(crate) samples_seen: u64,
        pub(crate) slots: Allowance,
        pub(crate) connections: Allowance,
        /// Expected wait of a request that joins the broker's queue now.
        pub(crate) wait: Duration,
        /// Present limit of the upstream over all hosts.
        pub(crate) limit: u32,
        /// The upstream is in slow start.
        pub(crate) cold: bool,
        /// Other hosts wait, so credits without use go back at once.
        pub(crate) contended: bool,
        /// Time for which the upstream is ejected, for `Ejector::follow`; zero if it isn't.
        pub(crate) ejected: Duration,
        /// The host is the only user of the upstream.
        pub(crate) isolated: bool,
    }
}

/// Finds the home host of an upstream by rendezvous hash (XXH3), or `None` without members.
///
/// A lost member moves only the upstreams that it was home of.
pub(crate) fn home_host<'a>(
    upstream: &UpstreamName,
    members: impl IntoIterator<Item = &'a HostName>,
) -> Option<&'a HostName> {
    rendezvous(upstream.as_str().as_bytes(), members)
}

/// Finds the member with the highest hash for a subject.
pub(crate) fn rendezvous<'a>(subject: &[u8], members: impl IntoIterator<Item = &'a HostName>) -> Option<&'a HostName> {
    let seed = xxh3_64_with_seed(subject, 0);
    members
        .into_iter()
        .max_by_key(|host| (xxh3_64_with_seed(host.as_str().as_bytes(), seed), *host))
}
