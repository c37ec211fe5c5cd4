//! Fetches routing tables that are too large for a poll's reply, from any host that has them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::publication::Chunk;
use curlewlift_core::publication::Download;
use curlewlift_core::publication::Payload;
use curlewlift_core::publication::Standing;
use curlewlift_core::state::Publication;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::SliceRandom;

use crate::blocking;
use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;
use crate::rpc::TableRequest;

use super::environment::Environment;
use super::log::Line;
use super::log::millis;
use super::node::Node;

/// Timeout of a call for one chunk: the chunks of other gateways sent before it over a link of 1 Mbit/s.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a host may take to reply before another one is asked as well: it may be gone, and a call to it would
/// take its whole timeout.
const HEDGE_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of hosts that are asked for the same chunk at a time.
const MAX_CONCURRENT_CALLS: usize = 3;

/// Pause after no host gave a chunk.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Pause before a table that could not be put in effect is fetched again; it doubles up to 2.56 s.
const MIN_FAILURE_DELAY: Duration = Duration::from_millis(40);

/// How often that pause doubles.
const MAX_FAILURE_DOUBLINGS: u32 = 6;

/// Fetches the newest table whenever it is newer than the current one, for as long as the process lives.
pub(super) async fn fetch_tables(node: Rc<Node>, environment: Rc<Environment>) {
    let mut failures = 0;
    loop {
        node.fetch_wakeup.notified().await;
        while node.newest_table() > node.table_version() {
            // What cannot be applied as a patch may be of use as a whole.
            let in_effect = if failures == 0 {
                node.table_version()
            } else {
                0
            };
            let payload = fetch(&node, &environment, in_effect).await;
            match apply(&node, &environment, payload).await {
                Ok(()) => failures = 0,
                Err(why) => {
                    log::error!("a received table cannot be put in effect: {why}");
                    tokio::time::sleep(MIN_FAILURE_DELAY * (1 << failures)).await;
                    failures = (failures + 1).min(MAX_FAILURE_DOUBLINGS);
                }
            }
        }
    }
}

/// Decodes and applies a small table.
pub(super) fn apply_small(node: &Node, environment: &Environment, publication: &Publication) {
    let started_at = node.now();
    match (environment.decode)(publication) {
        Ok(table) => {
            let decode_time = node.now().since(started_at);
            node.apply_table(table, publication, decode_time);
            let payload = Payload::whole(publication);
            node.distributor.add_payload(0, Arc::new(payload));
        }
        Err(why) => log::error!("table {} cannot be decoded: {why}", publication.version),
    }
}

/// Logs when the table becomes outdated; returns whether it is.
pub(super) fn log_late(node: &Node, was_late: bool) -> bool {
    let in_effect = node.table_version();
    let is_late = in_effect > 0 && node.table_standing() == Standing::Outdated;
    if is_late != was_late {
        metrics::gauge!("curlewlift_table_late").set(if is_late { 1.0 } else { 0.0 });
    }
    if is_late && !was_late {
        Line::new(Kind::TableLate)
            .with("table", in_effect)
            .with("newest", node.newest_table())
            .write();
    }
    is_late
}

/// Decodes and applies a received table. Decoding takes another thread, as requests are served on this one.
async fn apply(node: &Node, environment: &Environment, payload: Payload) -> Result<(), Refusal> {
    let started_at = node.now();
    let in_effect = node.publication();
    let decode = environment.decode;
    let payload = Arc::new(payload);
    let received = Arc::clone(&payload);
    let former = in_effect.version;
    let decoded = blocking::run(move || {
        let publication = received.unpack(&in_effect)?;
        Ok((decode(&publication)?, publication))
    });
    let (table, publication) = decoded.await?;
    node.apply_table(table, &publication, node.now().since(started_at));
    node.distributor.add_payload(former, payload);
    Ok(())
}

/// What a download has taken so far.
#[derive(Default)]
struct Effort {
    calls: u64,
    failed_calls: u64,
}

/// The hosts that may give a table, in the order in which they are asked.
#[derive(Default)]
struct Sources {
    addresses: VecDeque<SocketAddr>,
}

