//! A model engine: prefill in turn, decode together, a prompt cache, streams that can be resumed.

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

/// Prompts that the cache holds.
const CACHE: usize = 64;

/// Bytes of text in a token.
const BYTES_PER_TOKEN: usize = 4;

/// How fast an engine is.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Prompt tokens a second.
    pub prefill: u32,
    /// Tokens a second for one request.
    pub decode: u32,
}

/// What an engine is made to do wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Breaks the first connection of each stream after so many bytes.
    pub break_after: Option<usize>,
    /// Ends the stream there for good: a resume is refused.
    pub lose: bool,
    /// Refuses before running.
    pub refuse: bool,
    /// By how much it is slower.
    pub slow: u32,
    /// Answers a whole completion with fewer bytes than its length says.
    pub short: bool,
}

/// What an engine has done.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// How often each request was run, by its identity.
    pub runs: HashMap<String, u32>,
    /// Prompt tokens that were computed.
    pub prefill: u64,
    /// Those of them whose answer nobody has taken whole, among the finished.
    pub wasted: u64,
    /// Requests that finished.
    pub finished: u32,
}

#[derive(Default)]
struct Inner {
    faults: Faults,
    tally: Tally,
    cache: VecDeque<u64>,
    buffers: HashMap<String, Arc<Buffer>>,
}

struct Shared {
    shape: Shape,
    inner: Mutex<Inner>,
    prefill: tokio::sync::Mutex<()>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn slow(&self) -> u32 {
        self.lock().faults.slow.max(1)
    }
}

/// A running engine.
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine on loopback.
    ///
    /// # Panics
    ///
    /// If no port can be had.
    pub async fn start(shape: Shape) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            shape,
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

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes it do wrong from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// What it has done.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.shared.lock().tally.clone()
    }

    /// Takes no more connections, and lets those that are open end.
    pub fn close(&self) {
        self.task.abort();
    }
}

/// What a completion asks for.
struct Wanted {
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
    let wanted = wanted(&engine, &headers, &body);
    let buffer = Arc::new(Buffer::default());
    {
        let mut inner = engine.lock();
        *inner.tally.runs.entry(wanted.id.clone()).or_default() += 1;
        inner.buffers.insert(wanted.id.clone(), Arc::clone(&buffer));
    }
    let stream = wanted.stream;
    let faults = engine.lock().faults;
    tokio::spawn(generate(engine, wanted, Arc::clone(&buffer)));
    if stream {
        return streamed(buffer, 0, faults.break_after);
    }
    let mut whole = Vec::new();
    while let Some(bytes) = buffer.next(whole.len(), usize::MAX).await {
        whole.extend(bytes);
    }
    if faults.short {
        let half = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
        let parts = [Ok(half), Err(std::io::Error::other("broken"))];
        return Body::from_stream(stream::iter(parts)).into_response();
    }
    ([(header::CONTENT_TYPE, "application/json")], whole).into_response()
}

fn wanted(engine: &Shared, headers: &HeaderMap, body: &Value) -> Wanted {
    let id = headers.get("x-request-id").and_then(|id| id.to_str().ok());
    let texts: Vec<String> = match body["messages"].as_array() {
        Some(messages) => messages.iter().map(ToString::to_string).collect(),
        None => vec![body["prompt"].to_string()],
    };
    let (prompt, cached) = look_up(engine, &texts);
    Wanted {
        id: id.unwrap_or("none").to_owned(),
        prompt,
        cached,
        output: body["max_tokens"].as_u64().unwrap_or(16),
        stream: body["stream"].as_bool().unwrap_or(false),
    }
}

/// Tokens of the prompt, and how many of them are cached; caches them all.
fn look_up(engine: &Shared, texts: &[String]) -> (u64, u64) {
    let mut inner = engine.lock();
    let mut hash = 0;
    let mut length = 0;
    let mut cached = 0;
    for text in texts {
        hash = twox_hash::XxHash64::oneshot(hash, text.as_bytes());
        length += text.len();
        let tokens = (length / BYTES_PER_TOKEN + 1) as u64;
        if inner.cache.contains(&hash) {
            cached = tokens;
        } else {
            inner.cache.push_back(hash);
        }
    }
    while inner.cache.len() > CACHE {
        inner.cache.pop_front();
    }
    ((length / BYTES_PER_TOKEN + 1) as u64, cached)
}

/// Computes the answer, whether anyone reads it or not.
async fn generate(engine: Arc<Shared>, wanted: Wanted, buffer: Arc<Buffer>) {
    let computed = wanted.prompt - wanted.cached;
    {
        let _turn = engine.prefill.lock().await;
        pause(computed, engine.shape.prefill / engine.slow()).await;
    }
    engine.lock().tally.prefill += computed;
    let usage = json!({
        "prompt_tokens": wanted.prompt,
        "completion_tokens": wanted.output,
        "prompt_tokens_details": { "cached_tokens": wanted.cached },
    });
    let mut text = String::new();
    for place in 0..wanted.output {
        pause(1, engine.shape.decode / engine.slow()).await;
        let token = format!("t{place} ");
        if wanted.stream {
            let delta = json!({ "choices": [{ "index": 0, "delta": { "content": token } }] });
            buffer.write(format!("data: {delta}\n\n").as_bytes());
        } else {
            text += &token;
        }
    }
    if wanted.stream {
        let last = json!({ "choices": [], "usage": usage });
        buffer.write(format!("data: {last}\n\ndata: [DONE]\n\n").as_bytes());
    } else {
        let message = json!({ "role": "assistant", "content": text });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        let whole = json!({ "object": "chat.completion", "choices": [choice], "usage": usage });
        buffer.write(whole.to_string().as_bytes());
    }
    buffer.end();
    // A reader that has lost its connection may come back for a while.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut inner = engine.lock();
    inner.tally.finished += 1;
    if !buffer.is_read() {
        inner.tally.wasted += computed;
    }
}

async fn pause(tokens: u64, rate: u32) {
    let seconds = Duration::from_secs(tokens) / rate.max(1);
    tokio::time::sleep(seconds).await;
}

fn streamed(buffer: Arc<Buffer>, from: usize, break_after: Option<usize>) -> Response<Body> {
    let parts = stream::unfold((buffer, from), move |(buffer, from)| async move {
        let most = break_after.map_or(usize::MAX, |after| after.saturating_sub(from));
        if most == 0 {
            return Some((Err(std::io::Error::other("broken")), (buffer, from)));
        }
        let bytes = buffer.next(from, most).await?;
        let next = from + bytes.len();
        Some((Ok(Bytes::from(bytes)), (buffer, next)))
    });
    let body = Body::from_stream(parts);
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
        Some(buffer) if !inner.faults.lose => streamed(Arc::clone(buffer), from, None),
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
    let running = inner.tally.runs.values().sum::<u32>() - inner.tally.finished;
    Json(json!({ "running": running }))
}
