//! Random histories of servers that fail when they reject too many requests: over all gateways, no server rejects more in
//! any second than it has announced, while messages are late, hubs change and gateways are cut off.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

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
use curlewlift_core::id;
use curlewlift_core::limit::Reports;
use curlewlift_core::rejection::Limit;
use curlewlift_core::rejection::Tracker;
use curlewlift_core::state::Publication;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::messages;
use support::time::ms;

const SERVERS: usize = 3;
const SLOTS: u32 = 4;
const STEP: u64 = 2;
const POLL_INTERVAL: u64 = 60;
const END: u64 = 9_000;

/// The longest time that a message between a gateway and the hub takes.
const MAX_DELAY: u64 = 30;

/// When servers begin to announce their limits, and how long all gateways and the hub may take to know of them.
const ANNOUNCED_AT: u64 = 1_000;
const GRACE: u64 = 1_000;

/// A message or an event that arrives at its time.
enum Event {
    Granted(usize, GrantId, usize),
    Arrived(usize, usize),
    Responded(usize, usize, bool),
    Worked(usize, usize),
    Ended(usize, usize),
    Reported(Box<Report>),
    Polled(Box<Poll>),
}

/// A gateway: its requests in flight at each server, and how many of them have begun.
struct Gateway {
    host: id::Host,
    in_flight: [u32; SERVERS],
    begun: [u32; SERVERS],
    tracker: Tracker,
    last_grant: GrantId,
    /// The limits that the last hub has announced.
    known: Vec<(id::Service, Limit)>,
    /// The hub that it has polled.
    polled_hub: u64,
    /// When the last message from or to the hub arrives.
    last_arrival: u64,
    cut_off: std::ops::Range<u64>,
}

struct World {
    random: SmallRng,
    hub: Hub,
    hub_id: u64,
    queued: BTreeMap<usize, Vec<Ticket>>,
    gateways: Vec<Gateway>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    limit: u32,
    capacity: [u32; SERVERS],
    running: [u32; SERVERS],
    rejections: [Vec<u64>; SERVERS],
    served: u32,
}

fn name(server: usize) -> Arc<str> {
    format!("s{server}").into()
}

