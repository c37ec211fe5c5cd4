//! The waiting work of one service, kept by its owner.
//!
//! Strictly by tier; inside a tier by weighted fair shares over customers, counted in tokens;
//! inside a customer by deadline. What must be shed is taken from the lowest tier that waits.

mod action;
mod admission;
mod budget;
mod dispatch;
mod length;
mod level;
mod line;
mod order;
mod request;
mod spot;

pub use action::Action;
pub use order::Queue;
pub use request::Report;
pub use request::Request;
pub use request::Ticket;
