//! A kept connection that the server closes as a request is written (row D4).

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

/// A server that answers the first request of each connection, reads the second and closes.
fn closing_server() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&count);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counted = Arc::clone(&counted);
            std::thread::spawn(move || serve(stream, &counted));
        }
    });
    (address, count)
}

fn serve(mut stream: TcpStream, count: &AtomicU32) {
    for answer in [true, false] {
        let mut read = Vec::new();
        while !read.ends_with(b"body") {
            let mut part = [0; 1_024];
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return,
                Ok(length) => read.extend_from_slice(&part[..length]),
            }
        }
        count.fetch_add(1, Ordering::Relaxed);
        if answer {
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
    let to = small.site.entry(0);
    let post = |path: &str| {
        let reply = small.ann.send(to, Method::POST, path, &[], "body");
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
        "it was sent once, and not again"
    );
    for _ in 0..3 {
        assert_eq!(
            post("/services/odd/sole").body,
            "ok",
            "a connection of its own"
        );
    }
}
