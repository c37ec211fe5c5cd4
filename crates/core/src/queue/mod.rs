//! The waiting work of one service, kept by its owner.
//!
//! Strictly by tier; inside a tier by weighted fair shares over customers, counted in tokens;
//! inside a customer by deadline. What must be shed is taken from the lowest tier that waits.

mod action;
mod admission;
mod customer_queue;
mod dispatch;
mod position;
mod request;
mod response_length;
mod retry_budget;
mod service_queue;
mod tier_queue;

pub use action::Action;
pub use request::Report;
pub use request::Request;
pub use request::Ticket;
pub use service_queue::Queue;
