//! Work that takes too long for a thread that has other tasks.

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;

/// Runs `work` on another thread.
///
/// # Errors
///
/// That of `work`, or [`Code::Internal`] if it panics.
pub(crate) async fn run<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, Refusal> + Send + 'static,
) -> Result<T, Refusal> {
    let result = tokio::task::spawn_blocking(work).await;
    result.map_err(|why| Refusal::new(Code::Internal, why.to_string()))?
}
