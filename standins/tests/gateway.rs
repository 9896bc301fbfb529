//! The gateway as real processes between an ordinary HTTP client and the stand-ins of the platform.

mod support;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};
use support::{Process, start_program, wait_for};
use tempfile::TempDir;

const HOST: &str = "licencias.example";

/// A store, three servers of each service and some gateways.
struct Site {
    store: Process,
    servers: Vec<(String, Process)>,
    gateways: Vec<Process>,
    ready: Vec<SocketAddr>,
    folder: TempDir,
}

struct Answer {
    status: u16,
    headers: BTreeMap<String, String>,
    body: String,
}

impl Site {
    fn start(gateways: usize) -> Self {
        let store = start_program("store", &["--listen", "127.0.0.1:0"]);
        let mut site = Self {
            store,
            servers: Vec::new(),
            gateways: Vec::new(),
            ready: Vec::new(),
            folder: TempDir::new().expect("a folder"),
        };
        for service in ["placas", "renovaciones"] {
            for number in 0..3 {
                site.start_server(service, &format!("{service}-{number}"));
            }
        }
        site.publish();
        for number in 0..gateways {
            site.start_gateway(number);
        }
        for ready in &site.ready {
            wait_for("a gateway to be ready", || {
                (get(*ready, "/ready", "1").status == 200).then_some(())
            });
        }
        for number in 0..gateways {
            wait_for("all keys to have owners", || {
                let served = |key: u16| {
                    site.call(number, "GET", "/placas/1", &format!("w{key}"), Some(key))
                        .status
                        == 200
                };
                (0..16).all(|part| served(part * 4_096)).then_some(())
            });
        }
        site
    }

    fn start_server(&mut self, service: &str, name: &str) {
        let store = self.store.address.to_string();
        let mut arguments = vec!["--name", name, "--service", service, "--store", &store];
        if service == "placas" {
            arguments.push("--sharded");
        }
        let server = start_program("server", &arguments);
        self.servers.push((name.to_owned(), server));
    }

    fn publish(&self) {
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/platform/configuration.json");
        let store = self.store.address.to_string();
        let status = std::process::Command::new(env!("CARGO_BIN_EXE_operator"))
            .args(["--store", &store, "--file", file])
            .status();
        assert!(status.expect("the operator's command").success());
    }

    fn start_gateway(&mut self, number: usize) {
        let any = "127.0.0.1:0";
        let settings = format!(
            "host: front-{number}\nzone: zone-a\nlisten:\n  callers: {any}\n  ready: {any}\n  \
             peers: {any}\n  metrics: {any}\nstore: {}\nbounds:\n  - \"grace=6s\"\n",
            self.store.address
        );
        let path = self.folder.path().join(format!("front-{number}.yaml"));
        std::fs::write(&path, settings).expect("a settings file");
        let path = path.display().to_string();
        let (gateway, ready) = support::start_gateway(&path);
        self.gateways.push(gateway);
        self.ready.push(ready);
    }

    fn call(&self, gateway: usize, method: &str, path: &str, id: &str, key: Option<u16>) -> Answer {
        let key = key
            .map(|key| format!("X-Ragworthub-Shard-Key: {key}\r\n"))
            .unwrap_or_default();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Ragworthub-Request-Id: {id}\r\n\
             X-Ragworthub-Deadline-Ms: 2000\r\n{key}Content-Length: 0\r\nConnection: close\r\n\r\n"
        );
        exchange(self.gateways[gateway].address, &text)
    }

    /// Starts a server that works for longer than callers wait.
    fn start_slow_server(&mut self) -> SocketAddr {
        let store = self.store.address.to_string();
        let arguments = [
            "--name",
            "slow",
            "--service",
            "renovaciones",
            "--store",
            &store,
            "--work-ms",
            "3000",
        ];
        let server = start_program("server", &arguments);
        let address = server.address;
        self.servers.push(("slow".to_owned(), server));
        address
    }

    /// Sends requests and leaves after 0.2 s until one was running at the slow server; gives its id.
    fn leave_during_a_run(&self, slow: SocketAddr) -> String {
        let mut number = 0;
        wait_for("the slow server to be the only one", || {
            number += 1;
            let id = format!("l-{number}");
            let text = format!(
                "POST /renovaciones/7 HTTP/1.1\r\nHost: {HOST}\r\nX-Ragworthub-Request-Id: {id}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            let mut stream = TcpStream::connect(self.gateways[0].address).expect("a connection");
            stream.write_all(text.as_bytes()).expect("a request");
            // Leaves while the request runs: the slow server works for 3 s.
            std::thread::sleep(Duration::from_millis(200));
            drop(stream);
            let report: Value = serde_json::from_str(&get(slow, "/standin/runs", "1").body).expect("JSON");
            report["requests"].get(&id).is_some().then_some(id)
        })
    }

    /// Gives the counts of a route over all months.
    fn counts(&self, route: &str) -> Value {
        let output = std::process::Command::new(support::binary("ragworthub"))
            .args(["--json", "counts", "--store", &self.store.address.to_string()])
            .output()
            .expect("the command");
        let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
        let months = report["months"].as_object().expect("months");
        months
            .values()
            .map(|routes| routes[route].clone())
            .next()
            .unwrap_or_default()
    }

    fn runs(&self, id: &str) -> u64 {
        let runs = self.servers.iter().map(|(_, server)| {
            let report: Value = serde_json::from_str(&get(server.address, "/standin/runs", "1").body).expect("JSON");
            report["requests"][id].as_u64().unwrap_or_default()
        });
        runs.sum()
    }
}

