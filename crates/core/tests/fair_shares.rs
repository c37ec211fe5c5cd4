//! Fair shares between customers of the same rank: replays of bursts, and randomized histories of the bounds that
//! docs/design/fair-shares.md states.

mod support;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::AttemptEnd;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Load;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::pool;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Part;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Release;
use curlewlift_core::pool::Scheduling;
use curlewlift_core::pool::ShareWatch;
use curlewlift_core::pool::SlotUsage;
use curlewlift_core::route;
use curlewlift_core::route::ServicePolicy;
use curlewlift_core::route::Table;
use curlewlift_core::unit::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::messages;

const ANSWERED: AttemptOutcome = AttemptOutcome::Answered {
    first_byte: Duration::from_millis(20),
    gap: None,
};

fn fair() -> Scheduling {
    Scheduling::default().with(Part::FairShares)
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn at(millis: u64) -> Instant {
    Instant::default() + ms(millis)
}

fn customer(index: usize) -> id::Customer {
    format!("c{index}").parse().expect("valid name")
}

fn server(index: usize, slots: u32) -> Server {
    Server {
        incarnation: format!("s{index}").into(),
        name: format!("s{index}").into(),
        started_ms: 0,
        version: "v1".parse().expect("valid version"),
        service: "chat".parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        hall: "a".into(),
        slots,
        leaving: false,
        cold: false,
    }
}

/// A hub with customers, so that shares can be in use.
fn new_hub(scheduling: Scheduling, servers: usize, slots: u32, number: u64, now: Instant) -> Hub {
    let tuning = Tuning {
        scheduling,
        ..Tuning::default()
    };
    let mut hub = Hub::new(tuning, now).with_id(number);
    let servers = (0..servers).map(|index| server(index, slots));
    hub.set_server_list(Arc::new(ServerList::new(servers.collect())));
    let policy = ServicePolicy {
        max_connections: 10,
        health_path: "/".into(),
        cold_rate: None,
        engine: None,
    };
    let table = Table::new(route::Parts {
        version: 1,
        services: [("chat".parse().expect("valid name"), policy)].into(),
        customers: Some(Vec::new()),
        ..route::Parts::default()
    });
    hub.apply_table(&table.expect("valid table"), now);
    hub
}

/// A request of a customer.
#[derive(Clone, Copy, Debug)]
struct Work {
    customer: usize,
    rank: u8,
    host: usize,
    /// From the grant of its slot until the hub learns of its end.
    hold: Duration,
    arrived: Instant,
    send_within: Duration,
    max_wait: Duration,
    retries: u32,
    /// Whether no other request of the customer was queued when it arrived.
    is_alone: bool,
}

enum Event {
    Ask(Work),
    Expire(Ticket),
    End(GrantId, Arc<str>, Work),
    Wake(usize),
}

/// Gateways and their hub, in simulated time.
struct World {
    scheduling: Scheduling,
    servers: usize,
    slots: u32,
    hub: Hub,
    hub_number: u64,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    last_event: u64,
    random: SmallRng,
    hosts: Vec<id::Host>,
    in_flight: Vec<BTreeMap<Arc<str>, u32>>,
    last_grants: Vec<GrantId>,
    queued: HashMap<Ticket, Work>,
    /// Of how many ends the reports are lost, in percent.
    lost_percent: u32,
    /// The number of ends whose reports were lost.
    lost: i64,
}

impl World {
    fn new(scheduling: Scheduling, servers: usize, slots: u32, seed: u64) -> Self {
        let hosts = (0..8).map(|index| format!("g{index}").parse().expect("valid name"));
        Self {
            scheduling,
            servers,
            slots,
            hub: new_hub(scheduling, servers, slots, 1, Instant::default()),
            hub_number: 1,
            now: Instant::default(),
            events: BTreeMap::new(),
            last_event: 0,
            random: SmallRng::seed_from_u64(seed),
            hosts: hosts.collect(),
            in_flight: vec![BTreeMap::new(); 8],
            last_grants: vec![GrantId::default(); 8],
            queued: HashMap::new(),
            lost_percent: 0,
            lost: 0,
        }
    }

    fn schedule(&mut self, time: Instant, event: Event) {
        self.last_event += 1;
        self.events.insert((time, self.last_event), event);
    }

    /// Handles the next event before `end`. Returns the requests that were granted a slot, those that were given up, and
    /// the customer that wakes up.
    fn step(&mut self, end: Instant) -> Option<(Vec<Work>, Vec<Work>, Option<usize>)> {
        let entry = self.events.first_entry()?;
        if entry.key().0 > end {
            return None;
        }
        let ((now, _), event) = entry.remove_entry();
        self.now = now;
        let mut given_up = Vec::new();
        let mut woken = None;
        match event {
            Event::Ask(work) => given_up.extend(self.ask(work)),
            Event::Expire(ticket) => {
                self.hub.cancel(&ticket, now);
                given_up.extend(self.queued.remove(&ticket));
            }
            Event::End(grant, incarnation, work) => self.end(grant, &incarnation, work),
            Event::Wake(customer) => woken = Some(customer),
        }
        let granted = self.grant();
        let doomed = self.hub.reject_doomed(now).into_iter();
        given_up.extend(doomed.filter_map(|doomed| self.queued.remove(&doomed.ticket)));
        Some((granted, given_up, woken))
    }

    fn ask(&mut self, work: Work) -> Option<Work> {
        let waited = self.now.since(work.arrived);
        let request = SlotRequest {
            customer: Some(customer(work.customer)),
            rank: work.rank.into(),
            waited,
            send_within: work.send_within.saturating_sub(waited),
            max_wait: work.max_wait,
            ..messages::slot_request(&self.hosts[work.host])
        };
        let SlotDecision::Queued(ticket, displaced) = self.hub.request_slot(request, self.now)
        else {
            panic!("the request is not queued");
        };
        self.queued.insert(ticket.clone(), work);
        self.schedule(self.now + work.max_wait, Event::Expire(ticket));
        displaced.and_then(|displaced| self.queued.remove(&displaced.ticket))
    }

    fn grant(&mut self) -> Vec<Work> {
        let mut granted = Vec::new();
        for (ticket, grant) in self.hub.grant_slots(self.now) {
            let work = self.queued.remove(&ticket).expect("the request is queued");
            let incarnation = grant.server.incarnation;
            *self.in_flight[work.host]
                .entry(Arc::clone(&incarnation))
                .or_default() += 1;
            self.last_grants[work.host] = grant.id;
            let end = Event::End(grant.id, incarnation, work);
            self.schedule(self.now + work.hold, end);
            granted.push(work);
        }
        granted
    }

    fn end(&mut self, grant: GrantId, incarnation: &Arc<str>, work: Work) {
        let in_flight = &mut self.in_flight[work.host];
        *in_flight.get_mut(incarnation).expect("in flight") -= 1;
        let loads = in_flight.iter().map(|(incarnation, requests)| Load {
            incarnation: Arc::clone(incarnation),
            requests: *requests,
            prefill_tokens: Tokens(0),
        });
        let ended = AttemptEnd {
            service: "chat".parse().expect("valid name"),
            incarnation: Arc::clone(incarnation),
            rollout: None,
            outcome: ANSWERED,
            grant,
            server_time: work.hold,
            load: None,
        };
        let is_lost = self.random.random_range(0..100) < self.lost_percent;
        self.lost += i64::from(is_lost);
        let report = Report {
            last_grant: self.last_grants[work.host],
            loads: loads.collect(),
            ended: if is_lost { Vec::new() } else { vec![ended] },
            ..messages::report(&self.hosts[work.host])
        };
        self.hub.report(&report, self.now);
    }

    /// Another control replica becomes the hub. Gateways report what they have in flight and ask again.
    fn replace_hub(&mut self) {
        self.hub_number += 1;
        let (servers, slots, number) = (self.servers, self.slots, self.hub_number);
        self.hub = new_hub(self.scheduling, servers, slots, number, self.now);
        for (host, loads) in self.hosts.iter().zip(&self.in_flight) {
            let loads = loads.iter().map(|(incarnation, requests)| Load {
                incarnation: Arc::clone(incarnation),
                requests: *requests,
                prefill_tokens: Tokens(0),
            });
            let report = Report {
                loads: loads.collect(),
                ..messages::report(host)
            };
            self.hub.report(&report, self.now);
        }
        let mut queued: Vec<_> = std::mem::take(&mut self.queued).into_values().collect();
        queued.sort_by_key(|work| (work.arrived, work.customer, !work.is_alone, work.hold));
        for work in queued {
            self.ask(work);
        }
    }
}

// Replays

/// The customers of a replay: three large ones, then small ones.
const CUSTOMERS: usize = 16;
const LARGE: usize = 3;
const SERVERS: usize = 10;
const SLOTS: u32 = 7;
const MEAN_HOLD: Duration = Duration::from_millis(400);
/// The first-event objective of chat replies.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// The objective without the time that an engine takes to begin.
const SEND_WITHIN: Duration = Duration::from_millis(250);

/// A customer that sends 7.5 times its usual load in some seconds.
#[derive(Clone, Copy)]
struct Burst {
    customer: usize,
    seconds: (f64, f64),
    /// The rank of the additional requests.
    rank: u8,
}

/// What became of a customer's requests in a rank.
#[derive(Clone, Copy, Debug, Default)]
struct Result {
    asked: u32,
    begun: u32,
    in_time: u32,
}

/// Replays ten seconds of bursts at a usual load of 0.7 of the capacity, evenly over `ranks`. Callers retry once; a third
/// of them at once.
fn replay(scheduling: Scheduling, bursts: &[Burst], ranks: u8) -> BTreeMap<(usize, u8), Result> {
    let mut world = World::new(scheduling, SERVERS, SLOTS, 11);
    let slots = f64::from(u32::try_from(SERVERS).expect("fits") * (SLOTS + 1));
    let capacity = slots / MEAN_HOLD.as_secs_f64();
    for customer in 0..CUSTOMERS {
        let usual = if customer < LARGE { 0.14 } else { 0.28 / 13.0 };
        for rank in 0..ranks {
            let mut second = 0.0;
            loop {
                let has_burst = bursts.iter().any(|burst| {
                    let (from, to) = burst.seconds;
                    let is_own = burst.customer == customer && burst.rank == rank;
                    is_own && (from..to).contains(&second)
                });
                let rate = capacity * usual / f64::from(ranks) * if has_burst { 7.5 } else { 1.0 };
                second -= world.random.random::<f64>().ln() / rate;
                if second > 10.0 {
                    break;
                }
                let arrived = Instant::default() + Duration::from_secs_f64(second);
                let work = Work {
                    customer,
                    rank,
                    host: world.random.random_range(0..8),
                    hold: MEAN_HOLD.mul_f64(world.random.random_range(0.5..1.5)),
                    arrived,
                    send_within: SEND_WITHIN,
                    max_wait: ms(1_000),
                    retries: 0,
                    is_alone: false,
                };
                world.schedule(arrived, Event::Ask(work));
            }
        }
    }
    let mut results: BTreeMap<(usize, u8), Result> = BTreeMap::new();
    while let Some((granted, given_up, _)) = world.step(at(12_000)) {
        for work in granted {
            let result = results.entry((work.customer, work.rank)).or_default();
            result.asked += 1;
            result.begun += 1;
            let waited = world.now.since(work.arrived);
            result.in_time += u32::from(work.retries == 0 && waited <= OBJECTIVE);
        }
        for work in given_up {
            if work.retries == 1 {
                results.entry((work.customer, work.rank)).or_default().asked += 1;
                continue;
            }
            let delay = if work.customer % 3 == 0 { 5 } else { 300 };
            let arrived = world.now + ms(delay);
            let retries = 1;
            let again = Work {
                arrived,
                retries,
                ..work
            };
            world.schedule(arrived, Event::Ask(again));
        }
    }
    results
}

/// Checks that all customers that keep to their usual load in the ranks that `must` name are served in time.
fn others_in_time(bursts: &[Burst], ranks: u8, must: &[u8]) {
    let results = replay(fair(), bursts, ranks);
    for ((customer, rank), result) in &results {
        println!("customer {customer} rank {rank}: {result:?}");
    }
    for ((customer, rank), result) in results {
        let has_burst = bursts
            .iter()
            .any(|burst| (burst.customer, burst.rank) == (customer, rank));
        if !has_burst && must.contains(&rank) {
            assert_eq!(
                result.in_time, result.asked,
                "customer {customer}, rank {rank}: {result:?}"
            );
        }
    }
}

fn burst(customer: usize, from: f64, to: f64, rank: u8) -> Burst {
    Burst {
        customer,
        seconds: (from, to),
        rank,
    }
}

/// One customer's burst delays or displaces requests of others.
#[test]
fn one_burst() {
    others_in_time(&[burst(0, 2.0, 8.0, 0)], 1, &[0]);
}

/// Two bursts at once take the share of those that keep to their usual load.
#[test]
fn two_bursts() {
    let bursts = [burst(0, 2.0, 8.0, 0), burst(1, 3.0, 7.0, 0)];
    others_in_time(&bursts, 1, &[0]);
}

/// A customer whose burst is over still suffers from it, or one that begins profits from having been idle.
#[test]
fn bursts_in_turn() {
    let bursts = [
        burst(0, 1.0, 3.5, 0),
        burst(1, 3.5, 6.0, 0),
        burst(2, 6.0, 8.5, 0),
    ];
    others_in_time(&bursts, 1, &[0]);
}

/// A burst in the lower of two ranks delays others there, or anybody in the higher one.
#[test]
fn burst_in_low_rank() {
    others_in_time(&[burst(0, 2.0, 8.0, 1)], 2, &[0, 1]);
}

/// A burst in the higher of two ranks delays others there.
#[test]
fn burst_in_high_rank() {
    let bursts = [burst(0, 2.0, 8.0, 0), burst(1, 3.0, 7.0, 0)];
    others_in_time(&bursts, 2, &[0]);
}

// Histories

/// What a customer of a history does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Idle,
    /// Sends a request when the former one has begun.
    Light,
    /// Has always some requests queued.
    Backlogged,
}

