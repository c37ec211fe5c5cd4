//! The simulation: gateways, the hub, the log, and servers of both versions.

use std::collections::BTreeMap;
use std::collections::HashMap;
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
use curlewlift_core::gateway::RolloutTag;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::id;
use curlewlift_core::limit::Reports;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::quarantine::Features;
use curlewlift_core::rollout::Bounds;
use curlewlift_core::rollout::Order;
use curlewlift_core::rollout::Phase;
use curlewlift_core::rollout::Plans;
use curlewlift_core::rollout::Policy;
use curlewlift_core::rollout::Step;
use curlewlift_core::rollout::Version;
use curlewlift_core::state::Publication;
use curlewlift_core::unit::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Outcome;
use super::Scenario;
use super::Trouble;
use super::engine::Attempt;
use super::engine::Engine;
use super::engine::RULES;

/// The step of the simulated time in milliseconds.
const TICK_MS: u64 = 5;

/// When the order is given, in milliseconds.
const ORDER_AT_MS: u64 = 3_000;

/// The delay of the platform's server list in milliseconds.
const LIST_LAG_MS: u64 = 800;

/// How long a step takes to be committed to the log, in milliseconds.
const COMMIT_DELAY_MS: u64 = 15;

/// The interval between two polls of a gateway, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

const GATEWAYS: usize = 10;

/// How many requests a version on trial may receive.
const BOUNDS: Bounds = Bounds {
    share: 0.1,
    extra_requests: 50.0,
};

/// A gateway; its index is part of the name of its host.
struct GatewayState {
    host: id::Host,
    last_grant: GrantId,
    policy: Policy,
    ended: Vec<AttemptEnd>,
    /// Whether its requests in flight have changed since its last report.
    has_changes: bool,
}

/// A request that a server runs.
struct RunningRequest {
    gateway: usize,
    engine: usize,
    ends_at_ms: u64,
    attempt: Attempt,
    rollout: Option<RolloutTag>,
}

/// Simulates a roll-out and returns its outcome.
#[must_use]
pub fn run(scenario: Scenario) -> Outcome {
    let mut world = World::new(scenario);
    let until = ORDER_AT_MS + scenario.length_ms * 3;
    while world.now < until && !world.is_over() {
        world.step();
        world.now += TICK_MS;
    }
    world.outcome
}

struct World {
    scenario: Scenario,
    random: SmallRng,
    now: u64,
    plans: Plans,
    hub: Option<Hub>,
    hub_count: u64,
    gateways: Vec<GatewayState>,
    engines: Vec<Engine>,
    running_requests: Vec<RunningRequest>,
    waiting: HashMap<Ticket, (usize, usize)>,
    steps: Vec<(u64, Step)>,
    outcome: Outcome,
    fiftieth_at_ms: Option<u64>,
}

fn service() -> id::Service {
    "chat".parse().expect("a valid name")
}

fn version(is_new: bool) -> Version {
    let name = if is_new { "v2" } else { "v1" };
    name.parse().expect("a valid version")
}

