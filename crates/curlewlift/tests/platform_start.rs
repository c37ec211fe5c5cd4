//! Requests that arrive before a gateway has its first routing table.
//!
//! Such a request must wait for the table instead of being refused at once: its caller may have no retry left, and on the
//! first start of a deployment no other host has a table either.

mod platform;

use std::thread;
use std::time::Duration;

use platform::Answer;
use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::wait;

/// The delay of the first table after the request: the gateway must let the caller wait at least this long.
const SHORT_TABLE_DELAY: Duration = Duration::from_millis(250);

/// The same for the first start of a deployment on a busy host: its first election and configuration
/// take longer than a second.
const LONG_TABLE_DELAY: Duration = Duration::from_millis(1_500);

/// Sends a request `table_delay` before the first table is put; a server must respond to it.
fn check_early_request(name: &str, table_delay: Duration) {
    let engine = Engine::start("i-1");
    let hosts = Hosts::start(folder(name), &[(&engine, "chat")]);
    let callers = hosts.callers(0);
    let early_caller = thread::spawn(move || {
        let head = "POST /safe/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: early\r\n\
                    X-Play: answer\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer key-ann";
        send_request(callers, head, "question")
    });
    thread::sleep(table_delay);
    hosts.configure(&document(7).to_string());
    wait("the caller gets a response", || early_caller.is_finished());
    let response: Answer = early_caller
        .join()
        .expect("the caller's thread does not panic");
    assert_eq!((response.status, response.body.as_str()), (200, "done"));
}

/// A request shortly before the first table waits for it: the caller may have no retry left.
#[test]
fn waits_for_table() {
    check_early_request("waits_for_table", SHORT_TABLE_DELAY);
}

/// On the first start of a whole deployment no other host has a table either, so a caller that is refused
/// after a second finds none elsewhere.
#[test]
fn first_start() {
    check_early_request("first_start", LONG_TABLE_DELAY);
}

/// A request with a short deadline is refused soon.
#[test]
fn short_deadline() {
    let engine = Engine::start("i-1");
    let hosts = Hosts::start(folder("short_deadline"), &[(&engine, "chat")]);
    let head = "POST /safe/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: soon\r\n\
                X-Deadline-Ms: 400\r\nAuthorization: Bearer key-ann";
    let response = send_request(hosts.callers(0), head, "question");
    assert_eq!(response.status, 503);
    assert!(response.body.contains("no-table"), "{}", response.body);
    assert!(response.header("retry-after").is_some());
}
