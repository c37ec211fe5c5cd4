//! The simulated time: gateways, the hub, the log, servers of both versions.

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
use curlewlift_core::quarantine::Identity;
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
use super::engine::Engine;
use super::engine::Play;
use super::engine::RULES;

/// A step of the simulated time, in milliseconds.
const TICK: u64 = 5;

/// When the order is given, in milliseconds.
const ORDER: u64 = 3_000;

/// How long the platform's list lags, in milliseconds.
const LAG: u64 = 800;

/// What the log takes to agree a step, in milliseconds.
const AGREE: u64 = 15;

/// Between two questions of a gateway, in milliseconds.
const ASKS: u64 = 100;

const GATEWAYS: usize = 10;

/// What is borne of a version on trial.
const BOUNDS: Bounds = Bounds {
    share: 0.1,
    extra_requests: 50.0,
};

/// A gateway; its number names its host.
struct Asker {
    host: id::Host,
    mark: GrantId,
    policy: Policy,
    ends: Vec<AttemptEnd>,
    /// Whether what it has in flight has changed since its last report.
    has_news: bool,
}

/// A request at a server.
struct Run {
    gateway: usize,
    engine: usize,
    ends: u64,
    play: Play,
    watched: Option<RolloutTag>,
}

/// Plays a roll-out; gives what it came to.
#[must_use]
pub fn run(scenario: Scenario) -> Outcome {
    let mut world = World::new(scenario);
    let until = ORDER + scenario.length_ms * 3;
    while world.now < until && !world.is_over() {
        world.step();
        world.now += TICK;
    }
    world.outcome
}

struct World {
    scenario: Scenario,
    random: SmallRng,
    now: u64,
    plans: Plans,
    hub: Option<Hub>,
    hubs: u64,
    askers: Vec<Asker>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    waiting: HashMap<Ticket, (usize, usize)>,
    steps: Vec<(u64, Step)>,
    outcome: Outcome,
    fiftieth: Option<u64>,
}

fn service() -> id::Service {
    "chat".parse().expect("a name")
}

fn version(is_new: bool) -> Version {
    let name = if is_new { "v2" } else { "v1" };
    name.parse().expect("a version")
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
            address: "127.0.0.1:1".parse().expect("an address"),
            hall: "a".into(),
            slots: 4,
            leaving: false,
            cold: false,
        },
        is_new,
        pace: if number % 5 < 2 { 1.0 } else { 2.7 },
        running: 0,
        grey: 0.0,
        down_until: 0,
    }
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let engines = (0..scenario.servers).flat_map(|n| [engine(n, false), engine(n, true)]);
        let askers = (0..GATEWAYS).map(|number| Asker {
            host: format!("g{number}").parse().expect("a name"),
            mark: GrantId::default(),
            policy: Policy::default(),
            ends: Vec::new(),
            has_news: false,
        });
        Self {
            scenario,
            random: SmallRng::seed_from_u64(scenario.seed),
            now: 0,
            plans: Plans::default(),
            hub: None,
            hubs: 0,
            askers: askers.collect(),
            engines: engines.collect(),
            runs: Vec::new(),
            waiting: HashMap::new(),
            steps: Vec::new(),
            outcome: Outcome::default(),
            fiftieth: None,
        }
    }

    fn clock(&self) -> Instant {
        Instant::default() + Duration::from_millis(self.now)
    }

    /// The time since the order, in milliseconds.
    fn age(&self) -> u64 {
        self.now.saturating_sub(ORDER)
    }

    fn phase(&self) -> Option<Phase> {
        self.plans.last_order(&service()).map(|(_, phase)| phase)
    }

    fn is_over(&self) -> bool {
        self.phase().is_some_and(Phase::is_final) && self.age() > self.scenario.length_ms
    }

    fn step(&mut self) {
        self.make_trouble();
        self.make_hub();
        if self.now == ORDER {
            self.steps.push((self.now, Step::Ordered(self.order())));
        }
        self.agree();
        self.list();
        self.end_runs();
        self.arrive();
        self.talk();
        self.serve();
        self.tend();
    }

    fn order(&self) -> Order {
        Order {
            service: service(),
            target: version(true),
            duration: Duration::from_millis(self.scenario.length_ms),
            given_ms: ORDER,
        }
    }
}

