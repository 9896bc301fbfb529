//! Runs the measures of the decision code.

use std::io;

use clap::{Parser, Subcommand};

#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    measure: Measure,
}

#[derive(Subcommand)]
enum Measure {
    /// Tail latency, overload, cold starts and shared limits.
    Policy,
}

fn main() -> io::Result<()> {
    let out = &mut io::stdout().lock();
    match Arguments::parse().measure {
        Measure::Policy => ragworthub::measure::run_policy_measures(out),
    }
}
