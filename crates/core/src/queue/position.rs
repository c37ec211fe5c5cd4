//! Where a request is: in a queue, or at a server.

use crate::clock::Instant;
use crate::fleet::Pick;
use crate::fleet::Work;
use crate::id;
use crate::unit::Tokens;

use super::customer_queue::OrderKey;

/// A request that was granted and has not ended.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub(super) pick: Pick,
    pub(super) work: Work,
    pub(super) customer: id::Customer,
    pub(super) sent: Instant,
    pub(super) first: Option<Instant>,
    pub(super) counted: (Instant, Tokens),
}

/// Where a request waits.
#[derive(Clone, Debug)]
pub(super) struct Position {
    pub(super) rank: u8,
    pub(super) customer: id::Customer,
    pub(super) key: OrderKey,
}
