//! Proper requests that a gateway must not reject as if they were wrong.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use super::{CONFIGURATION, Cluster, HOST_HEADER, Response, wait_for};

/// Time that callers wait for a response, longer than any timeout of these tests.
const ANSWER_MAX: Duration = Duration::from_secs(30);

/// A request to `renovaciones`, without the end of its head.
fn head(id: &str, headers: &str) -> String {
    format!("POST /renovaciones/7 HTTP/1.1\r\nHost: {HOST_HEADER}\r\nX-Ragworthub-Request-Id: {id}\r\n{headers}")
}

fn connect(cluster: &Cluster) -> TcpStream {
    let stream = TcpStream::connect(cluster.gateways[0].address).expect("a connection");
    stream.set_read_timeout(Some(ANSWER_MAX)).expect("a read timeout");
    stream
}

/// Reads one response without closing the connection; status 0 means that the connection ended.
fn read_response(stream: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count > 0) {
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut lines = text.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let headers = lines.filter_map(|line| line.split_once(": "));
    let mut response = Response {
        status: status.unwrap_or_default(),
        headers: headers
            .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
            .collect(),
        body: String::new(),
    };
    let length = response
        .headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or_default()];
    if stream.read_exact(&mut body).is_ok() {
        response.body = String::from_utf8_lossy(&body).into_owned();
    }
    response
}

/// Publishes the example configuration with a version and replaced texts.
fn publish(cluster: &Cluster, version: &str, replacements: &[(&str, &str)]) {
    let text = std::fs::read_to_string(CONFIGURATION).expect("the example configuration");
    let text = replacements
        .iter()
        .fold(text.replace("00000001", version), |text, (from, to)| {
            assert!(text.contains(from), "{from}");
            text.replace(from, to)
        });
    let file = cluster.directory.path().join("changed.json");
    std::fs::write(&file, text).expect("a configuration file");
    cluster.publish(&file);
}

fn check_late(cluster: &Cluster, id: &str, response: &Response) {
    let header = |name: &str| response.headers.get(name).map(String::as_str);
    assert_eq!(response.status, 408, "{id}: {:?}", response.headers);
    assert_eq!(header("ragworthub-reason"), Some("body-late"), "{id}");
    assert_eq!(header("ragworthub-verdict"), Some("not-run"), "{id}");
    assert_eq!(header("connection"), Some("close"), "{id}");
    let retry_after = header("retry-after").and_then(|text| text.parse::<f64>().ok());
    assert!(
        retry_after.is_some_and(|seconds| seconds < 0.5),
        "{id}: {retry_after:?}"
    );
    assert_eq!(cluster.run_count(id), 0, "{id}");
}

/// Guards against telling a caller whose body is late, for whatever reason, that its request is wrong. A caller doesn't
/// repeat a request after a 400.
#[test]
fn late_body_is_refused_with_a_status_that_permits_a_retry() {
    let cluster = Cluster::start(1);
    let parts = [
        ("length", "Content-Length: 10\r\n\r\n01234", "56789"),
        (
            "chunks",
            "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n",
            "5\r\n56789\r\n0\r\n\r\n",
        ),
        ("head", "Content-Length: 10\r\n\r\n", "0123456789"),
    ];
    for (id, first, rest) in parts {
        let mut stream = connect(&cluster);
        let text = head(id, &format!("X-Ragworthub-Deadline-Ms: 700\r\n{first}"));
        stream.write_all(text.as_bytes()).expect("a part of a request");
        let response = read_response(&mut stream);
        // The gateway may have closed the connection by now.
        let _ = stream.write_all(rest.as_bytes());
        check_late(&cluster, id, &response);
    }
    assert_eq!(cluster.call(0, "POST", "/renovaciones/7", "next", None).status, 200);
}

