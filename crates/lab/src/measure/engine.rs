//! A fake of an engine at its interface: prompts in turn, a batch, a cache of beginnings.

use std::collections::VecDeque;

/// How an engine is built.
#[derive(Clone, Copy, Debug)]
pub struct Build {
    /// Prompt tokens a second.
    pub prefill: f64,
    /// Tokens a second for one request, up to `knee` of them.
    pub decode: f64,
    /// Requests in the batch above which all slow down.
    pub knee: u32,
    /// Requests in the batch at the most.
    pub slots: u32,
    /// Tokens of prompts that the cache holds.
    pub cache: u64,
}

/// A request inside an engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) id: usize,
    pub(super) rank: u8,
    pub(super) group: u64,
    pub(super) common: u64,
    pub(super) prompt: u64,
    pub(super) output: u64,
    /// Prompt tokens found in the cache, known once its turn has come.
    pub(super) cached: Option<u64>,
    pub(super) computed: f64,
    pub(super) generated: f64,
}

/// What happened in one step.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A request's first token has come.
    First(usize),
    /// A request has ended; so many of its prompt tokens were cached.
    Ended(usize, u64),
}

/// An engine.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) build: Build,
    pub(super) slow: f64,
    waiting: Vec<Job>,
    batch: Vec<Job>,
    cache: VecDeque<(u64, u64)>,
    /// Prompt tokens computed so far.
    pub(super) computed: f64,
}

impl Engine {
    pub(super) fn new(build: Build) -> Self {
        Self {
            build,
            slow: 1.0,
            waiting: Vec::new(),
            batch: Vec::new(),
            cache: VecDeque::new(),
            computed: 0.0,
        }
    }

    pub(super) fn send(&mut self, job: Job) {
        self.waiting.push(job);
    }

    /// Takes a request out; tells how many of its prompt tokens were computed.
    pub(super) fn cancel(&mut self, id: usize) -> f64 {
        let mut computed = 0.0;
        for jobs in [&mut self.waiting, &mut self.batch] {
            if let Some(place) = jobs.iter().position(|job| job.id == id) {
                computed = jobs.remove(place).computed;
            }
        }
        computed
    }

    /// Requests inside, as a load report tells.
    pub(super) fn load(&self) -> usize {
        self.waiting.len() + self.batch.len()
    }

    /// Tokens that a request has generated.
    pub(super) fn generated(&self, id: usize) -> Option<f64> {
        self.batch
            .iter()
            .find(|job| job.id == id)
            .map(|job| job.generated)
    }

    pub(super) fn forget(&mut self) {
        self.cache.clear();
    }

    /// Goes on for `step` seconds.
    pub(super) fn step(&mut self, step: f64, events: &mut Vec<Event>) {
        self.prefill(step, events);
        self.decode(step, events);
    }

    fn prefill(&mut self, step: f64, events: &mut Vec<Event>) {
        let mut budget = self.build.prefill / self.slow * step;
        while budget > 0.0 && self.batch.len() < self.build.slots as usize {
            // A prompt that is begun goes on; then by priority, then by arrival.
            let next = self
                .waiting
                .iter()
                .enumerate()
                .min_by_key(|(place, job)| (job.computed == 0.0, job.rank, *place));
            let Some((place, _)) = next else { return };
            if self.waiting[place].cached.is_none() {
                let cached = self.find(self.waiting[place].group, self.waiting[place].common);
                self.waiting[place].cached = Some(cached);
            }
            let job = &mut self.waiting[place];
            let total = (job.prompt - job.cached.unwrap_or(0)) as f64;
            let done = budget.min(total - job.computed);
            job.computed += done;
            self.computed += done;
            budget -= done;
            if job.computed + 0.5 >= total {
                let mut job = self.waiting.remove(place);
                job.generated = 1.0;
                events.push(Event::First(job.id));
                self.keep(job.group, job.common);
                self.batch.push(job);
            }
        }
    }

    fn decode(&mut self, step: f64, events: &mut Vec<Event>) {
        let crowd = (self.batch.len() as f64 / f64::from(self.build.knee)).max(1.0);
        let tokens = self.build.decode / self.slow / crowd * step;
        for job in &mut self.batch {
            job.generated += tokens;
        }
        self.batch.retain(|job| {
            let ended = job.generated >= job.output as f64;
            if ended {
                events.push(Event::Ended(job.id, job.cached.unwrap_or(0)));
            }
            !ended
        });
    }

    /// Cached tokens of a prompt of `group`; what is found becomes the newest.
    fn find(&mut self, group: u64, common: u64) -> u64 {
        let Some(place) = self.cache.iter().position(|kept| kept.0 == group) else {
            return 0;
        };
        let Some(kept) = self.cache.remove(place) else {
            return 0;
        };
        self.cache.push_back(kept);
        kept.1.min(common)
    }

    fn keep(&mut self, group: u64, common: u64) {
        self.cache.retain(|kept| kept.0 != group);
        self.cache.push_back((group, common));
        while self.cache.iter().map(|kept| kept.1).sum::<u64>() > self.build.cache {
            self.cache.pop_front();
        }
    }
}
