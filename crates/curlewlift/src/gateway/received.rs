//! Ends connections to servers that send bytes without end.

use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::response::DataEnd;
use curlewlift_core::response::Reception;
use curlewlift_core::response::Silence;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use super::node::Node;

/// What has arrived over a connection, shared by the connection and the reader of the response.
#[derive(Debug, Default)]
pub(super) struct Received(Mutex<Reception>);

impl Received {
    fn reception(&self) -> MutexGuard<'_, Reception> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the head has been read, at its end, or data of the body.
    pub(super) fn use_data(&self, end: DataEnd) {
        self.reception().use_data(end);
    }

    /// Records that the head of an interim response has been read.
    pub(super) fn use_interim(&self) {
        self.reception().use_interim();
    }

    /// The longest time until `now` in which nothing arrived.
    pub(super) fn longest_silence(&self, now: clock::Instant) -> Silence {
        self.reception().longest_silence(now)
    }

    /// For how long nothing has arrived at `now`.
    pub(super) fn present_silence(&self, now: clock::Instant) -> Duration {
        self.reception().present_silence(now)
    }
}

/// A connection that fails if what it receives is no response.
///
/// A server may respond and close its connection before it has read the whole request. So a failed write is no failure: what
/// has arrived is read first.
pub(super) struct Limited<T> {
    io: T,
    /// Whether a write has failed, so that nothing more is sent.
    is_broken: bool,
    received: Arc<Received>,
    node: Rc<Node>,
}

impl<T> Limited<T> {
    pub(super) fn new(io: T, received: Arc<Received>, node: Rc<Node>) -> Self {
        Self {
            io,
            is_broken: false,
            received,
            node,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Limited<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.io).poll_read(context, buffer);
        let now = self.node.now();
        let mut reception = self.received.reception();
        match read {
            Poll::Pending => reception.wait(now),
            Poll::Ready(Ok(())) if buffer.filled().len() > filled => {
                let bytes = buffer.filled().len() - filled;
                let accepted = reception.receive(bytes, now, self.node.last_ran());
                let no_response = |endless| io::Error::new(io::ErrorKind::InvalidData, endless);
                return Poll::Ready(accepted.map_err(no_response));
            }
            // The failed write has consumed the error, and the end of a connection may be the end of a response.
            Poll::Ready(Ok(())) if self.is_broken => {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            Poll::Ready(_) => {}
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Limited<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_broken {
            return Poll::Ready(Ok(bytes.len()));
        }
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        if let Poll::Ready(Err(why)) = written {
            log::debug!("a request cannot be written any more: {why}");
            self.is_broken = true;
            return Poll::Ready(Ok(bytes.len()));
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_broken {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

/// Why a connection failed, if it did as the server sent bytes that are no response.
pub(super) fn no_response(error: &hyper::Error) -> Option<String> {
    if error.is_parse() {
        return Some(error.to_string());
    }
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(error) = cause.downcast_ref::<io::Error>() {
            let is_invalid = matches!(
                error.kind(),
                io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
            );
            return is_invalid.then(|| error.to_string());
        }
        source = cause.source();
    }
    None
}
