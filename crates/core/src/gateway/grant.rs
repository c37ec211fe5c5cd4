//! The messages of gateways and hub about single requests.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::id;
use crate::limit::Reports;
use crate::pool::AttemptOutcome;
use crate::pool::ReportedLoad;
use crate::pool::Request;
use crate::quarantine::Features;
use crate::quarantine::Observation;
use crate::quarantine::Permit;
use crate::quota::Charge;
use crate::rollout::Version;
use crate::route::Rank;
use crate::stream;
use crate::unit::Tokens;

use super::Load;
use super::Server;
use super::retries::GrantedRetry;
use super::retries::RETRY_GRANT_LIFETIME;

/// A gateway's request for a slot at a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The gateway's host.
    pub host: id::Host,
    /// The gateway's data hall.
    pub hall: Arc<str>,
    /// The service.
    pub service: id::Service,
    /// The rule that the request matched, if a roll-out of the service is in progress.
    pub rule: Option<Arc<str>>,
    /// The customer, if the request has one.
    pub customer: Option<id::Customer>,
    /// The priority rank of the request.
    pub rank: Rank,
    /// The time since the request arrived.
    pub waited: Duration,
    /// The time within which the request must be sent for its response to begin within the latency
    /// objective.
    pub send_within: Duration,
    /// The time that is left of the latency objective, within which the response should begin.
    pub first_event_within: Duration,
    /// The longest time between two events of its stream for which the stream is in time.
    pub max_gap: Option<Duration>,
    /// How much longer the request may wait for a slot.
    pub max_wait: Duration,
    /// The time left to complete the request.
    pub time_left: Duration,
    /// What the request is, and what it has in common with others, for quarantine.
    pub features: Features,
    /// The gateway's observations of servers that crashed under the request.
    pub observations: Vec<Observation>,
    /// The number of prompt tokens, or 0 if there is no prompt.
    pub prompt: Tokens,
    /// The number of tokens that it is likely to generate, or 0 if that is not known.
    pub output: Tokens,
    /// The charge to the customer's quota, if it has not been charged yet.
    pub charge: Option<Charge>,
    /// Whether this is a retry that the gateway's own retry budget does not cover.
    pub needs_retry: bool,
    /// The incarnations to which earlier attempts were sent.
    pub tried: Vec<Arc<str>>,
    /// Further incarnations that the gateway avoids, and for how much longer.
    pub avoid: Vec<(Arc<str>, Duration)>,
    /// The incarnations that asked the gateway's host to back off, and for how much longer.
    pub backoffs: Vec<(Arc<str>, Duration)>,
    /// The data halls to which the request is restricted, if it is.
    pub allowed_halls: Option<Arc<[Arc<str>]>>,
    /// The versions to which the request is restricted, if it is.
    pub allowed_versions: Option<Arc<[Version]>>,
}

impl SlotRequest {
    /// Restricts the request to `versions`, in addition to the restriction that it may have.
    pub fn allow_only(&mut self, versions: &[Version]) {
        let is_allowed = |version: &&Version| {
            let allowed = self.allowed_versions.as_ref();
            allowed.is_none_or(|allowed| allowed.contains(version))
        };
        let versions = versions.iter().filter(is_allowed).cloned().collect();
        self.allowed_versions = Some(versions);
    }

    /// Returns the request as it is queued from `now` on.
    #[must_use]
    pub fn to_pool_request(&self, now: Instant) -> Request {
        let expiry = |(incarnation, remaining): &(Arc<str>, Duration)| {
            (Arc::clone(incarnation), now + *remaining)
        };
        Request {
            rule: self.rule.clone(),
            customer: self.customer.clone(),
            rank: self.rank,
            arrived: now - self.waited,
            send_by: now + self.send_within,
            begin_by: now + self.first_event_within,
            max_gap: self.max_gap,
            wait_until: now + self.max_wait,
            prompt: self.prompt,
            output: self.output,
            hall: Arc::clone(&self.hall),
            tried: self.tried.clone(),
            avoid: self.avoid.iter().map(expiry).collect(),
            backoffs: self.backoffs.iter().map(expiry).collect(),
            allowed_halls: self.allowed_halls.clone(),
            allowed_versions: self.allowed_versions.clone(),
        }
    }
}

