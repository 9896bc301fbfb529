//! Durations and versions in the platform's wire formats.

use std::time::Duration;

use serde::de::{self, IntoDeserializer};
use serde::{Deserialize, Deserializer};
use serde_json::Number;

/// Durations of this length or more are rejected as mistakes.
const DURATION_LIMIT_SECONDS: f64 = 1e9;
/// Floating-point numbers below this one state whole numbers exactly.
const WHOLE_LIMIT: f64 = 9_007_199_254_740_992.0;

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
    let text = Option::<String>::deserialize(deserializer)?;
    text.map(|text| read_time(text.into_deserializer())).transpose()
}

/// Reads a value; `null` stands for the default, as an absent field does.
pub(super) fn read_or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// Reads a whole number, which may be written with a fraction of zero, like `2.0`.
pub(super) fn read_whole<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = Number::deserialize(deserializer)?;
    let whole = parse_whole(&number).and_then(|whole| T::try_from(whole).ok());
    whole.ok_or_else(|| de::Error::custom(format!("expected a whole number of 0 or more in range, found {number}")))
}

/// Reads a finite number of 0 or more.
pub(super) fn read_weight<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    let is_weight = number.is_finite() && number >= 0.0;
    is_weight
        .then_some(number)
        .ok_or_else(|| de::Error::custom(format!("expected a number of 0 or more, found {number}")))
}

/// As [`read_whole`]; `None` for `null`.
pub(super) fn read_optional_whole<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = Option::<Number>::deserialize(deserializer)?;
    let whole = number.map(|number| read_whole(number).map_err(de::Error::custom));
    whole.transpose()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the number is whole and in range"
)]
fn parse_whole(number: &Number) -> Option<u64> {
    let is_whole = |number: &f64| number.fract() == 0.0 && (0.0..WHOLE_LIMIT).contains(number);
    let from_float = || number.as_f64().filter(is_whole).map(|number| number as u64);
    number.as_u64().or_else(from_float)
}

pub(super) fn read_version<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16)
        .map_err(|_| de::Error::custom(format!("expected a version in hexadecimal, found {text:?}")))
}
