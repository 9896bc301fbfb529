//! Connection of a caller: its stream, and what is known of the request that it carries.
//!
//! If a request has both `Transfer-Encoding` and `Content-Length`, which enables request smuggling, the HTTP library
//! removes the latter before the request can be inspected. Each connection therefore keeps the bytes of the head until
//! the request has been answered.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::header::CONTENT_LENGTH;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep, timeout};

use crate::memory::{CallerState, Progress, Reservation};

/// Maximum number of bytes kept of a head; longer heads exceed the limit of any deployment.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// Maximum number of headers of a request. The HTTP library fills a table of this size for each head that it parses, so
/// that a limit which no head of 16 KiB meets (4,096) would cost 10 us of processor time for each request.
pub(super) const HEADERS_MAX: usize = 512;
/// Memory of a header beside its bytes, in the table of the HTTP library.
const HEADER_ENTRY_BYTES: usize = 112;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Memory of a connection without a request: the buffers of the HTTP library and the state of its task.
pub(super) const CONNECTION_BYTES: usize = 16 << 10;
/// Time for which a caller may read nothing of a response. It is longer than the timeouts of requests.
const UNREAD_MAX: Duration = Duration::from_secs(15);
/// Time for which a connection is read after a response to a request whose body wasn't read. Closing a socket with
/// unread bytes resets the connection, and a reset can destroy the response on its way.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Maximum number of bytes discarded in that time.
const LINGER_MAX_BYTES: usize = 1 << 20;

fn count_lines(bytes: &[u8]) -> usize {
    bytes.split(|byte| *byte == b'\n').count() - 1
}

#[derive(Debug)]
struct CallerShared {
    address: SocketAddr,
    number: u64,
    progress: Rc<Progress>,
    /// First bytes of the request that the connection is reading.
    head: RefCell<Vec<u8>>,
    is_head_complete: Cell<bool>,
    /// Memory of the connection and of the head.
    reservation: RefCell<Reservation>,
    /// A response has been given to a request whose body wasn't read to its end.
    has_unread_body: Cell<bool>,
}

/// What is known of a connection of a caller and of the request that it carries.
#[derive(Clone, Debug)]
pub(crate) struct Caller(Rc<CallerShared>);

impl Caller {
    pub(crate) fn new(address: SocketAddr, number: u64, progress: Rc<Progress>, reservation: Reservation) -> Self {
        Self(Rc::new(CallerShared {
            address,
            number,
            progress,
            head: RefCell::default(),
            is_head_complete: Cell::new(false),
            reservation: RefCell::new(reservation),
            has_unread_body: Cell::new(false),
        }))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Number of the connection in the table of callers.
    pub(crate) fn number(&self) -> u64 {
        self.0.number
    }

    /// Waits until the connection has to close for want of room.
    pub(crate) async fn wait_for_close(&self) {
        self.0.progress.wait_for_close().await;
    }

    /// Reports whether the head has a `Content-Length` header.
    pub(crate) fn has_content_length(&self) -> bool {
        let bytes = self.0.head.borrow();
        let mut headers = vec![httparse::EMPTY_HEADER; count_lines(&bytes).min(HEADERS_MAX)];
        let mut head = httparse::Request::new(&mut headers);
        // Parsing fails if the head isn't at the start of the bytes, as on a pipelined connection.
        let _ = head.parse(&bytes);
        head.headers
            .iter()
            .any(|h| h.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str()))
    }

    /// Returns the number of bytes kept of the head that the connection is reading.
    pub(crate) fn head_length(&self) -> usize {
        self.0.head.borrow().len()
    }

    /// Records that the head of a request has arrived.
    pub(crate) fn begin_request(&self, has_body: bool) {
        let state = if has_body {
            CallerState::Body
        } else {
            CallerState::Serving
        };
        self.0.progress.set_state(Instant::now(), state);
    }

    /// Records that a request has arrived completely.
    pub(crate) fn begin_serving(&self) {
        self.0.progress.set_state(Instant::now(), CallerState::Serving);
    }

    /// Reports whether the body of the request hasn't been read to its end.
    pub(crate) fn is_receiving(&self) -> bool {
        self.0.progress.state() == CallerState::Body
    }

