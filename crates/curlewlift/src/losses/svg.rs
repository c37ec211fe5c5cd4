//! Draws a table of outcomes as an SVG image.

use std::fmt::Write;

use super::table::OUTCOME_COLUMNS;
use super::table::Table;

/// Width of the column of row names, in pixels.
const NAME_COLUMN_WIDTH: u64 = 180;

/// Width of the longest bar, in pixels.
const MAX_BAR_WIDTH: u64 = 800;

/// Height of a row, in pixels.
const ROW_HEIGHT: u64 = 16;

/// The colours of the outcomes, in the order of the columns.
const OUTCOME_COLOURS: [&str; 6] = ["#4a9", "#dc6", "#d64", "#a36", "#555", "#aaa"];

/// Draws the table as a self-contained SVG: one bar per row, with a segment per outcome.
pub(crate) fn draw(table: &Table) -> String {
    let totals = table.rows.iter().map(|(_, row)| row.total());
    let max_total = u64::from(totals.max().unwrap_or(0)).max(1);
    let height = ROW_HEIGHT * (table.rows.len() as u64 + 2);
    let width = NAME_COLUMN_WIDTH + MAX_BAR_WIDTH + 80;
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"monospace\" font-size=\"11\">"
    );
    for (index, (column, colour)) in OUTCOME_COLUMNS.iter().zip(OUTCOME_COLOURS).enumerate() {
        let x = NAME_COLUMN_WIDTH + index as u64 * 90;
        let _ = writeln!(
            svg,
            "<text x=\"{x}\" y=\"12\" fill=\"{colour}\">{column}</text>"
        );
    }
    for (index, (name, row)) in table.rows.iter().enumerate() {
        let y = ROW_HEIGHT * (index as u64 + 2);
        let name = crate::timeline::escape(name);
        let _ = writeln!(svg, "<text x=\"4\" y=\"{y}\">{name}</text>");
        let mut x = NAME_COLUMN_WIDTH;
        for (count, colour) in row.counts().into_iter().zip(OUTCOME_COLOURS) {
            let bar_width = u64::from(count) * MAX_BAR_WIDTH / max_total;
            let top = y - 11;
            let _ = writeln!(
                svg,
                "<rect x=\"{x}\" y=\"{top}\" width=\"{bar_width}\" height=\"13\" fill=\"{colour}\"/>"
            );
            x += bar_width;
        }
        let _ = writeln!(
            svg,
            "<text x=\"{}\" y=\"{y}\">{}</text>",
            x + 4,
            row.total()
        );
    }
    svg + "</svg>\n"
}
