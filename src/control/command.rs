//! The command line.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use futures::future::join_all;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::change::{ask_capacity, find_change, submit_change};
use super::client::HostClient;
use super::files::{read_file, read_gateway_settings, read_settings, read_tables};
use super::messages::{Change, ChangeRequest, OwnedRange};
use super::output::{
    ChangeReport, Ending, Failure, HostReport, print, print_capacity, print_counts, print_hosts, print_range,
    print_report, print_valid,
};
use crate::counts::Period;
use crate::gateway::run_gateway;
use crate::host::run_host;
use crate::records::ServiceTarget;
use crate::tables::CapacityReport;
use crate::telemetry::build_line_logger;
use crate::types::{BadName, Caller, Offset, PoolName, RecordId, UpstreamName};

/// Router for servers that own keys exclusively
///
/// Exit codes: 0 done, 1 failed without effect, 2 wrong usage, 3 another change came first,
/// 4 not known whether the change took effect, 5 input refused and nothing changed, 6 the rest
/// can't carry the load and nothing changed.
#[derive(Debug, Parser)]
#[command(version)]
pub(super) struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Write results as JSON
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an entry host on the users' platform until SIGTERM
    Gateway {
        /// Settings file (YAML)
        #[arg(long)]
        settings: PathBuf,
    },
    /// Runs an entry host until SIGTERM
    Host {
        /// Settings file (YAML)
        #[arg(long)]
        settings: PathBuf,
    },
    /// Checks files without starting or publishing anything
    #[command(subcommand)]
    Check(Check),
    /// Publishes the routes and pools tables
    Publish {
        #[command(flatten)]
        files: TableFiles,
        #[command(flatten)]
        change: ChangeOptions,
        #[command(flatten)]
        access: Access,
    },
    /// Takes an availability zone or a host out of service, or back in
    Service {
        #[arg(value_enum)]
        direction: Direction,
        #[arg(value_enum)]
        scope: Scope,
        /// Name of the availability zone or host
        name: String,
        /// Take out of service even if the rest can't carry the load
        #[arg(long)]
        force: bool,
        #[command(flatten)]
        change: ChangeOptions,
        #[command(flatten)]
        access: Access,
    },
    /// Tells what became of a change whose answer was lost
    Change {
        /// Id of the change
        id: RecordId,
        #[command(flatten)]
        access: Access,
    },
    /// Shows the state of hosts and the configuration in force at each
    Status {
        #[command(flatten)]
        access: Access,
    },
    /// Shows the counts of a month
    Counts {
        /// Month, such as 2026-12
        period: Period,
        /// Only counts of this caller
        #[arg(long)]
        caller: Option<Caller>,
        #[command(flatten)]
        access: Access,
    },
    /// Makes a host the only member, after all others were lost
    ///
    /// Other hosts that still run would go on by the old membership: stop them first. Idempotency
    /// keys that were claimed before are forgotten.
    Reform {
        /// Confirms that no other host runs
        #[arg(long, required = true)]
        force: bool,
        #[command(flatten)]
        change: ChangeOptions,
        #[command(flatten)]
        access: Access,
    },
    /// Lists key ranges with their owners
    Ownership {
        /// Only ranges of this pool
        #[arg(long)]
        pool: Option<PoolName>,
        /// Only ranges of this upstream
        #[arg(long)]
        upstream: Option<UpstreamName>,
        #[command(flatten)]
        access: Access,
    },
}

#[derive(Debug, Subcommand)]
enum Check {
    /// Checks a settings file
    Settings {
        /// Settings file (YAML)
        file: PathBuf,
    },
    /// Checks a settings file of a gateway
    Gateway {
        /// Settings file (YAML)
        file: PathBuf,
    },
    /// Checks the routes and pools tables together
    Tables {
        #[command(flatten)]
        files: TableFiles,
    },
}