fn server(index: usize) -> Server {
    Server {
        incarnation: name(index),
        name: name(index),
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

impl World {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let gateways = (0..random.random_range(2..6)).map(|index| {
            let from = random.random_range(0..END);
            Gateway {
                host: format!("h{index}").parse().expect("a name"),
                in_flight: [0; SERVERS],
                begun: [0; SERVERS],
                tracker: Tracker::default(),
                last_grant: GrantId::default(),
                known: Vec::new(),
                polled_hub: 0,
                last_arrival: 0,
                cut_off: from..from + random.random_range(0..1_000),
            }
        });
        let gateways = gateways.collect();
        let limit = random.random_range(1..7);
        let capacity = [(); SERVERS].map(|()| random.random_range(SLOTS - 1..=SLOTS + 1));
        let mut world = Self {
            hub: Hub::new(Tuning::default(), ms(0)),
            random,
            hub_id: 0,
            queued: BTreeMap::new(),
            gateways,
            events: BTreeMap::new(),
            sequence: 0,
            limit,
            capacity,
            running: [0; SERVERS],
            rejections: Default::default(),
            served: 0,
        };
        world.change_hub(0);
        world
    }

    /// Starts another hub, which knows nothing.
    fn change_hub(&mut self, now: u64) {
        self.hub_id += 1;
        self.hub = Hub::new(Tuning::default(), ms(now)).with_id(self.hub_id);
        let servers = (0..SERVERS).map(server).collect();
        self.hub.set_server_list(Arc::new(ServerList::new(servers)));
        self.queued.clear();
    }

    /// Lets `event` happen after a random delay.
    fn send(&mut self, now: u64, max_delay: u64, event: Event) {
        self.sequence += 1;
        let at = now + self.random.random_range(1..=max_delay);
        self.events.insert((at, self.sequence), event);
    }

    /// Sends a message between a gateway and the hub, which arrives in the order of sending.
    fn send_in_order(&mut self, gateway: usize, now: u64, event: Event) {
        self.sequence += 1;
        let at = now + self.random.random_range(1..=MAX_DELAY);
        let last = &mut self.gateways[gateway].last_arrival;
        *last = at.max(*last);
        self.events.insert((*last, self.sequence), event);
    }

    fn run(&mut self) {
        for now in (0..END).step_by(usize::try_from(STEP).expect("fits")) {
            if now > 0 && self.random.random_range(0..2_000) == 0 {
                self.change_hub(now);
            }
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= now
            {
                let event = entry.remove();
                self.handle(event, now);
            }
            for gateway in 0..self.gateways.len() {
                self.step_gateway(gateway, now);
            }
            self.grant(now);
        }
    }

    /// Polls, and asks for slots if few requests wait.
    fn step_gateway(&mut self, gateway: usize, now: u64) {
        if self.gateways[gateway].cut_off.contains(&now) {
            return;
        }
        if (now + u64::try_from(gateway).expect("fits") * 10).is_multiple_of(POLL_INTERVAL) {
            let poll = self.poll(gateway, now);
            self.send_in_order(gateway, now, Event::Polled(Box::new(poll)));
        }
        if self.gateways[gateway].polled_hub != self.hub_id {
            return;
        }
        let host = self.gateways[gateway].host.clone();
        if self.queued.entry(gateway).or_default().len() < 4 {
            let request = SlotRequest {
                send_within: Duration::from_secs(5),
                max_wait: Duration::from_secs(5),
                time_left: Duration::from_secs(10),
                ..messages::slot_request(&host)
            };
            if let SlotDecision::Queued(ticket, _) = self.hub.request_slot(request, ms(now)) {
                self.queued.entry(gateway).or_default().push(ticket);
            }
        }
    }

    fn grant(&mut self, now: u64) {
        for (ticket, grant) in self.hub.grant_slots(ms(now)) {
            let waiting = self.queued.iter_mut();
            let holder = waiting.into_iter().find_map(|(gateway, tickets)| {
                let position = tickets.iter().position(|other| *other == ticket)?;
                tickets.remove(position);
                Some(*gateway)
            });
            let server: usize = grant.server.name[1..].parse().expect("a number");
            if let Some(gateway) = holder {
                self.send_in_order(gateway, now, Event::Granted(gateway, grant.id, server));
            }
        }
        for rejected in self.hub.reject_doomed(ms(now)) {
            for tickets in self.queued.values_mut() {
                tickets.retain(|ticket| *ticket != rejected.ticket);
            }
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Granted(gateway, ..) if self.gateways[gateway].cut_off.contains(&now) => {}
            Event::Granted(gateway, grant, server) => {
                let state = &mut self.gateways[gateway];
                if grant.follows(state.last_grant) {
                    state.last_grant = grant;
                }
                state.in_flight[server] += 1;
                self.send(now, 10, Event::Arrived(gateway, server));
            }
            Event::Arrived(gateway, server) => {
                let is_full = self.running[server] >= self.capacity[server];
                if is_full {
                    self.rejections[server].push(now);
                } else {
                    self.running[server] += 1;
                    self.send(now, 300, Event::Worked(gateway, server));
                }
                self.send(now, 10, Event::Responded(gateway, server, is_full));
            }
            Event::Responded(gateway, server, is_rejected) => {
                let limit = (now >= ANNOUNCED_AT).then_some(Limit(self.limit));
                let service = "chat".parse().expect("a name");
                let state = &mut self.gateways[gateway];
                state
                    .tracker
                    .record_response(&service, &name(server), limit, ms(now));
                if is_rejected {
                    state.tracker.record_rejection(&name(server), ms(now));
                    state.in_flight[server] -= 1;
                } else {
                    state.begun[server] += 1;
                }
                self.report(gateway, now);
            }
            Event::Worked(gateway, server) => {
                self.running[server] -= 1;
                self.served += 1;
                // After the head of the response.
                self.sequence += 1;
                self.events
                    .insert((now + 11, self.sequence), Event::Ended(gateway, server));
            }
            Event::Ended(gateway, server) => {
                let state = &mut self.gateways[gateway];
                state.in_flight[server] -= 1;
                state.begun[server] -= 1;
                self.report(gateway, now);
            }
            Event::Reported(report) => self.hub.report(&report, ms(now)),
            Event::Polled(poll) => {
                self.hub.on_poll(&poll, ms(now));
                let gateways = self.gateways.iter_mut();
                let gateway = gateways.into_iter().find(|other| other.host == poll.host);
                let gateway = gateway.expect("a gateway of this world");
                let reply = self
                    .hub
                    .small_reply(&poll, &Publication::default(), ms(now));
                gateway.known = reply.rejection_limits;
                gateway.polled_hub = self.hub_id;
            }
        }
    }

    fn report(&mut self, gateway: usize, now: u64) {
        if self.gateways[gateway].cut_off.contains(&now) {
            return;
        }
        let poll = self.poll(gateway, now);
        let report = Report {
            last_grant: poll.last_grant,
            loads: poll.loads,
            limit_reports: poll.limit_reports,
            ..messages::report(&poll.host)
        };
        self.send_in_order(gateway, now, Event::Reported(Box::new(report)));
    }

    fn poll(&mut self, gateway: usize, now: u64) -> Poll {
        let state = &mut self.gateways[gateway];
        let index = |incarnation: &str| -> usize { incarnation[1..].parse().expect("a number") };
        let begun = state.begun;
        let rejections = state
            .tracker
            .reports(|report| begun[index(&report.incarnation)], ms(now));
        let busy = (0..SERVERS).filter(|server| state.in_flight[*server] > 0);
        let loads = busy.map(|server| Load {
            incarnation: name(server),
            requests: state.in_flight[server],
            ..Load::default()
        });
        Poll {
            last_grant: state.last_grant,
            loads: loads.collect(),
            limit_reports: Reports {
                rejections,
                rejection_limits: state.known.clone(),
                ..Reports::default()
            },
            ..messages::poll(&state.host)
        }
    }

    /// The most rejections of a server within a second, from when all must know of the limit.
    fn max_rejections(&self) -> usize {
        let from = ANNOUNCED_AT + GRACE;
        let most = |rejections: &Vec<u64>| {
            let counted = rejections.iter().filter(|at| **at >= from);
            let counted: Vec<_> = counted.collect();
            let within = |last: &u64| {
                let window = counted
                    .iter()
                    .filter(|at| ***at <= *last && ***at + 1_000 > *last);
                window.count()
            };
            counted.iter().map(|last| within(last)).max().unwrap_or(0)
        };
        self.rejections.iter().map(most).max().unwrap_or(0)
    }
}

#[test]
fn any_history() {
    let seeds: u64 = std::env::var("HISTORIES").map_or(40, |text| text.parse().expect("a number"));
    for seed in 0..seeds {
        let mut world = World::new(seed);
        world.run();
        let (most, limit) = (world.max_rejections(), world.limit);
        assert!(
            most <= usize::try_from(limit).expect("fits"),
            "seed {seed}: {most} rejections in a second, {limit} announced"
        );
        assert!(world.served > 50, "seed {seed}: {} served", world.served);
    }
}
