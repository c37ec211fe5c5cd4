//! Gateways, which forward requests by a routing table, and the hub that coordinates them.
//!
//! The hub runs beside the leading control replica and grants the gateways' requests slots at
//! backend servers. Each gateway polls it several times a second and reports what it has in flight.
//! The reply carries what has changed: the routing table, the gateway's subset of the backend
//! servers, the gateway membership, and the load over all gateways.

mod bulk_schedule;
mod content_hash;
mod dispatch;
mod grant;
mod grant_log;
mod hub;
mod incarnations;
mod leader_search;
mod limits;
mod list_fetchers;
mod local_slots;
mod membership;
mod memory_budget;
mod occupancy;
mod paths;
mod polls;
mod quarantine;
mod retries;
mod rollouts;
mod server_list;
mod server_list_cache;
mod shares;
mod slots;
mod stop_notices;
mod streams;
mod subset;
mod sync;
mod tunnel_hosts;

pub use bulk_schedule::BulkSchedule;
pub(crate) use content_hash::content_hash;
pub use dispatch::AvoidedServer;
pub use dispatch::Ticket;
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
pub use local_slots::LocalSlots;
pub use local_slots::SLOT_RESERVE_DELAY;
pub use local_slots::SLOT_SHARE_DELAY;
pub use local_slots::SlotShare;
pub use membership::Membership;
pub use membership::MembershipChange;
pub use membership::MembershipUpdate;
pub use memory_budget::MemoryBudget;
pub use paths::Paths;
pub use retries::RETRY_GRANT_LIFETIME;
pub use retries::RetryBlocks;
pub use server_list::Change as ServerListChange;
pub use server_list::Server;
pub use server_list::ServerList;
pub use server_list::Update as ServerListUpdate;
pub use server_list_cache::ServerListCache;
pub use shares::GatewayShare;
pub use shares::ShareAllocator;
pub use shares::Shares;
pub use slots::RejectedRequest;
pub use slots::SlotDecision;
pub use stop_notices::StopNotice;
pub use stop_notices::StopNotices;
pub use streams::StreamAnswer;
pub use streams::StreamQuery;
pub use sync::Gateway;
pub use sync::Load;
pub use sync::Poll;
pub use sync::Reply;
pub use sync::Standbys;
pub use tunnel_hosts::TunnelHosts;