fn engine(number: usize, is_new: bool) -> Engine {
    let name: Arc<str> = format!("{}-{number}", version(is_new)).into();
    Engine {
        server: Server {
            incarnation: Arc::clone(&name),
            name,
            started_ms: 0,
            version: version(is_new),
            service: service(),
            address: "127.0.0.1:1".parse().expect("a valid address"),
            hall: "a".into(),
            slots: 4,
            leaving: false,
            cold: false,
        },
        is_new,
        slowness: if number % 5 < 2 { 1.0 } else { 2.7 },
        running: 0,
        failure_rate: 0.0,
        down_until_ms: 0,
    }
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let engines = (0..scenario.servers).flat_map(|n| [engine(n, false), engine(n, true)]);
        let gateways = (0..GATEWAYS).map(|number| GatewayState {
            host: format!("g{number}").parse().expect("a valid name"),
            last_grant: GrantId::default(),
            policy: Policy::default(),
            ended: Vec::new(),
            has_changes: false,
        });
        Self {
            scenario,
            random: SmallRng::seed_from_u64(scenario.seed),
            now: 0,
            plans: Plans::default(),
            hub: None,
            hub_count: 0,
            gateways: gateways.collect(),
            engines: engines.collect(),
            running_requests: Vec::new(),
            waiting: HashMap::new(),
            steps: Vec::new(),
            outcome: Outcome::default(),
            fiftieth_at_ms: None,
        }
    }

    fn instant(&self) -> Instant {
        Instant::default() + Duration::from_millis(self.now)
    }

    /// The time since the order in milliseconds.
    fn age_ms(&self) -> u64 {
        self.now.saturating_sub(ORDER_AT_MS)
    }

    fn phase(&self) -> Option<Phase> {
        self.plans.last_order(&service()).map(|(_, phase)| phase)
    }

    fn is_over(&self) -> bool {
        self.phase().is_some_and(Phase::is_final) && self.age_ms() > self.scenario.length_ms
    }

    fn step(&mut self) {
        self.apply_trouble();
        self.update_hub();
        if self.now == ORDER_AT_MS {
            self.steps.push((self.now, Step::Ordered(self.order())));
        }
        self.commit_steps();
        self.update_server_list();
        self.finish_requests();
        self.submit_requests();
        self.exchange_messages();
        self.grant_slots();
        self.propose_steps();
    }

    fn order(&self) -> Order {
        Order {
            service: service(),
            target: version(true),
            duration: Duration::from_millis(self.scenario.length_ms),
            given_ms: ORDER_AT_MS,
        }
    }
}

/// # Trouble
impl World {
    fn apply_trouble(&mut self) {
        let at = |ms: u64| self.now == ORDER_AT_MS + ms;
        let (failure_rate, downtime) = match self.scenario.trouble {
            Trouble::Crash if at(3_000) => (0.0, 2_000),
            Trouble::Grey if at(1_500) => (0.4, 0),
            Trouble::GreyMany if at(2_500) => (0.5, 0),
            Trouble::GreyMany if at(6_500) => {
                for engine in &mut self.engines {
                    engine.failure_rate = 0.0;
                }
                return;
            }
            _ => return,
        };
        let affected_share = if self.scenario.trouble == Trouble::GreyMany {
            0.5
        } else {
            0.2
        };
        for engine in &mut self.engines {
            if self.random.random_bool(affected_share) {
                engine.failure_rate = failure_rate;
                engine.down_until_ms = self.now + downtime;
            }
        }
    }

    /// Whether a gateway reaches the hub.
    fn is_hub_reachable(&self, gateway: usize) -> bool {
        let is_cut = self.scenario.trouble == Trouble::Cut
            && gateway < 2
            && (2_000..7_000).contains(&self.age_ms());
        self.hub.is_some() && !is_cut
    }

    fn update_hub(&mut self) {
        let outages = self.scenario.trouble.hub_outages();
        if outages
            .iter()
            .any(|(at, _)| self.age_ms() == *at && self.now > ORDER_AT_MS)
        {
            self.stop_hub();
        }
        let is_outage = outages.iter().any(|(at, duration)| {
            self.now > ORDER_AT_MS && (*at..at + duration).contains(&self.age_ms())
        });
        if self.hub.is_none() && !is_outage {
            self.hub_count += 1;
            let tuning = Tuning {
                rollouts: Some(BOUNDS),
                ..Tuning::default()
            };
            let mut hub = Hub::new(tuning, self.instant()).with_id(self.hub_count);
            hub.apply_plans(&self.plans, None, self.now, self.instant());
            self.hub = Some(hub);
        }
    }

