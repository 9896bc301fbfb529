//! A TCP relay that can pass, close or go silent.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Time within which a connection follows a change of the relay.
const FOLLOW: Duration = Duration::from_millis(20);

/// Passes connections on to a target.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    target: SocketAddr,
    opened: AtomicU64,
    /// Connections with a lower number carry nothing. A write holds the lock, so that nothing
    /// passes after a change.
    silent_below: RwLock<u64>,
    closing: AtomicBool,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            target,
            opened: AtomicU64::new(0),
            silent_below: RwLock::new(0),
            closing: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&state);
        spawn(move || {
            listener
                .incoming()
                .flatten()
                .for_each(|caller| accepting.accept(caller));
        });
        Self { address, state }
    }

    /// Connections that were opened so far.
    pub fn opened(&self) -> u64 {
        self.state.opened.load(Ordering::SeqCst)
    }

    /// Makes the connections that are open go silent; new ones work.
    pub fn silence_open(&self) {
        *self.state.silent_below.write().unwrap() = self.opened();
    }

    /// Makes all connections go silent, later ones too.
    pub fn silence_all(&self) {
        *self.state.silent_below.write().unwrap() = u64::MAX;
    }

    /// Closes all connections, and later ones when they come.
    pub fn close_all(&self) {
        self.state.closing.store(true, Ordering::SeqCst);
        sleep(2 * FOLLOW);
    }

    /// Carries everything again, also what was held back.
    pub fn pass(&self) {
        *self.state.silent_below.write().unwrap() = 0;
        self.state.closing.store(false, Ordering::SeqCst);
    }
}

impl State {
    fn accept(self: &Arc<Self>, caller: TcpStream) {
        let number = self.opened.fetch_add(1, Ordering::SeqCst);
        if self.closing.load(Ordering::SeqCst) {
            return;
        }
        let Ok(target) = TcpStream::connect(self.target) else {
            return;
        };
        for stream in [&caller, &target] {
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(FOLLOW)).unwrap();
        }
        let back = (target.try_clone().unwrap(), caller.try_clone().unwrap());
        for (from, to) in [(caller, target), back] {
            let state = Arc::clone(self);
            spawn(move || state.copy(number, from, to));
        }
    }

    fn copy(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 64 << 10];
        loop {
            if self.closing.load(Ordering::SeqCst) {
                break;
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) if self.forward(number, &buffer[..length], &mut to) => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Ok(_) | Err(_) => break,
            }
        }
        from.shutdown(Shutdown::Both).ok();
        to.shutdown(Shutdown::Both).ok();
    }

    /// Writes what was read once the connection may carry it; false if the connection has to end.
    fn forward(&self, number: u64, data: &[u8], to: &mut TcpStream) -> bool {
        while !self.closing.load(Ordering::SeqCst) {
            let silent_below = self.silent_below.read().unwrap();
            if number >= *silent_below {
                return to.write_all(data).is_ok();
            }
            drop(silent_below);
            sleep(FOLLOW);
        }
        false
    }
}
