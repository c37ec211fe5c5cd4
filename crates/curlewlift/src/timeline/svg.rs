//! A time line as a picture.

use std::collections::BTreeSet;
use std::fmt::Write;

use curlewlift_core::event::Line;

/// Width of the names' column, in pixels.
const NAMES: u64 = 90;

/// Width of the time axis, in pixels.
const WIDTH: u64 = 900;

/// Height of an event's row, in pixels.
const ROW: u64 = 18;

/// The events as a self-contained SVG: a lane a host, a row an event, time from left to right.
pub(crate) fn draw(lines: &[Line]) -> String {
    let hosts: BTreeSet<_> = lines.iter().map(|line| line.host.as_str()).collect();
    let first = lines.first().map_or(0, |line| line.stamp.millis());
    let last = lines.last().map_or(0, |line| line.stamp.millis());
    let span = (last - first).max(1);
    let height = ROW * (lines.len() as u64 + 2);
    let width = NAMES + WIDTH + 420;
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
    for (place, line) in lines.iter().enumerate() {
        let x = NAMES + (line.stamp.millis() - first) * WIDTH / span;
        let y = ROW * (place as u64 + 2);
        let hue = hue(&line.host);
        let host = escape(&line.host);
        let what = escape(&format!("{} {}", line.kind.name(), line.detail));
        let _ = writeln!(
            svg,
            "<text x=\"4\" y=\"{y}\">{host}</text>\
             <circle cx=\"{x}\" cy=\"{}\" r=\"4\" fill=\"hsl({hue},60%,45%)\"/>\
             <text x=\"{}\" y=\"{y}\">+{} ms {what}</text>",
            y - 4,
            x + 8,
            line.stamp.millis() - first,
        );
    }
    svg + "</svg>\n"
}

/// A colour for a host.
fn hue(host: &str) -> u32 {
    host.bytes()
        .fold(0, |hue, byte| (hue * 31 + u32::from(byte)) % 360)
}

pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