/// # Trouble
impl World {
    fn make_trouble(&mut self) {
        let at = |ms: u64| self.now == ORDER + ms;
        let (grey, down) = match self.scenario.trouble {
            Trouble::Crash if at(3_000) => (0.0, 2_000),
            Trouble::Grey if at(1_500) => (0.4, 0),
            Trouble::GreyMany if at(2_500) => (0.5, 0),
            Trouble::GreyMany if at(6_500) => {
                for engine in &mut self.engines {
                    engine.grey = 0.0;
                }
                return;
            }
            _ => return,
        };
        let part = if self.scenario.trouble == Trouble::GreyMany {
            0.5
        } else {
            0.2
        };
        for engine in &mut self.engines {
            if self.random.random_bool(part) {
                engine.grey = grey;
                engine.down_until = self.now + down;
            }
        }
    }

    /// Whether a gateway hears the hub.
    fn hears(&self, gateway: usize) -> bool {
        let is_cut = self.scenario.trouble == Trouble::Cut
            && gateway < 2
            && (2_000..7_000).contains(&self.age());
        self.hub.is_some() && !is_cut
    }

    fn make_hub(&mut self) {
        let changes = self.scenario.trouble.changes();
        if changes
            .iter()
            .any(|(at, _)| self.age() == *at && self.now > ORDER)
        {
            self.end_hub();
        }
        let gap = changes
            .iter()
            .any(|(at, gap)| self.now > ORDER && (*at..at + gap).contains(&self.age()));
        if self.hub.is_none() && !gap {
            self.hubs += 1;
            let tuning = Tuning {
                rollouts: Some(BOUNDS),
                ..Tuning::default()
            };
            let mut hub = Hub::new(tuning, self.clock()).with_id(self.hubs);
            hub.apply_plans(&self.plans, None, self.now, self.clock());
            self.hub = Some(hub);
        }
    }

    fn end_hub(&mut self) {
        self.hub = None;
        self.waiting.clear();
        // What was proposed may be lost with its leader, or not.
        self.steps.retain(|_| self.random.random());
        if self.scenario.trouble == Trouble::AllKilled {
            self.runs.clear();
            for engine in &mut self.engines {
                engine.running = 0;
            }
            for asker in &mut self.askers {
                asker.ends.clear();
                asker.policy = Policy::default();
                asker.mark = GrantId::default();
            }
        }
    }
}

/// # The log and the list
impl World {
    fn agree(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.steps.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, step) in due {
            self.apply(&step);
        }
    }

    fn apply(&mut self, step: &Step) {
        let before = self.phase();
        self.plans.apply(step).expect("no conflict");
        let own = match step {
            Step::Ordered(order) => Some(order),
            _ => None,
        };
        let now = self.clock();
        if let Some(hub) = &mut self.hub {
            hub.apply_plans(&self.plans, own, self.now, now);
        }
        let after = self.phase();
        if after == before || !after.is_some_and(Phase::is_final) {
            return;
        }
        self.outcome.phase = after;
        self.outcome.ended_ms = self.age();
        let at_former = self
            .runs
            .iter()
            .filter(|run| !self.engines[run.engine].is_new);
        if after == Some(Phase::Completed) {
            self.outcome.cut = at_former.count() as u64;
        }
    }

    fn list(&mut self) {
        if !self.now.is_multiple_of(500) {
            return;
        }
        let now = self.clock();
        let has_new = self.now >= ORDER + LAG;
        let is_completed = self.phase() == Some(Phase::Completed);
        let listed = self.engines.iter().filter(|engine| {
            let is_up = engine.down_until + LAG <= self.now || engine.down_until == 0;
            is_up
                && if engine.is_new {
                    has_new
                } else {
                    !is_completed
                }
        });
        let listing = ServerList::new(listed.map(|engine| engine.server.clone()).collect());
        if let Some(hub) = &mut self.hub {
            hub.set_server_list(Arc::new(listing));
            hub.tick(now);
        }
    }
}

