//! A hub, gateways and two plain servers in simulated time: requests with short or long work, whose ends the hub learns of
//! late.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::AttemptEnd;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Load;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Part;
use curlewlift_core::pool::ReportedLoad;
use curlewlift_core::pool::Scheduling;
use curlewlift_core::route::Parts;
use curlewlift_core::route::ServicePolicy;
use curlewlift_core::route::Table;
use curlewlift_core::unit::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::messages;

const HOSTS: usize = 79;
pub(crate) const SLOTS: usize = 6;
/// The one-way latency between data halls, in microseconds.
const HALL_LATENCY: u64 = 1_400;
/// The latency objective, and how long a request waits at the hub, in microseconds.
pub(crate) const OBJECTIVE: u64 = 120_000;
const MAX_WAIT: u64 = 500_000;
/// What the hub tells 79 gateways.
const POLL_INTERVAL: u64 = 237_000;
pub(crate) const MS: u64 = 1_000;
/// The length of the windows in which busy slots and rejections are compared, in milliseconds.
const WINDOW: u64 = 250;
pub(crate) const SERVERS: [&str; 2] = ["s1", "s2"];

/// Work of a request that starts at a time in milliseconds at a server, in microseconds.
pub(crate) type Work = fn(u64, usize, &mut SmallRng) -> u64;

pub(crate) struct Scenario {
    pub(crate) scheduling: Scheduling,
    /// Requests a second at a time in milliseconds.
    pub(crate) rate: fn(u64) -> f64,
    pub(crate) work: Work,
    /// The time after which reports reach the hub, in milliseconds.
    pub(crate) report_delay: Range<u64>,
    /// Whether a host sends a report only after the reply to the former one.
    pub(crate) reports_wait: bool,
    /// How many requests a server queues; it rejects more.
    pub(crate) max_queued: usize,
    /// Requests a second that reach each server without the hub, at a time in milliseconds.
    pub(crate) rate_of_others: fn(u64) -> f64,
}

/// The load of the page: 15 ms of work, reports after 15 to 250 ms.
pub(crate) fn short_work() -> Scenario {
    Scenario {
        scheduling: Scheduling::default().with(Part::InFlight),
        rate: |_| 450.0,
        work: |_, _, _| 15 * MS,
        report_delay: 15..250,
        reports_wait: false,
        max_queued: 24,
        rate_of_others: |_| 0.0,
    }
}

struct Job {
    host: usize,
    grant: GrantId,
    sent_at: u64,
}

enum Event {
    Arrival,
    ArrivalWithoutHub(usize),
    Requested(usize),
    GiveUp(Ticket),
    Granted(usize, Grant),
    AtServer(usize, Job),
    Done(usize, Job),
    Ended(Job, usize, AttemptOutcome, Option<ReportedLoad>),
    Reported(Report),
    ReportReply(usize),
    Poll(usize),
    Polled(Poll),
    Sample,
}

#[derive(Default)]
pub(crate) struct SimServer {
    running: usize,
    queue: VecDeque<Job>,
    pub(crate) is_down: bool,
    /// Requests of hosts that are there or on the way there.
    pub(crate) in_flight: u32,
}

