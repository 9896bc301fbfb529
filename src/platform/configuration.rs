//! Wire format of the operators' configuration.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::units::{read_optional_time, read_time, read_version};
use crate::catalog::{CallerLimits, Catalog, CatalogVersion, Idempotency, Pool, Route, Target};
use crate::tenants::{Tenant, TenantDirectory};
use crate::types::{Offset, PoolName, RouteName, TenantName};

/// Requests per second that a cold upstream is assumed to tolerate if its pool states no rate.
const DEFAULT_COLD_PER_S: f64 = 1e9;
const DEFAULT_HEALTH_PATH: &str = "/health";
const DEFAULT_MAX_ATTEMPTS: u32 = 1;

#[derive(Deserialize)]
struct WireConfiguration {
    #[serde(deserialize_with = "read_version")]
    version: u64,
    routes: Vec<Value>,
    services: Vec<Value>,
    limits: WireLimits,
    tenants: Option<Vec<Value>>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: RouteName,
    host: String,
    path_prefix: String,
    kind: WireKind,
    #[serde(deserialize_with = "read_time")]
    timeout: Duration,
    #[serde(default, deserialize_with = "read_optional_time")]
    target_latency: Option<Duration>,
    #[serde(default)]
    priority: u8,
    service: Option<PoolName>,
    #[serde(default)]
    traffic_split: Vec<WireTarget>,
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
struct WireTenant {
    name: TenantName,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    /// Requests per second; 0 means no cap.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireKind {
    Safe,
    Unsafe,
    Download,
    Upload,
    /// A kind that this build doesn't know. Its requests run at most once, which is right for each kind.
    #[serde(other)]
    Unknown,
}

#[derive(Deserialize)]
struct WireTarget {
    service: PoolName,
    weight: u32,
}

#[derive(Deserialize)]
struct WireService {
    name: PoolName,
    max_connections: u32,
    #[serde(default, deserialize_with = "read_optional_time")]
    cold_start: Option<Duration>,
    cold_per_s: Option<f64>,
    health_path: Option<String>,
    #[serde(default)]
    sharded: bool,
}

#[derive(Deserialize)]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    #[serde(deserialize_with = "read_time")]
    idle_timeout: Duration,
}

/// Decodes a configuration. An entry that can't be decoded is left out and described in a list of faults, so that it
/// doesn't keep the others from coming into force.
///
/// # Errors
///
/// Returns the parse error if nothing can be decoded; the configuration in force then stays in use.
pub(crate) fn decode_catalog(offset: Offset, text: &[u8]) -> Result<(Catalog, Vec<String>), serde_json::Error> {
    let wire = serde_json::from_slice::<WireConfiguration>(text)?;
    let mut faults = Vec::new();
    let mut routes: BTreeMap<String, BTreeMap<String, Route>> = BTreeMap::new();
    for route in decode_entries::<WireRoute>("route", wire.routes, &mut faults) {
        if matches!(route.kind, WireKind::Unknown) {
            faults.push(format!(
                "route {}: unknown kind; its requests run at most once",
                route.name
            ));
        }
        let route = convert_route(route);
        routes
            .entry(route.host.clone())
            .or_default()
            .insert(route.prefix.clone(), route);
    }
    let pools = decode_entries::<WireService>("service", wire.services, &mut faults);
    let pools = pools.into_iter().map(convert_pool);
    let tenants = wire.tenants.map(|entries| {
        let tenants = decode_entries::<WireTenant>("tenant", entries, &mut faults);
        build_directory(tenants, &mut faults)
    });
    let catalog = Catalog {
        tenants,
        version: CatalogVersion(wire.version),
        offset,
        routes,
        pools: pools.map(|pool| (pool.name.clone(), pool)).collect(),
        limits: CallerLimits {
            header_bytes: wire.limits.max_header_bytes,
            body_bytes: wire.limits.max_body_bytes,
            idle_time: wire.limits.idle_timeout,
        },
    };
    Ok((catalog, faults))
}

fn build_directory(tenants: Vec<WireTenant>, faults: &mut Vec<String>) -> TenantDirectory {
    let mut directory = TenantDirectory::new(rand::random());
    for wire in tenants {
        let is_number = |number: f64| number.is_finite() && number >= 0.0;
        if !(is_number(wire.rate_per_s) && is_number(wire.burst)) {
            faults.push(format!(
                "tenant {}: the cap is not a number of 0 or more; left out",
                wire.name
            ));
            continue;
        }
        let tenant = Rc::new(Tenant {
            name: wire.name,
            priority: wire.priority,
            rate: (wire.rate_per_s > 0.0).then_some(wire.rate_per_s),
            burst: wire.burst,
        });
        for (number, key) in wire.api_keys.iter().enumerate() {
            if !directory.add(key, &tenant) {
                faults.push(format!(
                    "tenant {}: another tenant holds key number {}; it stays there",
                    tenant.name,
                    number + 1
                ));
            }
        }
    }
    directory
}

/// Decodes the entries of a list one by one and adds a fault for each that can't be decoded.
fn decode_entries<T: DeserializeOwned>(what: &str, entries: Vec<Value>, faults: &mut Vec<String>) -> Vec<T> {
    let decode = |(number, entry): (usize, Value)| {
        let name = entry["name"].as_str().map(ToOwned::to_owned);
        let decoded = T::deserialize(entry);
        decoded
            .map_err(|error| {
                let name = name.unwrap_or_else(|| format!("number {}", number + 1));
                faults.push(format!("{what} {name}: {error}; left out"));
            })
            .ok()
    };
    entries.into_iter().enumerate().filter_map(decode).collect()
}

fn convert_route(wire: WireRoute) -> Route {
    let targets = match wire.service {
        Some(pool) => vec![Target { pool, weight: 1 }],
        None => wire.traffic_split.into_iter().map(convert_target).collect(),
    };
    Route {
        name: wire.name,
        host: wire.host.to_ascii_lowercase(),
        prefix: wire.path_prefix,
        idempotency: match wire.kind {
            WireKind::Safe => Idempotency::Idempotent,
            WireKind::Unsafe | WireKind::Unknown => Idempotency::NonIdempotent,
            WireKind::Upload => Idempotency::Upload,
            WireKind::Download => Idempotency::Download,
        },
        timeout: wire.timeout,
        objective: wire.target_latency.unwrap_or(wire.timeout),
        priority: wire.priority,
        attempts: wire.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS).max(1),
        targets,
        is_public: wire.public,
    }
}

fn convert_target(wire: WireTarget) -> Target {
    Target {
        pool: wire.service,
        weight: wire.weight,
    }
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
