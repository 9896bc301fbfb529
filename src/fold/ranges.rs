//! The table of key ranges of a pool.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::owners::{OwnerIndex, Owners};
use crate::records::RangeOwner;
use crate::types::{KeyHash, KeyRange, Offset, UpstreamName};

/// Ranges of the hash space with their owners.
///
/// Ranges never overlap. Hashes outside of all ranges were never assigned. Two tables are equal if
/// their ranges are, whatever led to them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RangeTable {
    owners: Owners,
    ranges: Buckets,
    /// Offsets of the records that stopped frozen ranges, by first hash. Few ranges are frozen at
    /// once, and 8 bytes less in each of 440,000 entries keep the table within 32 MB.
    stops: BTreeMap<KeyHash, Offset>,
}

#[derive(Clone, Copy, Debug)]
struct RangeEntry {
    last: KeyHash,
    epoch: Offset,
    owner: OwnerIndex,
    /// The range has an entry in `stops`.
    frozen: bool,
}

/// Ranges of each bucket when the number of buckets doubles; up to 11 entries fit one node of a map.
const FILL_MAX: usize = 8;

/// Binary logarithm of the number of buckets of an empty table.
const START_BITS: u32 = 4;

/// Entries by first hash, in ordered maps by the top bits of that hash.
///
/// One map of 440,000 entries is six nodes deep, and a lookup waits for a cache miss in most of
/// them. Here the top bits lead to a map that usually is a single node. Hashes of keys spread
/// evenly, so buckets are of about one size; a lookup that finds only empty buckets below its own
/// goes through them one by one.
#[derive(Clone, Debug)]
struct Buckets {
    /// A power of two of maps, in order.
    maps: Vec<BTreeMap<KeyHash, RangeEntry>>,
    /// Bits of a hash below those that choose the bucket.
    shift: u32,
    len: usize,
}

impl Default for Buckets {
    fn default() -> Self {
        Self {
            maps: vec![BTreeMap::new(); 1 << START_BITS],
            shift: u64::BITS - START_BITS,
            len: 0,
        }
    }
}

impl Buckets {
    fn index(&self, hash: KeyHash) -> usize {
        usize::try_from(hash.0 >> self.shift).expect("no more buckets than a Vec holds")
    }

    /// Finds the last entry that starts at a hash or before it.
    fn find_last(&self, hash: KeyHash) -> Option<(KeyHash, &RangeEntry)> {
        let index = self.index(hash);
        let within = self.maps[index].range(..=hash).next_back();
        let below = || self.maps[..index].iter().rev().find_map(BTreeMap::last_key_value);
        within.or_else(below).map(|(&first, entry)| (first, entry))
    }

    fn iter(&self) -> impl Iterator<Item = (KeyHash, &RangeEntry)> {
        self.maps.iter().flatten().map(|(&first, entry)| (first, entry))
    }

    fn iter_mut(&mut self) -> impl Iterator<Item = (KeyHash, &mut RangeEntry)> {
        self.maps.iter_mut().flatten().map(|(&first, entry)| (first, entry))
    }

    /// Iterates over the entries that start within a range.
    fn starts_within(&self, range: KeyRange) -> impl Iterator<Item = (KeyHash, &RangeEntry)> {
        let maps = &self.maps[self.index(range.first)..=self.index(range.last)];
        let entries = maps.iter().flat_map(move |map| map.range(range.first..=range.last));
        entries.map(|(&first, entry)| (first, entry))
    }

    fn starts_within_mut(&mut self, range: KeyRange) -> impl Iterator<Item = (KeyHash, &mut RangeEntry)> {
        let (start, end) = (self.index(range.first), self.index(range.last));
        let maps = self.maps[start..=end].iter_mut();
        let entries = maps.flat_map(move |map| map.range_mut(range.first..=range.last));
        entries.map(|(&first, entry)| (first, entry))
    }

    fn get_mut(&mut self, first: KeyHash) -> Option<&mut RangeEntry> {
        let index = self.index(first);
        self.maps[index].get_mut(&first)
    }

    fn insert(&mut self, first: KeyHash, entry: RangeEntry) {
        let index = self.index(first);
        let replaced = self.maps[index].insert(first, entry);
        self.len += usize::from(replaced.is_none());
        if self.len > FILL_MAX * self.maps.len() {
            self.double();
        }
    }

    fn remove(&mut self, first: KeyHash) -> Option<RangeEntry> {
        let index = self.index(first);
        let removed = self.maps[index].remove(&first);
        self.len -= usize::from(removed.is_some());
        removed
    }

    /// Divides each bucket into two.
    fn double(&mut self) {
        self.shift -= 1;
        let maps = std::mem::take(&mut self.maps);
        self.maps.reserve_exact(2 * maps.len());
        for (odd, mut lower) in (0..).map(|i: u64| 2 * i + 1).zip(maps) {
            let upper = lower.split_off(&KeyHash(odd << self.shift));
            self.maps.extend([lower, upper]);
        }
    }
}

