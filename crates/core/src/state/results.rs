//! The numbers of operators' commands, and what was answered to each.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Refusal;
use crate::id;

use super::Command;

/// How many answers are kept.
const MAX_RESULTS: usize = 10_000;

/// What was answered to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResult {
    /// Who gave it.
    pub operator: id::Operator,
    /// Its line.
    pub line: String,
    /// The revision that it made, or the reason why it was refused.
    #[serde(rename = "answer")]
    pub result: Result<id::Revision, Refusal>,
}

/// The answers to the commands, by number.
///
/// A number is answered once: again from the same operator with the same line it gets the first
/// answer; from another operator, or with another line, a conflict that names the first. Lookup is
/// logarithmic; memory is bounded by ten thousand lines, the oldest of which go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResults {
    #[serde(rename = "done")]
    results: BTreeMap<u64, CommandResult>,
    #[serde(rename = "order")]
    insertion_order: VecDeque<u64>,
    /// The highest number of each operator whose answer is not kept any more.
    #[serde(rename = "dropped")]
    highest_evicted: BTreeMap<id::Operator, u64>,
}

impl CommandResults {
    /// The answer to `command`, if its number was used before.
    #[must_use]
    pub fn get(&self, command: &Command) -> Option<Result<id::Revision, Refusal>> {
        let Some(done) = self.results.get(&command.number) else {
            return self.reject_evicted(command).map(Err);
        };
        if done.operator == command.operator && done.line == command.line {
            return Some(done.result.clone());
        }
        let (operator, line) = (&done.operator, &done.line);
        let why = format!(
            "number {} was used by `{operator}` for: {line}",
            command.number
        );
        Some(Err(Refusal::new(Code::Conflict, why)))
    }

    fn reject_evicted(&self, command: &Command) -> Option<Refusal> {
        let dropped = self.highest_evicted.get(&command.operator)?;
        let why = format!(
            "number {} is too old: its answer is not kept",
            command.number
        );
        (command.number <= *dropped).then(|| Refusal::new(Code::Conflict, why))
    }

    /// Keeps the answer to `command`.
    pub fn put(&mut self, command: &Command, answer: Result<id::Revision, Refusal>) {
        let done = CommandResult {
            operator: command.operator.clone(),
            line: command.line.clone(),
            result: answer,
        };
        self.results.insert(command.number, done);
        self.insertion_order.push_back(command.number);
        while self.insertion_order.len() > MAX_RESULTS {
            let Some(number) = self.insertion_order.pop_front() else {
                return;
            };
            let Some(done) = self.results.remove(&number) else {
                continue;
            };
            let dropped = self.highest_evicted.entry(done.operator).or_insert(number);
            *dropped = (*dropped).max(number);
        }
    }
}
