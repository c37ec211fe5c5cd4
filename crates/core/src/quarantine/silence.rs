//! Servers that fell silent under requests, and those that are gone from the server list.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Instant;

use super::Observation;

/// How long a silence and the disappearance of its server may be apart: a crashed server stays on the list for seconds,
/// and a request may wait for its response until its deadline.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// How many silences, and how many servers that are gone, are remembered.
const MAX_REMEMBERED: usize = 1_024;

/// Matches servers that fell silent under requests with those that are gone from the server list without having left it
/// by plan: these have crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct Silences {
    silent: VecDeque<(Instant, Arc<str>, Observation)>,
    gone: VecDeque<(Instant, Arc<str>)>,
}

impl Silences {
    /// Records that `server` fell silent under a request; returns whether the server is known to be gone.
    pub(super) fn record(
        &mut self,
        server: &Arc<str>,
        observation: &Observation,
        now: Instant,
    ) -> bool {
        self.forget(now);
        if self.gone.iter().any(|(_, gone)| gone == server) {
            return true;
        }
        if self.silent.len() >= MAX_REMEMBERED {
            self.silent.pop_front();
        }
        self.silent
            .push_back((now, Arc::clone(server), observation.clone()));
        false
    }

    /// Records that `server` is gone; returns the requests under which it had fallen silent.
    pub(super) fn record_gone(&mut self, server: &Arc<str>, now: Instant) -> Vec<Observation> {
        self.forget(now);
        if self.gone.len() >= MAX_REMEMBERED {
            self.gone.pop_front();
        }
        self.gone.push_back((now, Arc::clone(server)));
        let silent = std::mem::take(&mut self.silent).into_iter();
        let (same, others): (Vec<_>, Vec<_>) = silent.partition(|(_, silent, _)| silent == server);
        self.silent = others.into();
        let observations = same.into_iter().map(|(at, _, observation)| Observation {
            age: observation.age + now.since(at),
            ..observation
        });
        observations.collect()
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |at: Instant| now.since(at) >= MAX_DELAY;
        while self.silent.pop_front_if(|(at, ..)| is_old(*at)).is_some() {}
        while self.gone.pop_front_if(|(at, _)| is_old(*at)).is_some() {}
    }
}