#[derive(Default)]
struct Host {
    last_grant: GrantId,
    running: BTreeMap<usize, u32>,
    ends: Vec<AttemptEnd>,
    is_reporting: bool,
    /// When its last message reaches the hub; messages stay in order.
    last_due: u64,
    grants_due: u64,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Window {
    pub(crate) rejected: u32,
    /// Rejections by servers that had no room.
    pub(crate) refused: u32,
    pub(crate) ended: u32,
    /// Busy slots, summed over the samples.
    pub(crate) busy: usize,
    pub(crate) max_waiting: usize,
}

pub(crate) struct World {
    pub(crate) scenario: Scenario,
    random: SmallRng,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: HashMap<u64, Event>,
    hub: Hub,
    hub_id: u64,
    pub(crate) list: Vec<Server>,
    hosts: Vec<Host>,
    pub(crate) servers: Vec<SimServer>,
    waiting: HashMap<Ticket, usize>,
    windows: Vec<Window>,
    /// The largest number of requests that were at a server or on the way there.
    pub(crate) max_in_flight: u32,
    /// How many requests were granted at servers that had as many as the hub allowed.
    pub(crate) beyond_limit: u32,
}

pub(crate) fn server(name: &str) -> Server {
    Server {
        incarnation: name.into(),
        name: name.into(),
        started_ms: 0,
        version: "v1".parse().expect("a version"),
        service: "chat".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: u32::try_from(SLOTS).expect("a small number"),
        leaving: false,
        cold: false,
    }
}

pub(crate) fn table() -> Table {
    let policy = ServicePolicy {
        max_connections: 1_000,
        health_path: "/".into(),
        cold_rate: None,
        engine: None,
    };
    Table::new(Parts {
        version: 1,
        services: [("chat".parse().expect("a name"), policy)].into(),
        ..Parts::default()
    })
    .expect("a valid table")
}

fn server_index(grant: &Grant) -> usize {
    let mut names = SERVERS.iter();
    let index = names.position(|name| **name == *grant.server.incarnation);
    index.expect("a known server")
}

fn host_name(host: usize) -> curlewlift_core::id::Host {
    format!("g{host}").parse().expect("a name")
}

impl World {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Self {
        let mut world = Self {
            scenario,
            random: SmallRng::seed_from_u64(seed),
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            hub: Hub::new(Tuning::default(), Instant::default()),
            hub_id: seed * 1_000,
            list: SERVERS.map(server).into(),
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            servers: SERVERS.iter().map(|_| SimServer::default()).collect(),
            waiting: HashMap::new(),
            windows: Vec::new(),
            max_in_flight: 0,
            beyond_limit: 0,
        };
        world.start_hub();
        world.push(0, Event::Arrival);
        world.push(0, Event::Sample);
        for server in 0..SERVERS.len() {
            world.push(0, Event::ArrivalWithoutHub(server));
        }
        for host in 0..HOSTS {
            let first = world.random.random_range(0..POLL_INTERVAL);
            world.push(first, Event::Poll(host));
        }
        world
    }

    fn instant(&self) -> Instant {
        Instant(self.now)
    }

    /// Starts a new hub, which knows nothing; gateways ask again for what was queued.
    pub(crate) fn start_hub(&mut self) {
        self.hub_id += 1;
        let tuning = Tuning {
            scheduling: self.scenario.scheduling,
            ..Tuning::default()
        };
        self.hub = Hub::new(tuning, self.instant()).with_id(self.hub_id);
        self.hub.apply_table(&table(), self.instant());
        self.publish_list();
        let queued: Vec<_> = std::mem::take(&mut self.waiting).into_values().collect();
        for host in queued {
            self.push(2 * HALL_LATENCY, Event::Requested(host));
        }
    }

