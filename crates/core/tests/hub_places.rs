//! Places at backend servers that the hub gives: one order, room over all gateways, lost words.

mod support;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::AttemptEnd;
use curlewlift_core::gateway::Gateway;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Load;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::unit::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::messages;

/// Slots of each server; one more is given out.
const SLOTS: u32 = 2;

const HUB: u64 = 77;

fn ms(count: u64) -> Instant {
    Instant::default() + Duration::from_millis(count)
}

fn server(name: &str) -> Server {
    Server {
        incarnation: name.into(),
        name: name.into(),
        started_ms: 0,
        version: "v1".parse().expect("a version"),
        service: "chat".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: SLOTS,
        leaving: false,
        cold: false,
    }
}

fn hub(names: &[&str]) -> Hub {
    let servers = names.iter().map(|name| server(name));
    let mut hub = Hub::new(Tuning::default(), ms(0)).with_id(HUB);
    hub.set_server_list(Arc::new(ServerList::new(servers.collect())));
    hub
}

fn want(host: &str, rank: u8) -> SlotRequest {
    SlotRequest {
        rank: rank.into(),
        useful_for: Duration::from_millis(100),
        wait_limit: Duration::from_millis(200),
        time_left: Duration::from_secs(10),
        prompt: Tokens(10),
        ..messages::want(&host.parse().expect("a name"))
    }
}

fn line(wanted: SlotDecision) -> Ticket {
    match wanted {
        SlotDecision::Queued(ticket, _) => ticket,
        other => panic!("no place in line: {other:?}"),
    }
}

fn asks(hub: &mut Hub, host: &str, rank: u8, now: Instant) -> Ticket {
    line(hub.request_slot(want(host, rank), now))
}

fn report(host: &str, number: u64, in_flight: u32) -> Report {
    Report {
        last_grant: GrantId { hub: HUB, number },
        loads: vec![Load {
            incarnation: "s1".into(),
            requests: in_flight,
            prefill_tokens: Tokens(0),
        }],
        ..messages::report(&host.parse().expect("a name"))
    }
}

/// A hub whose only server is full with what `g` was granted; the last grant's mark.
fn full() -> (Hub, GrantId) {
    let mut hub = hub(&["s1"]);
    for _ in 0..=SLOTS {
        asks(&mut hub, "g", 1, ms(1));
    }
    let grants = hub.grant_slots(ms(1));
    assert_eq!(grants.len(), 3, "its slots and one");
    let mark = grants[2].1.id;
    (hub, mark)
}

#[test]
fn one_order() {
    let (mut hub, mark) = full();
    let low = asks(&mut hub, "g", 2, ms(2));
    let high = asks(&mut hub, "gg", 0, ms(3));
    assert!(hub.grant_slots(ms(3)).is_empty(), "no room");
    hub.report(&report("g", mark.number, 2), ms(4));
    assert_eq!(
        hub.grant_slots(ms(4))[0].0,
        high,
        "whatever gateway it came to"
    );
    hub.report(&report("g", mark.number, 1), ms(5));
    assert_eq!(hub.grant_slots(ms(5))[0].0, low);
}

#[test]
fn waited_counts() {
    let (mut hub, mark) = full();
    asks(&mut hub, "g", 1, ms(500));
    let mut elder = want("gg", 1);
    elder.waited = Duration::from_millis(300);
    let elder = line(hub.request_slot(elder, ms(501)));
    hub.report(&report("g", mark.number, 2), ms(502));
    assert_eq!(hub.grant_slots(ms(502))[0].0, elder);
}

#[test]
fn grants_count_until_reported() {
    let (mut hub, mark) = full();
    asks(&mut hub, "gg", 1, ms(2));
    // It was written before the second grant had come.
    hub.report(&report("g", mark.number - 2, 1), ms(3));
    assert!(hub.grant_slots(ms(3)).is_empty());
    // All three have come, and one has ended.
    hub.report(&report("g", mark.number, 2), ms(4));
    assert_eq!(hub.grant_slots(ms(4)).len(), 1);
}

