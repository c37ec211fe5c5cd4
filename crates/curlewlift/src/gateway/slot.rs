//! A request's slot at a backend server, and what the outcome says about the request and the server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::http::StatusCode;
use curlewlift_core::clock;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::AttemptEnd;
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
use curlewlift_core::pool::ReportedLoad;
use curlewlift_core::quarantine::Attempt;
use curlewlift_core::quarantine::Features;
use curlewlift_core::quarantine::PROBATION;
use curlewlift_core::quarantine::Software;
use curlewlift_core::rejection;
use curlewlift_core::response::Silence;
use curlewlift_core::rollout::Version;
use curlewlift_core::unit::Tokens;
use tokio::time::Instant;

use super::connect;
use super::connect::ConnectError;
use super::connect::Opened;
use super::hub_slots::AttemptContext;
use super::loan::Loan;
use super::log::Line;
use super::log::millis;
use super::node::Node;
use super::received::Received;
use super::service::Service;
use super::tunnel::Target;

/// After how long without data a server may have crashed, in an attempt that its caller or the deadline ended.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// The shortest silence of a server that the log line of a response states.
const MIN_LOGGED_SILENCE: Duration = Duration::from_millis(500);

/// A slot at a backend server; released when dropped.
pub(super) struct Slot {
    node: Rc<Node>,
    service: id::Service,
    /// Set if a roll-out of the service was in progress when the slot was assigned.
    rollout_tag: Option<RolloutTag>,
    pub(super) server: Arc<Server>,
    /// The hub's grant, which charged the request's cost; none if this gateway assigned the slot.
    grant: Option<Grant>,
    /// The loan, if another gateway has lent the slot.
    loan: Option<Loan>,
    /// When the grant was asked for, or the slot was assigned.
    asked_at: clock::Instant,
    /// What the request is, and what it has in common with others.
    features: Features,
    /// The data halls that the request must stay in, if it must.
    allowed_halls: Option<Arc<[Arc<str>]>>,
    /// The versions that the request may be sent to; none if it may be sent to any.
    allowed_versions: Option<Arc<[Version]>>,
    /// When the slot was assigned.
    granted_at: clock::Instant,
    /// When the first and the last data of the response's body arrived; none before that.
    answered: Option<(clock::Instant, clock::Instant)>,
    /// Whether it has been recorded that the response has been arriving for [`PROBATION`].
    is_answer_recorded: bool,
    /// The version of the quarantine list that was known when the slot was assigned.
    quarantine_version: u64,
    /// When the request was sent; none before that.
    sent_at: Option<clock::Instant>,
    /// What has arrived of the response; none before the request was sent.
    received: Option<Arc<Received>>,
    /// The load that the server stated in the head of its response.
    load: Option<ReportedLoad>,
    /// Whether the server crashed under the request.
    crashed: bool,
    /// The status of the response, if the server sent it whole.
    completed: Option<StatusCode>,
    /// The prompt's length until the response begins; none afterwards.
    unread_prompt: Option<Tokens>,
    outcome: AttemptOutcome,
}

impl Slot {
    /// A slot at `server` that this gateway assigned.
    pub(super) fn new(
        node: &Rc<Node>,
        context: AttemptContext<'_>,
        server: Arc<Server>,
        prompt: Tokens,
    ) -> Self {
        let now = node.now();
        Self {
            node: Rc::clone(node),
            service: context.service.clone(),
            rollout_tag: node.rollout_tag(context),
            server,
            grant: None,
            loan: None,
            asked_at: now,
            features: context.features.clone(),
            allowed_halls: context.allowed_halls.cloned(),
            allowed_versions: context.allowed_versions.cloned(),
            granted_at: now,
            answered: None,
            is_answer_recorded: false,
            quarantine_version: node.quarantine.borrow().get_version(),
            sent_at: None,
            received: None,
            load: None,
            crashed: false,
            completed: None,
            unread_prompt: Some(prompt),
            outcome: AttemptOutcome::Unknown,
        }
    }

