//! Callers and servers that read slowly, or nothing for a while: responses are whole, also while a gateway stops.

mod platform;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use curlewlift::LinkFault;
use platform::Engine;
use platform::ThreeHosts;
use platform::document;
use platform::send_request;
use platform::wait;
use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// The lengths of responses: one that the gateway reads whole, and one that it forwards as it arrives.
const LENGTHS: [usize; 2] = [200_000, 400_000];

/// The length of a request body that does not fit into the buffers of a connection to a server.
const LONG_BODY: usize = 160_000;

/// The length of a request body that is too large, and does not fit into the buffers of a caller's connection.
const TOO_LONG_BODY: usize = 16 << 20;

/// Hosts that reach the servers, and some that reach them through other hosts.
const DIRECT: [usize; 2] = [1, 2];
const TUNNELED: [usize; 2] = [3, 4];

/// The packet size and the receive buffer of a slow caller, in bytes: with them, the kernel of the gateway's host holds only a
/// part of a response.
const SMALL_PACKET: u32 = 536;
const SMALL_BUFFER: usize = 4 << 10;

/// How many bytes a slow caller reads at a time, and after which pause.
const READ_BYTES: usize = 512;
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// For how long a caller reads slowly, or nothing: longer than a gateway without open requests takes to stop.
const SLOW_TIME: Duration = Duration::from_millis(5_500);

/// The host that stops.
const STOPPING: usize = 3;

/// How long a connection may be idle, and a head may take: shorter than the time in which a response is read.
const IDLE_TIME_MS: u32 = 1_000;

/// A deadline that is longer than a gateway runs after the order to stop.
const DEADLINE_MS: u32 = 15_000;

/// A caller with small buffers that has sent a request.
struct SlowCaller {
    stream: TcpStream,
    response: Vec<u8>,
}

impl SlowCaller {
    /// Sends a request; `behavior` says what the engine does.
    fn send(address: SocketAddr, id: &str, behavior: &str) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_tcp_mss(SMALL_PACKET).expect("an option");
        socket
            .set_recv_buffer_size(SMALL_BUFFER)
            .expect("an option");
        socket
            .connect(&address.into())
            .expect("the connection is accepted");
        let mut stream = TcpStream::from(socket);
        let request = format!(
            "POST /open/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Play: {behavior}\r\n\
             X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 8\r\n\r\nquestion"
        );
        stream
            .write_all(request.as_bytes())
            .expect("the request is sent");
        Self {
            stream,
            response: Vec::new(),
        }
    }

    /// Reads a little at a time until the time `until`.
    fn read_slowly(&mut self, until: Instant) {
        let mut buffer = [0; READ_BYTES];
        while Instant::now() < until {
            let count = self.stream.read(&mut buffer).unwrap_or(0);
            self.response.extend_from_slice(&buffer[..count]);
            thread::sleep(READ_INTERVAL);
        }
    }

    /// Reads the rest; returns how many bytes of the body have come.
    fn read_rest(mut self) -> usize {
        // What comes before a reset counts.
        let _ = self.stream.read_to_end(&mut self.response);
        let end_of_head = self
            .response
            .windows(4)
            .position(|bytes| bytes == b"\r\n\r\n");
        let body = end_of_head.map_or(&[][..], |end| &self.response[end + 4..]);
        String::from_utf8_lossy(body).matches('x').count()
    }
}

/// Starts three hosts with a disk and two more, with a long time-out for all routes.
fn start(name: &str) -> ThreeHosts {
    let small = ThreeHosts::start_more(name, 2);
    let mut document = document(8);
    for route in document["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(DEADLINE_MS);
    }
    document["limits"]["idle_timeout_ms"] = json!(IDLE_TIME_MS);
    document["limits"]["header_timeout_ms"] = json!(IDLE_TIME_MS);
    document["limits"]["max_body_bytes"] = json!(LONG_BODY);
    small.hosts.configure(&document.to_string());
    small
}

/// Sends a request for each response to a host, and waits until the engines have received them.
fn send_all(small: &ThreeHosts, host: usize, reads: bool, lengths: &[usize]) -> Vec<SlowCaller> {
    let callers = small.hosts.callers(host);
    let send = |length: &usize| {
        let id = format!("{host} {reads} {length}");
        let sent = SlowCaller::send(callers, &id, &format!("unframed {length}"));
        wait("the request arrives", || {
            let received = small.engines.iter().flat_map(Engine::received);
            received
                .into_iter()
                .any(|request| request.header("x-attempt-id") == Some(id.as_str()))
        });
        sent
    };
    lengths.iter().map(send).collect()
}

