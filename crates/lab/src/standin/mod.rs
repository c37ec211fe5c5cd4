//! Stand-ins for backend servers and the platform, as docs/INTERFACES.md describes them.

mod buffer;
mod engine;
mod plain;
mod platform;

pub use engine::Engine;
pub use engine::Faults;
pub use engine::Speed;
pub use engine::Stats;
pub use plain::Plain;
pub use platform::Platform;
