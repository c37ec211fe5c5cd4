//! The share of what all gateways have together that one of them holds.

use crate::clock::Instant;

use super::SHARE_LIFETIME;

/// A gateway's share (0 to 1) of what all gateways have together, as the hub last announced it.
///
/// # Examples
///
/// ```
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::quota::SHARE_LIFETIME;
/// use curlewlift_core::quota::Share;
/// let requested_at = Instant::default();
/// let mut share = Share::default();
/// share.set(0.25, requested_at);
/// assert!(share.get(requested_at) > 0.2);
/// assert!(share.get(requested_at + SHARE_LIFETIME) <= 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    share: f64,
    /// When the request was sent that the hub answered last.
    requested_at: Option<Instant>,
}

impl Share {
    /// Sets the share from the hub's response to a request that was sent at `requested_at`.
    pub fn set(&mut self, share: f64, requested_at: Instant) {
        self.share = share;
        self.requested_at = Some(requested_at);
    }

    /// Returns when the request was sent that the hub answered last.
    #[must_use]
    pub fn get_requested_at(&self) -> Option<Instant> {
        self.requested_at
    }

    /// Returns the share at `now`; 0 if it has expired.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let is_valid = self
            .requested_at
            .is_some_and(|requested_at| now.since(requested_at) < SHARE_LIFETIME);
        if is_valid { self.share } else { 0.0 }
    }
}
