//! A stand-in for a model engine: it prefills one request at a time, decodes all together, has a prompt cache, and can
//! resume streams.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Response;
use axum::http::StatusCode;
use axum::http::header;
use axum::response::IntoResponse;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use futures::stream;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::buffer::Buffer;

/// How many prompt prefixes the cache holds.
const CACHE_CAPACITY: usize = 64;

/// Bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;

/// The speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Prompt tokens per second.
    pub prefill: u32,
    /// Output tokens per second for one request.
    pub decode: u32,
}

/// Faults of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Breaks the first connection of each stream after this many bytes.
    pub break_after: Option<usize>,
    /// Refuses to resume a stream.
    pub lose_stream: bool,
    /// Refuses requests without running them.
    pub refuse: bool,
    /// The factor by which it is slower.
    pub slowdown: u32,
    /// Breaks off the response to a completion that is not streamed after half of its bytes.
    pub truncate: bool,
    /// The status of the responses to completions that are not streamed, instead of 200.
    pub status: Option<u16>,
}

/// Statistics of an engine.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// How often each request was run, by its id.
    pub runs: HashMap<String, u32>,
    /// Prompt tokens computed.
    pub prefill: u64,
    /// Prompt tokens computed for finished requests whose response nobody read to the end.
    pub wasted: u64,
    /// Finished requests.
    pub finished: u32,
}

#[derive(Default)]
struct EngineState {
    faults: Faults,
    stats: Stats,
    cache: VecDeque<u64>,
    buffers: HashMap<String, Arc<Buffer>>,
}

struct Shared {
    speed: Speed,
    inner: Mutex<EngineState>,
    prefill: tokio::sync::Mutex<()>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn slowdown(&self) -> u32 {
        self.lock().faults.slowdown.max(1)
    }
}

/// A running engine.
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine on the loopback interface.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub async fn start(speed: Speed) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared = Arc::new(Shared {
            speed,
            inner: Mutex::default(),
            prefill: tokio::sync::Mutex::default(),
        });
        let router = Router::new()
            .route("/v1/chat/completions", post(complete))
            .route("/v1/completions", post(complete))
            .route("/v1/streams/{id}", get(resume).delete(cancel))
            .route("/load", get(load))
            .with_state(Arc::clone(&shared));
        let task = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Self {
            address,
            shared,
            task,
        }
    }

    /// The address at which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets its faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Returns its statistics so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.shared.lock().stats.clone()
    }

    /// Stops accepting connections; open connections continue.
    pub fn close(&self) {
        self.task.abort();
    }
}

/// The parameters of a completion.
struct Completion {
    id: String,
    prompt: u64,
    cached: u64,
    output: u64,
    stream: bool,
}

