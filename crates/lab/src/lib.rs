//! What the project tests and measures itself with; nothing here is part of the product.
//!
//! Stand-ins for what stands outside (engines and plain servers), a small client, and a site: a
//! whole system on loopback in one process.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures for people, far below where it matters"
)]

pub mod client;
pub mod gauge;
pub mod measure;
pub mod rollout;
pub mod site;
pub mod standin;
