//! A host that loses its disk and fails again while its replica rejoins must not stop the two others from acknowledging
//! proposals, and nothing that was acknowledged may be lost.
//!
//! `HISTORIES=20000 cargo test -p curlewlift-core --test rejoin_histories` runs more histories.

mod support;

use support::rejoins;
use support::rejoins::Beginning;

/// Number of histories unless `HISTORIES` sets another.
const DEFAULT_HISTORIES: u64 = 2_000;

/// More seeds of a first start, in which a voter and a host that had just joined were lost while the set grew by two.
const GROWING_SEEDS: [u64; 3] = [12_231, 16_299, 18_335];

/// Number of lost disks in one history.
const EPISODES_PER_HISTORY: u32 = 3;

/// Number of seeds that are named if histories fail.
const MAX_NAMED_SEEDS: usize = 8;

fn history_count() -> u64 {
    let text = std::env::var("HISTORIES").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_HISTORIES)
}

/// Mean number of proposals that a history must acknowledge, for its checks to mean something.
const MIN_ACKNOWLEDGED: u64 = 100;

fn check_histories(beginning: Beginning) {
    let mut failures = Vec::new();
    let mut acknowledged = 0;
    for seed in (0..history_count()).chain(GROWING_SEEDS) {
        match rejoins::run(seed, EPISODES_PER_HISTORY, beginning) {
            Ok(count) => acknowledged += count,
            Err(why) => failures.push(format!("seed {seed} {why}")),
        }
    }
    let named = failures.iter().take(MAX_NAMED_SEEDS);
    let named: Vec<_> = named.map(String::as_str).collect();
    assert!(
        failures.is_empty(),
        "{} of {} histories failed:\n{}",
        failures.len(),
        history_count(),
        named.join("\n")
    );
    assert!(
        acknowledged as u64 > MIN_ACKNOWLEDGED * history_count(),
        "the histories acknowledged too little: {acknowledged}"
    );
}

/// A host is lost again while it rejoins.
#[test]
fn repeated_losses() {
    check_histories(Beginning::Formed);
}

/// One of the founders is lost before the others have heard of it.
#[test]
fn first_start() {
    check_histories(Beginning::FirstStart);
}
