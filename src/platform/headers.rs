//! Headers that callers, hosts and upstreams exchange.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName};

use crate::fleet::LoadReport;
use crate::types::{Rate, StoreEra};

/// Id of a caller's request; upstreams repeat it in the response.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-ragworthub-request-id");
/// Time for which the sender waits for the response, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("x-ragworthub-deadline-ms");
/// Name of the only upstream that may run the request.
pub(crate) const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("x-ragworthub-expected-instance");
/// Name of the upstream that sent the response.
pub(crate) const INSTANCE: HeaderName = HeaderName::from_static("x-ragworthub-instance-id");
/// Present in a response if the upstream didn't run the request.
pub(crate) const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-ragworthub-not-executed");
/// Proof that the response comes from the upstream.
pub(crate) const SIGNATURE: HeaderName = HeaderName::from_static("x-ragworthub-response-signature");
/// Key of a request to a sharded pool, as a decimal number.
pub(crate) const SHARD_KEY: HeaderName = HeaderName::from_static("x-ragworthub-shard-key");
/// Credential of a caller, which is not passed on.
pub(crate) const CREDENTIAL: HeaderName = HeaderName::from_static("x-ragworthub-credential");
/// Name of the tenant that holds the caller's credential, for upstreams.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("x-ragworthub-tenant");
/// Token that lets the next owner of a key start warm.
pub(super) const HANDOVER: HeaderName = HeaderName::from_static("x-ragworthub-handover");
/// Time for which the upstream stays cold, in milliseconds; sent in responses on its health path.
const COLD: HeaderName = HeaderName::from_static("x-ragworthub-cold-ms");
/// Load of the upstream: running requests, waiting requests, slots and, optionally, slowness in percent.
const LOAD: HeaderName = HeaderName::from_static("x-ragworthub-server-load");

/// Requests per second that the upstream takes from all hosts together.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");

/// Present in the responses of an upstream that is leaving.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Era of the store that sent the response.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Longest pause that an upstream is granted; a longer one is a mistake.
const PAUSE_MAX: Duration = Duration::from_hours(1);
/// Slowness of an upstream that reports none.
const TYPICAL_SLOWNESS_PERCENT: u32 = 100;

/// Returns how long an upstream stays cold; zero if the header is missing or malformed.
pub(crate) fn read_cold(headers: &HeaderMap) -> Duration {
    let text = headers.get(COLD).and_then(|value| value.to_str().ok());
    let millis = text.and_then(|text| text.trim().parse::<f64>().ok());
    Duration::try_from_secs_f64(millis.unwrap_or_default() / 1e3).unwrap_or_default()
}

/// Parses the era of the store; `None` if the header is missing or malformed.
pub(super) fn read_era(headers: &HeaderMap) -> Option<StoreEra> {
    headers.get(STORE_ERA)?.to_str().ok()?.trim().parse().ok()
}

/// Parses the limit that an upstream names; `None` if the header is missing or malformed.
pub(crate) fn read_limit(headers: &HeaderMap) -> Option<Rate> {
    headers.get(LIMIT)?.to_str().ok()?.parse().ok()
}

/// Reports whether an upstream states that it is leaving.
pub(crate) fn read_leaving(headers: &HeaderMap) -> bool {
    headers.get(LEAVING).is_some_and(|value| value.as_bytes() == b"1")
}

/// Parses the time for which an upstream that refuses a request wants no further ones, in seconds; `None` if the
/// header is missing or malformed.
pub(crate) fn read_pause(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse::<f64>().ok()?;
    (seconds >= 0.0).then(|| Duration::from_secs_f64(seconds.min(PAUSE_MAX.as_secs_f64())))
}

/// Parses an upstream's load; `None` if the header is missing or malformed.
pub(crate) fn read_load(headers: &HeaderMap) -> Option<LoadReport> {
    let text = headers.get(LOAD)?.to_str().ok()?;
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>().ok());
    let running = figures.next()??;
    let waiting = figures.next()??;
    let slots = figures.next()??;
    let slowness = figures.next().flatten().unwrap_or(TYPICAL_SLOWNESS_PERCENT);
    Some(LoadReport {
        running,
        waiting,
        slots,
        slowness,
    })
}
