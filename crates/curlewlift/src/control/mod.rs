//! A control replica: the replicated log, the state machine that it drives, and the entries' leases.

mod active_table;
mod daemon;
mod distribution;
mod evacuations;
mod gateways;
mod handler;
mod hub;
mod in_flight;
mod known_hosts;
mod members;
mod orders;
mod platform;
mod quarantine;
mod query;
mod replica;
mod rollouts;
mod shares;
mod slot_usage;
mod slots;
mod stopping_gateways;
mod streams;

pub use daemon::Control;
pub(crate) use distribution::Distributor;
pub(crate) use gateways::Decode;
pub(crate) use gateways::Gateways;
pub(crate) use gateways::Locate;
pub(crate) use known_hosts::KnownHosts;
pub(crate) use stopping_gateways::StoppingGateways;
