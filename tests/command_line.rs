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
    for (kind, file, status) in [
        ("configuration", "gateway-a.yaml", 2),
        ("settings", "configuration.json", 3),
    ] {
        let output = run(&["check", kind, &format!("{EXAMPLES}/{file}")]);
        assert_eq!(output.status.code(), Some(status));
        assert!(text(&output.stderr).contains(file), "{}", text(&output.stderr));
    }
    let output = run(&["--json", "check", "settings", "no-such-file"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stdout).contains("\"error\""), "{}", text(&output.stdout));
    assert_eq!(run(&["no-such-command"]).status.code(), Some(2));
    let output = run(&["explain", "r-1", &format!("{EXAMPLES}/configuration.json")]);
    assert_eq!(output.status.code(), Some(4));
}

/// Guards against a check that a script can't tell from a valid configuration, and against a comparison that isn't shown.
#[test]
fn findings_and_changes_of_a_configuration_are_printed() {
    let example = format!("{EXAMPLES}/configuration.json");
    let text_of = std::fs::read_to_string(&example).expect("the example");
    let folder = std::env::temp_dir().join(format!("ragworthub-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let changed = folder.join("changed.json");
    let new = text_of.replace("00000001", "00000002").replace("/flotas/", "/flotas");
    std::fs::write(&changed, new).expect("a file");
    let changed = changed.display().to_string();
    let output = run(&["check", "configuration", &changed, "--against", &example]);
    assert_eq!(output.status.code(), Some(1));
    let shown = text(&output.stdout);
    assert!(shown.contains("line 6, route flotas: it can never match"), "{shown}");
    assert!(
        shown.contains("requests to licencias.example/flotas/ get 503"),
        "{shown}"
    );
    let output = run(&["--json", "check", "configuration", &example, "--against", &example]);
    assert_eq!(output.status.code(), Some(0));
    assert!(
        text(&output.stdout).contains("\"valid\":true"),
        "{}",
        text(&output.stdout)
    );
    std::fs::remove_dir_all(&folder).expect("an own folder");
}
