//! The usual ways of choosing an engine: each entry alone, on what it was last told.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::load::Request;

/// A way of choosing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rival {
    /// In turn, at each entry.
    RoundRobin,
    /// The least load by the last report, and what this entry has sent since.
    LeastRequests,
    /// The lesser of two drawn at random, by the same word.
    TwoChoices,
    /// Where the beginning of the prompt was sent before.
    Affinity,
}

/// What one entry knows.
#[derive(Clone, Debug)]
struct Entry {
    turn: usize,
    reported: Vec<usize>,
    since: Vec<usize>,
}

/// A way of choosing with what its entries know.
#[derive(Debug)]
pub(super) struct Chooser {
    rival: Rival,
    entries: Vec<Entry>,
    live: Vec<bool>,
    random: ChaCha8Rng,
}

impl Chooser {
    pub(super) fn new(rival: Rival, entries: usize, engines: usize, seed: u64) -> Self {
        let entry = |turn| Entry {
            turn,
            reported: vec![0; engines],
            since: vec![0; engines],
        };
        Self {
            rival,
            entries: (0..entries).map(entry).collect(),
            live: vec![true; engines],
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A load report reaches every entry.
    pub(super) fn report(&mut self, engine: usize, load: usize) {
        for entry in &mut self.entries {
            entry.reported[engine] = load;
            entry.since[engine] = 0;
        }
    }

    pub(super) fn leave(&mut self, engine: usize) {
        self.live[engine] = false;
    }

    pub(super) fn choose(&mut self, request: &Request) -> usize {
        let entry = &mut self.entries[request.entry];
        let live: Vec<_> = (0..self.live.len())
            .filter(|engine| self.live[*engine])
            .collect();
        let load = |engine: &usize| entry.reported[*engine] + entry.since[*engine];
        let chosen = match self.rival {
            Rival::RoundRobin => {
                entry.turn += 1;
                live[entry.turn % live.len()]
            }
            Rival::LeastRequests => *live.iter().min_by_key(|engine| load(engine)).unwrap_or(&0),
            Rival::TwoChoices => {
                let one = live[self.random.random_range(0..live.len())];
                let two = live[self.random.random_range(0..live.len())];
                if load(&one) <= load(&two) { one } else { two }
            }
            Rival::Affinity => {
                let rank = |engine: &&usize| {
                    let text = [request.group.to_be_bytes(), (**engine as u64).to_be_bytes()];
                    twox_hash::XxHash64::oneshot(0, &text.concat())
                };
                *live.iter().max_by_key(rank).unwrap_or(&0)
            }
        };
        entry.since[chosen] += 1;
        chosen
    }
}
