//! Connections to the store and to upstreams, and plain calls over them.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time without an acknowledgement after which a connection counts as lost. A lost packet is sent
/// again after 0.2 s, so this outlasts two losses in a row.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Idle time after which the system asks the other side whether it is still there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// Largest answer to a plain call, in bytes: a page of 1 MB in base64 and its JSON.
const RESPONSE_MAX: usize = 4 << 20;
/// Idle connections kept for one endpoint.
const IDLE_MAX: usize = 4;

/// Opens a connection; its task ends with it, after which `on_close` runs.
///
/// # Errors
///
/// Fails if no connection is there within the limit.
pub(crate) async fn connect<B>(
    address: SocketAddr,
    limit: Duration,
    on_close: impl FnOnce() + 'static,
) -> io::Result<SendRequest<B>>
where
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let opened = timeout(limit, TcpStream::connect(address)).await;
    let stream = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    tune(&stream)?;
    let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    spawn_local(async move {
        // The requests on the connection learn of its errors themselves.
        let _ = connection.await;
        on_close();
    });
    Ok(sender)
}

/// Lets a connection that has gone silent end within a second or two.
fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(SILENCE_LIMIT)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    // A call that was given up must not arrive later: closing resets the connection, which drops
    // the bytes that a broken link holds up.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))
}

/// Why a plain call has no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum CallError {
    /// not sent: {0}
    NotSent(String),
    /// nobody listens at the address
    Refused,
    /// the connection broke: {0}
    Broken(String),
    /// no answer within {0:?}
    TimedOut(Duration),
}

/// One address to which plain calls go, with its idle connections.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    connect_limit: Duration,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl Endpoint {
    pub(crate) fn new(address: SocketAddr, connect_limit: Duration) -> Self {
        Self {
            address,
            connect_limit,
            idle: RefCell::default(),
        }
    }

    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::NotSent`] only if nothing was sent.
    pub(crate) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => connect(self.address, self.connect_limit, || ())
                .await
                .map_err(|e| read_connect_error(&e))?,
        };
        // A connection on which an answer is lost gives no other; it ends with its sender.
        let response = within(limit, async {
            let sent = sender.try_send_request(request).await;
            let response = sent.map_err(|e| {
                let text = e.error().to_string();
                if e.message().is_some() {
                    CallError::NotSent(text)
                } else {
                    CallError::Broken(text)
                }
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, RESPONSE_MAX).collect().await;
            let body = body.map_err(|e| CallError::Broken(e.to_string()))?;
            Ok(Response::from_parts(head, body.to_bytes()))
        })
        .await?;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_MAX {
            idle.push(sender);
        }
        Ok(response)
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|sender| !sender.is_closed());
        let ready = idle.iter().rposition(SendRequest::is_ready)?;
        Some(idle.swap_remove(ready))
    }
}

fn read_connect_error(error: &io::Error) -> CallError {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => CallError::Refused,
        _ => CallError::NotSent(error.to_string()),
    }
}

async fn within<T>(limit: Duration, call: impl Future<Output = Result<T, CallError>>) -> Result<T, CallError> {
    timeout(limit, call).await.unwrap_or(Err(CallError::TimedOut(limit)))
}
