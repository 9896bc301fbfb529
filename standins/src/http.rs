//! A small HTTP server for the stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::{Sleep, sleep};

/// Delay between the last byte of a truncated response and the end of its connection, so that the
/// bytes are sent first.
const TRUNCATION_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of headers of a request, as many as gateways forward.
const HEADERS_MAX: usize = 1_000;

/// A request whose body has been read completely.
pub(crate) type BufferedRequest = Request<Bytes>;

/// Response of a stand-in to a request.
pub(crate) enum Reply {
    Complete(Response<Full<Bytes>>),
    /// The connection ends before the body is complete.
    Truncated(Response<Full<Bytes>>),
    /// The connection ends without a response.
    Disconnect,
}

/// Accepts connections and serves their requests until accepting fails.
pub(crate) async fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(BufferedRequest) -> R + Clone + Send + 'static,
    R: Future<Output = Reply> + Send,
{
    while let Ok((stream, _)) = listener.accept().await {
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| respond(request, handle.clone()));
            // Errors are ignored: a caller may close its connection at any time.
            let _ = http1::Builder::new()
                .max_headers(HEADERS_MAX)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Error that makes hyper close the connection.
#[derive(Debug)]
struct ConnectionAborted;

impl std::fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection aborted")
    }
}

impl std::error::Error for ConnectionAborted {}

enum ReplyBody {
    Complete(Full<Bytes>),
    /// Yields the bytes and, after a delay, an error that ends the connection.
    Truncated(Full<Bytes>, Pin<Box<Sleep>>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = ConnectionAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionAborted>>> {
        match &mut *self {
            Self::Complete(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Truncated(body, delay) => match Pin::new(body).poll_frame(cx) {
                Poll::Ready(None) => delay.as_mut().poll(cx).map(|()| Some(Err(ConnectionAborted))),
                frame => frame.map_err(|never| match never {}),
            },
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => body.size_hint(),
            Self::Truncated(..) => SizeHint::default(),
        }
    }
}

async fn respond<F, R>(request: Request<Incoming>, handle: F) -> Result<Response<ReplyBody>, ConnectionAborted>
where
    F: Fn(BufferedRequest) -> R,
    R: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionAborted)?.to_bytes();
    match handle(Request::from_parts(head, body)).await {
        Reply::Complete(response) => Ok(response.map(ReplyBody::Complete)),
        Reply::Truncated(response) => {
            Ok(response.map(|body| ReplyBody::Truncated(body, Box::pin(sleep(TRUNCATION_DELAY)))))
        }
        Reply::Disconnect => Err(ConnectionAborted),
    }
}

/// Builds a complete response.
pub(crate) fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    Reply::Complete(response)
}

/// Opens a listener; port 0 lets the system choose a port.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
