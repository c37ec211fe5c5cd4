//! What a gateway has seen of servers that ended under its requests.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;

use super::Identity;

/// How long a gateway tells a new hub what it saw: several changes of the hub.
const KEPT: Duration = Duration::from_mins(1);

/// The most that a gateway keeps, some 60 bytes each: 30 servers that end with seven requests each.
const MOST: usize = 256;

/// How a sending ended, as far as it says something of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// The server, by its incarnation, broke off under it.
    Crashed(Arc<str>),
    /// The server answered whole: the request does not end servers.
    Completed,
    /// Neither; its permit is free again.
    Inconclusive,
}

/// What a gateway saw of one sending of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The request.
    pub identity: Identity,
    /// The number of the permit that it was sent by; none where it needed none.
    pub permit: Option<u64>,
    /// How the sending ended.
    pub effect: Effect,
}

/// An observation, with its number and when it was made.
#[derive(Clone, Debug)]
struct Noted {
    number: u64,
    at: Instant,
    observation: Observation,
}

/// The last acknowledgement that a hub gave.
#[derive(Clone, Copy, Debug, Default)]
struct Acknowledged {
    /// The hub, by the number that it drew.
    hub: u64,
    /// Up to which observation it was told.
    upto: u64,
}

/// What a gateway has seen lately, told to each hub until that acknowledges it.
///
/// Messages may be lost, and are sent again; the hub counts each end once, by the server's incarnation.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    noted: VecDeque<Noted>,
    /// The number of the last observation.
    last: u64,
    acknowledged: Acknowledged,
}

impl Evidence {
    /// Takes note of an observation.
    pub fn record(&mut self, observation: Observation, now: Instant) {
        let is_old = |noted: &mut Noted| now.since(noted.at) >= KEPT;
        while self.noted.pop_front_if(is_old).is_some() {}
        if self.noted.len() >= MOST {
            self.noted.pop_front();
        }
        self.last += 1;
        self.noted.push_back(Noted {
            number: self.last,
            at: now,
            observation,
        });
    }

    /// What the hub has not acknowledged, and up to which observation that is.
    #[must_use]
    pub fn unacknowledged(&self) -> (Vec<Observation>, u64) {
        let upto = self.acknowledged.upto;
        let untold = self.noted.iter().filter(|noted| noted.number > upto);
        let untold = untold.map(|noted| noted.observation.clone());
        (untold.collect(), self.last)
    }

    /// The same, of one request.
    #[must_use]
    pub fn unacknowledged_for(&self, identity: &Identity) -> Vec<Observation> {
        let (mut untold, _) = self.unacknowledged();
        untold.retain(|observation| observation.identity == *identity);
        untold
    }

    /// The hub `hub` has answered, and was told all up to the observation `upto`.
    pub fn acknowledge(&mut self, hub: u64, upto: u64) {
        // Another hub knows nothing of what was told to the former one.
        let is_same = self.acknowledged.hub == hub;
        let upto = if is_same { upto } else { 0 };
        self.acknowledged = Acknowledged { hub, upto };
    }

    /// The servers that ended here under a request that was not answered whole since.
    #[must_use]
    pub fn crashed_servers(&self, identity: &Identity) -> BTreeSet<Arc<str>> {
        let mut ended = BTreeSet::new();
        let observations = self.noted.iter().map(|noted| &noted.observation);
        for observation in observations.filter(|observation| observation.identity == *identity) {
            match &observation.effect {
                Effect::Crashed(incarnation) => {
                    ended.insert(Arc::clone(incarnation));
                }
                Effect::Completed => ended.clear(),
                Effect::Inconclusive => {}
            }
        }
        ended
    }
}
