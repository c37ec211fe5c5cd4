//! Data halls that are evacuated, and requests that must stay in some halls: no way to a server passes them by.

mod support;

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::evacuation::Action;
use curlewlift_core::evacuation::EvacuatedHalls;
use curlewlift_core::evacuation::Order;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::pool;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Request;
use curlewlift_core::rollout::Policy;
use curlewlift_core::state::Machine;
use curlewlift_core::state::Record;

use support::lives;
use support::messages;

fn ms(count: u64) -> Instant {
    Instant::default() + Duration::from_millis(count)
}

fn server(name: &str, hall: &str) -> Server {
    Server {
        hall: hall.into(),
        ..lives::life(name, 0)
    }
}

fn hub() -> Hub {
    let mut hub = Hub::new(Tuning::default(), ms(0)).with_id(1);
    hub.apply_evacuations(&EvacuatedHalls::default());
    hub.set_server_list(Arc::new(ServerList::new(vec![
        server("s1", "a"),
        server("s2", "b"),
    ])));
    hub
}

fn order(hall: &str, action: Action, given_ms: u64) -> Order {
    Order {
        hall: hall.into(),
        action,
        given_ms,
    }
}

fn evacuated(hall: &str) -> EvacuatedHalls {
    let mut halls = EvacuatedHalls::default();
    halls.apply(&order(hall, Action::Start, 0));
    halls
}

/// Where the hub gives places to one request.
fn given(hub: &mut Hub, want: SlotRequest, now: Instant) -> Vec<String> {
    assert!(matches!(
        hub.request_slot(want, now),
        SlotDecision::Queued(..)
    ));
    let grants = hub.grant_slots(now).into_iter();
    grants
        .map(|(_, grant)| grant.server.name.to_string())
        .collect()
}

fn want() -> SlotRequest {
    messages::want(&"g".parse().expect("a name"))
}

/// What waits in line when a hall is evacuated goes elsewhere; gateways are told, and again when it ends.
#[test]
fn no_places() {
    let mut hub = hub();
    let mut policies = Vec::new();
    for (step, halls) in [
        EvacuatedHalls::default(),
        evacuated("a"),
        EvacuatedHalls::default(),
    ]
    .iter()
    .enumerate()
    {
        hub.apply_evacuations(halls);
        let now = ms(1_000 * (step as u64 + 1));
        let mut places: Vec<_> = (0..2).flat_map(|_| given(&mut hub, want(), now)).collect();
        places.sort();
        let all = if halls.is_evacuated("a") {
            ["s2", "s2"]
        } else {
            ["s1", "s2"]
        };
        assert_eq!(places, all, "{step}");
        let mut question = messages::question(&"g".parse().expect("a name"));
        question.policy_version = policies.last().map_or(0, |policy: &Policy| policy.version);
        hub.on_poll(&question, now);
        assert!(hub.has_update(&question));
        let reply = hub.reply(&question, &<_>::default(), now);
        policies.push(reply.policy.expect("another policy"));
    }
    assert_eq!(policies[0], policies[2]);
    assert!(policies[1].is_evacuated("a") && !policies[1].is_evacuated("b"));
    assert!(!policies[1].allows(&server("s1", "a")));
}

/// Orders that come again change nothing, and what was agreed is in a snapshot of the log.
#[test]
fn agreed_once() {
    let mut machine = Machine::default();
    for (given_ms, action) in [(5, Action::Start), (9, Action::Start)] {
        let order = order("a", action, given_ms);
        machine
            .apply(&Record::Evacuation(order.clone()))
            .expect("taken");
        assert!(machine.get_evacuated_halls().is_applied(&order));
    }
    let machine = Machine::decode(&machine.encode()).expect("a machine");
    let since: Vec<_> = machine.get_evacuated_halls().iter().collect();
    assert_eq!(since, [(&"a".into(), 5)], "the first order counts");
    let mut halls = machine.get_evacuated_halls().clone();
    halls.apply(&order("b", Action::End, 10));
    assert!(halls.is_evacuated("a"), "another hall's end");
    halls.apply(&order("a", Action::End, 11));
    assert_eq!(halls, EvacuatedHalls::default());
}

/// A request that must stay in a hall goes nowhere else, and is told when nothing there can take it; those behind it in
/// line go on.
#[test]
fn stays_home() {
    let mut hub = hub();
    let bound = |halls: &[&str]| SlotRequest {
        allowed_halls: Some(halls.iter().map(|hall| (*hall).into()).collect()),
        ..want()
    };
    for time in 1..4 {
        assert_eq!(given(&mut hub, bound(&["b"]), ms(time)), ["s2"]);
    }
    hub.apply_evacuations(&evacuated("b"));
    assert!(given(&mut hub, bound(&["b"]), ms(10)).is_empty());
    assert_eq!(given(&mut hub, want(), ms(10)), ["s1"], "others go on");
    assert_eq!(
        hub.reject_doomed(ms(11)).len(),
        1,
        "no server of its halls is left"
    );
}

/// The same where a gateway chooses by itself.
#[test]
fn stays_home_alone() {
    let mut pool = Pool::new(pool::Tuning::default(), 1);
    pool.update_servers(vec![
        Arc::new(server("s1", "a")),
        Arc::new(server("s2", "b")),
    ]);
    for _ in 0..2 {
        let ask = Request {
            allowed_halls: Some(["b".into()].into()),
            wait_until: ms(1_000),
            ..Request::default()
        };
        pool.enqueue(ask, ms(0));
    }
    let turns = pool.assign(ms(0));
    assert_eq!(turns.len(), 2);
    assert!(turns.iter().all(|turn| &*turn.server.name == "s2"));
}