/// A range as readers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RangeInfo<'a> {
    pub(crate) range: KeyRange,
    pub(crate) owner: &'a UpstreamName,
    /// Offset of the `Assign` that gave the range to its owner; the fencing token.
    pub(crate) epoch: Offset,
    /// Offset of the record that stopped the range; `None` while it is served.
    pub(crate) frozen: Option<Offset>,
}

/// Why ranges of a record don't fit the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RangeError {
    /// The pool is unknown or not divided by key.
    UnknownPool,
    /// First and last hash are crossed, or ranges of one record overlap.
    Malformed,
    /// A `Freeze` names a hash that is not owned or already frozen.
    NotServed,
    /// A `Freeze` names a hash that got an owner after the leader planned it.
    AssignedSince,
    /// An `Assign` names a hash that the given `Freeze` didn't stop.
    NotFrozen,
}

impl RangeTable {
    /// Finds the range that holds a hash.
    pub(crate) fn find_range(&self, hash: KeyHash) -> Option<RangeInfo<'_>> {
        let (first, entry) = self.ranges.find_last(hash)?;
        (hash <= entry.last).then(|| self.describe(first, entry))
    }

    /// Iterates over all ranges in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = RangeInfo<'_>> {
        self.ranges.iter().map(|(first, entry)| self.describe(first, entry))
    }

    /// Iterates over the ranges that share a hash with a range.
    pub(crate) fn overlapping(&self, range: KeyRange) -> impl Iterator<Item = RangeInfo<'_>> {
        let before = self.ranges.find_last(range.first);
        let first = before.map_or(range.first, |(first, _)| first);
        let entries = self.ranges.starts_within(KeyRange { first, ..range });
        let entries = entries.filter(move |(_, entry)| entry.last >= range.first);
        entries.map(|(first, entry)| self.describe(first, entry))
    }

    /// Iterates over the frozen ranges in order, at a cost that grows only with their number.
    pub(crate) fn frozen(&self) -> impl Iterator<Item = RangeInfo<'_>> {
        self.stops.keys().filter_map(|&first| self.find_range(first))
    }

    /// Number of ranges.
    pub(crate) fn len(&self) -> usize {
        self.ranges.len
    }

    /// Stops ranges; a range that is a part of an entry splits it.
    ///
    /// # Errors
    ///
    /// Fails without a change if a hash is not served, or got its owner after `base`. The second
    /// makes a `Freeze` idempotent that reaches the log again after its move has ended.
    pub(crate) fn freeze_ranges(
        &mut self,
        offset: Offset,
        base: Offset,
        ranges: &[KeyRange],
    ) -> Result<(), RangeError> {
        check_apart(ranges.iter().copied())?;
        for &range in ranges {
            let parts = self.covering(range).ok_or(RangeError::NotServed)?;
            if parts.iter().any(|(_, entry)| entry.frozen) {
                return Err(RangeError::NotServed);
            }
            if parts.iter().any(|(_, entry)| entry.epoch > base) {
                return Err(RangeError::AssignedSince);
            }
        }
        for &range in ranges {
            self.split_at(range.first);
            if range.last < KeyHash::MAX {
                self.split_at(KeyHash(range.last.0 + 1));
            }
            for (first, entry) in self.ranges.starts_within_mut(range) {
                entry.frozen = true;
                self.stops.insert(first, offset);
            }
        }
        Ok(())
    }

    /// Stops all ranges that are served.
    pub(crate) fn freeze_all(&mut self, offset: Offset) {
        for (first, entry) in self.ranges.iter_mut().filter(|(_, entry)| !entry.frozen) {
            entry.frozen = true;
            self.stops.insert(first, offset);
        }
    }

    /// Gives ranges to owners; entries within a range are merged.
    ///
    /// # Errors
    ///
    /// Fails without a change if a hash was not stopped by the `Freeze` that the record names.
    pub(crate) fn assign_ranges(&mut self, offset: Offset, ranges: &[RangeOwner]) -> Result<(), RangeError> {
        check_apart(ranges.iter().map(|r| r.range))?;
        for item in ranges {
            self.check_assignable(item)?;
        }
        for item in ranges {
            let inside: Vec<KeyHash> = self.ranges.starts_within(item.range).map(|(k, _)| k).collect();
            for first in inside {
                if let Some(entry) = self.ranges.remove(first) {
                    self.owners.release(entry.owner);
                }
                self.stops.remove(&first);
            }
            self.insert_range(item.range, offset, None, &item.owner);
        }
        Ok(())
    }

    fn insert_range(&mut self, range: KeyRange, epoch: Offset, frozen: Option<Offset>, owner: &UpstreamName) {
        if let Some(offset) = frozen {
            self.stops.insert(range.first, offset);
        }
        let entry = RangeEntry {
            last: range.last,
            epoch,
            owner: self.owners.acquire(owner),
            frozen: frozen.is_some(),
        };
        self.ranges.insert(range.first, entry);
    }

    fn check_assignable(&self, item: &RangeOwner) -> Result<(), RangeError> {
        if item.frozen == Offset(0) {
            return if self.overlaps_any(item.range) {
                Err(RangeError::NotFrozen)
            } else {
                Ok(())
            };
        }
        let parts = self.covering(item.range).ok_or(RangeError::NotFrozen)?;
        let exact = parts.iter().all(|&(first, entry)| {
            self.stop(first, &entry) == Some(item.frozen) && item.range.first <= first && entry.last <= item.range.last
        });
        if exact { Ok(()) } else { Err(RangeError::NotFrozen) }
    }

    fn overlaps_any(&self, range: KeyRange) -> bool {
        self.ranges
            .find_last(range.last)
            .is_some_and(|(_, entry)| entry.last >= range.first)
    }

    /// Entries that together cover a range without a gap.
    fn covering(&self, range: KeyRange) -> Option<Vec<(KeyHash, RangeEntry)>> {
        let (start, _) = self.ranges.find_last(range.first)?;
        let within = KeyRange {
            first: start,
            last: range.last,
        };
        let mut parts = Vec::new();
        let mut next = Some(range.first);
        for (first, &entry) in self.ranges.starts_within(within) {
            let wanted = next?;
            if first > wanted || entry.last < wanted {
                return None;
            }
            parts.push((first, entry));
            next = entry.last.0.checked_add(1).map(KeyHash);
        }
        let end = parts.last()?.1.last;
        (end >= range.last).then_some(parts)
    }

    fn split_at(&mut self, hash: KeyHash) {
        let Some((first, &tail)) = self.ranges.find_last(hash) else {
            return;
        };
        if tail.last < hash || first == hash {
            return;
        }
        if let Some(entry) = self.ranges.get_mut(first) {
            entry.last = KeyHash(hash.0 - 1);
        }
        if let Some(offset) = self.stop(first, &tail) {
            self.stops.insert(hash, offset);
        }
        self.owners.retain(tail.owner);
        self.ranges.insert(hash, tail);
    }

    fn describe(&self, first: KeyHash, entry: &RangeEntry) -> RangeInfo<'_> {
        RangeInfo {
            range: KeyRange {
                first,
                last: entry.last,
            },
            owner: self.owners.name(entry.owner),
            epoch: entry.epoch,
            frozen: self.stop(first, entry),
        }
    }

    /// Offset of the record that stopped a range.
    fn stop(&self, first: KeyHash, entry: &RangeEntry) -> Option<Offset> {
        if entry.frozen {
            self.stops.get(&first).copied()
        } else {
            None
        }
    }
}

