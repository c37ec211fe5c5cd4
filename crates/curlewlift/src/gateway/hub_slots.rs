//! Requests slots at backend servers from the hub, which queues the requests of all gateways in one order.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::AttemptEnd;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::Report;
use curlewlift_core::gateway::RolloutTag;
use curlewlift_core::gateway::Server;
use curlewlift_core::gateway::SlotRequest;
use curlewlift_core::id;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Notice;
use curlewlift_core::pool::Request;
use curlewlift_core::quarantine::Attempt;
use curlewlift_core::quarantine::Features;
use curlewlift_core::quarantine::Rejection;
use curlewlift_core::quarantine::Software;
use curlewlift_core::quota::Charge;
use curlewlift_core::rollout::Version;
use curlewlift_core::unit::Tokens;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::log::Line;
use super::node::Node;
use super::service::Service;
use super::stream_relay;

/// Timeout of a report call.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that the hub's reply may take beyond the request's wait limit: a round trip between data halls,
/// and the delay of a busy host.
const DELIVERY_MARGIN: Duration = Duration::from_millis(40);

/// How long a gateway decides without the hub after a slot request to the hub failed or timed out.
const HUB_DOUBT_TIME: Duration = Duration::from_millis(400);

/// Timeout of a call beyond the wait limit, after which its connection is given up; the request has
/// long been decided without the reply by then.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a request needs a slot for.
#[derive(Clone, Copy)]
pub(super) struct AttemptContext<'a> {
    /// The service.
    pub(super) service: &'a id::Service,
    /// The rule that the request matched.
    pub(super) rule: &'a Arc<str>,
    /// What the request is, and what it has in common with others.
    pub(super) features: &'a Features,
    /// Time left until the request's deadline.
    pub(super) time_left: Duration,
    /// The data halls that the request must stay in, if it must.
    pub(super) allowed_halls: Option<&'a Arc<[Arc<str>]>>,
    /// The versions that the request may be sent to; none if it may be sent to any.
    pub(super) allowed_versions: Option<&'a Arc<[Version]>>,
    /// Whether this is a retry that this gateway's own retry budget doesn't cover.
    pub(super) needs_retry: bool,
}

/// How the hub decided on a slot request.
pub(super) enum HubDecision {
    /// The request is to be sent to the server of this grant, which was asked for at this time.
    Granted(Grant, clock::Instant),
    /// No slot becomes free within the wait limit; when the caller should retry, if the hub knows.
    NoRoom(Option<Duration>),
    /// The customer's quota is used up; it suffices again after this time.
    QuotaExceeded(Duration),
    /// Servers crashed under this request, and quarantine rejects it.
    Rejected(Rejection),
    /// The request is a retry, and the retry budget is used up.
    NoRetry,
    /// No server that accepts work runs a version that the request may be sent to.
    NoVersion,
    /// The granted slot can't be used, as the server has told this host to send nothing, or has announced a limit that
    /// the hub did not know of; the request's cost has been charged already.
    Unavailable(Server),
    /// No decision, or none that can be used: this gateway decides locally.
    Undecided,
}

/// Requests a slot from the hub, waiting for at most `wait_limit`; the hub also charges the request's cost.
pub(super) async fn request_slot(
    node: &Rc<Node>,
    context: AttemptContext<'_>,
    request: &Request,
    charge: Option<&Charge>,
    wait_limit: Duration,
) -> HubDecision {
    let Some(address) = node.hub_address() else {
        return HubDecision::Undecided;
    };
    let slot_request = node.slot_request(context, request, charge, wait_limit);
    let call = RenewCall::Hub(HubCall::RequestSlot(Box::new(slot_request)));
    let sent_at = node.now();
    let rpc = node.rpc.clone();
    let timeout = CALL_TIMEOUT + wait_limit;
    let mut call = Box::pin(async move { rpc.call(address, Method::Renew, &call, timeout).await });
    let reply: Option<Result<HubReply, Refusal>> = tokio::select! {
        reply = tokio::time::timeout(wait_limit + DELIVERY_MARGIN, &mut call) => reply.ok(),
        () = node.wait_for_hub_timeout() => None,
    };
    match reply {
        Some(Ok(HubReply::Slot(grant))) => {
            // After this host was suspended, the slot may have been granted to others meanwhile.
            let is_late = node.now().since(sent_at) > wait_limit + DELIVERY_MARGIN;
            node.accept_grant(context, grant, request.prompt, sent_at, is_late)
        }
        Some(Ok(HubReply::NoRoom(retry_after))) => HubDecision::NoRoom(retry_after),
        Some(Ok(HubReply::QuotaExceeded(retry_after))) => HubDecision::QuotaExceeded(retry_after),
        Some(Ok(HubReply::Rejected(why))) => HubDecision::Rejected(why),
        Some(Ok(HubReply::NoRetry)) => HubDecision::NoRetry,
        Some(Ok(HubReply::NoVersion)) => HubDecision::NoVersion,
        Some(Ok(_)) => node.doubt_hub("the replica that was asked does not lead"),
        Some(Err(why)) => node.doubt_hub(&why.to_string()),
        None => {
            let late = return_late_grant(
                Rc::clone(node),
                context.service.clone(),
                context.features.clone(),
                call,
            );
            tokio::task::spawn_local(late);
            node.doubt_hub("the hub did not reply in time")
        }
    }
}

