//! What operators should know of a configuration before they send it: entries that can't work or never match, limits that
//! contradict each other, and what it changes for callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{Catalog, Pool, Route, RouteMatch, has_valid_escapes};
use crate::tenants::TenantDirectory;
use crate::types::PoolName;

/// Least time that an attempt needs; opening a connection alone may take it.
const ATTEMPT_MIN: Duration = Duration::from_millis(250);
/// Smallest limit on the head of a request that gateways apply.
const HEADER_MIN_BYTES: usize = 8_192;
/// Share of a machine's memory that bodies may use.
const BODY_MEMORY_SHARE: f64 = 0.58;

/// Something that operators should know of an entry, which is named by its kind and name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Finding {
    pub(crate) entry: String,
    pub(crate) text: String,
    /// It may be intended, and callers don't notice it.
    pub(crate) is_note: bool,
}

impl Finding {
    fn fault(entry: &str, text: String) -> Self {
        Self {
            entry: entry.to_owned(),
            text,
            is_note: false,
        }
    }

    fn note(entry: &str, text: String) -> Self {
        Self {
            is_note: true,
            ..Self::fault(entry, text)
        }
    }
}

impl Catalog {
    /// Returns what is wrong with the entries. `memory` is that of the smallest machine in bytes, if it is known.
    pub(crate) fn check(&self, memory: Option<usize>) -> Vec<Finding> {
        let mut findings = Vec::new();
        for route in self.routes.values().flat_map(BTreeMap::values) {
            let entry = format!("route {}", route.name);
            let texts = check_match(route).into_iter().chain(self.check_route(route));
            findings.extend(texts.map(|text| Finding::fault(&entry, text)));
            let idle = route.targets.iter().filter(|target| target.weight == 0);
            let text = |pool| format!("its part {pool} has weight 0 and gets no requests");
            findings.extend(idle.map(|target| Finding::note(&entry, text(&target.pool))));
        }
        let targets = self.routes.values().flat_map(BTreeMap::values).flat_map(|r| &r.targets);
        let named: BTreeSet<&PoolName> = targets.map(|target| &target.pool).collect();
        for pool in self.pools.values() {
            let entry = format!("service {}", pool.name);
            findings.extend(check_pool(pool).into_iter().map(|text| Finding::fault(&entry, text)));
            if !named.contains(&pool.name) {
                findings.push(Finding::note(&entry, "no route names it".to_owned()));
            }
        }
        let limits = self.check_limits(memory);
        findings.extend(limits.into_iter().map(|text| Finding::fault("limits", text)));
        if let Some(directory) = &self.tenants {
            findings.extend(check_tenants(directory));
        }
        findings
    }

    fn check_route(&self, route: &Route) -> Vec<String> {
        let mut texts = Vec::new();
        if route.targets.iter().all(|target| target.weight == 0) {
            texts.push("no target has a weight above 0".to_owned());
        }
        for target in &route.targets {
            if !self.pools.contains_key(&target.pool) {
                texts.push(format!("unknown service {}", target.pool));
            }
        }
        if self.mixes_keys(route) {
            texts.push("it mixes services with and without keys, so requests without a key may get 503".to_owned());
        }
        if route.timeout < route.objective {
            texts.push(format!(
                "the timeout of {:?} is below the target latency of {:?}",
                route.timeout, route.objective
            ));
        }
        if route.timeout < ATTEMPT_MIN * route.attempts {
            texts.push(format!(
                "the timeout of {:?} can't hold {} attempts of at least {ATTEMPT_MIN:?}",
                route.timeout, route.attempts
            ));
        }
        texts
    }

    fn check_limits(&self, memory: Option<usize>) -> Vec<String> {
        let mut texts = Vec::new();
        if self.limits.header_bytes < HEADER_MIN_BYTES {
            texts.push(format!(
                "heads of up to {HEADER_MIN_BYTES} bytes are accepted, although the limit is {}",
                self.limits.header_bytes
            ));
        }
        let room = memory.map(|memory| to_f64(memory) * BODY_MEMORY_SHARE);
        if let Some(room) = room.filter(|room| to_f64(self.limits.body_bytes) > *room) {
            texts.push(format!(
                "bodies of {} bytes are allowed, but the smallest machine has room for {room:.0}",
                self.limits.body_bytes
            ));
        }
        texts
    }
}

