//! Seeded random histories of three replicas with lost messages, broken links, crashes and lost
//! disks. The safety of the log is checked after every step: there is one leader in a term, and no
//! committed entry is lost or replaced.
//!
//! The tests `finds_*` break one rule on purpose, to show that the checks notice it.
//!
//! `HISTORIES=20000 cargo test -p curlewlift-core --test log_histories` runs more histories.

mod support;

use support::history;
use support::history::Flaw;
use support::history::History;

/// Number of histories unless `HISTORIES` sets another.
const DEFAULT_HISTORIES: u64 = 4_000;

/// Number of steps in one history.
const STEPS_PER_HISTORY: usize = 2_500;

fn history_count() -> u64 {
    let text = std::env::var("HISTORIES").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_HISTORIES)
}

/// Runs all histories; they must commit something.
fn check_histories(run: impl Fn(u64) -> Result<History, String>) {
    let mut commits = 0;
    for seed in 0..history_count() {
        match run(seed) {
            Ok(history) => commits += history.committed(),
            Err(why) => panic!("seed {seed}: {why}"),
        }
    }
    assert!(
        commits as u64 > 5 * history_count(),
        "the histories committed too few entries: {commits}"
    );
}

#[test]
fn log_is_safe() {
    check_histories(|seed| history::run(seed, STEPS_PER_HISTORY, Flaw::None));
}

/// The same if lost replicas are replaced in one change.
#[test]
fn safe_replacement() {
    check_histories(|seed| history::run_replacing(seed, STEPS_PER_HISTORY));
}

/// The first seed whose history detects `flaw`.
fn first_failing_seed(flaw: Flaw) -> u64 {
    let seed =
        (0..DEFAULT_HISTORIES).find(|seed| history::run(*seed, STEPS_PER_HISTORY, flaw).is_err());
    seed.unwrap_or_else(|| panic!("{flaw:?} was not found in {DEFAULT_HISTORIES} histories"))
}

#[test]
fn finds_double_vote() {
    println!("double vote: seed {}", first_failing_seed(Flaw::DoubleVote));
}

#[test]
fn finds_early_sync_report() {
    println!(
        "early sync report: seed {}",
        first_failing_seed(Flaw::EarlySyncReport)
    );
}

#[test]
fn finds_old_disk() {
    println!("old disk: seed {}", first_failing_seed(Flaw::OldDisk));
}

#[test]
fn finds_early_learner() {
    println!(
        "early learner: seed {}",
        first_failing_seed(Flaw::EarlyLearner)
    );
}