/// Customers with random modes, requests, cancellations, lost reports and changes of the hub.
struct History {
    world: World,
    modes: Vec<Mode>,
    /// The shortest and the longest time that requests of each customer hold a slot.
    holds: Vec<(Duration, Duration)>,
    /// The slot time of the requests that were granted a slot, in microseconds.
    used: Vec<i64>,
    /// Of each pair that is backlogged since then: the least and the greatest difference of slot time, and the number
    /// of reports that were lost before.
    pairs: BTreeMap<(usize, usize), (i64, i64, i64)>,
    hub_since: Instant,
    has_errors: bool,
}

/// Slots of a history, with the one more of each server that the hub grants.
const HISTORY_SLOTS: u32 = 2 * (2 + 1);
/// The expected time of the first requests of a service.
const INITIAL_HOLD: Duration = Duration::from_millis(100);

impl History {
    /// Without errors of estimates if all requests hold a slot for the time that is expected of the first ones.
    fn new(seed: u64, has_errors: bool) -> Self {
        let mut world = World::new(fair(), 2, 2, seed);
        world.lost_percent = 5;
        let customers = world.random.random_range(3..8);
        let mut holds = Vec::new();
        for customer in 0..customers {
            world.schedule(at(1), Event::Wake(customer));
            let shortest = ms(world.random.random_range(10..200));
            let longest = shortest.mul_f64(world.random.random_range(1.0..3.0));
            holds.push(if has_errors {
                (shortest, longest)
            } else {
                (INITIAL_HOLD, INITIAL_HOLD)
            });
        }
        Self {
            world,
            modes: vec![Mode::Idle; customers],
            holds,
            used: vec![0; customers],
            pairs: BTreeMap::new(),
            hub_since: Instant::default(),
            has_errors,
        }
    }

