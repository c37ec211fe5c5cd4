//! Gateways, a hub, a log and servers, of which some requests end each that begins to run them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Gateway;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::quarantine::List;
use curlewlift_core::quarantine::LocalTracker;
use curlewlift_core::quarantine::Observation;
use curlewlift_core::quarantine::Rejection;
use curlewlift_core::quarantine::Step;
use curlewlift_core::state::Publication;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

use super::messages;

const STEP: Duration = Duration::from_millis(10);
const GATEWAYS: usize = 12;
const SERVERS: usize = 9;
/// How long a server that has ended is down.
const DOWN: Duration = Duration::from_secs(3);
/// How long a step takes to stand in the log.
const COMMIT: Duration = Duration::from_millis(20);
/// After how long without trouble a gateway is bound by the number of sendings.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);

/// What a request is made to do to its server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Play {
    /// Ends it.
    End,
    /// Is answered.
    Answer,
}

struct Node {
    host: id::Host,
    quarantine: LocalTracker,
    /// Since when it hears the hub; none while it does not.
    hears: Option<Instant>,
    cut: bool,
    /// Until when it is suspended.
    suspended: Option<Instant>,
}

impl Node {
    fn new(place: usize) -> Self {
        Self {
            host: format!("g{place}").parse().expect("a name"),
            quarantine: LocalTracker::default(),
            hears: None,
            cut: false,
            suspended: None,
        }
    }
}

/// A request that a server runs.
struct Running {
    gateway: usize,
    identity: Identity,
    server: Arc<str>,
    permit: Option<u64>,
    play: Play,
    ends: Instant,
}

