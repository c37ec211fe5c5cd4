//! Evacuated data halls get no new requests, and requests that must stay in some halls go nowhere else, whether the hub
//! or a gateway chooses the server.

mod support;

use std::sync::Arc;

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

use support::incarnations;
use support::messages;
use support::time::ms;

fn server(name: &str, hall: &str) -> Server {
    Server {
        hall: hall.into(),
        ..incarnations::incarnation(name, 0)
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

/// The servers at which the hub grants slots after one more request.
fn granted_servers(hub: &mut Hub, want: SlotRequest, now: Instant) -> Vec<String> {
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
    messages::slot_request(&"g".parse().expect("valid name"))
}

/// While a hall is evacuated, the hub grants slots elsewhere. Gateways get another policy when the evacuation starts
/// and when it ends.
#[test]
fn no_slots_granted() {
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
        let mut servers: Vec<_> = (0..2)
            .flat_map(|_| granted_servers(&mut hub, want(), now))
            .collect();
        servers.sort();
        let expected = if halls.is_evacuated("a") {
            ["s2", "s2"]
        } else {
            ["s1", "s2"]
        };
        assert_eq!(servers, expected, "step {step}");
        let mut question = messages::poll(&"g".parse().expect("valid name"));
        question.policy_version = policies.last().map_or(0, |policy: &Policy| policy.version);
        hub.on_poll(&question, now);
        assert!(hub.has_update(&question));
        let reply = hub.reply(&question, &<_>::default(), now);
        policies.push(reply.policy.expect("new policy"));
    }
    assert_eq!(policies[0], policies[2]);
    assert!(policies[1].is_evacuated("a") && !policies[1].is_evacuated("b"));
    assert!(!policies[1].allows(&server("s1", "a")));
}

/// Repeated orders change nothing, and the committed set of halls is part of snapshots of the log.
#[test]
fn orders_are_idempotent() {
    let mut machine = Machine::default();
    for (given_ms, action) in [(5, Action::Start), (9, Action::Start)] {
        let order = order("a", action, given_ms);
        machine
            .apply(&Record::Evacuation(order.clone()))
            .expect("accepted order");
        assert!(machine.get_evacuated_halls().is_applied(&order));
    }
    let machine = Machine::decode(&machine.encode()).expect("valid snapshot");
    let since: Vec<_> = machine.get_evacuated_halls().iter().collect();
    assert_eq!(
        since,
        [(&"a".into(), 5)],
        "the time of the first order stays"
    );
    let mut halls = machine.get_evacuated_halls().clone();
    halls.apply(&order("b", Action::End, 10));
    assert!(
        halls.is_evacuated("a"),
        "ending the evacuation of another hall changes nothing"
    );
    halls.apply(&order("a", Action::End, 11));
    assert_eq!(halls, EvacuatedHalls::default());
}

/// A request that must stay in a hall goes nowhere else, and is removed from the queue if no server there accepts work.
/// Requests behind it in the queue are not delayed.
#[test]
fn request_stays_in_hall() {
    let mut hub = hub();
    let restricted = |halls: &[&str]| SlotRequest {
        allowed_halls: Some(halls.iter().map(|hall| (*hall).into()).collect()),
        ..want()
    };
    for time in 1..4 {
        assert_eq!(
            granted_servers(&mut hub, restricted(&["b"]), ms(time)),
            ["s2"]
        );
    }
    hub.apply_evacuations(&evacuated("b"));
    assert!(granted_servers(&mut hub, restricted(&["b"]), ms(10)).is_empty());
    assert_eq!(
        granted_servers(&mut hub, want(), ms(10)),
        ["s1"],
        "other requests are served"
    );
    assert_eq!(
        hub.reject_doomed(ms(11)).len(),
        1,
        "no server in its halls is left"
    );
}

/// The same if a gateway chooses servers without the hub.
#[test]
fn local_choice_stays_in_hall() {
    let mut pool = Pool::new(pool::Tuning::default(), 1);
    pool.update_servers(vec![
        Arc::new(server("s1", "a")),
        Arc::new(server("s2", "b")),
    ]);
    for _ in 0..2 {
        let request = Request {
            allowed_halls: Some(["b".into()].into()),
            wait_until: ms(1_000),
            ..Request::default()
        };
        pool.enqueue(request, ms(0));
    }
    let assignments = pool.assign(ms(0));
    assert_eq!(assignments.len(), 2);
    assert!(
        assignments
            .iter()
            .all(|assignment| &*assignment.server.name == "s2")
    );
}