#[derive(Debug, Args)]
struct TableFiles {
    /// Routes table (YAML)
    #[arg(long)]
    routes: PathBuf,
    /// Pools table (YAML)
    #[arg(long)]
    pools: PathBuf,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Direction {
    Out,
    In,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Scope {
    Zone,
    Host,
}

/// How to reach hosts.
#[derive(Debug, Args)]
struct Access {
    /// Address of a host's interface for operators; can be repeated
    #[arg(long = "address", value_name = "ADDRESS", default_value = "127.0.0.1:7200")]
    addresses: Vec<SocketAddr>,
    /// File with the operator credential
    #[arg(long)]
    credential: PathBuf,
}

#[derive(Debug, Args)]
struct ChangeOptions {
    /// Version that the change builds on; without it, the one in force at the host
    #[arg(long)]
    base: Option<Offset>,
    /// Who makes the change; shown to operators whose change conflicts with it
    #[arg(long, default_value = "operator")]
    author: String,
}

impl ChangeOptions {
    fn build_request(self, change: Change) -> ChangeRequest {
        ChangeRequest {
            id: RecordId::draw(),
            author: self.author,
            base: self.base,
            change,
        }
    }
}

/// Runs the command that the process arguments name.
///
/// # Panics
///
/// Panics if the asynchronous runtime can't be started.
#[must_use]
pub fn run_command() -> ExitCode {
    let Arguments { command, json } = Arguments::parse();
    if let Command::Gateway { settings } = &command {
        // One thread does everything, so this command has a runtime of its own.
        return start_gateway(settings).map_or_else(
            |failure| {
                failure.print(json);
                failure.ending().into()
            },
            |()| Ending::Done.into(),
        );
    }
    let runtime = tokio::runtime::Runtime::new().expect("threads for the runtime");
    let result = runtime.block_on(dispatch(command, json));
    let ending = result.unwrap_or_else(|failure| {
        failure.print(json);
        failure.ending()
    });
    ending.into()
}

fn start_gateway(settings: &Path) -> Result<(), Failure> {
    let settings = read_gateway_settings(settings)?;
    let log = build_line_logger(settings.host.as_str());
    run_gateway(settings, &log).map_err(Failure::Failed)
}

async fn dispatch(command: Command, json: bool) -> Result<Ending, Failure> {
    match command {
        Command::Gateway { settings } => {
            start_gateway(&settings)?;
            Ok(Ending::Done)
        }
        Command::Host { settings } => {
            let settings = read_settings(&settings)?;
            run_host(settings).await.map_err(|e| Failure::Failed(e.to_string()))?;
            Ok(Ending::Done)
        }
        Command::Check(check) => check_files(&check, json),
        Command::Publish { files, change, access } => {
            let tables = read_tables(&files.routes, &files.pools)?;
            let request = change.build_request(Change::Publish(Box::new(tables)));
            let report = submit_change(&access.clients()?, &request).await?;
            Ok(finish_change(json, &report))
        }
        Command::Service {
            direction,
            scope,
            name,
            force,
            change,
            access,
        } => {
            let (target, hosts) = (parse_target(scope, &name)?, access.clients()?);
            let capacity = match direction {
                Direction::Out => Some(check_load(&hosts, &target, force, json).await?),
                Direction::In => None,
            };
            let in_service = direction == Direction::In;
            let request = change.build_request(Change::SetService { target, in_service });
            let report = submit_change(&hosts, &request).await?;
            Ok(finish_change(json, &ChangeReport { capacity, ..report }))
        }
        Command::Change { id, access } => {
            let result = find_change(&access.clients()?, id, Duration::ZERO).await;
            let report = ChangeReport {
                change: id,
                result,
                asked_again: None,
                capacity: None,
            };
            Ok(finish_change(json, &report))
        }
        Command::Counts { period, caller, access } => {
            let caller = caller.map(|name| format!("&caller={name}")).unwrap_or_default();
            let path = format!("/v1/counts?period={period}{caller}");
            show_document(&access.clients()?, &path, json, print_counts).await
        }
        Command::Reform { change, access, .. } => {
            let hosts = access.clients()?;
            let [host] = hosts.as_slice() else {
                return Err(Failure::Failed("reform takes the address of one host".to_owned()));
            };
            let request = change.build_request(Change::Reform);
            let report = submit_change(std::slice::from_ref(host), &request).await?;
            Ok(finish_change(json, &report))
        }
        Command::Status { access } => show_status(&access.clients()?, json).await,
        Command::Ownership { pool, upstream, access } => {
            let path = build_filter(pool.as_ref(), upstream.as_ref());
            show_document(&access.clients()?, &path, json, |ranges: &Vec<OwnedRange>| {
                ranges.iter().for_each(print_range);
            })
            .await
        }
    }
}

fn check_files(check: &Check, json: bool) -> Result<Ending, Failure> {
    match check {
        Check::Settings { file } => drop(read_settings(file)?),
        Check::Gateway { file } => drop(read_gateway_settings(file)?),
        Check::Tables { files } => drop(read_tables(&files.routes, &files.pools)?),
    }
    print(json, &json!({ "result": "valid" }), |_| print_valid());
    Ok(Ending::Done)
}

fn parse_target(scope: Scope, name: &str) -> Result<ServiceTarget, Failure> {
    let bad = |e: BadName| Failure::Target(e.to_string());
    Ok(match scope {
        Scope::Zone => ServiceTarget::Zone(name.parse().map_err(bad)?),
        Scope::Host => ServiceTarget::Host(name.parse().map_err(bad)?),
    })
}

/// Says whether the rest can carry the load, before anything is changed.
async fn check_load(
    hosts: &[HostClient],
    target: &ServiceTarget,
    force: bool,
    json: bool,
) -> Result<CapacityReport, Failure> {
    let capacity = ask_capacity(hosts, target).await?;
    if !json {
        print_capacity(&capacity);
    }
    if capacity.suffices() || force {
        Ok(capacity)
    } else {
        Err(Failure::Overload(capacity))
    }
}

fn finish_change(json: bool, report: &ChangeReport) -> Ending {
    print(json, report, print_report);
    report.ending()
}

async fn show_status(hosts: &[HostClient], json: bool) -> Result<Ending, Failure> {
    let reports = join_all(hosts.iter().map(ask_status)).await;
    // One host is shown without a list around it.
    if let [only] = reports.as_slice() {
        let failure = || Failure::Failed(only.error.clone().unwrap_or_default());
        let status = only.status.as_ref().ok_or_else(failure)?;
        print(json, status, |_| print_hosts(&reports));
        return Ok(Ending::Done);
    }
    print(json, &reports, |reports| print_hosts(reports));
    let complete = reports.iter().all(|report| report.status.is_some());
    Ok(if complete { Ending::Done } else { Ending::Failed })
}

async fn ask_status(host: &HostClient) -> HostReport {
    let (status, error) = match host.get("/v1/status").await {
        Ok(status) => (Some(status), None),
        Err(error) => (None, Some(error.to_string())),
    };
    HostReport {
        address: host.address(),
        status,
        error,
    }
}

fn build_filter(pool: Option<&PoolName>, upstream: Option<&UpstreamName>) -> String {
    let pool = pool.map(|name| format!("pool={name}"));
    let upstream = upstream.map(|name| format!("upstream={name}"));
    let filters: Vec<String> = pool.into_iter().chain(upstream).collect();
    format!("/v1/ownership?{}", filters.join("&"))
}

/// Shows a document as the first host that answers knows it.
async fn show_document<T: DeserializeOwned + Serialize>(
    hosts: &[HostClient],
    path: &str,
    json: bool,
    print_text: impl Fn(&T),
) -> Result<Ending, Failure> {
    let mut failures = Vec::new();
    for host in hosts {
        match host.get::<T>(path).await {
            Ok(document) => {
                print(json, &document, print_text);
                return Ok(Ending::Done);
            }
            Err(error) => failures.push(error.to_string()),
        }
    }
    Err(Failure::Failed(failures.join("; ")))
}

impl Access {
    fn clients(self) -> Result<Vec<HostClient>, Failure> {
        let credential = read_file(&self.credential)?.trim().to_owned();
        let connect = |address| HostClient::new(address, credential.clone());
        Ok(self.addresses.into_iter().map(connect).collect())
    }
}
