//! Engines of three speeds under the requests of gateways, in simulated time: requests begin and go on in time, work
//! leaves engines that become slow and returns, and long prompts leave running streams alone.

mod support;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::ops::AddAssign;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::gateway::AttemptEnd;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Hub;
use curlewlift_core::gateway::Load;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::ServerList;
use curlewlift_core::gateway::SlotDecision;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::gateway::Ticket;
use curlewlift_core::gateway::Tuning;
use curlewlift_core::pool;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::FirstByteTime;
use curlewlift_core::pool::Part;
use curlewlift_core::pool::Pool;
use curlewlift_core::pool::ReportedLoad;
use curlewlift_core::pool::Request;
use curlewlift_core::pool::Scheduling;
use curlewlift_core::pool::StreamTimes;
use curlewlift_core::route::Engine as EngineFigures;
use curlewlift_core::route::Parts;
use curlewlift_core::route::ServicePolicy;
use curlewlift_core::route::Table;
use curlewlift_core::unit::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use support::incarnations;
use support::messages;

const HUB: u64 = 77;
/// The engine of a request that was sent to none.
const NONE: usize = usize::MAX;
const SLOTS: u32 = 8;
const HOSTS: usize = 8;
const KV_CAPACITY: u64 = 507_995;
const TOKENS_PER_EVENT: u32 = 9;
const PACES: [f64; 3] = [0.55, 1.0, 2.8];

/// One way between a gateway and the hub, and between a gateway and an engine with the time to connect.
const TO_HUB: Duration = Duration::from_millis(5);
const TO_ENGINE: Duration = Duration::from_millis(5);

/// A step takes this at pace 1, and more with each request; in a step up to a chunk of one prompt is read.
const STEP_MS: f64 = 3.41;
const STEP_MS_PER_REQUEST: f64 = 0.17;
const CHUNK: u64 = 1_024;
const TOKENS_PER_MS: f64 = 112.0;

#[derive(Clone, Copy, Debug)]
struct Kind {
    prompt: u64,
    events: u32,
    share: f64,
    objective: u64,
    max_gap: u64,
    weight: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        prompt: 6_610,
        events: 48,
        share: 143.0,
        objective: 600,
        max_gap: 300,
        weight: 6.5,
    },
    Kind {
        prompt: 628,
        events: 36,
        share: 229.0,
        objective: 300,
        max_gap: 300,
        weight: 2.3,
    },
    Kind {
        prompt: 1_800,
        events: 3,
        share: 314.0,
        objective: 400,
        max_gap: 300,
        weight: 0.29,
    },
];

impl Kind {
    /// The time of a full engine of pace 1 that one request takes, in seconds.
    fn cost(&self) -> f64 {
        let step = STEP_MS + STEP_MS_PER_REQUEST * f64::from(SLOTS);
        let tokens = f64::from(self.events * TOKENS_PER_EVENT);
        (tokens * step / f64::from(SLOTS) + Tokens(self.prompt).as_f64() / TOKENS_PER_MS) / 1_000.0
    }
}

/// A request and how it went.
#[derive(Clone, Debug)]
struct Job {
    kind: usize,
    prompt: u64,
    host: usize,
    arrived: Instant,
    engine: usize,
    grant: u64,
    sent: Instant,
    head: Option<Instant>,
    first_event: Option<Instant>,
    last_event: Instant,
    longest_gap: Duration,
    events: u32,
    /// Until then the engine leaves it aside.
    held_until: Instant,
    unread: u64,
    generated: u32,
}

#[derive(Clone, Debug)]
struct Engine {
    pace: f64,
    /// How many in seven requests are left aside for a while.
    late_in_seven: u32,
    queue: Vec<usize>,
    running: Vec<usize>,
    is_stepping: bool,
    max_tokens: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Expire(usize),
    Deliver(usize),
    Step(usize, Option<usize>),
    Report(usize),
    Set(usize, u32, u32),
}

struct World {
    hub: Hub,
    has_part: bool,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    random: SmallRng,
    faults: SmallRng,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
    queued: HashMap<Ticket, usize>,
    tickets: BTreeMap<usize, Ticket>,
    /// By host and engine, the requests in flight and the unread prompt tokens.
    loads: Vec<BTreeMap<usize, (u32, u64)>>,
    last_grant: Vec<u64>,
    reports: Vec<Report>,
    first: [FirstByteTime; 3],
    rate: f64,
    long_prompts: f64,
    long_range: Range<u64>,
    long_from: Instant,
    until: Instant,
}

fn at(ms: u64) -> Instant {
    Instant::default() + Duration::from_millis(ms)
}

fn name(engine: usize) -> Arc<str> {
    format!("e{engine}").into()
}