    fn stop_hub(&mut self) {
        self.hub = None;
        self.waiting.clear();
        // A proposed step may be lost with its leader.
        self.steps.retain(|_| self.random.random());
        if self.scenario.trouble == Trouble::AllKilled {
            self.running_requests.clear();
            for engine in &mut self.engines {
                engine.running = 0;
            }
            for gateway_state in &mut self.gateways {
                gateway_state.ended.clear();
                gateway_state.policy = Policy::default();
                gateway_state.last_grant = GrantId::default();
            }
        }
    }
}

/// # The log and the server list
impl World {
    fn commit_steps(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.steps.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, step) in due {
            self.apply(&step);
        }
    }

    fn apply(&mut self, step: &Step) {
        let before = self.phase();
        self.plans.apply(step).expect("no conflict");
        let new_order = match step {
            Step::Ordered(order) => Some(order),
            _ => None,
        };
        let now = self.instant();
        if let Some(hub) = &mut self.hub {
            hub.apply_plans(&self.plans, new_order, self.now, now);
        }
        let after = self.phase();
        if after == before || !after.is_some_and(Phase::is_final) {
            return;
        }
        self.outcome.phase = after;
        self.outcome.ended_ms = self.age_ms();
        let on_old_version = self
            .running_requests
            .iter()
            .filter(|run| !self.engines[run.engine].is_new);
        if after == Some(Phase::Completed) {
            self.outcome.cut_off = on_old_version.count() as u64;
        }
    }

    fn update_server_list(&mut self) {
        if !self.now.is_multiple_of(500) {
            return;
        }
        let now = self.instant();
        let has_new = self.now >= ORDER_AT_MS + LIST_LAG_MS;
        let is_completed = self.phase() == Some(Phase::Completed);
        let listed = self.engines.iter().filter(|engine| {
            let is_up = engine.down_until_ms + LIST_LAG_MS <= self.now || engine.down_until_ms == 0;
            is_up
                && if engine.is_new {
                    has_new
                } else {
                    !is_completed
                }
        });
        let server_list = ServerList::new(listed.map(|engine| engine.server.clone()).collect());
        if let Some(hub) = &mut self.hub {
            hub.set_server_list(Arc::new(server_list));
            hub.tick(now);
        }
    }
}

/// # Requests
impl World {
    fn submit_requests(&mut self) {
        let is_burst =
            self.scenario.trouble == Trouble::Burst && (4_000..7_000).contains(&self.age_ms());
        let rate = self.scenario.rate * if is_burst { 2.0 } else { 1.0 };
        let mut expected = rate * TICK_MS as f64 / 1_000.0;
        while expected > 0.0 {
            if self.random.random_bool(expected.min(1.0)) {
                self.submit_request();
            }
            expected -= 1.0;
        }
    }

    fn submit_request(&mut self) {
        let gateway = self.random.random_range(0..GATEWAYS);
        let mut remaining: f64 = self.random.random();
        let rule = RULES.iter().position(|rule| {
            remaining -= rule.share;
            remaining < 0.0
        });
        let rule = rule.unwrap_or(0);
        if !self.is_hub_reachable(gateway) {
            self.choose_locally(gateway, rule);
            return;
        }
        let now = self.instant();
        let slot_request = SlotRequest {
            host: self.gateways[gateway].host.clone(),
            hall: "a".into(),
            service: service(),
            rule: Some(RULES[rule].name.into()),
            customer: None,
            rank: 0.into(),
            waited: Duration::ZERO,
            send_within: Duration::from_millis(200),
            first_event_within: Duration::from_secs(1),
            max_gap: None,
            max_wait: Duration::from_millis(200),
            time_left: Duration::from_secs(10),
            features: Features::default(),
            observations: Vec::new(),
            prompt: Tokens(100),
            output: Tokens(0),
            charge: None,
            needs_retry: false,
            tried: Vec::new(),
            avoid: Vec::new(),
            backoffs: Vec::new(),
            allowed_halls: None,
            allowed_versions: None,
        };
        let Some(hub) = &mut self.hub else { return };
        match hub.request_slot(slot_request, now) {
            SlotDecision::Queued(ticket, replaced) => {
                self.waiting.insert(ticket, (gateway, rule));
                if let Some(replaced) = replaced {
                    self.waiting.remove(&replaced.ticket);
                }
            }
            _ => self.outcome.refused += 1,
        }
    }

