//! Messages of gateways to a hub with default contents.

use std::time::Duration;

use curlewlift_core::gateway::Gateway;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::id;
use curlewlift_core::limit::Reports;
use curlewlift_core::quarantine::Features;
use curlewlift_core::route::Rank;
use curlewlift_core::unit::Tokens;

/// Returns a slot request that waits for up to a second.
pub(crate) fn slot_request(host: &id::Host) -> SlotRequest {
    SlotRequest {
        host: host.clone(),
        hall: "a".into(),
        rule: None,
        service: "chat".parse().expect("a name"),
        customer: None,
        rank: Rank::default(),
        waited: Duration::ZERO,
        send_within: Duration::from_secs(1),
        first_event_within: Duration::from_secs(1),
        max_gap: None,
        max_wait: Duration::from_secs(1),
        time_left: Duration::from_secs(5),
        features: Features::default(),
        observations: Vec::new(),
        prompt: Tokens(0),
        output: Tokens(0),
        charge: None,
        needs_retry: false,
        tried: Vec::new(),
        avoid: Vec::new(),
        backoffs: Vec::new(),
        allowed_halls: None,
        allowed_versions: None,
    }
}

/// Returns the poll of a gateway that accepts callers and has no data yet.
pub(crate) fn poll(host: &id::Host) -> Poll {
    Poll {
        host: host.clone(),
        gateway: Gateway {
            hall: "a".into(),
            callers: "127.0.0.1:80".parse().expect("an address"),
            tunnels: None,
            incarnation: 1,
        },
        ready: true,
        known_table: 0,
        table_in_effect: 0,
        needs_lease: false,
        wants_whole_list: false,
        server_list_version: 0,
        membership_version: 0,
        standbys_version: 0,
        slot_lenders_version: 0,
        policy_version: 0,
        last_grant: GrantId::default(),
        loads: Vec::new(),
        last_reply: 0,
        given_up_unused: 0.0,
        quarantine_version: 0,
        observations: Vec::new(),
        limit_reports: Reports::default(),
        limits_version: (0, 0),
        stream_versions: 0,
        fetched_list: None,
        platform_silence: Duration::ZERO,
    }
}

/// Returns the report of a gateway without requests in flight.
pub(crate) fn report(host: &id::Host) -> Report {
    Report {
        host: host.clone(),
        last_grant: GrantId::default(),
        loads: Vec::new(),
        ended: Vec::new(),
        observations: Vec::new(),
        unused: Vec::new(),
        limit_reports: Reports::default(),
        streams: Vec::new(),
        known_table: 0,
        table_in_effect: 0,
    }
}
