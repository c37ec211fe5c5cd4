//! Simulates gateways, a hub, a log and servers, with requests that crash every server that runs them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::Gateway;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Load;
use curlewlift_core::gateway::Poll;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::quarantine::Attempt;
use curlewlift_core::quarantine::Features;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::quarantine::List;
use curlewlift_core::quarantine::LocalTracker;
use curlewlift_core::quarantine::Observation;
use curlewlift_core::quarantine::Part;
use curlewlift_core::quarantine::Rejection;
use curlewlift_core::quarantine::Software;
use curlewlift_core::quarantine::Step;
use curlewlift_core::state::Publication;
use curlewlift_core::unit::Tokens;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

use super::messages;

const STEP: Duration = Duration::from_millis(10);
const GATEWAYS: usize = 12;
const SERVERS: usize = 9;
/// How long a server stays down after a crash.
const SERVER_DOWNTIME: Duration = Duration::from_secs(3);
/// How long a quarantine step takes to be committed to the log.
const COMMIT_DELAY: Duration = Duration::from_millis(20);
/// How long a gateway must have been in contact with the hub before its attempts count against the bound.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The longest time from a crash to the loss that follows it.
const MAX_LOSS_DELAY: Duration = Duration::from_secs(2);

/// What is lost after each crash of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// The gateway whose request crashed it.
    Witness,
    Hub,
    Both,
}

/// A loss that is due.
struct PendingLoss {
    due: Instant,
    loss: Loss,
    witness: usize,
}

/// What a request does to its server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behavior {
    /// Crashes it.
    Crash,
    /// Gets a complete response.
    Answer,
}

struct GatewayState {
    host: id::Host,
    quarantine: LocalTracker,
    /// Distinguishes the processes of the host.
    process: u64,
    /// The last grant that it received.
    last_grant: GrantId,
    /// Whether it has no table yet, so that it serves nothing without the hub.
    is_new: bool,
    /// Since when it has been in contact with the hub; none without contact.
    connected_since: Option<Instant>,
    is_cut: bool,
    /// Until when it is suspended.
    suspended_until: Option<Instant>,
}

impl GatewayState {
    fn new(index: usize) -> Self {
        Self {
            host: format!("g{index}").parse().expect("a valid name"),
            quarantine: LocalTracker::default(),
            process: 1,
            last_grant: GrantId::default(),
            is_new: false,
            connected_since: None,
            is_cut: false,
            suspended_until: None,
        }
    }
}

/// A request that a server runs.
struct Running {
    gateway: usize,
    features: Features,
    server: Arc<str>,
    permit: Option<u64>,
    behavior: Behavior,
    /// When its response begins.
    begins_at: Instant,
    ends_at: Instant,
}

impl Running {
    /// The attempt as its gateway sees it at `now`.
    fn attempt(&self, now: Instant) -> Attempt {
        Attempt {
            features: self.features.clone(),
            software: software(),
            permit: self.permit,
            answered_for: (self.begins_at <= now).then(|| now.since(self.begins_at)),
        }
    }
}

/// The software of all servers.
fn software() -> Software {
    Software {
        service: "chat".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid version"),
    }
}

