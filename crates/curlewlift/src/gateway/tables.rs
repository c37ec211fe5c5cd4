//! Fetches a routing table in chunks when it is too large for a poll's reply.

use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::clock;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::gateway::Chunk;
use curlewlift_core::state::Document;
use curlewlift_core::state::Publication;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::environment::Environment;
use super::log::Line;
use super::log::millis;
use super::node::Node;

/// Timeout of a call for one chunk: the time that the hub holds the call, and the chunks of other gateways
/// sent before it over a link of 1 Mbit/s.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a call that returned no chunk.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Fetches the newest table whenever it is newer than the current one, for as long as the process lives.
///
/// Received chunks are retained when a call fails or the leader changes, so that a slow link delays a table but
/// does not make the download start over.
pub(super) async fn fetch_tables(node: Rc<Node>, environment: Rc<Environment>) {
    let mut download = Download::default();
    // A table that can't be decoded is not fetched again.
    let mut last_tried = 0;
    loop {
        node.fetch_wakeup.notified().await;
        while node.newest_table() > node.table_version().max(last_tried) {
            match download.fetch_chunk(&node).await {
                Progress::Chunk => {}
                Progress::None => tokio::time::sleep(RETRY_DELAY).await,
                Progress::Complete(publication) => {
                    last_tried = publication.version;
                    apply(&node, &environment, &publication);
                }
            }
        }
    }
}

/// Decodes and applies a completely received table.
pub(super) fn apply(node: &Node, environment: &Environment, publication: &Publication) {
    let started_at = node.now();
    match (environment.decode)(publication) {
        Ok(table) => node.apply_table(table, node.now().since(started_at)),
        Err(why) => log::error!("table {} cannot be decoded: {why}", publication.version),
    }
}

/// Result of a call for a chunk.
enum Progress {
    /// No chunk arrived.
    None,
    /// A chunk arrived, and others follow.
    Chunk,
    /// The last chunk arrived.
    Complete(Publication),
}

/// The received part of a table.
#[derive(Default)]
struct Download {
    number: u64,
    text: String,
    effort: Effort,
}

/// What a download has taken so far.
#[derive(Default)]
struct Effort {
    /// When the first call was made.
    started_at: Option<clock::Instant>,
    calls: u64,
    failed_calls: u64,
    /// How often what had been received was of no use.
    restarts: u64,
}

impl Download {
    /// Fetches the next chunk.
    async fn fetch_chunk(&mut self, node: &Node) -> Progress {
        self.effort.calls += 1;
        self.effort.started_at.get_or_insert(node.now());
        let Some(chunk) = self.request_chunk(node).await else {
            self.effort.failed_calls += 1;
            return Progress::None;
        };
        if chunk.table_version != self.number {
            self.restart();
            self.number = chunk.table_version;
        }
        if chunk.offset != self.text.len() {
            self.restart();
            return Progress::None;
        }
        self.text.push_str(&chunk.text);
        if self.text.len() < chunk.total_len {
            return Progress::Chunk;
        }
        // Reports that the table is complete, so that the hub can serve the next gateway.
        let _ = self.request_chunk(node).await;
        self.log(node);
        let text = std::mem::take(&mut self.text);
        Progress::Complete(Publication {
            version: self.number,
            document: Document::from_packed(&text),
        })
    }

    /// Drops what has been received.
    fn restart(&mut self) {
        self.effort.restarts += u64::from(!self.text.is_empty());
        self.text.clear();
    }

    /// Logs what the download has taken.
    fn log(&mut self, node: &Node) {
        let effort = std::mem::take(&mut self.effort);
        let started_at = effort.started_at.unwrap_or_default();
        Line::new(Kind::TableFetched)
            .with("table", self.number)
            .with("bytes", self.text.len())
            .with("calls", effort.calls)
            .with("failed_calls", effort.failed_calls)
            .with("restarts", effort.restarts)
            .with("ms", millis(node.now().since(started_at)))
            .write();
    }

    async fn request_chunk(&self, node: &Node) -> Option<Chunk> {
        let address = node.hub.borrow().address?;
        let call = RenewCall::Hub(HubCall::FetchChunk {
            host: node.host.clone(),
            number: self.number,
            from: self.text.len(),
        });
        let reply: Result<HubReply, Refusal> = node
            .rpc
            .call(address, Method::Renew, &call, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(HubReply::Chunk(chunk)) => chunk,
            Ok(_) => None,
            Err(why) => {
                log::debug!("fetching a table chunk from {address} failed: {why}");
                None
            }
        }
    }
}
