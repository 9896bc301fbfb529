//! Measures the cost of the request path beside a direct call in the same run.

use std::fmt::Write;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Parser;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Connections that carry load.
const CONNECTIONS: u32 = 32;
/// Callers with an open connection while memory is measured.
const CALLERS: usize = 1_000;
/// Key ranges while memory is measured.
const RANGES: usize = 10_000;
/// Upstreams of the pools that give the ranges; a new pool has 64 ranges for each.
const RANGE_UPSTREAMS: usize = RANGES.div_ceil(64);
/// Size of the download, in bytes.
const DOWNLOAD: u64 = 1 << 30;
/// Clock ticks per second in /proc; the same on all Linux systems of today.
const TICKS: f64 = 100.0;
const CREDENTIAL: &str = "path-cost";
/// Limit of each wait.
const WAIT_LIMIT: Duration = Duration::from_secs(15);

/// Measures the cost of the request path on loopback, beside a direct call in the same run.
///
/// Starts the stand-ins for the platform and an upstream and three router processes, of which one
/// gets the load, all of which have
/// to be built in the folder of this program, in release mode for figures that count. Takes less
/// than a minute. Prints a table, and then one JSON line for each measure with its target.
///
/// "per core" is requests per second of CPU time of one process: the upstream's in the direct
/// call, the router's in the call through the router. Latencies are taken at half of the rate that
/// the router reached with 32 connections, with and without the router.
#[derive(Parser)]
struct Arguments {
    /// Length of each load run, in seconds
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=8))]
    seconds: u64,
    /// Stops after the throughput through the router, for a profiler
    #[arg(long)]
    throughput_only: bool,
}

/// A process that is killed at the end.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Process {
    /// CPU time that the process has used, in seconds.
    fn read_cpu(&self) -> Result<f64, Failure> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let rest = stat.rsplit_once(") ").ok_or("stat of another form")?.1;
        let fields: Vec<&str> = rest.split(' ').collect();
        let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        Ok((ticks(11) + ticks(12)) / TICKS)
    }

    /// Resident memory, in bytes.
    fn read_memory(&self) -> Result<u64, Failure> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .ok_or("no VmRSS")?;
        Ok(line.trim().trim_end_matches(" kB").trim().parse::<u64>()? << 10)
    }
}

/// The processes of a measurement.
struct Deployment {
    folder: PathBuf,
    _platform: Process,
    upstream: Process,
    /// The router that is measured.
    router: Process,
    /// Routers in other availability zones, which hold its counts.
    _peers: [Process; 2],
    operators: SocketAddr,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

fn binary(name: &str) -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name(name))
}

fn start_standin(name: &str, arguments: &[&str]) -> Result<Process, Failure> {
    let mut command = Command::new(binary(name)?);
    let mut child = command.args(arguments).stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    BufReader::new(child.stdout.take().ok_or("no output")?).read_line(&mut line)?;
    let address = line.trim().strip_prefix("listening ").ok_or("no address")?.parse()?;
    Ok(Process { child, address })
}

fn start_router(folder: &Path, zone: &str, platform: SocketAddr) -> Result<(Process, SocketAddr), Failure> {
    let path = folder.join(format!("host-{zone}.yaml"));
    let settings = format!(
        "host: entry-{zone}\nzone: {zone}\nlisten: {{ callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0' }}\n\
         platform: {{ log: '{platform}' }}\ncredentials: {{ peers: peers, operators: {CREDENTIAL} }}\n"
    );
    std::fs::write(&path, settings)?;
    let mut command = Command::new(binary("ragworthub")?);
    let mut child = command
        .arg("host")
        .arg("--settings")
        .arg(path)
        .stderr(Stdio::piped())
        .spawn()?;
    let mut lines = BufReader::new(child.stderr.take().ok_or("no log")?).lines();
    let listening = lines
        .by_ref()
        .map_while(Result::ok)
        .filter_map(|line| serde_json::from_str::<Value>(&line).ok())
        .find(|line| line["msg"] == "listening")
        .ok_or("the router does not listen")?;
    // Reads on, so that a full pipe never blocks the router.
    std::thread::spawn(move || lines.for_each(drop));
    let address = |name: &str| -> Result<SocketAddr, Failure> { Ok(listening[name].as_str().ok_or(name)?.parse()?) };
    let process = Process {
        address: address("callers")?,
        child,
    };
    Ok((process, address("operators")?))
}

