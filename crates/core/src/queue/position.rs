//! Where a request is: queued, or running on a server.

use crate::clock::Instant;
use crate::fleet::Pick;
use crate::fleet::Work;
use crate::id;
use crate::unit::Tokens;

use super::customer_queue::OrderKey;

/// A request that was granted a slot and has not ended.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) pick: Pick,
    pub(super) work: Work,
    pub(super) customer: id::Customer,
    pub(super) sent_at: Instant,
    pub(super) first_token_at: Option<Instant>,
    /// When tokens were last reported, and how many had been received by then.
    pub(super) last_progress: (Instant, Tokens),
}

/// Locates a queued request in the tiers.
#[derive(Clone, Debug)]
pub(super) struct Position {
    pub(super) rank: u8,
    pub(super) customer: id::Customer,
    pub(super) key: OrderKey,
}
