//! Streams that may be resumed at another backend server, and the version of the server's software that began each.
//!
//! What servers of two versions write does not fit together, and servers don't check it. So a stream that a caller has
//! received an event of continues only at the version that sent its first event. The gateway that forwards that event
//! records it ([`Record`]) and reports it to the hub, which hands copies to two other gateways: whichever host the caller
//! turns to next can find it while any of these processes runs. Records are facts that never change, so that they may be
//! sent late, twice and in any order; a record that is lost costs a resumption.
//!
//! A stream of which there is no record is resumed only while its service has had a single version ([`Versions`]).

mod key;
mod known_versions;
mod ledger;
mod record;
mod table;
mod versions;

pub use key::Key;
pub use known_versions::KnownVersions;
pub use ledger::Ledger;
pub use ledger::MAX_REPORTED;
pub use record::Origin;
pub use record::Record;
pub use table::Found;
pub use table::Table;
pub use versions::Change;
pub use versions::Phase;
pub use versions::Published;
pub use versions::SOLE_VERSION_LEASE;
pub use versions::Step;
pub use versions::Versions;
