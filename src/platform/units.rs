//! Durations and versions in the platform's wire formats.

use std::time::Duration;

use serde::{Deserialize, Deserializer, de};

/// Durations of this length or more are rejected as mistakes.
const DURATION_LIMIT_SECONDS: f64 = 1e9;

/// Parses a duration with its unit, like `1500ms` or `2.5s`.
pub(super) fn parse_time(text: &str) -> Option<Duration> {
    let (number, scale) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.parse::<f64>().ok()? * scale;
    (0.0..DURATION_LIMIT_SECONDS)
        .contains(&seconds)
        .then(|| Duration::from_secs_f64(seconds))
}

/// Formats a duration in whole milliseconds, like `1500ms`.
pub(super) fn format_time(time: Duration) -> String {
    format!("{}ms", time.as_millis())
}

pub(super) fn read_time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_time(&text).ok_or_else(|| de::Error::custom(format!("expected a duration like 1500ms, found {text:?}")))
}

pub(super) fn read_optional_time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
    read_time(deserializer).map(Some)
}

pub(super) fn read_version<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16)
        .map_err(|_| de::Error::custom(format!("expected a version in hexadecimal, found {text:?}")))
}
