//! Counts a day's requests by outcome, grouped by a common property.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use super::day::Day;
use super::day::EndedRequest;
use super::day::Outcome;

/// The property that requests are grouped by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum By {
    /// The routing rule.
    Rule,
    /// The rank, which is the urgency.
    Rank,
    /// The customer.
    Customer,
    /// The second in which the request ended.
    Second,
    /// The reason of the outcome.
    Reason,
}

impl FromStr for By {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, &'static str> {
        match text {
            "rule" => Ok(Self::Rule),
            "rank" => Ok(Self::Rank),
            "customer" => Ok(Self::Customer),
            "second" => Ok(Self::Second),
            "reason" => Ok(Self::Reason),
            _ => Err("give rule, rank, customer, second or reason"),
        }
    }
}

/// What the requests of a customer got.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// The number of requests that were sent to a server.
    pub(super) begun: u32,
    /// The time that they were there, in milliseconds.
    pub(super) slot_ms: u64,
}

/// The requests of a row, counted by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Row {
    pub(super) in_time: u32,
    pub(super) late: u32,
    pub(super) refused: u32,
    pub(super) failed: u32,
    pub(super) cut: u32,
    pub(super) left: u32,
    /// The number of requests at servers at the end of the second; only in rows of seconds.
    pub(super) running: Option<i64>,
    /// What the requests got; only in rows of customers.
    pub(super) usage: Option<Usage>,
}

impl Row {
    fn add(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::InTime => &mut self.in_time,
            Outcome::Late => &mut self.late,
            Outcome::Refused => &mut self.refused,
            Outcome::Failed => &mut self.failed,
            Outcome::Cut => &mut self.cut,
            Outcome::Left => &mut self.left,
        };
        *count += 1;
    }

    /// The number of all requests.
    pub(super) fn total(&self) -> u32 {
        self.in_time + self.late + self.refused + self.failed + self.cut + self.left
    }

    /// The counts, in the order of the columns.
    pub(super) fn counts(&self) -> [u32; 6] {
        [
            self.in_time,
            self.late,
            self.refused,
            self.failed,
            self.cut,
            self.left,
        ]
    }
}

/// The headings of the counts.
pub(super) const OUTCOME_COLUMNS: [&str; 6] =
    ["in time", "late", "refused", "failed", "cut", "left"];

/// A day's requests, counted by group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    pub(super) rows: Vec<(String, Row)>,
}

impl Table {
    /// Counts the requests of a day by `by`.
    pub(crate) fn new(day: &Day, by: By) -> Self {
        if by == By::Second {
            return Self::by_second(day);
        }
        let mut rows: BTreeMap<String, Row> = BTreeMap::new();
        for request in &day.ended {
            let name = match by {
                By::Rule => &request.rule,
                By::Rank => &request.rank,
                By::Customer => &request.customer,
                By::Second | By::Reason => &request.reason,
            };
            let row = rows.entry(name.clone()).or_default();
            row.add(request.outcome);
            if by == By::Customer {
                let usage = row.usage.get_or_insert_default();
                usage.begun += u32::from(request.begun);
                usage.slot_ms += request.slot_ms;
            }
        }
        let mut rows: Vec<_> = rows.into_iter().collect();
        if by == By::Reason {
            rows.sort_by_key(|(_, row)| std::cmp::Reverse(row.total()));
        }
        Self { rows }
    }

    fn by_second(day: &Day) -> Self {
        let mut seconds: BTreeMap<i64, Row> = BTreeMap::new();
        let second_and_outcome =
            |request: &EndedRequest| request.second.map(|second| (second, request.outcome));
        for (second, outcome) in day.ended.iter().filter_map(second_and_outcome) {
            seconds.entry(second).or_default().add(outcome);
        }
        for second in day.running_change.keys() {
            seconds.entry(*second).or_default();
        }
        let mut running = 0;
        for (second, row) in &mut seconds {
            running += day.running_change.get(second).copied().unwrap_or(0);
            row.running = Some(running);
        }
        let rows = seconds.into_iter();
        Self {
            rows: rows
                .map(|(second, row)| (second.to_string(), row))
                .collect(),
        }
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.rows.iter().map(|(name, _)| name.chars().count());
        let width = names.max().unwrap_or(0).max(8);
        write!(f, "{:width$}  {:>7}", "", "asked")?;
        for column in OUTCOME_COLUMNS {
            write!(f, "  {column:>7}")?;
        }
        let has_running = self.rows.iter().any(|(_, row)| row.running.is_some());
        if has_running {
            write!(f, "  {:>7}", "running")?;
        }
        let has_usage = self.rows.iter().any(|(_, row)| row.usage.is_some());
        if has_usage {
            write!(f, "  {:>7}  {:>9}", "begun", "slot s")?;
        }
        writeln!(f)?;
        for (name, row) in &self.rows {
            write!(f, "{name:width$}  {:>7}", row.total())?;
            for count in row.counts() {
                write!(f, "  {count:>7}")?;
            }
            if let Some(running) = row.running {
                write!(f, "  {running:>7}")?;
            }
            if let Some(Usage { begun, slot_ms }) = row.usage {
                let (seconds, tenths) = (slot_ms / 1_000, slot_ms % 1_000 / 100);
                write!(f, "  {begun:>7}  {seconds:>7}.{tenths}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
