//! Distributes the active routing table to gateways in chunks.

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

/// How long a gateway waits for a slot to fetch the table before it has to ask again.
const FETCH_SLOT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The chunk of table `number` after its first `from` bytes; none if no fetch slot became free in time.
pub(super) async fn chunk(
    state: &Rc<RefCell<State>>,
    host: &id::Host,
    number: u64,
    from: usize,
) -> Result<HubReply, Refusal> {
    let until = Instant::now() + FETCH_SLOT_TIMEOUT;
    loop {
        if let Some(redirect) = hub::redirect_unless_leading(&state.borrow()) {
            return Ok(redirect);
        }
        if let Some(chunk) = state.borrow_mut().next_chunk(host, number, from)? {
            return Ok(HubReply::Chunk(Some(chunk)));
        }
        // Each free slot wakes the gateway that has waited longest.
        let free_fetch_slot = Rc::clone(&state.borrow().free_fetch_slot);
        if tokio::time::timeout_at(until, free_fetch_slot.notified())
            .await
            .is_err()
        {
            return Ok(HubReply::Chunk(None));
        }
    }
}

impl State {
    /// The next chunk, if the gateway has a fetch slot; an empty chunk after the end of the table.
    fn next_chunk(
        &mut self,
        host: &id::Host,
        number: u64,
        from: usize,
    ) -> Result<Option<Chunk>, Refusal> {
        let now = self.clock.now();
        let publication = self.machine.get_publication();
        let distribution = self.hub.as_mut().ok_or_else(hub::not_ready)?.distribution();
        if !distribution.admit(host, now) {
            return Ok(None);
        }
        let chunk = Chunk::cut(publication, number, from);
        if chunk.offset == chunk.total_len {
            distribution.finish(host);
            self.free_fetch_slot.notify_one();
        }
        Ok(Some(chunk))
    }

    /// Frees the fetch slots of gateways that have stopped asking.
    pub(super) fn tick_distribution(&mut self) {
        let now = self.clock.now();
        let Some(hub) = &mut self.hub else {
            return;
        };
        for _ in 0..hub.distribution().expire(now) {
            self.free_fetch_slot.notify_one();
        }
    }
}