/// Waits for the reply to a slot request that was decided without it. If the hub has granted a slot, returns that to it.
async fn return_late_grant(
    node: Rc<Node>,
    service: id::Service,
    features: Features,
    reply: impl Future<Output = Result<HubReply, Refusal>>,
) {
    if let Ok(HubReply::Slot(grant)) = reply.await {
        node.record_grant(&grant);
        node.return_grant(&service, &features, &grant);
        node.unused_grants.borrow_mut().push(grant.id);
    }
}

impl Node {
    /// Address of the hub; none if its last reply is too old, or a slot request to it failed recently.
    pub(super) fn hub_address(&self) -> Option<SocketAddr> {
        let now = self.now();
        let timeout = self.hub_timeout();
        let hub = self.hub.borrow();
        let is_recent = |when: Option<_>, within| when.is_some_and(|when| now.since(when) < within);
        if !is_recent(hub.last_reply_at, timeout) || is_recent(hub.doubted_at, HUB_DOUBT_TIME) {
            return None;
        }
        hub.address
    }

    /// Waits until the hub's last reply is older than [`hub_timeout`](Self::hub_timeout).
    ///
    /// A host that loses power resets no connection. Gateways that waited for the hub's reply for the
    /// whole wait limit of a request started no request for 0.4 s, and most of their streams for up to 1 s.
    async fn wait_for_hub_timeout(&self) {
        while let Some(silence) = self.since_hub_reply()
            && silence < self.hub_timeout()
        {
            tokio::time::sleep(self.hub_timeout().saturating_sub(silence)).await;
        }
    }

