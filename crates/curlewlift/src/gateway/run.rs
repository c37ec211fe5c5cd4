//! A request on its way: waits for a turn at a backend server, is sent, and sent again where it may
//! be.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::http::Request;
use axum::http::response;
use bytes::Bytes;
use curlewlift_core::event::Kind;
use curlewlift_core::id;
use curlewlift_core::pool;
use curlewlift_core::pool::AttemptOutcome;
use http_body_util::Full;

use super::admit::Admitted;
use super::body::Answer;
use super::dialect::Hand;
use super::exchange;
use super::exchange::Coming;
use super::exchange::Failure;
use super::hub_slots::AttemptContext;
use super::log::Line;
use super::log::millis;
use super::node::Node;
use super::refuse::Refused;
use super::sending;
use super::slot::Slot;
use super::slot::log_limit;
use super::slot_wait;

/// How long a server may say nothing before it is thought to be silent: three times the time
/// within which an answer is wanted, and no less than this.
const QUIET: Duration = Duration::from_secs(1);

/// A request on its way.
#[derive(Clone)]
pub(super) struct Run {
    pub(super) node: Rc<Node>,
    pub(super) admitted: Admitted,
    pub(super) service: id::Service,
    /// How often it was sent to a server that may have begun it.
    pub(super) sent: u8,
    /// How often a server said that it did not run it, or could not be reached.
    pub(super) passed: u8,
    /// Where it was sent.
    pub(super) tried: Vec<Arc<str>>,
    /// From the last sending to the head of the answer.
    pub(super) first: Option<Duration>,
    /// A server's whole answer that it failed, for the caller where no other server has a better one.
    pub(super) kept: Option<(response::Parts, Bytes)>,
    /// Whether its end is told, here or where its stream is passed on.
    pub(super) told: bool,
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.told {
            Line::new(Kind::CallerLeft)
                .request(self.admitted.call.id.as_ref())
                .with("identity", self.admitted.identity.to_string())
                .with("sent", self.sendings())
                .with("server", self.tried.last().map(|server| &**server))
                .after(self.admitted.deadline.age())
                .write();
        }
    }
}

/// What a sending came to.
pub(super) enum Step {
    /// The answer for the caller.
    Answer(Answer),
    /// The request is to be sent again.
    Again,
}

impl Run {
    /// A request that was not sent yet.
    pub(super) fn new(node: Rc<Node>, admitted: Admitted, service: id::Service) -> Self {
        Self {
            node,
            admitted,
            service,
            sent: 0,
            passed: 0,
            tried: Vec::new(),
            first: None,
            kept: None,
            told: false,
        }
    }

    /// Sends it until there is an answer.
    pub(super) async fn drive(mut self) -> Answer {
        let now = self.node.now();
        self.node
            .with_service(&self.service, |service| service.budget.count_request(now));
        loop {
            if self.admitted.deadline.is_past() {
                let refusal = self.past();
                return self.refuse(&refusal);
            }
            let slot = match self.turn().await {
                Ok(slot) => slot,
                Err(refusal) => return self.refuse(&refusal),
            };
            if self.sendings() > 0 && !self.take_budget(&slot) {
                drop(slot);
                let refusal = self.exhausted();
                return self.refuse(&refusal);
            }
            match self.send(slot).await {
                Ok(Step::Answer(answer)) => return answer,
                Ok(Step::Again) => {}
                Err(refusal) => return self.refuse(&refusal),
            }
        }
    }

    /// Whether the service's budget, here or at the hub, has a further sending left; if so it is counted.
    pub(super) fn take_budget(&self, slot: &Slot) -> bool {
        if slot.includes_retry() {
            return true;
        }
        let now = self.node.now();
        let part = self.node.retry_share.borrow().get(now);
        let taken = self.node.with_service(&self.service, |service| {
            service.budget.try_acquire(part, now)
        });
        taken.unwrap_or(false)
    }

    /// Whether it was sent before, and the service's budget here has no further sending left.
    fn lacks_budget(&self) -> bool {
        let now = self.node.now();
        let part = self.node.retry_share.borrow().get(now);
        let allows = self
            .node
            .with_service(&self.service, |service| service.budget.allows(part, now));
        self.sendings() > 0 && allows != Some(true)
    }

    /// How often it was sent, whatever came of it.
    pub(super) fn sendings(&self) -> u8 {
        self.sent + self.passed
    }

