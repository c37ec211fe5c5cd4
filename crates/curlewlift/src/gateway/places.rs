//! Places at backend servers that the hub gives, in one order over all gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::AttemptEnd;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::RolloutTag;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::id;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Notice;
use curlewlift_core::pool::Request;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::quarantine::Rejection;
use curlewlift_core::quota::Charge;
use curlewlift_core::unit::Tokens;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::log::Line;
use super::node::Node;
use super::service::Service;

/// How long a report may take.
const REPORT: Duration = Duration::from_millis(500);

/// What the hub's word may take beyond the time that the request waits there: two ways between data
/// halls, and a busy host's delay.
const ON_ITS_WAY: Duration = Duration::from_millis(40);

/// How long a gateway chooses by itself after the hub gave no word in time.
const DOUBT: Duration = Duration::from_millis(400);

/// How long a call may take before its connection is given up; the request has gone on by then.
const CALL: Duration = Duration::from_secs(2);

/// What a request wants a place for.
#[derive(Clone, Copy)]
pub(super) struct Wanted<'a> {
    /// The service.
    pub(super) service: &'a id::Service,
    /// The rule that the request came under.
    pub(super) rule: &'a Arc<str>,
    /// What the request is.
    pub(super) identity: &'a Identity,
    /// For how much longer it may take.
    pub(super) left: Duration,
    /// Whether it was sent before, and this gateway has no further sending left.
    pub(super) retry: bool,
}

/// What the hub said.
pub(super) enum Word {
    /// The request is to be sent where the hub's grant says.
    Place(Grant),
    /// There was no place in time.
    NoPlace,
    /// Its customer has used up its allowance; there is enough after this time.
    Beyond(Duration),
    /// Servers ended under such a request.
    Withheld(Rejection),
    /// It was sent before, and no further sending is left.
    NoRetry,
    /// A place at a server that has told this host that it wants no request, or a limit that the hub did not know of;
    /// what the request counts is drawn.
    Closed(Server),
    /// Nothing, or nothing that can be used: this gateway has to choose by itself.
    Nothing,
}

/// Asks the hub for a place for at most `patience`, and to draw what the request counts.
pub(super) async fn ask(
    node: &Node,
    wanted: Wanted<'_>,
    ask: &Request,
    charge: Option<&Charge>,
    patience: Duration,
) -> Word {
    let Some(address) = node.hub_address() else {
        return Word::Nothing;
    };
    let want = node.want(wanted, ask, charge, patience);
    let call = RenewCall::Hub(HubCall::Want(Box::new(want)));
    let asked = node.now();
    let call = node
        .rpc
        .call(address, Method::Renew, &call, CALL + patience);
    let reply: Option<Result<HubReply, Refusal>> = tokio::select! {
        reply = tokio::time::timeout(patience + ON_ITS_WAY, call) => reply.ok(),
        () = node.hub_falls_silent() => None,
    };
    match reply {
        Some(Ok(HubReply::Place(Some(grant)))) => {
            // A host that was suspended finds a place that has been given to others since.
            let is_late = node.now().since(asked) > patience + ON_ITS_WAY;
            node.take(wanted, grant, ask.prompt, is_late)
        }
        Some(Ok(HubReply::Place(None))) => Word::NoPlace,
        Some(Ok(HubReply::Beyond(filled))) => Word::Beyond(filled),
        Some(Ok(HubReply::Withheld(why))) => Word::Withheld(why),
        Some(Ok(HubReply::NoRetry)) => Word::NoRetry,
        Some(Ok(_)) => node.doubt("it does not lead"),
        Some(Err(why)) => node.doubt(&why.to_string()),
        None => node.doubt("no word in time"),
    }
}

impl Node {
    /// Where the hub is asked for places; none where it is not heard or is doubted.
    fn hub_address(&self) -> Option<SocketAddr> {
        let now = self.now();
        let fresh = self.hub_fresh();
        let hub = self.hub.borrow();
        let lately = |when: Option<_>, length| when.is_some_and(|when| now.since(when) < length);
        if !lately(hub.heard, fresh) || lately(hub.doubted, DOUBT) {
            return None;
        }
        hub.address
    }

    /// Waits until the hub has not been heard for so long that it is not asked.
    ///
    /// A hub whose host has lost power resets nothing: waiting for its word for as long as a request is
    /// held, gateways began nothing for 0.4 s, and most of their streams for up to 1 s.
    async fn hub_falls_silent(&self) {
        while let Some(silence) = self.hub_silence()
            && silence < self.hub_fresh()
        {
            tokio::time::sleep(self.hub_fresh().saturating_sub(silence)).await;
        }
    }