/// Guards against a reset that destroys the response to a late body because the caller still sends.
#[test]
fn response_to_a_late_body_reaches_a_caller_that_still_sends() {
    let cluster = Cluster::start(1);
    let mut stream = connect(&cluster);
    let text = head(
        "slow",
        "X-Ragworthub-Deadline-Ms: 700\r\nContent-Length: 9999999\r\n\r\n",
    );
    stream.write_all(text.as_bytes()).expect("a head");
    let mut sender = stream.try_clone().expect("a second handle");
    let sending = std::thread::spawn(move || {
        while sender.write_all(b"a piece of the body").is_ok() {
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    let response = read_response(&mut stream);
    // Ends the sending even if the gateway doesn't.
    let _ = stream.shutdown(Shutdown::Both);
    sending.join().expect("the sender");
    check_late(&cluster, "slow", &response);
}

/// Guards against the same for a body without a byte for 10 s, before its deadline.
#[test]
fn stalled_body_is_refused_with_a_status_that_permits_a_retry() {
    let cluster = Cluster::start(1);
    // The moved route shows that the configuration is in force.
    let changes = [("\"timeout\": \"2s\"", "\"timeout\": \"60s\""), ("/flotas/", "/moved/")];
    publish(&cluster, "00000002", &changes);
    wait_for("the timeout to be in force", || {
        (cluster.call(0, "GET", "/moved/1", "moved", None).status == 200).then_some(())
    });
    let started = Instant::now();
    let mut stream = connect(&cluster);
    let text = head("stalled", "Content-Length: 10\r\n\r\n01234");
    stream.write_all(text.as_bytes()).expect("a part of a request");
    let response = read_response(&mut stream);
    check_late(&cluster, "stalled", &response);
    // Not the former timeout of 2 s, which would end the request in the same way.
    let waited = started.elapsed();
    assert!(waited >= Duration::from_secs(9), "{waited:?}");
}

/// Guards against a body that is invalid, or that the caller has ended, and for which the caller is told to come back.
#[test]
fn invalid_body_is_the_callers_fault() {
    let cluster = Cluster::start(1);
    let bodies = [
        ("bad-chunk", "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\nzz\r\n"),
        ("ended", "Content-Length: 10\r\n\r\n01234"),
    ];
    for (id, rest) in bodies {
        let mut stream = connect(&cluster);
        stream.write_all(head(id, rest).as_bytes()).expect("a request");
        stream.shutdown(Shutdown::Write).expect("an end");
        let response = read_response(&mut stream);
        assert_eq!(response.status, 400, "{id}: {:?}", response.headers);
        assert_eq!(response.headers["ragworthub-reason"], "body-incomplete", "{id}");
        assert!(!response.headers.contains_key("retry-after"), "{id}");
        assert_eq!(cluster.run_count(id), 0, "{id}");
    }
}

/// Guards against blaming the caller for a body that arrived in time while the process was held up.
#[test]
fn body_that_waited_for_a_stopped_process_is_not_called_late() {
    let cluster = Cluster::start(1);
    let body = "x".repeat(60_000);
    let bodies = [
        ("length", "Content-Length: 60000\r\n", body.clone()),
        (
            "chunks",
            "Transfer-Encoding: chunked\r\n",
            format!("ea60\r\n{body}\r\n0\r\n\r\n"),
        ),
    ];
    for (id, framing, body) in bodies {
        let mut stream = connect(&cluster);
        let headers = format!("Expect: 100-continue\r\nX-Ragworthub-Deadline-Ms: 2000\r\n{framing}\r\n");
        stream.write_all(head(id, &headers).as_bytes()).expect("a head");
        assert_eq!(
            read_response(&mut stream).status,
            100,
            "{id}: the gateway doesn't read the body"
        );
        cluster.gateways[0].signal("STOP");
        stream.write_all(body.as_bytes()).expect("a body");
        // Longer than the deadline.
        std::thread::sleep(Duration::from_millis(2_200));
        cluster.gateways[0].signal("CONT");
        let response = read_response(&mut stream);
        assert_eq!(response.status, 503, "{id}: {:?}", response.headers);
        assert_eq!(response.headers["ragworthub-verdict"], "not-run", "{id}");
        assert!(response.headers.contains_key("retry-after"), "{id}");
        assert_eq!(cluster.run_count(id), 0, "{id}");
    }
}

/// Returns headers without a value.
fn short_headers(count: usize, name: impl Fn(usize) -> String) -> String {
    let lines: Vec<String> = (0..count).map(|number| format!("{}:\r\n", name(number))).collect();
    lines.concat()
}

/// Guards against a head that is rejected for its number of headers although that is below the documented limit.
#[test]
fn head_inside_the_limits_may_have_hundreds_of_headers() {
    let cluster = Cluster::start(1);
    let name = |number| format!("x{number:x}");
    for (id, count, name) in [
        ("some", 150, &name as &dyn Fn(usize) -> String),
        // Four more are in the start of the head.
        ("different", 508, &name),
        ("same", 508, &|_| "x".to_owned()),
    ] {
        let start = head(id, "Content-Length: 0\r\nConnection: close\r\n");
        let text = format!("{start}{}\r\n", short_headers(count, name));
        let response = super::exchange(cluster.gateways[0].address, &text);
        assert_eq!(response.status, 200, "{id}: {:?}", response.headers);
        assert_eq!(cluster.run_count(id), 1, "{id}");
    }
}

/// Guards against request smuggling with a second body length that stands behind more headers than are parsed in search
/// of it.
#[test]
fn second_body_length_after_many_headers_is_found() {
    let cluster = Cluster::start(1);
    let headers = short_headers(240, |number| format!("x{number:x}"));
    for (id, headers) in [
        (
            "last",
            format!("Transfer-Encoding: chunked\r\n{headers}Content-Length: 5\r\n"),
        ),
        (
            "between",
            format!("{headers}Content-Length: 5\r\n{headers}Transfer-Encoding: chunked\r\n"),
        ),
    ] {
        let text = format!("{}Connection: close\r\n\r\n0\r\n\r\n", head(id, &headers));
        assert_eq!(super::exchange(cluster.gateways[0].address, &text).status, 400, "{id}");
        assert_eq!(cluster.run_count(id), 0, "{id}");
    }
}

/// Sends a request with a head of about this many bytes and reads the response.
fn call_with_head(stream: &mut TcpStream, id: &str, bytes: usize) -> Response {
    let filler = format!("Content-Length: 0\r\nFiller: {}\r\n\r\n", "x".repeat(bytes));
    // The gateway may have closed the connection.
    let _ = stream.write_all(head(id, &filler).as_bytes());
    read_response(stream)
}

/// Waits until new connections accept heads of about this many bytes, or reject them.
fn wait_for_head_limit(cluster: &Cluster, version: &str, bytes: usize, status: u16) {
    let mut number = 0;
    wait_for("the new limit on heads", || {
        number += 1;
        let id = format!("new-{version}-{number}");
        let response = call_with_head(&mut connect(cluster), &id, bytes);
        (response.status == status).then_some(())
    });
}

/// Guards against a kept connection that rejects heads which the configuration allows since a change, and against closing
/// connections that a change doesn't concern.
#[test]
fn kept_connection_follows_the_limit_on_heads() {
    let cluster = Cluster::start(1);
    let mut kept = connect(&cluster);
    assert_eq!(call_with_head(&mut kept, "kept-1", 100).status, 200);
    publish(
        &cluster,
        "00000002",
        &[("\"max_header_bytes\": 16384", "\"max_header_bytes\": 32768")],
    );
    wait_for_head_limit(&cluster, "2", 20_000, 200);
    let response = call_with_head(&mut kept, "kept-2", 20_000);
    assert!(
        matches!(response.status, 0 | 200),
        "the kept connection got {}",
        response.status
    );
    assert_eq!(cluster.run_count("kept-2"), u64::from(response.status == 200));

    let mut kept = connect(&cluster);
    assert_eq!(call_with_head(&mut kept, "kept-3", 20_000).status, 200);
    publish(&cluster, "00000003", &[]);
    wait_for_head_limit(&cluster, "3", 20_000, 431);
    assert_eq!(call_with_head(&mut kept, "kept-4", 100).status, 200);
}

/// Guards against cutting a request that is being served when the limits on callers change.
#[test]
fn change_of_limits_breaks_no_request() {
    let cluster = Cluster::start_with(1, 3, &["--work-ms", "1500", "--slots", "64"]);
    publish(&cluster, "00000002", &[("\"timeout\": \"2s\"", "\"timeout\": \"20s\"")]);
    // Longer than hosts take to read a configuration.
    std::thread::sleep(Duration::from_secs(2));
    let limits = ("\"max_header_bytes\": 16384", "\"max_header_bytes\": 32768");
    publish(
        &cluster,
        "00000003",
        &[limits, ("\"timeout\": \"2s\"", "\"timeout\": \"20s\"")],
    );
    let start = Instant::now();
    let mut number = 0;
    // Requests are being served at each moment until the change has come into force.
    std::thread::scope(|scope| {
        while start.elapsed() < Duration::from_secs(3) {
            number += 1;
            let cluster = &cluster;
            scope.spawn(move || {
                let response = call_with_head(&mut connect(cluster), &format!("during-{number}"), 100);
                assert_eq!(response.status, 200, "during-{number}: {:?}", response.headers);
            });
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    wait_for_head_limit(&cluster, "3", 20_000, 200);
}

/// Guards against a response that lets the caller keep a connection which the gateway closes, and against a reset while
/// the caller sends, because a request was refused before its body was read.
#[test]
fn refusal_before_the_body_announces_the_end_of_the_connection() {
    let cluster = Cluster::start(1);
    let mut stream = connect(&cluster);
    let text = head("unread", "Content-Length: 10\r\n\r\n").replace("/renovaciones/", "/none/");
    stream.write_all(text.as_bytes()).expect("a head");
    let response = read_response(&mut stream);
    assert_eq!(response.status, 404);
    assert_eq!(response.headers.get("connection").map(String::as_str), Some("close"));
    stream.write_all(b"0123456789").expect("a body");
    // The connection ends without a reset.
    assert_eq!(stream.read(&mut [0]).expect("the end of the connection"), 0);
}
