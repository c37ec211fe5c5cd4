//! Calls between the processes of the system, over capnp-rpc.

mod call;
mod client;
mod server;

pub(crate) use call::ClaimCall;
pub(crate) use call::ClaimReply;
pub(crate) use call::CommandCall;
pub(crate) use call::HubCall;
pub(crate) use call::HubReply;
pub(crate) use call::QueueCall;
pub(crate) use call::RenewCall;
pub(crate) use call::ResponseChunk;
pub(crate) use call::ServerGrant;
pub(crate) use call::TableRead;
pub(crate) use call::TableRequest;
pub(crate) use client::Client;
pub(crate) use curlewlift_wire::node_capnp::Method;
pub(crate) use server::Handler;
pub(crate) use server::decode;
pub(crate) use server::encode;
pub(crate) use server::serve;
