//! Common load balancers: each entry chooses an engine by itself, based on the last load reports.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::load::Request;

/// A load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Balancer {
    /// Round robin, separately at each entry.
    RoundRobin,
    /// The engine with the least load: the last report plus the requests that this entry has sent since.
    LeastRequests,
    /// The less loaded of two random engines, by the same measure.
    TwoChoices,
    /// The same engine for all prompts with the same prefix.
    Affinity,
}

/// The state of one entry.
#[derive(Clone, Debug)]
struct Entry {
    next_engine: usize,
    reported: Vec<usize>,
    sent_since_report: Vec<usize>,
}

/// A load balancer with the state of all entries.
#[derive(Debug)]
pub(super) struct Chooser {
    balancer: Balancer,
    entries: Vec<Entry>,
    available: Vec<bool>,
    random: ChaCha8Rng,
}

impl Chooser {
    pub(super) fn new(balancer: Balancer, entries: usize, engines: usize, seed: u64) -> Self {
        let entry = |next_engine| Entry {
            next_engine,
            reported: vec![0; engines],
            sent_since_report: vec![0; engines],
        };
        Self {
            balancer,
            entries: (0..entries).map(entry).collect(),
            available: vec![true; engines],
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Delivers a load report to every entry.
    pub(super) fn report(&mut self, engine: usize, load: usize) {
        for entry in &mut self.entries {
            entry.reported[engine] = load;
            entry.sent_since_report[engine] = 0;
        }
    }

    pub(super) fn drain(&mut self, engine: usize) {
        self.available[engine] = false;
    }

    pub(super) fn choose(&mut self, request: &Request) -> usize {
        let entry = &mut self.entries[request.entry];
        let available: Vec<_> = (0..self.available.len())
            .filter(|engine| self.available[*engine])
            .collect();
        let load = |engine: &usize| entry.reported[*engine] + entry.sent_since_report[*engine];
        let chosen = match self.balancer {
            Balancer::RoundRobin => {
                entry.next_engine += 1;
                available[entry.next_engine % available.len()]
            }
            Balancer::LeastRequests => *available
                .iter()
                .min_by_key(|engine| load(engine))
                .unwrap_or(&0),
            Balancer::TwoChoices => {
                let first = available[self.random.random_range(0..available.len())];
                let second = available[self.random.random_range(0..available.len())];
                if load(&first) <= load(&second) {
                    first
                } else {
                    second
                }
            }
            Balancer::Affinity => {
                let rank = |engine: &&usize| {
                    let text = [
                        request.prefix_group.to_be_bytes(),
                        (**engine as u64).to_be_bytes(),
                    ];
                    twox_hash::XxHash64::oneshot(0, &text.concat())
                };
                *available.iter().max_by_key(rank).unwrap_or(&0)
            }
        };
        entry.sent_since_report[chosen] += 1;
        chosen
    }
}
