//! Tests of the command line's output, errors and exit status.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_ragworthub");
    Command::new(program).args(arguments).output().expect("the program")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/platform");

/// Guards against a change after which the checks reject the examples.
#[test]
fn the_examples_are_valid() {
    let output = run(&["check", "settings", &format!("{EXAMPLES}/gateway-a.yaml")]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let output = run(&["check", "configuration", &format!("{EXAMPLES}/configuration.json")]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(
        text(&output.stdout).contains("3 routes and 2 pools"),
        "{}",
        text(&output.stdout)
    );
}

/// Guards against an error message that doesn't name the file, and against exit statuses by which a script
/// can't tell failures apart.
#[test]
fn failures_have_distinct_exit_statuses() {
    let output = run(&["check", "configuration", &format!("{EXAMPLES}/gateway-a.yaml")]);
    assert_eq!(output.status.code(), Some(3));
    assert!(
        text(&output.stderr).contains("gateway-a.yaml"),
        "{}",
        text(&output.stderr)
    );
    let output = run(&["--json", "check", "settings", "no-such-file"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stdout).contains("\"error\""), "{}", text(&output.stdout));
    assert_eq!(run(&["no-such-command"]).status.code(), Some(2));
    let output = run(&["explain", "r-1", &format!("{EXAMPLES}/configuration.json")]);
    assert_eq!(output.status.code(), Some(4));
}
