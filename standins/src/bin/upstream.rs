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
    /// Further loopback addresses to listen at, from 127.1.0.0 on, at the same port
    #[arg(long, default_value_t = 0)]
    more_addresses: u16,
    /// Serve requests for keys without a check of grants
    #[arg(long)]
    unfenced: bool,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let service = Duration::from_millis(arguments.service_ms);
    let Arguments {
        name,
        slots,
        queue,
        unfenced,
        ..
    } = arguments;
    let behaviour = Behaviour {
        name,
        slots,
        service,
        queue,
        fenced: !unfenced,
    };
    let address = start_upstream(arguments.listen, arguments.more_addresses, behaviour).await?;
    println!("listening {address}");
    std::future::pending().await
}