impl Deployment {
    fn start() -> Result<Self, Failure> {
        let folder = std::env::temp_dir().join(format!("path-cost-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("credential"), CREDENTIAL)?;
        let listen = ["--listen", "127.0.0.1:0"];
        let platform = start_standin("platform", &listen)?;
        let behaviour = ["--name", "u", "--service-ms", "0", "--slots", "256", "--queue", "4096"];
        let more = RANGE_UPSTREAMS.to_string();
        let behaviour = [&behaviour[..], &["--more-addresses", &more]].concat();
        let upstream = start_standin("upstream", &[&listen[..], &behaviour[..]].concat())?;
        let (router, operators) = start_router(&folder, "a", platform.address)?;
        let (b, _) = start_router(&folder, "b", platform.address)?;
        let (c, _) = start_router(&folder, "c", platform.address)?;
        Ok(Self {
            folder,
            _platform: platform,
            upstream,
            router,
            _peers: [b, c],
            operators,
        })
    }

    /// Publishes a shared pool, and keyed pools with so many upstreams in all.
    fn publish(&self, keyed: usize) -> Result<(), Failure> {
        let describe = |name: &str, address: SocketAddr| {
            format!("      {name}: {{ host: {name}, zone: a, address: '{address}', slots: 256, connections: 2000 }}\n")
        };
        let mut pools = format!(
            "pools:\n  padrones:\n    ownership: shared\n    upstreams:\n{}",
            describe("padrones-0", self.upstream.address)
        );
        let mut routes =
            "routes:\n  - { name: padrones, prefix: /padrones/, callers: { names: [c] }, pool: padrones }\n".to_owned();
        for first in (0..keyed).step_by(16) {
            let pool = format!("placas{first}");
            write!(pools, "  {pool}:\n    ownership: fenced\n    upstreams:\n")?;
            for i in first..keyed.min(first + 16) {
                let [_, _, high, low] = u32::try_from(i)?.to_be_bytes();
                let address = SocketAddr::from(([127, 1, high, low], self.upstream.address.port()));
                pools.push_str(&describe(&format!("placas-{i}"), address));
            }
            writeln!(
                routes,
                "  - {{ name: {pool}, prefix: /{pool}/, callers: {{ names: [c] }}, pool: {pool}, key: {{ segment: 0 }} }}"
            )?;
        }
        std::fs::write(self.folder.join("routes.yaml"), routes)?;
        std::fs::write(self.folder.join("pools.yaml"), pools)?;
        let (routes, pools) = (self.folder.join("routes.yaml"), self.folder.join("pools.yaml"));
        let (routes, pools) = (routes.to_string_lossy(), pools.to_string_lossy());
        let result = self.operate(&["publish", "--routes", &routes, "--pools", &pools])?;
        match result["result"].as_str() {
            Some("applied") => Ok(()),
            _ => Err(format!("tables not applied: {result}").into()),
        }
    }

    fn operate(&self, arguments: &[&str]) -> Result<Value, Failure> {
        let mut command = Command::new(binary("ragworthub")?);
        command.args(arguments).args(["--json", "--address"]);
        command.arg(self.operators.to_string()).arg("--credential");
        let output = command.arg(self.folder.join("credential")).output()?;
        let text = String::from_utf8_lossy(&output.stderr);
        serde_json::from_slice(&output.stdout).map_err(|e| format!("{e}: {text}").into())
    }

    /// Waits until the keyed pools have their ranges, and gives the number of ranges.
    async fn wait_for_ranges(&self, least: usize) -> Result<usize, Failure> {
        let start = Instant::now();
        loop {
            let count = self.operate(&["ownership"])?.as_array().map_or(0, Vec::len);
            if count >= least || start.elapsed() > WAIT_LIMIT {
                return Ok(count);
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
}

/// A connection of a caller.
async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, Failure> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, driver) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(driver);
    Ok(sender)
}

/// Sends a request, reads the whole answer and gives its length; any status but 200 is a failure.
async fn call(sender: &mut SendRequest<Empty<Bytes>>, path: &str) -> Result<u64, Failure> {
    sender.ready().await?;
    let request = Request::get(path)
        .header("host", "x")
        .header("ragworthub-caller", "c")
        .body(Empty::new())?;
    let answer = sender.send_request(request).await?;
    if answer.status() != 200 {
        let reason = answer.headers().get("ragworthub-reason").cloned();
        return Err(format!("status {}, reason {reason:?}", answer.status()).into());
    }
    let mut body = answer.into_body();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        length += frame?.data_ref().map_or(0, Bytes::len) as u64;
    }
    Ok(length)
}

/// What a load run measured.
struct Run {
    /// Requests per second.
    rate: f64,
    /// Requests per second of the process's CPU time.
    per_core: f64,
    /// Latencies in microseconds, sorted.
    latencies: Vec<u64>,
}

impl Run {
    fn quantile(&self, share: f64) -> f64 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a run has fewer than a billion requests"
        )]
        let index = (self.latencies.len() as f64 * share) as usize;
        let micros = self.latencies.get(index.min(self.latencies.len().saturating_sub(1)));
        Duration::from_micros(micros.copied().unwrap_or(0)).as_secs_f64() * 1e3
    }
}

