//! Limits that hold across all hosts without a message for each request.
//!
//! Each host computes its own share of a limit. The shares of all hosts add up to the limit, also
//! while some hosts are cut off from each other.

mod cold;
mod retry;

#[cfg(test)]
mod tests;

pub(crate) use cold::{ColdLimiter, ColdQuota};
pub(crate) use retry::{RetryBudget, RetryLimits};
