//! The committed state of roll-outs: orders, repeated orders, conflicts, phases, and the versions
//! that gateways may send requests to without the hub.
//!
//! Steps may be committed twice, late, or in any order, as leaders change and messages are sent
//! again. None may reopen a roll-out that has ended, or open a version that nobody ordered.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::code::Code;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::rollout::Bounds;
use curlewlift_core::rollout::Order;
use curlewlift_core::rollout::Phase;
use curlewlift_core::rollout::Plans;
use curlewlift_core::rollout::Policy;
use curlewlift_core::rollout::Step;
use curlewlift_core::rollout::Trials;
use curlewlift_core::rollout::Version;
use curlewlift_core::state::Machine;
use curlewlift_core::state::Record;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED_COUNT: u64 = 2_000;

fn version(name: &str) -> Version {
    name.parse().expect("a valid version")
}

fn order(target: &str, seconds: u64) -> Order {
    Order {
        service: "chat".parse().expect("a valid name"),
        target: version(target),
        duration: Duration::from_secs(seconds),
        given_ms: 0,
    }
}

/// Plans of a service that is served by `v1`.
fn established_plans() -> Plans {
    let mut plans = Plans::default();
    establish(&mut plans, &["v1"]);
    plans
}

fn establish(plans: &mut Plans, versions: &[&str]) {
    let step = Step::Established {
        service: "chat".parse().expect("a valid name"),
        versions: versions.iter().map(|name| version(name)).collect(),
    };
    plans.apply(&step).expect("no conflict");
}

fn advance(plans: &mut Plans, target: &str, phase: Phase) {
    let step = Step::Advanced {
        service: "chat".parse().expect("a valid name"),
        target: version(target),
        phase,
    };
    plans.apply(&step).expect("no conflict");
}

fn phase(plans: &Plans) -> Option<Phase> {
    let last = plans.last_order(&"chat".parse().expect("a valid name"));
    last.map(|(_, phase)| phase)
}

fn server(name: &str) -> Server {
    Server {
        incarnation: "s1".into(),
        name: "s1".into(),
        started_ms: 0,
        version: version(name),
        service: "chat".parse().expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        hall: "a".into(),
        slots: 2,
        leaving: false,
        cold: false,
    }
}

/// The versions that gateways may send requests to without the hub.
fn allowed(plans: &Plans) -> Vec<&'static str> {
    let policy = Policy::from_plans(plans);
    let versions = ["v1", "v2", "v3"].into_iter();
    versions
        .filter(|name| policy.allows(&server(name)))
        .collect()
}

#[test]
fn completed() {
    let mut plans = established_plans();
    plans
        .apply(&Step::Ordered(order("v2", 10)))
        .expect("accepted");
    assert_eq!(allowed(&plans), ["v1"], "v2 is on trial");
    advance(&mut plans, "v2", Phase::Completed);
    assert_eq!(
        phase(&plans),
        Some(Phase::Trial),
        "a trial can't be completed before it moves"
    );
    advance(&mut plans, "v2", Phase::Moving);
    assert_eq!(allowed(&plans), ["v2"]);
    advance(&mut plans, "v2", Phase::Completed);
    assert_eq!(allowed(&plans), ["v2"]);
    advance(&mut plans, "v2", Phase::RolledBack);
    assert_eq!(
        phase(&plans),
        Some(Phase::Completed),
        "a completed roll-out can't be rolled back"
    );
}

#[test]
fn rolled_back() {
    for from in [Phase::Trial, Phase::Moving] {
        let mut plans = established_plans();
        plans
            .apply(&Step::Ordered(order("v2", 10)))
            .expect("accepted");
        advance(&mut plans, "v2", from);
        advance(&mut plans, "v3", Phase::RolledBack);
        assert_eq!(
            phase(&plans),
            Some(from),
            "the step is for another target version"
        );
        advance(&mut plans, "v2", Phase::RolledBack);
        assert_eq!(allowed(&plans), ["v1"], "from {from}");
    }
}

/// An order that is received twice starts no second roll-out, even if the first has ended.
#[test]
fn repeated_order() {
    let mut plans = established_plans();
    plans
        .apply(&Step::Ordered(order("v2", 10)))
        .expect("accepted");
    plans
        .apply(&Step::Ordered(order("v2", 10)))
        .expect("a repeated order is accepted");
    let conflicting = plans.apply(&Step::Ordered(order("v3", 10)));
    assert_eq!(
        conflicting
            .expect_err("the roll-out to v2 is active")
            .get_code(),
        Code::Conflict
    );
    advance(&mut plans, "v2", Phase::RolledBack);
    plans
        .apply(&Step::Ordered(order("v2", 10)))
        .expect("a repeated order is accepted");
    assert_eq!(
        phase(&plans),
        Some(Phase::RolledBack),
        "the repeated order starts nothing"
    );
    plans
        .apply(&Step::Ordered(order("v2", 11)))
        .expect("a new order is accepted");
    assert_eq!(phase(&plans), Some(Phase::Trial));
}

/// An order for the version that serves already is completed at once.
#[test]
fn serves_already() {
    let mut plans = established_plans();
    plans
        .apply(&Step::Ordered(order("v1", 10)))
        .expect("accepted");
    assert_eq!(phase(&plans), Some(Phase::Completed));
}

