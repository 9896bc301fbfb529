use super::parse_settings;

const SETTINGS: &str = "\
host: front-a
zone: zone-a
listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', peers: '127.0.0.1:3', metrics: '127.0.0.1:4' }
store: 127.0.0.1:5
bounds:
  - \"drain=2000ms\"
";

/// Guards against rejecting or misreading valid settings, and against rounding cores to whole ones.
#[test]
fn valid_settings_are_parsed() {
    let settings = parse_settings(SETTINGS).expect("settings");
    assert_eq!(settings.host.to_string(), "front-a");
    assert_eq!(settings.bounds().drain.as_millis(), 2_000);
    assert_eq!(settings.millicores(), 1_000);
    let weak = parse_settings(&SETTINGS.replace("store:", "cores: 0.15\nstore:"));
    assert_eq!(weak.expect("settings").millicores(), 150);
}

/// Guards against an error that doesn't name the faulty setting. The process can't start until the setting
/// is corrected.
#[test]
fn errors_name_the_fault() {
    for (from, to, named) in [
        ("host: front-a\n", "", "host"),
        ("zone-a", "'zone a'", "not allowed in a name"),
        ("store: 127.0.0.1:5", "store: nowhere", "socket address"),
        ("store:", "stor:", "stor"),
        ("store:", "cores: 0\nstore:", "cores"),
        ("store:", "cores: .nan\nstore:", "cores"),
        ("store:", "memory_mb: 8\nstore:", "memory_mb"),
        ("store:", "descriptors: 10\nstore:", "descriptors"),
        ("drain=2000ms", "drain=2000", "drain"),
    ] {
        let error = parse_settings(&SETTINGS.replace(from, to)).expect_err(named);
        assert!(error.contains(named), "{named}: {error}");
    }
}
