//! A randomized soak test: runs the real programs as separate processes and injects faults from outside,
//! while the outcomes of callers' requests and the events of servers are recorded.

mod crash;
mod cut;
mod directives;
mod judge;
mod load;
mod restore;

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
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

use crate::proxy::{LinkFault, Processes, Proxy};
use crate::server::{EventRecord, ServerEvent, append_event, append_keyed_record, unix_ms};
use crash::{CRASH_ID, check_crashes};
use directives::check_directives;
use judge::{check_fences, check_leases, check_removal, check_requests};
use load::{CREDENTIAL, Outcomes, REMOVED_CREDENTIAL, call, connect, run_caller};

const GATEWAY_COUNT: usize = 3;
/// There are two services: the sharded `placas` and `renovaciones`, which isn't sharded.
const SERVERS_PER_SERVICE: usize = 3;
const CALLER_COUNT: u64 = 12;
/// Ways in which servers end under a request that crashes them.
const CRASH_MODES: [&str; 5] = ["exit", "hang", "hang-refusing", "after-head", "after-response"];
/// Time limit for all keys to be served after the start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(40);
/// Delay before the fault of a server that doesn't respond is cleared again.
const CLEAR_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time limit for all keys to be served after the last fault: the longest recovery that is allowed.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit for a gateway to exit after SIGTERM: the longest shutdown that is allowed, which is also
/// the bound `grace` in the gateways' settings.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between two faults, in milliseconds. Many faults last longer, so they overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..1_200;
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..4_000;
/// Distance between the keys that readiness probes request.
const PROBE_KEY_STEP: usize = 2_048;
const CONFIGURATION: &str = include_str!("../../../examples/platform/configuration.json");

/// Result of a soak run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests with a response of status 200.
    pub served: usize,
    /// Faults, recoveries and configuration changes, each prefixed with the milliseconds since the start.
    pub actions: Vec<String>,
    /// Longest time for which the soak itself was held up, which shows a machine without processor time to spare.
    pub held_up: Duration,
}

/// A child process and the address on which it serves; it is killed on drop.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn signal(&self, name: &str) -> Result<(), String> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        status.map(|_| ()).map_err(|e| format!("can't send SIG{name}: {e}"))
    }
}

/// A recovery that is due at a time.
struct ScheduledRecovery {
    at: Instant,
    recovery: Recovery,
}

/// What ends a fault, with the index of the gateway or server.
#[derive(Clone, Copy, Debug)]
enum Recovery {
    RestoreServerLink(usize),
    RestoreStoreLink(usize),
    ClearServerFault(usize),
    ClearStoreFault,
    ResumeGateway(usize),
    ResumeServer(usize),
    RestartGateway(usize),
    RestartServer(usize),
    /// The store comes back from its copy; the number is the delay in milliseconds before lost records are written again.
    RestoreStore(u64),
    /// No gateway is cut off from the servers any more.
    RestoreServerLinks,
}

/// The processes of a soak run, the proxies between them and the state of the fault injection.
struct Harness {
    seed: u64,
    folder: PathBuf,
    /// Path of the event log, which all servers share.
    event_log: PathBuf,
    rng: Pcg64Mcg,
    /// Separate from `rng`, so that seeds from before these faults inject the same other faults.
    restore_rng: Pcg64Mcg,
    /// As above.
    cut_rng: Pcg64Mcg,
    directive_rng: Pcg64Mcg,
    start: Instant,
    store: Process,
    /// Addresses at which callers reach the gateways, kept across restarts.
    caller_addresses: Vec<SocketAddr>,
    /// Proxies between each gateway and the store.
    store_proxies: Vec<Proxy>,
    gateways: Vec<Option<Process>>,
    /// Processes of gateways, also those that have ended.
    processes: Processes,
    /// Proxies between the gateways and each server.
    server_proxies: Vec<Proxy>,
    servers: Vec<Option<Process>>,
    pending: Vec<ScheduledRecovery>,
    /// Servers that have stated that they are leaving.
    left: BTreeSet<usize>,
    /// How servers end under a request that crashes them.
    crash_mode: &'static str,
    /// Version of the configuration that was published last.
    version: u32,
    /// Published configurations no longer have the credential that is removed during the run.
    removes_credential: bool,
    /// When the store accepted the first of them, in Unix milliseconds.
    removed_at: Option<u64>,
    report: Report,
}

