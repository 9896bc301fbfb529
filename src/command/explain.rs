//! Explains what happened to a request, from the log lines of all gateways.

use std::collections::BTreeSet;

use serde_json::{Map, Value, json};

/// Largest number of context lines in an explanation.
const CONTEXT_MAX_LINES: usize = 12;

type LogLine = Map<String, Value>;

/// Cause of a request's outcome, with the log lines that show it.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Explanation {
    cause: String,
    advice: &'static str,
    /// Log lines of the request.
    lines: Vec<String>,
    /// Earlier log lines about the state of the system.
    context: Vec<String>,
}

impl Explanation {
    pub(super) fn to_text(&self) -> String {
        let mut text = vec![format!("cause: {}", self.cause), format!("what to do: {}", self.advice)];
        text.push("the request:".to_owned());
        text.extend(self.lines.iter().map(|line| format!("  {line}")));
        if !self.context.is_empty() {
            text.push("before it, at the same host or about the same upstreams and pool:".to_owned());
            text.extend(self.context.iter().map(|line| format!("  {line}")));
        }
        text.join("\n")
    }

    pub(super) fn to_json(&self) -> String {
        json!({ "cause": self.cause, "advice": self.advice, "lines": self.lines, "context": self.context }).to_string()
    }
}

fn text<'a>(line: &'a LogLine, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

/// Parses a JSON log line, which a log collector may have prefixed with other text.
fn parse_line(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Explains the outcome of a request; `None` if no line is about it.
pub(super) fn explain_request(request: &str, logs: &str) -> Option<Explanation> {
    let mut lines: Vec<LogLine> = logs.lines().filter_map(parse_line).collect();
    lines.sort_by(|a, b| text(a, "ts").cmp(text(b, "ts")));
    let request_lines: Vec<&LogLine> = lines.iter().filter(|line| text(line, "request") == request).collect();
    let last = *request_lines.last()?;
    let (cause, advice) = find_cause(last);
    Some(Explanation {
        cause,
        advice,
        lines: request_lines.iter().map(|line| format_line(line)).collect(),
        context: find_context(&lines, last, find_fingerprint(&request_lines)),
    })
}

/// Returns the fingerprint of a request that is blocked because it crashes upstreams.
fn find_fingerprint<'a>(request_lines: &[&'a LogLine]) -> Option<&'a str> {
    let blocked = request_lines
        .iter()
        .find(|line| text(line, "msg").starts_with("request is blocked"));
    blocked.map(|line| text(line, "fingerprint"))
}

/// Returns earlier log lines about events that may have changed what the host knew when it handled the
/// request. Of a blocked request with this fingerprint these are its crashes, at whichever hosts.
fn find_context(lines: &[LogLine], last: &LogLine, fingerprint: Option<&str>) -> Vec<String> {
    let names = ["upstreams", "unreachable"].map(|field| text(last, field).split(','));
    let upstreams: BTreeSet<&str> = names.into_iter().flatten().filter(|name| !name.is_empty()).collect();
    let key = last.get("key").and_then(Value::as_u64);
    let is_context = |line: &&LogLine| {
        let is_before = text(line, "ts") <= text(last, "ts");
        let is_request = line.contains_key("request");
        let same_host = text(line, "host") == text(last, "host");
        let same_pool = line.contains_key("pool") && text(line, "pool") == text(last, "pool");
        let same_upstream = upstreams.contains(text(line, "upstream"));
        let is_host_wide = !line.contains_key("pool") && !line.contains_key("upstream");
        // The grantor may run on any host, and its actions on the key explain most.
        let same_key = same_pool && key.is_some_and(|key| range_contains(text(line, "keys"), key));
        let is_relevant = same_upstream || same_key || (same_host && (is_host_wide || same_pool));
        let is_crash = fingerprint.is_some_and(|fingerprint| text(line, "fingerprint") == fingerprint);
        is_before && !is_request && (is_crash || fingerprint.is_none() && is_relevant)
    };
    let mut context: Vec<&LogLine> = lines.iter().filter(is_context).collect();
    // Each save of the owners logs a line; only the newest one shows the owners that the host used.
    let is_table = |line: &&LogLine| text(line, "msg") == "owners of keys known";
    let newest = context.iter().rposition(is_table);
    let mut position = 0;
    context.retain(|line| {
        position += 1;
        !is_table(line) || newest == Some(position - 1)
    });
    let skip = context.len().saturating_sub(CONTEXT_MAX_LINES);
    context[skip..].iter().map(|line| format_line(line)).collect()
}

/// Reports whether a range such as `4096-8191` contains a key.
fn range_contains(keys: &str, key: u64) -> bool {
    let parse = |text: &str| text.parse::<u64>().ok();
    let ends = keys
        .split_once('-')
        .and_then(|(first, last)| Some((parse(first)?, parse(last)?)));
    ends.is_some_and(|(first, last)| (first..=last).contains(&key))
}

fn format_line(line: &LogLine) -> String {
    let fields = line.iter().filter(|(name, value)| {
        !matches!(name.as_str(), "ts" | "host" | "msg" | "level") && !value.is_null() && value.as_str() != Some("")
    });
    let fields: Vec<String> = fields
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        })
        .collect();
    format!(
        "{} {} {}: {}",
        text(line, "ts"),
        text(line, "host"),
        text(line, "msg"),
        fields.join(" ")
    )
}