/// How an attempt to send a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    Sent,
    Rejected(Rejection),
    NoServer,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    gateways: Vec<GatewayState>,
    hub: Option<Hub>,
    next_hub: Option<Instant>,
    list: List,
    commit: Option<(Instant, Vec<Step>)>,
    /// The incarnation of each server, and until when it is down.
    servers: Vec<(u64, Instant)>,
    running: Vec<Running>,
    /// Those that end at this time, in order; their gateways don't know yet.
    due: VecDeque<Running>,
    random: ChaCha8Rng,
    /// Percentage of messages that are lost.
    pub(crate) loss_percent: u64,
    /// When servers crashed under each request.
    pub(crate) crashes: BTreeMap<Identity, Vec<Instant>>,
    /// When servers crashed under requests with each part.
    pub(crate) part_crashes: BTreeMap<Part, Vec<Instant>>,
    /// When each request was sent by gateways that had been in contact for [`CONTACT_TIME`].
    pub(crate) sent: BTreeMap<Identity, Vec<Instant>>,
    /// How many servers crashed under requests with each part that were no trials.
    pub(crate) untried_part_crashes: BTreeMap<Part, usize>,
    /// When requests with each part were sent by any gateway.
    pub(crate) part_arrivals: BTreeMap<Part, Vec<Instant>>,
    /// What is lost after each crash, and the shortest time until then.
    pub(crate) loss_after_crash: Option<(Loss, Duration)>,
    pending_losses: Vec<PendingLoss>,
    /// When requests with each part were sent by gateways that had been in contact for [`CONTACT_TIME`].
    pub(crate) part_sent: BTreeMap<Part, Vec<Instant>>,
    /// Harmless requests that were interrupted by the crash of their server.
    pub(crate) interrupted: Vec<Features>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Instant::default() + CONTACT_TIME,
            gateways: (0..GATEWAYS).map(GatewayState::new).collect(),
            hub: None,
            next_hub: None,
            list: List::default(),
            commit: None,
            servers: vec![(0, Instant::default()); SERVERS],
            running: Vec::new(),
            due: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss_percent: 0,
            crashes: BTreeMap::new(),
            part_crashes: BTreeMap::new(),
            untried_part_crashes: BTreeMap::new(),
            part_arrivals: BTreeMap::new(),
            loss_after_crash: None,
            pending_losses: Vec::new(),
            sent: BTreeMap::new(),
            part_sent: BTreeMap::new(),
            interrupted: Vec::new(),
        };
        world.start_hub();
        world.run_for(CONTACT_TIME * 2);
        world
    }

    pub(crate) fn random_below(&mut self, below: usize) -> usize {
        usize::try_from(self.random.next_u64() % below as u64).expect("fits in usize")
    }

    fn name(&self, index: usize) -> Arc<str> {
        format!("s{index}-{}", self.servers[index].0).into()
    }

    fn server_list(&self) -> Arc<ServerList> {
        let up = (0..SERVERS).filter(|index| self.servers[*index].1 <= self.now);
        let servers = up.map(|index| Server {
            incarnation: self.name(index),
            name: self.name(index),
            started_ms: 0,
            version: "v1".parse().expect("a valid version"),
            service: "chat".parse().expect("a valid name"),
            address: "127.0.0.1:1".parse().expect("a valid address"),
            hall: "a".into(),
            slots: 1_000,
            leaving: false,
            cold: false,
        });
        Arc::new(ServerList::new(servers.collect()))
    }

    fn start_hub(&mut self) {
        let number = self.random.next_u64();
        let mut hub = Hub::new(Tuning::default(), self.now).with_id(number);
        hub.apply_quarantine(&self.list, self.now);
        hub.set_server_list(self.server_list());
        self.hub = Some(hub);
    }

    /// Stops the hub; another one starts within 2 s.
    pub(crate) fn replace_hub(&mut self) {
        self.hub = None;
        let pause = Duration::from_millis(self.random_below(2_000) as u64);
        self.next_hub = Some(self.now + pause);
        if let Some((_, steps)) = self.commit.take()
            && self.random_below(2) == 0
        {
            for step in &steps {
                self.list.apply(step);
            }
        }
        self.gateways
            .iter_mut()
            .for_each(|gateway_state| gateway_state.connected_since = None);
    }

    /// Restarts all processes; they keep only what was committed to the log.
    pub(crate) fn restart_all(&mut self) {
        self.replace_hub();
        self.running.clear();
        (0..GATEWAYS).for_each(|index| self.restart_gateway(index));
    }

    /// Replaces the process of a gateway; it keeps nothing.
    fn restart_gateway(&mut self, index: usize) {
        let process = self.gateways[index].process + 1;
        self.gateways[index] = GatewayState {
            process,
            ..GatewayState::new(index)
        };
    }

    /// Loses a gateway for a while, with what it has seen and what it has in flight.
    fn lose_gateway(&mut self, index: usize) {
        self.restart_gateway(index);
        let length = Duration::from_millis(100 + self.random_below(4_000) as u64);
        self.gateways[index].suspended_until = Some(self.now + length);
        self.gateways[index].is_new = true;
        self.running.retain(|running| running.gateway != index);
        self.due.retain(|running| running.gateway != index);
    }

    fn lose(&mut self, loss: Loss, witness: usize) {
        if loss != Loss::Hub {
            self.lose_gateway(witness);
        }
        if loss != Loss::Witness && self.hub.is_some() {
            self.replace_hub();
        }
    }

    /// Draws the time of the loss that follows a crash. Returns whether it happens at once.
    fn lose_after_crash(&mut self, witness: usize) -> bool {
        let Some((loss, min_delay)) = self.loss_after_crash else {
            return false;
        };
        let steps = MAX_LOSS_DELAY.as_millis() / STEP.as_millis();
        let steps = usize::try_from(steps).expect("fits in usize");
        let delay = match self.random_below(3) {
            0 => min_delay,
            1 => min_delay + STEP * u32::try_from(self.random_below(20)).expect("fits in u32"),
            _ => min_delay + STEP * u32::try_from(self.random_below(steps)).expect("fits in u32"),
        };
        if delay.is_zero() {
            self.lose(loss, witness);
        } else {
            self.pending_losses.push(PendingLoss {
                due: self.now + delay,
                loss,
                witness,
            });
        }
        delay.is_zero() && loss != Loss::Hub
    }

    /// Injects a random fault.
    pub(crate) fn inject_fault(&mut self) {
        let index = self.random_below(GATEWAYS);
        match self.random_below(6) {
            0 => self.replace_hub(),
            1 => self.restart_all(),
            2 => self.gateways[index].is_cut = !self.gateways[index].is_cut,
            3 => {
                self.restart_gateway(index);
                self.running.retain(|running| running.gateway != index);
            }
            4 => {
                let length = Duration::from_millis(500 + self.random_below(6_000) as u64);
                self.gateways[index].suspended_until = Some(self.now + length);
                self.gateways[index].connected_since = None;
            }
            _ => self.loss_percent = self.random_below(50) as u64,
        }
    }

    /// Ends message loss, cut links and suspensions.
    pub(crate) fn heal(&mut self) {
        self.loss_percent = 0;
        for gateway_state in &mut self.gateways {
            gateway_state.is_cut = false;
            gateway_state.suspended_until = None;
        }
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            self.advance_hub();
            self.finish_due();
            let now = self.now;
            let due = |pending: &mut PendingLoss| pending.due <= now;
            let due: Vec<_> = self.pending_losses.extract_if(.., due).collect();
            for pending in due {
                self.lose(pending.loss, pending.witness);
            }
            (0..GATEWAYS).for_each(|index| self.poll_hub(index));
        }
    }

    fn advance_hub(&mut self) {
        let now = self.now;
        if self.next_hub.is_some_and(|at| at <= now) {
            self.next_hub = None;
            self.start_hub();
        }
        let server_list = self.server_list();
        let Some(hub) = &mut self.hub else {
            return;
        };
        if hub.get_server_list().version != server_list.version {
            hub.observe_gone(&server_list, now);
            hub.set_server_list(server_list);
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
            self.commit = Some((now + COMMIT_DELAY, steps));
        }
    }

    /// Completes the requests that are due, or crashes their servers.
    fn finish_due(&mut self) {
        let now = self.now;
        let due = |running: &mut Running| running.ends_at <= now;
        self.due = self.running.extract_if(.., due).collect();
        while let Some(running) = self.due.pop_front() {
            if running.behavior == Behavior::Answer {
                self.complete(&running);
            } else if self.is_up(&running.server) {
                self.crash_server(running);
            }
        }
    }

    fn is_up(&self, server: &Arc<str>) -> bool {
        (0..SERVERS).any(|index| self.name(index) == *server)
    }

    fn complete(&mut self, running: &Running) {
        let now = self.now;
        let quarantine = &mut self.gateways[running.gateway].quarantine;
        quarantine.record_completion(running.attempt(now), true, now);
        self.report(running.gateway);
    }

    fn crash_server(&mut self, cause: Running) {
        let now = self.now;
        let index = (0..SERVERS).find(|index| self.name(*index) == cause.server);
        let index = index.expect("the server is up");
        self.servers[index].0 += 1;
        self.servers[index].1 = now + SERVER_DOWNTIME;
        let identity = cause.features.identity.clone();
        self.crashes.entry(identity).or_default().push(now);
        for part in &*cause.features.parts {
            self.part_crashes.entry(*part).or_default().push(now);
            let untried = usize::from(cause.permit.is_none());
            *self.untried_part_crashes.entry(*part).or_default() += untried;
        }
        let server = Arc::clone(&cause.server);
        let runs_there = |running: &mut Running| running.server == server;
        let mut stopped: Vec<_> = self.running.extract_if(.., runs_there).collect();
        let witness = cause.gateway;
        stopped.push(cause);
        if self.lose_after_crash(witness) {
            stopped.retain(|stopped| stopped.gateway != witness);
        }
        for stopped in stopped {
            let quarantine = &mut self.gateways[stopped.gateway].quarantine;
            quarantine.record_crash(stopped.attempt(now), &server, now);
            self.report(stopped.gateway);
            if stopped.behavior == Behavior::Answer {
                self.interrupted.push(stopped.features);
            }
        }
    }

    /// Whether a message between a gateway and the hub arrives this time.
    fn is_reachable(&mut self, index: usize) -> bool {
        let is_dropped = (self.random_below(100) as u64) < self.loss_percent;
        let (gateway_state, now) = (&self.gateways[index], self.now);
        let is_awake = gateway_state
            .suspended_until
            .is_none_or(|until| until <= now);
        self.hub.is_some() && !gateway_state.is_cut && is_awake && !is_dropped
    }

    fn report(&mut self, index: usize) {
        if !self.is_reachable(index) {
            return;
        }
        let gateway_state = &self.gateways[index];
        let evidence = gateway_state.quarantine.get_evidence();
        let report = Report {
            last_grant: gateway_state.last_grant,
            loads: self.loads(index),
            observations: evidence.unacknowledged(self.now).0,
            ..messages::report(&gateway_state.host)
        };
        if let Some(hub) = &mut self.hub {
            hub.report(&report, self.now);
        }
    }

    /// The requests that a gateway has in flight.
    fn loads(&self, index: usize) -> Vec<Load> {
        let mut counts: BTreeMap<_, u32> = BTreeMap::new();
        let running = self.running.iter().chain(&self.due);
        for running in running.filter(|running| running.gateway == index) {
            *counts.entry(Arc::clone(&running.server)).or_default() += 1;
        }
        let loads = counts.into_iter().map(|(incarnation, requests)| Load {
            incarnation,
            requests,
            prefill_tokens: Tokens(0),
        });
        loads.collect()
    }

    /// Makes a gateway poll the hub, ten times a second on average.
    fn poll_hub(&mut self, index: usize) {
        if self.random_below(10) != 0 {
            return;
        }
        if !self.is_reachable(index) {
            let gateway_state = &mut self.gateways[index];
            if self.hub.is_none() || gateway_state.is_cut || gateway_state.suspended_until.is_some()
            {
                gateway_state.connected_since = None;
            }
            return;
        }
        let gateway_state = &mut self.gateways[index];
        gateway_state.suspended_until = None;
        let evidence = gateway_state.quarantine.get_evidence();
        let (observed, upto) = evidence.unacknowledged(self.now);
        let poll = Poll {
            loads: self.loads(index),
            ..poll(&self.gateways[index], observed)
        };
        let Some(hub) = &mut self.hub else {
            return;
        };
        hub.on_poll(&poll, self.now);
        let reply = hub.reply(&poll, &Publication::default(), self.now);
        // The reply is lost as often as the poll.
        if !self.is_reachable(index) {
            return;
        }
        let gateway_state = &mut self.gateways[index];
        gateway_state.is_new = false;
        gateway_state.quarantine.acknowledge(reply.hub_id, upto);
        if let Some(update) = &reply.quarantine {
            gateway_state.quarantine.apply_update(update, self.now);
        }
        gateway_state.connected_since.get_or_insert(self.now);
    }

    /// Sends a request to a gateway.
    pub(crate) fn send_request(
        &mut self,
        index: usize,
        features: &Features,
        behavior: Behavior,
    ) -> SendOutcome {
        let is_awake = self.gateways[index].suspended_until.is_none();
        if !is_awake {
            return SendOutcome::NoServer;
        }
        let outcome = if self.gateways[index].connected_since.is_some() && self.is_reachable(index)
        {
            self.request_grant(index, features)
        } else {
            self.choose_locally(index, features)
        };
        match outcome {
            Ok((server, permit)) => {
                self.send(index, features, behavior, server, permit);
                SendOutcome::Sent
            }
            Err(outcome) => outcome,
        }
    }

    fn request_grant(
        &mut self,
        index: usize,
        features: &Features,
    ) -> Result<(Arc<str>, Option<u64>), SendOutcome> {
        let gateway_state = &self.gateways[index];
        let now = self.now;
        let slot_request = slot_request(gateway_state, features, now);
        let hub = self.hub.as_mut().expect("the hub is reachable");
        let ticket = match hub.request_slot(slot_request, now) {
            SlotDecision::Queued(ticket, _) => ticket,
            SlotDecision::Rejected(why) => return Err(SendOutcome::Rejected(why)),
            _ => return Err(SendOutcome::NoServer),
        };
        let served = hub.grant_slots(now).into_iter();
        let mut grants = served.filter(|(served, _)| *served == ticket);
        if let Some((_, grant)) = grants.next() {
            self.gateways[index].last_grant = grant.id;
            return Ok((grant.server.incarnation, grant.permit));
        }
        hub.cancel(&ticket, now);
        Err(SendOutcome::NoServer)
    }

    fn choose_locally(
        &mut self,
        index: usize,
        features: &Features,
    ) -> Result<(Arc<str>, Option<u64>), SendOutcome> {
        if self.gateways[index].is_new {
            return Err(SendOutcome::NoServer);
        }
        let may_send = self.gateways[index].quarantine.may_send(features);
        may_send.map_err(SendOutcome::Rejected)?;
        let server = self.random_below(SERVERS);
        let is_up = self.servers[server].1 <= self.now;
        if is_up {
            Ok((self.name(server), None))
        } else {
            Err(SendOutcome::NoServer)
        }
    }

    fn send(
        &mut self,
        index: usize,
        features: &Features,
        behavior: Behavior,
        server: Arc<str>,
        permit: Option<u64>,
    ) {
        let duration = Duration::from_millis(30 + self.random_below(800) as u64);
        for part in &*features.parts {
            self.part_arrivals.entry(*part).or_default().push(self.now);
        }
        if self.is_in_contact(index) {
            let sent = self.sent.entry(features.identity.clone()).or_default();
            sent.push(self.now);
            for part in &*features.parts {
                self.part_sent.entry(*part).or_default().push(self.now);
            }
        }
        self.running.push(Running {
            gateway: index,
            features: features.clone(),
            server,
            permit,
            behavior,
            begins_at: self.now + duration / 3,
            ends_at: self.now + duration,
        });
    }

    /// Whether a gateway has been in contact with the hub for [`CONTACT_TIME`].
    pub(crate) fn is_in_contact(&self, index: usize) -> bool {
        let connected_since = self.gateways[index].connected_since;
        connected_since.is_some_and(|since| self.now.since(since) >= CONTACT_TIME)
    }

    /// How many servers crashed under requests with a part.
    pub(crate) fn part_crash_count(&self, part: Part) -> usize {
        self.part_crashes.get(&part).map_or(0, Vec::len)
    }

    /// When the fifth server crashed under requests with a part.
    pub(crate) fn fifth_crash(&self, part: Part) -> Option<Instant> {
        self.part_crashes.get(&part)?.get(4).copied()
    }

    /// How many requests with a part arrived at servers later than `after` its fifth crash.
    pub(crate) fn count_part_arrivals_after(&self, part: Part, after: Duration) -> usize {
        let (Some(fifth), Some(arrivals)) = (self.fifth_crash(part), self.part_arrivals.get(&part))
        else {
            return 0;
        };
        arrivals.iter().filter(|at| **at > fifth + after).count()
    }

    /// How often gateways in contact sent requests with a part later than `after` its fifth crash.
    pub(crate) fn count_part_sent_after(&self, part: Part, after: Duration) -> usize {
        let (Some(fifth), Some(sent)) = (self.fifth_crash(part), self.part_sent.get(&part)) else {
            return 0;
        };
        sent.iter().filter(|at| **at > fifth + after).count()
    }

    /// How often gateways in contact sent a request later than `after` its third crash.
    pub(crate) fn count_sent_after(&self, identity: &Identity, after: Duration) -> usize {
        let third_crash = self.crashes.get(identity).and_then(|times| times.get(2));
        let (Some(third_crash), Some(sent)) = (third_crash, self.sent.get(identity)) else {
            return 0;
        };
        sent.iter().filter(|at| **at > *third_crash + after).count()
    }
}

fn poll(gateway_state: &GatewayState, observations: Vec<Observation>) -> Poll {
    Poll {
        gateway: Gateway {
            hall: "a".into(),
            callers: "127.0.0.1:80".parse().expect("a valid address"),
            tunnels: None,
            incarnation: gateway_state.process,
        },
        last_grant: gateway_state.last_grant,
        quarantine_version: gateway_state.quarantine.get_version(),
        observations,
        ..messages::poll(&gateway_state.host)
    }
}

fn slot_request(gateway_state: &GatewayState, features: &Features, now: Instant) -> SlotRequest {
    SlotRequest {
        features: features.clone(),
        observations: gateway_state
            .quarantine
            .get_evidence()
            .unacknowledged_for(features, now),
        ..messages::slot_request(&gateway_state.host)
    }
}
