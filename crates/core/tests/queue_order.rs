//! The order of the queue, compared with a plain list, and its invariants over random histories.
//!
//! The queue keeps several indexes of the same requests. If they diverged, requests would be
//! granted in the wrong order, twice, or never.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the numbers are far below the limits of the types"
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

const HISTORY_COUNT: u64 = 300;
const STEPS_PER_HISTORY: u64 = 300;
const CUSTOMER_NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// The tokens that a response is expected to have before any length is known: half of the maximum.
const EXPECTED_OUTPUT: u64 = 5;

/// The reference: a list that is searched from end to end.
#[derive(Default)]
struct ReferenceQueue {
    /// The arrival number and the request.
    waiting: Vec<(u64, Request)>,
    /// The virtual time of each customer in each tier.
    customer_time: BTreeMap<(u8, String), u64>,
    /// The virtual time of each tier.
    tier_time: BTreeMap<u8, u64>,
}

impl ReferenceQueue {
    fn push(&mut self, arrival: u64, request: Request) {
        let key = (request.rank, request.customer.to_string());
        let tier_time = self.tier_time.get(&request.rank).copied().unwrap_or(0);
        let is_idle = !self
            .waiting
            .iter()
            .any(|(_, other)| (other.rank, other.customer.to_string()) == key);
        let customer_time = self.customer_time.entry(key).or_insert(0);
        if is_idle {
            *customer_time = (*customer_time).max(tier_time);
        }
        self.waiting.push((arrival, request));
    }

    fn pop(&mut self) -> Option<Request> {
        let order_of = |queued: &(u64, Request)| {
            let request = &queued.1;
            let customer_time = self.customer_time[&(request.rank, request.customer.to_string())];
            (
                request.rank,
                customer_time,
                request.customer.to_string(),
                request.deadline,
                queued.0,
            )
        };
        let index = (0..self.waiting.len()).min_by_key(|index| order_of(&self.waiting[*index]))?;
        let (_, request) = self.waiting.remove(index);
        let customer_time = self
            .customer_time
            .get_mut(&(request.rank, request.customer.to_string()))?;
        let tier_time = self.tier_time.entry(request.rank).or_insert(0);
        *tier_time = (*tier_time).max(*customer_time);
        *customer_time += (request.prompt.0 + EXPECTED_OUTPUT) * 1_000 / u64::from(request.weight);
        Some(request)
    }
}

/// A random request; the customer `a` has four times the weight of the others.
fn random_request(g: &mut Gen, number: u64) -> Request {
    let customer = CUSTOMER_NAMES[usize::arbitrary(g) % CUSTOMER_NAMES.len()];
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

/// The queue grants requests in the same order as the reference.
#[test]
fn same_order() {
    for seed in 0..HISTORY_COUNT {
        let mut g = Gen::from_size_and_seed(100, seed);
        let mut queue = Queue::new(
            fleet(vec![spec("m", 1, 1_000_000, 1_000)]),
            Tokens(u64::MAX),
        );
        let mut reference = ReferenceQueue::default();
        let mut running: Option<Ticket> = None;
        for number in 0..STEPS_PER_HISTORY {
            if u8::arbitrary(&mut g) < 150 {
                let request = random_request(&mut g, number);
                reference.push(number, request.clone());
                queue.submit(request, at(number));
            } else if let Some(ticket) = running.take() {
                // Responses without tokens teach the queue no lengths, so costs stay as the
                // reference has them.
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
                    panic!("a request was refused")
                };
                let expected = reference.pop().expect("the reference has a request queued");
                assert_eq!(ticket, expected.ticket, "seed {seed}");
                running = Some(ticket);
            }
        }
    }
}

/// A request is queued, running, or finished, never two of these; and none is shed while a lower
/// tier has any queued.
#[test]
fn one_state() {
    for seed in 0..HISTORY_COUNT {
        let mut g = Gen::from_size_and_seed(100, seed);
        let servers = vec![spec("m", 2, 100_000, 100), spec("n", 3, 50_000, 50)];
        let mut queue = Queue::new(fleet(servers), Tokens(5_000));
        let mut waiting: BTreeMap<Ticket, u8> = BTreeMap::new();
        let mut running = BTreeSet::new();
        for number in 0..STEPS_PER_HISTORY {
            let now = at(number * 10);
            match u8::arbitrary(&mut g) {
                0..=139 => {
                    let mut request = random_request(&mut g, number);
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
                        assert!(running.insert(ticket), "seed {seed}: a ticket runs twice");
                    }
                    Action::Refuse { ticket, refusal } => {
                        let rank = waiting.remove(&ticket).expect("it was queued");
                        let has_lower = queue
                            .lowest_waiting_rank()
                            .is_some_and(|lowest| lowest > rank);
                        let is_shed = refusal.get_code() == Code::Shed;
                        assert!(
                            !(is_shed && has_lower),
                            "seed {seed}: a lower tier has requests queued"
                        );
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

/// While two customers both have requests queued, the tokens granted to them over their weights
/// stay close.
#[test]
fn fair_shares() {
    let mut queue = Queue::new(
        fleet(vec![spec("m", 1, 1_000_000, 1_000)]),
        Tokens(u64::MAX),
    );
    let mut g = Gen::from_size_and_seed(100, 7);
    let mut requests = BTreeMap::new();
    for number in 0..2_000 {
        let customer = ["a", "b"][number as usize % 2];
        let mut request = request(number, customer, 0, u64::arbitrary(&mut g) % 5_000 + 1);
        request.weight = if customer == "a" { 3 } else { 1 };
        request.max_waiting = 2_000;
        requests.insert(
            request.ticket.clone(),
            (customer, request.prompt.0 + EXPECTED_OUTPUT),
        );
        queue.submit(request, at(0));
    }
    let mut weighted_tokens = BTreeMap::from([("a", 0.0), ("b", 0.0)]);
    // The first request was granted before others were queued; from then on both customers always
    // have some queued.
    for step in 0..1_000 {
        let mut granted = None;
        for action in queue.take_actions() {
            let Action::Grant { ticket, .. } = action else {
                panic!("a request was refused")
            };
            granted = Some(ticket);
        }
        let ticket = granted.expect("a request is granted");
        let (customer, cost) = requests[&ticket];
        let weight = if customer == "a" { 3.0 } else { 1.0 };
        *weighted_tokens
            .get_mut(customer)
            .expect("the customer is known") += cost as f64 / weight;
        let difference = (weighted_tokens["a"] - weighted_tokens["b"]).abs();
        assert!(
            difference <= 2.0 * 5_010.0,
            "step {step}: the shares differ by {difference} tokens"
        );
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
