//! Generates the tonic client and server of the calls between hosts.
//!
//! The result is committed, so that the build of the router needs no generator. Run it from the
//! root of the repository: `cargo run -p codegen`.

use std::path::Path;

use tonic_build::manual::{Builder, Method, Service};

const OUTPUT: &str = "src/peer/generated";

/// Calls as name, route name, question and answer; the types are those of `src/peer/messages.rs`.
const CALLS: [(&str, &str, &str, &str); 7] = [
    (
        "exchange_heartbeat",
        "ExchangeHeartbeat",
        "Heartbeat",
        "HeartbeatAnswer",
    ),
    ("report_credits", "ReportCredits", "CreditReport", "Lends"),
    ("lend_credits", "LendCredits", "Lends", "Received"),
    ("claim_key", "ClaimKey", "ClaimMessage", "RegisterAnswer"),
    ("copy_register", "CopyRegister", "CopyQuestion", "CopyPage"),
    ("hold_counts", "HoldCounts", "Batch", "HoldAnswer"),
    ("share_suspects", "ShareSuspects", "SuspectNews", "Received"),
];

fn main() {
    generate(Path::new(OUTPUT));
}

fn generate(output: &Path) {
    std::fs::create_dir_all(output).expect("a writable output folder");
    let service = Service::builder()
        .name("Peers")
        .package("ragworthub")
        .comment("Calls between entry hosts.");
    let service = CALLS.iter().fold(service, |service, (name, route, question, answer)| {
        service.method(
            Method::builder()
                .name(name)
                .route_name(route)
                .input_type(format!("crate::peer::{question}"))
                .output_type(format!("crate::peer::{answer}"))
                .codec_path("crate::peer::PackCodec")
                .build(),
        )
    });
    Builder::new().out_dir(output).compile(&[service.build()]);
}

#[cfg(test)]
mod tests;
