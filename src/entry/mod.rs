//! The callers' side: HTTP server and request path.

mod call;
mod claim;
mod counted;
mod delivery;
mod forward;
mod headers;
mod refusal;
mod request;
mod server;

#[cfg(test)]
mod tests;

pub(crate) use server::start_entry;