/// Runs the soak test with one seed and injects faults for a time. The gateways' logs and the event log
/// go to the folder.
///
/// # Errors
///
/// Returns an error if a process can't be started or signalled, the gateways don't serve at the start, or
/// the event log can't be read.
pub async fn run(seed: u64, fault_time: Duration, folder: &Path) -> Result<Report, String> {
    let mut harness = Harness::start(seed, folder).await?;
    harness
        .wait_until_served(STARTUP_TIMEOUT)
        .await
        .map_err(|e| format!("after the start: {e}"))?;
    let (held_up_tx, held_up) = watch::channel(Duration::ZERO);
    let hold_watch = tokio::spawn(watch_holds(held_up_tx));
    let outcomes = Outcomes::default();
    let (stop_tx, stop_rx) = watch::channel(false);
    let caller_tasks: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            let gateway = harness.caller_addresses[usize::try_from(number).unwrap_or_default() % GATEWAY_COUNT];
            tokio::spawn(run_caller(
                number,
                gateway,
                seed,
                stop_rx.clone(),
                Arc::clone(&outcomes),
            ))
        })
        .collect();
    let end = Instant::now() + fault_time;
    while Instant::now() < end {
        let interval = Duration::from_millis(harness.rng.random_range(FAULT_INTERVAL_MS));
        harness.wait_until(Instant::now() + interval).await?;
        harness.inject_fault().await?;
        harness.draw_copy().await;
        harness.draw_cut();
        if !harness.removes_credential && Instant::now() + fault_time / 2 > end {
            harness.removes_credential = true;
            let is_accepted = harness.publish_configuration().await.is_ok();
            harness.record_action(&format!("credential removed, accepted: {is_accepted}"));
        }
    }
    while let Some(last) = harness.pending.iter().map(|pending| pending.at).max() {
        harness.wait_until(last).await?;
    }
    if let Err(error) = harness.wait_until_served(RECOVERY_TIMEOUT).await {
        harness.report.violations.push(format!("after the last fault: {error}"));
    }
    harness.check_newest_configuration().await?;
    let directive_phase = harness.run_directive_phase().await?;
    harness.send_crash_requests().await?;
    stop_tx.send_replace(true);
    for task in caller_tasks {
        task.await.map_err(|e| e.to_string())?;
    }
    let outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let events = read_events(&harness.event_log)?;
    let records = without_probes(&events);
    let mut report = std::mem::take(&mut harness.report);
    report.violations.extend(check_requests(&outcomes, &records));
    report.violations.extend(check_leases(&records));
    report.violations.extend(check_fences(&records));
    report.violations.extend(check_removal(&records, harness.removed_at));
    report.violations.extend(check_directives(&records, directive_phase));
    report.violations.extend(check_crashes(&events));
    hold_watch.abort();
    report.held_up = *held_up.borrow();
    report.requests = outcomes.len();
    report.served = outcomes.iter().filter(|o| matches!(o.response, Some((200, _)))).count();
    Ok(report)
}

/// Measures by how much a short sleep is exceeded at most.
async fn watch_holds(longest: watch::Sender<Duration>) {
    const PERIOD: Duration = Duration::from_millis(20);
    loop {
        let start = Instant::now();
        sleep(PERIOD).await;
        let late = start.elapsed().saturating_sub(PERIOD);
        longest.send_if_modified(|longest| {
            let is_longer = late > *longest;
            *longest = late.max(*longest);
            is_longer
        });
    }
}

