//! Measures the cost of forwarding in an entry against a bare proxy built with the same libraries:
//! `cargo run --release -p curlewlift-lab --example forwarding`.
//!
//! Streams with one token per chunk alternate between an entry and a proxy that only copies bytes, in one run. Quote
//! the ratios, not the absolute times.

#![allow(clippy::cast_precision_loss, reason = "statistics for display")]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::http::Method;
use axum::http::Response;
use axum::response::IntoResponse;
use axum::routing::any;
use curlewlift_lab::client::Client;
use curlewlift_lab::site::Site;
use curlewlift_lab::standin::Engine;
use curlewlift_lab::standin::Speed;
use curlewlift_lab::usage::memory_bytes;
use curlewlift_lab::usage::thread_cpu_seconds;
use hyper_util::client::legacy::connect::HttpConnector;

type Http = hyper_util::client::legacy::Client<HttpConnector, Body>;

/// The number of rounds through the entry and through the proxy each.
const ROUNDS: usize = 7;

/// The number of concurrent streams.
const STREAMS: usize = 16;

/// The number of tokens per stream.
const TOKENS: u64 = 2_000;

/// Starts a bare proxy on one thread, like that of an entry.
fn start_proxy(engine: SocketAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    listener.set_nonblocking(true).expect("the socket is valid");
    let thread = std::thread::Builder::new().name("bare".to_owned());
    let serve = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("the runtime starts").block_on(async move {
            let listener =
                tokio::net::TcpListener::from_std(listener).expect("the socket is valid");
            let mut connector = HttpConnector::new();
            connector.set_nodelay(true);
            let executor = hyper_util::rt::TokioExecutor::new();
            let http: Http = hyper_util::client::legacy::Client::builder(executor).build(connector);
            let router = Router::new()
                .fallback(any(forward))
                .with_state((http, engine));
            let _ = axum::serve(listener, router).await;
        });
    };
    thread.spawn(serve).expect("the thread starts");
    address
}

async fn forward(
    State((http, address)): State<(Http, SocketAddr)>,
    mut request: Request,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    *request.uri_mut() = format!("http://{address}{path}")
        .parse()
        .expect("a valid URI");
    match http.request(request).await {
        Ok(response) => response.map(Body::new),
        Err(_) => axum::http::StatusCode::BAD_GATEWAY.into_response(),
    }
}

/// A runtime and a client to measure the entry and the proxy alike.
struct Comparison {
    runtime: tokio::runtime::Runtime,
    client: Client,
}

impl Comparison {
    /// Returns the CPU time in seconds that the threads with this name spend on one round.
    fn round_cpu_seconds(&self, name: &str, address: SocketAddr) -> f64 {
        let before = thread_cpu_seconds(name);
        self.runtime.block_on(async {
            let streams = (0..STREAMS).map(|number| {
                let client = self.client.clone();
                async move {
                    let body = Client::chat("m", &format!("hello {number}"), TOKENS, true);
                    let reply = client.post(address, &[], body).await;
                    assert!(reply.body.contains("[DONE]"), "{}", reply.body);
                }
            });
            futures::future::join_all(streams).await;
        });
        thread_cpu_seconds(name) - before
    }

    /// Returns the median time in milliseconds to receive a small response.
    fn median_latency_ms(&self, address: SocketAddr) -> f64 {
        let mut times: Vec<_> = (0..300)
            .map(|number| {
                let body = Client::chat("m", &format!("hi {number}"), 1, false);
                let started_at = Instant::now();
                let path = "/v1/chat/completions";
                let response = self.client.send(address, Method::POST, path, &[], body);
                assert_eq!(self.runtime.block_on(response).status, 200);
                started_at.elapsed().as_secs_f64() * 1e3
            })
            .collect();
        times.sort_by(f64::total_cmp);
        times[times.len() / 2]
    }
}

fn main() {
    let folder = std::env::temp_dir().join(format!("curlewlift-forward-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    let mut site = Site::start(&folder, &["a"], 1, 1);
    site.create_tiers();
    site.run("create service chat model=m");
    site.create_customer("ann", "live", "rate=1000000 open=100000");
    let engine = runtime.block_on(Engine::start(Speed {
        prefill: 10_000_000,
        decode: 2_000,
    }));
    let fields = "slots=10000 prefill=10000000 decode=2000";
    site.create_server("m1", "chat", engine.address(), fields);
    site.wait_for_revision();
    let bare = start_proxy(engine.address());
    let comparison = Comparison {
        runtime,
        client: Client::new("key-ann"),
    };
    let mut ratios = Vec::new();
    let mut rates = Vec::new();
    for _ in 0..ROUNDS {
        let through_bare = comparison.round_cpu_seconds("bare", bare);
        let through_entry = comparison.round_cpu_seconds("entry", site.entry(0));
        ratios.push(through_entry / through_bare);
        rates.push(STREAMS as f64 * TOKENS as f64 / through_entry);
    }
    ratios.sort_by(f64::total_cmp);
    rates.sort_by(f64::total_cmp);
    println!(
        "CPU time of an entry relative to a bare proxy, {} tokens per round: median {:.2}, from {:.2} to {:.2}",
        STREAMS as u64 * TOKENS,
        ratios[ROUNDS / 2],
        ratios[0],
        ratios[ROUNDS - 1]
    );
    println!(
        "tokens per second and core of an entry: median {:.0}",
        rates[ROUNDS / 2]
    );
    let (direct, entry) = (
        comparison.median_latency_ms(bare),
        comparison.median_latency_ms(site.entry(0)),
    );
    println!(
        "median latency of a small response: bare {direct:.2} ms, entry {entry:.2} ms, added {:.2} ms",
        entry - direct
    );
    let memory_before = memory_bytes();
    let address = site.entry(0);
    let open_streams: Vec<_> = (0..1_000)
        .map(|number| {
            let client = comparison.client.clone();
            comparison.runtime.spawn(async move {
                let body = Client::chat("m", &format!("open {number}"), 20_000, true);
                client.post(address, &[], body).await
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let bytes_per_stream = memory_bytes().saturating_sub(memory_before) / 1_000;
    println!(
        "memory per open stream, including the stand-in engine and the client: {bytes_per_stream} bytes"
    );
    drop(open_streams);
    let _ = std::fs::remove_dir_all(folder);
    std::process::exit(0);
}
