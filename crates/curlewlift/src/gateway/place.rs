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

use super::log::Line;
use super::log::millis;
use super::node::Node;
use super::places::Wanted;
use super::service::Service;

/// A place at a backend server; given back when it is dropped.
pub(super) struct Place {
    node: Rc<Node>,
    service: id::Service,
    /// For the roll-out that was under way when it was given.
    watched: Option<RolloutTag>,
    pub(super) server: Arc<Server>,
    /// The hub's grant, which drew what the request counts; none where this gateway chose.
    grant: Option<Grant>,
    /// What the request is.
    identity: Identity,
    /// When it was given.
    given: Instant,
    /// Whether the server broke off under it.
    broke: bool,
    /// Whether the server answered it to the end.
    whole: bool,
    /// The prompt that the server has not read yet.
    unread: Option<Tokens>,
    end: AttemptOutcome,
}

impl Place {
    /// A place at `server` that this gateway chose.
    pub(super) fn new(
        node: &Rc<Node>,
        wanted: Wanted<'_>,
        server: Arc<Server>,
        prompt: Tokens,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            service: wanted.service.clone(),
            watched: node.watched(wanted),
            server,
            grant: None,
            identity: wanted.identity.clone(),
            given: node.now(),
            broke: false,
            whole: false,
            unread: Some(prompt),
            end: AttemptOutcome::Unknown,
        }
    }

    /// The hub gave it.
    pub(super) fn by_hub(mut self, grant: Grant) -> Self {
        self.grant = Some(grant);
        self
    }

    /// Whether the hub gave it, and drew what the request counts.
    pub(super) fn is_by_hub(&self) -> bool {
        self.grant.is_some()
    }

    /// Whether a further sending was drawn with it at the hub.
    pub(super) fn is_retry(&self) -> bool {
        self.grant
            .as_ref()
            .is_some_and(|grant| grant.includes_retry)
    }

    /// Which grant the hub gave it by.
    fn mark(&self) -> GrantId {
        let grant = self.grant.as_ref();
        grant.map_or(GrantId::default(), |grant| grant.id)
    }

    /// The number of the permit that the request is sent by, where it needs one.
    fn permit(&self) -> Option<u64> {
        self.grant.as_ref()?.permit
    }

    /// The server broke off, and may have begun the request.
    pub(super) fn broke(&mut self) {
        self.end = AttemptOutcome::Broken;
        self.broke = true;
    }

    /// Takes note of what the end says of the request, for the hub.
    fn tell_of_request(&mut self) {
        let identity = self.identity.clone();
        let now = self.node.now();
        let server = &*self.server.incarnation;
        let mut quarantine = self.node.quarantine.borrow_mut();
        if self.broke {
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
        } else if self.whole {
            quarantine.record_completion(identity, self.permit(), now);
        } else if let Some(permit) = self.permit() {
            quarantine.record_inconclusive(identity, permit, now);
        }
    }

    /// The answer has begun: the server has read the prompt.
    pub(super) fn begun(&mut self) {
        if let Some(prompt) = self.unread.take() {
            let incarnation = &self.server.incarnation;
            self.node.begun(&self.service, incarnation, prompt);
        }
    }

    /// How it ended, told when it is given back.
    pub(super) fn end(&mut self, end: AttemptOutcome) {
        self.end = end;
    }

    /// The server answered to the end; what that says of the server is told when it is given back.
    pub(super) fn whole(&mut self, end: AttemptOutcome) {
        self.end = end;
        self.whole = true;
    }

    /// Something that is seen while the request runs.
    pub(super) fn seen(&self, end: AttemptOutcome) {
        let now = self.node.now();
        let incarnation = &self.server.incarnation;
        self.node.with_service(&self.service, |service| {
            service.pool.observe(incarnation, end, now);
        });
    }

    /// What the head of an answer said of the server itself: held to here, and told the hub.
    pub(super) fn heard(&self, notices: &[Notice]) {
        let now = self.node.now();
        for notice in notices {
            let take = |service: &mut Service| {
                service
                    .pool
                    .record_notice(&self.server, notice.clone(), now)
            };
            let Some(Some(news)) = self.node.with_service(&self.service, take) else {
                continue;
            };
            self.log_notice(notice, &news);
            self.node.tell_word(&self.service, &self.server);
        }
    }

    /// What the head of an answer said of the server's limit.
    pub(super) fn limited(&self, said: &Announcement) {
        let now = self.node.now();
        let mut limits = self.node.limits.borrow_mut();
        let news = limits.record_response(&self.server, said, self.mark(), self.given, now);
        let change = Change {
            key: Key::from_server(&self.server),
            limit: limits.get(&Key::from_server(&self.server)),
        };
        drop(limits);
        self.node.limit(std::iter::once(change));
        if let Some(news) = news {
            let line = Line::new(Kind::ServerLimits).with("server", &*self.server.incarnation);
            log_limit(line, &news).write();
        }
    }

    /// What is known here of the server's limit.
    pub(super) fn get_limit(&self) -> Announcement {
        let rate = self.node.limits.borrow().rate(&self.server);
        rate.map_or(Announcement::NoLimit, Announcement::Limited)
    }

    /// Writes what is new of what the server said of itself.
    fn log_notice(&self, notice: &Notice, news: &Notice) {
        let kind = match notice {
            Notice::Draining => Kind::ServerLeaves,
            Notice::Backoff(_) | Notice::Unreadable(_) => Kind::ServerRests,
        };
        let line = Line::new(kind).with("server", &*self.server.incarnation);
        let line = match (notice, news) {
            (Notice::Backoff(asked), Notice::Backoff(longer)) => {
                // What it costs: the time that its slots are not to be had from here.
                let slots = u64::from(self.server.slots);
                let cost = millis(*longer).saturating_mul(slots);
                metrics::counter!("curlewlift_rest_slot_ms").increment(cost);
                line.with("asked_ms", millis(*asked))
                    .with("kept_ms", millis(self.left_alone()))
            }
            (Notice::Unreadable(odd), _) => line.with("odd", odd.as_str()),
            _ => line,
        };
        line.write();
    }

    /// Whether the server has told this host that it wants no request, or a limit that this place was not drawn from, or
    /// its data hall is evacuated.
    pub(super) fn is_closed(&self) -> bool {
        if self.node.policy.borrow().is_evacuated(&self.server.hall) {
            return true;
        }
        let is_drawn = self
            .grant
            .as_ref()
            .is_some_and(|grant| grant.charged_to_limit);
        let limits = self.node.limits.borrow();
        if !is_drawn && limits.blocks(&self.server, self.mark()) {
            return true;
        }
        let now = self.node.now();
        let incarnation = &self.server.incarnation;
        let closes = |service: &mut Service| service.pool.get_notices().excludes(incarnation, now);
        self.node.with_service(&self.service, closes) == Some(true)
    }

    /// For how much longer this gateway leaves the server alone.
    pub(super) fn left_alone(&self) -> Duration {
        let now = self.node.now();
        let incarnation = &self.server.incarnation;
        let left = self.node.with_service(&self.service, |service| {
            service.pool.avoid_for(incarnation, now)
        });
        left.unwrap_or_default()
    }

    /// What an answer told of the server's load.
    pub(super) fn told(&self, in_flight: u32) {
        let incarnation = &self.server.incarnation;
        self.node.with_service(&self.service, |service| {
            service.pool.update_load(incarnation, in_flight);
        });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.begun();
        // Before the end is told, so that one report tells both.
        self.tell_of_request();
        let incarnation = &self.server.incarnation;
        let watched = self.watched.take();
        self.node
            .ended(&self.service, incarnation, self.end, watched);
    }
}

/// Adds to a line what a server said of its limit.
pub(super) fn log_limit(line: Line, said: &Announcement) -> Line {
    match said {
        Announcement::NoLimit => line.with("limit", None::<f64>),
        Announcement::Limited(rate) => line.with("limit", rate.as_f64()),
        Announcement::Invalid(odd) => line.with("odd", odd.as_str()),
    }
}
