use std::collections::BTreeSet;

use super::{HostName, Reason, RouteName, Verdict};

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

/// Guards against a route that can't be used because of its name, and against two routes that share a label.
#[test]
fn any_text_names_a_route() {
    assert_eq!(RouteName::from_label("r-1").as_str(), "r-1");
    let texts = ["", "licencias / móviles", "licencias : móviles", &"x".repeat(500)];
    let names: BTreeSet<RouteName> = texts.iter().map(|text| RouteName::from_label(text)).collect();
    assert_eq!(names.len(), texts.len());
    for name in names {
        assert_eq!(name.as_str().parse(), Ok(name.clone()));
    }
}
