//! Limits on the memory and the connections that the process holds for callers and upstreams.
//!
//! They answer clients that open many connections, announce or send many large bodies at once, stop short of the end,
//! or don't read their responses. Memory is reserved before it is used: a request that would exceed the budget is
//! refused before its body is read.

mod callers;
#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

pub(crate) use callers::{CallerState, CallerTable, Progress};

/// Largest body that may use the whole budget, which leaves room for ordinary requests beside large ones.
pub(crate) const SMALL_BODY_BYTES: usize = 64 << 10;
/// Upper limit of the part of the budget that large bodies leave to small ones.
const RESERVE_MAX_BYTES: usize = 4 << 20;
/// Share of the machine's memory that may be held for callers and upstreams. The rest is for the process itself.
const BUDGET_SHARE: f64 = 0.5;
/// The same if a single body of the largest size needs more.
const BUDGET_SHARE_MAX: f64 = 0.62;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Holder {
    /// Open connections of callers and the heads of their requests.
    Connection,
    /// Bodies of requests.
    Body,
    /// Responses on their way from an upstream to a caller.
    Response,
}

impl Holder {
    pub(crate) const ALL: [Self; 3] = [Self::Connection, Self::Body, Self::Response];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Body => "body",
            Self::Response => "response",
        }
    }
}

/// Sizes of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Limits {
    /// Bytes that may be held altogether.
    total: usize,
    /// Part of them that large bodies may not use.
    reserve: usize,
}

impl Limits {
    /// Derives the limits from the memory of the machine and the largest body that callers may send.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "sizes of memory, far below 2^52 bytes"
    )]
    fn new(machine: usize, body_max: usize) -> Self {
        let share = |part: f64| (machine as f64 * part) as usize;
        let needed = body_max.saturating_add(RESERVE_MAX_BYTES);
        let total = share(BUDGET_SHARE).max(needed.min(share(BUDGET_SHARE_MAX)));
        Self {
            total,
            reserve: RESERVE_MAX_BYTES.min(total / 8),
        }
    }
}

#[derive(Debug)]
struct Account {
    machine: usize,
    limits: Cell<Limits>,
    held: [Cell<usize>; Holder::ALL.len()],
}

impl Account {
    fn total_held(&self) -> usize {
        self.held.iter().map(Cell::get).sum()
    }

    fn add(&self, holder: Holder, bytes: usize) {
        let held = &self.held[holder as usize];
        held.set(held.get() + bytes);
    }
}

/// Memory that the process may hold for callers and upstreams.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget(Rc<Account>);

impl MemoryBudget {
    /// Creates the budget of a machine with this much memory.
    pub(crate) fn new(machine: usize) -> Self {
        Self(Rc::new(Account {
            machine,
            limits: Cell::new(Limits::new(machine, 0)),
            held: Default::default(),
        }))
    }

    /// Adjusts the budget to the largest body that the configuration allows.
    pub(crate) fn set_largest_body(&self, bytes: usize) {
        self.0.limits.set(Limits::new(self.0.machine, bytes));
    }

    /// Reserves memory if the budget has room for it.
    pub(crate) fn try_reserve(&self, holder: Holder, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation {
            budget: self.clone(),
            holder,
            bytes: 0,
        };
        reservation.try_grow(bytes).then_some(reservation)
    }

    /// Reserves memory even if the budget has no room, for a response that has to be delivered.
    pub(crate) fn reserve(&self, holder: Holder, bytes: usize) -> Reservation {
        self.0.add(holder, bytes);
        Reservation {
            budget: self.clone(),
            holder,
            bytes,
        }
    }

    /// Reports whether more is held than the budget allows.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.0.total_held() > self.0.limits.get().total
    }

    /// Returns the bytes that are held for one purpose.
    pub(crate) fn held(&self, holder: Holder) -> usize {
        self.0.held[holder as usize].get()
    }

    /// Returns the bytes that may be held altogether.
    pub(crate) fn total(&self) -> usize {
        self.0.limits.get().total
    }
}

/// Memory reserved from a budget until dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    holder: Holder,
    bytes: usize,
}

impl Reservation {
    /// Reserves more; returns false, and reserves nothing, if the budget has no room.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        let account = &self.budget.0;
        let limits = account.limits.get();
        let is_large = self.holder == Holder::Body && self.bytes.saturating_add(bytes) > SMALL_BODY_BYTES;
        let limit = limits.total - if is_large { limits.reserve } else { 0 };
        if account.total_held().saturating_add(bytes) > limit {
            return false;
        }
        account.add(self.holder, bytes);
        self.bytes += bytes;
        true
    }

    /// Returns all bytes but this many to the budget.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        if let Some(surplus) = self.bytes.checked_sub(bytes) {
            let held = &self.budget.0.held[self.holder as usize];
            held.set(held.get().saturating_sub(surplus));
            self.bytes = bytes;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
