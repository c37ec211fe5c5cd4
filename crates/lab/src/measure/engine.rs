//! A model of an engine: it prefills one prompt at a time, decodes a batch, and caches prompt prefixes.

use std::collections::VecDeque;

/// The speed and the capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Prompt tokens per second.
    pub prefill: f64,
    /// Output tokens per second for each request, up to `full_speed_batch` requests.
    pub decode: f64,
    /// Size of the batch above which all requests slow down.
    pub full_speed_batch: u32,
    /// Maximum size of the batch.
    pub slots: u32,
    /// Capacity of the prefix cache in tokens.
    pub cache: u64,
}

/// A request in an engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) id: usize,
    pub(super) rank: u8,
    pub(super) prefix_group: u64,
    pub(super) shared_prefix: u64,
    pub(super) prompt: u64,
    pub(super) output: u64,
    /// Prompt tokens found in the cache, once prefill has started.
    pub(super) cached: Option<u64>,
    pub(super) computed: f64,
    pub(super) generated: f64,
}

/// What happened in one step.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// The first token of a request was generated.
    FirstToken(usize),
    /// A request has finished; the number says how many of its prompt tokens were cached.
    Finished(usize, u64),
}

/// A simulated engine.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) spec: EngineSpec,
    pub(super) slowdown: f64,
    waiting: Vec<Job>,
    batch: Vec<Job>,
    cache: VecDeque<(u64, u64)>,
    /// Prompt tokens computed so far.
    pub(super) computed: f64,
}

impl Engine {
    pub(super) fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            slowdown: 1.0,
            waiting: Vec::new(),
            batch: Vec::new(),
            cache: VecDeque::new(),
            computed: 0.0,
        }
    }

    pub(super) fn submit(&mut self, job: Job) {
        self.waiting.push(job);
    }

    /// Removes a request; returns how many of its prompt tokens were computed.
    pub(super) fn cancel(&mut self, id: usize) -> f64 {
        let mut computed = 0.0;
        for jobs in [&mut self.waiting, &mut self.batch] {
            if let Some(index) = jobs.iter().position(|job| job.id == id) {
                computed = jobs.remove(index).computed;
            }
        }
        computed
    }

    /// The number of requests in the engine, as in a load report.
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

    pub(super) fn clear_cache(&mut self) {
        self.cache.clear();
    }

    /// Runs for `step` seconds.
    pub(super) fn step(&mut self, step: f64, events: &mut Vec<Event>) {
        self.prefill(step, events);
        self.decode(step, events);
    }

    fn prefill(&mut self, step: f64, events: &mut Vec<Event>) {
        let mut budget = self.spec.prefill / self.slowdown * step;
        while budget > 0.0 && self.batch.len() < self.spec.slots as usize {
            // A prompt in progress continues; otherwise by rank, then by arrival.
            let next = self
                .waiting
                .iter()
                .enumerate()
                .min_by_key(|(index, job)| (job.computed == 0.0, job.rank, *index));
            let Some((index, _)) = next else { return };
            if self.waiting[index].cached.is_none() {
                let cached = self.look_up_prefix(
                    self.waiting[index].prefix_group,
                    self.waiting[index].shared_prefix,
                );
                self.waiting[index].cached = Some(cached);
            }
            let job = &mut self.waiting[index];
            let total_tokens = (job.prompt - job.cached.unwrap_or(0)) as f64;
            let tokens = budget.min(total_tokens - job.computed);
            job.computed += tokens;
            self.computed += tokens;
            budget -= tokens;
            if job.computed + 0.5 >= total_tokens {
                let mut job = self.waiting.remove(index);
                job.generated = 1.0;
                events.push(Event::FirstToken(job.id));
                self.store_prefix(job.prefix_group, job.shared_prefix);
                self.batch.push(job);
            }
        }
    }

    fn decode(&mut self, step: f64, events: &mut Vec<Event>) {
        let batch_slowdown =
            (self.batch.len() as f64 / f64::from(self.spec.full_speed_batch)).max(1.0);
        let tokens = self.spec.decode / self.slowdown / batch_slowdown * step;
        for job in &mut self.batch {
            job.generated += tokens;
        }
        self.batch.retain(|job| {
            let finished = job.generated >= job.output as f64;
            if finished {
                events.push(Event::Finished(job.id, job.cached.unwrap_or(0)));
            }
            !finished
        });
    }

    /// Returns the cached tokens of a prompt of `prefix_group`, and marks the prefix as most recently used.
    fn look_up_prefix(&mut self, prefix_group: u64, shared_prefix: u64) -> u64 {
        let Some(index) = self
            .cache
            .iter()
            .position(|stored| stored.0 == prefix_group)
        else {
            return 0;
        };
        let Some(stored) = self.cache.remove(index) else {
            return 0;
        };
        self.cache.push_back(stored);
        stored.1.min(shared_prefix)
    }

    fn store_prefix(&mut self, prefix_group: u64, shared_prefix: u64) {
        self.cache.retain(|stored| stored.0 != prefix_group);
        self.cache.push_back((prefix_group, shared_prefix));
        while self.cache.iter().map(|stored| stored.1).sum::<u64>() > self.spec.cache {
            self.cache.pop_front();
        }
    }
}
