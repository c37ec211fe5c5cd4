//! Gateways, a hub and servers that ask for rest, leave and start again, on links that delay and lose.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::AttemptEnd;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::pool;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Notice;
use curlewlift_core::pool::Pool;
use curlewlift_core::unit::Tokens;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

use super::messages;

const STEP: Duration = Duration::from_millis(10);
const GATEWAYS: usize = 12;
pub(crate) const SERVERS: usize = 9;
/// How many requests each runs at once.
pub(crate) const SLOTS: usize = 7;
/// What is under way when a server asks for rest may come for so long.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// What a caller sends within so long after its gateway has passed on that a server leaves may still go there.
const DRAINED: Duration = Duration::from_secs(3);
/// How old a copy of the list may be.
const LAG: u64 = 800;
/// How long after a copy of the list the next one comes at the latest, some being lost.
const NEXT_COPY: u64 = 2_500;
/// How long after a server has first said that it leaves the list says so too, at the latest.
const LISTED_LATE: u64 = 1_000;
/// How long a request waits for a place.
const HELD: Duration = Duration::from_secs(1);

/// A part of the design that is left out, to see that the histories find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// A place that the hub gives is taken without a look at what the server said.
    NoLookAtPlace,
    /// A request is sent without a last look.
    NoLastLook,
    /// What a server says is kept in its entry of the list, and goes with the next copy.
    InTheList,
}

/// A time of rest that a server has asked a gateway for.
struct Rest {
    gateway: usize,
    from: Instant,
    until: Instant,
    came: u32,
}

struct Engine {
    /// Its life: the same name, another incarnation.
    life: u64,
    /// For how many milliseconds of rest it asks whoever comes; none while it serves.
    asks_for: Option<u64>,
    /// Of a hundred requests it turns so many away meanwhile.
    turns_away: u64,
    /// When requests came.
    came: Vec<Instant>,
    leaves: bool,
    rests: Vec<Rest>,
    /// By gateway, when it has passed on an answer that says so.
    told_leaving: BTreeMap<usize, Instant>,
}

impl Engine {
    fn new(life: u64) -> Self {
        Self {
            life,
            asks_for: None,
            turns_away: 100,
            came: Vec::new(),
            leaves: false,
            rests: Vec::new(),
            told_leaving: BTreeMap::new(),
        }
    }
}

struct Node {
    host: id::Host,
    pool: Pool,
    /// The last grant that it has got.
    mark: GrantId,
    cut: bool,
    /// Until when it is suspended.
    suspended: Instant,
    /// When it takes up the next copy of the list.
    next_copy: Instant,
}

/// Where a request is.
enum Stage {
    /// In line at the hub.
    InLine(Ticket),
    /// In line at its gateway.
    InLineHere(pool::Ticket),
    /// A place is on its way to the gateway.
    Granted(Grant),
    /// Its connection is being made.
    Connecting(Arc<Server>),
    /// On its way to the server.
    Sent(Arc<Server>),
    /// On its way back, with what the server says.
    Answered(Arc<Server>, AttemptOutcome, Vec<Notice>),
}

struct Request {
    gateway: usize,
    /// When its caller sent it.
    began: Instant,
    /// When its next stage is due.
    due: Instant,
    stage: Stage,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    nodes: Vec<Node>,
    hub: Option<Hub>,
    next_hub: Option<Instant>,
    engines: Vec<Engine>,
    /// Past lists, newest last.
    lists: Vec<(Instant, Arc<ServerList>)>,
    /// When the list next changes, where a server has begun to leave.
    listed_at: Option<Instant>,
    requests: Vec<Request>,
    random: ChaCha8Rng,
    flaw: Option<Flaw>,
    /// The most requests that came in a time of rest.
    pub(crate) most: u32,
    /// Requests that came after their gateway had passed on that the server leaves.
    pub(crate) after_leaving: u32,
    /// How often a server asked for rest.
    pub(crate) rests: u32,
    pub(crate) served: u32,
    /// Those that got no place in time.
    pub(crate) refused: u32,
    /// From a caller's sending to the answer, of all that were served.
    pub(crate) taken: Duration,
}

