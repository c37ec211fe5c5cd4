//! Drives the product's own queue: asks and reports take a way, grants take a way back.

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

use super::engine::Build;
use super::load::Request;

/// Between a death and the next owner's first grant, in seconds: the lease, its drift, a renewal
/// and the time of listening.
const PAUSE: f64 = 3.0;

/// Work that may wait, in tokens.
const LIMIT: Tokens = Tokens(2_000_000);

/// What an entry says to the owner.
#[derive(Clone, Debug)]
pub(super) enum Word {
    Ask(usize, Box<Request>),
    Report(usize, Report),
}

/// What the owner decided.
#[derive(Clone, Copy, Debug)]
pub(super) enum Verdict {
    Send(usize, usize),
    Refuse(usize, Code),
}

/// The owner's queue, and the messages on their way.
#[derive(Debug)]
pub(super) struct Owner {
    queue: Queue,
    way: f64,
    inbox: VecDeque<(f64, Word)>,
    outbox: VecDeque<(f64, Verdict)>,
    dead_until: f64,
    builds: Vec<Build>,
    tuning: Tuning,
    live: Vec<bool>,
    host: id::Host,
}

fn instant(seconds: f64) -> Instant {
    Instant::default() + Duration::from_secs_f64(seconds.max(0.0))
}

fn server(place: usize) -> id::Server {
    format!("m{place}").parse().expect("a name")
}

fn specs(builds: &[Build], live: &[bool]) -> Vec<Spec> {
    let all = builds.iter().enumerate().filter(|(place, _)| live[*place]);
    let spec = |(place, build): (usize, &Build)| Spec {
        name: server(place),
        hall: format!("h{}", place % 3).parse().expect("a name"),
        slots: build.knee,
        prefill: Rate(build.prefill as u64),
        decode: Rate(build.decode as u64),
    };
    all.map(spec).collect()
}

impl Owner {
    pub(super) fn new(builds: &[Build], way: f64, tuning: Tuning) -> Self {
        let live = vec![true; builds.len()];
        let mut fleet = Fleet::new(tuning);
        fleet.set_servers(specs(builds, &live), instant(0.0));
        Self {
            queue: Queue::new(fleet, LIMIT),
            way,
            inbox: VecDeque::new(),
            outbox: VecDeque::new(),
            dead_until: 0.0,
            builds: builds.to_vec(),
            tuning,
            live,
            host: "e1".parse().expect("a name"),
        }
    }

    pub(super) fn say(&mut self, word: Word, now: f64) {
        self.inbox.push_back((now + self.way, word));
    }

    pub(super) fn leave(&mut self, engine: usize, now: f64) {
        self.live[engine] = false;
        let specs = specs(&self.builds, &self.live);
        self.queue
            .update_fleet(|fleet| fleet.set_servers(specs, instant(now)), instant(now));
    }

    /// The owner dies; the next one is told again what waits and what runs.
    pub(super) fn die(
        &mut self,
        waiting: Vec<(usize, Request)>,
        running: Vec<(usize, Request, usize)>,
        now: f64,
    ) {
        self.dead_until = now + PAUSE;
        let mut fleet = Fleet::new(self.tuning);
        fleet.set_servers(specs(&self.builds, &self.live), instant(now));
        self.queue = Queue::new(fleet, LIMIT);
        self.inbox
            .retain(|(_, word)| matches!(word, Word::Report(..)));
        for (id, request, engine) in running {
            let ask = self.ask(id, &request);
            self.queue
                .restore_running(ask, &server(engine), instant(now));
        }
        for (id, request) in waiting {
            self.inbox
                .push_back((self.dead_until, Word::Ask(id, Box::new(request))));
        }
    }

    /// What the owner has decided by `now`.
    pub(super) fn step(&mut self, now: f64, tick: bool) -> Vec<Verdict> {
        if now >= self.dead_until {
            self.hear(now);
            if tick {
                self.queue.tick(instant(now));
                self.answer(now);
            }
        }
        let mut ready = Vec::new();
        while self.outbox.front().is_some_and(|first| first.0 <= now) {
            ready.extend(self.outbox.pop_front().map(|first| first.1));
        }
        ready
    }

    fn hear(&mut self, now: f64) {
        while self.inbox.front().is_some_and(|first| first.0 <= now) {
            let Some((_, word)) = self.inbox.pop_front() else {
                return;
            };
            match word {
                Word::Ask(id, request) => {
                    let ask = self.ask(id, &request);
                    self.queue.submit(ask, instant(now));
                }
                Word::Report(id, report) => {
                    let ticket = self.ticket(id);
                    self.queue.report(&ticket, report, instant(now));
                }
            }
            self.answer(now);
        }
    }

    fn answer(&mut self, now: f64) {
        for action in self.queue.take_actions() {
            let verdict = match action {
                Action::Grant { ticket, pick } => {
                    let name = pick.name.as_str();
                    let engine = name[1..].parse().expect("an engine's place");
                    Verdict::Send(ticket.number.0 as usize, engine)
                }
                Action::Refuse { ticket, refusal } => {
                    Verdict::Refuse(ticket.number.0 as usize, refusal.get_code())
                }
            };
            self.outbox.push_back((now + self.way, verdict));
        }
    }

    fn ticket(&self, id: usize) -> Ticket {
        Ticket {
            host: self.host.clone(),
            number: id::Ticket(id as u64),
        }
    }

    fn ask(&self, id: usize, request: &Request) -> queue::Request {
        queue::Request {
            ticket: self.ticket(id),
            customer: format!("u{}-{}", request.customer, request.rank)
                .parse()
                .expect("a name"),
            weight: 1,
            max_waiting: 2_000,
            rank: request.rank,
            prompt: Tokens(request.prompt),
            max_output: Tokens(request.most),
            prefixes: vec![Prefix {
                hash: request.group,
                length: Tokens(request.common),
            }],
            attempt: 0,
            first_token_deadline: instant(request.arrival + request.first),
            deadline: instant(request.arrival + request.whole),
        }
    }

    /// The lowest tier that waits.
    pub(super) fn lowest(&self) -> Option<u8> {
        self.queue.lowest_waiting_rank()
    }
}
