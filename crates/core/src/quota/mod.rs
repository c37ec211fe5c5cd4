//! Allowances over all entries together: a desk that knows the total, and shares at the entries.

mod amount;
mod bucket;
mod desk;
mod share;
mod tolerance;
mod window;

pub use amount::amount;
pub use bucket::Bucket;
pub use desk::Desk;
pub use desk::Level;
pub use share::Share;
pub use tolerance::Tolerance;
pub use window::Window;
