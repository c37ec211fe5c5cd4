//! Hosts that are suspended for seconds: their timers stand still, and all leases and shares expire meanwhile.

mod platform;

use std::time::Duration;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;

/// How long a host is suspended: longer than any deadline, lease or quota share here.
const SUSPENSION: Duration = Duration::from_secs(10);

fn start(name: &str) -> (Hosts, [Engine; 2]) {
    let engines = [Engine::start("i-1"), Engine::start("i-2")];
    let listed: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
    let hosts = Hosts::start(folder(name), &listed);
    hosts.configure(&document(7).to_string());
    (hosts, engines)
}

fn play(hosts: &Hosts, host: usize, path: &str, play: &str) -> Answer {
    let head = format!(
        "POST /safe/{path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {path}\r\n\
         X-Play: {play}\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
    );
    send_request(hosts.callers(host), &head, "question")
}

/// A request from before the suspension is past its deadline afterwards, so it is not sent to another server, although
/// its rule would allow that.
#[test]
fn past_deadline() {
    let (hosts, engines) = start("past_deadline");
    let answer = std::thread::scope(|scope| {
        let answer = scope.spawn(|| play(&hosts, 0, "one", "close-late"));
        wait("an engine receives the request", || {
            engines.iter().any(|engine| !engine.received().is_empty())
        });
        hosts.suspend(0, SUSPENSION);
        answer.join().expect("the caller receives a response")
    });
    let received: usize = engines.iter().map(|engine| engine.received().len()).sum();
    assert_eq!(received, 1, "{}", answer.body);
    assert_eq!(
        answer.status, 502,
        "the request may have run: {}",
        answer.body
    );
}

/// After a suspension of each host in turn, of two at once and of all, expired leases are replaced and all hosts serve
/// again.
#[test]
fn serve_again() {
    let (hosts, _engines) = start("serve_again");
    let suspended: [&[usize]; 5] = [&[0], &[1], &[2], &[0, 1], &[0, 1, 2]];
    for (round, group) in suspended.into_iter().enumerate() {
        for host in group {
            hosts.suspend(*host, SUSPENSION);
        }
        wait("the leader accepts a table", || {
            hosts.put(0, &document(8 + round as u64).to_string()) == 200
        });
        for host in hosts.indices() {
            wait("callers are served", || {
                play(&hosts, host, "again", "answer").status == 200
            });
        }
    }
}

/// Responses to calls from before a suspension must not convince a replica that it still leads and may read the table.
#[test]
fn no_stale_leader() {
    let (hosts, _engines) = start("no_old_lead");
    let read_table = "GET /api/config/get HTTP/1.1\r\nHost: x";
    for round in 0..6_u64 {
        hosts.suspend(usize::try_from(round % 3).expect("host number"), SUSPENSION);
        let version = 8 + round;
        wait("the leader accepts a table", || {
            hosts.put(1, &document(version).to_string()) == 200
        });
        for host in hosts.indices() {
            hosts.suspend(host, SUSPENSION);
            let answer = send_request(hosts.control(host), read_table, "");
            let newest = format!("\"version\":{version},");
            let is_newest = answer.body.contains(&newest);
            assert!(
                answer.status != 200 || is_newest,
                "{round}: {}",
                answer.body
            );
        }
    }
}
