use std::collections::BTreeSet;

use clap::CommandFactory;
use serde_json::Value;

use super::command::Arguments;
use crate::settings::parse_settings;
use crate::tables::parse_tables;
use crate::types::Reason;

const PAGE: &str = include_str!("../../docs/operators.md");

/// Finds the row that begins with a name in the tables of a section, as its cells.
fn find_row(section: u32, name: &str) -> Vec<&'static str> {
    let start = format!("| `{name}` |");
    let heading = format!("## {section}. ");
    let lines = PAGE.lines().skip_while(|line| !line.starts_with(&heading)).skip(1);
    let mut lines = lines.take_while(|line| !line.starts_with("## "));
    let row = lines.find(|line| line.starts_with(&start));
    let row = row.unwrap_or_else(|| panic!("{name} is missing in section {section} of docs/operators.md"));
    row.split(" | ").collect()
}

/// Guards against a refusal reason that operators can't look up, or with another status.
#[test]
fn the_page_lists_all_reasons() {
    for reason in Reason::ALL {
        assert_eq!(find_row(5, reason.as_str())[1], reason.status().to_string(), "{reason}");
    }
}

/// Guards against a setting that is missing on the page, or with another default.
#[test]
fn the_page_lists_all_settings() {
    let text = "{ host: a, zone: a, listen: { callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0' },
        platform: { log: '127.0.0.1:1' }, credentials: { peers: p, operators: o } }";
    let settings = serde_json::to_value(parse_settings("test", text).unwrap()).unwrap();
    for (name, value) in settings.as_object().unwrap() {
        let Some(fields) = value.as_object() else {
            find_row(2, name);
            continue;
        };
        for (field, default) in fields {
            let row = find_row(2, &format!("{name}.{field}"));
            if matches!(name.as_str(), "timing" | "limits") || field == "retention_records" {
                let default = default.as_str().map_or_else(|| default.to_string(), str::to_owned);
                assert_eq!(row[2], default, "{name}.{field}");
            }
        }
    }
}

/// Guards against a field of the tables that is missing on the page.
#[test]
fn the_page_lists_all_table_fields() {
    let routes = "routes: [{ name: r, prefix: /r, callers: { names: [c] }, pool: p, key: { segment: 0 } }]";
    let pools = "pools: { p: { ownership: fenced, upstreams:
        { u: { host: h, zone: z, address: '127.0.0.1:1', slots: 1, connections: 1 } } } }";
    let tables = serde_json::to_value(parse_tables("r", routes, "p", pools).unwrap()).unwrap();
    let (route, pool) = (&tables["routes"][0], &tables["pools"]["p"]);
    let fields = |value: &Value| -> BTreeSet<String> { value.as_object().unwrap().keys().cloned().collect() };
    let callers = fields(&route["callers"])
        .into_iter()
        .map(|field| format!("callers.{field}"));
    let plain = fields(route).into_iter().filter(|field| field != "callers");
    let rest = fields(pool).into_iter().chain(fields(&pool["upstreams"]["u"]));
    for field in callers.chain(plain).chain(rest) {
        find_row(3, &field);
    }
}

/// Guards against a metric that operators can't look up.
///
/// A family without a value is not rendered, so the names come from the source.
#[test]
fn the_page_lists_all_metrics() {
    let source = include_str!("../telemetry/metrics.rs");
    let calls = source.split("r.register(").skip(1);
    let names: Vec<&str> = calls.filter_map(|call| call.split('"').nth(1)).collect();
    assert!(names.len() >= 8, "{names:?}");
    for name in names {
        let listed = |suffix| PAGE.contains(&format!("\n| `ragworthub_{name}{suffix}` |"));
        assert!(listed("") || listed("_total"), "{name} is missing in docs/operators.md");
    }
}

/// Guards against a command or option that is missing on the page.
#[test]
fn the_page_lists_all_commands_and_options() {
    let command = Arguments::command();
    for subcommand in command.get_subcommands() {
        let name = subcommand.get_name();
        assert!(PAGE.contains(&format!("| `ragworthub {name}")), "{name}");
        for option in subcommand.get_arguments().filter_map(clap::Arg::get_long) {
            assert!(PAGE.contains(&format!("--{option}")), "--{option} of {name}");
        }
    }
}
