//! The queue of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;
use crate::code::Code;
use crate::code::Refusal;
use crate::fleet::Fleet;
use crate::fleet::Pick;
use crate::fleet::Time;
use crate::fleet::Work;
use crate::id;
use crate::unit::Tokens;

use super::Action;
use super::Ask;
use super::Report;
use super::Ticket;
use super::budget::Budget;
use super::length::Length;
use super::level::Level;
use super::line::Place;
use super::line::Waiting;

/// Added to each expected time for the ways of messages.
const SLACK: Duration = Duration::from_millis(60);

/// A request that was granted and has not ended.
#[derive(Clone, Debug)]
struct Running {
    pick: Pick,
    work: Work,
    customer: id::Customer,
    sent: Instant,
    first: Option<Instant>,
    counted: (Instant, Tokens),
}

/// Where a request waits.
#[derive(Clone, Debug)]
struct Spot {
    rank: u8,
    customer: id::Customer,
    place: Place,
}

/// The waiting and the running work of one service, at its owner.
///
/// An ask or a report costs time logarithmic in what waits and linear in the classes of servers;
/// memory is linear in what waits and runs, and bounded by the limit on work and the customers'
/// limits on waiting requests.
#[derive(Clone, Debug)]
pub struct Queue {
    fleet: Fleet,
    limit: Tokens,
    levels: BTreeMap<u8, Level>,
    spots: HashMap<Ticket, Spot>,
    deadlines: BTreeSet<(Instant, Ticket)>,
    running: HashMap<Ticket, Running>,
    lengths: HashMap<id::Customer, Length>,
    arrivals: u64,
    held: bool,
    budget: Budget,
    actions: Vec<Action>,
}

/// # Events
impl Queue {
    /// An empty queue over `fleet` in which work of `limit` tokens may wait.
    #[must_use]
    pub fn new(fleet: Fleet, limit: Tokens) -> Self {
        Self {
            fleet,
            limit,
            levels: BTreeMap::new(),
            spots: HashMap::new(),
            deadlines: BTreeSet::new(),
            running: HashMap::new(),
            lengths: HashMap::new(),
            arrivals: 0,
            held: false,
            budget: Budget::default(),
            actions: Vec::new(),
        }
    }

    /// A request wants a server; the same ticket again is the same request.
    pub fn ask(&mut self, ask: Ask, now: Instant) {
        if self.spots.contains_key(&ask.ticket) {
            return;
        }
        if let Some(running) = self.running.get(&ask.ticket) {
            let pick = running.pick.clone();
            let ticket = ask.ticket;
            self.actions.push(Action::Grant { ticket, pick });
            return;
        }
        if let Err(refusal) = self.admit(&ask, now) {
            let ticket = ask.ticket;
            self.actions.push(Action::Refuse { ticket, refusal });
            return;
        }
        if !self.budget.take(ask.rank, ask.attempt) {
            let why = "no further try: too many requests of the tier are being tried again";
            let refusal = Refusal::new(Code::Refused, why);
            let ticket = ask.ticket;
            self.actions.push(Action::Refuse { ticket, refusal });
            return;
        }
        let length = self.lengths.entry(ask.customer.clone()).or_default();
        let expect = length.expect(ask.output);
        self.wait(Waiting { ask, expect });
        self.make_room();
        self.pump(now);
    }

    /// A request that runs already, told by its entry to a new owner.
    pub fn resume(&mut self, ask: Ask, server: &id::Server, now: Instant) {
        let Some(place) = self.fleet.find(server) else {
            return;
        };
        let length = self.lengths.entry(ask.customer.clone()).or_default();
        let work = work_of(&ask, length.expect(ask.output));
        let pick = Pick {
            server: place,
            name: server.clone(),
            cached: ask.prompt,
            time: Time::default(),
        };
        self.remove(&ask.ticket);
        if self.running.contains_key(&ask.ticket) {
            return;
        }
        self.run(ask.ticket.clone(), ask.customer, pick, work, now);
        if let Some(running) = self.running.get_mut(&ask.ticket) {
            running.first = Some(now);
        }
    }

    /// What an entry reports of a request that was granted.
    pub fn report(&mut self, ticket: &Ticket, report: Report, now: Instant) {
        match report {
            Report::First => self.on_first(ticket, now),
            Report::Tokens(tokens) => self.on_tokens(ticket, tokens, now),
            Report::Ended { output, cached } => self.on_ended(ticket, output, cached, now),
        }
        self.pump(now);
    }

    /// The caller has gone while its request waited; nothing is told to anyone.
    pub fn cancel(&mut self, ticket: &Ticket, now: Instant) {
        self.remove(ticket);
        if self.running.contains_key(ticket) {
            self.on_ended(ticket, Tokens(0), None, now);
        }
        self.pump(now);
    }

