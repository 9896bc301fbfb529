//! Runs the stand-in for an upstream server.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use standins::bind;
use standins::server::{CrashMode, Server, ServerConfig};

/// Stand-in for an upstream server, which announces itself in the store
#[derive(Parser)]
struct Arguments {
    /// Name, unique across all services
    #[arg(long)]
    name: String,
    /// Service to which the server belongs
    #[arg(long)]
    service: String,
    /// Availability zone
    #[arg(long, default_value = "zone-a")]
    zone: String,
    /// Address of the store
    #[arg(long, default_value = "127.0.0.1:7000")]
    store: SocketAddr,
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Address to announce instead, such as that of a proxy
    #[arg(long)]
    announce: Option<SocketAddr>,
    /// Event log: a file to which the server appends each event as a JSON record
    #[arg(long)]
    record: Option<PathBuf>,
    /// Maximum number of requests that run at the same time
    #[arg(long, default_value_t = 4)]
    slots: usize,
    /// Time for which each request runs, in milliseconds
    #[arg(long, default_value_t = 5)]
    work_ms: u64,
    /// Run only requests for keys on which the server has a lease
    #[arg(long)]
    sharded: bool,
    /// How the server ends when it runs a request whose path contains `crash`
    #[arg(long, value_enum, default_value_t)]
    crash: CrashMode,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let listener = bind(arguments.listen).await?;
    let address = listener.local_addr()?;
    println!("listening {address}");
    let server = Server::new(ServerConfig {
        name: arguments.name,
        service: arguments.service,
        zone: arguments.zone,
        store: arguments.store,
        address: arguments.announce.unwrap_or(address),
        event_log: arguments.record,
        slots: arguments.slots,
        work_time: Duration::from_millis(arguments.work_ms),
        is_sharded: arguments.sharded,
        crash: arguments.crash,
    });
    Arc::new(server).run(listener).await;
    Ok(())
}
