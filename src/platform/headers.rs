//! Headers that callers, hosts and upstreams exchange.

use std::time::Duration;

use http::{HeaderMap, HeaderName};

use crate::fleet::LoadReport;

/// Id of one request of a caller; upstreams repeat it in the answer.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-ragworthub-request-id");
/// Milliseconds for which the sender waits.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("x-ragworthub-deadline-ms");
/// Name of the only upstream that may run the request.
pub(crate) const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("x-ragworthub-expected-instance");
/// Name of the upstream that answers.
pub(crate) const INSTANCE: HeaderName = HeaderName::from_static("x-ragworthub-instance-id");
/// Present in an answer if the upstream didn't run the request.
pub(crate) const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-ragworthub-not-executed");
/// The upstream's proof that the answer is its own.
pub(crate) const SIGNATURE: HeaderName = HeaderName::from_static("x-ragworthub-response-signature");
/// Key of a request to a sharded pool, as a decimal number.
pub(crate) const SHARD_KEY: HeaderName = HeaderName::from_static("x-ragworthub-shard-key");
/// Token with which the next owner of a key starts warm.
pub(super) const HANDOVER: HeaderName = HeaderName::from_static("x-ragworthub-handover");
/// Milliseconds for which the upstream stays cold, in answers on its health path.
const COLD: HeaderName = HeaderName::from_static("x-ragworthub-cold-ms");
const LOAD: HeaderName = HeaderName::from_static("x-ragworthub-server-load");

/// Slowness, in percent, of an upstream that doesn't state it.
const USUAL_SLOWNESS: u32 = 100;

/// Reads how long an upstream stays cold; zero if it doesn't say so.
pub(crate) fn read_cold(headers: &HeaderMap) -> Duration {
    let text = headers.get(COLD).and_then(|value| value.to_str().ok());
    let millis = text.and_then(|text| text.trim().parse::<f64>().ok());
    Duration::try_from_secs_f64(millis.unwrap_or_default() / 1e3).unwrap_or_default()
}

/// Reads an upstream's load: requests running, requests waiting, slots and slowness in percent.
pub(crate) fn read_load(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(LOAD)?.to_str().ok()?;
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>().ok());
    let running = figures.next()??;
    let waiting = figures.next()??;
    let slots = figures.next()??;
    let slowness = figures.next().flatten().unwrap_or(USUAL_SLOWNESS);
    Some(LoadReport {
        running,
        waiting,
        slots,
        slowness,
    })
}