    /// An entry is gone, and with it all that it asked for.
    pub fn forget(&mut self, host: &id::Host, now: Instant) {
        let waiting = self.spots.keys().filter(|ticket| &ticket.host == host);
        let running = self.running.keys().filter(|ticket| &ticket.host == host);
        let tickets: Vec<_> = waiting.chain(running).cloned().collect();
        for ticket in tickets {
            self.cancel(&ticket, now);
        }
    }

    /// Time has passed: what is too late is told so, and slow servers are looked for.
    pub fn tick(&mut self, now: Instant) {
        while let Some((deadline, ticket)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            self.remove(&ticket);
            let refusal = Refusal::new(Code::Expired, "the deadline passed while it waited");
            self.actions.push(Action::Refuse { ticket, refusal });
        }
        self.fleet.watch(now);
        self.levels.values_mut().for_each(Level::sweep);
        self.pump(now);
    }

    /// Changes the servers, or what is known of them.
    pub fn change(&mut self, edit: impl FnOnce(&mut Fleet), now: Instant) {
        edit(&mut self.fleet);
        self.pump(now);
    }

    /// Changes the limit on the work that waits.
    pub fn limit(&mut self, limit: Tokens) {
        self.limit = limit;
        self.make_room();
    }

    /// Whether grants are held back, while a new owner learns what runs already.
    pub fn hold(&mut self, held: bool, now: Instant) {
        self.held = held;
        self.pump(now);
    }

    /// Takes what there is to tell.
    #[must_use = "an action that is dropped leaves its entry waiting"]
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

/// # What it knows
impl Queue {
    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.spots.len()
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Work that waits.
    #[must_use]
    pub fn work(&self) -> Tokens {
        self.levels.values().map(|level| level.work).sum()
    }

    /// Every ticket that waits.
    pub fn tickets(&self) -> impl Iterator<Item = &Ticket> {
        self.spots.keys()
    }

    /// The servers.
    #[must_use]
    pub fn get_fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The rank of the lowest tier that waits.
    #[must_use]
    pub fn lowest(&self) -> Option<u8> {
        let waiting = self.levels.iter().rev().find(|pair| !pair.1.is_empty());
        waiting.map(|pair| *pair.0)
    }
}

/// # Admission
impl Queue {
    /// Whether a request may wait at all.
    fn admit(&self, ask: &Ask, now: Instant) -> Result<(), Refusal> {
        let held = self
            .levels
            .get(&ask.rank)
            .map_or(0, |level| level.count(&ask.customer));
        if held >= ask.waiting as usize {
            let why = format!(
                "{held} requests of this customer wait; it may have {}",
                ask.waiting
            );
            return Err(Refusal::new(Code::QueueLimit, why));
        }
        let length = self.lengths.get(&ask.customer).copied().unwrap_or_default();
        let work = work_of(ask, length.expect(ask.output));
        let Some(fastest) = self.fleet.fastest(&work) else {
            return Err(Refusal::new(
                Code::NoServer,
                "no backend server of the service is live",
            ));
        };
        if now + fastest.first > ask.first || now + fastest.whole > ask.deadline {
            return Err(cannot_finish(&fastest));
        }
        Ok(())
    }

    fn wait(&mut self, waiting: Waiting) {
        self.arrivals += 1;
        let ask = &waiting.ask;
        let place = (ask.deadline, self.arrivals);
        let spot = Spot {
            rank: ask.rank,
            customer: ask.customer.clone(),
            place,
        };
        self.deadlines.insert((ask.deadline, ask.ticket.clone()));
        self.spots.insert(ask.ticket.clone(), spot);
        self.levels
            .entry(ask.rank)
            .or_default()
            .push(place, waiting);
    }

    /// Sheds from the lowest tier until the work that waits is within the limit.
    fn make_room(&mut self) {
        while self.work() > self.limit {
            let Some(rank) = self.lowest() else { return };
            let Some(shed) = self.levels.get_mut(&rank).and_then(Level::shed) else {
                return;
            };
            let ticket = shed.ask.ticket;
            self.spots.remove(&ticket);
            self.deadlines.remove(&(shed.ask.deadline, ticket.clone()));
            let why = "the service is full; the lowest tier that waits is shed first";
            let refusal = Refusal::new(Code::Shed, why);
            self.actions.push(Action::Refuse { ticket, refusal });
        }
    }

