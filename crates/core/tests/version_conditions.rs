//! Requests that continue a stream wait for the version that began it, go to no other one, and block no others.

mod support;

use std::sync::Arc;

use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::pool;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::Request;
use curlewlift_core::pool::TrialVersion;
use curlewlift_core::rollout::Version;

use support::incarnations;
use support::messages;
use support::time::ms;

fn version(text: &str) -> Version {
    text.parse().expect("a version")
}

fn server(name: &str, version_name: &str) -> Arc<Server> {
    Arc::new(Server {
        slots: 1,
        version: version(version_name),
        ..incarnations::incarnation(name, 0)
    })
}

/// A pool whose servers run one request each.
fn pool(servers: &[(&str, &str)]) -> Pool {
    let tuning = pool::Tuning {
        extra_in_flight: 0,
        ..pool::Tuning::default()
    };
    let mut pool = Pool::new(tuning, 1);
    pool.update_servers(
        servers
            .iter()
            .map(|(name, version)| server(name, version))
            .collect(),
    );
    pool
}

/// A request that may go to these versions; to any if none is named.
fn request(versions: &[&str], arrived: u64) -> Request {
    let allowed = versions.iter().map(|name| version(name));
    Request {
        arrived: ms(arrived),
        wait_until: ms(5_000),
        allowed_versions: (!versions.is_empty()).then(|| allowed.collect()),
        ..Request::default()
    }
}

/// Assigns what is queued, and returns the names of the servers.
fn assigned(pool: &mut Pool, at: u64) -> Vec<String> {
    let assignments = pool.assign(ms(at)).into_iter();
    let mut names: Vec<_> = assignments
        .map(|assignment| assignment.server.name.to_string())
        .collect();
    names.sort();
    names
}

/// Only servers of the allowed versions are assigned, whatever else is free; if all run allowed ones, any is.
#[test]
fn allowed_only() {
    let servers = [("a1", "v1"), ("a2", "v1"), ("b1", "v2"), ("c1", "v3")];
    for (versions, expected) in [
        (&["v1"][..], &["a1", "a2"][..]),
        (&["v2"], &["b1"]),
        (&["v2", "v3"], &["b1", "c1"]),
        (&["v1", "v2", "v3"], &["a1", "a2", "b1", "c1"]),
        (&[], &["a1", "a2", "b1", "c1"]),
        (&["v4"], &[]),
    ] {
        let mut pool = pool(&servers);
        for _ in 0..5 {
            pool.enqueue(request(versions, 0), ms(0));
        }
        assert_eq!(assigned(&mut pool, 1), expected, "{versions:?}");
    }
}

/// A request waits until a server of its version is free, while others behind it are assigned.
#[test]
fn waits_for_version() {
    let mut pool = pool(&[("a1", "v1"), ("b1", "v2")]);
    for (versions, arrived) in [(&["v1"], 0), (&["v1"], 1)] {
        pool.enqueue(request(versions, arrived), ms(arrived));
    }
    pool.enqueue(request(&[], 2), ms(2));
    assert_eq!(assigned(&mut pool, 3), ["a1", "b1"]);
    assert!(pool.remove_doomed(ms(4)).is_empty());
    pool.finish_attempt("b1/0", AttemptOutcome::Unknown, ms(10));
    assert!(assigned(&mut pool, 11).is_empty());
    pool.finish_attempt("a1/0", AttemptOutcome::Unknown, ms(20));
    assert_eq!(assigned(&mut pool, 21), ["a1"]);
}

/// A request is rejected once no server of its version is left, and no sooner.
#[test]
fn version_gone() {
    let mut pool = pool(&[("a1", "v1"), ("b1", "v2")]);
    pool.enqueue(request(&[], 0), ms(0));
    pool.enqueue(request(&[], 0), ms(0));
    assert_eq!(assigned(&mut pool, 1).len(), 2);
    pool.enqueue(request(&["v1"], 2), ms(2));
    assert!(pool.remove_doomed(ms(3)).is_empty());
    assert!(pool.accepts_work_of(&[version("v1")]));
    pool.update_servers(vec![server("b1", "v2")]);
    assert!(!pool.accepts_work_of(&[version("v1")]));
    assert_eq!(pool.remove_doomed(ms(4)).len(), 1);
}

/// A version on trial gets no more requests than its bound, also of those that can go nowhere else, which go first there.
#[test]
fn trial_bound() {
    let mut pool = pool(&[
        ("a1", "v1"),
        ("a2", "v1"),
        ("b1", "v2"),
        ("b2", "v2"),
        ("b3", "v2"),
    ]);
    let trial = |remaining_requests| TrialVersion {
        version: version("v2"),
        remaining_requests,
        under_sampled_rules: vec!["another".into()],
    };
    pool.set_trial(Some(trial(2)));
    for _ in 0..3 {
        pool.enqueue(request(&["v2"], 0), ms(0));
    }
    assert_eq!(assigned(&mut pool, 1).len(), 2);
    assert!(assigned(&mut pool, 2).is_empty());
    pool.set_trial(Some(trial(1)));
    assert_eq!(assigned(&mut pool, 3).len(), 1);
}

/// The hub rejects a request at once if no server that accepts work runs its version.
#[test]
fn hub_decisions() {
    let mut hub = Hub::new(Tuning::default(), ms(0)).with_id(1);
    let leaving = Server {
        leaving: true,
        ..Server::clone(&server("c1", "v3"))
    };
    let servers = vec![
        Server::clone(&server("a1", "v1")),
        Server::clone(&server("b1", "v2")),
        leaving,
    ];
    hub.set_server_list(Arc::new(ServerList::new(servers)));
    let host = "g".parse().expect("a name");
    for (name, expected) in [
        ("v1", Some("a1")),
        ("v2", Some("b1")),
        ("v3", None),
        ("v4", None),
    ] {
        let slot_request = SlotRequest {
            allowed_versions: Some([version(name)].into()),
            ..messages::slot_request(&host)
        };
        let decision = hub.request_slot(slot_request, ms(1));
        let granted = hub.grant_slots(ms(1)).pop();
        let granted = granted.map(|(_, grant)| grant.server.name.to_string());
        assert_eq!(granted.as_deref(), expected, "{name}");
        assert_eq!(
            decision == SlotDecision::NoVersion,
            expected.is_none(),
            "{name}"
        );
    }
}
