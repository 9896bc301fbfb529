//! The command line as operators see it.

use std::path::PathBuf;
use std::process::{Command, Stdio};

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ragworthub"));
    command.args(arguments);
    command
}

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = command(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Writes a file for one test and gives its path.
fn write(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

const SECRET: &str = "never-shown-4711";

fn faulty_settings(name: &str) -> String {
    let text = format!(
        "host: entry a\nzone: 7\nlisten:\n  callers: here\n  peers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n\
         platform: {{ log: '127.0.0.1:7000' }}\ncredentials:\n  peers: {SECRET}\n  operators: [{SECRET}]\n\
         timing: {{ heartbeat: 5 }}\nlimits: {{ requests: many }}\nextra: 1\n"
    );
    write(name, &text)
}

/// Guards against a command that disappears from the help, or an unknown one that succeeds.
#[test]
fn help_lists_the_commands() {
    let (code, text) = run(&["--help"]);
    assert_eq!(code, Some(0));
    insta::assert_snapshot!(text);
    assert_eq!(run(&["no-such-command"]).0, Some(2));
}

/// Guards against a settings file that can't be read and is not named.
#[test]
fn a_missing_settings_file_is_named() {
    let (code, text) = run(&["host", "--settings", "no-such-file.yaml"]);
    assert_eq!(code, Some(1));
    assert!(text.contains("no-such-file.yaml"), "{text}");
}

/// Guards against faults that operators find one at a time, a host that starts with them, and a
/// secret in a message.
#[test]
fn all_faults_of_settings_are_told_at_once() {
    let file = faulty_settings("faulty-settings.yaml");
    for arguments in [["host", "--settings", &file], ["check", "settings", &file]] {
        let (code, text) = run(&arguments);
        assert_eq!(code, Some(5), "{text}");
        for place in ["1:7", "2:7", "4:12", "10:14", "11:22", "12:21", "13:1"] {
            assert!(text.contains(&format!("{file}:{place}: ")), "{place} in {text}");
        }
        assert!(!text.contains(SECRET), "{text}");
    }
}

/// Guards against tables with faults that are sent to a host: no host listens here, so an attempt
/// would end with another exit code.
#[test]
fn faulty_tables_are_not_published() {
    let routes = write(
        "faulty-routes.yaml",
        "routes:\n  - name: a\n    prefix: a\n    callers: { names: [] }\n    pool: missing\n",
    );
    let pools = write(
        "faulty-pools.yaml",
        "pools:\n  p:\n    ownership: some\n    upstreams: 3\n",
    );
    let files = ["--routes", &routes, "--pools", &pools];
    let credential = write("credential", "any");
    let publish = [&["publish"], &files[..], &["--credential", &credential]].concat();
    for arguments in [publish, [&["check", "tables"], &files[..]].concat()] {
        let (code, text) = run(&arguments);
        assert_eq!(code, Some(5), "{text}");
        for place in [
            format!("{routes}:3:"),
            format!("{routes}:4:"),
            format!("{routes}:5:"),
            format!("{pools}:3:"),
            format!("{pools}:4:"),
        ] {
            assert!(text.contains(&place), "{place} in {text}");
        }
        let (code, text) = run(&[&arguments[..], &["--json"]].concat());
        let json: serde_json::Value = serde_json::from_str(&text).unwrap();
        assert_eq!((code, &json["result"]), (Some(5), &"refused".into()));
        assert!(json["faults"].as_array().unwrap().len() >= 5, "{json}");
    }
}

/// Guards against a file that is no YAML and ends the process without a place.
#[test]
fn a_file_that_is_no_yaml_is_refused_with_its_place() {
    let file = write("no-yaml.yaml", "host: [\n\u{1}");
    let (code, text) = run(&["check", "settings", &file]);
    assert_eq!(code, Some(5), "{text}");
    assert!(text.contains(&format!("{file}:")), "{text}");
}

/// Guards against examples that no longer fit the readers.
#[test]
fn the_examples_are_valid() {
    let root = env!("CARGO_MANIFEST_DIR");
    for (folder, settings) in [
        ("development", &["host-a", "host-b", "host-c"][..]),
        ("guatemala", &["host"]),
        ("senegal", &["host"]),
    ] {
        let path = |name: &str| format!("{root}/examples/{folder}/{name}.yaml");
        for name in settings {
            let (code, text) = run(&["check", "settings", &path(name)]);
            assert_eq!((code, text.as_str()), (Some(0), "valid\n"));
        }
        let (routes, pools) = (path("routes"), path("pools"));
        let (code, text) = run(&["check", "tables", "--routes", &routes, "--pools", &pools, "--json"]);
        assert_eq!((code, text.as_str()), (Some(0), "{\"result\":\"valid\"}\n"));
    }
}

/// Guards against a host that can't be reached and a command that seems to have worked.
#[test]
fn an_unreachable_host_is_a_failure_without_effect() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let credential = write("credential-unreachable", "any");
    let access = ["--address", &address, "--credential", &credential];
    for arguments in [&["status"][..], &["ownership"], &["service", "in", "zone", "a"]] {
        let (code, text) = run(&[arguments, &access].concat());
        assert_eq!(code, Some(1), "{text}");
        assert!(text.contains("can't be reached"), "{text}");
    }
}

/// Guards against a command that panics when the reader of its output has gone.
#[test]
fn output_survives_a_closed_pipe() {
    let file = faulty_settings("faulty-settings-pipe.yaml");
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/development/host-a.yaml");
    for (arguments, code) in [
        (&["--help"][..], 0),
        (&["check", "settings", example], 0),
        (&["check", "settings", &file], 5),
        (&["check", "settings", &file, "--json"], 5),
    ] {
        let closed = || {
            let (reader, writer) = std::io::pipe().unwrap();
            drop(reader);
            Stdio::from(writer)
        };
        let status = command(arguments).stdout(closed()).stderr(closed()).status().unwrap();
        assert_eq!(status.code(), Some(code), "{arguments:?}");
    }
}
