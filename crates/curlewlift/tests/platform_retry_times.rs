//! Callers that the hub rejects are told when to retry, at any gateway, and are not told to return all at the same time.

mod platform;

use std::time::Duration;
use std::time::Instant;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;

/// Requests that fill the engine: its four slots and one more.
const FILLING: usize = 5;

const REJECTED: usize = 8;

/// The time that callers give a request.
const DEADLINE: Duration = Duration::from_secs(5);

fn send(hosts: &Hosts, number: usize, behavior: &str) -> Answer {
    let head = format!(
        "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: h-{number}\r\nX-Play: {behavior}\r\n\
         X-Deadline-Ms: {}\r\nAuthorization: Bearer key-ann",
        DEADLINE.as_millis()
    );
    let host = number % hosts.indices().len();
    send_request(hosts.callers(host), &head, &format!("question {number}"))
}

/// After how many seconds the caller of a rejected request should retry, and when it returns then, in seconds since
/// `started`.
fn retry_time(answer: &Answer, started: Instant) -> (f64, f64) {
    assert_eq!(answer.status, 503, "{}", answer.body);
    let retry_after = answer.header("Retry-After").expect("a time to retry");
    let retry_after: f64 = retry_after.parse().expect("seconds");
    let honoured = DEADLINE.as_secs_f64() / 3.0;
    assert!(retry_after <= honoured, "{retry_after} of {honoured}");
    (retry_after, started.elapsed().as_secs_f64() + retry_after)
}

/// Without the hub's time, all are told a quarter of their time, 1.25 s.
#[test]
fn told_by_hub() {
    let engine = Engine::start("i-1");
    let listed = [(&engine, "chat")];
    let hosts = Hosts::start_scheduled(folder("told_by_hub"), &listed, 0, "retry-times");
    hosts.configure(&document(7).to_string());
    std::thread::scope(|scope| {
        let hosts = &hosts;
        for number in 0..FILLING {
            scope.spawn(move || send(hosts, number, "hang"));
        }
        wait("the engine is full", || engine.received().len() == FILLING);
        let started = Instant::now();
        let callers = (0..REJECTED).map(|number| {
            scope.spawn(move || retry_time(&send(hosts, FILLING + number, "answer"), started))
        });
        let callers: Vec<_> = callers.collect();
        let times = callers.into_iter();
        let times = times.map(|caller| caller.join().expect("the caller does not panic"));
        let mut times: Vec<_> = times.collect();
        times.sort_by(|one, other| one.1.total_cmp(&other.1));
        let longest = times
            .iter()
            .fold(0.0, |longest: f64, time| longest.max(time.0));
        assert!(
            longest > 1.4,
            "the latest time that callers honour: {times:?}"
        );
        // As no slot becomes free, they must not return at the same time.
        let span = times[REJECTED - 1].1 - times[0].1;
        assert!(span > 0.2, "{times:?}");
    });
}
