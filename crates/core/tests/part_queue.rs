//! Requests that wait for a slot while a part of their prompts comes into quarantine.

mod support;

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::quarantine::Effect;
use curlewlift_core::quarantine::Features;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::quarantine::Observation;
use curlewlift_core::quarantine::Part;
use curlewlift_core::quarantine::Rejection;
use curlewlift_core::quarantine::Software;

use support::messages;

fn host() -> id::Host {
    "g".parse().expect("a valid name")
}

fn server(version: &str) -> Server {
    let name: Arc<str> = format!("s-{version}").into();
    Server {
        incarnation: Arc::clone(&name),
        name,
        started_ms: 0,
        version: version.parse().expect("a valid version"),
        service: "chat".parse().expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        hall: "a".into(),
        slots: 1,
        leaving: false,
        cold: false,
    }
}

fn features(number: u64, parts: &[u64]) -> Features {
    Features {
        identity: Identity::new(None, "shop.example", &number.to_string(), b""),
        parts: parts.iter().copied().map(Part).collect(),
    }
}

fn queue(hub: &mut Hub, features: Features, now: Instant) -> Ticket {
    let request = SlotRequest {
        features,
        ..messages::slot_request(&host())
    };
    match hub.request_slot(request, now) {
        SlotDecision::Queued(ticket, _) => ticket,
        other => panic!("the request is not queued: {other:?}"),
    }
}

/// The end of an attempt at a server of version v1.
fn observation(features: Features, effect: Effect, age: Duration) -> Observation {
    Observation {
        features,
        software: Software {
            service: "chat".parse().expect("a valid name"),
            version: "v1".parse().expect("a valid version"),
        },
        permit: None,
        answered_for: None,
        age,
        effect,
    }
}

/// What queued is decided again when the part comes into quarantine, and other requests keep their places.
#[test]
fn queued_requests() {
    let mut now = Instant::default() + Duration::from_secs(9);
    let mut hub = Hub::new(Tuning::default(), now).with_id(1);
    let servers = vec![server("v1")];
    hub.set_server_list(Arc::new(ServerList::new(servers)));
    hub.on_poll(&messages::poll(&host()), now);
    queue(&mut hub, features(1, &[1]), now);
    assert_eq!(hub.grant_slots(now).len(), 1, "the only slot is taken");
    let bad = queue(&mut hub, features(2, &[9]), now);
    let sound = queue(&mut hub, features(3, &[1]), now);
    for number in 0..5_u64 {
        now = now + Duration::from_millis(20);
        let crashed = Effect::Crashed(format!("t{number}").into());
        let crashed = observation(features(10 + number, &[9]), crashed, Duration::ZERO);
        let report = Report {
            observations: vec![crashed],
            ..messages::report(&host())
        };
        hub.report(&report, now);
    }
    let rejected = hub.reject_doomed(now);
    let rejected: Vec<_> = rejected
        .into_iter()
        .map(|rejected| (rejected.ticket, rejected.quarantined))
        .collect();
    let is_expected = matches!(
        &rejected[..],
        [(ticket, Some(Rejection::PartQuarantined | Rejection::PartInTrial))] if *ticket == bad
    );
    assert!(is_expected, "{rejected:?}, beside {sound:?}");
}

/// Servers that fell silent under an earlier hub, and are gone when the next one gets its first list, have crashed; those
/// that are listed, fell silent after that, or long before, have not.
#[test]
fn silent_under_earlier_hub() {
    let cases = [
        (true, false, 5, true),
        (false, false, 5, true),
        (true, true, 5, false),
        (false, true, 5, false),
        (false, false, 0, false),
        (true, false, 45, false),
        (false, false, 45, false),
    ];
    for (is_reported_first, is_listed, age, is_charged) in cases {
        let start = Instant::default() + Duration::from_secs(90);
        let mut hub = Hub::new(Tuning::default(), start).with_id(1);
        let silent = (0..5_u64).map(|number| {
            let silent = Effect::Silent(format!("s-t{number}").into());
            observation(
                features(10 + number, &[9]),
                silent,
                Duration::from_secs(age),
            )
        });
        let report = Report {
            observations: silent.collect(),
            ..messages::report(&host())
        };
        let mut servers = vec![server("v1")];
        if is_listed {
            servers.extend((0..5).map(|number| server(&format!("t{number}"))));
        }
        let first_list = ServerList::new(servers);
        if is_reported_first {
            hub.report(&report, start);
        }
        let now = start + Duration::from_secs(1);
        hub.observe_gone(&first_list, now);
        hub.set_server_list(Arc::new(first_list));
        let now = now + Duration::from_secs(1);
        if !is_reported_first {
            hub.report(&report, now);
        }
        let request = SlotRequest {
            features: features(20, &[9]),
            ..messages::slot_request(&host())
        };
        let decision = hub.request_slot(request, now);
        let is_rejected = matches!(decision, SlotDecision::Rejected(_));
        assert_eq!(
            is_rejected, is_charged,
            "{is_reported_first} {is_listed} {age}: {decision:?}"
        );
    }
}
