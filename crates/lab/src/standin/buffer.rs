//! A stream that is written once and read from any byte, so that a reader can come back.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    ended: bool,
    read: usize,
}

/// A stream of an engine.
#[derive(Default)]
pub(super) struct Buffer {
    state: Mutex<State>,
    grown: Notify,
}

impl Buffer {
    pub(super) fn write(&self, bytes: &[u8]) {
        self.lock().bytes.extend_from_slice(bytes);
        self.grown.notify_waiters();
    }

    pub(super) fn end(&self) {
        self.lock().ended = true;
        self.grown.notify_waiters();
    }

    /// Waits for bytes after `from`, at most `most`; none at the end.
    pub(super) async fn next(&self, from: usize, most: usize) -> Option<Vec<u8>> {
        loop {
            let grown = self.grown.notified();
            {
                let mut state = self.lock();
                if state.bytes.len() > from {
                    let to = state.bytes.len().min(from.saturating_add(most));
                    state.read = state.read.max(to);
                    return Some(state.bytes[from..to].to_vec());
                }
                if state.ended {
                    return None;
                }
            }
            grown.await;
        }
    }

    /// Whether all of it was taken by a reader.
    pub(super) fn is_read(&self) -> bool {
        let state = self.lock();
        state.ended && state.read == state.bytes.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
