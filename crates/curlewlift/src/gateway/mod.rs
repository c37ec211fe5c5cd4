//! A gateway: an entry that passes requests on by a routing table.
//!
//! It keeps nothing that must outlive it. What is agreed on (the table), summed up (what is in
//! flight, what customers used) and found out (the backend servers, the other gateways) it gets
//! from the hub beside the leading control replica, and it serves on without.

mod admit;
mod beside;
mod body;
mod daemon;
mod deadline;
mod deputies;
mod dialect;
mod draw;
mod events;
mod exchange;
mod failure;
mod forward;
mod lists;
mod log;
mod meet;
mod node;
mod open;
mod orders;
mod outcome;
mod outgoing;
mod place;
mod places;
mod refuse;
mod relay;
mod request;
mod serve;
mod service;
mod services;
mod stop;
mod surroundings;
mod sync;
mod tables;
mod turn;

pub(crate) use beside::Beside;
pub(crate) use body::Answer;
pub(crate) use body::full;
pub(crate) use body::json;
pub(crate) use daemon::Beginning;
pub(crate) use daemon::Gateway;
pub(crate) use dialect::BackendHead;
pub(crate) use dialect::Dialect;
pub(crate) use dialect::RequestHead;
pub(crate) use dialect::ResponseHead;
pub(crate) use lists::Fetch;
pub(crate) use lists::Missed;
pub(crate) use log::TARGET;
pub(crate) use log::note;
pub(crate) use node::Node;
pub(crate) use orders::evacuate;
pub(crate) use orders::publish;
pub(crate) use orders::read;
pub(crate) use orders::roll_out;
pub(crate) use orders::rollout_of;
pub(crate) use refuse::refusal_response;
pub(crate) use serve::serve;
pub(crate) use stop::Grace;
pub(crate) use surroundings::Surroundings;
