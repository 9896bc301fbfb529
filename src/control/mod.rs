//! The operators' side: HTTP server and command line.

mod capacity;
mod change;
mod client;
mod command;
mod files;
mod messages;
mod output;
mod server;

#[cfg(test)]
mod tests;

pub use command::run_command;
pub(crate) use server::start_operators;
