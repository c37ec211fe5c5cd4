//! Hundreds of gateways and thousands of servers: what the hub sends grows with what changes.

mod support;

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Gateway;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Load;
use curlewlift_core::gateway::Membership;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Reply;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::ServerListCache;
use curlewlift_core::gateway::ServerListUpdate;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::state::Publication;
use curlewlift_core::unit::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::messages;

const GATEWAYS: usize = 300;

const SERVERS: usize = 3_000;

fn ms(count: u64) -> Instant {
    Instant::default() + Duration::from_millis(count)
}

fn server(place: usize) -> Server {
    Server {
        incarnation: format!("i-{place:010}").into(),
        name: format!("i-{place:010}").into(),
        started_ms: 0,
        version: "v1".parse().expect("a version"),
        service: "chat".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "a".into(),
        slots: 6,
        leaving: false,
        cold: false,
    }
}

/// What a gateway holds.
#[derive(Clone, Default)]
struct Asker {
    place: usize,
    ready: bool,
    listing: ServerList,
    roll: Membership,
}

impl Asker {
    fn question(&self, loads: Vec<Load>) -> Poll {
        Poll {
            gateway: Gateway {
                hall: "a".into(),
                callers: format!("10.0.{}.{}:80", self.place / 200, self.place % 200)
                    .parse()
                    .expect("an address"),
            },
            ready: self.ready,
            server_list_version: self.listing.version,
            membership_version: self.roll.version,
            loads,
            ..messages::question(&format!("g{}", self.place).parse().expect("a name"))
        }
    }

    /// Asks, takes the answer up, and tells how many bytes it had.
    fn ask(&mut self, hub: &mut Hub, now: Instant) -> usize {
        let question = self.question(Vec::new());
        hub.on_poll(&question, now);
        let reply = hub.reply(&question, &Publication::default(), now);
        let bytes = bytes(&reply);
        if let Some(listing) = reply.server_list {
            self.listing = self.listing.apply(listing).expect("about the list held");
        }
        if let Some(news) = reply.membership {
            self.roll = self.roll.apply(news).expect("about the roll held");
        }
        bytes
    }
}

fn bytes(reply: &Reply) -> usize {
    postcard::to_stdvec(reply).expect("encoded").len()
}

/// Gateways that hold what a hub with so many servers has told them.
fn fleet(servers: &[Server]) -> (Hub, Vec<Asker>) {
    let mut hub = Hub::new(Tuning::default(), ms(0));
    hub.set_server_list(Arc::new(ServerList::new(servers.to_vec())));
    let mut askers: Vec<_> = (0..GATEWAYS)
        .map(|place| Asker {
            place,
            ready: true,
            ..Asker::default()
        })
        .collect();
    for round in [100, 200] {
        for asker in &mut askers {
            asker.ask(&mut hub, ms(round));
        }
    }
    (hub, askers)
}

fn ask_all(hub: &mut Hub, askers: &mut [Asker], now: Instant) -> usize {
    askers.iter_mut().map(|asker| asker.ask(hub, now)).sum()
}

fn servers(count: usize) -> Vec<Server> {
    (0..count).map(server).collect()
}

#[test]
fn one_server_leaves() {
    let mut servers = servers(SERVERS);
    let (mut hub, mut askers) = fleet(&servers);
    let quiet = ask_all(&mut hub, &mut askers, ms(300));
    servers[17].leaving = true;
    hub.set_server_list(Arc::new(ServerList::new(servers.clone())));
    let told = ask_all(&mut hub, &mut askers, ms(400)) - quiet;
    // The whole list to all of them is 25 MB.
    assert!(told < 50_000, "{told} B for one server of {SERVERS}");
    let mut held = askers.iter().flat_map(|asker| &asker.listing.servers);
    assert!(
        held.all(|held| held.leaving == (held.incarnation == servers[17].incarnation)),
        "who may send to it knows that it leaves"
    );
}

#[test]
fn busy_servers() {
    let servers = servers(SERVERS);
    let (mut hub, mut askers) = fleet(&servers);
    for (place, asker) in askers.iter().enumerate() {
        let loads = servers[place * 10..][..10].iter();
        let loads = loads.map(|server| Load {
            incarnation: Arc::clone(&server.incarnation),
            requests: 5,
            prefill_tokens: Tokens(1_000),
        });
        hub.on_poll(&asker.question(loads.collect()), ms(300));
    }
    let answer = askers[0].ask(&mut hub, ms(301));
    assert!(answer < 1_000, "{answer} B, and 48,000 of all servers");
}

