//! Allowances over all gateways together: a desk at the hub that draws each request, and reserves at the
//! gateways for when the hub gives no word.

mod amount;
mod bucket;
mod charge;
mod desk;
mod part;
mod reserve;
mod tolerance;

pub use amount::amount;
pub use bucket::Bucket;
pub use charge::Charge;
pub use desk::Desk;
pub use part::Part;
pub use reserve::ALONE;
pub use reserve::ASIDE;
pub use reserve::HELD;
pub use reserve::Reserve;
pub use tolerance::Tolerance;
