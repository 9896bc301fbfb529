//! The grant check of a fenced upstream over the JSON texts of its interface.

use displaydoc::Display;
use thiserror::Error;
use tokio::time::Instant;

use super::{Grant, GrantRefusal, Revoke, UpstreamGrants};
use crate::types::{Incarnation, KeyHash, Offset};

/// Why a fenced upstream refuses a request or an order.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CheckError {
    /// the order or the header can't be read: {0}
    Syntax(String),
    /// no valid grant: {0}
    Refused(String),
}

/// Grants that a fenced upstream holds.
///
/// Upstreams in Rust can use it as it is; others read it as the definition of the check.
#[derive(Debug)]
pub struct GrantCheck(UpstreamGrants);

impl GrantCheck {
    /// Starts without grants. Each run of an upstream has another incarnation.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self(UpstreamGrants::new(Incarnation(incarnation), Instant::now()))
    }

    /// The answer to `GET /.ragworthub/health`, and to accepted orders.
    ///
    /// # Panics
    ///
    /// Never: a clock reading can always be written.
    #[must_use]
    pub fn read_clock(&self) -> String {
        serde_json::to_string(&self.0.read_clock(Instant::now())).expect("a clock reading is JSON")
    }

    /// Takes the body of `PUT /.ragworthub/grant`.
    ///
    /// # Errors
    ///
    /// Fails if the body can't be read or counts from the clock of another run.
    pub fn accept_grant(&mut self, body: &[u8]) -> Result<(), CheckError> {
        let grant: Grant = serde_json::from_slice(body).map_err(|e| CheckError::Syntax(e.to_string()))?;
        self.0.accept_grant(Instant::now(), &grant).map_err(describe)
    }

    /// Takes the body of `PUT /.ragworthub/revoke`.
    ///
    /// # Errors
    ///
    /// Fails if the body can't be read.
    pub fn revoke(&mut self, body: &[u8]) -> Result<(), CheckError> {
        let revoke: Revoke = serde_json::from_slice(body).map_err(|e| CheckError::Syntax(e.to_string()))?;
        self.0.revoke(&revoke);
        Ok(())
    }

    /// Checks the headers `ragworthub-key-hash` and `ragworthub-epoch` of a request.
    ///
    /// # Errors
    ///
    /// Fails unless an unexpired grant of the epoch covers the hash.
    pub fn check_request(&self, hash: &str, epoch: &str) -> Result<(), CheckError> {
        let bad = |e: crate::types::BadNumber| CheckError::Syntax(e.to_string());
        let hash: KeyHash = hash.parse().map_err(bad)?;
        let epoch: Offset = epoch.parse().map_err(bad)?;
        self.0.check_request(Instant::now(), hash, epoch).map_err(describe)
    }
}

fn describe(refusal: GrantRefusal) -> CheckError {
    let why = match refusal {
        GrantRefusal::NotGranted => "no grant covers the key",
        GrantRefusal::Expired => "the grant has expired",
        GrantRefusal::OtherEpoch => "the grant has another epoch",
        GrantRefusal::ForeignClock => "the grant counts from another run's clock",
    };
    CheckError::Refused(why.to_owned())
}