/// Sends requests over [`CONNECTIONS`] connections, as fast as they are answered or at a rate.
async fn run_load(process: &Process, length: Duration, rate: Option<f64>) -> Result<Run, Failure> {
    let cpu = process.read_cpu()?;
    let start = Instant::now();
    let pace = rate.map(|rate| Duration::from_secs_f64(f64::from(CONNECTIONS) / rate));
    let end = start + length;
    let address = process.address;
    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|i| tokio::spawn(run_caller(address, end, pace, i)))
        .collect();
    let mut latencies = Vec::new();
    for caller in callers {
        latencies.extend(caller.await??);
    }
    latencies.sort_unstable();
    let count = f64::from(u32::try_from(latencies.len())?);
    Ok(Run {
        rate: count / start.elapsed().as_secs_f64(),
        per_core: count / (process.read_cpu()? - cpu).max(1.0 / TICKS),
        latencies,
    })
}

async fn run_caller(
    address: SocketAddr,
    end: Instant,
    pace: Option<Duration>,
    number: u32,
) -> Result<Vec<u64>, Failure> {
    let mut sender = connect(address).await?;
    let mut latencies = Vec::new();
    let mut due = Instant::now() + pace.unwrap_or_default() * number / CONNECTIONS;
    while Instant::now() < end {
        let mut from = Instant::now();
        if let Some(pace) = pace {
            if due > from {
                sleep_until(due.into()).await;
                // The timer's own lateness is no latency of the path.
                from = Instant::now();
            } else {
                // The request before it was late, and delays this one.
                from = due;
            }
            due += pace;
        }
        call(&mut sender, "/padrones/1").await?;
        latencies.push(u64::try_from(from.elapsed().as_micros())?);
    }
    Ok(latencies)
}

/// A measure beside its target.
struct Measure {
    name: &'static str,
    unit: &'static str,
    target: f64,
    value: f64,
    at_least: bool,
}

impl Measure {
    fn is_met(&self) -> bool {
        if self.at_least {
            self.value >= self.target
        } else {
            self.value <= self.target
        }
    }
}

fn at_most(name: &'static str, unit: &'static str, target: f64, value: f64) -> Measure {
    Measure {
        name,
        unit,
        target,
        value,
        at_least: false,
    }
}

fn print_measures(measures: &[Measure]) {
    println!("{:<46} {:>10} {:>10}  met", "measure", "target", "value");
    for m in measures {
        let sign = if m.at_least { ">=" } else { "<=" };
        let (name, target, value) = (format!("{} ({})", m.name, m.unit), m.target, m.value);
        let met = if m.is_met() { "yes" } else { "no" };
        println!("{name:<46} {sign} {target:>7} {value:>10.3}  {met}");
    }
    for m in measures {
        let line =
            json!({ "measure": m.name, "unit": m.unit, "target": m.target, "value": m.value, "met": m.is_met() });
        println!("{line}");
    }
}

#[expect(clippy::cast_precision_loss, reason = "memory is far below 2^52 bytes")]
fn to_megabytes(bytes: u64) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}