async fn complete(
    State(engine): State<Arc<Shared>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response<Body> {
    if engine.lock().faults.refuse {
        return (StatusCode::SERVICE_UNAVAILABLE, [("x-not-run", "1")]).into_response();
    }
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let completion = completion(&engine, &headers, &body);
    let buffer = Arc::new(Buffer::default());
    {
        let mut inner = engine.lock();
        *inner.stats.runs.entry(completion.id.clone()).or_default() += 1;
        inner
            .buffers
            .insert(completion.id.clone(), Arc::clone(&buffer));
    }
    let stream = completion.stream;
    let faults = engine.lock().faults;
    tokio::spawn(generate(engine, completion, Arc::clone(&buffer)));
    if stream {
        return stream_response(buffer, 0, faults.break_after);
    }
    let mut response = Vec::new();
    while let Some(bytes) = buffer.next(response.len(), usize::MAX).await {
        response.extend(bytes);
    }
    if faults.truncate {
        let first_half = Bytes::copy_from_slice(&response[..response.len() / 2]);
        let chunks = [Ok(first_half), Err(std::io::Error::other("broken"))];
        return Body::from_stream(stream::iter(chunks)).into_response();
    }
    let status = faults.status.unwrap_or(200);
    let status = StatusCode::from_u16(status).unwrap_or_default();
    let content_type = [(header::CONTENT_TYPE, "application/json")];
    (status, content_type, response).into_response()
}

fn completion(engine: &Shared, headers: &HeaderMap, body: &Value) -> Completion {
    let id = headers.get("x-request-id").and_then(|id| id.to_str().ok());
    let segments: Vec<String> = match body["messages"].as_array() {
        Some(messages) => messages.iter().map(ToString::to_string).collect(),
        None => vec![body["prompt"].to_string()],
    };
    let (prompt, cached) = update_cache(engine, &segments);
    Completion {
        id: id.unwrap_or("none").to_owned(),
        prompt,
        cached,
        output: body["max_tokens"].as_u64().unwrap_or(16),
        stream: body["stream"].as_bool().unwrap_or(false),
    }
}

/// Returns the tokens of the prompt and how many of them were cached, and caches them all.
fn update_cache(engine: &Shared, segments: &[String]) -> (u64, u64) {
    let mut inner = engine.lock();
    let mut hash = 0;
    let mut length = 0;
    let mut cached = 0;
    for text in segments {
        hash = twox_hash::XxHash64::oneshot(hash, text.as_bytes());
        length += text.len();
        let tokens = (length / BYTES_PER_TOKEN + 1) as u64;
        if inner.cache.contains(&hash) {
            cached = tokens;
        } else {
            inner.cache.push_back(hash);
        }
    }
    while inner.cache.len() > CACHE_CAPACITY {
        inner.cache.pop_front();
    }
    ((length / BYTES_PER_TOKEN + 1) as u64, cached)
}

/// Generates the response, whether anyone reads it or not.
async fn generate(engine: Arc<Shared>, completion: Completion, buffer: Arc<Buffer>) {
    let computed = completion.prompt - completion.cached;
    {
        let _prefill_slot = engine.prefill.lock().await;
        wait_for_tokens(computed, engine.speed.prefill / engine.slowdown()).await;
    }
    engine.lock().stats.prefill += computed;
    let usage = json!({
        "prompt_tokens": completion.prompt,
        "completion_tokens": completion.output,
        "prompt_tokens_details": { "cached_tokens": completion.cached },
    });
    let mut text = String::new();
    for index in 0..completion.output {
        wait_for_tokens(1, engine.speed.decode / engine.slowdown()).await;
        let token = format!("t{index} ");
        if completion.stream {
            let delta = json!({ "choices": [{ "index": 0, "delta": { "content": token } }] });
            buffer.write(format!("data: {delta}\n\n").as_bytes());
        } else {
            text += &token;
        }
    }
    if completion.stream {
        let final_event = json!({ "choices": [], "usage": usage });
        buffer.write(format!("data: {final_event}\n\ndata: [DONE]\n\n").as_bytes());
    } else {
        let message = json!({ "role": "assistant", "content": text });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        let response = json!({ "object": "chat.completion", "choices": [choice], "usage": usage });
        buffer.write(response.to_string().as_bytes());
    }
    buffer.finish();
    // A reader that has lost its connection may resume for a while.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut inner = engine.lock();
    inner.stats.finished += 1;
    if !buffer.is_read() {
        inner.stats.wasted += computed;
    }
}

async fn wait_for_tokens(tokens: u64, rate: u32) {
    let seconds = Duration::from_secs(tokens) / rate.max(1);
    tokio::time::sleep(seconds).await;
}

fn stream_response(buffer: Arc<Buffer>, from: usize, break_after: Option<usize>) -> Response<Body> {
    let chunks = stream::unfold((buffer, from), move |(buffer, from)| async move {
        let max_len = break_after.map_or(usize::MAX, |after| after.saturating_sub(from));
        if max_len == 0 {
            // The HTTP server drops what it has not written when it gets the error.
            tokio::task::yield_now().await;
            return Some((Err(std::io::Error::other("broken")), (buffer, from)));
        }
        let bytes = buffer.next(from, max_len).await?;
        let next = from + bytes.len();
        Some((Ok(Bytes::from(bytes)), (buffer, next)))
    });
    let body = Body::from_stream(chunks);
    ([(header::CONTENT_TYPE, "text/event-stream")], body).into_response()
}

#[derive(Deserialize)]
struct From {
    from: usize,
}

async fn resume(
    State(engine): State<Arc<Shared>>,
    Path(id): Path<String>,
    Query(From { from }): Query<From>,
) -> Response<Body> {
    let inner = engine.lock();
    match inner.buffers.get(&id) {
        Some(buffer) if !inner.faults.lose_stream => {
            stream_response(Arc::clone(buffer), from, None)
        }
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn cancel(State(engine): State<Arc<Shared>>, Path(id): Path<String>) -> StatusCode {
    match engine.lock().buffers.remove(&id) {
        Some(_) => StatusCode::NO_CONTENT,
        None => StatusCode::NOT_FOUND,
    }
}

async fn load(State(engine): State<Arc<Shared>>) -> Json<Value> {
    let inner = engine.lock();
    let running = inner.stats.runs.values().sum::<u32>() - inner.stats.finished;
    Json(json!({ "running": running }))
}
