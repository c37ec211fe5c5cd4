//! A control replica: the log, the machine above it, and the leases of the entries.

mod answers;
mod daemon;
mod evacuations;
mod gateways;
mod handout;
mod hub;
mod known;
mod members;
mod parts;
mod places;
mod platform;
mod quarantine;
mod query;
mod replica;
mod rollouts;

pub use daemon::Control;
pub(crate) use gateways::Decode;
pub(crate) use gateways::Gateways;
pub(crate) use gateways::Locate;
pub(crate) use known::Known;
