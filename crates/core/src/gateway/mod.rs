//! Gateways: entries that pass requests on by a routing table, and the hub that keeps them together.
//!
//! The hub lives beside the leading control replica, and gives the gateways' requests places at
//! backend servers. Each gateway asks it several times a second and tells what it has in flight; the answer
//! has what is new: the routing table, the gateway's subset of the backend servers, the
//! gateways that live, the sums over all of them.

mod bulk_schedule;
mod dispatch;
mod distribution;
mod grant;
mod hub;
mod incarnations;
mod leader_search;
mod limits;
mod membership;
mod occupancy;
mod polls;
mod quarantine;
mod retries;
mod rollouts;
mod server_list;
mod server_list_cache;
mod shares;
mod slots;
mod subset;
mod sync;
mod version;

pub use bulk_schedule::BulkSchedule;
pub use dispatch::Ticket;
pub use distribution::Chunk;
pub use distribution::Distribution;
pub use grant::AttemptEnd;
pub use grant::Grant;
pub use grant::GrantId;
pub use grant::Report;
pub use grant::RolloutTag;
pub use grant::SlotRequest;
pub use hub::Hub;
pub use hub::Tuning;
pub use incarnations::Incarnations;
pub use leader_search::LeaderSearch;
pub use leader_search::call_interval;
pub use membership::Membership;
pub use membership::MembershipChange;
pub use membership::MembershipUpdate;
pub use server_list::Change as ServerListChange;
pub use server_list::Server;
pub use server_list::ServerList;
pub use server_list::Update as ServerListUpdate;
pub use server_list_cache::ServerListCache;
pub use shares::ShareAllocator;
pub use shares::Shares;
pub use slots::SlotDecision;
pub use sync::Gateway;
pub use sync::Load;
pub use sync::Poll;
pub use sync::Reply;
pub use sync::Standbys;
pub(crate) use version::version;
