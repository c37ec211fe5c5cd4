//! An entry: serves the requests of callers, and stores claims and queues for the other entries.
//!
//! The modules in the order in which a request passes them: [`http`] and [`parse`] read it,
//! [`admit`] checks its customer and limits, [`claims`] claims its key, [`schedule`] waits for a
//! slot from the owner of its service ([`owner`]), [`send`] sends it and receives the response, and
//! [`store`] stores the response for its readers.

mod addresses;
mod admit;
mod calls;
mod claims;
mod daemon;
mod http;
mod issue;
mod node;
mod owner;
mod parse;
mod renew;
mod reply;
mod request;
mod run;
mod schedule;
mod send;
mod stop;
mod store;

pub use daemon::Entry;
