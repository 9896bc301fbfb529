//! Connections to upstreams through other hosts, for a host that reaches none itself.
//!
//! The host opens a TCP connection to another one at the address for messages between hosts and sends the name of the upstream,
//! preceded by its length in one byte. The other host responds with [`OPENED`] once it has a connection to this upstream, and
//! then passes all bytes on in both directions. Without such a connection it closes.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use slog::warn;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional_with_sizes};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::connect::{open_stream, set_socket_options};
use super::state::{Gateway, Presence};
use crate::memory::Holder;
use crate::telemetry::TunnelOutcome;
use crate::types::{HostName, UpstreamName};

/// Response of a host that has opened a connection to the upstream.
const OPENED: u8 = 1;
/// Timeout for opening a connection to another host, or to the upstream there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the response of the other host.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of other hosts that are tried for one connection.
const HOSTS_MAX: usize = 2;
/// Size of the buffer for each direction of a tunnel.
const BUFFER_BYTES: usize = 8 << 10;
/// Share of the file descriptors that tunnels of other hosts may use, as a divisor; a tunnel uses two.
const DESCRIPTOR_DIVISOR: usize = 20;
/// Delay before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a connection to an upstream through another host.
///
/// # Errors
///
/// Fails if none of the hosts that are tried opens one in time.
pub(super) async fn open_tunnel(gateway: &Gateway, upstream: &UpstreamName) -> io::Result<TcpStream> {
    let mut last_error = io::Error::other("no other host reaches upstreams");
    let mut tried = Vec::new();
    for _ in 0..HOSTS_MAX {
        let Some(host) = choose_host(gateway, &tried) else {
            break;
        };
        match timeout(CONNECT_TIMEOUT + OPEN_TIMEOUT, open_through(gateway, &host, upstream)).await {
            Ok(Ok(stream)) => {
                gateway.metrics.count_tunnel(TunnelOutcome::Opened);
                return Ok(stream);
            }
            Ok(Err(error)) => last_error = error,
            Err(_) => last_error = io::ErrorKind::TimedOut.into(),
        }
        tried.push(host);
    }
    gateway.metrics.count_tunnel(TunnelOutcome::Failed);
    Err(last_error)
}

/// Reports whether another host may open connections to upstreams for this one.
pub(super) fn has_tunnel_host(gateway: &Gateway) -> bool {
    choose_host(gateway, &[]).is_some()
}

/// Chooses a host that isn't known to be cut off, of the own availability zone if there is one.
fn choose_host(gateway: &Gateway, tried: &[HostName]) -> Option<HostName> {
    let now = Instant::now();
    let hosts = gateway.hosts.borrow();
    let is_usable = |host: &HostName| {
        *host != gateway.settings.host && !tried.contains(host) && !gateway.links.is_host_cut(now, host)
    };
    let usable: Vec<_> = hosts.iter().filter(|(host, _)| is_usable(host)).collect();
    let is_near = |(_, presence): &&(&HostName, &Presence)| presence.zone == gateway.settings.zone;
    let near: Vec<_> = usable.iter().filter(is_near).copied().collect();
    let choice = if near.is_empty() { &usable } else { &near };
    let chosen = choice.choose(&mut *gateway.rng.borrow_mut());
    chosen.map(|(host, _)| (*host).clone())
}

async fn open_through(gateway: &Gateway, host: &HostName, upstream: &UpstreamName) -> io::Result<TcpStream> {
    let address = gateway.hosts.borrow().get(host).map(|presence| presence.peers);
    let address = address.ok_or(io::ErrorKind::NotFound)?;
    let mut stream = open_stream(address, CONNECT_TIMEOUT).await?;
    let name = upstream.as_str().as_bytes();
    let length = u8::try_from(name.len()).map_err(io::Error::other)?;
    stream.write_all(&[&[length], name].concat()).await?;
    match stream.read_u8().await? {
        OPENED => Ok(stream),
        other => Err(io::Error::other(format!("unexpected response {other}"))),
    }
}

/// Accepts the tunnels of other hosts.
pub(crate) async fn accept_tunnels(gateway: Rc<Gateway>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    let limit = (gateway.settings.descriptor_limit() / DESCRIPTOR_DIVISOR).max(1);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // A tunnel that isn't served is closed, and the other host tries the next one.
        let reservation = gateway.memory.try_reserve(Holder::Connection, 2 * BUFFER_BYTES);
        let (Some(reservation), true) = (reservation, open.get() < limit) else {
            warn!(gateway.log, "tunnel of another host refused: no room"; "open" => open.get());
            gateway.metrics.count_tunnel(TunnelOutcome::Refused);
            continue;
        };
        open.set(open.get() + 1);
        let (gateway, open) = (Rc::clone(&gateway), Rc::clone(&open));
        spawn_local(async move {
            // A failure closes both connections, which tells both ends.
            let _ = serve_tunnel(&gateway, stream).await;
            open.set(open.get() - 1);
            drop(reservation);
        });
    }
}

async fn serve_tunnel(gateway: &Gateway, mut stream: TcpStream) -> io::Result<()> {
    set_socket_options(&stream)?;
    let name = timeout(CONNECT_TIMEOUT, read_name(&mut stream)).await??;
    let address = {
        let fleet = gateway.fleet.borrow();
        fleet.get(&name).map(|upstream| upstream.announcement.address)
    };
    let address = address.filter(|_| !gateway.links.is_cut());
    let mut upstream = open_stream(address.ok_or(io::ErrorKind::NotFound)?, CONNECT_TIMEOUT).await?;
    stream.write_u8(OPENED).await?;
    gateway.metrics.count_tunnel(TunnelOutcome::Served);
    copy_bidirectional_with_sizes(&mut stream, &mut upstream, BUFFER_BYTES, BUFFER_BYTES).await?;
    Ok(())
}

async fn read_name(stream: &mut TcpStream) -> io::Result<UpstreamName> {
    let length = stream.read_u8().await?;
    let mut name = vec![0; length.into()];
    stream.read_exact(&mut name).await?;
    let name = String::from_utf8(name).map_err(io::Error::other)?;
    name.parse().map_err(io::Error::other)
}
