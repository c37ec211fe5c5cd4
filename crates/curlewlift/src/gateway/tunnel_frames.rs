//! Marks the end of what a server sends through a tunnel.
//!
//! The connection between two gateways ends without a reset also when the other gateway's process is killed. So what the
//! server sends is cut into frames, each with its length before it, and an empty frame says that the server has closed
//! its connection.

use std::io;
use std::pin::Pin;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use futures::stream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::StreamReader;

/// Size of the length before each frame, in bytes.
const LENGTH_BYTES: usize = 2;

/// The largest frame, in bytes without its length.
const MAX_FRAME_BYTES: usize = 8 << 10;

/// Reads what a server sends from the frames on a connection. It fails if the connection ends before the server has closed
/// its own.
pub(super) type Reader = Pin<Box<dyn AsyncRead>>;

/// The reader of the frames on `connection`.
pub(super) fn reader(connection: impl AsyncRead + Unpin + 'static) -> Reader {
    let codec = LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let contents = contents(FramedRead::new(connection, codec));
    Box::pin(StreamReader::new(contents))
}

/// The contents of the frames up to the empty one.
fn contents<T>(frames: FramedRead<T, LengthDelimitedCodec>) -> impl Stream<Item = io::Result<Bytes>>
where
    T: AsyncRead + Unpin,
{
    stream::unfold(Some(frames), |frames| async {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => None,
            Some(Ok(frame)) => Some((Ok(frame.freeze()), Some(frames))),
            Some(Err(error)) => Some((Err(error), None)),
            None => Some((Err(io::ErrorKind::UnexpectedEof.into()), None)),
        }
    })
}

/// The buffer for one frame, with its length.
pub(super) struct FrameBuffer(Box<[u8]>);

impl Default for FrameBuffer {
    fn default() -> Self {
        Self(vec![0; LENGTH_BYTES + MAX_FRAME_BYTES].into())
    }
}

impl FrameBuffer {
    /// Where the content of the next frame is to be put.
    pub(super) fn content(&mut self) -> &mut [u8] {
        &mut self.0[LENGTH_BYTES..]
    }

    /// Writes a frame with the first `length` bytes of the content; with none, the end.
    pub(super) async fn write(
        &mut self,
        length: usize,
        writer: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<()> {
        let stated = u16::try_from(length).map_err(io::Error::other)?;
        self.0[..LENGTH_BYTES].copy_from_slice(&stated.to_be_bytes());
        writer.write_all(&self.0[..LENGTH_BYTES + length]).await
    }
}