/// What came of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Came {
    Sent,
    Withheld(Rejection),
    NoServer,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    nodes: Vec<Node>,
    hub: Option<Hub>,
    next_hub: Option<Instant>,
    list: List,
    commit: Option<(Instant, Vec<Step>)>,
    /// By place: its life, and until when it is down.
    servers: Vec<(u64, Instant)>,
    running: Vec<Running>,
    random: ChaCha8Rng,
    /// Of a hundred messages so many are lost.
    pub(crate) lost: u64,
    /// How many servers have ended under a request, and when the third did.
    pub(crate) ended: BTreeMap<Identity, Vec<Instant>>,
    /// When each sending of a request was made by a gateway that is bound.
    pub(crate) sent: BTreeMap<Identity, Vec<Instant>>,
    /// Requests that broke off under the end of a server, and end none themselves.
    pub(crate) broken: Vec<Identity>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Instant::default() + CONTACT,
            nodes: (0..GATEWAYS).map(Node::new).collect(),
            hub: None,
            next_hub: None,
            list: List::default(),
            commit: None,
            servers: vec![(0, Instant::default()); SERVERS],
            running: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            lost: 0,
            ended: BTreeMap::new(),
            sent: BTreeMap::new(),
            broken: Vec::new(),
        };
        world.begin_hub();
        world.go_on(CONTACT * 2);
        world
    }

    pub(crate) fn draw(&mut self, below: usize) -> usize {
        usize::try_from(self.random.next_u64() % below as u64).expect("few")
    }

    fn name(&self, place: usize) -> Arc<str> {
        format!("s{place}-{}", self.servers[place].0).into()
    }

    fn listing(&self) -> Arc<ServerList> {
        let up = (0..SERVERS).filter(|place| self.servers[*place].1 <= self.now);
        let servers = up.map(|place| Server {
            incarnation: self.name(place),
            name: self.name(place),
            started_ms: 0,
            version: "v1".parse().expect("a version"),
            service: "chat".parse().expect("a name"),
            address: "127.0.0.1:1".parse().expect("an address"),
            hall: "a".into(),
            slots: 1_000,
            leaving: false,
            cold: false,
        });
        Arc::new(ServerList::new(servers.collect()))
    }

    fn begin_hub(&mut self) {
        let number = self.random.next_u64();
        let mut hub = Hub::new(Tuning::default(), self.now).with_id(number);
        hub.apply_quarantine(&self.list, self.now);
        hub.set_server_list(self.listing());
        self.hub = Some(hub);
    }

    /// The hub ends, and another begins soon.
    pub(crate) fn change_hub(&mut self) {
        self.hub = None;
        let pause = Duration::from_millis(self.draw(2_000) as u64);
        self.next_hub = Some(self.now + pause);
        if let Some((_, steps)) = self.commit.take()
            && self.draw(2) == 0
        {
            for step in &steps {
                self.list.apply(step);
            }
        }
        self.nodes.iter_mut().for_each(|node| node.hears = None);
    }

    /// All processes end, and forget what does not stand in the log.
    pub(crate) fn lose_all(&mut self) {
        self.change_hub();
        self.running.clear();
        self.nodes = (0..GATEWAYS).map(Node::new).collect();
    }

    /// Something happens to some of the hosts.
    pub(crate) fn disturb(&mut self) {
        let place = self.draw(GATEWAYS);
        match self.draw(6) {
            0 => self.change_hub(),
            1 => self.lose_all(),
            2 => self.nodes[place].cut = !self.nodes[place].cut,
            3 => {
                self.nodes[place] = Node::new(place);
                self.running.retain(|running| running.gateway != place);
            }
            4 => {
                let length = Duration::from_millis(500 + self.draw(6_000) as u64);
                self.nodes[place].suspended = Some(self.now + length);
                self.nodes[place].hears = None;
            }
            _ => self.lost = self.draw(50) as u64,
        }
    }

    /// Nothing is wrong any more.
    pub(crate) fn heal(&mut self) {
        self.lost = 0;
        for node in &mut self.nodes {
            node.cut = false;
            node.suspended = None;
        }
    }

    pub(crate) fn go_on(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            self.lead();
            self.end_some();
            (0..GATEWAYS).for_each(|place| self.sync(place));
        }
    }

    fn lead(&mut self) {
        let now = self.now;
        if self.next_hub.is_some_and(|at| at <= now) {
            self.next_hub = None;
            self.begin_hub();
        }
        let listing = self.listing();
        let Some(hub) = &mut self.hub else {
            return;
        };
        if hub.get_server_list().version != listing.version {
            hub.set_server_list(listing);
        }
        if let Some((_, steps)) = self.commit.take_if(|(due, _)| *due <= now) {
            for step in &steps {
                self.list.apply(step);
            }
            hub.apply_quarantine(&self.list, now);
        }
        hub.tick(now);
        let steps = hub.propose_quarantine_steps(now);
        if !steps.is_empty() {
            self.commit = Some((now + COMMIT, steps));
        }
    }

    /// Requests are answered, or end their servers and what runs beside them.
    fn end_some(&mut self) {
        let now = self.now;
        let due = |running: &mut Running| running.ends <= now;
        let due: Vec<_> = self.running.extract_if(.., due).collect();
        for running in due {
            if running.play == Play::Answer {
                self.answered(running);
            } else if self.is_up(&running.server) {
                self.end(running);
            }
        }
    }

    fn is_up(&self, server: &Arc<str>) -> bool {
        (0..SERVERS).any(|place| self.name(place) == *server)
    }

    fn answered(&mut self, running: Running) {
        let now = self.now;
        let quarantine = &mut self.nodes[running.gateway].quarantine;
        quarantine.record_completion(running.identity, running.permit, now);
        self.report(running.gateway);
    }

    fn end(&mut self, cause: Running) {
        let now = self.now;
        let place = (0..SERVERS).find(|place| self.name(*place) == cause.server);
        let place = place.expect("it is up");
        self.servers[place].0 += 1;
        self.servers[place].1 = now + DOWN;
        let ends = self.ended.entry(cause.identity.clone()).or_default();
        ends.push(now);
        let server = Arc::clone(&cause.server);
        let beside = |running: &mut Running| running.server == server;
        let mut broken: Vec<_> = self.running.extract_if(.., beside).collect();
        broken.push(cause);
        for broken in broken {
            let quarantine = &mut self.nodes[broken.gateway].quarantine;
            quarantine.record_crash(broken.identity.clone(), broken.permit, &server, now);
            self.report(broken.gateway);
            if broken.play == Play::Answer {
                self.broken.push(broken.identity);
            }
        }
    }

    /// Whether a gateway and the hub hear each other this time.
    fn is_heard(&mut self, place: usize) -> bool {
        let is_lost = (self.draw(100) as u64) < self.lost;
        let (node, now) = (&self.nodes[place], self.now);
        let is_awake = node.suspended.is_none_or(|until| until <= now);
        self.hub.is_some() && !node.cut && is_awake && !is_lost
    }

    fn report(&mut self, place: usize) {
        if !self.is_heard(place) {
            return;
        }
        let node = &self.nodes[place];
        let report = Report {
            observations: node.quarantine.get_evidence().unacknowledged().0,
            ..messages::report(&node.host)
        };
        if let Some(hub) = &mut self.hub {
            hub.report(&report, self.now);
        }
    }

    /// A gateway asks the hub what is new, ten times a second.
    fn sync(&mut self, place: usize) {
        if self.draw(10) != 0 {
            return;
        }
        if !self.is_heard(place) {
            let node = &mut self.nodes[place];
            if self.hub.is_none() || node.cut || node.suspended.is_some() {
                node.hears = None;
            }
            return;
        }
        let node = &mut self.nodes[place];
        node.suspended = None;
        let (observed, upto) = node.quarantine.get_evidence().unacknowledged();
        let question = question(node, observed);
        let Some(hub) = &mut self.hub else {
            return;
        };
        hub.on_poll(&question, self.now);
        let reply = hub.reply(&question, &Publication::default(), self.now);
        // The answer is lost as often as the question.
        if !self.is_heard(place) {
            return;
        }
        let node = &mut self.nodes[place];
        node.quarantine.acknowledge(reply.hub_id, upto);
        if let Some(news) = &reply.quarantine {
            node.quarantine.apply_update(news);
        }
        node.hears.get_or_insert(self.now);
    }

    /// A try of a request at a gateway.
    pub(crate) fn ask(&mut self, place: usize, identity: &Identity, play: Play) -> Came {
        let is_awake = self.nodes[place].suspended.is_none();
        if !is_awake {
            return Came::NoServer;
        }
        let came = if self.nodes[place].hears.is_some() && self.is_heard(place) {
            self.ask_hub(place, identity)
        } else {
            self.choose_alone(place, identity)
        };
        match came {
            Ok((server, permit)) => {
                self.send(place, identity, play, server, permit);
                Came::Sent
            }
            Err(came) => came,
        }
    }

    fn ask_hub(
        &mut self,
        place: usize,
        identity: &Identity,
    ) -> Result<(Arc<str>, Option<u64>), Came> {
        let node = &self.nodes[place];
        let want = want(node, identity);
        let now = self.now;
        let hub = self.hub.as_mut().expect("it is heard");
        let ticket = match hub.request_slot(want, now) {
            SlotDecision::Queued(ticket, _) => ticket,
            SlotDecision::Rejected(why) => return Err(Came::Withheld(why)),
            _ => return Err(Came::NoServer),
        };
        let served = hub.grant_slots(now).into_iter();
        let mut grants = served.filter(|(served, _)| *served == ticket);
        if let Some((_, grant)) = grants.next() {
            return Ok((grant.server.incarnation, grant.permit));
        }
        hub.cancel(&ticket, now);
        Err(Came::NoServer)
    }

    fn choose_alone(
        &mut self,
        place: usize,
        identity: &Identity,
    ) -> Result<(Arc<str>, Option<u64>), Came> {
        if !self.nodes[place].quarantine.may_send(identity) {
            return Err(Came::Withheld(Rejection::Quarantined));
        }
        let server = self.draw(SERVERS);
        let is_up = self.servers[server].1 <= self.now;
        if is_up {
            Ok((self.name(server), None))
        } else {
            Err(Came::NoServer)
        }
    }

    fn send(
        &mut self,
        place: usize,
        identity: &Identity,
        play: Play,
        server: Arc<str>,
        permit: Option<u64>,
    ) {
        let lasts = Duration::from_millis(30 + self.draw(800) as u64);
        let hears = self.nodes[place].hears;
        if hears.is_some_and(|since| self.now.since(since) >= CONTACT) {
            let sent = self.sent.entry(identity.clone()).or_default();
            sent.push(self.now);
        }
        self.running.push(Running {
            gateway: place,
            identity: identity.clone(),
            server,
            permit,
            play,
            ends: self.now + lasts,
        });
    }

    /// How often a request was sent by gateways that are bound, later than that after its third server ended.
    pub(crate) fn sent_past(&self, identity: &Identity, after: Duration) -> usize {
        let third = self.ended.get(identity).and_then(|ends| ends.get(2));
        let (Some(third), Some(sent)) = (third, self.sent.get(identity)) else {
            return 0;
        };
        sent.iter().filter(|at| **at > *third + after).count()
    }
}

fn question(node: &Node, observations: Vec<Observation>) -> Poll {
    Poll {
        gateway: Gateway {
            hall: "a".into(),
            callers: "127.0.0.1:80".parse().expect("an address"),
        },
        quarantine_version: node.quarantine.get_version(),
        observations,
        ..messages::poll(&node.host)
    }
}

fn want(node: &Node, identity: &Identity) -> SlotRequest {
    SlotRequest {
        identity: identity.clone(),
        observations: node.quarantine.get_evidence().unacknowledged_for(identity),
        ..messages::slot_request(&node.host)
    }
}
