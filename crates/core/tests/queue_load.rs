//! The queue under load and faults: a slow server, a customer that floods it, long requests before
//! short ones, requests that can't be served in time, retries, a full queue, a change of the owner.
//!
//! Each of these must cost only the requests that cause it: others keep their servers, their shares
//! and their deadlines.

mod support;

use curlewlift_core::code::Code;
use curlewlift_core::queue::Action;
use curlewlift_core::queue::Queue;
use curlewlift_core::queue::Report;
use curlewlift_core::queue::Ticket;
use curlewlift_core::unit::Tokens;

use support::requests::at;
use support::requests::fleet;
use support::requests::request;
use support::requests::spec;
use support::requests::ticket;

/// Takes the queue's actions; returns the grants among them, with the names of the servers.
fn take_grants(queue: &mut Queue) -> Vec<(Ticket, String)> {
    let grants = queue
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Grant { ticket, pick } => Some((ticket, pick.name.to_string())),
            Action::Refuse { .. } => None,
        });
    grants.collect()
}

/// Takes the queue's actions; returns the result codes of the refusals among them.
fn take_refusals(queue: &mut Queue) -> Vec<Code> {
    let refusals = queue
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Refuse { refusal, .. } => Some(refusal.get_code()),
            Action::Grant { .. } => None,
        });
    refusals.collect()
}

/// Reports that a request has finished with a response of five tokens.
fn finish(queue: &mut Queue, ticket: &Ticket, now: u64) {
    queue.report(ticket, Report::FirstToken, at(now));
    let output = Tokens(5);
    queue.report(
        ticket,
        Report::Ended {
            output,
            cached: None,
        },
        at(now),
    );
}

/// New requests avoid a server that doesn't respond, within 1.5 s.
#[test]
fn slow_server() {
    let servers = vec![spec("slow", 8, 10_000, 100), spec("fine", 8, 10_000, 100)];
    let mut queue = Queue::new(fleet(servers), Tokens(u64::MAX));
    // One request goes to each server; `slow` never responds to its own.
    queue.submit(request(1, "a", 0, 1_000), at(0));
    queue.submit(request(2, "a", 0, 1_000), at(0));
    let first = take_grants(&mut queue);
    assert_eq!(first.len(), 2);
    let fine = first
        .iter()
        .find(|grant| grant.1 == "fine")
        .expect("one request is granted on each server");
    finish(&mut queue, &fine.0, 110);
    for now in (150..1_500).step_by(50) {
        queue.tick(at(now));
    }
    // After 1.5 s the queue's own observations are enough to send all new requests to the other
    // server.
    for number in 10..14 {
        queue.submit(request(number, "a", 0, 100), at(1_500));
        let granted = take_grants(&mut queue);
        assert_eq!(granted[0].1, "fine");
        finish(&mut queue, &granted[0].0, 1_510);
    }
}

/// A customer that floods the queue fills only its own part of it, and doesn't delay others.
#[test]
fn flooding_customer() {
    let mut queue = Queue::new(fleet(vec![spec("m", 1, 100_000, 100)]), Tokens(u64::MAX));
    for number in 0..5_000 {
        let mut flood = request(number, "flood", 1, 100);
        flood.max_waiting = 50;
        queue.submit(flood, at(0));
    }
    assert_eq!(queue.waiting_count(), 50, "the customer's queue is limited");
    assert_eq!(take_refusals(&mut queue).len(), 5_000 - 51);
    queue.submit(request(9_000, "calm", 1, 100), at(0));
    finish(&mut queue, &ticket(0), 10);
    assert_eq!(
        take_grants(&mut queue)[0].0,
        ticket(9_000),
        "the other customer is next"
    );
}

