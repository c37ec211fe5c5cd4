//! Gateways: entries that pass requests on by a routing table, and the hub that keeps them together.
//!
//! The hub lives beside the leading control replica, and gives the gateways' requests places at
//! backend servers. Each gateway asks it several times a second and tells what it has in flight and
//! what it let in; the answer has what is new: the routing table, the list of backend servers, the
//! gateways that live, the sums over all of them.

mod dispatch;
mod grant;
mod hub;
mod listing;
mod occupancy;
mod sync;
mod version;

pub use dispatch::Ticket;
pub use grant::Ended;
pub use grant::Grant;
pub use grant::Mark;
pub use grant::Report;
pub use grant::Want;
pub use hub::Hub;
pub use hub::Tuning;
pub use listing::Listing;
pub use listing::Server;
pub use sync::Gateway;
pub use sync::Load;
pub use sync::Question;
pub use sync::Reply;
pub use sync::Roll;
