//! One attempt of a request at an upstream.
//!
//! [`run_attempt`] sends a request over a pooled or new connection and returns the answer's head
//! with a body that streams. Every failure says whether the upstream may have run the request.

mod answer;
mod attempt;
mod connection;
mod forward;

#[cfg(test)]
mod tests;

pub(crate) use answer::{AnswerBody, AnswerGuard, Ended};
pub(crate) use attempt::{Failure, Target, run_attempt};
pub(crate) use connection::{ConnectLimits, Connector};
pub(crate) use forward::{BodyError, ForwardBody, read_body};