    fn queued(&self, customer: usize) -> usize {
        let queued = self.world.queued.values();
        queued.filter(|work| work.customer == customer).count()
    }

    fn ask(&mut self, customer: usize) {
        let (shortest, longest) = self.holds[customer];
        let is_alone = self.queued(customer) == 0;
        let random = &mut self.world.random;
        let work = Work {
            customer,
            rank: 0,
            host: random.random_range(0..8),
            hold: random.random_range(shortest..=longest),
            arrived: self.world.now,
            send_within: Duration::from_secs(1_000),
            max_wait: Duration::from_secs(1_000),
            retries: 0,
            is_alone,
        };
        assert!(self.world.ask(work).is_none(), "the queue is never full");
    }

    /// Some customer changes its mode, a request is cancelled, or another hub takes over.
    fn change(&mut self, woken: Option<usize>) {
        if let Some(customer) = woken {
            let modes = [Mode::Idle, Mode::Light, Mode::Backlogged, Mode::Backlogged];
            self.modes[customer] = modes[self.world.random.random_range(0..4)];
            let time = self.world.now + ms(self.world.random.random_range(100..8_000));
            self.world.schedule(time, Event::Wake(customer));
            if self.world.random.random_range(0..40) == 0 {
                self.world.replace_hub();
                self.hub_since = self.world.now;
                self.pairs.clear();
            }
        }
        if self.world.random.random_range(0..4) == 0 {
            // Some customers cancel more than others.
            let mut queued: Vec<_> = self.world.queued.iter().collect();
            queued
                .sort_by_key(|(_, work)| (work.arrived, work.customer, !work.is_alone, work.hold));
            let cancelled = queued.iter().find(|(_, work)| work.customer % 3 == 0);
            if let Some(ticket) = cancelled.map(|(ticket, _)| (*ticket).clone()) {
                self.world.hub.cancel(&ticket, self.world.now);
                self.world.queued.remove(&ticket);
            }
        }
        for customer in 0..self.modes.len() {
            let queued = self.queued(customer);
            let wanted = match self.modes[customer] {
                Mode::Light => 1,
                Mode::Backlogged if queued < 6 => 12,
                Mode::Idle | Mode::Backlogged => 0,
            };
            (queued..wanted).for_each(|_| self.ask(customer));
        }
    }

