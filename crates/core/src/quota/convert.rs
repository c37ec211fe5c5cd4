//! Conversion of counts into the numbers that buckets hold.

/// Converts a count of whole units; exact below 2^53, far more than is counted in any window.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub const fn to_f64(count: u64) -> f64 {
    count as f64
}
