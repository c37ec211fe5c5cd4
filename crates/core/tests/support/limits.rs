//! Simulates gateways, hubs and servers that announce rate limits, over links that delay and lose messages.

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
/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How long after a server first announced its limit counting starts.
const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// How long after a gateway has passed on such a response its requests start to count.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// How many requests may arrive within [`WINDOW`]: a multiple of the rate, plus a constant.
const ALLOWED_EXCESS: (f64, f64) = (6.0, 5.0);
/// How long a request waits for a slot.
const WAIT_LIMIT: Duration = Duration::from_secs(1);
/// How long a gateway relies on the hub's last reply.
const HUB_REPLY_MAX_AGE: Duration = Duration::from_millis(500);
/// How much longer than [`WAIT_LIMIT`] a grant of the hub may take to arrive.
const GRANT_DELIVERY_TIME: Duration = Duration::from_millis(40);
/// How long a gateway waits for a reply of the hub.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// Limits that servers announce; some are invalid.
const LIMIT_VALUES: [&str; 11] = [
    "0", "0.2", "1", "2.9", "3.1", "8", "40", "1e9", "-3", "NaN", "fits",
];

/// A part of the design that is left out, to show that the simulated histories detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// A grant not charged to the server's rate limit is accepted without a check of that limit.
    NoCheckAtGrant,
    /// A request is sent without a last check of the limit.
    NoCheckBeforeSending,
    /// A gateway without a hub chooses servers as if none had a limit.
    IgnoresLimitsWithoutHub,
    /// Any response without a limit lifts it, even one older than the limit.
    AnyResponseLiftsLimit,
}

/// A limit that a server announced in a response.
struct AnnouncedLimit {
    at: Instant,
    rate: f64,
    /// When a gateway passed that response on.
    passed_on_at: Option<Instant>,
}

struct Engine {
    incarnation: u64,
    limit: Option<&'static str>,
    /// Whether it announces another limit in each response.
    varies_limit: bool,
    /// When it first announced its present limit or series of limits.
    first_announced: Option<Instant>,
    /// When gateways first passed on a response with such a limit.
    limit_seen_at: BTreeMap<usize, Instant>,
    announced: Vec<AnnouncedLimit>,
    arrivals: Vec<(Instant, usize)>,
}

impl Engine {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            limit: None,
            varies_limit: false,
            first_announced: None,
            limit_seen_at: BTreeMap::new(),
            announced: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn set_limit(&mut self, limit: Option<&'static str>) {
        let is_other = limit.is_none() || self.limit.is_none();
        self.limit = limit;
        if is_other {
            self.first_announced = None;
            self.limit_seen_at.clear();
            self.announced.clear();
        }
    }

    /// The largest limit in effect at some time in the window that ends now. A limit stays in effect until a gateway
    /// has passed on a later one and the requests in flight by then have arrived.
    fn max_announced(&self, now: Instant) -> f64 {
        let (mut max_rate, mut superseded) = (0.0_f64, None);
        for announced in self.announced.iter().rev() {
            if superseded.is_some_and(|at| now.since(at) >= WINDOW) {
                break;
            }
            max_rate = max_rate.max(announced.rate);
            let passed_on_at = announced
                .passed_on_at
                .map(|passed_on_at| passed_on_at + IN_FLIGHT_GRACE);
            superseded = superseded.into_iter().chain(passed_on_at).min();
        }
        max_rate
    }

    /// How many requests beyond its limit it received in the window that ends now.
    fn excess(&self, now: Instant) -> f64 {
        if self
            .first_announced
            .is_none_or(|first_announced| now < first_announced + LIMIT_GRACE)
        {
            return 0.0;
        }
        let in_window = |at: &Instant| now.since(*at) < WINDOW;
        let had_seen_limit = |(at, gateway): &&(Instant, usize)| {
            let seen_at = self.limit_seen_at.get(gateway);
            seen_at.is_some_and(|seen_at| *at >= *seen_at + IN_FLIGHT_GRACE) && in_window(at)
        };
        let arrivals = self
            .arrivals
            .iter()
            .rev()
            .take(1_000)
            .filter(had_seen_limit)
            .count();
        let max_rate = self.max_announced(now);
        f64::from(u32::try_from(arrivals).expect("fits"))
            - max_rate * ALLOWED_EXCESS.0
            - ALLOWED_EXCESS.1
    }
}

