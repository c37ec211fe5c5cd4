//! The connection of a caller, which may read slowly.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
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

/// A connection that fails if its caller takes nothing of what is to be written for too long. The kernel has no such limit
/// for a caller that is alive and keeps its window closed.
pub(super) struct CallerStream {
    stream: TcpStream,
    max_stall: Duration,
    /// Fires when the caller has taken nothing for too long; none unless something waits to be written.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// A connection that fails if its caller takes nothing for `max_stall`.
    pub(super) fn new(stream: TcpStream, max_stall: Duration) -> Self {
        Self {
            stream,
            max_stall,
            stalled: None,
        }
    }

    /// The connection itself.
    pub(super) fn get_ref(&self) -> &TcpStream {
        &self.stream
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

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
