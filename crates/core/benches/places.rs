//! Measures the work of a hub per request: a slot request, a gateway's report that another request has ended, and the
//! slots granted, with all servers full and 400 requests queued; without and with shares of customers.

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
use curlewlift_core::pool::Part;
use curlewlift_core::pool::Scheduling;
use curlewlift_core::quarantine::Features;
use curlewlift_core::route::Parts;
use curlewlift_core::route::ServicePolicy;
use curlewlift_core::route::Table;
use curlewlift_core::unit::Tokens;

const GATEWAYS: usize = 300;

const QUEUED_REQUESTS: usize = 400;

const SLOTS_PER_SERVER: u32 = 2;

struct Fleet {
    hub: Hub,
    hosts: Vec<id::Host>,
    /// Requests in flight of each gateway, by server.
    in_flight: Vec<BTreeMap<Arc<str>, u32>>,
    last_grants: Vec<GrantId>,
    /// The gateway of each queued request.
    waiting: HashMap<Ticket, usize>,
    running: VecDeque<(usize, Arc<str>)>,
    request_count: usize,
    /// The customers that have shares; none if there are no shares.
    customers: Vec<id::Customer>,
    now: Instant,
}

impl Fleet {
    fn new(servers: usize, customers: usize) -> Self {
        let server_list = ServerList::new((0..servers).map(server).collect());
        let now = Instant::default();
        let tuning = Tuning {
            scheduling: Scheduling::default().with(Part::FairShares),
            ..Tuning::default()
        };
        let mut hub = Hub::new(tuning, now).with_id(7);
        hub.set_server_list(Arc::new(server_list));
        hub.apply_table(&table(customers > 0), now);
        let customers = (0..customers).map(|index| format!("c{index}").parse());
        let customers = customers.collect::<Result<_, _>>().expect("valid names");
        let hosts = (0..GATEWAYS).map(|index| format!("g{index}").parse().expect("a valid name"));
        let mut fleet = Self {
            hub,
            hosts: hosts.collect(),
            in_flight: vec![BTreeMap::new(); GATEWAYS],
            last_grants: vec![GrantId::default(); GATEWAYS],
            waiting: HashMap::new(),
            running: VecDeque::new(),
            request_count: 0,
            customers,
            now,
        };
        let capacity = servers * (SLOTS_PER_SERVER as usize + 1);
        for number in 0..capacity + QUEUED_REQUESTS {
            fleet.request_slot();
            if number % 300 == 0 || number + QUEUED_REQUESTS > capacity {
                fleet.grant_slots();
            }
        }
        for index in 0..GATEWAYS {
            fleet.report(index);
        }
        fleet
    }

    fn request_slot(&mut self) {
        self.request_count += 1;
        let index = self.request_count % GATEWAYS;
        let slot_request = SlotRequest {
            host: self.hosts[index].clone(),
            hall: "a".into(),
            rule: None,
            service: "chat".parse().expect("a valid name"),
            customer: self.customers.get(self.customer_index()).cloned(),
            rank: u8::try_from(self.request_count % 4).expect("fits").into(),
            waited: Duration::ZERO,
            send_within: Duration::from_secs(100_000),
            first_event_within: Duration::from_secs(1),
            max_gap: None,
            max_wait: Duration::from_secs(100_000),
            time_left: Duration::from_secs(10),
            features: Features::default(),
            observations: Vec::new(),
            prompt: Tokens(500),
            output: Tokens(0),
            charge: None,
            needs_retry: false,
            tried: Vec::new(),
            avoid: Vec::new(),
            backoffs: Vec::new(),
            allowed_halls: None,
            allowed_versions: None,
        };
        let SlotDecision::Queued(ticket, replaced) = self.hub.request_slot(slot_request, self.now)
        else {
            panic!("the slot request is not queued");
        };
        self.waiting.insert(ticket, index);
        if let Some(replaced) = replaced {
            self.waiting.remove(&replaced.ticket);
        }
    }

    /// The customer of the next request: every second one is of the first customer.
    fn customer_index(&self) -> usize {
        let others = self.customers.len().max(2) - 1;
        if self.request_count.is_multiple_of(2) {
            0
        } else {
            1 + self.request_count / 2 % others
        }
    }

    fn grant_slots(&mut self) {
        for (ticket, grant) in self.hub.grant_slots(self.now) {
            let index = self.waiting.remove(&ticket).expect("the request is queued");
            let incarnation = grant.server.incarnation;
            *self.in_flight[index]
                .entry(Arc::clone(&incarnation))
                .or_default() += 1;
            self.last_grants[index] = grant.id;
            self.running.push_back((index, incarnation));
        }
    }

    fn report(&mut self, index: usize) {
        let loads = self.in_flight[index].iter();
        let loads = loads.map(|(incarnation, requests)| Load {
            incarnation: Arc::clone(incarnation),
            requests: *requests,
            prefill_tokens: Tokens(0),
        });
        let report = Report {
            host: self.hosts[index].clone(),
            last_grant: self.last_grants[index],
            loads: loads.collect(),
            ended: Vec::new(),
            observations: Vec::new(),
            unused: Vec::new(),
            limit_reports: Reports::default(),
            streams: Vec::new(),
            known_table: 0,
            table_in_effect: 0,
        };
        self.hub.report(&report, self.now);
    }

    /// A request arrives, and another one ends.
    fn run_request(&mut self) {
        self.now = self.now + Duration::from_micros(260);
        self.request_slot();
        self.grant_slots();
        black_box(self.hub.reject_doomed(self.now));
        let Some((index, incarnation)) = self.running.pop_front() else {
            return;
        };
        if let Some(requests) = self.in_flight[index].get_mut(&incarnation) {
            *requests -= 1;
        }
        self.in_flight[index].retain(|_, requests| *requests > 0);
        self.report(index);
        self.grant_slots();
        black_box(self.hub.reject_doomed(self.now));
    }
}

fn server(index: usize) -> Server {
    Server {
        incarnation: format!("i-{index:010}").into(),
        name: format!("i-{index:010}").into(),
        started_ms: 0,
        version: "v1".parse().expect("a valid version"),
        service: "chat".parse().expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        hall: "a".into(),
        slots: SLOTS_PER_SERVER,
        leaving: false,
        cold: false,
    }
}

/// A table with one service, where customers have shares if it `has_customers`.
fn table(has_customers: bool) -> Table {
    let policy = ServicePolicy {
        max_connections: 10,
        health_path: "/".into(),
        cold_rate: None,
        engine: None,
    };
    let table = Table::new(Parts {
        version: 1,
        services: [("chat".parse().expect("a valid name"), policy)].into(),
        customers: has_customers.then(Vec::new),
        ..Parts::default()
    });
    table.expect("a valid table")
}

fn slot_grants(c: &mut Criterion) {
    for (name, customers) in [
        ("place", 0),
        ("place_16_customers", 16),
        ("place_300_customers", 300),
    ] {
        let mut group = c.benchmark_group(name);
        for servers in [100, 1_000, 3_000, 10_000] {
            let mut fleet = Fleet::new(servers, customers);
            let name = BenchmarkId::from_parameter(servers);
            group.bench_function(name, |b| b.iter(|| fleet.run_request()));
        }
        group.finish();
    }
}

criterion_group!(benches, slot_grants);
criterion_main!(benches);
