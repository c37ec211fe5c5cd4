//! Data halls that operators empty before maintenance: their backend servers get no new work until the evacuation ends.
//!
//! The set of evacuated halls is committed in the log, so that it survives the hosts that received the orders. The hub
//! grants no slots in those halls. Gateways receive the set with the policy by which they choose servers without the
//! hub.

mod halls;
mod order;

pub use halls::EvacuatedHalls;
pub use order::Action;
pub use order::Order;
