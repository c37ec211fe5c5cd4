//! Servers that may be cold: whoever leads and whenever they turn cold, no second has more requests than they bear.

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

use support::lives;
use support::messages;

const STEP: Duration = Duration::from_millis(10);

const SECOND: Duration = Duration::from_secs(1);

const SLACK: Slack = Slack {
    factor: 1.5,
    extra_requests: 5.0,
};

/// What a server with a rate of 10 bears in a second.
const BORNE: usize = 20;

fn rate() -> Rate {
    "10".parse().expect("a rate")
}

fn histories(usual: u64) -> u64 {
    let set = std::env::var("HISTORIES");
    set.map_or(usual, |set| set.parse().expect("a number"))
}

fn server(name: &str, cold: bool) -> Server {
    Server {
        slots: 1_000,
        cold,
        ..lives::life(name, 0)
    }
}

fn table() -> Table {
    let provider = ServicePolicy {
        max_connections: 10,
        health_path: "/health".into(),
        cold_rate: Some(rate()),
    };
    let table = Table::new(Parts {
        number: 1,
        rules: Vec::new(),
        services: [("chat".parse().expect("a name"), provider)].into(),
        limits: Limits::default(),
        customers: None,
    });
    table.expect("a table")
}

/// A hub that has only begun, with its first table and list.
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

/// Servers that turn cold and warm, crowds that come and go, and hubs that follow each other.
fn history(seed: u64) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let names = ["s1", "s2", "s3"];
    let mut servers = names.map(|name| server(name, false));
    let mut now = Instant::default();
    let mut leader = hub(1, &servers, now);
    let mut sent: HashMap<Arc<str>, VecDeque<Instant>> = HashMap::new();
    let mut most = 0;
    let mut crowd = 1;
    for step in 0..2_000 {
        now = now + STEP;
        match random.random_range(0..100) {
            0 => {
                let place = random.random_range(0..servers.len());
                servers[place].cold = random.random();
                leader.set_server_list(Arc::new(ServerList::new(servers.to_vec())));
            }
            1 => leader = hub(step + 2, &servers, now),
            2 => crowd = random.random_range(0..20),
            _ => {}
        }
        for _ in 0..crowd {
            leader.request_slot(messages::want(&"g".parse().expect("a name")), now);
        }
        for (_, grant) in leader.grant_slots(now) {
            let sent = sent.entry(grant.server.incarnation).or_default();
            sent.push_back(now);
            while now.since(sent[0]) >= SECOND {
                sent.pop_front();
            }
            most = most.max(sent.len());
        }
        leader.reject_doomed(now);
    }
    most
}

#[test]
fn any_history() {
    let mut most = 0;
    for seed in 0..histories(100) {
        let of_seed = history(seed);
        assert!(of_seed <= BORNE, "seed {seed}: {of_seed}");
        most = most.max(of_seed);
    }
    assert!(most > BORNE / 2, "crowds came: {most}");
}

/// While all servers are cold they get what cold ones take, and when they are warm half as much again.
#[test]
fn used_in_full() {
    for (cold, usual) in [(true, 10.0), (false, 15.0)] {
        let mut now = Instant::default();
        let mut hub = hub(1, &[server("s1", cold)], now);
        let mut given = 0;
        for _ in 0..1_000 {
            now = now + STEP;
            hub.request_slot(messages::want(&"g".parse().expect("a name")), now);
            given += hub.grant_slots(now).len();
            hub.reject_doomed(now);
        }
        let a_second = f64::from(u32::try_from(given).expect("few")) / 10.0;
        assert!((a_second - usual).abs() < 1.0, "{cold}: {a_second}");
    }
}

/// A gateway that chooses by itself knows nothing of the others, and sends nothing to a cold server.
#[test]
fn alone_only_warm() {
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
