//! Configurations of ten thousand routes and more.

mod platform;

use curlewlift::core::event::Kind;
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

/// The version of the configuration that a host reads; none if it refuses.
fn read_version(hosts: &Hosts, host: usize) -> Option<u64> {
    let head = "GET /api/config/get HTTP/1.1\r\nHost: x";
    let answer = send_request(hosts.control(host), head, "");
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
