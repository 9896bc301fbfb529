//! Rates of requests.

use std::fmt;
use std::str::FromStr;

use super::ParseValueError;

/// Requests per second; finite and not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub(crate) struct Rate(f64);

impl Rate {
    /// Returns the rate of a number of requests per second; 0 if the number is negative or not finite.
    pub(crate) fn from_f64(number: f64) -> Self {
        Self(if number.is_finite() { number.max(0.0) } else { 0.0 })
    }

    pub(crate) fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseValueError;

    /// Parses a decimal number, with or without the unit `/s`.
    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        let number = text.trim().trim_end_matches("/s").parse::<f64>();
        let number = number.ok().filter(|n| n.is_finite() && *n >= 0.0);
        number.map(Self).ok_or_else(|| ParseValueError(text.to_owned()))
    }
}