    /// The message that requests a slot, from the hub or from a gateway that lends slots.
    pub(super) fn slot_request(
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
            customer: request.customer.clone(),
            rank: request.rank,
            waited: now.since(request.arrived),
            send_within: request.send_by.since(now),
            first_event_within: request.begin_by.since(now),
            max_gap: request.max_gap,
            max_wait: wait_limit,
            time_left: context.time_left,
            features: context.features.clone(),
            observations: self
                .quarantine
                .borrow()
                .get_evidence()
                .unacknowledged_for(context.features, now),
            prompt: request.prompt,
            output: request.output,
            charge: charge.cloned(),
            needs_retry: context.needs_retry,
            tried: request.tried.clone(),
            avoid: avoid.unwrap_or_default(),
            backoffs: backing_off.unwrap_or_default(),
            allowed_halls: request.allowed_halls.clone(),
            allowed_versions: request.allowed_versions.clone(),
        }
    }

    /// Accepts a grant, unless it came too late or its server can't be used.
    fn accept_grant(
        &self,
        context: AttemptContext<'_>,
        grant: Grant,
        prompt: Tokens,
        asked_at: clock::Instant,
        is_late: bool,
    ) -> HubDecision {
        let service = context.service;
        self.record_grant(&grant);
        let server = Arc::new(grant.server.clone());
        let now = self.now();
        let new_limits = self
            .limits
            .borrow_mut()
            .observe_servers(std::iter::once(&*server), now);
        self.apply_limits(new_limits.into_iter());
        let exceeds_limit =
            !grant.charged_to_limit && self.limits.borrow().blocks(&server, grant.id);
        let is_evacuated = self.policy.borrow().is_evacuated(&server.hall);
        let is_unavailable = exceeds_limit || is_evacuated;
        let accept = |service: &mut Service| {
            !is_late && !is_unavailable && service.pool.accept_grant(&server, prompt, now)
        };
        if self.with_service(service, accept) == Some(true) {
            return HubDecision::Granted(grant, asked_at);
        }
        self.return_grant(service, context.features, &grant);
        if (self.report_notice(service, &server) || is_unavailable) && !is_late {
            return HubDecision::Unavailable(grant.server);
        }
        self.unused_grants.borrow_mut().push(grant.id);
        HubDecision::Undecided
    }

    /// Records that a grant has arrived, so that the hub counts it by this gateway's reports from now on.
    fn record_grant(&self, grant: &Grant) {
        let mut hub = self.hub.borrow_mut();
        if grant.id.follows(hub.last_grant) {
            hub.last_grant = grant.id;
        }
    }

    /// Returns a grant with which nothing is sent to the hub.
    fn return_grant(&self, service: &id::Service, features: &Features, grant: &Grant) {
        if let Some(permit) = grant.permit {
            let attempt = Attempt {
                features: features.clone(),
                software: Software {
                    service: service.clone(),
                    version: grant.server.version.clone(),
                },
                permit: Some(permit),
                answered_for: None,
            };
            let now = self.now();
            self.quarantine.borrow_mut().record_not_sent(attempt, now);
        }
        let incarnation = &grant.server.incarnation;
        self.report_unsent(service, incarnation, AttemptOutcome::Unknown, grant.id);
    }

    /// Reports to the hub a server's notice to this host that is still active; false if there is none.
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
        self.report_unsent(service, incarnation, outcome, GrantId::default());
        true
    }

    /// Logs why the hub gave no decision, and stops asking it for [`HUB_DOUBT_TIME`].
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

    /// Tag of an attempt that begins now; none if no roll-out of the service is in progress.
    pub(super) fn rollout_tag(&self, context: AttemptContext<'_>) -> Option<RolloutTag> {
        let policy = self.policy.borrow();
        let target = policy.rollout_target(context.service)?;
        Some(RolloutTag {
            rule: Arc::clone(context.rule),
            target: target.clone(),
        })
    }

    /// Reports the end of an attempt to the hub.
    pub(super) fn report_end(&self, end: AttemptEnd) {
        self.attempt_ends.borrow_mut().push(end);
        self.report_wakeup.notify_one();
    }

    /// Reports to the hub what is known of a server to which nothing was sent. `grant` is the slot that is not used, or
    /// the default id if there is none.
    fn report_unsent(
        &self,
        service: &id::Service,
        incarnation: &str,
        outcome: AttemptOutcome,
        grant: GrantId,
    ) {
        self.report_end(AttemptEnd {
            service: service.clone(),
            incarnation: incarnation.into(),
            rollout: None,
            outcome,
            grant,
            server_time: Duration::ZERO,
            load: None,
        });
    }
}

/// Reports the requests in flight as soon as a response begins or an attempt ends; one report at a time.
pub(super) async fn send_reports(node: Rc<Node>) {
    loop {
        node.report_wakeup.notified().await;
        let attempt_ends = node.attempt_ends.take();
        let unused = node.unused_grants.take();
        // A hub that replies late gets no requests for a while, but its grants go back to it.
        let late_hub = node.hub.borrow().address.filter(|_| !unused.is_empty());
        let Some(address) = node.hub_address().or(late_hub) else {
            // The next poll reports what is in flight.
            stream_relay::relay_pending(&node).await;
            continue;
        };
        let streams = node.streams.borrow_mut().take_pending(node.now());
        let report = Report {
            host: node.host.clone(),
            last_grant: node.hub.borrow().last_grant,
            loads: node.loads(),
            ended: attempt_ends,
            unused,
            observations: node
                .quarantine
                .borrow()
                .get_evidence()
                .unacknowledged(node.now())
                .0,
            limit_reports: node.limit_reports(),
            streams: streams.clone(),
            known_table: node.newest_table(),
            table_in_effect: node.table_version(),
        };
        let call = RenewCall::Hub(HubCall::Report(report));
        let result: Result<HubReply, Refusal> = node
            .rpc
            .call(address, Method::Renew, &call, REPORT_TIMEOUT)
            .await;
        let mut pending = node.streams.borrow_mut();
        match result {
            Ok(HubReply::Acknowledged) if pending.has_pending() => node.report_wakeup.notify_one(),
            Ok(HubReply::Acknowledged) => {}
            Ok(_) => pending.put_back(&streams),
            Err(why) => {
                log::debug!("report to the hub at {address} failed: {why}");
                pending.put_back(&streams);
            }
        }
    }
}
