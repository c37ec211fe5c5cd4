//! Limits what a server may send that is no part of a response.
//!
//! A faulty server may send bytes without end in a head, between the chunks of a body or inside an event, as fast as the
//! link allows or slowly. Without a limit they would occupy the slot, the memory and the caller until the deadline.

use std::error::Error;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::response::Reception;
use curlewlift_core::response::Silence;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::node::Node;

/// The size of the buffer for a response, and thereby of its head, in bytes.
pub(super) const RESPONSE_BUFFER_BYTES: usize = 64 << 10;

/// How many bytes may arrive without any of them being data of the body: a full buffer, and the framing of chunks.
const MAX_UNUSED_BYTES: usize = 2 * RESPONSE_BUFFER_BYTES;

/// How long the head of a response, the framing of a chunk or an event may be incomplete: two lost packets.
const MAX_INCOMPLETE_TIME: Duration = Duration::from_secs(2);

/// How often a task yields until the tasks of connections have read what has arrived.
const YIELDS_TO_READ: usize = 3;

/// The server did not complete in time what it had begun to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Stalled;

impl fmt::Display for Stalled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the server did not complete what it had begun to send")
    }
}

/// What has arrived over a connection and is not part of a response yet.
#[derive(Debug)]
pub(super) struct Received {
    state: Mutex<State>,
    arrived: Notify,
}

#[derive(Debug)]
struct State {
    reception: Reception,
    unused_bytes: usize,
    /// Since when something is incomplete; none if nothing is.
    incomplete_since: Option<Instant>,
}

impl Received {
    /// What has arrived over a connection that was opened at `now`.
    pub(super) fn new(now: clock::Instant) -> Self {
        let state = State {
            reception: Reception::new(now),
            unused_bytes: 0,
            incomplete_since: None,
        };
        Self {
            state: Mutex::new(state),
            arrived: Notify::new(),
        }
    }

    /// The longest time until `now` in which nothing arrived.
    pub(super) fn longest_silence(&self, now: clock::Instant) -> Silence {
        self.state().reception.longest_silence(now)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that bytes have arrived; false if there are too many.
    fn add(&self, bytes: usize, node: &Node) -> bool {
        let mut state = self.state();
        let last_ran = node.progress.get().former;
        state.reception.receive(node.now(), last_ran);
        state.unused_bytes = state.unused_bytes.saturating_add(bytes);
        if state.incomplete_since.is_none() {
            state.incomplete_since = Some(Instant::now());
            self.arrived.notify_one();
        }
        state.unused_bytes <= MAX_UNUSED_BYTES
    }

    /// Records that the head or data of the body has been received, and whether what has arrived is complete.
    pub(super) fn record_used(&self, is_complete: bool) {
        let mut state = self.state();
        state.reception.use_data(is_complete);
        state.unused_bytes = 0;
        state.incomplete_since = match state.incomplete_since {
            _ if is_complete => None,
            Some(since) => Some(since),
            None => Some(Instant::now()),
        };
    }

    /// Records that an event has been received whole, and another one has begun.
    pub(super) fn record_next_event(&self) {
        let mut state = self.state();
        state.reception.use_data(false);
        state.unused_bytes = 0;
        state.incomplete_since = Some(Instant::now());
    }

    /// Records that the head of an interim response has been received. The final one may take long.
    pub(super) fn record_interim(&self) {
        let mut state = self.state();
        state.reception.use_interim();
        state.incomplete_since = None;
    }

    /// Waits until something has been incomplete for too long.
    pub(super) async fn wait_for_stall(&self) -> Stalled {
        loop {
            let since = self.state().incomplete_since;
            let Some(since) = since else {
                self.arrived.notified().await;
                continue;
            };
            tokio::time::sleep_until(since + MAX_INCOMPLETE_TIME).await;
            // After this host was suspended, the timer is due before the connection has read what arrived meanwhile.
            for _ in 0..YIELDS_TO_READ {
                tokio::task::yield_now().await;
            }
            if self.state().incomplete_since == Some(since) {
                return Stalled;
            }
        }
    }
}

/// A connection that counts the bytes it receives, and fails if too many are no part of a response.
pub(super) struct Limited<T> {
    io: T,
    received: Arc<Received>,
    node: Rc<Node>,
}

impl<T> Limited<T> {
    pub(super) fn new(io: T, received: Arc<Received>, node: Rc<Node>) -> Self {
        Self { io, received, node }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Limited<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - filled;
        let is_within_limit = self.received.add(bytes, &self.node);
        Poll::Ready(if is_within_limit {
            Ok(())
        } else {
            let reason = "the server sent too many bytes that are no part of a response";
            Err(io::Error::new(io::ErrorKind::InvalidData, reason))
        })
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Limited<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

/// Whether a connection failed as the server sent bytes that are no response.
pub(super) fn is_no_response(error: &hyper::Error) -> bool {
    error.is_parse() || has_invalid_data(error)
}

fn has_invalid_data(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(error) = cause.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
            );
        }
        source = cause.source();
    }
    false
}
