//! What gateways and hub say to each other of single requests.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id;
use crate::limit::Reports;
use crate::pool::AttemptOutcome;
use crate::quarantine::Identity;
use crate::quarantine::Observation;
use crate::quarantine::Permit;
use crate::quota::Charge;
use crate::rollout::Version;
use crate::route::Rank;
use crate::unit::Tokens;

use super::Load;
use super::Server;

/// A request that wants a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The gateway's host.
    pub host: id::Host,
    /// The gateway's data hall.
    pub hall: Arc<str>,
    /// The service.
    pub service: id::Service,
    /// The rule that the request came under, where a roll-out of the service is under way.
    pub rule: Option<Arc<str>>,
    /// How urgent the request is.
    pub rank: Rank,
    /// The time since it arrived.
    pub waited: Duration,
    /// For how much longer an answer to it can still begin in time.
    pub useful_for: Duration,
    /// How much longer it waits.
    pub wait_limit: Duration,
    /// How much longer it may take in all.
    pub time_left: Duration,
    /// What it is.
    pub identity: Identity,
    /// What its gateway has to tell of it.
    pub observations: Vec<Observation>,
    /// The length of its prompt; 0 where it has none.
    pub prompt: Tokens,
    /// What it counts, where that was not drawn yet.
    pub charge: Option<Charge>,
    /// Whether it was sent before, and its gateway has no further sending left.
    pub needs_retry: bool,
    /// Incarnations that it was sent to before.
    pub tried: Vec<Arc<str>>,
    /// Others that its gateway leaves alone, and for how much longer.
    pub avoid: Vec<(Arc<str>, Duration)>,
    /// Those that have asked its host for rest, and for how much longer.
    pub backing_off: Vec<(Arc<str>, Duration)>,
    /// The data halls that it must stay in; none where it may go anywhere.
    pub allowed_halls: Option<Arc<[Arc<str>]>>,
}

/// A place at a backend server, given to one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Which grant it is.
    pub id: GrantId,
    /// Where the request is to be sent.
    pub server: Server,
    /// The number of the permit that it is sent by, where servers ended under such a request.
    pub permit: Option<u64>,
    /// Whether it was drawn from a limit that the server has named.
    pub rate_charged: bool,
    /// Whether the further sending was drawn with it.
    pub includes_retry: bool,
}

/// What a request was given with its place in line, and gives back if it gets no server.
#[derive(Clone, Debug, Default)]
pub(super) struct Given {
    /// What it counts.
    pub(super) charge: Option<Charge>,
    /// Its leave to be sent, where it needs one.
    pub(super) permit: Option<Permit>,
    /// The service that it draws a further sending to, where it does.
    pub(super) retry: Option<id::Service>,
}

/// Tells grants apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantId {
    /// The hub that gave it, by a number drawn when it began; 0 for none.
    pub hub: u64,
    /// Rises with each grant of that hub.
    pub number: u64,
}

impl GrantId {
    /// Whether its grant was given after that of `former`, or by another hub.
    #[must_use]
    pub fn follows(self, former: Self) -> bool {
        self.hub != former.hub || self.number > former.number
    }
}

/// What is told of a sending for a roll-out of its service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTag {
    /// The rule that its request came under.
    pub rule: Arc<str>,
    /// The version that is rolled out, as it was known when the sending began: what began before the order
    /// earns nothing.
    pub target: Version,
}

/// How a sending ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The service.
    pub service: id::Service,
    /// Where it was sent.
    pub incarnation: Arc<str>,
    /// For the roll-out that was under way when it began, where one was.
    pub rollout: Option<RolloutTag>,
    /// What it says of the backend server.
    pub outcome: AttemptOutcome,
}

/// What a gateway tells as soon as an answer begins or a sending has ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The gateway's host.
    pub host: id::Host,
    /// The last grant that it has got.
    pub last_grant: GrantId,
    /// What it has in flight.
    pub loads: Vec<Load>,
    /// What has ended since its last report.
    pub ended: Vec<AttemptEnd>,
    /// What it has to tell of requests under which servers ended.
    pub observations: Vec<Observation>,
    /// What it has to tell of limits that servers name.
    pub limit_reports: Reports,
}
