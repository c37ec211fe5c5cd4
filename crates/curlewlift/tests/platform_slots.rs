//! Slots at engines are granted by the hub, and assigned by each gateway itself when no hub is available.

mod platform;

use std::time::Duration;
use std::time::Instant;

use curlewlift::core::event::Kind;
use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;

fn get(hosts: &Hosts, host: usize, round: usize) -> Answer {
    let head = format!(
        "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {host}-{round}\r\n\
         X-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
    );
    send_request(hosts.callers(host), &head, "")
}

#[test]
fn served_without_hub() {
    let engines = [Engine::start("i-1"), Engine::start("i-2")];
    let listed: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
    let mut hosts = Hosts::start(folder("served_without_hub"), &listed);
    hosts.configure(&document(7).to_string());
    for host in 0..3 {
        assert_eq!(get(&hosts, host, 0).status, 200, "{host}");
    }
    // The last host is no majority, so nobody leads. It serves before it notices that, and after.
    hosts.kill(0);
    hosts.kill(1);
    for round in 1..30 {
        let answer = get(&hosts, 2, round);
        assert_eq!(answer.status, 200, "{round}: {}", answer.body);
    }
    let read_table = "GET /api/config/get HTTP/1.1\r\nHost: x";
    wait("the last host refuses a read for lack of a leader", || {
        send_request(hosts.control(2), read_table, "").status == 503
    });
    for round in 30..60 {
        assert_eq!(get(&hosts, 2, round).status, 200, "{round}");
    }
}

/// A new hub rejected customers within their quotas until it had heard from the gateways that may admit requests without
/// it.
#[test]
fn quota_at_new_hub() {
    const LEADER_CHANGES: u32 = 3;
    const REQUESTS: usize = 40;
    let engine = Engine::start("i-1");
    let mut hosts = Hosts::start(folder("quota_at_new_hub"), &[(&engine, "chat")]);
    hosts.configure(&document(7).to_string());
    let mut round = 0;
    for _ in 0..LEADER_CHANGES {
        let newest_leader = |hosts: &Hosts| {
            let leaders = hosts.timeline(Kind::Leads);
            let newest = leaders.last().map(|event| event.host.clone());
            let leads = |host: &usize| Some(hosts.control(*host).ip().to_string()) == newest;
            hosts.indices().find(leads)
        };
        let former = newest_leader(&hosts).expect("a leader");
        hosts.kill(former);
        let others: Vec<_> = hosts.indices().filter(|host| *host != former).collect();
        let mut found_at = None;
        wait("another leader has led for a while", || {
            for host in others.iter().cycle().take(REQUESTS) {
                round += 1;
                let answer = get(&hosts, *host, round);
                assert!(!answer.body.contains("2005"), "{round}: {}", answer.body);
            }
            let is_led = newest_leader(&hosts).is_some_and(|leader| leader != former);
            let found_at = is_led.then(|| *found_at.get_or_insert_with(Instant::now));
            found_at.is_some_and(|at| at.elapsed() > Duration::from_millis(500))
        });
        hosts.boot(former, false);
        wait("the lost host is ready again", || hosts.is_ready(former));
    }
}