/// After an order that came before any server was seen, no version is allowed until one is
/// established.
#[test]
fn order_before_servers() {
    let mut plans = Plans::default();
    assert_eq!(allowed(&plans), ["v1", "v2", "v3"], "nothing is committed");
    plans
        .apply(&Step::Ordered(order("v2", 10)))
        .expect("accepted");
    assert!(allowed(&plans).is_empty());
    establish(&mut plans, &["v1"]);
    assert_eq!(allowed(&plans), ["v1"]);
    establish(&mut plans, &["v3"]);
    assert_eq!(
        allowed(&plans),
        ["v1"],
        "a version that appears later doesn't serve"
    );
}

/// The steps that a hub proposes when it first sees a list of servers of these versions.
fn proposed_steps(plans: &Plans, versions: &[&str]) -> Vec<Step> {
    let bounds = Bounds {
        share: 0.1,
        extra_requests: 50.0,
    };
    let now = Instant::default();
    let mut trials = Trials::new(Some(bounds));
    trials.apply_plans(plans, None, 0, now);
    let servers = versions.iter().enumerate();
    let servers = servers.map(|(number, name)| Server {
        incarnation: format!("s{number}").into(),
        ..server(name)
    });
    trials.propose_established(&ServerList::new(servers.collect()), now)
}

/// The versions on the first server list serve, except a target that was ordered before.
#[test]
fn first_server_list() {
    let step = |versions: &[&str]| Step::Established {
        service: "chat".parse().expect("a valid name"),
        versions: versions.iter().map(|name| version(name)).collect(),
    };
    let mut plans = Plans::default();
    assert_eq!(proposed_steps(&plans, &["v1", "v1"]), [step(&["v1"])]);
    assert_eq!(proposed_steps(&plans, &["v1", "v2"]), [step(&["v1", "v2"])]);
    plans
        .apply(&Step::Ordered(order("v2", 10)))
        .expect("accepted");
    assert_eq!(proposed_steps(&plans, &["v1", "v2"]), [step(&["v1"])]);
    assert_eq!(
        proposed_steps(&plans, &["v2"]),
        [step(&["v2"])],
        "only the target runs"
    );
    establish(&mut plans, &["v1"]);
    assert!(proposed_steps(&plans, &["v1", "v2", "v3"]).is_empty());
}

/// Asserts that a version on trial, or rolled back, is not allowed where another one serves.
fn assert_withheld(plans: &Plans, seed: u64) {
    let service = "chat".parse().expect("a valid name");
    let last = plans.last_order(&service);
    let Some((order, Phase::Trial | Phase::RolledBack)) = last else {
        return;
    };
    let serves_alone = plans
        .serving_versions(&service)
        .is_some_and(|serving| serving.iter().eq([&order.target]));
    let is_allowed = Policy::from_plans(plans).allows(&Server {
        version: order.target.clone(),
        ..server("v1")
    });
    assert!(!is_allowed || serves_alone, "seed {seed}: {plans:?}");
}

/// Random steps in random order: a roll-out that has ended changes only by another order, only
/// ordered versions are allowed, none that is on trial or rolled back beside another one is, and the replicated state is the same after it is encoded and
/// decoded.
#[test]
fn random_steps() {
    for seed in 0..SEED_COUNT {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut machine = Machine::default();
        let established = ["v1", "v2"].split_at(random.random_range(1..=2)).0;
        let mut ordered = established.to_vec();
        for _ in 0..30 {
            let target = ["v1", "v2", "v3"][random.random_range(0..3)];
            let phases = [
                Phase::Trial,
                Phase::Moving,
                Phase::Completed,
                Phase::RolledBack,
            ];
            let step = match random.random_range(0..5) {
                0 => Step::Established {
                    service: "chat".parse().expect("a valid name"),
                    versions: established.iter().map(|name| version(name)).collect(),
                },
                1 => Step::Ordered(order(target, random.random_range(1..3))),
                _ => Step::Advanced {
                    service: "chat".parse().expect("a valid name"),
                    target: version(target),
                    phase: phases[random.random_range(0..4)],
                },
            };
            let before = phase(machine.get_rollouts());
            let is_accepted = machine.apply(&Record::Rollout(step.clone())).is_ok();
            if matches!(step, Step::Ordered(_)) && is_accepted {
                ordered.push(target);
            }
            let after = phase(machine.get_rollouts());
            let is_final = before.is_some_and(Phase::is_final);
            if is_final && !matches!(step, Step::Ordered(_)) {
                assert_eq!(after, before, "seed {seed}");
            }
            if machine
                .get_rollouts()
                .serving_versions(&"chat".parse().expect("a valid name"))
                .is_some()
            {
                let allowed = allowed(machine.get_rollouts());
                assert!(
                    allowed.iter().all(|name| ordered.contains(name)),
                    "seed {seed}: allowed {allowed:?}, ordered {ordered:?}"
                );
            }
            assert_withheld(machine.get_rollouts(), seed);
            let decoded = Machine::decode(&machine.encode()).expect("the state decodes");
            assert_eq!(decoded, machine, "seed {seed}");
        }
    }
}
