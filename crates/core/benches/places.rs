//! Speed of a hub's turn: a request that asks for a place, a gateway's report that another has ended, and
//! the places that are given, with all servers full and 400 requests waiting.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use curlewlift_core::clock::Instant;
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
use curlewlift_core::limit::Reports;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::unit::Tokens;

const GATEWAYS: usize = 300;

const WAITING: usize = 400;

const SLOTS: u32 = 2;

struct Fleet {
    hub: Hub,
    hosts: Vec<id::Host>,
    /// What each gateway has in flight.
    in_flight: Vec<BTreeMap<Arc<str>, u32>>,
    marks: Vec<GrantId>,
    /// Whose request waits.
    waiting: HashMap<Ticket, usize>,
    running: VecDeque<(usize, Arc<str>)>,
    asked: usize,
    now: Instant,
}

impl Fleet {
    fn new(servers: usize) -> Self {
        let listing = ServerList::new((0..servers).map(server).collect());
        let now = Instant::default();
        let mut hub = Hub::new(Tuning::default(), now).with_id(7);
        hub.set_server_list(Arc::new(listing));
        let hosts = (0..GATEWAYS).map(|place| format!("g{place}").parse().expect("a name"));
        let mut fleet = Self {
            hub,
            hosts: hosts.collect(),
            in_flight: vec![BTreeMap::new(); GATEWAYS],
            marks: vec![GrantId::default(); GATEWAYS],
            waiting: HashMap::new(),
            running: VecDeque::new(),
            asked: 0,
            now,
        };
        let room = servers * (SLOTS as usize + 1);
        for number in 0..room + WAITING {
            fleet.ask();
            if number % 300 == 0 || number + WAITING > room {
                fleet.serve();
            }
        }
        for place in 0..GATEWAYS {
            fleet.report(place);
        }
        fleet
    }

    fn ask(&mut self) {
        self.asked += 1;
        let place = self.asked % GATEWAYS;
        let want = SlotRequest {
            host: self.hosts[place].clone(),
            hall: "a".into(),
            rule: None,
            service: "chat".parse().expect("a name"),
            rank: u8::try_from(self.asked % 4).expect("small").into(),
            waited: Duration::ZERO,
            send_within: Duration::from_secs(100_000),
            max_wait: Duration::from_secs(100_000),
            time_left: Duration::from_secs(10),
            identity: Identity::default(),
            observations: Vec::new(),
            prompt: Tokens(500),
            charge: None,
            needs_retry: false,
            tried: Vec::new(),
            avoid: Vec::new(),
            backoffs: Vec::new(),
            allowed_halls: None,
        };
        let SlotDecision::Queued(ticket, last) = self.hub.request_slot(want, self.now) else {
            panic!("no place in line");
        };
        self.waiting.insert(ticket, place);
        if let Some(last) = last {
            self.waiting.remove(&last);
        }
    }

    fn serve(&mut self) {
        for (ticket, grant) in self.hub.grant_slots(self.now) {
            let place = self.waiting.remove(&ticket).expect("it waits");
            let incarnation = grant.server.incarnation;
            *self.in_flight[place]
                .entry(Arc::clone(&incarnation))
                .or_default() += 1;
            self.marks[place] = grant.id;
            self.running.push_back((place, incarnation));
        }
    }

    fn report(&mut self, place: usize) {
        let loads = self.in_flight[place].iter();
        let loads = loads.map(|(incarnation, requests)| Load {
            incarnation: Arc::clone(incarnation),
            requests: *requests,
            prefill_tokens: Tokens(0),
        });
        let report = Report {
            host: self.hosts[place].clone(),
            last_grant: self.marks[place],
            loads: loads.collect(),
            ended: Vec::new(),
            observations: Vec::new(),
            limit_reports: Reports::default(),
        };
        self.hub.report(&report, self.now);
    }

    /// One request comes, and one ends.
    fn turn(&mut self) {
        self.now = self.now + Duration::from_micros(260);
        self.ask();
        self.serve();
        black_box(self.hub.reject_doomed(self.now));
        let Some((place, incarnation)) = self.running.pop_front() else {
            return;
        };
        if let Some(requests) = self.in_flight[place].get_mut(&incarnation) {
            *requests -= 1;
        }
        self.in_flight[place].retain(|_, requests| *requests > 0);
        self.report(place);
        self.serve();
        black_box(self.hub.reject_doomed(self.now));
    }
}

fn server(place: usize) -> Server {
    Server {
        incarnation: format!("i-{place:010}").into(),
        name: format!("i-{place:010}").into(),
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

fn turns(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    for servers in [100, 1_000, 3_000, 10_000] {
        let mut fleet = Fleet::new(servers);
        let name = BenchmarkId::from_parameter(servers);
        group.bench_function(name, |b| b.iter(|| fleet.turn()));
    }
    group.finish();
}

criterion_group!(benches, turns);
criterion_main!(benches);
