//! Many servers that send bytes without end at the same time, to callers that read and to callers that do not, directly and
//! through another host: the hosts must not hold what arrives, and must answer other requests.

mod platform;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use curlewlift::LinkFault;
use platform::ThreeHosts;
use platform::resident_bytes;
use platform::send_request;
use platform::wait;

/// Where the bytes without end are.
const KINDS: [&str; 12] = [
    "status",
    "header",
    "headers",
    "interims",
    "chunk-size",
    "chunk-extension",
    "trailer",
    "event",
    "chunked-event",
    "chunk",
    "length",
    "body",
];

/// The host that reaches the servers, and the one that reaches them through others.
const HOSTS: [usize; 2] = [0, 1];

/// What one request may hold at all hosts on its way, in bytes: the longest event, and the buffers of two hosts.
const MAX_HELD_BYTES: usize = 2 << 20;

/// The engines; those that have failed are avoided for a while.
const ENGINES: [&str; 24] = ["v1"; 24];

/// How long a caller that does not read stays.
const STAY: Duration = Duration::from_secs(4);

fn head(id: &str, path: &str, play: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Play: {play}\r\n\
         X-Deadline-Ms: 6000\r\nAuthorization: Bearer key-ann"
    )
}

/// Sends a request and reads what comes, or nothing.
fn call(host: SocketAddr, head: &str, reads: bool) {
    let mut stream = TcpStream::connect(host).expect("the host accepts");
    let request = format!("{head}\r\nContent-Length: 1\r\n\r\nq");
    stream.write_all(request.as_bytes()).expect("it reads");
    if !reads {
        std::thread::sleep(STAY);
        return;
    }
    let mut buffer = vec![0; 64 << 10];
    while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
}

#[test]
fn memory_bounded() {
    let world = ThreeHosts::start_versions("endless_many", &ENGINES);
    world.set_link_faults(&[HOSTS[1]], Some(LinkFault::Refuses));
    let before = resident_bytes();
    let is_done = AtomicBool::new(false);
    let (calls, most) = std::thread::scope(|scope| {
        let callers: Vec<_> = (KINDS.iter().enumerate())
            .flat_map(|(number, kind)| {
                let ways = [(0, true), (0, false), (1, true), (1, false)];
                ways.map(|(host, reads)| (number, kind, host, reads))
            })
            .map(|(number, kind, host, reads)| {
                let id = format!("{number}-{host}-{reads}");
                let path = if number % 2 == 0 {
                    "/stream/"
                } else {
                    "/once/"
                };
                let head = head(&id, path, &format!("endless {kind}"));
                let callers = world.hosts.callers(HOSTS[host]);
                scope.spawn(move || call(callers, &head, reads))
            })
            .collect();
        let watch = scope.spawn(|| {
            let mut most = 0;
            while !is_done.load(Ordering::Relaxed) {
                most = most.max(resident_bytes());
                std::thread::sleep(Duration::from_millis(20));
            }
            most
        });
        for host in HOSTS {
            wait("another request is answered meanwhile", || {
                let head = head(&format!("other-{host}"), "/safe/", "answer");
                send_request(world.hosts.callers(host), &head, "q").status == 200
            });
        }
        let calls = callers.len();
        for caller in callers {
            caller.join().expect("the caller does not panic");
        }
        is_done.store(true, Ordering::Relaxed);
        (calls, watch.join().expect("no panic"))
    });
    let held = most.saturating_sub(before);
    println!("{} MB held by {calls} requests", held >> 20);
    assert!(held <= calls * MAX_HELD_BYTES, "{held} bytes");
    let sent = world
        .engines
        .iter()
        .map(platform::Engine::max_endless_bytes);
    let sent = sent.max().unwrap_or(0);
    assert!(
        sent > MAX_HELD_BYTES as u64,
        "the servers sent {sent} bytes at most"
    );
}
