//! The requests of a version on trial, over all hubs: a bound in every history, not an estimate.

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

const SEEDS: u64 = 2_000;

const BOUNDS: Bounds = Bounds {
    share: 0.1,
    extra_requests: 50.0,
};

const LENGTH: Duration = Duration::from_secs(10);

fn good(first_ms: u64) -> AttemptOutcome {
    AttemptOutcome::Answered {
        first_byte: Duration::from_millis(first_ms),
        gap: None,
    }
}

fn sample(server: &str, outcome: AttemptOutcome) -> Sample {
    Sample {
        rule: "chat".into(),
        server: server.into(),
        outcome,
    }
}

fn trial(is_own: bool) -> Trial {
    Trial::new(LENGTH, Phase::Trial, BOUNDS, is_own)
}

/// Hubs come and go, some at the same time, each told of some requests and never of one that another was
/// told of; what they give out together stays within the bound at every moment.
#[test]
fn any_hubs() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut hubs = vec![trial(true)];
        let mut reached = 0_u32;
        let mut exposed = 0_u32;
        let greed = random.random_range(1..20);
        for _ in 0..600 {
            let hub = random.random_range(0..hubs.len());
            match random.random_range(0..100) {
                0 if hubs.len() < 3 => hubs.push(trial(false)),
                1 => hubs[hub] = trial(false),
                2..80 => {
                    reached += 1;
                    // Some words are lost on their way.
                    if random.random_ratio(9, 10) {
                        hubs[hub].record_former(&sample("s1", good(10)));
                    }
                }
                _ => {
                    for _ in 0..greed {
                        if hubs[hub].credit().is_some_and(|credit| credit > 0) {
                            hubs[hub].spend();
                            exposed += 1;
                        }
                    }
                }
            }
            let bound = f64::from(reached + exposed) * BOUNDS.share + BOUNDS.extra_requests;
            assert!(
                f64::from(exposed) <= bound,
                "seed {seed}: {exposed} of {reached}"
            );
        }
    }
}

#[test]
fn failing_stops() {
    let mut trial = trial(true);
    for _ in 0..200 {
        trial.record_former(&sample("s1", good(10)));
    }
    let mut given = 0;
    while trial.credit().is_some_and(|credit| credit > 0) {
        trial.spend();
        given += 1;
        let server = if given % 2 == 0 { "s2" } else { "s3" };
        trial.record_target(&sample(server, AttemptOutcome::Failed), 2);
    }
    assert!(given < 10, "{given} failures");
    let next = trial.next_phase(&Conditions::default());
    assert_eq!(next.map(|(phase, _)| phase), Some(Phase::RolledBack));
}

/// One server that fails for a reason of its own does not show that its version is bad.
#[test]
fn one_server() {
    let baseline = Baseline::default();
    let mut judge = Judge::default();
    for _ in 0..50 {
        judge.record(&sample("s2", AttemptOutcome::Failed), &baseline, 3, true);
    }
    assert!(judge.evidence_against().is_none());
    judge.record(&sample("s3", AttemptOutcome::Failed), &baseline, 3, true);
    judge.record(&sample("s3", AttemptOutcome::Failed), &baseline, 3, true);
    assert!(judge.evidence_against().is_some(), "two servers do");
}

/// A burst that slows all servers is no evidence against the new ones.
#[test]
fn slow_all() {
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

/// Once all new requests go to the target, they slow each other: only failures speak against it then.
#[test]
fn slow_while_moving() {
    let mut trial = trial(true);
    for round in 0..200 {
        trial.record_former(&sample(&format!("s{}", round % 20), good(20)));
    }
    let against = |trial: &Trial| trial.evidence_against().is_some();
    let mut moving = trial.clone();
    moving.set_phase(Phase::Moving);
    for round in 0..40 {
        let server = format!("n{}", round % 5);
        moving.record_target(&sample(&server, good(200)), 5);
        trial.record_target(&sample(&server, good(200)), 5);
    }
    assert!(
        against(&trial),
        "beside the former one it is the slower one"
    );
    assert!(!against(&moving));
    for round in 0..10 {
        moving.record_target(
            &sample(&format!("n{}", round % 5), AttemptOutcome::Failed),
            5,
        );
    }
    assert!(against(&moving));
}

#[test]
fn moves_when_trusted() {
    let mut trial = trial(true);
    for round in 0..200 {
        trial.record_former(&sample(&format!("s{}", round % 20), good(20)));
    }
    let mut conditions = Conditions {
        age: LENGTH / 2,
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
    assert_eq!(phase(&trial, &conditions), None, "it may still turn bad");
    conditions.age = LENGTH * 7 / 10;
    conditions.target_slots = 10;
    assert_eq!(phase(&trial, &conditions), None, "it has no room for all");
    conditions.target_slots = 20;
    assert_eq!(phase(&trial, &conditions), Some(Phase::Moving));
    trial.set_phase(Phase::Moving);
    assert_eq!(trial.credit(), None, "without a bound");
    assert_eq!(
        phase(&trial, &conditions),
        None,
        "some still run at the former"
    );
    conditions.in_flight_at_former = 0;
    conditions.is_policy_applied = false;
    assert_eq!(
        phase(&trial, &conditions),
        None,
        "some may still be sent there"
    );
    conditions.is_policy_applied = true;
    assert_eq!(phase(&trial, &conditions), Some(Phase::Completed));
}

#[test]
fn never_seen() {
    let trial = trial(true);
    let conditions = |age| Conditions {
        age,
        ..Conditions::default()
    };
    assert!(trial.next_phase(&conditions(LENGTH)).is_none());
    let next = trial.next_phase(&conditions(LENGTH * 2));
    assert_eq!(next.map(|(phase, _)| phase), Some(Phase::RolledBack));
}
