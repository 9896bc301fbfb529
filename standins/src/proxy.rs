//! A TCP proxy on loopback that injects faults into the connections that it forwards.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::sockets::find_owner;

/// A fault that a proxy injects into all of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes pass unchanged.
    #[default]
    None,
    /// Each chunk of bytes is forwarded after a delay.
    Delay(Duration),
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// Bytes to the target are held up; bytes from the target pass.
    StallToTarget,
    /// Bytes from the target are held up; bytes to the target pass.
    StallFromTarget,
    /// Bytes are held up in both directions, and neither side is notified. Connections that a process opens while it is cut off
    /// in this way stay silent for good.
    StallBoth,
    /// New connections are reset as soon as they are accepted; open ones live on.
    Refuse,
}

/// Processes that open connections to the proxies, of which one may be cut off.
pub type Processes = Arc<Mutex<Vec<u32>>>;

/// Fault of all connections of a proxy, and that of the connections of a process that is cut off.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    all: LinkFault,
    cut: Option<(u32, LinkFault)>,
}

impl Faults {
    /// Returns the fault of a connection that a process has opened. One of an unknown process counts as one of the process that
    /// is cut off, as no byte of that one may pass.
    fn of(self, process: Option<u32>) -> LinkFault {
        match self.cut {
            Some((_, fault)) if self.is_cut(process) => fault,
            _ => self.all,
        }
    }

    fn is_cut(self, process: Option<u32>) -> bool {
        self.cut
            .is_some_and(|(cut, _)| process.is_none_or(|process| process == cut))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl LinkFault {
    fn stalls(self, direction: Direction) -> bool {
        match self {
            Self::StallBoth => true,
            Self::StallToTarget => direction == Direction::ToTarget,
            Self::StallFromTarget => direction == Direction::FromTarget,
            Self::None | Self::Delay(_) | Self::Reset | Self::Refuse => false,
        }
    }
}

/// A proxy that forwards connections to one target.
#[derive(Debug)]
pub struct Proxy {
    /// Where the proxy accepts connections.
    pub address: SocketAddr,
    finds_processes: bool,
    target: watch::Sender<SocketAddr>,
    fault: watch::Sender<Faults>,
}

impl Proxy {
    /// Starts a proxy on a free port. With `processes`, it finds out which of them opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(target: SocketAddr, processes: Option<&Processes>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (target, target_rx) = watch::channel(target);
        let (fault, fault_rx) = watch::channel(Faults::default());
        tokio::spawn(accept(listener, target_rx, fault_rx, processes.map(Arc::clone)));
        Ok(Self {
            address,
            finds_processes: processes.is_some(),
            target,
            fault,
        })
    }

    /// Sets the fault of all connections but those of the process that is cut off.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_modify(|faults| faults.all = fault);
    }

    /// Sets the process that is cut off, and the fault of its connections.
    ///
    /// # Panics
    ///
    /// Panics if the proxy doesn't find out which process opens a connection.
    pub fn set_cut(&self, cut: Option<(u32, LinkFault)>) {
        assert!(
            self.finds_processes,
            "the connections of a process can't be told from others"
        );
        self.fault.send_modify(|faults| faults.cut = cut);
    }

    /// Sets where new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }
}

async fn accept(
    listener: TcpListener,
    target_rx: watch::Receiver<SocketAddr>,
    fault_rx: watch::Receiver<Faults>,
    processes: Option<Processes>,
) {
    while let Ok((client_stream, peer)) = listener.accept().await {
        let (target, mut fault_rx) = (*target_rx.borrow(), fault_rx.clone());
        let candidates = processes.as_ref().map_or_else(Vec::new, |processes| {
            processes.lock().unwrap_or_else(PoisonError::into_inner).clone()
        });
        tokio::spawn(async move {
            // With a linger time of zero, dropping an open stream resets its connection. Only `Reset`, `Refuse` and a
            // failure of the other side drop open streams.
            let _ = client_stream.set_zero_linger();
            let own = client_stream.local_addr().ok();
            let process = own.and_then(|own| find_owner(peer, own, &candidates));
            let (fault, is_cut) = {
                let faults = fault_rx.borrow();
                (faults.of(process), faults.is_cut(process))
            };
            match fault {
                LinkFault::Reset | LinkFault::Refuse => return,
                LinkFault::StallBoth if is_cut => {
                    // Such a connection stays silent after the cut has ended; the loop ends with the proxy.
                    while fault_rx.changed().await.is_ok() {}
                    return;
                }
                _ => {}
            }
            if let Ok(target_stream) = TcpStream::connect(target).await {
                let _ = target_stream.set_zero_linger();
                forward(client_stream, target_stream, process, fault_rx).await;
            }
        });
    }
}

async fn forward(
    client_stream: TcpStream,
    target_stream: TcpStream,
    process: Option<u32>,
    mut fault_rx: watch::Receiver<Faults>,
) {
    let ((client_read, client_write), (target_read, target_write)) =
        (client_stream.into_split(), target_stream.into_split());
    let to_target = forward_direction(
        client_read,
        target_write,
        Direction::ToTarget,
        process,
        fault_rx.clone(),
    );
    let from_target = forward_direction(
        target_read,
        client_write,
        Direction::FromTarget,
        process,
        fault_rx.clone(),
    );
    tokio::select! {
        // Both directions have ended, or one of them failed.
        _ = async { tokio::try_join!(to_target, from_target) } => {}
        _ = fault_rx.wait_for(|faults| faults.of(process) == LinkFault::Reset) => {}
    }
}

async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    process: Option<u32>,
    mut fault_rx: watch::Receiver<Faults>,
) -> std::io::Result<()> {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut bytes).await?;
        let passes = |faults: &Faults| !faults.of(process).stalls(direction);
        if fault_rx.wait_for(passes).await.is_err() {
            return Ok(());
        }
        let fault = fault_rx.borrow().of(process);
        if let LinkFault::Delay(delay) = fault {
            sleep(delay).await;
        }
        // Bytes that were held up are lost if their sender has reset the connection meanwhile.
        if let Some(error) = from.as_ref().take_error()? {
            return Err(error);
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&bytes[..length]).await?;
    }
}
