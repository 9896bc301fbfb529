//! Headers of requests and answers.

use http::header::{CONNECTION, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};

use crate::types::RequestId;

pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("ragworthub-request-id");
pub(crate) const VERDICT: HeaderName = HeaderName::from_static("ragworthub-verdict");
pub(crate) const REASON: HeaderName = HeaderName::from_static("ragworthub-reason");
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("ragworthub-deadline-ms");
pub(crate) const EPOCH: HeaderName = HeaderName::from_static("ragworthub-epoch");
pub(crate) const KEY_HASH: HeaderName = HeaderName::from_static("ragworthub-key-hash");
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("ragworthub-not-run");
pub(crate) const INCARNATION: HeaderName = HeaderName::from_static("ragworthub-incarnation");
/// Marks an answer that was stored when the same request ran before.
pub(crate) const REPLAYED: HeaderName = HeaderName::from_static("ragworthub-replayed");
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that concern one connection only; those that `Connection` names come on top.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Headers that only the router sets; a caller or upstream can't forge them.
const RESERVED: [HeaderName; 8] = [
    VERDICT,
    REASON,
    DEADLINE,
    EPOCH,
    KEY_HASH,
    NOT_RUN,
    INCARNATION,
    REPLAYED,
];

/// Removes headers that must not pass from one connection to the next.
pub(crate) fn strip_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP).chain(&RESERVED) {
        headers.remove(name);
    }
}

/// Takes the caller's request id, or draws one where it is missing or no UUID.
pub(crate) fn find_request_id(headers: &HeaderMap) -> RequestId {
    let given = headers.get(REQUEST_ID).and_then(|value| value.to_str().ok());
    given.and_then(|text| text.parse().ok()).unwrap_or_else(RequestId::draw)
}