    /// The bound on the difference of the slot time of two customers: the largest request of each, and the errors of the
    /// estimates of the requests in flight and of those whose reports were lost.
    fn bound(&self, first: usize, second: usize, lost: i64) -> i64 {
        let micros = |time: Duration| i64::try_from(time.as_micros()).expect("fits");
        let all = self
            .holds
            .iter()
            .flat_map(|(shortest, longest)| [*shortest, *longest]);
        let all = all.chain([INITIAL_HOLD]);
        let error = micros(all.clone().max().expect("some")) - micros(all.min().expect("some"));
        let largest = micros(self.holds[first].1) + micros(self.holds[second].1);
        largest + error * (4 * i64::from(HISTORY_SLOTS) + lost)
    }

    /// Checks the bounds after some requests were granted a slot.
    fn check(&mut self, granted: &[Work], seed: u64) {
        for work in granted {
            self.used[work.customer] += i64::try_from(work.hold.as_micros()).expect("fits");
            let others = u32::try_from(self.modes.len()).expect("fits") - 1;
            let waited = self.world.now.since(work.arrived.max(self.hub_since));
            // Two requests of each other customer and the next slot.
            let longest = INITIAL_HOLD * (2 * others + 1) / HISTORY_SLOTS + INITIAL_HOLD;
            assert!(
                self.has_errors || !work.is_alone || waited <= longest,
                "seed {seed}: customer {} waited {waited:?}",
                work.customer
            );
        }
        let backlogged: Vec<_> = (0..self.modes.len())
            .map(|customer| self.queued(customer) > 0)
            .collect();
        let lost = self.world.lost;
        for first in 0..self.modes.len() {
            for second in 0..first {
                if !(backlogged[first] && backlogged[second]) {
                    self.pairs.remove(&(first, second));
                    continue;
                }
                let difference = self.used[first] - self.used[second];
                let pair = self.pairs.entry((first, second));
                let pair = pair.or_insert((difference, difference, lost));
                *pair = (pair.0.min(difference), pair.1.max(difference), pair.2);
                let (least, greatest, lost_before) = *pair;
                let bound = self.bound(first, second, lost - lost_before);
                assert!(
                    greatest - least <= bound,
                    "seed {seed}: {first} and {second} differ by {} of {bound} us",
                    greatest - least
                );
            }
        }
    }

