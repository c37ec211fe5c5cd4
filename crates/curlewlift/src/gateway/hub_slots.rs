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
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// What the hub's word may take beyond the time that the request waits there: two ways between data
/// halls, and a busy host's delay.
const DELIVERY_MARGIN: Duration = Duration::from_millis(40);

/// How long a gateway chooses by itself after the hub gave no word in time.
const HUB_DOUBT_TIME: Duration = Duration::from_millis(400);

/// How long a call may take before its connection is given up; the request has gone on by then.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a request wants a place for.
#[derive(Clone, Copy)]
pub(super) struct AttemptContext<'a> {
    /// The service.
    pub(super) service: &'a id::Service,
    /// The rule that the request came under.
    pub(super) rule: &'a Arc<str>,
    /// What the request is.
    pub(super) identity: &'a Identity,
    /// For how much longer it may take.
    pub(super) time_left: Duration,
    /// Whether it was sent before, and this gateway has no further sending left.
    pub(super) needs_retry: bool,
}

/// What the hub said.
pub(super) enum HubDecision {
    /// The request is to be sent where the hub's grant says.
    Granted(Grant),
    /// There was no place in time.
    NoSlot,
    /// Its customer has used up its allowance; there is enough after this time.
    QuotaExceeded(Duration),
    /// Servers ended under such a request.
    Rejected(Rejection),
    /// It was sent before, and no further sending is left.
    NoRetry,
    /// A place at a server that has told this host that it wants no request, or a limit that the hub did not know of;
    /// what the request counts is drawn.
    Unavailable(Server),
    /// Nothing, or nothing that can be used: this gateway has to choose by itself.
    Undecided,
}

/// Asks the hub for a place for at most `wait_limit`, and to draw what the request counts.
pub(super) async fn request_slot(
    node: &Node,
    context: AttemptContext<'_>,
    request: &Request,
    charge: Option<&Charge>,
    wait_limit: Duration,
) -> HubDecision {
    let Some(address) = node.hub_address() else {
        return HubDecision::Undecided;
    };
    let slot_request = node.slot_request(context, request, charge, wait_limit);
    let call = RenewCall::Hub(HubCall::Want(Box::new(slot_request)));
    let sent_at = node.now();
    let call = node
        .rpc
        .call(address, Method::Renew, &call, CALL_TIMEOUT + wait_limit);
    let reply: Option<Result<HubReply, Refusal>> = tokio::select! {
        reply = tokio::time::timeout(wait_limit + DELIVERY_MARGIN, call) => reply.ok(),
        () = node.wait_for_hub_timeout() => None,
    };
    match reply {
        Some(Ok(HubReply::Place(Some(grant)))) => {
            // A host that was suspended finds a place that has been given to others since.
            let is_late = node.now().since(sent_at) > wait_limit + DELIVERY_MARGIN;
            node.accept_grant(context, grant, request.prompt, is_late)
        }
        Some(Ok(HubReply::Place(None))) => HubDecision::NoSlot,
        Some(Ok(HubReply::Beyond(retry_after))) => HubDecision::QuotaExceeded(retry_after),
        Some(Ok(HubReply::Withheld(why))) => HubDecision::Rejected(why),
        Some(Ok(HubReply::NoRetry)) => HubDecision::NoRetry,
        Some(Ok(_)) => node.doubt_hub("it does not lead"),
        Some(Err(why)) => node.doubt_hub(&why.to_string()),
        None => node.doubt_hub("no word in time"),
    }
}

impl Node {
    /// Where the hub is asked for places; none where it is not heard or is doubted.
    fn hub_address(&self) -> Option<SocketAddr> {
        let now = self.now();
        let timeout = self.hub_timeout();
        let hub = self.hub.borrow();
        let is_recent = |when: Option<_>, within| when.is_some_and(|when| now.since(when) < within);
        if !is_recent(hub.last_reply_at, timeout) || is_recent(hub.doubted_at, HUB_DOUBT_TIME) {
            return None;
        }
        hub.address
    }

    /// Waits until the hub has not been heard for so long that it is not asked.
    ///
    /// A hub whose host has lost power resets nothing: waiting for its word for as long as a request is
    /// held, gateways began nothing for 0.4 s, and most of their streams for up to 1 s.
    async fn wait_for_hub_timeout(&self) {
        while let Some(silence) = self.since_hub_reply()
            && silence < self.hub_timeout()
        {
            tokio::time::sleep(self.hub_timeout().saturating_sub(silence)).await;
        }
    }

    fn slot_request(
        &self,
        context: AttemptContext<'_>,
        request: &Request,
        charge: Option<&Charge>,
        wait_limit: Duration,
    ) -> SlotRequest {
        let now = self.now();
        let service = context.service;
        let in_rollout = self.policy.borrow().rollout_target(service).is_some();
        let avoid = self.with_service(service, |service| {
            let avoided = service.pool.avoided(&request.tried, now);
            avoided.collect()
        });
        let backing_off = self.with_service(service, |service| {
            service.pool.get_notices().backing_off(now).collect()
        });
        SlotRequest {
            host: self.host.clone(),
            hall: Arc::clone(&self.gateway.hall),
            service: service.clone(),
            rule: in_rollout.then(|| Arc::clone(context.rule)),
            rank: request.rank,
            waited: now.since(request.arrived),
            useful_for: request.send_by.since(now),
            wait_limit,
            time_left: context.time_left,
            identity: context.identity.clone(),
            observations: self
                .quarantine
                .borrow()
                .get_evidence()
                .unacknowledged_for(context.identity),
            prompt: request.prompt,
            charge: charge.cloned(),
            needs_retry: context.needs_retry,
            tried: request.tried.clone(),
            avoid: avoid.unwrap_or_default(),
            backing_off: backing_off.unwrap_or_default(),
            allowed_halls: request.allowed_halls.clone(),
        }
    }

