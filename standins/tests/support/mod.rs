//! Starts the real processes on loopback addresses for tests.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

/// Generous limit for events; tests wait for events and never for fixed times.
const LIMIT: Duration = Duration::from_mins(1);

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

/// Gives the path of a program of the workspace.
pub fn binary(name: &str) -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_store")).with_file_name(name)
}

/// Starts a stand-in, which prints its address.
pub fn start_program(name: &str, arguments: &[&str]) -> Process {
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
