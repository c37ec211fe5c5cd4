//! The newest events of one process, in bounded memory.

use std::collections::VecDeque;

use super::Filter;
use super::Line;

/// The newest events; when it is full, the oldest event is dropped.
#[derive(Clone, Debug)]
pub struct Ring {
    lines: VecDeque<Line>,
    limit: usize,
}

impl Ring {
    /// An empty ring that holds up to `limit` events.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            lines: VecDeque::new(),
            limit,
        }
    }

    /// Adds `line`, in place of the oldest event where the ring is full.
    pub fn push(&mut self, line: Line) {
        if self.lines.len() >= self.limit {
            self.lines.pop_front();
        }
        self.lines.push_back(line);
    }

    /// The events that match `filter`, oldest first.
    #[must_use]
    pub fn select(&self, filter: &Filter) -> Vec<Line> {
        self.lines
            .iter()
            .filter(|line| filter.matches(line))
            .cloned()
            .collect()
    }
}

/// Merges the events of several processes in the order of their stamps, so that no effect comes
/// before its cause.
#[must_use]
pub fn merge(timelines: Vec<Vec<Line>>) -> Vec<Line> {
    let mut all: Vec<_> = timelines.into_iter().flatten().collect();
    all.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    all
}
