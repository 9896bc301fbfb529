//! Stores whose pages, records or heads have no end.

use std::cell::Cell;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::platform::store::{BATCH_RECORDS_MAX, Listing, Store, StoreError, decode_batch};
use crate::telemetry::StoreCalls;
use crate::types::Offset;

/// Calls after which the store of these tests ends what has no end otherwise.
const CALLS_MAX: usize = 3_000;

/// Lists a topic of a store that answers the call of each number with the JSON that `page` makes; returns the number of
/// calls as well.
async fn list_pages(page: impl Fn(usize) -> String) -> (Result<Listing, StoreError>, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let store = Store::new(listener.local_addr().expect("valid address"), StoreCalls::default());
    let calls = Cell::new(0);
    let serve = async {
        loop {
            let (mut stream, _) = listener.accept().await.expect("accepted connection");
            let mut buffer = [0; 4_096];
            while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {
                let body = page(calls.get());
                calls.set(calls.get() + 1);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if stream.write_all((head + &body).as_bytes()).await.is_err() {
                    break;
                }
            }
        }
    };
    let list = timeout(Duration::from_mins(1), store.list("keyed.op"));
    let local = LocalSet::new();
    let listed = Box::pin(local.run_until(async {
        tokio::select! {
            listed = list => listed.expect("an end of the listing"),
            () = serve => unreachable!("the store serves until the test ends"),
        }
    }));
    (listed.await, calls.get())
}

fn page(keys: &[String], value: &str, call: usize) -> String {
    let items = keys
        .iter()
        .map(|key| serde_json::json!({"key": key, "value": value, "offset": 1}));
    let has_more = call + 1 < CALLS_MAX;
    serde_json::json!({"items": items.collect::<Vec<_>>(), "has_more": has_more, "end_offset": 9}).to_string()
}

/// Guards against a listing that goes on for ever because the store sends the same page again and again.
#[tokio::test]
async fn listing_of_a_repeated_page_fails() {
    let (listed, calls) = Box::pin(list_pages(|call| page(&["k".to_owned()], "", call))).await;
    assert!(listed.is_err(), "{calls} calls");
    assert_eq!(calls, 2);
}

/// Guards against taking a part of a topic for all of it, and so dropping the upstreams of the other part, because the store
/// sends an empty page and says that more follow.
#[tokio::test]
async fn listing_with_an_empty_page_fails() {
    for full_pages in [0, 2] {
        let keys = |call| (call < full_pages).then(|| format!("k-{call}"));
        let (listed, calls) = Box::pin(list_pages(|call| page(keys(call).as_slice(), "", call))).await;
        assert!(listed.is_err(), "{listed:?}");
        assert_eq!(calls, full_pages + 1);
    }
}

/// Guards against a listing that goes on for ever with ever new keys.
#[tokio::test]
async fn listing_with_pages_without_end_fails() {
    let (listed, calls) = Box::pin(list_pages(|call| page(&[format!("k-{call}")], "", call))).await;
    assert!(listed.is_err(), "{calls} calls");
}

/// Guards against a listing that is kept whatever its size.
#[tokio::test]
async fn listing_of_large_values_without_end_fails() {
    let value = "rrrr".repeat(64 << 10);
    let (listed, calls) = Box::pin(list_pages(|call| page(&[format!("k-{call}")], &value, call))).await;
    assert!(listed.is_err(), "{calls} calls");
    assert!(calls < CALLS_MAX / 10, "{calls} calls");
}

/// Guards against reads without a pause of a topic that doesn't end and doesn't go on either.
#[test]
fn read_without_progress_fails() {
    let mut body = BytesMut::new();
    body.put_u64(u64::MAX);
    body.put_u64(0);
    assert!(decode_batch(Offset(4), body.freeze()).is_none());
}

/// Guards against a response that takes many times its size because its records are empty.
#[test]
fn read_of_empty_records_is_taken_in_parts() {
    let count = 1 << 20;
    let mut body = BytesMut::new();
    body.put_u64(count);
    body.put_u64(0);
    body.put_bytes(0, 4 * usize::try_from(count).expect("a small number"));
    let batch = decode_batch(Offset(0), body.freeze()).expect("a batch");
    assert_eq!(batch.records.len(), BATCH_RECORDS_MAX);
    assert_eq!(batch.next.0, u64::try_from(BATCH_RECORDS_MAX).expect("a small number"));
    assert!(!batch.is_last);
}

/// Guards against offsets that overflow.
#[test]
fn read_beyond_the_largest_offset_fails() {
    let mut body = BytesMut::new();
    body.put_u64(u64::MAX);
    body.put_u64(0);
    body.put_bytes(0, 8);
    assert!(decode_batch(Offset(u64::MAX), body.freeze()).is_none());
}
