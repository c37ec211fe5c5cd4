//! This process's part of the time line, and pictures of the whole.

mod recorder;
mod svg;

pub(crate) use recorder::Timeline;
pub(crate) use svg::draw;
pub(crate) use svg::escape;
