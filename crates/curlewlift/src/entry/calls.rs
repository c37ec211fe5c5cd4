//! Handles the calls of other processes to an entry.

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::claim::Response;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Filter;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use futures::FutureExt;

use crate::rpc;
use crate::rpc::ClaimCall;
use crate::rpc::ClaimReply;
use crate::rpc::Handler;
use crate::rpc::Method;
use crate::rpc::QueueCall;
use crate::rpc::ServerGrant;

use super::node::Node;
use super::node::lock;
use super::owner;
use super::schedule;

/// How long a fetch waits for further bytes of a response.
const FETCH_WAIT: Duration = Duration::from_secs(1);

/// The handler of all methods.
pub(super) fn handler(node: Arc<Node>) -> Handler {
    std::rc::Rc::new(move |method, body| {
        let node = Arc::clone(&node);
        async move {
            match method {
                Method::Claim => claim_call(&node, rpc::decode(&body)?)
                    .await
                    .map(|reply| rpc::encode(&reply)),
                Method::Ask => queue_call(&node, rpc::decode(&body)?).await,
                Method::Events => {
                    let filter: Filter = rpc::decode(&body)?;
                    Ok(rpc::encode(&node.timeline.select(&filter)))
                }
                Method::Step | Method::Command | Method::Renew => Err(Refusal::new(
                    Code::WrongMethod,
                    "an entry keeps no replicated log",
                )),
            }
        }
        .boxed_local()
    })
}

async fn claim_call(node: &Arc<Node>, call: ClaimCall) -> Result<ClaimReply, Refusal> {
    Ok(match call {
        ClaimCall::Claim(claim) => {
            node.usable_roster()?;
            let response = lock(&node.claim_table).claim(&claim, node.now());
            if response == Response::Granted {
                let line = Line::new(Kind::ClaimKept).key(claim.key);
                let holder = &claim.record.holder;
                node.timeline
                    .note(line.detail(format_args!("holder={holder}")));
            }
            ClaimReply::Claimed(response)
        }
        ClaimCall::RecordEnd {
            key,
            ticket,
            holder,
            status,
        } => {
            lock(&node.claim_table).record_end(key, ticket, &holder, status);
            ClaimReply::EndRecorded
        }
        ClaimCall::CopyShard { shard, view } => {
            ClaimReply::ShardCopy(lock(&node.claim_table).copy_shard(shard, view))
        }
        ClaimCall::Lookup { key } => ClaimReply::Found(lock(&node.claim_table).get(key).cloned()),
        ClaimCall::FetchResponse { key, body, from } => {
            let response = lock(&node.store).get(key).cloned();
            if response
                .as_ref()
                .is_some_and(|response| body != 0 && response.digest != body)
            {
                let detail = "the key was used with another body";
                return Err(Refusal::new(Code::OtherBody, detail));
            }
            let from = usize::try_from(from).unwrap_or(usize::MAX);
            match response {
                Some(response) => {
                    ClaimReply::ResponseChunk(Some(response.chunk(from, FETCH_WAIT).await))
                }
                None => ClaimReply::ResponseChunk(None),
            }
        }
    })
}

async fn queue_call(node: &Arc<Node>, call: QueueCall) -> Result<Vec<u8>, Refusal> {
    let QueueCall::Enqueue { view, .. } = &call else {
        schedule::handle_report(node, call);
        return Ok(rpc::encode(&()));
    };
    let own_view = node.usable_roster()?.number;
    if *view != own_view {
        let detail = format!("the call names view {view}; this entry holds view {own_view}");
        return Err(Refusal::new(Code::WrongView, detail));
    }
    let receiver = owner::enqueue(node, call)?;
    let queue_dropped = || Refusal::new(Code::WrongView, "the owner dropped the queue");
    let server = receiver.await.map_err(|_| queue_dropped())??;
    Ok(rpc::encode(&ServerGrant { server }))
}
