//! Bodies of requests that are being served hold a host's memory. Guards against a host that accepts bodies until its
//! memory is exhausted, so that all of its requests fail.

mod platform;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use curlewlift::LinkFault;
use platform::Answer;
use platform::ThreeHosts;
use platform::send_request;
use platform::wait;

/// A body of nearly the largest size that the document allows.
const LARGE_BODY: usize = 99_000;

/// How many such bodies a host may hold.
const LARGE_BODIES_HELD: usize = 3;

/// How long further tunnels are waited for.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// How many tunnels to servers a host may hold.
const TUNNELS_HELD: usize = 9;

fn head(id: &str, behavior: &str) -> String {
    format!(
        "POST /open/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Play: {behavior}\r\n\
         X-Deadline-Ms: 5000"
    )
}

fn send(world: &ThreeHosts, id: &str, length: usize) -> Answer {
    let body = "x".repeat(length);
    send_request(world.hosts.callers(0), &head(id, "answer"), &body)
}

/// A request that its engine does not answer.
fn hang(world: &ThreeHosts, id: &str, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(world.hosts.callers(0)).expect("accepted");
    let (head, body) = (head(id, "hang"), "x".repeat(length));
    let request = format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).expect("sent");
    stream
}

#[test]
fn bodies_bounded() {
    let world = ThreeHosts::start("bodies_bounded");
    let received = || world.count_received();
    let hanging: Vec<_> = (0..LARGE_BODIES_HELD)
        .map(|number| hang(&world, &format!("hang-{number}"), LARGE_BODY))
        .collect();
    wait("the large requests reach their engines", || {
        received() == LARGE_BODIES_HELD
    });
    let refused = send(&world, "one-too-many", LARGE_BODY);
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert!(
        refused.body.contains("\"name\":\"host-full\""),
        "{}",
        refused.body
    );
    assert!(refused.header("retry-after").is_some());
    assert_eq!(
        received(),
        LARGE_BODIES_HELD,
        "the refused request did not run"
    );
    assert_eq!(
        send(&world, "small", 100).status,
        200,
        "there is room for small ones"
    );
    drop(hanging);
    wait("the memory of callers that left is free again", || {
        send(&world, "again", LARGE_BODY).status == 200
    });
}

/// Tunnels that are asked for at the same moment hold no more than the memory of the host that opens them.
#[test]
fn tunnels_bounded() {
    let mut world = ThreeHosts::start("tunnels_bounded");
    world.hosts.kill(2);
    world.set_link_faults(&[0], Some(LinkFault::Refuses));
    let hanging: Vec<_> = (0..TUNNELS_HELD + 3)
        .map(|number| hang(&world, &format!("hang-{number}"), 1))
        .collect();
    wait("the host opens tunnels", || {
        world.count_received() >= TUNNELS_HELD
    });
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(world.count_received(), TUNNELS_HELD);
    drop(hanging);
    wait("the memory of closed tunnels is free again", || {
        send(&world, "again", 1).status == 200
    });
}
