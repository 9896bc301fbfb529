//! A proxy on loopback that harms the connections that go through it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Harm {
    #[default]
    None,
    /// Each piece waits for so long.
    Delay(Duration),
    /// Connections are reset, new ones at once.
    Reset,
    /// Bytes to the target are held up; those back pass.
    CutThere,
    /// Bytes from the target are held up; those to it pass.
    CutBack,
    /// Nothing passes either way, and nobody is told.
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Harm {
    fn holds(self, way: Way) -> bool {
        match self {
            Self::Silent => true,
            Self::CutThere => way == Way::There,
            Self::CutBack => way == Way::Back,
            Self::None | Self::Delay(_) | Self::Reset => false,
        }
    }
}

/// The proxy of one target.
#[derive(Debug)]
pub(super) struct Proxy {
    pub(super) address: SocketAddr,
    target: watch::Sender<SocketAddr>,
    harm: watch::Sender<Harm>,
}

impl Proxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub(super) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (target, targets) = watch::channel(target);
        let (harm, harms) = watch::channel(Harm::None);
        tokio::spawn(accept(listener, targets, harms));
        Ok(Self { address, target, harm })
    }

    pub(super) fn set_harm(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }

    pub(super) fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }
}

async fn accept(listener: TcpListener, targets: watch::Receiver<SocketAddr>, harms: watch::Receiver<Harm>) {
    while let Ok((near, _)) = listener.accept().await {
        let (target, harms) = (*targets.borrow(), harms.clone());
        tokio::spawn(async move {
            // Dropping a stream resets it, which no harm but `Reset` and a broken other side does.
            let _ = near.set_zero_linger();
            if *harms.borrow() == Harm::Reset {
                return;
            }
            if let Ok(far) = TcpStream::connect(target).await {
                let _ = far.set_zero_linger();
                join(near, far, harms).await;
            }
        });
    }
}

async fn join(near: TcpStream, far: TcpStream, mut harms: watch::Receiver<Harm>) {
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    let there = pump(near_read, far_write, Way::There, harms.clone());
    let back = pump(far_read, near_write, Way::Back, harms.clone());
    tokio::select! {
        // Both ways have ended, or one of them broke.
        _ = async { tokio::try_join!(there, back) } => {}
        _ = harms.wait_for(|harm| *harm == Harm::Reset) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut harms: watch::Receiver<Harm>,
) -> std::io::Result<()> {
    let mut bytes = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut bytes).await?;
        if harms.wait_for(|harm| !harm.holds(way)).await.is_err() {
            return Ok(());
        }
        let harm = *harms.borrow();
        if let Harm::Delay(time) = harm {
            sleep(time).await;
        }
        // Bytes that are held up are lost if their sender resets the connection meanwhile.
        if let Some(error) = from.as_ref().take_error()? {
            return Err(error);
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&bytes[..length]).await?;
    }
}
