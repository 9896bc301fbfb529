//! A buffered writer for log lines, for an output that may be read slowly or not at all.
//!
//! Writing a line appends it to a bounded buffer and never waits for the output; a thread writes the
//! buffer to the output in batches.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Largest size of the buffer; lines that don't fit are dropped and counted.
const BUFFER_MAX_BYTES: usize = 512 << 10;
/// Pause between two batches, as each write and each wake-up of the thread has a cost.
const BATCH_PERIOD: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Buffer> {
        // The buffer holds complete lines also after a panic, so a poisoned lock is usable.
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writer that buffers lines and leaves the output to a thread.
#[derive(Debug)]
pub(super) struct LineWriter {
    shared: Arc<Shared>,
    line: Vec<u8>,
    worker: Option<thread::JoinHandle<()>>,
}

impl LineWriter {
    /// Starts the thread that writes to the output.
    pub(super) fn start(output: impl Write + Send + 'static) -> Self {
        let shared = Arc::<Shared>::default();
        let worker_shared = Arc::clone(&shared);
        Self {
            shared,
            line: Vec::new(),
            worker: Some(thread::spawn(move || write_batches(&worker_shared, output))),
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let mut buffer = self.shared.lock();
            if buffer.bytes.len() + self.line.len() > BUFFER_MAX_BYTES {
                buffer.dropped += 1;
            } else {
                let was_empty = buffer.bytes.is_empty();
                buffer.bytes.append(&mut self.line);
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

impl Drop for LineWriter {
    fn drop(&mut self) {
        self.shared.lock().is_closed = true;
        self.shared.changed.notify_one();
        if let Some(worker) = self.worker.take() {
            // If the thread panicked, its lines are already lost.
            let _ = worker.join();
        }
    }
}

fn write_batches(shared: &Shared, mut output: impl Write) {
    loop {
        let mut buffer = shared.lock();
        while buffer.bytes.is_empty() && !buffer.is_closed {
            buffer = shared.changed.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        let (is_closed, dropped) = (buffer.is_closed, std::mem::take(&mut buffer.dropped));
        let bytes = std::mem::take(&mut buffer.bytes);
        drop(buffer);
        // There is nowhere to report a failure to write the log.
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
        thread::sleep(BATCH_PERIOD);
    }
}
