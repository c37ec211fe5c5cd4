//! The requests of a version on trial, over all hubs: a bound in every history, not an estimate.

use std::time::Duration;

use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::rollout::Bounds;
use curlewlift_core::rollout::Judge;
use curlewlift_core::rollout::Phase;
use curlewlift_core::rollout::Sample;
use curlewlift_core::rollout::Scene;
use curlewlift_core::rollout::Trial;
use curlewlift_core::rollout::Yardstick;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEEDS: u64 = 2_000;

const BOUNDS: Bounds = Bounds {
    share: 0.1,
    on_top: 50.0,
};

const LENGTH: Duration = Duration::from_secs(10);

fn good(first_ms: u64) -> AttemptOutcome {
    AttemptOutcome::Answered {
        first_byte: Duration::from_millis(first_ms),
        gap: None,
    }
}

fn sample(server: &str, end: AttemptOutcome) -> Sample {
    Sample {
        rule: "chat".into(),
        server: server.into(),
        end,
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
                        hubs[hub].former(&sample("s1", good(10)));
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
            let bound = f64::from(reached + exposed) * BOUNDS.share + BOUNDS.on_top;
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
        trial.former(&sample("s1", good(10)));
    }
    let mut given = 0;
    while trial.credit().is_some_and(|credit| credit > 0) {
        trial.spend();
        given += 1;
        let server = if given % 2 == 0 { "s2" } else { "s3" };
        trial.target(&sample(server, AttemptOutcome::Failed), 2);
    }
    assert!(given < 10, "{given} failures");
    let next = trial.next(&Scene::default());
    assert_eq!(next.map(|(phase, _)| phase), Some(Phase::RolledBack));
}

/// One server that fails for a reason of its own does not show that its version is bad.
#[test]
fn one_server() {
    let usual = Yardstick::default();
    let mut judge = Judge::default();
    for _ in 0..50 {
        judge.take(&sample("s2", AttemptOutcome::Failed), &usual, 3, true);
    }
    assert!(judge.against().is_none());
    judge.take(&sample("s3", AttemptOutcome::Failed), &usual, 3, true);
    judge.take(&sample("s3", AttemptOutcome::Failed), &usual, 3, true);
    assert!(judge.against().is_some(), "two servers do");
}

/// A burst that slows all servers is no evidence against the new ones.
#[test]
fn slow_all() {
    let mut usual = Yardstick::default();
    let mut judge = Judge::default();
    for round in 0..400 {
        let first = if round < 200 { 20 } else { 200 };
        usual.take(&sample(&format!("s{}", round % 60), good(first)));
        if round % 10 == 0 && !(200..240).contains(&round) {
            judge.take(&sample("n1", good(first)), &usual, 2, true);
        }
    }
    assert!(judge.against().is_none());
}

/// Once all new requests go to the target, they slow each other: only failures speak against it then.
#[test]
fn slow_while_moving() {
    let mut trial = trial(true);
    for round in 0..200 {
        trial.former(&sample(&format!("s{}", round % 20), good(20)));
    }
    let against = |trial: &Trial| trial.against().is_some();
    let mut moving = trial.clone();
    moving.advance(Phase::Moving);
    for round in 0..40 {
        let server = format!("n{}", round % 5);
        moving.target(&sample(&server, good(200)), 5);
        trial.target(&sample(&server, good(200)), 5);
    }
    assert!(
        against(&trial),
        "beside the former one it is the slower one"
    );
    assert!(!against(&moving));
    for round in 0..10 {
        moving.target(
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
        trial.former(&sample(&format!("s{}", round % 20), good(20)));
    }
    let mut scene = Scene {
        age: LENGTH / 2,
        target_slots: 20,
        target_servers: 5,
        former_slots: 20,
        in_flight: 10,
        at_former: 10,
        is_known: true,
    };
    let phase = |trial: &Trial, scene: &Scene| trial.next(scene).map(|(phase, _)| phase);
    for round in 0..60 {
        trial.target(&sample(&format!("n{}", round % 5), good(20)), 5);
    }
    assert_eq!(phase(&trial, &scene), None, "it may still turn bad");
    scene.age = LENGTH * 7 / 10;
    scene.target_slots = 10;
    assert_eq!(phase(&trial, &scene), None, "it has no room for all");
    scene.target_slots = 20;
    assert_eq!(phase(&trial, &scene), Some(Phase::Moving));
    trial.advance(Phase::Moving);
    assert_eq!(trial.credit(), None, "without a bound");
    assert_eq!(phase(&trial, &scene), None, "some still run at the former");
    scene.at_former = 0;
    scene.is_known = false;
    assert_eq!(phase(&trial, &scene), None, "some may still be sent there");
    scene.is_known = true;
    assert_eq!(phase(&trial, &scene), Some(Phase::Completed));
}

#[test]
fn never_seen() {
    let trial = trial(true);
    let scene = |age| Scene {
        age,
        ..Scene::default()
    };
    assert!(trial.next(&scene(LENGTH)).is_none());
    let next = trial.next(&scene(LENGTH * 2));
    assert_eq!(next.map(|(phase, _)| phase), Some(Phase::RolledBack));
}
