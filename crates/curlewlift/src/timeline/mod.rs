//! The events of this process, and the drawing of timelines as SVG.

mod recorder;
mod svg;

pub(crate) use recorder::Timeline;
pub(crate) use svg::draw;
pub(crate) use svg::escape;
