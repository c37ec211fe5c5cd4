//! Parts of prompts that crash the servers which begin to answer them: how often requests with such a part are sent over
//! all gateways, and whether sound requests that share everything else with them are served.
//!
//! No two requests are alike. Hubs change, messages are lost, gateways are cut off, suspended and restarted, and all
//! processes crash.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::quarantine::CRASHES_TO_QUARANTINE_PART;
use curlewlift_core::quarantine::Features;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::quarantine::Part;
use curlewlift_core::quarantine::Rejection;

use support::crashes::Behavior;
use support::crashes::CONTACT_TIME;
use support::crashes::Loss;
use support::crashes::SendOutcome;
use support::crashes::World;

/// How often gateways in contact with the hub may send requests with the part later than [`CONTACT_TIME`] after the fifth
/// server has crashed under them.
const MAX_SENT_AFTER_QUARANTINE: usize = 3;

/// For how long and how often a request asks again whose parts another request is about to show to be sound.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(2);

/// How long the crash of a server may take to be reported and committed to the log.
const LOG_TIME: Duration = Duration::from_millis(50);

const STEP: Duration = Duration::from_millis(50);

/// A part that sound requests share with those that crash servers.
const SHARED: Part = Part(1);
const BAD: Part = Part(0xbad);
const OTHER_BAD: Part = Part(0xbad2);

/// Which requests arrive, in how many steps of [`STEP`] one of each kind.
struct Load {
    /// The parts of requests that crash servers; they take turns.
    crashing: Vec<Vec<Part>>,
    crashing_interval: usize,
    sound: Vec<Vec<Part>>,
    sound_interval: usize,
}

impl Load {
    /// Requests that share one part with sound ones, which come `sound_ratio` times as often.
    fn beside(sound_ratio: usize) -> Self {
        Self {
            crashing: vec![vec![SHARED, BAD]],
            crashing_interval: 4 * sound_ratio.max(1),
            sound: vec![vec![SHARED], vec![SHARED, Part(7)], vec![Part(8)]],
            sound_interval: 4,
        }
    }
}

/// A request that asks again as long as a trial goes on.
struct Waiting {
    features: Features,
    gateway: usize,
    behavior: Behavior,
    since: Instant,
}

/// A sound request that was decided.
struct Decided {
    at: Instant,
    is_rejected: bool,
}

/// Sends requests to gateways drawn by lot, and notes what becomes of the sound ones.
#[derive(Default)]
struct Callers {
    steps: usize,
    sent: usize,
    waiting: VecDeque<Waiting>,
    decided: Vec<Decided>,
}

impl Callers {
    fn run(&mut self, world: &mut World, load: &Load, time: Duration) {
        let until = world.now + time;
        while world.now < until {
            self.steps += 1;
            if self.steps.is_multiple_of(load.crashing_interval) {
                let turn = self.steps / load.crashing_interval;
                let parts = &load.crashing[turn % load.crashing.len()];
                self.send(world, parts, Behavior::Crash);
            }
            if self.steps.is_multiple_of(load.sound_interval) {
                for parts in &load.sound {
                    self.send(world, parts, Behavior::Answer);
                }
            }
            for waiting in std::mem::take(&mut self.waiting) {
                self.ask(world, waiting);
            }
            world.interrupted.clear();
            world.run_for(STEP);
        }
    }

    fn send(&mut self, world: &mut World, parts: &[Part], behavior: Behavior) {
        self.sent += 1;
        let number = self.sent.to_string();
        let customer = ["ann", "ben"][self.sent / 2 % 2];
        let customer = customer.parse().expect("a valid name");
        let waiting = Waiting {
            features: Features {
                identity: Identity::new(Some(customer), "shop.example", &number, b""),
                parts: parts.into(),
            },
            gateway: world.random_below(12),
            behavior,
            since: world.now,
        };
        self.ask(world, waiting);
    }

    fn ask(&mut self, world: &mut World, waiting: Waiting) {
        let outcome = world.send_request(waiting.gateway, &waiting.features, waiting.behavior);
        let is_in_trial = outcome == SendOutcome::Rejected(Rejection::PartInTrial);
        if is_in_trial && world.now.since(waiting.since) < MAX_TRIAL_WAIT {
            self.waiting.push_back(waiting);
            return;
        }
        let is_in_contact = world.is_in_contact(waiting.gateway);
        if waiting.behavior == Behavior::Answer && is_in_contact {
            self.decided.push(Decided {
                at: waiting.since,
                is_rejected: matches!(outcome, SendOutcome::Rejected(_)),
            });
        }
    }

    /// The share of sound requests that were rejected from `from` on, in percent, and how many there were.
    fn rejected_percent(&self, from: Instant) -> (usize, usize) {
        let decided = self.decided.iter().filter(|decided| decided.at >= from);
        let (rejected, all) = decided.fold((0, 0), |(rejected, all), decided| {
            (rejected + usize::from(decided.is_rejected), all + 1)
        });
        (rejected * 100 / all.max(1), all)
    }
}

/// Asserts the bound on requests with `part`, and that at most half of the sound requests are rejected later than twice
/// [`CONTACT_TIME`] after the fifth crash.
fn check(world: &World, callers: &Callers, part: Part, context: &str) {
    let sent = world.count_part_sent_after(part, CONTACT_TIME);
    assert!(
        sent <= MAX_SENT_AFTER_QUARANTINE,
        "{context}: {part} was sent {sent} times after the quarantine"
    );
    let Some(fifth) = world.fifth_crash(part) else {
        return;
    };
    let (percent, all) = callers.rejected_percent(fifth + CONTACT_TIME * 2);
    assert!(
        all < 20 || percent <= 50,
        "{context}: {percent} % of {all} sound requests were rejected"
    );
}