/// A short request with an early deadline isn't delayed by long ones of the same customer.
#[test]
fn short_behind_long() {
    let mut queue = Queue::new(fleet(vec![spec("m", 1, 10_000, 100)]), Tokens(u64::MAX));
    for number in 0..10 {
        let mut long = request(number, "a", 0, 50_000);
        long.deadline = at(300_000);
        queue.submit(long, at(0));
    }
    let mut short = request(100, "a", 0, 50);
    short.deadline = at(8_000);
    short.first_token_deadline = at(8_000);
    queue.submit(short, at(0));
    drop(queue.take_actions());
    finish(&mut queue, &ticket(0), 5_000);
    assert_eq!(
        take_grants(&mut queue)[0].0,
        ticket(100),
        "the request with the earliest deadline is next"
    );
}

/// A request that can't be served in time is refused before any work is spent on it.
#[test]
fn doomed_request() {
    let mut queue = Queue::new(fleet(vec![spec("m", 1, 1_000, 10)]), Tokens(u64::MAX));
    let mut doomed = request(1, "a", 0, 10_000);
    doomed.deadline = at(5_000);
    queue.submit(doomed, at(0));
    assert_eq!(
        take_refusals(&mut queue),
        [Code::CannotFinish],
        "it is refused before its prefill"
    );
    assert_eq!(queue.running_count(), 0);
}

/// Retries can't multiply the load: they are limited to a tenth of the first attempts, and ten
/// saved up.
#[test]
fn limited_retries() {
    let mut queue = Queue::new(fleet(vec![spec("m", 64, 100_000, 100)]), Tokens(u64::MAX));
    let mut granted = 0;
    for number in 0..100 {
        for attempt in 0..4 {
            let mut request = request(number, "a", 0, 100);
            request.attempt = attempt;
            queue.submit(request, at(number * 10));
            if let Some((ticket, _)) = take_grants(&mut queue).pop() {
                granted += 1;
                finish(&mut queue, &ticket, number * 10 + 1);
            }
        }
    }
    assert!(
        granted <= 100 + 10 + 10,
        "{granted} grants exceed 100 first attempts, 10 earned retries and 10 saved up"
    );
}

/// When the queue is full, only requests of the lowest tier are shed while that has any.
#[test]
fn lowest_tier_shed() {
    let mut queue = Queue::new(fleet(vec![spec("m", 1, 100_000, 100)]), Tokens(1_000));
    queue.submit(request(0, "a", 0, 100), at(0));
    for number in 1..9 {
        let rank = u8::try_from(number % 3).expect("a rank below 3 fits in a byte");
        queue.submit(request(number, "a", rank, 100), at(0));
    }
    drop(queue.take_actions());
    queue.submit(request(20, "b", 0, 400), at(0));
    let shed: Vec<_> = queue
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Refuse { ticket, refusal } => {
                assert_eq!(refusal.get_code(), Code::Shed);
                Some(ticket.number.0 % 3)
            }
            Action::Grant { .. } => None,
        })
        .collect();
    assert!(!shed.is_empty());
    assert!(
        shed.iter().all(|rank| *rank == 2),
        "only the lowest tier is shed, but the ranks are {shed:?}"
    );
}

/// A new owner grants nothing until it knows what runs already, and then counts the slots of that.
#[test]
fn new_owner() {
    let servers = || fleet(vec![spec("m", 1, 100_000, 100)]);
    let mut queue = Queue::new(servers(), Tokens(u64::MAX));
    queue.set_grants_held(true, at(0));
    queue.submit(request(2, "a", 0, 100), at(10));
    assert!(
        take_grants(&mut queue).is_empty(),
        "a new owner grants nothing yet"
    );
    let server = "m".parse().expect("a valid name");
    queue.restore_running(request(1, "a", 0, 100), &server, at(20));
    queue.set_grants_held(false, at(300));
    assert!(
        take_grants(&mut queue).is_empty(),
        "the only slot is taken by the request that runs already"
    );
    finish(&mut queue, &ticket(1), 400);
    assert_eq!(take_grants(&mut queue)[0].0, ticket(2));
}
