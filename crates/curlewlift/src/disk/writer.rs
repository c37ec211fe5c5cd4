//! A thread that writes batches, so that a slow sync holds up nothing else.

use std::sync::mpsc;
use std::thread;

use curlewlift_core::code::Refusal;
use curlewlift_core::log::Sync;
use curlewlift_core::log::Write;

use super::Journal;

/// Writes that must be on disk before their number is told.
pub(crate) struct Batch {
    pub(crate) writes: Vec<Write>,
    pub(crate) sync: Sync,
}

/// A handle of the writing thread; the thread ends when the handle goes.
pub(crate) struct Writer {
    batches: mpsc::Sender<Batch>,
}

impl Writer {
    /// Starts a thread that writes to `journal` and tells `done` what is on disk.
    ///
    /// What waits while a sync is under way goes into the next one together. After a failure
    /// `done` is told of it, and nothing more is written.
    pub(crate) fn start(
        mut journal: Journal,
        done: impl Fn(Result<Sync, Refusal>) + Send + 'static,
    ) -> Self {
        let (batches, queue) = mpsc::channel::<Batch>();
        thread::spawn(move || {
            while let Ok(first) = queue.recv() {
                let mut sync = first.sync;
                let mut writes = first.writes;
                while let Ok(more) = queue.try_recv() {
                    sync = more.sync;
                    writes.extend(more.writes);
                }
                let result = journal.write(writes).map(|()| sync);
                let failed = result.is_err();
                done(result);
                if failed {
                    return;
                }
            }
        });
        Self { batches }
    }

    /// Hands a batch over.
    pub(crate) fn write(&self, batch: Batch) {
        // The thread is gone only after a failure, of which `done` has been told.
        let _ = self.batches.send(batch);
    }
}
