//! Random histories of operators' orders: no order is carried out after one that was given when its operator had given it
//! up, or later than operators wait for a response.
//!
//! Two operators give orders about the same through hosts that are suspended, over calls that take long, to leaders that are
//! suspended and lost. An operator without a response closes its connection and gives the order to another host.
//! `HISTORIES=20000` runs more of them; `--nocapture` shows the figures.

mod support;

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::order::MAX_AGE;
use curlewlift_core::order::Precondition;
use curlewlift_core::order::Sequence;
use curlewlift_core::order::Subject;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::network::Network;
use support::time::ms;

const HOSTS: usize = 4;
/// The number of the leader among those that are suspended.
const LEADER: usize = HOSTS;
/// How long most operators wait for a response, in milliseconds.
const WAIT_MS: u64 = 1_000;
const HISTORY_MS: u64 = 20_000;

/// A check that is left out on purpose, to show that the histories notice it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flaw {
    None,
    /// Every order is taken for one that was just sent.
    NoAge,
    /// The leader accepts an order although another one was accepted since.
    NoCount,
    /// Hosts send an order on although its connection has ended.
    NoConnection,
    /// A new leader accepts what was sent to the former one.
    NoLeader,
}

/// One sending of an order; times in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Sending {
    operator: usize,
    host: usize,
    sent_at: u64,
    /// When it is in the socket of its host.
    arrived_at: u64,
    /// When its host can read that its operator has closed the connection.
    end_read_at: u64,
    /// When its operator heard that it is refused, or stopped waiting.
    given_up_at: Option<u64>,
    acknowledged_at: Option<u64>,
    /// When the leader accepted it.
    accepted_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// An operator gives its next order.
    Give(usize),
    /// The leader is asked for its position.
    Ask(usize),
    /// The leader receives the order.
    Call(usize, Precondition),
    /// The operator hears whether the order is accepted, or waits no longer.
    Answer(usize, bool),
    LoseLeader,
}

struct History {
    rng: SmallRng,
    flaw: Flaw,
    events: Network<Event>,
    sendings: Vec<Sending>,
    /// Who is suspended, from when and until when.
    suspensions: Vec<(usize, u64, u64)>,
    sequence: Sequence,
    leaders: u64,
    /// The accepted orders.
    log: Vec<usize>,
}