    /// Marks the slot as granted by the hub, which was asked for it at `asked_at`.
    pub(super) fn granted_by(mut self, grant: Grant, asked_at: clock::Instant) -> Self {
        self.grant = Some(grant);
        self.asked_at = asked_at;
        self
    }

    /// Marks the slot as lent by another gateway, which counts it.
    pub(super) fn lent_by(mut self, loan: Loan) -> Self {
        self.loan = Some(loan);
        self.unread_prompt = None;
        self
    }

    /// The gateway that the slot is used by.
    pub(super) fn get_node(&self) -> &Rc<Node> {
        &self.node
    }

    /// The server to connect to, and the data halls that the connection must stay in.
    fn target(&self) -> Target<'_> {
        Target {
            server: &self.server,
            allowed_halls: self.allowed_halls.as_deref(),
        }
    }

    /// Connects to the server until the time `until`.
    pub(super) async fn connect(&self, until: Instant) -> Result<Opened, ConnectError> {
        connect::open(&self.node, self.target(), until).await
    }

    /// Logs that the request is sent through the gateway at `host`.
    pub(super) fn log_tunnel(&self, host: SocketAddr) {
        Line::new(Kind::Tunnelled)
            .with("identity", self.features.identity.to_string())
            .with("server", &*self.server.incarnation)
            .with("tunnels", host.to_string())
            .write();
    }

    /// Whether this host has lost its path to the server, which other hosts still reach.
    pub(super) async fn is_path_lost(&self) -> bool {
        connect::is_path_lost(&self.node, self.target()).await
    }

    /// Releases the slot of a request whose deadline has passed. The server does not count as silent if this host has lost
    /// its path to it.
    pub(super) fn release_late(mut self) {
        tokio::task::spawn_local(async move {
            if self.is_path_lost().await {
                self.set_outcome(AttemptOutcome::Unreachable);
            }
            drop(self);
        });
    }

    /// Whether the hub granted the slot and charged the request's cost.
    pub(super) fn is_hub_granted(&self) -> bool {
        self.grant.is_some()
    }

    /// If the grant includes a retry that may still be used, how many the hub had left afterwards.
    pub(super) fn hub_retries_left(&self) -> Option<u32> {
        let now = self.node.now();
        let grant = self.grant.as_ref()?;
        grant.retries_left_at(self.asked_at, now)
    }

    /// Id of the hub's grant; the default id if this gateway assigned the slot.
    fn grant_id(&self) -> GrantId {
        let grant = self.grant.as_ref();
        grant.map_or(GrantId::default(), |grant| grant.id)
    }

    /// Number of the quarantine permit that the request is sent with, if it needs one.
    fn permit(&self) -> Option<u64> {
        self.grant.as_ref()?.permit
    }

    /// The connection broke, and the server may have begun the request.
    pub(super) fn set_crashed(&mut self) {
        self.outcome = AttemptOutcome::Broken;
        self.crashed = true;
    }

    /// Records what the outcome says about the request, for the hub's quarantine.
    fn report_request_outcome(&mut self) {
        let identity = &self.features.identity;
        let now = self.node.now();
        let server = &self.server.incarnation;
        let mut quarantine = self.node.quarantine.borrow_mut();
        if self.crashed {
            Line::new(Kind::ServerEnded)
                .with("identity", identity.to_string())
                .with(
                    "customer",
                    identity.customer.as_ref().map(id::Customer::as_str),
                )
                .with("server", &**server)
                .with("parts", self.features.parts_text())
                .with("answered_ms", self.answered_for().map(millis))
                .with("permit", self.permit())
                .write();
            metrics::counter!("curlewlift_servers_ended").increment(1);
            quarantine.record_crash(self.attempt(), server, now);
        } else if let Some(status) = self.completed {
            quarantine.record_completion(self.attempt(), status.is_success(), now);
        } else if self.is_silent(now) {
            quarantine.record_silence(self.attempt(), server, now);
        } else if self.permit().is_some() && self.sent_at.is_some() {
            quarantine.record_inconclusive(self.attempt(), now);
        } else if self.permit().is_some() {
            quarantine.record_not_sent(self.attempt(), now);
        }
    }

    /// The response has begun, so the server has read the prompt.
    pub(super) fn record_first_byte(&mut self) {
        if let Some(prompt) = self.unread_prompt.take() {
            let incarnation = &self.server.incarnation;
            self.node
                .record_first_byte(&self.service, incarnation, prompt);
        }
    }

    /// A part of the response's body has arrived.
    pub(super) fn record_data(&mut self) {
        let now = self.node.now();
        let (first, last) = self.answered.get_or_insert((now, now));
        *last = now;
        if now.since(*first) < PROBATION || self.is_answer_recorded {
            return;
        }
        self.is_answer_recorded = true;
        let attempt = self.attempt();
        let mut quarantine = self.node.quarantine.borrow_mut();
        if quarantine.record_answer(attempt, now) {
            self.node.report_wakeup.notify_one();
        }
    }

    /// For how long the body of the response has been arriving; none if it has not begun.
    fn answered_for(&self) -> Option<Duration> {
        self.answered.map(|(first, last)| last.since(first))
    }

    /// Whether the attempt ended after the server had sent nothing for [`MIN_SILENCE`].
    fn is_silent(&self, now: clock::Instant) -> bool {
        let last_sign = self.answered.map(|(_, last)| last).or(self.sent_at);
        let may_be_silent = matches!(
            self.outcome,
            AttemptOutcome::Unknown | AttemptOutcome::TimedOut
        );
        may_be_silent && last_sign.is_some_and(|last| now.since(last) >= MIN_SILENCE)
    }

    /// The software of the server.
    fn software(&self) -> Software {
        Software {
            service: self.service.clone(),
            version: self.server.version.clone(),
        }
    }

    /// The attempt as it is recorded for quarantine.
    fn attempt(&self) -> Attempt {
        Attempt {
            features: self.features.clone(),
            software: self.software(),
            permit: self.permit(),
            answered_for: self.answered_for(),
        }
    }

    /// Reports to the hub when the first event of the stream arrived.
    pub(super) fn report_first_event(&self, first_event: Duration) {
        let began = AttemptOutcome::Began { first_event };
        self.node.report_end(self.attempt_end(began, None));
    }

    /// The attempt as it is reported to the hub.
    fn attempt_end(&self, outcome: AttemptOutcome, rollout: Option<RolloutTag>) -> AttemptEnd {
        let now = self.node.now();
        let server_time = self.sent_at.map(|sent_at| now.since(sent_at));
        AttemptEnd {
            service: self.service.clone(),
            incarnation: Arc::clone(&self.server.incarnation),
            rollout,
            outcome,
            grant: self.grant_id(),
            server_time: server_time.unwrap_or_default(),
            load: self.load,
        }
    }

    /// Sets the attempt's outcome, which is reported when the slot is released.
    pub(super) fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }

    /// The server sent its whole response, with this status; `outcome` is reported when the slot is released.
    pub(super) fn set_completed(&mut self, outcome: AttemptOutcome, status: StatusCode) {
        self.outcome = outcome;
        self.completed = Some(status);
    }

    /// Records that the server has been silent for longer than its load can explain, unless its path is lost.
    pub(super) fn record_silence(&self) {
        if self.node.paths.borrow().is_lost(self.server.address) {
            return;
        }
        let now = self.node.now();
        let incarnation = &self.server.incarnation;
        self.node.with_service(&self.service, |service| {
            service
                .pool
                .observe(incarnation, AttemptOutcome::TimedOut, now);
        });
    }

    /// Applies the notices in the head of a response here, and reports them to the hub.
    pub(super) fn record_notices(&self, notices: &[Notice]) {
        self.node
            .record_notices(&self.service, &self.server, notices);
    }

    /// Records what the head of a response announced about the server's rate limit.
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

    /// Records how many requests a second the server may reject, as the head of a response announced it.
    pub(super) fn record_rejection_limit(&self, limit: Option<rejection::Limit>) {
        let now = self.node.now();
        let incarnation = &self.server.incarnation;
        let mut rejections = self.node.rejections.borrow_mut();
        if rejections.record_response(&self.service, incarnation, limit, now) {
            Line::new(Kind::RejectionLimit)
                .with("server", &**incarnation)
                .with("limit", limit.map(|limit| limit.0))
                .write();
        }
    }

    /// Whether the server rejected the request, or may have done so unseen.
    fn is_maybe_rejected(&self) -> bool {
        let is_unanswered = self.sent_at.is_some() && self.unread_prompt.is_some();
        is_unanswered || self.outcome == AttemptOutcome::Full
    }

    /// The server's rate limit as known here.
    pub(super) fn server_limit(&self) -> Announcement {
        let rate = self.node.limits.borrow().rate(&self.server);
        rate.map_or(Announcement::NoLimit, Announcement::Limited)
    }

    /// Whether the request must not be sent: the server runs another version than the request may be sent to, has told
    /// this host to send nothing, or has announced a limit that this slot was not charged to, or its data hall is being
    /// evacuated.
    pub(super) fn is_unavailable(&self) -> bool {
        let versions = self.allowed_versions.as_ref();
        if versions.is_some_and(|versions| !versions.contains(&self.server.version)) {
            return true;
        }
        if self.node.policy.borrow().is_evacuated(&self.server.hall) || self.is_withheld() {
            return true;
        }
        let is_rate_charged = self
            .grant
            .as_ref()
            .is_some_and(|grant| grant.charged_to_limit);
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

    /// Whether quarantine withholds the request by what has become known since the slot was assigned. A permit stands.
    fn is_withheld(&self) -> bool {
        if self.permit().is_some() {
            return false;
        }
        let quarantine = self.node.quarantine.borrow();
        if self.grant.is_none() {
            return quarantine.may_send(&self.features).is_err();
        }
        quarantine.get_version() != self.quarantine_version
            && quarantine.withholds(&self.features, &self.software())
    }

    /// For how much longer this gateway avoids the server.
    pub(super) fn avoid_time(&self) -> Duration {
        self.node
            .avoid_time(&self.service, &self.server.incarnation)
    }

    /// The request is being sent; `received` follows the response.
    pub(super) fn record_sent(&mut self, received: Arc<Received>) {
        self.sent_at = Some(self.node.now());
        self.received = Some(received);
    }

    /// The deadline of the request has passed inside its response. A server that is silent then may have failed.
    pub(super) fn record_deadline(&mut self) {
        let now = self.node.last_ran();
        let silence = self.received.as_ref();
        let silence = silence.map(|received| received.present_silence(now));
        if silence.is_some_and(|silence| silence >= MIN_SILENCE) {
            self.outcome = AttemptOutcome::TimedOut;
        }
    }

    /// The longest silence of the server, if it was long.
    pub(super) fn long_silence(&self) -> Option<Silence> {
        let silence = self
            .received
            .as_ref()?
            .longest_silence(self.node.last_ran());
        (silence.time >= MIN_LOGGED_SILENCE).then_some(silence)
    }

    /// Records the server's load as its response stated it.
    pub(super) fn record_load(&mut self, load: ReportedLoad) {
        self.load = Some(load);
        let incarnation = &self.server.incarnation;
        self.node.with_service(&self.service, |service| {
            service.pool.update_load(incarnation, load.in_flight());
        });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_maybe_rejected() {
            let now = self.node.now();
            let mut rejections = self.node.rejections.borrow_mut();
            rejections.record_rejection(&self.server.incarnation, now);
        }
        self.record_first_byte();
        // Before the outcome is reported, so that one report contains both.
        self.report_request_outcome();
        let rollout = self.rollout_tag.take();
        let end = self.attempt_end(self.outcome, rollout);
        match self.loan.take() {
            Some(loan) => {
                self.node.finish_borrowed(end);
                loan.end(&self.node);
            }
            None => self.node.finish_attempt(end),
        }
    }
}

/// Adds a server's limit announcement to a log line.
pub(super) fn log_limit(line: Line, announcement: &Announcement) -> Line {
    match announcement {
        Announcement::NoLimit => line.with("limit", None::<f64>),
        Announcement::Limited(rate) => line.with("limit", rate.as_f64()),
        Announcement::Invalid(invalid) => line.with("odd", invalid.as_str()),
    }
}
