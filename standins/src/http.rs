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

/// Time after which a broken answer's connection ends; the bytes before have been sent by then.
const BREAK_DELAY: Duration = Duration::from_millis(100);

/// A request with its whole body.
pub(crate) type Whole = Request<Bytes>;

/// What the stand-in does with a request.
pub(crate) enum Reply {
    Answer(Response<Full<Bytes>>),
    /// The head says that there are more bytes than come before the connection ends.
    Broken(Response<Full<Bytes>>),
    /// The connection ends without an answer.
    Cut,
}

/// Serves requests until the process ends.
pub(crate) async fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(Whole) -> R + Clone + Send + 'static,
    R: Future<Output = Reply> + Send,
{
    while let Ok((stream, _)) = listener.accept().await {
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| answer(request, handle.clone()));
            // A caller that leaves early ends its connection; that is no fault here.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// The end of a connection without an answer.
#[derive(Debug)]
struct CutOff;

impl std::fmt::Display for CutOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut off")
    }
}

impl std::error::Error for CutOff {}

/// Body of an answer.
enum ReplyBody {
    Whole(Full<Bytes>),
    /// The bytes, and after a while an error that ends the connection.
    Broken(Full<Bytes>, Pin<Box<Sleep>>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match &mut *self {
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Broken(body, end) => match Pin::new(body).poll_frame(cx) {
                Poll::Ready(None) => end.as_mut().poll(cx).map(|()| Some(Err(CutOff))),
                frame => frame.map_err(|never| match never {}),
            },
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Broken(..) => SizeHint::default(),
        }
    }
}

async fn answer<F, R>(request: Request<Incoming>, handle: F) -> Result<Response<ReplyBody>, CutOff>
where
    F: Fn(Whole) -> R,
    R: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| CutOff)?.to_bytes();
    match handle(Request::from_parts(head, body)).await {
        Reply::Answer(response) => Ok(response.map(ReplyBody::Whole)),
        Reply::Broken(response) => Ok(response.map(|body| ReplyBody::Broken(body, Box::pin(sleep(BREAK_DELAY))))),
        Reply::Cut => Err(CutOff),
    }
}

/// Builds an answer.
pub(crate) fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    Reply::Answer(response)
}

/// Opens a listener; port 0 lets the system choose.
///
/// # Errors
///
/// Fails if the address can't be used.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
