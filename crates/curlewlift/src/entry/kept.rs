//! Answers that this entry keeps, from their first byte on, for whoever reads them.

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

/// Bytes that the answer may run ahead of a reader.
const WINDOW: usize = 128 << 10;

/// The largest answer, in bytes.
pub(super) const LARGEST: usize = 16 << 20;

/// Status and headers of an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Head {
    pub(super) status: u16,
    pub(super) headers: Vec<(String, String)>,
}

/// How a request has ended.
#[derive(Clone, Debug)]
pub(super) struct End {
    pub(super) outcome: Outcome,
    /// Why there is no whole answer, if there is none.
    pub(super) refusal: Option<Refusal>,
}

impl End {
    /// What the claim's record says of it.
    pub(super) fn to_status(&self) -> Status {
        Status::Ended {
            outcome: self.outcome,
            code: self
                .refusal
                .as_ref()
                .map_or(0, |why| why.get_code().number()),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    head: Option<Head>,
    bytes: Vec<u8>,
    end: Option<End>,
    readers: usize,
    read: usize,
    /// Whether a byte of the request may have gone out.
    sent: bool,
    /// Whether another entry holds the request.
    followed: bool,
}

/// One request's answer; it grows until it has an end.
#[derive(Debug)]
pub(super) struct Kept {
    /// A hash of method, path and body.
    pub(super) digest: u64,
    state: Mutex<State>,
    grown: Notify,
    taken: Notify,
}

/// # Writing
impl Kept {
    pub(super) fn new(digest: u64) -> Self {
        Self {
            digest,
            state: Mutex::default(),
            grown: Notify::new(),
            taken: Notify::new(),
        }
    }

    pub(super) fn begin(&self, head: Head) {
        self.lock().head.get_or_insert(head);
        self.grown.notify_waiters();
    }

    /// Adds bytes; false where the answer is too large.
    pub(super) fn add(&self, bytes: &[u8]) -> bool {
        let mut state = self.lock();
        if state.bytes.len() + bytes.len() > LARGEST {
            return false;
        }
        state.bytes.extend_from_slice(bytes);
        drop(state);
        self.grown.notify_waiters();
        true
    }

    /// From now on a byte of the request may have gone out.
    pub(super) fn sent(&self) {
        self.lock().sent = true;
    }

    /// Surely no byte of it was run.
    pub(super) fn not_sent(&self) {
        self.lock().sent = false;
    }

    /// Whether a byte of the request may have gone out.
    pub(super) fn is_sent(&self) -> bool {
        self.lock().sent
    }

    /// Another entry holds the request: what becomes of it is not for this one to say.
    pub(super) fn follow(&self) {
        let mut state = self.lock();
        state.followed = true;
        state.sent = true;
    }

    /// Whether another entry holds the request.
    pub(super) fn is_followed(&self) -> bool {
        self.lock().followed
    }

    pub(super) fn end(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.grown.notify_waiters();
    }

    /// Waits while the readers are far behind.
    pub(super) async fn room(&self) {
        loop {
            let taken = self.taken.notified();
            {
                let state = self.lock();
                if state.readers == 0 || state.bytes.len() - state.read < WINDOW {
                    return;
                }
            }
            taken.await;
        }
    }

    /// Waits until every reader has gone, if there is no end before.
    pub(super) async fn abandoned(&self) {
        loop {
            let taken = self.taken.notified();
            if self.lock().readers == 0 {
                return;
            }
            taken.await;
        }
    }
}

/// # Reading
impl Kept {
    pub(super) fn get_end(&self) -> Option<End> {
        self.lock().end.clone()
    }

    pub(super) fn length(&self) -> usize {
        self.lock().bytes.len()
    }

    /// Waits until there is a head, or an end without one.
    pub(super) async fn head(&self) -> Result<Head, End> {
        loop {
            let grown = self.grown.notified();
            {
                let state = self.lock();
                match (&state.head, &state.end) {
                    (Some(head), _) => return Ok(head.clone()),
                    (None, Some(end)) => return Err(end.clone()),
                    (None, None) => {}
                }
            }
            grown.await;
        }
    }

    /// Waits until there is an end.
    pub(super) async fn ended(&self) -> End {
        loop {
            let grown = self.grown.notified();
            if let Some(end) = self.get_end() {
                return end;
            }
            grown.await;
        }
    }

    /// Waits for bytes after `from`; none at the end.
    pub(super) async fn next(&self, from: usize) -> Option<Vec<u8>> {
        loop {
            let grown = self.grown.notified();
            {
                let mut state = self.lock();
                if state.bytes.len() > from {
                    state.read = state.read.max(state.bytes.len());
                    self.taken.notify_waiters();
                    return Some(state.bytes[from..].to_vec());
                }
                if state.end.is_some() {
                    return None;
                }
            }
            grown.await;
        }
    }

    /// All its bytes.
    pub(super) fn bytes(&self) -> Vec<u8> {
        self.lock().bytes.clone()
    }

    /// What there is from `from` on, waiting up to `wait` for more.
    pub(super) async fn piece(&self, from: usize, wait: Duration) -> ResponseChunk {
        let _ = tokio::time::timeout(wait, async {
            if self.next(from).await.is_none() {
                self.ended().await;
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

    /// Counts a reader as long as the guard lives.
    pub(super) fn attach(self: &Arc<Self>) -> Reader {
        self.lock().readers += 1;
        Reader(Arc::clone(self))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A reader of an answer; when it goes, the answer is told.
#[derive(Debug)]
pub(super) struct Reader(Arc<Kept>);

impl Reader {
    pub(super) fn get_kept(&self) -> &Arc<Kept> {
        &self.0
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.readers -= 1;
        drop(state);
        self.0.taken.notify_waiters();
    }
}

/// The answers that this entry keeps; ended ones go after a time, or for want of room.
#[derive(Debug)]
pub(super) struct Store {
    answers: HashMap<id::Key, Arc<Kept>>,
    ended: VecDeque<(Instant, id::Key, usize)>,
    bytes: usize,
    limit: usize,
    keep: Duration,
}

impl Store {
    /// Keeps ended answers for `keep`, `limit` bytes of them at the most.
    pub(super) fn new(keep: Duration, limit: usize) -> Self {
        Self {
            answers: HashMap::new(),
            ended: VecDeque::new(),
            bytes: 0,
            limit,
            keep,
        }
    }

    pub(super) fn get(&self, key: id::Key) -> Option<&Arc<Kept>> {
        self.answers.get(&key)
    }

    pub(super) fn put(&mut self, key: id::Key, kept: Arc<Kept>) {
        self.answers.insert(key, kept);
    }

    /// Takes note of an end; a request that did not run leaves nothing to keep.
    pub(super) fn end(&mut self, key: id::Key, outcome: Outcome, now: Instant) {
        let Some(kept) = self.answers.get(&key) else {
            return;
        };
        if outcome == Outcome::NotRun {
            self.answers.remove(&key);
            return;
        }
        let size = kept.length();
        self.bytes += size;
        self.ended.push_back((now, key, size));
        while let Some((ended, key, size)) = self.ended.front().copied() {
            if now.since(ended) <= self.keep && self.bytes <= self.limit {
                break;
            }
            self.ended.pop_front();
            self.answers.remove(&key);
            self.bytes -= size;
        }
    }
}
