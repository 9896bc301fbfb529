use super::{HostName, Reason, Verdict};

/// Guards against accepting a name that is empty, too long, or has a character that would break headers,
/// metric labels or YAML.
#[test]
fn invalid_names_are_rejected() {
    for bad in ["", "a b", "a\nb", "a/b", "ñ"] {
        assert!(bad.parse::<HostName>().is_err(), "{bad:?}");
    }
    assert!("x".repeat(129).parse::<HostName>().is_err());
    assert!("gt-central-1a".parse::<HostName>().is_ok());
}

/// Guards against two reasons or verdicts with the same label; two such reasons would share a counter.
#[test]
fn reasons_have_distinct_labels() {
    for &r in Reason::ALL {
        assert_eq!(r.as_str().parse(), Ok(r));
    }
    for v in Verdict::ALL {
        assert_eq!(v.as_str().parse(), Ok(v));
    }
}
