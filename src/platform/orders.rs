//! Lease commands, which tell upstreams which keys they own.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, Method, Request};
use http_body_util::Full;
use serde::Serialize;

use super::headers::{EXPECTED_INSTANCE, HANDOVER};
use super::units::format_time;
use crate::keys::KeyRange;
use crate::types::UpstreamName;

/// A command to an upstream about the keys that it owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LeaseCommand {
    /// Gives or renews a lease on the keys, which starts when the command arrives.
    Grant {
        range: KeyRange,
        fence: u64,
        lease: Duration,
        handover: Option<String>,
    },
    /// Makes the upstream accept no new work on the keys.
    Release { range: KeyRange, fence: u64 },
}

impl LeaseCommand {
    pub(crate) fn fence(&self) -> u64 {
        match self {
            Self::Grant { fence, .. } | Self::Release { fence, .. } => *fence,
        }
    }
}

#[derive(Serialize)]
struct WireCommand<'a> {
    from: u16,
    /// The last key, inclusive.
    target: u16,
    fence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    hold_time: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    handover: Option<&'a str>,
}

/// Builds the HTTP request for a command that only the named upstream may execute.
///
/// # Panics
///
/// Never in practice: upstream names are valid header values.
pub(crate) fn encode_command(command: &LeaseCommand, upstream: &UpstreamName) -> Request<Full<Bytes>> {
    let (path, wire) = match command {
        LeaseCommand::Grant {
            range,
            fence,
            lease,
            handover,
        } => (
            "/grant",
            WireCommand {
                from: range.first,
                target: range.last,
                fence: *fence,
                hold_time: Some(format_time(*lease)),
                handover: handover.as_deref(),
            },
        ),
        LeaseCommand::Release { range, fence } => (
            "/release",
            WireCommand {
                from: range.first,
                target: range.last,
                fence: *fence,
                hold_time: None,
                handover: None,
            },
        ),
    };
    let body = serde_json::to_vec(&wire).expect("numbers and strings serialize to JSON");
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, "upstream")
        .header(CONTENT_TYPE, "application/json")
        .header(EXPECTED_INSTANCE, upstream.as_str())
        .body(Full::new(Bytes::from(body)))
        .expect("path and headers are valid")
}

/// Returns the handover token that an upstream sends when it has released keys.
pub(crate) fn read_handover(headers: &HeaderMap) -> Option<String> {
    headers.get(HANDOVER)?.to_str().ok().map(ToOwned::to_owned)
}
