//! Gateways: entries that pass requests on by a routing table, and the hub that keeps them together.
//!
//! The hub lives beside the leading control replica, and gives the gateways' requests places at
//! backend servers. Each gateway asks it several times a second and tells what it has in flight; the answer
//! has what is new: the routing table, the gateway's subset of the backend servers, the
//! gateways that live, the sums over all of them.

mod alone;
mod answers;
mod dispatch;
mod grant;
mod handout;
mod hub;
mod incarnations;
mod limits;
mod occupancy;
mod pace;
mod parts;
mod places;
mod quarantine;
mod retries;
mod roll;
mod rollouts;
mod server_list;
mod server_list_cache;
mod subset;
mod sync;
mod version;

pub use alone::Search;
pub use alone::apart;
pub use dispatch::Ticket;
pub use grant::Ended;
pub use grant::Grant;
pub use grant::Mark;
pub use grant::Report;
pub use grant::Want;
pub use grant::Watched;
pub use handout::Handout;
pub use handout::Piece;
pub use hub::Hub;
pub use hub::Tuning;
pub use incarnations::Incarnations;
pub use pace::Pace;
pub use parts::Keeper;
pub use parts::Parts;
pub use places::Wanted;
pub use roll::Change;
pub use roll::News;
pub use roll::Roll;
pub use server_list::Change as ServerListChange;
pub use server_list::Server;
pub use server_list::ServerList;
pub use server_list::Update as ServerListUpdate;
pub use server_list_cache::ServerListCache;
pub use sync::Deputies;
pub use sync::Gateway;
pub use sync::Load;
pub use sync::Question;
pub use sync::Reply;
pub(crate) use version::version;
