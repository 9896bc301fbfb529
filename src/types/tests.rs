use super::{HostName, Reason, Verdict};

/// A name with a character that isn't allowed would break headers, metric labels or YAML.
#[test]
fn invalid_names_are_refused() {
    for bad in ["", "a b", "a\nb", "a/b", "ñ"] {
        assert!(bad.parse::<HostName>().is_err(), "{bad:?}");
    }
    assert!("x".repeat(129).parse::<HostName>().is_err());
    assert!("gt-central-1a".parse::<HostName>().is_ok());
}

/// Two reasons with the same label would share a counter.
#[test]
fn reasons_have_distinct_labels() {
    for &r in Reason::ALL {
        assert_eq!(r.as_str().parse(), Ok(r));
    }
    for v in Verdict::ALL {
        assert_eq!(v.as_str().parse(), Ok(v));
    }
}
