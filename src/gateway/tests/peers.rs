//! Datagrams between hosts.

use crate::gateway::peers::{Message, decode, encode};
use crate::platform::Record;
use crate::relay::{Topic, TopicDelta, Update};
use crate::types::Offset;

/// Largest datagram that small links bear for a hundred hosts, in bytes.
const DATAGRAM_MAX: usize = 8 << 10;

fn announcements(count: u64) -> Message {
    let record = |at: u64| {
        Record {
        offset: Offset(at),
        key: format!("i-{:010x}", at * 7_919_317),
        value: Some(
            format!(
                r#"{{"service":"placas","address":"10.2.{}.{}:8741","zone":"z-a","version":"v1","slots":4,"state":"ready","cold_left":"0ms","seq":{at},"born":17648{at:08}}}"#,
                at / 250,
                at % 250
            )
            .into(),
        ),
    }
    };
    Message::Read(vec![TopicDelta {
        topic: Topic::Upstreams,
        from: Offset(0),
        next: Offset(count),
        updates: Some((0..count).map(|at| Update::Record(record(at))).collect()),
    }])
}

/// The announcements of a whole zone that is back must fit a datagram, or each host reads the store.
#[test]
fn many_announcements_fit_a_datagram() {
    for count in [0, 1, 100] {
        let message = announcements(count);
        let bytes = encode(&message);
        assert!(bytes.len() <= DATAGRAM_MAX, "{} bytes for {count}", bytes.len());
        assert_eq!(decode(&bytes), Ok(message));
    }
}

/// A damaged datagram must be refused whole, and never end the process.
#[test]
fn damaged_datagrams_are_refused() {
    let bytes = encode(&announcements(50));
    for bad in [
        &[][..],
        &[9, 1, 2],
        &bytes[..bytes.len() / 2],
        &bytes[..1],
        &[1, 0xff, 0xff],
    ] {
        assert!(decode(bad).is_err(), "{bad:?}");
    }
}