    /// Takes up a grant, but for one that has come too late.
    fn accept_grant(
        &self,
        context: AttemptContext<'_>,
        grant: Grant,
        prompt: Tokens,
        is_late: bool,
    ) -> HubDecision {
        let service = context.service;
        let mut hub = self.hub.borrow_mut();
        if grant.id.follows(hub.last_grant) {
            hub.last_grant = grant.id;
        }
        drop(hub);
        let server = Arc::new(grant.server.clone());
        let now = self.now();
        let new_limits = self
            .limits
            .borrow_mut()
            .observe_servers(std::iter::once(&*server), now);
        self.apply_limits(new_limits.into_iter());
        let exceeds_limit = !grant.rate_charged && self.limits.borrow().blocks(&server, grant.id);
        let is_evacuated = self.policy.borrow().is_evacuated(&server.hall);
        let is_unavailable = exceeds_limit || is_evacuated;
        let accept = |service: &mut Service| {
            !is_late && !is_unavailable && service.pool.accept_grant(&server, prompt, now)
        };
        if self.with_service(service, accept) == Some(true) {
            return HubDecision::Granted(grant);
        }
        if let Some(permit) = grant.permit {
            let identity = context.identity.clone();
            let mut quarantine = self.quarantine.borrow_mut();
            quarantine.record_inconclusive(identity, permit, now);
        }
        self.report_end(service, &server.incarnation, AttemptOutcome::Unknown, None);
        if (self.report_notice(service, &server) || is_unavailable) && !is_late {
            return HubDecision::Unavailable(grant.server);
        }
        HubDecision::Undecided
    }

    /// Tells the hub what a server has said of itself to this host and still holds; false where that is nothing.
    pub(super) fn report_notice(&self, service: &id::Service, server: &Server) -> bool {
        let now = self.now();
        let incarnation = &server.incarnation;
        let active_notice =
            |service: &mut Service| service.pool.get_notices().active(incarnation, now);
        let outcome = match self.with_service(service, active_notice).flatten() {
            Some(Notice::Draining) => AttemptOutcome::Gone,
            Some(Notice::Backoff(remaining)) => AttemptOutcome::Backoff(remaining),
            Some(Notice::Unreadable(_)) | None => return false,
        };
        self.report_end(service, incarnation, outcome, None);
        true
    }

    fn doubt_hub(&self, why: &str) -> HubDecision {
        let now = self.now();
        let mut hub = self.hub.borrow_mut();
        Line::new(Kind::HubDoubted)
            .with("leader", hub.leader.as_ref().map(ToString::to_string))
            .with("why", why)
            .write();
        hub.doubted_at = Some(now);
        HubDecision::Undecided
    }

    /// What is to be told of a sending that begins now, for a roll-out under way.
    pub(super) fn rollout_tag(&self, context: AttemptContext<'_>) -> Option<RolloutTag> {
        let policy = self.policy.borrow();
        let target = policy.rollout_target(context.service)?;
        Some(RolloutTag {
            rule: Arc::clone(context.rule),
            target: target.clone(),
        })
    }

    /// Tells the hub how a sending ended.
    pub(super) fn report_end(
        &self,
        service: &id::Service,
        incarnation: &str,
        outcome: AttemptOutcome,
        rollout_tag: Option<RolloutTag>,
    ) {
        self.attempt_ends.borrow_mut().push(AttemptEnd {
            service: service.clone(),
            incarnation: incarnation.into(),
            rollout: rollout_tag,
            outcome,
        });
        self.report_wakeup.notify_one();
    }
}

/// Reports what is in flight as soon as an answer begins or a sending ends; one report at a time.
pub(super) async fn send_reports(node: Rc<Node>) {
    loop {
        node.report_wakeup.notified().await;
        let attempt_ends = node.attempt_ends.take();
        let Some(address) = node.hub_address() else {
            // The next question tells what is in flight.
            continue;
        };
        let report = Report {
            host: node.host.clone(),
            last_grant: node.hub.borrow().last_grant,
            loads: node.loads(),
            ended: attempt_ends,
            observations: node.quarantine.borrow().get_evidence().unacknowledged().0,
            limit_reports: node.limits.borrow().pending_reports(),
        };
        let call = RenewCall::Hub(HubCall::Tell(report));
        let result: Result<HubReply, Refusal> = node
            .rpc
            .call(address, Method::Renew, &call, REPORT_TIMEOUT)
            .await;
        if let Err(why) = result {
            log::debug!("a report did not reach the hub: {why}");
        }
    }
}
