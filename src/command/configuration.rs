//! The check of a configuration before it is sent.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::json;

use super::{CommandError, read_file};
use crate::catalog::{Finding, compare};
use crate::platform::{Decoded, OPERATOR_TOPIC, OperatorKey, Store, decode_with_key, read_operator_key};
use crate::telemetry::StoreCalls;
use crate::types::Offset;

/// Key of the hashes of credentials; the same for both configurations, which are compared by them.
const HASH_KEY: [u8; 16] = [0; 16];

/// What to check, and what to compare it with.
#[derive(Debug)]
pub(super) struct CheckRequest<'a> {
    pub(super) file: &'a Path,
    pub(super) against: Option<&'a Path>,
    pub(super) store: Option<SocketAddr>,
    /// Memory of the smallest machine in bytes.
    pub(super) memory: Option<usize>,
    pub(super) is_json: bool,
}

/// Checks a configuration and describes what it changes.
pub(super) fn check_configuration(request: &CheckRequest<'_>) -> Result<String, CommandError> {
    let unreadable = |error: CommandError| CommandError::Unreadable(error.message().to_owned());
    let text = read_file(request.file).map_err(unreadable)?;
    let new = decode(&text, &request.file.display().to_string())?;
    let current = match (request.against, request.store) {
        (Some(file), _) => Some((read_file(file).map_err(unreadable)?, file.display().to_string())),
        (None, Some(store)) => Some((read_from_store(store)?, format!("store {store}"))),
        (None, None) => None,
    };
    let changes = match current {
        Some((text, source)) => Some(compare(&decode(&text, &source)?.catalog, &new.catalog)),
        None => None,
    };
    let findings = collect_findings(&new, request.memory);
    let report = if request.is_json {
        format_json(&new, &findings, changes.as_deref())
    } else {
        format_text(&new, &findings, changes.as_deref())
    };
    if findings.iter().all(|(_, finding)| finding.is_note) {
        Ok(report)
    } else {
        Err(CommandError::Findings(report))
    }
}

fn decode(text: &str, source: &str) -> Result<Decoded, CommandError> {
    let decoded = decode_with_key(Offset(0), text.as_bytes(), HASH_KEY);
    decoded.map_err(|error| CommandError::Unreadable(format!("{source}: {error}")))
}

/// Reads the configuration in force from the store.
fn read_from_store(store: SocketAddr) -> Result<String, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| CommandError::Unreadable(e.to_string()))?;
    let list = async {
        Store::new(store, StoreCalls::default())
            .without_listing_limit()
            .list(OPERATOR_TOPIC)
            .await
    };
    let listing = runtime.block_on(tokio::task::LocalSet::new().run_until(list));
    let listing = listing.map_err(|e| CommandError::Unreadable(format!("store {store}: {e}")))?;
    let record = listing
        .records
        .into_iter()
        .find(|record| read_operator_key(&record.key) == OperatorKey::Configuration);
    let value = record.and_then(|record| record.value);
    let value = value.ok_or_else(|| CommandError::Unreadable(format!("store {store} has no configuration")))?;
    Ok(String::from_utf8_lossy(&value).into_owned())
}

/// A finding with its line.
type LocatedFinding = (usize, Finding);

fn collect_findings(new: &Decoded, memory: Option<usize>) -> Vec<LocatedFinding> {
    let faults = new.faults.iter().map(|fault| {
        let finding = Finding {
            entry: fault.entry.clone(),
            text: fault.text.clone(),
            is_note: false,
        };
        (fault.line, finding)
    });
    let checked = new.catalog.check(memory).into_iter();
    let located = checked.map(|finding| (new.lines.get(&finding.entry).copied().unwrap_or(1), finding));
    let mut findings: Vec<LocatedFinding> = faults.chain(located).collect();
    findings.sort_by(|a, b| (a.0, &a.1.entry).cmp(&(b.0, &b.1.entry)));
    findings
}

fn describe(new: &Decoded) -> String {
    let routes: usize = new.catalog.routes.values().map(std::collections::BTreeMap::len).sum();
    format!(
        "configuration {} with {routes} routes and {} pools",
        new.catalog.version,
        new.catalog.pools.len()
    )
}

fn format_text(new: &Decoded, findings: &[LocatedFinding], changes: Option<&[String]>) -> String {
    let mut lines: Vec<String> = findings
        .iter()
        .map(|(line, finding)| {
            let note = if finding.is_note { "note: " } else { "" };
            format!("{note}line {line}, {}: {}", finding.entry, finding.text)
        })
        .collect();
    if findings.iter().all(|(_, finding)| finding.is_note) {
        lines.push(format!("valid: {}", describe(new)));
    }
    if let Some(changes) = changes {
        lines.push(if changes.is_empty() {
            "changes nothing for callers".to_owned()
        } else {
            "changes for callers:".to_owned()
        });
        lines.extend(changes.iter().map(|change| format!("  {change}")));
    }
    lines.join("\n")
}

fn format_json(new: &Decoded, findings: &[LocatedFinding], changes: Option<&[String]>) -> String {
    let findings: Vec<_> = findings
        .iter()
        .map(|(line, finding)| {
            json!({ "line": line, "entry": finding.entry, "text": finding.text, "note": finding.is_note })
        })
        .collect();
    let is_valid = findings.iter().all(|finding| finding["note"] == true);
    json!({ "subject": describe(new), "valid": is_valid, "findings": findings, "changes": changes }).to_string()
}
