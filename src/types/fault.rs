//! Faults in files that operators write.

use displaydoc::Display;
use thiserror::Error;

/// {file}:{line}:{column}: {message}
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) struct Fault {
    pub(crate) file: String,
    /// Line, from 1.
    pub(crate) line: u64,
    /// Column in characters, from 1.
    pub(crate) column: u64,
    /// What was expected, and what was found.
    pub(crate) message: String,
}
