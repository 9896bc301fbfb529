//! Logs as JSON lines on standard output.

use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};

use super::lines::LineSink;

/// Builds the logger of the process.
pub(crate) fn build_logger(host: &str) -> Logger {
    let json = slog_json::Json::default(LineSink::start(std::io::stdout()));
    let drain = Mutex::new(json).fuse();
    Logger::root(
        LevelFilter::new(drain, Level::Info).fuse(),
        o!("host" => host.to_owned()),
    )
}
