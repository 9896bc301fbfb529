//! Bad input at each door: callers, operators, peers, and the log.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use serde_json::json;
use support::{
    Answer, CREDENTIAL, Host, Process, get, operate, operate_at, publish, report, send, start_host, start_platform,
    start_upstream, wait_for,
};

const ROUTES: &str = "
- { name: placas, prefix: /placas/, callers: { names: [ventanilla] }, pool: placas, key: { segment: 0 } }
- name: padrones
  prefix: /padrones/
  callers: { names: [ventanilla] }
  pool: padrones
  body_max: 1000 B
  deadline: 600ms
- { name: largo, prefix: /largo/, callers: { names: [ventanilla] }, pool: padrones, deadline: 30s }
";

/// One host with one upstream in each of two pools.
struct Deployment {
    platform: Process,
    host: Host,
    placas: Process,
    padrones: Process,
}

fn describe_pool(name: &str, ownership: &str, address: SocketAddr) -> String {
    format!(
        "{name}:\n  ownership: {ownership}\n  trusted_refusals: true\n  upstreams:\n    \
         {name}-0: {{ host: {name}-host, zone: a, address: '{address}', slots: 4, connections: 100 }}\n"
    )
}

fn start_deployment() -> Deployment {
    let platform = start_platform();
    let host = start_host("entry-a", "a", platform.address);
    let placas = start_upstream("placas-0", "127.0.0.1:0", &[]);
    let padrones = start_upstream("padrones-0", "127.0.0.1:0", &[]);
    let pools = [
        describe_pool("placas", "fenced", placas.address),
        describe_pool("padrones", "shared", padrones.address),
    ];
    publish(std::slice::from_ref(&host), ROUTES, &pools.concat());
    Deployment {
        platform,
        host,
        placas,
        padrones,
    }
}

impl Deployment {
    fn callers(&self) -> SocketAddr {
        self.host.process.address
    }

    /// Number of requests that the upstreams have run.
    fn ran(&self) -> u64 {
        let upstreams = [&self.placas, &self.padrones];
        upstreams
            .map(|u| report(u.address)["ran"].as_u64().unwrap())
            .iter()
            .sum()
    }

    /// Checks that nothing ran so far, and that the host serves after what it was sent.
    fn check_serving(&self) {
        assert_eq!(self.ran(), 0);
        let path = "/padrones/after";
        let answer = wait_for("an answer", || get(self.callers(), path).filter(|a| a.status == 200));
        assert_eq!(answer.verdict, "ran");
    }
}

/// Sends bytes as they are and reads the head of the answer, or less if the host closes.
///
/// The sending side stays open: a host gives up a request whose caller has closed it.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    // The host may refuse and close before it has read everything.
    stream.write_all(bytes).ok();
    read_head(&mut stream)
}

fn read_head(stream: &mut TcpStream) -> Vec<u8> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).is_ok() {
        head.extend(byte);
    }
    head
}

/// Sends bytes as they are, ends the sending side, and waits until the host closes.
fn send_cut(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(bytes).ok();
    stream.shutdown(Shutdown::Write).ok();
    // The host may reset the connection; the test looks at what the upstream did.
    stream.read_to_end(&mut Vec::new()).ok();
}

