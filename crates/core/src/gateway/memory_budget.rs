//! Limits the bytes that a gateway holds for requests and responses.

/// The bytes that a gateway holds, and how many it may hold.
///
/// Load pattern: hundreds of callers of one host that send bodies of megabytes, or keep streams open, at the same time.
/// Without a limit the host runs out of memory, and all of its requests fail; with it, the host rejects new requests and
/// completes those that it has accepted. A whole response counts until it is in the connection's buffer.
///
/// # Examples
///
/// ```
/// use curlewlift_core::gateway::MemoryBudget;
/// let mut budget = MemoryBudget::new(1_000);
/// assert!(budget.try_hold(700));
/// assert!(!budget.try_hold(400));
/// // A response that has been produced is held in any case.
/// budget.hold(400);
/// budget.release(700);
/// assert_eq!(budget.held(), 400);
/// assert!(budget.try_hold(600));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    limit: usize,
    held: usize,
}

impl Default for MemoryBudget {
    /// A budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl MemoryBudget {
    /// An unused budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, held: 0 }
    }

    /// Whether `bytes` more may be held.
    #[must_use]
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.held.saturating_add(bytes) <= self.limit
    }

    /// Counts `bytes` of a request that is being accepted; false, and nothing counted, if the limit would be exceeded.
    pub fn try_hold(&mut self, bytes: usize) -> bool {
        let is_allowed = self.has_room_for(bytes);
        if is_allowed {
            self.held += bytes;
        }
        is_allowed
    }

    /// Counts `bytes` of a response to a request that has been accepted. It may exceed the limit, as a response that a
    /// server has produced is delivered.
    pub fn hold(&mut self, bytes: usize) {
        self.held = self.held.saturating_add(bytes);
    }

    /// Stops counting `bytes`.
    pub fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// The bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }
}
