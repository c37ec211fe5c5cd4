//! Virtual time: requests arrive, are placed, run, and are counted.

use curlewlift_core::code::Code;
use curlewlift_core::fleet::Tuning;
use curlewlift_core::queue::Report;
use curlewlift_core::unit::Tokens;

use super::case::Case;
use super::case::Site;
use super::engine::Engine;
use super::engine::Event;
use super::engine::Job;
use super::load;
use super::load::Request;
use super::load::TROUBLE;
use super::owner::Owner;
use super::owner::Verdict;
use super::owner::Word;
use super::rival::Chooser;
use super::rival::Rival;
use super::score::Score;

/// Seconds in one step.
const STEP: f64 = 0.005;

/// Seconds after which a run is over: the last arrival and the longest wait.
const OVER: f64 = load::ARRIVALS + 181.0;

/// Seconds between two load reports, and their lag.
const REPORT: f64 = 1.0;

/// Seconds after which entries that decide alone learn that an engine leaves.
const LIST_LAG: f64 = 5.0;

/// Steps between two looks of the owner and two reports of tokens.
const TICK: u64 = 10;
const TOKENS: u64 = 50;

/// By how much a slow engine is slower.
const SLOWER: f64 = 5.0;

/// Who places requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ways {
    /// The product's queue, at its owner.
    Ours,
    /// The product's queue without any way for messages: the same word at the same instant.
    Instant,
    /// The product's queue with other numbers.
    Tuned(Tuning),
    /// Each entry alone.
    Alone(Rival),
}

#[derive(Debug)]
enum Placer {
    Owner(Box<Owner>),
    Chooser(Box<Chooser>),
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Coming,
    Waiting,
    Sent { engine: usize, first: Option<f64> },
    Gone,
}

struct World<'a> {
    site: &'a Site,
    case: &'a Case,
    requests: Vec<Request>,
    places: Vec<Place>,
    open: Vec<usize>,
    engines: Vec<Engine>,
    placer: Placer,
    score: Score,
    next: usize,
    reports: Vec<usize>,
}

/// Runs `case` at `site` with `ways` of placing, for one seed.
#[must_use]
pub fn run(site: &Site, case: &Case, ways: Ways, seed: u64) -> Score {
    let requests = load::requests(case, &site.engines, site.entries, seed);
    let way = match ways {
        Ways::Instant => 0.0,
        _ => site.between.as_secs_f64(),
    };
    let owner = |tuning| Placer::Owner(Box::new(Owner::new(&site.engines, way, tuning)));
    let placer = match ways {
        Ways::Ours | Ways::Instant => owner(Tuning::default()),
        Ways::Tuned(tuning) => owner(tuning),
        Ways::Alone(rival) => {
            let chooser = Chooser::new(rival, site.entries, site.engines.len(), seed);
            Placer::Chooser(Box::new(chooser))
        }
    };
    let mut world = World {
        site,
        case,
        places: vec![Place::Coming; requests.len()],
        requests,
        open: Vec::new(),
        engines: site
            .engines
            .iter()
            .map(|build| Engine::new(*build))
            .collect(),
        placer,
        score: Score::default(),
        next: 0,
        reports: vec![0; site.engines.len()],
    };
    let mut step: u32 = 0;
    while f64::from(step) * STEP < OVER {
        world.step(f64::from(step) * STEP, u64::from(step));
        step += 1;
    }
    world.finish()
}