#[test]
fn marks_of_another_hub() {
    let (mut hub, _) = full();
    asks(&mut hub, "gg", 1, ms(2));
    let mut foreign = report("g", 1_000, 0);
    foreign.last_grant.hub = HUB + 1;
    hub.report(&foreign, ms(3));
    assert!(
        hub.grant_slots(ms(3)).is_empty(),
        "what it granted still counts"
    );
}

#[test]
fn lost_grant_expires() {
    let (mut hub, _) = full();
    asks(&mut hub, "gg", 1, ms(2));
    assert!(hub.grant_slots(ms(400)).is_empty());
    assert_eq!(
        hub.grant_slots(ms(502)).len(),
        1,
        "nobody has taken them up"
    );
}

#[test]
fn silent_gateway_dropped() {
    let mut hub = hub(&["s1"]);
    let question = Poll {
        gateway: Gateway {
            hall: "a".into(),
            callers: "127.0.0.1:80".parse().expect("an address"),
        },
        loads: report("g", 0, 3).loads,
        ..messages::question(&"g".parse().expect("a name"))
    };
    hub.on_poll(&question, ms(0));
    asks(&mut hub, "gg", 1, ms(10));
    hub.tick(ms(1_100));
    assert!(hub.grant_slots(ms(1_100)).is_empty());
    hub.tick(ms(1_300));
    assert_eq!(
        hub.grant_slots(ms(1_300)).len(),
        1,
        "its requests have ended"
    );
}

#[test]
fn gone_gets_none() {
    let (mut hub, mark) = full();
    let gone = asks(&mut hub, "gg", 0, ms(2));
    let next = asks(&mut hub, "gg", 1, ms(3));
    hub.cancel(&gone, ms(1));
    hub.report(&report("g", mark.number, 2), ms(4));
    assert_eq!(hub.grant_slots(ms(4))[0].0, next);
}

/// Who waited at a former hub takes nobody out of the next one's line.
#[test]
fn tickets_of_another_hub() {
    let mut former = hub(&["s1"]).with_id(HUB + 1);
    former.set_server_list(Arc::new(ServerList::new(vec![server("s1")])));
    let left = asks(&mut former, "g", 1, ms(1));
    let mut hub = hub(&["s1"]);
    asks(&mut hub, "g", 1, ms(1));
    hub.cancel(&left, ms(1));
    assert_eq!(hub.grant_slots(ms(2)).len(), 1);
}

#[test]
fn broken_avoided_by_all() {
    let mut hub = hub(&["s1", "s2"]);
    let mut broke = report("g", 0, 0);
    broke.ended.push(AttemptEnd {
        service: "chat".parse().expect("a name"),
        incarnation: "s1".into(),
        rollout: None,
        outcome: AttemptOutcome::Broken,
    });
    hub.report(&broke, ms(1));
    for _ in 0..3 {
        asks(&mut hub, "gg", 1, ms(2));
    }
    let grants = hub.grant_slots(ms(2));
    let elsewhere = |(_, grant): &(Ticket, Grant)| &*grant.server.incarnation == "s2";
    assert_eq!((grants.len(), grants.iter().all(elsewhere)), (3, true));
}

#[test]
fn unknown_service() {
    let mut hub = hub(&["s1"]);
    let mut other = want("g", 1);
    other.service = "none".parse().expect("a name");
    assert_eq!(hub.request_slot(other, ms(1)), SlotDecision::NoServers);
}

/// A gateway as the hub meets it: words take their time, and come in order.
#[derive(Default)]
struct Side {
    mark: GrantId,
    running: BTreeMap<Arc<str>, u32>,
    to_it: VecDeque<(u64, Grant)>,
    to_hub: VecDeque<(u64, Report)>,
}