/// # Requests
impl World {
    fn arrive(&mut self) {
        let is_burst =
            self.scenario.trouble == Trouble::Burst && (4_000..7_000).contains(&self.age());
        let rate = self.scenario.rate * if is_burst { 2.0 } else { 1.0 };
        let mut expected = rate * TICK as f64 / 1_000.0;
        while expected > 0.0 {
            if self.random.random_bool(expected.min(1.0)) {
                self.ask();
            }
            expected -= 1.0;
        }
    }

    fn ask(&mut self) {
        let gateway = self.random.random_range(0..GATEWAYS);
        let mut lot: f64 = self.random.random();
        let rule = RULES.iter().position(|rule| {
            lot -= rule.often;
            lot < 0.0
        });
        let rule = rule.unwrap_or(0);
        if !self.hears(gateway) {
            self.choose_alone(gateway, rule);
            return;
        }
        let now = self.clock();
        let want = SlotRequest {
            host: self.askers[gateway].host.clone(),
            hall: "a".into(),
            service: service(),
            rule: Some(RULES[rule].name.into()),
            rank: 0.into(),
            waited: Duration::ZERO,
            send_within: Duration::from_millis(200),
            max_wait: Duration::from_millis(200),
            time_left: Duration::from_secs(10),
            identity: Identity::default(),
            observations: Vec::new(),
            prompt: Tokens(100),
            charge: None,
            needs_retry: false,
            tried: Vec::new(),
            avoid: Vec::new(),
            backoffs: Vec::new(),
            allowed_halls: None,
        };
        let Some(hub) = &mut self.hub else { return };
        match hub.request_slot(want, now) {
            SlotDecision::Queued(ticket, last) => {
                self.waiting.insert(ticket, (gateway, rule));
                if let Some(last) = last {
                    self.waiting.remove(&last);
                }
            }
            _ => self.outcome.refused += 1,
        }
    }

    /// A gateway that does not hear the hub sends to any server that it may send to by itself.
    fn choose_alone(&mut self, gateway: usize, rule: usize) {
        let policy = &self.askers[gateway].policy;
        let may = |engine: &Engine| {
            policy.version != 0
                && policy.allows(&engine.server)
                && engine.running <= engine.server.slots
        };
        let engines = self.engines.iter().enumerate();
        let open: Vec<_> = engines.filter(|(_, engine)| may(engine)).collect();
        let Some(place) = (!open.is_empty()).then(|| self.random.random_range(0..open.len()))
        else {
            self.outcome.refused += 1;
            return;
        };
        let place = open[place].0;
        self.begin(gateway, rule, place);
    }

    fn begin(&mut self, gateway: usize, rule: usize, place: usize) {
        let age = self.age();
        let engine = &self.engines[place];
        let is_down = self.now < engine.down_until;
        let play = if is_down {
            Play {
                end: AttemptOutcome::Broken,
                takes: 1,
                is_bad: false,
            }
        } else {
            engine.play(rule, self.scenario.fault, age, &mut self.random)
        };
        let is_new = engine.is_new;
        let target = self.askers[gateway].policy.rollout_target(&service());
        let watched = target.map(|target| RolloutTag {
            rule: RULES[rule].name.into(),
            target: target.clone(),
        });
        self.engines[place].running += 1;
        if !is_down {
            self.count(is_new);
        }
        self.askers[gateway].has_news = true;
        self.runs.push(Run {
            gateway,
            engine: place,
            ends: self.now + play.takes,
            play,
            watched,
        });
    }