fn status_of(answer: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(answer);
    text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

fn check_refusal(answer: &Answer, status: u16, reason: &str) {
    let found = (answer.status, answer.reason.as_str(), answer.verdict.as_str());
    assert_eq!(found, (status, reason, "not-run"), "{answer:?}");
    assert_eq!(answer.json()["reason"], reason);
}

/// Guards against a head that crashes the host or reaches an upstream.
#[test]
fn malformed_and_oversized_heads_are_refused() {
    let deployment = start_deployment();
    let caller = "ragworthub-caller: ventanilla\r\n";
    let long = "x".repeat(1 << 20);
    let many = "x: 1\r\n".repeat(500);
    let cases = [
        ("no HTTP\r\n\r\n".to_owned(), 400),
        (format!("GET /padrones/1 HTTP/1.1\r\n{caller}bad header\r\n\r\n"), 400),
        (format!("GET /padrones/\u{1} HTTP/1.1\r\n{caller}\r\n"), 400),
        (
            format!("POST /padrones/1 HTTP/1.1\r\n{caller}content-length: 5x\r\n\r\n12345"),
            400,
        ),
        (
            format!("POST /padrones/1 HTTP/1.1\r\n{caller}content-length: 5\r\ncontent-length: 6\r\n\r\n12345"),
            400,
        ),
        (format!("GET /padrones/1 HTTP/1.1\r\n{caller}{many}\r\n"), 431),
        (format!("GET /padrones/1 HTTP/1.1\r\n{caller}long: {long}\r\n\r\n"), 431),
        (format!("BREW /padrones/1 HTTP/1.1\r\n{caller}\r\n"), 405),
        (format!("GET /padrones/../1 HTTP/1.1\r\n{caller}\r\n"), 400),
    ];
    for (head, status) in cases {
        let answer = send_raw(deployment.callers(), head.as_bytes());
        let start: String = head.chars().take(80).collect();
        // A host that closes with unread input resets the connection, which may lose its answer.
        if !answer.is_empty() || head.len() < 10_000 {
            assert_eq!(status_of(&answer), Some(status), "{start}");
        }
    }
    deployment.check_serving();
}

/// Guards against requests that can't be routed and run, or don't say that they did not run.
#[test]
fn requests_without_a_route_caller_or_key_say_not_run() {
    let deployment = start_deployment();
    let caller = [("ragworthub-caller", "ventanilla")];
    let long_key = format!("/placas/{}", "x".repeat(513));
    let long_body = "x".repeat(1001);
    let long_name = "x".repeat(256);
    let long_idempotency_key = [caller[0], ("idempotency-key", long_name.as_str())];
    let cases = [
        ("GET", "/nowhere", &caller[..], "", 404, "no-route"),
        ("GET", "/placas/", &caller, "", 400, "key-missing"),
        ("GET", &long_key, &caller, "", 400, "key-too-long"),
        ("GET", "/padrones/1", &[], "", 401, "caller-missing"),
        (
            "GET",
            "/padrones/1",
            &[("ragworthub-caller", "\u{f1}")],
            "",
            400,
            "bad-header",
        ),
        (
            "GET",
            "/padrones/1",
            &[("ragworthub-caller", "x")],
            "",
            403,
            "caller-not-admitted",
        ),
        ("POST", "/padrones/1", &caller, &long_body, 413, "body-too-large"),
        ("POST", "/padrones/1", &long_idempotency_key, "", 400, "bad-header"),
    ];
    for (method, path, headers, body, status, reason) in cases {
        let answer = send(method, deployment.callers(), path, headers, body).expect("a whole answer");
        check_refusal(&answer, status, reason);
    }
    let metrics = read_metrics(&deployment.host);
    assert!(metrics.contains("reason=\"body-too-large\""), "{metrics}");
    deployment.check_serving();
}

/// Guards against a body without an announced length that passes the limit unseen.
#[test]
fn a_chunked_body_that_is_too_large_says_not_run() {
    let deployment = start_deployment();
    let body = format!("3e9\r\n{}\r\n0\r\n\r\n", "x".repeat(1001));
    let head = "POST /padrones/1 HTTP/1.1\r\nragworthub-caller: ventanilla\r\ntransfer-encoding: chunked\r\n\r\n";
    let answer = send_raw(deployment.callers(), format!("{head}{body}").as_bytes());
    let text = String::from_utf8_lossy(&answer);
    assert_eq!(status_of(&answer), Some(413), "{text}");
    assert!(text.contains("ragworthub-verdict: not-run"), "{text}");
    deployment.check_serving();
}

/// Guards against a cut body that reaches an upstream as if it were whole.
#[test]
fn a_body_cut_short_does_not_run() {
    let deployment = start_deployment();
    for body in [
        "content-length: 100\r\n\r\n12345",
        "transfer-encoding: chunked\r\n\r\n5\r\n123",
    ] {
        let head = "POST /padrones/1 HTTP/1.1\r\nragworthub-caller: ventanilla\r\n";
        send_cut(deployment.callers(), format!("{head}{body}").as_bytes());
    }
    deployment.check_serving();
}

/// Guards against slow senders that hold the host, and against a refusal that hides that the
/// request did not run.
#[test]
fn slow_senders_are_refused_and_hold_nobody_up() {
    let deployment = start_deployment();
    let connect = || TcpStream::connect(deployment.callers()).unwrap();
    let mut idle: Vec<TcpStream> = (0..50).map(|_| connect()).collect();
    for stream in &mut idle {
        stream.write_all(b"GET /padrones/1 HT").unwrap();
    }
    let mut slow = connect();
    slow.write_all(
        b"POST /padrones/1 HTTP/1.1\r\nragworthub-caller: ventanilla\r\nconnection: close\r\n\
          content-length: 100\r\n\r\n12345",
    )
    .unwrap();
    slow.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let answer = read_head(&mut slow);
    let text = String::from_utf8_lossy(&answer);
    assert_eq!(status_of(&answer), Some(400), "{text}");
    assert!(text.contains("ragworthub-verdict: not-run"), "{text}");
    assert!(text.contains("ragworthub-reason: body-incomplete"), "{text}");
    deployment.check_serving();
}

fn call_operators(host: &Host, method: &str, path: &str, credential: Option<&str>, body: &str) -> Answer {
    let bearer = credential.map(|c| format!("Bearer {c}"));
    let mut headers = vec![("content-type", "application/json")];
    headers.extend(bearer.as_deref().map(|value| ("authorization", value)));
    send(method, host.operators, path, &headers, body).expect("a whole answer")
}

fn read_metrics(host: &Host) -> String {
    call_operators(host, "GET", "/metrics", Some(CREDENTIAL), "").body
}

const OPERATOR_CALLS: [(&str, &str); 6] = [
    ("GET", "/v1/status"),
    ("GET", "/v1/ownership"),
    ("GET", "/v1/capacity?scope=zone&name=a"),
    ("GET", "/v1/changes/00000000-0000-0000-0000-000000000000"),
    ("POST", "/v1/changes"),
    ("GET", "/metrics"),
];

/// Guards against a call of the operator API that works without the credential, or that reads
/// what it was sent before it checks the credential.
#[test]
fn the_operator_api_needs_the_credential() {
    let deployment = start_deployment();
    let same_length = "x".repeat(CREDENTIAL.len());
    let before = operate(&deployment.host, &["status"]).1;
    for (method, path) in OPERATOR_CALLS {
        for credential in [None, Some(""), Some("wrong"), Some(&same_length), Some("test-peers")] {
            let answer = call_operators(&deployment.host, method, path, credential, "no JSON");
            assert_eq!(answer.status, 401, "{method} {path} {credential:?}");
            assert!(!answer.body.contains(CREDENTIAL), "{answer:?}");
        }
    }
    let after = operate(&deployment.host, &["status"]).1;
    assert_eq!(before["tables_version"], after["tables_version"]);
}

/// Guards against an answer of the operator API that shows a secret.
#[test]
fn the_operator_api_shows_no_secrets() {
    let deployment = start_deployment();
    for (method, path) in OPERATOR_CALLS {
        let answer = call_operators(&deployment.host, method, path, Some(CREDENTIAL), "no JSON");
        for secret in [CREDENTIAL, "test-peers"] {
            assert!(!answer.body.contains(secret), "{method} {path}: {}", answer.body);
        }
    }
}

/// Guards against operator calls that change something although they are wrong.
#[test]
fn wrong_operator_calls_change_nothing() {
    let deployment = start_deployment();
    let host = &deployment.host;
    let version = operate(host, &["status"]).1["tables_version"].clone();
    let call = |method, path, body: &str| call_operators(host, method, path, Some(CREDENTIAL), body);
    assert_eq!(call("GET", "/v1/no-such-call", "").status, 404);
    assert_eq!(call("DELETE", "/v1/status", "").status, 405);
    assert_eq!(call("GET", "/v1/changes/no-id", "").status, 400);
    assert_eq!(call("GET", "/v1/capacity?scope=planet&name=a", "").status, 400);
    for body in ["", "no JSON", "{}", "[1]", "{\"id\":7}"] {
        let answer = call("POST", "/v1/changes", body);
        assert_eq!(answer.status, 400, "{body}: {answer:?}");
        assert!(answer.body.contains("change can't be read"), "{answer:?}");
    }
    let large = "x".repeat((1 << 20) + 1);
    assert_eq!(call("POST", "/v1/changes", &large).status, 413);
    let upstream = json!({ "host": "h", "zone": "a", "address": "127.0.0.1:1", "slots": 0, "connections": 1 });
    let pools = json!({ "p": { "ownership": "shared", "upstreams": { "u": upstream } } });
    let tables = json!({ "routes": [], "pools": pools });
    let publish = json!({ "publish": tables });
    let target = json!({ "scope": "zone", "name": "nowhere" });
    let service = json!({ "set-service": { "target": target, "in_service": false } });
    for (change, why) in [(publish, "at least 1 slot"), (service, "nowhere")] {
        let id = "11111111-1111-4111-8111-111111111111";
        let request = json!({ "id": id, "author": "eva", "change": change });
        let answer = call("POST", "/v1/changes", &request.to_string());
        assert_eq!((answer.status, &answer.json()["result"]), (200, &"refused".into()));
        assert!(answer.body.contains(why), "{answer:?}");
    }
    let after = operate(host, &["status"]).1;
    assert_eq!(after["tables_version"], version);
    assert_eq!(after["out_of_service"], json!([]));
    deployment.check_serving();
}

/// Guards against hosts that stop or differ after log records that don't parse.
#[test]
fn records_that_do_not_parse_are_skipped_alike() {
    let deployment = start_deployment();
    let other = start_host("entry-b", "b", deployment.platform.address);
    let hosts = [&deployment.host, &other];
    let append = |data: &str| {
        let path = "/v1/streams/ragworthub/records";
        let answer = send("POST", deployment.platform.address, path, &[], data).unwrap();
        answer.json()["offset"].as_u64().unwrap()
    };
    let garbage = [
        "",
        "no JSON",
        "{}",
        "[]",
        "\u{0}",
        "{\"id\":1,\"author\":\"x\",\"body\":{\"kind\":\"?\"}}",
    ];
    let last = garbage.map(append)[garbage.len() - 1];
    for host in hosts {
        wait_for("the records to be folded", || {
            let status = operate(host, &["status"]).1;
            status["folded"].as_u64().filter(|folded| *folded >= last)
        });
        let metrics = read_metrics(host);
        let line = format!("ragworthub_log_records_skipped_total {}", garbage.len());
        assert!(metrics.contains(&line), "{metrics}");
    }
    // Both hosts fold what comes after.
    let (code, result) = operate(&other, &["service", "out", "host", "placas-host"]);
    assert_eq!(code, 0, "{result}");
    for host in hosts {
        wait_for("the change at each host", || {
            let status = operate(host, &["status"]).1;
            (status["service_version"] == result["version"]).then_some(())
        });
    }
    deployment.check_serving();
}

/// Bytes of an HTTP/2 call to a peer with a credential and no message.
fn build_peer_call(credential: &str) -> Vec<u8> {
    let mut block = vec![0x83, 0x86];
    let headers = [
        (":path", "/ragworthub.Peers/ExchangeHeartbeat"),
        (":authority", "peer"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
        ("ragworthub-peer-credential", credential),
    ];
    for (name, value) in headers {
        // A literal header without indexing and without Huffman code.
        block.push(0);
        for text in [name, value] {
            block.push(u8::try_from(text.len()).unwrap());
            block.extend(text.as_bytes());
        }
    }
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend([0, 0, 0, 4, 0, 0, 0, 0, 0]);
    bytes.extend([0, 0, u8::try_from(block.len()).unwrap(), 1, 5, 0, 0, 0, 1]);
    bytes.extend(block);
    bytes
}

/// Calls a peer over HTTP/2 and gives the headers of its answer as they were sent.
fn call_peer(address: SocketAddr, credential: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(&build_peer_call(credential)).unwrap();
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head).expect("a frame before the end");
        let [_, high, low, kind, ..] = head;
        let mut payload = vec![0; usize::from(u16::from_be_bytes([high, low]))];
        stream.read_exact(&mut payload).unwrap();
        // Type 1 is a frame with headers.
        if kind == 1 {
            return payload;
        }
    }
}

