//! A small HTTP server for the stand-ins.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// A request with its whole body.
pub(crate) type Whole = Request<Bytes>;

/// What the stand-in does with a request.
pub(crate) enum Reply {
    Answer(Response<Full<Bytes>>),
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

async fn answer<F, R>(request: Request<Incoming>, handle: F) -> Result<Response<Full<Bytes>>, CutOff>
where
    F: Fn(Whole) -> R,
    R: Future<Output = Reply>,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| CutOff)?.to_bytes();
    match handle(Request::from_parts(head, body)).await {
        Reply::Answer(response) => Ok(response),
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
