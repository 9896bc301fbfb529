//! Hashes of keys and ranges of the hash space.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use super::BadNumber;

/// Hash of a key, a point in the space that a pool's ranges divide.
///
/// All hosts must hash alike, so the function (XXH3-64, seed 0) never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct KeyHash(pub(crate) u64);

impl KeyHash {
    pub(crate) const MIN: Self = Self(0);
    pub(crate) const MAX: Self = Self(u64::MAX);

    /// Hashes the bytes of a key.
    pub(crate) fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for KeyHash {
    type Err = BadNumber;

    fn from_str(text: &str) -> Result<Self, BadNumber> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| BadNumber(text.to_owned()))
    }
}

/// A range of hashes, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct KeyRange {
    pub(crate) first: KeyHash,
    pub(crate) last: KeyHash,
}

/// A range does not parse, or its ends are crossed: {0:?}
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) struct BadRange(pub(crate) String);

impl KeyRange {
    /// The whole hash space.
    #[cfg(test)]
    pub(crate) const ALL: Self = Self {
        first: KeyHash::MIN,
        last: KeyHash::MAX,
    };

    /// Tells whether the range holds a hash.
    pub(crate) fn contains(self, hash: KeyHash) -> bool {
        self.first <= hash && hash <= self.last
    }

    /// Tells whether two ranges share a hash.
    pub(crate) fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Number of hashes in the range.
    pub(crate) fn width(self) -> u128 {
        u128::from(self.last.0) - u128::from(self.first.0) + 1
    }

    /// Divides the whole space into `n` ranges of nearly the same width.
    ///
    /// # Panics
    ///
    /// Panics if `n` is 0.
    pub(crate) fn divide_all(n: u32) -> Vec<Self> {
        let n = u128::from(n);
        let start = |i: u128| (i << 64) / n;
        let hash = |point: u128| KeyHash(u64::try_from(point).unwrap_or(u64::MAX));
        (0..n)
            .map(|i| Self {
                first: hash(start(i)),
                last: hash(start(i + 1) - 1),
            })
            .collect()
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

impl FromStr for KeyRange {
    type Err = BadRange;

    fn from_str(text: &str) -> Result<Self, BadRange> {
        let bad = || BadRange(text.to_owned());
        let (first, last) = text.split_once('-').ok_or_else(bad)?;
        let range = Self {
            first: first.parse().map_err(|_| bad())?,
            last: last.parse().map_err(|_| bad())?,
        };
        if range.first > range.last {
            Err(bad())
        } else {
            Ok(range)
        }
    }
}
