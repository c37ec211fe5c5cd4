//! A whole system on loopback in one process.

mod started;

pub use started::ROOT_KEY;
pub use started::Site;
