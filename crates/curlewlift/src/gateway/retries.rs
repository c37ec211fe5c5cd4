//! Charges the retries of requests to the retry budget of their service.

use curlewlift_core::event::Kind;
use curlewlift_core::pool::Balance;

use super::forward::ForwardedRequest;
use super::log::Line;
use super::service::Service;
use super::slot::Slot;

impl ForwardedRequest {
    /// Acquires a retry from the service's retry budget, here or at the hub; false if none is left.
    pub(super) fn acquire_retry(&self, slot: &Slot) -> bool {
        let now = self.node.now();
        let share = self.node.retry_share.borrow().get(now);
        let account = if slot.includes_retry() {
            "hub"
        } else {
            "gateway"
        };
        let acquired = slot.includes_retry()
            || self.on_service(|service| service.budget.try_acquire(share, now)) == Some(true);
        let balance = self.on_service(|service| service.budget.balance(share, now));
        let balance = balance.unwrap_or_default();
        if acquired {
            metrics::counter!("curlewlift_retries", "account" => account).increment(1);
            let line = Line::new(Kind::RetryCharged).with("account", account);
            self.write_retry_line(line, &balance, share);
        } else {
            self.log_retry_denied("gateway");
        }
        acquired
    }

    /// Whether the request was sent before, and the service's retry budget here has no retry left.
    pub(super) fn lacks_retry_budget(&self) -> bool {
        let now = self.node.now();
        let share = self.node.retry_share.borrow().get(now);
        let allows = self.on_service(|service| service.budget.allows(share, now));
        self.attempts() > 0 && allows != Some(true)
    }

    /// Logs that a retry is denied; `decided_by` is the account that was asked last.
    pub(super) fn log_retry_denied(&self, decided_by: &str) {
        let now = self.node.now();
        let share = self.node.retry_share.borrow().get(now);
        let balance = self.on_service(|service| service.budget.balance(share, now));
        metrics::counter!("curlewlift_retries_denied").increment(1);
        let line = Line::new(Kind::RetryDenied).with("account", decided_by);
        self.write_retry_line(line, &balance.unwrap_or_default(), share);
    }

    /// Writes a log line about a retry, with what this gateway's part of the budget holds.
    fn write_retry_line(&self, line: Line, balance: &Balance, share: f64) {
        line.request(self.admitted.head_fields.id.as_ref())
            .with("service", self.service.to_string())
            .with("sent", self.attempts())
            .with("share", share)
            .with("first_attempts", balance.first_attempts)
            .with("retries", balance.retries)
            .with("left", balance.left)
            .write();
    }

    fn on_service<T>(&self, action: impl FnOnce(&mut Service) -> T) -> Option<T> {
        self.node.with_service(&self.service, action)
    }
}