impl Sources {
    /// The next host to ask: the leader first, then the other replicas in random order.
    fn next(&mut self, node: &Node, environment: &Environment) -> Option<SocketAddr> {
        if self.addresses.is_empty() {
            let mut replicas = environment.replica_addresses(&node.known_replicas);
            replicas.shuffle(&mut rand::rng());
            let leader = node.hub.borrow().address;
            replicas.retain(|address| Some(*address) != leader);
            self.addresses.extend(leader.into_iter().chain(replicas));
        }
        self.addresses.pop_front()
    }

    /// Puts hosts at the front, to be asked next.
    fn prefer(&mut self, addresses: impl Iterator<Item = SocketAddr>) {
        for address in addresses {
            self.addresses.retain(|other| *other != address);
            self.addresses.push_front(address);
        }
    }
}

/// Fetches a newer table, as a patch against table `in_effect` if that is shorter. What has been received is kept when a
/// host is lost, and another one goes on.
async fn fetch(node: &Node, environment: &Environment, in_effect: u64) -> Payload {
    let started_at = node.now();
    let mut download = Download::default();
    let mut sources = Sources::default();
    let mut effort = Effort::default();
    loop {
        let request = TableRequest {
            host: node.host.clone(),
            in_effect,
            partial: download.get_payload(),
            from: download.len(),
        };
        let given = request_chunk(node, environment, &mut sources, &mut effort, &request).await;
        let Some((source, chunk)) = given else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        sources.prefer(std::iter::once(source));
        match download.receive(&chunk) {
            None => {}
            Some(Ok(payload)) => {
                log_fetched(node, &payload, &download, &effort, source, started_at);
                return payload;
            }
            Some(Err(why)) => log::warn!("a table received from {source} is dropped: {why}"),
        }
    }
}

fn log_fetched(
    node: &Node,
    payload: &Payload,
    download: &Download,
    effort: &Effort,
    source: SocketAddr,
    started_at: clock::Instant,
) {
    let id = payload.get_id();
    Line::new(Kind::TableFetched)
        .with("table", id.version)
        .with("base", id.base)
        .with("bytes", id.len)
        .with("from", source.to_string())
        .with("calls", effort.calls)
        .with("failed_calls", effort.failed_calls)
        .with("restarts", download.get_restarts())
        .with("ms", millis(node.now().since(started_at)))
        .write();
}

/// Asks hosts for a chunk, one after the other, and a further one while the former ones do not reply. Returns the first
/// chunk and who gave it, or none if none of the hosts asked has one.
async fn request_chunk(
    node: &Node,
    environment: &Environment,
    sources: &mut Sources,
    effort: &mut Effort,
    request: &TableRequest,
) -> Option<(SocketAddr, Chunk)> {
    let mut calls = FuturesUnordered::new();
    let mut asked = Vec::new();
    loop {
        let may_ask = calls.len() < MAX_CONCURRENT_CALLS;
        let next = may_ask.then(|| sources.next(node, environment)).flatten();
        let next = next.filter(|source| !asked.contains(source));
        if let Some(source) = next {
            asked.push(source);
            effort.calls += 1;
            calls.push(call(node, source, request));
        }
        let may_ask_more = next.is_some() && calls.len() < MAX_CONCURRENT_CALLS;
        let patience = if may_ask_more {
            HEDGE_DELAY
        } else {
            CALL_TIMEOUT
        };
        let Ok(reply) = tokio::time::timeout(patience, calls.next()).await else {
            continue;
        };
        match reply? {
            (source, Some(HubReply::TableChunk(chunk))) => return Some((source, chunk)),
            (_, reply) => {
                effort.failed_calls += 1;
                if let Some(HubReply::NoTableChunk { holders }) = reply {
                    let holders = holders.iter().filter(|host| **host != node.host);
                    sources.prefer(holders.filter_map(|host| (environment.locate)(host)));
                }
            }
        }
    }
}

/// Asks the host at `source` for a chunk.
async fn call(
    node: &Node,
    source: SocketAddr,
    request: &TableRequest,
) -> (SocketAddr, Option<HubReply>) {
    let call = RenewCall::Hub(HubCall::FetchTable(request.clone()));
    let reply = node
        .rpc
        .call(source, Method::Renew, &call, CALL_TIMEOUT)
        .await;
    let reply = reply.inspect_err(|why: &Refusal| {
        log::debug!("fetching a table chunk from {source} failed: {why}");
    });
    (source, reply.ok())
}
