//! Whether a host knows the configuration well enough to accept credentials.
//!
//! A credential that operators remove must not be accepted after a bound, at any host, also while a host is cut off or the
//! store is down. A host therefore accepts credentials only while its configuration is known to be in force as of a time
//! that is more recent than the bound. Times are of a clock that counts suspended time.

use std::time::Duration;

/// Time between two questions whether the configuration is in force.
pub(crate) const VERIFY_PERIOD: Duration = Duration::from_millis(700);
/// Share of the bound up to which credentials are accepted; the rest is for differences between clocks.
const ACCEPTED_SHARE: f64 = 0.9;
/// Share of the bound from which on the host asks all readers, and a larger one from which on it reads the store itself.
const ASK_ALL_SHARE: f64 = 0.35;
const READ_SHARE: f64 = 0.5;

/// Time as of which a host knows the configuration in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    verified: Option<Duration>,
}

impl Freshness {
    /// Records that the configuration was in force at a time.
    pub(crate) fn record(&mut self, time: Duration) {
        self.verified = self.verified.max(Some(time));
    }

    /// Records the answer of another host to a question sent at `asked`: that host had verified the same configuration
    /// `age` before it answered, so no earlier than this age before the question.
    pub(crate) fn record_answer(&mut self, asked: Duration, age: Duration) {
        if let Some(time) = asked.checked_sub(age) {
            self.record(time);
        }
    }

    /// Returns the age of what the host knows.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.verified.map(|verified| now.saturating_sub(verified))
    }

    /// Reports whether credentials may be accepted, given the bound on accepting removed ones.
    pub(crate) fn accepts(&self, now: Duration, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound.mul_f64(ACCEPTED_SHARE))
    }

    pub(crate) fn asks_all(&self, now: Duration, bound: Duration) -> bool {
        self.age(now).is_none_or(|age| age >= bound.mul_f64(ASK_ALL_SHARE))
    }

    pub(crate) fn needs_read(&self, now: Duration, bound: Duration) -> bool {
        self.age(now).is_none_or(|age| age >= bound.mul_f64(READ_SHARE))
    }
}
