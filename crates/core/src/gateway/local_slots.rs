//! A gateway's share of each service's slots, which it uses while it does not reach the hub.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Instant;
use crate::pool::Part;
use crate::pool::Pool;

/// How long a gateway must be without a reply from the hub before it uses its share of the slots: about two of the
/// longest waits of a poll in a deployment of a few hundred gateways.
pub const SLOT_SHARE_DELAY: Duration = Duration::from_millis(500);

/// How long the hub waits for a sign that one of its replies has arrived at a gateway before it stops granting that
/// gateway's share of the slots. The gateway receives a reply after it was sent, so this is over before the gateway uses
/// its share. The difference is for clocks that differ.
pub const SLOT_RESERVE_DELAY: Duration = Duration::from_millis(450);

/// How long a share of the slots is valid at a gateway, from when the gateway sent the poll that the hub replied to with
/// it. What was started by the share has [`SHARE_LIFETIME`](crate::quota::SHARE_LIFETIME) less this time to end before another gateway may hold
/// the share.
const SLOT_SHARE_LIFETIME: Duration = Duration::from_secs(8);

/// One of several equal shares of the slots of every service.
///
/// Slot `i` of a service belongs to the share with the number `i` modulo the count. So the shares add up to exactly the
/// slots, also where there are more shares than slots, and no share gains a slot when the count grows or the number of
/// slots falls.
///
/// # Examples
///
/// ```
/// use curlewlift_core::gateway::SlotShare;
/// let shares = (0..88).map(|number| SlotShare { number, count: 88 });
/// assert_eq!(shares.clone().map(|share| share.slots(720)).sum::<u32>(), 720);
/// assert_eq!(shares.map(|share| share.slots(12)).sum::<u32>(), 12);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotShare {
    /// The number of this share, less than the count.
    pub number: u32,
    /// The number of shares.
    pub count: u32,
}

impl SlotShare {
    /// Returns how many slots of a service with `slots` slots belong to this share.
    #[must_use]
    pub fn slots(self, slots: u32) -> u32 {
        slots
            .saturating_sub(self.number)
            .div_ceil(self.count.max(1))
    }
}

/// A gateway's share of the slots as the hub last announced it, and when the gateway may use it.
#[derive(Clone, Debug, Default)]
pub struct LocalSlots {
    share: Option<SlotShare>,
    /// When the poll was sent that the hub replied to last, and when the reply arrived.
    last_reply: Option<(Instant, Instant)>,
}

impl LocalSlots {
    /// Sets the share from the hub's reply, received at `now`, to a poll that was sent at `polled_at`. The hub grants the
    /// slots of the share to any gateway from now on.
    pub fn set_share(&mut self, share: Option<SlotShare>, polled_at: Instant, now: Instant) {
        self.share = share;
        self.last_reply = Some((polled_at, now));
    }

    /// Returns whether the hub has been silent at `now` for [`SLOT_SHARE_DELAY`], or `hub_timeout` if that is longer.
    #[must_use]
    pub fn is_hub_silent(&self, hub_timeout: Duration, now: Instant) -> bool {
        let timeout = SLOT_SHARE_DELAY.max(hub_timeout);
        self.last_reply
            .is_none_or(|(_, received_at)| now.since(received_at) >= timeout)
    }

    /// Returns the share if the gateway may use it at `now`: the hub is silent, and the share has not expired.
    #[must_use]
    pub fn usable_share(&self, hub_timeout: Duration, now: Instant) -> Option<SlotShare> {
        let (polled_at, _) = self.last_reply?;
        let is_valid = now.since(polled_at) < SLOT_SHARE_LIFETIME;
        let is_usable = is_valid && self.is_hub_silent(hub_timeout, now);
        self.share.filter(|_| is_usable)
    }

    /// Limits what `pool`, the gateway's own, assigns at `now` to the share of its slots. What the gateway has in flight
    /// counts, whoever assigned it. Without the part [`Part::LocalSlots`] there is no limit.
    ///
    /// Returns the slots of the share if the pool begins to use it.
    pub fn limit(&self, pool: &mut Pool, hub_timeout: Duration, now: Instant) -> Option<u32> {
        if !pool.uses(Part::LocalSlots) {
            pool.limit_assignments(None);
            return None;
        }
        let share = self.usable_share(hub_timeout, now);
        let slots = share.map_or(0, |share| share.slots(pool.total_slots()));
        pool.limit_assignments(Some(slots.saturating_sub(pool.own_requests())));
        let begins = share.is_some() && pool.discount_other_loads();
        begins.then_some(slots)
    }
}
