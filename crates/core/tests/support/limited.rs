//! Gateways, hubs and servers that name limits, on links that delay and lose.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Reply;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::limit::Announcement;
use curlewlift_core::limit::Change;
use curlewlift_core::limit::Key;
use curlewlift_core::limit::LocalReports;
use curlewlift_core::pool;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Pool;
use curlewlift_core::state::Publication;
use curlewlift_core::unit::Tokens;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

use super::messages;

const STEP: Duration = Duration::from_millis(10);
const GATEWAYS: usize = 12;
pub(crate) const SERVERS: usize = 9;
const SLOTS: u32 = 7;
/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long after a server first named its limit the count begins.
const HEARD_OF: Duration = Duration::from_secs(3);
/// How long after a gateway has passed on such an answer what comes from it counts.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// What may come within [`WINDOW`]: so many times the rate, and so many more.
const ALLOWED: (f64, f64) = (6.0, 5.0);
/// How long a request waits for a place.
const HELD: Duration = Duration::from_secs(1);
/// How long a gateway goes by a hub's last answer.
const HEARD: Duration = Duration::from_millis(500);
/// What the hub's word on a place may take beyond that.
const ON_ITS_WAY: Duration = Duration::from_millis(40);
/// How long an answer of the hub may take.
const CALL: Duration = Duration::from_millis(600);
/// What servers name, of which some make no sense.
const FIGURES: [&str; 11] = [
    "0", "0.2", "1", "2.9", "3.1", "8", "40", "1e9", "-3", "NaN", "few",
];

/// A part of the design that is left out, to see that the histories find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// A place that was not drawn is taken without a look at what is known of the server's limit.
    NoLookAtPlace,
    /// It is sent without a last look.
    NoLastLook,
    /// A gateway without a hub goes by its own choice as if no server had a limit.
    Alone,
    /// Any answer that names no limit lifts it, also an older one.
    AnyLifts,
}

/// A limit that an engine named in an answer.
struct Named {
    at: Instant,
    rate: f64,
    /// When a gateway passed that answer on.
    heard: Option<Instant>,
}

struct Engine {
    life: u64,
    limit: Option<&'static str>,
    /// Whether it names another limit in each answer.
    changes: bool,
    /// When it first named one of those that it names now.
    first: Option<Instant>,
    /// When gateways have passed on such an answer.
    told: BTreeMap<usize, Instant>,
    named: Vec<Named>,
    came: Vec<(Instant, usize)>,
}

impl Engine {
    fn new(life: u64) -> Self {
        Self {
            life,
            limit: None,
            changes: false,
            first: None,
            told: BTreeMap::new(),
            named: Vec::new(),
            came: Vec::new(),
        }
    }

    fn name(&mut self, limit: Option<&'static str>) {
        let is_other = limit.is_none() || self.limit.is_none();
        self.limit = limit;
        if is_other {
            self.first = None;
            self.told.clear();
            self.named.clear();
        }
    }

    /// The largest limit that held at some time in the span that ends now: one holds until what was under way has come
    /// once a gateway has passed on a later one.
    fn most_named(&self, now: Instant) -> f64 {
        let (mut most, mut superseded) = (0.0_f64, None);
        for named in self.named.iter().rev() {
            if superseded.is_some_and(|at| now.since(at) >= WINDOW) {
                break;
            }
            most = most.max(named.rate);
            let heard = named.heard.map(|heard| heard + UNDER_WAY);
            superseded = superseded.into_iter().chain(heard).min();
        }
        most
    }

    /// By how many requests it got more than it may, in the span that ends now.
    fn beyond(&self, now: Instant) -> f64 {
        if self.first.is_none_or(|first| now < first + HEARD_OF) {
            return 0.0;
        }
        let lately = |at: &Instant| now.since(*at) < WINDOW;
        let was_told = |(at, gateway): &&(Instant, usize)| {
            let told = self.told.get(gateway);
            told.is_some_and(|told| *at >= *told + UNDER_WAY) && lately(at)
        };
        let came = self.came.iter().rev().take(1_000).filter(was_told).count();
        let most = self.most_named(now);
        f64::from(u32::try_from(came).expect("few")) - most * ALLOWED.0 - ALLOWED.1
    }
}

