//! Reads and checks the settings file.

use std::net::SocketAddr;
use std::time::Duration;

use super::document::{Document, Fields, Node, Value};
use super::{Credentials, Limits, Listen, Platform, Secret, Settings, Timing, default_retention};
use crate::types::{Fault, Span};

/// Fewest records that the log must retain; with fewer, a snapshot has no room beside its tail.
const RETENTION_MIN: u64 = 100;

/// Longest time without service after the loss of an owner.
const LOSS_LIMIT: Duration = Duration::from_secs(4);

/// Time for append and fold (100 ms) and for clock rates and guards (100 ms) within that limit.
const LOSS_OVERHEAD: Duration = Duration::from_millis(200);

/// Parses and checks the settings of an entry host.
///
/// # Errors
///
/// Gives all faults of the file with their places.
pub(crate) fn parse_settings(file_name: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let (mut document, root) = Document::parse(file_name, text);
    let settings = root.and_then(|root| read_settings(&mut document, &root));
    let faults = document.into_faults();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

fn read_settings(d: &mut Document<'_>, root: &Node) -> Option<Settings> {
    let known = ["host", "zone", "listen", "platform", "credentials", "timing", "limits"];
    let fields = d.fields(root, &known);
    let host = fields.read(d, "host");
    let zone = fields.read(d, "zone");
    let listen = fields.need(d, "listen").and_then(|node| read_listen(d, node));
    let platform = fields.need(d, "platform").and_then(|node| read_platform(d, node));
    let credentials = fields.need(d, "credentials").and_then(|node| read_credentials(d, node));
    let timing = fields.find("timing").map(|node| read_timing(d, node));
    let limits = fields.find("limits").map(|node| read_limits(d, node));
    Some(Settings {
        host: host?,
        zone: zone?,
        listen: listen?,
        platform: platform?,
        credentials: credentials?,
        timing: timing.unwrap_or_default(),
        limits: limits.unwrap_or_default(),
    })
}

fn read_listen(d: &mut Document<'_>, node: &Node) -> Option<Listen> {
    let names = ["callers", "peers", "operators"];
    let fields = d.fields(node, &names);
    let addresses: Vec<Option<SocketAddr>> = names.iter().map(|name| fields.read_address(d, name)).collect();
    for (i, name) in names.iter().enumerate() {
        for (earlier, other) in names.iter().zip(&addresses[..i]) {
            if let (Some(a), Some(b)) = (addresses[i], *other)
                && collide(a, b)
            {
                fields.refuse(d, name, format!("address {a} is in use by {earlier} ({b})"));
            }
        }
    }
    Some(Listen {
        callers: addresses[0]?,
        peers: addresses[1]?,
        operators: addresses[2]?,
    })
}

/// Tells whether two sockets can't listen at once. With port 0 the system chooses distinct ports.
fn collide(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && same_ip
}

fn read_platform(d: &mut Document<'_>, node: &Node) -> Option<Platform> {
    let fields = d.fields(node, &["log", "hosts", "retention_records"]);
    let log = fields.read_address(d, "log");
    let hosts = fields.find("hosts").and_then(|_| fields.read_address(d, "hosts"));
    for (name, address) in [("log", log), ("hosts", hosts)] {
        if address.is_some_and(|a| a.port() == 0) {
            fields.refuse(d, name, "expected an address with a port other than 0");
        }
    }
    let retention_records = fields.read_or(d, "retention_records", default_retention());
    if retention_records < RETENTION_MIN {
        fields.refuse(
            d,
            "retention_records",
            format!("expected at least {RETENTION_MIN} records"),
        );
    }
    Some(Platform {
        log: log?,
        hosts,
        retention_records,
    })
}

fn read_credentials(d: &mut Document<'_>, node: &Node) -> Option<Credentials> {
    if !matches!(node.value, Value::Map(_)) {
        // The message of other mappings repeats what was found, here perhaps a secret.
        d.refuse(node, "expected a mapping with peers, operators");
        return None;
    }
    let fields = d.fields(node, &["peers", "operators"]);
    let peers = read_secret(d, &fields, "peers");
    let operators = read_secret(d, &fields, "operators");
    Some(Credentials {
        peers: peers?,
        operators: operators?,
    })
}

/// Reads a secret; the message never repeats what was found.
fn read_secret(d: &mut Document<'_>, fields: &Fields<'_>, name: &str) -> Option<Secret> {
    let node = fields.need(d, name)?;
    match &node.value {
        // A secret travels in a header, which takes no other characters.
        Value::Scalar(serde_json::Value::String(text)) if is_visible(text) => Some(Secret(text.clone())),
        _ => {
            d.refuse(
                node,
                "expected a secret as text of visible ASCII that is not empty (quote a number)",
            );
            None
        }
    }
}

fn is_visible(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn read_timing(d: &mut Document<'_>, node: &Node) -> Timing {
    let names = [
        "routing_lease",
        "heartbeat",
        "grant",
        "renewal",
        "detection",
        "shutdown",
    ];
    let fields = d.fields(node, &names);
    let default = Timing::default();
    let timing = Timing {
        routing_lease: fields.read_span(d, "routing_lease", default.routing_lease),
        heartbeat: fields.read_span(d, "heartbeat", default.heartbeat),
        grant: fields.read_span(d, "grant", default.grant),
        renewal: fields.read_span(d, "renewal", default.renewal),
        detection: fields.read_span(d, "detection", default.detection),
        shutdown: fields.read_span(d, "shutdown", default.shutdown),
    };
    check_timing(d, &fields, &timing);
    timing
}

fn check_timing(d: &mut Document<'_>, fields: &Fields<'_>, timing: &Timing) {
    // A third leaves room for two lost messages before a lease or grant ends.
    for (name, span, whole_name, whole) in [
        ("renewal", timing.renewal, "grant", timing.grant),
        ("heartbeat", timing.heartbeat, "routing_lease", timing.routing_lease),
    ] {
        if span.0 >= whole.0 / 3 {
            fields.refuse(
                d,
                name,
                format!("{name} {span} must be below a third of {whole_name} {whole}"),
            );
        }
    }
    // One lost heartbeat is no loss of a host.
    if timing.detection.0 <= timing.heartbeat.0.saturating_mul(2) {
        let (detection, heartbeat) = (timing.detection, timing.heartbeat);
        fields.refuse(
            d,
            "detection",
            format!("detection {detection} must be above twice the heartbeat {heartbeat}"),
        );
    }
    let spans = [timing.detection.0, timing.routing_lease.0, timing.grant.0];
    let loss = spans.iter().fold(LOSS_OVERHEAD, |sum, &s| sum.saturating_add(s));
    if loss > LOSS_LIMIT {
        let (loss, limit) = (Span(loss), Span(LOSS_LIMIT));
        fields.refuse(
            d,
            "detection",
            format!("detection + routing_lease + grant + 200ms is {loss}, at most {limit} are allowed after a loss"),
        );
    }
}

fn read_limits(d: &mut Document<'_>, node: &Node) -> Limits {
    let fields = d.fields(node, &["requests", "register_entries", "queue"]);
    let default = Limits::default();
    let mut read = |name, default| {
        let count: u32 = fields.read_or(d, name, default);
        if count == 0 {
            fields.refuse(d, name, "expected a number above 0");
        }
        count
    };
    Limits {
        requests: read("requests", default.requests),
        register_entries: read("register_entries", default.register_entries),
        queue: read("queue", default.queue),
    }
}
