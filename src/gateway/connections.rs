//! Connection pools for callers' requests, one for each upstream.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::body::BufferedBody;
use super::connect::start_connection;
use super::outbound;
use crate::types::UpstreamName;

/// Upper limit of the idle timeout, and its value if the upstream states none; upstreams close idle
/// connections after 10 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(7);
/// Margin by which an idle connection expires before the idle timeout that the upstream states.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// Longest idle time of a connection that is reused for a non-idempotent request: if the upstream closes
/// it as the request is sent, the outcome of the request is ambiguous.
const NON_IDEMPOTENT_IDLE_LIMIT: Duration = Duration::from_secs(4);

pub(crate) type Sender = outbound::Sender<BufferedBody>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Instant,
    expires: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant, is_non_idempotent: bool) -> bool {
        let is_recent = !is_non_idempotent || now < self.since + NON_IDEMPOTENT_IDLE_LIMIT;
        is_recent && now < self.expires && self.sender.is_ready()
    }
}

#[derive(Debug, Default)]
struct ConnectionPool {
    address: Option<SocketAddr>,
    idle: Vec<IdleConnection>,
    open: u32,
}

/// Connection pools by upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    pools: Rc<RefCell<BTreeMap<UpstreamName, ConnectionPool>>>,
    /// Number of connections to all upstreams above which idle ones are closed.
    limit: usize,
    open: Rc<Cell<usize>>,
}

impl Connections {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Closes the connection that has been idle for the longest time.
    fn close_idle(&self) {
        let mut pools = self.pools.borrow_mut();
        let oldest = pools
            .values_mut()
            .filter(|pool| !pool.idle.is_empty())
            .min_by_key(|pool| pool.idle[0].since);
        let closed = oldest.map(|pool| pool.idle.remove(0));
        drop(pools);
        drop(closed);
    }

    /// Reports whether a request can use an idle connection or open a new one within the limit.
    pub(crate) fn has_room(&self, upstream: &UpstreamName, limit: u32) -> bool {
        let pools = self.pools.borrow();
        let Some(pool) = pools.get(upstream) else {
            return true;
        };
        pool.open < limit || pool.idle.iter().any(|idle| idle.sender.is_ready())
    }

    /// Returns the upstreams to which there is an idle connection that a request may use.
    pub(crate) fn connected_upstreams(&self, now: Instant, is_non_idempotent: bool) -> Vec<UpstreamName> {
        let pools = self.pools.borrow();
        let connected = pools.iter().filter(|(_, pool)| {
            let mut idle = pool.idle.iter();
            idle.any(|idle| idle.is_usable(now, is_non_idempotent))
        });
        connected.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Takes the most recently returned idle connection that may still be used.
    pub(crate) fn take_idle(
        &self,
        now: Instant,
        upstream: &UpstreamName,
        address: SocketAddr,
        is_non_idempotent: bool,
    ) -> Option<Sender> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(upstream)?;
        if pool.address != Some(address) {
            pool.idle.clear();
            return None;
        }
        pool.idle.retain(|idle| idle.expires > now && !idle.sender.is_closed());
        let usable = |idle: &IdleConnection| idle.is_usable(now, is_non_idempotent);
        let index = pool.idle.iter().rposition(usable)?;
        Some(pool.idle.remove(index).sender)
    }

    /// Opens a connection over a stream and counts it as open until it closes.
    ///
    /// # Errors
    ///
    /// Fails if the stream can't be opened.
    pub(crate) async fn open(
        &self,
        upstream: &UpstreamName,
        address: SocketAddr,
        stream: impl Future<Output = std::io::Result<TcpStream>>,
    ) -> std::io::Result<Sender> {
        if self.open.get() >= self.limit {
            self.close_idle();
        }
        self.open.set(self.open.get() + 1);
        {
            let mut pools = self.pools.borrow_mut();
            let pool = pools.entry(upstream.clone()).or_default();
            pool.address = Some(address);
            pool.open += 1;
        }
        // Dropped, and so no longer counted, when the connection closes or this call is cancelled.
        let guard = OpenGuard {
            connections: self.clone(),
            upstream: upstream.clone(),
        };
        start_connection(stream.await?, move || drop(guard)).await
    }

    /// Closes all idle connections.
    pub(crate) fn clear_idle(&self) {
        let mut pools = self.pools.borrow_mut();
        let idle: Vec<Vec<IdleConnection>> = pools.values_mut().map(|pool| std::mem::take(&mut pool.idle)).collect();
        drop(pools);
        drop(idle);
    }

    /// Returns a connection to its pool for further requests.
    pub(crate) fn put_idle(&self, now: Instant, upstream: &UpstreamName, sender: Sender, keep_alive: Option<Duration>) {
        let limit = keep_alive.map_or(IDLE_TIMEOUT, |stated| {
            stated.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT)
        });
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(upstream).filter(|_| !sender.is_closed()) {
            pool.idle.push(IdleConnection {
                sender,
                since: now,
                expires: now + limit,
            });
        }
    }

    /// Closes expired idle connections and removes the pools without open connections.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut closed = Vec::new();
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            let (kept, expired) = std::mem::take(&mut pool.idle)
                .into_iter()
                .partition(|idle| idle.expires > now && !idle.sender.is_closed());
            pool.idle = kept;
            closed.push(expired);
        }
        pools.retain(|_, pool| pool.open > 0);
        drop(pools);
        drop::<Vec<Vec<IdleConnection>>>(closed);
    }
}

/// Counts a connection as open until dropped.
struct OpenGuard {
    connections: Connections,
    upstream: UpstreamName,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let open = &self.connections.open;
        open.set(open.get().saturating_sub(1));
        let mut pools = self.connections.pools.borrow_mut();
        if let Some(pool) = pools.get_mut(&self.upstream) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

/// Reads the idle timeout that an upstream states in its `Keep-Alive` header.
pub(crate) fn read_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').filter_map(|p| p.trim().split_once('='));
    let (_, value) = parameters
        .into_iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    value.trim().parse().ok().map(Duration::from_secs)
}
