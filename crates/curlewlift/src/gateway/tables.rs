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

use super::node::Node;
use super::surroundings::Surroundings;

/// How long a piece may take: the hub's own wait, and the pieces of others before it on a link of
/// 1 Mbit/s.
const CALL: Duration = Duration::from_secs(2);

/// Before the next attempt where none came.
const AGAIN: Duration = Duration::from_millis(60);

/// Fetches whenever a newer table is known of than the one held, for as long as the process lives.
///
/// What has come stays when a call fails or another leads: a slow link makes it late, not endless.
pub(super) async fn keep(node: Rc<Node>, around: Rc<Surroundings>) {
    let mut come = Come::default();
    // A table that cannot be read is not fetched over and over.
    let mut done = 0;
    loop {
        node.newer.notified().await;
        while node.newest_table() > node.held_table().max(done) {
            match come.go_on(&node).await {
                Progress::Piece => {}
                Progress::None => tokio::time::sleep(AGAIN).await,
                Progress::Whole(publication) => {
                    done = publication.version;
                    adopt(&node, &around, &publication);
                }
            }
        }
    }
}

/// Puts a table in force that has come whole.
pub(super) fn adopt(node: &Node, around: &Surroundings, publication: &Publication) {
    match (around.decode)(publication) {
        Ok(table) => node.adopt_table(table),
        Err(why) => log::error!("table {} cannot be read: {why}", publication.version),
    }
}

/// What asking for a piece came to.
enum Progress {
    /// None came.
    None,
    /// One came, and others follow.
    Piece,
    /// The last one came.
    Whole(Publication),
}

/// What has come of a table.
#[derive(Default)]
struct Come {
    number: u64,
    text: String,
}

impl Come {
    /// Asks for the next piece.
    async fn go_on(&mut self, node: &Node) -> Progress {
        let Some(piece) = self.ask(node).await else {
            return Progress::None;
        };
        if piece.table_version != self.number {
            self.number = piece.table_version;
            self.text.clear();
        }
        if piece.offset != self.text.len() {
            self.text.clear();
            return Progress::None;
        }
        self.text.push_str(&piece.text);
        if self.text.len() < piece.total_len {
            return Progress::Piece;
        }
        // Says that it has the whole: it is the next one's turn.
        let _ = self.ask(node).await;
        let text = std::mem::take(&mut self.text);
        Progress::Whole(Publication {
            version: self.number,
            document: Document::from_packed(&text),
        })
    }

    async fn ask(&self, node: &Node) -> Option<Chunk> {
        let address = node.hub.borrow().address?;
        let call = RenewCall::Hub(HubCall::Piece {
            host: node.host.clone(),
            number: self.number,
            from: self.text.len(),
        });
        let reply: Result<HubReply, Refusal> =
            node.rpc.call(address, Method::Renew, &call, CALL).await;
        match reply {
            Ok(HubReply::Piece(piece)) => piece,
            Ok(_) => None,
            Err(why) => {
                log::debug!("no piece of a table from {address}: {why}");
                None
            }
        }
    }
}
