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
use crate::platform::{COUNT_TOPIC, Store, decode_catalog};
use crate::settings::{Settings, parse_settings};
use crate::telemetry::build_logger;
use crate::types::Offset;

mod explain;

#[cfg(test)]
mod tests;

use explain::explain_request;

/// Router for servers that own keys exclusively
///
/// Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the input has a fault, 4 nothing was found.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Write results as JSON
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
    /// Checks a file without starting anything
    #[command(subcommand)]
    Check(Check),
    /// Adds up the requests that all gateways counted, by month and route
    Counts {
        /// Address of the platform's store
        #[arg(long)]
        store: SocketAddr,
    },
    /// Tells the story of a request from log lines, and its cause
    Explain {
        /// Id of the request
        request: String,
        /// Log files of gateways; standard input if there is none
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
    /// Checks a configuration as operators write it to the store
    Configuration {
        /// Configuration file (JSON)
        file: PathBuf,
    },
}

/// Why a command ended without its result.
#[derive(Debug, PartialEq, Eq)]
enum Failure {
    Failed(String),
    Input(String),
    NotFound(String),
}

impl Failure {
    fn code(&self) -> ExitCode {
        match self {
            Self::Failed(_) => ExitCode::FAILURE,
            Self::Input(_) => ExitCode::from(3),
            Self::NotFound(_) => ExitCode::from(4),
        }
    }

    fn text(&self) -> &str {
        match self {
            Self::Failed(text) | Self::Input(text) | Self::NotFound(text) => text,
        }
    }
}

/// Runs the command that the process arguments name.
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
        Err(failure) if arguments.json => {
            println!("{}", json!({ "error": failure.text() }));
            failure.code()
        }
        Err(failure) => {
            eprintln!("error: {}", failure.text());
            failure.code()
        }
    }
}

fn dispatch(arguments: &Arguments) -> Result<String, Failure> {
    let is_json = arguments.json;
    match &arguments.command {
        Command::Gateway { settings } => {
            let settings = read_settings(settings)?;
            let log = build_logger(settings.host.as_str());
            run_gateway(settings, &log).map_err(Failure::Failed)?;
            Ok(String::new())
        }
        Command::Check(Check::Settings { file }) => {
            let settings = read_settings(file)?;
            Ok(print_valid(is_json, &format!("settings of host {}", settings.host)))
        }
        Command::Check(Check::Configuration { file }) => check_configuration(file, is_json),
        Command::Counts { store } => {
            let report = read_counts(*store)?;
            Ok(print_counts(is_json, &report))
        }
        Command::Explain { request, files } => {
            let text = read_logs(files)?;
            let story = explain_request(request, &text);
            let story = story.ok_or_else(|| Failure::NotFound(format!("no line about request {request}")))?;
            Ok(if is_json { story.to_json() } else { story.to_text() })
        }
    }
}

fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| Failure::Failed(format!("{}: {e}", path.display())))
}

fn read_settings(path: &Path) -> Result<Settings, Failure> {
    let text = read_file(path)?;
    parse_settings(&text).map_err(|e| Failure::Input(format!("{}: {e}", path.display())))
}

fn read_logs(files: &[PathBuf]) -> Result<String, Failure> {
    if files.is_empty() {
        let mut bytes = Vec::new();
        let read = std::io::stdin().read_to_end(&mut bytes);
        read.map_err(|e| Failure::Failed(format!("standard input: {e}")))?;
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    let texts: Result<Vec<String>, Failure> = files.iter().map(|file| read_file(file)).collect();
    Ok(texts?.join("\n"))
}

fn print_valid(is_json: bool, what: &str) -> String {
    if is_json {
        json!({ "valid": what }).to_string()
    } else {
        format!("valid: {what}")
    }
}

fn check_configuration(file: &Path, is_json: bool) -> Result<String, Failure> {
    let text = read_file(file)?;
    let catalog = decode_catalog(Offset(0), text.as_bytes());
    let catalog = catalog.map_err(|e| Failure::Input(format!("{}: {e}", file.display())))?;
    let faults = catalog.validate();
    if !faults.is_empty() {
        return Err(Failure::Input(format!("{}: {}", file.display(), faults.join("; "))));
    }
    let routes: usize = catalog.routes.values().map(BTreeMap::len).sum();
    let what = format!(
        "configuration {} with {routes} routes and {} pools",
        catalog.version,
        catalog.pools.len()
    );
    Ok(print_valid(is_json, &what))
}

fn read_counts(store: SocketAddr) -> Result<Report, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Failure::Failed(e.to_string()))?;
    let local = tokio::task::LocalSet::new();
    let listing = runtime.block_on(local.run_until(async { Store::new(store).list(COUNT_TOPIC).await }));
    let listing = listing.map_err(|e| Failure::Failed(e.to_string()))?;
    let mut processes: BTreeMap<String, ProcessCounts> = BTreeMap::new();
    for record in listing.records {
        let counts = serde_json::from_slice(&record.value.unwrap_or_default());
        let counts = counts.map_err(|e| Failure::Failed(format!("counts of {}: {e}", record.key)))?;
        processes.insert(record.key, counts);
    }
    Ok(merge_counts(&processes))
}

fn print_counts(is_json: bool, report: &Report) -> String {
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
            "not final: {process} runs still, or ended without a planned stop"
        ));
    }
    lines.join("\n")
}
