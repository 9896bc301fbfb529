//! Finds out whether this host reaches upstreams, and tells the other hosts if it doesn't.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::SliceRandom;
use slog::{info, warn};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::crashes::call_health_path;
use super::peers::Message;
use super::state::Gateway;
use crate::fleet::Links;
use crate::types::{HostName, UpstreamName};

/// Number of upstreams that are probed at once; those of the second round only if none of the first responds.
const PROBES: usize = 3;
/// Time between two probes while this host is cut off.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Longest wait for a verification: two rounds of probes.
const VERIFICATION_MAX: Duration = Duration::from_secs(2);
/// Time for which a host counts as cut off after it has last said so.
const CUT_TIME: Duration = Duration::from_millis(1_500);

/// The links to upstreams of this host and of others.
#[derive(Debug, Default)]
pub(crate) struct LinkWatch {
    own: RefCell<Links>,
    requested: Notify,
    verified: Notify,
    /// When each other host last said that it is cut off.
    cut_hosts: RefCell<BTreeMap<HostName, Instant>>,
}

impl LinkWatch {
    /// Reports whether this host reaches no upstream.
    pub(crate) fn is_cut(&self) -> bool {
        self.own.borrow().is_cut()
    }

    /// Reports whether failures at upstreams may be faults of this host's links, which have to be verified.
    pub(crate) fn is_doubtful(&self, now: Instant) -> bool {
        self.own.borrow().is_doubtful(now)
    }

    /// Reports whether another host has said that it reaches no upstream.
    pub(crate) fn is_host_cut(&self, now: Instant, host: &HostName) -> bool {
        let cut_hosts = self.cut_hosts.borrow();
        cut_hosts.get(host).is_some_and(|at| now < *at + CUT_TIME)
    }
}

/// Records that an upstream couldn't be reached.
pub(super) fn record_link_failure(gateway: &Gateway, upstream: &UpstreamName) {
    let mut links = gateway.links.own.borrow_mut();
    if links.record_failure(Instant::now(), upstream) {
        gateway.links.requested.notify_one();
    }
}

/// Records whether another host reaches upstreams.
pub(super) fn record_host_links(gateway: &Gateway, host: HostName, is_cut: bool) {
    let mut cut_hosts = gateway.links.cut_hosts.borrow_mut();
    if is_cut {
        cut_hosts.insert(host, Instant::now());
    } else {
        cut_hosts.remove(&host);
    }
}

/// Verifies the links after a failure at an upstream. Returns whether this host has reached some upstream after `since`, or
/// knows no other one to compare with.
pub(super) async fn verify_links(gateway: &Gateway, since: Instant, failed: &UpstreamName) -> bool {
    let links = &gateway.links;
    if gateway.fleet.borrow().names().all(|name| name == failed) {
        return true;
    }
    if !links.own.borrow().has_reached_since(since) {
        let verified = links.verified.notified();
        links.requested.notify_one();
        // Without a verification in time nothing is known of the links.
        let _ = timeout(VERIFICATION_MAX, verified).await;
    }
    links.own.borrow().has_reached_since(since)
}

/// Verifies the links when this is requested, and again and again while this host is cut off.
pub(crate) async fn watch_links(gateway: Rc<Gateway>) {
    loop {
        if gateway.links.is_cut() {
            sleep(PROBE_PERIOD).await;
            announce_links(&gateway, true);
        } else {
            gateway.links.requested.notified().await;
        }
        let has_reached = probe_upstreams(&gateway).await;
        let is_change = gateway
            .links
            .own
            .borrow_mut()
            .record_verification(Instant::now(), has_reached);
        if is_change {
            apply_change(&gateway, !has_reached);
        }
        gateway.links.verified.notify_waiters();
    }
}

fn announce_links(gateway: &Gateway, is_cut: bool) {
    let host = gateway.settings.host.clone();
    gateway.outbox.send(Message::Links { host, is_cut });
}

/// Applies that this host is cut off from all upstreams, or no longer is.
fn apply_change(gateway: &Gateway, is_cut: bool) {
    if is_cut {
        warn!(
            gateway.log,
            "no upstream can be reached; the links of this host are lost"
        );
        // What failed since the links were lost was not the fault of the upstreams.
        gateway.fleet.borrow_mut().clear_failures(Instant::now());
    } else {
        info!(gateway.log, "upstreams can be reached again");
    }
    // Connections of lost links may seem open, and those through other hosts are a detour after their return.
    gateway.connections.clear_idle();
    announce_links(gateway, is_cut);
}

/// Calls the health paths of some upstreams and reports whether any of them responds. Without upstreams the links count as
/// sound.
async fn probe_upstreams(gateway: &Rc<Gateway>) -> bool {
    let mut upstreams: Vec<UpstreamName> = {
        let fleet = gateway.fleet.borrow();
        fleet.names().cloned().collect()
    };
    upstreams.shuffle(&mut *gateway.rng.borrow_mut());
    let now = Instant::now();
    upstreams.sort_by_key(|upstream| gateway.links.own.borrow().has_failed(now, upstream));
    upstreams.truncate(PROBES * 2);
    if upstreams.is_empty() {
        return true;
    }
    for round in upstreams.chunks(PROBES) {
        let mut probes = JoinSet::new();
        for upstream in round {
            let (gateway, upstream) = (Rc::clone(gateway), upstream.clone());
            probes.spawn_local(async move { matches!(call_health_path(&gateway, &upstream).await, Some(Ok(_))) });
        }
        while let Some(has_responded) = probes.join_next().await {
            if has_responded.unwrap_or(false) {
                return true;
            }
        }
    }
    false
}
