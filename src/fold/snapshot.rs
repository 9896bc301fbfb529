//! Snapshots of the state in the log, and the digest by which hosts compare states.
//!
//! A snapshot is the state's JSON text cut into parts. The text depends on the state only, never on
//! the history that led to it, so every host writes the same text for the same offset.

use std::collections::{BTreeMap, BTreeSet};
#[cfg(test)]
use std::io;

#[cfg(test)]
use xxhash_rust::xxh3::Xxh3;

use super::{Outcome, Rejection, State};
use crate::records::{Envelope, Record};
use crate::types::{Offset, value};

/// Longest text in a part. A record quotes it, which at most doubles it, so that a part stays
/// below [`RECORD_MAX`](crate::records::RECORD_MAX) with room for the other fields.
const PART_MAX: usize = 400 << 10;

/// Most parts of a snapshot; 1.6 GiB of text, far above the largest state planned.
const PARTS_MAX: u32 = 4_096;

/// Most incomplete snapshots that a reader keeps. Only a leader that stops while it writes leaves
/// one behind.
const OPEN_MAX: usize = 4;

value! {
    /// A part of a snapshot.
    #[derive(Eq)]
    pub(crate) struct SnapshotChunk {
        /// A piece of the state's text.
        pub(crate) text: String,
    }

    /// What the fold knows of the snapshots in the log.
    #[derive(Default)]
    pub(crate) struct SnapshotProgress {
        /// Offset of the newest state that the log holds completely; 0 if there is none.
        pub(crate) complete: Offset,
        pub(crate) open: Option<OpenSnapshot>,
    }

    /// A snapshot of which some parts are in the log.
    pub(crate) struct OpenSnapshot {
        pub(crate) term: Offset,
        pub(crate) through: Offset,
        pub(crate) parts: u32,
        pub(crate) seen: BTreeSet<u32>,
    }
}

impl State {
    /// Writes the state as snapshot records, each below the largest accepted record.
    pub(crate) fn take_snapshot(&self, term: Offset) -> Vec<Record> {
        self.split_snapshot(term, PART_MAX)
    }

    /// Writes the state as snapshot records with pieces of at most `piece_max` bytes.
    pub(super) fn split_snapshot(&self, term: Offset, piece_max: usize) -> Vec<Record> {
        let text = self.to_text();
        let pieces = split_text(&text, piece_max);
        let parts = u32::try_from(pieces.len()).expect("fewer than 2^32 parts");
        let record = |(part, piece): (u32, &str)| Record::Snapshot {
            term,
            through: self.folded,
            part,
            parts,
            chunk: Box::new(SnapshotChunk { text: piece.to_owned() }),
        };
        (0..).zip(pieces).map(record).collect()
    }

    /// Tells whether half of the log's retention has passed since the last complete snapshot.
    pub(crate) fn snapshot_due(&self, retention: u64) -> bool {
        self.folded.0 - self.snapshot.complete.0 >= retention / 2
    }

    /// Writes the state as text, from which [`State::from_text`] restores it.
    ///
    /// # Panics
    ///
    /// Never in practice: all maps of the state have keys that JSON accepts.
    pub(crate) fn to_text(&self) -> String {
        serde_json::to_string(self).expect("the state is representable as JSON")
    }

    /// Reads a state from its text.
    ///
    /// # Errors
    ///
    /// Fails if the text is no JSON, has unknown or missing fields, or has ranges that overlap.
    pub(crate) fn from_text(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Replaces the state by one that was read elsewhere, but never by an older one.
    ///
    /// Returns whether the state was replaced.
    pub(crate) fn advance_to(&mut self, other: Self) -> bool {
        let newer = other.folded > self.folded;
        if newer {
            *self = other;
        }
        newer
    }

    /// Hashes the whole state; hosts that folded to the same offset have the same digest.
    ///
    /// The cost grows with the size of the state.
    ///
    /// # Panics
    ///
    /// Never in practice: all maps of the state have keys that JSON accepts.
    #[cfg(test)]
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = DigestWriter(Xxh3::new());
        serde_json::to_writer(&mut hasher, self).expect("the state is representable as JSON");
        hasher.0.digest()
    }

