//! Hands out the routing table in force, in pieces.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::Piece;
use curlewlift_core::id;
use tokio::time::Instant;

use crate::rpc::HubReply;

use super::hub;
use super::replica::State;

/// How long a gateway waits for its turn before it is told to ask again.
const TURN: Duration = Duration::from_millis(300);

/// Between two looks whether it is its turn: what a piece takes on a link of 10 Mbit/s.
const LOOK: Duration = Duration::from_millis(10);

/// The piece of table `number` that follows its first `from` bytes.
pub(super) async fn piece(
    state: &Rc<RefCell<State>>,
    host: &id::Host,
    number: u64,
    from: usize,
) -> Result<HubReply, Refusal> {
    let until = Instant::now() + TURN;
    loop {
        if let Some(elsewhere) = hub::elsewhere(&state.borrow()) {
            return Ok(elsewhere);
        }
        if let Some(piece) = state.borrow_mut().cut(host, number, from)? {
            return Ok(HubReply::Piece(Some(piece)));
        }
        if Instant::now() >= until {
            return Ok(HubReply::Piece(None));
        }
        tokio::time::sleep(LOOK).await;
    }
}

impl State {
    /// The piece, where it is the gateway's turn; an empty one where it has got the whole.
    fn cut(&mut self, host: &id::Host, number: u64, from: usize) -> Result<Option<Piece>, Refusal> {
        let now = self.clock.now();
        let piece = Piece::cut(self.machine.get_publication(), number, from);
        let handout = self.hub.as_mut().ok_or_else(hub::begun)?.handout();
        if piece.from == piece.whole {
            handout.done(host);
            return Ok(Some(piece));
        }
        Ok(handout.admit(host, now).then_some(piece))
    }
}
