//! A small HTTP client, like that of an ordinary caller.

use std::net::SocketAddr;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::Request;
use http_body_util::BodyExt;
use hyper_util::client::legacy::connect::HttpConnector;

/// A response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status; 0 if there was no response.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as far as it was received.
    pub body: String,
    /// Whether the body is complete.
    pub whole: bool,
}

impl Reply {
    /// Returns a header as text, or an empty text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// A caller with a bearer key.
#[derive(Clone)]
pub struct Client {
    key: String,
    http: hyper_util::client::legacy::Client<HttpConnector, Body>,
}

impl Client {
    /// Creates a caller with the bearer key `key`.
    #[must_use]
    pub fn new(key: &str) -> Self {
        let executor = hyper_util::rt::TokioExecutor::new();
        Self {
            key: key.to_owned(),
            http: hyper_util::client::legacy::Client::builder(executor).build_http(),
        }
    }

    /// Returns the body of a chat completion that is answered with `tokens` tokens, streamed or not.
    #[must_use]
    pub fn chat(model: &str, prompt: &str, tokens: u64, stream: bool) -> String {
        let message = serde_json::json!({ "role": "user", "content": prompt });
        let body = serde_json::json!({
            "model": model,
            "messages": [message],
            "max_tokens": tokens,
            "stream": stream,
        });
        body.to_string()
    }

    /// Sends a request and reads the whole response.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Body>,
    ) -> Reply {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        request = request.header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let no_response = Reply {
            status: 0,
            headers: HeaderMap::new(),
            body: String::new(),
            whole: false,
        };
        let Ok(request) = request.body(body.into()) else {
            return no_response;
        };
        let Ok(response) = self.http.request(request).await else {
            return no_response;
        };
        let (parts, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let whole = loop {
            match body.frame().await {
                Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        Reply {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: String::from_utf8_lossy(&bytes).into_owned(),
            whole,
        }
    }

    /// Posts a chat completion.
    pub async fn post(&self, address: SocketAddr, headers: &[(&str, &str)], body: String) -> Reply {
        self.send(address, Method::POST, "/v1/chat/completions", headers, body)
            .await
    }
}
