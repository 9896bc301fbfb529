//! Results of commands as text or JSON, and the exit codes.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use serde::Serialize;
use serde_json::json;

use super::messages::{ChangeResult, OwnedRange, Status};
use crate::counts::Report;
use crate::records::ServiceTarget;
use crate::tables::CapacityReport;
use crate::types::{Fault, RecordId};

/// Writes a line; a reader that has closed the pipe is no error.
macro_rules! say {
    ($($text:tt)+) => {
        writeln!(std::io::stdout(), $($text)+).unwrap_or_default()
    };
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    Done,
    Failed,
    Conflict,
    Unknown,
    Refused,
    Overload,
}

impl From<Ending> for ExitCode {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Done => Self::SUCCESS,
            Ending::Failed => Self::FAILURE,
            Ending::Conflict => Self::from(3),
            Ending::Unknown => Self::from(4),
            Ending::Refused => Self::from(5),
            Ending::Overload => Self::from(6),
        }
    }
}

/// Why a command ended without effect.
#[derive(Debug)]
pub(super) enum Failure {
    /// Something that the command needs is missing or doesn't work.
    Failed(String),
    /// The files have faults.
    Input(Vec<Fault>),
    /// The zone or host is not known.
    Target(String),
    /// The rest can't carry the load.
    Overload(CapacityReport),
}

impl Failure {
    pub(super) fn ending(&self) -> Ending {
        match self {
            Self::Failed(_) => Ending::Failed,
            Self::Input(_) | Self::Target(_) => Ending::Refused,
            Self::Overload(_) => Ending::Overload,
        }
    }

    /// Writes the failure: JSON to standard output, text to standard error.
    pub(super) fn print(&self, json: bool) {
        if json {
            say!("{}", self.to_json());
            return;
        }
        let mut stderr = std::io::stderr();
        match self {
            Self::Failed(why) | Self::Target(why) => writeln!(stderr, "error: {why}").unwrap_or_default(),
            Self::Input(faults) => faults
                .iter()
                .for_each(|fault| writeln!(stderr, "{fault}").unwrap_or_default()),
            Self::Overload(_) => writeln!(
                stderr,
                "error: the rest can't carry the load; nothing was changed (--force changes it all the same)"
            )
            .unwrap_or_default(),
        }
    }

    fn to_json(&self) -> serde_json::Value {
        match self {
            Self::Failed(why) => json!({ "result": "failed", "why": why }),
            Self::Target(why) => json!({ "result": "refused", "why": why }),
            Self::Input(faults) => {
                let describe =
                    |f: &Fault| json!({ "file": f.file, "line": f.line, "column": f.column, "message": f.message });
                let faults: Vec<_> = faults.iter().map(describe).collect();
                json!({ "result": "refused", "faults": faults })
            }
            Self::Overload(capacity) => json!({ "result": "overload", "capacity": capacity }),
        }
    }
}

/// What became of a change, with what the command found on the way.
#[derive(Debug, Serialize)]
pub(super) struct ChangeReport {
    pub(super) change: RecordId,
    #[serde(flatten)]
    pub(super) result: ChangeResult,
    /// Why the result had to be asked for by the change's id, if it had to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) asked_again: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) capacity: Option<CapacityReport>,
}

impl ChangeReport {
    pub(super) fn ending(&self) -> Ending {
        match self.result {
            ChangeResult::Applied { .. } => Ending::Done,
            ChangeResult::Conflict { .. } => Ending::Conflict,
            ChangeResult::Refused { .. } => Ending::Refused,
            ChangeResult::Unknown { .. } => Ending::Unknown,
        }
    }
}

/// State of one of several hosts.
#[derive(Debug, Serialize)]
pub(super) struct HostReport {
    pub(super) address: SocketAddr,
    pub(super) status: Option<Status>,
    pub(super) error: Option<String>,
}

/// Writes a value as JSON or as text.
pub(super) fn print<T: Serialize>(json: bool, value: &T, print_text: impl FnOnce(&T)) {
    if json {
        say!("{}", serde_json::to_string(value).unwrap_or_default());
    } else {
        print_text(value);
    }
}

