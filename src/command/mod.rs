//! The command line.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use serde_json::json;

use crate::counts::{ProcessCounts, Report, merge_counts};
use crate::gateway::run_gateway;
use crate::platform::{COUNT_TOPIC, Store};
use crate::settings::{Settings, parse_settings};
use crate::telemetry::{StoreCalls, build_logger};

mod configuration;
mod explain;

#[cfg(test)]
mod tests;

use configuration::{CheckRequest, check_configuration};
use explain::explain_request;

/// Routes requests to servers that own keys exclusively
///
/// Exit status: 0 success, 1 failure, 2 usage error, 3 invalid input, 4 nothing found.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Write the result as JSON
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a gateway until SIGTERM
    Gateway {
        /// Settings file (YAML)
        #[arg(long)]
        settings: PathBuf,
    },
    /// Checks a file without starting a gateway
    #[command(subcommand)]
    Check(Check),
    /// Prints the monthly totals of requests over all gateways, by route
    Counts {
        /// Address of the platform's store
        #[arg(long)]
        store: SocketAddr,
    },
    /// Explains the outcome of a request from the gateways' log lines
    Explain {
        /// Id of the request
        request: String,
        /// Log files of gateways; reads standard input if none is given
        files: Vec<PathBuf>,
    },
}

#[derive(Debug, Subcommand)]
enum Check {
    /// Checks a settings file
    Settings {
        /// Settings file (YAML)
        file: PathBuf,
    },
    /// Checks a configuration in the format in which operators write it to the store
    ///
    /// Exit status: 0 no findings, 1 findings, 2 a file or the store can't be read or the configuration not decoded.
    Configuration {
        /// Configuration file (JSON)
        file: PathBuf,
        /// Configuration in force, to show what the new one changes for callers
        #[arg(long, conflicts_with = "store")]
        against: Option<PathBuf>,
        /// Address of the store that has the configuration in force
        #[arg(long)]
        store: Option<SocketAddr>,
        /// Memory of the smallest machine in MB, to compare the limits on callers with
        #[arg(long)]
        memory_mb: Option<usize>,
    },
}

/// Why a command failed; each variant has its own exit status.
#[derive(Debug, PartialEq, Eq)]
enum CommandError {
    Failed(String),
    InvalidInput(String),
    NotFound(String),
    /// A configuration has findings, which are printed as the result.
    Findings(String),
    /// A configuration can't be read or decoded.
    Unreadable(String),
}

impl CommandError {
    fn exit_status(&self) -> ExitCode {
        match self {
            Self::Failed(_) | Self::Findings(_) => ExitCode::FAILURE,
            Self::Unreadable(_) => ExitCode::from(2),
            Self::InvalidInput(_) => ExitCode::from(3),
            Self::NotFound(_) => ExitCode::from(4),
        }
    }

    fn message(&self) -> &str {
        match self {
            Self::Failed(message)
            | Self::InvalidInput(message)
            | Self::NotFound(message)
            | Self::Findings(message)
            | Self::Unreadable(message) => message,
        }
    }
}

/// Runs the command that the process arguments name and returns its exit status.
#[must_use]
pub fn run_command() -> ExitCode {
    let arguments = Arguments::parse();
    match dispatch(&arguments) {
        Ok(text) => {
            if !text.is_empty() {
                println!("{text}");
            }
            ExitCode::SUCCESS
        }
        Err(CommandError::Findings(text)) => {
            println!("{text}");
            ExitCode::FAILURE
        }
        Err(error) if arguments.json => {
            println!("{}", json!({ "error": error.message() }));
            error.exit_status()
        }
        Err(error) => {
            eprintln!("error: {}", error.message());
            error.exit_status()
        }
    }
}

fn dispatch(arguments: &Arguments) -> Result<String, CommandError> {
    let is_json = arguments.json;
    match &arguments.command {
        Command::Gateway { settings } => {
            let settings = read_settings(settings)?;
            let log = build_logger(settings.host.as_str());
            run_gateway(settings, &log).map_err(CommandError::Failed)?;
            Ok(String::new())
        }
        Command::Check(Check::Settings { file }) => {
            let settings = read_settings(file)?;
            Ok(format_valid(is_json, &format!("settings of host {}", settings.host)))
        }
        Command::Check(Check::Configuration {
            file,
            against,
            store,
            memory_mb,
        }) => check_configuration(&CheckRequest {
            file,
            against: against.as_deref(),
            store: *store,
            memory: memory_mb.map(|mb| mb.saturating_mul(1_000_000)),
            is_json,
        }),
        Command::Counts { store } => {
            let report = read_counts(*store)?;
            Ok(format_counts(is_json, &report))
        }
        Command::Explain { request, files } => {
            let text = read_logs(files)?;
            let explanation = explain_request(request, &text);
            let explanation =
                explanation.ok_or_else(|| CommandError::NotFound(format!("no log line about request {request}")))?;
            Ok(if is_json {
                explanation.to_json()
            } else {
                explanation.to_text()
            })
        }
    }
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|e| CommandError::Failed(format!("{}: {e}", path.display())))
}

fn read_settings(path: &Path) -> Result<Settings, CommandError> {
    let text = read_file(path)?;
    parse_settings(&text).map_err(|e| CommandError::InvalidInput(format!("{}: {e}", path.display())))
}

fn read_logs(files: &[PathBuf]) -> Result<String, CommandError> {
    if files.is_empty() {
        let mut bytes = Vec::new();
        let read = std::io::stdin().read_to_end(&mut bytes);
        read.map_err(|e| CommandError::Failed(format!("standard input: {e}")))?;
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    let texts: Result<Vec<String>, CommandError> = files.iter().map(|file| read_file(file)).collect();
    Ok(texts?.join("\n"))
}

fn format_valid(is_json: bool, subject: &str) -> String {
    if is_json {
        json!({ "valid": subject }).to_string()
    } else {
        format!("valid: {subject}")
    }
}

fn read_counts(store: SocketAddr) -> Result<Report, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| CommandError::Failed(e.to_string()))?;
    let local = tokio::task::LocalSet::new();
    let listing = runtime.block_on(local.run_until(async {
        Store::new(store, StoreCalls::default())
            .without_listing_limit()
            .list(COUNT_TOPIC)
            .await
    }));
    let listing = listing.map_err(|e| CommandError::Failed(e.to_string()))?;
    let mut processes: BTreeMap<String, ProcessCounts> = BTreeMap::new();
    for record in listing.records {
        let counts = serde_json::from_slice(&record.value.unwrap_or_default());
        let counts = counts.map_err(|e| CommandError::Failed(format!("counts of {}: {e}", record.key)))?;
        processes.insert(record.key, counts);
    }
    Ok(merge_counts(&processes))
}

fn format_counts(is_json: bool, report: &Report) -> String {
    if is_json {
        return json!(report).to_string();
    }
    let mut lines = vec![format!(
        "{:<8} {:<24} {:>12} {:>12} {:>12} {:>12}",
        "month", "route", "admitted", "ran", "not run", "unknown"
    )];
    for (month, routes) in &report.months {
        for (route, t) in routes {
            lines.push(format!(
                "{:<8} {:<24} {:>12} {:>12} {:>12} {:>12}",
                month.to_string(),
                route.to_string(),
                t.admitted,
                t.ran,
                t.not_run,
                t.may_have_run
            ));
        }
    }
    for process in &report.open {
        lines.push(format!(
            "not final: {process} is still running or ended without a planned stop"
        ));
    }
    lines.join("\n")
}
