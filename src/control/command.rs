//! The command line.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand, ValueEnum};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::client::{CallError, HostClient};
use super::messages::{Change, ChangeRequest, ChangeResult, OwnedRange, Status};
use crate::host::run_host;
use crate::records::ServiceTarget;
use crate::settings::Settings;
use crate::tables::Tables;
use crate::types::{Offset, RecordId};

/// Writes a line; a reader that has closed the pipe is no error.
macro_rules! say {
    ($($text:tt)+) => {
        writeln!(std::io::stdout(), $($text)+).unwrap_or_default()
    };
}

/// Router for servers that own keys exclusively
///
/// Exit codes: 0 done, 1 failed without effect, 2 wrong usage, 3 another change came first,
/// 4 not known whether the change took effect.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs an entry host until SIGTERM
    Host {
        /// Settings file (YAML)
        #[arg(long)]
        settings: PathBuf,
    },
    /// Publishes the routes and pools tables
    Publish {
        /// Routes table (YAML)
        #[arg(long)]
        routes: PathBuf,
        /// Pools table (YAML)
        #[arg(long)]
        pools: PathBuf,
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
        #[command(flatten)]
        change: ChangeOptions,
        #[command(flatten)]
        access: Access,
    },
    /// Shows the state of a host
    Status {
        #[command(flatten)]
        access: Access,
    },
    /// Lists key ranges with their owners
    Ownership {
        #[command(flatten)]
        access: Access,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Direction {
    Out,
    In,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Scope {
    Zone,
    Host,
}

/// How to reach a host.
#[derive(Debug, Args)]
struct Access {
    /// Address of a host's interface for operators
    #[arg(long, default_value = "127.0.0.1:7200")]
    address: SocketAddr,
    /// File with the operator credential
    #[arg(long)]
    credential: PathBuf,
    /// Write JSON instead of text
    #[arg(long)]
    json: bool,
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

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Done,
    Failed,
    Conflict,
    Unknown,
}

impl From<Ending> for ExitCode {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Done => Self::SUCCESS,
            Ending::Failed => Self::FAILURE,
            Ending::Conflict => Self::from(3),
            Ending::Unknown => Self::from(4),
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
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Runtime::new().expect("threads for the runtime");
    match runtime.block_on(dispatch(arguments.command)) {
        Ok(ending) => ending.into(),
        Err(message) => {
            eprintln!("error: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn dispatch(command: Command) -> Result<Ending, String> {
    match command {
        Command::Host { settings } => {
            let settings: Settings = read_yaml(&settings)?;
            run_host(settings).await.map_err(|e| e.to_string())?;
            Ok(Ending::Done)
        }
        Command::Publish {
            routes,
            pools,
            change,
            access,
        } => {
            let tables = Tables {
                routes: read_yaml(&routes)?,
                pools: read_yaml(&pools)?,
            };
            make_change(Change::Publish(Box::new(tables)), change, &access).await
        }
        Command::Service {
            direction,
            scope,
            name,
            change,
            access,
        } => {
            let bad = |e: crate::types::BadName| e.to_string();
            let target = match scope {
                Scope::Zone => ServiceTarget::Zone(name.parse().map_err(bad)?),
                Scope::Host => ServiceTarget::Host(name.parse().map_err(bad)?),
            };
            let in_service = matches!(direction, Direction::In);
            make_change(Change::SetService { target, in_service }, change, &access).await
        }
        Command::Status { access } => {
            let status: Status = access.client()?.get("/v1/status").await.map_err(|e| e.to_string())?;
            access.print(&status, print_status);
            Ok(Ending::Done)
        }
        Command::Ownership { access } => {
            let ranges: Vec<OwnedRange> = access.client()?.get("/v1/ownership").await.map_err(|e| e.to_string())?;
            access.print(&ranges, |ranges| ranges.iter().for_each(print_range));
            Ok(Ending::Done)
        }
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn read_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    serde_saphyr::from_str(&read_file(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

impl Access {
    fn client(&self) -> Result<HostClient, String> {
        let credential = read_file(&self.credential)?.trim().to_owned();
        Ok(HostClient::new(self.address, credential))
    }

    fn print<T: Serialize>(&self, value: &T, print: impl FnOnce(&T)) {
        if self.json {
            say!("{}", serde_json::to_string(value).unwrap_or_default());
        } else {
            print(value);
        }
    }
}

async fn make_change(change: Change, options: ChangeOptions, access: &Access) -> Result<Ending, String> {
    let client = access.client()?;
    let request = ChangeRequest {
        id: RecordId::draw(),
        author: options.author,
        base: options.base,
        change,
    };
    let result = match client.post("/v1/changes", &request).await {
        Ok(result) => result,
        Err(CallError::Refused(_, why)) => ChangeResult::Refused { why },
        Err(error @ CallError::Unreachable(..)) => return Err(error.to_string()),
        // The host may have appended the record before its answer was lost.
        Err(error) => match client.get(&format!("/v1/changes/{}", request.id)).await {
            Ok(found) => found,
            Err(_) => ChangeResult::Unknown {
                id: request.id,
                why: error.to_string(),
            },
        },
    };
    access.print(&result, print_result);
    Ok(match result {
        ChangeResult::Applied { .. } => Ending::Done,
        ChangeResult::Conflict { .. } => Ending::Conflict,
        ChangeResult::Refused { .. } => Ending::Failed,
        ChangeResult::Unknown { .. } => Ending::Unknown,
    })
}

fn print_result(result: &ChangeResult) {
    match result {
        ChangeResult::Applied { version } => say!("applied, version {version}"),
        ChangeResult::Conflict { version, author } => {
            say!("not applied: version {version} by {author} came first; look at it and try again");
        }
        ChangeResult::Refused { why } => say!("not applied: {why}"),
        ChangeResult::Unknown { id, why } => {
            say!("not known whether change {id} took effect: {why}");
        }
    }
}

fn print_status(status: &Status) {
    let Status {
        host,
        zone,
        ready,
        draining,
        in_flight,
        folded,
        ..
    } = status;
    say!("confirms leases of peers {}", status.confirms_peers);
    say!("host {host}, availability zone {zone}");
    say!("ready {ready}, draining {draining}, requests in flight {in_flight}");
    say!("log folded to {folded}, tables version {}", status.tables_version);
    say!(
        "leader {} of term {}",
        status.leader.as_deref().unwrap_or("none"),
        status.term
    );
    for (member, zone) in &status.members {
        say!("member {member} in {zone}");
    }
    for target in &status.out_of_service {
        say!("out of service: {target:?}");
    }
}

fn print_range(range: &OwnedRange) {
    let OwnedRange {
        pool,
        range,
        owner,
        epoch,
        frozen,
    } = range;
    say!(
        "{pool} {range} {owner} epoch {epoch}{}",
        if *frozen { " frozen" } else { "" }
    );
}
