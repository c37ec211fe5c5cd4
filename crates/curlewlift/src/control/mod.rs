//! A control replica: the log, the machine above it, and the leases of the entries.

mod answers;
mod daemon;
mod platform;
mod query;
mod replica;

pub use daemon::Control;
