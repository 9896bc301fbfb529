//! Listens for callers, readiness probes and scrapes of the metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::framing::{CallerStream, HeadBytes};
use super::request::serve;
use super::state::Gateway;

/// Limit on the head of a request while there is no configuration.
const DEFAULT_HEAD_MAX_BYTES: usize = 64 << 10;
/// Idle timeout of a caller's connection while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay before the next accept after one failed, for instance because no file descriptor was left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listening sockets of the process.
#[derive(Debug)]
pub(crate) struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
}

async fn bind(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address)
        .await
        .map_err(|e| format!("can't listen on {address}: {e}"))
}

/// Opens the listening sockets.
///
/// # Errors
///
/// Fails with the first address that can't be bound and the cause.
pub(crate) async fn listen(gateway: &Gateway) -> Result<Listeners, String> {
    let listen = &gateway.settings.listen;
    let listeners = Listeners {
        callers: bind(listen.callers).await?,
        ready: bind(listen.ready).await?,
        metrics: bind(listen.metrics).await?,
    };
    let address = |listener: &TcpListener| listener.local_addr().map(|a| a.to_string()).unwrap_or_default();
    info!(gateway.log, "listening"; "callers" => address(&listeners.callers), "ready" => address(&listeners.ready),
        "metrics" => address(&listeners.metrics));
    Ok(listeners)
}

/// Starts the tasks that accept connections.
pub(crate) fn start_callers(gateway: &Rc<Gateway>, listeners: Listeners) {
    spawn_local(accept_callers(Rc::clone(gateway), listeners.callers));
    let state = Rc::clone(gateway);
    spawn_local(serve_status(Rc::clone(gateway), listeners.ready, move || {
        let status = if state.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, String::new())
    }));
    let state = Rc::clone(gateway);
    spawn_local(serve_status(Rc::clone(gateway), listeners.metrics, move || {
        (StatusCode::OK, state.metrics.render(state.state_snapshot()))
    }));
}

async fn accept_connection(gateway: &Gateway, listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(gateway.log, "connection not accepted; trying again shortly"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = accept_connection(&gateway, &listener).await;
        // Without TCP_NODELAY, responses wait for acknowledgements. A failure only adds latency.
        let _ = stream.set_nodelay(true);
        spawn_local(serve_caller(Rc::clone(&gateway), stream));
    }
}

async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream) {
    gateway.caller_connections.set(gateway.caller_connections.get() + 1);
    let (head_max, idle) = match gateway.catalog.borrow().as_ref() {
        Some(catalog) => (catalog.limits.header_bytes.max(8_192), catalog.limits.idle_time),
        None => (DEFAULT_HEAD_MAX_BYTES, DEFAULT_IDLE_TIMEOUT),
    };
    let state = Rc::clone(&gateway);
    let head = HeadBytes::default();
    let stream = CallerStream::new(stream, head.clone());
    let service = service_fn(move |request: Request<Incoming>| serve(Rc::clone(&state), request, head.clone()));
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head_max)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let drain_started = gateway.drain_started.notified();
    tokio::pin!(drain_started);
    drain_started.as_mut().enable();
    if gateway.is_draining.get() {
        connection.as_mut().graceful_shutdown();
    }
    tokio::select! {
        // An error concerns only the caller of this connection, who sees it too.
        _ = connection.as_mut() => {}
        () = drain_started => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    gateway.caller_connections.set(gateway.caller_connections.get() - 1);
}

/// Responds to each request with the status and text that `status` returns.
async fn serve_status(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    status: impl Fn() -> (StatusCode, String) + Clone + 'static,
) {
    loop {
        let stream = accept_connection(&gateway, &listener).await;
        let status = status.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let (status, text) = status();
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        spawn_local(async move {
            let _ = Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
