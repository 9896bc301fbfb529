//! Tells what happened to a request, from the log lines of all gateways.

use std::collections::BTreeSet;

use serde_json::{Map, Value, json};

/// Lines about the state of the system that are told beside a request's own.
const CONTEXT_MAX: usize = 12;

type Line = Map<String, Value>;

/// The lines that belong to a request, and what they show.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Story {
    cause: String,
    advice: &'static str,
    lines: Vec<String>,
    context: Vec<String>,
}

impl Story {
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

fn text<'a>(line: &'a Line, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

/// Reads a log line; a collector may have put something before it.
fn parse_line(line: &str) -> Option<Line> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Collects the lines of a request and finds its cause; nothing if no line is about it.
pub(super) fn explain_request(request: &str, logs: &str) -> Option<Story> {
    let mut lines: Vec<Line> = logs.lines().filter_map(parse_line).collect();
    lines.sort_by(|a, b| text(a, "ts").cmp(text(b, "ts")));
    let own: Vec<&Line> = lines.iter().filter(|line| text(line, "request") == request).collect();
    let last = *own.last()?;
    let (cause, advice) = find_cause(last);
    Some(Story {
        cause,
        advice,
        lines: own.iter().map(|line| format_line(line)).collect(),
        context: find_context(&lines, last),
    })
}

/// Finds lines that changed what the host believed before the request ended.
fn find_context(lines: &[Line], last: &Line) -> Vec<String> {
    let names = ["upstreams", "unreachable"].map(|field| text(last, field).split(','));
    let upstreams: BTreeSet<&str> = names.into_iter().flatten().filter(|name| !name.is_empty()).collect();
    let key = last.get("key").and_then(Value::as_u64);
    let is_about = |line: &&Line| {
        let is_before = text(line, "ts") <= text(last, "ts");
        let is_request = line.contains_key("request");
        let same_host = text(line, "host") == text(last, "host");
        let same_pool = line.contains_key("pool") && text(line, "pool") == text(last, "pool");
        let same_upstream = upstreams.contains(text(line, "upstream"));
        let is_general = !line.contains_key("pool") && !line.contains_key("upstream");
        // The grantor may be any host; what it did with the key explains most.
        let same_key = same_pool && key.is_some_and(|key| covers(text(line, "keys"), key));
        let is_told = same_upstream || same_key || (same_host && (is_general || same_pool));
        is_before && !is_request && is_told
    };
    let mut about: Vec<&Line> = lines.iter().filter(is_about).collect();
    // Each save of the owners makes a line; only the newest says what the host went by.
    let is_table = |line: &&Line| text(line, "msg") == "owners of keys known";
    let newest = about.iter().rposition(is_table);
    let mut at = 0;
    about.retain(|line| {
        at += 1;
        !is_table(line) || newest == Some(at - 1)
    });
    let skip = about.len().saturating_sub(CONTEXT_MAX);
    about[skip..].iter().map(|line| format_line(line)).collect()
}

/// Tells whether keys such as `4096-8191` contain a key.
fn covers(keys: &str, key: u64) -> bool {
    let parse = |text: &str| text.parse::<u64>().ok();
    let ends = keys
        .split_once('-')
        .and_then(|(first, last)| Some((parse(first)?, parse(last)?)));
    ends.is_some_and(|(first, last)| (first..=last).contains(&key))
}

fn format_line(line: &Line) -> String {
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

/// Gives the cause that a request's last line shows, and what an operator can do.
fn find_cause(last: &Line) -> (String, &'static str) {
    let (pool, upstreams) = (text(last, "pool"), text(last, "upstreams"));
    if text(last, "msg") == "request answered" {
        return (
            format!(
                "answered by {upstreams} with status {}",
                last.get("status").unwrap_or(&Value::Null)
            ),
            "nothing at the router; a status of 500 and above is the upstream's own",
        );
    }
    if text(last, "msg") == "caller left" {
        return (
            format!("its caller left before the answer; verdict {}", text(last, "verdict")),
            "compare the time with the caller's deadline; look for slow upstreams of the pool",
        );
    }
    match text(last, "reason") {
        "queue-full" => (
            format!("no upstream of pool {pool} could have answered in time"),
            "compare the load of the pool's upstreams with their slots; add upstreams if it lasts",
        ),
        "upstream-shed" => (
            format!("{upstreams} refused it as full and proved that it didn't run"),
            "look for a hot key (lines `keys move`) or slow upstreams of the pool",
        ),
        "no-owner" | "grant-refused" => (
            format!(
                "key {} of pool {pool} had no owner that takes requests",
                last.get("key").unwrap_or(&Value::Null)
            ),
            "follow `keys move`, `grant failed` and `owners of keys known`; a grantor must be running",
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
            format!("the connection to {upstreams} broke before an answer; it may have run"),
            "ask the owner of the upstream whether it ran; don't repeat a payment before that",
        ),
        "deadline-exceeded" => (
            format!("{upstreams} had not answered at the deadline; it may have run"),
            "ask the owner of the upstream whether it ran; look for a slow or frozen upstream",
        ),
        "bad-answer" => (
            format!("the answer of {upstreams} was not one to this request, or not whole"),
            "report it to the owner of the upstream; it may have run",
        ),
        "not-ready" => (
            "the host had no configuration or list of upstreams yet".to_owned(),
            "look for `store lost` at the host",
        ),
        "no-route" => (
            format!("no route of configuration {} matches it", text(last, "configuration")),
            "check host and path of the request against the configuration",
        ),
        other => (
            format!("refused as {other}"),
            "see the list of reasons in docs/OPERATIONS.md",
        ),
    }
}
