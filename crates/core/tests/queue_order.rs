//! The queue against a plain one that looks at everything, and what holds over random histories.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures for people, far below where it matters"
)]

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use curlewlift_core::code::Code;
use curlewlift_core::queue::Action;
use curlewlift_core::queue::Queue;
use curlewlift_core::queue::Report;
use curlewlift_core::queue::Request;
use curlewlift_core::queue::Ticket;
use curlewlift_core::unit::Tokens;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use support::requests::at;
use support::requests::fleet;
use support::requests::request;
use support::requests::spec;

const HISTORIES: u64 = 300;
const STEPS: u64 = 300;
const CUSTOMERS: [&str; 4] = ["a", "b", "c", "d"];

/// Tokens that an answer is expected to have before anything is known: half of the most.
const EXPECTED: u64 = 5;

/// The plain queue: a list, looked through from end to end.
#[derive(Default)]
struct Plain {
    waiting: Vec<(u64, Request)>,
    had: BTreeMap<(u8, String), u64>,
    floor: BTreeMap<u8, u64>,
}

impl Plain {
    fn push(&mut self, order: u64, request: Request) {
        let key = (request.rank, request.customer.to_string());
        let floor = self.floor.get(&request.rank).copied().unwrap_or(0);
        let idle = !self
            .waiting
            .iter()
            .any(|(_, other)| (other.rank, other.customer.to_string()) == key);
        let had = self.had.entry(key).or_insert(0);
        if idle {
            *had = (*had).max(floor);
        }
        self.waiting.push((order, request));
    }

    fn pop(&mut self) -> Option<Request> {
        let rank_of = |entry: &(u64, Request)| {
            let request = &entry.1;
            let had = self.had[&(request.rank, request.customer.to_string())];
            (
                request.rank,
                had,
                request.customer.to_string(),
                request.deadline,
                entry.0,
            )
        };
        let place = (0..self.waiting.len()).min_by_key(|place| rank_of(&self.waiting[*place]))?;
        let (_, request) = self.waiting.remove(place);
        let had = self
            .had
            .get_mut(&(request.rank, request.customer.to_string()))?;
        let floor = self.floor.entry(request.rank).or_insert(0);
        *floor = (*floor).max(*had);
        *had += (request.prompt.0 + EXPECTED) * 1_000 / u64::from(request.weight);
        Some(request)
    }
}

fn draw(g: &mut Gen, number: u64) -> Request {
    let customer = CUSTOMERS[usize::arbitrary(g) % CUSTOMERS.len()];
    let mut request = request(
        number,
        customer,
        u8::arbitrary(g) % 3,
        u64::arbitrary(g) % 1_000 + 1,
    );
    request.weight = match customer {
        "a" => 4,
        _ => 1,
    };
    request.deadline = at(500_000 + u64::arbitrary(g) % 1_000);
    request.first_token_deadline = request.deadline;
    request
}

#[test]
fn same_order() {
    for seed in 0..HISTORIES {
        let mut g = Gen::from_size_and_seed(100, seed);
        let mut queue = Queue::new(
            fleet(vec![spec("m", 1, 1_000_000, 1_000)]),
            Tokens(u64::MAX),
        );
        let mut plain = Plain::default();
        let mut running: Option<Ticket> = None;
        for number in 0..STEPS {
            if u8::arbitrary(&mut g) < 150 {
                let request = draw(&mut g, number);
                plain.push(number, request.clone());
                queue.submit(request, at(number));
            } else if let Some(ticket) = running.take() {
                // The length of answers is not learnt here, so that costs stay as they are told.
                let output = Tokens(0);
                queue.report(
                    &ticket,
                    Report::Ended {
                        output,
                        cached: None,
                    },
                    at(number),
                );
            }
            for action in queue.take_actions() {
                let Action::Grant { ticket, .. } = action else {
                    panic!("nothing is refused")
                };
                let expected = plain.pop().expect("something waits");
                assert_eq!(ticket, expected.ticket, "seed {seed}");
                running = Some(ticket);
            }
        }
    }
}

