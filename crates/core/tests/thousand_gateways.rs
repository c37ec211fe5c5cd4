//! A thousand gateways before three thousand servers: who is told what, and when; what is done without a leader; further
//! sendings that one gateway's part is too small for.

mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway;
use curlewlift_core::gateway::BulkSchedule;
use curlewlift_core::gateway::Distribution;
use curlewlift_core::gateway::Gateway;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::LeaderSearch;
use curlewlift_core::gateway::Membership;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Reply;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::ServerListCache;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::gateway::call_interval;
use curlewlift_core::id;
use curlewlift_core::pool::RetryAllowance;
use curlewlift_core::pool::RetryBudget;
use curlewlift_core::state::Publication;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::lives;
use support::messages;

const GATEWAYS: usize = 1_000;

fn ms(count: u64) -> Instant {
    Instant::default() + Duration::from_millis(count)
}

fn host(place: usize) -> id::Host {
    format!("g{place}").parse().expect("a name")
}

fn server(service: &str, place: usize) -> Server {
    Server {
        service: service.parse().expect("a name"),
        ..lives::life(&format!("{service}-{place:05}"), 1)
    }
}

/// A large service, and a small one that every gateway is told whole.
fn servers() -> Vec<Server> {
    let large = (0..2_890).map(|place| server("chat", place));
    let small = (0..108).map(|place| server("quotes", place));
    large.chain(small).collect()
}

/// A gateway and what it holds.
struct Asker {
    host: id::Host,
    ready: bool,
    callers: Gateway,
    holding: ServerListCache,
    roll: Membership,
}

impl Asker {
    fn new(place: usize) -> Self {
        let host = host(place);
        Self {
            ready: true,
            callers: Gateway {
                hall: "a".into(),
                callers: format!("10.0.{}.{}:80", place / 200, place % 200)
                    .parse()
                    .expect("an address"),
            },
            holding: ServerListCache::new(host.clone(), false),
            roll: Membership::default(),
            host,
        }
    }

    fn question(&self) -> Poll {
        Poll {
            gateway: self.callers.clone(),
            ready: self.ready,
            server_list_version: self.holding.get_version(),
            membership_version: self.roll.version,
            ..messages::question(&self.host)
        }
    }

    fn hear(&self, hub: &mut Hub, now: Instant) -> Reply {
        let question = self.question();
        hub.on_poll(&question, now);
        hub.reply(&question, &Publication::default(), now)
    }

    /// Asks, takes the answer up, and tells how many bytes it had.
    fn ask(&mut self, hub: &mut Hub, now: Instant) -> usize {
        let reply = self.hear(hub, now);
        let bytes = postcard::to_stdvec(&reply).expect("encoded").len();
        if let Some(news) = reply.server_list {
            self.holding.apply(news);
        }
        if let Some(news) = reply.membership {
            self.roll = self.roll.apply(news).expect("about the roll held");
        }
        bytes
    }
}

/// Gateways that hold what the hub has told them.
fn fleet(servers: &[Server], gateways: usize) -> (Hub, Vec<Asker>) {
    let mut hub = Hub::new(Tuning::default(), ms(0));
    hub.set_server_list(Arc::new(ServerList::new(servers.to_vec())));
    let mut askers: Vec<_> = (0..gateways).map(Asker::new).collect();
    for round in [100, 200] {
        for asker in &mut askers {
            asker.ask(&mut hub, ms(round));
        }
    }
    (hub, askers)
}

/// A server of a small service concerns all gateways; each is told that server, not the 140 that it holds.
#[test]
fn small_service_changes() {
    let mut servers = servers();
    let (mut hub, mut askers) = fleet(&servers, GATEWAYS);
    let quiet: usize = askers
        .iter_mut()
        .map(|asker| asker.ask(&mut hub, ms(300)))
        .sum();
    servers.last_mut().expect("some").leaving = true;
    hub.set_server_list(Arc::new(ServerList::new(servers.clone())));
    let told: usize = askers
        .iter_mut()
        .map(|asker| asker.ask(&mut hub, ms(400)))
        .sum();
    let each = (told - quiet) / GATEWAYS;
    assert!(each < 200, "{each} B for one server to each");
}

