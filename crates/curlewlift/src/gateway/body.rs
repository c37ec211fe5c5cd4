//! Response bodies: complete ones, and streams that are produced while they are read.

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

/// The stream broke off: the connection is closed without the end of the body, so that nobody takes
/// the response as complete.
#[derive(Debug)]
pub(crate) struct TruncatedBody(pub(crate) String);

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TruncatedBody {}

/// The body of a response.
pub(crate) type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = TruncatedBody>>>;

/// A body that is already complete.
pub(crate) fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    let infallible = |error: std::convert::Infallible| match error {};
    Box::pin(Full::new(bytes.into()).map_err(infallible))
}

/// A response with a complete or a streamed body.
pub(crate) type Answer = Response<ResponseBody>;

/// A response with a JSON body.
pub(crate) fn json(body: String) -> Answer {
    let mut response = Response::new(full(body));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// A body that holds a guard until it has been sent or dropped.
struct GuardedBody<T> {
    body: ResponseBody,
    _guard: T,
}

impl<T: Unpin> Body for GuardedBody<T> {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// `body`, which holds `guard` until it has been sent or dropped.
pub(super) fn with_guard<T: Unpin + 'static>(body: ResponseBody, guard: T) -> ResponseBody {
    Box::pin(GuardedBody {
        body,
        _guard: guard,
    })
}