struct GatewayState {
    host: id::Host,
    pool: Pool,
    limits: LocalReports,
    /// The hub that it uses, and when it last received a reply from it.
    hub: Option<(u64, Instant)>,
    is_cut: bool,
    suspended_until: Instant,
    /// When it polls the hub next.
    next_poll: Instant,
}

/// The stage that a request has reached.
enum Stage {
    /// The slot request is on its way to the hub.
    Requested,
    QueuedAtHub(Ticket),
    QueuedAtGateway(pool::Ticket),
    Granted(Grant),
    /// The connection to its server is being set up.
    Connecting(Arc<Server>, Option<Grant>, Instant),
    Sent(Arc<Server>, Option<Grant>, Instant, Instant),
    /// The response is on its way back, with the server's announcement.
    Responded(Arc<Server>, GrantId, Instant, LimitMessage, AttemptOutcome),
}

/// What a response says about its server's limit, and which incarnation of the server sent it.
struct LimitMessage {
    announcement: Announcement,
    incarnation: u64,
    at: Instant,
}

struct Request {
    gateway: usize,
    /// When its slot was requested.
    asked_at: Instant,
    due_at: Instant,
    tried: Vec<Arc<str>>,
    stage: Stage,
}

/// A poll of a gateway in flight, or the reply to it.
struct Exchange {
    gateway: usize,
    asked_at: Instant,
    due_at: Instant,
    last_number: u64,
    direction: Direction,
}

enum Direction {
    Poll(Box<Poll>),
    Reply(Box<Reply>),
}

pub(crate) struct World {
    pub(crate) now: Instant,
    gateways: Vec<GatewayState>,
    /// The hub and its id.
    hub: Option<(u64, Hub)>,
    next_hub: Option<Instant>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    exchanges: Vec<Exchange>,
    random: ChaCha8Rng,
    flaw: Option<Flaw>,
    /// The maximum number of requests by which a server received more than its limit allows.
    pub(crate) max_excess: f64,
    /// Requests that a gateway sent without a charge to the server's rate limit, though it had seen that limit.
    pub(crate) sent_uncharged: u32,
    /// How many requests arrived while their server announced a limit.
    pub(crate) sent_to_limited: u32,
    pub(crate) served: u32,
    pub(crate) refused: u32,
}

