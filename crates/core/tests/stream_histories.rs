//! Random histories of gateways and hubs that are lost, cut off or late: no stream goes on at another version than the one
//! that began it, and a stream goes on while a host that knows it is in touch.

mod support;

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Reply;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::StreamAnswer;
use curlewlift_core::gateway::StreamQuery;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::rollout::Version;
use curlewlift_core::stream::Found;
use curlewlift_core::stream::KnownVersions;
use curlewlift_core::stream::Ledger;
use curlewlift_core::stream::Record;
use curlewlift_core::stream::Step;
use curlewlift_core::stream::Versions;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::incarnations;
use support::messages;
use support::network::Network;
use support::streams::key;
use support::streams::origin;
use support::streams::record;
use support::time::ms;

const HISTORIES: u64 = 2_000;
const STEP_MS: u64 = 20;
const END_MS: u64 = 7_000;
const POLL_INTERVAL_MS: u64 = 100;
/// The longest time that a message takes.
const MAX_DELAY_MS: u64 = 120;
/// How long there is no hub between two.
const ELECTION_MS: u64 = 300;
/// How long it takes at most until the hub knows what a gateway that reaches it knows.
const SETTLING_MS: u64 = 1_500;
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// How long callers may resume a stream.
const STREAM_LIFETIME: Duration = Duration::from_secs(5);

fn chat() -> id::Service {
    "chat".parse().expect("a name")
}

/// A message that arrives at its time. Those of a former process or hub are lost.
enum Message {
    Poll(usize, Box<Poll>),
    Reply(usize, Box<Reply>, u64),
    Report(usize, Vec<Record>),
    ReportLost(usize, Vec<Record>),
    Committed(Vec<Step>),
}

#[derive(Default)]
struct Gateway {
    ledger: Ledger,
    versions: KnownVersions,
    /// When it polls next.
    polls_at: u64,
    /// Until when it reaches no hub.
    cut_off_until: u64,
    /// The number of its process.
    process: u64,
}

/// Where and when a stream began.
struct Begun {
    version: &'static str,
    at: u64,
}

struct World {
    random: SmallRng,
    now: u64,
    gateways: Vec<Gateway>,
    /// The leading hub, and the number of the leader.
    hub: Option<Hub>,
    leader: u64,
    elected_at: u64,
    committed: Versions,
    /// The versions that serve.
    serving: Vec<&'static str>,
    /// Each with its gateway's process and the leader when it was sent.
    messages: Network<(u64, u64, Message)>,
    streams: Vec<Begun>,
    continued: usize,
    rejected: usize,
}