/// Checks whether a route can match any request.
fn check_match(route: &Route) -> Vec<String> {
    let mut texts = Vec::new();
    let prefix = &route.prefix;
    if !(prefix.starts_with('/') && prefix.ends_with('/')) {
        texts.push(format!(
            "it can never match: prefix {prefix:?} must start and end with a slash"
        ));
    }
    if prefix.contains(['?', '#', ' ']) || !has_valid_escapes(prefix) {
        texts.push(format!("it can never match: no path contains prefix {prefix:?}"));
    }
    if route.host.is_empty() || route.host.contains([':', '/', ' ']) {
        texts.push(format!(
            "it can never match: {:?} is no host name without a port",
            route.host
        ));
    }
    texts
}

fn check_pool(pool: &Pool) -> Vec<String> {
    let mut texts = Vec::new();
    if pool.connections == 0 {
        texts.push("its servers accept no connection".to_owned());
    }
    if pool.cold_rate < 1.0 {
        texts.push(format!("a cold server would get {} requests a second", pool.cold_rate));
    }
    texts
}

fn check_tenants(directory: &TenantDirectory) -> Vec<Finding> {
    let holders: BTreeSet<_> = directory.credentials().map(|(_, tenant)| &tenant.name).collect();
    let mut findings = Vec::new();
    for tenant in directory.tenants() {
        let entry = format!("tenant {}", tenant.name);
        let mut add = |text: &str| findings.push(Finding::fault(&entry, text.to_owned()));
        if !holders.contains(&tenant.name) {
            add("it has no key, so none of its requests is accepted");
        }
        if tenant.rate.is_some() && tenant.burst < 1.0 {
            add("its cap has a burst below one request");
        }
        if tenant.rate.is_none() && tenant.burst > 0.0 {
            add("its burst has no effect without a rate");
        }
    }
    findings
}

#[expect(clippy::cast_precision_loss, reason = "sizes of memory, far below 2^52 bytes")]
fn to_f64(bytes: usize) -> f64 {
    bytes as f64
}

/// Describes what a configuration changes for callers, compared with the one in force.
pub(crate) fn compare(current: &Catalog, new: &Catalog) -> Vec<String> {
    let mut changes = Vec::new();
    if new.version <= current.version {
        changes.push(format!(
            "it never comes into force: its version {} is not above {}",
            new.version, current.version
        ));
    }
    let keys = |catalog: &Catalog| -> BTreeSet<(String, String)> {
        let routes = catalog.routes.values().flat_map(BTreeMap::values);
        routes.map(|route| (route.host.clone(), route.prefix.clone())).collect()
    };
    let (before, after) = (keys(current), keys(new));
    for (host, prefix) in before.union(&after) {
        let old = current.find_route(host, prefix);
        let next = new.find_route(host, prefix);
        let place = format!("requests to {host}{prefix}");
        match (old, next) {
            (Some(_), None) => {
                let is_missing = new.match_route(host, prefix) == RouteMatch::Missing;
                changes.push(format!("{place} get {}", if is_missing { 404 } else { 503 }));
            }
            (None, Some(next)) => changes.push(format!("{place} go to {} instead of 404", describe_targets(next))),
            (Some(old), Some(next)) => changes.extend(compare_routes(&place, old, next)),
            (None, None) => {}
        }
    }
    changes.extend(compare_pools(current, new));
    changes.extend(compare_tenants(current.tenants.as_ref(), new.tenants.as_ref()));
    if current.limits != new.limits {
        changes.push(format!(
            "limits on callers: {:?} instead of {:?}",
            new.limits, current.limits
        ));
    }
    changes
}