    pub(crate) fn publish_list(&mut self) {
        let list = ServerList::new(self.list.clone());
        self.hub.set_server_list(Arc::new(list));
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence)));
        self.payloads.insert(self.sequence, event);
    }

    fn window(&mut self) -> &mut Window {
        let index = usize::try_from(self.now / MS / WINDOW).expect("a small number");
        if self.windows.len() <= index {
            self.windows.resize(index + 1, Window::default());
        }
        &mut self.windows[index]
    }

    /// Plays until a time in milliseconds.
    pub(crate) fn run_until(&mut self, until: u64) {
        while let Some(Reverse((due, number))) = self.events.peek().copied()
            && due < until * MS
        {
            self.events.pop();
            self.now = due;
            let event = self.payloads.remove(&number).expect("a pending event");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::ArrivalWithoutHub(server) => self.arrive_without_hub(server),
            Event::Requested(host) => self.request_slot(host),
            Event::GiveUp(ticket) => {
                if self.waiting.remove(&ticket).is_some() {
                    self.hub.cancel(&ticket, Instant(self.now));
                    self.window().rejected += 1;
                }
            }
            Event::Granted(host, grant) => self.send(host, &grant),
            Event::AtServer(server, job) => self.begin(server, job),
            Event::Done(server, job) => self.complete(server, job),
            Event::Ended(job, server, outcome, load) => self.end(&job, server, outcome, load),
            Event::Reported(report) => {
                self.hub.report(&report, Instant(self.now));
                self.grant_slots();
            }
            Event::ReportReply(host) => {
                self.hosts[host].is_reporting = false;
                self.report(host);
            }
            Event::Poll(host) => self.poll(host),
            Event::Polled(poll) => self.hub.on_poll(&poll, Instant(self.now)),
            Event::Sample => self.sample(),
        }
    }

    fn arrive(&mut self) {
        let host = self.random.random_range(0..HOSTS);
        self.push(HALL_LATENCY, Event::Requested(host));
        let rate = (self.scenario.rate)(self.now / MS);
        let interval = self.interval(rate);
        self.push(interval, Event::Arrival);
    }

    fn request_slot(&mut self, host: usize) {
        let request = SlotRequest {
            waited: Duration::from_micros(HALL_LATENCY),
            send_within: Duration::from_micros(OBJECTIVE - 20 * MS),
            first_event_within: Duration::from_micros(OBJECTIVE - HALL_LATENCY),
            max_wait: Duration::from_micros(MAX_WAIT),
            ..messages::slot_request(&host_name(host))
        };
        match self.hub.request_slot(request, Instant(self.now)) {
            SlotDecision::Queued(ticket, displaced) => {
                self.waiting.insert(ticket.clone(), host);
                self.push(MAX_WAIT, Event::GiveUp(ticket));
                if displaced
                    .is_some_and(|displaced| self.waiting.remove(&displaced.ticket).is_some())
                {
                    self.window().rejected += 1;
                }
            }
            other => panic!("the request was not queued: {other:?}"),
        }
        self.grant_slots();
    }

    fn grant_slots(&mut self) {
        let now = self.instant();
        for (ticket, grant) in self.hub.grant_slots(now) {
            let host = self.waiting.remove(&ticket).expect("a queued request");
            self.count_grant(&grant);
            let due = (self.now + HALL_LATENCY).max(self.hosts[host].grants_due);
            self.hosts[host].grants_due = due;
            self.push(due - self.now, Event::Granted(host, grant));
        }
        for rejected in self.hub.reject_doomed(now) {
            self.waiting.remove(&rejected.ticket);
            self.window().rejected += 1;
        }
    }

    /// Counts a request that a server gets, and compares the number there with the hub's limit.
    fn count_grant(&mut self, grant: &Grant) {
        let state = &mut self.servers[server_index(grant)];
        state.in_flight += 1;
        self.max_in_flight = self.max_in_flight.max(state.in_flight);
        let mut limits = self.hub.in_flight_limits();
        let limit = limits.find(|(_, limit)| limit.incarnation == grant.server.incarnation);
        let is_beyond = limit.is_some_and(|(_, limit)| state.in_flight > limit.limit);
        self.beyond_limit += u32::from(is_beyond);
    }

    fn send(&mut self, host: usize, grant: &Grant) {
        let server = server_index(grant);
        let state = &mut self.hosts[host];
        state.last_grant = grant.id;
        *state.running.entry(server).or_default() += 1;
        let job = Job {
            host,
            grant: grant.id,
            sent_at: self.now,
        };
        self.push(HALL_LATENCY, Event::AtServer(server, job));
    }

    fn begin(&mut self, server: usize, job: Job) {
        let state = &mut self.servers[server];
        if state.is_down {
            self.respond(server, job, AttemptOutcome::Broken);
        } else if state.running < SLOTS {
            self.start(server, job);
        } else if state.queue.len() < self.scenario.max_queued {
            state.queue.push_back(job);
        } else {
            self.window().refused += 1;
            self.respond(server, job, AttemptOutcome::Full);
        }
    }

    fn start(&mut self, server: usize, job: Job) {
        self.servers[server].running += 1;
        let work = (self.scenario.work)(self.now / MS, server, &mut self.random);
        self.push(work, Event::Done(server, job));
    }

    fn complete(&mut self, server: usize, job: Job) {
        let state = &mut self.servers[server];
        state.running -= 1;
        if state.is_down {
            self.respond(server, job, AttemptOutcome::Broken);
            return;
        }
        if let Some(next) = state.queue.pop_front() {
            self.start(server, next);
        }
        let first_byte = Duration::from_micros(self.now - job.sent_at + HALL_LATENCY);
        let gap = None;
        self.window().ended += 1;
        self.respond(server, job, AttemptOutcome::Answered { first_byte, gap });
    }

    fn respond(&mut self, server: usize, job: Job, outcome: AttemptOutcome) {
        let state = &self.servers[server];
        let count = |count: usize| u32::try_from(count).expect("a small number");
        let load = ReportedLoad {
            running: count(state.running),
            waiting: count(state.queue.len()),
            slots: Some(count(SLOTS)),
            relative_time: None,
        };
        let load = Some(load).filter(|_| !state.is_down);
        if job.host < HOSTS {
            self.push(HALL_LATENCY, Event::Ended(job, server, outcome, load));
        }
    }

    /// Lets a request reach `server` without the hub.
    fn arrive_without_hub(&mut self, server: usize) {
        let rate = (self.scenario.rate_of_others)(self.now / MS);
        if rate > 0.0 {
            let job = Job {
                host: HOSTS,
                grant: GrantId::default(),
                sent_at: self.now,
            };
            self.begin(server, job);
        }
        let interval = self.interval(rate.max(100.0));
        self.push(interval, Event::ArrivalWithoutHub(server));
    }

    /// The time until the next of random events with a rate a second.
    fn interval(&mut self, rate: f64) -> u64 {
        let uniform: f64 = self.random.random();
        let interval = Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
        u64::try_from(interval.as_micros()).expect("a short time")
    }

    fn end(
        &mut self,
        job: &Job,
        server: usize,
        outcome: AttemptOutcome,
        load: Option<ReportedLoad>,
    ) {
        let host = &mut self.hosts[job.host];
        if let Some(running) = host.running.get_mut(&server) {
            *running -= 1;
        }
        self.servers[server].in_flight -= 1;
        host.ends.push(AttemptEnd {
            service: "chat".parse().expect("a name"),
            incarnation: SERVERS[server].into(),
            rollout: None,
            outcome,
            grant: job.grant,
            server_time: Duration::from_micros(self.now - job.sent_at),
            load,
        });
        self.report(job.host);
    }

    /// Reports what has ended at a host, unless it waits for the reply to its former report.
    fn report(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        if state.ends.is_empty() || (self.scenario.reports_wait && state.is_reporting) {
            return;
        }
        state.is_reporting = true;
        let report = Report {
            last_grant: state.last_grant,
            loads: loads(state),
            ended: std::mem::take(&mut state.ends),
            ..messages::report(&host_name(host))
        };
        let due = self.message_due(host);
        self.push(due, Event::Reported(report));
        self.push(due + HALL_LATENCY, Event::ReportReply(host));
    }

    /// The time until a message that a host sends now reaches the hub.
    fn message_due(&mut self, host: usize) -> u64 {
        let delay = &self.scenario.report_delay;
        let delay = self.random.random_range(delay.start * MS..delay.end * MS);
        let host = &mut self.hosts[host];
        host.last_due = host.last_due.max(self.now + delay);
        host.last_due - self.now
    }

    fn poll(&mut self, host: usize) {
        let due = self.message_due(host);
        let poll = Poll {
            last_grant: self.hosts[host].last_grant,
            loads: loads(&self.hosts[host]),
            ..messages::poll(&host_name(host))
        };
        self.push(due, Event::Polled(poll));
        self.push(POLL_INTERVAL, Event::Poll(host));
    }

    /// Counts busy slots once a millisecond.
    fn sample(&mut self) {
        let up = self.servers.iter().filter(|server| !server.is_down);
        let busy: usize = up.map(|server| server.running).sum();
        let queued = self.servers.iter().map(|server| server.queue.len());
        let queued = queued.max().unwrap_or(0);
        let window = self.window();
        window.busy += busy;
        window.max_waiting = window.max_waiting.max(queued);
        if self.now.is_multiple_of(20 * MS) {
            self.hub.tick(self.instant());
            self.grant_slots();
        }
        self.push(MS, Event::Sample);
    }

    /// The number of requests that each server may have in flight.
    pub(crate) fn limits(&self) -> Vec<u32> {
        let limits = self.hub.in_flight_limits();
        limits.map(|(_, limit)| limit.limit).collect()
    }

    /// The windows between two times in milliseconds.
    pub(crate) fn windows(&self, times: Range<u64>) -> &[Window] {
        let index = |time: u64| usize::try_from(time / WINDOW).expect("a small number");
        &self.windows[index(times.start)..index(times.end)]
    }

    /// The share of `slots` that were busy in the windows in which requests were rejected; 1 if none were.
    #[expect(clippy::cast_precision_loss)]
    pub(crate) fn busy_while_rejecting(&self, times: Range<u64>, slots: usize) -> f64 {
        let windows = self.windows(times).iter();
        let rejecting: Vec<_> = windows.filter(|window| window.rejected > 0).collect();
        let busy: usize = rejecting.iter().map(|window| window.busy).sum();
        let total = rejecting.len() as u64 * WINDOW * slots as u64;
        if total == 0 {
            1.0
        } else {
            busy as f64 / total as f64
        }
    }

    /// The figures of each window: busy slots, rejections, rejections by servers, the longest queue.
    #[expect(clippy::cast_precision_loss)]
    pub(crate) fn summary(&self) -> String {
        let windows = self.windows.iter().map(|window| {
            let busy = window.busy as f64 / WINDOW as f64;
            let (rejected, refused) = (window.rejected, window.refused);
            format!("{busy:.1}/{rejected}/{refused}/{}", window.max_waiting)
        });
        windows.collect::<Vec<_>>().join(" ")
    }
}

fn loads(host: &Host) -> Vec<Load> {
    let running = host.running.iter().filter(|(_, count)| **count > 0);
    let loads = running.map(|(server, count)| Load {
        incarnation: SERVERS[*server].into(),
        requests: *count,
        prefill_tokens: Tokens(0),
    });
    loads.collect()
}
