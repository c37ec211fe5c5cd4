//! What is agreed of roll-outs: orders, orders again, conflicts, phases, what gateways may send to.

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

const SEEDS: u64 = 2_000;

fn version(name: &str) -> Version {
    name.parse().expect("a version")
}

fn order(target: &str, seconds: u64) -> Order {
    Order {
        service: "chat".parse().expect("a name"),
        target: version(target),
        duration: Duration::from_secs(seconds),
        given_ms: 0,
    }
}

fn established() -> Plans {
    let mut plans = Plans::default();
    establish(&mut plans, &["v1"]);
    plans
}

fn establish(plans: &mut Plans, versions: &[&str]) {
    let step = Step::Established {
        service: "chat".parse().expect("a name"),
        versions: versions.iter().map(|name| version(name)).collect(),
    };
    plans.apply(&step).expect("no conflict");
}

fn advance(plans: &mut Plans, target: &str, phase: Phase) {
    let step = Step::Advanced {
        service: "chat".parse().expect("a name"),
        target: version(target),
        phase,
    };
    plans.apply(&step).expect("no conflict");
}

fn phase(plans: &Plans) -> Option<Phase> {
    let last = plans.last_order(&"chat".parse().expect("a name"));
    last.map(|(_, phase)| phase)
}

fn server(name: &str) -> Server {
    Server {
        incarnation: "s1".into(),
        name: "s1".into(),
        started_ms: 0,
        version: version(name),
        service: "chat".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: 2,
        leaving: false,
        cold: false,
    }
}

/// The versions that gateways may send to by themselves.
fn open(plans: &Plans) -> Vec<&'static str> {
    let policy = Policy::from_plans(plans);
    let all = ["v1", "v2", "v3"].into_iter();
    all.filter(|name| policy.allows(&server(name))).collect()
}

#[test]
fn completed() {
    let mut plans = established();
    plans.apply(&Step::Ordered(order("v2", 10))).expect("taken");
    assert_eq!(open(&plans), ["v1"], "on trial");
    advance(&mut plans, "v2", Phase::Completed);
    assert_eq!(phase(&plans), Some(Phase::Trial), "not before all moves");
    advance(&mut plans, "v2", Phase::Moving);
    assert_eq!(open(&plans), ["v2"]);
    advance(&mut plans, "v2", Phase::Completed);
    assert_eq!(open(&plans), ["v2"]);
    advance(&mut plans, "v2", Phase::RolledBack);
    assert_eq!(phase(&plans), Some(Phase::Completed), "an end is one");
}

#[test]
fn rolled_back() {
    for from in [Phase::Trial, Phase::Moving] {
        let mut plans = established();
        plans.apply(&Step::Ordered(order("v2", 10))).expect("taken");
        advance(&mut plans, "v2", from);
        advance(&mut plans, "v3", Phase::RolledBack);
        assert_eq!(phase(&plans), Some(from), "of another version");
        advance(&mut plans, "v2", Phase::RolledBack);
        assert_eq!(open(&plans), ["v1"], "from {from}");
    }
}

#[test]
fn again() {
    let mut plans = established();
    plans.apply(&Step::Ordered(order("v2", 10))).expect("taken");
    plans
        .apply(&Step::Ordered(order("v2", 10)))
        .expect("the same");
    let other = plans.apply(&Step::Ordered(order("v3", 10)));
    assert_eq!(other.expect_err("under way").get_code(), Code::Conflict);
    advance(&mut plans, "v2", Phase::RolledBack);
    plans
        .apply(&Step::Ordered(order("v2", 10)))
        .expect("the same");
    assert_eq!(
        phase(&plans),
        Some(Phase::RolledBack),
        "a late resend begins nothing"
    );
    plans
        .apply(&Step::Ordered(order("v2", 11)))
        .expect("another");
    assert_eq!(phase(&plans), Some(Phase::Trial));
}

#[test]
fn serves_already() {
    let mut plans = established();
    plans.apply(&Step::Ordered(order("v1", 10))).expect("taken");
    assert_eq!(phase(&plans), Some(Phase::Completed));
}

/// Ordered before any server was seen: what is not the target serves, once it is seen.
#[test]
fn first_seen() {
    let mut plans = Plans::default();
    assert_eq!(open(&plans), ["v1", "v2", "v3"], "nothing is agreed");
    plans.apply(&Step::Ordered(order("v2", 10))).expect("taken");
    assert!(open(&plans).is_empty());
    establish(&mut plans, &["v1"]);
    assert_eq!(open(&plans), ["v1"]);
    establish(&mut plans, &["v3"]);
    assert_eq!(
        open(&plans),
        ["v1"],
        "what shows up later is no version that serves"
    );
}

/// What a hub that sees a list for the first time wants to be agreed.
fn established_by(plans: &Plans, versions: &[&str]) -> Vec<Step> {
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

#[test]
fn first_list() {
    let step = |versions: &[&str]| Step::Established {
        service: "chat".parse().expect("a name"),
        versions: versions.iter().map(|name| version(name)).collect(),
    };
    let mut plans = Plans::default();
    assert_eq!(established_by(&plans, &["v1", "v1"]), [step(&["v1"])]);
    assert_eq!(established_by(&plans, &["v1", "v2"]), [step(&["v1", "v2"])]);
    plans.apply(&Step::Ordered(order("v2", 10))).expect("taken");
    assert_eq!(established_by(&plans, &["v1", "v2"]), [step(&["v1"])]);
    assert_eq!(
        established_by(&plans, &["v2"]),
        [step(&["v2"])],
        "nothing else runs"
    );
    establish(&mut plans, &["v1"]);
    assert!(established_by(&plans, &["v1", "v2", "v3"]).is_empty());
}

/// Whatever steps come in whatever order, doubled and late: an end is never left but by another order, only
/// ordered versions ever get anything, and a machine that is read back is the same.
#[test]
fn any_steps() {
    for seed in 0..SEEDS {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut machine = Machine::default();
        let mut ordered = vec!["v1"];
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
                    service: "chat".parse().expect("a name"),
                    versions: [version("v1")].into(),
                },
                1 => Step::Ordered(order(target, random.random_range(1..3))),
                _ => Step::Advanced {
                    service: "chat".parse().expect("a name"),
                    target: version(target),
                    phase: phases[random.random_range(0..4)],
                },
            };
            let before = phase(machine.get_rollouts());
            let taken = machine.apply(&Record::Rollout(step.clone())).is_ok();
            if matches!(step, Step::Ordered(_)) && taken {
                ordered.push(target);
            }
            let after = phase(machine.get_rollouts());
            let is_end = before.is_some_and(Phase::is_final);
            if is_end && !matches!(step, Step::Ordered(_)) {
                assert_eq!(after, before, "seed {seed}");
            }
            if machine
                .get_rollouts()
                .serving_versions(&"chat".parse().expect("a name"))
                .is_some()
            {
                let open = open(machine.get_rollouts());
                assert!(
                    open.iter().all(|name| ordered.contains(name)),
                    "seed {seed}: {open:?}"
                );
            }
            let read = Machine::decode(&machine.encode()).expect("it reads");
            assert_eq!(read, machine, "seed {seed}");
        }
    }
}
