//! Wire format of the operators' configuration.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;

use super::units::{
    read_optional_time, read_optional_whole, read_or_default, read_time, read_version, read_weight, read_whole,
};
use crate::catalog::{
    CallerLimits, Catalog, CatalogVersion, Idempotency, Pool, Route, Target, UnusableRoute, host_name,
};
use crate::tenants::{Tenant, TenantDirectory};
use crate::types::{Offset, PoolName, RouteName, TenantName};

/// Requests per second that a cold upstream is assumed to tolerate if its pool states no rate.
const DEFAULT_COLD_PER_S: f64 = 1e9;
const DEFAULT_HEALTH_PATH: &str = "/health";
const DEFAULT_MAX_ATTEMPTS: u32 = 1;
/// Weight of the largest part of a split whose weights have fractions.
const WEIGHT_SCALE: f64 = 1e6;

#[derive(Deserialize)]
struct WireConfiguration<'a> {
    #[serde(deserialize_with = "read_version")]
    version: u64,
    #[serde(borrow)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow)]
    services: Vec<&'a RawValue>,
    limits: WireLimits,
    #[serde(borrow)]
    tenants: Option<Vec<&'a RawValue>>,
}

/// Name of an entry, read before the whole entry is.
#[derive(Deserialize)]
struct WireName {
    name: String,
}

#[derive(Deserialize)]
struct WireRoute {
    #[serde(default, deserialize_with = "read_or_default")]
    name: String,
    host: String,
    path_prefix: String,
    #[serde(default, deserialize_with = "read_or_default")]
    kind: WireKind,
    #[serde(deserialize_with = "read_time")]
    timeout: Duration,
    #[serde(default, deserialize_with = "read_optional_time")]
    target_latency: Option<Duration>,
    #[serde(default, deserialize_with = "read_optional_whole")]
    priority: Option<u8>,
    service: Option<PoolName>,
    #[serde(default, deserialize_with = "read_or_default")]
    traffic_split: Vec<WireTarget>,
    #[serde(default, deserialize_with = "read_optional_whole")]
    max_attempts: Option<u32>,
    #[serde(default, deserialize_with = "read_or_default")]
    public: bool,
}

#[derive(Deserialize)]
struct WireTenant {
    name: TenantName,
    #[serde(default, deserialize_with = "read_or_default")]
    api_keys: Vec<String>,
    #[serde(default, deserialize_with = "read_optional_whole")]
    priority: Option<u8>,
    /// Requests per second; 0 means no cap.
    #[serde(default, deserialize_with = "read_or_default")]
    rate_per_s: f64,
    #[serde(default, deserialize_with = "read_or_default")]
    burst: f64,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireKind {
    Safe,
    Unsafe,
    Download,
    Upload,
    /// No kind, or one that this build doesn't know. Its requests run at most once, which is right for each kind.
    #[default]
    #[serde(other)]
    Unknown,
}

#[derive(Deserialize)]
struct WireTarget {
    service: PoolName,
    #[serde(deserialize_with = "read_weight")]
    weight: f64,
}

#[derive(Deserialize)]
struct WireService {
    name: PoolName,
    #[serde(deserialize_with = "read_whole")]
    max_connections: u32,
    #[serde(default, deserialize_with = "read_optional_time")]
    cold_start: Option<Duration>,
    cold_per_s: Option<f64>,
    health_path: Option<String>,
    #[serde(default, deserialize_with = "read_or_default")]
    sharded: bool,
}

#[derive(Deserialize)]
struct WireLimits {
    #[serde(deserialize_with = "read_whole")]
    max_header_bytes: usize,
    #[serde(deserialize_with = "read_whole")]
    max_body_bytes: usize,
    #[serde(deserialize_with = "read_time")]
    idle_timeout: Duration,
}

/// Something in a configuration that can't be used as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Line of the configuration's text in which the entry starts.
    pub(crate) line: usize,
    /// Kind and name of the entry.
    pub(crate) entry: String,
    pub(crate) text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, {}: {}", self.line, self.entry, self.text)
    }
}

/// A decoded configuration, with what can't be used of it.
#[derive(Clone, Debug)]
pub(crate) struct Decoded {
    pub(crate) catalog: Catalog,
    pub(crate) faults: Vec<Fault>,
    /// Line in which each entry starts, by its kind and name.
    pub(crate) lines: BTreeMap<String, usize>,
}

