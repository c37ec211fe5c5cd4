//! Simulates gateways, a hub and servers that ask for backoff, drain and restart, over links that delay and lose
//! messages.

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
/// How many requests each server runs at once.
pub(crate) const SLOTS_PER_SERVER: usize = 7;
/// How long requests that were in flight when a server asked for backoff may still arrive there.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// How long after a gateway has reported that a server is draining new requests from callers may still go there.
const DRAINING_GRACE: Duration = Duration::from_secs(3);
/// The maximum age of a copy of the server list.
const MAX_LIST_AGE_MS: u64 = 800;
/// The maximum interval between two copies of the server list, including copies that are lost.
const MAX_COPY_INTERVAL_MS: u64 = 2_500;
/// The maximum delay before the server list shows that a server is draining.
const MAX_LISTING_DELAY_MS: u64 = 1_000;
/// How long a request waits for a slot.
const WAIT_LIMIT: Duration = Duration::from_secs(1);

/// A part of the design that is left out, to show that the simulated histories detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// A grant of the hub is accepted without a check of the notices of its server.
    NoCheckAtGrant,
    /// A request is sent without a last check of the notices.
    NoCheckBeforeSending,
    /// A server's notices are stored in its entry of the server list, and lost with the next copy.
    StateInServerList,
}

/// A backoff period that a server has asked a gateway for.
struct BackoffPeriod {
    gateway: usize,
    from: Instant,
    until: Instant,
    arrivals: u32,
}

struct Engine {
    /// Which incarnation of the server this is; its name stays the same.
    incarnation: u64,
    /// The backoff that it asks for in each response, in milliseconds; none while it serves.
    backoff_ms: Option<u64>,
    /// Percentage of requests that it rejects while it asks for backoff.
    rejected_percent: u64,
    /// When requests arrived.
    arrivals: Vec<Instant>,
    is_draining: bool,
    backoff_periods: Vec<BackoffPeriod>,
    /// When each gateway first passed on a response that says the server is draining.
    draining_seen_at: BTreeMap<usize, Instant>,
}

impl Engine {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            backoff_ms: None,
            rejected_percent: 100,
            arrivals: Vec::new(),
            is_draining: false,
            backoff_periods: Vec::new(),
            draining_seen_at: BTreeMap::new(),
        }
    }
}

struct GatewayState {
    host: id::Host,
    pool: Pool,
    /// The last grant that it received.
    last_grant: GrantId,
    is_cut: bool,
    /// Until when it is suspended.
    suspended_until: Instant,
    /// When it applies the next copy of the server list.
    next_copy: Instant,
}

/// The stage that a request has reached.
enum Stage {
    /// Queued at the hub.
    QueuedAtHub(Ticket),
    /// Queued at its gateway.
    QueuedAtGateway(pool::Ticket),
    /// A slot grant is on its way to the gateway.
    Granted(Grant),
    /// The connection to its server is being set up.
    Connecting(Arc<Server>),
    /// On its way to the server.
    Sent(Arc<Server>),
    /// The response is on its way back, with the server's notices.
    Responded(Arc<Server>, AttemptOutcome, Vec<Notice>),
}

struct Request {
    gateway: usize,
    /// When its caller sent it.
    started_at: Instant,
    /// When its next stage is due.
    due_at: Instant,
    stage: Stage,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    gateways: Vec<GatewayState>,
    hub: Option<Hub>,
    next_hub: Option<Instant>,
    engines: Vec<Engine>,
    /// Past server lists, newest last.
    past_lists: Vec<(Instant, Arc<ServerList>)>,
    /// When the server list next changes, if a server has started draining.
    list_change_at: Option<Instant>,
    requests: Vec<Request>,
    random: ChaCha8Rng,
    flaw: Option<Flaw>,
    /// The maximum number of requests that arrived within a backoff period.
    pub(crate) max_in_backoff: u32,
    /// Requests that arrived after their gateway had reported that the server is draining.
    pub(crate) sent_after_draining: u32,
    /// How often a server asked for backoff.
    pub(crate) backoffs: u32,
    pub(crate) served: u32,
    /// Requests that got no slot in time.
    pub(crate) refused: u32,
    /// Total time from a caller's request to the response, over all requests served.
    pub(crate) total_latency: Duration,
}

