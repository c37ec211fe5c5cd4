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

use super::caller_stream::Guard;
use super::caller_stream::Unsent;

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
pub(crate) struct ResponseBody {
    body: Pin<Box<dyn Body<Data = Bytes, Error = TruncatedBody>>>,
    /// What it holds until it has been sent or dropped.
    guards: Vec<Guard>,
    /// The connection that it is sent over, which holds the guards until its last bytes have been written.
    unsent: Option<Unsent>,
}

impl ResponseBody {
    /// A response body that holds nothing.
    pub(super) fn new(body: impl Body<Data = Bytes, Error = TruncatedBody> + 'static) -> Self {
        Self {
            body: Box::pin(body),
            guards: Vec::new(),
            unsent: None,
        }
    }

    /// Adds what it holds until it has been sent or dropped.
    pub(super) fn with_guard<T: 'static>(mut self, guard: T) -> Self {
        self.guards.push(Box::new(guard));
        self
    }

    /// Sets the connection that it is sent over.
    pub(super) fn sent_over(mut self, unsent: Unsent) -> Self {
        self.unsent = Some(unsent);
        self
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(unsent) = &self.unsent {
            unsent.hold(&mut self.guards);
        }
    }
}

impl Body for ResponseBody {
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

/// A body that is already complete.
pub(crate) fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    let infallible = |error: std::convert::Infallible| match error {};
    ResponseBody::new(Full::new(bytes.into()).map_err(infallible))
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
