//! Fetches a routing table that is too large to come along with an answer, piece by piece.

use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::Chunk;
use curlewlift_core::state::Document;
use curlewlift_core::state::Publication;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::environment::Environment;
use super::node::Node;

/// How long a piece may take: the hub's own wait, and the pieces of others before it on a link of
/// 1 Mbit/s.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Before the next attempt where none came.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Fetches whenever a newer table is known of than the one held, for as long as the process lives.
///
/// What has come stays when a call fails or another leads: a slow link makes it late, not endless.
pub(super) async fn fetch_tables(node: Rc<Node>, environment: Rc<Environment>) {
    let mut download = Download::default();
    // A table that cannot be read is not fetched over and over.
    let mut last_tried = 0;
    loop {
        node.fetch_wakeup.notified().await;
        while node.newest_table() > node.table_version().max(last_tried) {
            match download.fetch_chunk(&node).await {
                Progress::Chunk => {}
                Progress::None => tokio::time::sleep(RETRY_DELAY).await,
                Progress::Complete(publication) => {
                    last_tried = publication.number;
                    apply(&node, &environment, &publication);
                }
            }
        }
    }
}

/// Puts a table in force that has come whole.
pub(super) fn apply(node: &Node, environment: &Environment, publication: &Publication) {
    match (environment.decode)(publication) {
        Ok(table) => node.apply_table(table),
        Err(why) => log::error!("table {} cannot be read: {why}", publication.number),
    }
}

/// What asking for a piece came to.
enum Progress {
    /// None came.
    None,
    /// One came, and others follow.
    Chunk,
    /// The last one came.
    Complete(Publication),
}

/// What has come of a table.
#[derive(Default)]
struct Download {
    number: u64,
    text: String,
}

impl Download {
    /// Asks for the next piece.
    async fn fetch_chunk(&mut self, node: &Node) -> Progress {
        let Some(chunk) = self.request_chunk(node).await else {
            return Progress::None;
        };
        if chunk.number != self.number {
            self.number = chunk.number;
            self.text.clear();
        }
        if chunk.offset != self.text.len() {
            self.text.clear();
            return Progress::None;
        }
        self.text.push_str(&chunk.text);
        if self.text.len() < chunk.total_len {
            return Progress::Chunk;
        }
        // Says that it has the whole: it is the next one's turn.
        let _ = self.request_chunk(node).await;
        let text = std::mem::take(&mut self.text);
        Progress::Complete(Publication {
            number: self.number,
            document: Document::from_packed(&text),
        })
    }

    async fn request_chunk(&self, node: &Node) -> Option<Chunk> {
        let address = node.hub.borrow().address?;
        let call = RenewCall::Hub(HubCall::Piece {
            host: node.host.clone(),
            number: self.number,
            from: self.text.len(),
        });
        let reply: Result<HubReply, Refusal> = node
            .rpc
            .call(address, Method::Renew, &call, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(HubReply::Piece(chunk)) => chunk,
            Ok(_) => None,
            Err(why) => {
                log::debug!("no piece of a table from {address}: {why}");
                None
            }
        }
    }
}
