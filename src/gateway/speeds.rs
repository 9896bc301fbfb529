//! Exchanges what hosts observe of the speeds of upstreams.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::peers::Message;
use super::state::Gateway;
use crate::catalog::Route;
use crate::fleet::{LoadReport, Observed, Speeds};
use crate::types::{PoolName, UpstreamName};

/// Time between two messages with observations to the grantor.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(1_500);
/// Number of such periods after which the grantor tells all hosts the speeds.
const PERIODS_PER_REPORT: u32 = 2;

/// Records the time of a response and returns it relative to the typical one. `latency` excludes the wait for a slot as it
/// was estimated when the request was sent.
pub(super) fn record_service_time(
    gateway: &Gateway,
    pool: &PoolName,
    route: &Route,
    upstream: &UpstreamName,
    latency: Duration,
) -> f64 {
    let own_ratio = gateway.record_latency(route, latency);
    if !gateway.settings.learns_capacity() {
        return own_ratio;
    }
    let sample = latency.as_secs_f64() / route.objective.as_secs_f64().max(0.001);
    gateway.observations.borrow_mut().record(upstream, sample);
    let speeds = gateway.speeds.borrow();
    speeds.get(pool).map_or(own_ratio, |speeds| speeds.relative(sample))
}

/// Returns the factor by which the queue that an upstream reports prolongs requests.
pub(super) fn reported_queue_factor(report: LoadReport) -> f64 {
    1.0 + f64::from(report.waiting) / f64::from(report.slots.max(1))
}

/// Sends observations to the grantor, and the speeds that it learns from them to all hosts.
pub(super) async fn share_speeds(gateway: Rc<Gateway>) {
    if !gateway.settings.learns_capacity() {
        return;
    }
    let mut period = 0;
    loop {
        sleep(OBSERVATION_PERIOD).await;
        period += 1;
        let observed = gateway.observations.borrow_mut().take();
        if gateway.grants.is_grantor() {
            record_observations(&gateway, &observed);
            if period % PERIODS_PER_REPORT == 0 {
                report_speeds(&gateway);
            }
        } else if let Some(grantor) = gateway.find_grantor().filter(|_| !observed.is_empty()) {
            gateway.outbox.send_to(grantor, Message::ServiceTimes(observed));
        }
    }
}

/// Adds the observations of a host, if this host is the grantor.
pub(super) fn record_observations(gateway: &Gateway, observed: &BTreeMap<UpstreamName, Observed>) {
    if !gateway.grants.is_grantor() {
        return;
    }
    let now = Instant::now();
    let mut book = gateway.grants.speed_book.borrow_mut();
    for (upstream, observed) in observed {
        book.record(now, upstream, *observed);
    }
}

fn report_speeds(gateway: &Gateway) {
    let now = Instant::now();
    let Some(catalog) = gateway.catalog.borrow().clone() else {
        return;
    };
    for pool in catalog.pools.keys() {
        let learned = {
            let fleet = gateway.fleet.borrow();
            let mut book = gateway.grants.speed_book.borrow_mut();
            book.retain(|upstream| fleet.get(upstream).is_some());
            let members = fleet.in_pool(pool).map(|upstream| &upstream.announcement.upstream);
            book.speeds(now, members)
        };
        // One message for each pool, without upstreams of about the usual speed, fits a datagram.
        if let Some(learned) = learned {
            let speeds = Speeds::from([(pool.clone(), learned.without_usual())]);
            gateway.outbox.send(Message::Speeds(speeds.clone()));
            apply_speeds(gateway, speeds);
        }
    }
}

/// Takes over the speeds that the grantor has learned.
pub(super) fn apply_speeds(gateway: &Gateway, speeds: Speeds) {
    if !gateway.settings.learns_capacity() {
        return;
    }
    let mut fleet = gateway.fleet.borrow_mut();
    for (pool, speeds) in &speeds {
        for upstream in fleet.in_pool_mut(pool) {
            let ratio = speeds.ratio(&upstream.announcement.upstream);
            upstream.load.set_typical_ratio(ratio);
        }
    }
    gateway.speeds.borrow_mut().extend(speeds);
}