/// Lets each caller read slowly, or nothing, until the time `until`, and then the rest; returns how many bytes of the body each
/// has received.
fn read_all(callers: Vec<SlowCaller>, until: Instant, reads: bool) -> Vec<usize> {
    let read = move |mut caller: SlowCaller| {
        if reads {
            caller.read_slowly(until);
        }
        thread::sleep(until.saturating_duration_since(Instant::now()));
        caller.read_rest()
    };
    let threads = callers
        .into_iter()
        .map(|caller| thread::spawn(move || read(caller)));
    let threads: Vec<_> = threads.collect();
    let received = threads.into_iter().map(thread::JoinHandle::join);
    received
        .map(|received| received.expect("the caller does not panic"))
        .collect()
}

/// Callers that read nothing for seconds, or only a little at a time, were cut off by the user time-out of TCP.
#[test]
fn slow_or_paused() {
    let small = start("slow_or_paused");
    small.set_link_faults(&TUNNELED, Some(LinkFault::Refuses));
    let cases = [
        (DIRECT[0], true),
        (DIRECT[1], false),
        (TUNNELED[0], true),
        (TUNNELED[1], false),
    ];
    let received = thread::scope(|scope| {
        let cases = cases.map(|(host, reads)| {
            let small = &small;
            scope.spawn(move || {
                let sent = send_all(small, host, reads, &LENGTHS);
                read_all(sent, Instant::now() + SLOW_TIME, reads)
            })
        });
        cases.map(|case| case.join().expect("the callers do not panic"))
    });
    assert_eq!(received, cases.map(|_| LENGTHS.to_vec()), "{cases:?}");
}

/// A sound server that did not read a long request body for seconds was given up by the user time-out of TCP, also when it
/// had begun to answer.
#[test]
fn unread_body() {
    let small = start("unread_body");
    small.set_link_faults(&TUNNELED, Some(LinkFault::Refuses));
    let cases = [
        (DIRECT[0], "reads-late", "done"),
        (DIRECT[1], "reads-late early", "data: 1\n\ndata: 1\n\n"),
        (TUNNELED[0], "reads-late", "done"),
        (TUNNELED[1], "reads-late early", "data: 1\n\ndata: 1\n\n"),
    ];
    let body = "q".repeat(LONG_BODY);
    thread::scope(|scope| {
        for (host, behavior, expected) in cases {
            let (callers, body) = (small.hosts.callers(host), &body);
            scope.spawn(move || {
                let head = format!(
                    "POST /stream/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {host} {behavior}\r\n\
                     X-Play: {behavior}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer key-ann"
                );
                let answer = send_request(callers, &head, body);
                assert!(answer.whole, "{host} {behavior}: {answer:?}");
                assert_eq!(answer.body, expected, "{host} {behavior}");
            });
        }
    });
}

/// What a server had sent before it closed its connection with a part of the request unread was lost, as the rest of the
/// request could not be written.
#[test]
fn answered_unread() {
    let small = start("answered_unread");
    small.set_link_faults(&TUNNELED, Some(LinkFault::Refuses));
    let body = "q".repeat(LONG_BODY);
    for (behavior, status) in [("unread", 200), ("unread shed", 503)] {
        for host in [DIRECT[0], TUNNELED[0]] {
            let head = format!(
                "POST /open/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {host} {behavior}\r\n\
                 X-Play: {behavior}\r\nX-Deadline-Ms: {DEADLINE_MS}"
            );
            let answer = send_request(small.hosts.callers(host), &head, &body);
            assert_eq!(answer.status, status, "{host} {behavior}: {answer:?}");
        }
    }
}

/// A caller that was still sending when its request was rejected had its connection reset, and could lose the response.
#[test]
fn rejected_while_sending() {
    let small = start("rejected_while_sending");
    let head = "POST /open/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: long";
    let answer = send_request(
        small.hosts.callers(DIRECT[0]),
        head,
        &"q".repeat(TOO_LONG_BODY),
    );
    assert_eq!(answer.status, 413, "{answer:?}");
    assert!(answer.whole, "{answer:?}");
}

/// The process of a gateway ended while it held the rest of a response that the kernel had no room for.
#[test]
fn unsent_at_stop() {
    let mut small = start("unsent_at_stop");
    let sent = send_all(&small, STOPPING, true, &LENGTHS[..1]);
    let process = small.hosts.stop(STOPPING);
    let received = read_all(sent, Instant::now() + SLOW_TIME, true);
    process.wait().expect("the host stops");
    assert_eq!(received, LENGTHS[..1]);
}
