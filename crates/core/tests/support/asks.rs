//! Asks and servers for tests of the queue.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::fleet::Fleet;
use curlewlift_core::fleet::Spec;
use curlewlift_core::id;
use curlewlift_core::queue::Request;
use curlewlift_core::queue::Ticket;
use curlewlift_core::unit::Rate;
use curlewlift_core::unit::Tokens;

/// A moment so many milliseconds after the beginning.
pub(crate) fn at(millis: u64) -> Instant {
    Instant::default() + Duration::from_millis(millis)
}

/// A ticket of the entry `e1`.
pub(crate) fn ticket(number: u64) -> Ticket {
    Ticket {
        host: "e1".parse().expect("a name"),
        number: id::Ticket(number),
    }
}

/// An ask with a far deadline.
pub(crate) fn ask(number: u64, customer: &str, rank: u8, prompt: u64) -> Request {
    Request {
        ticket: ticket(number),
        customer: customer.parse().expect("a name"),
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

/// A server with slots and rates.
pub(crate) fn spec(name: &str, slots: u32, prefill: u64, decode: u64) -> Spec {
    Spec {
        name: name.parse().expect("a name"),
        hall: "a".parse().expect("a name"),
        slots,
        prefill: Rate(prefill),
        decode: Rate(decode),
    }
}

/// A fleet of these servers.
pub(crate) fn fleet(specs: Vec<Spec>) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.set(specs, at(0));
    fleet
}
