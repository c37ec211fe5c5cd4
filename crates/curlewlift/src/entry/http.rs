//! The HTTP interface for callers, which docs/INTERFACES.md describes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::HttpBody;
use axum::extract::Path;
use axum::extract::Request as HttpRequest;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Response;
use axum::response::IntoResponse;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use curlewlift_core::claim::Status;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;
use curlewlift_core::unit::Bytes as Size;
use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;

use super::addresses;
use super::admit;
use super::claims;
use super::issue;
use super::node::Node;
use super::node::lock;
use super::parse;
use super::parse::Sender;
use super::reply;
use super::request::Call;
use super::request::Request;
use super::request::ResponseMode;
use super::run;

/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// The body hash that matches any body.
const ANY_BODY: u64 = 0;

/// How long the rest of a body that is too large is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

type Shared = Arc<Node>;
type Reply = Response<Body>;

/// The router of all paths for callers.
pub(super) fn router(node: Shared) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(completion))
        .route("/v1/completions", post(completion))
        .route("/v1/models", get(models))
        .route("/services/{service}/{*path}", any(plain_call))
        .route("/curlewlift/addresses", get(entry_addresses))
        .route("/curlewlift/requests/{key}", get(request_state))
        .route("/curlewlift/requests/{key}/answer", get(stored_response))
        .method_not_allowed_fallback(wrong_method)
        .fallback(unknown_path)
        .with_state(node)
}

async fn unknown_path() -> Reply {
    reply::refusal(&Refusal::new(
        Code::UnknownPath,
        "nothing is served under this path",
    ))
}

async fn wrong_method() -> Reply {
    reply::refusal(&Refusal::new(
        Code::WrongMethod,
        "the path does not take this method",
    ))
}

async fn completion(State(node): State<Shared>, http: HttpRequest) -> Reply {
    let (parts, body) = http.into_parts();
    let path = parts.uri.path().to_owned();
    let read = |node: &Node, sender, headers: &HeaderMap, body| {
        parse::parse_completion(node, sender, &path, headers, body)
    };
    serve(&node, &parts.headers, body, read).await
}

async fn plain_call(
    State(node): State<Shared>,
    Path((service, path)): Path<(String, String)>,
    http: HttpRequest,
) -> Reply {
    let (parts, body) = http.into_parts();
    let query = parts
        .uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let read = |node: &Node, sender, headers: &HeaderMap, body| {
        let call = Call {
            method: parts.method.clone(),
            path: format!("/{path}{query}"),
            headers: parse::forwarded_headers(headers),
            body,
        };
        parse::parse_plain_call(node, sender, &service, call, headers)
    };
    serve(&node, &parts.headers, body, read).await
}

/// Serves a request. `read` parses it once its customer is known and its body has been received.
async fn serve(
    node: &Shared,
    headers: &HeaderMap,
    body: Body,
    read: impl FnOnce(&Node, Sender, &HeaderMap, Bytes) -> Result<Request, Refusal>,
) -> Reply {
    match process(node, headers, body, read).await {
        Ok(response) => response,
        Err(refusal) => {
            let line = Line::new(Kind::Refused);
            node.timeline.note(line.detail(&refusal));
            reply::refusal(&refusal)
        }
    }
}

async fn process(
    node: &Shared,
    headers: &HeaderMap,
    body: Body,
    read: impl FnOnce(&Node, Sender, &HeaderMap, Bytes) -> Result<Request, Refusal>,
) -> Result<Reply, Refusal> {
    if node.closing.load(Ordering::Relaxed) {
        return Err(Refusal::new(
            Code::Leaving,
            "this entry is stopping; use another address",
        ));
    }
    let (customer, rights) = admit::authenticate(node, headers)?;
    node.wait_for_roster().await?;
    let open_request = admit::admit(node, &customer, &rights)?;
    let body = read_body(body, rights.body).await?;
    let sender = Sender { customer, rights };
    let request = read(node, sender, headers, body)?;
    let line = Line::new(Kind::Arrived)
        .key(request.key)
        .customer(&request.customer);
    node.timeline
        .note(line.detail(format_args!("service={}", request.service)));
    let key = request.key_text.clone();
    let mode = request.mode;
    let reader = run::start_or_attach(node, request)?;
    let response = reply::response(reader, mode, &key).await;
    // The request counts as open until the last byte of its response has been read.
    Ok(response.map(|body| {
        Body::new(CountedBody {
            body,
            _open_request: open_request,
        })
    }))
}

