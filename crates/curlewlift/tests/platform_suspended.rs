//! Hosts that are suspended for seconds: timers stand still, and all that was granted has run out.

mod platform;

use std::time::Duration;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;

/// How long a host is suspended: longer than any deadline, lease or part of an allowance here.
const LONG: Duration = Duration::from_secs(10);

fn start(name: &str) -> (Hosts, [Engine; 2]) {
    let engines = [Engine::start("i-1"), Engine::start("i-2")];
    let listed: Vec<_> = engines.iter().map(|engine| (engine, "chat")).collect();
    let hosts = Hosts::start(folder(name), &listed);
    hosts.configure(&document(7).to_string());
    (hosts, engines)
}

fn play(hosts: &Hosts, place: usize, path: &str, play: &str) -> Answer {
    let head = format!(
        "POST /safe/{path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {path}\r\n\
         X-Play: {play}\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-ann"
    );
    send_request(hosts.callers(place), &head, "question")
}

/// A request of before the suspension is past its deadline: it may be repeated, and is sent nowhere else.
#[test]
fn past_deadline() {
    let (hosts, engines) = start("past_deadline");
    let answer = std::thread::scope(|scope| {
        let answer = scope.spawn(|| play(&hosts, 0, "one", "close-late"));
        wait("it is sent", || {
            engines.iter().any(|engine| !engine.received().is_empty())
        });
        hosts.suspend(0, LONG);
        answer.join().expect("it is answered")
    });
    let came: usize = engines.iter().map(|engine| engine.received().len()).sum();
    assert_eq!(came, 1, "{}", answer.body);
    assert_eq!(answer.status, 502, "it may have run: {}", answer.body);
}

/// Each host in turn, two at once, and all: what they held has run out, and they serve again.
#[test]
fn serve_again() {
    let (hosts, _engines) = start("serve_again");
    let suspended: [&[usize]; 5] = [&[0], &[1], &[2], &[0, 1], &[0, 1, 2]];
    for (round, places) in suspended.into_iter().enumerate() {
        for place in places {
            hosts.suspend(*place, LONG);
        }
        wait("an operator is answered", || {
            hosts.put(0, &document(8 + round as u64).to_string()) == 200
        });
        for place in hosts.indices() {
            wait("callers are", || {
                play(&hosts, place, "again", "answer").status == 200
            });
        }
    }
}

/// What a leader knows by answers to what it sent before a suspension says nothing of now.
#[test]
fn no_old_lead() {
    let (hosts, _engines) = start("no_old_lead");
    let read = "GET /api/config/get HTTP/1.1\r\nHost: x";
    for round in 0..6_u64 {
        hosts.suspend(usize::try_from(round % 3).expect("few"), LONG);
        let version = 8 + round;
        wait("a table is taken", || {
            hosts.put(1, &document(version).to_string()) == 200
        });
        for place in hosts.indices() {
            hosts.suspend(place, LONG);
            let answer = send_request(hosts.control(place), read, "");
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
