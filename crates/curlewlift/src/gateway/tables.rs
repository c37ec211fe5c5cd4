//! Fetches a routing table that is too large to come along with an answer, piece by piece.

use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::Piece;
use curlewlift_core::state::Document;
use curlewlift_core::state::Publication;

use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::daemon::Surroundings;
use super::node::Node;

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
    loop {
        node.newer.notified().await;
        while is_behind(&node) {
            if !come.go_on(&node, &around).await {
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}

/// Puts a table in force that has come whole.
pub(super) fn adopt(node: &Node, around: &Surroundings, publication: &Publication) {
    match (around.decode)(publication) {
        Ok(table) => node.adopt_table(table),
        Err(why) => log::error!("table {} cannot be read: {why}", publication.number),
    }
}

fn is_behind(node: &Node) -> bool {
    let held = node.table().map_or(0, |table| table.get_number());
    node.newest_table() > held
}

/// What has come of a table.
#[derive(Default)]
struct Come {
    number: u64,
    text: String,
}

impl Come {
    /// Asks for the next piece; false where none came.
    async fn go_on(&mut self, node: &Node, around: &Surroundings) -> bool {
        let Some(piece) = self.ask(node).await else {
            return false;
        };
        if piece.number != self.number || piece.from != self.text.len() {
            self.number = piece.number;
            self.text.clear();
        }
        if piece.from != self.text.len() {
            return false;
        }
        self.text.push_str(&piece.text);
        if self.text.len() < piece.whole {
            return true;
        }
        let publication = Publication {
            number: self.number,
            document: Document::from_packed(&self.text),
        };
        // Says that it has the whole: it is the next one's turn.
        let _ = self.ask(node).await;
        adopt(node, around, &publication);
        *self = Self::default();
        // One that cannot be read is not asked for over and over.
        !is_behind(node)
    }

    async fn ask(&self, node: &Node) -> Option<Piece> {
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