#[test]
fn one_gateway_goes() {
    let (mut hub, mut askers) = fleet(&servers(1));
    let quiet = ask_all(&mut hub, &mut askers, ms(300));
    askers[3].ready = false;
    askers[3].ask(&mut hub, ms(400));
    ask_all(&mut hub, &mut askers[..1], ms(500));
    let told = ask_all(&mut hub, &mut askers, ms(600)) - quiet;
    // The whole roll to all of them is 0.7 MB.
    assert!(told < 10_000, "{told} B for one gateway of {GATEWAYS}");
    assert!(
        askers
            .iter()
            .all(|asker| asker.roll.gateways.len() == GATEWAYS - 1)
    );
}

#[test]
fn any_rolls() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut hub = Hub::new(Tuning::default(), ms(0));
        let mut askers: Vec<_> = (0..12)
            .map(|place| Asker {
                place,
                ready: true,
                ..Asker::default()
            })
            .collect();
        for step in 0..600 {
            let now = ms(step * 30);
            if random.random_range(0..200) == 0 {
                hub = Hub::new(Tuning::default(), now);
            }
            let place = random.random_range(0..askers.len());
            let asker = &mut askers[place];
            asker.ready = random.random_range(0..4) > 0;
            let question = asker.question(Vec::new());
            hub.on_poll(&question, now);
            let reply = hub.reply(&question, &Publication::default(), now);
            let is_lost = random.random_range(0..3) == 0;
            let Some(news) = reply.membership.filter(|_| !is_lost) else {
                continue;
            };
            // News of a roll that is not held any more are seen as such.
            let stale = Membership::default().apply(news.clone());
            assert!(stale.is_none_or(|roll| roll == Membership::new(roll.gateways.clone())));
            let after = asker.roll.apply(news).expect("about the roll held");
            assert_eq!(after, Membership::new(after.gateways.clone()));
            asker.roll = after;
        }
        let now = ms(600 * 30 + 100);
        for asker in &mut askers {
            asker.ready = true;
            asker.ask(&mut hub, now);
        }
        for asker in &mut askers {
            asker.ask(&mut hub, now + Duration::from_millis(100));
            assert_eq!(asker.roll.gateways.len(), 12, "seed {seed}");
        }
    }
}

#[test]
fn small_service_whole() {
    let listing = ServerList::new(servers(128));
    let host = "g".parse().expect("a name");
    assert_eq!(listing.subset(&host), listing);
}

#[test]
fn even_subsets() {
    let (_, askers) = fleet(&servers(SERVERS));
    let mut counts = std::collections::BTreeMap::new();
    for server in askers.iter().flat_map(|asker| &asker.listing.servers) {
        *counts.entry(&server.incarnation).or_insert(0) += 1;
    }
    let told = counts.values().sum::<usize>();
    assert_eq!(told, GATEWAYS * 32);
    // 3.2 gateways a server in the mean; drawn evenly, one in 30 servers is nobody's.
    assert!(
        counts.len() > SERVERS * 94 / 100,
        "{} servers",
        counts.len()
    );
    assert!(counts.values().all(|count| *count <= 14));
}

#[test]
fn whole_beside_replicas() {
    let listing = ServerList::new(servers(SERVERS));
    let mut hub = Hub::new(Tuning::default(), ms(0));
    hub.set_server_list(Arc::new(listing.clone()));
    let mut question = Asker::default().question(Vec::new());
    question.wants_whole_list = true;
    hub.on_poll(&question, ms(1));
    let told = hub.reply(&question, &Publication::default(), ms(1));
    assert_eq!(
        told.server_list,
        Some(ServerListUpdate::Whole(listing.clone()))
    );
    question.server_list_version = listing.version;
    hub.on_poll(&question, ms(2));
    let told = hub.reply(&question, &Publication::default(), ms(2));
    assert_eq!(told.server_list, None);
}

#[test]
fn old_list_kept_back() {
    // The first list that a gateway fetched, before there were servers, was told to a later hub in place
    // of the present one, and nobody got a place for 0.7 s.
    let present = ServerList::new(servers(SERVERS));
    let host: curlewlift_core::id::Host = "g".parse().expect("a name");
    let mut holding = ServerListCache::new(host.clone(), false);
    holding.set_whole(ServerList::new(Vec::new()));
    holding.drop_fetched();
    holding.apply(ServerListUpdate::Whole(present.subset(&host)));
    assert_eq!(holding.for_hub(0), None);
    let mut beside = ServerListCache::new(host, true);
    beside.set_whole(ServerList::new(Vec::new()));
    beside.drop_fetched();
    beside.apply(ServerListUpdate::Whole(present.clone()));
    assert_eq!(beside.for_hub(0), Some(&present));
    assert_eq!(beside.for_hub(present.version), None);
    assert_eq!(beside.get_subset().servers.len(), 32);
}
