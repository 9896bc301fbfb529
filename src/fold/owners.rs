//! Names of owners by index, so that a range costs a few bytes.

use std::collections::BTreeMap;

use crate::types::UpstreamName;

/// Index of an owner; it depends on the history of a table and never leaves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OwnerIndex(u32);

/// The owners of a table with the number of their ranges.
#[derive(Clone, Debug, Default)]
pub(super) struct Owners {
    slots: Vec<Slot>,
    indexes: BTreeMap<UpstreamName, OwnerIndex>,
    /// Slots of owners whose last range is gone. Names of upstreams come and go for years, so
    /// their slots are used again.
    free: Vec<OwnerIndex>,
}

#[derive(Clone, Debug)]
struct Slot {
    name: UpstreamName,
    ranges: usize,
}

impl Owners {
    pub(super) fn name(&self, index: OwnerIndex) -> &UpstreamName {
        &self.slots[index.0 as usize].name
    }

    /// Counts one more range of an owner and gives its index.
    pub(super) fn acquire(&mut self, name: &UpstreamName) -> OwnerIndex {
        let index = match self.indexes.get(name) {
            Some(&index) => index,
            None => self.add_slot(name),
        };
        self.retain(index);
        index
    }

    /// Counts one more range of an owner that has one already.
    pub(super) fn retain(&mut self, index: OwnerIndex) {
        self.slots[index.0 as usize].ranges += 1;
    }

    /// Counts one range less.
    pub(super) fn release(&mut self, index: OwnerIndex) {
        let slot = &mut self.slots[index.0 as usize];
        slot.ranges -= 1;
        if slot.ranges == 0 {
            self.indexes.remove(&slot.name);
            self.free.push(index);
        }
    }

    fn add_slot(&mut self, name: &UpstreamName) -> OwnerIndex {
        let slot = Slot {
            name: name.clone(),
            ranges: 0,
        };
        let index = if let Some(index) = self.free.pop() {
            self.slots[index.0 as usize] = slot;
            index
        } else {
            self.slots.push(slot);
            OwnerIndex(u32::try_from(self.slots.len() - 1).expect("fewer than 2^32 upstreams"))
        };
        self.indexes.insert(name.clone(), index);
        index
    }
}