/// Nothing else is wrong: five servers crash where the requests do not overlap, and almost all sound requests are served.
#[test]
fn no_other_faults() {
    for seed in 0..60 {
        let mut world = World::new(seed);
        let mut callers = Callers::default();
        let load = Load {
            crashing_interval: 40,
            ..Load::beside(1)
        };
        callers.run(&mut world, &load, Duration::from_secs(30));
        let crashed = world.part_crash_count(BAD);
        assert_eq!(crashed, CRASHES_TO_QUARANTINE_PART, "seed {seed}");
        let (percent, all) = callers.rejected_percent(Instant::default());
        assert!(percent <= 5, "seed {seed}: {percent} % of {all}");
    }
}

/// Requests with the part arrive at all gateways at once, when nothing is known of it, and go on.
#[test]
fn simultaneous_requests() {
    for seed in 0..60 {
        let mut world = World::new(seed);
        let mut callers = Callers::default();
        for _ in 0..24 {
            callers.send(&mut world, &[SHARED, BAD], Behavior::Crash);
        }
        callers.run(&mut world, &Load::beside(1), Duration::from_secs(20));
        check(&world, &callers, BAD, &format!("seed {seed}"));
        let fifth = world.fifth_crash(BAD).expect("five servers crash");
        let (percent, all) = callers.rejected_percent(fifth + CONTACT_TIME * 2);
        assert!(percent <= 5, "seed {seed}: {percent} % of {all}");
    }
}

/// Two parts crash servers, each in requests of its own and both in one.
#[test]
fn two_parts() {
    for seed in 0..60 {
        let mut world = World::new(seed);
        let mut callers = Callers::default();
        let load = Load {
            crashing: vec![
                vec![SHARED, BAD],
                vec![OTHER_BAD, SHARED],
                vec![BAD, OTHER_BAD],
            ],
            ..Load::beside(1)
        };
        callers.run(&mut world, &load, Duration::from_secs(30));
        for part in [BAD, OTHER_BAD] {
            check(&world, &callers, part, &format!("seed {seed}"));
        }
    }
}

/// Servers crash for reasons of their own while one part is in nine of ten requests: nothing is withheld.
#[test]
fn unrelated_crashes() {
    for seed in 0..60 {
        let mut world = World::new(seed);
        let mut callers = Callers::default();
        let load = Load {
            crashing: vec![vec![]],
            crashing_interval: 10,
            sound: vec![vec![SHARED]; 9].into_iter().chain([vec![]]).collect(),
            sound_interval: 1,
        };
        callers.run(&mut world, &load, Duration::from_secs(20));
        let (percent, all) = callers.rejected_percent(Instant::default());
        assert_eq!(percent, 0, "seed {seed}: of {all}");
    }
}

/// Runs histories of random faults with the seeds of `seeds`.
fn run_histories(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut world = World::new(seed);
        let mut callers = Callers::default();
        let load = Load::beside(world.random_below(20));
        for _ in 0..8 {
            if world.random_below(2) == 0 {
                world.inject_fault();
            }
            let time = Duration::from_millis(200 + world.random_below(2_000) as u64);
            callers.run(&mut world, &load, time);
        }
        world.heal();
        callers.run(&mut world, &load, Duration::from_secs(12));
        check(&world, &callers, BAD, &format!("seed {seed}"));
    }
}

#[test]
fn any_history_0() {
    run_histories(0..500);
}

#[test]
fn any_history_1() {
    run_histories(500..1_000);
}

#[test]
fn any_history_2() {
    run_histories(1_000..1_500);
}

#[test]
fn any_history_3() {
    run_histories(1_500..2_000);
}

/// Runs histories in which something is lost after each crash under the part, at least `min_delay` later: all hosts
/// together see five crashes and three trials.
///
/// Requests with the part come so rarely that none is in flight when the next one arrives, and that a hub leads by then.
fn run_losses(seeds: std::ops::Range<u64>, loss: Loss, min_delay: Duration) {
    for seed in seeds {
        let context = format!("seed {seed}, {loss:?}");
        let mut world = World::new(seed);
        world.loss_after_crash = Some((loss, min_delay));
        let mut callers = Callers::default();
        let load = Load {
            crashing_interval: 100 + world.random_below(20),
            ..Load::beside(1)
        };
        callers.run(&mut world, &load, Duration::from_secs(70));
        let crashes = world.untried_part_crashes.get(&BAD).copied();
        let crashes = crashes.unwrap_or(0);
        assert_eq!(
            crashes, CRASHES_TO_QUARANTINE_PART,
            "{context}: crashes beside those of trials"
        );
        let arrivals = world.count_part_arrivals_after(BAD, CONTACT_TIME);
        assert!(
            arrivals <= MAX_SENT_AFTER_QUARANTINE,
            "{context}: {arrivals} arrivals"
        );
        check(&world, &callers, BAD, &context);
        let (percent, all) = callers.rejected_percent(Instant::default());
        assert!(percent <= 10, "{context}: {percent} % of {all}");
    }
}

/// The gateway that saw a crash is lost with it, from the moment of the crash on.
#[test]
fn witness_lost_0() {
    run_losses(0..400, Loss::Witness, Duration::ZERO);
}

#[test]
fn witness_lost_1() {
    run_losses(400..800, Loss::Witness, Duration::ZERO);
}

/// The hub is lost, from the moment of the crash on.
#[test]
fn hub_lost() {
    run_losses(800..1_400, Loss::Hub, Duration::ZERO);
}

/// The hub and the gateway that saw a crash are lost together, once the crash is in the log.
#[test]
fn hub_and_witness_lost() {
    run_losses(1_400..2_000, Loss::Both, LOG_TIME);
}