    /// Records that the request has been refused without reading its body to the end.
    pub(crate) fn leave_body_unread(&self) {
        self.0.has_unread_body.set(true);
    }

    /// Records that a request has been answered completely.
    pub(crate) fn end_request(&self) {
        self.0.progress.set_state(Instant::now(), CallerState::Idle);
    }

    /// Drops the head of a request whose response has begun.
    pub(crate) fn clear_head(&self) {
        self.0.head.borrow_mut().clear();
        self.0.is_head_complete.set(false);
        self.0.reservation.borrow_mut().shrink_to(CONNECTION_BYTES);
    }

    /// Keeps bytes that belong to the head; returns false if the memory budget has no room.
    fn record_head(&self, received: &[u8]) -> bool {
        if self.0.is_head_complete.get() {
            return true;
        }
        let mut head = self.0.head.borrow_mut();
        // The HTTP library skips empty lines before a head.
        let is_line_break = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let skipped = if head.is_empty() {
            received.iter().take_while(|byte| is_line_break(byte)).count()
        } else {
            0
        };
        let received = &received[skipped..];
        let room = HEAD_MAX_BYTES.saturating_sub(head.len());
        let kept = &received[..received.len().min(room)];
        // The HTTP library buffers the same bytes.
        if !self.0.reservation.borrow_mut().try_grow(kept.len() * 2) {
            return false;
        }
        let before = head.len();
        let searched = before.saturating_sub(HEAD_END.len() - 1);
        head.extend_from_slice(kept);
        let mut windows = head[searched..].windows(HEAD_END.len());
        let end = windows.position(|bytes| bytes == HEAD_END);
        self.0.is_head_complete.set(end.is_some());
        let lines = count_lines(&head[before..end.map_or(head.len(), |end| searched + end + HEAD_END.len())]);
        // Twice, as the request to an upstream has a copy of the table.
        self.0.reservation.borrow_mut().try_grow(lines * HEADER_ENTRY_BYTES * 2)
    }
}

/// Stream of a caller, shared by the HTTP library and the task that closes it.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: Rc<RefCell<TcpStream>>,
    caller: Caller,
    /// Ends a write for which the caller's reading is awaited too long.
    unread_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(stream: Rc<RefCell<TcpStream>>, caller: Caller) -> Self {
        Self {
            stream,
            caller,
            unread_timer: None,
        }
    }

    /// Calls a write operation of the stream, and fails if the caller has read nothing for too long.
    fn write<T>(
        &mut self,
        cx: &mut Context<'_>,
        operation: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let result = operation(Pin::new(&mut *self.stream.borrow_mut()), cx);
        let is_blocked = result.is_pending();
        if !is_blocked && self.unread_timer.is_none() {
            return result;
        }
        self.caller.0.progress.record_write(Instant::now(), is_blocked);
        if !is_blocked {
            self.unread_timer = None;
            return result;
        }
        let timer = self.unread_timer.get_or_insert_with(|| Box::pin(sleep(UNREAD_MAX)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        result
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf);
        let received = &buf.filled()[before..];
        if !received.is_empty() {
            self.caller.0.progress.record_read(Instant::now());
            if !self.caller.record_head(received) {
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, |stream, cx| stream.poll_write(cx, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.write(cx, AsyncWrite::poll_flush)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.write(cx, AsyncWrite::poll_shutdown)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream, cx| stream.poll_write_vectored(cx, parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

/// Reads and discards what a caller still sends after the response to a request whose body wasn't read.
pub(crate) async fn linger(stream: Rc<RefCell<TcpStream>>, caller: &Caller) {
    if !caller.0.has_unread_body.get() {
        return;
    }
    // The HTTP library has dropped its half, so this is the only user left.
    let Some(stream) = Rc::into_inner(stream) else {
        return;
    };
    let mut stream = stream.into_inner().take(LINGER_MAX_BYTES as u64);
    // The connection closes whatever happens here.
    let _ = timeout(LINGER_TIME, tokio::io::copy(&mut stream, &mut tokio::io::sink())).await;
}
