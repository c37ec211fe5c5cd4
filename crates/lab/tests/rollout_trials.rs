//! Versions rolled out in simulated time: good ones completed, bad ones rolled back, under each trouble.

use curlewlift_core::rollout::Phase;
use curlewlift_lab::rollout::Fault;
use curlewlift_lab::rollout::Outcome;
use curlewlift_lab::rollout::Scenario;
use curlewlift_lab::rollout::Trouble;
use curlewlift_lab::rollout::run;

/// Within what time after the fiftieth bad answer the last request may be sent to a bad version, in milliseconds.
const BACK: u64 = 5_000;

fn play(fault: Option<Fault>, trouble: Trouble, seed: u64) -> Outcome {
    let outcome = run(Scenario::new(fault, trouble, seed));
    let at = format!("{fault:?} {trouble:?} seed {seed}: {outcome:?}");
    assert!(outcome.over <= 0.0, "over its bound: {at}");
    assert_eq!(outcome.cut, 0, "cut off by a completion: {at}");
    if fault.is_some() {
        assert!(outcome.after_fiftieth <= BACK, "{at}");
    }
    outcome
}

#[test]
fn good_versions() {
    for seed in 0..4 {
        let outcome = play(None, Trouble::None, seed);
        assert_eq!(outcome.phase, Some(Phase::Completed), "seed {seed}");
        let limit = Scenario::new(None, Trouble::None, seed).length_ms;
        assert!(outcome.ended_ms <= limit, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn bad_versions() {
    for fault in Fault::ALL {
        let outcome = play(Some(fault), Trouble::None, 1);
        assert_eq!(outcome.phase, Some(Phase::RolledBack), "{fault:?}");
    }
}

/// Whatever happens meanwhile: the bound is kept, and nothing is cut off.
#[test]
fn under_trouble() {
    for trouble in Trouble::ALL {
        play(None, trouble, 2);
        let outcome = play(Some(Fault::Fails), trouble, 2);
        assert_eq!(outcome.phase, Some(Phase::RolledBack), "{trouble:?}");
    }
}
