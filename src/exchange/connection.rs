//! Connections to upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::forward::ForwardBody;
use crate::choice::{ConnectionId, Silence, SilenceStep};
use crate::types::UpstreamName;

/// Idle time after which TCP asks whether the other end is still there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Time after which unacknowledged data ends a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of an answer, in bytes; a longer one is a fault of the upstream.
const HEAD_MAX: usize = 64 << 10;

/// Limits of connections to one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectLimits {
    /// Longest wait for a new connection.
    pub(crate) connect: Duration,
    /// Connections that this host may have open.
    pub(crate) open: u32,
    /// A connection idle for longer is not used; it may have gone silent.
    pub(crate) idle: Duration,
}

/// Why no connection can be had.
#[derive(Debug)]
pub(crate) enum ConnectError {
    /// All connections that this host may open are in use.
    Budget,
    Io,
}

/// All connections of this host to upstreams.
#[derive(Debug, Default)]
pub(crate) struct Connector {
    upstreams: Mutex<BTreeMap<UpstreamName, Arc<Connections>>>,
}

/// Connections to one upstream.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    idle: Mutex<Vec<Connection>>,
    open: AtomicU32,
    silence: Mutex<SilenceTable>,
}

/// Which connections have gone silent.
#[derive(Debug, Default)]
struct SilenceTable {
    silence: Silence,
    next: u64,
    /// Connections in use that are not to be used again.
    retired: BTreeSet<ConnectionId>,
}

/// An open connection that no exchange uses.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<ForwardBody>,
    pub(crate) opened: Instant,
    used: Instant,
    /// Whether closing sends a reset, which discards what the upstream has not read.
    pub(crate) reset: Arc<AtomicBool>,
    slot: OpenSlot,
}

impl Connection {
    pub(crate) fn id(&self) -> ConnectionId {
        self.slot.id
    }
}

/// Counts an open connection while it lives.
#[derive(Debug)]
struct OpenSlot {
    id: ConnectionId,
    connections: Arc<Connections>,
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.connections.open.fetch_sub(1, Ordering::Relaxed);
        let mut table = lock(&self.connections.silence);
        table.silence.close(self.id);
        table.retired.remove(&self.id);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Connector {
    /// Gives the connections to an upstream.
    pub(crate) fn connections(&self, upstream: &UpstreamName) -> Arc<Connections> {
        let mut upstreams = lock(&self.upstreams);
        if let Some(found) = upstreams.get(upstream) {
            return Arc::clone(found);
        }
        Arc::clone(upstreams.entry(upstream.clone()).or_default())
    }

    /// Forgets upstreams that are no longer in the tables.
    pub(crate) fn retain(&self, keep: impl Fn(&UpstreamName) -> bool) {
        lock(&self.upstreams).retain(|name, _| keep(name));
    }
}

impl Connections {
    /// Takes the ready connection that was used last, so that spare ones grow old and are closed.
    pub(crate) fn take_idle(&self, now: Instant, limits: &ConnectLimits, idempotent: bool) -> Option<Connection> {
        let expired = self.drop_expired(now, limits);
        drop(expired);
        let table = lock(&self.silence);
        let mut idle = lock(&self.idle);
        let fit = |c: &Connection| c.sender.is_ready() && table.silence.is_fit(c.id(), idempotent, now);
        let index = idle.iter().rposition(fit)?;
        Some(idle.remove(index))
    }

    /// Takes closed and old connections out; they are dropped without a lock held.
    fn drop_expired(&self, now: Instant, limits: &ConnectLimits) -> Vec<Connection> {
        let mut idle = lock(&self.idle);
        let expired = |c: &mut Connection| c.sender.is_closed() || now.saturating_duration_since(c.used) >= limits.idle;
        idle.extract_if(.., expired).collect()
    }

    /// Takes any idle connection, also one that is not ready yet, where none may be opened.
    pub(crate) fn take_any(&self) -> Option<Connection> {
        lock(&self.idle).pop()
    }