    /// Makes a gateway without the hub send to a random server that its policy allows.
    fn choose_locally(&mut self, gateway: usize, rule: usize) {
        let policy = &self.gateways[gateway].policy;
        let is_allowed = |engine: &Engine| {
            policy.version != 0
                && policy.allows(&engine.server)
                && engine.running <= engine.server.slots
        };
        let engines = self.engines.iter().enumerate();
        let candidates: Vec<_> = engines.filter(|(_, engine)| is_allowed(engine)).collect();
        let Some(index) =
            (!candidates.is_empty()).then(|| self.random.random_range(0..candidates.len()))
        else {
            self.outcome.refused += 1;
            return;
        };
        let index = candidates[index].0;
        self.start_request(gateway, rule, index);
    }

    fn start_request(&mut self, gateway: usize, rule: usize, index: usize) {
        let age_ms = self.age_ms();
        let engine = &self.engines[index];
        let is_down = self.now < engine.down_until_ms;
        let attempt = if is_down {
            Attempt {
                outcome: AttemptOutcome::Broken,
                duration_ms: 1,
                is_faulty: false,
            }
        } else {
            engine.run_request(rule, self.scenario.fault, age_ms, &mut self.random)
        };
        let is_new = engine.is_new;
        let target = self.gateways[gateway].policy.rollout_target(&service());
        let rollout = target.map(|target| RolloutTag {
            rule: RULES[rule].name.into(),
            target: target.clone(),
        });
        self.engines[index].running += 1;
        if !is_down {
            self.count_request(is_new);
        }
        self.gateways[gateway].has_changes = true;
        self.running_requests.push(RunningRequest {
            gateway,
            engine: index,
            ends_at_ms: self.now + attempt.duration_ms,
            attempt,
            rollout,
        });
    }

    /// Counts a request that reached a server.
    fn count_request(&mut self, is_new: bool) {
        if self.now < ORDER_AT_MS || self.age_ms() > self.scenario.length_ms {
            return;
        }
        self.outcome.requests += 1;
        if !is_new {
            return;
        }
        if let Some(fiftieth_at_ms) = self.fiftieth_at_ms {
            self.outcome.ms_after_fiftieth = self.now - fiftieth_at_ms;
        }
        if self.phase() == Some(Phase::Trial) {
            self.outcome.new_version_requests += 1;
            let bound = BOUNDS.share * self.outcome.requests as f64 + BOUNDS.extra_requests;
            let over_bound = self.outcome.new_version_requests as f64 - bound;
            self.outcome.max_over_bound = self.outcome.max_over_bound.max(over_bound);
        }
    }

    fn finish_requests(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self
            .running_requests
            .extract_if(.., |run| run.ends_at_ms <= now)
            .collect();
        for run in ended {
            let engine = &mut self.engines[run.engine];
            engine.running -= 1;
            let gateway_state = &mut self.gateways[run.gateway];
            gateway_state.has_changes = true;
            gateway_state.ended.push(AttemptEnd {
                service: service(),
                incarnation: Arc::clone(&engine.server.incarnation),
                rollout: run.rollout,
                outcome: run.attempt.outcome,
                grant: GrantId::default(),
                server_time: Duration::ZERO,
                load: None,
            });
            if run.attempt.is_faulty && engine.is_new {
                self.outcome.faulty_responses += 1;
                if self.outcome.faulty_responses == 50 {
                    self.fiftieth_at_ms = Some(now);
                }
            }
        }
    }
}

