//! How header fields are parsed and written, for deployments with different wire formats.

use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::HeaderValue;
use curlewlift_core::code::Refusal;
use curlewlift_core::limit::Announcement;
use curlewlift_core::pool::Notice;
use curlewlift_core::pool::ReportedLoad;
use curlewlift_core::quarantine::Part;
use curlewlift_core::rejection;

use super::log::Line;

/// What the header fields of a caller's request say.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestHead {
    /// The request id, which responses must echo.
    pub(crate) id: Option<HeaderValue>,
    /// The customer's API key.
    pub(crate) key: Option<String>,
    /// How long the caller waits for the response.
    pub(crate) timeout: Option<Duration>,
    /// Tokens of the prompt, and the maximum number of tokens to generate.
    pub(crate) tokens: Option<(u64, u64)>,
    /// The caller's estimate of the number of tokens that will be generated.
    pub(crate) length_hint: Option<u64>,
    /// The parts of the prompt that other requests may have as well.
    pub(crate) parts: Arc<[Part]>,
    /// Set if the caller has received a part of the response already.
    pub(crate) resumption: Option<Resumption>,
}

/// What a caller says of a stream that it has received a part of.
#[derive(Clone, Debug, Default)]
pub(crate) struct Resumption {
    /// The id of the request that brought the first event; none unless it is stated exactly once.
    pub(crate) first_request: Option<HeaderValue>,
    /// The id of the last event that was received, if stated.
    pub(crate) last_event: Option<HeaderValue>,
}

impl Resumption {
    /// Adds it to a log line.
    pub(super) fn log(&self, line: Line) -> Line {
        let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
        line.with("resumes", self.first_request.as_ref().map(text))
            .with("after_event", self.last_event.as_ref().map(text))
    }
}

/// What the gateway adds to the header fields of a request for a backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendHead<'a> {
    /// Time left until the request's deadline.
    pub(crate) timeout: Duration,
    /// The intended server, by the name it gives itself; any other server refuses the request.
    pub(crate) server: &'a str,
    /// The customer's name.
    pub(crate) customer: Option<&'a str>,
    /// The id of the last event that the caller received, when a stream is resumed.
    pub(crate) last_event_id: Option<&'a str>,
}

/// What the status and header fields of a backend server's response say.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseHead {
    /// The id of the request that it responds to.
    pub(crate) id: Option<HeaderValue>,
    /// Whether the server reports that it did not run the request.
    pub(crate) not_run: bool,
    /// Whether another incarnation now has the address.
    pub(crate) moved: bool,
    /// Whether the server signed the response.
    pub(crate) signed: bool,
    /// The server's load.
    pub(crate) load: Option<ReportedLoad>,
    /// What the server announces about itself (draining, backoff).
    pub(crate) notices: Vec<Notice>,
    /// The server's announced limit on requests a second.
    pub(crate) limit: Announcement,
    /// How many requests a second the server may reject before it fails, if it says so.
    pub(crate) rejection_limit: Option<rejection::Limit>,
}

/// The functions that parse and write the header fields of one wire format.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dialect {
    /// Parses the header fields of a caller's request.
    pub(crate) parse_request: fn(&HeaderMap) -> Result<RequestHead, Refusal>,
    /// Removes the header fields that are meant for the gateway only, and adds those for the backend server.
    pub(crate) prepare_request: fn(&mut HeaderMap, &BackendHead<'_>),
    /// Parses the status and header fields of a response.
    pub(crate) parse_response: fn(u16, &HeaderMap) -> ResponseHead,
}