/// A server of a large service concerns few gateways; the others are not woken.
#[test]
fn few_are_concerned() {
    let mut servers = servers();
    let (mut hub, askers) = fleet(&servers, GATEWAYS);
    servers[17].leaving = true;
    hub.set_server_list(Arc::new(ServerList::new(servers.clone())));
    let mut concerned = 0;
    for asker in &askers {
        let question = asker.question();
        hub.on_poll(&question, ms(300));
        concerned += usize::from(hub.has_update(&question));
    }
    assert!((1..40).contains(&concerned), "{concerned} of {GATEWAYS}");
}

/// Whatever comes, goes and changes, and whichever answers are lost, each gateway comes to hold its subset.
#[test]
fn any_lists() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let all: Vec<_> = (0..200)
            .map(|place| server("chat", place))
            .chain((0..20).map(|place| server("quotes", place)))
            .collect();
        let mut listed: Vec<_> = all.iter().take(180).cloned().collect();
        let (mut hub, mut askers) = fleet(&listed, 8);
        let mut now = 300;
        for _ in 0..120 {
            now += 30;
            for _ in 0..random.random_range(0..3) {
                let server = &all[random.random_range(0..all.len())];
                let place = listed
                    .iter()
                    .position(|other| other.incarnation == server.incarnation);
                match place {
                    Some(place) if random.random() => listed[place].leaving ^= true,
                    Some(place) => drop(listed.remove(place)),
                    None => listed.push(server.clone()),
                }
            }
            hub.set_server_list(Arc::new(ServerList::new(listed.clone())));
            let place = random.random_range(0..askers.len());
            if random.random_range(0..4) == 0 {
                askers[place].hear(&mut hub, ms(now));
            } else {
                askers[place].ask(&mut hub, ms(now));
            }
        }
        let listing = ServerList::new(listed);
        for asker in &mut askers {
            for _ in 0..2 {
                now += 30;
                asker.ask(&mut hub, ms(now));
            }
            let host = asker.host.clone();
            assert_eq!(
                *asker.holding.get_subset(),
                listing.subset(&host),
                "seed {seed}"
            );
        }
    }
}

/// Half of the hosts start again, a few every 20 ms: each answer tells what has changed since the last.
#[test]
fn hosts_come_and_go() {
    let (mut hub, mut askers) = fleet(&servers()[..1], GATEWAYS);
    let mut bytes = 0;
    let mut answers = 0;
    for step in 0..250_usize {
        let now = ms(300 + 20 * step as u64);
        askers[step * 4].ready = false;
        if let Some(back) = step.checked_sub(100) {
            askers[back * 4].ready = true;
        }
        // Each asks every 260 ms.
        for asker in askers.iter_mut().skip(step % 13).step_by(13) {
            bytes += asker.ask(&mut hub, now);
            answers += 1;
        }
    }
    // 13 to 26 hosts have changed between two answers; the whole roll is 14 KB.
    let each = bytes / answers;
    assert!(each < 800, "{each} B an answer");
    let now = ms(300 + 20 * 260);
    for asker in &mut askers {
        asker.ready = true;
        asker.ask(&mut hub, now);
    }
    for asker in &mut askers {
        asker.ask(&mut hub, now + Duration::from_millis(100));
        assert_eq!(asker.roll.gateways.len(), GATEWAYS);
    }
}