impl World {
    pub(crate) fn new(seed: u64, flaw: Option<Flaw>) -> Self {
        let mut world = Self {
            now: Instant::default() + Duration::from_secs(10),
            nodes: Vec::new(),
            hub: None,
            next_hub: None,
            engines: (0..SERVERS).map(|_| Engine::new(0)).collect(),
            lists: Vec::new(),
            listed_at: None,
            requests: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            flaw,
            most: 0,
            after_leaving: 0,
            rests: 0,
            served: 0,
            refused: 0,
            taken: Duration::ZERO,
        };
        world.nodes = (0..GATEWAYS).map(|place| world.node(place)).collect();
        world.lists.push((world.now, world.listing()));
        world.begin_hub();
        (0..GATEWAYS).for_each(|place| world.adopt(place));
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    fn place(&mut self, below: usize) -> usize {
        usize::try_from(self.draw(below as u64)).expect("few")
    }

    fn millis(&mut self, from: u64, below: u64) -> Duration {
        Duration::from_millis(from + self.draw(below))
    }

    fn node(&self, place: usize) -> Node {
        Node {
            host: format!("g{place}").parse().expect("a name"),
            pool: Pool::new(pool::Tuning::default(), place as u64),
            mark: GrantId::default(),
            cut: false,
            suspended: self.now,
            next_copy: self.now,
        }
    }

    fn server(&self, place: usize) -> Server {
        let engine = &self.engines[place];
        Server {
            incarnation: format!("s{place}/{}", engine.life).into(),
            name: format!("s{place}").into(),
            started_ms: engine.life,
            version: "v1".parse().expect("a version"),
            service: "chat".parse().expect("a name"),
            address: "127.0.0.1:1".parse().expect("an address"),
            hall: "a".into(),
            slots: u32::try_from(SLOTS).expect("few"),
            leaving: engine.leaves,
            cold: false,
        }
    }

    fn listing(&self) -> Arc<ServerList> {
        let servers = (0..SERVERS).map(|place| self.server(place));
        Arc::new(ServerList::new(servers.collect()))
    }

    /// A copy of the list as it was some time ago.
    fn copy(&mut self) -> Arc<ServerList> {
        let lag = self.millis(0, LAG);
        let at = self.now - lag;
        let mut copies = self.lists.iter().rev();
        let copy = copies.find(|(made, _)| *made <= at);
        copy.map_or_else(
            || Arc::clone(&self.lists[0].1),
            |(_, list)| Arc::clone(list),
        )
    }

    fn begin_hub(&mut self) {
        let number = self.random.next_u64();
        let mut hub = Hub::new(Tuning::default(), self.now).with_id(number);
        hub.set_server_list(self.copy());
        self.hub = Some(hub);
    }

    /// A gateway takes up a copy of the list.
    fn adopt(&mut self, place: usize) {
        let copy = self.copy();
        let servers = copy.servers.iter().cloned().map(Arc::new);
        let servers: Vec<_> = servers.collect();
        let forgets = self.flaw == Some(Flaw::InTheList);
        let fresh = self.node(place);
        let next_copy = self.now + self.millis(300, NEXT_COPY);
        let node = &mut self.nodes[place];
        node.next_copy = next_copy;
        if forgets {
            node.pool = fresh.pool;
        }
        node.pool.inherit_notices(&servers, self.now);
        node.pool.update_servers(servers);
    }

    /// The platform's list changes.
    fn change_list(&mut self) {
        self.lists.push((self.now, self.listing()));
    }

    /// The first `count` servers turn so many of a hundred requests away from now on, and ask for rest; with none they
    /// serve.
    pub(crate) fn ask_for_rest(&mut self, count: usize, millis: Option<u64>, turns_away: u64) {
        for engine in &mut self.engines[..count] {
            engine.asks_for = millis;
            engine.turns_away = turns_away;
        }
    }

    /// The most requests that came to one server within `length` since `from`.
    pub(crate) fn crowd(&self, from: Instant, length: Duration) -> usize {
        let within = |engine: &Engine| {
            let came = engine.came.iter().filter(|at| **at >= from);
            let came: Vec<_> = came.copied().collect();
            let crowd = |at: &Instant| {
                came.iter()
                    .filter(|other| **other >= *at && other.since(*at) < length)
                    .count()
            };
            came.iter().map(crowd).max().unwrap_or(0)
        };
        self.engines.iter().map(within).max().unwrap_or(0)
    }

    /// Something happens.
    pub(crate) fn disturb(&mut self) {
        let (place, engine) = (self.place(GATEWAYS), self.place(SERVERS));
        match self.draw(10) {
            0 => {
                self.hub = None;
                let pause = self.millis(0, 1_500);
                self.next_hub = Some(self.now + pause);
            }
            1 => self.restart(place),
            2 => self.nodes[place].suspended = self.now + self.millis(100, 5_000),
            3 => {
                let cut = !self.nodes[place].cut;
                self.nodes[place].cut = cut;
            }
            4 => {
                let life = self.engines[engine].life + 1;
                self.engines[engine] = Engine::new(life);
                self.change_list();
            }
            5 => {
                self.engines[engine].leaves = true;
                self.listed_at = Some(self.now + self.millis(0, LISTED_LATE));
            }
            6 => {
                let asks_for = Some(200 + self.draw(6_000));
                self.engines
                    .iter_mut()
                    .for_each(|engine| engine.asks_for = asks_for);
            }
            7 => self
                .engines
                .iter_mut()
                .for_each(|engine| engine.asks_for = None),
            _ => {
                let asks_for = (self.draw(4) > 0).then(|| 200 + self.draw(6_000));
                self.engines[engine].asks_for = asks_for;
            }
        }
    }

    /// A gateway's process starts again, and owes nothing.
    fn restart(&mut self, place: usize) {
        self.nodes[place] = self.node(place);
        self.requests.retain(|request| request.gateway != place);
        for engine in &mut self.engines {
            engine.rests.retain(|rest| rest.gateway != place);
            engine.told_leaving.remove(&place);
        }
        self.adopt(place);
    }

    /// Time passes, with so many requests in each step.
    pub(crate) fn go_on(&mut self, time: Duration, load: u64) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            if self.listed_at.take_if(|at| *at <= self.now).is_some() {
                self.change_list();
            }
            self.lead();
            for place in 0..GATEWAYS {
                let node = &self.nodes[place];
                if self.now >= node.next_copy.max(node.suspended) {
                    self.adopt(place);
                }
            }
            for _ in 0..load {
                let place = self.place(GATEWAYS);
                self.ask(place);
            }
            self.serve();
            let requests = std::mem::take(&mut self.requests);
            for request in requests {
                let next = self.advance(request);
                self.requests.extend(next);
            }
        }
    }

    fn lead(&mut self) {
        if self.next_hub.is_some_and(|at| at <= self.now) {
            self.next_hub = None;
            self.begin_hub();
        }
        if self.draw(50) == 0 {
            let copy = self.copy();
            if let Some(hub) = &mut self.hub {
                hub.set_server_list(copy);
            }
        }
    }

    fn hears(&self, place: usize) -> bool {
        self.hub.is_some() && !self.nodes[place].cut
    }

    /// A caller sends a request to a gateway.
    fn ask(&mut self, place: usize) {
        let now = self.now;
        if now < self.nodes[place].suspended {
            return;
        }
        let hears = self.hears(place);
        let node = &mut self.nodes[place];
        let stage = match &mut self.hub {
            Some(hub) if hears => match hub.request_slot(want(node, now), now) {
                SlotDecision::Queued(ticket, _) => Stage::InLine(ticket),
                _ => return,
            },
            _ => {
                let ask = pool::Request {
                    arrived: now,
                    send_by: now + HELD,
                    wait_until: now + HELD,
                    ..pool::Request::default()
                };
                Stage::InLineHere(node.pool.enqueue(ask, now).0)
            }
        };
        self.requests.push(Request {
            gateway: place,
            began: now,
            due: now + HELD,
            stage,
        });
    }

    /// Hub and gateways give places.
    fn serve(&mut self) {
        let now = self.now;
        let grants = self.hub.as_mut().map(|hub| hub.grant_slots(now));
        for (ticket, grant) in grants.into_iter().flatten() {
            let due = now + self.millis(2, 60);
            let is_its = |request: &&mut Request| matches!(&request.stage, Stage::InLine(own) if *own == ticket);
            if let Some(request) = self.requests.iter_mut().find(is_its) {
                request.stage = Stage::Granted(grant);
                request.due = due;
            }
        }
        for place in 0..GATEWAYS {
            if now < self.nodes[place].suspended {
                continue;
            }
            for turn in self.nodes[place].pool.assign(now) {
                let due = now + self.connecting();
                let is_its = |request: &&mut Request| {
                    let own =
                        matches!(&request.stage, Stage::InLineHere(own) if *own == turn.ticket);
                    own && request.gateway == place
                };
                if let Some(request) = self.requests.iter_mut().find(is_its) {
                    request.stage = Stage::Connecting(turn.server);
                    request.due = due;
                }
            }
        }
    }

    /// How long a connection takes to be made.
    fn connecting(&mut self) -> Duration {
        if self.draw(4) == 0 {
            self.millis(0, 700)
        } else {
            self.millis(1, 4)
        }
    }

    /// A request comes to its next stage, where that is due; none where it has ended.
    fn advance(&mut self, mut request: Request) -> Option<Request> {
        let now = self.now;
        let is_here = !matches!(request.stage, Stage::Sent(_));
        if now < request.due || (is_here && now < self.nodes[request.gateway].suspended) {
            return Some(request);
        }
        let place = request.gateway;
        (request.stage, request.due) = match request.stage {
            Stage::InLine(ticket) => {
                self.refused += 1;
                if let Some(hub) = &mut self.hub {
                    hub.cancel(&ticket, now);
                }
                return None;
            }
            Stage::InLineHere(ticket) => {
                self.refused += 1;
                self.nodes[place].pool.cancel(ticket);
                return None;
            }
            Stage::Granted(grant) => self.take(place, grant)?,
            Stage::Connecting(server) => self.send(place, server)?,
            Stage::Sent(server) => self.arrive(place, request.began, server),
            Stage::Answered(server, end, notices) => {
                if matches!(end, AttemptOutcome::Answered { .. }) {
                    self.served += 1;
                    self.taken += now.since(request.began);
                }
                self.hear(place, &server, end, notices);
                return None;
            }
        };
        Some(request)
    }

    fn take(&mut self, place: usize, grant: Grant) -> Option<(Stage, Instant)> {
        let (now, due) = (self.now, self.now + self.connecting());
        let server = Arc::new(grant.server);
        let looks = self.flaw != Some(Flaw::NoLookAtPlace);
        let node = &mut self.nodes[place];
        if grant.id.follows(node.mark) {
            node.mark = grant.id;
        }
        if !node.pool.accept_grant(&server, Tokens(0), now) && looks {
            self.report(place, &server, AttemptOutcome::Unknown);
            return None;
        }
        Some((Stage::Connecting(server), due))
    }

    fn send(&mut self, place: usize, server: Arc<Server>) -> Option<(Stage, Instant)> {
        let (now, due) = (self.now, self.now + self.millis(1, 4));
        let closes = self.nodes[place]
            .pool
            .get_notices()
            .excludes(&server.incarnation, now);
        if closes && self.flaw.is_none() {
            self.nodes[place].pool.finish_attempt(
                &server.incarnation,
                AttemptOutcome::Unknown,
                now,
            );
            return None;
        }
        Some((Stage::Sent(server), due))
    }

    fn arrive(&mut self, gateway: usize, began: Instant, server: Arc<Server>) -> (Stage, Instant) {
        let now = self.now;
        let due = now + self.millis(2, 400);
        let lot = self.draw(100);
        let is_its = |place: &usize| *server.name == format!("s{place}");
        let place = (0..SERVERS).find(is_its).expect("it is there");
        let engine = &mut self.engines[place];
        engine.came.push(now);
        for rest in &mut engine.rests {
            if rest.gateway == gateway && now > rest.from + UNDER_WAY && now < rest.until {
                rest.came += 1;
                self.most = self.most.max(rest.came);
            }
        }
        let told = engine.told_leaving.get(&gateway);
        if told.is_some_and(|told| began > *told + DRAINED) {
            self.after_leaving += 1;
        }
        let mut notices = Vec::new();
        if engine.leaves {
            notices.push(Notice::Draining);
        }
        let asks_for = engine.asks_for.filter(|_| lot < engine.turns_away);
        let Some(asks_for) = asks_for else {
            let end = AttemptOutcome::Answered {
                first_byte: Duration::from_millis(50),
                gap: None,
            };
            return (Stage::Answered(server, end, notices), due);
        };
        let length = Duration::from_millis(asks_for);
        let due = now + Duration::from_millis(3);
        self.rests += 1;
        engine.rests.push(Rest {
            gateway,
            from: now,
            until: now + length,
            came: 0,
        });
        notices.push(Notice::Backoff(length));
        (Stage::Answered(server, AttemptOutcome::Full, notices), due)
    }

    /// A gateway hears an answer.
    fn hear(
        &mut self,
        place: usize,
        server: &Arc<Server>,
        end: AttemptOutcome,
        notices: Vec<Notice>,
    ) {
        let now = self.now;
        for notice in notices {
            if notice == Notice::Draining {
                let is_its = |place: &usize| *server.name == format!("s{place}");
                let engine = (0..SERVERS).find(is_its).expect("it is there");
                let engine = &mut self.engines[engine];
                if engine.leaves {
                    engine.told_leaving.entry(place).or_insert(now);
                }
            }
            let told = match &notice {
                Notice::Backoff(length) => AttemptOutcome::Backoff(*length),
                _ => AttemptOutcome::Gone,
            };
            self.nodes[place].pool.record_notice(server, notice, now);
            self.report(place, server, told);
        }
        self.nodes[place]
            .pool
            .finish_attempt(&server.incarnation, end, now);
        self.report(place, server, end);
    }

    /// A gateway tells the hub how a sending ended, where that gets there.
    fn report(&mut self, place: usize, server: &Server, end: AttemptOutcome) {
        if !self.hears(place) || self.draw(4) == 0 {
            return;
        }
        let node = &self.nodes[place];
        let ended = AttemptEnd {
            service: server.service.clone(),
            incarnation: Arc::clone(&server.incarnation),
            rollout: None,
            outcome: end,
        };
        let report = Report {
            last_grant: node.mark,
            loads: node.pool.loads().collect(),
            ended: vec![ended],
            ..messages::report(&node.host)
        };
        if let Some(hub) = &mut self.hub {
            hub.report(&report, self.now);
        }
    }
}

fn want(node: &Node, now: Instant) -> SlotRequest {
    SlotRequest {
        avoid: node.pool.avoided(&[], now).collect(),
        backoffs: node.pool.get_notices().backing_off(now).collect(),
        allowed_halls: None,
        ..messages::slot_request(&node.host)
    }
}
