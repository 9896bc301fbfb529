//! Logs and metrics.

mod lines;
mod logger;
mod metrics;

#[cfg(test)]
mod tests;

pub(crate) use logger::build_logger;
pub(crate) use metrics::{Direction, Metrics, StateSnapshot, StoreCalls, TunnelOutcome};
