//! Stream to an upstream or the store, which limits what the peer may send before its response begins.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size to which the read buffer of a connection may grow, and limit on what a peer may send before the end of the
/// head of its response. Interim responses (1xx) count: the HTTP library skips any number of them, without end.
pub(super) const HEAD_MAX_BYTES: usize = 64 << 10;

/// A peer exceeded the limit on what it may send before its response begins.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the peer sent {HEAD_MAX_BYTES} bytes without the end of the head of its response")]
pub(crate) struct HeadTooLarge;

impl HeadTooLarge {
    /// Reports whether a connection failed because the peer exceeded the limit.
    pub(super) fn is_cause_of(error: &hyper::Error) -> bool {
        let source = std::error::Error::source(error).and_then(|source| source.downcast_ref::<io::Error>());
        source
            .and_then(io::Error::get_ref)
            .is_some_and(<dyn std::error::Error + Send + Sync>::is::<Self>)
    }
}

/// Bytes received since a request was sent whose response has not begun; `None` if no response is awaited.
type Received = Rc<Cell<Option<usize>>>;

/// Stream of a connection that this host opened.
#[derive(Debug)]
pub(super) struct PeerStream {
    stream: TcpStream,
    received: Received,
}

/// Sends requests over one connection.
#[derive(Debug)]
pub(crate) struct Sender<B> {
    sender: SendRequest<B>,
    received: Received,
}

impl PeerStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: Received::default(),
        }
    }

    /// Returns a function that joins this stream to what sends requests over it.
    pub(super) fn sender<B>(&self) -> impl FnOnce(SendRequest<B>) -> Sender<B> + use<B> {
        let received = Rc::clone(&self.received);
        move |sender| Sender { sender, received }
    }
}

impl<B: Body + 'static> Sender<B> {
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes or the peer exceeds the limit on the head. The error has the request if none of
    /// it was sent.
    pub(crate) async fn try_send_request(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<Incoming>, TrySendError<Request<B>>> {
        self.received.set(Some(0));
        let response = self.sender.try_send_request(request).await?;
        self.received.set(None);
        Ok(response)
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let Some(received) = self.received.get() else {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        };
        if received >= HEAD_MAX_BYTES {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, HeadTooLarge)));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.received.set(Some(received + buf.filled().len() - before));
        result
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
