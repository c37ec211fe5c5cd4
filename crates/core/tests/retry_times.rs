//! When rejected callers are told to retry: an overload must not return with them, those that wait must gain by it, and
//! nothing may be rejected late.

mod support;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Load;
use curlewlift_core::gateway::RejectedRequest;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::pool;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Part;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Rejected;
use curlewlift_core::pool::Scheduling;
use curlewlift_core::pool::WaitLimit;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::route::Parts;
use curlewlift_core::route::ServicePolicy;
use curlewlift_core::route::Table;
use curlewlift_core::unit::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::messages;

const SERVERS: u64 = 5;
const SLOTS: u32 = 8;

/// The time from sending a request to the first event, at a server with a free slot.
const FIRST_EVENT: u64 = 25;

/// New callers arrive until this time, in milliseconds.
const LOAD_END: u64 = 5_000;

const END: u64 = 12_000;

/// Callers that do not wait return after this time, in milliseconds.
const IMPATIENCE: u64 = 40;

/// A kind of request; times are in milliseconds.
#[derive(Clone, Copy)]
struct Kind {
    rank: u8,
    per_second: f64,
    objective: u64,
    deadline: u64,
    work: u64,
}

/// A caller and what became of its request.
#[derive(Clone, Debug, Default)]
struct Caller {
    kind: usize,
    is_patient: bool,
    first_sent: u64,
    /// When it sent the present attempt.
    sent: u64,
    /// When it was rejected, and for how long it had been queued.
    rejected: Vec<(u64, u64)>,
    /// When its response began.
    begun: Option<u64>,
}

impl Caller {
    fn is_in_time(&self, kinds: &[Kind]) -> bool {
        let latest = self.first_sent + kinds[self.kind].objective;
        self.begun.is_some_and(|begun| begun <= latest)
    }
}

struct Simulation {
    kinds: Vec<Kind>,
    random: SmallRng,
    hub: Hub,
    callers: Vec<Caller>,
    queued: BTreeMap<u64, (Ticket, usize)>,
    /// When callers send: the time and the caller.
    sending: BTreeMap<u64, Vec<usize>>,
    /// The requests at each server, in order, and when those that run end.
    servers: Vec<VecDeque<(usize, Option<u64>)>>,
    last_grant: GrantId,
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn at(time: u64) -> Instant {
    Instant::default() + ms(time)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_micros().div_ceil(1_000)).expect("fits")
}

fn server(index: u64) -> Server {
    Server {
        incarnation: format!("s{index}").into(),
        name: format!("s{index}").into(),
        started_ms: 0,
        version: "v1".parse().expect("a version"),
        service: "chat".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: SLOTS,
        leaving: false,
        cold: false,
    }
}

fn hub(scheduling: Scheduling) -> Hub {
    let servers = (0..SERVERS).map(server);
    let tuning = Tuning {
        scheduling,
        ..Tuning::default()
    };
    let mut hub = Hub::new(tuning, at(0)).with_id(1);
    hub.set_server_list(Arc::new(ServerList::new(servers.collect())));
    let policy = ServicePolicy {
        max_connections: 100,
        health_path: "/health".into(),
        cold_rate: None,
        engine: None,
    };
    let table = Table::new(Parts {
        version: 1,
        services: [("chat".parse().expect("a name"), policy)].into(),
        ..Parts::default()
    });
    hub.apply_table(&table.expect("a valid table"), at(0));
    hub
}

impl Simulation {
    fn new(kinds: &[Kind], has_part: bool, seed: u64) -> Self {
        let scheduling = Scheduling::default();
        let scheduling = if has_part {
            scheduling.with(Part::RetryTimes)
        } else {
            scheduling
        };
        Self {
            kinds: kinds.to_vec(),
            random: SmallRng::seed_from_u64(seed),
            hub: hub(scheduling),
            callers: Vec::new(),
            queued: BTreeMap::new(),
            sending: BTreeMap::new(),
            servers: (0..SERVERS).map(|_| VecDeque::new()).collect(),
            last_grant: GrantId::default(),
        }
    }

