//! The command line as operators see it.

use std::process::Command;

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_ragworthub"))
        .args(arguments)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
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
