//! Logs and metrics.

mod gateway;
mod lines;
mod logger;
mod metrics;

#[cfg(test)]
mod tests;

pub(crate) use gateway::GatewayMetrics;
pub(crate) use logger::{build_line_logger, build_logger, quiet_logger};
pub(crate) use metrics::Metrics;
