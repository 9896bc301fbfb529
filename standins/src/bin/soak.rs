//! Plays seeds of the soak and prints what broke.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use standins::soak::play;

/// Seeds that broke a promise once, with a line on the cause each.
const REGRESSIONS: &str = include_str!("../soak/seeds.txt");

/// Plays the real programs under faults; needs them built in the same folder
#[derive(Parser)]
struct Arguments {
    /// First seed; without it the seeds that ever failed are played
    #[arg(long)]
    seed: Option<u64>,
    /// Number of seeds
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time of faults for each seed, in seconds
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Folder for logs and records
    #[arg(long, default_value = "run/soak")]
    folder: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let seeds: Vec<u64> = match arguments.seed {
        Some(seed) => (seed..seed + arguments.seeds).collect(),
        None => REGRESSIONS
            .lines()
            .filter_map(|line| line.split(' ').next()?.parse().ok())
            .collect(),
    };
    let mut is_broken = false;
    for seed in seeds {
        match play(seed, Duration::from_secs(arguments.seconds), &arguments.folder).await {
            Ok(report) => {
                is_broken |= !report.faults.is_empty();
                println!(
                    "seed {seed}: {} faults, {} of {} requests served, {} broken promises",
                    report.events.len(),
                    report.served,
                    report.requests,
                    report.faults.len()
                );
                for fault in &report.faults {
                    println!("  BROKEN: {fault}");
                }
                if !report.faults.is_empty() {
                    report.events.iter().for_each(|event| println!("  {event}"));
                }
            }
            Err(error) => {
                is_broken = true;
                println!("seed {seed}: not played: {error}");
            }
        }
    }
    ExitCode::from(u8::from(is_broken))
}