    fn run(&mut self, seed: u64) {
        while let Some((granted, _, woken)) = self.world.step(at(30_000)) {
            self.check(&granted, seed);
            self.change(woken);
            let granted = self.world.grant();
            self.check(&granted, seed);
        }
        assert!(self.used.iter().sum::<i64>() > 30_000_000, "slots are used");
    }
}

fn histories() -> u64 {
    let histories = std::env::var("HISTORIES").ok();
    histories.and_then(|count| count.parse().ok()).unwrap_or(20)
}

/// Backlogged customers get different slot time, or one that was idle, cancelled or found a new hub gets more.
#[test]
fn exact_histories() {
    for seed in 0..histories() {
        History::new(seed, false).run(seed);
    }
}

/// Slot time differs by more than the errors of the estimates, as requests of some customers take longer.
#[test]
fn uneven_histories() {
    for seed in 0..histories() {
        History::new(seed, true).run(seed);
    }
}

// Single decisions

/// A pool of one server with requests of customers that are named by a character; `-` stands for none.
struct Small {
    pool: Pool,
    owners: BTreeMap<pool::Ticket, char>,
}

impl Small {
    fn new(slots: u32) -> Self {
        let tuning = pool::Tuning {
            extra_in_flight: 0,
            scheduling: fair(),
            max_queued: 40,
            ..pool::Tuning::default()
        };
        let mut pool = Pool::new(tuning, 7);
        pool.update_servers(vec![Arc::new(server(0, slots))]);
        Self {
            pool,
            owners: BTreeMap::new(),
        }
    }

    fn request(owner: char, rank: u8, now: u64, send_within: u64) -> pool::Request {
        pool::Request {
            customer: Some(owner)
                .filter(|owner| *owner != '-')
                .map(|owner| owner.to_string().parse().expect("valid name")),
            rank: rank.into(),
            arrived: at(now),
            send_by: at(now + send_within),
            wait_until: at(now + 500),
            ..pool::Request::default()
        }
    }

