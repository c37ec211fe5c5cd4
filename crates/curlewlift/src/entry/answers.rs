//! Answers what other processes ask an entry.

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

/// How long a question for more of an answer waits for it.
const WAIT: Duration = Duration::from_secs(1);

/// What answers each method.
pub(super) fn handler(node: Arc<Node>) -> Handler {
    std::rc::Rc::new(move |method, body| {
        let node = Arc::clone(&node);
        async move {
            match method {
                Method::Claim => claim(&node, rpc::decode(&body)?)
                    .await
                    .map(|reply| rpc::encode(&reply)),
                Method::Ask => ask(&node, rpc::decode(&body)?).await,
                Method::Events => {
                    let filter: Filter = rpc::decode(&body)?;
                    Ok(rpc::encode(&node.timeline.select(&filter)))
                }
                Method::Step | Method::Command | Method::Renew => {
                    Err(Refusal::new(Code::WrongMethod, "an entry keeps no log"))
                }
            }
        }
        .boxed_local()
    })
}

async fn claim(node: &Arc<Node>, call: ClaimCall) -> Result<ClaimReply, Refusal> {
    Ok(match call {
        ClaimCall::Claim(claim) => {
            node.acting()?;
            let answer = lock(&node.table).claim(&claim, node.now());
            if answer == Response::Granted {
                let line = Line::new(Kind::ClaimKept).key(claim.key);
                let holder = &claim.record.holder;
                node.timeline
                    .note(line.detail(format_args!("holder={holder}")));
            }
            ClaimReply::Claimed(answer)
        }
        ClaimCall::RecordEnd {
            key,
            ticket,
            holder,
            status,
        } => {
            lock(&node.table).record_end(key, ticket, &holder, status);
            ClaimReply::EndRecorded
        }
        ClaimCall::CopyShard { shard, view } => {
            ClaimReply::ShardCopy(lock(&node.table).copy_shard(shard, view))
        }
        ClaimCall::Lookup { key } => ClaimReply::Found(lock(&node.table).get(key).cloned()),
        ClaimCall::FetchResponse { key, body, from } => {
            let kept = lock(&node.store).get(key).cloned();
            if kept
                .as_ref()
                .is_some_and(|kept| body != 0 && kept.digest != body)
            {
                let why = "the key was used with another body";
                return Err(Refusal::new(Code::OtherBody, why));
            }
            let from = usize::try_from(from).unwrap_or(usize::MAX);
            match kept {
                Some(kept) => ClaimReply::ResponseChunk(Some(kept.piece(from, WAIT).await)),
                None => ClaimReply::ResponseChunk(None),
            }
        }
    })
}

async fn ask(node: &Arc<Node>, call: QueueCall) -> Result<Vec<u8>, Refusal> {
    let QueueCall::Enqueue { view, .. } = &call else {
        schedule::take(node, call);
        return Ok(rpc::encode(&()));
    };
    let own = node.acting()?.number;
    if *view != own {
        let why = format!("view {view} was named, and this entry holds {own}");
        return Err(Refusal::new(Code::WrongView, why));
    }
    let wait = owner::ask(node, call)?;
    let gone = || Refusal::new(Code::WrongView, "the queue has gone");
    let server = wait.await.map_err(|_| gone())??;
    Ok(rpc::encode(&ServerGrant { server }))
}
