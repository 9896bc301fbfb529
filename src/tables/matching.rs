//! Finds the route, the caller and the key of a request.

use http::{HeaderMap, Method};

use super::{Idempotence, KeySource, Route, Tables};
use crate::types::{Caller, KeyHash, Reason};

/// Longest accepted key, in bytes; keys are registry numbers, a longer one is a mistake.
const KEY_MAX: usize = 512;

/// Why a request has no usable key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyError {
    Missing,
    TooLong,
}

impl KeyError {
    pub(crate) fn reason(self) -> Reason {
        match self {
            Self::Missing => Reason::KeyMissing,
            Self::TooLong => Reason::KeyTooLong,
        }
    }
}

/// Finds the route with the longest prefix that matches a request.
pub(crate) fn match_route<'a>(tables: &'a Tables, method: &Method, path: &str) -> Option<&'a Route> {
    let admits = |r: &&Route| r.methods.is_empty() || r.methods.iter().any(|m| m == method.as_str());
    let matching = tables
        .routes
        .iter()
        .filter(|r| has_prefix(path, &r.prefix))
        .filter(admits);
    // Of equal prefixes the first wins, so a later one must be strictly longer.
    matching.reduce(|best, r| if r.prefix.len() > best.prefix.len() { r } else { best })
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

/// Reads the caller's name as the route says.
///
/// # Errors
///
/// Gives the reason of the refusal if the header is missing or the route doesn't admit the caller.
pub(crate) fn find_caller(route: &Route, headers: &HeaderMap) -> Result<Caller, Reason> {
    let value = headers
        .get(route.callers.header.as_str())
        .ok_or(Reason::CallerMissing)?;
    let name = value.to_str().map_err(|_| Reason::BadHeader)?;
    let admitted = route.callers.names.iter().find(|c| c.as_str() == name);
    admitted.cloned().ok_or(Reason::CallerNotAdmitted)
}

/// Reads and hashes the key of a request.
///
/// # Errors
///
/// Fails if the route names no key, or the request's key is missing, empty or too long.
pub(crate) fn find_key(route: &Route, uri: &http::Uri, headers: &HeaderMap) -> Result<KeyHash, KeyError> {
    let key = match route.key.as_ref().ok_or(KeyError::Missing)? {
        KeySource::Segment(index) => {
            let rest = uri.path().get(route.prefix.len()..).unwrap_or_default();
            rest.trim_start_matches('/')
                .split('/')
                .nth(usize::from(*index))
                .map(str::as_bytes)
        }
        KeySource::Header(name) => headers.get(name.as_str()).map(http::HeaderValue::as_bytes),
        KeySource::Query(name) => find_parameter(uri.query().unwrap_or_default(), name).map(str::as_bytes),
    };
    match key {
        None | Some([]) => Err(KeyError::Missing),
        Some(key) if key.len() > KEY_MAX => Err(KeyError::TooLong),
        Some(key) => Ok(KeyHash::of(key)),
    }
}

fn find_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|(_, value)| value)
}

impl Route {
    /// Tells whether a request with this method may run more than once.
    pub(crate) fn is_idempotent(&self, method: &Method) -> bool {
        match self.idempotent {
            Idempotence::Always => true,
            Idempotence::Never => false,
            Idempotence::Method => method.is_idempotent(),
        }
    }
}
