//! Compares ways to find the part of a prompt that crashes servers, among requests that share everything else with it.
//!
//! Run with `cargo run --release -p curlewlift-lab --example crash_causes`. Each row is the mean of 200 seeds: servers that
//! crashed, requests with the bad part that were sent later than 3 s after the fifth crash (mean and maximum), and the
//! percentage of sound requests with the same first part that were rejected, in all and later than 6 s after it.

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

/// All times are in milliseconds.
type Time = u64;

const SERVERS: usize = 9;
const SLOTS: usize = 7;
const DOWNTIME: Time = 3_000;
const END: Time = 40_000;
/// The part that crashes servers, from the time 5 s on.
const BAD: u32 = 999;
const BAD_FROM: Time = 5_000;
const CRASHES_TO_REJECT: usize = 5;
const MAX_TRIALS: usize = 3;
/// How long after a crash a trial begins at the earliest: other requests that crash servers are no longer in flight.
const QUIET_TIME: Time = 300;
/// The same for a part of requests that were answered before.
const LONG_QUIET_TIME: Time = 1_000;
/// A request that has been answered for longer is not the cause of a crash.
const PROBATION: Time = 1_000;

#[derive(Clone)]
struct Request {
    parts: Vec<u32>,
    server: usize,
    /// When its response begins.
    begins: Time,
    ends: Time,
    is_trial: bool,
}

/// What is known of one part.
#[derive(Clone, Default)]
struct Account {
    /// When the charged requests began to be answered, and when their server crashed.
    charges: Vec<(Time, Time)>,
    completed: usize,
    trials: usize,
    in_trial: bool,
    last_crash: Time,
}

#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// Rejects a part for good after a number of crashes.
    DeadLetter,
    /// Rejects a part if most of its requests were on servers that crashed.
    Score,
    /// Counts crashes until a request that began later is answered; then tries one request at a time.
    LaterAnswers,
}

struct World {
    way: Way,
    now: Time,
    random: ChaCha8Rng,
    accounts: BTreeMap<u32, Account>,
    running: Vec<Request>,
    down_until: [Time; SERVERS],
    crashes: Vec<Time>,
    sent_bad: Vec<Time>,
    /// Sound requests with the first part of the bad ones: when, and whether rejected.
    beside: Vec<(Time, bool)>,
}

impl World {
    fn new(way: Way, seed: u64) -> Self {
        Self {
            way,
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            accounts: BTreeMap::new(),
            running: Vec::new(),
            down_until: [0; SERVERS],
            crashes: Vec::new(),
            sent_bad: Vec::new(),
            beside: Vec::new(),
        }
    }