    /// Waits for a server.
    pub(super) async fn turn(&mut self) -> Result<Slot, Refused> {
        let admitted = &self.admitted;
        let now = self.node.now();
        let patience = admitted.patience(&self.node);
        let held = patience.max_wait();
        // Who has lost its server goes before all others of its rank: it has cost something already.
        let in_time = if self.sendings() > 0 {
            held
        } else {
            patience.send_within()
        };
        let ask = pool::Request {
            rule: None,
            rank: admitted.rank(),
            arrived: admitted.deadline.arrived,
            send_by: now + in_time,
            wait_until: now + held,
            prompt: admitted.prompt(),
            hall: Arc::clone(&self.node.gateway.hall),
            tried: self.tried.clone(),
            avoid: Vec::new(),
            backoffs: Vec::new(),
            allowed_halls: admitted.halls.clone(),
        };
        let charge = self.admitted.charge.as_ref();
        let context = AttemptContext {
            service: &self.service,
            rule: &self.admitted.rule.name,
            identity: &self.admitted.identity,
            time_left: self.admitted.deadline.left(),
            needs_retry: self.lacks_budget(),
        };
        match slot_wait::wait(&self.node, context, ask, charge, held).await {
            Ok(slot) => {
                // What it counts is drawn once, however often it is sent.
                self.admitted.charge = None;
                Ok(slot)
            }
            Err(why) => Err(self.no_turn(why)),
        }
    }

    /// The request for one server, with what is left of its time.
    pub(super) fn request(&self, slot: &Slot, after: Option<&str>) -> Request<Full<Bytes>> {
        let admitted = &self.admitted;
        let account = admitted.account.as_ref();
        let hand = Hand {
            patience: admitted.deadline.left(),
            server: &slot.server.name,
            customer: account.map(|account| account.name.as_str()),
            after,
        };
        sending::request(&admitted.head, &admitted.body, self.node.dialect, &hand)
    }

    /// How long the server may say nothing.
    pub(super) fn quiet(&self) -> Duration {
        (self.admitted.rule.objective * 3).max(QUIET)
    }

    async fn send(&mut self, slot: Slot) -> Result<Step, Refused> {
        let line = self
            .admitted
            .line(Kind::Sent)
            .with("server", &*slot.server.incarnation)
            .with("sent", self.sendings() + 1)
            .with("hub_ms", self.node.since_hub_reply().map(millis))
            .with(
                "by",
                if slot.is_hub_granted() {
                    "hub"
                } else {
                    "gateway"
                },
            )
            .with("left_alone_ms", millis(slot.avoid_time()));
        log_limit(line, &slot.server_limit()).write();
        self.tried.push(Arc::clone(&slot.server.incarnation));
        let dress = |slot: &Slot| self.request(slot, None);
        let deadline = &self.admitted.deadline;
        let sent = exchange::send(dress, slot, self.node.dialect, deadline, self.quiet()).await;
        match sent {
            Ok(coming) => self.take(coming).await,
            Err((failure, slot)) => self.failed(&failure, slot),
        }
    }

    /// Takes the head of an answer.
    async fn take(&mut self, mut coming: Coming) -> Result<Step, Refused> {
        if let Some(why) = coming.foreign(self.admitted.call.id.as_ref()) {
            let failure = Failure::Unknown(why.to_owned());
            return self.failed(&failure, coming.slot);
        }
        if let Some(refusal) = coming.refusal() {
            return self.failed(&refusal, coming.slot);
        }
        self.sent += 1;
        self.first = Some(coming.first);
        self.node
            .record_first_byte_time(&self.admitted.rule.name, coming.first);
        let status = coming.head.status;
        metrics::histogram!("curlewlift_first_seconds").record(coming.first.as_secs_f64());
        if status.is_success() && self.admitted.rule.kind.is_stream() {
            return Ok(Step::Answer(self.stream(coming)));
        }
        if !coming.is_small() {
            let first_byte = coming.first;
            coming.slot.set_outcome(AttemptOutcome::Answered {
                first_byte,
                gap: None,
            });
            return Ok(Step::Answer(self.stream(coming)));
        }
        self.take_whole(coming).await
    }

    /// Takes an answer that is read whole before any of it is passed on.
    async fn take_whole(&mut self, coming: Coming) -> Result<Step, Refused> {
        let (head, body, mut slot, first_byte) = coming.whole(self.admitted.deadline.timer()).await;
        let body = match body {
            Ok(body) => body,
            Err(failure) => {
                self.sent -= 1;
                return self.failed(&failure, slot);
            }
        };
        let failed = head.status.is_server_error();
        slot.set_completed(if failed {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered {
                first_byte,
                gap: None,
            }
        });
        if failed && self.may_run_again() {
            self.kept = Some((head, body));
            return Ok(Step::Again);
        }
        Ok(Step::Answer(self.whole(head, body)))
    }
}
