//! Stand-ins for backend servers, as docs/INTERFACES.md describes them.

mod buffer;
mod engine;
mod plain;
mod platform;

pub use engine::Engine;
pub use engine::Faults;
pub use engine::Shape;
pub use engine::Tally;
pub use plain::Plain;
pub use platform::Platform;