fn figures() -> EngineFigures {
    EngineFigures {
        kv_capacity: Some(Tokens(KV_CAPACITY)),
        tokens_per_event: Some(TOKENS_PER_EVENT),
    }
}

fn server(engine: usize) -> Server {
    Server {
        slots: SLOTS,
        incarnation: name(engine),
        ..incarnations::incarnation(&name(engine), 0)
    }
}

impl World {
    fn new(has_part: bool, engines: usize, load: f64, seconds: u64, seed: u64) -> Self {
        let scheduling = if has_part {
            Scheduling::default().with(Part::Placement)
        } else {
            Scheduling::default()
        };
        let tuning = Tuning {
            scheduling,
            ..Tuning::default()
        };
        let mut hub = Hub::new(tuning, at(0)).with_id(HUB);
        let policy = ServicePolicy {
            max_connections: u32::MAX,
            health_path: "/".into(),
            cold_rate: None,
            engine: Some(figures()),
        };
        let services = [("chat".parse().expect("a name"), policy)].into();
        let table = Table::new(Parts {
            version: 1,
            services,
            ..Parts::default()
        });
        let table = table.expect("a valid table");
        if seed.is_multiple_of(2) {
            hub.apply_table(&table, at(0));
        }
        hub.set_server_list(Arc::new(ServerList::new(
            (0..engines).map(server).collect(),
        )));
        hub.apply_table(&table, at(0));
        let capacity: f64 = (0..engines).map(|engine| 1.0 / PACES[engine % 3]).sum();
        let shares: f64 = KINDS.iter().map(|kind| kind.share).sum();
        let cost: f64 = KINDS.iter().map(|kind| kind.share * kind.cost()).sum();
        let engine = |engine: usize| Engine {
            pace: PACES[engine % 3],
            late_in_seven: 0,
            queue: Vec::new(),
            running: Vec::new(),
            is_stepping: false,
            max_tokens: 0,
        };
        let mut world = Self {
            hub,
            has_part,
            now: at(0),
            events: BinaryHeap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
            faults: SmallRng::seed_from_u64(seed),
            engines: (0..engines).map(engine).collect(),
            jobs: Vec::new(),
            queued: HashMap::new(),
            tickets: BTreeMap::new(),
            loads: vec![BTreeMap::new(); HOSTS],
            last_grant: vec![0; HOSTS],
            reports: Vec::new(),
            first: Default::default(),
            rate: load * capacity * shares / cost,
            long_prompts: 0.0,
            long_range: 20_000..55_000,
            long_from: at(0),
            until: at(seconds * 1_000),
        };
        world.schedule(at(0), Event::Arrive);
        world
    }

