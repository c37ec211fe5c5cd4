//! The waiting work of one service, kept by its owner.
//!
//! Strictly by tier; inside a tier by weighted fair shares over customers, counted in tokens;
//! inside a customer by deadline. What must be shed is taken from the lowest tier that waits.

mod action;
mod admission;
mod ask;
mod budget;
mod dispatch;
mod length;
mod level;
mod line;
mod order;
mod spot;

pub use action::Action;
pub use ask::Ask;
pub use ask::Report;
pub use ask::Ticket;
pub use order::Queue;