/// Measures throughput and latency.
async fn measure_load(deployment: &Deployment, arguments: &Arguments) -> Result<Vec<Measure>, Failure> {
    let length = Duration::from_secs(arguments.seconds);
    let (direct, routed) = (&deployment.upstream, &deployment.router);
    run_load(routed, Duration::from_secs(1), None).await?;
    let (fast_direct, fast_routed) = (
        run_load(direct, length, None).await?,
        run_load(routed, length, None).await?,
    );
    let per_core = Measure {
        name: "throughput per core, share of direct",
        unit: "ratio",
        target: 0.5,
        value: fast_routed.per_core / fast_direct.per_core,
        at_least: true,
    };
    println!(
        "direct {:.0}/s, {:.0}/s per core of the upstream; routed {:.0}/s, {:.0}/s per core of the router",
        fast_direct.rate, fast_direct.per_core, fast_routed.rate, fast_routed.per_core
    );
    if arguments.throughput_only {
        return Ok(vec![per_core]);
    }
    let half = Some(fast_routed.rate / 2.0);
    let direct = run_load(direct, length, half).await?;
    let routed = run_load(routed, length, half).await?;
    println!(
        "at {:.0}/s: direct {:.3} ms median, {:.3} ms at 99%; routed {:.3} ms median, {:.3} ms at 99%",
        routed.rate,
        direct.quantile(0.5),
        direct.quantile(0.99),
        routed.quantile(0.5),
        routed.quantile(0.99)
    );
    let added = |share: f64| routed.quantile(share) - direct.quantile(share);
    Ok(vec![
        per_core,
        at_most("added latency, median", "ms", 0.2, added(0.5)),
        at_most("added latency, 99th percentile", "ms", 1.0, added(0.99)),
    ])
}

/// Measures resident memory with many callers and ranges.
async fn measure_memory(deployment: &Deployment) -> Result<Measure, Failure> {
    println!(
        "memory after the load runs: {:.1} MB",
        to_megabytes(deployment.router.read_memory()?)
    );
    deployment.publish(RANGE_UPSTREAMS)?;
    let ranges = deployment.wait_for_ranges(RANGES).await?;
    println!(
        "memory with {ranges} ranges: {:.1} MB",
        to_megabytes(deployment.router.read_memory()?)
    );
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut sender = connect(deployment.router.address).await?;
        call(&mut sender, "/padrones/1").await?;
        callers.push(sender);
    }
    let memory = to_megabytes(deployment.router.read_memory()?);
    drop(callers);
    println!("memory with {ranges} ranges and {CALLERS} callers: {memory:.1} MB");
    Ok(at_most("memory, 1,000 callers and 10,000 ranges", "MB", 64.0, memory))
}

/// Measures memory that a download adds.
async fn measure_download(deployment: &Deployment) -> Result<Measure, Failure> {
    let before = deployment.router.read_memory()?;
    let address = deployment.router.address;
    let start = Instant::now();
    let download = tokio::spawn(async move {
        let mut sender = connect(address).await?;
        call(&mut sender, &format!("/padrones/1?bytes={DOWNLOAD}")).await
    });
    let highest = Arc::new(AtomicU64::new(before));
    while !download.is_finished() && start.elapsed() < WAIT_LIMIT {
        highest.fetch_max(deployment.router.read_memory()?, Ordering::Relaxed);
        sleep(Duration::from_millis(10)).await;
    }
    let length = timeout(Duration::from_secs(1), download).await???;
    if length != DOWNLOAD {
        return Err(format!("the download has {length} bytes").into());
    }
    println!("download of 1 GiB in {:.2} s", start.elapsed().as_secs_f64());
    let added = to_megabytes(highest.load(Ordering::Relaxed) - before);
    Ok(at_most("memory added by a 1 GiB download", "MB", 16.0, added))
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let arguments = Arguments::parse();
    let deployment = Deployment::start()?;
    deployment.publish(0)?;
    let start = Instant::now();
    let mut sender = connect(deployment.router.address).await?;
    while let Err(error) = call(&mut sender, "/padrones/1").await {
        if start.elapsed() > WAIT_LIMIT {
            return Err(error);
        }
        sleep(Duration::from_millis(50)).await;
    }
    let mut measures = measure_load(&deployment, &arguments).await?;
    if !arguments.throughput_only {
        measures.push(measure_download(&deployment).await?);
        measures.push(measure_memory(&deployment).await?);
    }
    print_measures(&measures);
    Ok(())
}
