//! Random losses in overlapping series, while callers begin streams and take them up at other hosts: no caller receives
//! events of two versions in one stream.
//!
//! `SOAK_SEEDS=50` runs more seeds, `SOAK_FIRST_SEED` others, and `SOAK_HOSTS` sets how many hosts have no disk.

mod platform;

use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use platform::Answer;
use platform::End;
use platform::KeptConnection;
use platform::Losses;
use platform::ThreeHosts;
use platform::document;
use platform::setting;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const VERSIONS: [&str; 9] = ["v1", "v1", "v1", "v2", "v2", "v2", "v3", "v3", "v3"];
const CALLERS: u64 = 6;
const SOAK_TIME: Duration = Duration::from_secs(8);
/// How often a caller takes up one stream.
const MAX_TAKE_UPS: u32 = 6;

/// How streams end.
const ENDS: [&str; 6] = [
    "close versioned",
    "chunks versioned",
    "close versioned in-data",
    "close versioned in-data twice",
    "chunks versioned before-blank-line twice",
    "close versioned in-id first",
];

/// What callers have seen.
#[derive(Debug, Default)]
struct Totals {
    begun: AtomicU32,
    taken_up: AtomicU32,
    went_on: AtomicU32,
    unknown: AtomicU32,
}

fn add(counter: &AtomicU32) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// A caller with a kept connection, which sends one stream after the other.
struct Caller<'a> {
    random: SmallRng,
    connection: KeptConnection,
    addresses: &'a [std::net::SocketAddr],
    totals: &'a Totals,
    seed: u64,
}

impl Caller<'_> {
    fn send(&mut self, body: &str, fields: &str) -> (String, Answer) {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let id = format!("s{}-{}", self.seed, NEXT.fetch_add(1, Ordering::Relaxed));
        let end = ENDS[self.random.random_range(0..ENDS.len())];
        let head = format!(
            "POST /resume/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
             X-Play: ends {end}\r\n{fields}X-Deadline-Ms: 4000\r\nAuthorization: Bearer key-ann"
        );
        let address = self.addresses[self.random.random_range(0..self.addresses.len())];
        let answer = self.connection.send(address, &head, body);
        (id, answer)
    }

    /// Receives one stream, over as many requests as that needs.
    fn receive(&mut self, number: u32) {
        let body = format!("question {} {number}", self.random.random::<u64>());
        let (id, answer) = self.send(&body, "");
        if answer.status != 200 || !answer.body.contains("data:") {
            return;
        }
        add(&self.totals.begun);
        let mut received = answer.body;
        let mut is_whole = answer.whole;
        for _ in 0..MAX_TAKE_UPS {
            if is_whole {
                break;
            }
            let events = received.matches("data:").count();
            let fields = format!("Resumes: {id}\r\nLast-Event-Id: {events}\r\n");
            let (_, answer) = self.send(&body, &fields);
            add(&self.totals.taken_up);
            if answer.status == 200 {
                add(&self.totals.went_on);
                received.push_str(&answer.body);
                is_whole = answer.whole;
            } else if answer.body.contains("3011") {
                add(&self.totals.unknown);
            }
        }
        let versions: BTreeSet<_> = VERSIONS
            .into_iter()
            .filter(|version| received.contains(&format!(" {version}\n")))
            .collect();
        assert!(versions.len() <= 1, "seed {} {id}: {received}", self.seed);
    }
}

/// Losses and changes that overlap, until the time is up.
fn disturb(world: &mut ThreeHosts, random: &mut SmallRng, until: Instant) {
    let count = world.hosts.indices().len();
    let mut losses = Losses::default();
    let mut table = 8;
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(random.random_range(50..400)));
        losses.restart_due(&mut world.hosts);
        let host = random.random_range(0..count);
        let is_up = losses.is_up(host);
        let at = Instant::now() + Duration::from_millis(random.random_range(20..1_500));
        match random.random_range(0..8) {
            0..3 if is_up => losses.kill(&mut world.hosts, host, at),
            3 if is_up => losses.stop(&mut world.hosts, host, at),
            4 => world
                .hosts
                .suspend(host, Duration::from_millis(random.random_range(100..3_000))),
            5 if is_up => {
                let _ = world.hosts.put(host, &document(table).to_string());
                table += 1;
            }
            6 => {
                let left_out = VERSIONS[random.random_range(0..VERSIONS.len())];
                world.list_engines(|engine| engine.version != left_out);
            }
            _ => world.list_engines(|_| true),
        }
    }
    losses.end(&mut world.hosts);
}

fn soak(seed: u64) -> Totals {
    let without_disk = u8::try_from(setting("SOAK_HOSTS", 3)).expect("a small number");
    let mut world =
        ThreeHosts::start_more_versions(&format!("soak_{seed}"), &VERSIONS, without_disk);
    let indices = world.hosts.indices();
    let addresses: Vec<_> = indices.map(|host| world.hosts.callers(host)).collect();
    let totals = Totals::default();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (addresses, totals, is_over) = (&addresses, &totals, &is_over);
            scope.spawn(move || {
                let mut caller = Caller {
                    random: SmallRng::seed_from_u64(seed * CALLERS + caller),
                    connection: KeptConnection::default(),
                    addresses,
                    totals,
                    seed,
                };
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    caller.receive(number);
                }
            });
        }
        let _end = End(&is_over);
        let mut random = SmallRng::seed_from_u64(seed);
        disturb(&mut world, &mut random, Instant::now() + SOAK_TIME);
    });
    totals
}

#[test]
fn no_mixed_streams() {
    let first = setting("SOAK_FIRST_SEED", 1);
    for seed in first..first + setting("SOAK_SEEDS", 3) {
        let totals = soak(seed);
        println!("seed {seed}: {totals:?}");
        assert!(totals.went_on.into_inner() > 0, "seed {seed}");
    }
}
