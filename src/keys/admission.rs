//! Admission of requests for keys whose owner is overloaded, such as a hot key that no upstream can serve alone.
//!
//! Each of hundreds of hosts sends such an owner too few requests to know its queue, so all send theirs until the queue
//! is full: every request then waits for the whole queue, and most responses are late. The grantor knows the load of
//! each owner from the counts of all hosts. It asks an overloaded owner for its queue twice a second and tells the hosts
//! which share of the requests to admit, so that the queue stays short.

use std::collections::BTreeMap;

use super::Holder;
use crate::fleet::LoadReport;

/// Load of an owner, relative to its capacity, from which on the grantor asks for its queue.
const WATCHED_USAGE: f64 = 0.8;
/// Waiting requests, relative to the slots, above which less is admitted.
const QUEUE_MAX: f64 = 1.2;
/// Waiting requests, relative to the slots, below which more is admitted.
const QUEUE_MIN: f64 = 0.5;
/// Factor of the share after a long queue.
const DECREASE: f64 = 0.75;
/// Factor of the share while half of the slots are free, after a short queue, and after one in between.
const INCREASE_IDLE: f64 = 2.0;
const INCREASE: f64 = 1.2;
const DRIFT: f64 = 1.04;
/// Least share, which shows when the load ends.
const SHARE_MIN: f64 = 0.02;
/// Largest number of owners of a pool that are asked at once.
const WATCHED_MAX: usize = 16;

/// An owner whose queue the grantor asks for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct WatchedOwner {
    pub(crate) holder: Holder,
    /// Requests per second for its keys, including those that hosts refuse.
    pub(crate) load: f64,
    /// Requests per second that occupy all its slots.
    pub(crate) capacity: f64,
}

/// Shares of the requests that are admitted, by owner; all are admitted of the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Admissions {
    shares: BTreeMap<Holder, f64>,
}

impl Admissions {
    /// Returns the owners to ask for their queues: those with a high load, and those of which not all requests are
    /// admitted.
    pub(crate) fn watched(&self, owners: impl Iterator<Item = WatchedOwner>) -> Vec<WatchedOwner> {
        let mut watched: Vec<WatchedOwner> = owners
            .filter(|owner| owner.load > owner.capacity * WATCHED_USAGE || self.shares.contains_key(&owner.holder))
            .collect();
        watched.sort_by(|a, b| (b.load / b.capacity).total_cmp(&(a.load / a.capacity)));
        watched.truncate(WATCHED_MAX);
        watched
    }

    /// Adjusts the share of an owner to its queue.
    pub(crate) fn update(&mut self, owner: &WatchedOwner, report: LoadReport) {
        let queue = f64::from(report.waiting) / f64::from(report.slots.max(1));
        let is_idle = report.waiting == 0 && report.running * 2 <= report.slots;
        let share = match self.shares.get(&owner.holder) {
            None if queue <= QUEUE_MAX => return,
            None => (owner.capacity / owner.load.max(0.001)).min(DECREASE),
            Some(share) if is_idle => share * INCREASE_IDLE,
            Some(share) if queue > QUEUE_MAX => share * DECREASE,
            Some(share) if queue < QUEUE_MIN => share * INCREASE,
            Some(share) => share * DRIFT,
        };
        if share < 1.0 {
            self.shares.insert(owner.holder.clone(), share.max(SHARE_MIN));
        } else {
            self.shares.remove(&owner.holder);
        }
    }

    /// Drops the shares of owners that are no longer watched.
    pub(crate) fn retain(&mut self, watched: &[WatchedOwner]) {
        self.shares
            .retain(|holder, _| watched.iter().any(|owner| owner.holder == *holder));
    }

    pub(crate) fn shares(&self) -> impl Iterator<Item = (&Holder, f64)> {
        self.shares.iter().map(|(holder, share)| (holder, *share))
    }
}