fn describe_targets(route: &Route) -> String {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let parts = route.targets.iter().map(|target| {
        if route.targets.len() == 1 {
            target.pool.to_string()
        } else {
            format!("{} ({} of {total})", target.pool, target.weight)
        }
    });
    parts.collect::<Vec<_>>().join(" and ")
}

fn compare_routes(place: &str, old: &Route, new: &Route) -> Vec<String> {
    let mut changes = Vec::new();
    if old.targets != new.targets {
        let (old, new) = (describe_targets(old), describe_targets(new));
        changes.push(format!("{place} go to {new} instead of {old}"));
    }
    if old.idempotency != new.idempotency {
        let text = if new.idempotency.is_retryable() {
            "may run more than once"
        } else {
            "run at most once"
        };
        changes.push(format!("{place} {text}"));
    }
    if old.is_public != new.is_public {
        let text = if new.is_public { "need no key" } else { "need a key" };
        changes.push(format!("{place} {text}"));
    }
    let numbers = [
        ("are kept waiting at most", old.timeout, new.timeout),
        ("are wanted within", old.objective, new.objective),
    ];
    for (text, old, new) in numbers.into_iter().filter(|(_, old, new)| old != new) {
        changes.push(format!("{place} {text} {new:?} instead of {old:?}"));
    }
    if old.priority != new.priority {
        changes.push(format!(
            "{place} have priority {} instead of {}",
            new.priority, old.priority
        ));
    }
    if old.attempts != new.attempts {
        changes.push(format!(
            "{place} are sent to at most {} servers instead of {}",
            new.attempts, old.attempts
        ));
    }
    changes
}

fn compare_pools(current: &Catalog, new: &Catalog) -> Vec<String> {
    let changed = new.pools.values().filter_map(|pool| {
        let old = current.pools.get(&pool.name)?;
        (old != pool).then(|| format!("service {}: {pool:?} instead of {old:?}", pool.name))
    });
    changed.collect()
}

fn compare_tenants(current: Option<&TenantDirectory>, new: Option<&TenantDirectory>) -> Vec<String> {
    let (Some(old), Some(new)) = (current, new) else {
        return match (current, new) {
            (None, Some(_)) => vec!["requests need a key, except on public routes".to_owned()],
            (Some(_), None) => vec!["requests need no key".to_owned()],
            _ => Vec::new(),
        };
    };
    let mut changes = Vec::new();
    let after: BTreeMap<u128, _> = new.credentials().collect();
    let mut ended: BTreeMap<_, usize> = BTreeMap::new();
    for (hash, tenant) in old.credentials() {
        match after.get(&hash) {
            None => *ended.entry(&tenant.name).or_default() += 1,
            Some(holder) if holder.name != tenant.name => {
                changes.push(format!(
                    "a key of tenant {} becomes one of {}",
                    tenant.name, holder.name
                ));
            }
            Some(_) => {}
        }
    }
    for (name, count) in ended {
        let held = new.credentials().any(|(_, tenant)| tenant.name == *name);
        let rest = if held { "" } else { ", its last ones" };
        changes.push(format!("{count} keys of tenant {name} end{rest}"));
    }
    for tenant in new.tenants() {
        match old.find(&tenant.name) {
            None => changes.push(format!("tenant {} is new", tenant.name)),
            Some(known) if (known.rate, known.burst) != (tenant.rate, tenant.burst) => {
                let cap = |rate: Option<f64>, burst| {
                    rate.map_or_else(
                        || "no cap".to_owned(),
                        |rate| format!("{rate} a second and a burst of {burst}"),
                    )
                };
                changes.push(format!(
                    "tenant {} may send {} instead of {}",
                    tenant.name,
                    cap(tenant.rate, tenant.burst),
                    cap(known.rate, known.burst)
                ));
            }
            Some(known) if known.priority != tenant.priority => {
                let (new, old) = (tenant.priority, known.priority);
                changes.push(format!(
                    "tenant {} has priority {new:?} instead of {old:?}",
                    tenant.name
                ));
            }
            Some(_) => {}
        }
    }
    changes
}
