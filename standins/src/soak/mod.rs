//! A randomized soak: the real programs as separate processes, harmed from outside, while callers
//! and servers note what they see.

mod judge;
mod load;
mod proxy;

#[cfg(test)]
mod tests;

use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::server::{EventRecord, ServerEvent, append_event, append_keyed_record};
use judge::{judge_keys, judge_requests};
use load::{Outcomes, call, call_on, connect};
use proxy::{Harm, Proxy};

const GATEWAYS: usize = 3;
/// Servers of each of the two services.
const SERVERS: usize = 3;
const CALLERS: u64 = 12;
/// Time for all keys to be served at the start.
const START_LIMIT: Duration = Duration::from_secs(40);
/// Time for all keys to be served after the last fault: the users' bound on recovery.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Time for a gateway to end after SIGTERM: the users' limit.
const STOP_LIMIT: Duration = Duration::from_secs(6);
/// Time between two faults, in milliseconds; many last longer, so they overlap.
const FAULT_GAP: std::ops::Range<u64> = 150..1_200;
/// Time that a fault lasts, in milliseconds.
const FAULT_TIME: std::ops::Range<u64> = 200..4_000;
/// Distance of the keys of which a check asks whether they are served.
const CHECK_STEP: usize = 2_048;
const CONFIGURATION: &str = include_str!("../../../examples/platform/configuration.json");

/// How a soak ended.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Broken promises.
    pub faults: Vec<String>,
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that were answered with success.
    pub served: usize,
    /// What was done, with the time since the start in milliseconds.
    pub events: Vec<String>,
}

/// A process with the address on which it serves.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn signal(&self, name: &str) -> Result<(), String> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        status.map(|_| ()).map_err(|e| format!("signal {name}: {e}"))
    }
}

/// Something that ends at a time.
struct Pending {
    at: Instant,
    heal: Heal,
}

#[derive(Clone, Copy, Debug)]
enum Heal {
    ServerLink(usize),
    StoreLink(usize),
    Server(usize),
    Store,
    ContinueGateway(usize),
    ContinueServer(usize),
    StartGateway(usize),
    StartServer(usize),
}

struct World {
    seed: u64,
    folder: PathBuf,
    record: PathBuf,
    rng: Pcg64Mcg,
    start: Instant,
    store: Process,
    /// Ports of the gateways for callers, kept over restarts.
    callers: Vec<SocketAddr>,
    store_links: Vec<Proxy>,
    gateways: Vec<Option<Process>>,
    server_links: Vec<Proxy>,
    servers: Vec<Option<Process>>,
    pending: Vec<Pending>,
    version: u32,
    report: Report,
}

/// Plays one seed for a time; logs and records go to the folder.
///
/// # Errors
///
/// Fails if a process can't be started or doesn't serve at the start.
pub async fn play(seed: u64, time: Duration, folder: &Path) -> Result<Report, String> {
    let mut world = World::start(seed, folder).await?;
    world
        .wait_served(START_LIMIT)
        .await
        .map_err(|e| format!("at the start: {e}"))?;
    let outcomes = Outcomes::default();
    let (end, ends) = watch::channel(false);
    let load: Vec<_> = (0..CALLERS)
        .map(|number| {
            let gateway = world.callers[usize::try_from(number).unwrap_or_default() % GATEWAYS];
            tokio::spawn(call_on(number, gateway, seed, ends.clone(), Arc::clone(&outcomes)))
        })
        .collect();
    let until = Instant::now() + time;
    while Instant::now() < until {
        let gap = Duration::from_millis(world.rng.random_range(FAULT_GAP));
        world.run_until(Instant::now() + gap).await?;
        world.harm().await?;
    }
    while let Some(last) = world.pending.iter().map(|pending| pending.at).max() {
        world.run_until(last).await?;
    }
    if let Err(error) = world.wait_served(RECOVERY_LIMIT).await {
        world.report.faults.push(format!("after the last fault: {error}"));
    }
    end.send_replace(true);
    for task in load {
        task.await.map_err(|e| e.to_string())?;
    }
    let outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let lines = read_record(&world.record)?;
    let mut report = std::mem::take(&mut world.report);
    report.faults.extend(judge_requests(&outcomes, &lines));
    report.faults.extend(judge_keys(&lines));
    report.requests = outcomes.len();
    report.served = outcomes.iter().filter(|o| matches!(o.answer, Some((200, _)))).count();
    Ok(report)
}

