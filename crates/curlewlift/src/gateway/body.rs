//! Bodies of answers: whole ones, and streams that are made as they are read.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::header;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// The stream broke: the connection is closed without the body's end, so that nobody takes the
/// answer for whole.
#[derive(Debug)]
pub(crate) struct Cut(pub(crate) String);

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Cut {}

/// The body of an answer.
pub(crate) type Reply = Pin<Box<dyn Body<Data = Bytes, Error = Cut>>>;

/// A body that is there already.
pub(crate) fn whole(bytes: impl Into<Bytes>) -> Reply {
    let never = |never: std::convert::Infallible| match never {};
    Box::pin(Full::new(bytes.into()).map_err(never))
}

/// An answer whose body is there already.
pub(crate) type Answer = Response<Reply>;

/// An answer with a JSON body.
pub(crate) fn json(body: String) -> Answer {
    let mut answer = Response::new(whole(body));
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// A body that keeps something until it has gone out or is given up.
struct Keeping<T> {
    body: Reply,
    _kept: T,
}

impl<T: Unpin> Body for Keeping<T> {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// `body`, with `kept` until it has gone out.
pub(super) fn keeping<T: Unpin + 'static>(body: Reply, kept: T) -> Reply {
    Box::pin(Keeping { body, _kept: kept })
}
