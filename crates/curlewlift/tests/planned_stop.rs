//! The planned stop of an entry. Callers may use its address for a while after the stop begins, and
//! long responses may still be streamed: none of these requests may fail or be cut off.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use axum::http::Method;
use curlewlift_lab::client::Client;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use support::SmallSystem;

/// The packet size and the receive buffer of a slow caller, in bytes: with them, the kernel of the entry's host holds only a
/// part of a response.
const SMALL_PACKET: u32 = 536;
const SMALL_BUFFER: usize = 4 << 10;

/// The length of a response that the kernel holds only a part of.
const LONG_BODY: usize = 300_000;

#[test]
fn serves_until_end() {
    let mut small = SmallSystem::start("serves_until_end", 1, 4, 2);
    let address = small.site.entry(0);
    let ann = small.ann.clone();
    let long = small.runtime.spawn(async move {
        ann.post(address, &[], Client::chat("m", "long", 600, true))
            .await
    });
    std::thread::sleep(Duration::from_millis(200));
    let process = small.site.stop_entry(0);
    let short = small.ann.post(
        address,
        &[],
        Client::chat("m", "kept the address", 3, false),
    );
    assert_eq!(small.runtime.block_on(short).status, 200);
    let long = small
        .runtime
        .block_on(long)
        .expect("the caller task finishes");
    assert_eq!(long.body.matches("\"delta\"").count(), 600);
    assert!(long.body.ends_with("code=0 outcome=run\n\n"));
    process.wait().expect("the entry stops without an error");
    small.site.wait_for_view(3);
}

#[test]
fn address_withdrawn() {
    let mut small = SmallSystem::start("address_withdrawn", 1, 4, 1);
    let stopped = small.site.entry(0).to_string();
    small.site.run("stop host e1");
    small.site.wait_for_view_of(&[1, 2, 3], 3);
    let path = "/curlewlift/addresses";
    let response = small
        .ann
        .send(small.site.entry(1), Method::GET, path, &[], "");
    let response = small.runtime.block_on(response);
    assert_eq!(response.status, 200);
    assert!(!response.body.contains(&stopped), "{}", response.body);
}

/// Without a leader the view never says that an entry leaves, but the entry itself knows.
#[test]
fn address_without_leader() {
    let mut small = SmallSystem::start("address_without_leader", 1, 4, 1);
    let stopping = small.site.entry(0);
    small.site.kill_control(0);
    let process = small.site.stop_entry(0);
    let path = "/curlewlift/addresses";
    let left_out = loop {
        let response = small.ann.send(stopping, Method::GET, path, &[], "");
        let response = small.runtime.block_on(response);
        if !response.body.contains(&format!("\"{stopping}\"")) {
            break response;
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    // Its lease has not ended, after which it names nobody.
    assert_eq!(left_out.status, 200, "{}", left_out.body);
    drop(process);
}

/// An entry ended while it held the rest of a response that its caller had not read yet.
#[test]
fn unsent_at_stop() {
    let mut small = SmallSystem::start("unsent_at_stop", 1, 4, 1);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_tcp_mss(SMALL_PACKET).expect("an option");
    let resized = socket.set_recv_buffer_size(SMALL_BUFFER);
    resized.expect("an option");
    let connected = socket.connect(&small.site.entry(0).into());
    connected.expect("the connection is accepted");
    let mut caller = TcpStream::from(socket);
    // The server sends the body back.
    let body = "q".repeat(LONG_BODY);
    let request = format!(
        "POST /services/pay/echo HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-ann\r\n\
         Content-Length: {LONG_BODY}\r\n\r\n{body}"
    );
    let sent = caller.write_all(request.as_bytes());
    sent.expect("the request is sent");
    while small.plain.calls().is_empty() {
        std::thread::sleep(Duration::from_millis(20));
    }
    let process = small.site.stop_entry(0);
    std::thread::sleep(Duration::from_secs(3));
    let mut response = String::new();
    let _ = caller.read_to_string(&mut response);
    assert!(response.ends_with(&body), "{} bytes", response.len());
    process.wait().expect("the entry stops without an error");
}