fn read_record(path: &Path) -> Result<Vec<EventRecord>, String> {
    let text = fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<EventRecord>(line).map_err(|e| e.to_string()));
    let mut lines = lines.collect::<Result<Vec<_>, _>>()?;
    lines.sort_by_key(|line| line.at);
    // Requests that only ask whether keys are served are not judged.
    lines.retain(|line| !matches!(&line.event, ServerEvent::Run(id, _) if id.starts_with("check-")));
    Ok(lines)
}

fn program(name: &str) -> Result<Command, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    // A test's program lies in a folder below that of the programs.
    let folder = own.parent().ok_or("no folder of programs")?;
    let folder = folder.parent().filter(|_| folder.ends_with("deps")).unwrap_or(folder);
    Ok(Command::new(folder.join(name)))
}

fn free_address() -> Result<SocketAddr, String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// Starts a stand-in, which prints its address.
fn start_standin(name: &str, arguments: &[&str]) -> Result<Process, String> {
    let mut command = program(name)?;
    let mut child = command
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|e| format!("{name}: {e}"))?;
    let mut line = String::new();
    let output = child.stdout.take().ok_or("no output")?;
    BufReader::new(output).read_line(&mut line).map_err(|e| e.to_string())?;
    let address = line
        .trim()
        .strip_prefix("listening ")
        .and_then(|text| text.parse().ok());
    let address = address.ok_or_else(|| format!("{name} printed {line:?}"))?;
    Ok(Process { child, address })
}

fn server_name(at: usize) -> String {
    if at < SERVERS {
        format!("placas-{at}")
    } else {
        format!("renovaciones-{at}")
    }
}

impl World {
    async fn start(seed: u64, folder: &Path) -> Result<Self, String> {
        fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let record = folder.join(format!("record-{seed}.jsonl"));
        File::create(&record).map_err(|e| format!("{}: {e}", record.display()))?;
        let store = start_standin("store", &["--listen", "127.0.0.1:0"])?;
        let mut world = Self {
            seed,
            folder: folder.to_owned(),
            record,
            rng: Pcg64Mcg::seed_from_u64(seed),
            start: Instant::now(),
            store,
            callers: Vec::new(),
            store_links: Vec::new(),
            gateways: Vec::new(),
            server_links: Vec::new(),
            servers: Vec::new(),
            pending: Vec::new(),
            version: 0,
            report: Report::default(),
        };
        world.publish().await?;
        for at in 0..SERVERS * 2 {
            world
                .server_links
                .push(Proxy::start(world.store.address).await.map_err(|e| e.to_string())?);
            world.servers.push(None);
            world.start_server(at)?;
        }
        for at in 0..GATEWAYS {
            world.callers.push(free_address()?);
            world
                .store_links
                .push(Proxy::start(world.store.address).await.map_err(|e| e.to_string())?);
            world.gateways.push(None);
            world.start_gateway(at)?;
        }
        Ok(world)
    }

    async fn publish(&mut self) -> Result<(), String> {
        self.version += 1;
        let text = CONFIGURATION.replace("00000001", &format!("{:08x}", self.version));
        append_keyed_record(self.store.address, "keyed.op", "config", text.as_bytes()).await
    }

    fn start_server(&mut self, at: usize) -> Result<(), String> {
        let (name, store) = (server_name(at), self.store.address.to_string());
        let service = name.split('-').next().unwrap_or_default().to_owned();
        let (announce, record) = (
            self.server_links[at].address.to_string(),
            self.record.display().to_string(),
        );
        let mut arguments = vec!["--name", &name, "--service", &service, "--store", &store];
        arguments.extend(["--announce", &announce, "--record", &record, "--work-ms", "20"]);
        if at < SERVERS {
            arguments.push("--sharded");
        }
        let server = start_standin("server", &arguments)?;
        self.server_links[at].set_target(server.address);
        self.servers[at] = Some(server);
        Ok(())
    }

