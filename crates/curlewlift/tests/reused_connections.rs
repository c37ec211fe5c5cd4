//! A reused connection that the server closes while a request is sent. The request may have run, so
//! it must not be sent again. Requests that may run only once get a new connection each.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use axum::http::Method;
use support::SmallSystem;

/// Starts a server that responds to the first request of each connection, reads the second one and
/// closes the connection. Returns its address and the count of requests that it has read.
fn closing_server() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicU32::new(0));
    let thread_count = Arc::clone(&count);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let request_count = Arc::clone(&thread_count);
            std::thread::spawn(move || serve(stream, &request_count));
        }
    });
    (address, count)
}

fn serve(mut stream: TcpStream, count: &AtomicU32) {
    for responds in [true, false] {
        let mut request = Vec::new();
        while !request.ends_with(b"body") {
            let mut buffer = [0; 1_024];
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(length) => request.extend_from_slice(&buffer[..length]),
            }
        }
        count.fetch_add(1, Ordering::Relaxed);
        if responds {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    }
}

#[test]
fn not_resent() {
    let mut small = SmallSystem::start("not_resent", 1, 1, 1);
    let (address, count) = closing_server();
    small.site.run("create service odd sole=[\"POST /sole\"]");
    small.site.create_server("o1", "odd", address, "");
    small.site.wait_for_revision();
    let entry = small.site.entry(0);
    let post = |path: &str| {
        let reply = small.ann.send(entry, Method::POST, path, &[], "body");
        small.runtime.block_on(reply)
    };
    assert_eq!(post("/services/odd/a").body, "ok");
    let second = post("/services/odd/a");
    assert_eq!(
        second.header("curlewlift-outcome"),
        "unknown",
        "{}",
        second.body
    );
    assert_eq!(
        count.load(Ordering::Relaxed),
        2,
        "the second request was sent once and not again"
    );
    for _ in 0..3 {
        assert_eq!(
            post("/services/odd/sole").body,
            "ok",
            "each request gets a new connection"
        );
    }
}