    /// Lets all servers be full of work that began before.
    fn with_full_servers(mut self) -> Self {
        let work = self.kinds[0].work;
        for requests in &mut self.servers {
            let ends = (1..=SLOTS)
                .map(|slot| (usize::MAX, Some(work * u64::from(slot) / u64::from(SLOTS))));
            requests.extend(ends);
        }
        self
    }

    /// Lets new callers arrive for five seconds, and runs until all are done.
    fn run(mut self) -> Self {
        for now in 0..END {
            self.end_work(now);
            if now < LOAD_END {
                self.arrive(now);
            }
            for caller in self.sending.remove(&now).unwrap_or_default() {
                self.send(caller, now);
            }
            self.grant(now);
        }
        self
    }

    fn arrive(&mut self, now: u64) {
        for kind in 0..self.kinds.len() {
            let mut expected = self.kinds[kind].per_second / 1_000.0;
            while expected > 0.0 && self.random.random_bool(expected.min(1.0)) {
                self.callers.push(Caller {
                    kind,
                    is_patient: self.random.random_bool(2.0 / 3.0),
                    first_sent: now,
                    ..Caller::default()
                });
                self.sending
                    .entry(now)
                    .or_default()
                    .push(self.callers.len() - 1);
                expected -= 1.0;
            }
        }
    }

    fn remaining(&self, caller: usize, now: u64) -> Duration {
        let caller = &self.callers[caller];
        ms((caller.first_sent + self.kinds[caller.kind].deadline).saturating_sub(now))
    }

    fn wait_limit(&self, caller: usize, now: u64) -> WaitLimit {
        WaitLimit {
            objective: ms(self.kinds[self.callers[caller].kind].objective),
            waited: ms(now - self.callers[caller].sent),
            remaining: self.remaining(caller, now),
            first_byte: ms(FIRST_EVENT),
        }
    }

    fn send(&mut self, caller: usize, now: u64) {
        self.callers[caller].sent = now;
        let limit = self.wait_limit(caller, now);
        let host = "g".parse().expect("a name");
        let request = SlotRequest {
            rank: self.kinds[self.callers[caller].kind].rank.into(),
            send_within: limit.send_within(),
            first_event_within: limit.begin_within(),
            max_wait: limit.max_wait(),
            time_left: limit.remaining,
            features: identity(caller as u64).into(),
            ..messages::slot_request(&host)
        };
        let decision = self.hub.request_slot(request, at(now));
        let SlotDecision::Queued(ticket, displaced) = decision else {
            panic!("the request is not queued: {decision:?}");
        };
        self.queued.insert(caller as u64, (ticket, caller));
        self.reject(displaced, now);
    }

    fn grant(&mut self, now: u64) {
        for (ticket, grant) in self.hub.grant_slots(at(now)) {
            let caller = self.take(&ticket);
            let index: usize = grant.server.name[1..].parse().expect("a number");
            self.last_grant = grant.id;
            self.servers[index].push_back((caller, None));
            self.start_work(index, now);
        }
        let doomed = self.hub.reject_doomed(at(now));
        self.reject(doomed, now);
        let is_over = |(_, caller): &&(Ticket, usize)| {
            let limit = self.wait_limit(*caller, self.callers[*caller].sent);
            self.callers[*caller].sent + millis(limit.max_wait()) <= now
        };
        let over: Vec<_> = self.queued.values().filter(is_over).cloned().collect();
        for (ticket, _) in over {
            let retry_after = self.hub.give_up(ticket.clone(), at(now));
            let rejected = RejectedRequest {
                ticket,
                retry_after,
                quarantined: None,
            };
            self.reject(Some(rejected), now);
        }
    }

    fn take(&mut self, ticket: &Ticket) -> usize {
        let mut queued = self.queued.iter();
        let found = queued.find(|(_, (other, _))| other == ticket);
        let key = *found.expect("the request is queued").0;
        self.queued.remove(&key).expect("the request is queued").1
    }

