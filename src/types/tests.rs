use proptest::prelude::*;

use super::{HostName, KeyHash, KeyRange, Reason, Size, Span, Verdict};

/// Guards against a gap or an overlap between ranges, which would give a key no owner or two.
#[test]
fn divided_ranges_cover_the_space_once() {
    for n in [1, 2, 3, 7, 64, 1000] {
        let ranges = KeyRange::divide_all(n);
        assert_eq!(ranges[0].first, KeyHash::MIN);
        assert_eq!(ranges[ranges.len() - 1].last, KeyHash::MAX);
        for pair in ranges.windows(2) {
            assert_eq!(pair[0].last.0 + 1, pair[1].first.0);
        }
        assert_eq!(ranges.iter().map(|r| r.width()).sum::<u128>(), 1 << 64);
    }
}

/// Guards against hosts of different builds that hash the same key to different owners.
#[test]
fn key_hash_is_stable() {
    assert_eq!(
        KeyHash::of(b"P-123ABC").to_string(),
        KeyHash::of(b"P-123ABC").to_string()
    );
    assert_eq!(KeyHash::of(b"").to_string(), "2d06800538d394c2");
}

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

/// Guards against a unit that is read as another one.
#[test]
fn quantities_round_trip() {
    for text in ["250ms", "2s", "1h 30m"] {
        assert_eq!(text.parse::<Span>().unwrap().to_string(), text);
    }
    assert_eq!("64 MiB".parse::<Size>().unwrap(), Size(64 << 20));
    assert_eq!(Size(64 << 20).to_string().parse(), Ok(Size(64 << 20)));
    assert!("2".parse::<Span>().is_err());
    assert!("-1s".parse::<Span>().is_err());
}

proptest! {
    /// Guards against a range that prints differently than it parses.
    #[test]
    fn ranges_round_trip(a: u64, b: u64) {
        let range = KeyRange { first: KeyHash(a.min(b)), last: KeyHash(a.max(b)) };
        prop_assert_eq!(range.to_string().parse(), Ok(range));
    }
}
