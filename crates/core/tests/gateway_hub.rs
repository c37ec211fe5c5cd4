//! The hub: sums, the roll, the list, who fetches it, parts of the silent.

mod support;

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Gateway;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Load;
use curlewlift_core::gateway::Membership;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::ServerListUpdate;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::state::Publication;
use curlewlift_core::unit::Tokens;

use support::messages;

fn question(host: &str, in_flight: u32) -> Poll {
    let load = Load {
        incarnation: "s1".into(),
        requests: in_flight,
        prefill_tokens: Tokens(0),
    };
    Poll {
        gateway: Gateway {
            hall: "a".into(),
            callers: format!("127.0.0.{}:80", host.len())
                .parse()
                .expect("an address"),
        },
        loads: vec![load],
        ..messages::question(&host.parse().expect("a name"))
    }
}

fn listing() -> Arc<ServerList> {
    let server = Server {
        incarnation: "s1".into(),
        name: "s1".into(),
        started_ms: 0,
        version: "v1".parse().expect("a version"),
        service: "chat".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: 2,
        leaving: false,
        cold: false,
    };
    Arc::new(ServerList::new(vec![server]))
}

fn seconds(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(seconds)
}

#[test]
fn sums_of_others() {
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    hub.set_server_list(listing());
    for (host, in_flight) in [("g", 3), ("gg", 4), ("gg", 5)] {
        hub.on_poll(&question(host, in_flight), seconds(1));
    }
    let reply = hub.reply(&question("g", 3), &Publication::default(), seconds(1));
    assert_eq!(reply.other_loads[0].requests, 5);
    let reply = hub.reply(&question("gg", 5), &Publication::default(), seconds(1));
    assert_eq!(reply.other_loads[0].requests, 3);
}

#[test]
fn silent_leave_roll() {
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    hub.on_poll(&question("g", 0), seconds(1));
    hub.on_poll(&question("gg", 0), seconds(1));
    let mut stopping = question("ggg", 0);
    stopping.ready = false;
    hub.on_poll(&stopping, seconds(1));
    let both = hub
        .reply(&question("g", 0), &Publication::default(), seconds(1))
        .membership;
    let both = Membership::default()
        .apply(both.expect("new"))
        .expect("whole");
    assert_eq!(both.gateways.len(), 2, "a stopping one takes no callers");
    hub.on_poll(&question("g", 0), seconds(4));
    let one = hub
        .reply(&question("g", 0), &Publication::default(), seconds(4))
        .membership;
    let one = Membership::default()
        .apply(one.expect("new"))
        .expect("whole");
    assert_eq!(one.gateways.len(), 1);
}

#[test]
fn forgotten_in_time() {
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    hub.set_server_list(listing());
    hub.on_poll(&question("g", 0), seconds(1));
    hub.on_poll(&question("gg", 2), seconds(1));
    hub.on_poll(&question("g", 0), seconds(20));
    let reply = hub.reply(&question("g", 0), &Publication::default(), seconds(20));
    assert_eq!(hub.gateway_count(), 1);
    assert!(
        reply.other_loads.is_empty(),
        "what it had in flight is over"
    );
}

#[test]
fn list_given_out() {
    let listing = listing();
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    let mut asked = question("g", 0);
    hub.on_poll(&asked, seconds(1));
    assert!(!hub.has_update(&asked), "no list is no news");
    hub.set_server_list(Arc::clone(&listing));
    assert!(hub.has_update(&asked));
    let reply = hub.reply(&asked, &Publication::default(), seconds(1));
    let whole = ServerListUpdate::Whole(ServerList::clone(&listing));
    assert_eq!(reply.server_list, Some(whole));
    asked.server_list_version = listing.version;
    let reply = hub.reply(&asked, &Publication::default(), seconds(1));
    assert_eq!(
        (reply.server_list, reply.server_list_version),
        (None, listing.version)
    );
}

#[test]
fn one_fetches() {
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    let beside = "gg".parse().expect("a name");
    assert_eq!(hub.fetcher(&beside, seconds(1)), None);
    hub.on_poll(&question("g", 0), seconds(1));
    let fetcher = |hub: &Hub, now| hub.fetcher(&beside, now).map(|host| host.to_string());
    assert_eq!(fetcher(&hub, seconds(1)).as_deref(), Some("g"));
    hub.on_poll(&question("gg", 0), seconds(1));
    assert_eq!(fetcher(&hub, seconds(1)).as_deref(), Some("gg"));
    hub.on_poll(&question("g", 0), seconds(5));
    assert_eq!(
        fetcher(&hub, seconds(5)).as_deref(),
        Some("g"),
        "the other is silent"
    );
}
