//! Logs as JSON lines on standard output.

use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};

use super::lines::LineWriter;

/// Builds the process's logger, which adds the host to each line.
pub(crate) fn build_logger(host: &str) -> Logger {
    let json = slog_json::Json::default(LineWriter::start(std::io::stdout()));
    let drain = Mutex::new(json).fuse();
    Logger::root(
        LevelFilter::new(drain, Level::Info).fuse(),
        o!("host" => host.to_owned()),
    )
}
