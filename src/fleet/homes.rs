//! The hosts that collect what all hosts know of one request.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use xxhash_rust::xxh3::xxh3_64;

use super::Fingerprint;
use crate::types::HostName;

/// Homes of a request; more than one, because hosts are lost and datagrams too.
const HOME_COUNT: usize = 3;

/// The hosts on a ring of hashes (consistent hashing): the loss of a host changes only the homes of requests that had
/// it as one.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostRing<'a>(BTreeMap<u64, &'a HostName>);

impl<'a> HostRing<'a> {
    pub(crate) fn new(hosts: impl Iterator<Item = &'a HostName>) -> Self {
        Self(hosts.map(|host| (xxh3_64(host.as_str().as_bytes()), host)).collect())
    }

    /// Returns the homes of a request, the same ones on all hosts that know the same list of hosts.
    pub(crate) fn homes(&self, request: Fingerprint) -> impl Iterator<Item = &'a HostName> {
        let after = self.0.range((Excluded(request.as_u64()), Unbounded));
        let rest = self.0.range(..=request.as_u64());
        after.chain(rest).map(|(_, host)| *host).take(HOME_COUNT)
    }
}
