//! Development stand-ins for the users' platform: its store, and the servers behind the router.
//!
//! Each is a library type that runs a server, so that tests can run it in their own process, and a
//! small binary in `src/bin`.

mod http;
pub mod server;
pub mod soak;
pub mod store;

pub use http::bind;
