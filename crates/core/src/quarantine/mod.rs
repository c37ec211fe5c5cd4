//! Requests under which backend servers end: known by what they are, however often they come again.

mod identity;

pub use identity::Identity;
