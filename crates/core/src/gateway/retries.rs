//! The further sendings that the hub grants.

use std::collections::BTreeMap;

use crate::clock::Instant;
use crate::id;
use crate::pool::RetryAllowance;
use crate::quota::Bucket;

/// The part of the floor that the hub grants in a window; half of it may go out at once.
const GRANTED: f64 = 0.2;

/// The further sendings that the hub grants, by service.
///
/// Load pattern: a thousand gateways, and a service whose answers often fail. A thousandth of the floor is less than one
/// sending, and what a gateway's own requests earn is not enough for the next one that fails. What a gateway lacks it
/// draws here with the place. An account fills evenly and begins empty, so that all hubs one after the other grant no
/// more than one would.
#[derive(Clone, Debug)]
pub(super) struct Retries {
    allowed: Option<RetryAllowance>,
    began: Instant,
    accounts: BTreeMap<id::Service, Bucket>,
}

impl Retries {
    /// Those of a hub that begins at `began`; none at all where nothing says what is `allowed`.
    pub(super) fn new(allowed: Option<RetryAllowance>, began: Instant) -> Self {
        Self {
            allowed,
            began,
            accounts: BTreeMap::new(),
        }
    }

    /// Draws a further sending to a service, where there is one left.
    pub(super) fn draw(&mut self, service: &id::Service, now: Instant) -> bool {
        let Some(allowed) = self.allowed else {
            return false;
        };
        let depth = allowed.min_retries * GRANTED / 2.0;
        let rate = depth / allowed.window.as_secs_f64();
        let account = self.accounts.entry(service.clone());
        let account = account.or_insert_with(|| Bucket::new(0.0, self.began));
        if account.fill(rate, depth, now) < 1.0 {
            return false;
        }
        account.draw(1.0);
        true
    }

    /// One that was drawn was not sent.
    pub(super) fn give_back(&mut self, service: &id::Service) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.draw(-1.0);
        }
    }
}
