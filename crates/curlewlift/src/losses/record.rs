//! Parses a line of a gateway's decision log.

use serde::Deserialize;

/// The fields of a log line that show how a request ended.
///
/// Log collectors put the time in seconds before each line, and may put more fields between: `12.345 host {...}`.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Record {
    /// The collector's time in seconds; none if the line has none.
    #[serde(skip)]
    pub(super) time_s: Option<f64>,
    pub(super) event: u16,
    #[serde(default)]
    pub(super) request: String,
    pub(super) rule: Option<String>,
    pub(super) customer: Option<String>,
    pub(super) rank: Option<String>,
    /// The latency objective of the request, in milliseconds.
    pub(super) objective_ms: Option<u64>,
    /// The objective for the longest pause between two chunks of a stream, in milliseconds.
    pub(super) pause_ms: Option<u64>,
    /// The time from the request's arrival to this line, in milliseconds.
    pub(super) after_ms: Option<u64>,
    /// The time from the start of the last attempt to the head of the response, in milliseconds.
    pub(super) first_ms: Option<u64>,
    /// The longest pause between two chunks, in milliseconds.
    pub(super) longest_ms: Option<u64>,
    /// How the response was delivered: `whole`, `stream` or `cut`.
    pub(super) how: Option<String>,
    pub(super) status: Option<u16>,
    /// The number of the refusal's result code.
    pub(super) code: Option<u16>,
}

impl Record {
    /// Parses a line; none if it is not a line of a decision log or is incomplete.
    pub(super) fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        let (prefix, object) = line.split_at(start);
        let record: Self = serde_json::from_str(object.trim_end()).ok()?;
        let first = prefix.split_whitespace().next();
        let time_s = first.and_then(|first| first.parse().ok());
        let time_s = time_s.filter(|time_s: &f64| time_s.is_finite());
        Some(Self { time_s, ..record })
    }
}
