//! Real processes whose disks are lost again and again while they rejoin: the others acknowledge configurations in time, requests
//! are served, and nothing that was acknowledged is lost.
//!
//! `SOAK_SEEDS=50` runs more seeds, `SOAK_FIRST_SEED` others, and `SOAK_HOSTS` sets how many hosts have no disk.

mod platform;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::send_request;
use platform::setting;
use platform::wait;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of hosts with a disk.
const DISKS: usize = 3;

/// How often disks are lost in one run.
const LOSSES: u32 = 4;

/// How long the others must have been undisturbed before a configuration has to be acknowledged in time.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How long an acknowledgement may take then.
const ACKNOWLEDGE_TIME: Duration = Duration::from_secs(4);

/// A run: the hosts, and the newest configuration that was acknowledged.
struct Soak {
    hosts: Hosts,
    random: SmallRng,
    version: u64,
}

impl Soak {
    fn start(seed: u64, without_disk: u8) -> Self {
        let engine = Engine::start("i-1");
        let folder = folder(&format!("disk_soak_{seed}"));
        let mut soak = Self {
            hosts: Hosts::start_programs(folder, &[(&engine, "chat")], without_disk),
            random: SmallRng::seed_from_u64(seed),
            version: 7,
        };
        // On a first start, too, one of the founders may be lost.
        if soak.random.random_bool(0.5) {
            let victim = soak.random.random_range(0..DISKS);
            soak.pause(0, 500);
            soak.lose(victim);
            soak.pause(0, 2_000);
            soak.hosts.boot(victim, false);
            wait("the host listens", || {
                TcpStream::connect(soak.hosts.control(victim)).is_ok()
            });
        }
        soak.hosts.configure(&document(7).to_string());
        soak
    }

    fn pause(&mut self, from: u64, to: u64) {
        thread::sleep(Duration::from_millis(self.random.random_range(from..=to)));
    }

    /// Kills a host and deletes what it has written.
    fn lose(&mut self, host: usize) {
        self.hosts.kill(host);
        if self.hosts.has_written(host) {
            self.hosts.wipe(host);
        }
    }

    /// Publishes the next version at random hosts until it is acknowledged; returns how long that took.
    fn publish(&mut self, hosts: &[usize]) -> Duration {
        self.version += 1;
        let document = document(self.version).to_string();
        let started_at = Instant::now();
        wait("a configuration is acknowledged", || {
            let host = hosts[self.random.random_range(0..hosts.len())];
            self.hosts.put(host, &document) == 200
        });
        started_at.elapsed()
    }

    /// One host loses its disk and fails again at random moments of its return; the others go on.
    fn lose_repeatedly(&mut self) {
        let victim = self.random.random_range(0..DISKS);
        let others: Vec<_> = self
            .hosts
            .indices()
            .filter(|host| *host != victim)
            .collect();
        self.lose(victim);
        self.pause(0, 3_000);
        for _ in 0..self.random.random_range(1..4) {
            self.hosts.boot(victim, false);
            self.pause(0, 500);
            if self.random.random_bool(0.3) {
                self.hosts.kill(victim);
            } else {
                self.lose(victim);
            }
            self.pause(0, 1_000);
            if self.random.random_bool(0.3) {
                // Another host fails as well, with its disk kept.
                let other = (victim + 1) % DISKS;
                self.hosts.kill(other);
                self.pause(0, 1_000);
                self.hosts.boot(other, false);
            }
        }
        thread::sleep(CONTACT_TIME);
        let took = self.publish(&others);
        assert!(
            took < ACKNOWLEDGE_TIME,
            "{took:?} for an acknowledgement while {victim} is down"
        );
        self.check_served(&others);
        self.hosts.boot(victim, false);
        self.publish(&others);
    }

    /// Requests are served, and the newest configuration is read, at each of these hosts.
    fn check_served(&self, hosts: &[usize]) {
        for host in hosts {
            wait("a request is served", || {
                let head = "GET /open/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a";
                send_request(self.hosts.callers(*host), head, "").status == 200
            });
            let version = format!("\"version\":{}", self.version);
            wait("the newest configuration is read", || {
                let head = "GET /api/config/get HTTP/1.1\r\nHost: x";
                let answer = send_request(self.hosts.control(*host), head, "");
                answer.status == 200 && answer.body.contains(&version)
            });
        }
    }
}

#[test]
fn lost_disks() {
    let first = setting("SOAK_FIRST_SEED", 1);
    let without_disk = u8::try_from(setting("SOAK_HOSTS", 2)).expect("a few hosts");
    for seed in first..first + setting("SOAK_SEEDS", 1) {
        println!("seed {seed}");
        let mut soak = Soak::start(seed, without_disk);
        for _ in 0..LOSSES {
            soak.lose_repeatedly();
            thread::sleep(ACKNOWLEDGE_TIME);
            let hosts: Vec<_> = soak.hosts.indices().collect();
            soak.check_served(&hosts);
        }
    }
}
