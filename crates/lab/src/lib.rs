//! Tools to test and measure the project; nothing here is part of the product.
//!
//! Stand-ins for external systems (engines, plain servers, the platform), a small HTTP client, a site (a whole system
//! on loopback in one process), and simulations of scheduling and of roll-outs.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "statistics for display; the values are small enough"
)]

pub mod client;
pub mod measure;
pub mod rollout;
pub mod site;
pub mod standin;
pub mod usage;
