//! The calls between curlewlift's processes: generated capnp code.
//!
//! The schema is `schema/node.capnp`; CONTRIBUTING.md says how to generate it again. Nothing in
//! this crate is written by hand but this page, so the workspace's lints do not apply here.

#[allow(warnings, clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
pub mod node_capnp;
