//! Writes a record to the store's operator topic, as the operators of the platform do.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use standins::server::append_keyed_record;

/// Writes a record to the store's operator topic
#[derive(Parser)]
struct Arguments {
    /// Address of the store
    #[arg(long, default_value = "127.0.0.1:7000")]
    store: SocketAddr,
    /// Key of the record
    #[arg(long, default_value = "config")]
    key: String,
    /// File with the value of the record; without a file, the record is removed
    #[arg(long)]
    file: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), String> {
    let arguments = Arguments::parse();
    let value = match &arguments.file {
        Some(file) => std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?,
        None => Vec::new(),
    };
    append_keyed_record(arguments.store, "keyed.op", &arguments.key, &value).await
}