/// Makes a stand-in misbehave.
fn set_fault(at: SocketAddr, fault: &Value) {
    let body = fault.to_string();
    let text = format!(
        "POST /standin/fault HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    assert_eq!(exchange(at, &text).status, 200);
}

fn get(address: SocketAddr, path: &str, id: &str) -> Answer {
    let text = format!("GET {path} HTTP/1.1\r\nHost: s\r\nX-Ragworthub-Request-Id: {id}\r\nConnection: close\r\n\r\n");
    exchange(address, &text)
}

/// Sends bytes and reads the answer to its end; status 0 if there is none.
fn exchange(address: SocketAddr, text: &str) -> Answer {
    let mut bytes = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a limit");
        // A process that ends meanwhile shows as an empty answer.
        let _ = stream.write_all(text.as_bytes());
        let _ = stream.read_to_end(&mut bytes);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let mut lines = head.lines();
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1)?.parse().ok())
        .unwrap_or_default();
    let headers = lines.filter_map(|line| line.split_once(": "));
    Answer {
        status,
        headers: headers
            .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
            .collect(),
        body: body.to_owned(),
    }
}

/// The whole path: a request reaches a server and its own answer comes back.
#[test]
fn a_request_is_served_whole() {
    let site = Site::start(1);
    let answer = site.call(0, "POST", "/renovaciones/7", "r-1", None);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["x-ragworthub-request-id"], "r-1");
    assert!(answer.body.contains("\"request\":\"r-1\""), "{}", answer.body);
    assert_eq!(site.runs("r-1"), 1);
    assert_eq!(site.call(0, "GET", "/none/1", "r-2", None).status, 404);
}

/// A payment whose answer is lost may have run, so it must not run again nor be called not run.
#[test]
fn a_request_that_may_have_run_is_not_repeated() {
    let site = Site::start(1);
    for (_, server) in &site.servers {
        set_fault(server.address, &json!("lose-answers"));
    }
    let answer = site.call(0, "POST", "/renovaciones/7", "r-1", None);
    assert_eq!(answer.status, 502);
    assert_eq!(answer.headers["ragworthub-verdict"], "may-have-run");
    assert!(!answer.headers.contains_key("retry-after"));
    assert_eq!(site.runs("r-1"), 1);
}

/// A refusal that the servers prove is told as such, with a time to come back.
#[test]
fn a_refused_payment_has_not_run() {
    let site = Site::start(1);
    for (_, server) in &site.servers {
        set_fault(server.address, &json!("shed"));
    }
    let answer = site.call(0, "POST", "/renovaciones/7", "r-1", None);
    assert_eq!(answer.status, 503);
    assert_eq!(answer.headers["ragworthub-verdict"], "not-run");
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(site.runs("r-1"), 0);
}

/// An answer with another request's id must not reach the caller.
#[test]
fn a_crossed_answer_is_not_passed_on() {
    let site = Site::start(1);
    for (_, server) in &site.servers {
        set_fault(server.address, &json!("crossed"));
    }
    let answer = site.call(0, "GET", "/flotas/7", "r-1", None);
    assert_eq!(answer.status, 502);
    assert!(!answer.body.contains("another"));
}

/// An answer whose connection broke within the body must not look complete to the caller.
#[test]
fn a_broken_answer_does_not_look_complete() {
    let site = Site::start(1);
    for fault in ["break-sized", "break-chunked"] {
        for (_, server) in &site.servers {
            set_fault(server.address, &json!(fault));
        }
        let answer = site.call(0, "POST", "/renovaciones/7", &format!("r-{fault}"), None);
        let length = answer
            .headers
            .get("content-length")
            .and_then(|value| value.parse().ok());
        let is_chunked = answer
            .headers
            .get("transfer-encoding")
            .is_some_and(|value| value == "chunked");
        let is_whole = length.map_or(!is_chunked || answer.body.ends_with("0\r\n\r\n"), |length: usize| {
            answer.body.len() >= length
        });
        assert!(
            answer.status == 502 || !is_whole,
            "{fault}: {} {:?}",
            answer.status,
            answer.body
        );
        assert_eq!(site.runs(&format!("r-{fault}")), 1);
    }
}

