//! Identifiers: names and numbers.
//!
//! Each is a newtype, so that the compiler rejects a customer's name where a server's is expected.

mod name;
mod number;

pub use name::Customer;
pub use name::Hall;
pub use name::Host;
pub use name::InvalidName;
pub use name::Model;
pub use name::Operator;
pub use name::Server;
pub use name::Service;
pub use name::Tier;
pub use number::Disk;
pub use number::Index;
pub use number::Key;
pub use number::Revision;
pub use number::Shard;
pub use number::Term;
pub use number::Ticket;
pub use number::View;
