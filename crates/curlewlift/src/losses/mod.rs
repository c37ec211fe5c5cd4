//! Counts how a day's requests ended, from the gateways' logs.

mod day;
mod record;
mod svg;
mod table;

pub(crate) use day::Day;
pub(crate) use svg::draw;
pub(crate) use table::By;
pub(crate) use table::Table;
