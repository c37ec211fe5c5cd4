//! Measures one scheduling decision: a request is added to a full queue and another one is granted, by number of
//! servers and of queued requests.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use curlewlift_core::clock::Instant;
use curlewlift_core::fleet::Fleet;
use curlewlift_core::fleet::Prefix;
use curlewlift_core::fleet::Spec;
use curlewlift_core::id;
use curlewlift_core::queue::Action;
use curlewlift_core::queue::Queue;
use curlewlift_core::queue::Report;
use curlewlift_core::queue::Request;
use curlewlift_core::queue::Ticket;
use curlewlift_core::unit::Rate;
use curlewlift_core::unit::Tokens;

/// The number of customers of the deployment size that the design aims at.
const CUSTOMERS: u64 = 470;

/// The number of data halls.
const HALLS: usize = 6;

/// Prompt tokens per second of each hardware generation.
const PREFILL_RATES: [u64; 3] = [8_000, 4_000, 2_000];

struct Bench {
    queue: Queue,
    customers: Vec<id::Customer>,
    host: id::Host,
    number: u64,
    running: std::collections::VecDeque<Ticket>,
    now: Instant,
}

fn server_spec(index: usize) -> Spec {
    Spec {
        name: format!("m{index}").parse().expect("a valid name"),
        hall: format!("h{}", index % HALLS).parse().expect("a valid name"),
        slots: 16,
        prefill: Rate(PREFILL_RATES[index % 3]),
        decode: Rate(40),
    }
}

impl Bench {
    fn new(servers: usize, waiting: usize) -> Self {
        let mut fleet = Fleet::default();
        fleet.set_servers((0..servers).map(server_spec).collect(), Instant::default());
        let customers = (0..CUSTOMERS).map(|n| format!("u{n}").parse().expect("a valid name"));
        let mut bench = Self {
            queue: Queue::new(fleet, Tokens(u64::MAX)),
            customers: customers.collect(),
            host: "e1".parse().expect("a valid name"),
            number: 0,
            running: std::collections::VecDeque::new(),
            now: Instant::default(),
        };
        while bench.queue.waiting_count() < waiting {
            bench.submit();
        }
        bench
    }

    fn submit(&mut self) {
        self.number += 1;
        let far_deadline =
            self.now + Duration::from_secs(100_000) + Duration::from_micros(self.number);
        let index = usize::try_from(self.number % CUSTOMERS).expect("fits");
        let request = Request {
            ticket: Ticket {
                host: self.host.clone(),
                number: id::Ticket(self.number),
            },
            customer: self.customers[index].clone(),
            weight: 1,
            max_waiting: u32::MAX,
            rank: u8::try_from(self.number % 4).expect("fits"),
            prompt: Tokens(200 + self.number % 500),
            max_output: Tokens(200),
            prefixes: vec![Prefix {
                hash: self.number % 10_000,
                length: Tokens(100),
            }],
            attempt: 0,
            first_token_deadline: far_deadline,
            deadline: far_deadline,
        };
        self.queue.submit(request, self.now);
        self.take_grants();
    }

    fn take_grants(&mut self) {
        for action in self.queue.take_actions() {
            if let Action::Grant { ticket, .. } = action {
                self.running.push_back(ticket);
            }
        }
    }

    /// Submits a request and finishes a running one: three events and one choice of a server.
    fn run_request(&mut self) {
        self.now = self.now + Duration::from_micros(260);
        self.submit();
        let Some(ticket) = self.running.pop_front() else {
            return;
        };
        self.queue.report(&ticket, Report::FirstToken, self.now);
        let output = Tokens(100);
        self.queue.report(
            &ticket,
            Report::Ended {
                output,
                cached: None,
            },
            self.now,
        );
        self.take_grants();
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("turn");
    for servers in [10, 100, 1_800] {
        for waiting in [10, 1_000, 100_000] {
            let mut bench = Bench::new(servers, waiting);
            let name = BenchmarkId::new(format!("{servers} servers"), waiting);
            group.bench_function(name, |b| b.iter(|| black_box(&mut bench).run_request()));
        }
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
