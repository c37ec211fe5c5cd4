//! What hosts know of streams is bounded, may be lost, and is never wrong.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::StreamAnswer;
use curlewlift_core::gateway::StreamQuery;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::state::Machine;
use curlewlift_core::stream::Change;
use curlewlift_core::stream::Found;
use curlewlift_core::stream::Key;
use curlewlift_core::stream::KnownVersions;
use curlewlift_core::stream::Ledger;
use curlewlift_core::stream::MAX_REPORTED;
use curlewlift_core::stream::Step;
use curlewlift_core::stream::Table;
use curlewlift_core::stream::Versions;

use support::incarnations;
use support::messages;
use support::streams::key;
use support::streams::origin;
use support::streams::record;
use support::streams::step;
use support::time::ms;

const SECOND: Duration = Duration::from_secs(1);

fn chat() -> id::Service {
    "chat".parse().expect("a name")
}

/// A full table drops the oldest streams; it never names another version.
#[test]
fn full_table() {
    let mut table = Table::new(100);
    for number in 0..1_000 {
        assert!(table.record(&record(number, "v1", SECOND), ms(0)));
        assert!(table.len() <= 100);
    }
    let found = (0..1_000).filter(|number| table.find(key(*number), ms(0)).is_some());
    assert_eq!(found.collect::<Vec<_>>(), (900..1_000).collect::<Vec<_>>());
}

/// Streams are dropped when their callers can no longer resume them, at the latest after ten minutes.
#[test]
fn expired_streams() {
    for (remaining, lives_for) in [(5, 5), (3_000, 600)] {
        let mut table = Table::new(10);
        table.record(&record(1, "v1", SECOND * remaining), ms(0));
        assert!(table.find(key(1), ms(lives_for * 1_000 - 1)).is_some());
        assert!(table.find(key(1), ms(lives_for * 1_000)).is_none());
        table.record(&record(2, "v1", SECOND), ms(lives_for * 1_000));
        assert_eq!(table.len(), 1);
    }
}

/// Two requests with the same id that begin at different versions cannot be told apart.
#[test]
fn repeated_ids() {
    let mut table = Table::new(10);
    for (version, expected) in [
        ("v1", Found::Begun(Arc::new(origin("v1")))),
        ("v1", Found::Begun(Arc::new(origin("v1")))),
        ("v2", Found::Conflicting),
        ("v1", Found::Conflicting),
    ] {
        table.record(&record(1, version, SECOND), ms(0));
        assert_eq!(table.find(key(1), ms(1)), Some(expected));
        assert_eq!(table.len(), 1);
    }
    assert_eq!(table.get(key(1), ms(1)), None, "nobody else is told");
}

/// A stream is known by its customer, its request and the id of the first request.
#[test]
fn keys_differ() {
    let identity = |customer: &str, path: &str, body: &str| {
        let customer = (!customer.is_empty()).then(|| customer.parse().expect("a name"));
        Identity::new(customer, "shop.example", path, body.as_bytes())
    };
    let keys = [
        Key::new(&identity("ann", "/a/", "x"), b"r1"),
        Key::new(&identity("ben", "/a/", "x"), b"r1"),
        Key::new(&identity("", "/a/", "x"), b"r1"),
        Key::new(&identity("ann", "/b/", "x"), b"r1"),
        Key::new(&identity("ann", "/a/", "y"), b"r1"),
        Key::new(&identity("ann", "/a/", "x"), b"r2"),
        Key::new(&identity("ann", "/a/", "x"), b""),
    ];
    for (index, one) in keys.iter().enumerate() {
        let alike = keys.iter().filter(|other| *other == one);
        assert_eq!(alike.count(), 1, "{index}");
    }
}

/// Each stream is reported once, in bounded reports, and again to a new hub or after a lost report. Copies go to a new hub
/// only.
#[test]
fn reports() {
    let mut ledger = Ledger::default();
    ledger.set_hub(1);
    for number in 0..100 {
        ledger.record(&record(number, "v1", SECOND), ms(0));
    }
    ledger.keep(&[record(200, "v2", SECOND)], ms(0));
    let take_all = |ledger: &mut Ledger| {
        let mut keys = Vec::new();
        while ledger.has_pending() {
            let records = ledger.take_pending(ms(1));
            assert!(records.len() <= MAX_REPORTED);
            keys.extend(records.into_iter().map(|record| record.key));
        }
        keys.sort();
        keys
    };
    let mut own: Vec<_> = (0..100).map(key).collect();
    own.sort();
    let lost = ledger.take_pending(ms(1));
    ledger.put_back(&lost);
    assert_eq!(take_all(&mut ledger), own);
    ledger.set_hub(1);
    assert!(!ledger.has_pending(), "the hub has all of them");
    ledger.set_hub(2);
    assert_eq!(take_all(&mut ledger).len(), 101);
    ledger.forget_hub();
    assert!(!ledger.has_pending());
    ledger.set_hub(2);
    assert_eq!(take_all(&mut ledger).len(), 101);
}

