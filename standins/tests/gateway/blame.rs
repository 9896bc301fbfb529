//! Answers that would tell a caller that its request is wrong, or has not run, although the caller can't be the cause.

use std::io::Write;
use std::time::Duration;

use super::Cluster;
use super::hostile::{append_record, entry, start_raw_server, start_with_raw_server};

const SIGNED: &str = "X-Ragworthub-Response-Signature: raw\r\n";
const NOT_EXECUTED: &str = "X-Ragworthub-Not-Executed: 1\r\n";

/// Builds the response to a request whose id is `NAME-STATUS-HEADER-...`, where the header is `signed`, `refused` or
/// `plain`. Requests with other ids, such as health checks, succeed.
fn respond(id: &str) -> String {
    let parts: Vec<&str> = id.split('-').collect();
    let (status, header) = match parts[..] {
        [_, status, "signed", ..] => (status, SIGNED),
        [_, status, "refused", ..] => (status, NOT_EXECUTED),
        [_, status, "plain", ..] => (status, ""),
        _ => ("200", SIGNED),
    };
    format!(
        "HTTP/1.1 {status} Status\r\nX-Ragworthub-Request-Id: {id}\r\nX-Ragworthub-Instance-Id: raw\r\n{header}\
         Location: /elsewhere\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Guards against a status of an upstream that didn't sign it, which a caller takes for the gateway's own: a 3xx or 4xx
/// ends the caller's retries, and 408, 429 and 503 promise that the request has not run.
#[test]
fn unsigned_status_neither_blames_nor_promises() {
    let cluster = start_with_raw_server(|stream, ids| {
        for id in ids {
            if stream.write_all(respond(&id).as_bytes()).is_err() {
                return;
            }
        }
    });
    let cases = [
        ("301", "plain", 502),
        ("308", "plain", 502),
        ("400", "plain", 502),
        ("404", "plain", 502),
        ("408", "plain", 502),
        ("413", "plain", 502),
        ("429", "plain", 502),
        ("503", "plain", 502),
        ("600", "plain", 502),
        ("500", "plain", 500),
        ("302", "signed", 302),
        ("404", "signed", 404),
        ("503", "signed", 503),
        ("400", "refused", 503),
        ("429", "refused", 503),
        ("503", "refused", 503),
        ("421", "plain", 503),
    ];
    for (status, header, expected) in cases {
        let id = format!("b-{status}-{header}");
        let response = cluster.call(0, "POST", "/renovaciones/7", &id, None);
        assert_eq!(response.status, expected, "{id}: {:?}", response.headers);
        let verdict = response.headers.get("ragworthub-verdict").map(String::as_str);
        match expected {
            502 => assert_eq!(verdict, Some("may-have-run"), "{id}"),
            503 if header != "signed" => assert_eq!(verdict, Some("not-run"), "{id}"),
            _ => assert_eq!(verdict, None, "{id}"),
        }
        assert!(
            expected != 502 || !response.headers.contains_key("retry-after"),
            "{id}: {:?}",
            response.headers
        );
        // Successes in between keep the server from being left out.
        for number in 0..8 {
            let response = cluster.call(0, "POST", "/renovaciones/7", &format!("ok{number}"), None);
            assert_eq!(response.status, 200, "after {id}");
        }
    }
}

/// Guards against answering a request that may be repeated with the unsigned 404 of one server, although another server
/// would serve it.
#[test]
fn unsigned_status_is_retried_at_another_server() {
    let cluster = Cluster::start_with(1, 1, &[]);
    let address = start_raw_server(|stream, ids| {
        for id in ids {
            if stream.write_all(respond(&id).as_bytes()).is_err() {
                return;
            }
        }
    });
    append_record(&cluster, "raw", entry(&address.to_string()).to_string().as_bytes());
    // A gateway that has just started doesn't repeat what may have run.
    std::thread::sleep(Duration::from_secs(4));
    for number in 0..20 {
        let response = cluster.call(0, "GET", "/flotas/7", &format!("b-404-plain-{number}"), None);
        assert_eq!(response.status, 200, "request {number}");
    }
}