    fn below(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    /// Whether an event that happens `per_s` times a second happens in this millisecond.
    fn happens(&mut self, per_s: u64) -> bool {
        self.below(1_000) < per_s
    }

    fn is_suspect(&self, part: u32) -> bool {
        let Some(account) = self.accounts.get(&part) else {
            return false;
        };
        let crashed = account.charges.len();
        let is_frequent = crashed >= CRASHES_TO_REJECT;
        match self.way {
            Way::DeadLetter | Way::LaterAnswers => is_frequent,
            Way::Score => is_frequent && crashed * 2 > crashed + account.completed,
        }
    }

    /// Whether a request may be sent, and whether as a trial.
    fn decide(&mut self, parts: &[u32]) -> Option<bool> {
        let is_suspect = |part: &&u32| self.is_suspect(**part);
        let suspects: Vec<_> = parts.iter().filter(is_suspect).copied().collect();
        if suspects.is_empty() {
            return Some(false);
        }
        let has_other_cause = |suspect: &u32| {
            let crashed = &self.accounts[suspect].charges;
            let is_common = |at: Time| crashed.iter().any(|(_, crash)| *crash == at);
            self.accounts.iter().any(|(part, other)| {
                let common = other.charges.iter().filter(|(_, at)| is_common(*at));
                !parts.contains(part) && common.count() * 4 >= crashed.len() * 3
            })
        };
        let was_answered = |suspect: &u32| {
            let account = &self.accounts[suspect];
            account.completed > 0 && account.last_crash + LONG_QUIET_TIME <= self.now
        };
        let may_try = |part: &u32| {
            let account = &self.accounts[part];
            let is_quiet = account.last_crash + QUIET_TIME <= self.now;
            account.trials < MAX_TRIALS && !account.in_trial && is_quiet
        };
        let is_tried = self.way == Way::LaterAnswers
            && suspects
                .iter()
                .all(|suspect| has_other_cause(suspect) || was_answered(suspect))
            && suspects.iter().all(may_try);
        if !is_tried {
            return None;
        }
        Some(true)
    }

    fn begin_trial(&mut self, parts: &[u32]) {
        for part in parts {
            if self.is_suspect(*part) {
                let account = self.accounts.entry(*part).or_default();
                account.trials += 1;
                account.in_trial = true;
            }
        }
    }

    fn send(&mut self, parts: Vec<u32>) {
        let is_bad = parts.contains(&BAD);
        let decision = self.decide(&parts);
        if !is_bad && parts[0] == 0 {
            self.beside.push((self.now, decision.is_none()));
        }
        let Some(is_trial) = decision else {
            return;
        };
        let (now, first) = (self.now, usize::try_from(self.below(9)).unwrap_or(0));
        let is_free = |server: &usize| {
            let running = self.running.iter().filter(|one| one.server == *server);
            self.down_until[*server] <= now && running.count() < SLOTS
        };
        let Some(server) = (0..SERVERS)
            .map(|index| (first + index) % SERVERS)
            .find(is_free)
        else {
            return;
        };
        if is_bad {
            self.sent_bad.push(now);
        }
        if is_trial {
            self.begin_trial(&parts);
        }
        let begins = now + 50 + self.below(150);
        let ends = begins
            + if is_bad {
                20 + self.below(80)
            } else {
                100 + self.below(2_400)
            };
        self.running.push(Request {
            parts,
            server,
            begins,
            ends,
            is_trial,
        });
    }

    fn step(&mut self, bad_per_s: u64, sound_per_s: u64, kills_per_10_s: u64) {
        self.now += 1;
        let now = self.now;
        let due: Vec<_> = self.running.extract_if(.., |one| one.ends <= now).collect();
        for ended in due {
            if ended.parts.contains(&BAD) {
                self.crash(ended.server, Some(&ended));
            } else if self.down_until[ended.server] <= now {
                self.complete(&ended);
            }
        }
        if self.below(10_000) < kills_per_10_s {
            let server = usize::try_from(self.below(9)).unwrap_or(0);
            self.crash(server, None);
        }
        if now >= BAD_FROM && self.happens(bad_per_s) {
            self.send(vec![0, BAD]);
        }
        if self.happens(sound_per_s) {
            let first = u32::try_from(self.below(20)).unwrap_or(0);
            self.send(vec![first]);
        }
    }

    fn complete(&mut self, ended: &Request) {
        for part in &ended.parts {
            let account = self.accounts.entry(*part).or_default();
            account.completed += 1;
            account.in_trial &= !ended.is_trial;
            if self.way == Way::LaterAnswers {
                account.charges.retain(|(began, _)| *began >= ended.begins);
                if account.charges.is_empty() {
                    account.trials = 0;
                }
            }
        }
    }

    fn crash(&mut self, server: usize, cause: Option<&Request>) {
        if self.down_until[server] > self.now {
            return;
        }
        let now = self.now;
        self.down_until[server] = now + DOWNTIME;
        if cause.is_some() {
            self.crashes.push(now);
        }
        let stopped = self.running.extract_if(.., |one| one.server == server);
        let stopped: Vec<_> = stopped.chain(cause.cloned()).collect();
        for request in stopped {
            if self.way == Way::LaterAnswers && request.begins + PROBATION < now {
                continue;
            }
            for part in &request.parts {
                let account = self.accounts.entry(*part).or_default();
                account.charges.push((request.begins.min(now), now));
                account.last_crash = now;
                account.in_trial &= !request.is_trial;
            }
        }
    }
}

fn percent(of: &[(Time, bool)], from: Time) -> f64 {
    let of: Vec<_> = of.iter().filter(|(at, _)| *at >= from).collect();
    let rejected = of.iter().filter(|(_, rejected)| *rejected).count();
    #[allow(clippy::cast_precision_loss)]
    let share = rejected as f64 * 100.0 / of.len().max(1) as f64;
    share
}

fn main() {
    let loads = [
        ("bad 5/s, sound 60/s", 5, 60, 0),
        ("bad 100/s, sound 60/s", 100, 60, 0),
        ("bad 5/s, sound 10/s", 5, 10, 0),
        ("none bad, 8 kills in 10 s", 0, 60, 8),
    ];
    println!("load; way; crashed; sent late, mean and most; rejected beside %, all and late");
    for (load, bad, sound, kills) in loads {
        for (name, way) in [
            ("dead letter", Way::DeadLetter),
            ("score", Way::Score),
            ("later answers", Way::LaterAnswers),
        ] {
            let mut sums = [0.0; 4];
            let mut most = 0;
            for seed in 0..200 {
                let mut world = World::new(way, seed);
                while world.now < END {
                    world.step(bad, sound, kills);
                }
                let fifth = world.crashes.get(4).copied().unwrap_or(BAD_FROM);
                let late = world
                    .sent_bad
                    .iter()
                    .filter(|at| **at > fifth + 3_000)
                    .count();
                most = most.max(late);
                #[allow(clippy::cast_precision_loss)]
                let row = [
                    world.crashes.len() as f64,
                    late as f64,
                    percent(&world.beside, BAD_FROM),
                    percent(&world.beside, fifth + 6_000),
                ];
                sums.iter_mut()
                    .zip(row)
                    .for_each(|(sum, value)| *sum += value / 200.0);
            }
            let [crashed, late, all, later] = sums;
            println!("{load}; {name}; {crashed:.1}; {late:.1}, {most}; {all:.1}, {later:.1}");
        }
    }
}