/// A second version is announced before streams may begin there, as gateways rely on the first being the only one. Steps
/// that are applied again, or late, change nothing.
#[test]
fn second_version() {
    let mut versions = Versions::default();
    let mut applied = |version, change| {
        versions.apply(&step(version, change));
        let open = versions.open(&chat());
        let open = open.iter().map(ToString::to_string);
        let sole = versions.sole_origin(&[chat()]);
        (
            open.collect::<Vec<_>>().join(" "),
            sole.map(|sole| sole.version.to_string()),
        )
    };
    for (version, change, open, sole) in [
        ("v1", Change::Open, "", None),
        ("v1", Change::Add, "v1", Some("v1")),
        ("v1", Change::Add, "v1", Some("v1")),
        ("v2", Change::Add, "v1", None),
        ("v3", Change::Add, "v1", None),
        ("v3", Change::Open, "v1 v3", None),
        ("v4", Change::Add, "v1 v3 v4", None),
        ("v2", Change::Open, "v1 v2 v3 v4", None),
        ("v1", Change::Remove, "v2 v3 v4", None),
        ("v3", Change::Remove, "v2 v4", None),
        ("v4", Change::Remove, "v2", Some("v2")),
        ("v1", Change::Add, "v2", None),
        ("v2", Change::Remove, "", Some("v1")),
    ] {
        let expected = (open.to_owned(), sole.map(ToOwned::to_owned));
        assert_eq!(applied(version, change), expected, "{version} {change:?}");
    }
    let services = [chat(), "pay".parse().expect("a name")];
    assert_eq!(versions.sole_origin(&services), None, "two services");
}

/// The versions are a part of the log's snapshots; a snapshot of before has none.
#[test]
fn versions_in_snapshot() {
    let mut machine = Machine::default();
    let steps = vec![step("v1", Change::Add)];
    machine
        .apply(&curlewlift_core::state::Record::StreamVersions(steps))
        .expect("accepted steps");
    let decoded = Machine::decode(&machine.encode()).expect("valid snapshot");
    assert_eq!(decoded.get_stream_versions().open(&chat()).len(), 1);
}

/// Runs a hub that commits what it proposes at once.
struct Leader {
    hub: Hub,
    versions: Versions,
}

impl Leader {
    fn new() -> Self {
        Self {
            hub: Hub::new(Tuning::default(), ms(0)).with_id(1),
            versions: Versions::default(),
        }
    }

    /// Lists servers of these versions, and commits what the hub proposes.
    fn list(&mut self, versions: &[&str], now: Instant) -> Vec<Step> {
        let servers = versions
            .iter()
            .map(|version| curlewlift_core::gateway::Server {
                version: version.parse().expect("a version"),
                ..incarnations::incarnation(version, 0)
            });
        let list = ServerList::new(servers.collect());
        self.hub.set_server_list(Arc::new(list));
        let steps = self.hub.propose_stream_versions(now);
        for step in &steps {
            self.versions.apply(step);
        }
        self.hub.apply_stream_versions(&self.versions);
        steps
    }

    fn find(&self, number: Option<u64>, now: Instant) -> StreamAnswer {
        let query = StreamQuery {
            key: number.map(key),
            services: vec![chat()],
        };
        self.hub.find_stream(&query, now)
    }
}

/// A version is opened after gateways have stopped to rely on another one, and removed long after its last server.
#[test]
fn proposed_versions() {
    let mut leader = Leader::new();
    for (at, listed, expected) in [
        (0, &["v1"][..], vec![step("v1", Change::Add)]),
        (10, &["v1"], vec![]),
        (20, &["v1", "v2"], vec![step("v2", Change::Add)]),
        (30, &["v1", "v2"], vec![]),
        (1_500, &["v1", "v2"], vec![]),
        (1_530, &["v1", "v2"], vec![step("v2", Change::Open)]),
        (2_000, &["v1", "v2", "v3"], vec![step("v3", Change::Add)]),
        (3_000, &["v2", "v3"], vec![]),
        (602_999, &["v2", "v3"], vec![]),
        (603_000, &["v2", "v3"], vec![step("v1", Change::Remove)]),
    ] {
        assert_eq!(leader.list(listed, ms(at)), expected, "at {at} ms");
    }
}

