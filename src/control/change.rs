//! Makes a change at one of several hosts and finds out what became of it.

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use tokio::time::{Instant, sleep, timeout};

use super::capacity::add_slots_in_use;
use super::client::{CallError, HostClient};
use super::messages::{ChangeRequest, ChangeResult};
use super::output::{ChangeReport, Failure};
use crate::records::ServiceTarget;
use crate::tables::CapacityReport;
use crate::types::RecordId;

/// Time in which a change whose answer was lost must be found at a host; a host itself waits as
/// long for the log.
pub(super) const LOOKUP_LIMIT: Duration = Duration::from_secs(10);
/// Longest wait for one host's answer to a look-up.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Time between two look-ups.
const LOOKUP_PAUSE: Duration = Duration::from_millis(200);

/// Sends a change to the first host that can be reached.
///
/// # Errors
///
/// Fails if no host can be reached or the host doesn't take the call; nothing was changed then.
pub(super) async fn submit_change(hosts: &[HostClient], request: &ChangeRequest) -> Result<ChangeReport, Failure> {
    let mut unreached = Vec::new();
    for host in hosts {
        let report = |result, asked_again| ChangeReport {
            change: request.id,
            result,
            asked_again,
            capacity: None,
        };
        let lost = match host.post("/v1/changes", request).await {
            Ok(ChangeResult::Unknown { why, .. }) => why,
            Ok(result) => return Ok(report(result, None)),
            Err(CallError::Refused(_, StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE, why)) => {
                return Ok(report(ChangeResult::Refused { why }, None));
            }
            Err(error @ CallError::Refused(_, status, _)) if status.is_client_error() => {
                return Err(Failure::Failed(error.to_string()));
            }
            // Nothing was sent, so another host may take the change.
            Err(error @ CallError::Unreachable(..)) => {
                unreached.push(error.to_string());
                continue;
            }
            // The host may have appended the record before its answer was lost.
            Err(error) => error.to_string(),
        };
        let result = find_change(hosts, request.id, LOOKUP_LIMIT).await;
        return Ok(report(result, Some(lost)));
    }
    Err(Failure::Failed(unreached.join("; ")))
}

/// Asks all hosts for a change by its id until one knows it or the time is over.
pub(super) async fn find_change(hosts: &[HostClient], id: RecordId, limit: Duration) -> ChangeResult {
    let deadline = Instant::now() + limit;
    let path = format!("/v1/changes/{id}");
    loop {
        let ask = |host| ask_host(host, &path);
        let answers = join_all(hosts.iter().map(ask)).await;
        let mut failures = Vec::new();
        for answer in answers {
            match answer {
                Ok(ChangeResult::Unknown { why, .. }) | Err(why) => failures.push(why),
                Ok(known) => return known,
            }
        }
        if Instant::now() >= deadline {
            failures.dedup();
            let why = failures.join("; ");
            return ChangeResult::Unknown { id, why };
        }
        sleep(LOOKUP_PAUSE).await;
    }
}

async fn ask_host(host: &HostClient, path: &str) -> Result<ChangeResult, String> {
    match timeout(CALL_LIMIT, host.get(path)).await {
        Ok(answer) => answer.map_err(|e| e.to_string()),
        Err(_) => Err(format!("host {} did not answer in time", host.address())),
    }
}

/// Asks whether the rest can carry the load; the slots in use are added up over the hosts.
///
/// # Errors
///
/// Fails if no host answers, or the target is not known.
pub(super) async fn ask_capacity(hosts: &[HostClient], target: &ServiceTarget) -> Result<CapacityReport, Failure> {
    let (scope, name) = match target {
        ServiceTarget::Zone(zone) => ("zone", zone.as_str()),
        ServiceTarget::Host(host) => ("host", host.as_str()),
    };
    // Names have no characters that a query would have to escape.
    let path = format!("/v1/capacity?scope={scope}&name={name}");
    let answers = join_all(hosts.iter().map(|host| host.get::<CapacityReport>(&path))).await;
    let mut sum: Option<CapacityReport> = None;
    let mut failures = Vec::new();
    for answer in answers {
        match answer {
            Ok(report) => match &mut sum {
                Some(sum) => add_slots_in_use(sum, &report),
                None => sum = Some(report),
            },
            Err(CallError::Refused(_, StatusCode::BAD_REQUEST, why)) => return Err(Failure::Target(why)),
            Err(error) => failures.push(error.to_string()),
        }
    }
    sum.ok_or_else(|| Failure::Failed(failures.join("; ")))
}
