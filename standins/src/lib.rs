//! Simplified substitutes ("stand-ins") for the platform on which the gateway runs: its store and its
//! upstream servers. They serve development and tests.
//!
//! Each stand-in is a library type, so that tests can run it in their own process, and a small binary
//! in `src/bin`.

mod http;
pub mod proxy;
pub mod server;
pub mod soak;
mod sockets;
pub mod store;

pub use http::bind;
