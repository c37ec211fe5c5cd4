//! Responses that this entry stores from their first byte on, for the callers that read them.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use curlewlift_core::claim::Status;
use curlewlift_core::clock::Instant;
use curlewlift_core::code::Outcome;
use curlewlift_core::code::Refusal;
use curlewlift_core::id;
use tokio::sync::Notify;

use crate::rpc::ResponseChunk;

/// Maximum number of bytes that a streamed response may be ahead of its furthest reader.
const READER_WINDOW_BYTES: usize = 128 << 10;

/// Maximum size of a response, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Status and headers of a response.
#[derive(Clone, Debug, Default)]
pub(super) struct Head {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(super) struct End {
    pub(super) outcome: Outcome,
    /// Why there is no complete response, if there is none.
    pub(super) refusal: Option<Refusal>,
}

impl End {
    /// The status that the claim record of the request gets.
    pub(super) fn to_status(&self) -> Status {
        Status::Ended {
            outcome: self.outcome,
            code: self
                .refusal
                .as_ref()
                .map_or(0, |refusal| refusal.get_code().number()),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    bytes: Vec<u8>,
    end: Option<End>,
    readers: usize,
    /// How many bytes the reader that is furthest ahead has read.
    read_bytes: usize,
    /// Whether a byte of the request may have been sent to a server.
    sent: bool,
    /// Whether another entry holds the request.
    held_elsewhere: bool,
}

/// The response to one request. It grows until its end is set.
#[derive(Debug)]
pub(super) struct StoredResponse {
    /// A hash of method, path and body.
    pub(super) digest: u64,
    state: Mutex<State>,
    /// Notified when the head, bytes or the end are added.
    changed: Notify,
    /// Notified when a reader has read bytes or is dropped.
    reader_progress: Notify,
}

/// # Writing
impl StoredResponse {
    pub(super) fn new(digest: u64) -> Self {
        Self {
            digest,
            state: Mutex::default(),
            changed: Notify::new(),
            reader_progress: Notify::new(),
        }
    }

    /// Sets status and headers, unless they are set already.
    pub(super) fn set_head(&self, head: Head) {
        self.lock().head.get_or_insert(head);
        self.changed.notify_waiters();
    }

    /// Appends bytes. Returns false if the response would exceed [`MAX_RESPONSE_BYTES`].
    pub(super) fn append(&self, bytes: &[u8]) -> bool {
        let mut state = self.lock();
        if state.bytes.len() + bytes.len() > MAX_RESPONSE_BYTES {
            return false;
        }
        state.bytes.extend_from_slice(bytes);
        drop(state);
        self.changed.notify_waiters();
        true
    }

    /// Records that bytes of the request may be sent from now on.
    pub(super) fn mark_sent(&self) {
        self.lock().sent = true;
    }

    /// Records that the request certainly did not run.
    pub(super) fn mark_not_sent(&self) {
        self.lock().sent = false;
    }

    /// Whether a byte of the request may have been sent to a server.
    pub(super) fn is_sent(&self) -> bool {
        self.lock().sent
    }

    /// Records that another entry holds the request, so that this one reports no end for it.
    pub(super) fn mark_held_elsewhere(&self) {
        let mut state = self.lock();
        state.held_elsewhere = true;
        state.sent = true;
    }

    /// Whether another entry holds the request.
    pub(super) fn is_held_elsewhere(&self) -> bool {
        self.lock().held_elsewhere
    }

    /// Sets the end, unless it is set already.
    pub(super) fn set_end(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Waits while even the furthest reader is [`READER_WINDOW_BYTES`] or more behind.
    pub(super) async fn wait_for_room(&self) {
        loop {
            let progress = self.reader_progress.notified();
            {
                let state = self.lock();
                if state.readers == 0 || state.bytes.len() - state.read_bytes < READER_WINDOW_BYTES
                {
                    return;
                }
            }
            progress.await;
        }
    }

    /// Waits until no reader is left.
    pub(super) async fn wait_abandoned(&self) {
        loop {
            let progress = self.reader_progress.notified();
            if self.lock().readers == 0 {
                return;
            }
            progress.await;
        }
    }
}

/// # Reading
impl StoredResponse {
    pub(super) fn get_end(&self) -> Option<End> {
        self.lock().end.clone()
    }

    pub(super) fn length(&self) -> usize {
        self.lock().bytes.len()
    }

    /// Waits for status and headers, or for an end without them.
    pub(super) async fn wait_head(&self) -> Result<Head, End> {
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                match (&state.head, &state.end) {
                    (Some(head), _) => return Ok(head.clone()),
                    (None, Some(end)) => return Err(end.clone()),
                    (None, None) => {}
                }
            }
            changed.await;
        }
    }

    /// Waits for the end.
    pub(super) async fn wait_end(&self) -> End {
        loop {
            let changed = self.changed.notified();
            if let Some(end) = self.get_end() {
                return end;
            }
            changed.await;
        }
    }

    /// Waits for bytes from offset `from` on. Returns none at the end of the response.
    pub(super) async fn wait_bytes(&self, from: usize) -> Option<Vec<u8>> {
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                if state.bytes.len() > from {
                    state.read_bytes = state.read_bytes.max(state.bytes.len());
                    self.reader_progress.notify_waiters();
                    return Some(state.bytes[from..].to_vec());
                }
                if state.end.is_some() {
                    return None;
                }
            }
            changed.await;
        }
    }

