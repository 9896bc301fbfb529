//! Limits that hold across all hosts without a message for each request.
//!
//! Each host computes its own share of a limit. The shares of all hosts together don't exceed the
//! limit, even while some hosts are cut off from each other.

mod cold;
mod limit;
mod retry;
mod share;

#[cfg(test)]
mod tests;

pub(crate) use cold::{ColdLimiter, ColdQuota};
pub(crate) use limit::{Division, RateLimiter};
pub(crate) use retry::{RetryBudget, RetryLimits};
pub(crate) use share::{ClassMix, RequestClass};