/// Guards against a host that listens to a peer without the credential.
#[test]
fn peers_with_a_wrong_credential_are_refused() {
    let deployment = start_deployment();
    let address = deployment.host.peers;
    // Status 16 (unauthenticated) in the Huffman code of HTTP/2 headers.
    let unauthenticated = [0x82, 0x0b, 0x9f];
    let is_refused = |credential: &str| {
        let headers = call_peer(address, credential);
        headers.windows(3).any(|bytes| bytes == unauthenticated)
    };
    for wrong in ["", "wrong", "test-peerz", CREDENTIAL] {
        assert!(is_refused(wrong), "{wrong:?}");
    }
    assert!(!is_refused("test-peers"));
    send_cut(address, b"GET / HTTP/1.1\r\n\r\n");
    send_cut(address, &[0xff; 10_000]);
    deployment.check_serving();
}

/// Guards against a conflict that doesn't say who came first.
#[test]
fn a_conflict_names_author_and_version() {
    let deployment = start_deployment();
    let host = &deployment.host;
    let change = ["service", "out", "host", "placas-host", "--author"];
    let (code, first) = operate(host, &[&change[..], &["ana", "--base", "0"]].concat());
    assert_eq!(code, 0, "{first}");
    let (code, second) = operate(host, &[&change[..], &["luis", "--base", "0"]].concat());
    assert_eq!(code, 3, "{second}");
    assert_eq!(
        (&second["author"], &second["version"]),
        (&"ana".into(), &first["version"])
    );
    let (code, found) = operate(host, &["change", second["change"].as_str().unwrap()]);
    assert_eq!((code, &found["author"]), (3, &"ana".into()));
}

