//! What is counted in whole units, as buckets hold it.

/// `count` as a number that can be divided: exact below 2^53, far above what a window counts.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub const fn amount(count: u64) -> f64 {
    count as f64
}
