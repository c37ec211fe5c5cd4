//! The simulation: requests arrive, are scheduled, run, and are counted in virtual time.

use curlewlift_core::code::Code;
use curlewlift_core::fleet::Tuning;
use curlewlift_core::queue::Report;
use curlewlift_core::unit::Tokens;

use super::balancer::Balancer;
use super::balancer::Chooser;
use super::engine::Engine;
use super::engine::Event;
use super::engine::Job;
use super::load;
use super::load::FAULT_START_SECONDS;
use super::load::Request;
use super::owner::Decision;
use super::owner::Message;
use super::owner::Owner;
use super::scenario::Case;
use super::scenario::Deployment;
use super::score::Score;

/// Length of a step in seconds.
const STEP: f64 = 0.005;

/// Length of a run in seconds: the time of the last arrival plus the longest useful response time.
const RUN_SECONDS: f64 = load::ARRIVAL_SECONDS + 181.0;

/// Interval between load reports, and their delay, in seconds.
const REPORT_INTERVAL: f64 = 1.0;

/// Seconds after which entries with a load balancer of their own learn that an engine drains.
const LIST_DELAY: f64 = 5.0;

/// Steps between two ticks of the owner.
const OWNER_TICK_STEPS: u64 = 10;

/// Steps between two reports of generated tokens.
const TOKEN_REPORT_STEPS: u64 = 50;

/// The factor by which a slow engine is slower.
const SLOW_ENGINE_FACTOR: f64 = 5.0;

/// How requests are scheduled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strategy {
    /// The product's queue, at its owner.
    Product,
    /// The product's queue, with messages that arrive without delay.
    ProductWithoutDelay,
    /// The product's queue with other tuning.
    ProductTuned(Tuning),
    /// A load balancer at each entry.
    PerEntry(Balancer),
}

#[derive(Debug)]
enum Scheduler {
    Owner(Box<Owner>),
    Chooser(Box<Chooser>),
}

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestState {
    NotArrived,
    Waiting,
    Sent {
        engine: usize,
        first_token_at: Option<f64>,
    },
    Finished,
}

struct Simulation<'a> {
    deployment: &'a Deployment,
    case: &'a Case,
    requests: Vec<Request>,
    states: Vec<RequestState>,
    open_requests: Vec<usize>,
    engines: Vec<Engine>,
    scheduler: Scheduler,
    score: Score,
    next_arrival: usize,
    previous_loads: Vec<usize>,
}

/// Simulates `case` at `deployment` with a scheduling strategy, for one seed.
#[must_use]
pub fn run(deployment: &Deployment, case: &Case, strategy: Strategy, seed: u64) -> Score {
    let requests = load::requests(case, &deployment.engines, deployment.entries, seed);
    let message_delay = match strategy {
        Strategy::ProductWithoutDelay => 0.0,
        _ => deployment.hall_latency.as_secs_f64(),
    };
    let owner = |tuning| {
        Scheduler::Owner(Box::new(Owner::new(
            &deployment.engines,
            message_delay,
            tuning,
        )))
    };
    let scheduler = match strategy {
        Strategy::Product | Strategy::ProductWithoutDelay => owner(Tuning::default()),
        Strategy::ProductTuned(tuning) => owner(tuning),
        Strategy::PerEntry(balancer) => {
            let chooser =
                Chooser::new(balancer, deployment.entries, deployment.engines.len(), seed);
            Scheduler::Chooser(Box::new(chooser))
        }
    };
    let mut simulation = Simulation {
        deployment,
        case,
        states: vec![RequestState::NotArrived; requests.len()],
        requests,
        open_requests: Vec::new(),
        engines: deployment
            .engines
            .iter()
            .map(|spec| Engine::new(*spec))
            .collect(),
        scheduler,
        score: Score::default(),
        next_arrival: 0,
        previous_loads: vec![0; deployment.engines.len()],
    };
    let mut step: u32 = 0;
    while f64::from(step) * STEP < RUN_SECONDS {
        simulation.step(f64::from(step) * STEP, u64::from(step));
        step += 1;
    }
    simulation.finish()
}