struct Node {
    host: id::Host,
    pool: Pool,
    limits: LocalReports,
    /// The hub by which it goes, and when that was last heard.
    hub: Option<(u64, Instant)>,
    cut: bool,
    suspended: Instant,
    /// When it asks the hub next.
    asks: Instant,
}

/// Where a request is.
enum Stage {
    /// On its way to the hub.
    Wanted,
    InLine(Ticket),
    InLineHere(pool::Ticket),
    Granted(Grant),
    /// Its connection is being made.
    Connecting(Arc<Server>, Option<Grant>, Instant),
    Sent(Arc<Server>, Option<Grant>, Instant, Instant),
    /// On its way back, with what the server says.
    Answered(Arc<Server>, GrantId, Instant, Word, AttemptOutcome),
}

/// What an answer says of its server's limit, and which life of the server said it.
struct Word {
    said: Announcement,
    life: u64,
    at: Instant,
}

struct Request {
    gateway: usize,
    /// When its place was asked for.
    asked: Instant,
    due: Instant,
    tried: Vec<Arc<str>>,
    stage: Stage,
}

/// A question of a gateway on its way, or the answer to it.
struct Talk {
    gateway: usize,
    asked: Instant,
    due: Instant,
    told: u64,
    says: Says,
}

enum Says {
    Asks(Box<Poll>),
    Answers(Box<Reply>),
}

pub(crate) struct World {
    pub(crate) now: Instant,
    nodes: Vec<Node>,
    /// With its number.
    hub: Option<(u64, Hub)>,
    next_hub: Option<Instant>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    talks: Vec<Talk>,
    random: ChaCha8Rng,
    flaw: Option<Flaw>,
    /// By how many requests a server got more than it may, at most.
    pub(crate) beyond: f64,
    /// Requests that a gateway sent without a place that was drawn, though it had been told.
    pub(crate) undrawn: u32,
    /// How many came while their server named a limit.
    pub(crate) limited: u32,
    pub(crate) served: u32,
    pub(crate) refused: u32,
}

