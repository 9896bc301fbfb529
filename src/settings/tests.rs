use super::Secret;

/// Guards against a credential in a log line.
#[test]
fn secrets_are_hidden() {
    assert_eq!(format!("{:?}", Secret("abc".to_owned())), "Secret(hidden)");
}
