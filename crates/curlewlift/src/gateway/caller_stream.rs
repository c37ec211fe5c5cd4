//! The connection of a caller, which may read slowly.

use std::any::Any;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

#[cfg(test)]
mod tests;

/// How long a caller may go on sending after its connection has been closed for writing: long enough for the rest of a large
/// request over a narrow link.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// How many bytes are discarded at a time.
const DISCARD_BYTES: usize = 4 << 10;

/// What a response holds until it has been written, such as memory.
pub(super) type Guard = Box<dyn Any>;

/// What is held until the bytes that were given to a connection before have been written, such as memory. Clones are for the
/// same connection.
#[derive(Clone, Default)]
pub(super) struct Unsent(Rc<RefCell<Vec<Guard>>>);

impl Unsent {
    /// Holds these guards until the connection has written all that it has been given.
    pub(super) fn hold(&self, guards: &mut Vec<Guard>) {
        self.0.borrow_mut().append(guards);
    }

    /// Drops all guards.
    fn release(&self) {
        drop(self.0.take());
    }
}

/// A connection that fails if its caller takes nothing of what is to be written for too long. The kernel has no such limit
/// for a caller that is alive and keeps its window closed.
pub(super) struct CallerStream {
    stream: TcpStream,
    max_stall: Duration,
    /// Fires when the caller has taken nothing for too long; none unless something waits to be written.
    stalled: Option<Pin<Box<Sleep>>>,
    /// Fires when the caller may no longer send to the closed connection; none while it is open.
    linger: Option<Pin<Box<Sleep>>>,
    unsent: Unsent,
}

impl CallerStream {
    /// A connection that fails if its caller takes nothing for `max_stall`.
    pub(super) fn new(stream: TcpStream, max_stall: Duration) -> Self {
        Self {
            stream,
            max_stall,
            stalled: None,
            linger: None,
            unsent: Unsent::default(),
        }
    }

    /// The connection itself.
    pub(super) fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// What is held until the connection has been flushed.
    pub(super) fn unsent(&self) -> Unsent {
        self.unsent.clone()
    }

    /// Passes on the result of a write, unless nothing could be written for too long.
    fn limit_stall(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let sleep = || Box::pin(tokio::time::sleep(self.max_stall));
        let stalled = self.stalled.get_or_insert_with(sleep);
        ready!(stalled.as_mut().poll(context));
        let reason = "the caller has taken nothing for too long";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_stall(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit_stall(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes the connection when it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.unsent.release();
        Poll::Ready(Ok(()))
    }

    /// Closes the connection for writing, and discards what the caller still sends: a connection that is closed with unread
    /// bytes is reset, and the caller may lose the end of the response.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let mut linger = if let Some(linger) = this.linger.take() {
            linger
        } else {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
            Box::pin(tokio::time::sleep(MAX_LINGER))
        };
        let mut discarded = [0; DISCARD_BYTES];
        while linger.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut discarded);
            match Pin::new(&mut this.stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                Poll::Ready(_) => break,
                Poll::Pending => {
                    this.linger = Some(linger);
                    return Poll::Pending;
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}
