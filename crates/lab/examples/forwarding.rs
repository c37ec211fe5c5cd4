//! What an entry's forwarding costs against a bare pass-through on the same libraries:
//! `cargo run --release -p curlewlift-lab --example forwarding`.
//!
//! Streams of one token a chunk go through an entry and through a pass-through that copies bytes,
//! in turns in one run; ratios are what to quote.

#![allow(clippy::cast_precision_loss, reason = "figures for people")]

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

/// Rounds of each way, in turns.
const ROUNDS: usize = 7;

/// Streams at once, and tokens in each.
const STREAMS: usize = 16;
const TOKENS: u64 = 2_000;

/// A bare pass-through on one thread, as an entry has one.
fn pass_through(engine: SocketAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("it can");
    let thread = std::thread::Builder::new().name("bare".to_owned());
    let main = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.expect("a runtime").block_on(async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("it can");
            let mut connector = HttpConnector::new();
            connector.set_nodelay(true);
            let executor = hyper_util::rt::TokioExecutor::new();
            let http: Http = hyper_util::client::legacy::Client::builder(executor).build(connector);
            let router = Router::new().fallback(any(pass)).with_state((http, engine));
            let _ = axum::serve(listener, router).await;
        });
    };
    thread.spawn(main).expect("a thread");
    address
}

async fn pass(
    State((http, to)): State<(Http, SocketAddr)>,
    mut request: Request,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    *request.uri_mut() = format!("http://{to}{path}").parse().expect("a URI");
    match http.request(request).await {
        Ok(response) => response.map(Body::new),
        Err(_) => axum::http::StatusCode::BAD_GATEWAY.into_response(),
    }
}

struct Bench {
    runtime: tokio::runtime::Runtime,
    client: Client,
}

impl Bench {
    /// Seconds of processor time that the threads `name` spend on one round.
    fn round(&self, name: &str, to: SocketAddr) -> f64 {
        let before = thread_cpu_seconds(name);
        self.runtime.block_on(async {
            let streams = (0..STREAMS).map(|number| {
                let client = self.client.clone();
                async move {
                    let body = Client::chat("m", &format!("hello {number}"), TOKENS, true);
                    let reply = client.post(to, &[], body).await;
                    assert!(reply.body.contains("[DONE]"), "{}", reply.body);
                }
            });
            futures::future::join_all(streams).await;
        });
        thread_cpu_seconds(name) - before
    }

    /// Milliseconds to the first byte of a small whole answer, the median of many.
    fn latency(&self, to: SocketAddr) -> f64 {
        let mut times: Vec<_> = (0..300)
            .map(|number| {
                let body = Client::chat("m", &format!("hi {number}"), 1, false);
                let began = Instant::now();
                let path = "/v1/chat/completions";
                let sent = self.client.send(to, Method::POST, path, &[], body);
                assert_eq!(self.runtime.block_on(sent).status, 200);
                began.elapsed().as_secs_f64() * 1e3
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
    let runtime = runtime.expect("a runtime");
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
    let bare = pass_through(engine.address());
    let bench = Bench {
        runtime,
        client: Client::new("key-ann"),
    };
    let mut ratios = Vec::new();
    let mut rates = Vec::new();
    for _ in 0..ROUNDS {
        let through_bare = bench.round("bare", bare);
        let through_entry = bench.round("entry", site.entry(0));
        ratios.push(through_entry / through_bare);
        rates.push(STREAMS as f64 * TOKENS as f64 / through_entry);
    }
    ratios.sort_by(f64::total_cmp);
    rates.sort_by(f64::total_cmp);
    println!(
        "processor time of an entry over a bare pass-through, {} tokens a round: median {:.2}, from {:.2} to {:.2}",
        STREAMS as u64 * TOKENS,
        ratios[ROUNDS / 2],
        ratios[0],
        ratios[ROUNDS - 1]
    );
    println!(
        "tokens a second that a core of an entry carries: median {:.0}",
        rates[ROUNDS / 2]
    );
    let (direct, entry) = (bench.latency(bare), bench.latency(site.entry(0)));
    println!(
        "median of a small answer: bare {direct:.2} ms, entry {entry:.2} ms, added {:.2} ms",
        entry - direct
    );
    let before = memory_bytes();
    let to = site.entry(0);
    let open: Vec<_> = (0..1_000)
        .map(|number| {
            let client = bench.client.clone();
            bench.runtime.spawn(async move {
                let body = Client::chat("m", &format!("open {number}"), 20_000, true);
                client.post(to, &[], body).await
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let each = memory_bytes().saturating_sub(before) / 1_000;
    println!("memory of an open stream, with its stand-in engine's and client's: {each} bytes");
    drop(open);
    let _ = std::fs::remove_dir_all(folder);
    std::process::exit(0);
}