    fn schedule(&mut self, when: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((when, self.sequence, event)));
    }

    /// From `ms` on, engines take `factor` times their time, and `late` in seven of their requests are late.
    fn set(&mut self, engines: impl Iterator<Item = usize>, ms: u64, factor: u32, late: u32) {
        for engine in engines {
            self.schedule(at(ms), Event::Set(engine, factor, late));
        }
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrive => self.arrive(),
                Event::Expire(job) => {
                    if let Some(ticket) = self.tickets.remove(&job) {
                        self.queued.remove(&ticket);
                        self.hub.cancel(&ticket, now);
                    }
                }
                Event::Deliver(job) => self.deliver(job),
                Event::Step(engine, read) => self.end_step(engine, read),
                Event::Report(report) => {
                    let report = self.reports[report].clone();
                    self.hub.report(&report, now);
                    self.grant();
                }
                Event::Set(engine, factor, late) => {
                    self.engines[engine].pace = PACES[engine % 3] * f64::from(factor);
                    self.engines[engine].late_in_seven = late;
                }
            }
        }
        self
    }

    fn arrive(&mut self) {
        let pause = -(1.0 - self.random.random::<f64>()).ln() / self.rate;
        if self.now < self.until {
            self.schedule(self.now + Duration::from_secs_f64(pause), Event::Arrive);
        }
        let shares: f64 = KINDS.iter().map(|kind| kind.share).sum();
        let mut drawn = self.random.random::<f64>() * shares;
        let kind = KINDS.iter().position(|kind| {
            drawn -= kind.share;
            drawn < 0.0
        });
        let kind = kind.unwrap_or(2);
        let Kind {
            mut prompt,
            events,
            objective,
            max_gap,
            ..
        } = KINDS[kind];
        if self.random.random::<f64>() < self.long_prompts && self.now >= self.long_from {
            prompt = self.random.random_range(self.long_range.clone());
        }
        let host = self.random.random_range(0..HOSTS);
        let job = self.jobs.len();
        self.jobs.push(Job {
            kind,
            prompt,
            host,
            arrived: self.now,
            engine: NONE,
            grant: 0,
            sent: self.now,
            head: None,
            first_event: None,
            last_event: self.now,
            longest_gap: Duration::ZERO,
            events: 0,
            held_until: self.now,
            unread: prompt,
            generated: 0,
        });
        // Right in the median, and often far off.
        let output = (u64::from(events * TOKENS_PER_EVENT) << self.random.random_range(0..5)) / 4;
        let objective = Duration::from_millis(objective);
        let request = SlotRequest {
            rank: u8::try_from(kind).expect("fits").into(),
            waited: TO_HUB,
            send_within: objective.saturating_sub(self.first[kind].estimate() + TO_HUB),
            first_event_within: objective.saturating_sub(TO_HUB),
            max_gap: Some(Duration::from_millis(max_gap)),
            prompt: Tokens(prompt),
            output: Tokens(output),
            ..messages::slot_request(&format!("h{host}").parse().expect("a name"))
        };
        match self.hub.request_slot(request, self.now) {
            SlotDecision::Queued(ticket, displaced) => {
                self.forget(displaced);
                self.queued.insert(ticket.clone(), job);
                self.tickets.insert(job, ticket);
                self.schedule(self.now + Duration::from_secs(1), Event::Expire(job));
            }
            other => panic!("not queued: {other:?}"),
        }
        self.grant();
    }

    fn forget(&mut self, tickets: impl IntoIterator<Item = Ticket>) {
        for ticket in tickets {
            let job = self.queued.remove(&ticket);
            job.map(|job| self.tickets.remove(&job));
        }
    }

    fn grant(&mut self) {
        for (ticket, grant) in self.hub.grant_slots(self.now) {
            let job = self.queued.remove(&ticket).expect("it was queued");
            self.tickets.remove(&job);
            let engine = grant.server.incarnation[1..].parse().expect("a number");
            self.jobs[job].engine = engine;
            self.jobs[job].grant = grant.id.number;
            self.schedule(self.now + TO_HUB + TO_ENGINE, Event::Deliver(job));
        }
        let doomed = self.hub.reject_doomed(self.now);
        self.forget(doomed);
    }

    fn deliver(&mut self, job: usize) {
        let Job {
            host,
            engine,
            grant,
            prompt,
            ..
        } = self.jobs[job];
        self.last_grant[host] = self.last_grant[host].max(grant);
        let load = self.loads[host].entry(engine).or_default();
        load.0 += 1;
        load.1 += prompt;
        self.jobs[job].sent = self.now;
        if self.faults.random_range(0..7) < self.engines[engine].late_in_seven {
            self.jobs[job].held_until = self.now + Duration::from_millis(700);
        }
        self.engines[engine].queue.push(job);
        // In place of the gateway's next poll.
        self.report(job, None);
        self.begin_step(engine);
    }

    fn begin_step(&mut self, engine: usize) {
        let (now, jobs) = (self.now, &self.jobs);
        let state = &mut self.engines[engine];
        while state.running.len() < SLOTS as usize && !state.queue.is_empty() {
            state.running.push(state.queue.remove(0));
        }
        let tokens = state
            .running
            .iter()
            .map(|job| jobs[*job].prompt + u64::from(jobs[*job].generated));
        state.max_tokens = state.max_tokens.max(tokens.sum());
        if state.is_stepping || state.running.is_empty() {
            return;
        }
        state.is_stepping = true;
        let mut reading = state.running.iter();
        let read = reading.find(|job| jobs[**job].unread > 0 && jobs[**job].held_until <= now);
        let read = read.copied();
        let chunk = read.map_or(0, |job| jobs[job].unread.min(CHUNK));
        let step = STEP_MS
            + STEP_MS_PER_REQUEST * f64::from(u32::try_from(state.running.len()).expect("few"));
        let ms = (step + Tokens(chunk).as_f64() / TOKENS_PER_MS) * state.pace;
        let end = now + Duration::from_secs_f64(ms / 1_000.0);
        self.schedule(end, Event::Step(engine, read));
    }

    fn end_step(&mut self, engine: usize, read: Option<usize>) {
        self.engines[engine].is_stepping = false;
        for job in self.engines[engine].running.clone() {
            if self.jobs[job].unread == 0 {
                self.generate(job);
            }
        }
        if let Some(job) = read {
            let unread = &mut self.jobs[job].unread;
            *unread = unread.saturating_sub(CHUNK);
            if *unread == 0 {
                self.jobs[job].head = Some(self.now);
                let Job {
                    host,
                    engine,
                    prompt,
                    ..
                } = self.jobs[job];
                self.loads[host].entry(engine).or_default().1 -= prompt;
                self.report(job, None);
            }
        }
        self.begin_step(engine);
    }

    fn generate(&mut self, index: usize) {
        let now = self.now;
        let job = &mut self.jobs[index];
        job.generated += 1;
        if !job.generated.is_multiple_of(TOKENS_PER_EVENT) {
            return;
        }
        job.events += 1;
        let first_event = now.since(job.sent);
        let first_byte = job.head.expect("the head goes first").since(job.sent);
        if job.first_event.is_none() {
            job.first_event = Some(now);
            let kind = job.kind;
            let first = if self.has_part {
                first_event
            } else {
                first_byte
            };
            self.first[kind].add(first);
            if self.has_part {
                self.report(index, Some(AttemptOutcome::Began { first_event }));
            }
        } else {
            job.longest_gap = job.longest_gap.max(now.since(job.last_event));
        }
        let job = &mut self.jobs[index];
        job.last_event = now;
        if job.events < KINDS[job.kind].events {
            return;
        }
        let (began, engine, host) = (job.first_event.expect("it has begun"), job.engine, job.host);
        let gap = Some(now.since(began) / (job.events - 1));
        let outcome = if self.has_part {
            AttemptOutcome::Streamed(StreamTimes {
                first_byte,
                first_event: began.since(job.sent),
                gap,
                longest_gap: job.longest_gap,
                events: job.events,
            })
        } else {
            AttemptOutcome::Answered { first_byte, gap }
        };
        self.engines[engine].running.retain(|other| *other != index);
        self.loads[host].entry(engine).or_default().0 -= 1;
        self.report(index, Some(outcome));
    }

    /// Sends a report of the job's gateway, which reaches the hub later.
    fn report(&mut self, job: usize, outcome: Option<AttemptOutcome>) {
        let Job {
            host,
            engine,
            grant,
            sent,
            ..
        } = self.jobs[job];
        let id = |number| GrantId {
            hub_id: HUB,
            number,
        };
        let loads = self.loads[host].iter().filter(|(_, load)| load.0 > 0);
        let loads = loads.map(|(engine, load)| Load {
            incarnation: name(*engine),
            requests: load.0,
            prefill_tokens: Tokens(load.1),
        });
        let ended = outcome.map(|outcome| AttemptEnd {
            service: "chat".parse().expect("a name"),
            incarnation: name(engine),
            rollout: None,
            outcome,
            grant: id(grant),
            server_time: self.now.since(sent),
            load: None,
        });
        let report = Report {
            last_grant: id(self.last_grant[host]),
            loads: loads.collect(),
            ended: ended.into_iter().collect(),
            ..messages::report(&format!("h{host}").parse().expect("a name"))
        };
        self.reports.push(report);
        self.schedule(
            self.now + TO_ENGINE + TO_HUB,
            Event::Report(self.reports.len() - 1),
        );
    }

    /// How requests that arrived in these milliseconds went, at engines that `is_counted`.
    fn score(&self, ms: Range<u64>, is_counted: impl Fn(&Job) -> bool) -> Score {
        let mut score = Score::default();
        let jobs = self
            .jobs
            .iter()
            .filter(|job| (at(ms.start)..at(ms.end)).contains(&job.arrived));
        for job in jobs.filter(|job| is_counted(job)) {
            let kind = KINDS[job.kind];
            let begun = job
                .first_event
                .map(|begun| begun.since(job.arrived) + TO_ENGINE);
            let in_time = begun.is_some_and(|begun| begun <= Duration::from_millis(kind.objective));
            let keeps_gaps = job.longest_gap <= Duration::from_millis(kind.max_gap);
            score.count += 1;
            score.served += u32::from(begun.is_some());
            score.late += u32::from(begun.is_some() && !in_time);
            score.paused += u32::from(!keeps_gaps);
            score.good += if in_time && keeps_gaps {
                kind.weight
            } else {
                0.0
            };
            score.offered += kind.weight;
        }
        score
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Score {
    count: u32,
    served: u32,
    late: u32,
    paused: u32,
    good: f64,
    offered: f64,
}

impl AddAssign for Score {
    fn add_assign(&mut self, other: Self) {
        self.count += other.count;
        self.served += other.served;
        self.late += other.late;
        self.paused += other.paused;
        self.good += other.good;
        self.offered += other.offered;
    }
}

impl Score {
    /// The share of the served requests that began late, and of those whose stream paused for too long.
    fn late_and_paused(&self) -> (f64, f64) {
        let served = f64::from(self.served.max(1));
        (
            f64::from(self.late) / served,
            f64::from(self.paused) / served,
        )
    }
}

/// The score of `build`'s world with several seeds, of requests that arrived in `ms` and are counted.
fn score(build: impl Fn(u64) -> World, ms: Range<u64>, is_counted: impl Fn(&Job) -> bool) -> Score {
    let mut sum = Score::default();
    for seed in 0..4 {
        sum += build(seed).run().score(ms.clone(), &is_counted);
    }
    sum
}

/// Guards against uneven engines getting even work: with the part on, goodput is no lower at any load and higher at full
/// load, and slow engines keep the gaps of what they get.
#[test]
fn uneven_engines() {
    for load in [0.5, 0.75, 0.9, 1.0, 1.1, 1.25, 1.5] {
        let run = |has_part| {
            let build = |seed| World::new(has_part, 30, load, 14, seed);
            let slow = |job: &Job| job.engine != NONE && job.engine % 3 == 2;
            let all = score(build, 4_000..14_000, |_| true);
            (all, score(build, 4_000..14_000, slow))
        };
        let ((before, slow_before), (after, slow_after)) = (run(false), run(true));
        println!("load {load}: without {before:?}, slow {slow_before:?}");
        println!("load {load}: with    {after:?}, slow {slow_after:?}");
        assert!(after.good >= before.good, "load {load}");
        if load >= 1.0 {
            assert!(after.good > before.good, "load {load}");
            let (_, paused) = slow_after.late_and_paused();
            assert!(
                paused < slow_before.late_and_paused().1,
                "load {load}: {paused}"
            );
        }
    }
}

const FAULT: Range<u64> = 5_000..9_000;

/// A quarter of the engines takes `factor` times as long during the fault, and `late` in seven of its responses come late.
fn with_fault(has_part: bool, factor: u32, late: u32, seed: u64) -> World {
    let mut world = World::new(has_part, 30, 0.7, 14, seed);
    world.set(
        (0..30).filter(|engine| is_hit(*engine)),
        FAULT.start,
        factor,
        late,
    );
    world.set((0..30).filter(|engine| is_hit(*engine)), FAULT.end, 1, 0);
    world
}

fn is_hit(engine: usize) -> bool {
    engine % 4 == 1
}

/// Guards against work that stays at engines that have become slow, and against engines that get none afterwards.
#[test]
fn slow_engines_left() {
    let hit = |job: &Job| job.engine != NONE && is_hit(job.engine);
    let before = score(|seed| with_fault(true, 7, 0, seed), 2_000..4_000, hit);
    let left = score(|seed| with_fault(true, 7, 0, seed), 6_500..9_000, hit);
    let after = score(|seed| with_fault(true, 7, 0, seed), 10_000..12_000, hit);
    println!("{before:?} {left:?} {after:?}");
    // A second after the first evidence, each of the eight engines gets one probe a second.
    assert!(left.count <= 4 * 8 * 3, "{left:?}");
    assert!(
        after.offered > before.offered / 2.0,
        "work returns: {after:?}"
    );
    assert_eq!(after.late, 0, "the first that return do not queue there");
    let with = score(|seed| with_fault(true, 7, 0, seed), 5_000..12_000, |_| true);
    let without = score(
        |seed| with_fault(false, 7, 0, seed),
        5_000..12_000,
        |_| true,
    );
    println!("with {with:?} without {without:?}");
    assert!(with.good > without.good);
}

/// Guards against work at engines that answer late in a seventh of the cases.
#[test]
fn late_engines_left() {
    let run = |has_part, ms| score(|seed| with_fault(has_part, 1, 1, seed), ms, |_| true);
    let (with, without) = (run(true, 5_000..9_000), run(false, 5_000..9_000));
    println!("with {with:?} without {without:?}");
    assert!(with.late < without.late);
    assert!(with.good > without.good);
    let hit = |job: &Job| job.engine != NONE && is_hit(job.engine);
    let after = score(|seed| with_fault(true, 1, 1, seed), 9_000..12_000, hit);
    assert!(after.count > 0 && after.late == 0, "{after:?}");
}

/// Guards against long prompts that stall running streams, and that begin later than without the part.
#[test]
fn long_prompts() {
    let mut sums = (Score::default(), Score::default());
    for load in [0.5, 0.7, 0.9] {
        let run = |has_part, is_long: bool| {
            let build = |seed| {
                let mut world = World::new(has_part, 30, load, 14, seed);
                world.long_prompts = 0.03;
                world
            };
            score(build, 4_000..14_000, |job| {
                (job.prompt >= 20_000) == is_long
            })
        };
        let (with, without) = (run(true, false), run(false, false));
        let (long_with, long_without) = (run(true, true), run(false, true));
        println!("load {load}: others {with:?} without {without:?}");
        println!("load {load}: long {long_with:?} without {long_without:?}");
        assert!(with.good >= without.good, "load {load}");
        sums.0 += long_with;
        sums.1 += long_without;
        assert!(
            with.paused <= without.paused,
            "load {load}: streams keep their gaps"
        );
    }
    assert!(sums.0.late < sums.1.late && sums.0.good > sums.1.good);
}

/// Guards against long prompts that are kept away from engines whose streams keep their gaps meanwhile.
#[test]
fn long_among_streams() {
    let mut engines = Measured::new(&[24]);
    engines.longest_gap = 6;
    let start = |engines: &mut Measured| {
        let stream = engines.place(engines.request(100, 20, 600)).expect("room");
        engines.begin(stream, 49, None);
        engines.pool.record_first_byte(&name(0), Tokens(100));
        stream
    };
    for _ in 0..20 {
        let stream = start(&mut engines);
        let long = engines
            .place(engines.request(12_000, 20, 5_000))
            .expect("room");
        engines.end(stream, 24, 49, 0);
        engines.end(long, 24, 144, 12_000);
    }
    engines.pool.take_late_placements();
    start(&mut engines);
    engines
        .place(engines.request(40_000, 20, 5_000))
        .expect("room");
    assert_eq!(engines.pool.take_late_placements(), 0);
}

/// Guards against more tokens at an engine than its memory holds.
#[test]
fn memory_holds() {
    let mut engines = Measured::new(&[24]);
    let large = |engines: &Measured| engines.request(KV_CAPACITY / 2, 20, 60_000);
    let placed = |engines: &mut Measured| {
        let request = Request {
            max_gap: None,
            ..large(engines)
        };
        engines.place(request)
    };
    let first = placed(&mut engines).expect("it fits");
    assert_eq!(placed(&mut engines), None);
    let waiting = engines.pool.enqueue(large(&engines), engines.now).0;
    let small = engines.request(100, 20, 60_000);
    let small = engines.pool.enqueue(small, engines.now).0;
    let assigned = engines.pool.assign(engines.now);
    let assigned: Vec<_> = assigned.iter().map(|assigned| assigned.ticket).collect();
    assert_eq!(assigned, [small], "a large request does not block others");
    engines.pool.cancel(waiting);
    engines.end(first, 24, 60, 600);
    placed(&mut engines).expect("the first has ended");
    engines.pool.set_in_flight(&name(0), None);
    placed(&mut engines).expect("nothing is in flight, whatever reports were lost");
    engines.now = engines.now + Duration::from_secs(61);
    placed(&mut engines).expect("the end of the former was lost");
}

/// Guards against a stream at an engine whose other requests would slow it beyond its gap objective.
#[test]
fn batch_counts() {
    let mut engines = Measured::new(&[30, 30]);
    engines.longest_gap = 2;
    for round in 0..60 {
        let request = engines.only(round % 2, engines.request(100, 20, 600));
        let first = engines.place(request.clone()).expect("room");
        let second = engines.place(request).expect("room");
        engines.end(second, 60, 60, 100);
        engines.end(first, 30, 60, 100);
    }
    let request = engines.only(0, engines.request(100, 20, 600));
    let running = engines.place(request).expect("room");
    engines.begin(running, 60, None);
    engines.pool.record_first_byte(&name(0), Tokens(100));
    let strict = Request {
        max_gap: Some(Duration::from_millis(50)),
        ..engines.request(100, 20, 600)
    };
    let busy = engines.only(0, strict.clone());
    let placed = engines.place(busy).is_some();
    assert!(!placed || engines.pool.take_late_placements() == 1);
    let idle = engines.only(1, strict);
    engines.place(idle).expect("the idle one is in time");
    assert_eq!(engines.pool.take_late_placements(), 0);
}

/// An engine whose streams pause too long gets no stream that would last long enough to meet such a pause.
#[test]
fn long_gaps_avoided() {
    let mut engines = Measured::new(&[24, 30]);
    engines.longest_gap = 20;
    for _ in 0..20 {
        engines.answer(0, 24, 500);
    }
    for _ in 0..3 {
        let request = engines.request(600, 40, 600);
        assert_eq!(engines.place(request).map(|placed| placed.0), Some(1));
    }
}

/// A request whose gateway was lost does not make its engine look slow once a later one has begun there.
#[test]
fn lost_begin() {
    let mut engines = Measured::new(&[24, 30]);
    let request = engines.only(0, engines.request(600, 20, 600));
    engines.place(request.clone()).expect("room");
    let later = engines.place(request).expect("room");
    engines.begin(later, 60, None);
    engines.now = engines.now + Duration::from_millis(600);
    let request = engines.only(0, engines.request(600, 20, 400));
    engines.place(request).expect("room");
    assert_eq!(engines.pool.take_late_placements(), 0);
}

/// An engine that becomes much slower than usual, and its recovery, are each reported once.
#[test]
fn changes_reported() {
    let mut engines = Measured::new(&[24, 30]);
    assert!(engines.pool.take_pace_changes().is_empty());
    for gap in [168, 24] {
        for _ in 0..20 {
            engines.answer(0, gap, 500);
        }
        let changes = engines.pool.take_pace_changes();
        assert_eq!(changes.len(), 1, "{gap}: {changes:?}");
    }
}

/// Guards against a hub that does not pass on what the table states, whether that or the server list came first.
#[test]
fn memory_holds_in_replay() {
    for seed in 0..2 {
        let mut world = World::new(true, 3, 0.3, 10, seed);
        (world.long_prompts, world.long_range) = (0.5, 150_000..200_000);
        world.long_from = at(4_000);
        let world = world.run();
        let most = world.engines.iter().map(|engine| engine.max_tokens).max();
        assert!(most <= Some(KV_CAPACITY), "{most:?}");
    }
}

/// The hub's pool of engines that have answered streams, each with its time between two events in milliseconds.
struct Measured {
    pool: Pool,
    names: Vec<Arc<str>>,
    now: Instant,
    grant: u64,
    /// The longest gap of a stream, in halves of its mean gap.
    longest_gap: u64,
}

impl Measured {
    fn new(gaps: &[u64]) -> Self {
        let names: Vec<_> = (0..gaps.len()).map(name).collect();
        let tuning = pool::Tuning {
            scheduling: Scheduling::default().with(Part::Placement),
            ..pool::Tuning::default()
        };
        let mut pool = Pool::new(tuning, 7).for_all_gateways();
        pool.set_engine(figures());
        pool.update_servers(
            (0..gaps.len())
                .map(|engine| Arc::new(server(engine)))
                .collect(),
        );
        let mut measured = Self {
            pool,
            names,
            now: at(1_000),
            grant: 0,
            longest_gap: 3,
        };
        for round in 0..20 {
            for (engine, gap) in gaps.iter().enumerate() {
                measured.answer(engine, *gap, 500 + 400 * round);
            }
        }
        measured
    }

    fn request(&self, prompt: u64, events: u32, objective: u64) -> Request {
        Request {
            arrived: self.now,
            send_by: self.now + Duration::from_millis(objective),
            begin_by: self.now + Duration::from_millis(objective),
            max_gap: Some(Duration::from_millis(300)),
            wait_until: self.now + Duration::from_secs(1),
            prompt: Tokens(prompt),
            output: Tokens(u64::from(events * TOKENS_PER_EVENT)),
            ..Request::default()
        }
    }

    /// Queues a request; the engine to which it is assigned, if it is.
    fn place(&mut self, request: Request) -> Option<(usize, u64)> {
        let ticket = self.pool.enqueue(request, self.now).0;
        let assigned = self.pool.assign(self.now);
        let assigned = assigned
            .into_iter()
            .find(|assigned| assigned.ticket == ticket);
        let Some(assigned) = assigned else {
            self.pool.cancel(ticket);
            return None;
        };
        self.grant += 1;
        let incarnation = &assigned.server.incarnation;
        self.pool.record_grant(incarnation, ticket, self.grant);
        let engine = self.names.iter().position(|name| name == incarnation)?;
        Some((engine, self.grant))
    }

    /// A request for which only `engine` is left.
    fn only(&self, engine: usize, request: Request) -> Request {
        let mut tried = self.names.clone();
        tried.remove(engine);
        Request { tried, ..request }
    }

    fn begin(&mut self, (engine, grant): (usize, u64), first_event: u64, load: Option<f64>) {
        let first_event = Duration::from_millis(first_event);
        let load = load.map(|relative_time| ReportedLoad {
            running: 1,
            waiting: 0,
            slots: None,
            relative_time: Some(relative_time),
        });
        let began = AttemptOutcome::Began { first_event };
        let incarnation = &self.names[engine];
        self.pool
            .record_attempt(incarnation, grant, began, load.as_ref(), self.now);
    }

    fn end(&mut self, (engine, grant): (usize, u64), gap: u64, first_event: u64, prompt: u64) {
        let outcome = AttemptOutcome::Streamed(StreamTimes {
            first_byte: Duration::from_millis(first_event - gap),
            first_event: Duration::from_millis(first_event),
            gap: Some(Duration::from_millis(gap)),
            longest_gap: Duration::from_millis(gap * self.longest_gap / 2),
            events: 20,
        });
        let incarnation = &self.names[engine];
        self.pool
            .record_attempt(incarnation, grant, outcome, None, self.now);
        self.pool.record_first_byte(incarnation, Tokens(prompt));
        self.pool
            .finish_attempt(incarnation, AttemptOutcome::Unknown, self.now);
    }

    /// An engine answers a request as it usually does.
    fn answer(&mut self, engine: usize, gap: u64, prompt: u64) {
        let request = Request {
            max_gap: None,
            ..self.only(engine, self.request(prompt, 20, 60_000))
        };
        let placed = self.place(request).expect("an engine is left");
        let first_event = gap * 2 + gap * prompt / 3_000;
        self.end(placed, gap, first_event, prompt);
    }
}

/// A request that a slow engine cannot begin in time waits while others get their slots, and a short one goes there.
#[test]
fn waits_for_fast() {
    let mut engines = Measured::new(&[24, 100]);
    for _ in 0..=SLOTS {
        let request = engines.only(0, engines.request(100, 20, 60_000));
        engines.place(request).expect("the fast one has room");
    }
    assert_eq!(engines.place(engines.request(6_000, 48, 400)), None);
    let (engine, _) = engines
        .place(engines.request(100, 3, 400))
        .expect("in time");
    assert_eq!(engine, 1);
    let draft = engines.request(6_000, 48, 400);
    let short = engines.request(100, 3, 400);
    engines.pool.enqueue(draft, engines.now);
    let behind = engines.pool.enqueue(short, engines.now).0;
    let assigned = engines.pool.assign(engines.now);
    assert_eq!(
        assigned.first().map(|assigned| assigned.ticket),
        Some(behind)
    );
    let hopeless = engines.request(6_000, 48, 50);
    assert!(engines.place(hopeless).is_some(), "it is late everywhere");
}

/// Guards against a pass over the queue whose time grows with the number of requests that wait for a fast engine.
#[test]
fn pass_bounded() {
    let mut engines = Measured::new(&[24, 100]);
    for _ in 0..2_000 {
        engines.answer(0, 24, 500);
    }
    for _ in 0..=SLOTS {
        let request = engines.only(0, engines.request(100, 20, 60_000));
        engines.place(request).expect("the fast one has room");
    }
    for _ in 0..40 {
        let draft = engines.request(6_000, 48, 400);
        engines.pool.enqueue(draft, engines.now);
    }
    let short = engines.request(100, 3, 400);
    engines.pool.enqueue(short, engines.now);
    assert!(engines.pool.assign(engines.now).is_empty());
}

/// An engine whose first event is overdue gets nothing more, before any answer says that it is slow.
#[test]
fn overdue_engine() {
    let mut engines = Measured::new(&[24, 30]);
    let request = engines.only(0, engines.request(600, 20, 600));
    let stuck = engines.place(request).expect("room");
    engines.now = engines.now + Duration::from_millis(600);
    for _ in 0..3 {
        let (engine, _) = engines.place(engines.request(600, 20, 400)).expect("room");
        assert_eq!(engine, 1);
    }
    engines.begin(stuck, 60, None);
    let (engine, _) = engines.place(engines.request(600, 20, 400)).expect("room");
    assert_eq!(engine, 0, "it has begun");
}

/// What an engine states of its pace counts at once.
#[test]
fn stated_pace() {
    let mut engines = Measured::new(&[24, 30]);
    let request = engines.only(0, engines.request(600, 20, 600));
    let placed = engines.place(request).expect("room");
    engines.begin(placed, 56, Some(7.0));
    for _ in 0..5 {
        let (engine, _) = engines.place(engines.request(600, 20, 300)).expect("room");
        assert_eq!(engine, 1);
    }
}

/// A long prompt joins another one, so that the streams of a second engine are left alone.
#[test]
fn long_together() {
    let mut engines = Measured::new(&[24, 24, 24]);
    let tolerant = |request| Request {
        max_gap: Some(Duration::from_millis(600)),
        ..request
    };
    for engine in 0..3 {
        for _ in 0..3 {
            let request = engines.only(engine, tolerant(engines.request(100, 20, 600)));
            let placed = engines.place(request).expect("room");
            engines.begin(placed, 48, None);
            engines
                .pool
                .record_first_byte(&engines.names[engine].clone(), Tokens(100));
        }
    }
    let first = engines
        .place(tolerant(engines.request(12_000, 20, 5_000)))
        .expect("room");
    let second = engines
        .place(tolerant(engines.request(12_000, 20, 5_000)))
        .expect("room");
    assert_eq!(first.0, second.0);
}

/// An engine of which nothing is known gets few requests until one has begun, and an unused one a probe.
#[test]
fn unproven_and_probes() {
    let mut engines = Measured::new(&[24, 24]);
    engines.names.push(name(2));
    engines
        .pool
        .update_servers((0..3).map(|engine| Arc::new(server(engine))).collect());
    let placed: Vec<_> = (0..4)
        .map(|_| {
            let request = engines.only(2, engines.request(600, 20, 600));
            engines.place(request)
        })
        .collect();
    assert_eq!(placed.iter().flatten().count(), 2, "{placed:?}");
    let mut engines = Measured::new(&[24, 24, 400]);
    let probes = |engines: &mut Measured| {
        let placed = (0..4).filter_map(|_| engines.place(engines.request(600, 3, 300)));
        placed.filter(|(engine, _)| *engine == 2).count()
    };
    assert_eq!(probes(&mut engines), 0);
    engines.now = engines.now + Duration::from_millis(1_100);
    assert_eq!(probes(&mut engines), 1, "one, until it has begun");
}
