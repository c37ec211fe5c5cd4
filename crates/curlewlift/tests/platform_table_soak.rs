//! Random losses in overlapping series, while two operators publish tables: no host denies what an acknowledged table allows,
//! and none reads an older one back.
//!
//! `SOAK_SEEDS=50` runs more seeds, `SOAK_FIRST_SEED` others, and `SOAK_HOSTS` sets how many hosts have no disk.

mod platform;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use platform::End;
use platform::Engine;
use platform::Hosts;
use platform::KeptConnection;
use platform::Losses;
use platform::add_route;
use platform::document;
use platform::folder;
use platform::large_document;
use platform::setting;
use platform::wait;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

const SOAK_TIME: Duration = Duration::from_secs(8);
const OPERATORS: u64 = 2;
/// The rate of the link of the hosts without a disk, in bytes per second.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// The routes of a large table.
const LARGE: u32 = 1_400;
/// The version before the first one of the soak.
const FIRST: u64 = 7;

/// What has been published and seen.
#[derive(Debug, Default)]
struct Totals {
    /// The newest version that an operator has sent.
    sent: AtomicU64,
    /// The newest version that was acknowledged.
    acknowledged: AtomicU64,
    allowed: AtomicU64,
    read: AtomicU64,
    rejected: AtomicU64,
    lost: AtomicU64,
}

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// The table of a version has a route and a customer's key for it and each former one.
fn table(version: u64) -> Value {
    let routes = if version.is_multiple_of(4) { LARGE } else { 0 };
    let mut table = large_document(version, routes);
    let mut keys = vec!["key-ann".to_owned()];
    for version in FIRST + 1..=version {
        add_route(&mut table, &format!("new-{version}"));
        keys.push(format!("key-{version}"));
    }
    table["tenants"][0]["api_keys"] = json!(keys);
    table
}

/// Publishes tables at any host.
fn publish(addresses: &[SocketAddr], random: &mut SmallRng, totals: &Totals, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let version = totals.sent.fetch_add(1, Ordering::Relaxed) + 1;
        let text = table(version).to_string();
        for _ in 0..random.random_range(1..4) {
            let address = addresses[random.random_range(0..addresses.len())];
            let head = "POST /api/config/put HTTP/1.1\r\nHost: x";
            let answer = KeptConnection::default().send(address, head, &text);
            if answer.status == 200 {
                totals.acknowledged.fetch_max(version, Ordering::Relaxed);
                break;
            }
            assert!(matches!(answer.status, 0 | 503), "{}", answer.status);
        }
        std::thread::sleep(Duration::from_millis(random.random_range(0..300)));
    }
}

/// The version of the table that a host reads back; none if it refuses.
fn read_back(address: SocketAddr) -> Option<u64> {
    let head = "GET /api/config/get HTTP/1.1\r\nHost: x";
    let answer = KeptConnection::default().send(address, head, "");
    let read: Option<Value> = serde_json::from_str(&answer.body).ok();
    read.filter(|_| answer.status == 200)?["version"].as_u64()
}

/// Reads tables back from any host.
fn read(addresses: &[SocketAddr], random: &mut SmallRng, totals: &Totals, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let newest = totals.acknowledged.load(Ordering::Relaxed);
        let address = addresses[random.random_range(0..addresses.len())];
        if let Some(version) = read_back(address) {
            assert!(version >= newest, "{version} at {address} after {newest}");
            add(&totals.read);
        }
        std::thread::sleep(Duration::from_millis(random.random_range(0..100)));
    }
}

