//! The newest events of one process, in bounded memory.

use std::collections::VecDeque;

use super::Filter;
use super::Line;

/// The newest events; the oldest go when it is full.
#[derive(Clone, Debug)]
pub struct Ring {
    lines: VecDeque<Line>,
    limit: usize,
}

impl Ring {
    /// An empty ring for `limit` events.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            lines: VecDeque::new(),
            limit,
        }
    }

    /// Keeps `line`.
    pub fn push(&mut self, line: Line) {
        if self.lines.len() >= self.limit {
            self.lines.pop_front();
        }
        self.lines.push_back(line);
    }

    /// The events that pass, oldest first.
    #[must_use]
    pub fn select(&self, filter: &Filter) -> Vec<Line> {
        self.lines
            .iter()
            .filter(|line| filter.passes(line))
            .cloned()
            .collect()
    }
}

/// The events of several processes in one order that no cause contradicts.
#[must_use]
pub fn merge(parts: Vec<Vec<Line>>) -> Vec<Line> {
    let mut all: Vec<_> = parts.into_iter().flatten().collect();
    all.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    all
}