impl History {
    fn run(seed: u64, flaw: Flaw) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut events = Network::new();
        events.send(0, Event::Give(0));
        events.send(300, Event::Give(1));
        for _ in 0..rng.random_range(0..4) {
            events.send(rng.random_range(0..HISTORY_MS), Event::LoseLeader);
        }
        let mut suspension = |_| {
            let from = rng.random_range(0..HISTORY_MS);
            let until = from + rng.random_range(100..4_000);
            (rng.random_range(0..=LEADER), from, until)
        };
        let suspensions = (0..seed % 20).map(&mut suspension).collect();
        let mut history = Self {
            rng,
            flaw,
            events,
            sendings: Vec::new(),
            suspensions,
            sequence: Sequence::new(1),
            leaders: 1,
            log: Vec::new(),
        };
        for now in 0..HISTORY_MS {
            while let Some(event) = history.events.receive(now) {
                history.on_event(event, now);
            }
        }
        history
    }

    /// When a message arrives that is sent now: after some milliseconds, and sometimes much later.
    fn arrival(&mut self, now: u64) -> u64 {
        let is_slow = self.rng.random_bool(0.05);
        now + self
            .rng
            .random_range(if is_slow { 20..2_500 } else { 1..20 })
    }

    /// When `who` handles what has arrived at `time`.
    fn resumed(&self, who: usize, time: u64) -> u64 {
        let mut suspensions = self.suspensions.iter();
        let suspension = suspensions
            .find(|(suspended, from, until)| *suspended == who && (*from..*until).contains(&time));
        suspension.map_or(time, |(_, _, until)| self.resumed(who, *until))
    }

    fn on_event(&mut self, event: Event, now: u64) {
        match event {
            Event::Give(operator) => self.give(operator, now),
            Event::Ask(number) => self.ask(number, now),
            Event::Call(number, precondition) => {
                let accepted = self.accept(number, precondition, now);
                let arrival = self.arrival(now);
                let read_at = self.resumed(self.sendings[number].host, arrival);
                let heard_at = self.arrival(read_at);
                self.events.send(heard_at, Event::Answer(number, accepted));
            }
            Event::Answer(number, accepted) => self.end(number, accepted, now),
            Event::LoseLeader => {
                self.leaders += u64::from(self.flaw != Flaw::NoLeader);
                self.sequence = Sequence::new(self.leaders);
            }
        }
    }

    fn give(&mut self, operator: usize, now: u64) {
        let number = self.sendings.len();
        let host = self.rng.random_range(0..HOSTS);
        let arrived_at = self.arrival(now);
        let is_impatient = self.rng.random_bool(0.2);
        let wait = self.rng.random_range(if is_impatient {
            100..WAIT_MS
        } else {
            WAIT_MS..1_200
        });
        // The end arrives behind the order, unless the path is cut after that, and the operator waits in vain.
        let is_cut = !is_impatient && arrived_at < now + 20 && self.rng.random_bool(0.5);
        let end_read_at = self.resumed(host, arrived_at.max(now + wait));
        self.sendings.push(Sending {
            operator,
            host,
            sent_at: now,
            arrived_at,
            end_read_at: if is_cut { u64::MAX } else { end_read_at },
            ..Sending::default()
        });
        let asked_at = self.arrival(self.resumed(host, arrived_at));
        let asked_at = self.resumed(LEADER, asked_at);
        self.events.send(asked_at, Event::Ask(number));
        self.events.send(now + wait, Event::Answer(number, false));
    }

    /// The host receives the leader's position, and sends the order with its precondition.
    fn ask(&mut self, number: usize, now: u64) {
        let position = self.sequence.position(ms(now));
        let Sending {
            host,
            arrived_at,
            end_read_at,
            ..
        } = self.sendings[number];
        let arrival = self.arrival(now);
        let read_at = self.resumed(host, arrival);
        if end_read_at <= read_at && self.flaw != Flaw::NoConnection {
            return;
        }
        let age = if self.flaw == Flaw::NoAge {
            0
        } else {
            read_at - arrived_at
        };
        let arrival = self.arrival(read_at);
        match position.precondition(Duration::from_millis(age)) {
            Ok(precondition) => {
                let called_at = self.resumed(LEADER, arrival);
                self.events
                    .send(called_at, Event::Call(number, precondition));
            }
            Err(_) => self.events.send(arrival, Event::Answer(number, false)),
        }
    }

    fn accept(&mut self, number: usize, mut precondition: Precondition, now: u64) -> bool {
        match self.flaw {
            Flaw::NoAge => precondition.latest = Instant(u64::MAX),
            Flaw::NoCount => precondition.accepted = u64::MAX,
            _ => {}
        }
        let subject = Subject::Hall("a".into());
        let accepted = self
            .sequence
            .accept(&precondition, subject, ms(now))
            .is_ok();
        if accepted {
            self.log.push(number);
            self.sendings[number].accepted_at = Some(now);
        }
        accepted
    }

    /// The operator hears the result, or waits no longer.
    fn end(&mut self, number: usize, accepted: bool, now: u64) {
        let sending = &mut self.sendings[number];
        if sending.acknowledged_at.is_some() || sending.given_up_at.is_some() {
            return;
        }
        if accepted {
            sending.acknowledged_at = Some(now);
        } else {
            sending.given_up_at = Some(now);
        }
        let next = Event::Give(sending.operator);
        let pause = self.rng.random_range(1..600);
        self.events.send(now + pause, next);
    }

    /// Whether an order in the log is too late: by `is_late`, of its acceptance, when its operator gave it up, and an order
    /// before it.
    fn has_late(&self, is_late: impl Fn(u64, u64, &Sending) -> bool) -> bool {
        let mut log = self.log.iter().enumerate();
        log.any(|(index, number)| {
            let order = self.sendings[*number];
            let accepted = order.accepted_at.unwrap_or(u64::MAX);
            let given_up = order.given_up_at.unwrap_or(u64::MAX);
            let mut before = self.log[..index].iter();
            ms(accepted) > ms(order.arrived_at) + MAX_AGE
                || before.any(|other| is_late(accepted, given_up, &self.sendings[*other]))
        })
    }
}

/// An order that was given up undoes no other, and most orders are carried out. Each check is needed: without it, some
/// history has such an order.
#[test]
fn undoes_nothing() {
    let histories = std::env::var("HISTORIES").ok();
    let histories = histories
        .and_then(|count| count.parse().ok())
        .unwrap_or(2_000);
    for flaw in [
        Flaw::None,
        Flaw::NoAge,
        Flaw::NoCount,
        Flaw::NoConnection,
        Flaw::NoLeader,
    ] {
        let (mut late, mut overlapped, mut sent, mut acknowledged) = (0, 0, 0, 0);
        for seed in 0..histories {
            let history = History::run(seed, flaw);
            late += u64::from(history.has_late(|_, given_up, before| before.sent_at > given_up));
            // An operator that leaves early may do so while its order is on its way to the leader.
            overlapped += u64::from(history.has_late(|accepted, given_up, before| {
                let acknowledged = before.acknowledged_at;
                acknowledged.is_some_and(|at| given_up < at && at < accepted)
            }));
            sent += history.sendings.len();
            let sendings = history.sendings.iter();
            acknowledged += sendings
                .filter(|sending| sending.acknowledged_at.is_some())
                .count();
        }
        println!(
            "{flaw:?}: {late} late, {overlapped} overlapped, {acknowledged} of {sent} acknowledged"
        );
        assert_eq!(late > 0, flaw != Flaw::None, "{flaw:?}: {late} histories");
        assert!(
            acknowledged * 2 > sent,
            "{flaw:?}: {acknowledged} of {sent}"
        );
    }
}