fn host(gateway: usize) -> id::Host {
    format!("h{gateway}").parse().expect("a name")
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let gateways = (0..random.random_range(2..8)).map(|_| Gateway::default());
        Self {
            now: 0,
            gateways: gateways.collect(),
            hub: None,
            leader: 0,
            elected_at: 0,
            committed: Versions::default(),
            serving: vec!["v1"],
            messages: Network::new(),
            streams: Vec::new(),
            continued: 0,
            rejected: 0,
            random,
        }
    }

    /// Sends a message between a gateway and the hub.
    fn send(&mut self, gateway: usize, message: Message) {
        let arrival = self.now + self.random.random_range(1..=MAX_DELAY_MS);
        let process = self.gateways[gateway].process;
        let message = (process, self.leader, message);
        self.messages.send(arrival, message);
    }

    fn run(&mut self) {
        while self.now < END_MS {
            self.now += STEP_MS;
            self.deliver();
            self.lose();
            self.change_servers();
            self.lead();
            for gateway in 0..self.gateways.len() {
                self.poll(gateway);
                self.report(gateway);
                self.begin_stream(gateway);
            }
            self.take_up();
        }
    }

    fn deliver(&mut self) {
        while let Some((process, leader, message)) = self.messages.receive(self.now) {
            self.receive(process, leader, message);
        }
    }

    fn receive(&mut self, process: u64, leader: u64, message: Message) {
        let now = ms(self.now);
        let is_lost = leader != self.leader || self.hub.is_none();
        match message {
            Message::Committed(steps) => {
                // An entry of a former leader may be committed by the next one.
                for step in &steps {
                    self.committed.apply(step);
                }
                if let Some(hub) = &mut self.hub {
                    hub.apply_stream_versions(&self.committed);
                }
            }
            Message::Poll(gateway, poll) => {
                if let (Some(hub), false) = (&mut self.hub, is_lost) {
                    hub.on_poll(&poll, now);
                    let reply = hub.small_reply(&poll, &<_>::default(), now);
                    let sent_at = self.gateways[gateway].polls_at;
                    self.send(gateway, Message::Reply(gateway, Box::new(reply), sent_at));
                }
            }
            Message::Reply(gateway, reply, sent_at) => {
                let state = &mut self.gateways[gateway];
                if state.process == process && state.polls_at == sent_at {
                    let sent_at = ms(sent_at);
                    state.versions.apply(reply.stream_versions, sent_at);
                    state.ledger.set_hub(reply.hub_id);
                    state.ledger.keep(&reply.stream_copies, now);
                }
            }
            Message::Report(gateway, records) => match &mut self.hub {
                Some(hub) if !is_lost => hub.record_streams(&host(gateway), &records, now),
                _ => self.receive(process, leader, Message::ReportLost(gateway, records)),
            },
            Message::ReportLost(gateway, records) => {
                let state = &mut self.gateways[gateway];
                if state.process == process {
                    state.ledger.put_back(&records);
                }
            }
        }
    }

    /// Now and then a gateway or the hub is lost, or both, or a gateway is cut off from the hub.
    fn lose(&mut self) {
        let gateway = self.random.random_range(0..self.gateways.len());
        if self.random.random_ratio(1, 60) {
            let process = self.gateways[gateway].process + 1;
            self.gateways[gateway] = Gateway {
                process,
                ..Gateway::default()
            };
        }
        if self.random.random_ratio(1, 60) {
            let time = self.random.random_range(100..2_500);
            self.gateways[gateway].cut_off_until = self.now + time;
        }
        if self.random.random_ratio(1, 90) {
            self.hub = None;
            self.elected_at = self.now + ELECTION_MS;
        }
    }

    fn change_servers(&mut self) {
        if self.random.random_ratio(1, 50) {
            let version = VERSIONS[self.random.random_range(0..VERSIONS.len())];
            if let Some(index) = self.serving.iter().position(|other| *other == version) {
                if self.serving.len() > 1 {
                    self.serving.remove(index);
                }
            } else {
                self.serving.push(version);
            }
        }
    }

    /// Elects a leader, whose hub sees the list late and commits what it proposes.
    fn lead(&mut self) {
        let now = ms(self.now);
        if self.hub.is_none() && self.now >= self.elected_at {
            self.leader += 1;
            let mut hub = Hub::new(Tuning::default(), now).with_id(self.leader);
            hub.apply_stream_versions(&self.committed);
            self.hub = Some(hub);
        }
        let Some(hub) = &mut self.hub else { return };
        if self.random.random_ratio(1, 10) {
            let servers = self.serving.iter().map(|version| Server {
                version: version.parse().expect("a version"),
                ..incarnations::incarnation(version, 0)
            });
            hub.set_server_list(Arc::new(ServerList::new(servers.collect())));
        }
        let steps = hub.propose_stream_versions(now);
        if !steps.is_empty() {
            self.send(0, Message::Committed(steps));
        }
    }

    fn poll(&mut self, gateway: usize) {
        let state = &mut self.gateways[gateway];
        if self.now < state.polls_at + POLL_INTERVAL_MS || self.now < state.cut_off_until {
            return;
        }
        state.polls_at = self.now;
        let mut poll = messages::poll(&host(gateway));
        poll.stream_versions = state.versions.number();
        poll.gateway.hall = format!("hall-{}", gateway % 3).into();
        self.send(gateway, Message::Poll(gateway, Box::new(poll)));
    }

    fn report(&mut self, gateway: usize) {
        let now = ms(self.now);
        let state = &mut self.gateways[gateway];
        if self.now < state.cut_off_until || self.hub.is_none() {
            return;
        }
        let records = state.ledger.take_pending(now);
        if records.is_empty() {
            return;
        }
        let is_lost = self.random.random_ratio(1, 20);
        let message = if is_lost {
            Message::ReportLost
        } else {
            Message::Report
        };
        self.send(gateway, message(gateway, records));
    }

    /// A stream begins at any version that serves and that the gateway knows to be open.
    fn begin_stream(&mut self, gateway: usize) {
        let state = &mut self.gateways[gateway];
        if !self.random.random_ratio(1, 10) {
            return;
        }
        let open = state.versions.open(&chat(), ms(self.now));
        let version = self.serving[self.random.random_range(0..self.serving.len())];
        let parsed: Version = version.parse().expect("a version");
        if !open.contains(&parsed) {
            return;
        }
        let record = record(self.streams.len() as u64, version, STREAM_LIFETIME);
        state.ledger.record(&record, ms(self.now));
        self.streams.push(Begun {
            version,
            at: self.now,
        });
    }

    /// A caller takes up a stream at any gateway. Some don't name it.
    fn take_up(&mut self) {
        let now = ms(self.now);
        if self.streams.is_empty() {
            return;
        }
        let number = self.random.random_range(0..self.streams.len());
        let stream = &self.streams[number];
        if ms(stream.at) + STREAM_LIFETIME <= now {
            return;
        }
        let gateway = self.random.random_range(0..self.gateways.len());
        let state = &self.gateways[gateway];
        let key = self.random.random_ratio(9, 10).then(|| key(number as u64));
        let local = key.and_then(|key| state.ledger.find(key, now));
        let sole = state.versions.sole_origin(&[chat()], now);
        let hub = self
            .hub
            .as_ref()
            .filter(|_| self.now >= state.cut_off_until);
        let query = StreamQuery {
            key,
            services: vec![chat()],
        };
        let found = match (local, sole, hub) {
            (Some(Found::Begun(origin)), _, _) => Some(origin.as_ref().clone()),
            (None, Some(origin), _) => Some(origin),
            (None, None, Some(hub)) => match hub.find_stream(&query, now) {
                StreamAnswer::Begun(origin) | StreamAnswer::SoleVersion(origin) => Some(origin),
                StreamAnswer::Unknown { .. } => None,
            },
            (Some(Found::Conflicting), _, _) | (None, None, None) => None,
        };
        if let Some(found) = found {
            assert_eq!(
                found,
                origin(stream.version),
                "stream {number} at {} ms",
                self.now
            );
            self.continued += usize::from(key.is_some());
            return;
        }
        let is_in_touch = self.now >= state.cut_off_until && self.hub.is_some();
        if key.is_none() || !is_in_touch {
            return;
        }
        self.rejected += 1;
        let knows = |other: &Gateway| {
            // It has reached this hub for long enough to report the stream.
            let settled = self.elected_at.max(stream.at).max(other.cut_off_until) + SETTLING_MS;
            let found = key.and_then(|key| other.ledger.find(key, now));
            found.is_some() && settled < self.now
        };
        let known_by = self.gateways.iter().position(knows);
        assert_eq!(known_by, None, "stream {number} at {} ms", self.now);
    }
}

#[test]
fn losses_and_late_hosts() {
    let (mut continued, mut rejected) = (0, 0);
    for seed in 0..HISTORIES {
        println!("seed {seed}");
        let mut world = World::new(seed);
        world.run();
        continued += world.continued;
        rejected += world.rejected;
    }
    println!(
        "of the streams that callers named in touch, {continued} went on and {rejected} did not"
    );
    assert!(rejected < continued);
}
