//! Data halls that operators empty before maintenance: their backend servers get no new work until the evacuation ends.
//!
//! Which halls those are is agreed in the log, so that it outlives the hosts that took the order. The hub gives no
//! places there, and gateways learn of it with the policy by which they choose themselves.

mod halls;
mod order;

pub use halls::EvacuatedHalls;
pub use order::Action;
pub use order::Order;
