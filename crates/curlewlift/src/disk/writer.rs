//! A thread that writes batches, so that a slow sync holds up nothing else.

use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::log::SyncId;
use curlewlift_core::log::Write;

use super::Journal;

/// Writes that must be on disk before their number is told.
pub(crate) struct Batch {
    pub(crate) writes: Vec<Write>,
    pub(crate) sync: SyncId,
}

/// What the thread is called.
const NAME: &str = "journal";

/// A handle of the writing thread; once it is closed, the thread has ended.
///
/// A replica that begins anew in the same process reads the journal at once. A former one's thread that still
/// wrote to it then would leave entries there that the new one does not know of.
pub(crate) struct Writer {
    /// None once no more comes.
    batches: Option<mpsc::Sender<Batch>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts a thread that writes to `journal` and tells `done` what is on disk.
    ///
    /// What waits while a sync is under way goes into the next one together. After a failure
    /// `done` is told of it, and nothing more is written.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] where no thread can be had.
    pub(crate) fn start(
        mut journal: Journal,
        done: impl Fn(Result<SyncId, Refusal>) + Send + 'static,
    ) -> Result<Self, Refusal> {
        let (batches, queue) = mpsc::channel::<Batch>();
        let thread = thread::Builder::new().name(NAME.to_owned()).spawn(move || {
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
        let thread = thread.map_err(|why| {
            Refusal::new(Code::Internal, format!("no thread could be made: {why}"))
        })?;
        Ok(Self {
            batches: Some(batches),
            thread: Some(thread),
        })
    }

    /// Writes what was handed over, and waits until the thread has ended.
    pub(crate) fn close(&mut self) {
        self.batches = None;
        if let Some(Err(_)) = self.thread.take().map(JoinHandle::join) {
            log::error!("the thread that writes the journal has panicked");
        }
    }

    /// Hands a batch over; nothing is made of it once this is closed.
    pub(crate) fn write(&self, batch: Batch) {
        // The thread is gone only after a failure, of which `done` has been told.
        let _ = self.batches.as_ref().map(|batches| batches.send(batch));
    }
}