    fn remove(&mut self, ticket: &Ticket) {
        let Some(spot) = self.spots.remove(ticket) else {
            return;
        };
        self.deadlines.remove(&(spot.place.0, ticket.clone()));
        if let Some(level) = self.levels.get_mut(&spot.rank) {
            level.remove(&spot.customer, spot.place);
        }
    }
}

/// # Dispatch
impl Queue {
    /// Grants in turn, as long as there is a server for whose turn it is.
    fn pump(&mut self, now: Instant) {
        while !self.held && self.grant_next(now) {}
    }

    /// Whether something left the queue.
    fn grant_next(&mut self, now: Instant) -> bool {
        let Some(level) = self.levels.iter().find(|pair| !pair.1.is_empty()) else {
            return false;
        };
        let rank = *level.0;
        let Some((place, waiting)) = level.1.first() else {
            return false;
        };
        let work = work_of(&waiting.ask, waiting.expect);
        let deadline = waiting.ask.deadline;
        let first = waiting.ask.first;
        let customer = waiting.ask.customer.clone();
        let Some(pick) = self.fleet.pick(&work) else {
            return false;
        };
        let caution = self.fleet.get_tuning().caution;
        let in_time = |time: &Time| {
            now + cautious(time.first, caution) <= first
                && now + cautious(time.whole, caution) <= deadline
        };
        let late = !in_time(&pick.time);
        // Another server may do what this one cannot: the request waits for it.
        if late && self.fleet.fastest(&work).is_some_and(|time| in_time(&time)) {
            return false;
        }
        let Some(level) = self.levels.get_mut(&rank) else {
            return false;
        };
        let taken = if late {
            level.remove(&customer, place)
        } else {
            level.pop()
        };
        let Some(taken) = taken else { return false };
        let ticket = taken.ask.ticket;
        self.spots.remove(&ticket);
        self.deadlines.remove(&(deadline, ticket.clone()));
        if late {
            let refusal = cannot_finish(&pick.time);
            self.actions.push(Action::Refuse { ticket, refusal });
        } else {
            let granted = ticket.clone();
            self.actions.push(Action::Grant {
                ticket: granted,
                pick: pick.clone(),
            });
            self.run(ticket, customer, pick, work, now);
        }
        true
    }

    fn run(
        &mut self,
        ticket: Ticket,
        customer: id::Customer,
        pick: Pick,
        work: Work,
        now: Instant,
    ) {
        self.fleet.sent(&pick, &work, now);
        let running = Running {
            pick,
            work,
            customer,
            sent: now,
            first: None,
            counted: (now, Tokens(0)),
        };
        let before = self.running.insert(ticket, running);
        debug_assert!(before.is_none(), "a ticket runs once");
    }

    fn on_first(&mut self, ticket: &Ticket, now: Instant) {
        let Some(running) = self.running.get_mut(ticket) else {
            return;
        };
        if running.first.is_some() {
            return;
        }
        running.first = Some(now);
        running.counted = (now, Tokens(1));
        let took = Some(now.since(running.sent));
        self.fleet.first(&running.pick, &running.work, took, now);
    }

    fn on_tokens(&mut self, ticket: &Ticket, tokens: Tokens, now: Instant) {
        let Some(running) = self.running.get_mut(ticket) else {
            return;
        };
        if running.first.is_none() {
            return;
        }
        let (since, counted) = running.counted;
        running.counted = (now, tokens);
        self.fleet
            .tokens(running.pick.server, tokens.less(counted), now.since(since));
    }

    fn on_ended(&mut self, ticket: &Ticket, output: Tokens, cached: Option<Tokens>, now: Instant) {
        let Some(running) = self.running.remove(ticket) else {
            return;
        };
        if running.first.is_none() {
            self.fleet.first(&running.pick, &running.work, None, now);
        }
        self.fleet.ended(&running.pick, &running.work, cached);
        if output > Tokens(0) {
            self.lengths
                .entry(running.customer)
                .or_default()
                .observe(output);
        }
    }
}

/// What is counted on for a time that is expected: a part more, and the ways of messages.
///
/// Under overload what is granted stands at the brink of its limit; without this a small error
/// throws its whole prompt away.
fn cautious(time: Duration, part: f64) -> Duration {
    time.mul_f64(1.0 + part) + SLACK
}

fn work_of(ask: &Ask, expect: Tokens) -> Work {
    Work {
        prompt: ask.prompt,
        output: expect,
        prefixes: ask.prefixes.clone(),
    }
}

fn cannot_finish(needs: &Time) -> Refusal {
    let first = needs.first.as_millis();
    let whole = needs.whole.as_millis();
    let why =
        format!("it needs {first} ms to its first token and {whole} ms in all; that is too late");
    Refusal::new(Code::CannotFinish, why)
}
