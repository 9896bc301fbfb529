//! Order in which waiting requests are served: by priority, then fairly between callers.

use std::collections::BTreeMap;

use crate::tables::Priority;
use crate::types::Caller;

/// Every eighth turn may go to a lower priority, so that none starves under steady overload.
const TURNS_PER_LOWER: u64 = 8;

/// Requests of one caller and priority, in order of arrival.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Lane {
    pub(crate) priority: Priority,
    pub(crate) caller: Caller,
}

/// Start-time fair queueing between the lanes of each priority.
#[derive(Debug, Default)]
pub(crate) struct FairOrder {
    /// Earliest virtual start of the next request of each lane that was served lately.
    tags: BTreeMap<Lane, u64>,
    /// Virtual time of each priority: start of the request served last.
    clocks: BTreeMap<Priority, u64>,
    turns: u64,
}

impl FairOrder {
    /// Chooses the lane to serve among those with waiting requests, and counts the turn.
    pub(crate) fn choose<'a>(&mut self, waiting: impl Iterator<Item = &'a Lane> + Clone) -> Option<Lane> {
        let priority = self.choose_priority(waiting.clone().map(|l| l.priority))?;
        let clock = self.clocks.get(&priority).copied().unwrap_or_default();
        let start = |lane: &Lane| self.tags.get(lane).copied().unwrap_or_default().max(clock);
        let (start, lane) = waiting
            .filter(|l| l.priority == priority)
            .map(|l| (start(l), l))
            .min()?;
        self.turns += 1;
        self.clocks.insert(priority, start);
        // A lane whose tag is not ahead of the clock is as good as new.
        self.tags.retain(|l, tag| l.priority != priority || *tag > start);
        self.tags.insert(lane.clone(), start + 1);
        Some(lane.clone())
    }

    fn choose_priority(&self, waiting: impl Iterator<Item = Priority>) -> Option<Priority> {
        let mut classes: Vec<Priority> = waiting.collect();
        classes.sort_unstable();
        classes.dedup();
        let lower = self.turns % TURNS_PER_LOWER == TURNS_PER_LOWER - 1 && classes.len() > 1;
        let index = if lower {
            // Rotates over the classes below the highest.
            let rotation = usize::try_from(self.turns / TURNS_PER_LOWER).unwrap_or_default();
            1 + rotation % (classes.len() - 1)
        } else {
            0
        };
        classes.get(index).copied()
    }
}
