//! Servers with cold caches: whichever hub leads and whenever servers turn cold, in no second do they get more requests
//! than they tolerate.

mod support;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::limit::Rate;
use curlewlift_core::limit::Slack;
use curlewlift_core::limit::Warmup;
use curlewlift_core::pool;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Request;
use curlewlift_core::route::Limits;
use curlewlift_core::route::Parts;
use curlewlift_core::route::ServicePolicy;
use curlewlift_core::route::Table;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::incarnations;
use support::messages;

const STEP: Duration = Duration::from_millis(10);

const SECOND: Duration = Duration::from_secs(1);

const SLACK: Slack = Slack {
    factor: 1.5,
    extra_requests: 5.0,
};

/// How many requests a server with a rate of 10 tolerates in a second: 10 * 1.5 + 5.
const MAX_PER_SECOND: usize = 20;

fn rate() -> Rate {
    "10".parse().expect("a valid rate")
}

/// How many random histories to run: the value of `HISTORIES`, or `default_count`.
fn histories(default_count: u64) -> u64 {
    let count = std::env::var("HISTORIES");
    count.map_or(default_count, |count| count.parse().expect("a number"))
}

fn server(name: &str, cold: bool) -> Server {
    Server {
        slots: 1_000,
        cold,
        ..incarnations::incarnation(name, 0)
    }
}

fn table() -> Table {
    let provider = ServicePolicy {
        max_connections: 10,
        health_path: "/health".into(),
        cold_rate: Some(rate()),
        engine: None,
    };
    let table = Table::new(Parts {
        version: 1,
        rules: Vec::new(),
        services: [("chat".parse().expect("a valid name"), provider)].into(),
        limits: Limits::default(),
        customers: None,
    });
    table.expect("a valid table")
}

/// A hub that has just started, with its first table and server list.
fn hub(number: u64, servers: &[Server], now: Instant) -> Hub {
    let tuning = Tuning {
        cold: SLACK,
        ..Tuning::default()
    };
    let mut hub = Hub::new(tuning, now).with_id(number);
    hub.apply_table(&table(), now);
    hub.set_server_list(Arc::new(ServerList::new(servers.to_vec())));
    hub
}

/// Runs a history in which servers turn cold and warm, the load changes, and hubs replace each other; returns the
/// highest number of requests that a server got in any second.
fn history(seed: u64) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let names = ["s1", "s2", "s3"];
    let mut servers = names.map(|name| server(name, false));
    let mut now = Instant::default();
    let mut leader = hub(1, &servers, now);
    let mut sent: HashMap<Arc<str>, VecDeque<Instant>> = HashMap::new();
    let mut highest = 0;
    let mut load = 1;
    for step in 0..2_000 {
        now = now + STEP;
        match random.random_range(0..100) {
            0 => {
                let index = random.random_range(0..servers.len());
                servers[index].cold = random.random();
                leader.set_server_list(Arc::new(ServerList::new(servers.to_vec())));
            }
            1 => leader = hub(step + 2, &servers, now),
            2 => load = random.random_range(0..20),
            _ => {}
        }
        for _ in 0..load {
            leader.request_slot(
                messages::slot_request(&"g".parse().expect("a valid name")),
                now,
            );
        }
        for (_, grant) in leader.grant_slots(now) {
            let sent = sent.entry(grant.server.incarnation).or_default();
            sent.push_back(now);
            while now.since(sent[0]) >= SECOND {
                sent.pop_front();
            }
            highest = highest.max(sent.len());
        }
        leader.reject_doomed(now);
    }
    highest
}

#[test]
fn any_history() {
    let mut highest = 0;
    for seed in 0..histories(100) {
        let in_history = history(seed);
        assert!(
            in_history <= MAX_PER_SECOND,
            "seed {seed}: {in_history} requests in a second"
        );
        highest = highest.max(in_history);
    }
    assert!(
        highest > MAX_PER_SECOND / 2,
        "too little load: {highest} requests in a second"
    );
}

/// Cold servers get requests at the cold rate, and warm ones at one and a half times that rate.
#[test]
fn used_in_full() {
    for (cold, expected) in [(true, 10.0), (false, 15.0)] {
        let mut now = Instant::default();
        let mut hub = hub(1, &[server("s1", cold)], now);
        let mut granted = 0;
        for _ in 0..1_000 {
            now = now + STEP;
            hub.request_slot(
                messages::slot_request(&"g".parse().expect("a valid name")),
                now,
            );
            granted += hub.grant_slots(now).len();
            hub.reject_doomed(now);
        }
        let per_second = f64::from(u32::try_from(granted).expect("a small number")) / 10.0;
        assert!(
            (per_second - expected).abs() < 1.0,
            "cold: {cold}, requests per second: {per_second}"
        );
    }
}

/// A gateway without the hub knows nothing of other gateways' requests, and sends nothing to a cold server.
#[test]
fn cold_avoided_locally() {
    let mut pool = Pool::new(pool::Tuning::default(), 1);
    pool.set_warmup(Some(Warmup::new(rate(), SLACK)), Instant::default());
    pool.update_servers(vec![
        Arc::new(server("cold", true)),
        Arc::new(server("warm", false)),
    ]);
    for _ in 0..100 {
        let ask = Request {
            wait_until: Instant::default() + SECOND,
            ..Request::default()
        };
        pool.enqueue(ask, Instant::default());
    }
    let turns = pool.assign(Instant::default());
    assert_eq!(turns.len(), 100);
    assert!(turns.iter().all(|turn| &*turn.server.name == "warm"));
}
