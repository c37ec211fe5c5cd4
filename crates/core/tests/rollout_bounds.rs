//! Limits of a roll-out's trial: how many requests the target version gets, and what its responses
//! lead to.
//!
//! While hubs replace one another, several of them may grant slots of the target at once without
//! knowing of each other. Together they must never exceed the limit. A faulty target must be rolled
//! back after few responses; one that is only slow because everything is, or that has one failing
//! server, must not.

use std::time::Duration;

use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::rollout::Baseline;
use curlewlift_core::rollout::Bounds;
use curlewlift_core::rollout::Conditions;
use curlewlift_core::rollout::Judge;
use curlewlift_core::rollout::Phase;
use curlewlift_core::rollout::Sample;
use curlewlift_core::rollout::Trial;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED_COUNT: u64 = 2_000;

const TRIAL_BOUNDS: Bounds = Bounds {
    share: 0.1,
    extra_requests: 50.0,
};

const ROLLOUT_DURATION: Duration = Duration::from_secs(10);

fn good(first_ms: u64) -> AttemptOutcome {
    AttemptOutcome::Answered {
        first_byte: Duration::from_millis(first_ms),
        gap: None,
    }
}

/// The outcome of an attempt on `server` under the rule `chat`.
fn sample(server: &str, outcome: AttemptOutcome) -> Sample {
    Sample {
        rule: "chat".into(),
        server: server.into(),
        outcome,
    }
}

fn trial(is_ordered_here: bool) -> Trial {
    Trial::new(
        ROLLOUT_DURATION,
        Phase::Trial,
        TRIAL_BOUNDS,
        is_ordered_here,
    )
}

/// Up to three hubs at a time, some replaced by new ones, each receive reports of different
/// requests. The requests that they send to the target together are within the limit at every
/// moment.
#[test]
fn concurrent_hubs() {
    for seed in 0..SEED_COUNT {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut hubs = vec![trial(true)];
        let mut former_requests = 0_u32;
        let mut target_requests = 0_u32;
        let burst = random.random_range(1..20);
        for _ in 0..600 {
            let hub = random.random_range(0..hubs.len());
            match random.random_range(0..100) {
                0 if hubs.len() < 3 => hubs.push(trial(false)),
                1 => hubs[hub] = trial(false),
                2..80 => {
                    former_requests += 1;
                    // One in ten reports is lost.
                    if random.random_ratio(9, 10) {
                        hubs[hub].record_former(&sample("s1", good(10)));
                    }
                }
                _ => {
                    for _ in 0..burst {
                        if hubs[hub].credit().is_some_and(|credit| credit > 0) {
                            hubs[hub].spend();
                            target_requests += 1;
                        }
                    }
                }
            }
            let limit = f64::from(former_requests + target_requests) * TRIAL_BOUNDS.share
                + TRIAL_BOUNDS.extra_requests;
            assert!(
                f64::from(target_requests) <= limit,
                "seed {seed}: {target_requests} to the target, {former_requests} to the other"
            );
        }
    }
}

/// A target whose responses all fail is rolled back after fewer than ten of them.
#[test]
fn failing_target() {
    let mut trial = trial(true);
    for _ in 0..200 {
        trial.record_former(&sample("s1", good(10)));
    }
    let mut granted = 0;
    while trial.credit().is_some_and(|credit| credit > 0) {
        trial.spend();
        granted += 1;
        let server = if granted % 2 == 0 { "s2" } else { "s3" };
        trial.record_target(&sample(server, AttemptOutcome::Failed), 2);
    }
    assert!(
        granted < 10,
        "{granted} requests failed before the trial stopped"
    );
    let next = trial.next_phase(&Conditions::default());
    assert_eq!(next.map(|(phase, _)| phase), Some(Phase::RolledBack));
}

/// One server that fails for a reason of its own doesn't show that its version is faulty.
#[test]
fn one_failing_server() {
    let baseline = Baseline::default();
    let mut judge = Judge::default();
    for _ in 0..50 {
        judge.record(&sample("s2", AttemptOutcome::Failed), &baseline, 3, true);
    }
    assert!(judge.evidence_against().is_none());
    judge.record(&sample("s3", AttemptOutcome::Failed), &baseline, 3, true);
    judge.record(&sample("s3", AttemptOutcome::Failed), &baseline, 3, true);
    assert!(
        judge.evidence_against().is_some(),
        "failures of two servers are evidence against the version"
    );
}

