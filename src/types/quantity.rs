//! Durations and sizes in bytes, written with their units.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// expected {expected}, found {found:?}
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) struct ParseQuantityError {
    expected: &'static str,
    found: String,
}

/// A duration, written like `250ms` or `2s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub(crate) struct Span(pub(crate) Duration);

impl Span {
    pub(crate) const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl FromStr for Span {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bad = |_| ParseQuantityError {
            expected: "a duration with its unit, like 250ms",
            found: text.to_owned(),
        };
        humantime::parse_duration(text).map(Self).map_err(bad)
    }
}

impl TryFrom<String> for Span {
    type Error = ParseQuantityError;

    fn try_from(text: String) -> Result<Self, ParseQuantityError> {
        text.parse()
    }
}

impl From<Span> for String {
    fn from(span: Span) -> Self {
        span.to_string()
    }
}

/// A size in bytes, written like `64 MiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub(crate) struct Size(pub(crate) u64);

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A unit without a prefix keeps the exact value.
        write!(f, "{} B", self.0)
    }
}

impl FromStr for Size {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, ParseQuantityError> {
        let bad = |_| ParseQuantityError {
            expected: "a size with its unit, like 64 MiB",
            found: text.to_owned(),
        };
        text.parse::<ByteSize>().map(|size| Self(size.as_u64())).map_err(bad)
    }
}

impl TryFrom<String> for Size {
    type Error = ParseQuantityError;

    fn try_from(text: String) -> Result<Self, ParseQuantityError> {
        text.parse()
    }
}

impl From<Size> for String {
    fn from(size: Size) -> Self {
        size.to_string()
    }
}