impl World {
    pub(crate) fn new(seed: u64, flaw: Option<Flaw>) -> Self {
        let now = Instant::default() + Duration::from_secs(10);
        let mut world = Self {
            now,
            gateways: Vec::new(),
            hub: None,
            next_hub: Some(now),
            engines: (0..SERVERS).map(|_| Engine::new(0)).collect(),
            requests: Vec::new(),
            exchanges: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            flaw,
            max_excess: f64::MIN,
            sent_uncharged: 0,
            sent_to_limited: 0,
            served: 0,
            refused: 0,
        };
        world.gateways = (0..GATEWAYS)
            .map(|index| world.new_gateway(index))
            .collect();
        world
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    fn random_index(&mut self, below: usize) -> usize {
        usize::try_from(self.random_below(below as u64)).expect("fits")
    }

    fn millis(&mut self, from: u64, below: u64) -> Duration {
        Duration::from_millis(from + self.random_below(below))
    }

    fn new_gateway(&mut self, index: usize) -> GatewayState {
        let mut pool = Pool::new(pool::Tuning::default(), index as u64);
        pool.update_servers(self.servers());
        GatewayState {
            host: format!("g{index}").parse().expect("a valid name"),
            pool,
            limits: LocalReports::new(self.random.next_u64()),
            hub: None,
            is_cut: false,
            suspended_until: self.now,
            next_poll: self.now,
        }
    }

    fn servers(&self) -> Vec<Arc<Server>> {
        let servers = self.engines.iter().enumerate();
        let servers = servers.map(|(index, engine)| Server {
            slots: SLOTS,
            ..super::incarnations::incarnation(&format!("s{index}"), engine.incarnation)
        });
        servers.map(Arc::new).collect()
    }

    fn start_hub(&mut self) {
        let number = self.random.next_u64();
        let mut hub = Hub::new(Tuning::default(), self.now).with_id(number);
        hub.set_server_list(self.server_list());
        self.hub = Some((number, hub));
    }

    fn server_list(&self) -> Arc<ServerList> {
        let servers = self.servers().into_iter();
        Arc::new(ServerList::new(
            servers.map(|server| Server::clone(&server)).collect(),
        ))
    }

    /// Makes the first `count` servers announce `limit`, or no limit.
    pub(crate) fn set_limits(&mut self, count: usize, limit: Option<&'static str>) {
        for engine in &mut self.engines[..count] {
            engine.set_limit(limit);
        }
    }

    /// Whether any gateway considers a server limited.
    pub(crate) fn is_limited_anywhere(&self) -> bool {
        self.gateways
            .iter()
            .any(|gateway_state| gateway_state.limits.all_limits().next().is_some())
    }

    /// Stops the hub; another one starts after `pause`.
    pub(crate) fn change_hub(&mut self, pause: Duration) {
        self.hub = None;
        self.next_hub = Some(self.now + pause);
    }

    /// Ends cut links and suspensions, and starts a hub if there is none.
    pub(crate) fn heal(&mut self) {
        for gateway_state in &mut self.gateways {
            gateway_state.is_cut = false;
            gateway_state.suspended_until = self.now;
        }
        if self.hub.is_none() {
            self.next_hub = Some(self.now);
        }
    }

    /// Injects a random fault.
    pub(crate) fn inject_fault(&mut self) {
        let (index, engine) = (self.random_index(GATEWAYS), self.random_index(SERVERS));
        let limit_value = LIMIT_VALUES[self.random_index(LIMIT_VALUES.len())];
        match self.random_below(12) {
            0 | 1 => {
                let pause = self.millis(0, 2_500);
                self.change_hub(pause);
            }
            2 => {
                self.gateways[index] = self.new_gateway(index);
                self.requests.retain(|request| request.gateway != index);
                self.exchanges.retain(|exchange| exchange.gateway != index);
                for engine in &mut self.engines {
                    engine.limit_seen_at.remove(&index);
                }
            }
            3 => self.gateways[index].suspended_until = self.now + self.millis(100, 5_000),
            4 => self.gateways[index].is_cut = !self.gateways[index].is_cut,
            5 => {
                let incarnation = self.engines[engine].incarnation + 1;
                let limit = self.engines[engine]
                    .limit
                    .filter(|_| incarnation.is_multiple_of(2));
                self.engines[engine] = Engine::new(incarnation);
                self.engines[engine].set_limit(limit);
                self.update_server_list();
            }
            6 => self.set_limits(SERVERS, Some(limit_value)),
            7 => self.set_limits(SERVERS, None),
            8 => self.engines[engine].set_limit(None),
            9 => self.engines[engine].varies_limit = !self.engines[engine].varies_limit,
            _ => self.engines[engine].set_limit(Some(limit_value)),
        }
    }

    /// Makes the hub and the gateways apply the current server list.
    fn update_server_list(&mut self) {
        let (servers, server_list) = (self.servers(), self.server_list());
        for index in 0..GATEWAYS {
            let gateway_state = &mut self.gateways[index];
            gateway_state.pool.update_servers(servers.clone());
            let servers = servers.iter().map(|server| &**server);
            let changes = gateway_state.limits.observe_servers(servers, self.now);
            self.apply_limits(index, changes);
        }
        if let Some((_, hub)) = &mut self.hub {
            hub.set_server_list(server_list);
        }
    }

    /// Runs the simulation for `time`, with `load` new requests in each step.
    pub(crate) fn run_for(&mut self, time: Duration, load: u64) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            if self.next_hub.take_if(|at| *at <= self.now).is_some() {
                self.start_hub();
            }
            if let Some((_, hub)) = &mut self.hub {
                hub.tick(self.now);
                hub.publish_limits(self.now);
            }
            self.exchange_messages();
            for _ in 0..load {
                let index = self.random_index(GATEWAYS);
                if self.now >= self.gateways[index].suspended_until {
                    let request = self.submit_request(index, Vec::new());
                    self.requests.push(request);
                }
            }
            self.grant_ready();
            for request in std::mem::take(&mut self.requests) {
                let next = self.advance(request);
                self.requests.extend(next);
            }
        }
    }

    /// Makes gateways poll the hub, each with one poll at a time.
    fn exchange_messages(&mut self) {
        for index in 0..GATEWAYS {
            if self.now
                < self.gateways[index]
                    .next_poll
                    .max(self.gateways[index].suspended_until)
            {
                continue;
            }
            // A poll without a reply in time is abandoned.
            self.exchanges.retain(|exchange| exchange.gateway != index);
            let due_at = self.now + self.millis(1, 30);
            let gateway_state = &mut self.gateways[index];
            gateway_state.next_poll = self.now + REPLY_TIMEOUT;
            let poll = Poll {
                limit_reports: gateway_state.limits.pending_reports(),
                limits_version: gateway_state.limits.get_table_version(),
                ..messages::poll(&gateway_state.host)
            };
            self.exchanges.push(Exchange {
                gateway: index,
                asked_at: self.now,
                due_at,
                last_number: gateway_state.limits.get_last_number(),
                direction: Direction::Poll(Box::new(poll)),
            });
        }
        for exchange in std::mem::take(&mut self.exchanges) {
            if self.now < exchange.due_at {
                self.exchanges.push(exchange);
            } else if self.random_below(10) > 0 && !self.gateways[exchange.gateway].is_cut {
                self.deliver(exchange);
            }
        }
    }

    fn deliver(&mut self, exchange: Exchange) {
        let now = self.now;
        let due_at = now + self.millis(1, 300);
        match exchange.direction {
            Direction::Poll(poll) => {
                let Some((_, hub)) = &mut self.hub else {
                    return;
                };
                hub.on_poll(&poll, now);
                let reply = hub.reply(&poll, &Publication::default(), now);
                let direction = Direction::Reply(Box::new(reply));
                self.exchanges.push(Exchange {
                    due_at,
                    direction,
                    ..exchange
                });
            }
            Direction::Reply(reply) => {
                let is_at_gateway = now >= self.gateways[exchange.gateway].suspended_until;
                if is_at_gateway && now.since(exchange.asked_at) < REPLY_TIMEOUT {
                    self.apply_reply(exchange.gateway, &reply, exchange.last_number);
                }
            }
        }
    }

    fn apply_reply(&mut self, index: usize, reply: &Reply, last_number: u64) {
        let now = self.now;
        let pause = self.millis(15, 200);
        let gateway_state = &mut self.gateways[index];
        gateway_state.next_poll = now + pause;
        gateway_state.hub = Some((reply.hub_id, now));
        let update = reply.limits.as_ref();
        let changes = gateway_state
            .limits
            .apply_reply(reply.hub_id, last_number, update, now);
        self.apply_limits(index, changes);
    }

    fn apply_limits(&mut self, index: usize, changes: Vec<Change>) {
        if self.flaw == Some(Flaw::IgnoresLimitsWithoutHub) {
            return;
        }
        let pool = &mut self.gateways[index].pool;
        for Change { key, limit } in changes {
            pool.set_limit(&key, limit.as_ref(), self.now);
        }
    }

    /// Whether a gateway requests slots from the hub.
    fn uses_hub(&self, index: usize) -> bool {
        let gateway_state = &self.gateways[index];
        gateway_state
            .hub
            .is_some_and(|(_, at)| self.now.since(at) < HUB_REPLY_MAX_AGE)
    }

    /// Submits a new request or a retry to a gateway.
    fn submit_request(&mut self, index: usize, tried: Vec<Arc<str>>) -> Request {
        let now = self.now;
        let (due_at, stage) = if self.uses_hub(index) {
            (now + self.millis(1, 20), Stage::Requested)
        } else {
            let request = pool::Request {
                arrived: now,
                send_by: now + WAIT_LIMIT,
                wait_until: now + WAIT_LIMIT,
                tried: tried.clone(),
                ..pool::Request::default()
            };
            let ticket = self.gateways[index].pool.enqueue(request, now).0;
            (now + WAIT_LIMIT, Stage::QueuedAtGateway(ticket))
        };
        Request {
            gateway: index,
            asked_at: now,
            due_at,
            tried,
            stage,
        }
    }

    /// Makes the hub and the gateways grant slots.
    fn grant_ready(&mut self) {
        let now = self.now;
        let (mut grants, mut doomed) = (Vec::new(), Vec::new());
        if let Some((_, hub)) = &mut self.hub {
            grants = hub.grant_slots(now);
            let rejected = hub.reject_doomed(now).into_iter();
            doomed = rejected.map(|rejected| rejected.ticket).collect();
        }
        let is_doomed = |request: &Request| matches!(&request.stage, Stage::QueuedAtHub(own) if doomed.contains(own));
        let refused = self.requests.extract_if(.., |request| is_doomed(request));
        self.refused += u32::try_from(refused.count()).expect("fits");
        for (ticket, grant) in grants {
            let due_at = now + self.millis(1, 60);
            let matches_ticket = |request: &&mut Request| matches!(&request.stage, Stage::QueuedAtHub(own) if *own == ticket);
            if let Some(request) = self.requests.iter_mut().find(matches_ticket) {
                request.stage = Stage::Granted(grant);
                request.due_at = due_at;
            }
        }
        for index in 0..GATEWAYS {
            if now < self.gateways[index].suspended_until {
                continue;
            }
            for assignment in self.gateways[index].pool.assign(now) {
                let due_at = now + self.connection_time();
                let matches_ticket = |request: &&mut Request| {
                    let own = matches!(&request.stage, Stage::QueuedAtGateway(own) if *own == assignment.ticket);
                    own && request.gateway == index
                };
                if let Some(request) = self.requests.iter_mut().find(matches_ticket) {
                    request.stage = Stage::Connecting(assignment.server, None, now);
                    request.due_at = due_at;
                }
            }
        }
    }

    /// Returns a random time to set up a connection.
    fn connection_time(&mut self) -> Duration {
        if self.random_below(8) == 0 {
            self.millis(0, 700)
        } else {
            self.millis(1, 4)
        }
    }

    /// Moves a request to its next stage if that is due; none if it has ended.
    fn advance(&mut self, request: Request) -> Option<Request> {
        let now = self.now;
        let is_at_gateway = !matches!(request.stage, Stage::Sent(..));
        if now < request.due_at
            || (is_at_gateway && now < self.gateways[request.gateway].suspended_until)
        {
            return Some(request);
        }
        let (index, asked_at, tried) = (request.gateway, request.asked_at, request.tried);
        let (stage, due_at) = match request.stage {
            Stage::Requested => self.request_slot(index, &tried)?,
            Stage::QueuedAtHub(ticket) => {
                self.refused += 1;
                if let Some((_, hub)) = &mut self.hub {
                    hub.cancel(&ticket, now);
                }
                return None;
            }
            Stage::QueuedAtGateway(ticket) => {
                self.refused += 1;
                self.gateways[index].pool.cancel(ticket);
                return None;
            }
            Stage::Granted(grant) => self.accept_grant(index, grant, asked_at)?,
            Stage::Connecting(server, grant, granted_at) => {
                if now.since(granted_at) >= Duration::from_millis(750) {
                    // The host was suspended: its connection has timed out.
                    self.finish_attempt(index, &server, AttemptOutcome::Unknown);
                    return None;
                }
                self.send(index, server, grant, granted_at)?
            }
            Stage::Sent(server, grant, granted_at, sent) => {
                let is_charged = grant.as_ref().is_some_and(|grant| grant.charged_to_limit);
                let grant_id = grant.map_or(GrantId::default(), |grant| grant.id);
                self.sent_uncharged +=
                    u32::from(!is_charged && self.had_seen_limit(index, &server, sent));
                self.reach_server(index, server, grant_id, granted_at)
            }
            Stage::Responded(server, grant_id, granted_at, limit_message, outcome) => {
                self.process_response(index, &server, &limit_message, grant_id, granted_at);
                self.finish_attempt(index, &server, outcome);
                let retries = outcome == AttemptOutcome::Failed && tried.len() < 2;
                if retries {
                    let tried = [tried, vec![Arc::clone(&server.incarnation)]].concat();
                    return Some(self.submit_request(index, tried));
                }
                self.served += u32::from(outcome != AttemptOutcome::Failed);
                return None;
            }
        };
        Some(Request {
            gateway: index,
            asked_at,
            due_at,
            tried,
            stage,
        })
    }

    fn request_slot(&mut self, index: usize, tried: &[Arc<str>]) -> Option<(Stage, Instant)> {
        let now = self.now;
        let gateway_state = &self.gateways[index];
        let slot_request = SlotRequest {
            tried: tried.to_vec(),
            ..messages::slot_request(&gateway_state.host)
        };
        // The request goes to the current leader at the address that last replied.
        let hub = self.hub.as_mut().filter(|_| !gateway_state.is_cut);
        if let Some(SlotDecision::Queued(ticket, _)) =
            hub.map(|(_, hub)| hub.request_slot(slot_request, now))
        {
            return Some((Stage::QueuedAtHub(ticket), now + WAIT_LIMIT));
        }
        self.refused += 1;
        None
    }

    fn accept_grant(
        &mut self,
        index: usize,
        grant: Grant,
        asked_at: Instant,
    ) -> Option<(Stage, Instant)> {
        let (now, due_at) = (self.now, self.now + self.connection_time());
        // A host that was suspended receives a grant that is long out of date.
        let is_late = now.since(asked_at) > WAIT_LIMIT + GRANT_DELIVERY_TIME;
        let checks_limit = self.flaw != Some(Flaw::NoCheckAtGrant);
        let server = Arc::new(grant.server.clone());
        let gateway_state = &mut self.gateways[index];
        let is_blocked = !grant.charged_to_limit && gateway_state.limits.blocks(&server, grant.id);
        let is_blocked = is_blocked && checks_limit;
        if is_late || is_blocked || !gateway_state.pool.accept_grant(&server, Tokens(0), now) {
            self.refused += 1;
            self.report(index);
            return None;
        }
        Some((Stage::Connecting(server, Some(grant), now), due_at))
    }

    fn send(
        &mut self,
        index: usize,
        server: Arc<Server>,
        grant: Option<Grant>,
        granted_at: Instant,
    ) -> Option<(Stage, Instant)> {
        let due_at = self.now + self.millis(1, 4);
        let is_charged = grant.as_ref().is_some_and(|grant| grant.charged_to_limit);
        let grant_id = grant.as_ref().map_or(GrantId::default(), |grant| grant.id);
        let is_blocked = !is_charged && self.gateways[index].limits.blocks(&server, grant_id);
        let checks_limit = !matches!(
            self.flaw,
            Some(Flaw::NoCheckBeforeSending | Flaw::NoCheckAtGrant | Flaw::IgnoresLimitsWithoutHub)
        );
        if is_blocked && checks_limit {
            self.refused += 1;
            self.finish_attempt(index, &server, AttemptOutcome::Unknown);
            return None;
        }
        Some((Stage::Sent(server, grant, granted_at, self.now), due_at))
    }

    /// Whether a gateway had passed on a response with the limit, which the server still announces, before it sent the
    /// request.
    fn had_seen_limit(&self, index: usize, server: &Server, sent: Instant) -> bool {
        let has_its_name = |index: &usize| *server.name == format!("s{index}");
        let engine = (0..SERVERS).find(has_its_name).expect("the server exists");
        let engine = &self.engines[engine];
        let seen_at = engine.limit_seen_at.get(&index);
        engine.limit.is_some() && seen_at.is_some_and(|seen_at| *seen_at < sent)
    }

    fn reach_server(
        &mut self,
        gateway: usize,
        server: Arc<Server>,
        grant_id: GrantId,
        granted_at: Instant,
    ) -> (Stage, Instant) {
        let now = self.now;
        // Some wait in their server's own queue.
        let longest = if self.random_below(20) == 0 {
            6_000
        } else {
            400
        };
        let due_at = now + self.millis(2, longest);
        let outcome = if self.random_below(10) == 0 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered {
                first_byte: Duration::from_millis(50),
                gap: None,
            }
        };
        let other = LIMIT_VALUES[self.random_index(LIMIT_VALUES.len())];
        let has_its_name = |index: &usize| *server.name == format!("s{index}");
        let index = (0..SERVERS).find(has_its_name).expect("the server exists");
        let engine = &mut self.engines[index];
        engine.arrivals.push((now, gateway));
        self.max_excess = self.max_excess.max(engine.excess(now));
        let incarnation = engine.incarnation;
        let Some(limit) = engine.limit else {
            let announcement = Announcement::NoLimit;
            let limit_message = LimitMessage {
                announcement,
                incarnation,
                at: now,
            };
            return (
                Stage::Responded(server, grant_id, granted_at, limit_message, outcome),
                due_at,
            );
        };
        self.sent_to_limited += 1;
        let limit = if engine.varies_limit { other } else { limit };
        let announcement = match limit.parse() {
            Ok(rate) => Announcement::Limited(rate),
            Err(_) => Announcement::Invalid(limit.to_owned()),
        };
        if let Announcement::Limited(rate) = &announcement {
            engine.first_announced.get_or_insert(now);
            engine.announced.push(AnnouncedLimit {
                at: now,
                rate: rate.as_f64(),
                passed_on_at: None,
            });
        }
        let limit_message = LimitMessage {
            announcement,
            incarnation,
            at: now,
        };
        (
            Stage::Responded(server, grant_id, granted_at, limit_message, outcome),
            due_at,
        )
    }

    /// Makes a gateway process a response.
    fn process_response(
        &mut self,
        index: usize,
        server: &Arc<Server>,
        limit_message: &LimitMessage,
        grant_id: GrantId,
        granted_at: Instant,
    ) {
        let now = self.now;
        let has_its_name = |index: &usize| *server.name == format!("s{index}");
        let engine = (0..SERVERS).find(has_its_name).expect("the server exists");
        let engine = &mut self.engines[engine];
        let is_current = limit_message.incarnation == engine.incarnation && engine.limit.is_some();
        if matches!(limit_message.announcement, Announcement::Limited(_)) && is_current {
            engine.limit_seen_at.entry(index).or_insert(now);
            let matching = engine
                .announced
                .iter_mut()
                .filter(|announced| announced.at == limit_message.at);
            for announced in matching {
                announced.passed_on_at.get_or_insert(now);
            }
        }
        let any_lifts = self.flaw == Some(Flaw::AnyResponseLiftsLimit);
        let grant_id = match self.gateways[index].hub {
            Some((hub, _)) if any_lifts => GrantId {
                hub_id: hub,
                number: u64::MAX,
            },
            _ => grant_id,
        };
        let gateway_state = &mut self.gateways[index];
        gateway_state.limits.record_response(
            server,
            &limit_message.announcement,
            grant_id,
            granted_at,
            now,
        );
        let key = Key::from_server(server);
        let limit = gateway_state.limits.get(&key);
        self.apply_limits(index, vec![Change { key, limit }]);
    }

    /// Records the outcome of an attempt, and reports it.
    fn finish_attempt(&mut self, index: usize, server: &Server, outcome: AttemptOutcome) {
        let pool = &mut self.gateways[index].pool;
        pool.finish_attempt(&server.incarnation, outcome, self.now);
        self.report(index);
    }

    /// Reports the requests in flight and the pending limit reports to the hub, if the message arrives.
    fn report(&mut self, index: usize) {
        if !self.uses_hub(index) || self.gateways[index].is_cut || self.random_below(4) == 0 {
            return;
        }
        let gateway_state = &self.gateways[index];
        let report = Report {
            loads: gateway_state.pool.loads().collect(),
            limit_reports: gateway_state.limits.pending_reports(),
            ..messages::report(&gateway_state.host)
        };
        if let Some((_, hub)) = &mut self.hub {
            hub.report(&report, self.now);
        }
    }
}
