//! Starts the real processes on loopback addresses for tests.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use tempfile::TempDir;

/// Generous limit for events; tests wait for events and never for fixed times.
const LIMIT: Duration = Duration::from_mins(1);
pub const CREDENTIAL: &str = "test-operators";

/// A process that is killed at the end of the test.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(status.unwrap().success());
        if name == "STOP" {
            wait_for("the process to be stopped", || self.is_stopped().then_some(()));
        }
    }

    /// Tells whether all threads are stopped; on a busy machine some run on for a while.
    fn is_stopped(&self) -> bool {
        let is_stopped = |task: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat"));
            stat.is_ok_and(|s| s.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T')))
        };
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        tasks.flatten().all(is_stopped)
    }

    /// Waits for the process to end and returns its exit code.
    pub fn wait_code(&mut self) -> Option<i32> {
        wait_for("the process to end", || self.child.try_wait().unwrap()).code()
    }
}

/// Waits until a check gives a value.
pub fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < LIMIT, "waited too long for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn binary(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_upstream")).with_file_name(name)
}

/// Starts a stand-in, which prints its address.
fn start_standin(name: &str, arguments: &[&str]) -> Process {
    let mut child = Command::new(binary(name))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let address = line
        .trim()
        .strip_prefix("listening ")
        .expect("an address")
        .parse()
        .unwrap();
    Process { child, address }
}

pub fn start_platform() -> Process {
    start_standin("platform", &["--listen", "127.0.0.1:0"])
}

pub fn start_upstream(name: &str, listen: &str, more: &[&str]) -> Process {
    start_standin("upstream", &[&["--name", name, "--listen", listen], more].concat())
}

/// Starts a stand-in of the platform's store or of a server.
pub fn start_program(name: &str, arguments: &[&str]) -> Process {
    start_standin(name, arguments)
}

/// Starts a gateway and gives the addresses for callers and for questions whether it is ready.
pub fn start_gateway(settings: &str) -> (Process, SocketAddr) {
    let mut child = Command::new(binary("ragworthub"))
        .args(["gateway", "--settings", settings])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let listening = lines.find_map(|line| {
        let line: Value = serde_json::from_str(&line.ok()?).ok()?;
        (line["msg"] == "listening").then_some(line)
    });
    let listening = listening.expect("the gateway listens");
    // Reads on, so that a full pipe never drops lines.
    std::thread::spawn(move || lines.for_each(drop));
    let address = |field: &str| listening[field].as_str().unwrap().parse().unwrap();
    let process = Process {
        child,
        address: address("callers"),
    };
    (process, address("ready"))
}

/// An entry host with the addresses that it chose.
pub struct Host {
    pub process: Process,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    _folder: TempDir,
}

pub fn start_host(name: &str, zone: &str, platform: SocketAddr) -> Host {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("host.yaml");
    let settings = format!(
        "host: {name}\nzone: {zone}\nlisten: {{ callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0' }}\n\
         platform: {{ log: '{platform}' }}\ncredentials: {{ peers: test-peers, operators: {CREDENTIAL} }}\n"
    );
    std::fs::write(&path, settings).unwrap();
    let mut child = Command::new(binary("ragworthub"))
        .args(["host", "--settings", path.to_str().unwrap()])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let listening = lines.find_map(|line| {
        let line: Value = serde_json::from_str(&line.ok()?).ok()?;
        (line["msg"] == "listening").then_some(line)
    });
    let listening = listening.expect("the host listens");
    // Reads on, so that a full pipe never blocks the host.
    std::thread::spawn(move || lines.for_each(drop));
    let address = |field: &str| listening[field].as_str().unwrap().parse().unwrap();
    let process = Process {
        child,
        address: address("callers"),
    };
    Host {
        process,
        operators: address("operators"),
        peers: address("peers"),
        _folder: folder,
    }
}

/// An answer as an ordinary HTTP client sees it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub verdict: String,
    pub reason: String,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(30)))
        .build()
        .into()
}

/// Sends a request; `None` if no whole answer came.
pub fn send(method: &str, address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut answer = agent().run(request.body(body.to_owned()).unwrap()).ok()?;
    let header = |name: &str| {
        answer
            .headers()
            .get(name)
            .map_or("", |v| v.to_str().unwrap())
            .to_owned()
    };
    let (verdict, reason) = (header("ragworthub-verdict"), header("ragworthub-reason"));
    let status = answer.status().as_u16();
    Some(Answer {
        status,
        verdict,
        reason,
        body: answer.body_mut().read_to_string().ok()?,
    })
}

/// Sends a GET request of the caller `ventanilla`.
pub fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    send("GET", address, path, &[("ragworthub-caller", "ventanilla")], "")
}

/// Reads what an upstream did.
pub fn report(upstream: SocketAddr) -> Value {
    send("GET", upstream, "/.ragworthub/report", &[], "").unwrap().json()
}

/// Runs a command of the command line against a host and returns its exit code and JSON output.
pub fn operate(host: &Host, arguments: &[&str]) -> (i32, Value) {
    operate_at(&[host.operators], arguments)
}

/// Runs a command of the command line against several addresses.
pub fn operate_at(addresses: &[SocketAddr], arguments: &[&str]) -> (i32, Value) {
    let folder = TempDir::new().unwrap();
    let credential = folder.path().join("credential");
    std::fs::write(&credential, CREDENTIAL).unwrap();
    let access = ["--json", "--credential", credential.to_str().unwrap()];
    let addresses = addresses.iter().map(|address| format!("--address={address}"));
    let output = Command::new(binary("ragworthub"))
        .args(arguments)
        .args(access)
        .args(addresses)
        .output()
        .unwrap();
    let json = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
    (output.status.code().unwrap(), json)
}

/// Writes the content of a table as the file has it, under the table's name.
pub fn table(name: &str, content: &str) -> String {
    let lines = content.lines().map(|line| format!("  {line}\n"));
    format!("{name}:\n{}", lines.collect::<String>())
}

/// Publishes tables and waits until a host has them in force.
pub fn publish(hosts: &[Host], routes: &str, pools: &str) {
    let folder = TempDir::new().unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let (routes, pools) = (
        write("routes.yaml", &table("routes", routes)),
        write("pools.yaml", &table("pools", pools)),
    );
    let (code, result) = operate(&hosts[0], &["publish", "--routes", &routes, "--pools", &pools]);
    assert_eq!((code, &result["result"]), (0, &Value::from("applied")), "{result}");
    for host in hosts {
        wait_for("the tables", || {
            let ready = get(host.process.address, "/.ragworthub/ready")?;
            (ready.status == 200).then_some(())
        });
    }
}