impl Side {
    /// Takes up the grants that have come.
    fn take(&mut self, now: u64) {
        while let Some((_, grant)) = self.to_it.pop_front_if(|(due, _)| *due <= now) {
            self.mark = grant.id;
            *self.running.entry(grant.server.incarnation).or_default() += 1;
        }
    }

    /// Ends one of its requests; false where it has none.
    fn end(&mut self) -> bool {
        let mut running = self.running.values_mut();
        let Some(busy) = running.find(|count| **count > 0) else {
            return false;
        };
        *busy -= 1;
        true
    }

    fn report(&self, host: &str) -> Report {
        let running = self.running.iter();
        let loads = running.map(|(incarnation, requests)| Load {
            incarnation: Arc::clone(incarnation),
            requests: *requests,
            prefill_tokens: Tokens(0),
        });
        Report {
            last_grant: self.mark,
            loads: loads.collect(),
            ..report(host, 0, 0)
        }
    }
}

const HOSTS: [&str; 3] = ["g", "gg", "ggg"];

/// How long a word is on its way, in milliseconds.
const WAY: Range<u64> = 1..20;

/// A hub and its gateways.
struct World {
    random: SmallRng,
    hub: Hub,
    sides: BTreeMap<&'static str, Side>,
    asked: HashMap<Ticket, &'static str>,
    given: u32,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            hub: hub(&["s1", "s2", "s3"]),
            sides: HOSTS.map(|host| (host, Side::default())).into(),
            asked: HashMap::new(),
            given: 0,
        }
    }

    fn step(&mut self, now: u64) {
        for host in HOSTS {
            self.ask(host, now);
            self.work(host, now);
            self.hear(host, now);
        }
        self.serve(now);
    }

    /// A request may come to `host`.
    fn ask(&mut self, host: &'static str, now: u64) {
        if self.random.random_bool(0.4) {
            let rank = self.random.random_range(0..3);
            let ticket = asks(&mut self.hub, host, rank, ms(now));
            self.asked.insert(ticket, host);
        }
    }

    /// `host` takes up what has come, and may end a request and tell of it.
    fn work(&mut self, host: &str, now: u64) {
        let side = self.sides.get_mut(host).expect("one of them");
        side.take(now);
        if self.random.random_bool(0.3) && side.end() {
            let due = now + self.random.random_range(WAY);
            side.to_hub.push_back((due, side.report(host)));
        }
    }

    /// The hub takes the reports of `host` that have come.
    fn hear(&mut self, host: &str, now: u64) {
        let side = self.sides.get_mut(host).expect("one of them");
        while let Some((_, report)) = side.to_hub.pop_front_if(|(due, _)| *due <= now) {
            self.hub.report(&report, ms(now));
        }
    }

    fn serve(&mut self, now: u64) {
        for (ticket, grant) in self.hub.grant_slots(ms(now)) {
            self.given += 1;
            let host = self.asked.get(&ticket).expect("it asked");
            let side = self.sides.get_mut(host).expect("one of them");
            let due = now + self.random.random_range(WAY);
            side.to_it.push_back((due, grant));
        }
    }

    /// What runs at each server.
    fn sums(&self) -> BTreeMap<Arc<str>, u32> {
        let mut sums: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        let running = self.sides.values().flat_map(|side| &side.running);
        for (incarnation, count) in running {
            *sums.entry(Arc::clone(incarnation)).or_default() += count;
        }
        sums
    }
}

/// However late words are, no server ever has more in flight than its slots and one.
#[test]
fn never_beyond_room() {
    for seed in 0..60 {
        let mut world = World::new(seed);
        for now in 0..600 {
            world.step(now);
            let sums = world.sums();
            assert!(
                sums.values().all(|sum| *sum <= SLOTS + 1),
                "{seed}: {sums:?}"
            );
        }
        let given = world.given;
        assert!(given > 50, "{seed}: {given} places were given");
    }
}
