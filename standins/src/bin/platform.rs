//! Runs the stand-in for the platform's log and host list.

use std::net::SocketAddr;

use clap::Parser;
use standins::platform::start_platform;

/// Stand-in for the platform's log and host list. Keeps everything in memory.
#[derive(Parser)]
struct Arguments {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:7000")]
    listen: SocketAddr,
    /// Records that a stream keeps
    #[arg(long, default_value_t = 1_000_000)]
    retention: usize,
}

#[tokio::main]
async fn main() -> Result<(), String> {
    let arguments = Arguments::parse();
    let server = start_platform(arguments.listen, arguments.retention)?;
    println!("listening {}", server.local_addr());
    server.await
}
