//! Lines of the log on their way to a reader that may be slow or gone.
//!
//! The process appends to a buffer and never waits; a thread writes the buffer out.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Most bytes that wait to be written; lines beyond are dropped and counted.
const BUFFER_MAX: usize = 512 << 10;
/// Time in which lines are gathered for one write, as each write and wake-up costs.
const GATHER_TIME: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<Pending>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Pending> {
        // A panic elsewhere leaves whole lines, so the buffer is still good.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The end of the log that the process writes to.
#[derive(Debug)]
pub(super) struct LineSink {
    shared: Arc<Shared>,
    line: Vec<u8>,
    writer: Option<thread::JoinHandle<()>>,
}

impl LineSink {
    /// Starts the thread that writes.
    pub(super) fn start(output: impl Write + Send + 'static) -> Self {
        let shared = Arc::<Shared>::default();
        let theirs = Arc::clone(&shared);
        Self {
            shared,
            line: Vec::new(),
            writer: Some(thread::spawn(move || write_out(&theirs, output))),
        }
    }
}

impl Write for LineSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let mut pending = self.shared.lock();
            if pending.bytes.len() + self.line.len() > BUFFER_MAX {
                pending.dropped += 1;
            } else {
                let was_empty = pending.bytes.is_empty();
                pending.bytes.append(&mut self.line);
                if was_empty {
                    self.shared.changed.notify_one();
                }
            }
            self.line.clear();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineSink {
    fn drop(&mut self) {
        self.shared.lock().is_closed = true;
        self.shared.changed.notify_one();
        if let Some(writer) = self.writer.take() {
            // A writer that panicked has lost its lines already.
            let _ = writer.join();
        }
    }
}

fn write_out(shared: &Shared, mut output: impl Write) {
    loop {
        let mut pending = shared.lock();
        while pending.bytes.is_empty() && !pending.is_closed {
            pending = shared.changed.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
        let (is_closed, dropped) = (pending.is_closed, std::mem::take(&mut pending.dropped));
        let bytes = std::mem::take(&mut pending.bytes);
        drop(pending);
        // Nobody could be told of a failure to write the log.
        let _ = output.write_all(&bytes);
        if dropped > 0 {
            let _ = writeln!(
                output,
                "{{\"msg\":\"log lines dropped\",\"level\":\"WARN\",\"lines\":{dropped}}}"
            );
        }
        let _ = output.flush();
        if is_closed {
            return;
        }
        thread::sleep(GATHER_TIME);
    }
}