    /// Keeps a connection for the next exchange.
    pub(crate) fn put_back(&self, mut connection: Connection, now: Instant) {
        let retired = lock(&self.silence).retired.contains(&connection.id());
        if !retired && !connection.sender.is_closed() {
            connection.used = now;
            lock(&self.idle).push(connection);
        }
    }

    /// Notes the head of an answer on a connection.
    pub(crate) fn note_answer(&self, id: ConnectionId, now: Instant) {
        lock(&self.silence).silence.answer(id, now);
    }

    /// Notes the timeout of an exchange that began at `started` and tells whether to probe the
    /// upstream on a new connection.
    pub(crate) fn note_timeout(&self, id: ConnectionId, started: Instant, now: Instant) -> bool {
        lock(&self.silence).silence.tick(now);
        lock(&self.silence)
            .silence
            .time_out(id, started, now)
            .contains(&SilenceStep::Probe)
    }

    /// Takes the end of a probe: an answer proves that connections which stayed silent are dead.
    /// Returns the number of timeouts that are not held against the upstream.
    pub(crate) fn note_probe(&self, answered: bool) -> u32 {
        let mut table = lock(&self.silence);
        let steps = if answered {
            table.silence.probe_answered()
        } else {
            table.silence.probe_failed()
        };
        let mut forgiven = 0;
        let mut silent = BTreeSet::new();
        for step in steps {
            match step {
                SilenceStep::Retire(ids) => silent.extend(ids),
                SilenceStep::Forgive(count) => forgiven += count,
                SilenceStep::Blame(_) | SilenceStep::Probe => {}
            }
        }
        table.retired.extend(&silent);
        drop(table);
        let dead: Vec<Connection> = lock(&self.idle).extract_if(.., |c| silent.contains(&c.id())).collect();
        drop(dead);
        forgiven
    }

    fn take_slot(self: &Arc<Self>) -> OpenSlot {
        let mut table = lock(&self.silence);
        table.next += 1;
        let id = ConnectionId(table.next);
        table.silence.open(id, Instant::now());
        OpenSlot {
            id,
            connections: Arc::clone(self),
        }
    }

    /// Opens a connection within the limits.
    ///
    /// # Errors
    ///
    /// Fails if the budget is used up or the upstream can't be reached.
    pub(crate) async fn open(
        self: &Arc<Self>,
        address: SocketAddr,
        limits: &ConnectLimits,
    ) -> Result<Connection, ConnectError> {
        if self.open.fetch_add(1, Ordering::Relaxed) >= limits.open {
            self.open.fetch_sub(1, Ordering::Relaxed);
            return Err(ConnectError::Budget);
        }
        let slot = self.take_slot();
        let stream = timeout(limits.connect, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| ConnectError::Io)?.map_err(|_| ConnectError::Io)?;
        set_options(&stream).map_err(|_| ConnectError::Io)?;
        let reset = Arc::new(AtomicBool::new(false));
        let io = TokioIo::new(ResettingStream {
            stream,
            reset: Arc::clone(&reset),
        });
        let handshake = Builder::new().max_buf_size(HEAD_MAX).handshake(io).await;
        let (sender, driver) = handshake.map_err(|_| ConnectError::Io)?;
        tokio::spawn(driver);
        let now = Instant::now();
        Ok(Connection {
            sender,
            opened: now,
            used: now,
            reset,
            slot,
        })
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_TIME),
    )?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// A stream that ends with a reset if an exchange on it was not finished.
#[derive(Debug)]
struct ResettingStream {
    stream: TcpStream,
    reset: Arc<AtomicBool>,
}

impl Drop for ResettingStream {
    fn drop(&mut self) {
        if self.reset.load(Ordering::Acquire) {
            // Without the option the close is an ordinary one, and the upstream runs what it reads.
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).ok();
        }
    }
}

impl AsyncRead for ResettingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ResettingStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.reset.load(Ordering::Acquire) {
            // An orderly end would let the upstream run what it has received so far.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
