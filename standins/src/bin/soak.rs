//! Runs the soak test with one or more seeds and prints the violated invariants.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use standins::soak::run;

/// Seeds that once violated an invariant, one a line, each with the cause.
const REGRESSION_SEEDS: &str = include_str!("../soak/seeds.txt");

/// Runs the real programs and injects random faults; they must be in the same folder as this program
#[derive(Parser)]
struct Arguments {
    /// First seed; if omitted, the seeds that once violated an invariant are run
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds from the first one
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time for which faults are injected with each seed, in seconds
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Folder for the gateways' logs and the servers' event log
    #[arg(long, default_value = "run/soak")]
    folder: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let seeds: Vec<u64> = match arguments.seed {
        Some(seed) => (seed..seed + arguments.seeds).collect(),
        None => REGRESSION_SEEDS
            .lines()
            .filter_map(|line| line.split(' ').next()?.parse().ok())
            .collect(),
    };
    let mut has_failed = false;
    for seed in seeds {
        match run(seed, Duration::from_secs(arguments.seconds), &arguments.folder).await {
            Ok(report) => {
                has_failed |= !report.violations.is_empty();
                println!(
                    "seed {seed}: {} actions, {} of {} requests served, held up {} ms at most, {} violated invariants",
                    report.actions.len(),
                    report.served,
                    report.requests,
                    report.held_up.as_millis(),
                    report.violations.len()
                );
                for violation in &report.violations {
                    println!("  VIOLATED: {violation}");
                }
                if !report.violations.is_empty() {
                    report.actions.iter().for_each(|action| println!("  {action}"));
                }
            }
            Err(error) => {
                has_failed = true;
                println!("seed {seed}: run aborted: {error}");
            }
        }
    }
    ExitCode::from(u8::from(has_failed))
}
