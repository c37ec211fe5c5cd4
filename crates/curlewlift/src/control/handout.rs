//! Hands out the routing table in force, in pieces.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Refusal;
use curlewlift_core::gateway::Chunk;
use curlewlift_core::id;
use tokio::time::Instant;

use crate::rpc::HubReply;

use super::hub;
use super::replica::State;

/// How long a gateway waits for its turn before it is told to ask again.
const TURN: Duration = Duration::from_millis(1_500);

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
            return Ok(HubReply::Chunk(Some(piece)));
        }
        // Whoever has waited longest is woken for each turn that is free.
        let turn = Rc::clone(&state.borrow().turn);
        if tokio::time::timeout_at(until, turn.notified())
            .await
            .is_err()
        {
            return Ok(HubReply::Chunk(None));
        }
    }
}

impl State {
    /// The piece, where it is the gateway's turn; an empty one where it has got the whole.
    fn cut(&mut self, host: &id::Host, number: u64, from: usize) -> Result<Option<Chunk>, Refusal> {
        let now = self.clock.now();
        let publication = self.machine.get_publication();
        let handout = self.hub.as_mut().ok_or_else(hub::begun)?.distribution();
        if !handout.admit(host, now) {
            return Ok(None);
        }
        let piece = Chunk::cut(publication, number, from);
        if piece.offset == piece.total_len {
            handout.finish(host);
            self.turn.notify_one();
        }
        Ok(Some(piece))
    }

    /// Gives the turns of those that ask no more to others.
    pub(super) fn tick_handout(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        for _ in 0..hub.distribution().expire(now) {
            self.turn.notify_one();
        }
    }
}
