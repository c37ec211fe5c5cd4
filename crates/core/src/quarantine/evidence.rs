//! What a gateway has observed of servers that crashed under its requests.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;

use super::Features;
use super::Identity;
use super::Software;
use super::account::Charge;

/// How long the response to a request must have been arriving for the request not to be the cause of its server's crash.
pub const PROBATION: Duration = Duration::from_secs(1);

/// How long an observation is kept to be reported to a new hub: several changes of the hub.
const OBSERVATION_RETENTION: Duration = Duration::from_mins(1);

/// How many observations a gateway keeps, at some 60 bytes each: enough for 30 servers that crash with seven requests
/// each.
const MAX_OBSERVATIONS: usize = 256;

/// What the outcome of an attempt says about its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// The server, identified by its incarnation, crashed under the request.
    Crashed(Arc<str>),
    /// The same, but the request had been completed before, so that only its parts may be the cause.
    CrashedParts(Arc<str>),
    /// The server sent nothing for long, and the attempt ended. If it is gone from the server list, it has crashed.
    Silent(Arc<str>),
    /// The server sent a complete and successful response: neither the request nor its parts crash servers.
    Completed,
    /// The server sent a complete response that reports an error: the request does not crash servers. Its parts may not
    /// have been processed.
    Failed,
    /// The server has been sending its response for longer than those take that crash servers: the parts do not crash
    /// servers.
    Answered,
    /// None of these; the request's permit is released.
    Inconclusive,
    /// The request was not sent; its permit is returned unused.
    NotSent,
}

/// What a gateway observed of one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// What the request is, and what it has in common with others.
    pub features: Features,
    /// The software of the server.
    pub software: Software,
    /// The number of the permit that the request was sent with; `None` if it needed none.
    pub permit: Option<u64>,
    /// For how long the response's body had been arriving; `None` if it had not begun.
    pub answered_for: Option<Duration>,
    /// How long ago that was.
    pub age: Duration,
    /// What the outcome of the attempt says about the request.
    pub effect: Effect,
}

impl Observation {
    /// When the response began, or the attempt ended if it had not begun, where the observation is received at `now`.
    #[must_use]
    pub fn began(&self, now: Instant) -> Instant {
        now - self.age - self.answered_for.unwrap_or_default()
    }

    /// The charge to the parts of the request if its server crashed; `None` if the response had been arriving for too long
    /// for the request to be the cause.
    pub(super) fn to_charge(&self, now: Instant) -> Option<Charge> {
        let was_answered = self.answered_for.is_some_and(|time| time >= PROBATION);
        (!was_answered).then(|| Charge {
            software: self.software.clone(),
            began: self.began(now),
            crashed: Some(now),
        })
    }

    /// Whether it says only that the parts of a prompt are sound, and does not end a trial.
    fn is_mere_answer(&self) -> bool {
        let is_answer = matches!(self.effect, Effect::Answered | Effect::Completed);
        is_answer && self.permit.is_none()
    }
}

/// An observation with its number and time.
#[derive(Clone, Debug)]
struct Recorded {
    number: u64,
    at: Instant,
    observation: Observation,
}

/// The last acknowledgement of a hub.
#[derive(Clone, Copy, Debug, Default)]
struct Acknowledged {
    /// The hub's random number.
    hub_id: u64,
    /// The number of the last observation that the hub has received.
    last_number: u64,
}

/// A gateway's recent observations, reported to each hub until it acknowledges them.
///
/// Messages may be lost and are sent again; the hub counts each crash once, by the server's incarnation.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    recorded: VecDeque<Recorded>,
    /// The number of the last observation.
    last_number: u64,
    acknowledged: Acknowledged,
}

impl Evidence {
    /// Records an observation.
    pub fn record(&mut self, observation: Observation, now: Instant) {
        let is_old = |recorded: &mut Recorded| now.since(recorded.at) >= OBSERVATION_RETENTION;
        while self.recorded.pop_front_if(is_old).is_some() {}
        if observation.is_mere_answer() {
            self.drop_earlier_answers(&observation);
        }
        if self.recorded.len() >= MAX_OBSERVATIONS {
            self.recorded.pop_front();
        }
        self.last_number += 1;
        self.recorded.push_back(Recorded {
            number: self.last_number,
            at: now,
            observation,
        });
    }

    /// Returns the number of the last observation.
    #[must_use]
    pub fn get_last_number(&self) -> u64 {
        self.last_number
    }

    /// Drops the earlier answers of the same kind, so that answers of a frequent part leave room for crashes.
    fn drop_earlier_answers(&mut self, newer: &Observation) {
        self.recorded.retain(|Recorded { observation, .. }| {
            let is_same = observation.features.parts == newer.features.parts
                && observation.software == newer.software
                && observation.effect == newer.effect
                && (newer.effect == Effect::Answered || observation.features == newer.features);
            !(is_same && observation.is_mere_answer())
        });
    }

    /// Returns the observations that the hub has not acknowledged, and the number of the last one.
    #[must_use]
    pub fn unacknowledged(&self, now: Instant) -> (Vec<Observation>, u64) {
        let acknowledged = self.acknowledged.last_number;
        let pending = self
            .recorded
            .iter()
            .filter(|recorded| recorded.number > acknowledged);
        let pending = pending.map(|recorded| Observation {
            age: recorded.observation.age + now.since(recorded.at),
            ..recorded.observation.clone()
        });
        (pending.collect(), self.last_number)
    }

    /// Returns the observations that the hub has not acknowledged of requests with one of these features.
    #[must_use]
    pub fn unacknowledged_for(&self, features: &Features, now: Instant) -> Vec<Observation> {
        let (mut pending, _) = self.unacknowledged(now);
        pending.retain(|observation| observation.features.has_common(features));
        pending
    }

    /// Notes that the hub `hub_id` has acknowledged all observations up to `last_number`.
    pub fn acknowledge(&mut self, hub_id: u64, last_number: u64) {
        // A new hub has not received what was reported to the previous one.
        let is_same = self.acknowledged.hub_id == hub_id;
        let last_number = if is_same { last_number } else { 0 };
        self.acknowledged = Acknowledged {
            hub_id,
            last_number,
        };
    }

    /// Returns the servers that crashed here under a request since it last got a complete response.
    #[must_use]
    pub fn crashed_servers(&self, identity: &Identity) -> BTreeSet<Arc<str>> {
        let mut crashed = BTreeSet::new();
        let observations = self.recorded.iter().map(|recorded| &recorded.observation);
        for observation in
            observations.filter(|observation| observation.features.identity == *identity)
        {
            match &observation.effect {
                Effect::Crashed(incarnation) => {
                    crashed.insert(Arc::clone(incarnation));
                }
                Effect::Completed | Effect::Failed | Effect::CrashedParts(_) => crashed.clear(),
                Effect::Silent(_) | Effect::Answered | Effect::Inconclusive | Effect::NotSent => {}
            }
        }
        crashed
    }
}
