//! Placements without ownership, for comparison.

use std::collections::BTreeMap;

use crate::types::KeyHash;

/// Points per server on the ring.
const RING_POINTS: u64 = 128;

/// A placement that depends on the set of serving servers only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Baseline {
    Modulo,
    Rendezvous,
    Ring,
}

impl Baseline {
    pub(super) const ALL: [Self; 3] = [Self::Modulo, Self::Rendezvous, Self::Ring];

    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Modulo => "modulo",
            Self::Rendezvous => "rendezvous",
            Self::Ring => "ring-128",
        }
    }

    /// Places hashes on servers.
    ///
    /// # Panics
    ///
    /// Panics if `servers` is empty.
    pub(super) fn place(self, hashes: &[KeyHash], servers: &[u64]) -> Vec<u64> {
        match self {
            Self::Modulo => hashes.iter().map(|h| servers[index_of(h.0, servers.len())]).collect(),
            Self::Rendezvous => hashes.iter().map(|&h| highest_weight(h, servers)).collect(),
            Self::Ring => place_on_ring(hashes, servers),
        }
    }
}

fn index_of(hash: u64, count: usize) -> usize {
    usize::try_from(hash % count as u64).expect("below the number of servers")
}

fn mix(a: u64, b: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&a.to_le_bytes());
    bytes[8..].copy_from_slice(&b.to_le_bytes());
    KeyHash::of(&bytes).0
}

fn highest_weight(hash: KeyHash, servers: &[u64]) -> u64 {
    let heaviest = servers.iter().copied().max_by_key(|&s| mix(s, hash.0));
    heaviest.expect("at least one server")
}

fn place_on_ring(hashes: &[KeyHash], servers: &[u64]) -> Vec<u64> {
    let points = |&s: &u64| (0..RING_POINTS).map(move |i| (mix(s, i), s));
    let ring: BTreeMap<u64, u64> = servers.iter().flat_map(points).collect();
    let owner = |h: &KeyHash| ring.range(h.0..).chain(&ring).next().map(|(_, &s)| s);
    hashes.iter().map(|h| owner(h).expect("at least one point")).collect()
}
