//! The data folder of a control replica; docs/design/disk.md describes its layout.

mod journal;
mod writer;

pub(crate) use journal::Journal;
pub(crate) use writer::Batch;
pub(crate) use writer::Writer;
