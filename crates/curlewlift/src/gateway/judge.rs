//! What becomes of a request that no backend server answered.

use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::event::Kind;
use curlewlift_core::pool::AttemptOutcome;
use curlewlift_core::quarantine::Rejection;
use rand::RngExt;

use super::exchange::Failure;
use super::log::Line;
use super::refuse::Refused;
use super::run::Run;
use super::run::Step;
use super::service::Service;
use super::slot::Slot;
use super::slot_wait::NoSlot;

/// Sendings that a request may have beyond those its rule allows, where servers said that they
/// did not run it.
const FURTHER: u8 = 2;

impl Run {
    /// Decides what becomes of a request that the server of `slot` did not answer.
    pub(super) fn failed(&mut self, failure: &Failure, mut slot: Slot) -> Result<Step, Refused> {
        let (end, why) = meaning(failure);
        slot.set_outcome(end);
        if matches!(failure, Failure::Broke(_)) {
            slot.set_crashed();
        }
        Line::new(Kind::SendingFailed)
            .request(self.admitted.call.id.as_ref())
            .with("identity", self.admitted.identity.to_string())
            .with("server", &*slot.server.incarnation)
            .with("why", why.as_str())
            .after(self.admitted.deadline.age())
            .write();
        drop(slot);
        match failure {
            Failure::Closed => {
                self.tried.pop();
                Ok(Step::Again)
            }
            Failure::NotSent(_) | Failure::NotRun { .. } => self.passed_over(why),
            Failure::Broke(_) | Failure::Unknown(_) => self.broke(why),
            Failure::Late => Err(Refused::new(Code::Late, why)),
        }
    }

    /// It surely did not run at the server.
    fn passed_over(&mut self, why: String) -> Result<Step, Refused> {
        self.passed += 1;
        let most = self.admitted.rule.attempts.saturating_add(FURTHER);
        if self.sendings() < most {
            return Ok(Step::Again);
        }
        if self.sent > 0 {
            return Err(Refused::new(Code::Broken, why));
        }
        // The code whose status promises that it has not run.
        Err(Refused::new(Code::RetryBudget, why).again(self.come_back()))
    }

    /// It may have run at the server.
    fn broke(&mut self, why: String) -> Result<Step, Refused> {
        self.sent += 1;
        if self.may_run_again() {
            return Ok(Step::Again);
        }
        Err(Refused::new(Code::Broken, why))
    }

    /// Whether a request that may have run may run once more, and there is time for it.
    pub(super) fn may_run_again(&self) -> bool {
        let rule = &self.admitted.rule;
        rule.kind.is_repeatable() && self.sent < rule.attempts && !self.admitted.deadline.is_past()
    }

    /// The refusal of a request that got no server.
    pub(super) fn no_turn(&self, why: NoSlot) -> Refused {
        if self.sent > 0 && why != NoSlot::NoRetry {
            return Refused::new(Code::Broken, "it broke off, and no other server is free");
        }
        let all_rest = self.all_rest().is_some();
        let is_limited = self.node.is_limited(&self.service);
        let refused = match why {
            NoSlot::Displaced | NoSlot::TimeUp if all_rest => Refused::new(
                Code::ServersRest,
                "all servers of the service have asked this host for rest",
            ),
            NoSlot::Displaced | NoSlot::TimeUp if is_limited => Refused::new(
                Code::ServersLimited,
                "all servers of the service get as many requests as they take",
            ),
            NoSlot::Limited => Refused::new(
                Code::ServersLimited,
                "all servers of the service take a limited number of requests, and the hub is not heard",
            ),
            NoSlot::NoServer => Refused::new(Code::NoServer, "the service has no server"),
            NoSlot::Displaced => Refused::new(
                Code::Shed,
                "others go before it, and no turn would come in time",
            ),
            NoSlot::TimeUp => Refused::new(Code::CannotFinish, "no server was free in time"),
            // It may have run, at the servers that ended.
            NoSlot::Rejected(Rejection::Quarantined) => {
                let why = "backend servers ended under this request, and it is kept away from them";
                return Refused::new(Code::Quarantined, why);
            }
            NoSlot::Rejected(Rejection::InFlight) => {
                let why =
                    "backend servers ended under this request, and it is being sent elsewhere";
                Refused::new(Code::Suspected, why)
            }
            NoSlot::NoRetry => return self.exhausted(),
            NoSlot::QuotaExceeded(_) => {
                let why = format!("customer {} has used up its allowance", self.customer());
                Refused::new(Code::Allowance, why)
            }
            NoSlot::HubUnreachable => {
                let why = "the hub is not heard, and this gateway's part is used up of customer";
                Refused::new(Code::Unreachable, format!("{why} {}", self.customer()))
            }
        };
        // Not before there is enough of the allowance.
        let filled = match why {
            NoSlot::QuotaExceeded(filled) => filled,
            _ => Duration::ZERO,
        };
        refused.again(self.come_back().max(filled))
    }

    /// For how much longer all servers of the service want no requests from here.
    fn all_rest(&self) -> Option<Duration> {
        let now = self.node.now();
        let all_rest = |service: &mut Service| service.pool.all_backing_off_for(now);
        self.node.with_service(&self.service, all_rest).flatten()
    }

    /// After how long its caller is to come back if it is turned away now.
    ///
    /// While all servers rest, not before the first is to be had again, and not all callers at that moment.
    fn come_back(&self) -> Duration {
        let usual = self.admitted.come_back(&self.node);
        let Some(rest) = self.all_rest() else {
            return usual;
        };
        rest + usual.mul_f64(rand::rng().random())
    }

    fn customer(&self) -> &str {
        let account = self.admitted.account.as_ref();
        account.map_or("nobody", |account| account.name.as_str())
    }

    /// The refusal of a request whose deadline has passed.
    pub(super) fn past(&self) -> Refused {
        let why = "the deadline has passed";
        if self.sent > 0 {
            return Refused::new(Code::Late, why);
        }
        Refused::new(Code::CannotFinish, why).again(self.come_back())
    }

    /// The refusal of a request that may not be sent again.
    pub(super) fn exhausted(&self) -> Refused {
        if self.sent > 0 {
            return Refused::new(
                Code::Broken,
                "it broke off, and the retry budget is used up",
            );
        }
        Refused::new(
            Code::RetryBudget,
            "servers refused it, and the retry budget is used up",
        )
        .again(self.come_back())
    }
}

/// What a failure says of the server, and why, for the log and the caller.
pub(super) fn meaning(failure: &Failure) -> (AttemptOutcome, String) {
    match failure {
        Failure::NotSent(why) | Failure::Broke(why) | Failure::Unknown(why) => {
            (AttemptOutcome::Broken, why.clone())
        }
        Failure::Closed => (
            AttemptOutcome::Unknown,
            "the server wants no requests now".to_owned(),
        ),
        Failure::NotRun { moved: true, .. } => {
            (AttemptOutcome::Gone, "another has its address".to_owned())
        }
        Failure::NotRun { status, .. } => {
            (AttemptOutcome::Full, format!("it did not run it: {status}"))
        }
        Failure::Late => (
            AttemptOutcome::TimedOut,
            "the deadline has passed".to_owned(),
        ),
    }
}
