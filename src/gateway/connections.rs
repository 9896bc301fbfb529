//! Connections to upstreams for callers' requests, kept open between requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

use super::connect::connect;
use super::request::BufferedBody;
use crate::types::UpstreamName;

/// Longest idle time of a connection whose upstream states none; upstreams close theirs after 10 s.
const IDLE_LIMIT: Duration = Duration::from_secs(7);
/// Time before an upstream's stated end of an idle connection from which it isn't used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// Longest idle time of a connection for a request that may run once only: if the upstream closes
/// it meanwhile, nobody knows whether the request ran.
const NON_IDEMPOTENT_IDLE_LIMIT: Duration = Duration::from_secs(4);

pub(crate) type Sender = SendRequest<BufferedBody>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
    until: Instant,
}

#[derive(Debug, Default)]
struct Lane {
    address: Option<SocketAddr>,
    idle: Vec<Idle>,
    open: u32,
}

/// Connections by upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    lanes: Rc<RefCell<BTreeMap<UpstreamName, Lane>>>,
}

impl Connections {
    /// Tells whether a request can have a connection, open or new.
    pub(crate) fn has_room(&self, upstream: &UpstreamName, share: u32) -> bool {
        let lanes = self.lanes.borrow();
        let Some(lane) = lanes.get(upstream) else {
            return true;
        };
        lane.open < share || lane.idle.iter().any(|idle| idle.sender.is_ready())
    }

    /// Takes an idle connection that is fresh enough.
    pub(crate) fn take_idle(
        &self,
        now: Instant,
        upstream: &UpstreamName,
        address: SocketAddr,
        is_non_idempotent: bool,
    ) -> Option<Sender> {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.get_mut(upstream)?;
        if lane.address != Some(address) {
            lane.idle.clear();
            return None;
        }
        lane.idle.retain(|idle| idle.until > now && !idle.sender.is_closed());
        let usable = |idle: &Idle| {
            idle.sender.is_ready() && (!is_non_idempotent || now < idle.since + NON_IDEMPOTENT_IDLE_LIMIT)
        };
        let place = lane.idle.iter().rposition(usable)?;
        Some(lane.idle.remove(place).sender)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if there is none within the limit.
    pub(crate) async fn open(
        &self,
        upstream: &UpstreamName,
        address: SocketAddr,
        limit: Duration,
    ) -> std::io::Result<Sender> {
        {
            let mut lanes = self.lanes.borrow_mut();
            let lane = lanes.entry(upstream.clone()).or_default();
            lane.address = Some(address);
            lane.open += 1;
        }
        // Dropped, and with it the count, when the connection ends or is given up while it opens.
        let count = OpenCount {
            connections: self.clone(),
            upstream: upstream.clone(),
        };
        connect(address, limit, move || drop(count)).await
    }

    /// Keeps a connection for further requests.
    pub(crate) fn put_idle(&self, now: Instant, upstream: &UpstreamName, sender: Sender, headers: Option<Duration>) {
        let limit = headers.map_or(IDLE_LIMIT, |stated| stated.saturating_sub(IDLE_MARGIN).min(IDLE_LIMIT));
        let mut lanes = self.lanes.borrow_mut();
        if let Some(lane) = lanes.get_mut(upstream).filter(|_| !sender.is_closed()) {
            lane.idle.push(Idle {
                sender,
                since: now,
                until: now + limit,
            });
        }
    }

    /// Closes idle connections that are too old, and forgets upstreams without any.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut closed = Vec::new();
        let mut lanes = self.lanes.borrow_mut();
        for lane in lanes.values_mut() {
            let (kept, old) = std::mem::take(&mut lane.idle)
                .into_iter()
                .partition(|idle| idle.until > now && !idle.sender.is_closed());
            lane.idle = kept;
            closed.push(old);
        }
        lanes.retain(|_, lane| lane.open > 0);
        drop(lanes);
        drop::<Vec<Vec<Idle>>>(closed);
    }
}

struct OpenCount {
    connections: Connections,
    upstream: UpstreamName,
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        let mut lanes = self.connections.lanes.borrow_mut();
        if let Some(lane) = lanes.get_mut(&self.upstream) {
            lane.open = lane.open.saturating_sub(1);
        }
    }
}

/// Reads the idle time that an upstream states.
pub(crate) fn read_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').filter_map(|p| p.trim().split_once('='));
    let (_, value) = parameters
        .into_iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    value.trim().parse().ok().map(Duration::from_secs)
}
