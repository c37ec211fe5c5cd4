//! The queue under load and trouble (rows L2 to L7).

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

fn grants(queue: &mut Queue) -> Vec<(Ticket, String)> {
    let grants = queue
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Grant { ticket, pick } => Some((ticket, pick.name.to_string())),
            Action::Refuse { .. } => None,
        });
    grants.collect()
}

fn refusals(queue: &mut Queue) -> Vec<Code> {
    let refusals = queue
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Refuse { refusal, .. } => Some(refusal.get_code()),
            Action::Grant { .. } => None,
        });
    refusals.collect()
}

fn end(queue: &mut Queue, ticket: &Ticket, now: u64) {
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

#[test]
fn slow_server() {
    let servers = vec![spec("slow", 8, 10_000, 100), spec("fine", 8, 10_000, 100)];
    let mut queue = Queue::new(fleet(servers), Tokens(u64::MAX));
    // One request goes to each; the one at `slow` hears nothing.
    queue.submit(request(1, "a", 0, 1_000), at(0));
    queue.submit(request(2, "a", 0, 1_000), at(0));
    let first = grants(&mut queue);
    assert_eq!(first.len(), 2);
    let fine = first
        .iter()
        .find(|grant| grant.1 == "fine")
        .expect("one went there");
    end(&mut queue, &fine.0, 110);
    for now in (150..1_500).step_by(50) {
        queue.tick(at(now));
    }
    // Within a second and a half new work goes to the other, on own evidence alone.
    for number in 10..14 {
        queue.submit(request(number, "a", 0, 100), at(1_500));
        let granted = grants(&mut queue);
        assert_eq!(granted[0].1, "fine");
        end(&mut queue, &granted[0].0, 1_510);
    }
}

#[test]
fn flooding_customer() {
    let mut queue = Queue::new(fleet(vec![spec("m", 1, 100_000, 100)]), Tokens(u64::MAX));
    for number in 0..5_000 {
        let mut flood = request(number, "flood", 1, 100);
        flood.max_waiting = 50;
        queue.submit(flood, at(0));
    }
    assert_eq!(queue.waiting_count(), 50, "its queue is bounded");
    assert_eq!(refusals(&mut queue).len(), 5_000 - 51);
    queue.submit(request(9_000, "calm", 1, 100), at(0));
    end(&mut queue, &ticket(0), 10);
    assert_eq!(grants(&mut queue)[0].0, ticket(9_000), "the other is next");
}

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
    end(&mut queue, &ticket(0), 5_000);
    assert_eq!(
        grants(&mut queue)[0].0,
        ticket(100),
        "its deadline comes first"
    );
}

#[test]
fn too_late() {
    let mut queue = Queue::new(fleet(vec![spec("m", 1, 1_000, 10)]), Tokens(u64::MAX));
    let mut hopeless = request(1, "a", 0, 10_000);
    hopeless.deadline = at(5_000);
    queue.submit(hopeless, at(0));
    assert_eq!(
        refusals(&mut queue),
        [Code::CannotFinish],
        "before prefill, not after it"
    );
    assert_eq!(queue.running_count(), 0);
}

#[test]
fn no_storm() {
    let mut queue = Queue::new(fleet(vec![spec("m", 64, 100_000, 100)]), Tokens(u64::MAX));
    let mut granted = 0;
    for number in 0..100 {
        for attempt in 0..4 {
            let mut request = request(number, "a", 0, 100);
            request.attempt = attempt;
            queue.submit(request, at(number * 10));
            if let Some((ticket, _)) = grants(&mut queue).pop() {
                granted += 1;
                end(&mut queue, &ticket, number * 10 + 1);
            }
        }
    }
    assert!(
        granted <= 100 + 10 + 10,
        "a tenth more, and what was saved up: {granted}"
    );
}

#[test]
fn lowest_first() {
    let mut queue = Queue::new(fleet(vec![spec("m", 1, 100_000, 100)]), Tokens(1_000));
    queue.submit(request(0, "a", 0, 100), at(0));
    for number in 1..9 {
        let rank = u8::try_from(number % 3).expect("small");
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
        "only the lowest tier: {shed:?}"
    );
}

#[test]
fn new_owner() {
    let servers = || fleet(vec![spec("m", 1, 100_000, 100)]);
    let mut queue = Queue::new(servers(), Tokens(u64::MAX));
    queue.set_grants_held(true, at(0));
    queue.submit(request(2, "a", 0, 100), at(10));
    assert!(grants(&mut queue).is_empty(), "it listens first");
    let server = "m".parse().expect("a name");
    queue.restore_running(request(1, "a", 0, 100), &server, at(20));
    queue.set_grants_held(false, at(300));
    assert!(
        grants(&mut queue).is_empty(),
        "the slot is taken by what runs already"
    );
    end(&mut queue, &ticket(1), 400);
    assert_eq!(grants(&mut queue)[0].0, ticket(2));
}