/// A slot at a backend server, granted to one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The id of the grant.
    pub id: GrantId,
    /// The server to which the request is to be sent.
    pub server: Server,
    /// The number of the permit of the request, if servers crashed under requests of its identity.
    pub permit: Option<u64>,
    /// Whether the request was charged to a limit that the server announced.
    pub charged_to_limit: bool,
    /// If the grant includes the retry that the gateway asked for, how many the hub had left afterwards.
    pub retries_left: Option<u32>,
}

impl Grant {
    /// If the grant includes a retry that may be used at `now`, after the slot was asked for at `asked_at`, returns how
    /// many the hub had left.
    #[must_use]
    pub fn retries_left_at(&self, asked_at: Instant, now: Instant) -> Option<u32> {
        let is_usable = now.since(asked_at) < RETRY_GRANT_LIFETIME;
        self.retries_left.filter(|_| is_usable)
    }
}

/// What is reserved for a queued request, and released if it gets no slot.
#[derive(Clone, Debug, Default)]
pub(super) struct Reservation {
    /// The charge to the customer's quota.
    pub(super) charge: Option<Charge>,
    /// The permit to send the request, if its identity needs one.
    pub(super) permit: Option<Permit>,
    /// The retry, if the gateway asked for one.
    pub(super) retry: Option<GrantedRetry>,
}

/// The id of a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantId {
    /// The random number of the hub that gave the grant, or 0 for none.
    pub hub_id: u64,
    /// A number that rises with each grant of the hub.
    pub number: u64,
}

impl GrantId {
    /// Returns whether this grant was given after `former`, or by another hub.
    #[must_use]
    pub fn follows(self, former: Self) -> bool {
        self.hub_id != former.hub_id || self.number > former.number
    }
}

/// What an attempt reports for a roll-out of its service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTag {
    /// The rule that the request matched.
    pub rule: Arc<str>,
    /// The version being rolled out as it was known when the attempt began. Attempts that began
    /// before the order do not count for it.
    pub target: Version,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The service.
    pub service: id::Service,
    /// The incarnation to which the attempt was sent.
    pub incarnation: Arc<str>,
    /// The roll-out that was in progress when the attempt began, if any.
    pub rollout: Option<RolloutTag>,
    /// The outcome for the backend server.
    pub outcome: AttemptOutcome,
    /// The hub's grant of its slot; the default id if the gateway assigned the slot itself.
    pub grant: GrantId,
    /// From sending the request to the end of the response; zero if it was not sent.
    pub server_time: Duration,
    /// The load that the server stated in the head of its response.
    pub load: Option<ReportedLoad>,
}

/// A report that a gateway sends as soon as a response begins or an attempt ends.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The gateway's host.
    pub host: id::Host,
    /// The last grant that the gateway received.
    pub last_grant: GrantId,
    /// The requests that the gateway has in flight.
    pub loads: Vec<Load>,
    /// The attempts that ended since the last report.
    pub ended: Vec<AttemptEnd>,
    /// The grants that came too late to be used. Nothing was sent with them, so their charges are refunded.
    pub unused: Vec<GrantId>,
    /// Its observations of requests under which servers crashed.
    pub observations: Vec<Observation>,
    /// Its reports of limits that servers announced.
    pub limit_reports: Reports,
    /// Streams that have begun.
    pub streams: Vec<stream::Record>,
    /// The version of the newest table that the gateway has heard of.
    pub known_table: u64,
    /// The version of the table in effect there.
    pub table_in_effect: u64,
}