    fn reject(&mut self, rejected: impl IntoIterator<Item = RejectedRequest>, now: u64) {
        for RejectedRequest {
            ticket,
            retry_after,
            ..
        } in rejected
        {
            let index = self.take(&ticket);
            let limit = self.wait_limit(index, now);
            let told = retry_after.unwrap_or_else(|| limit.retry_after());
            let caller = &mut self.callers[index];
            caller.rejected.push((now, now - caller.sent));
            if caller.rejected.len() > 1 {
                continue;
            }
            let honoured = told.min(limit.remaining / 3);
            let delay = if caller.is_patient {
                millis(honoured)
            } else {
                IMPATIENCE
            };
            self.sending
                .entry(now + delay.max(1))
                .or_default()
                .push(index);
        }
    }

    /// Starts queued requests of a server while it has slots.
    fn start_work(&mut self, index: usize, now: u64) {
        let waiting = self.servers[index].iter_mut().take(SLOTS as usize);
        for (caller, ends) in waiting.filter(|(_, ends)| ends.is_none()) {
            let caller = &mut self.callers[*caller];
            caller.begun = Some(now + FIRST_EVENT);
            let work = self.kinds[caller.kind].work;
            *ends = Some(now + self.random.random_range(work / 2..=work * 3 / 2));
        }
    }

    fn end_work(&mut self, now: u64) {
        for index in 0..self.servers.len() {
            self.servers[index].retain(|(_, ends)| ends.is_none_or(|ends| ends > now));
            self.start_work(index, now);
        }
        let servers = self.servers.iter().enumerate();
        let loads = servers.map(|(index, requests)| Load {
            incarnation: format!("s{index}").into(),
            requests: u32::try_from(requests.len()).expect("fits"),
            prefill_tokens: Tokens(0),
        });
        let mut report = messages::report(&"g".parse().expect("a name"));
        report.loads = loads.collect();
        report.last_grant = self.last_grant;
        self.hub.report(&report, at(now));
    }

    fn count(&self, is_counted: impl Fn(&Caller) -> bool) -> usize {
        self.callers
            .iter()
            .filter(|caller| is_counted(caller))
            .count()
    }

    fn served_in_time(&self) -> usize {
        self.count(|caller| caller.is_in_time(&self.kinds))
    }

    /// Prints what the design page compares.
    fn print(&self, name: &str, has_part: bool) {
        let served = self.count(|caller| caller.begun.is_some());
        let twice = self.count(|caller| caller.rejected.len() > 1);
        let patient = self.count(|caller| caller.is_patient && caller.rejected.len() > 1);
        let (sent, in_time) = (self.callers.len(), self.served_in_time());
        let delays = self.callers.iter().flat_map(|caller| &caller.rejected);
        let delays: Vec<_> = delays.map(|(_, delay)| *delay).collect();
        let at_once = delays.iter().filter(|delay| **delay <= AT_ONCE).count();
        println!(
            "{name}, part {has_part}: sent {sent}, served {served}, in time {in_time}, rejections {}, at once \
             {at_once}, rejected twice {twice} ({patient} that waited)",
            delays.len()
        );
    }
}

/// Rejections within this time, in milliseconds, count as immediate.
const AT_ONCE: u64 = 10;

/// How many requests per second keep all slots busy.
const CAPACITY: u32 = 200;

/// The work that this takes.
const WORK: u64 = SERVERS * SLOTS as u64 * 1_000 / CAPACITY as u64;

fn kind(rank: u8, load: f64, objective: u64, deadline: u64) -> Kind {
    Kind {
        rank,
        per_second: load * f64::from(CAPACITY),
        objective,
        deadline,
        work: WORK,
    }
}

