//! Logs as JSON lines on standard error.

use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};

use super::lines::LineSink;

/// Builds the logger of the process.
pub(crate) fn build_logger(host: &str) -> Logger {
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    // A full channel drops lines and counts them instead of delaying requests.
    let drain = slog_async::Async::new(json).chan_size(4096).build().fuse();
    Logger::root(
        LevelFilter::new(drain, Level::Info).fuse(),
        o!("host" => host.to_owned()),
    )
}

/// Gives a logger for libraries that write a line for each request.
pub(crate) fn quiet_logger(log: &Logger) -> Logger {
    Logger::root(LevelFilter::new(log.clone(), Level::Warning).fuse(), o!())
}

/// Builds a logger that writes JSON lines to standard output.
pub(crate) fn build_line_logger(host: &str) -> Logger {
    let json = slog_json::Json::default(LineSink::start(std::io::stdout()));
    let drain = Mutex::new(json).fuse();
    Logger::root(
        LevelFilter::new(drain, Level::Info).fuse(),
        o!("host" => host.to_owned()),
    )
}