/// Reads the records of an event log in the order of their times.
fn read_events(path: &Path) -> Result<Vec<EventRecord>, String> {
    let text = fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let records = text
        .lines()
        .map(|line| serde_json::from_str::<EventRecord>(line).map_err(|e| e.to_string()));
    let mut records = records.collect::<Result<Vec<_>, _>>()?;
    records.sort_by_key(|record| record.at);
    Ok(records)
}

/// Returns the records without the runs of readiness probes and of requests that crash servers.
fn without_probes(events: &[EventRecord]) -> Vec<EventRecord> {
    let is_probe = |id: &str| id.starts_with("check-") || id.starts_with(CRASH_ID);
    let is_kept = |record: &&EventRecord| !matches!(&record.event, ServerEvent::Run(id, _) if is_probe(id));
    events.iter().filter(is_kept).cloned().collect()
}

fn program_command(name: &str) -> Result<Command, String> {
    let own_path = std::env::current_exe().map_err(|e| e.to_string())?;
    // Test executables are in `deps`, a subfolder of the folder with the programs.
    let folder = own_path
        .parent()
        .ok_or("the path of this program has no parent folder")?;
    let folder = folder.parent().filter(|_| folder.ends_with("deps")).unwrap_or(folder);
    Ok(Command::new(folder.join(name)))
}

fn free_address() -> Result<SocketAddr, String> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

/// Starts a stand-in program and reads the address that it prints.
fn start_standin(name: &str, arguments: &[&str]) -> Result<Process, String> {
    let mut command = program_command(name)?;
    let mut child = command
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|e| format!("{name}: {e}"))?;
    let mut line = String::new();
    let output = child.stdout.take().ok_or("the standard output is not piped")?;
    BufReader::new(output).read_line(&mut line).map_err(|e| e.to_string())?;
    let address = line
        .trim()
        .strip_prefix("listening ")
        .and_then(|text| text.parse().ok());
    let address = address.ok_or_else(|| format!("{name} printed {line:?} instead of its address"))?;
    Ok(Process { child, address })
}

fn server_name(index: usize) -> String {
    if index < SERVERS_PER_SERVICE {
        format!("placas-{index}")
    } else {
        format!("renovaciones-{index}")
    }
}

impl Harness {
    async fn start(seed: u64, folder: &Path) -> Result<Self, String> {
        fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let event_log = folder.join(format!("record-{seed}.jsonl"));
        File::create(&event_log).map_err(|e| format!("{}: {e}", event_log.display()))?;
        let store = start_standin("store", &["--listen", "127.0.0.1:0"])?;
        let mut harness = Self {
            seed,
            folder: folder.to_owned(),
            event_log,
            rng: Pcg64Mcg::seed_from_u64(seed),
            restore_rng: Pcg64Mcg::seed_from_u64(seed.rotate_left(32) ^ 1),
            cut_rng: Pcg64Mcg::seed_from_u64(seed.rotate_left(32) ^ 2),
            directive_rng: Pcg64Mcg::seed_from_u64(!seed),
            start: Instant::now(),
            store,
            caller_addresses: Vec::new(),
            store_proxies: Vec::new(),
            gateways: Vec::new(),
            processes: Processes::default(),
            server_proxies: Vec::new(),
            servers: Vec::new(),
            pending: Vec::new(),
            left: BTreeSet::new(),
            crash_mode: CRASH_MODES[usize::try_from(seed % 5).unwrap_or_default()],
            version: 0,
            removes_credential: false,
            removed_at: None,
            report: Report::default(),
        };
        harness.publish_configuration().await?;
        for index in 0..SERVERS_PER_SERVICE * 2 {
            harness.server_proxies.push(
                Proxy::start(harness.store.address, Some(&harness.processes))
                    .await
                    .map_err(|e| e.to_string())?,
            );
            harness.servers.push(None);
            harness.start_server(index)?;
        }
        for index in 0..GATEWAY_COUNT {
            harness.caller_addresses.push(free_address()?);
            harness.store_proxies.push(
                Proxy::start(harness.store.address, None)
                    .await
                    .map_err(|e| e.to_string())?,
            );
            harness.gateways.push(None);
            harness.start_gateway(index)?;
        }
        Ok(harness)
    }

