//! Writes the journal on a separate thread, so that a slow sync blocks nothing else.

use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::log::SyncId;
use curlewlift_core::log::Write;

use super::Journal;

/// Writes that must be on disk before `sync` is reported.
pub(crate) struct Batch {
    pub(crate) writes: Vec<Write>,
    pub(crate) sync: SyncId,
}

/// The name of the thread.
const THREAD_NAME: &str = "journal";

/// The handle of the writing thread; once it is closed, the thread has ended.
///
/// A replica that is restarted in the same process reads the journal at once. If the previous replica's
/// thread still wrote then, the journal would contain entries that the new replica does not know of.
pub(crate) struct Writer {
    /// None once the writer is closed.
    batches: Option<mpsc::Sender<Batch>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts a thread that writes to `journal` and reports each sync to `done`.
    ///
    /// Batches that arrive during a sync are written together with the next sync. A failure is
    /// reported to `done`, and nothing is written after it.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the thread cannot be started.
    pub(crate) fn start(
        mut journal: Journal,
        done: impl Fn(Result<SyncId, Refusal>) + Send + 'static,
    ) -> Result<Self, Refusal> {
        let (batches, queue) = mpsc::channel::<Batch>();
        let thread = thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || {
                while let Ok(first) = queue.recv() {
                    let mut sync = first.sync;
                    let mut writes = first.writes;
                    while let Ok(next) = queue.try_recv() {
                        sync = next.sync;
                        writes.extend(next.writes);
                    }
                    let result = journal.write(writes).map(|()| sync);
                    let failed = result.is_err();
                    done(result);
                    if failed {
                        return;
                    }
                }
            });
        let thread = thread.map_err(|why| {
            Refusal::new(
                Code::Internal,
                format!("cannot start the journal thread: {why}"),
            )
        })?;
        Ok(Self {
            batches: Some(batches),
            thread: Some(thread),
        })
    }

    /// Writes the batches that are queued, and waits until the thread has ended.
    pub(crate) fn close(&mut self) {
        self.batches = None;
        if let Some(Err(_)) = self.thread.take().map(JoinHandle::join) {
            log::error!("the journal thread panicked");
        }
    }

    /// Queues a batch; does nothing once the writer is closed.
    pub(crate) fn write(&self, batch: Batch) {
        // The thread ends early only after a failure, which it has reported to `done`.
        let _ = self.batches.as_ref().map(|batches| batches.send(batch));
    }
}