    fn want(
        &self,
        wanted: Wanted<'_>,
        ask: &Request,
        charge: Option<&Charge>,
        patience: Duration,
    ) -> SlotRequest {
        let now = self.now();
        let service = wanted.service;
        let watched = self.policy.borrow().rollout_target(service).is_some();
        let avoid = self.with_service(service, |service| {
            let avoided = service.pool.avoided(&ask.tried, now);
            avoided.collect()
        });
        let rests = self.with_service(service, |service| {
            service.pool.get_notices().backing_off(now).collect()
        });
        SlotRequest {
            host: self.host.clone(),
            hall: Arc::clone(&self.gateway.hall),
            service: service.clone(),
            rule: watched.then(|| Arc::clone(wanted.rule)),
            rank: ask.rank,
            waited: now.since(ask.arrived),
            send_within: ask.send_by.since(now),
            max_wait: patience,
            time_left: wanted.left,
            identity: wanted.identity.clone(),
            observations: self
                .quarantine
                .borrow()
                .get_evidence()
                .unacknowledged_for(wanted.identity),
            prompt: ask.prompt,
            charge: charge.cloned(),
            needs_retry: wanted.retry,
            tried: ask.tried.clone(),
            avoid: avoid.unwrap_or_default(),
            backoffs: rests.unwrap_or_default(),
            allowed_halls: ask.allowed_halls.clone(),
        }
    }

    /// Takes up a grant, but for one that has come too late.
    fn take(&self, wanted: Wanted<'_>, grant: Grant, prompt: Tokens, is_late: bool) -> Word {
        let service = wanted.service;
        let mut hub = self.hub.borrow_mut();
        if grant.id.follows(hub.mark) {
            hub.mark = grant.id;
        }
        drop(hub);
        let server = Arc::new(grant.server.clone());
        let now = self.now();
        let met = self
            .limits
            .borrow_mut()
            .observe_servers(std::iter::once(&*server), now);
        self.limit(met.into_iter());
        let is_beyond = !grant.charged_to_limit && self.limits.borrow().blocks(&server, grant.id);
        let is_evacuated = self.policy.borrow().is_evacuated(&server.hall);
        let is_closed = is_beyond || is_evacuated;
        let take = |service: &mut Service| {
            !is_late && !is_closed && service.pool.accept_grant(&server, prompt, now)
        };
        if self.with_service(service, take) == Some(true) {
            return Word::Place(grant);
        }
        if let Some(permit) = grant.permit {
            let identity = wanted.identity.clone();
            let mut quarantine = self.quarantine.borrow_mut();
            quarantine.record_inconclusive(identity, permit, now);
        }
        self.tell(service, &server.incarnation, AttemptOutcome::Unknown, None);
        if (self.tell_word(service, &server) || is_closed) && !is_late {
            return Word::Closed(grant.server);
        }
        Word::Nothing
    }

    /// Tells the hub what a server has said of itself to this host and still holds; false where that is nothing.
    pub(super) fn tell_word(&self, service: &id::Service, server: &Server) -> bool {
        let now = self.now();
        let incarnation = &server.incarnation;
        let word = |service: &mut Service| service.pool.get_notices().active(incarnation, now);
        let end = match self.with_service(service, word).flatten() {
            Some(Notice::Draining) => AttemptOutcome::Gone,
            Some(Notice::Backoff(left)) => AttemptOutcome::Backoff(left),
            Some(Notice::Unreadable(_)) | None => return false,
        };
        self.tell(service, incarnation, end, None);
        true
    }

    fn doubt(&self, why: &str) -> Word {
        let now = self.now();
        let mut hub = self.hub.borrow_mut();
        Line::new(Kind::HubDoubted)
            .with("leader", hub.leader.as_ref().map(ToString::to_string))
            .with("why", why)
            .write();
        hub.doubted = Some(now);
        Word::Nothing
    }

    /// What is to be told of a sending that begins now, for a roll-out under way.
    pub(super) fn watched(&self, wanted: Wanted<'_>) -> Option<RolloutTag> {
        let policy = self.policy.borrow();
        let target = policy.rollout_target(wanted.service)?;
        Some(RolloutTag {
            rule: Arc::clone(wanted.rule),
            target: target.clone(),
        })
    }

    /// Tells the hub how a sending ended.
    pub(super) fn tell(
        &self,
        service: &id::Service,
        incarnation: &str,
        end: AttemptOutcome,
        watched: Option<RolloutTag>,
    ) {
        self.ends.borrow_mut().push(AttemptEnd {
            service: service.clone(),
            incarnation: incarnation.into(),
            rollout: watched,
            outcome: end,
        });
        self.reports.notify_one();
    }
}

/// Reports what is in flight as soon as an answer begins or a sending ends; one report at a time.
pub(super) async fn report(node: Rc<Node>) {
    loop {
        node.reports.notified().await;
        let ends = node.ends.take();
        let Some(address) = node.hub_address() else {
            // The next question tells what is in flight.
            continue;
        };
        let report = Report {
            host: node.host.clone(),
            last_grant: node.hub.borrow().mark,
            loads: node.loads(),
            ended: ends,
            observations: node.quarantine.borrow().get_evidence().unacknowledged().0,
            limit_reports: node.limits.borrow().pending_reports(),
        };
        let call = RenewCall::Hub(HubCall::Tell(report));
        let told: Result<HubReply, Refusal> =
            node.rpc.call(address, Method::Renew, &call, REPORT).await;
        if let Err(why) = told {
            log::debug!("a report did not reach the hub: {why}");
        }
    }
}
