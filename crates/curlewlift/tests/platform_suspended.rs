//! Hosts that are suspended for seconds: their timers stand still, and all leases and shares expire meanwhile.

mod platform;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use curlewlift::core::event::Kind;
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

/// Operators' orders that may have waited in a host's sockets while it was suspended are not carried out, as their operators
/// may have given them up; the response says so. The same orders are accepted afterwards.
#[test]
fn orders_given_up() {
    let engines = [Engine::start("i-1")];
    let listed = [(&engines[0], "chat")];
    let hosts = Hosts::start_rollouts(folder("orders_given_up"), &listed, 1);
    hosts.configure(&document(7).to_string());
    let send = |host: usize, line: &str, body: &str| {
        let head = format!("{line} HTTP/1.1\r\nHost: x");
        send_request(hosts.control(host), &head, body)
    };
    let start = "POST /api/evacuation/hall-0/start";
    wait("the evacuation is started", || {
        send(0, start, "").status == 200
    });
    let rollout = r#"{"service":"chat","target_version":"v9","duration_s":60}"#;
    let orders = [
        ("POST /api/evacuation/hall-0/end", "", 200),
        ("POST /api/rollouts/start", rollout, 200),
        ("DELETE /quarantine/parts/1f", "", 404),
    ];
    let suspended = 3;
    for (line, body, _) in orders {
        let is_answered = AtomicBool::new(false);
        let answer = std::thread::scope(|scope| {
            // Whenever the order is read, the host was suspended a moment before.
            scope.spawn(|| {
                while !is_answered.load(Ordering::Relaxed) {
                    hosts.suspend(suspended, SUSPENSION);
                    std::thread::sleep(Duration::from_millis(5));
                }
            });
            std::thread::sleep(Duration::from_millis(200));
            let answer = send(suspended, line, body);
            is_answered.store(true, Ordering::Relaxed);
            answer
        });
        assert_eq!(answer.status, 503, "{line}: {}", answer.body);
        assert!(answer.body.contains("7009"), "{line}: {}", answer.body);
        assert!(answer.header("retry-after").is_some(), "{line}");
    }
    let agreed = || hosts.timeline(Kind::EvacuationAgreed).len();
    assert_eq!(hosts.rollout_steps().len(), 0, "no roll-out was started");
    let agreed_before = agreed();
    for (line, body, status) in orders {
        wait("the order is accepted once the host runs", || {
            send(suspended, line, body).status == status
        });
    }
    assert!(
        agreed() > agreed_before,
        "the evacuation had not been ended before"
    );
}
