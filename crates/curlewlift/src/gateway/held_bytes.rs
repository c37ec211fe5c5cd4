//! The bytes that requests and responses hold at this gateway.

use std::cell::Cell;
use std::rc::Rc;

use curlewlift_core::gateway::MemoryBudget;

use super::node::Node;

/// What a response that is forwarded as it arrives holds: a part of the buffers of its two connections, in bytes.
pub(super) const STREAM_BYTES: usize = 32 << 10;

/// Bytes that one request or response holds; released when dropped.
pub(super) struct HeldBytes {
    node: Rc<Node>,
    bytes: Cell<usize>,
}

impl HeldBytes {
    /// Nothing held yet.
    pub(super) fn new(node: &Rc<Node>) -> Self {
        Self {
            node: Rc::clone(node),
            bytes: Cell::new(0),
        }
    }

    /// Whether the gateway may hold `bytes` more.
    pub(super) fn has_room_for(&self, bytes: usize) -> bool {
        self.node.memory_budget.borrow().has_room_for(bytes)
    }

    /// Holds `bytes` more of a request that is being accepted; false if the gateway holds too much.
    pub(super) fn try_extend(&self, bytes: usize) -> bool {
        let is_allowed = self.change(|budget| budget.try_hold(bytes));
        if is_allowed {
            self.bytes.set(self.bytes.get() + bytes);
        }
        is_allowed
    }

    /// Holds `bytes` in all, or more if it does already; false if the gateway holds too much.
    pub(super) fn try_grow_to(&self, bytes: usize) -> bool {
        match bytes.saturating_sub(self.bytes.get()) {
            0 => true,
            missing => self.try_extend(missing),
        }
    }

    /// Holds `bytes` more of a response.
    pub(super) fn extend(&self, bytes: usize) {
        self.change(|budget| budget.hold(bytes));
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn change<T>(&self, change: impl FnOnce(&mut MemoryBudget) -> T) -> T {
        let mut budget = self.node.memory_budget.borrow_mut();
        let result = change(&mut budget);
        #[allow(clippy::cast_precision_loss, reason = "a gauge of bytes")]
        metrics::gauge!("curlewlift_held_bytes").set(budget.held() as f64);
        result
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let bytes = self.bytes.get();
        self.change(|budget| budget.release(bytes));
    }
}