    fn start_gateway(&mut self, at: usize) -> Result<(), String> {
        let (callers, any, store) = (self.callers[at], "127.0.0.1:0", self.store_links[at].address);
        let settings = format!(
            "host: front-{at}\nzone: zone-{at}\nlisten: {{ callers: '{callers}', ready: '{any}', peers: '{any}', \
             metrics: '{any}' }}\nstore: '{store}'\nbounds: ['grace=6s']\n"
        );
        let path = self.folder.join(format!("front-{at}.yaml"));
        fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("front-{at}-{}.log", self.seed));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| e.to_string())?;
        let mut command = program("ragworthub")?;
        let child = command.args(["gateway", "--settings"]).arg(&path).stdout(log).spawn();
        let child = child.map_err(|e| format!("ragworthub: {e}"))?;
        self.gateways[at] = Some(Process {
            child,
            address: callers,
        });
        Ok(())
    }

    /// Waits until each gateway serves keys of all parts and both services.
    async fn wait_served(&self, limit: Duration) -> Result<(), String> {
        let start = Instant::now();
        for (at, gateway) in self.callers.iter().enumerate() {
            let mut keys = (0..=u16::MAX).step_by(CHECK_STEP).peekable();
            while let Some(&key) = keys.peek() {
                let id = format!("check-{at}-{key}-{}", start.elapsed().as_millis());
                if self.serves(*gateway, &id, key).await {
                    keys.next();
                } else if start.elapsed() > limit {
                    return Err(format!("gateway {at} doesn't serve key {key} after {limit:?}"));
                } else {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }

    async fn serves(&self, gateway: SocketAddr, id: &str, key: u16) -> bool {
        let Some(mut client) = connect(gateway).await else {
            return false;
        };
        for is_once in [false, true] {
            let answer = call(&mut client, &format!("{id}-{is_once}"), is_once, key).await;
            if !matches!(answer, Some((200, ..))) {
                return false;
            }
        }
        true
    }

    fn note(&mut self, event: &str) {
        let ms = self.start.elapsed().as_millis();
        self.report.events.push(format!("{ms} {event}"));
    }

    /// Lets time pass and ends the faults that are due.
    async fn run_until(&mut self, until: Instant) -> Result<(), String> {
        loop {
            let next = self
                .pending
                .iter()
                .map(|pending| pending.at)
                .min()
                .filter(|at| *at <= until);
            sleep(next.unwrap_or(until).saturating_duration_since(Instant::now())).await;
            if next.is_none() {
                return Ok(());
            }
            let now = Instant::now();
            let (due, later) = std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|p: &Pending| p.at <= now);
            self.pending = later;
            for Pending { heal, .. } in due {
                self.note(&format!("end of {heal:?}"));
                self.heal(heal).await?;
            }
        }
    }

    async fn heal(&mut self, heal: Heal) -> Result<(), String> {
        match heal {
            Heal::ServerLink(at) => self.server_links[at].set_harm(Harm::None),
            Heal::StoreLink(at) => self.store_links[at].set_harm(Harm::None),
            Heal::Server(at) => self.set_server_fault(at, "none").await,
            Heal::Store => post(self.store.address, "/standin/fault", &json!({})).await,
            Heal::ContinueGateway(at) => return self.signal_gateway(at, "CONT"),
            Heal::ContinueServer(at) => {
                return self.servers[at].as_ref().map_or(Ok(()), |server| server.signal("CONT"));
            }
            Heal::StartGateway(at) => return self.start_gateway(at),
            Heal::StartServer(at) => return self.start_server(at),
        }
        Ok(())
    }

    fn signal_gateway(&self, at: usize, name: &str) -> Result<(), String> {
        self.gateways[at]
            .as_ref()
            .map_or(Ok(()), |gateway| gateway.signal(name))
    }

    async fn set_server_fault(&self, at: usize, fault: &str) {
        if let Some(server) = &self.servers[at] {
            post(server.address, "/standin/fault", &json!(fault)).await;
        }
    }

    /// Begins a fault that the seed draws.
    async fn harm(&mut self) -> Result<(), String> {
        let time = Duration::from_millis(self.rng.random_range(FAULT_TIME));
        let (gateway, server) = (
            self.rng.random_range(0..GATEWAYS),
            self.rng.random_range(0..SERVERS * 2),
        );
        let kind = self.rng.random_range(0..11);
        let harm = match self.rng.random_range(0..5) {
            0 => Harm::Delay(time / 20),
            1 => Harm::Reset,
            2 => Harm::CutThere,
            3 => Harm::CutBack,
            _ => Harm::Silent,
        };
        let has_gateway = self.gateways[gateway].is_some();
        let has_server = self.servers[server].is_some();
        let heal = match kind {
            0 | 1 => {
                self.server_links[server].set_harm(harm);
                Heal::ServerLink(server)
            }
            2 | 3 => {
                self.store_links[gateway].set_harm(harm);
                Heal::StoreLink(gateway)
            }
            4 => {
                let faults = [
                    "lose-answers",
                    "fail",
                    "shed",
                    "crossed",
                    "break-sized",
                    "break-chunked",
                    "drain",
                ];
                let fault = faults[self.rng.random_range(0..faults.len())];
                self.set_server_fault(server, fault).await;
                Heal::Server(server)
            }
            5 => {
                let faults = [
                    json!({"down": true}),
                    json!({"cut": true}),
                    json!({"lose_answers": true}),
                    json!({"delay_ms": 300}),
                ];
                post(
                    self.store.address,
                    "/standin/fault",
                    &faults[self.rng.random_range(0..faults.len())],
                )
                .await;
                Heal::Store
            }
            6 if has_gateway => {
                self.signal_gateway(gateway, "STOP")?;
                Heal::ContinueGateway(gateway)
            }
            7 if has_server => {
                self.servers[server]
                    .as_ref()
                    .map_or(Ok(()), |server| server.signal("STOP"))?;
                Heal::ContinueServer(server)
            }
            8 if has_gateway => {
                self.gateways[gateway] = None;
                Heal::StartGateway(gateway)
            }
            9 if has_server => {
                self.servers[server] = None;
                append_event(&self.record, &server_name(server), ServerEvent::End).map_err(|e| e.to_string())?;
                Heal::StartServer(server)
            }
            10 if has_gateway => {
                self.stop_gateway(gateway).await?;
                Heal::StartGateway(gateway)
            }
            // The store may be harmed, and then takes no configuration.
            _ => {
                let is_taken = self.publish().await.is_ok();
                self.note(&format!("configuration {}, taken: {is_taken}", self.version));
                return Ok(());
            }
        };
        self.note(&format!("{heal:?} after {time:?}, kind {kind}, {harm:?}"));
        self.pending.push(Pending {
            at: Instant::now() + time,
            heal,
        });
        Ok(())
    }

    /// Stops a gateway as planned work does; callers go on over their connections meanwhile.
    async fn stop_gateway(&mut self, at: usize) -> Result<(), String> {
        let Some(mut gateway) = self.gateways[at].take() else {
            return Ok(());
        };
        gateway.signal("CONT")?;
        gateway.signal("TERM")?;
        let start = Instant::now();
        loop {
            match gateway.child.try_wait().map_err(|e| e.to_string())? {
                Some(status) if status.success() => return Ok(()),
                Some(status) => self
                    .report
                    .faults
                    .push(format!("gateway {at} ended with {status} after SIGTERM")),
                None if start.elapsed() > STOP_LIMIT => self
                    .report
                    .faults
                    .push(format!("gateway {at} didn't end after SIGTERM")),
                None => {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            }
            return Ok(());
        }
    }
}

/// Sends a JSON text to a stand-in; one that has ended or is stopped takes none.
async fn post(address: SocketAddr, path: &str, body: &serde_json::Value) {
    let send = async {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut client, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        let body = http_body_util::Full::new(bytes::Bytes::from(body.to_string()));
        let request = http::Request::post(path).header("host", "standin").body(body).ok()?;
        client.send_request(request).await.ok()
    };
    // Without an answer the fault isn't set, which only makes the play easier.
    let _ = tokio::time::timeout(Duration::from_millis(300), send).await;
}
