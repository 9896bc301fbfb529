//! The `ragworthub` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    ragworthub::run_command()
}
