//! Limits that hold over all hosts together without a message for each request.
//!
//! Each host takes a share that it can work out alone: shares of all hosts add up to the limit,
//! whichever of them are cut off from each other.

mod cold;
mod retry;

#[cfg(test)]
mod tests;

pub(crate) use cold::{ColdLimiter, ColdQuota};
pub(crate) use retry::{RetryBudget, RetryLimits};
