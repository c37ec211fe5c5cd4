//! Reads the head of a response from a connection whose bytes are forwarded unchanged.

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use curlewlift_core::response::FINAL_STATUSES;

/// The largest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The most headers that are read.
const MAX_HEADERS: usize = 128;

/// Collects the bytes of the head of the first final response on a connection.
#[derive(Debug, Default)]
pub(super) struct ResponseHeadParser(Vec<u8>);

impl ResponseHeadParser {
    /// Adds bytes that have arrived. Calls `record` with the status and headers once the head is complete. Returns the
    /// parser if it needs more bytes; heads that are invalid or too large are not read.
    pub(super) fn push(mut self, bytes: &[u8], record: impl Fn(u16, &HeaderMap)) -> Option<Self> {
        self.0.extend_from_slice(bytes);
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let length = match response.parse(&self.0) {
                Ok(httparse::Status::Complete(length)) => length,
                Ok(httparse::Status::Partial) if self.0.len() < MAX_HEAD_BYTES => {
                    return Some(self);
                }
                Ok(httparse::Status::Partial) | Err(_) => return None,
            };
            let status = response.code?;
            if FINAL_STATUSES.contains(&status) {
                record(status, &header_map(response.headers));
                return None;
            }
            if status > *FINAL_STATUSES.end() {
                return None;
            }
            self.0.drain(..length);
        }
    }
}

fn header_map(headers: &[httparse::Header<'_>]) -> HeaderMap {
    let parsed = headers.iter().filter_map(|header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(header.value).ok()?))
    });
    let mut map = HeaderMap::new();
    for (name, value) in parsed {
        map.append(name, value);
    }
    map
}
