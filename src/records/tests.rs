use super::{Envelope, Record, ServiceTarget, decode_record, encode_record};
use crate::types::{Offset, RecordId};

fn sample() -> Envelope {
    let target = ServiceTarget::Zone("gt-central-1a".parse().unwrap());
    Envelope {
        id: RecordId::draw(),
        author: "ana".to_owned(),
        body: Record::SetService {
            base: Offset(3),
            target,
            in_service: false,
        },
    }
}

/// Guards against a record that its own readers can't decode.
#[test]
fn records_round_trip() {
    let text = encode_record(&sample()).unwrap();
    assert_eq!(decode_record(&text).unwrap(), sample_with_id(&text));
}

fn sample_with_id(text: &str) -> Envelope {
    let id = serde_json::from_str::<serde_json::Value>(text).unwrap()["id"]
        .as_str()
        .unwrap()
        .parse()
        .unwrap();
    Envelope { id, ..sample() }
}

/// Guards against foreign or damaged records that crash a reader.
#[test]
fn malformed_records_are_errors() {
    for bad in ["", "{", "null", r#"{"id":1}"#, r#"{"kind":"publish"}"#] {
        assert!(decode_record(bad).is_err(), "{bad:?}");
    }
    assert!(decode_record(&" ".repeat(super::RECORD_MAX + 1)).is_err());
}
