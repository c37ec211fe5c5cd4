//! The queue owner: drives the product's own queue, with a delay for each message to and from the entries.

use std::collections::VecDeque;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::code::Code;
use curlewlift_core::fleet::Fleet;
use curlewlift_core::fleet::Prefix;
use curlewlift_core::fleet::Spec;
use curlewlift_core::fleet::Tuning;
use curlewlift_core::id;
use curlewlift_core::queue;
use curlewlift_core::queue::Action;
use curlewlift_core::queue::Queue;
use curlewlift_core::queue::Report;
use curlewlift_core::queue::Ticket;
use curlewlift_core::unit::Rate;
use curlewlift_core::unit::Tokens;

use super::engine::EngineSpec;
use super::load::Request;

/// The time between a crash and the first grant of the next owner, in seconds: the lease, its drift, a renewal, and the
/// time during which the new owner only collects reports.
const FAILOVER_SECONDS: f64 = 3.0;

/// Maximum queued work in tokens.
const MAX_QUEUED_WORK: Tokens = Tokens(2_000_000);

/// A message of an entry to the owner.
#[derive(Clone, Debug)]
pub(super) enum Message {
    Request(usize, Box<Request>),
    Report(usize, Report),
}

/// A decision of the owner.
#[derive(Clone, Copy, Debug)]
pub(super) enum Decision {
    Send(usize, usize),
    Refuse(usize, Code),
}

/// The owner's queue, and the messages in flight.
#[derive(Debug)]
pub(super) struct Owner {
    queue: Queue,
    message_delay: f64,
    inbox: VecDeque<(f64, Message)>,
    outbox: VecDeque<(f64, Decision)>,
    dead_until: f64,
    engine_specs: Vec<EngineSpec>,
    tuning: Tuning,
    live: Vec<bool>,
    host: id::Host,
}

fn instant(seconds: f64) -> Instant {
    Instant::default() + Duration::from_secs_f64(seconds.max(0.0))
}

fn server(index: usize) -> id::Server {
    format!("m{index}").parse().expect("a valid name")
}

fn specs(engine_specs: &[EngineSpec], live: &[bool]) -> Vec<Spec> {
    let all = engine_specs
        .iter()
        .enumerate()
        .filter(|(index, _)| live[*index]);
    let to_spec = |(index, spec): (usize, &EngineSpec)| Spec {
        name: server(index),
        hall: format!("h{}", index % 3).parse().expect("a valid name"),
        slots: spec.full_speed_batch,
        prefill: Rate(spec.prefill as u64),
        decode: Rate(spec.decode as u64),
    };
    all.map(to_spec).collect()
}

impl Owner {
    pub(super) fn new(engine_specs: &[EngineSpec], message_delay: f64, tuning: Tuning) -> Self {
        let live = vec![true; engine_specs.len()];
        let mut fleet = Fleet::new(tuning);
        fleet.set_servers(specs(engine_specs, &live), instant(0.0));
        Self {
            queue: Queue::new(fleet, MAX_QUEUED_WORK),
            message_delay,
            inbox: VecDeque::new(),
            outbox: VecDeque::new(),
            dead_until: 0.0,
            engine_specs: engine_specs.to_vec(),
            tuning,
            live,
            host: "e1".parse().expect("a valid name"),
        }
    }

    pub(super) fn send(&mut self, message: Message, now: f64) {
        self.inbox.push_back((now + self.message_delay, message));
    }

    pub(super) fn drain(&mut self, engine: usize, now: f64) {
        self.live[engine] = false;
        let specs = specs(&self.engine_specs, &self.live);
        self.queue
            .update_fleet(|fleet| fleet.set_servers(specs, instant(now)), instant(now));
    }

    /// Crashes the owner; the entries report queued and running requests to the next one.
    pub(super) fn crash(
        &mut self,
        waiting: Vec<(usize, Request)>,
        running: Vec<(usize, Request, usize)>,
        now: f64,
    ) {
        self.dead_until = now + FAILOVER_SECONDS;
        let mut fleet = Fleet::new(self.tuning);
        fleet.set_servers(specs(&self.engine_specs, &self.live), instant(now));
        self.queue = Queue::new(fleet, MAX_QUEUED_WORK);
        self.inbox
            .retain(|(_, message)| matches!(message, Message::Report(..)));
        for (id, request, engine) in running {
            let queue_request = self.to_queue_request(id, &request);
            self.queue
                .restore_running(queue_request, &server(engine), instant(now));
        }
        for (id, request) in waiting {
            self.inbox
                .push_back((self.dead_until, Message::Request(id, Box::new(request))));
        }
    }

    /// Returns the decisions that have reached the entries by `now`.
    pub(super) fn step(&mut self, now: f64, tick: bool) -> Vec<Decision> {
        if now >= self.dead_until {
            self.receive(now);
            if tick {
                self.queue.tick(instant(now));
                self.collect_decisions(now);
            }
        }
        let mut ready = Vec::new();
        while self.outbox.front().is_some_and(|next| next.0 <= now) {
            ready.extend(self.outbox.pop_front().map(|next| next.1));
        }
        ready
    }

    fn receive(&mut self, now: f64) {
        while self.inbox.front().is_some_and(|next| next.0 <= now) {
            let Some((_, message)) = self.inbox.pop_front() else {
                return;
            };
            match message {
                Message::Request(id, request) => {
                    let queue_request = self.to_queue_request(id, &request);
                    self.queue.submit(queue_request, instant(now));
                }
                Message::Report(id, report) => {
                    let ticket = self.ticket(id);
                    self.queue.report(&ticket, report, instant(now));
                }
            }
            self.collect_decisions(now);
        }
    }

    fn collect_decisions(&mut self, now: f64) {
        for action in self.queue.take_actions() {
            let decision = match action {
                Action::Grant { ticket, pick } => {
                    let name = pick.name.as_str();
                    let engine = name[1..]
                        .parse()
                        .expect("the name contains the index of the engine");
                    Decision::Send(ticket.number.0 as usize, engine)
                }
                Action::Refuse { ticket, refusal } => {
                    Decision::Refuse(ticket.number.0 as usize, refusal.get_code())
                }
            };
            self.outbox.push_back((now + self.message_delay, decision));
        }
    }

    fn ticket(&self, id: usize) -> Ticket {
        Ticket {
            host: self.host.clone(),
            number: id::Ticket(id as u64),
        }
    }

    fn to_queue_request(&self, id: usize, request: &Request) -> queue::Request {
        queue::Request {
            ticket: self.ticket(id),
            customer: format!("u{}-{}", request.customer, request.rank)
                .parse()
                .expect("a valid name"),
            weight: 1,
            max_waiting: 2_000,
            rank: request.rank,
            prompt: Tokens(request.prompt),
            max_output: Tokens(request.max_output),
            prefixes: vec![Prefix {
                hash: request.prefix_group,
                length: Tokens(request.shared_prefix),
            }],
            attempt: 0,
            first_token_deadline: instant(request.arrival + request.first_token_limit_s),
            deadline: instant(request.arrival + request.response_limit_s),
        }
    }

    /// The lowest rank with a queued request.
    pub(super) fn lowest_waiting_rank(&self) -> Option<u8> {
        self.queue.lowest_waiting_rank()
    }
}