/// Decodes a configuration. An entry that can't be decoded is left out and becomes a fault, so that it doesn't keep the
/// others from coming into force. Of a route that is left out, host and prefix are kept as far as they can be read.
///
/// # Errors
///
/// Returns the parse error if nothing can be decoded; the configuration in force then stays in use.
pub(crate) fn decode_catalog(offset: Offset, text: &[u8]) -> Result<Decoded, serde_json::Error> {
    decode_with_key(offset, text, rand::random())
}

/// Decodes a configuration with a given key for the hashes of credentials, so that two configurations can be compared.
///
/// # Errors
///
/// As [`decode_catalog`].
pub(crate) fn decode_with_key(offset: Offset, text: &[u8], hash_key: [u8; 16]) -> Result<Decoded, serde_json::Error> {
    let wire = serde_json::from_slice::<WireConfiguration<'_>>(text)?;
    let mut entries = Entries {
        text,
        line_ends: (0..text.len()).filter(|&at| text[at] == b'\n').collect(),
        faults: Vec::new(),
        lines: BTreeMap::new(),
    };
    let (routes, rejected) = entries.decode("route", wire.routes);
    let mut unusable_routes: Vec<UnusableRoute> = rejected.into_iter().map(read_unusable).collect();
    let routes = build_routes(routes, &mut entries, &mut unusable_routes);
    let (pools, _) = entries.decode::<WireService>("service", wire.services);
    let pools = pools.into_iter().map(|located| convert_pool(located.value));
    let pools = pools.map(|pool| (pool.name.clone(), pool)).collect();
    let tenants = wire.tenants.map(|tenants| {
        let (tenants, rejected) = entries.decode("tenant", tenants);
        let mut directory = build_directory(hash_key, tenants, &mut entries);
        if !rejected.is_empty() {
            directory.record_omission();
        }
        directory
    });
    let catalog = Catalog {
        tenants,
        version: CatalogVersion(wire.version),
        offset,
        routes,
        unusable_routes,
        pools,
        limits: CallerLimits {
            header_bytes: wire.limits.max_header_bytes,
            body_bytes: wire.limits.max_body_bytes,
            idle_time: wire.limits.idle_timeout,
        },
    };
    Ok(Decoded {
        catalog,
        faults: entries.faults,
        lines: entries.lines,
    })
}

/// A decoded entry and where it is.
struct Located<T> {
    line: usize,
    entry: String,
    value: T,
}

impl<T> Located<T> {
    fn fault(&self, text: impl Into<String>) -> Fault {
        Fault {
            line: self.line,
            entry: self.entry.clone(),
            text: text.into(),
        }
    }
}

/// Entries of a configuration while they are decoded.
struct Entries<'a> {
    text: &'a [u8],
    /// Offsets of the line breaks, so that finding an entry's line doesn't scan the text for each entry.
    line_ends: Vec<usize>,
    faults: Vec<Fault>,
    lines: BTreeMap<String, usize>,
}

impl Entries<'_> {
    /// Decodes the entries of a list one by one. Adds a fault for each that can't be decoded, and returns these too.
    fn decode<'r, T: DeserializeOwned>(
        &mut self,
        kind: &str,
        entries: Vec<&'r RawValue>,
    ) -> (Vec<Located<T>>, Vec<&'r RawValue>) {
        let (mut decoded, mut rejected) = (Vec::new(), Vec::new());
        for (number, raw) in entries.into_iter().enumerate() {
            let line = self.line_of(raw);
            let name = serde_json::from_str::<WireName>(raw.get());
            let entry = name.map_or_else(
                |_| format!("{kind} number {}", number + 1),
                |n| format!("{kind} {}", n.name),
            );
            self.lines.insert(entry.clone(), line);
            let value = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(raw.get()));
            match value {
                Ok(value) => decoded.push(Located { line, entry, value }),
                Err(error) => {
                    rejected.push(raw);
                    self.faults.push(Fault {
                        line: line + error.inner().line().saturating_sub(1),
                        entry,
                        text: format!("field {}: {}; the entry is left out", error.path(), error.inner()),
                    });
                }
            }
        }
        (decoded, rejected)
    }

    /// Returns the line of the text in which an entry, which is a part of the text, starts.
    fn line_of(&self, raw: &RawValue) -> usize {
        let start = (raw.get().as_ptr() as usize).saturating_sub(self.text.as_ptr() as usize);
        self.line_ends.partition_point(|&end| end < start) + 1
    }
}

/// Reads host and prefix of a route whose entry can't be decoded.
fn read_unusable(raw: &RawValue) -> UnusableRoute {
    let entry = serde_json::from_str::<Value>(raw.get()).unwrap_or_default();
    let text = |field: &str| entry[field].as_str();
    UnusableRoute {
        host: text("host").map(host_name),
        prefix: text("path_prefix").and_then(readable_prefix),
    }
}

