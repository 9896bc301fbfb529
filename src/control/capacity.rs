//! Slots in use, for the question whether the rest can carry the load.

use std::collections::BTreeMap;

use crate::tables::{CapacityReport, Tables};
use crate::types::PoolName;

/// Gauge of the attempts that occupy a slot of an upstream.
const GAUGE: &str = "ragworthub_upstream_in_flight{upstream=\"";

/// Counts the slots of each pool that this host's attempts occupy, from the metrics text.
///
/// The gauge is the only count of attempts by upstream that covers all pools.
pub(super) fn count_slots_in_use(tables: &Tables, metrics: &str) -> BTreeMap<PoolName, u64> {
    let mut in_use = BTreeMap::new();
    for (upstream, attempts) in metrics.lines().filter_map(read_gauge) {
        let pool = tables.pools.iter().find(|(_, pool)| has_upstream(pool, upstream));
        if let Some((name, _)) = pool {
            *in_use.entry(name.clone()).or_default() += attempts;
        }
    }
    in_use
}

fn read_gauge(line: &str) -> Option<(&str, u64)> {
    let (upstream, value) = line.strip_prefix(GAUGE)?.split_once("\"} ")?;
    Some((upstream, value.trim().parse().ok()?))
}

fn has_upstream(pool: &crate::tables::Pool, upstream: &str) -> bool {
    pool.upstreams.keys().any(|name| name.as_str() == upstream)
}

/// Adds the slots that another host's attempts occupy.
pub(super) fn add_slots_in_use(report: &mut CapacityReport, other: &CapacityReport) {
    for (pool, slots) in &other.pools {
        if let Some(sum) = report.pools.get_mut(pool) {
            sum.in_use = sum.in_use.saturating_add(slots.in_use);
        }
    }
}
