//! A stream that is written once and read from any byte, so that a reader can resume.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    finished: bool,
    read_len: usize,
}

/// A response stream of an engine.
#[derive(Default)]
pub(super) struct Buffer {
    state: Mutex<State>,
    changed: Notify,
}

impl Buffer {
    pub(super) fn write(&self, bytes: &[u8]) {
        self.lock().bytes.extend_from_slice(bytes);
        self.changed.notify_waiters();
    }

    pub(super) fn finish(&self) {
        self.lock().finished = true;
        self.changed.notify_waiters();
    }

    /// Waits for bytes after `from` and returns up to `max_len` of them; none at the end of the stream.
    pub(super) async fn next(&self, from: usize, max_len: usize) -> Option<Vec<u8>> {
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                if state.bytes.len() > from {
                    let end = state.bytes.len().min(from.saturating_add(max_len));
                    state.read_len = state.read_len.max(end);
                    return Some(state.bytes[from..end].to_vec());
                }
                if state.finished {
                    return None;
                }
            }
            changed.await;
        }
    }

    /// Whether a reader has read the whole stream.
    pub(super) fn is_read(&self) -> bool {
        let state = self.lock();
        state.finished && state.read_len == state.bytes.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