/// A burst that slows all servers is no evidence against the target.
#[test]
fn common_slowdown() {
    let mut baseline = Baseline::default();
    let mut judge = Judge::default();
    for round in 0..400 {
        let first = if round < 200 { 20 } else { 200 };
        baseline.record(&sample(&format!("s{}", round % 60), good(first)));
        if round % 10 == 0 && !(200..240).contains(&round) {
            judge.record(&sample("n1", good(first)), &baseline, 2, true);
        }
    }
    assert!(judge.evidence_against().is_none());
}

/// Once all new requests go to the target, its load alone may slow it: then only failures are
/// evidence against it.
#[test]
fn slow_while_moving() {
    let mut trial = trial(true);
    for round in 0..200 {
        trial.record_former(&sample(&format!("s{}", round % 20), good(20)));
    }
    let is_rejected = |trial: &Trial| trial.evidence_against().is_some();
    let mut moving = trial.clone();
    moving.set_phase(Phase::Moving);
    for round in 0..40 {
        let server = format!("n{}", round % 5);
        moving.record_target(&sample(&server, good(200)), 5);
        trial.record_target(&sample(&server, good(200)), 5);
    }
    assert!(
        is_rejected(&trial),
        "on trial, it is slower than the former version"
    );
    assert!(!is_rejected(&moving));
    for round in 0..10 {
        moving.record_target(
            &sample(&format!("n{}", round % 5), AttemptOutcome::Failed),
            5,
        );
    }
    assert!(is_rejected(&moving));
}

/// A trusted target gets all new requests once it was tried for long enough and has the slots; the
/// roll-out is completed once nothing can run on the former version any more.
#[test]
fn moves_when_trusted() {
    let mut trial = trial(true);
    for round in 0..200 {
        trial.record_former(&sample(&format!("s{}", round % 20), good(20)));
    }
    let mut conditions = Conditions {
        age: ROLLOUT_DURATION / 2,
        target_slots: 20,
        target_servers: 5,
        former_slots: 20,
        in_flight: 10,
        in_flight_at_former: 10,
        is_policy_applied: true,
    };
    let phase = |trial: &Trial, conditions: &Conditions| {
        trial.next_phase(conditions).map(|(phase, _)| phase)
    };
    for round in 0..60 {
        trial.record_target(&sample(&format!("n{}", round % 5), good(20)), 5);
    }
    assert_eq!(
        phase(&trial, &conditions),
        None,
        "the trial is too short: the target may still turn bad"
    );
    conditions.age = ROLLOUT_DURATION * 7 / 10;
    conditions.target_slots = 10;
    assert_eq!(
        phase(&trial, &conditions),
        None,
        "the target has too few slots"
    );
    conditions.target_slots = 20;
    assert_eq!(phase(&trial, &conditions), Some(Phase::Moving));
    trial.set_phase(Phase::Moving);
    assert_eq!(trial.credit(), None, "the target has no limit any more");
    assert_eq!(
        phase(&trial, &conditions),
        None,
        "requests still run on the former version"
    );
    conditions.in_flight_at_former = 0;
    conditions.is_policy_applied = false;
    assert_eq!(
        phase(&trial, &conditions),
        None,
        "some gateway may still send requests to the former version"
    );
    conditions.is_policy_applied = true;
    assert_eq!(phase(&trial, &conditions), Some(Phase::Completed));
}

/// A roll-out without any response is rolled back after twice its duration.
#[test]
fn no_responses() {
    let trial = trial(true);
    let conditions = |age| Conditions {
        age,
        ..Conditions::default()
    };
    assert!(trial.next_phase(&conditions(ROLLOUT_DURATION)).is_none());
    let next = trial.next_phase(&conditions(ROLLOUT_DURATION * 2));
    assert_eq!(next.map(|(phase, _)| phase), Some(Phase::RolledBack));
}