/// What the hub answers of a stream without a record, with one and with two versions, and when it is new.
#[test]
fn answers() {
    let sole = StreamAnswer::SoleVersion(origin("v1"));
    let unknown = |arrives_within| StreamAnswer::Unknown {
        arrives_within: ms(arrives_within).since(ms(0)),
    };
    let mut leader = Leader::new();
    assert_eq!(leader.find(None, ms(0)), unknown(0));
    leader.list(&["v1"], ms(0));
    for number in [None, Some(1)] {
        assert_eq!(leader.find(number, ms(10)), sole);
    }
    leader.list(&["v1", "v2"], ms(20));
    for (number, at, expected) in [
        (None, 30, unknown(0)),
        (Some(1), 30, unknown(1_970)),
        (Some(1), 1_500, unknown(500)),
        (Some(1), 1_900, unknown(500)),
        (Some(1), 5_000, unknown(500)),
    ] {
        assert_eq!(leader.find(number, ms(at)), expected, "{number:?} {at}");
    }
    let host = "h1".parse().expect("a name");
    let streams = [record(1, "v2", SECOND), record(2, "v1", SECOND)];
    leader.hub.record_streams(&host, &streams, ms(5_000));
    for (number, expected) in [(1, "v2"), (2, "v1")] {
        let expected = StreamAnswer::Begun(origin(expected));
        assert_eq!(leader.find(Some(number), ms(5_001)), expected);
    }
    let elsewhere = StreamQuery {
        key: Some(key(1)),
        services: vec!["pay".parse().expect("a name")],
    };
    assert_eq!(leader.hub.find_stream(&elsewhere, ms(5_001)), unknown(0));
}

/// A gateway relies on a single version, and on the open ones, only for a while after the hub has confirmed them.
#[test]
fn confirmed_versions() {
    let mut versions = Versions::default();
    versions.apply(&step("v1", Change::Add));
    let mut known = KnownVersions::default();
    known.apply(Some(versions.publish()), ms(1_000));
    for (at, is_sole, open) in [
        (1_000, true, 1),
        (1_999, true, 1),
        (2_000, false, 1),
        (301_000, false, 1),
        (301_001, false, 0),
    ] {
        assert_eq!(
            known.sole_origin(&[chat()], ms(at)).is_some(),
            is_sole,
            "{at}"
        );
        assert_eq!(known.open(&chat(), ms(at)).len(), open, "{at}");
    }
}

/// With 995 gateways and 3,800 streams a second, the copies of a record go to two other gateways, in other data halls, and
/// messages and tables are bounded.
#[test]
fn large_fleet() {
    const GATEWAYS: usize = 995;
    const STREAMS: usize = 3_800 * 3;
    let mut hub = Hub::new(Tuning::default(), ms(0)).with_id(1);
    let polls = (0..GATEWAYS).map(|number| {
        let host = format!("h{number}").parse().expect("a name");
        let mut poll = messages::poll(&host);
        poll.gateway.hall = format!("hall-{}", number % 6).into();
        poll
    });
    let polls: Vec<_> = polls.collect();
    for poll in &polls {
        hub.on_poll(poll, ms(0));
    }
    hub.tick(ms(0));
    let numbers: HashMap<_, _> = (0..STREAMS)
        .map(|number| (key(number as u64), number))
        .collect();
    let mut copies = vec![0; STREAMS];
    for number in 0..STREAMS {
        let now = ms(number as u64 * 1_000 / 3_800);
        let stream = record(number as u64, "v1", SECOND * 60);
        hub.record_streams(&polls[number % GATEWAYS].host, &[stream], now);
        let poll = &polls[number * 7 % GATEWAYS];
        hub.on_poll(poll, now);
        let reply = hub.small_reply(poll, &<_>::default(), now);
        assert!(reply.stream_copies.len() <= MAX_REPORTED);
        for copy in reply.stream_copies {
            let number = numbers[&copy.key];
            let origin = &polls[number % GATEWAYS];
            assert_ne!(origin.gateway.hall, poll.gateway.hall);
            copies[number] += 1;
        }
    }
    assert_eq!(hub.stream_count(), STREAMS);
    assert!(copies.iter().all(|copies| *copies <= 2));
    let passed_on: usize = copies.iter().sum();
    assert!(passed_on > STREAMS, "{passed_on}");
}
