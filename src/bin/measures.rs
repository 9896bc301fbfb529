//! Prints the measures of the decision modules.

use std::io;

use clap::{Parser, Subcommand};

/// Measures ragworthub's decision modules.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Imbalance and churn of placement, beside three baselines.
    Placement,
    /// Cost per unit as one size at a time varies.
    Slopes,
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    match Args::parse().command {
        Command::Placement => ragworthub::measure::run_placement_measures(&mut out),
        Command::Slopes => ragworthub::measure::run_slope_measures(&mut out),
    }
}