impl Simulation<'_> {
    fn step(&mut self, now: f64, number: u64) {
        self.apply_faults(now);
        self.arrive(now);
        self.apply_decisions(now, number);
        self.run_engines(now);
        self.abandon_late(now);
        if number.is_multiple_of(TOKEN_REPORT_STEPS) {
            self.report_tokens(now);
        }
        self.report_load(now, number);
    }

    /// Applies the faults of the case that begin at `now`.
    fn apply_faults(&mut self, now: f64) {
        let is_now = |moment: f64| (now - moment).abs() < STEP / 2.0;
        if self.case.slow_engine && is_now(FAULT_START_SECONDS) {
            self.engines[0].slowdown = SLOW_ENGINE_FACTOR;
        }
        if self.case.caches_lost && is_now(FAULT_START_SECONDS + 5.0) {
            self.engines.iter_mut().for_each(Engine::clear_cache);
        }
        if self.case.engine_drains {
            match &mut self.scheduler {
                Scheduler::Owner(owner) if is_now(FAULT_START_SECONDS + 1.0) => owner.drain(1, now),
                Scheduler::Chooser(chooser) if is_now(FAULT_START_SECONDS + LIST_DELAY) => {
                    chooser.drain(1);
                }
                _ => {}
            }
        }
        if self.case.owner_crashes && is_now(FAULT_START_SECONDS + 10.0) {
            self.crash_entry(now);
        }
    }

    /// Crashes the first entry, which owns the queue: the requests of its callers are aborted, and the next
    /// owner takes over.
    fn crash_entry(&mut self, now: f64) {
        for id in self.open_requests.clone() {
            if self.requests[id].entry == 0 {
                self.abort(id, now, false);
            }
        }
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for id in self.open_requests.clone() {
            let request = self.requests[id].clone();
            match self.states[id] {
                RequestState::Waiting => waiting.push((id, request)),
                RequestState::Sent { engine, .. } => running.push((id, request, engine)),
                _ => {}
            }
        }
        if let Scheduler::Owner(owner) = &mut self.scheduler {
            owner.crash(waiting, running, now);
        }
    }

    fn arrive(&mut self, now: f64) {
        while self
            .requests
            .get(self.next_arrival)
            .is_some_and(|request| request.arrival <= now)
        {
            let id = self.next_arrival;
            self.next_arrival += 1;
            self.score.offered[usize::from(self.requests[id].rank)] += 1;
            self.score.count_offered(&self.requests[id]);
            let request = self.requests[id].clone();
            self.open_requests.push(id);
            match &mut self.scheduler {
                Scheduler::Owner(owner) => {
                    self.states[id] = RequestState::Waiting;
                    owner.send(Message::Request(id, Box::new(request)), now);
                }
                Scheduler::Chooser(chooser) => {
                    let engine = chooser.choose(&request);
                    self.send(id, engine);
                }
            }
        }
    }

    fn send(&mut self, id: usize, engine: usize) {
        let request = &self.requests[id];
        self.states[id] = RequestState::Sent {
            engine,
            first_token_at: None,
        };
        self.engines[engine].submit(Job {
            id,
            rank: request.rank,
            prefix_group: request.prefix_group,
            shared_prefix: request.shared_prefix,
            prompt: request.prompt,
            output: request.output,
            cached: None,
            computed: 0.0,
            generated: 0.0,
        });
    }

    fn apply_decisions(&mut self, now: f64, number: u64) {
        let Scheduler::Owner(owner) = &mut self.scheduler else {
            return;
        };
        let decisions = owner.step(now, number.is_multiple_of(OWNER_TICK_STEPS));
        let lowest_waiting_rank = owner.lowest_waiting_rank();
        for decision in decisions {
            match decision {
                Decision::Send(id, engine) if self.states[id] == RequestState::Waiting => {
                    self.send(id, engine);
                }
                Decision::Send(..) => {}
                Decision::Refuse(id, code) => {
                    let rank = self.requests[id].rank;
                    let lower_waits = lowest_waiting_rank.is_some_and(|lowest| lowest > rank);
                    if code == Code::Shed && lower_waits {
                        self.score.inversions += 1;
                    }
                    self.score.refused[usize::from(rank)] += 1;
                    self.states[id] = RequestState::Finished;
                    self.open_requests.retain(|open| *open != id);
                }
            }
        }
    }

    fn run_engines(&mut self, now: f64) {
        let mut events = Vec::new();
        for engine in &mut self.engines {
            engine.step(STEP, &mut events);
        }
        for event in events {
            match event {
                Event::FirstToken(id) => {
                    if let RequestState::Sent { first_token_at, .. } = &mut self.states[id] {
                        *first_token_at = Some(now);
                    }
                    self.report(id, Report::FirstToken, now);
                }
                Event::Finished(id, cached) => self.finish_request(id, cached, now),
            }
        }
    }

    fn finish_request(&mut self, id: usize, cached: u64, now: f64) {
        let RequestState::Sent {
            first_token_at: Some(first_token_at),
            ..
        } = self.states[id]
        else {
            return;
        };
        let request = &self.requests[id];
        let caller_latency = 2.0 * self.deployment.caller_latency.as_secs_f64();
        let first_token_latency = first_token_at - request.arrival + caller_latency;
        let good = first_token_latency <= request.first_token_limit_s
            && now - request.arrival + caller_latency <= request.response_limit_s;
        let rank = usize::from(request.rank);
        if good {
            self.score.good[rank] += 1;
            self.score.count_good(request);
            self.score.tokens += (request.prompt + request.output) as f64;
        } else {
            self.score.wasted += (request.prompt - cached) as f64;
        }
        if rank == 0 {
            self.score.first_token_seconds.push(first_token_latency);
            self.score
                .token_gap_seconds
                .push((now - first_token_at) / (request.output.max(2) - 1) as f64);
        }
        let report = Report::Ended {
            output: Tokens(request.output),
            cached: Some(Tokens(cached)),
        };
        self.states[id] = RequestState::Finished;
        self.open_requests.retain(|open| *open != id);
        self.report(id, report, now);
    }

    /// Aborts requests whose response is no longer useful.
    fn abandon_late(&mut self, now: f64) {
        let is_late =
            |id: &usize| now - self.requests[*id].arrival > self.requests[*id].response_limit_s;
        let late: Vec<_> = self.open_requests.iter().copied().filter(is_late).collect();
        for id in late {
            self.abort(id, now, true);
        }
    }

    /// Ends a request without a complete response.
    fn abort(&mut self, id: usize, now: f64, report: bool) {
        if let RequestState::Sent { engine, .. } = self.states[id] {
            self.score.wasted += self.engines[engine].cancel(id);
            if report {
                let report = Report::Ended {
                    output: Tokens(0),
                    cached: None,
                };
                self.report(id, report, now);
            }
        }
        self.states[id] = RequestState::Finished;
        self.open_requests.retain(|open| *open != id);
    }

    fn report(&mut self, id: usize, report: Report, now: f64) {
        if let Scheduler::Owner(owner) = &mut self.scheduler {
            owner.send(Message::Report(id, report), now);
        }
    }

    fn report_tokens(&mut self, now: f64) {
        for id in self.open_requests.clone() {
            let RequestState::Sent { engine, .. } = self.states[id] else {
                continue;
            };
            if let Some(tokens) = self.engines[engine].generated(id) {
                let tokens = Tokens(tokens as u64);
                self.report(id, Report::Tokens(tokens), now);
            }
        }
    }

    /// Delivers load reports, which are one interval old.
    fn report_load(&mut self, now: f64, number: u64) {
        let interval = (REPORT_INTERVAL / STEP) as u64;
        if !number.is_multiple_of(interval)
            || (self.case.reports_stop && now >= FAULT_START_SECONDS)
        {
            return;
        }
        let Scheduler::Chooser(chooser) = &mut self.scheduler else {
            return;
        };
        for (index, engine) in self.engines.iter().enumerate() {
            chooser.report(index, self.previous_loads[index]);
            self.previous_loads[index] = engine.load();
        }
    }

    fn finish(mut self) -> Score {
        self.score.prefill = self.engines.iter().map(|engine| engine.computed).sum();
        self.score
    }
}
