//! The request queue of one service, held by the entry that owns the service.
//!
//! Requests are ordered strictly by tier; within a tier by weighted fair shares of its customers,
//! counted in tokens; within a customer by deadline. When the queue is full, requests are shed from
//! the lowest tier that has any queued.

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
