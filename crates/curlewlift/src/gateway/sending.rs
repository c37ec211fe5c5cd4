//! Builds what a backend server is sent.

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::Request;
use axum::http::Uri;
use axum::http::header;
use axum::http::request;
use bytes::Bytes;
use http_body_util::Full;

use super::dialect::BackendHead;
use super::dialect::Dialect;

/// Headers that concern one connection only.
const HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Takes off what concerns one connection only.
pub(super) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// The request as a backend server gets it.
pub(super) fn request(
    head: &request::Parts,
    body: &Bytes,
    dialect: Dialect,
    hand: &BackendHead<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = path_only(&head.uri);
    let mut headers = head.headers.clone();
    strip(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    if !body.is_empty() || head.headers.contains_key(header::CONTENT_LENGTH) {
        headers.insert(header::CONTENT_LENGTH, body.len().into());
    }
    if let Some(host) = head.uri.host()
        && !headers.contains_key(header::HOST)
        && let Ok(host) = host.parse()
    {
        headers.insert(header::HOST, host);
    }
    (dialect.prepare_request)(&mut headers, hand);
    *request.headers_mut() = headers;
    request
}

/// Path and query, as servers are asked.
fn path_only(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
