use super::{HostName, Reason, Verdict};

/// Guards against names that would break headers, metrics labels or YAML.
#[test]
fn names_reject_control_characters() {
    for bad in ["", "a b", "a\nb", "a/b", "ñ"] {
        assert!(bad.parse::<HostName>().is_err(), "{bad:?}");
    }
    assert!("x".repeat(129).parse::<HostName>().is_err());
    assert!("gt-central-1a".parse::<HostName>().is_ok());
}

/// Guards against two reasons that share a label, whose counters would be merged.
#[test]
fn reasons_have_distinct_labels() {
    for &r in Reason::ALL {
        assert_eq!(r.as_str().parse(), Ok(r));
    }
    for v in Verdict::ALL {
        assert_eq!(v.as_str().parse(), Ok(v));
    }
}