    /// Notes a part of a snapshot in the log.
    pub(super) fn note_part(&mut self, key: SnapshotKey, part: u32) -> Result<(), Outcome> {
        let progress = &mut self.snapshot;
        let newest = progress.open.as_ref().map_or(progress.complete, |open| open.through);
        match &mut progress.open {
            Some(open) if key == SnapshotKey::of(open) => {
                open.seen.insert(part);
            }
            // A new term starts the same snapshot anew; an older one is of no more use.
            open if key.through > progress.complete && (key.through >= newest) => {
                *open = Some(OpenSnapshot {
                    term: key.term,
                    through: key.through,
                    parts: key.parts,
                    seen: BTreeSet::from([part]),
                });
            }
            _ => return Err(Outcome::Rejected(Rejection::Snapshot)),
        }
        let complete = |open: &OpenSnapshot| open.seen.len() == open.parts as usize;
        if progress.open.as_ref().is_some_and(complete) {
            progress.complete = key.through;
            progress.open = None;
        }
        Ok(())
    }
}

/// What the parts of one snapshot have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SnapshotKey {
    through: Offset,
    term: Offset,
    parts: u32,
}

impl SnapshotKey {
    /// Checks the numbers of a part that stands at an offset.
    pub(super) fn check(offset: Offset, term: Offset, through: Offset, part: u32, parts: u32) -> Option<Self> {
        let valid = through < offset && part < parts && parts <= PARTS_MAX;
        valid.then_some(Self { through, term, parts })
    }

    fn of(open: &OpenSnapshot) -> Self {
        Self {
            through: open.through,
            term: open.term,
            parts: open.parts,
        }
    }
}

/// Collects the parts of snapshots while a reader passes over the log.
///
/// Parts may be mixed with other records and with parts of other snapshots. Incomplete snapshots
/// are ignored.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotReader {
    /// Offset of the first record that the log still has.
    oldest: Offset,
    open: BTreeMap<SnapshotKey, BTreeMap<u32, String>>,
    newest: Option<State>,
}

impl SnapshotReader {
    /// Starts at the oldest record that the log retains.
    pub(crate) fn new(oldest: Offset) -> Self {
        Self {
            oldest,
            open: BTreeMap::new(),
            newest: None,
        }
    }

    /// Takes the part from a record, if it is one.
    ///
    /// A snapshot whose tail begins before the oldest record is ignored, because the state could
    /// not be folded on from it. The term isn't checked: any host's text for an offset is the same.
    pub(crate) fn add(&mut self, offset: Offset, envelope: &Envelope) {
        let Record::Snapshot {
            term,
            through,
            part,
            parts,
            chunk,
        } = &envelope.body
        else {
            return;
        };
        let Some(key) = SnapshotKey::check(offset, *term, *through, *part, *parts) else {
            return;
        };
        let known = self.newest.as_ref().is_some_and(|state| state.folded >= key.through);
        if known || key.through.0 + 1 < self.oldest.0 {
            return;
        }
        let collected = self.open.entry(key).or_default();
        collected.entry(*part).or_insert_with(|| chunk.text.clone());
        if collected.len() == key.parts as usize {
            self.finish(key);
        } else if self.open.len() > OPEN_MAX {
            self.open.pop_first();
        }
    }

    /// Offset of the newest complete snapshot.
    #[cfg(test)]
    pub(crate) fn through(&self) -> Option<Offset> {
        self.newest.as_ref().map(|state| state.folded)
    }

    /// Moves a state forward to the newest complete snapshot, but never back.
    ///
    /// Returns whether the state changed. The reader goes on with the record after the state's
    /// folded offset.
    pub(crate) fn restore(self, state: &mut State) -> bool {
        self.newest.is_some_and(|newest| state.advance_to(newest))
    }

    fn finish(&mut self, key: SnapshotKey) {
        let parts = self.open.remove(&key).unwrap_or_default();
        let text: String = parts.into_values().collect();
        if let Ok(state) = State::from_text(&text)
            && state.folded == key.through
        {
            self.open.retain(|open, _| open.through > key.through);
            self.newest = Some(state);
        }
    }
}

fn split_text(mut text: &str, piece_max: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    while !text.is_empty() {
        let (piece, rest) = text.split_at(text.floor_char_boundary(piece_max));
        pieces.push(piece);
        text = rest;
    }
    pieces
}

#[cfg(test)]
struct DigestWriter(Xxh3);

#[cfg(test)]
impl io::Write for DigestWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.update(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
