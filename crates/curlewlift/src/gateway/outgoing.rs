//! Builds the request that is sent to a backend server.

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

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that apply to a single connection, also those that the Connection header names.
pub(super) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// The request for a backend server.
pub(super) fn build_request(
    head: &request::Parts,
    body: &Bytes,
    dialect: Dialect,
    backend_head: &BackendHead<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = path_only(&head.uri);
    let mut headers = head.headers.clone();
    remove_hop_by_hop(&mut headers);
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
    (dialect.prepare_request)(&mut headers, backend_head);
    *request.headers_mut() = headers;
    request
}

/// The path and query of a URI, without scheme and host.
fn path_only(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
