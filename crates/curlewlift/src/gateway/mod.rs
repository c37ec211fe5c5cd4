//! A gateway: an entry that forwards requests to backend servers by a routing table.
//!
//! It stores nothing that must outlive the process. It receives the committed table, the totals over
//! all gateways (requests in flight, customers' use) and the lists of backend servers and gateways
//! from the hub, which runs beside the leading control replica, and it continues to serve without the hub.

mod admit;
mod body;
mod connect;
mod daemon;
mod deadline;
mod decision;
mod dialect;
mod discovery;
mod environment;
mod events;
mod exchange;
mod failure;
mod forward;
mod held_bytes;
mod held_table;
mod hub_slots;
mod leader_calls;
mod lists;
mod loan;
mod loans;
mod local_quota;
mod local_replica;
mod local_slots;
mod log;
mod node;
mod notices;
mod open;
mod origin;
mod outcome;
mod outgoing;
mod received;
mod refuse;
mod relay;
mod request;
mod response_head;
mod resumption;
mod retries;
mod serve;
mod service;
mod services;
mod slot;
mod slot_queue;
mod slot_wait;
mod standbys;
mod stop;
mod stream;
mod stream_relay;
mod stream_timer;
mod sync;
mod tables;
mod tunnel;
mod tunnel_frames;
mod tunnel_server;

pub(crate) use body::Answer;
pub(crate) use body::full;
pub(crate) use body::json;

pub(crate) use daemon::Gateway;
pub(crate) use daemon::StartListeners;
pub(crate) use dialect::BackendHead;
pub(crate) use dialect::Dialect;
pub(crate) use dialect::RequestHead;
pub(crate) use dialect::ResponseHead;
pub(crate) use dialect::Resumption;
pub(crate) use environment::Environment;
pub(crate) use leader_calls::evacuate;
pub(crate) use leader_calls::publish;
pub(crate) use leader_calls::quarantined;
pub(crate) use leader_calls::read;
pub(crate) use leader_calls::release_part;
pub(crate) use leader_calls::roll_out;
pub(crate) use leader_calls::rollout_of;
pub(crate) use lists::Fetch;
pub(crate) use lists::FetchError;
pub(crate) use local_replica::LocalReplica;
pub(crate) use log::TARGET;
pub(crate) use log::note;
pub(crate) use node::Node;
pub(crate) use refuse::refusal_response;
pub(crate) use serve::serve;
pub(crate) use stop::StopTiming;
