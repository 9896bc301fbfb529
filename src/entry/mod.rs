//! The callers' side: HTTP server and request path.

mod headers;
mod refusal;
mod request;
mod server;

pub(crate) use server::start_entry;
