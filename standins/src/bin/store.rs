//! Runs the stand-in for the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Parser;
use standins::bind;
use standins::store::Store;

/// Stand-in for the platform's store, which keeps everything in memory
#[derive(Parser)]
struct Arguments {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:7000")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let listener = bind(Arguments::parse().listen).await?;
    println!("listening {}", listener.local_addr()?);
    Arc::new(Store::default()).run(listener).await;
    Ok(())
}