    async fn publish_configuration(&mut self) -> Result<(), String> {
        self.version += 1;
        let removed = if self.removes_credential {
            String::new()
        } else {
            format!(", \"{REMOVED_CREDENTIAL}\"")
        };
        let tenants =
            format!("\"tenants\": [{{\"name\": \"soak\", \"api_keys\": [\"{CREDENTIAL}\"{removed}]}}], \"limits\"");
        let text = CONFIGURATION.replace("00000001", &format!("{:08x}", self.version));
        let text = text.replace("\"limits\"", &tenants);
        let route = format!(
            "\"routes\": [{{\"name\": \"version\", \"host\": \"licencias.example\", \"path_prefix\": \"/version-{}/\", \
             \"kind\": \"safe\", \"timeout\": \"2s\", \"target_latency\": \"300ms\", \"priority\": 1, \
             \"service\": \"renovaciones\", \"max_attempts\": 2}},",
            self.version
        );
        let text = text.replace("\"routes\": [", &route);
        append_keyed_record(self.store.address, "keyed.op", "config", text.as_bytes()).await?;
        if self.removes_credential {
            self.removed_at.get_or_insert_with(unix_ms);
        }
        Ok(())
    }

    fn start_server(&mut self, index: usize) -> Result<(), String> {
        let (name, store) = (server_name(index), self.store.address.to_string());
        let service = name.split('-').next().unwrap_or_default().to_owned();
        let (announce, event_log) = (
            self.server_proxies[index].address.to_string(),
            self.event_log.display().to_string(),
        );
        let mut arguments = vec!["--name", &name, "--service", &service, "--store", &store];
        arguments.extend(["--announce", &announce, "--record", &event_log, "--work-ms", "20"]);
        arguments.extend(["--crash", self.crash_mode]);
        if index < SERVERS_PER_SERVICE {
            arguments.push("--sharded");
        }
        let server = start_standin("server", &arguments)?;
        self.server_proxies[index].set_target(server.address);
        self.servers[index] = Some(server);
        Ok(())
    }