/// Urgent requests with long deadlines and others with a short one, as in the deployments.
fn several_kinds(load: f64) -> [Kind; 3] {
    [
        kind(0, load * 0.2, 600, 12_000),
        kind(1, load * 0.35, 300, 10_000),
        kind(2, load * 0.45, 400, 2_500),
    ]
}

/// Runs the same load without and with the part.
fn compare(name: &str, kinds: &[Kind], seed: u64) -> [Simulation; 2] {
    [false, true].map(|has_part| {
        let simulation = Simulation::new(kinds, has_part, seed).run();
        simulation.print(name, has_part);
        simulation
    })
}

/// The replay of the design page: twice the capacity for five seconds, then nothing.
#[test]
fn overload_ends() {
    for seed in 0..3 {
        let [before, after] = compare("2x", &[kind(1, 2.0, 400, 10_000)], seed);
        assert!(
            after.served_in_time() > before.served_in_time(),
            "seed {seed}"
        );
        // Until 100 ms after the end of the load, new requests are queued.
        let again = after.count(|caller| {
            let returned = caller.is_patient && caller.sent > LOAD_END + 100;
            returned && caller.rejected.len() > 1
        });
        assert_eq!(
            again, 0,
            "seed {seed}: a second overload rejects callers that waited"
        );
        let rejected = |is_patient, is_served| {
            after.count(|caller| {
                caller.is_patient == is_patient
                    && !caller.rejected.is_empty()
                    && caller.begun.is_some() == is_served
            })
        };
        let (waited, lost) = (rejected(true, true), rejected(true, false));
        let (early, early_lost) = (rejected(false, true), rejected(false, false));
        assert!(
            waited * early_lost >= early * lost,
            "seed {seed}: callers that do not wait gain by it: {waited} and {early}"
        );
    }
}

/// Urgent requests are served as before, and more of all in time.
#[test]
fn several_ranks() {
    for (name, load) in [("kinds 1.3x", 1.3), ("kinds 2x", 2.0), ("kinds 6x", 6.0)] {
        let [before, after] = compare(name, &several_kinds(load), 1);
        assert!(after.served_in_time() >= before.served_in_time(), "{name}");
        let urgent = |simulation: &Simulation| {
            simulation.count(|caller| caller.kind == 0 && caller.is_in_time(&simulation.kinds))
        };
        assert!(urgent(&after) >= urgent(&before), "{name}");
    }
}

/// All rejections come at once, also at a hub that has just started, and a burst does not return as a burst.
#[test]
fn rejected_at_once() {
    let twice = [kind(1, 2.0, 400, 10_000)];
    let short = [kind(1, 2.0, 400, 2_500)];
    compare("1.3x", &[kind(1, 1.3, 400, 10_000)], 1);
    compare("3x", &[kind(1, 3.0, 400, 10_000)], 1);
    compare("2x, 2.5 s", &short, 1);
    let simulation = Simulation::new(&twice, true, 1).with_full_servers().run();
    simulation.print("2x at a new hub", true);
    let delays = simulation
        .callers
        .iter()
        .flat_map(|caller| &caller.rejected);
    let held: Vec<_> = delays.filter(|(_, delay)| *delay > AT_ONCE).collect();
    assert!(held.is_empty(), "{held:?}");
    // The requests that can be sent within the objective are queued, although no slot has become free so far.
    let early = simulation.count(|caller| {
        caller.first_sent < 20 && caller.rejected.first().is_some_and(|(at, _)| *at < 20)
    });
    assert_eq!(early, 0);
}

/// A server with one slot, at which a request is assigned every 20 ms for a while, so that the forecast knows the rate;
/// it is full at the end. Of rank 0, 25 requests a second arrive, and of rank 1 more than can be served.
fn busy_pool() -> Pool {
    let tuning = pool::Tuning {
        extra_in_flight: 0,
        scheduling: Scheduling::default().with(Part::RetryTimes),
        ..pool::Tuning::default()
    };
    let mut pool = Pool::new(tuning, 7);
    pool.update_servers(vec![Arc::new(Server {
        slots: 1,
        ..server(0)
    })]);
    for step in 0..=BUSY / 20 {
        pool.finish_attempt("s0", AttemptOutcome::Unknown, at(step * 20));
        enqueue(&mut pool, u8::from(step % 2 == 0), at(step * 20), 400);
        enqueue(&mut pool, 1, at(step * 20), 400);
        pool.assign(at(step * 20));
        pool.remove_doomed(at(step * 20));
    }
    pool
}

