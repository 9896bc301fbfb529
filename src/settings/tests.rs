use super::{Secret, parse_settings};

/// Guards against a credential in a log line.
#[test]
fn secrets_are_hidden() {
    assert_eq!(format!("{:?}", Secret("abc".to_owned())), "Secret(hidden)");
}

fn faults(text: &str) -> String {
    let faults = parse_settings("host.yaml", text).expect_err("the file has faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Guards against settings that are accepted although their parts contradict each other.
#[test]
fn all_faults_are_told_at_once() {
    let text = r#"
host: gt host
zone: gt-central-1a
listen:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1
  operators: 0.0.0.0:8080
  spare: 1
platform:
  log: 127.0.0.1:0
  retention_records: 5
credentials:
  peers: 12345
  operators: " "
timing:
  routing_lease: 600ms
  heartbeat: 200ms
  grant: 3s
  renewal: 1s
  detection: 300ms
  detection: 400ms
  shutdown: 0s
limits:
  queue: many
"#;
    insta::assert_snapshot!(faults(text), @r#"
    host.yaml:2:7: character ' ' is not allowed in a name (letters, digits, '-', '_', '.')
    host.yaml:6:10: expected an address with a port, like 127.0.0.1:8080, found "127.0.0.1"
    host.yaml:7:14: address 0.0.0.0:8080 is in use by callers (127.0.0.1:8080)
    host.yaml:8:3: unknown field spare, expected one of callers, peers, operators
    host.yaml:10:8: expected an address with a port other than 0
    host.yaml:11:22: expected at least 100 records
    host.yaml:13:10: expected a secret as text of visible ASCII that is not empty (quote a number)
    host.yaml:14:14: expected a secret as text of visible ASCII that is not empty (quote a number)
    host.yaml:17:14: heartbeat 200ms must be below a third of routing_lease 600ms
    host.yaml:19:12: renewal 1s must be below a third of grant 3s
    host.yaml:20:14: detection 300ms must be above twice the heartbeat 200ms
    host.yaml:20:14: detection + routing_lease + grant + 200ms is 4s 100ms, at most 4s are allowed after a loss
    host.yaml:21:3: detection is given twice
    host.yaml:22:13: expected a time above zero
    host.yaml:24:10: invalid type: string "many", expected u32
    "#);
}

/// Guards against a message that doesn't say where a file stops being usable.
#[test]
fn unusable_files_have_a_place() {
    insta::assert_snapshot!(faults("host: [a"), @"host.yaml:1:7: not valid YAML: unclosed bracket '[' at line 1, column 7");
    insta::assert_snapshot!(faults(""), @"host.yaml:1:1: expected a mapping with host, zone, listen, platform, credentials, timing, limits, found nothing");
    insta::assert_snapshot!(faults("host: a\nlisten: 3\n"), @r#"
    host.yaml:1:1: field zone is missing
    host.yaml:1:1: field platform is missing
    host.yaml:1:1: field credentials is missing
    host.yaml:2:9: expected a mapping with callers, peers, operators, found 3
    "#);
}

/// Guards against a credential in an error message.
#[test]
fn faults_hide_secrets() {
    for text in [
        "credentials: hunter2",
        "credentials: {peers: [hunter2]}",
        "credentials: {peers: hunter2, operators",
    ] {
        assert!(!faults(text).contains("hunter2"), "{text}");
    }
}

/// Guards against a credential that passes the check and can't be sent as a header.
#[test]
fn secrets_are_visible_ascii() {
    let text = "host: a\nzone: a\nlisten: { callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: '127.0.0.1:3' }\n\
                platform: { log: '127.0.0.1:4' }\ncredentials: { peers: \"a\\nb\", operators: ok }\n";
    let faults = super::parse_settings("host.yaml", text).unwrap_err();
    assert_eq!(faults.len(), 1, "{faults:?}");
}