impl World {
    pub(crate) fn new(seed: u64, flaw: Option<Flaw>) -> Self {
        let now = Instant::default() + Duration::from_secs(10);
        let mut world = Self {
            now,
            nodes: Vec::new(),
            hub: None,
            next_hub: Some(now),
            engines: (0..SERVERS).map(|_| Engine::new(0)).collect(),
            requests: Vec::new(),
            talks: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            flaw,
            beyond: f64::MIN,
            undrawn: 0,
            limited: 0,
            served: 0,
            refused: 0,
        };
        world.nodes = (0..GATEWAYS).map(|place| world.node(place)).collect();
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

    fn node(&mut self, place: usize) -> Node {
        let mut pool = Pool::new(pool::Tuning::default(), place as u64);
        pool.update_servers(self.servers());
        Node {
            host: format!("g{place}").parse().expect("a name"),
            pool,
            limits: LocalReports::new(self.random.next_u64()),
            hub: None,
            cut: false,
            suspended: self.now,
            asks: self.now,
        }
    }

    fn servers(&self) -> Vec<Arc<Server>> {
        let servers = self.engines.iter().enumerate();
        let servers = servers.map(|(place, engine)| Server {
            slots: SLOTS,
            ..super::incarnations::incarnation(&format!("s{place}"), engine.life)
        });
        servers.map(Arc::new).collect()
    }

    fn begin_hub(&mut self) {
        let number = self.random.next_u64();
        let mut hub = Hub::new(Tuning::default(), self.now).with_id(number);
        hub.set_server_list(self.listing());
        self.hub = Some((number, hub));
    }

    fn listing(&self) -> Arc<ServerList> {
        let servers = self.servers().into_iter();
        Arc::new(ServerList::new(
            servers.map(|server| Server::clone(&server)).collect(),
        ))
    }

    /// The first `count` servers name this limit from now on; with none they name none.
    pub(crate) fn name(&mut self, count: usize, limit: Option<&'static str>) {
        for engine in &mut self.engines[..count] {
            engine.name(limit);
        }
    }

    /// Whether a gateway takes a server for limited.
    pub(crate) fn is_limited_anywhere(&self) -> bool {
        self.nodes
            .iter()
            .any(|node| node.limits.all_limits().next().is_some())
    }

    /// The hub is gone, and another one begins after so long.
    pub(crate) fn change_hub(&mut self, pause: Duration) {
        self.hub = None;
        self.next_hub = Some(self.now + pause);
    }

    /// All that was cut off, suspended or without a hub is no more.
    pub(crate) fn calm(&mut self) {
        for node in &mut self.nodes {
            node.cut = false;
            node.suspended = self.now;
        }
        if self.hub.is_none() {
            self.next_hub = Some(self.now);
        }
    }

    /// Something happens.
    pub(crate) fn disturb(&mut self) {
        let (place, engine) = (self.place(GATEWAYS), self.place(SERVERS));
        let figure = FIGURES[self.place(FIGURES.len())];
        match self.draw(12) {
            0 | 1 => {
                let pause = self.millis(0, 2_500);
                self.change_hub(pause);
            }
            2 => {
                self.nodes[place] = self.node(place);
                self.requests.retain(|request| request.gateway != place);
                self.talks.retain(|talk| talk.gateway != place);
                for engine in &mut self.engines {
                    engine.told.remove(&place);
                }
            }
            3 => self.nodes[place].suspended = self.now + self.millis(100, 5_000),
            4 => self.nodes[place].cut = !self.nodes[place].cut,
            5 => {
                let life = self.engines[engine].life + 1;
                let limit = self.engines[engine]
                    .limit
                    .filter(|_| life.is_multiple_of(2));
                self.engines[engine] = Engine::new(life);
                self.engines[engine].name(limit);
                self.adopt();
            }
            6 => self.name(SERVERS, Some(figure)),
            7 => self.name(SERVERS, None),
            8 => self.engines[engine].name(None),
            9 => self.engines[engine].changes = !self.engines[engine].changes,
            _ => self.engines[engine].name(Some(figure)),
        }
    }

    /// All take up the list of now.
    fn adopt(&mut self) {
        let (servers, listing) = (self.servers(), self.listing());
        for place in 0..GATEWAYS {
            let node = &mut self.nodes[place];
            node.pool.update_servers(servers.clone());
            let servers = servers.iter().map(|server| &**server);
            let met = node.limits.observe_servers(servers, self.now);
            self.limit(place, met);
        }
        if let Some((_, hub)) = &mut self.hub {
            hub.set_server_list(listing);
        }
    }

    /// Time passes, with so many requests in each step.
    pub(crate) fn go_on(&mut self, time: Duration, load: u64) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            if self.next_hub.take_if(|at| *at <= self.now).is_some() {
                self.begin_hub();
            }
            if let Some((_, hub)) = &mut self.hub {
                hub.tick(self.now);
                hub.publish_limits(self.now);
            }
            self.talk();
            for _ in 0..load {
                let place = self.place(GATEWAYS);
                if self.now >= self.nodes[place].suspended {
                    let request = self.ask(place, Vec::new());
                    self.requests.push(request);
                }
            }
            self.serve();
            for request in std::mem::take(&mut self.requests) {
                let next = self.advance(request);
                self.requests.extend(next);
            }
        }
    }

    /// Gateways ask the hub what is new, each one question after the other.
    fn talk(&mut self) {
        for place in 0..GATEWAYS {
            if self.now < self.nodes[place].asks.max(self.nodes[place].suspended) {
                continue;
            }
            // One that gets no answer in time is given up.
            self.talks.retain(|talk| talk.gateway != place);
            let due = self.now + self.millis(1, 30);
            let node = &mut self.nodes[place];
            node.asks = self.now + CALL;
            let question = Poll {
                limit_reports: node.limits.pending_reports(),
                limits_version: node.limits.get_table_version(),
                ..messages::poll(&node.host)
            };
            self.talks.push(Talk {
                gateway: place,
                asked: self.now,
                due,
                told: node.limits.get_last_number(),
                says: Says::Asks(Box::new(question)),
            });
        }
        for talk in std::mem::take(&mut self.talks) {
            if self.now < talk.due {
                self.talks.push(talk);
            } else if self.draw(10) > 0 && !self.nodes[talk.gateway].cut {
                self.say(talk);
            }
        }
    }

    fn say(&mut self, talk: Talk) {
        let now = self.now;
        let due = now + self.millis(1, 300);
        match talk.says {
            Says::Asks(question) => {
                let Some((_, hub)) = &mut self.hub else {
                    return;
                };
                hub.on_poll(&question, now);
                let reply = hub.reply(&question, &Publication::default(), now);
                let says = Says::Answers(Box::new(reply));
                self.talks.push(Talk { due, says, ..talk });
            }
            Says::Answers(reply) => {
                let is_here = now >= self.nodes[talk.gateway].suspended;
                if is_here && now.since(talk.asked) < CALL {
                    self.hear_hub(talk.gateway, &reply, talk.told);
                }
            }
        }
    }

    fn hear_hub(&mut self, place: usize, reply: &Reply, told: u64) {
        let now = self.now;
        let pause = self.millis(15, 200);
        let node = &mut self.nodes[place];
        node.asks = now + pause;
        node.hub = Some((reply.hub_id, now));
        let news = reply.limits.as_ref();
        let changes = node.limits.apply_reply(reply.hub_id, told, news, now);
        self.limit(place, changes);
    }

    fn limit(&mut self, place: usize, changes: Vec<Change>) {
        if self.flaw == Some(Flaw::Alone) {
            return;
        }
        let pool = &mut self.nodes[place].pool;
        for Change { key, limit } in changes {
            pool.set_limit(&key, limit.as_ref(), self.now);
        }
    }

    /// Whether a gateway asks the hub for places.
    fn hears(&self, place: usize) -> bool {
        let node = &self.nodes[place];
        node.hub.is_some_and(|(_, at)| self.now.since(at) < HEARD)
    }

    /// A request comes to a gateway, or is to be sent again.
    fn ask(&mut self, place: usize, tried: Vec<Arc<str>>) -> Request {
        let now = self.now;
        let (due, stage) = if self.hears(place) {
            (now + self.millis(1, 20), Stage::Wanted)
        } else {
            let ask = pool::Request {
                arrived: now,
                send_by: now + HELD,
                wait_until: now + HELD,
                tried: tried.clone(),
                ..pool::Request::default()
            };
            let ticket = self.nodes[place].pool.enqueue(ask, now).0;
            (now + HELD, Stage::InLineHere(ticket))
        };
        Request {
            gateway: place,
            asked: now,
            due,
            tried,
            stage,
        }
    }

    /// Hub and gateways give places.
    fn serve(&mut self) {
        let now = self.now;
        let (mut grants, mut hopeless) = (Vec::new(), Vec::new());
        if let Some((_, hub)) = &mut self.hub {
            grants = hub.grant_slots(now);
            hopeless = hub.reject_doomed(now);
        }
        let is_hopeless = |request: &Request| matches!(&request.stage, Stage::InLine(own) if hopeless.contains(own));
        let refused = self.requests.extract_if(.., |request| is_hopeless(request));
        self.refused += u32::try_from(refused.count()).expect("few");
        for (ticket, grant) in grants {
            let due = now + self.millis(1, 60);
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
                    request.stage = Stage::Connecting(turn.server, None, now);
                    request.due = due;
                }
            }
        }
    }

    /// How long a connection takes to be made.
    fn connecting(&mut self) -> Duration {
        if self.draw(8) == 0 {
            self.millis(0, 700)
        } else {
            self.millis(1, 4)
        }
    }

    /// A request comes to its next stage, where that is due; none where it has ended.
    fn advance(&mut self, request: Request) -> Option<Request> {
        let now = self.now;
        let is_here = !matches!(request.stage, Stage::Sent(..));
        if now < request.due || (is_here && now < self.nodes[request.gateway].suspended) {
            return Some(request);
        }
        let (place, asked, tried) = (request.gateway, request.asked, request.tried);
        let (stage, due) = match request.stage {
            Stage::Wanted => self.line_up(place, &tried)?,
            Stage::InLine(ticket) => {
                self.refused += 1;
                if let Some((_, hub)) = &mut self.hub {
                    hub.cancel(&ticket, now);
                }
                return None;
            }
            Stage::InLineHere(ticket) => {
                self.refused += 1;
                self.nodes[place].pool.cancel(ticket);
                return None;
            }
            Stage::Granted(grant) => self.take(place, grant, asked)?,
            Stage::Connecting(server, grant, given) => {
                if now.since(given) >= Duration::from_millis(750) {
                    // The host was suspended: its connection has timed out.
                    self.ended(place, &server, AttemptOutcome::Unknown);
                    return None;
                }
                self.send(place, server, grant, given)?
            }
            Stage::Sent(server, grant, given, sent) => {
                let is_drawn = grant.as_ref().is_some_and(|grant| grant.charged_to_limit);
                let mark = grant.map_or(GrantId::default(), |grant| grant.id);
                self.undrawn += u32::from(!is_drawn && self.was_told(place, &server, sent));
                self.arrive(place, server, mark, given)
            }
            Stage::Answered(server, mark, given, word, end) => {
                self.hear(place, &server, &word, mark, given);
                self.ended(place, &server, end);
                let again = end == AttemptOutcome::Failed && tried.len() < 2;
                if again {
                    let tried = [tried, vec![Arc::clone(&server.incarnation)]].concat();
                    return Some(self.ask(place, tried));
                }
                self.served += u32::from(end != AttemptOutcome::Failed);
                return None;
            }
        };
        Some(Request {
            gateway: place,
            asked,
            due,
            tried,
            stage,
        })
    }

    fn line_up(&mut self, place: usize, tried: &[Arc<str>]) -> Option<(Stage, Instant)> {
        let now = self.now;
        let node = &self.nodes[place];
        let want = SlotRequest {
            tried: tried.to_vec(),
            ..messages::slot_request(&node.host)
        };
        // It is sent to whoever leads at the address that answered last.
        let hub = self.hub.as_mut().filter(|_| !node.cut);
        if let Some(SlotDecision::Queued(ticket, _)) =
            hub.map(|(_, hub)| hub.request_slot(want, now))
        {
            return Some((Stage::InLine(ticket), now + HELD));
        }
        self.refused += 1;
        None
    }

    fn take(&mut self, place: usize, grant: Grant, asked: Instant) -> Option<(Stage, Instant)> {
        let (now, due) = (self.now, self.now + self.connecting());
        // A host that was suspended finds a place that is long past.
        let is_late = now.since(asked) > HELD + ON_ITS_WAY;
        let looks = self.flaw != Some(Flaw::NoLookAtPlace);
        let server = Arc::new(grant.server.clone());
        let node = &mut self.nodes[place];
        let is_beyond = !grant.charged_to_limit && node.limits.blocks(&server, grant.id);
        let is_beyond = is_beyond && looks;
        if is_late || is_beyond || !node.pool.accept_grant(&server, Tokens(0), now) {
            self.refused += 1;
            self.report(place);
            return None;
        }
        Some((Stage::Connecting(server, Some(grant), now), due))
    }

    fn send(
        &mut self,
        place: usize,
        server: Arc<Server>,
        grant: Option<Grant>,
        given: Instant,
    ) -> Option<(Stage, Instant)> {
        let due = self.now + self.millis(1, 4);
        let is_drawn = grant.as_ref().is_some_and(|grant| grant.charged_to_limit);
        let mark = grant.as_ref().map_or(GrantId::default(), |grant| grant.id);
        let is_beyond = !is_drawn && self.nodes[place].limits.blocks(&server, mark);
        let looks = !matches!(
            self.flaw,
            Some(Flaw::NoLastLook | Flaw::NoLookAtPlace | Flaw::Alone)
        );
        if is_beyond && looks {
            self.refused += 1;
            self.ended(place, &server, AttemptOutcome::Unknown);
            return None;
        }
        Some((Stage::Sent(server, grant, given, self.now), due))
    }

    /// Whether a gateway had passed on an answer of a server with its limit, which it still names, before it sent to it.
    fn was_told(&self, place: usize, server: &Server, sent: Instant) -> bool {
        let is_its = |place: &usize| *server.name == format!("s{place}");
        let engine = (0..SERVERS).find(is_its).expect("it is there");
        let engine = &self.engines[engine];
        let told = engine.told.get(&place);
        engine.limit.is_some() && told.is_some_and(|told| *told < sent)
    }

    fn arrive(
        &mut self,
        gateway: usize,
        server: Arc<Server>,
        mark: GrantId,
        given: Instant,
    ) -> (Stage, Instant) {
        let now = self.now;
        // Some wait in their server's own line.
        let longest = if self.draw(20) == 0 { 6_000 } else { 400 };
        let due = now + self.millis(2, longest);
        let end = if self.draw(10) == 0 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered {
                first_byte: Duration::from_millis(50),
                gap: None,
            }
        };
        let other = FIGURES[self.place(FIGURES.len())];
        let is_its = |place: &usize| *server.name == format!("s{place}");
        let place = (0..SERVERS).find(is_its).expect("it is there");
        let engine = &mut self.engines[place];
        engine.came.push((now, gateway));
        self.beyond = self.beyond.max(engine.beyond(now));
        let life = engine.life;
        let Some(limit) = engine.limit else {
            let said = Announcement::NoLimit;
            let word = Word {
                said,
                life,
                at: now,
            };
            return (Stage::Answered(server, mark, given, word, end), due);
        };
        self.limited += 1;
        let limit = if engine.changes { other } else { limit };
        let said = match limit.parse() {
            Ok(rate) => Announcement::Limited(rate),
            Err(_) => Announcement::Invalid(limit.to_owned()),
        };
        if let Announcement::Limited(rate) = &said {
            engine.first.get_or_insert(now);
            engine.named.push(Named {
                at: now,
                rate: rate.as_f64(),
                heard: None,
            });
        }
        let word = Word {
            said,
            life,
            at: now,
        };
        (Stage::Answered(server, mark, given, word, end), due)
    }

    /// A gateway hears an answer.
    fn hear(
        &mut self,
        place: usize,
        server: &Arc<Server>,
        word: &Word,
        mark: GrantId,
        given: Instant,
    ) {
        let now = self.now;
        let is_its = |place: &usize| *server.name == format!("s{place}");
        let engine = (0..SERVERS).find(is_its).expect("it is there");
        let engine = &mut self.engines[engine];
        let is_its_own = word.life == engine.life && engine.limit.is_some();
        if matches!(word.said, Announcement::Limited(_)) && is_its_own {
            engine.told.entry(place).or_insert(now);
            let said = engine.named.iter_mut().filter(|named| named.at == word.at);
            for named in said {
                named.heard.get_or_insert(now);
            }
        }
        let any_lifts = self.flaw == Some(Flaw::AnyLifts);
        let mark = match self.nodes[place].hub {
            Some((hub, _)) if any_lifts => GrantId {
                hub_id: hub,
                number: u64::MAX,
            },
            _ => mark,
        };
        let node = &mut self.nodes[place];
        node.limits
            .record_response(server, &word.said, mark, given, now);
        let key = Key::from_server(server);
        let limit = node.limits.get(&key);
        self.limit(place, vec![Change { key, limit }]);
    }

    /// A sending has ended, which is reported.
    fn ended(&mut self, place: usize, server: &Server, end: AttemptOutcome) {
        let pool = &mut self.nodes[place].pool;
        pool.finish_attempt(&server.incarnation, end, self.now);
        self.report(place);
    }

    /// A gateway tells the hub what it has in flight and to tell, where that gets there.
    fn report(&mut self, place: usize) {
        if !self.hears(place) || self.nodes[place].cut || self.draw(4) == 0 {
            return;
        }
        let node = &self.nodes[place];
        let report = Report {
            loads: node.pool.loads().collect(),
            limit_reports: node.limits.pending_reports(),
            ..messages::report(&node.host)
        };
        if let Some((_, hub)) = &mut self.hub {
            hub.report(&report, self.now);
        }
    }
}
