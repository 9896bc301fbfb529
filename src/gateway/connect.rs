//! Opens connections to the store and to upstreams, and makes calls that buffer the whole response.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http::{Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::timeout;

use super::outbound::{HEAD_MAX_BYTES, HeadTooLarge, PeerStream, Sender};

/// Time without an acknowledgement after which a connection counts as lost. A lost packet is sent again
/// after 0.2 s, so a connection survives two losses in a row.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which the kernel sends TCP keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Limit on the body of an upstream's response to a call, of which only the head is used.
pub(super) const CALL_BODY_MAX_BYTES: usize = 64 << 10;
/// Maximum number of idle connections kept for one endpoint.
const IDLE_MAX: usize = 4;

/// Opens a TCP connection.
///
/// # Errors
///
/// Fails if the connection is not open within the timeout.
pub(super) async fn open_stream(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let opened = timeout(connect_timeout, TcpStream::connect(address)).await;
    let stream = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Starts the task that drives an open connection. `on_close` runs when the connection closes.
///
/// # Errors
///
/// Fails if the stream has closed.
pub(crate) async fn start_connection<B>(stream: TcpStream, on_close: impl FnOnce() + 'static) -> io::Result<Sender<B>>
where
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = PeerStream::new(stream);
    let add_limit = stream.sender();
    let handshake = Builder::new()
        .max_buf_size(HEAD_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    spawn_local(async move {
        // A request in flight on the connection gets the error itself.
        let _ = connection.await;
        on_close();
    });
    Ok(add_limit(sender))
}

/// Sets the socket options with which an unresponsive connection fails within a second or two.
pub(super) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(TCP_USER_TIMEOUT)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    // A call that timed out must not arrive later: with zero linger, closing resets the connection and
    // drops the bytes that a broken link has held up.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Why a call has no response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum CallError {
    /// request not sent: {0}
    NotSent(String),
    /// connection refused: no process listens at the address
    Refused,
    /// connection broke before the complete response arrived: {0}
    Broken(String),
    /// response exceeds a limit: {0}
    TooLarge(String),
    /// no complete response within {0:?}
    TimedOut(Duration),
}

/// An address that calls are sent to, with its idle connections.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    connect_timeout: Duration,
    /// Limit on the body of a response.
    body_max: usize,
    idle: RefCell<Vec<Sender<Full<Bytes>>>>,
    session: Rc<Session>,
}

/// Time without a gap in which at least one connection to an endpoint is open. A process that ends closes all its
/// connections, so one session never spans two processes.
#[derive(Debug, Default)]
struct Session {
    number: Cell<u64>,
    open: Cell<usize>,
}

/// Number of a session of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SessionNumber(u64);

/// Counts a connection as open until dropped.
struct SessionGuard(Rc<Session>);

impl SessionGuard {
    fn new(session: &Rc<Session>) -> Self {
        session.open.set(session.open.get() + 1);
        Self(Rc::clone(session))
    }
}

impl Drop for SessionGuard {
    fn drop(&mut self) {
        let session = &self.0;
        session.open.set(session.open.get() - 1);
        if session.open.get() == 0 {
            session.number.set(session.number.get() + 1);
        }
    }
}

impl Endpoint {
    pub(crate) fn new(address: SocketAddr, connect_timeout: Duration, body_max: usize) -> Self {
        Self {
            address,
            connect_timeout,
            body_max,
            idle: RefCell::default(),
            session: Rc::default(),
        }
    }

    async fn open(&self) -> Result<Sender<Full<Bytes>>, CallError> {
        // Counted only once it is open, as it must not bridge the gap between two processes.
        let (close, closed) = oneshot::channel::<()>();
        let stream = open_stream(self.address, self.connect_timeout).await;
        let stream = stream.map_err(|e| classify_connect_error(&e))?;
        let sender = start_connection(stream, move || drop(close)).await;
        let sender = sender.map_err(|e| classify_connect_error(&e))?;
        let guard = SessionGuard::new(&self.session);
        spawn_local(async move {
            // Fails when the connection closes, which drops the other end.
            let _ = closed.await;
            drop(guard);
        });
        Ok(sender)
    }

    /// As [`Self::call`], but sends the request only to the process that accepted an earlier call in a session. Returns
    /// the session of the call as well; without an earlier one, any process may answer.
    ///
    /// # Errors
    ///
    /// Fails as `call` does, and with [`CallError::NotSent`] if all connections of the session have closed.
    pub(crate) async fn call_in_session(
        &self,
        session: Option<SessionNumber>,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
    ) -> Result<(Response<Bytes>, SessionNumber), CallError> {
        let number = || SessionNumber(self.session.number.get());
        let lost = || CallError::NotSent("all connections have closed since the last call".to_owned());
        let is_same = |session: Option<SessionNumber>| session.is_none_or(|session| session == number());
        let sender = match self.take_idle() {
            Some(sender) if is_same(session) => sender,
            None if is_same(session) && (session.is_none() || self.session.open.get() > 0) => {
                let sender = self.open().await?;
                // The tasks of closed connections run before this one goes on.
                yield_now().await;
                sender
            }
            _ => return Err(lost()),
        };
        if !is_same(session) {
            return Err(lost());
        }
        let used = number();
        let response = self.call_on(sender, request, call_timeout).await?;
        Ok((response, used))
    }

    /// Sends a request and reads the complete response. The timeout starts when a connection is open.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete response within the timeout. [`CallError::NotSent`] guarantees that
    /// nothing was sent.
    pub(crate) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let sender = match self.take_idle() {
            Some(sender) => sender,
            None => self.open().await?,
        };
        self.call_on(sender, request, call_timeout).await
    }

    async fn call_on(
        &self,
        mut sender: Sender<Full<Bytes>>,
        request: Request<Full<Bytes>>,
        call_timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        // A connection without a complete response can't be reused; it closes when its sender is dropped.
        let response = with_timeout(call_timeout, async {
            let sent = sender.try_send_request(request).await;
            let response = sent.map_err(|e| {
                let text = e.error().to_string();
                if HeadTooLarge::is_cause_of(e.error()) {
                    CallError::TooLarge(HeadTooLarge.to_string())
                } else if e.message().is_some() {
                    CallError::NotSent(text)
                } else {
                    CallError::Broken(text)
                }
            })?;
            let (head, body) = response.into_parts();
            let body = read_body(body, self.body_max).await?;
            Ok(Response::from_parts(head, body))
        })
        .await?;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_MAX {
            idle.push(sender);
        }
        Ok(response)
    }

    fn take_idle(&self) -> Option<Sender<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|sender| !sender.is_closed());
        let ready = idle.iter().rposition(Sender::is_ready)?;
        Some(idle.swap_remove(ready))
    }
}

/// Reads a body into one buffer. Keeping its frames would take many times their size if they are small.
async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, CallError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| CallError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(CallError::TooLarge(format!("its body has more than {limit} bytes")));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

fn classify_connect_error(error: &io::Error) -> CallError {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => CallError::Refused,
        _ => CallError::NotSent(error.to_string()),
    }
}

async fn with_timeout<T>(limit: Duration, call: impl Future<Output = Result<T, CallError>>) -> Result<T, CallError> {
    timeout(limit, call).await.unwrap_or(Err(CallError::TimedOut(limit)))
}
