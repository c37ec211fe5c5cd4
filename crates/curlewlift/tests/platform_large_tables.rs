//! Configurations of ten thousand routes and more.

mod platform;

use std::net::SocketAddr;

use curlewlift::core::event::Kind;
use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::large_document;
use platform::send_request;
use platform::wait;
use serde_json::Value;

/// The routes of a large table; its document has some 3 MB.
const ROUTES: u32 = 11 * 1_400;

/// How many leaders may be elected after the loss of one: more than one are, if votes are split or the machine is busy.
const MAX_LEADERS: usize = 4;

/// The rate of a narrow link in bytes per second: the document takes some seconds, its compressed form a fifth of one.
const LINK_BYTES_PER_S: u64 = 1_250_000;

/// Reads the configuration at an address, with these headers.
fn read(address: SocketAddr, headers: &str) -> Answer {
    let head = format!("GET /api/config/get HTTP/1.1\r\nHost: x{headers}");
    send_request(address, &head, "")
}

/// The version of the configuration that a host reads; none if it refuses.
fn read_version(hosts: &Hosts, host: usize) -> Option<u64> {
    let answer = read(hosts.control(host), "");
    let read: Option<Value> = serde_json::from_str(&answer.body).ok();
    read.filter(|_| answer.status == 200)?["version"].as_u64()
}

/// New leaders that decoded the table before their first heartbeat were replaced by the next one, without end.
#[test]
fn leaders_without_heartbeat() {
    let engine = Engine::start("i-1");
    let mut hosts = Hosts::start(folder("leaders_without_heartbeat"), &[(&engine, "chat")]);
    hosts.configure(&document(7).to_string());
    let table = large_document(8, ROUTES).to_string();
    wait("the table is acknowledged", || hosts.put(0, &table) == 200);
    let leaders = hosts.timeline(Kind::Leads);
    let leader = leaders.last().map(|event| event.host.clone());
    let is_leader = |host: &usize| Some(hosts.control(*host).ip().to_string()) == leader;
    let leader = hosts.indices().find(is_leader).expect("a leader");
    hosts.kill(leader);
    let before = hosts.timeline(Kind::Leads).len();
    for host in hosts.indices().filter(|host| *host != leader) {
        wait("the table is read", || {
            read_version(&hosts, host) == Some(8)
        });
    }
    hosts.boot(leader, false);
    wait("the lost host is ready again", || hosts.is_ready(leader));
    let added = large_document(9, ROUTES + 1).to_string();
    wait("a newer table is acknowledged", || {
        hosts.put(leader, &added) == 200
    });
    let elected = hosts.timeline(Kind::Leads).len() - before;
    assert!(elected <= MAX_LEADERS, "{elected} leaders were elected");
}

/// A document of some megabytes takes too long over a narrow link: operators gave up on every host that has one.
#[test]
fn large_read_at_narrow_host() {
    const NARROW: usize = 3;
    let engine = Engine::start("i-1");
    let folder = folder("large_read_at_narrow_host");
    let hosts = Hosts::start_narrow(folder, &[(&engine, "chat")], 1, LINK_BYTES_PER_S);
    hosts.configure(&document(7).to_string());
    let small = read(hosts.narrow_control(NARROW), "");
    assert_eq!(small.status, 200, "a small document is read at any host");
    let table = large_document(8, ROUTES).to_string();
    wait("the table is acknowledged", || hosts.put(0, &table) == 200);
    let before = hosts.operators_bytes();
    let mut redirected = Answer::default();
    wait("the host is sure of the newest table", || {
        redirected = read(hosts.narrow_control(NARROW), "");
        redirected.status != 503
    });
    assert_eq!(redirected.status, 307);
    let location = redirected.header("location").expect("a location");
    let target = location.strip_prefix("http://").expect("an address");
    let target = target.strip_suffix("/api/config/get").expect("the path");
    let target: SocketAddr = target.parse().expect("an address");
    let followed = read(target, "");
    assert_eq!((followed.status, followed.body == table), (200, true));
    let compressed = "\r\nAccept-Encoding: br, gzip;q=0.5";
    let known = "\r\nIf-None-Match: \"7\", \"8\"";
    for (headers, encoding, status) in [(compressed, Some("gzip"), 200), (known, None, 304)] {
        let answer = read(hosts.narrow_control(NARROW), headers);
        assert_eq!(
            (answer.status, answer.header("content-encoding")),
            (status, encoding)
        );
    }
    let sent = hosts.operators_bytes() - before;
    assert!(sent < table.len() as u64 / 4, "{sent} bytes were sent");
    // It may not reach the leader.
    wait("the host serves a caller that came back", || {
        read(hosts.narrow_control(NARROW), "").body == table
    });
}
