//! The parts of scheduling under hard load are switched on by a setting and by the routing table. Guards against a part
//! that is in use without its setting, and against requests that are lost or assigned twice when a part is switched
//! while requests are queued.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Server;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Part;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Release;
use curlewlift_core::pool::Request;
use curlewlift_core::pool::Scheduling;
use curlewlift_core::pool::Tuning;
use curlewlift_core::route::Engine;
use curlewlift_core::route::ServicePolicy;
use curlewlift_core::unit::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SERVERS: [&str; 3] = ["s1", "s2", "s3"];

/// How long every request of the histories runs.
const RUN_TIME: Duration = Duration::from_millis(40);

/// The time between two steps of a history.
const STEP: Duration = Duration::from_millis(10);

fn server(name: &str) -> Arc<Server> {
    Arc::new(Server {
        incarnation: name.into(),
        name: name.into(),
        started_ms: 0,
        version: "v1".parse().expect("valid version"),
        service: "chat".parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
        hall: "a".into(),
        slots: 2,
        leaving: false,
        cold: false,
    })
}

fn all_parts() -> Scheduling {
    Part::ALL
        .into_iter()
        .fold(Scheduling::default(), Scheduling::with)
}

#[test]
fn names_read_back() {
    assert_eq!("".parse(), Ok(Scheduling::default()));
    assert_eq!(all_parts().to_string().parse(), Ok(all_parts()));
    for part in Part::ALL {
        let only = Scheduling::default().with(part);
        assert_eq!(only.to_string(), part.name());
        assert_eq!(
            format!(" {part_name} ,", part_name = part.name()).parse(),
            Ok(only)
        );
        assert_eq!(only.without(part), Scheduling::default());
    }
    let unknown: Result<Scheduling, _> = "in-flight,fair".parse();
    let message = unknown.expect_err("there is no such part").to_string();
    assert!(
        message.contains("`fair`") && message.contains("fair-shares"),
        "{message}"
    );
}

/// A part is in use only where the table has what it works by.
#[test]
fn table_decides() {
    let plain = ServicePolicy {
        max_connections: 10,
        health_path: "/health".into(),
        cold_rate: None,
        engine: None,
    };
    let engines = ServicePolicy {
        engine: Some(Engine::default()),
        ..plain.clone()
    };
    for part in Part::ALL {
        let none = Scheduling::default();
        assert!(!none.for_service(&plain, true).has(part), "not switched on");
        assert!(
            !none.for_service(&engines, true).has(part),
            "not switched on"
        );
    }
    let with_plain = all_parts().for_service(&plain, true);
    assert!(with_plain.has(Part::InFlight) && !with_plain.has(Part::Placement));
    let with_engines = all_parts().for_service(&engines, true);
    assert!(!with_engines.has(Part::InFlight) && with_engines.has(Part::Placement));
    assert!(with_engines.has(Part::FairShares));
    assert!(
        !all_parts()
            .for_service(&engines, false)
            .has(Part::FairShares)
    );
}

/// Switches parts at random while requests are queued, run and end: each request is assigned or removed exactly
/// once.
#[test]
fn switched_under_load() {
    for seed in 0..60 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut pool = Pool::new(Tuning::default(), seed).for_all_gateways();
        pool.update_servers(SERVERS.map(server).to_vec());
        let mut now = Instant::default();
        let mut queued = BTreeSet::new();
        let mut running: Vec<(Instant, Arc<str>, Instant)> = Vec::new();
        let mut counts = (0, 0, 0);
        for step in 0..400 {
            now = now + STEP;
            if random.random_range(0..10) == 0 {
                let parts = Part::ALL.into_iter().filter(|_| random.random_bool(0.5));
                pool.set_scheduling(parts.fold(Scheduling::default(), Scheduling::with));
            }
            for (_, incarnation, started) in running.extract_if(.., |(end, ..)| *end <= now) {
                let outcome = AttemptOutcome::Answered {
                    first_byte: RUN_TIME,
                    gap: None,
                };
                pool.finish_attempt(&incarnation, outcome, now);
                let release = Release {
                    incarnation,
                    customer: Some(customer(step)),
                    held: now.since(started),
                    server_time: RUN_TIME,
                    load: None,
                };
                pool.record_release(&release, now);
            }
            let is_loaded = step < 300;
            for _ in 0..if is_loaded {
                random.random_range(0..4)
            } else {
                0
            } {
                let request = Request {
                    customer: Some(customer(random.random_range(0..3))),
                    rank: random.random_range(0..3_u8).into(),
                    arrived: now,
                    send_by: now + Duration::from_millis(random.random_range(10..300)),
                    begin_by: now + Duration::from_millis(random.random_range(10..400)),
                    wait_until: now + Duration::from_secs(1),
                    prompt: Tokens(random.random_range(0..8_000)),
                    output: Tokens(100),
                    ..Request::default()
                };
                let (ticket, displaced) = pool.enqueue(request, now);
                counts.0 += 1;
                assert!(queued.insert(ticket), "seed {seed}");
                if let Some(displaced) = displaced {
                    assert!(queued.remove(&displaced), "seed {seed}");
                    counts.2 += 1;
                }
            }
            for assignment in pool.assign(now) {
                assert!(queued.remove(&assignment.ticket), "seed {seed}: twice");
                counts.1 += 1;
                let incarnation = Arc::clone(&assignment.server.incarnation);
                running.push((now + RUN_TIME, incarnation, now));
            }
            for doomed in pool.remove_doomed(now) {
                assert!(queued.remove(&doomed), "seed {seed}: removed and assigned");
                counts.2 += 1;
            }
            assert_eq!(pool.queue_len(), queued.len(), "seed {seed}");
        }
        assert!(queued.is_empty(), "seed {seed}: {} are left", queued.len());
        assert_eq!(counts.0, counts.1 + counts.2, "seed {seed}");
    }
}

fn customer(number: usize) -> curlewlift_core::id::Customer {
    format!("c{number}").parse().expect("valid name")
}
