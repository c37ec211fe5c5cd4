//! What the project tests and measures itself with; nothing here is part of the product.
//!
//! Stand-ins for what stands outside (engines and plain servers), a small client, and a site: a
//! whole system on loopback in one process.

pub mod client;
pub mod measure;
pub mod site;
pub mod standin;
