//! Runs the stand-in for a server of the users.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use standins::bind;
use standins::server::{Server, Setup};

/// Stand-in for a server of the users; it announces itself in the store.
#[derive(Parser)]
struct Arguments {
    /// Name, unique over all services
    #[arg(long)]
    name: String,
    #[arg(long)]
    service: String,
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
    /// File to which it appends what it does
    #[arg(long)]
    record: Option<PathBuf>,
    /// Requests that it works on at once
    #[arg(long, default_value_t = 4)]
    slots: usize,
    /// Time that a request takes, in milliseconds
    #[arg(long, default_value_t = 5)]
    work_ms: u64,
    /// Runs only requests for keys that were granted to it
    #[arg(long)]
    sharded: bool,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let listener = bind(arguments.listen).await?;
    let address = listener.local_addr()?;
    println!("listening {address}");
    let server = Server::new(Setup {
        name: arguments.name,
        service: arguments.service,
        zone: arguments.zone,
        store: arguments.store,
        address: arguments.announce.unwrap_or(address),
        record: arguments.record,
        slots: arguments.slots,
        work: Duration::from_millis(arguments.work_ms),
        is_sharded: arguments.sharded,
    });
    Arc::new(server).run(listener).await;
    Ok(())
}