/// Guards against a zone or host that is taken out by a wrong name or without room for its load.
#[test]
fn service_out_checks_the_name_and_the_load() {
    let deployment = start_deployment();
    let host = &deployment.host;
    let (code, result) = operate(host, &["service", "out", "zone", "nowhere"]);
    assert_eq!((code, &result["result"]), (5, &"refused".into()));
    assert_eq!(operate(host, &["service", "in", "host", "nobody"]).0, 5);
    let address = deployment.callers();
    let slow = std::thread::spawn(move || get(address, "/largo/1?sleep_ms=5000"));
    wait_for("the request to run", || (deployment.ran() == 1).then_some(()));
    let out = ["service", "out", "host", "padrones-host"];
    let (code, result) = operate(host, &out);
    assert_eq!((code, &result["result"]), (6, &"overload".into()), "{result}");
    assert_eq!(
        result["capacity"]["pools"]["padrones"],
        json!({ "remaining": 0, "in_use": 1 })
    );
    assert_eq!(operate(host, &["status"]).1["out_of_service"], json!([]));
    let (code, result) = operate(host, &[&out[..], &["--force"]].concat());
    assert_eq!((code, &result["result"]), (0, &"applied".into()), "{result}");
    assert_eq!(slow.join().unwrap().expect("a whole answer").status, 200);
}