    /// Counts a request that reaches a server.
    fn count(&mut self, is_new: bool) {
        if self.now < ORDER || self.age() > self.scenario.length_ms {
            return;
        }
        self.outcome.reached += 1;
        if !is_new {
            return;
        }
        if let Some(fiftieth) = self.fiftieth {
            self.outcome.after_fiftieth = self.now - fiftieth;
        }
        if self.phase() == Some(Phase::Trial) {
            self.outcome.exposed += 1;
            let bound = BOUNDS.share * self.outcome.reached as f64 + BOUNDS.extra_requests;
            let over = self.outcome.exposed as f64 - bound;
            self.outcome.over = self.outcome.over.max(over);
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.runs.extract_if(.., |run| run.ends <= now).collect();
        for run in ended {
            let engine = &mut self.engines[run.engine];
            engine.running -= 1;
            let asker = &mut self.askers[run.gateway];
            asker.has_news = true;
            asker.ends.push(AttemptEnd {
                service: service(),
                incarnation: Arc::clone(&engine.server.incarnation),
                rollout: run.watched,
                outcome: run.play.end,
            });
            if run.play.is_bad && engine.is_new {
                self.outcome.bad += 1;
                if self.outcome.bad == 50 {
                    self.fiftieth = Some(now);
                }
            }
        }
    }
}

/// # What gateways and hub say to each other
impl World {
    fn talk(&mut self) {
        for gateway in 0..GATEWAYS {
            if !self.hears(gateway) {
                continue;
            }
            let asks = (self.now / TICK + gateway as u64).is_multiple_of(ASKS / TICK);
            if !asks && !self.askers[gateway].has_news {
                continue;
            }
            let loads = self.loads(gateway);
            let now = self.clock();
            let asker = &mut self.askers[gateway];
            asker.has_news = false;
            let Some(hub) = &mut self.hub else { return };
            let report = Report {
                host: asker.host.clone(),
                last_grant: asker.mark,
                loads: loads.clone(),
                ended: std::mem::take(&mut asker.ends),
                observations: Vec::new(),
                limit_reports: Reports::default(),
            };
            hub.report(&report, now);
            if asks {
                let question = question(asker, loads);
                hub.on_poll(&question, now);
                let reply = hub.reply(&question, &Publication::default(), now);
                if let Some(policy) = reply.policy {
                    asker.policy = policy;
                }
            }
        }
    }

    fn loads(&self, gateway: usize) -> Vec<Load> {
        let mut loads = BTreeMap::new();
        for run in self.runs.iter().filter(|run| run.gateway == gateway) {
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

    fn serve(&mut self) {
        let now = self.clock();
        let Some(hub) = &mut self.hub else { return };
        let served = hub.grant_slots(now);
        let hopeless = hub.reject_doomed(now);
        for ticket in hopeless {
            self.waiting.remove(&ticket);
            self.outcome.refused += 1;
        }
        for (ticket, grant) in served {
            if let Some((gateway, rule)) = self.waiting.remove(&ticket) {
                self.take(gateway, rule, &grant);
            }
        }
    }

    fn take(&mut self, gateway: usize, rule: usize, grant: &Grant) {
        self.askers[gateway].mark = grant.id;
        let incarnation = &grant.server.incarnation;
        let mut engines = self.engines.iter();
        let place = engines.position(|engine| engine.server.incarnation == *incarnation);
        self.begin(gateway, rule, place.expect("it is on the list"));
    }

    fn tend(&mut self) {
        if !self.now.is_multiple_of(20) {
            return;
        }
        let now = self.clock();
        let Some(hub) = &mut self.hub else { return };
        for (step, _) in hub.propose_rollout_steps(now) {
            self.steps.push((self.now + AGREE, step));
        }
    }
}

fn question(asker: &Asker, loads: Vec<Load>) -> Poll {
    Poll {
        host: asker.host.clone(),
        gateway: Gateway {
            hall: "a".into(),
            callers: "127.0.0.1:80".parse().expect("an address"),
        },
        ready: true,
        known_table: 0,
        wants_whole_list: false,
        server_list_version: 0,
        membership_version: 0,
        standbys_version: 0,
        policy_version: asker.policy.version,
        last_grant: asker.mark,
        loads,
        last_reply: 0,
        quarantine_version: 0,
        observations: Vec::new(),
        limit_reports: Reports::default(),
        limits_version: (0, 0),
        fetched_list: None,
    }
}