    /// Queues requests in the order of their owners; returns the owners of those that are dropped.
    fn add(&mut self, owners: &str, rank: u8, now: u64, send_within: u64) -> String {
        let requests = owners
            .chars()
            .map(|owner| Self::request(owner, rank, now, send_within));
        requests
            .filter_map(|request| self.add_request(request, now))
            .collect()
    }

    fn add_request(&mut self, request: pool::Request, now: u64) -> Option<char> {
        let owner = request
            .customer
            .as_ref()
            .and_then(|name| name.as_str().chars().next());
        let (ticket, dropped) = self.pool.enqueue(request, at(now));
        self.owners.insert(ticket, owner.unwrap_or('-'));
        dropped.map(|dropped| self.owners[&dropped])
    }

    /// Assigns free slots; returns the owners of the requests.
    fn serve(&mut self, now: u64) -> String {
        let assigned = self.pool.assign(at(now)).into_iter();
        assigned
            .map(|assignment| self.owners[&assignment.ticket])
            .collect()
    }

    /// A request that was assigned at `since` ends.
    fn end(&mut self, owner: char, since: u64, now: u64) {
        self.pool.finish_attempt("s0", ANSWERED, at(now));
        let release = Release {
            incarnation: "s0".into(),
            customer: Self::request(owner, 0, 0, 0).customer,
            held: ms(now - since),
            server_time: ms(now - since),
            load: None,
        };
        self.pool.record_release(&release, at(now));
    }

    /// Ends requests one by one at `now`, each for the next one; returns the owners of those.
    fn pass(&mut self, count: usize, now: u64) -> String {
        let mut passed = String::new();
        for _ in 0..count {
            self.pool.finish_attempt("s0", ANSWERED, at(now));
            passed += &self.serve(now);
        }
        passed
    }
}

/// Requests that are too late give their customer credit for its next ones.
#[test]
fn no_credit_for_late() {
    let mut small = Small::new(1);
    small.add("b", 0, 0, 0);
    small.add("aaaaaa", 0, 0, 500);
    assert_eq!(small.serve(0), "a");
    assert_eq!(small.pass(3, 10), "aaa");
    small.add("bbb", 0, 20, 500);
    assert_eq!(small.pass(6, 20), "bababb");
    let mut small = Small::new(1);
    small.add("b", 0, 0, 0);
    small.add("aaaa", 0, 0, 500);
    assert_eq!(small.serve(0) + &small.pass(4, 10), "aaaab");
    small.add("aacc", 0, 30, 500);
    assert_eq!(small.pass(4, 30), "caca", "nor to others");
}

/// Late requests are served without regard to what their customers got in time.
#[test]
fn late_by_shares() {
    let mut small = Small::new(5);
    small.add("aaa", 0, 0, 0);
    small.add("bbb", 0, 1, 0);
    small.add("aa", 0, 2, 500);
    assert_eq!(small.serve(3), "aabba");
}

/// A full queue drops requests of others than the customer with the most, or of a higher rank.
#[test]
fn drops_from_longest() {
    let mut small = Small::new(0);
    small.add(&"a".repeat(38), 0, 0, 500);
    small.add("b", 1, 0, 500);
    assert_eq!(small.add("cccc", 0, 0, 500), "baa");
    assert_eq!(small.add("dd", 1, 0, 500), "dd");
}

/// Requests without a customer have more than one share, or one that was sent before goes behind others.
#[test]
fn order_in_share() {
    let mut small = Small::new(4);
    small.add("b---", 0, 10, 500);
    let again = Small::request('b', 0, 5, 500);
    let (again, _) = small.pool.enqueue(again, at(12));
    small.owners.insert(again, 'B');
    assert_eq!(small.serve(12), "B-b-");
}

/// Slot time is charged by the mean of all customers or of all ranks.
#[test]
fn charges_own_mean() {
    let mut small = Small::new(30);
    small.add("ab", 0, 0, 500);
    small.add("ab", 1, 0, 500);
    assert_eq!(small.serve(0), "abab");
    for (owner, now) in [('b', 500), ('b', 520), ('a', 10), ('a', 520)] {
        small.end(owner, 0, now);
    }
    // In rank 0, requests of `b` took 50 times as long as those of `a`; in rank 1, all took the same.
    small.add(&"ab".repeat(15), 0, 600, 500);
    small.add(&"ab".repeat(5), 1, 600, 500);
    assert_eq!(small.serve(600).len(), 30);
    assert_eq!(small.pass(10, 600), "ababababab");
    small.add(&"ab".repeat(15), 0, 601, 500);
    assert_eq!(small.pass(15, 601), "a".repeat(15));
}

