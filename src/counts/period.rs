//! Months of the counts.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::types::BadNumber;

/// Time of day, which callers pass in; months follow it and not the clock of the runtime.
pub(super) type WallTime = SystemTime;

/// Time after the end of a period when it may be closed.
pub(crate) const CLOSE_DELAY: Duration = Duration::from_mins(10);

/// A UTC calendar month, written like `2026-12`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub(crate) struct Period {
    year: u32,
    month: u32,
}

impl Period {
    /// The period before any request.
    pub(crate) const MIN: Self = Self { year: 0, month: 1 };

    /// Returns the period of a wall-clock time; times before 1970 count as 1970.
    pub(crate) fn of(wall: SystemTime) -> Self {
        let seconds = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let mut days = seconds / 86_400;
        let mut period = Self { year: 1970, month: 1 };
        while days >= period.year_days() {
            days -= period.year_days();
            period.year += 1;
        }
        while days >= period.month_days() {
            days -= period.month_days();
            period.month += 1;
        }
        period
    }

    fn leap(self) -> bool {
        self.year.is_multiple_of(4) && !self.year.is_multiple_of(100) || self.year.is_multiple_of(400)
    }

    fn year_days(self) -> u64 {
        if self.leap() { 366 } else { 365 }
    }

    fn month_days(self) -> u64 {
        match self.month {
            2 if self.leap() => 29,
            2 => 28,
            4 | 6 | 9 | 11 => 30,
            _ => 31,
        }
    }

    /// The following month.
    pub(crate) fn next(self) -> Self {
        if self.month == 12 {
            Self {
                year: self.year + 1,
                month: 1,
            }
        } else {
            Self {
                month: self.month + 1,
                ..self
            }
        }
    }

    /// The month before; the first period is its own predecessor.
    pub(crate) fn previous(self) -> Self {
        match (self.year, self.month) {
            (0, 1) => self,
            (year, 1) => Self {
                year: year - 1,
                month: 12,
            },
            (year, month) => Self { year, month: month - 1 },
        }
    }
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}-{:02}", self.year, self.month)
    }
}

impl FromStr for Period {
    type Err = BadNumber;

    fn from_str(text: &str) -> Result<Self, BadNumber> {
        let parse = || {
            let (year, month) = text.split_once('-')?;
            let digits = |s: &str, n| s.len() == n && s.bytes().all(|b| b.is_ascii_digit());
            let shaped = digits(year, 4) && digits(month, 2);
            let (year, month) = (year.parse().ok()?, month.parse().ok()?);
            (shaped && (1..=12).contains(&month)).then_some(Self { year, month })
        };
        parse().ok_or_else(|| BadNumber(text.to_owned()))
    }
}

impl TryFrom<String> for Period {
    type Error = BadNumber;

    fn try_from(text: String) -> Result<Self, BadNumber> {
        text.parse()
    }
}

impl From<Period> for String {
    fn from(period: Period) -> Self {
        period.to_string()
    }
}
