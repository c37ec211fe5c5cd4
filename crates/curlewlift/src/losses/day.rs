//! Determines how each request of a day ended.

use std::collections::HashMap;
use std::collections::HashSet;

use curlewlift_core::code::Code;
use curlewlift_core::event::Kind;

use super::record::Record;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Responded to within its objective.
    InTime,
    /// Responded to after its objective, or with longer pauses than its objective allows.
    Late,
    /// Refused by a gateway.
    Refused,
    /// The server responded with an error status.
    Failed,
    /// The response was cut off.
    Cut,
    /// The caller disconnected.
    Left,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub(super) struct EndedRequest {
    /// The second in which it ended; none if the logs have no times.
    pub(super) second: Option<i64>,
    pub(super) rule: String,
    pub(super) customer: String,
    pub(super) rank: String,
    pub(super) outcome: Outcome,
    /// Whether it was sent to a server.
    pub(super) begun: bool,
    /// The time that its attempts took, in milliseconds.
    pub(super) slot_ms: u64,
    /// The reason of the outcome: a code name or a short phrase.
    pub(super) reason: String,
}

/// The requests of a day, read from gateways' logs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Day {
    pub(super) ended: Vec<EndedRequest>,
    /// The net change of the number of requests at servers, by second.
    pub(super) running_change: HashMap<i64, i64>,
    /// The last `sent` line of each request that has not ended.
    sent: HashMap<String, Record>,
    /// The requests that are at a server.
    at_servers: HashSet<String>,
    /// The time that the attempts of requests that have not ended took, in milliseconds.
    slot_ms: HashMap<String, u64>,
    /// The number of lines that could not be parsed or are not about a request's attempts or end.
    skipped_lines: usize,
}

impl Day {
    /// Reads a log; skips and counts incomplete lines and lines of other programs.
    pub(crate) fn read(&mut self, log: &str) {
        for line in log.lines() {
            match Record::parse(line) {
                Some(record) => self.add(record),
                None => self.skipped_lines += 1,
            }
        }
    }

    /// The number of lines that were skipped.
    pub(crate) fn get_skipped_lines(&self) -> usize {
        self.skipped_lines
    }

    /// Adds a parsed line.
    fn add(&mut self, record: Record) {
        let kind = Kind::try_from(record.event);
        match kind {
            Ok(Kind::Sent) => self.start_attempt(record),
            Ok(Kind::SendingFailed) => self.leave_server(&record),
            Ok(Kind::Ended | Kind::Refused | Kind::CallerLeft) => self.end_request(record),
            _ => self.skipped_lines += 1,
        }
    }

    fn change_running(&mut self, time_s: Option<f64>, change: i64) {
        if let Some(second) = whole_second(time_s) {
            *self.running_change.entry(second).or_default() += change;
        }
    }

    fn start_attempt(&mut self, record: Record) {
        self.change_running(record.time_s, 1);
        self.at_servers.insert(record.request.clone());
        self.sent.insert(record.request.clone(), record);
    }

    /// Notes that a request is no longer at a server.
    fn leave_server(&mut self, record: &Record) {
        if self.at_servers.remove(&record.request) {
            self.change_running(record.time_s, -1);
            let sent = self.sent.get(&record.request);
            let sent_ms = sent.and_then(|sent| sent.after_ms);
            if let (Some(sent_ms), Some(after_ms)) = (sent_ms, record.after_ms) {
                let slot_ms = self.slot_ms.entry(record.request.clone()).or_default();
                *slot_ms += after_ms.saturating_sub(sent_ms);
            }
        }
    }

    /// Records how a request ended, with what its last `sent` line adds.
    fn end_request(&mut self, record: Record) {
        self.leave_server(&record);
        let sent = self.sent.remove(&record.request);
        let begun = sent.is_some();
        let sent = sent.unwrap_or_default();
        let (outcome, reason) = classify(&record, &sent);
        let first_known = |ended: Option<String>, sent: Option<String>| {
            ended.or(sent).unwrap_or_else(|| "-".to_owned())
        };
        self.ended.push(EndedRequest {
            second: whole_second(record.time_s),
            rule: first_known(record.rule, sent.rule),
            customer: first_known(record.customer, sent.customer),
            rank: first_known(record.rank, sent.rank),
            outcome,
            begun,
            slot_ms: self.slot_ms.remove(&record.request).unwrap_or(0),
            reason,
        });
    }
}

#[allow(clippy::cast_possible_truncation, reason = "seconds of a day")]
fn whole_second(time_s: Option<f64>) -> Option<i64> {
    time_s.map(|time_s| time_s.floor() as i64)
}

/// The outcome of a request that ended with `record`, and the reason.
fn classify(record: &Record, sent: &Record) -> (Outcome, String) {
    if let Some(code) = record.code {
        let code_name = Code::try_from(code);
        let name = code_name.map_or_else(|_| code.to_string(), |code| code.name().to_owned());
        return (Outcome::Refused, name);
    }
    if record.how.as_deref() == Some("cut") {
        return (Outcome::Cut, "cut".to_owned());
    }
    let Some(status) = record.status else {
        return (Outcome::Left, "caller left".to_owned());
    };
    if status >= 400 {
        return (Outcome::Failed, format!("server answered {status}"));
    }
    let first_byte_ms = sent.after_ms.unwrap_or(0) + record.first_ms.unwrap_or(0);
    let is_stream = record.how.as_deref() == Some("stream");
    let latency_ms = if is_stream {
        first_byte_ms
    } else {
        record.after_ms.unwrap_or(first_byte_ms)
    };
    if sent
        .objective_ms
        .is_some_and(|objective| latency_ms > objective)
    {
        return (Outcome::Late, "late".to_owned());
    }
    let longest_pause_ms = record.longest_ms.unwrap_or(0);
    if sent.pause_ms.is_some_and(|pause| longest_pause_ms > pause) {
        return (Outcome::Late, "paused".to_owned());
    }
    (Outcome::InTime, "in time".to_owned())
}