/// What a customer is charged remains an estimate, or nothing at all.
#[test]
fn corrects_charges() {
    let mut small = Small::new(2);
    small.add("ab", 0, 0, 500);
    assert_eq!(small.serve(0), "ab");
    small.end('a', 0, 400);
    small.end('b', 0, 100);
    small.add("aabb", 0, 400, 500);
    assert_eq!(small.serve(400), "bb", "less than `a` has got");
    small.add("cc", 0, 400, 500);
    assert_eq!(small.pass(4, 400), "caca", "a new customer");
    let mut small = Small::new(2);
    small.add("ab", 0, 0, 500);
    assert_eq!(small.serve(0), "ab");
    small.end('a', 0, 0);
    small.end('b', 0, 0);
    small.add("aabb", 0, 0, 500);
    assert_eq!(small.pass(4, 0), "abab", "requests that held no slot");
}

/// What a customer is served in one rank counts in another.
#[test]
fn ranks_apart() {
    let mut small = Small::new(4);
    small.add("aaaa", 0, 0, 500);
    assert_eq!(small.serve(0), "aaaa");
    small.add("aabb", 1, 0, 500);
    assert_eq!(small.pass(4, 1), "abab");
}

/// Requests that must wait for other servers take the share of those behind them.
#[test]
fn skipped_not_charged() {
    let mut small = Small::new(4);
    for _ in 0..5 {
        let mut request = Small::request('a', 0, 0, 500);
        request.tried = vec!["s0".into()];
        small.add_request(request, 0);
    }
    small.add("bbaa", 0, 1, 500);
    assert_eq!(small.serve(2), "baba");
}

/// Switching shares on or off loses requests or keeps the former order.
#[test]
fn switched_while_queued() {
    let mut small = Small::new(2);
    small.add("aaab", 0, 0, 500);
    small.pool.set_scheduling(Scheduling::default());
    assert_eq!(small.serve(1), "aa");
    small.pool.set_scheduling(fair());
    small.add("ab", 0, 2, 500);
    assert_eq!(small.pass(4, 3), "abab");
}

/// Assigns 50 requests a second, of these owners and ranks in turn. The server is full afterwards.
fn keep_busy(small: &mut Small, requests: &[(&str, u8)], from: u64) -> u64 {
    for (step, (owner, rank)) in (0..=50).zip(requests.iter().cycle()) {
        let now = from + step * 20;
        small.pool.finish_attempt("s0", ANSWERED, at(now));
        small.add(owner, *rank, now, 500);
        assert_eq!(small.serve(now), *owner);
    }
    from + 1_000
}

/// How many requests of each owner are given up half a second before they would be sent at the latest.
fn doomed(small: &mut Small, now: u64) -> BTreeMap<char, usize> {
    let mut doomed = BTreeMap::new();
    for ticket in small.pool.remove_doomed(at(now)) {
        *doomed.entry(small.owners[&ticket]).or_default() += 1;
    }
    doomed
}

/// A request is given up because of others that its customer goes before.
#[test]
fn forecast_in_fair_order() {
    let mut small = Small::new(1);
    let now = keep_busy(&mut small, &[("a", 0)], 0);
    small.add(&"a".repeat(35), 0, now, 500);
    small.add("b", 0, now, 500);
    let doomed = doomed(&mut small, now);
    assert!(
        doomed[&'a'] > 10 && !doomed.contains_key(&'b'),
        "{doomed:?}"
    );
}

/// A request waits in vain, as others arrive that go before it, or is given up although its customer has a share.
#[test]
fn forecast_counts_arrivals() {
    let mut small = Small::new(1);
    let gone = ["c", "d", "e", "f", "g", "h"].map(|owner| (owner, 1));
    keep_busy(&mut small, &gone, 0);
    let now = keep_busy(&mut small, &[("b", 1)], 70_000);
    small.add("c", 0, now, 500);
    small.add(&"a".repeat(5), 1, now, 500);
    assert!(doomed(&mut small, now).is_empty());
    small.add(&"a".repeat(20), 1, now, 500);
    let doomed = doomed(&mut small, now);
    assert!(
        (11..=15).contains(&doomed[&'a']),
        "half of 25 in half a second: {doomed:?}"
    );
}

