//! Who is charged for the crash of a server, what clears a part of a prompt, and which requests with a quarantined part are
//! sent meanwhile.

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::id;
use curlewlift_core::quarantine::CRASHES_TO_QUARANTINE_PART;
use curlewlift_core::quarantine::Decision;
use curlewlift_core::quarantine::Effect;
use curlewlift_core::quarantine::FIRST_TRIAL_DELAY;
use curlewlift_core::quarantine::Features;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::quarantine::List;
use curlewlift_core::quarantine::MAX_TRIALS;
use curlewlift_core::quarantine::Observation;
use curlewlift_core::quarantine::PROBATION;
use curlewlift_core::quarantine::Part;
use curlewlift_core::quarantine::Rejection;
use curlewlift_core::quarantine::Software;
use curlewlift_core::quarantine::Step;
use curlewlift_core::quarantine::Tracker;

const IN_TRIAL: Decision = Decision::Rejected(Rejection::PartInTrial);
const QUARANTINED: Decision = Decision::Rejected(Rejection::PartQuarantined);

/// A hub's tracker with its log.
struct Hub {
    tracker: Tracker,
    list: List,
    now: Instant,
    /// The number of requests and servers so far, which makes them distinct.
    count: u64,
}

impl Hub {
    fn new() -> Self {
        Self {
            tracker: Tracker::new(1),
            list: List::default(),
            now: Instant::default() + Duration::from_secs(100),
            count: 0,
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now = self.now + time;
        self.commit();
    }

    fn wait_ms(&mut self, millis: u64) {
        self.wait(Duration::from_millis(millis));
    }

    /// Commits what the tracker proposes.
    fn commit(&mut self) {
        for step in self.tracker.propose_steps(self.now) {
            self.list.apply(&step);
        }
        self.tracker.apply_list(&self.list, self.now);
    }

    /// A request of `customer` unlike all others, with these parts.
    fn request(&mut self, customer: &str, parts: &[u64]) -> Features {
        self.count += 1;
        let customer = customer.parse().expect("a valid name");
        let path = self.count.to_string();
        Features {
            identity: Identity::new(Some(customer), "shop.example", &path, b""),
            parts: parts.iter().copied().map(Part).collect(),
        }
    }

    fn observe(&mut self, version: &str, observation: Observation) {
        let software = software(version);
        let observation = Observation {
            software,
            ..observation
        };
        self.tracker.record(&observation, self.now);
        self.commit();
    }

    /// A server of `version` crashes under a request that it had not begun to answer.
    fn crash_at(&mut self, version: &str, customer: &str, parts: &[u64]) {
        let features = self.request(customer, parts);
        let server = format!("s{}", self.count);
        let crashed = observation(features, Effect::Crashed(server.as_str().into()));
        self.observe(version, crashed);
    }

    fn crash(&mut self, parts: &[u64]) {
        self.crash_at("v1", "ann", parts);
    }

    /// Servers crash one after the other, until the parts are quarantined.
    fn quarantine(&mut self, parts: &[u64]) {
        for _ in 0..CRASHES_TO_QUARANTINE_PART {
            self.wait_ms(200);
            self.crash(parts);
        }
    }

    /// A request that began to be answered `ago` is complete.
    fn answer_at(&mut self, version: &str, parts: &[u64], ago: Duration) {
        let features = self.request("ann", parts);
        let completed = Observation {
            answered_for: Some(ago),
            ..observation(features, Effect::Completed)
        };
        self.observe(version, completed);
    }

    fn decide(&mut self, customer: &str, parts: &[u64]) -> Decision {
        let features = self.request(customer, parts);
        let time_left = Duration::from_secs(5);
        let decision = self
            .tracker
            .decide(&features, &service(), time_left, self.now);
        self.commit();
        decision
    }

    /// Asks until a trial that only waits for its commit is decided, and ends it as `effect` says.
    fn begins_trial(&mut self, customer: &str, parts: &[u64], effect: Effect) -> bool {
        if self.decide(customer, parts) != IN_TRIAL {
            return false;
        }
        let Decision::Permitted(permit) = self.decide(customer, parts) else {
            return false;
        };
        let ended = Observation {
            permit: Some(permit.number),
            ..observation(permit.features, effect)
        };
        self.observe("v1", ended);
        true
    }

    fn crash_count(&self, part: u64) -> usize {
        self.tracker.part_crash_count(Part(part))
    }
}

fn service() -> id::Service {
    "chat".parse().expect("a valid name")
}

fn software(version: &str) -> Software {
    Software {
        service: service(),
        version: version.parse().expect("a valid version"),
    }
}

fn observation(features: Features, effect: Effect) -> Observation {
    Observation {
        features,
        software: software("v1"),
        permit: None,
        answered_for: None,
        age: Duration::ZERO,
        effect,
    }
}

fn versions(names: &[&str]) -> Decision {
    let names = names.iter().map(|name| name.parse().expect("a version"));
    Decision::AllowedAt(names.collect())
}

/// Only requests that had just begun to be answered are charged, each server counts once, and what can't be the cause is
/// not.
#[test]
fn who_is_charged() {
    let cases = [
        (None, true),
        (Some(Duration::ZERO), true),
        (Some(PROBATION / 2), true),
        (Some(PROBATION), false),
        (Some(PROBATION * 9), false),
    ];
    for (answered_for, is_charged) in cases {
        let mut hub = Hub::new();
        let features = hub.request("ann", &[1, 2]);
        for _ in 0..3 {
            let crashed = Observation {
                answered_for,
                ..observation(features.clone(), Effect::Crashed("s1".into()))
            };
            hub.observe("v1", crashed);
        }
        let expected = usize::from(is_charged);
        assert_eq!(hub.crash_count(1), expected, "{answered_for:?}");
        assert_eq!(hub.crash_count(2), expected, "{answered_for:?}");
    }
}

/// An answer refutes the crashes of the same software that were charged to requests which began earlier, and no others.
#[test]
fn what_refutes() {
    let second = Duration::from_secs(1);
    let cases = [
        ("v1", second / 2, 1),
        ("v1", second * 7 / 2, 2),
        ("v1", second * 5, 3),
        ("v2", second / 2, 3),
    ];
    for (version, ago, left) in cases {
        let mut hub = Hub::new();
        for version in ["v1", "v1", "v3"] {
            hub.crash_at(version, "ann", &[1]);
            hub.wait(second * 3 / 2);
        }
        hub.answer_at(version, &[1], ago);
        assert_eq!(hub.crash_count(1), left, "{version} {ago:?}");
    }
}

/// A part of a customer's requests is quarantined at the fifth crash, whatever its place and whatever else the requests
/// hold; sound requests that share the rest are sent.
#[test]
fn fifth_crash() {
    for place in 0..3 {
        let mut hub = Hub::new();
        for number in 0..CRASHES_TO_QUARANTINE_PART as u64 {
            let mut parts = vec![1, 100 + number];
            parts.insert(place, 9);
            assert_eq!(hub.decide("ann", &parts), Decision::Allowed);
            hub.crash(&parts);
            hub.wait_ms(200);
            hub.answer_at("v1", &[1], Duration::from_millis(50));
        }
        assert_eq!(hub.decide("ann", &[9, 500]), QUARANTINED);
        assert_eq!(hub.decide("ann", &[1, 500]), Decision::Allowed);
    }
}

/// Three trials, of which none is early, are all that is ever sent, also where hubs change.
#[test]
fn three_trials() {
    let mut hub = Hub::new();
    hub.quarantine(&[9]);
    let mut trials = 0;
    for minute in 0..600 {
        if minute % 7 == 0 {
            hub.tracker = Tracker::new(minute);
            hub.commit();
        }
        hub.wait(Duration::from_mins(1));
        let server = format!("t{minute}");
        let crashed = Effect::Crashed(server.as_str().into());
        trials += u32::from(hub.begins_trial("ann", &[9], crashed));
    }
    assert!((1..=MAX_TRIALS).contains(&trials), "{trials} trials");
}

/// A hub that follows another one knows of the trials that were allowed, whether or not it heard of their end.
#[test]
fn trial_of_lost_hub() {
    let mut hub = Hub::new();
    hub.quarantine(&[9]);
    hub.wait(FIRST_TRIAL_DELAY);
    assert_eq!(hub.decide("ann", &[9]), IN_TRIAL);
    for number in 2..10 {
        hub.tracker = Tracker::new(number);
        hub.commit();
        assert_eq!(hub.decide("ann", &[9]), QUARANTINED, "hub {number}");
    }
    let trials = hub.list.get_part(Part(9)).map(|case| case.trials);
    assert_eq!(trials, Some(1));
}

/// A trial whose request was not sent does not count, and one that is answered clears the part.
#[test]
fn ends_of_trials() {
    let mut hub = Hub::new();
    hub.quarantine(&[9]);
    hub.wait(FIRST_TRIAL_DELAY);
    assert_eq!(hub.decide("ann", &[9]), IN_TRIAL);
    for _ in 0..10 {
        let Decision::Permitted(permit) = hub.decide("ann", &[9]) else {
            panic!("the part is not tried");
        };
        assert_eq!(hub.decide("ann", &[9]), QUARANTINED, "one trial at a time");
        hub.tracker.release_permit(&permit);
        hub.wait(FIRST_TRIAL_DELAY);
    }
    let trials = hub.list.get_part(Part(9)).map(|case| case.trials);
    assert_eq!(trials, Some(1));
    let Decision::Permitted(permit) = hub.decide("ann", &[9]) else {
        panic!("the part is not tried");
    };
    let completed = Observation {
        permit: Some(permit.number),
        ..observation(permit.features, Effect::Completed)
    };
    hub.observe("v1", completed);
    assert_eq!(hub.decide("ann", &[9]), Decision::Allowed);
    assert!(hub.list.get_part(Part(9)).is_none());
}

/// Parts that were only seen together are told apart by one trial of a request without the others, which begins soon;
/// requests with all of them are not sent.
#[test]
fn family_of_parts() {
    let mut hub = Hub::new();
    hub.quarantine(&[1, 2, 9]);
    hub.wait_ms(400);
    assert_eq!(hub.decide("ann", &[1, 2, 9]), QUARANTINED);
    for sound in [1, 2] {
        assert!(hub.begins_trial("ann", &[sound], Effect::Completed));
        assert_eq!(hub.decide("ann", &[sound]), Decision::Allowed);
    }
    assert_eq!(hub.decide("ann", &[1, 2, 9]), QUARANTINED);
    assert_eq!(hub.decide("ann", &[9]), QUARANTINED);
}

/// Servers of one version crash: requests with the part go to the others that answer them.
#[test]
fn one_version() {
    let mut hub = Hub::new();
    for _ in 0..CRASHES_TO_QUARANTINE_PART {
        hub.wait_ms(200);
        hub.crash(&[9]);
        hub.answer_at("v2", &[9], Duration::from_millis(50));
    }
    assert_eq!(hub.decide("ann", &[9]), versions(&["v2"]));
    // The version that serves crashes as well after a while.
    hub.wait_ms(200);
    hub.crash_at("v2", "ann", &[9]);
    assert!(matches!(hub.decide("ann", &[9]), Decision::Rejected(_)));
}

/// A part that was answered well for long begins to crash servers.
#[test]
fn bad_from_midday() {
    let mut hub = Hub::new();
    for _ in 0..1_000 {
        hub.answer_at("v1", &[9], Duration::from_millis(500));
        hub.wait_ms(10);
    }
    hub.quarantine(&[9]);
    // Answers that began before the crashes arrive late.
    hub.answer_at("v1", &[9], Duration::from_secs(8));
    assert!(matches!(hub.decide("ann", &[9]), Decision::Rejected(_)));
}

/// One customer names a part of another's in requests that crash servers for other reasons: the other's request is tried at
/// once, and clears it.
#[test]
fn named_by_another() {
    let mut hub = Hub::new();
    hub.quarantine(&[1]);
    hub.wait_ms(1_100);
    assert_eq!(hub.decide("ann", &[1]), QUARANTINED);
    assert!(hub.begins_trial("ben", &[1], Effect::Completed));
    assert_eq!(hub.decide("ben", &[1]), Decision::Allowed);
}

/// A data hall is lost with servers that run a part which nobody asked for before: it is tried within seconds.
#[test]
fn simultaneous_crashes() {
    let mut hub = Hub::new();
    for _ in 0..8 {
        hub.crash(&[1]);
    }
    hub.wait_ms(1_100);
    assert!(hub.begins_trial("ann", &[1], Effect::Completed));
    assert_eq!(hub.decide("ann", &[1]), Decision::Allowed);
}

/// Crashes under a part that crashed servers of several versions say nothing about one of them.
#[test]
fn explained_crashes() {
    let version = "v2".parse().expect("a version");
    let explains = |hub: &Hub| {
        let servers = (0..99).map(|number| format!("s{number}"));
        let mut explained = servers.filter(|server| hub.tracker.explains(server, &version));
        explained.next().is_some()
    };
    let mut hub = Hub::new();
    for _ in 0..9 {
        hub.crash_at("v2", "ann", &[9]);
    }
    assert!(!explains(&hub), "the version may be the cause");
    hub.crash_at("v1", "ann", &[9]);
    assert!(explains(&hub));
}

/// The request itself is the cause, and so is a part of it: each account keeps its own bound.
#[test]
fn request_and_part() {
    let mut hub = Hub::new();
    let request = hub.request("ann", &[9]);
    for server in ["t1", "t2", "t3"] {
        let crashed = Effect::Crashed(server.into());
        hub.observe("v1", observation(request.clone(), crashed));
        hub.wait_ms(200);
    }
    let time_left = Duration::from_secs(5);
    let decision = hub.tracker.decide(&request, &service(), time_left, hub.now);
    assert_eq!(decision, Decision::Rejected(Rejection::Quarantined));
    assert_eq!(hub.decide("ann", &[9]), Decision::Allowed);
    hub.crash(&[9]);
    hub.crash(&[9]);
    assert_eq!(hub.decide("ann", &[9]), QUARANTINED);
}

/// One customer's requests name parts without end: memory is bounded, and another customer's quarantined part and the
/// customer's own bad part are still found.
#[test]
fn many_parts() {
    let mut hub = Hub::new();
    for _ in 0..CRASHES_TO_QUARANTINE_PART {
        hub.crash_at("v1", "ben", &[7]);
        hub.wait_ms(200);
    }
    for round in 0..60_u64 {
        let mut parts: Vec<u64> = (0..200)
            .map(|number| 1_000 + round * 200 + number)
            .collect();
        parts.push(9);
        hub.crash(&parts);
        hub.wait_ms(200);
    }
    assert_eq!(hub.decide("ben", &[7]), QUARANTINED);
    assert!(matches!(hub.decide("ann", &[9]), Decision::Rejected(_)));
    let cases = hub.list.parts().count();
    assert!(cases <= 33, "{cases} cases on the list");
}

/// A server that falls silent under a request and is gone from the list has crashed, whichever becomes known first; one
/// that is still listed has not.
#[test]
fn silent_servers() {
    for (is_gone_first, is_gone_later) in [(false, true), (true, false), (false, false)] {
        let mut hub = Hub::new();
        let gone = "s1".into();
        if is_gone_first {
            hub.tracker.record_gone(&gone, hub.now);
        }
        let features = hub.request("ann", &[9]);
        hub.wait_ms(3_000);
        hub.observe("v1", observation(features, Effect::Silent("s1".into())));
        hub.wait_ms(3_000);
        if is_gone_later {
            hub.tracker.record_gone(&gone, hub.now);
        }
        let expected = usize::from(is_gone_first || is_gone_later);
        assert_eq!(
            hub.crash_count(9),
            expected,
            "{is_gone_first} {is_gone_later}"
        );
    }
}

/// An operator's release holds.
#[test]
fn released_by_operator() {
    let mut hub = Hub::new();
    hub.quarantine(&[9]);
    assert_eq!(hub.decide("ann", &[9]), QUARANTINED);
    hub.list.apply(&Step::ReleasePart(Part(9)));
    hub.tracker.apply_list(&hub.list, hub.now);
    assert_eq!(hub.decide("ann", &[9]), Decision::Allowed);
    hub.wait_ms(2_000);
    assert!(hub.list.get_part(Part(9)).is_none());
}
