//! Operators' reads of the newest configuration: whole or compressed, only if it has changed, or redirected to a host with
//! a wider link.

use std::net::SocketAddr;

use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::Request;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use bytes::Bytes;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::id;
use curlewlift_core::state::Document;
use hyper::body::Incoming;

use crate::blocking;
use crate::gateway;
use crate::gateway::Answer;
use crate::gateway::CallerAddress;
use crate::gateway::Environment;
use crate::gateway::NewestTable;
use crate::gateway::Node;
use crate::gateway::full;
use crate::gateway::note;

use super::http;
use super::operator;

/// The encoding of a compressed response.
pub(super) const GZIP: &str = "gzip";

/// Responds to a read.
pub(super) async fn get(
    node: &Node,
    environment: &Environment,
    request: Request<Incoming>,
) -> Answer {
    let newest = gateway::read(node, environment).await;
    let table = newest.as_ref().map(|newest| newest.publication.version);
    let line = note(Kind::Command).with("table", table.ok());
    let response = match newest {
        Ok(newest) => respond(node, environment, &request, newest).await,
        Err(refusal) => Err(refusal),
    };
    line.with("answer", "read")
        .with(
            "status",
            response
                .as_ref()
                .ok()
                .map(|response| response.status().as_u16()),
        )
        .with("why", response.as_ref().err().map(ToString::to_string))
        .write();
    response.unwrap_or_else(|refusal| http::refused(&operator::unclear_outcome(refusal)))
}

async fn respond(
    node: &Node,
    environment: &Environment,
    request: &Request<Incoming>,
    newest: NewestTable,
) -> Result<Answer, Refusal> {
    let NewestTable {
        publication,
        leader,
        leader_link,
    } = newest;
    if publication.version == 0 {
        let why = "no configuration has been accepted yet";
        return Err(Refusal::new(Code::NoTable, why));
    }
    let tags = Tags::new(publication.version);
    if tags.is_known(request.headers()) {
        return Ok(tagged(http::empty(StatusCode::NOT_MODIFIED), &tags.plain));
    }
    let accepts_gzip = accepts_gzip(request.headers());
    let document = publication.document;
    let body = blocking::run(move || Body::new(&document, accepts_gzip)).await?;
    let caller = request.extensions().get::<CallerAddress>();
    let is_redirected = caller
        .is_some_and(|caller| node.redirects_read(caller.0.ip(), body.bytes.len(), leader_link));
    if is_redirected && let Some(location) = location(environment, &leader, request) {
        let mut response = http::empty(StatusCode::TEMPORARY_REDIRECT);
        response.headers_mut().insert(header::LOCATION, location);
        return Ok(response);
    }
    Ok(body.response(&tags))
}

/// The same read at the leader. Operators' ports are the same on all hosts.
fn location(
    environment: &Environment,
    leader: &id::Host,
    request: &Request<Incoming>,
) -> Option<HeaderValue> {
    let leader = (environment.locate)(leader)?;
    let address = SocketAddr::new(leader.ip(), environment.operators.port());
    let path = request.uri().path_and_query()?;
    HeaderValue::try_from(format!("http://{address}{path}")).ok()
}

/// A document as it is sent.
struct Body {
    bytes: Bytes,
    is_compressed: bool,
}

impl Body {
    /// Unpacking a large document takes longer than requests may be held up.
    fn new(document: &Document, accepts_gzip: bool) -> Result<Self, Refusal> {
        let text = document.unpack()?;
        let compressed = if accepts_gzip {
            document.to_gzip(&text)?
        } else {
            None
        };
        Ok(Self {
            is_compressed: compressed.is_some(),
            bytes: compressed.map_or_else(|| text.into(), Into::into),
        })
    }

    fn response(self, tags: &Tags) -> Answer {
        let mut response = Response::new(full(self.bytes));
        let headers = response.headers_mut();
        let kind = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, kind);
        if self.is_compressed {
            let gzip = HeaderValue::from_static(GZIP);
            headers.insert(header::CONTENT_ENCODING, gzip);
            return tagged(response, &tags.compressed);
        }
        tagged(response, &tags.plain)
    }
}

/// The entity tags of a document: a version is never accepted with two contents.
struct Tags {
    plain: String,
    compressed: String,
}

impl Tags {
    fn new(version: u64) -> Self {
        Self {
            plain: format!("\"{version}\""),
            compressed: format!("\"{version}-{GZIP}\""),
        }
    }

    /// Whether the caller has the document already.
    fn is_known(&self, headers: &HeaderMap) -> bool {
        let known = elements(headers, header::IF_NONE_MATCH);
        known
            .map(|tag| tag.strip_prefix("W/").unwrap_or(tag))
            .any(|tag| tag == "*" || tag == self.plain || tag == self.compressed)
    }
}

/// Adds the headers by which responses are told apart.
fn tagged(mut response: Answer, tag: &str) -> Answer {
    let headers = response.headers_mut();
    headers.extend(HeaderValue::try_from(tag).map(|tag| (header::ETAG, tag)));
    headers.insert(header::VARY, HeaderValue::from_static("accept-encoding"));
    response
}

/// Whether the caller accepts a compressed response.
fn accepts_gzip(headers: &HeaderMap) -> bool {
    elements(headers, header::ACCEPT_ENCODING).any(|element| {
        let (encoding, parameters) = element.split_once(';').unwrap_or((element, ""));
        let weight = parameters.trim().strip_prefix("q=");
        let weight = weight.map_or(Some(1.0), |weight| weight.parse::<f64>().ok());
        encoding.trim().eq_ignore_ascii_case(GZIP) && weight.is_some_and(|weight| weight > 0.0)
    })
}

/// The elements of a header that is a list.
fn elements(headers: &HeaderMap, name: header::HeaderName) -> impl Iterator<Item = &str> {
    let values = headers.get_all(name).into_iter();
    let values = values.filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',').map(str::trim))
}