/// Asks a host, over a kept connection, for what acknowledged tables allow.
fn call(address: SocketAddr, random: &mut SmallRng, totals: &Totals, is_over: &AtomicBool) {
    let mut connection = KeptConnection::default();
    while !is_over.load(Ordering::Relaxed) {
        let newest = totals.acknowledged.load(Ordering::Relaxed);
        let version = newest.saturating_sub(random.random_range(0..2)).max(FIRST);
        let (path, key) = match version {
            FIRST => ("safe".to_owned(), "key-ann".to_owned()),
            _ => (format!("new-{version}"), format!("key-{version}")),
        };
        let head = format!(
            "GET /{path}/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n\
             X-Deadline-Ms: 3000\r\nAuthorization: Bearer {key}"
        );
        let answer = connection.send(address, &head, "");
        match answer.status {
            200 => add(&totals.allowed),
            0 => {
                add(&totals.lost);
                std::thread::sleep(Duration::from_millis(5));
            }
            status => {
                let is_denied = matches!(status, 400..=404);
                assert!(!is_denied, "table {version} at {address}: {}", answer.body);
                add(&totals.rejected);
            }
        }
    }
}

/// Losses that overlap, until the time is up.
fn disturb(hosts: &mut Hosts, random: &mut SmallRng, until: Instant) {
    let count = hosts.indices().len();
    let mut losses = Losses::default();
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(random.random_range(50..400)));
        losses.restart_due(hosts);
        let host = random.random_range(0..count);
        let is_up = losses.is_up(host);
        let at = Instant::now() + Duration::from_millis(random.random_range(20..1_500));
        match random.random_range(0..8) {
            0..3 if is_up => losses.kill(hosts, host, at),
            3 if is_up => losses.stop(hosts, host, at),
            // Open connections over the link turn silent, or are no longer.
            4 => hosts.silence_link(&[random.random_range(0..3)]),
            5 => hosts.silence_link(&[]),
            _ => hosts.suspend(host, Duration::from_millis(random.random_range(100..3_000))),
        }
    }
    hosts.silence_link(&[]);
    losses.end(hosts);
}

fn soak(seed: u64) -> Totals {
    let engine = Engine::start("i-1");
    let without_disk = u8::try_from(setting("SOAK_HOSTS", 3)).expect("a small number");
    let folder = folder(&format!("table_soak_{seed}"));
    let mut hosts = Hosts::start_more(
        folder,
        &[(&engine, "chat")],
        without_disk,
        Some(LINK_BYTES_PER_S),
    );
    hosts.configure(&document(FIRST).to_string());
    let callers: Vec<_> = hosts.indices().map(|host| hosts.callers(host)).collect();
    let operators: Vec<_> = hosts.indices().map(|host| hosts.control(host)).collect();
    let totals = Totals::default();
    totals.sent.store(FIRST, Ordering::Relaxed);
    let is_over = AtomicBool::new(false);
    let random = |number: u64| SmallRng::seed_from_u64(seed * 1_000 + number);
    std::thread::scope(|scope| {
        let (totals, is_over) = (&totals, &is_over);
        for (number, address) in (0..).zip(callers) {
            scope.spawn(move || call(address, &mut random(number), totals, is_over));
        }
        for operator in 0..OPERATORS {
            let operators = &operators;
            scope.spawn(move || publish(operators, &mut random(100 + operator), totals, is_over));
        }
        let operators = &operators;
        scope.spawn(move || read(operators, &mut random(300), totals, is_over));
        let _end = End(is_over);
        disturb(&mut hosts, &mut random(200), Instant::now() + SOAK_TIME);
    });
    let last = totals.sent.load(Ordering::Relaxed) + 1;
    wait("the last table is acknowledged", || {
        hosts.put(0, &table(last).to_string()) == 200
    });
    for host in hosts.indices() {
        wait("the last table is read", || {
            read_back(hosts.control(host)) == Some(last)
        });
        wait("the host is ready", || hosts.is_ready(host));
    }
    totals
}

#[test]
fn no_denials() {
    let first = setting("SOAK_FIRST_SEED", 1);
    for seed in first..first + setting("SOAK_SEEDS", 3) {
        let totals = soak(seed);
        println!("seed {seed}: {totals:?}");
        assert!(totals.acknowledged.into_inner() > FIRST, "seed {seed}");
        assert!(totals.allowed.into_inner() > 0, "seed {seed}");
        assert!(totals.read.into_inner() > 0, "seed {seed}");
    }
}
