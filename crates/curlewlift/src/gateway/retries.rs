//! Charges the retries of requests to the retry budget of their service.

use curlewlift_core::event::Kind;

use super::forward::ForwardedRequest;
use super::log::Line;
use super::service::Service;
use super::slot::Slot;

impl ForwardedRequest {
    /// Counts the request in favour of the retry budget.
    pub(super) fn count_request(&self) {
        let sent_after = self.admitted.deadline.arrived.sent_after;
        self.on_service(|service| service.budget.count_request(sent_after));
    }

    /// Whether the request may be sent with `slot`: it is the first attempt, or a retry is left here or included.
    pub(super) fn may_send(&self, slot: &Slot) -> bool {
        let may_send = slot.hub_retries_left().is_some() || !self.lacks_retry_budget();
        if !may_send {
            self.log_retry_denied("gateway");
        }
        may_send
    }

    /// Whether the request was sent before, and the service's retry budget here has no retry left.
    pub(super) fn lacks_retry_budget(&self) -> bool {
        let now = self.node.now();
        self.attempts() > 0 && self.on_service(|service| service.budget.allows(now)) != Some(true)
    }

    /// Charges an attempt that is about to be sent: nothing for the first one, a retry to the hub's account if the grant
    /// of `slot` includes one, and else to this gateway's. Returns false if the attempt must not be sent.
    pub(super) fn charge_attempt(&self, slot: &Slot) -> bool {
        if self.attempts() == 0 {
            return true;
        }
        if let Some(left) = slot.hub_retries_left() {
            self.log_retry_charged("hub", Some(left));
            return true;
        }
        let now = self.node.now();
        if self.on_service(|service| service.budget.try_acquire(now)) != Some(true) {
            return false;
        }
        self.log_retry_charged("gateway", None);
        true
    }

    /// Logs that `account` paid for a retry, and what it has left: `hub_left` if it is the hub's.
    fn log_retry_charged(&self, account: &'static str, hub_left: Option<u32>) {
        metrics::counter!("curlewlift_retries", "account" => account).increment(1);
        let line = Line::new(Kind::RetryCharged).with("account", account);
        self.write_retry_line(line, hub_left);
    }

    /// Logs that a retry is denied; `account` is the one that was asked last.
    pub(super) fn log_retry_denied(&self, account: &str) {
        metrics::counter!("curlewlift_retries_denied").increment(1);
        let line = Line::new(Kind::RetryDenied).with("account", account);
        self.write_retry_line(line, None);
    }

    /// Writes a log line about a retry, with what this gateway's part of the budget has counted, and what that or the hub
    /// has left.
    fn write_retry_line(&self, line: Line, hub_left: Option<u32>) {
        let now = self.node.now();
        let balance = self.on_service(|service| service.budget.balance(now));
        let balance = balance.unwrap_or_default();
        line.request(self.admitted.head_fields.id.as_ref())
            .with("service", self.service.to_string())
            .with("sent", self.attempts())
            .with("share", balance.share)
            .with("requests", balance.requests)
            .with("retries", balance.retries)
            .with("left", hub_left.map_or(balance.left, f64::from))
            .write();
    }

    fn on_service<T>(&self, action: impl FnOnce(&mut Service) -> T) -> Option<T> {
        self.node.with_service(&self.service, action)
    }
}
