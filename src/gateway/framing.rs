//! Detects requests with ambiguous framing, which enables request smuggling.
//!
//! If a request has both `Transfer-Encoding` and `Content-Length`, the HTTP library removes the latter
//! before the request can be inspected. Each connection therefore keeps the bytes of the head until the
//! request has been answered.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use http::header::CONTENT_LENGTH;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes kept of a head; longer heads exceed the limit of any deployment.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// Maximum number of headers parsed, which is also the limit of the HTTP library.
const HEADERS_MAX: usize = 100;

/// First bytes of the request that a connection is reading.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadBytes(Rc<RefCell<Vec<u8>>>);

impl HeadBytes {
    /// Reports whether the head has a `Content-Length` header.
    pub(crate) fn has_content_length(&self) -> bool {
        let bytes = self.0.borrow();
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut head = httparse::Request::new(&mut headers);
        // Parsing fails if the head isn't at the start of the bytes, as on a pipelined connection.
        let _ = head.parse(&bytes);
        head.headers
            .iter()
            .any(|h| h.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str()))
    }

    /// Drops the bytes of a request that has been answered.
    pub(crate) fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}

/// Connection of a caller that keeps the first bytes of the request being read.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    head: HeadBytes,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, head: HeadBytes) -> Self {
        Self { stream, head }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let mut head = self.head.0.borrow_mut();
        let room = HEAD_MAX_BYTES.saturating_sub(head.len());
        let received = &buf.filled()[before..];
        head.extend_from_slice(&received[..received.len().min(room)]);
        result
    }
}

impl AsyncWrite for CallerStream {
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
        self.stream.is_write_vectored()
    }
}