/// The end of [`busy_pool`].
const BUSY: u64 = 3_000;

fn enqueue(pool: &mut Pool, rank: u8, arrived: Instant, wait: u64) -> pool::Ticket {
    let request = pool::Request {
        rank: rank.into(),
        arrived,
        send_by: arrived + ms(wait),
        wait_until: arrived + ms(wait),
        ..pool::Request::default()
    };
    pool.enqueue(request, arrived).0
}

fn identity(digest: u64) -> Identity {
    Identity {
        customer: None,
        digest,
    }
}

fn rejected(digest: u64, rank: u8, now: u64, deadline: u64) -> Rejected {
    Rejected {
        identity: identity(digest),
        rank: rank.into(),
        arrived: at(now),
        deadline: at(now + deadline),
        returned: None,
    }
}

/// Callers are told times that they honour. At no time do more of a rank and higher ones return than can be served, and
/// of those rejected together, urgent ones are told no later times than others with the same deadline.
#[test]
fn schedule_bounds() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut pool = busy_pool();
        let mut times = Vec::new();
        for digest in 0..400 {
            let deadline = 3 * random.random_range(200..12_000);
            let told = [0, 1, 2].map(|rank| {
                let rejected = rejected(digest * 3 + u64::from(rank), rank, BUSY, deadline);
                let told = pool.schedule_retry(&rejected, at(BUSY));
                told.expect("a known rate")
            });
            let latest = (ms(deadline) / 3).min(ms(10_000));
            let is_allowed = |told: &Duration| (ms(100)..=latest).contains(told);
            assert!(told.iter().all(is_allowed), "seed {seed}: {told:?}");
            assert!(told.is_sorted(), "seed {seed}: {told:?}");
            // If too many return at all times, the latest is told.
            let told = told.iter().filter(|told| **told < latest);
            times.extend(told.map(|told| millis(*told)));
        }
        for from in (0..10_000).step_by(50) {
            let second = times
                .iter()
                .filter(|told| (from..from + 1_000).contains(*told));
            let count = second.count();
            assert!(
                count <= 50 + 1,
                "seed {seed}: {count} return from {from} ms on"
            );
        }
    }
}

/// A burst does not return as a burst: higher ranks leave 25 slots per second.
#[test]
fn burst_spread() {
    let mut pool = busy_pool();
    let told =
        (0..60).map(|digest| pool.schedule_retry(&rejected(digest, 1, BUSY, 9_000), at(BUSY)));
    let told: Vec<_> = told
        .map(|told| millis(told.expect("a known rate")))
        .collect();
    for from in (0..3_000).step_by(50) {
        let second = told
            .iter()
            .filter(|told| (from..from + 1_000).contains(*told));
        assert!(second.count() <= 25 + 2, "{told:?}");
    }
}

/// A caller that returns before its time is told none before it, even if only earlier times are free. Its time is given
/// to another caller.
#[test]
fn early_gains_nothing() {
    let mut pool = busy_pool();
    let first = rejected(0, 1, BUSY, 9_000);
    let told = pool.schedule_retry(&first, at(BUSY)).expect("a known rate");
    let (due, now) = (at(BUSY) + told, BUSY + 100);
    let returned = pool
        .recognise(&first.identity, at(now))
        .expect("a known caller");
    assert_eq!((returned.arrived, returned.queued_as), (at(BUSY), due));
    assert!(
        pool.recognise(&first.identity, due).is_none(),
        "it has returned"
    );
    let others = (1..60).map(|digest| rejected(digest, 1, now, 9_000));
    let others = others.map(|other| pool.schedule_retry(&other, at(now)).expect("a known rate"));
    assert!(others.map(|told| at(now) + told).any(|other| other == due));
    let again = Rejected {
        returned: Some(returned),
        ..first
    };
    let told = pool.schedule_retry(&again, at(now)).expect("a known rate");
    assert!(at(now) + told >= due, "{told:?}");
}