#[test]
fn one_place() {
    for seed in 0..HISTORIES {
        let mut g = Gen::from_size_and_seed(100, seed);
        let servers = vec![spec("m", 2, 100_000, 100), spec("n", 3, 50_000, 50)];
        let mut queue = Queue::new(fleet(servers), Tokens(5_000));
        let mut waiting: BTreeMap<Ticket, u8> = BTreeMap::new();
        let mut running = BTreeSet::new();
        for number in 0..STEPS {
            let now = at(number * 10);
            match u8::arbitrary(&mut g) {
                0..=139 => {
                    let mut request = draw(&mut g, number);
                    request.deadline = at(number * 10 + 200 + u64::arbitrary(&mut g) % 2_000);
                    request.first_token_deadline = request.deadline;
                    waiting.insert(request.ticket.clone(), request.rank);
                    queue.submit(request, now);
                }
                140..=199 => {
                    if let Some(ticket) = running.pop_first() {
                        queue.report(&ticket, Report::FirstToken, now);
                        let output = Tokens(5);
                        queue.report(
                            &ticket,
                            Report::Ended {
                                output,
                                cached: None,
                            },
                            now,
                        );
                    }
                }
                200..=219 => {
                    if let Some((ticket, _)) = waiting.pop_first() {
                        queue.cancel(&ticket, now);
                    }
                }
                _ => queue.tick(now),
            }
            for action in queue.take_actions() {
                match action {
                    Action::Grant { ticket, .. } => {
                        assert!(waiting.remove(&ticket).is_some(), "seed {seed}: {ticket}");
                        assert!(running.insert(ticket), "a ticket runs once");
                    }
                    Action::Refuse { ticket, refusal } => {
                        let rank = waiting.remove(&ticket).expect("it waited");
                        let lower = queue
                            .lowest_waiting_rank()
                            .is_some_and(|lowest| lowest > rank);
                        let shed = refusal.get_code() == Code::Shed;
                        assert!(!(shed && lower), "seed {seed}: a lower tier waits still");
                    }
                }
            }
            assert_eq!(
                queue.waiting_count(),
                waiting.len(),
                "seed {seed} step {number}"
            );
            assert_eq!(
                queue.running_count(),
                running.len(),
                "seed {seed} step {number}"
            );
        }
    }
}

#[test]
fn fair_shares() {
    let mut queue = Queue::new(
        fleet(vec![spec("m", 1, 1_000_000, 1_000)]),
        Tokens(u64::MAX),
    );
    let mut g = Gen::from_size_and_seed(100, 7);
    let mut prompts = BTreeMap::new();
    for number in 0..2_000 {
        let customer = ["a", "b"][number as usize % 2];
        let mut request = request(number, customer, 0, u64::arbitrary(&mut g) % 5_000 + 1);
        request.weight = if customer == "a" { 3 } else { 1 };
        request.max_waiting = 2_000;
        prompts.insert(
            request.ticket.clone(),
            (customer, request.prompt.0 + EXPECTED),
        );
        queue.submit(request, at(0));
    }
    let mut had = BTreeMap::from([("a", 0.0), ("b", 0.0)]);
    // The first grant came before the others waited; from then on both always wait.
    for step in 0..1_000 {
        let mut granted = None;
        for action in queue.take_actions() {
            let Action::Grant { ticket, .. } = action else {
                panic!("nothing is refused")
            };
            granted = Some(ticket);
        }
        let ticket = granted.expect("something is granted");
        let (customer, cost) = prompts[&ticket];
        let weight = if customer == "a" { 3.0 } else { 1.0 };
        *had.get_mut(customer).expect("known") += cost as f64 / weight;
        let apart = (had["a"] - had["b"]).abs();
        assert!(apart <= 2.0 * 5_010.0, "step {step}: {apart} tokens apart");
        queue.report(
            &ticket,
            Report::Ended {
                output: Tokens(0),
                cached: None,
            },
            at(0),
        );
    }
}
