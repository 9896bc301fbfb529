//! Development stand-ins for the platform's log and host list, and for upstreams.
//!
//! Each is a library function that starts a server, so that tests can run it in their own
//! process, and a small binary in `src/bin`.

pub mod platform;
pub mod upstream;