impl World {
    pub(crate) fn new(seed: u64, flaw: Option<Flaw>) -> Self {
        let mut world = Self {
            now: Instant::default() + Duration::from_secs(10),
            gateways: Vec::new(),
            hub: None,
            next_hub: None,
            engines: (0..SERVERS).map(|_| Engine::new(0)).collect(),
            past_lists: Vec::new(),
            list_change_at: None,
            requests: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            flaw,
            max_in_backoff: 0,
            sent_after_draining: 0,
            backoffs: 0,
            served: 0,
            refused: 0,
            total_latency: Duration::ZERO,
        };
        world.gateways = (0..GATEWAYS)
            .map(|index| world.new_gateway(index))
            .collect();
        world.past_lists.push((world.now, world.server_list()));
        world.start_hub();
        (0..GATEWAYS).for_each(|index| world.update_server_list(index));
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

    fn new_gateway(&self, index: usize) -> GatewayState {
        GatewayState {
            host: format!("g{index}").parse().expect("a valid name"),
            pool: Pool::new(pool::Tuning::default(), index as u64),
            last_grant: GrantId::default(),
            is_cut: false,
            suspended_until: self.now,
            next_copy: self.now,
        }
    }

    fn server(&self, index: usize) -> Server {
        let engine = &self.engines[index];
        Server {
            incarnation: format!("s{index}/{}", engine.incarnation).into(),
            name: format!("s{index}").into(),
            started_ms: engine.incarnation,
            version: "v1".parse().expect("a valid version"),
            service: "chat".parse().expect("a valid name"),
            address: "127.0.0.1:1".parse().expect("a valid address"),
            hall: "a".into(),
            slots: u32::try_from(SLOTS_PER_SERVER).expect("fits"),
            leaving: engine.is_draining,
            cold: false,
        }
    }

    fn server_list(&self) -> Arc<ServerList> {
        let servers = (0..SERVERS).map(|index| self.server(index));
        Arc::new(ServerList::new(servers.collect()))
    }

    /// Returns a copy of the server list that is up to [`MAX_LIST_AGE_MS`] old.
    fn recent_list(&mut self) -> Arc<ServerList> {
        let lag = self.millis(0, MAX_LIST_AGE_MS);
        let at = self.now - lag;
        let mut copies = self.past_lists.iter().rev();
        let copy = copies.find(|(made, _)| *made <= at);
        copy.map_or_else(
            || Arc::clone(&self.past_lists[0].1),
            |(_, list)| Arc::clone(list),
        )
    }

    fn start_hub(&mut self) {
        let number = self.random.next_u64();
        let mut hub = Hub::new(Tuning::default(), self.now).with_id(number);
        hub.set_server_list(self.recent_list());
        self.hub = Some(hub);
    }

    /// Makes a gateway apply a copy of the server list.
    fn update_server_list(&mut self, index: usize) {
        let recent_list = self.recent_list();
        let servers = recent_list.servers.iter().cloned().map(Arc::new);
        let servers: Vec<_> = servers.collect();
        let forgets_notices = self.flaw == Some(Flaw::StateInServerList);
        let new_gateway = self.new_gateway(index);
        let next_copy = self.now + self.millis(300, MAX_COPY_INTERVAL_MS);
        let gateway_state = &mut self.gateways[index];
        gateway_state.next_copy = next_copy;
        if forgets_notices {
            gateway_state.pool = new_gateway.pool;
        }
        gateway_state.pool.inherit_notices(&servers, self.now);
        gateway_state.pool.update_servers(servers);
    }

    /// Changes the platform's server list.
    fn change_list(&mut self) {
        self.past_lists.push((self.now, self.server_list()));
    }

    /// Makes the first `count` servers reject `rejected_percent` of requests and ask for a backoff of `millis`; with
    /// none they serve.
    pub(crate) fn set_backoff(&mut self, count: usize, millis: Option<u64>, rejected_percent: u64) {
        for engine in &mut self.engines[..count] {
            engine.backoff_ms = millis;
            engine.rejected_percent = rejected_percent;
        }
    }

    /// The maximum number of requests that arrived at one server within any `length` after `from`.
    pub(crate) fn max_arrivals(&self, from: Instant, length: Duration) -> usize {
        let within = |engine: &Engine| {
            let arrivals = engine.arrivals.iter().filter(|at| **at >= from);
            let arrivals: Vec<_> = arrivals.copied().collect();
            let count_from = |at: &Instant| {
                arrivals
                    .iter()
                    .filter(|other| **other >= *at && other.since(*at) < length)
                    .count()
            };
            arrivals.iter().map(count_from).max().unwrap_or(0)
        };
        self.engines.iter().map(within).max().unwrap_or(0)
    }

    /// Injects a random fault.
    pub(crate) fn inject_fault(&mut self) {
        let (index, engine) = (self.random_index(GATEWAYS), self.random_index(SERVERS));
        match self.random_below(10) {
            0 => {
                self.hub = None;
                let pause = self.millis(0, 1_500);
                self.next_hub = Some(self.now + pause);
            }
            1 => self.restart(index),
            2 => self.gateways[index].suspended_until = self.now + self.millis(100, 5_000),
            3 => {
                let is_cut = !self.gateways[index].is_cut;
                self.gateways[index].is_cut = is_cut;
            }
            4 => {
                let incarnation = self.engines[engine].incarnation + 1;
                self.engines[engine] = Engine::new(incarnation);
                self.change_list();
            }
            5 => {
                self.engines[engine].is_draining = true;
                self.list_change_at = Some(self.now + self.millis(0, MAX_LISTING_DELAY_MS));
            }
            6 => {
                let backoff_ms = Some(200 + self.random_below(6_000));
                self.engines
                    .iter_mut()
                    .for_each(|engine| engine.backoff_ms = backoff_ms);
            }
            7 => self
                .engines
                .iter_mut()
                .for_each(|engine| engine.backoff_ms = None),
            _ => {
                let backoff_ms = (self.random_below(4) > 0).then(|| 200 + self.random_below(6_000));
                self.engines[engine].backoff_ms = backoff_ms;
            }
        }
    }

    /// Restarts a gateway; its server state and requests are forgotten.
    fn restart(&mut self, index: usize) {
        self.gateways[index] = self.new_gateway(index);
        self.requests.retain(|request| request.gateway != index);
        for engine in &mut self.engines {
            engine
                .backoff_periods
                .retain(|period| period.gateway != index);
            engine.draining_seen_at.remove(&index);
        }
        self.update_server_list(index);
    }

    /// Runs the simulation for `time`, with `load` new requests in each step.
    pub(crate) fn run_for(&mut self, time: Duration, load: u64) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            if self.list_change_at.take_if(|at| *at <= self.now).is_some() {
                self.change_list();
            }
            self.advance_hub();
            for index in 0..GATEWAYS {
                let gateway_state = &self.gateways[index];
                if self.now >= gateway_state.next_copy.max(gateway_state.suspended_until) {
                    self.update_server_list(index);
                }
            }
            for _ in 0..load {
                let index = self.random_index(GATEWAYS);
                self.submit_request(index);
            }
            self.grant_ready();
            let requests = std::mem::take(&mut self.requests);
            for request in requests {
                let next = self.advance(request);
                self.requests.extend(next);
            }
        }
    }

    fn advance_hub(&mut self) {
        if self.next_hub.is_some_and(|at| at <= self.now) {
            self.next_hub = None;
            self.start_hub();
        }
        if self.random_below(50) == 0 {
            let recent_list = self.recent_list();
            if let Some(hub) = &mut self.hub {
                hub.set_server_list(recent_list);
            }
        }
    }

    fn is_hub_reachable(&self, index: usize) -> bool {
        self.hub.is_some() && !self.gateways[index].is_cut
    }

    /// Submits a request of a caller to a gateway.
    fn submit_request(&mut self, index: usize) {
        let now = self.now;
        if now < self.gateways[index].suspended_until {
            return;
        }
        let is_hub_reachable = self.is_hub_reachable(index);
        let gateway_state = &mut self.gateways[index];
        let stage = match &mut self.hub {
            Some(hub) if is_hub_reachable => {
                match hub.request_slot(slot_request(gateway_state, now), now) {
                    SlotDecision::Queued(ticket, _) => Stage::QueuedAtHub(ticket),
                    _ => return,
                }
            }
            _ => {
                let request = pool::Request {
                    arrived: now,
                    send_by: now + WAIT_LIMIT,
                    wait_until: now + WAIT_LIMIT,
                    ..pool::Request::default()
                };
                Stage::QueuedAtGateway(gateway_state.pool.enqueue(request, now).0)
            }
        };
        self.requests.push(Request {
            gateway: index,
            started_at: now,
            due_at: now + WAIT_LIMIT,
            stage,
        });
    }

    /// Makes the hub and the gateways grant slots.
    fn grant_ready(&mut self) {
        let now = self.now;
        let grants = self.hub.as_mut().map(|hub| hub.grant_slots(now));
        for (ticket, grant) in grants.into_iter().flatten() {
            let due_at = now + self.millis(2, 60);
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
                    request.stage = Stage::Connecting(assignment.server);
                    request.due_at = due_at;
                }
            }
        }
    }

    /// Returns a random time to set up a connection.
    fn connection_time(&mut self) -> Duration {
        if self.random_below(4) == 0 {
            self.millis(0, 700)
        } else {
            self.millis(1, 4)
        }
    }

    /// Moves a request to its next stage if that is due; none if it has ended.
    fn advance(&mut self, mut request: Request) -> Option<Request> {
        let now = self.now;
        let is_at_gateway = !matches!(request.stage, Stage::Sent(_));
        if now < request.due_at
            || (is_at_gateway && now < self.gateways[request.gateway].suspended_until)
        {
            return Some(request);
        }
        let index = request.gateway;
        (request.stage, request.due_at) = match request.stage {
            Stage::QueuedAtHub(ticket) => {
                self.refused += 1;
                if let Some(hub) = &mut self.hub {
                    hub.cancel(&ticket, now);
                }
                return None;
            }
            Stage::QueuedAtGateway(ticket) => {
                self.refused += 1;
                self.gateways[index].pool.cancel(ticket);
                return None;
            }
            Stage::Granted(grant) => self.accept_grant(index, grant)?,
            Stage::Connecting(server) => self.send(index, server)?,
            Stage::Sent(server) => self.reach_server(index, request.started_at, server),
            Stage::Responded(server, outcome, notices) => {
                if matches!(outcome, AttemptOutcome::Answered { .. }) {
                    self.served += 1;
                    self.total_latency += now.since(request.started_at);
                }
                self.process_response(index, &server, outcome, notices);
                return None;
            }
        };
        Some(request)
    }

    fn accept_grant(&mut self, index: usize, grant: Grant) -> Option<(Stage, Instant)> {
        let (now, due_at) = (self.now, self.now + self.connection_time());
        let server = Arc::new(grant.server);
        let checks_notices = self.flaw != Some(Flaw::NoCheckAtGrant);
        let gateway_state = &mut self.gateways[index];
        if grant.id.follows(gateway_state.last_grant) {
            gateway_state.last_grant = grant.id;
        }
        if !gateway_state.pool.accept_grant(&server, Tokens(0), now) && checks_notices {
            self.report(index, &server, AttemptOutcome::Unknown);
            return None;
        }
        Some((Stage::Connecting(server), due_at))
    }

    fn send(&mut self, index: usize, server: Arc<Server>) -> Option<(Stage, Instant)> {
        let (now, due_at) = (self.now, self.now + self.millis(1, 4));
        let is_excluded = self.gateways[index]
            .pool
            .get_notices()
            .excludes(&server.incarnation, now);
        if is_excluded && self.flaw.is_none() {
            self.gateways[index].pool.finish_attempt(
                &server.incarnation,
                AttemptOutcome::Unknown,
                now,
            );
            return None;
        }
        Some((Stage::Sent(server), due_at))
    }

    fn reach_server(
        &mut self,
        gateway: usize,
        started_at: Instant,
        server: Arc<Server>,
    ) -> (Stage, Instant) {
        let now = self.now;
        let due_at = now + self.millis(2, 400);
        let percent = self.random_below(100);
        let has_its_name = |index: &usize| *server.name == format!("s{index}");
        let index = (0..SERVERS).find(has_its_name).expect("the server exists");
        let engine = &mut self.engines[index];
        engine.arrivals.push(now);
        for period in &mut engine.backoff_periods {
            if period.gateway == gateway
                && now > period.from + IN_FLIGHT_GRACE
                && now < period.until
            {
                period.arrivals += 1;
                self.max_in_backoff = self.max_in_backoff.max(period.arrivals);
            }
        }
        let seen_at = engine.draining_seen_at.get(&gateway);
        if seen_at.is_some_and(|seen_at| started_at > *seen_at + DRAINING_GRACE) {
            self.sent_after_draining += 1;
        }
        let mut notices = Vec::new();
        if engine.is_draining {
            notices.push(Notice::Draining);
        }
        let backoff_ms = engine
            .backoff_ms
            .filter(|_| percent < engine.rejected_percent);
        let Some(backoff_ms) = backoff_ms else {
            let outcome = AttemptOutcome::Answered {
                first_byte: Duration::from_millis(50),
                gap: None,
            };
            return (Stage::Responded(server, outcome, notices), due_at);
        };
        let length = Duration::from_millis(backoff_ms);
        let due_at = now + Duration::from_millis(3);
        self.backoffs += 1;
        engine.backoff_periods.push(BackoffPeriod {
            gateway,
            from: now,
            until: now + length,
            arrivals: 0,
        });
        notices.push(Notice::Backoff(length));
        (
            Stage::Responded(server, AttemptOutcome::Full, notices),
            due_at,
        )
    }

    /// Makes a gateway process a response.
    fn process_response(
        &mut self,
        index: usize,
        server: &Arc<Server>,
        outcome: AttemptOutcome,
        notices: Vec<Notice>,
    ) {
        let now = self.now;
        for notice in notices {
            if notice == Notice::Draining {
                let has_its_name = |index: &usize| *server.name == format!("s{index}");
                let engine = (0..SERVERS).find(has_its_name).expect("the server exists");
                let engine = &mut self.engines[engine];
                if engine.is_draining {
                    engine.draining_seen_at.entry(index).or_insert(now);
                }
            }
            let seen_at = match &notice {
                Notice::Backoff(length) => AttemptOutcome::Backoff(*length),
                _ => AttemptOutcome::Gone,
            };
            self.gateways[index].pool.record_notice(server, notice, now);
            self.report(index, server, seen_at);
        }
        self.gateways[index]
            .pool
            .finish_attempt(&server.incarnation, outcome, now);
        self.report(index, server, outcome);
    }

    /// Reports the outcome of an attempt to the hub, if the message arrives.
    fn report(&mut self, index: usize, server: &Server, outcome: AttemptOutcome) {
        if !self.is_hub_reachable(index) || self.random_below(4) == 0 {
            return;
        }
        let gateway_state = &self.gateways[index];
        let ended = AttemptEnd {
            service: server.service.clone(),
            incarnation: Arc::clone(&server.incarnation),
            rollout: None,
            outcome,
            grant: GrantId::default(),
            server_time: Duration::ZERO,
            load: None,
        };
        let report = Report {
            last_grant: gateway_state.last_grant,
            loads: gateway_state.pool.loads().collect(),
            ended: vec![ended],
            ..messages::report(&gateway_state.host)
        };
        if let Some(hub) = &mut self.hub {
            hub.report(&report, self.now);
        }
    }
}

fn slot_request(gateway_state: &GatewayState, now: Instant) -> SlotRequest {
    SlotRequest {
        avoid: gateway_state.pool.avoided(&[], now).collect(),
        backoffs: gateway_state.pool.get_notices().backing_off(now).collect(),
        allowed_halls: None,
        ..messages::slot_request(&gateway_state.host)
    }
}
