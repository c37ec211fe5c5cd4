//! A request's place at a backend server, and what its end says of both.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::Grant;
use curlewlift_core::gateway::GrantId;
use curlewlift_core::gateway::RolloutTag;
use curlewlift_core::gateway::Server;
use curlewlift_core::id;
use curlewlift_core::limit::Announcement;
use curlewlift_core::limit::Change;
use curlewlift_core::limit::Key;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::pool::Notice;
use curlewlift_core::quarantine::Identity;
use curlewlift_core::unit::Tokens;

use super::hub_slots::AttemptContext;
use super::log::Line;
use super::log::millis;
use super::node::Node;
use super::service::Service;

/// A place at a backend server; given back when it is dropped.
pub(super) struct Slot {
    node: Rc<Node>,
    service: id::Service,
    /// For the roll-out that was under way when it was given.
    rollout_tag: Option<RolloutTag>,
    pub(super) server: Arc<Server>,
    /// The hub's grant, which drew what the request counts; none where this gateway chose.
    grant: Option<Grant>,
    /// What the request is.
    identity: Identity,
    /// When it was given.
    granted_at: Instant,
    /// Whether the server broke off under it.
    crashed: bool,
    /// Whether the server answered it to the end.
    completed: bool,
    /// The prompt that the server has not read yet.
    unread_prompt: Option<Tokens>,
    outcome: AttemptOutcome,
}