/// A new hub: all want the list and the roll at once, and are told one after the other, in the order in which they asked
/// first, however often they ask again.
#[test]
fn turns_in_order() {
    let mut pace = BulkSchedule::default();
    let first: Vec<_> = (0..GATEWAYS)
        .map(|place| pace.reserve(&host(place), ms(0)))
        .collect();
    assert!(first.windows(2).all(|two| two[0] < two[1]));
    assert!(first[GATEWAYS - 1] <= ms(1_000), "all within a second");
    for (place, turn) in first.iter().enumerate().skip(300) {
        assert_eq!(pace.reserve(&host(place), ms(250)), *turn);
    }
    pace.finish(&host(0));
    assert_eq!(
        pace.reserve(&host(0), ms(10)),
        ms(1_000),
        "behind all others"
    );
    let gone = pace.reserve(&host(1), ms(6_100));
    assert!(
        gone >= ms(6_100),
        "a turn that was not used is no right to go first"
    );
}

/// What is large waits for its turn, the rest is told at once.
#[test]
fn small_answers() {
    let mut hub = Hub::new(Tuning::default(), ms(0));
    hub.set_server_list(Arc::new(ServerList::new(servers())));
    let publication = Publication {
        number: 7,
        ..Publication::default()
    };
    let askers: Vec<_> = (0..100).map(Asker::new).collect();
    for (place, asker) in askers.iter().enumerate() {
        let question = asker.question();
        hub.on_poll(&question, ms(1));
        let turn = hub.bulk_time(&question, &publication, ms(1));
        assert_eq!(turn, Some(ms(1 + place as u64)));
        let small = hub.small_reply(&question, &publication, ms(1));
        assert_eq!(
            (small.server_list, small.membership, small.table),
            (None, None, None)
        );
        assert_eq!(
            small.newest_table, 0,
            "a table is fetched when it is its turn"
        );
        assert!(small.poll_timeout <= Duration::from_millis(250));
        assert!(postcard::to_stdvec(&small.other_loads).is_ok_and(|bytes| bytes.len() < 100));
    }
}

/// All gateways together ask some 2,000 times a second, whatever their number, and none of them counts as silent
/// meanwhile; few ask often.
#[test]
fn questions_of_all() {
    for (gateways, most) in [
        (12, 400.0),
        (300, 1_300.0),
        (1_000, 2_100.0),
        (2_000, 2_100.0),
    ] {
        let mut hub = Hub::new(Tuning::default(), ms(0));
        hub.set_server_list(Arc::new(ServerList::new(servers()[..1].to_vec())));
        let askers: Vec<_> = (0..gateways).map(Asker::new).collect();
        for asker in &askers {
            hub.on_poll(&asker.question(), ms(1));
        }
        let wait = hub.poll_timeout(&askers[0].question());
        let each = 1.0 / wait.as_secs_f64();
        let all = each * f64::from(u32::try_from(gateways).expect("few"));
        assert!(all <= most, "{gateways}: {all} questions a second");
        let last = ms(1) + wait * 2;
        let question = askers[1].question();
        hub.on_poll(&question, last);
        let reply = hub.reply(&question, &Publication::default(), last);
        let Some(gateway::MembershipUpdate::Whole(roll)) = reply.membership else {
            panic!("no roll: {:?}", reply.membership);
        };
        assert_eq!(roll.gateways.len(), gateways);
    }
}

/// No leader for 10 s: all gateways together ask the ten replicas for it some 2,000 times a second, whatever they know of
/// their number, and first of all quickly.
#[test]
fn no_leader() {
    for known in [0, GATEWAYS] {
        let mut random = SmallRng::seed_from_u64(1);
        let mut asked = [0; 10];
        for _ in 0..GATEWAYS {
            let mut search = LeaderSearch::default();
            let mut at = Duration::ZERO;
            while at < Duration::from_secs(10) {
                asked[usize::try_from(at.as_secs()).expect("few")] += 1;
                search.missed();
                at += search.pause(known, random.random());
            }
        }
        assert!(asked[1..].iter().all(|asked| *asked < 2_500), "{asked:?}");
    }
    let mut search = LeaderSearch::default();
    search.missed();
    assert!(search.pause(0, 1.0) < Duration::from_millis(100));
    search.found();
    search.missed();
    assert!(search.pause(GATEWAYS, 1.0) < Duration::from_millis(100));
}