/// Callers that return together after the load has ended are no overload: they keep the order of their first arrivals.
#[test]
fn order_of_returns() {
    let mut pool = busy_pool();
    let told =
        (0..40).map(|digest| pool.schedule_retry(&rejected(digest, 1, BUSY, 9_000), at(BUSY)));
    let due = told
        .map(|told| BUSY + millis(told.expect("a known rate")))
        .max();
    let due = due.expect("a caller");
    for now in (BUSY..due).step_by(50) {
        enqueue(&mut pool, 9, at(now), 50);
        pool.remove_doomed(at(now));
    }
    for digest in 0..40 {
        let returned = pool
            .recognise(&identity(digest), at(due))
            .expect("a known caller");
        assert_eq!(returned.queued_as, at(BUSY), "caller {digest}");
        enqueue(&mut pool, 1, at(due), 400);
    }
}

/// The rate of assignments at low load does not show how many requests can be served: when a spike begins, nothing is
/// rejected that can be.
#[test]
fn spike_begins() {
    let mut pool = busy_pool();
    let spike = BUSY + 2_000;
    while pool.queue_len() > 0 {
        pool.finish_attempt("s0", AttemptOutcome::Unknown, at(BUSY));
        pool.assign(at(BUSY));
    }
    for now in (BUSY..spike).step_by(100) {
        pool.finish_attempt("s0", AttemptOutcome::Unknown, at(now));
        enqueue(&mut pool, 1, at(now), 400);
        pool.assign(at(now));
        pool.remove_doomed(at(now));
    }
    for _ in 0..10 {
        enqueue(&mut pool, 1, at(spike), 400);
    }
    for now in (spike..spike + 200).step_by(20) {
        assert!(pool.remove_doomed(at(now)).is_empty(), "at {now} ms");
        pool.finish_attempt("s0", AttemptOutcome::Unknown, at(now));
        assert_eq!(pool.assign(at(now)).len(), 1, "at {now} ms");
    }
}

/// The record of rejected requests is bounded in number and age.
#[test]
fn bounded_record() {
    let mut pool = busy_pool();
    for digest in 0..20_000 {
        pool.schedule_retry(&rejected(digest, 1, BUSY, 9_000), at(BUSY));
    }
    let mut clone = |digest, now| pool.recognise(&identity(digest), at(now)).is_some();
    let known = (0..20_000).filter(|digest| clone(*digest, BUSY)).count();
    assert!((10_000..=16_384).contains(&known), "{known}");
    pool.schedule_retry(&rejected(1, 1, BUSY, 9_000), at(BUSY));
    assert!(pool.recognise(&identity(1), at(BUSY + 6_000)).is_none());
}

/// Requests at a hub whose servers are all full.
struct FullHub {
    hub: Hub,
    last_grant: GrantId,
}

impl FullHub {
    fn new(scheduling: Scheduling) -> Self {
        let mut hub = hub(scheduling);
        for digest in 0..SERVERS * u64::from(SLOTS + 1) {
            request(&mut hub, "g", 1_000 + digest, 0);
        }
        let grants = hub.grant_slots(at(0));
        let last_grant = grants.last().expect("a grant").1.id;
        let mut full = Self { hub, last_grant };
        full.report(SLOTS + 1, 0);
        full
    }

    /// Lets one request end; returns which one gets its slot.
    fn free_slot(&mut self, now: u64) -> Vec<Ticket> {
        self.report(SLOTS, now);
        let grants = self.hub.grant_slots(at(now));
        grants.into_iter().map(|(ticket, _)| ticket).collect()
    }