/// Returns a prefix that a path can start with.
fn readable_prefix(prefix: &str) -> Option<String> {
    prefix.starts_with('/').then(|| prefix.to_owned())
}

/// Returns the routes by host and prefix. A route whose prefix isn't bounded by slashes, or whose host isn't a plain name, is
/// unusable as well.
fn build_routes(
    wire: Vec<Located<WireRoute>>,
    entries: &mut Entries<'_>,
    unusable: &mut Vec<UnusableRoute>,
) -> BTreeMap<String, BTreeMap<String, Route>> {
    let mut routes: BTreeMap<String, BTreeMap<String, Route>> = BTreeMap::new();
    for located in wire {
        if matches!(located.value.kind, WireKind::Unknown) {
            entries
                .faults
                .push(located.fault("unknown kind; its requests run at most once"));
        }
        let fault = located.fault("");
        let route = convert_route(located.value);
        let host = host_name(&route.host);
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/') && route.host == host) {
            unusable.push(UnusableRoute {
                host: Some(host),
                prefix: readable_prefix(&route.prefix),
            });
        }
        let known = routes.entry(route.host.clone()).or_default();
        if let Some(other) = known.get(&route.prefix) {
            entries.faults.push(Fault {
                text: format!("it can never match: route {} has the same host and prefix", other.name),
                ..fault
            });
            continue;
        }
        known.insert(route.prefix.clone(), route);
    }
    routes
}

fn build_directory(
    hash_key: [u8; 16],
    tenants: Vec<Located<WireTenant>>,
    entries: &mut Entries<'_>,
) -> TenantDirectory {
    let mut directory = TenantDirectory::new(hash_key);
    for located in tenants {
        let wire = &located.value;
        let is_number = |number: f64| number.is_finite() && number >= 0.0;
        if !(is_number(wire.rate_per_s) && is_number(wire.burst)) {
            entries
                .faults
                .push(located.fault("the cap is not a number of 0 or more; the entry is left out"));
            directory.record_omission();
            continue;
        }
        let tenant = Rc::new(Tenant {
            name: wire.name.clone(),
            priority: wire.priority,
            rate: (wire.rate_per_s > 0.0).then_some(wire.rate_per_s),
            burst: wire.burst,
        });
        directory.add_tenant(&tenant);
        for (number, key) in wire.api_keys.iter().enumerate() {
            if let Some(holder) = directory.add(key, &tenant) {
                let text = format!("tenant {holder} holds key number {} too; it stays there", number + 1);
                entries.faults.push(located.fault(text));
            }
        }
    }
    directory
}

fn convert_route(wire: WireRoute) -> Route {
    let targets = match wire.service {
        Some(pool) => vec![Target { pool, weight: 1 }],
        None => convert_split(wire.traffic_split),
    };
    Route {
        name: RouteName::from_label(&wire.name),
        host: wire.host.strip_suffix('.').unwrap_or(&wire.host).to_ascii_lowercase(),
        prefix: wire.path_prefix,
        idempotency: match wire.kind {
            WireKind::Safe => Idempotency::Idempotent,
            WireKind::Unsafe | WireKind::Unknown => Idempotency::NonIdempotent,
            WireKind::Upload => Idempotency::Upload,
            WireKind::Download => Idempotency::Download,
        },
        timeout: wire.timeout,
        objective: wire.target_latency.unwrap_or(wire.timeout),
        priority: wire.priority.unwrap_or_default(),
        attempts: wire.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
        targets,
        is_public: wire.public,
    }
}

/// Converts the parts of a split. Weights with fractions are scaled to whole ones.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an `as` conversion keeps a number in range"
)]
fn convert_split(split: Vec<WireTarget>) -> Vec<Target> {
    let is_whole = split.iter().all(|part| part.weight.fract() == 0.0);
    let largest = split.iter().map(|part| part.weight).fold(0.0, f64::max);
    let scale = if is_whole { 1.0 } else { WEIGHT_SCALE / largest };
    let convert = |part: WireTarget| Target {
        pool: part.service,
        weight: (part.weight * scale).round() as u32,
    };
    split.into_iter().map(convert).collect()
}

fn convert_pool(wire: WireService) -> Pool {
    Pool {
        name: wire.name,
        connections: wire.max_connections,
        cold_rate: wire.cold_per_s.unwrap_or(DEFAULT_COLD_PER_S),
        cold_time: wire.cold_start.unwrap_or_default(),
        health_path: wire.health_path.unwrap_or_else(|| DEFAULT_HEALTH_PATH.to_owned()),
        is_sharded: wire.sharded,
    }
}
