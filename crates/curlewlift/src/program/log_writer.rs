//! Writes log lines to standard output on a separate thread.
//!
//! Logging never blocks the process: when the queue is full, the line is dropped and counted, and
//! the next line that is queued is followed by a line with the count (`left_out`).

use std::io::BufWriter;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use serde_json::json;

/// Capacity of the queue, in lines: some seconds' worth on a busy host, at most a few hundred KB.
const QUEUE_CAPACITY: usize = 2_048;

/// How long the process waits at exit for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// An item of the queue to the writing thread.
enum Item {
    Line(String),
    /// Asks for a signal once everything queued before it is written.
    Flush(SyncSender<()>),
}

/// The queue of this process's log writer.
static QUEUE: OnceLock<SyncSender<Item>> = OnceLock::new();

/// Waits until all lines logged so far are written, for at most [`FLUSH_TIMEOUT`].
pub(super) fn finish() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (done, written) = mpsc::sync_channel(1);
    if queue.try_send(Item::Flush(done)).is_ok() {
        // The process exits: a timeout here cannot be logged any more.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// The handle that queues lines for the writing thread.
pub(super) struct LogWriter {
    queue: SyncSender<Item>,
    left_out: AtomicU64,
}

impl LogWriter {
    /// Starts the writing thread.
    pub(super) fn start() -> Self {
        let (queue, items) = mpsc::sync_channel::<Item>(QUEUE_CAPACITY);
        let _ = QUEUE.set(queue.clone());
        std::thread::spawn(move || {
            let mut out = BufWriter::new(std::io::stdout());
            while let Ok(item) = items.recv() {
                write(&mut out, item);
                while let Ok(item) = items.try_recv() {
                    write(&mut out, item);
                }
                let _ = out.flush();
            }
        });
        Self {
            queue,
            left_out: AtomicU64::new(0),
        }
    }

    /// Queues a line; drops and counts it if the queue is full.
    pub(super) fn push(&self, line: String) {
        if self.queue.try_send(Item::Line(line)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("curlewlift_log_lines_left_out").increment(1);
            return;
        }
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let line = json!({ "level": "WARN", "left_out": left_out }).to_string();
            if self.queue.try_send(Item::Line(line)).is_err() {
                self.left_out.fetch_add(left_out, Ordering::Relaxed);
            }
        }
    }
}

fn write(out: &mut impl Write, item: Item) {
    match item {
        // If standard output is closed, there is nowhere to report it.
        Item::Line(line) => drop(writeln!(out, "{line}")),
        Item::Flush(done) => {
            let _ = out.flush();
            let _ = done.try_send(());
        }
    }
}
