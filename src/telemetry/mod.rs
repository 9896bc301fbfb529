//! Logs and metrics.

mod logger;
mod metrics;

pub(crate) use logger::{build_logger, quiet_logger};
pub(crate) use metrics::Metrics;
