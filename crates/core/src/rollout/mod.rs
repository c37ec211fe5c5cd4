//! Roll-outs: a service's traffic moves to backend servers of another version, or back.

mod version;

pub use version::Invalid;
pub use version::Version;
