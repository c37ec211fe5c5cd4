//! Requests that come before a gateway has its first routing table.

mod platform;

use std::thread;
use std::time::Duration;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::ask;
use platform::document;
use platform::folder;
use platform::wait;

/// How long before the table the request comes: longer than a caller was once left to wait.
const BEFORE: Duration = Duration::from_millis(250);

/// The same of a deployment that starts for the first time on a busy machine: its first election and
/// configuration take longer than a second.
const LONG_BEFORE: Duration = Duration::from_millis(1_500);

/// A caller comes so long before the first table of all, and is answered by a server.
fn is_answered(name: &str, before: Duration) {
    let engine = Engine::start("i-1");
    let hosts = Hosts::start(folder(name), &[(&engine, "chat")]);
    let callers = hosts.callers(0);
    let early = thread::spawn(move || {
        let head = "POST /safe/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: early\r\n\
                    X-Play: answer\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer key-ann";
        ask(callers, head, "question")
    });
    thread::sleep(before);
    hosts.configure(&document(7).to_string());
    wait("the caller is answered", || early.is_finished());
    let answer: Answer = early.join().expect("it was answered");
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
}

/// A caller that comes shortly before the first table has no need to come back: it may have no further
/// try.
#[test]
fn waits_for_table() {
    is_answered("waits_for_table", BEFORE);
}

/// Where the whole deployment starts for the first time, no other host has a table either: sent away after a
/// second, a caller found none elsewhere.
#[test]
fn first_start() {
    is_answered("first_start", LONG_BEFORE);
}

/// One that has little time is told soon.
#[test]
fn little_time() {
    let engine = Engine::start("i-1");
    let hosts = Hosts::start(folder("little_time"), &[(&engine, "chat")]);
    let head = "POST /safe/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: soon\r\n\
                X-Deadline-Ms: 400\r\nAuthorization: Bearer key-ann";
    let answer = ask(hosts.callers(0), head, "question");
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("no-table"), "{}", answer.body);
    assert!(answer.header("retry-after").is_some());
}
