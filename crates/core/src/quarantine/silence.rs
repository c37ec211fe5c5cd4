//! Servers that fell silent under requests, and those that are gone from the server list.

use std::collections::BTreeSet;
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

/// The first server list of a hub.
#[derive(Clone, Debug)]
struct FirstList {
    received_at: Instant,
    /// The incarnations of the servers.
    servers: BTreeSet<Arc<str>>,
}

impl FirstList {
    /// Whether `server`, which fell silent at `silent_at`, was gone before the hub had a list.
    fn was_gone(&self, server: &Arc<str>, silent_at: Instant) -> bool {
        silent_at <= self.received_at && !self.servers.contains(server)
    }
}

/// Matches servers that fell silent under requests with those that are gone from the server list without having left it
/// by plan: these have crashed.
///
/// Load pattern: hubs change while servers crash. A new hub does not see which servers leave the list before its first
/// one, so those that fell silent before that and are not on it are gone as well.
#[derive(Clone, Debug, Default)]
pub(super) struct Silences {
    silent: VecDeque<(Instant, Arc<str>, Observation)>,
    gone: VecDeque<(Instant, Arc<str>)>,
    /// Forgotten once what fell silent before it is too old.
    first_list: Option<FirstList>,
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
        if observation.age >= MAX_DELAY {
            return false;
        }
        let silent_at = now - observation.age;
        let first_list = self.first_list.as_ref();
        if self.gone.iter().any(|(_, gone)| gone == server)
            || first_list.is_some_and(|first_list| first_list.was_gone(server, silent_at))
        {
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
        self.record_end(server, Instant::default(), now)
    }

    /// The same for a server that ended at `ended_at` or later: it had not fallen silent under the requests that were
    /// recorded before.
    pub(super) fn record_end(
        &mut self,
        server: &Arc<str>,
        ended_at: Instant,
        now: Instant,
    ) -> Vec<Observation> {
        self.forget(now);
        if !self.gone.iter().any(|(_, gone)| gone == server) {
            if self.gone.len() >= MAX_REMEMBERED {
                self.gone.pop_front();
            }
            self.gone.push_back((now, Arc::clone(server)));
        }
        let same = self.take_silent(|silent| silent == server, now).into_iter();
        let same = same.filter(|(at, ..)| *at >= ended_at);
        same.map(|(_, _, observation)| observation).collect()
    }

    /// Records the incarnations on the first server list; returns the requests under which others had fallen silent, with
    /// those servers.
    pub(super) fn record_first_list(
        &mut self,
        servers: BTreeSet<Arc<str>>,
        now: Instant,
    ) -> Vec<(Arc<str>, Observation)> {
        self.forget(now);
        let unlisted = self.take_silent(|silent| !servers.contains(silent), now);
        self.first_list = Some(FirstList {
            received_at: now,
            servers,
        });
        let unlisted = unlisted.into_iter();
        unlisted
            .map(|(_, server, observation)| (server, observation))
            .collect()
    }

    /// Removes the silences of the servers that `is_taken` selects; returns them with the times at which they were recorded.
    fn take_silent(
        &mut self,
        is_taken: impl Fn(&Arc<str>) -> bool,
        now: Instant,
    ) -> Vec<(Instant, Arc<str>, Observation)> {
        let silent = std::mem::take(&mut self.silent).into_iter();
        let (taken, others): (Vec<_>, Vec<_>) = silent.partition(|(_, silent, _)| is_taken(silent));
        self.silent = others.into();
        let taken = taken.into_iter().map(|(at, server, observation)| {
            let age = observation.age + now.since(at);
            (at, server, Observation { age, ..observation })
        });
        taken.collect()
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |at: Instant| now.since(at) >= MAX_DELAY;
        while self.silent.pop_front_if(|(at, ..)| is_old(*at)).is_some() {}
        while self.gone.pop_front_if(|(at, _)| is_old(*at)).is_some() {}
        self.first_list
            .take_if(|first_list| is_old(first_list.received_at));
    }
}