impl World<'_> {
    fn step(&mut self, now: f64, number: u64) {
        self.trouble(now);
        self.arrive(now);
        self.place(now, number);
        self.engines_go_on(now);
        self.give_up(now);
        if number.is_multiple_of(TOKENS) {
            self.tell_tokens(now);
        }
        self.tell_load(now, number);
    }

    /// What goes wrong at `now`.
    fn trouble(&mut self, now: f64) {
        let is_at = |moment: f64| (now - moment).abs() < STEP / 2.0;
        if self.case.slow && is_at(TROUBLE) {
            self.engines[0].slow = SLOWER;
        }
        if self.case.forgets && is_at(TROUBLE + 5.0) {
            self.engines.iter_mut().for_each(Engine::forget);
        }
        if self.case.leaves {
            match &mut self.placer {
                Placer::Owner(owner) if is_at(TROUBLE + 1.0) => owner.leave(1, now),
                Placer::Chooser(chooser) if is_at(TROUBLE + LIST_LAG) => chooser.leave(1),
                _ => {}
            }
        }
        if self.case.dies && is_at(TROUBLE + 10.0) {
            self.entry_dies(now);
        }
    }

    /// An entry dies: its callers see their requests break; if it was the owner there is a new one.
    fn entry_dies(&mut self, now: f64) {
        for id in self.open.clone() {
            if self.requests[id].entry == 0 {
                self.end(id, now, false);
            }
        }
        let mut waiting = Vec::new();
        let mut running = Vec::new();
        for id in self.open.clone() {
            let request = self.requests[id].clone();
            match self.places[id] {
                Place::Waiting => waiting.push((id, request)),
                Place::Sent { engine, .. } => running.push((id, request, engine)),
                _ => {}
            }
        }
        if let Placer::Owner(owner) = &mut self.placer {
            owner.die(waiting, running, now);
        }
    }

    fn arrive(&mut self, now: f64) {
        while self
            .requests
            .get(self.next)
            .is_some_and(|request| request.arrival <= now)
        {
            let id = self.next;
            self.next += 1;
            self.score.offered[usize::from(self.requests[id].rank)] += 1;
            self.score.count_offered(&self.requests[id]);
            let request = self.requests[id].clone();
            self.open.push(id);
            match &mut self.placer {
                Placer::Owner(owner) => {
                    self.places[id] = Place::Waiting;
                    owner.say(Word::Ask(id, Box::new(request)), now);
                }
                Placer::Chooser(chooser) => {
                    let engine = chooser.choose(&request);
                    self.send(id, engine);
                }
            }
        }
    }

    fn send(&mut self, id: usize, engine: usize) {
        let request = &self.requests[id];
        self.places[id] = Place::Sent {
            engine,
            first: None,
        };
        self.engines[engine].send(Job {
            id,
            rank: request.rank,
            group: request.group,
            common: request.common,
            prompt: request.prompt,
            output: request.output,
            cached: None,
            computed: 0.0,
            generated: 0.0,
        });
    }

    fn place(&mut self, now: f64, number: u64) {
        let Placer::Owner(owner) = &mut self.placer else {
            return;
        };
        let verdicts = owner.step(now, number.is_multiple_of(TICK));
        let lowest = owner.lowest();
        for verdict in verdicts {
            match verdict {
                Verdict::Send(id, engine) if self.places[id] == Place::Waiting => {
                    self.send(id, engine);
                }
                Verdict::Send(..) => {}
                Verdict::Refuse(id, code) => {
                    let rank = self.requests[id].rank;
                    let lower_waits = lowest.is_some_and(|lowest| lowest > rank);
                    if code == Code::Shed && lower_waits {
                        self.score.inversions += 1;
                    }
                    self.score.refused[usize::from(rank)] += 1;
                    self.places[id] = Place::Gone;
                    self.open.retain(|open| *open != id);
                }
            }
        }
    }

    fn engines_go_on(&mut self, now: f64) {
        let mut events = Vec::new();
        for engine in &mut self.engines {
            engine.step(STEP, &mut events);
        }
        for event in events {
            match event {
                Event::First(id) => {
                    if let Place::Sent { first, .. } = &mut self.places[id] {
                        *first = Some(now);
                    }
                    self.tell(id, Report::FirstToken, now);
                }
                Event::Ended(id, cached) => self.ended(id, cached, now),
            }
        }
    }

    fn ended(&mut self, id: usize, cached: u64, now: f64) {
        let Place::Sent {
            first: Some(first), ..
        } = self.places[id]
        else {
            return;
        };
        let request = &self.requests[id];
        let caller = 2.0 * self.site.caller.as_secs_f64();
        let to_first = first - request.arrival + caller;
        let good = to_first <= request.first && now - request.arrival + caller <= request.whole;
        let rank = usize::from(request.rank);
        if good {
            self.score.good[rank] += 1;
            self.score.count_good(request);
            self.score.tokens += (request.prompt + request.output) as f64;
        } else {
            self.score.wasted += (request.prompt - cached) as f64;
        }
        if rank == 0 {
            self.score.first.push(to_first);
            self.score
                .between
                .push((now - first) / (request.output.max(2) - 1) as f64);
        }
        let report = Report::Ended {
            output: Tokens(request.output),
            cached: Some(Tokens(cached)),
        };
        self.places[id] = Place::Gone;
        self.open.retain(|open| *open != id);
        self.tell(id, report, now);
    }

    /// Callers that have waited as long as an answer is of use go away.
    fn give_up(&mut self, now: f64) {
        let late = |id: &usize| now - self.requests[*id].arrival > self.requests[*id].whole;
        let gone: Vec<_> = self.open.iter().copied().filter(late).collect();
        for id in gone {
            self.end(id, now, true);
        }
    }

    /// A request ends without its answer.
    fn end(&mut self, id: usize, now: f64, tell: bool) {
        if let Place::Sent { engine, .. } = self.places[id] {
            self.score.wasted += self.engines[engine].cancel(id);
            if tell {
                let report = Report::Ended {
                    output: Tokens(0),
                    cached: None,
                };
                self.tell(id, report, now);
            }
        }
        self.places[id] = Place::Gone;
        self.open.retain(|open| *open != id);
    }

    fn tell(&mut self, id: usize, report: Report, now: f64) {
        if let Placer::Owner(owner) = &mut self.placer {
            owner.say(Word::Report(id, report), now);
        }
    }

    fn tell_tokens(&mut self, now: f64) {
        for id in self.open.clone() {
            let Place::Sent { engine, .. } = self.places[id] else {
                continue;
            };
            if let Some(tokens) = self.engines[engine].generated(id) {
                let tokens = Tokens(tokens as u64);
                self.tell(id, Report::Tokens(tokens), now);
            }
        }
    }

    /// Reports are a second old when they come.
    fn tell_load(&mut self, now: f64, number: u64) {
        let every = (REPORT / STEP) as u64;
        if !number.is_multiple_of(every) || (self.case.silent && now >= TROUBLE) {
            return;
        }
        let Placer::Chooser(chooser) = &mut self.placer else {
            return;
        };
        for (place, engine) in self.engines.iter().enumerate() {
            chooser.report(place, self.reports[place]);
            self.reports[place] = engine.load();
        }
    }

    fn finish(mut self) -> Score {
        self.score.prefill = self.engines.iter().map(|engine| engine.computed).sum();
        self.score
    }
}