/// Gateways that hear no hub stay within half of what the platform takes, with any number of them.
#[test]
fn calls_of_all() {
    for gateways in [12, 300, 1_000, 2_000] {
        let call_interval = call_interval(gateways, 190.0);
        let calls =
            1.0 / call_interval.as_secs_f64() * f64::from(u32::try_from(gateways).expect("few"));
        assert!(calls <= 96.0, "{gateways}: {calls} calls a second");
    }
    assert_eq!(
        call_interval(1_000, 0.0),
        Duration::ZERO,
        "no rate is known"
    );
}

/// A table is handed to as many gateways as a hundredth of a second of the leader's link bears; one that asks no more
/// makes room.
#[test]
fn handed_out() {
    for (link, most) in [(0.0, 6), (12.5e6, 6), (125e6, 61)] {
        let mut handout = Distribution::new(link);
        let admitted = (0..GATEWAYS)
            .filter(|place| handout.admit(&host(*place), ms(0)))
            .count();
        assert_eq!(admitted, most, "{link}");
        assert_eq!(handout.expire(ms(100)), 0);
        assert_eq!(handout.expire(ms(700)), most, "none has asked for long");
        assert!(handout.admit(&host(999), ms(700)));
    }
}

const ALLOWED: RetryAllowance = RetryAllowance {
    ratio: 0.2,
    min_retries: 1_040.0,
    window: Duration::from_secs(10),
};

/// A gateway whose own requests have earned less than one further sending draws it at the hub; all of them, over hubs
/// that follow each other, get no more than is allowed in any window.
#[test]
fn further_sendings() {
    let tuning = Tuning {
        retries: Some(ALLOWED),
        ..Tuning::default()
    };
    let new_hub = |now| {
        let mut hub = Hub::new(tuning, now);
        hub.set_server_list(Arc::new(ServerList::new(servers())));
        hub
    };
    for seed in 0..5 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut hub = new_hub(ms(0));
        let mut budgets = vec![RetryBudget::new(ALLOWED); GATEWAYS];
        let mut firsts: VecDeque<Instant> = VecDeque::new();
        let mut further: VecDeque<Instant> = VecDeque::new();
        let (mut wanted, mut granted) = (0, 0);
        for step in 0..6_000_u64 {
            let now = ms(step * 10);
            if random.random_range(0..800) == 0 {
                hub = new_hub(now);
            }
            // A spell in which nearly everything fails.
            let fails = if (2_000..2_600).contains(&step) {
                0.9
            } else {
                0.01
            };
            for _ in 0..5 {
                let place = random.random_range(0..GATEWAYS);
                budgets[place].count_request(now);
                firsts.push_back(now);
                if !random.random_bool(fails) {
                    continue;
                }
                wanted += 1;
                let is_sent = budgets[place].try_acquire(1.0 / 1_119.0, now) || {
                    let want = SlotRequest {
                        needs_retry: true,
                        ..messages::want(&host(place))
                    };
                    matches!(hub.request_slot(want, now), SlotDecision::Queued(..))
                };
                if is_sent {
                    granted += 1;
                    further.push_back(now);
                }
            }
            let is_old = |at: &Instant| now.since(*at) >= ALLOWED.window;
            while firsts.front().is_some_and(is_old) {
                firsts.pop_front();
            }
            while further.front().is_some_and(is_old) {
                further.pop_front();
            }
            let count = |all: &VecDeque<_>| f64::from(u32::try_from(all.len()).expect("few"));
            let most = ALLOWED.min_retries + ALLOWED.ratio * count(&firsts);
            assert!(count(&further) <= most, "seed {seed}");
            if step == 1_999 {
                assert!(
                    granted * 100 >= wanted * 95,
                    "{granted} of {wanted} on a calm day"
                );
            }
        }
    }
}
