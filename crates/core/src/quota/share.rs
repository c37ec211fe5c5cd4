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
/// let polled_at = Instant::default();
/// let mut share = Share::default();
/// share.set(0.25, polled_at);
/// assert!(share.get(polled_at) > 0.2);
/// assert!(share.get(polled_at + SHARE_LIFETIME) <= 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    share: f64,
    /// When the poll was sent that the hub replied to last.
    polled_at: Option<Instant>,
}

impl Share {
    /// Sets the share from the hub's reply to a poll that was sent at `polled_at`.
    pub fn set(&mut self, share: f64, polled_at: Instant) {
        self.share = share;
        self.polled_at = Some(polled_at);
    }

    /// Returns when the poll was sent that the hub replied to last.
    #[must_use]
    pub fn get_polled_at(&self) -> Option<Instant> {
        self.polled_at
    }

    /// Returns the share at `now`; 0 if it has expired.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let is_valid = self
            .polled_at
            .is_some_and(|polled_at| now.since(polled_at) < SHARE_LIFETIME);
        if is_valid { self.share } else { 0.0 }
    }
}
