use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use super::lines::LineSink;

/// An output that nobody reads until it is told so.
struct Stuck {
    allowed: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.allowed.recv();
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A standard output that nobody reads must not stop the process, and lost lines must be counted.
#[test]
fn a_stuck_output_delays_nothing_and_drops_are_counted() {
    let (allow, allowed) = channel();
    let (written, lines) = channel();
    let mut sink = LineSink::start(Stuck { allowed, written });
    let line = format!("{}\n", "x".repeat(1_023));
    let start = Instant::now();
    for _ in 0..2_000 {
        sink.write_all(line.as_bytes()).expect("the sink takes all");
    }
    assert!(
        start.elapsed() < Duration::from_secs(5),
        "writing waited for the output"
    );
    drop(allow);
    drop(sink);
    let text = lines.into_iter().flatten().collect::<Vec<u8>>();
    let text = String::from_utf8(text).expect("text");
    assert!(text.contains("log lines dropped"), "the loss is not told");
}
