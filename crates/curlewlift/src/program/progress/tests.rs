//! When the progress of a transfer is written.

use super::*;

/// Short transfers flashed a line, and long ones wrote one for each packet.
#[test]
fn shown_at_intervals() {
    let start = Instant::now();
    let mut progress = Progress::new("sent", start);
    let cases = [
        (0, 0, Some(5_000_000), None),
        (499, 100_000, Some(5_000_000), None),
        (500, 1_249_999, Some(5_000_000), Some("sent 1.2 of 5.0 MB")),
        (600, 1_300_000, Some(5_000_000), None),
        (700, 5_000_000, None, Some("sent 5.0 MB")),
    ];
    assert_eq!(progress.finish(), "", "nothing was shown");
    for (millis, bytes, total, expected) in cases {
        let now = start + Duration::from_millis(millis);
        let text = progress.update(Transfer { bytes, total }, now);
        let expected = expected.map(|expected| format!("{CLEAR_LINE}{expected}"));
        assert_eq!(text, expected, "after {millis} ms");
    }
    assert_eq!(progress.finish(), CLEAR_LINE);
}
