//! Times and versions as the platform writes them.

use std::time::Duration;

use serde::{Deserialize, Deserializer, de};

/// Longest time that is accepted; anything above is a mistake.
const LONGEST_SECONDS: f64 = 1e9;

/// Parses a number with its unit, like `1500ms` or `2.5s`.
pub(super) fn parse_time(text: &str) -> Option<Duration> {
    let (number, scale) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.parse::<f64>().ok()? * scale;
    (0.0..LONGEST_SECONDS)
        .contains(&seconds)
        .then(|| Duration::from_secs_f64(seconds))
}

/// Formats a time in whole milliseconds.
pub(super) fn format_time(time: Duration) -> String {
    format!("{}ms", time.as_millis())
}

pub(super) fn read_time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_time(&text).ok_or_else(|| de::Error::custom(format!("expected a time like 1500ms, found {text:?}")))
}

pub(super) fn read_optional_time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
    read_time(deserializer).map(Some)
}

pub(super) fn read_version<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16)
        .map_err(|_| de::Error::custom(format!("expected a version in hexadecimal digits, found {text:?}")))
}
