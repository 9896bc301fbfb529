//! Runs the stand-in for an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use standins::upstream::{Behaviour, start_upstream};

/// Stand-in for an upstream.
#[derive(Parser)]
struct Arguments {
    /// Address to listen on
    #[arg(long)]
    listen: SocketAddr,
    /// Name that answers carry
    #[arg(long)]
    name: String,
    /// Requests that it works on at once
    #[arg(long, default_value_t = 4)]
    slots: usize,
    /// Time that a request takes, in milliseconds
    #[arg(long, default_value_t = 1)]
    service_ms: u64,
    /// Requests that wait for a slot before further ones are shed
    #[arg(long, default_value_t = 16)]
    queue: usize,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let service = Duration::from_millis(arguments.service_ms);
    let behaviour = Behaviour {
        name: arguments.name,
        slots: arguments.slots,
        service,
        queue: arguments.queue,
    };
    let address = start_upstream(arguments.listen, behaviour).await?;
    println!("listening {address}");
    std::future::pending().await
}
