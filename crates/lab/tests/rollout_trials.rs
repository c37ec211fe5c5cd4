//! Simulated roll-outs: good versions are completed and bad ones rolled back, with and without trouble.

use curlewlift_core::rollout::Phase;
use curlewlift_lab::rollout::Fault;
use curlewlift_lab::rollout::Outcome;
use curlewlift_lab::rollout::Scenario;
use curlewlift_lab::rollout::Trouble;
use curlewlift_lab::rollout::run;

/// How long after the fiftieth failed or slow response requests may still be sent to a bad version, in milliseconds.
const MAX_MS_AFTER_FIFTIETH: u64 = 5_000;

fn run_checked(fault: Option<Fault>, trouble: Trouble, seed: u64) -> Outcome {
    let outcome = run(Scenario::new(fault, trouble, seed));
    let context = format!("{fault:?} {trouble:?} seed {seed}: {outcome:?}");
    assert!(
        outcome.max_over_bound <= 0.0,
        "the new version received too many requests: {context}"
    );
    assert_eq!(
        outcome.cut_off, 0,
        "requests were cut off by the completion: {context}"
    );
    if fault.is_some() {
        assert!(
            outcome.ms_after_fiftieth <= MAX_MS_AFTER_FIFTIETH,
            "too late: {context}"
        );
    }
    outcome
}

#[test]
fn good_versions() {
    for seed in 0..4 {
        let outcome = run_checked(None, Trouble::None, seed);
        assert_eq!(outcome.phase, Some(Phase::Completed), "seed {seed}");
        let limit = Scenario::new(None, Trouble::None, seed).length_ms;
        assert!(outcome.ended_ms <= limit, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn bad_versions() {
    for fault in Fault::ALL {
        let outcome = run_checked(Some(fault), Trouble::None, 1);
        assert_eq!(outcome.phase, Some(Phase::RolledBack), "{fault:?}");
    }
}

/// With each kind of trouble the bound holds and no request is cut off.
#[test]
fn under_trouble() {
    for trouble in Trouble::ALL {
        run_checked(None, trouble, 2);
        let outcome = run_checked(Some(Fault::Fails), trouble, 2);
        assert_eq!(outcome.phase, Some(Phase::RolledBack), "{trouble:?}");
    }
}
