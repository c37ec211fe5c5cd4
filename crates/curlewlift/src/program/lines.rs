//! Lines on standard output, written by a thread of their own.
//!
//! The processes never wait for it: a line that finds the queue full is left out and counted, and
//! the next one that finds room is followed by the count.

use std::io::BufWriter;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;

use serde_json::json;

/// Lines that wait to be written: some seconds' worth on a busy host, at most a few hundred KB.
const WAITING: usize = 2_048;

/// Where lines go.
pub(super) struct Lines {
    queue: SyncSender<String>,
    left_out: AtomicU64,
}

impl Lines {
    /// Starts the thread that writes.
    pub(super) fn start() -> Self {
        let (queue, lines) = mpsc::sync_channel::<String>(WAITING);
        std::thread::spawn(move || {
            let mut out = BufWriter::new(std::io::stdout());
            while let Ok(line) = lines.recv() {
                // Nobody is left to be told where standard output is closed.
                let _ = writeln!(out, "{line}");
                while let Ok(line) = lines.try_recv() {
                    let _ = writeln!(out, "{line}");
                }
                let _ = out.flush();
            }
        });
        Self {
            queue,
            left_out: AtomicU64::new(0),
        }
    }

    /// Hands a line over, or counts it.
    pub(super) fn push(&self, line: String) {
        if self.queue.try_send(line).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("curlewlift_log_lines_left_out").increment(1);
            return;
        }
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let line = json!({ "level": "WARN", "left_out": left_out }).to_string();
            if self.queue.try_send(line).is_err() {
                self.left_out.fetch_add(left_out, Ordering::Relaxed);
            }
        }
    }
}
