//! Measures the cost of the gateway in comparison with direct calls to the same stand-in, in one run.
//!
//! It measures latency with one request at a time, throughput with several concurrent connections,
//! and the gateway's CPU time per request as the system accounts for it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Parser;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use standins::bind;
use standins::server::{CrashMode, Server, ServerConfig, append_keyed_record};
use standins::store::Store;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time within which the gateway must have read the configuration and found the server.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const SERVER_NAME: &str = "path-1";
const CONFIGURATION: &str = r#"{"version":"00000001","routes":[{"name":"path","host":"path.example","path_prefix":"/","kind":"safe","timeout":"2s","max_attempts":1,"service":"path"}],"services":[{"name":"path","max_connections":200}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"idle_timeout":"15s"}}"#;

/// Compares calls through a gateway with direct calls to a server
#[derive(Parser)]
struct Arguments {
    /// Number of requests for each latency measurement, sent one at a time
    #[arg(long, default_value_t = 2_000)]
    requests: usize,
    /// Duration of each throughput measurement, in seconds
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Never read the gateway's log output, like a log collector that hangs
    #[arg(long)]
    stuck_output: bool,
    /// Number of concurrent connections in throughput measurements
    #[arg(long, default_value_t = 16)]
    connections: usize,
}

type Client = SendRequest<Empty<Bytes>>;

#[tokio::main]
async fn main() -> Result<(), String> {
    let arguments = Arguments::parse();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = bind(any).await.map_err(|e| e.to_string())?;
    let store = listener.local_addr().map_err(|e| e.to_string())?;
    tokio::spawn(Arc::new(Store::default()).run(listener));
    let listener = bind(any).await.map_err(|e| e.to_string())?;
    let server = listener.local_addr().map_err(|e| e.to_string())?;
    let config = ServerConfig {
        name: SERVER_NAME.to_owned(),
        service: "path".to_owned(),
        zone: "zone-a".to_owned(),
        store,
        address: server,
        event_log: None,
        slots: 1_000,
        work_time: Duration::ZERO,
        is_sharded: false,
        crash: CrashMode::default(),
    };
    tokio::spawn(Arc::new(Server::new(config)).run(listener));
    append_keyed_record(store, "keyed.op", "config", CONFIGURATION.as_bytes()).await?;
    let (mut process, gateway) = start_gateway(store, arguments.stuck_output).await?;
    let result = compare(&arguments, server, gateway, process.id()).await;
    // Stops the gateway together with this program; errors are ignored, as the system reports them.
    let _ = process.kill();
    let _ = process.wait();
    result
}

async fn compare(arguments: &Arguments, server: SocketAddr, gateway: SocketAddr, pid: u32) -> Result<(), String> {
    let direct = measure_latency(server, arguments.requests).await?;
    let proxied = measure_latency(gateway, arguments.requests).await?;
    println!("latency, one at a time: direct p50 {:?} p99 {:?}", direct.0, direct.1);
    println!("                  gateway p50 {:?} p99 {:?}", proxied.0, proxied.1);
    println!(
        "                    added p50 {:?} p99 {:?}",
        proxied.0.saturating_sub(direct.0),
        proxied.1.saturating_sub(direct.1)
    );
    let seconds = Duration::from_secs(arguments.seconds);
    let direct = measure_throughput(server, arguments.connections, seconds).await?;
    let cpu_before = cpu_seconds(pid);
    let proxied = measure_throughput(gateway, arguments.connections, seconds).await?;
    let cpu_used = cpu_seconds(pid) - cpu_before;
    println!(
        "throughput: direct {direct:.0}/s, gateway {proxied:.0}/s, ratio {:.2}",
        proxied / direct
    );
    let cpu_time = cpu_used / (proxied * seconds.as_secs_f64());
    println!(
        "gateway: {:.0} us of CPU time per request, {} KiB resident memory",
        cpu_time * 1e6,
        resident_kib(pid)
    );
    Ok(())
}

async fn start_gateway(store: SocketAddr, is_output_stuck: bool) -> Result<(Child, SocketAddr), String> {
    let free_address = || {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        listener.local_addr().map_err(|e| e.to_string())
    };
    let (callers, ready) = (free_address()?, free_address()?);
    let settings = format!(
        "host: path\nzone: zone-a\nlisten: {{ callers: '{callers}', ready: '{ready}', peers: '127.0.0.1:0', \
         metrics: '127.0.0.1:0' }}\nstore: '{store}'\n"
    );
    let path = std::env::temp_dir().join(format!("path-cost-{}.yaml", std::process::id()));
    std::fs::write(&path, settings).map_err(|e| e.to_string())?;
    let program: PathBuf = std::env::current_exe()
        .map_err(|e| e.to_string())?
        .with_file_name("ragworthub");
    let child = Command::new(program)
        .args(["gateway", "--settings"])
        .arg(&path)
        .stdout(if is_output_stuck { Stdio::piped() } else { Stdio::null() })
        .spawn()
        .map_err(|e| e.to_string())?;
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        if let Ok(mut client) = connect(callers).await
            && call(&mut client).await.is_ok()
        {
            return Ok((child, callers));
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err("the gateway served no request before the start time-out".to_owned())
}

async fn connect(address: SocketAddr) -> Result<Client, String> {
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (client, connection) = handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    tokio::spawn(connection);
    Ok(client)
}

async fn call(client: &mut Client) -> Result<(), String> {
    client.ready().await.map_err(|e| e.to_string())?;
    let request = Request::get("/x")
        .header("host", "path.example")
        .header("x-ragworthub-request-id", "1")
        .header("x-ragworthub-deadline-ms", "2000")
        .header("x-ragworthub-expected-instance", SERVER_NAME)
        .body(Empty::new())
        .map_err(|e| e.to_string())?;
    let response = client.send_request(request).await.map_err(|e| e.to_string())?;
    let status = response.status();
    response.into_body().collect().await.map_err(|e| e.to_string())?;
    if status.is_success() {
        Ok(())
    } else {
        Err(format!("request failed with status {status}"))
    }
}

/// Returns the median and the 99th percentile of the latency.
async fn measure_latency(address: SocketAddr, requests: usize) -> Result<(Duration, Duration), String> {
    let mut client = connect(address).await?;
    let mut times = Vec::with_capacity(requests);
    for _ in 0..requests {
        let start = Instant::now();
        call(&mut client).await?;
        times.push(start.elapsed());
    }
    times.sort();
    Ok((times[requests / 2], times[requests * 99 / 100]))
}

/// Returns the number of requests per second.
async fn measure_throughput(address: SocketAddr, connections: usize, duration: Duration) -> Result<f64, String> {
    let deadline = Instant::now() + duration;
    let tasks: Vec<_> = (0..connections)
        .map(|_| {
            tokio::spawn(async move {
                let mut client = connect(address).await?;
                let mut count = 0_u32;
                while Instant::now() < deadline {
                    call(&mut client).await?;
                    count += 1;
                }
                Ok::<u32, String>(count)
            })
        })
        .collect();
    let mut total = 0.0;
    for task in tasks {
        total += f64::from(task.await.map_err(|e| e.to_string())??);
    }
    Ok(total / duration.as_secs_f64())
}

/// Returns the user and system CPU time of a process in seconds; the system counts it in hundredths
/// of a second.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or_default()
    };
    (ticks(11) + ticks(12)) / 100.0
}

/// Returns the resident memory of a process in KiB, as a text for the report.
fn resident_kib(pid: u32) -> String {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.unwrap_or("unknown").trim().trim_end_matches(" kB").to_owned()
}