/// Customers with a few queued requests, or none, are expected to use their whole shares.
#[test]
fn forecast_leaves_shares() {
    let mut small = Small::new(1);
    let now = keep_busy(&mut small, &[("a", 0)], 0);
    small.add("bcd", 0, now, 500);
    small.add(&"a".repeat(25), 0, now, 500);
    let of_few = doomed(&mut small, now);
    assert!(
        of_few[&'a'] <= 14,
        "more than a quarter of 25 are served: {of_few:?}"
    );
    let mut small = Small::new(1);
    let now = keep_busy(
        &mut small,
        &["c", "d", "e", "f", "g", "h"].map(|owner| (owner, 0)),
        0,
    );
    let now = keep_busy(&mut small, &[("b", 0)], now + 3_000);
    small.add(&("b".to_owned() + &"a".repeat(30)), 0, now, 500);
    let of_two = doomed(&mut small, now);
    assert!(
        of_two[&'a'] <= 21,
        "nearly half of 25 are served: {of_two:?}"
    );
}

/// A customer with short requests is expected to get no more of them than one with long requests.
#[test]
fn forecast_by_slot_time() {
    let mut small = Small::new(1);
    for (owner, since, end) in [("a", 0, 10), ("b", 10, 110)] {
        small.add(owner, 0, since, 500);
        assert_eq!(small.serve(since), owner);
        small.end(owner.chars().next().expect("a name"), since, end);
    }
    let now = keep_busy(&mut small, &[("b", 0)], 1_000);
    small.add(&("b".to_owned() + &"a".repeat(30)), 0, now, 500);
    let doomed = doomed(&mut small, now);
    assert!(
        doomed[&'a'] <= 15,
        "more than half of 25 are served: {doomed:?}"
    );
}

/// Arrivals of its rank are counted twice for a request that is late and goes behind them anyway.
#[test]
fn forecast_of_late() {
    let mut small = Small::new(1);
    let now = keep_busy(&mut small, &[("b", 0), ("b", 2), ("b", 2), ("b", 2)], 0);
    small.add(&"a".repeat(7), 0, now, 0);
    assert!(doomed(&mut small, now).is_empty());
}

/// The size of the state after `requests` of as many customers in turn, without a report of their ends.
fn state_size(interval: u64, requests: u64, customers: u64) -> usize {
    let mut small = Small::new(1);
    for number in 0..requests {
        let now = number * interval;
        let owner = usize::try_from(number % customers).expect("fits");
        let request = pool::Request {
            customer: Some(customer(owner)),
            ..Small::request('a', 0, now, 500)
        };
        small.pool.enqueue(request, at(now));
        small.pool.finish_attempt("s0", ANSWERED, at(now));
        assert_eq!(small.pool.assign(at(now)).len(), 1);
    }
    format!("{:?}", small.pool).len()
}

/// Accounts of customers that are gone, or charges for requests whose end is not reported, are kept for ever.
#[test]
fn bounded_in_age() {
    for (interval, customers) in [(100, 1), (20_000, 10_000)] {
        let size = |requests| state_size(interval, requests, customers);
        assert!(size(4_000) < size(1_000) * 2);
    }
}

/// Many customers or requests within a short time exhaust the memory.
#[test]
fn bounded_in_number() {
    assert!(state_size(1, 59_000, 60_000) < state_size(1, 36_000, 60_000) * 5 / 4);
}

/// A customer that gets less than it asks for, as its share is used up, is reported once, and once when that is over.
#[test]
fn watch_reports_excess() {
    let mut watch = ShareWatch::default();
    let usage = |owner: usize, requested: u64, received: u64| {
        let usage = SlotUsage {
            requested: ms(requested),
            received: ms(received),
        };
        let service = "chat".parse().expect("valid name");
        (service, Some(customer(owner)), usage)
    };
    let mut window = |second: u64, burst| {
        let usage = [usage(0, burst, 900), usage(1, 600, 590), usage(2, 30, 10)];
        assert!(watch.add(&usage, at(second * 1_000)).is_empty());
        let changes = watch.add(&[], at(second * 1_000 + 4_000)).into_iter();
        let changes = changes.map(|change| (change.customer, change.exceeds));
        changes.collect::<Vec<_>>()
    };
    assert_eq!(window(4, 900), []);
    assert_eq!(window(12, 2_000), [(Some(customer(0)), true)]);
    assert_eq!(window(20, 2_000), []);
    assert_eq!(window(28, 950), [(Some(customer(0)), false)]);
}
