//! Whether a host knows the newest configuration of the operators.

use std::time::Duration;

/// What decides whether the configuration of a host is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Currency {
    /// The store holds a newer configuration that the host can't decode, or newer records that it hasn't read, or it has
    /// lost records that may not have been written again.
    pub(crate) has_newer: bool,
    /// Time since the host last knew all that the store holds; `None` if it never did.
    pub(crate) age: Option<Duration>,
}

impl Currency {
    /// Reports whether the host can tell callers that something isn't configured. `bound` is the time within which a
    /// configuration has to be in force at all hosts.
    pub(crate) fn proves_absence(self, bound: Duration) -> bool {
        !self.has_newer && self.age.is_some_and(|age| age < bound)
    }
}