impl PartialEq for RangeTable {
    fn eq(&self, other: &Self) -> bool {
        self.iter().eq(other.iter())
    }
}

/// A range in the text of a state: first and last hash, epoch, frozen (0 for none), owner.
///
/// A list, because a map with numbers as keys can't be read from within a tagged record.
type RangeText<N> = (KeyHash, KeyHash, Offset, Offset, N);

fn range_text(info: RangeInfo<'_>) -> RangeText<&str> {
    let KeyRange { first, last } = info.range;
    let frozen = info.frozen.unwrap_or_default();
    (first, last, info.epoch, frozen, info.owner.as_str())
}

impl Serialize for RangeTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter().map(range_text))
    }
}

impl<'de> Deserialize<'de> for RangeTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let ranges = Vec::<RangeText<UpstreamName>>::deserialize(deserializer)?;
        check_apart(ranges.iter().map(|&(first, last, ..)| KeyRange { first, last }))
            .map_err(|_| de::Error::custom("ranges are crossed or overlap"))?;
        let mut table = Self::default();
        for (first, last, epoch, frozen, owner) in ranges {
            let frozen = (frozen != Offset(0)).then_some(frozen);
            table.insert_range(KeyRange { first, last }, epoch, frozen, &owner);
        }
        Ok(table)
    }
}

fn check_apart(ranges: impl Iterator<Item = KeyRange>) -> Result<(), RangeError> {
    let mut sorted: Vec<KeyRange> = ranges.collect();
    sorted.sort_unstable();
    let crossed = sorted.iter().any(|r| r.first > r.last);
    let overlap = sorted.windows(2).any(|pair| pair[0].overlaps(pair[1]));
    if crossed || overlap {
        Err(RangeError::Malformed)
    } else {
        Ok(())
    }
}
