//! What the owner tells an entry.

use crate::code::Refusal;
use crate::fleet::Pick;

use super::Ticket;

/// What the owner tells the entry that asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to this server now.
    Grant {
        /// Whose turn it is.
        ticket: Ticket,
        /// The server and what to expect of it.
        pick: Pick,
    },
    /// It will not run.
    Refuse {
        /// Whose request it is.
        ticket: Ticket,
        /// Why.
        refusal: Refusal,
    },
}
