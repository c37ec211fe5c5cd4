//! A table of losses as a picture.

use std::fmt::Write;

use super::table::COLUMNS;
use super::table::Table;

/// Width of the names' column, in pixels.
const NAMES: u64 = 180;

/// Width of the longest bar, in pixels.
const WIDTH: u64 = 800;

/// Height of a row, in pixels.
const ROW: u64 = 16;

/// The colours of the columns.
const COLOURS: [&str; 6] = ["#4a9", "#dc6", "#d64", "#a36", "#555", "#aaa"];

/// The table as a self-contained SVG: a bar a row, its parts what the requests came to.
pub(crate) fn draw(table: &Table) -> String {
    let asked = table.rows.iter().map(|(_, row)| row.asked());
    let most = u64::from(asked.max().unwrap_or(0)).max(1);
    let height = ROW * (table.rows.len() as u64 + 2);
    let width = NAMES + WIDTH + 80;
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"monospace\" font-size=\"11\">"
    );
    for (place, (column, colour)) in COLUMNS.iter().zip(COLOURS).enumerate() {
        let x = NAMES + place as u64 * 90;
        let _ = writeln!(
            svg,
            "<text x=\"{x}\" y=\"12\" fill=\"{colour}\">{column}</text>"
        );
    }
    for (place, (name, row)) in table.rows.iter().enumerate() {
        let y = ROW * (place as u64 + 2);
        let name = crate::timeline::escape(name);
        let _ = writeln!(svg, "<text x=\"4\" y=\"{y}\">{name}</text>");
        let mut x = NAMES;
        for (count, colour) in row.counts().into_iter().zip(COLOURS) {
            let wide = u64::from(count) * WIDTH / most;
            let top = y - 11;
            let _ = writeln!(
                svg,
                "<rect x=\"{x}\" y=\"{top}\" width=\"{wide}\" height=\"13\" fill=\"{colour}\"/>"
            );
            x += wide;
        }
        let _ = writeln!(
            svg,
            "<text x=\"{}\" y=\"{y}\">{}</text>",
            x + 4,
            row.asked()
        );
    }
    svg + "</svg>\n"
}