    /// Reports that all servers are full, but the first has this many requests.
    fn report(&mut self, at_first: u32, now: u64) {
        let loads = (0..SERVERS).map(|index| Load {
            incarnation: format!("s{index}").into(),
            requests: if index == 0 { at_first } else { SLOTS + 1 },
            prefill_tokens: Tokens(0),
        });
        let mut report = messages::report(&"g".parse().expect("a name"));
        report.loads = loads.collect();
        report.last_grant = self.last_grant;
        self.hub.report(&report, at(now));
    }
}

fn request(hub: &mut Hub, host: &str, digest: u64, now: u64) -> Ticket {
    let request = SlotRequest {
        features: identity(digest).into(),
        send_within: ms(100),
        ..messages::slot_request(&host.parse().expect("a name"))
    };
    match hub.request_slot(request, at(now)) {
        SlotDecision::Queued(ticket, _) => ticket,
        other => panic!("the request is not queued: {other:?}"),
    }
}

/// A caller that returns at its time, at another gateway, goes before requests that arrived after it; one that returns
/// early goes behind them.
#[test]
fn keeps_first_arrival() {
    for (early, is_first) in [(0, true), (200, false)] {
        let mut full = FullHub::new(Scheduling::default().with(Part::RetryTimes));
        let rejected = request(&mut full.hub, "g", 1, 2);
        full.hub.reject_doomed(at(2));
        let told = full.hub.give_up(rejected, at(10)).expect("a time");
        let due = 10 + millis(told);
        let newer = request(&mut full.hub, "g", 2, due - early - 50);
        let returned = request(&mut full.hub, "gg", 1, due - early);
        let expected = if is_first { returned } else { newer };
        assert_eq!(full.free_slot(due - early), [expected], "{early} ms early");
    }
}

/// A caller that was rejected twice keeps its first arrival too.
#[test]
fn rejected_twice() {
    let mut full = FullHub::new(Scheduling::default().with(Part::RetryTimes));
    let mut reject = |digest, now| {
        let ticket = request(&mut full.hub, "g", digest, now);
        let rejected = full.hub.reject_doomed(at(now)).pop();
        let told = rejected.and_then(|rejected| rejected.retry_after);
        let told = told.or_else(|| full.hub.give_up(ticket, at(now + 1)));
        now + 1 + millis(told.expect("a time"))
    };
    let due = [reject(1, 2), reject(2, 4), reject(1, 100)];
    let due = due.into_iter().max().expect("a time");
    request(&mut full.hub, "g", 2, due);
    let first = request(&mut full.hub, "g", 1, due);
    assert_eq!(full.free_slot(due), [first]);
}

/// Where a slot becomes free less often than within the objective, one request waits for the next one, and the others are
/// rejected at once.
#[test]
fn one_waits() {
    let mut full = FullHub::new(Scheduling::default().with(Part::RetryTimes));
    let mut queued = Vec::new();
    for (digest, now) in (400..3_000).step_by(50).enumerate() {
        queued.push(request(&mut full.hub, "g", digest as u64, now));
        assert!(full.hub.grant_slots(at(now)).is_empty());
        for rejected in full.hub.reject_doomed(at(now)) {
            queued.retain(|ticket| *ticket != rejected.ticket);
        }
        // Until then slots may become free often.
        assert!(
            now < 1_000 || queued.len() == 1,
            "{} at {now} ms",
            queued.len()
        );
    }
}

/// Without the part nobody is told a time or recognised.
#[test]
fn without_part() {
    let mut full = FullHub::new(Scheduling::default());
    let rejected = request(&mut full.hub, "g", 1, 2);
    assert_eq!(full.hub.give_up(rejected, at(10)), None);
    let newer = request(&mut full.hub, "g", 2, 20);
    request(&mut full.hub, "gg", 1, 30);
    assert_eq!(full.free_slot(40), [newer]);
}
