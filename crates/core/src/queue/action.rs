//! The decisions that the owner of a queue sends to entries.

use crate::code::Refusal;
use crate::fleet::Pick;

use super::Ticket;

/// A decision of the owner about one request, sent to the entry that submitted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to this server now.
    Grant {
        /// The request that is granted a slot.
        ticket: Ticket,
        /// The server, and the response times expected of it.
        pick: Pick,
    },
    /// The request will not be run.
    Refuse {
        /// The request that is refused.
        ticket: Ticket,
        /// The result code and the reason.
        refusal: Refusal,
    },
}