    fn start_gateway(&mut self, index: usize) -> Result<(), String> {
        let (callers, any_port, store) = (
            self.caller_addresses[index],
            "127.0.0.1:0",
            self.store_proxies[index].address,
        );
        let settings = format!(
            "host: front-{index}\nzone: zone-{index}\nlisten: {{ callers: '{callers}', ready: '{any_port}', \
             peers: '{any_port}', metrics: '{any_port}' }}\nstore: '{store}'\nbounds: ['grace=6s', 'strict_revoke=true', 'revoke=5s']\n"
        );
        let path = self.folder.join(format!("front-{index}-{}.yaml", self.seed));
        fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("front-{index}-{}.log", self.seed));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| e.to_string())?;
        let mut command = program_command("ragworthub")?;
        let child = command.args(["gateway", "--settings"]).arg(&path).stdout(log).spawn();
        let child = child.map_err(|e| format!("ragworthub: {e}"))?;
        let mut processes = self.processes.lock().unwrap_or_else(PoisonError::into_inner);
        processes.push(child.id());
        drop(processes);
        self.gateways[index] = Some(Process {
            child,
            address: callers,
        });
        Ok(())
    }

    /// Waits until each gateway serves both services for keys from the whole key range.
    async fn wait_until_served(&self, timeout: Duration) -> Result<(), String> {
        let start = Instant::now();
        for (index, gateway) in self.caller_addresses.iter().enumerate() {
            let mut keys = (0..=u16::MAX).step_by(PROBE_KEY_STEP).peekable();
            while let Some(&key) = keys.peek() {
                let id = format!("check-{index}-{key}-{}", start.elapsed().as_millis());
                if self.serves_key(*gateway, &id, key).await {
                    keys.next();
                } else if start.elapsed() > timeout {
                    return Err(format!("gateway {index} doesn't serve key {key} within {timeout:?}"));
                } else {
                    sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }

    /// Reports whether a gateway serves a key of both services.
    async fn serves_key(&self, gateway: SocketAddr, id: &str, key: u16) -> bool {
        let Some(mut client) = connect(gateway).await else {
            return false;
        };
        for non_idempotent in [false, true] {
            let response = call(&mut client, &format!("{id}-{non_idempotent}"), non_idempotent, key).await;
            if !matches!(response, Some((200, ..))) {
                return false;
            }
        }
        true
    }

    fn record_action(&mut self, action: &str) {
        let ms = self.start.elapsed().as_millis();
        self.report.actions.push(format!("{ms} {action}"));
    }

    /// Waits until a time and meanwhile performs the recoveries that are due.
    async fn wait_until(&mut self, end: Instant) -> Result<(), String> {
        loop {
            let next = self
                .pending
                .iter()
                .map(|pending| pending.at)
                .min()
                .filter(|at| *at <= end);
            sleep(next.unwrap_or(end).saturating_duration_since(Instant::now())).await;
            if next.is_none() {
                return Ok(());
            }
            let now = Instant::now();
            let (due, later) = std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|p: &ScheduledRecovery| p.at <= now);
            self.pending = later;
            for ScheduledRecovery { recovery, .. } in due {
                self.record_action(&format!("recovery {recovery:?}"));
                self.recover(recovery).await?;
            }
        }
    }

    async fn recover(&mut self, recovery: Recovery) -> Result<(), String> {
        match recovery {
            Recovery::RestoreServerLink(index) => self.server_proxies[index].set_fault(LinkFault::None),
            Recovery::RestoreStoreLink(index) => self.store_proxies[index].set_fault(LinkFault::None),
            // A server that stated that it is leaving gets no requests until it starts again.
            Recovery::ClearServerFault(index) if self.left.remove(&index) => {
                if self.servers[index].take().is_some() {
                    let name = server_name(index);
                    append_event(&self.event_log, &name, ServerEvent::End).map_err(|e| e.to_string())?;
                    return self.start_server(index);
                }
            }
            // A suspended server doesn't respond, and may apply a fault that was set meanwhile once it is resumed.
            Recovery::ClearServerFault(index) => {
                if !self.set_server_fault(index, "none").await {
                    self.schedule(CLEAR_RETRY_DELAY, recovery);
                }
            }
            Recovery::ClearStoreFault => {
                post(self.store.address, "/standin/fault", &json!({})).await;
            }
            Recovery::RestoreStore(rewrite_ms) => self.restore_store(rewrite_ms).await,
            Recovery::RestoreServerLinks => self.set_cut(None),
            Recovery::ResumeGateway(index) => return self.signal_gateway(index, "CONT"),
            Recovery::ResumeServer(index) => {
                let Some(server) = &self.servers[index] else {
                    return Ok(());
                };
                append_event(&self.event_log, &server_name(index), ServerEvent::Resume).map_err(|e| e.to_string())?;
                return server.signal("CONT");
            }
            Recovery::RestartGateway(index) => return self.start_gateway(index),
            Recovery::RestartServer(index) => return self.start_server(index),
        }
        Ok(())
    }

    fn signal_gateway(&self, index: usize, name: &str) -> Result<(), String> {
        self.gateways[index]
            .as_ref()
            .map_or(Ok(()), |gateway| gateway.signal(name))
    }

    /// Sets the fault of a server. Returns false if the server runs and doesn't respond.
    async fn set_server_fault(&self, index: usize, fault: &str) -> bool {
        match &self.servers[index] {
            Some(server) => post(server.address, "/standin/fault", &json!(fault)).await,
            None => true,
        }
    }

    /// Injects a random fault and schedules its recovery, or publishes a configuration.
    async fn inject_fault(&mut self) -> Result<(), String> {
        let duration = Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS));
        let (gateway, server) = (
            self.rng.random_range(0..GATEWAY_COUNT),
            self.rng.random_range(0..SERVERS_PER_SERVICE * 2),
        );
        let kind = self.rng.random_range(0..11);
        let link_fault = match self.rng.random_range(0..5) {
            0 => LinkFault::Delay(duration / 20),
            1 => LinkFault::Reset,
            2 => LinkFault::StallToTarget,
            3 => LinkFault::StallFromTarget,
            _ => LinkFault::StallBoth,
        };
        let has_gateway = self.gateways[gateway].is_some();
        let has_server = self.servers[server].is_some();
        let recovery = match kind {
            0 | 1 => {
                self.server_proxies[server].set_fault(link_fault);
                Recovery::RestoreServerLink(server)
            }
            2 | 3 => {
                self.store_proxies[gateway].set_fault(link_fault);
                Recovery::RestoreStoreLink(gateway)
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
                let fault = self.draw_directive().unwrap_or(fault);
                self.set_server_fault(server, fault).await;
                if fault == "leave" {
                    self.left.insert(server);
                }
                Recovery::ClearServerFault(server)
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
                Recovery::ClearStoreFault
            }
            6 if has_gateway => {
                self.signal_gateway(gateway, "STOP")?;
                Recovery::ResumeGateway(gateway)
            }
            7 if has_server => {
                self.servers[server]
                    .as_ref()
                    .map_or(Ok(()), |server| server.signal("STOP"))?;
                Recovery::ResumeServer(server)
            }
            8 if has_gateway => {
                self.gateways[gateway] = None;
                Recovery::RestartGateway(gateway)
            }
            9 if has_server => {
                self.servers[server] = None;
                append_event(&self.event_log, &server_name(server), ServerEvent::End).map_err(|e| e.to_string())?;
                Recovery::RestartServer(server)
            }
            10 if has_gateway => {
                self.stop_gateway(gateway).await?;
                Recovery::RestartGateway(gateway)
            }
            // Also reached by kinds 6 to 10 if the gateway or server isn't running. A fault of the store may
            // make publishing fail.
            _ => {
                let is_accepted = self.publish_configuration().await.is_ok();
                self.record_action(&format!("configuration {}, accepted: {is_accepted}", self.version));
                return Ok(());
            }
        };
        self.record_action(&format!(
            "injected fault kind {kind}, link fault (kinds 0 to 3): {link_fault:?}, {recovery:?} in {duration:?}"
        ));
        self.schedule(duration, recovery);
        Ok(())
    }

    fn schedule(&mut self, delay: Duration, recovery: Recovery) {
        let at = Instant::now() + delay;
        self.pending.push(ScheduledRecovery { at, recovery });
    }

    /// Draws a fault in which a server states what it takes, for a third of the server faults.
    fn draw_directive(&mut self) -> Option<&'static str> {
        let directives = ["limit", "leave", "pause"];
        directives.get(self.directive_rng.random_range(0..9)).copied()
    }

    /// Stops a gateway with SIGTERM, as planned maintenance does. Callers keep using their connections meanwhile.
    async fn stop_gateway(&mut self, index: usize) -> Result<(), String> {
        let Some(mut gateway) = self.gateways[index].take() else {
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
                    .violations
                    .push(format!("gateway {index} ended with {status} after SIGTERM")),
                None if start.elapsed() > SHUTDOWN_TIMEOUT => self.report.violations.push(format!(
                    "gateway {index} didn't end within {SHUTDOWN_TIMEOUT:?} after SIGTERM"
                )),
                None => {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            }
            return Ok(());
        }
    }
}

/// Posts JSON to a stand-in and reports whether it responded. One that is suspended or has exited doesn't.
async fn post(address: SocketAddr, path: &str, body: &serde_json::Value) -> bool {
    let send = async {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut client, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        let body = http_body_util::Full::new(bytes::Bytes::from(body.to_string()));
        let request = http::Request::post(path).header("host", "standin").body(body).ok()?;
        client.send_request(request).await.ok()
    };
    // Without a response, a fault may not be set, which only makes the run easier.
    let response = tokio::time::timeout(Duration::from_millis(300), send).await;
    matches!(response, Ok(Some(_)))
}