/// Returns the cause that the last line of a request shows, and advice for the operator.
fn find_cause(last: &LogLine) -> (String, &'static str) {
    let (pool, upstreams) = (text(last, "pool"), text(last, "upstreams"));
    if text(last, "msg") == "request answered" {
        return (
            format!(
                "answered by {upstreams} with status {}",
                last.get("status").unwrap_or(&Value::Null)
            ),
            "nothing at the gateway; a status of 500 or above comes from the upstream itself",
        );
    }
    if text(last, "msg") == "caller left" {
        return (
            format!(
                "its caller disconnected before the response; verdict {}",
                text(last, "verdict")
            ),
            "compare the duration with the caller's deadline; look for slow upstreams of the pool",
        );
    }
    match text(last, "reason") {
        "queue-full" => (
            format!("no upstream of pool {pool} could have responded in time"),
            "compare the load of the pool's upstreams with their slots; add upstreams if this persists",
        ),
        "owner-overloaded" => (
            format!(
                "the owner of key {} of pool {pool} was overloaded, and only a share of its requests was admitted",
                last.get("key").unwrap_or(&Value::Null)
            ),
            "look for a hot key: lines `owners overloaded; hosts admit a share of their requests` of the grantor",
        ),
        "upstream-shed" => (
            format!("{upstreams} refused it because of overload and proved that it didn't run"),
            "look for a hot key (lines `keys move`) or slow upstreams of the pool",
        ),
        "no-owner" | "grant-refused" => (
            format!(
                "key {} of pool {pool} had no owner that accepts requests",
                last.get("key").unwrap_or(&Value::Null)
            ),
            "follow `keys move`, `grant failed` and `owners of keys known`; a grantor must be running",
        ),
        "host-stopping" => (
            "the host was shutting down, and no response was expected before its process ended".to_owned(),
            "follow `stopping` to `stopped` in its log; a load balancer that still sends requests then is slow",
        ),
        "no-upstream" => (
            format!("pool {pool} had no upstream in service"),
            "look for zones out of service and for `upstream entry gone` and `upstream left out`",
        ),
        "upstream-unreachable" => (
            format!(
                "no connection could be opened to {} of pool {pool}; it didn't run",
                text(last, "unreachable")
            ),
            "look for `upstream unreachable`; for a key, `grant failed` shows when the grantor noticed",
        ),
        "connection-lost" => (
            format!("the connection to {upstreams} broke before a response; it may have run"),
            "ask the team responsible for the upstream whether it ran; don't repeat a payment before that",
        ),
        "deadline-exceeded" => (
            format!("{upstreams} had not responded by the deadline; it may have run"),
            "ask the team responsible for the upstream whether it ran; look for a slow or frozen upstream",
        ),
        "bad-answer" => (
            format!("the response of {upstreams} was malformed, incomplete, unsigned, or for another request"),
            "report it to the team responsible for the upstream; it may have run",
        ),
        "not-ready" => (
            "the host had no configuration or list of upstreams yet".to_owned(),
            "look for `store lost` at the host",
        ),
        "no-route" => (
            format!("no route of configuration {} matches it", text(last, "configuration")),
            "check the host and path of the request against the configuration",
        ),
        other => find_entry_cause(other),
    }
}

/// Returns the cause of a refusal before an upstream is chosen, and advice for the operator.
fn find_entry_cause(reason: &str) -> (String, &'static str) {
    match reason {
        "tenant-capped" => (
            "its tenant had used up its cap at all hosts together; it didn't run".to_owned(),
            "see `tenant has no token` for tenant and cap, and the metric `ragworthub_tenant_requests_total`",
        ),
        "cap-unknown" => (
            "the keeper of the tenants' caps didn't answer in time; it didn't run".to_owned(),
            "look for `grantor starts` and `grantor stops`, and for a slow or cut host that is the grantor",
        ),
        "unknown-credential" => (
            "no tenant of the configuration that the host knew holds its credential".to_owned(),
            "compare `configuration in force` with the version that has the credential",
        ),
        "credential-unsure" => (
            "the host couldn't tell whether its credential was valid; it didn't run".to_owned(),
            "look for `credentials aren't accepted`, `store lost` and what can't be read of the configuration at the host",
        ),
        "route-unusable" => (
            "its route is in the configuration, but the entry can't be used; it didn't run".to_owned(),
            "see `part of the configuration can't be used` at the host, and run `ragworthub check configuration`",
        ),
        "route-unsure" => (
            "no route that the host knew matches it, but the host may not have known all; it didn't run".to_owned(),
            "look for `store lost` and what can't be read of the configuration at the host",
        ),
        "split-mixed" => (
            "it had no key, and its route splits requests between pools with and without keys; it didn't run"
                .to_owned(),
            "run `ragworthub check configuration`; send a key, or split the route between pools of one kind",
        ),
        "memory-full" => (
            "the memory that the host may hold for callers was used up; it didn't run".to_owned(),
            "see `body not read to its end` for the limit and the caller, and `ragworthub_held_bytes`",
        ),
        "body-late" => (
            "its body hadn't arrived completely when its time passed; it didn't run".to_owned(),
            "compare `received` with `announced`; look for a slow caller or network, or a host short of processor time",
        ),
        other => (
            format!("refused as {other}"),
            "see the list of reasons in docs/OPERATIONS.md",
        ),
    }
}
