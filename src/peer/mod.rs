//! Calls between entry hosts, over gRPC.
//!
//! The messages are the types of the decision modules, written as MessagePack; the client and the
//! server in `generated` are made by `codegen` and committed.

mod client;
mod codec;
mod messages;
mod server;

#[rustfmt::skip]
#[allow(clippy::pedantic, unreachable_pub)]
mod generated;

#[cfg(test)]
mod tests;

pub(crate) use client::Peers;
pub(crate) use codec::PackCodec;
pub(crate) use messages::{
    Batch, ClaimMessage, CopyPage, CopyQuestion, CreditReport, Heartbeat, HeartbeatAnswer, HoldAnswer, Lends, Received,
    RegisterAnswer, SuspectNews,
};
pub(crate) use server::{PeerHandler, serve_peers};
