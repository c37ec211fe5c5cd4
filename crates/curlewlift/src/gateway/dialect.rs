//! How heads are read and written: what differs between one deployment's wire and another's.

use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::HeaderValue;
use curlewlift_core::code::Refusal;
use curlewlift_core::limit::Announcement;
use curlewlift_core::pool::Notice;

/// What the head of a request says.
#[derive(Clone, Debug, Default)]
pub(crate) struct Call {
    /// The request's own name, which answers must carry back.
    pub(crate) id: Option<HeaderValue>,
    /// The customer's key.
    pub(crate) key: Option<String>,
    /// How long the caller will wait.
    pub(crate) patience: Option<Duration>,
    /// Tokens of the prompt, and the most that are made.
    pub(crate) tokens: Option<(u64, u64)>,
}

/// What a backend server is told beside what the caller sent.
#[derive(Clone, Debug)]
pub(crate) struct Hand<'a> {
    /// How much time is left.
    pub(crate) patience: Duration,
    /// The server that is meant, as it calls itself; any other refuses.
    pub(crate) server: &'a str,
    /// The customer.
    pub(crate) customer: Option<&'a str>,
    /// The last event that the caller has, where a stream is taken up.
    pub(crate) after: Option<&'a str>,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default)]
pub(crate) struct Marks {
    /// The request that it answers.
    pub(crate) id: Option<HeaderValue>,
    /// The server says that it did not run the request.
    pub(crate) not_run: bool,
    /// Another incarnation has the address.
    pub(crate) moved: bool,
    /// The server vouches for the answer.
    pub(crate) signed: bool,
    /// What it has in flight, running and waiting together.
    pub(crate) in_flight: Option<u32>,
    /// What the server says of itself.
    pub(crate) notices: Vec<Notice>,
    /// What it says of the requests that it takes a second.
    pub(crate) limit: Announcement,
}

/// How heads are read and written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dialect {
    /// Reads the head of a request.
    pub(crate) read: fn(&HeaderMap) -> Result<Call, Refusal>,
    /// Takes off what goes no further than here, and adds what a backend server is told.
    pub(crate) dress: fn(&mut HeaderMap, &Hand<'_>),
    /// Reads the head of an answer.
    pub(crate) marks: fn(u16, &HeaderMap) -> Marks,
}
