//! Listens for callers, readiness probes and scrapes of the metrics.

use std::cell::{Cell, RefCell};
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
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep};

use super::framing::{CONNECTION_BYTES, Caller, CallerStream, HEADERS_MAX, linger};
use super::rejections::record_rejected_head;
use super::request::serve;
use super::state::Gateway;
use crate::memory::{Holder, Reservation};

/// Limit on the head of a request while there is no configuration.
const DEFAULT_HEAD_MAX_BYTES: usize = 64 << 10;
/// Smallest limit on heads that the HTTP library takes.
const HEAD_LIMIT_MIN_BYTES: usize = 8_192;
/// Idle timeout of a caller's connection while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of open connections for readiness checks, and of those for metrics.
const STATUS_CONNECTIONS_MAX: usize = 32;
/// Limit on the head of a readiness check or a scrape.
const STATUS_HEAD_MAX_BYTES: usize = 16 << 10;
/// Number of turns of the scheduler for which a new connection waits for another one to close.
const CLOSE_TURNS_MAX: usize = 16;
/// Delay before the next accept after one failed, for instance because no file descriptor was left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listening sockets of the process.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(super) callers: TcpListener,
    pub(super) ready: TcpListener,
    pub(super) metrics: TcpListener,
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

async fn accept_connection(gateway: &Gateway, listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                warn!(gateway.log, "connection not accepted; trying again shortly"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (stream, address) = accept_connection(&gateway, &listener).await;
        let Some(reservation) = admit_caller(&gateway, address).await else {
            continue;
        };
        let (number, progress) = gateway.callers.borrow_mut().add(Instant::now());
        let caller = Caller::new(address, number, progress, reservation);
        // Without TCP_NODELAY, responses wait for acknowledgements. A failure only adds latency.
        let _ = stream.set_nodelay(true);
        spawn_local(serve_caller(Rc::clone(&gateway), stream, caller));
    }
}

/// Limits on callers that apply to a connection for as long as it is open.
#[derive(Clone, Copy, Debug)]
struct ConnectionLimits {
    head_bytes: usize,
    idle_time: Duration,
}

impl ConnectionLimits {
    /// Returns the limits of the configuration in force.
    fn in_force(gateway: &Gateway) -> Self {
        match gateway.catalog.borrow().as_ref() {
            Some(catalog) => Self {
                head_bytes: catalog.limits.header_bytes.max(HEAD_LIMIT_MIN_BYTES),
                idle_time: catalog.limits.idle_time,
            },
            None => Self {
                head_bytes: DEFAULT_HEAD_MAX_BYTES,
                idle_time: DEFAULT_IDLE_TIMEOUT,
            },
        }
    }

    /// Reports whether callers may send or do something that other limits forbid.
    fn exceeds(self, other: Self) -> bool {
        self.head_bytes > other.head_bytes || self.idle_time > other.idle_time
    }
}

/// Waits until a connection has to close after the request in progress: the process stops, or callers may do more than
/// the limits of the connection allow.
async fn wait_for_last_request(gateway: &Gateway, limits: ConnectionLimits) {
    loop {
        let drain_started = gateway.drain_started.notified();
        let limits_changed = gateway.limits_changed.notified();
        tokio::pin!(drain_started, limits_changed);
        drain_started.as_mut().enable();
        limits_changed.as_mut().enable();
        if gateway.is_draining.get() || ConnectionLimits::in_force(gateway).exceeds(limits) {
            return;
        }
        tokio::select! {
            () = drain_started => {}
            () = limits_changed => {}
        }
    }
}

/// Reserves memory for a new connection. If there is no room for it, the connection that uses its room least is closed;
/// without one the new connection is refused.
async fn admit_caller(gateway: &Gateway, address: SocketAddr) -> Option<Reservation> {
    let limit = gateway.caller_limit();
    let try_admit = || {
        let has_room = gateway.callers.borrow().open_count() < limit;
        let reserve = || gateway.memory.try_reserve(Holder::Connection, CONNECTION_BYTES);
        has_room.then(reserve).flatten()
    };
    if let Some(reservation) = try_admit() {
        return Some(reservation);
    }
    let is_closed = gateway.callers.borrow_mut().close_one(Instant::now());
    gateway
        .metrics
        .count_closed_caller(if is_closed { "no-room" } else { "refused" });
    warn!(gateway.log, "no room for a further connection of callers"; "caller" => %address, "limit" => limit,
        "open" => gateway.callers.borrow().open_count(), "closed_another" => is_closed);
    // The closed connection returns its descriptor and its memory when its task runs next.
    for _ in 0..if is_closed { CLOSE_TURNS_MAX } else { 0 } {
        yield_now().await;
        if let Some(reservation) = try_admit() {
            return Some(reservation);
        }
    }
    None
}

async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream, caller: Caller) {
    gateway.caller_connections.set(gateway.caller_connections.get() + 1);
    let limits = ConnectionLimits::in_force(&gateway);
    let state = Rc::clone(&gateway);
    let stream = Rc::new(RefCell::new(stream));
    let service_caller = caller.clone();
    let service =
        service_fn(move |request: Request<Incoming>| serve(Rc::clone(&state), request, service_caller.clone()));
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.head_bytes)
        .max_headers(HEADERS_MAX)
        .serve_connection(
            TokioIo::new(CallerStream::new(Rc::clone(&stream), caller.clone())),
            service,
        );
    let mut connection = Box::pin(connection);
    let result = tokio::select! {
        // First, so that a connection accepted during a shutdown begins no request.
        biased;
        () = wait_for_last_request(&gateway, limits) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection.as_mut() => result,
                () = caller.wait_for_close() => Ok(()),
            }
        }
        result = connection.as_mut() => result,
        () = caller.wait_for_close() => Ok(()),
    };
    drop(connection);
    if let Err(error) = result {
        record_rejected_head(&gateway, &caller, &error);
    }
    gateway.caller_connections.set(gateway.caller_connections.get() - 1);
    linger(stream, &caller).await;
    gateway.callers.borrow_mut().remove(caller.number());
}

/// Responds to each request with the status and text that `status` returns.
async fn serve_status(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    status: impl Fn() -> (StatusCode, String) + Clone + 'static,
) {
    let open = Rc::new(Cell::new(0));
    loop {
        let (stream, address) = accept_connection(&gateway, &listener).await;
        if open.get() >= STATUS_CONNECTIONS_MAX {
            warn!(gateway.log, "connection for the status refused: too many are open"; "caller" => %address);
            continue;
        }
        open.set(open.get() + 1);
        let open = Rc::clone(&open);
        let status = status.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let (status, text) = status();
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        spawn_local(async move {
            let _ = Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
                .max_buf_size(STATUS_HEAD_MAX_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            open.set(open.get() - 1);
        });
    }
}