pub(super) fn print_valid() {
    say!("valid");
}

pub(super) fn print_report(report: &ChangeReport) {
    if let Some(why) = &report.asked_again {
        say!("{why}; asked for change {} by its id", report.change);
    }
    match &report.result {
        ChangeResult::Applied { version } => say!("applied, version {version}"),
        ChangeResult::Conflict { version, author } => {
            say!("not applied: version {version} by {author} came first; look at it and try again");
        }
        ChangeResult::Refused { why } => say!("not applied: {why}"),
        ChangeResult::Unknown { id, why } => {
            say!("not known whether change {id} took effect: {why}");
            say!("ask again with: ragworthub change {id}");
        }
    }
}

pub(super) fn print_capacity(report: &CapacityReport) {
    for (pool, slots) in &report.pools {
        let verdict = if slots.suffices() { "enough" } else { "not enough" };
        say!(
            "pool {pool}: {} slots remain, {} in use at the hosts asked: {verdict}",
            slots.remaining,
            slots.in_use
        );
    }
}

pub(super) fn print_hosts(reports: &[HostReport]) {
    for report in reports {
        match (&report.status, &report.error) {
            (Some(status), _) => print_status(status),
            (None, error) => say!("{}: {}", report.address, error.as_deref().unwrap_or("no answer")),
        }
    }
    if reports.len() > 1 {
        print_agreement(reports);
    }
}

fn print_agreement(reports: &[HostReport]) {
    let version = |status: &Status| (status.tables_version, status.service_version);
    let mut versions = reports.iter().filter_map(|r| r.status.as_ref()).map(version);
    let first = versions.next();
    if first.is_none() {
        return;
    }
    if versions.all(|other| Some(other) == first) {
        say!("the hosts that answered have the same configuration in force");
    } else {
        say!("the hosts have different configurations in force");
    }
}

fn print_status(status: &Status) {
    say!("host {}, availability zone {}", status.host, status.zone);
    let (tables, service) = (status.tables_version, status.service_version);
    say!("  tables version {tables}{}", by(&status.tables_author));
    say!("  service version {service}{}", by(&status.service_author));
    for target in &status.out_of_service {
        say!("  out of service: {}", describe_target(target));
    }
    let (ready, draining, in_flight) = (status.ready, status.draining, status.in_flight);
    say!("  ready {ready}, draining {draining}, requests in flight {in_flight}");
    let (folded, confirms) = (status.folded, status.confirms_peers);
    say!("  log folded to {folded}, confirms leases of peers {confirms}");
    let leader = status.leader.as_deref().unwrap_or("none");
    say!("  leader {leader} of term {}", status.term);
    for (member, zone) in &status.members {
        say!("  member {member} in {zone}");
    }
}

fn describe_target(target: &ServiceTarget) -> String {
    match target {
        ServiceTarget::Zone(zone) => format!("availability zone {zone}"),
        ServiceTarget::Host(host) => format!("host {host}"),
    }
}

fn by(author: &str) -> String {
    if author.is_empty() {
        String::new()
    } else {
        format!(" by {author}")
    }
}

pub(super) fn print_range(range: &OwnedRange) {
    let frozen = if range.frozen { " frozen" } else { "" };
    let OwnedRange {
        pool,
        range,
        owner,
        epoch,
        ..
    } = range;
    say!("{pool} {range} {owner} epoch {epoch}{frozen}");
}

pub(super) fn print_counts(report: &Report) {
    let state = if report.closed { "closed" } else { "open" };
    say!("period {} ({state})", report.period);
    say!("caller route admitted not-run ran may-have-run answered unconfirmed exposed");
    for row in &report.rows {
        let c = &row.counters;
        say!(
            "{} {} {} {} {} {} {} {} {}",
            row.caller,
            row.route,
            c.admitted,
            c.not_run,
            c.ran,
            c.may_have_run,
            c.answered,
            c.unconfirmed,
            c.exposed
        );
    }
    for uncertain in &report.uncertain {
        let run = &uncertain.instance;
        say!(
            "uncertain: host {} run {}: {:?}",
            run.host,
            run.incarnation,
            uncertain.why
        );
    }
}
