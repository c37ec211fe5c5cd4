//! Builds requests and backend servers for the queue tests.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::fleet::Fleet;
use curlewlift_core::fleet::Spec;
use curlewlift_core::id;
use curlewlift_core::queue::Request;
use curlewlift_core::queue::Ticket;
use curlewlift_core::unit::Rate;
use curlewlift_core::unit::Tokens;

/// The instant `millis` milliseconds after the start of the test clock.
pub(crate) fn at(millis: u64) -> Instant {
    Instant::default() + Duration::from_millis(millis)
}

/// A ticket issued by the entry `e1`.
pub(crate) fn ticket(number: u64) -> Ticket {
    Ticket {
        host: "e1".parse().expect("a valid name"),
        number: id::Ticket(number),
    }
}

/// A request with a deadline far in the future.
pub(crate) fn request(number: u64, customer: &str, rank: u8, prompt: u64) -> Request {
    Request {
        ticket: ticket(number),
        customer: customer.parse().expect("a valid name"),
        weight: 1,
        max_waiting: 1_000,
        rank,
        prompt: Tokens(prompt),
        max_output: Tokens(10),
        prefixes: Vec::new(),
        attempt: 0,
        first_token_deadline: at(1_000_000),
        deadline: at(1_000_000),
    }
}

/// A backend server with these slots and token rates.
pub(crate) fn spec(name: &str, slots: u32, prefill: u64, decode: u64) -> Spec {
    Spec {
        name: name.parse().expect("a valid name"),
        hall: "a".parse().expect("a valid name"),
        slots,
        prefill: Rate(prefill),
        decode: Rate(decode),
    }
}

/// A fleet of these servers.
pub(crate) fn fleet(specs: Vec<Spec>) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.set_servers(specs, at(0));
    fleet
}
