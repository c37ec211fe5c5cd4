//! Seeded histories of a few replicas with losses, cuts, kills and lost disks; the invariants are
//! checked after every step.
//!
//! `HISTORIES=20000 cargo test -p curlewlift-core --test log_histories` runs longer.

mod support;

use support::history;
use support::history::Flaw;

/// Histories in CI.
const COUNT: u64 = 4_000;

/// Steps of one history.
const STEPS: usize = 2_500;

fn count() -> u64 {
    let text = std::env::var("HISTORIES").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(COUNT)
}

#[test]
fn keeps_promises() {
    let mut commits = 0;
    for seed in 0..count() {
        match history::run(seed, STEPS, Flaw::None) {
            Ok(history) => commits += history.committed(),
            Err(why) => panic!("seed {seed}: {why}"),
        }
    }
    assert!(
        commits as u64 > 5 * count(),
        "the histories do something: {commits} commits"
    );
}

/// The first seed that finds a deliberate breakage.
fn finds(flaw: Flaw) -> u64 {
    let found = (0..COUNT).find(|seed| history::run(*seed, STEPS, flaw).is_err());
    found.unwrap_or_else(|| panic!("{flaw:?} was not found in {COUNT} histories"))
}

#[test]
fn finds_double_vote() {
    println!("double vote: seed {}", finds(Flaw::DoubleVote));
}

#[test]
fn finds_early_answer() {
    println!("early answer: seed {}", finds(Flaw::EarlyAnswer));
}

#[test]
fn finds_old_disk() {
    println!("old disk: seed {}", finds(Flaw::OldDisk));
}

#[test]
fn finds_early_learner() {
    println!("early learner: seed {}", finds(Flaw::EarlyLearner));
}
