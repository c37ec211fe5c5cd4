//! The configuration: an immutable snapshot for each revision, and the changes between revisions.

mod change;
mod check;
mod item;
mod snapshot;

pub use change::Change;
pub use change::Field;
pub use change::Kind;
pub use item::Customer;
pub use item::Host;
pub use item::Operator;
pub use item::Right;
pub use item::Role;
pub use item::Server;
pub use item::Service;
pub use item::State;
pub use item::Tier;
pub use snapshot::Snapshot;
