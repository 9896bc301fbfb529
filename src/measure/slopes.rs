//! Cost per unit of the decision code as one size at a time varies.

use std::io::{self, Write};

/// Prints slopes.
///
/// # Errors
///
/// Fails if `out` can't be written.
pub fn run_slope_measures(out: &mut impl Write) -> io::Result<()> {
    writeln!(out)
}
