//! Lines on standard output, written by a thread of their own.
//!
//! The processes never wait for it: a line that finds the queue full is left out and counted, and
//! the next one that finds room is followed by the count.

use std::io::BufWriter;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use serde_json::json;

/// Lines that wait to be written: some seconds' worth on a busy host, at most a few hundred KB.
const WAITING: usize = 2_048;

/// How long the end of the process waits for what is still to be written.
const LAST: Duration = Duration::from_millis(200);

/// What the writing thread is given.
enum Item {
    Line(String),
    /// Tells that everything before it is written.
    Mark(SyncSender<()>),
}

/// The queue of the one log of this process.
static QUEUE: OnceLock<SyncSender<Item>> = OnceLock::new();

/// Waits until what was logged so far is written, or for [`LAST`].
pub(super) fn finish() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (mark, written) = mpsc::sync_channel(1);
    if queue.try_send(Item::Mark(mark)).is_ok() {
        // Nothing can be logged any more about what was not written in time.
        let _ = written.recv_timeout(LAST);
    }
}

/// Where lines go.
pub(super) struct Lines {
    queue: SyncSender<Item>,
    left_out: AtomicU64,
}

impl Lines {
    /// Starts the thread that writes.
    pub(super) fn start() -> Self {
        let (queue, items) = mpsc::sync_channel::<Item>(WAITING);
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

    /// Hands a line over, or counts it.
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
        // Nobody is left to be told where standard output is closed.
        Item::Line(line) => drop(writeln!(out, "{line}")),
        Item::Mark(written) => {
            let _ = out.flush();
            let _ = written.try_send(());
        }
    }
}
