//! Gateways keep to shares of the slots while there is no hub, with real hosts.
//!
//! Guards against gateways that each use all slots: four hosts with three callers each had 12 requests in
//! flight at an engine with 4 slots.

mod platform;

use std::time::Duration;
use std::time::Instant;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;

/// The slots of the engine, by the platform's list.
const SLOTS: usize = 4;

/// Hosts that run when two of three with a disk have failed.
const RUNNING: [usize; 6] = [2, 3, 4, 5, 6, 7];

/// Sends requests to these hosts for `time`, with three callers each; returns the responses by host.
fn send_for(hosts: &Hosts, indices: &[usize], time: Duration) -> Vec<(usize, Answer)> {
    let until = Instant::now() + time;
    std::thread::scope(|scope| {
        let callers = indices
            .iter()
            .flat_map(|host| (0..3).map(|caller| (*host, caller)));
        let callers: Vec<_> = callers
            .map(|(host, caller)| {
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    while Instant::now() < until {
                        let number = answers.len();
                        let head = format!(
                            "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\nX-Play: work\r\n\
                             X-Attempt-Id: {host}-{caller}-{number}\r\nX-Deadline-Ms: 5000\r\n\
                             Authorization: Bearer key-ann"
                        );
                        answers.push((host, send_request(hosts.callers(host), &head, "")));
                    }
                    answers
                })
            })
            .collect();
        let answers = callers.into_iter();
        let answers = answers.flat_map(|caller| caller.join().expect("the caller does not panic"));
        answers.collect()
    })
}

/// Without a hub, requests at all hosts are served by slots of their own shares or by borrowed ones, and no more run than
/// there are slots. When the hub is back, it grants all slots again.
#[test]
fn slots_shared() {
    let engine = Engine::start("i-1");
    let mut hosts = Hosts::start_scheduled(
        folder("slots_shared"),
        &[(&engine, "chat")],
        5,
        "local-slots",
    );
    hosts.configure(&document(7).to_string());
    hosts.kill(0);
    hosts.kill(1);
    // Until the hub counts as silent everywhere.
    std::thread::sleep(Duration::from_millis(1_200));
    engine.take_max_working();
    let answers = send_for(&hosts, &RUNNING, Duration::from_secs(4));
    let max_working = engine.take_max_working();
    for host in RUNNING {
        let own = || answers.iter().filter(|(sender, _)| *sender == host);
        let served = own().filter(|(_, answer)| answer.status == 200).count();
        println!("host {host}: {served} of {}", own().count());
        // Two of the hosts have no slot of their own: they borrow, and what is borrowed is returned.
        assert!(served > SLOTS, "host {host}: {served}");
    }
    println!("at most {max_working} at the same time");
    assert!(max_working <= SLOTS, "{max_working}");
    for (_, answer) in answers.iter().filter(|(_, answer)| answer.status != 200) {
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert!(answer.header("retry-after").is_some(), "{}", answer.body);
    }
    hosts.boot(0, false);
    platform::wait("the hub grants slots", || {
        let answers = send_for(&hosts, &RUNNING[..4], Duration::from_millis(300));
        answers.iter().all(|(_, answer)| answer.status == 200)
    });
}