impl Slot {
    /// A place at `server` that this gateway chose.
    pub(super) fn new(
        node: &Rc<Node>,
        context: AttemptContext<'_>,
        server: Arc<Server>,
        prompt: Tokens,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            service: context.service.clone(),
            rollout_tag: node.rollout_tag(context),
            server,
            grant: None,
            identity: context.identity.clone(),
            granted_at: node.now(),
            crashed: false,
            completed: false,
            unread_prompt: Some(prompt),
            outcome: AttemptOutcome::Unknown,
        }
    }

    /// The hub gave it.
    pub(super) fn granted_by(mut self, grant: Grant) -> Self {
        self.grant = Some(grant);
        self
    }

    /// Whether the hub gave it, and drew what the request counts.
    pub(super) fn is_hub_granted(&self) -> bool {
        self.grant.is_some()
    }

    /// Whether a further sending was drawn with it at the hub.
    pub(super) fn includes_retry(&self) -> bool {
        self.grant
            .as_ref()
            .is_some_and(|grant| grant.includes_retry)
    }

    /// Which grant the hub gave it by.
    fn grant_id(&self) -> GrantId {
        let grant = self.grant.as_ref();
        grant.map_or(GrantId::default(), |grant| grant.id)
    }

    /// The number of the permit that the request is sent by, where it needs one.
    fn permit(&self) -> Option<u64> {
        self.grant.as_ref()?.permit
    }

    /// The server broke off, and may have begun the request.
    pub(super) fn set_crashed(&mut self) {
        self.outcome = AttemptOutcome::Broken;
        self.crashed = true;
    }

    /// Takes note of what the end says of the request, for the hub.
    fn report_request_outcome(&mut self) {
        let identity = self.identity.clone();
        let now = self.node.now();
        let server = &*self.server.incarnation;
        let mut quarantine = self.node.quarantine.borrow_mut();
        if self.crashed {
            Line::new(Kind::ServerEnded)
                .with("identity", identity.to_string())
                .with(
                    "customer",
                    identity.customer.as_ref().map(id::Customer::as_str),
                )
                .with("server", server)
                .with("permit", self.permit())
                .write();
            metrics::counter!("curlewlift_servers_ended").increment(1);
            quarantine.record_crash(identity, self.permit(), server, now);
        } else if self.completed {
            quarantine.record_completion(identity, self.permit(), now);
        } else if let Some(permit) = self.permit() {
            quarantine.record_inconclusive(identity, permit, now);
        }
    }

    /// The answer has begun: the server has read the prompt.
    pub(super) fn record_first_byte(&mut self) {
        if let Some(prompt) = self.unread_prompt.take() {
            let incarnation = &self.server.incarnation;
            self.node
                .record_first_byte(&self.service, incarnation, prompt);
        }
    }

    /// How it ended, told when it is given back.
    pub(super) fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }

    /// The server answered to the end; what that says of the server is told when it is given back.
    pub(super) fn set_completed(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
        self.completed = true;
    }

    /// Something that is seen while the request runs.
    pub(super) fn observe(&self, outcome: AttemptOutcome) {
        let now = self.node.now();
        let incarnation = &self.server.incarnation;
        self.node.with_service(&self.service, |service| {
            service.pool.observe(incarnation, outcome, now);
        });
    }

    /// What the head of an answer said of the server itself: held to here, and told the hub.
    pub(super) fn record_notices(&self, notices: &[Notice]) {
        let now = self.node.now();
        for notice in notices {
            let take = |service: &mut Service| {
                service
                    .pool
                    .record_notice(&self.server, notice.clone(), now)
            };
            let Some(Some(update)) = self.node.with_service(&self.service, take) else {
                continue;
            };
            self.log_notice(notice, &update);
            self.node.report_notice(&self.service, &self.server);
        }
    }

    /// What the head of an answer said of the server's limit.
    pub(super) fn record_limit(&self, announcement: &Announcement) {
        let now = self.node.now();
        let mut limits = self.node.limits.borrow_mut();
        let update = limits.record_response(
            &self.server,
            announcement,
            self.grant_id(),
            self.granted_at,
            now,
        );
        let change = Change {
            key: Key::from_server(&self.server),
            limit: limits.get(&Key::from_server(&self.server)),
        };
        drop(limits);
        self.node.apply_limits(std::iter::once(change));
        if let Some(update) = update {
            let line = Line::new(Kind::ServerLimits).with("server", &*self.server.incarnation);
            log_limit(line, &update).write();
        }
    }

    /// What is known here of the server's limit.
    pub(super) fn server_limit(&self) -> Announcement {
        let rate = self.node.limits.borrow().rate(&self.server);
        rate.map_or(Announcement::NoLimit, Announcement::Limited)
    }

    /// Writes what is new of what the server said of itself.
    fn log_notice(&self, notice: &Notice, update: &Notice) {
        let kind = match notice {
            Notice::Draining => Kind::ServerLeaves,
            Notice::Backoff(_) | Notice::Unreadable(_) => Kind::ServerRests,
        };
        let line = Line::new(kind).with("server", &*self.server.incarnation);
        let line = match (notice, update) {
            (Notice::Backoff(requested), Notice::Backoff(applied)) => {
                // What it costs: the time that its slots are not to be had from here.
                let slots = u64::from(self.server.slots);
                let cost = millis(*applied).saturating_mul(slots);
                metrics::counter!("curlewlift_rest_slot_ms").increment(cost);
                line.with("asked_ms", millis(*requested))
                    .with("kept_ms", millis(self.avoid_time()))
            }
            (Notice::Unreadable(invalid), _) => line.with("odd", invalid.as_str()),
            _ => line,
        };
        line.write();
    }

    /// Whether the server has told this host that it wants no request, or a limit that this place was not drawn from, or
    /// its data hall is evacuated.
    pub(super) fn is_unavailable(&self) -> bool {
        if self.node.policy.borrow().is_evacuated(&self.server.hall) {
            return true;
        }
        let is_rate_charged = self.grant.as_ref().is_some_and(|grant| grant.rate_charged);
        let limits = self.node.limits.borrow();
        if !is_rate_charged && limits.blocks(&self.server, self.grant_id()) {
            return true;
        }
        let now = self.node.now();
        let incarnation = &self.server.incarnation;
        let excludes =
            |service: &mut Service| service.pool.get_notices().excludes(incarnation, now);
        self.node.with_service(&self.service, excludes) == Some(true)
    }

    /// For how much longer this gateway leaves the server alone.
    pub(super) fn avoid_time(&self) -> Duration {
        let now = self.node.now();
        let incarnation = &self.server.incarnation;
        let avoid_time = self.node.with_service(&self.service, |service| {
            service.pool.avoid_for(incarnation, now)
        });
        avoid_time.unwrap_or_default()
    }

    /// What an answer told of the server's load.
    pub(super) fn update_load(&self, in_flight: u32) {
        let incarnation = &self.server.incarnation;
        self.node.with_service(&self.service, |service| {
            service.pool.update_load(incarnation, in_flight);
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.record_first_byte();
        // Before the end is told, so that one report tells both.
        self.report_request_outcome();
        let incarnation = &self.server.incarnation;
        let rollout_tag = self.rollout_tag.take();
        self.node
            .finish_attempt(&self.service, incarnation, self.outcome, rollout_tag);
    }
}

/// Adds to a line what a server said of its limit.
pub(super) fn log_limit(line: Line, announcement: &Announcement) -> Line {
    match announcement {
        Announcement::NoLimit => line.with("limit", None::<f64>),
        Announcement::Limited(rate) => line.with("limit", rate.as_f64()),
        Announcement::Invalid(invalid) => line.with("odd", invalid.as_str()),
    }
}
