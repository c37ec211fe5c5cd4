//! Draws a timeline as an SVG image.

use std::collections::BTreeSet;
use std::fmt::Write;

use curlewlift_core::event::Line;

/// Width of the column of host names, in pixels.
const NAME_COLUMN_WIDTH: u64 = 90;

/// Width of the time axis, in pixels.
const TIME_AXIS_WIDTH: u64 = 900;

/// Height of an event's row, in pixels.
const ROW_HEIGHT: u64 = 18;

/// Draws the events as a self-contained SVG: one row per event, a colour per host, time from left to right.
pub(crate) fn draw(lines: &[Line]) -> String {
    let hosts: BTreeSet<_> = lines.iter().map(|line| line.host.as_str()).collect();
    let first = lines.first().map_or(0, |line| line.stamp.millis());
    let last = lines.last().map_or(0, |line| line.stamp.millis());
    let span = (last - first).max(1);
    let height = ROW_HEIGHT * (lines.len() as u64 + 2);
    let width = NAME_COLUMN_WIDTH + TIME_AXIS_WIDTH + 420;
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"monospace\" font-size=\"11\">"
    );
    let _ = writeln!(
        svg,
        "<text x=\"4\" y=\"13\">{span} ms, hosts {}</text>",
        hosts.len()
    );
    for (index, line) in lines.iter().enumerate() {
        let x = NAME_COLUMN_WIDTH + (line.stamp.millis() - first) * TIME_AXIS_WIDTH / span;
        let y = ROW_HEIGHT * (index as u64 + 2);
        let hue = host_hue(&line.host);
        let host = escape(&line.host);
        let description = escape(&format!("{} {}", line.kind.name(), line.detail));
        let _ = writeln!(
            svg,
            "<text x=\"4\" y=\"{y}\">{host}</text>\
             <circle cx=\"{x}\" cy=\"{}\" r=\"4\" fill=\"hsl({hue},60%,45%)\"/>\
             <text x=\"{}\" y=\"{y}\">+{} ms {description}</text>",
            y - 4,
            x + 8,
            line.stamp.millis() - first,
        );
    }
    svg + "</svg>\n"
}

/// The hue of a host's colour, in degrees.
fn host_hue(host: &str) -> u32 {
    host.bytes()
        .fold(0, |hue, byte| (hue * 31 + u32::from(byte)) % 360)
}

/// Escapes text for use in XML.
pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
