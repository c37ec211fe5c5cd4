//! An entry: takes callers' requests, and does its part of the shared work.
//!
//! The files follow a request's way: [`http`] and [`parse`] read it, [`admit`] says who may,
//! [`claims`] claims its key, [`schedule`] waits for its turn at the owner ([`owner`]), [`send`]
//! sends it and takes its answer, [`store`] keeps the answer for whoever asks.

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