/// A server must not work on for a caller that left: the connection to it ends with the caller's.
#[test]
fn a_caller_that_leaves_ends_the_run() {
    let mut site = Site::start(1);
    for (_, server) in &site.servers {
        set_fault(server.address, &json!("drain"));
    }
    let slow = site.start_slow_server();
    let id = site.leave_during_a_run(slow);
    let ms = wait_for("the run to be cut", || {
        let report: Value = serde_json::from_str(&get(slow, "/standin/runs", "1").body).expect("JSON");
        report["cut"][&id].as_u64()
    });
    // The caller leaves after 0.2 s; the users allow half a second, and the test's own way takes some.
    assert!(ms < 1_000, "it ran for {ms} ms");
}

/// When all hosts are killed at once, the next processes must serve the keys again from what the store has.
#[test]
fn all_hosts_recover_after_a_kill() {
    let mut site = Site::start(2);
    for gateway in &mut site.gateways {
        gateway.kill();
    }
    site.gateways.clear();
    site.ready.clear();
    let start = std::time::Instant::now();
    for number in 0..2 {
        site.start_gateway(number);
    }
    wait_for("the keys to be served again", || {
        let served = |part: u16| {
            let id = format!("again-{part}");
            site.call(1, "GET", "/placas/1", &id, Some(part * 4_096)).status == 200
        };
        (0..16).all(served).then_some(())
    });
    // The users' bound on recovery.
    assert!(start.elapsed() < Duration::from_secs(15), "{:?}", start.elapsed());
}

/// Two lengths could be read differently by the next parser, so that a second request hides in the body.
#[test]
fn a_request_with_two_lengths_is_refused() {
    let site = Site::start(1);
    for order in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    ] {
        let text = format!(
            "POST /renovaciones/7 HTTP/1.1\r\nHost: {HOST}\r\nX-Ragworthub-Request-Id: r-1\r\n{order}\
             Connection: close\r\n\r\n0\r\n\r\n"
        );
        assert_eq!(exchange(site.gateways[0].address, &text).status, 400, "{order}");
    }
    assert_eq!(site.runs("r-1"), 0);
}

/// The keys must stay served when the host that grants them is killed, and when the store is down.
#[test]
fn keys_outlive_their_grantor_and_the_store() {
    let mut site = Site::start(2);
    site.gateways[0].kill();
    let all_served = |site: &Site, round: &str| {
        (0..16_u16).all(|part| {
            let id = format!("{round}-{part}");
            site.call(1, "GET", "/placas/1", &id, Some(part * 4_096)).status == 200
        })
    };
    // Longer than a grant holds: the other host must have taken over.
    std::thread::sleep(Duration::from_secs(5));
    wait_for("the keys to be served again", || {
        all_served(&site, "killed").then_some(())
    });
    set_fault(site.store.address, &json!({ "down": true }));
    std::thread::sleep(Duration::from_secs(5));
    assert!(
        all_served(&site, "down"),
        "grants weren't renewed while the store was down"
    );
}

/// A planned stop must answer what is in progress, and end by itself.
#[test]
fn a_planned_stop_cuts_no_request() {
    let mut site = Site::start(2);
    let address = site.gateways[0].address;
    site.gateways[0].signal("TERM");
    let mut served = 0;
    for number in 0..40 {
        let answer = site.call(0, "POST", "/renovaciones/7", &format!("s-{number}"), None);
        if answer.status == 0 {
            break;
        }
        assert_eq!(answer.status, 200, "{address}");
        served += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(served > 10, "connections were refused before the balancer could notice");
    assert_eq!(site.gateways[0].wait_code(), Some(0));
}

/// A payment whose caller left while it ran must be in the counts, or partners' sums differ.
#[test]
fn a_request_whose_caller_left_is_counted() {
    let mut site = Site::start(1);
    let before = site.counts("renovaciones");
    for (_, server) in &site.servers {
        set_fault(server.address, &json!("drain"));
    }
    let slow = site.start_slow_server();
    site.leave_during_a_run(slow);
    site.gateways[0].signal("TERM");
    assert_eq!(site.gateways[0].wait_code(), Some(0));
    let after = site.counts("renovaciones");
    let unknown = |counts: &Value| counts["may_have_run"].as_u64().unwrap_or_default();
    assert!(unknown(&after) > unknown(&before), "{before} {after}");
    let sum = ["ran", "not_run", "may_have_run"]
        .iter()
        .map(|field| after[*field].as_u64().unwrap_or_default());
    assert_eq!(after["admitted"].as_u64(), Some(sum.sum()));
}

/// A host without a configuration knows nothing of routes, so 404 would be false.
#[test]
fn without_a_configuration_requests_get_503() {
    let store = start_program("store", &["--listen", "127.0.0.1:0"]);
    let mut site = Site {
        store,
        servers: Vec::new(),
        gateways: Vec::new(),
        ready: Vec::new(),
        folder: TempDir::new().expect("a folder"),
    };
    site.start_gateway(0);
    let answer = wait_for("the gateway to listen", || {
        let answer = site.call(0, "GET", "/flotas/1", "r-1", None);
        (answer.status != 0).then_some(answer)
    });
    assert_eq!(answer.status, 503);
    assert_ne!(get(site.ready[0], "/ready", "1").status, 200);
}