    /// All bytes received so far.
    pub(super) fn bytes(&self) -> Vec<u8> {
        self.lock().bytes.clone()
    }

    /// The bytes from offset `from` on. Waits up to `max_wait` if there are none yet.
    pub(super) async fn chunk(&self, from: usize, max_wait: Duration) -> ResponseChunk {
        let _ = tokio::time::timeout(max_wait, async {
            if self.wait_bytes(from).await.is_none() {
                self.wait_end().await;
            }
        })
        .await;
        let state = self.lock();
        let head = state.head.clone().map(|head| (head.status, head.headers));
        ResponseChunk {
            head,
            bytes: state.bytes.get(from..).unwrap_or_default().to_vec(),
            status: state.end.as_ref().map(End::to_status),
        }
    }

    /// Adds a reader, which counts until it is dropped.
    pub(super) fn attach_reader(self: &Arc<Self>) -> Reader {
        self.lock().readers += 1;
        Reader(Arc::clone(self))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A reader of a response. Dropping it wakes those who wait for the readers.
#[derive(Debug)]
pub(super) struct Reader(Arc<StoredResponse>);

impl Reader {
    pub(super) fn get_response(&self) -> &Arc<StoredResponse> {
        &self.0
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.readers -= 1;
        drop(state);
        self.0.reader_progress.notify_waiters();
    }
}

/// The responses that this entry stores. Ended ones are removed after `retention`, or earlier if
/// they exceed `max_bytes` in total.
#[derive(Debug)]
pub(super) struct Store {
    responses: HashMap<id::Key, Arc<StoredResponse>>,
    ended: VecDeque<(Instant, id::Key, usize)>,
    bytes: usize,
    max_bytes: usize,
    retention: Duration,
}

impl Store {
    /// Creates a store that retains ended responses for `retention`, with a maximum of `max_bytes`
    /// in total.
    pub(super) fn new(retention: Duration, max_bytes: usize) -> Self {
        Self {
            responses: HashMap::new(),
            ended: VecDeque::new(),
            bytes: 0,
            max_bytes,
            retention,
        }
    }

    pub(super) fn get(&self, key: id::Key) -> Option<&Arc<StoredResponse>> {
        self.responses.get(&key)
    }

    pub(super) fn insert(&mut self, key: id::Key, response: Arc<StoredResponse>) {
        self.responses.insert(key, response);
    }

    /// Records that the request with `key` ended, and removes old responses. Nothing is stored of a
    /// request that did not run.
    pub(super) fn record_end(&mut self, key: id::Key, outcome: Outcome, now: Instant) {
        let Some(response) = self.responses.get(&key) else {
            return;
        };
        if outcome == Outcome::NotRun {
            self.responses.remove(&key);
            return;
        }
        let size = response.length();
        self.bytes += size;
        self.ended.push_back((now, key, size));
        while let Some((ended_at, key, size)) = self.ended.front().copied() {
            if now.since(ended_at) <= self.retention && self.bytes <= self.max_bytes {
                break;
            }
            self.ended.pop_front();
            self.responses.remove(&key);
            self.bytes -= size;
        }
    }
}
