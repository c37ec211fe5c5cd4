//! What callers lost in a day, by the gateways' own logs.

mod day;
mod record;
mod svg;
mod table;

pub(crate) use day::Day;
pub(crate) use svg::draw;
pub(crate) use table::By;
pub(crate) use table::Table;