/// Guards against a request that is counted twice in the status and in the wait of a planned stop.
#[test]
fn status_counts_each_request_once() {
    let deployment = start_deployment();
    let address = deployment.callers();
    let in_flight = || operate(&deployment.host, &["status"]).1["in_flight"].clone();
    let slow = std::thread::spawn(move || get(address, "/largo/1?sleep_ms=2000"));
    wait_for("the request to run", || (deployment.ran() == 1).then_some(()));
    assert_eq!(in_flight(), 1);
    assert_eq!(slow.join().unwrap().expect("a whole answer").status, 200);
    wait_for("the end of the request", || (in_flight() == 0).then_some(()));
}

/// Passes one call on to a host and drops the answer.
fn lose_one_answer(host: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut caller, _) = listener.accept().unwrap();
        let mut onward = TcpStream::connect(host).unwrap();
        let mut answer = onward.try_clone().unwrap();
        let back = caller.try_clone().unwrap();
        // The first bytes of the answer show that the host has made the change.
        std::thread::spawn(move || {
            answer.read_exact(&mut [0; 1]).unwrap();
            back.shutdown(Shutdown::Both).unwrap();
        });
        std::io::copy(&mut caller, &mut onward).ok();
    });
    address
}

/// Guards against a change that is made twice or given up because its answer was lost.
#[test]
fn a_change_whose_answer_was_lost_is_found_by_its_id() {
    let deployment = start_deployment();
    let host = deployment.host.operators;
    let out = ["service", "out", "host", "placas-host", "--force"];
    let (code, result) = operate_at(&[host, lose_one_answer(host)], &out);
    assert_eq!((code, result.get("asked_again")), (0, None), "{result}");
    let back = ["service", "in", "host", "placas-host"];
    let (code, result) = operate_at(&[lose_one_answer(host), host], &back);
    assert_eq!((code, &result["result"]), (0, &"applied".into()), "{result}");
    assert!(result["asked_again"].is_string(), "{result}");
    let (code, unknown) = operate_at(&[host], &["change", "00000000-0000-4000-8000-000000000000"]);
    assert_eq!((code, &unknown["result"]), (4, &"unknown".into()));
}

/// Guards against a status that hides one of several hosts, and filters that hide ranges.
#[test]
fn status_and_ownership_show_what_was_asked_for() {
    let deployment = start_deployment();
    let host = &deployment.host;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let (code, reports) = operate_at(&[host.operators, closed], &["status"]);
    assert_eq!(
        (code, reports[0]["status"]["tables_author"].as_str()),
        (1, Some("operator"))
    );
    assert!(
        reports[1]["error"].as_str().unwrap().contains("can't be reached"),
        "{reports}"
    );
    let count = |arguments: &[&str]| {
        let (code, ranges) = operate(host, &[&["ownership"], arguments].concat());
        assert_eq!(code, 0, "{ranges}");
        ranges.as_array().map_or(0, Vec::len)
    };
    wait_for("ranges with owners", || (count(&[]) > 0).then_some(()));
    assert_eq!(count(&["--pool", "placas"]), count(&[]));
    assert_eq!(count(&["--upstream", "placas-0"]), count(&[]));
    assert_eq!(count(&["--pool", "padrones"]), 0);
    assert_eq!(count(&["--pool", "placas", "--upstream", "other"]), 0);
}
