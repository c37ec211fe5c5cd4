//! The part of what all gateways share that one of them holds.

use crate::clock::Instant;

use super::SHARE_LIFETIME;

/// The part (0 to 1) of what all gateways share that one of them holds, by the hub's last word.
///
/// # Examples
///
/// ```
/// use curlewlift_core::clock::Instant;
/// use curlewlift_core::quota::SHARE_LIFETIME;
/// use curlewlift_core::quota::Share;
/// let asked = Instant::default();
/// let mut share = Share::default();
/// share.set(0.25, asked);
/// assert!(share.get(asked) > 0.2);
/// assert!(share.get(asked + SHARE_LIFETIME) <= 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    part: f64,
    /// When the question was sent that the hub answered last.
    asked: Option<Instant>,
}

impl Share {
    /// Takes up the hub's answer to a question that was sent at `asked`.
    pub fn set(&mut self, part: f64, asked: Instant) {
        self.part = part;
        self.asked = Some(asked);
    }

    /// When the question was sent that the hub answered last.
    #[must_use]
    pub fn get_requested_at(&self) -> Option<Instant> {
        self.asked
    }

    /// What is held at `now`; 0 where nothing is any more.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let held = self
            .asked
            .is_some_and(|asked| now.since(asked) < SHARE_LIFETIME);
        if held { self.part } else { 0.0 }
    }
}
