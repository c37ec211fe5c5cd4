//! Tests the hub's basic duties: it sums the load of other gateways, removes gateways that time out
//! from the membership, sends the server list, and names one gateway to fetch it.

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

fn poll(host: &str, in_flight: u32) -> Poll {
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
            tunnels: None,
            incarnation: 1,
        },
        loads: vec![load],
        ..messages::poll(&host.parse().expect("a name"))
    }
}

fn server_list() -> Arc<ServerList> {
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
fn sums_other_loads() {
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    hub.set_server_list(server_list());
    for (host, in_flight) in [("g", 3), ("gg", 4), ("gg", 5)] {
        hub.on_poll(&poll(host, in_flight), seconds(1));
    }
    let reply = hub.reply(&poll("g", 3), &Publication::default(), seconds(1));
    assert_eq!(reply.other_loads[0].requests, 5);
    let reply = hub.reply(&poll("gg", 5), &Publication::default(), seconds(1));
    assert_eq!(reply.other_loads[0].requests, 3);
}

#[test]
fn timed_out_leave_membership() {
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    hub.on_poll(&poll("g", 0), seconds(1));
    hub.on_poll(&poll("gg", 0), seconds(1));
    let mut stopping = poll("ggg", 0);
    stopping.ready = false;
    hub.on_poll(&stopping, seconds(1));
    let two = hub
        .reply(&poll("g", 0), &Publication::default(), seconds(1))
        .membership;
    let two = Membership::default()
        .apply(two.expect("a membership update"))
        .expect("a whole membership");
    assert_eq!(
        two.gateways.len(),
        2,
        "a stopping gateway accepts no callers"
    );
    hub.on_poll(&poll("g", 0), seconds(4));
    let remaining = hub
        .reply(&poll("g", 0), &Publication::default(), seconds(4))
        .membership;
    let remaining = Membership::default()
        .apply(remaining.expect("a membership update"))
        .expect("a whole membership");
    assert_eq!(remaining.gateways.len(), 1);
}

#[test]
fn forgets_timed_out_load() {
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    hub.set_server_list(server_list());
    hub.on_poll(&poll("g", 0), seconds(1));
    hub.on_poll(&poll("gg", 2), seconds(1));
    hub.on_poll(&poll("g", 0), seconds(20));
    let reply = hub.reply(&poll("g", 0), &Publication::default(), seconds(20));
    assert_eq!(hub.gateway_count(), 1);
    assert!(
        reply.other_loads.is_empty(),
        "the load of a timed-out gateway is dropped"
    );
}

#[test]
fn sends_server_list() {
    let server_list = server_list();
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    let mut poll = poll("g", 0);
    hub.on_poll(&poll, seconds(1));
    assert!(!hub.has_update(&poll), "a missing list is no update");
    hub.set_server_list(Arc::clone(&server_list));
    assert!(hub.has_update(&poll));
    let reply = hub.reply(&poll, &Publication::default(), seconds(1));
    let whole = ServerListUpdate::Whole(ServerList::clone(&server_list));
    assert_eq!(reply.server_list, Some(whole));
    poll.server_list_version = server_list.version;
    let reply = hub.reply(&poll, &Publication::default(), seconds(1));
    assert_eq!(
        (reply.server_list, reply.server_list_version),
        (None, server_list.version)
    );
}

#[test]
fn one_gateway_fetches() {
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    let beside_leader = "gg".parse().expect("a name");
    assert_eq!(hub.fetcher(&beside_leader, seconds(1)), None);
    hub.on_poll(&poll("g", 0), seconds(1));
    let fetcher = |hub: &mut Hub, now| {
        hub.fetcher(&beside_leader, now)
            .map(|host| host.to_string())
    };
    assert_eq!(fetcher(&mut hub, seconds(1)).as_deref(), Some("g"));
    hub.on_poll(&poll("gg", 0), seconds(1));
    assert_eq!(fetcher(&mut hub, seconds(1)).as_deref(), Some("gg"));
    hub.on_poll(&poll("g", 0), seconds(5));
    assert_eq!(
        fetcher(&mut hub, seconds(5)).as_deref(),
        Some("g"),
        "the other gateway has timed out"
    );
}

/// The platform does not answer the gateway beside the leader, then others: each is replaced by one that failed longest ago, in
/// another data hall or beside a replica first. One that is answered stays, and a platform that answers nobody is called
/// by few.
#[test]
fn other_fetchers() {
    let mut hub = Hub::new(Tuning::default(), seconds(0));
    let beside_leader = "a".parse().expect("a name");
    let gateways = [
        ("a", "x", true),
        ("b", "x", true),
        ("c", "y", false),
        ("d", "y", true),
    ];
    let mut silence = Duration::ZERO;
    let mut fetcher = None;
    let mut turns = Vec::new();
    // The gateway b is answered after 60 s.
    for step in 0..1_200 {
        let now = seconds(1) + Duration::from_millis(100) * step;
        for (host, hall, has_replica) in gateways {
            let mut poll = poll(host, 0);
            poll.gateway.hall = hall.into();
            poll.wants_whole_list = has_replica;
            if fetcher.as_deref() == Some(host) {
                let is_answered = host == "b" && step > 600;
                silence = if is_answered { Duration::ZERO } else { silence };
                poll.platform_silence = silence;
            }
            hub.on_poll(&poll, now);
        }
        silence += Duration::from_millis(100);
        let next = hub
            .fetcher(&beside_leader, now)
            .map(|host| host.to_string());
        if next != fetcher {
            silence = Duration::ZERO;
            turns.extend(next.clone());
            fetcher = next;
        }
    }
    assert_eq!(turns[..5], ["a", "d", "b", "c", "a"]);
    assert_eq!(fetcher.as_deref(), Some("b"));
    assert!(turns.len() < 15, "{turns:?}");
}
