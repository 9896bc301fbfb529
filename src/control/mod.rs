//! The operators' side: HTTP server and command line.

mod client;
mod command;
mod messages;
mod server;

pub use command::run_command;
pub(crate) use server::start_operators;