/// A response body whose request counts as open until the body is dropped.
struct CountedBody {
    body: Body,
    _open_request: admit::OpenRequest,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<hyper::body::Frame<Bytes>, axum::Error>>> {
        std::pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

/// Reads the body, within its size limit and [`BODY_TIMEOUT`].
async fn read_body(body: Body, limit: Size) -> Result<Bytes, Refusal> {
    let too_large = || {
        let detail = format!("the body is larger than {limit} bytes");
        Refusal::new(Code::TooLarge, detail)
    };
    if body.size_hint().lower() > limit.0 {
        // A caller that is still sending would see a broken connection instead of the refusal.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard(body)).await;
        return Err(too_large());
    }
    let limit = usize::try_from(limit.0).unwrap_or(usize::MAX);
    let received = tokio::time::timeout(BODY_TIMEOUT, axum::body::to_bytes(body, limit)).await;
    let received = received.map_err(|_| {
        Refusal::new(
            Code::TooSlow,
            format!("the body took longer than {} s", BODY_TIMEOUT.as_secs()),
        )
    })?;
    received.map_err(|error| {
        let source = std::error::Error::source(&error);
        if source.is_some_and(<dyn std::error::Error>::is::<http_body_util::LengthLimitError>) {
            too_large()
        } else {
            Refusal::new(
                Code::TooSlow,
                "the connection closed before the body was complete",
            )
        }
    })
}

/// Reads a body and discards it.
async fn discard(body: Body) {
    let mut body = body;
    while let Some(Ok(_)) = body.frame().await {}
}

async fn models(State(node): State<Shared>, headers: HeaderMap) -> Result<Json<Value>, Reply> {
    admit::authenticate(&node, &headers).map_err(|refusal| reply::refusal(&refusal))?;
    let snapshot = node.snapshot();
    let models = snapshot
        .services
        .values()
        .filter_map(|service| service.model.as_ref());
    let data: Vec<_> = models
        .map(|model| json!({ "id": model, "object": "model" }))
        .collect();
    Ok(Json(json!({ "object": "list", "data": data })))
}

async fn entry_addresses(State(node): State<Shared>) -> Reply {
    match addresses::response(&node) {
        Ok(response) => response.into_response(),
        Err(refusal) => reply::refusal(&refusal),
    }
}

/// The state of a request, by its key.
async fn request_state(
    State(node): State<Shared>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Reply {
    match state_json(&node, &key, &headers).await {
        Ok(response) => Json(response).into_response(),
        Err(refusal) => reply::refusal(&refusal),
    }
}

async fn state_json(node: &Shared, key: &str, headers: &HeaderMap) -> Result<Value, Refusal> {
    let (customer, _) = admit::authenticate(node, headers)?;
    let id = id::Key::new(&customer, key);
    let issued = issue::record(key, ANY_BODY);
    let status = match issued {
        Some(record) => run::holder_status(node, id, &record).await?,
        None => claimed_status(node, id).await?,
    };
    Ok(match status {
        Status::Open => json!({ "key": key, "state": "open" }),
        Status::Ended { outcome, code } => json!({
            "key": key,
            "state": "ended",
            "outcome": outcome.to_string(),
            "number": code,
        }),
    })
}

/// The status of a request whose key was claimed.
async fn claimed_status(node: &Shared, key: id::Key) -> Result<Status, Refusal> {
    let record = claims::lookup(node, key).await?.ok_or_else(unknown_key)?;
    match record.status {
        // The request may have ended at its holder without the replicas having the end yet.
        Status::Open => Ok(run::holder_status(node, key, &record)
            .await
            .unwrap_or(Status::Open)),
        Status::Ended { .. } => Ok(record.status),
    }
}

fn unknown_key() -> Refusal {
    Refusal::new(Code::UnknownKey, "no request with this key is stored")
}

/// The whole response to a request, by its key, from whichever entry holds it.
async fn stored_response(
    State(node): State<Shared>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Reply {
    match find_response(&node, &key, &headers).await {
        Ok(reader) => reply::response(reader, ResponseMode::Whole, &key).await,
        Err(refusal) => reply::refusal(&refusal),
    }
}

async fn find_response(
    node: &Shared,
    key_text: &str,
    headers: &HeaderMap,
) -> Result<super::store::Reader, Refusal> {
    let (customer, _) = admit::authenticate(node, headers)?;
    let key = id::Key::new(&customer, key_text);
    if let Some(response) = lock(&node.store).get(key) {
        return Ok(response.attach_reader());
    }
    let record = match issue::record(key_text, ANY_BODY) {
        Some(record) => record,
        None => claims::lookup(node, key).await?.ok_or_else(unknown_key)?,
    };
    Ok(run::read_remote(node, key, record))
}