/// # Messages between gateways and the hub
impl World {
    fn exchange_messages(&mut self) {
        for gateway in 0..GATEWAYS {
            if !self.is_hub_reachable(gateway) {
                continue;
            }
            let polls =
                (self.now / TICK_MS + gateway as u64).is_multiple_of(POLL_INTERVAL_MS / TICK_MS);
            if !polls && !self.gateways[gateway].has_changes {
                continue;
            }
            let loads = self.loads(gateway);
            let now = self.instant();
            let gateway_state = &mut self.gateways[gateway];
            gateway_state.has_changes = false;
            let Some(hub) = &mut self.hub else { return };
            let report = Report {
                host: gateway_state.host.clone(),
                last_grant: gateway_state.last_grant,
                loads: loads.clone(),
                ended: std::mem::take(&mut gateway_state.ended),
                observations: Vec::new(),
                unused: Vec::new(),
                limit_reports: Reports::default(),
                streams: Vec::new(),
                known_table: 0,
                table_in_effect: 0,
            };
            hub.report(&report, now);
            if polls {
                let poll = poll(gateway_state, loads);
                hub.on_poll(&poll, now);
                let reply = hub.reply(&poll, &Publication::default(), now);
                if let Some(policy) = reply.policy {
                    gateway_state.policy = policy;
                }
            }
        }
    }

    fn loads(&self, gateway: usize) -> Vec<Load> {
        let mut loads = BTreeMap::new();
        for run in self
            .running_requests
            .iter()
            .filter(|run| run.gateway == gateway)
        {
            let incarnation = &self.engines[run.engine].server.incarnation;
            *loads.entry(Arc::clone(incarnation)).or_insert(0) += 1;
        }
        let loads = loads.into_iter().map(|(incarnation, requests)| Load {
            incarnation,
            requests,
            prefill_tokens: Tokens(0),
        });
        loads.collect()
    }

    fn grant_slots(&mut self) {
        let now = self.instant();
        let Some(hub) = &mut self.hub else { return };
        let grants = hub.grant_slots(now);
        let doomed = hub.reject_doomed(now);
        for rejected in doomed {
            self.waiting.remove(&rejected.ticket);
            self.outcome.refused += 1;
        }
        for (ticket, grant) in grants {
            if let Some((gateway, rule)) = self.waiting.remove(&ticket) {
                self.accept_grant(gateway, rule, &grant);
            }
        }
    }

    fn accept_grant(&mut self, gateway: usize, rule: usize, grant: &Grant) {
        self.gateways[gateway].last_grant = grant.id;
        let incarnation = &grant.server.incarnation;
        let mut engines = self.engines.iter();
        let index = engines.position(|engine| engine.server.incarnation == *incarnation);
        self.start_request(gateway, rule, index.expect("the server is on the list"));
    }

    fn propose_steps(&mut self) {
        if !self.now.is_multiple_of(20) {
            return;
        }
        let now = self.instant();
        let Some(hub) = &mut self.hub else { return };
        for (step, _) in hub.propose_rollout_steps(now) {
            self.steps.push((self.now + COMMIT_DELAY_MS, step));
        }
    }
}

fn poll(gateway_state: &GatewayState, loads: Vec<Load>) -> Poll {
    Poll {
        host: gateway_state.host.clone(),
        gateway: Gateway {
            hall: "a".into(),
            callers: "127.0.0.1:80".parse().expect("a valid address"),
            tunnels: None,
            incarnation: 1,
        },
        ready: true,
        known_table: 0,
        table_in_effect: 0,
        needs_lease: false,
        wants_whole_list: false,
        server_list_version: 0,
        membership_version: 0,
        standbys_version: 0,
        slot_lenders_version: 0,
        policy_version: gateway_state.policy.version,
        last_grant: gateway_state.last_grant,
        loads,
        last_reply: 0,
        given_up_unused: 0.0,
        quarantine_version: 0,
        observations: Vec::new(),
        limit_reports: Reports::default(),
        limits_version: (0, 0),
        stream_versions: 0,
        fetched_list: None,
        platform_silence: Duration::ZERO,
    }
}
