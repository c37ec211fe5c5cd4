//! What became of each request of a day.

use std::collections::HashMap;
use std::collections::HashSet;

use curlewlift_core::code::Code;
use curlewlift_core::event::Kind;

use super::record::Record;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// Answered within its objective.
    InTime,
    /// Answered later, or with longer pauses than wanted.
    Late,
    /// Turned away by a gateway.
    Refused,
    /// Its server failed it.
    Failed,
    /// Its answer broke off.
    Cut,
    /// Its caller went away.
    Left,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub(super) struct Fate {
    /// The second in which it ended; none where the logs have no times.
    pub(super) second: Option<i64>,
    pub(super) rule: String,
    pub(super) customer: String,
    pub(super) rank: String,
    pub(super) outcome: Outcome,
    /// Why, in a word or two.
    pub(super) reason: String,
}

/// What became of each request of a day.
#[derive(Clone, Debug, Default)]
pub(crate) struct Day {
    pub(super) fates: Vec<Fate>,
    /// By second, how many more requests were at servers at its end than at its beginning.
    pub(super) running: HashMap<i64, i64>,
    /// What is known of requests that have been sent.
    sent: HashMap<String, Record>,
    /// Those that are at a server.
    at_servers: HashSet<String>,
    /// How many lines told nothing of a request, or could not be read.
    skipped_lines: usize,
}

impl Day {
    /// Reads a log; lines that are cut, or another program's, are passed over.
    pub(crate) fn read(&mut self, log: &str) {
        for line in log.lines() {
            match Record::read(line) {
                Some(record) => self.take(record),
                None => self.skipped_lines += 1,
            }
        }
    }

    /// How many lines could not be read or were no gateway's.
    pub(crate) fn get_skipped_lines(&self) -> usize {
        self.skipped_lines
    }

    fn take(&mut self, record: Record) {
        let kind = Kind::try_from(record.event);
        match kind {
            Ok(Kind::Sent) => self.begin(record),
            Ok(Kind::SendingFailed) => self.ran(&record),
            Ok(Kind::Ended | Kind::Refused | Kind::CallerLeft) => self.end(record),
            _ => self.skipped_lines += 1,
        }
    }

    fn run(&mut self, at: Option<f64>, change: i64) {
        if let Some(second) = second(at) {
            *self.running.entry(second).or_default() += change;
        }
    }

    fn begin(&mut self, record: Record) {
        self.run(record.at, 1);
        self.at_servers.insert(record.request.clone());
        self.sent.insert(record.request.clone(), record);
    }

    /// A request is not at a server any more.
    fn ran(&mut self, record: &Record) {
        if self.at_servers.remove(&record.request) {
            self.run(record.at, -1);
        }
    }

    fn end(&mut self, record: Record) {
        self.ran(&record);
        let sent = self.sent.remove(&record.request).unwrap_or_default();
        let (outcome, reason) = outcome(&record, &sent);
        let known = |here: Option<String>, before: Option<String>| {
            here.or(before).unwrap_or_else(|| "-".to_owned())
        };
        self.fates.push(Fate {
            second: second(record.at),
            rule: known(record.rule, sent.rule),
            customer: known(record.customer, sent.customer),
            rank: known(record.rank, sent.rank),
            outcome,
            reason,
        });
    }
}

#[allow(clippy::cast_possible_truncation, reason = "seconds of a day")]
fn second(at: Option<f64>) -> Option<i64> {
    at.map(|at| at.floor() as i64)
}

/// What became of a request that ended with `record`, and why.
fn outcome(record: &Record, sent: &Record) -> (Outcome, String) {
    if let Some(code) = record.code {
        let known = Code::try_from(code);
        let name = known.map_or_else(|_| code.to_string(), |code| code.name().to_owned());
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
    let began = sent.after_ms.unwrap_or(0) + record.first_ms.unwrap_or(0);
    let is_stream = record.how.as_deref() == Some("stream");
    let took = if is_stream {
        began
    } else {
        record.after_ms.unwrap_or(began)
    };
    if sent.objective_ms.is_some_and(|objective| took > objective) {
        return (Outcome::Late, "late".to_owned());
    }
    let longest = record.longest_ms.unwrap_or(0);
    if sent.pause_ms.is_some_and(|pause| longest > pause) {
        return (Outcome::Late, "paused".to_owned());
    }
    (Outcome::InTime, "in time".to_owned())
}
