//! Runs the measures of the decision modules.

use std::io;

use clap::{Parser, Subcommand};
use ragworthub::measure::{run_placement_measures, run_policy_measures, run_slope_measures};

/// Measures ragworthub's decision modules and prints tables and JSON lines.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    measure: Measure,
}

#[derive(Subcommand)]
enum Measure {
    /// Placement and policy, beside their baselines
    All,
    /// Imbalance and churn of placement
    Placement,
    /// Tail latency, overload, cold starts and shared limits
    Policy,
    /// Cost per unit as one size at a time varies
    Slopes,
}

fn main() -> io::Result<()> {
    let out = &mut io::stdout().lock();
    match Arguments::parse().measure {
        Measure::All => {
            run_placement_measures(out)?;
            run_policy_measures(out)
        }
        Measure::Placement => run_placement_measures(out),
        Measure::Policy => run_policy_measures(out),
        Measure::Slopes => run_slope_measures(out),
    }
}
