//! The results of operators' commands, by command number.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::code::Refusal;
use crate::id;

use super::Command;

/// Maximum number of stored results.
const MAX_RESULTS: usize = 10_000;

/// A command and its result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResult {
    /// The operator who sent it.
    pub operator: id::Operator,
    /// The text of the command.
    pub line: String,
    /// The revision that it created, or the reason why it was refused.
    #[serde(rename = "answer")]
    pub result: Result<id::Revision, Refusal>,
}

/// The results of commands, by command number.
///
/// A command is executed once per number. If the same operator sends the same line under that
/// number again, it gets the first result; another operator or another line gets a conflict that
/// names the first command. Lookup takes logarithmic time. Ten thousand results are stored; beyond
/// that, the oldest are dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandResults {
    #[serde(rename = "done")]
    results: BTreeMap<u64, CommandResult>,
    #[serde(rename = "order")]
    insertion_order: VecDeque<u64>,
    /// For each operator, the highest command number whose result has been dropped.
    #[serde(rename = "dropped")]
    highest_evicted: BTreeMap<id::Operator, u64>,
}

impl CommandResults {
    /// The result of `command`, if its number was used before.
    #[must_use]
    pub fn get(&self, command: &Command) -> Option<Result<id::Revision, Refusal>> {
        let Some(stored) = self.results.get(&command.number) else {
            return self.reject_evicted(command).map(Err);
        };
        if stored.operator == command.operator && stored.line == command.line {
            return Some(stored.result.clone());
        }
        let (operator, line) = (&stored.operator, &stored.line);
        let message = format!(
            "number {} was used by `{operator}` for: {line}",
            command.number
        );
        Some(Err(Refusal::new(Code::Conflict, message)))
    }

    fn reject_evicted(&self, command: &Command) -> Option<Refusal> {
        let highest = self.highest_evicted.get(&command.operator)?;
        let message = format!(
            "number {} is too old: its result is no longer stored",
            command.number
        );
        (command.number <= *highest).then(|| Refusal::new(Code::Conflict, message))
    }

    /// Stores the result of `command`.
    pub fn put(&mut self, command: &Command, result: Result<id::Revision, Refusal>) {
        let stored = CommandResult {
            operator: command.operator.clone(),
            line: command.line.clone(),
            result,
        };
        self.results.insert(command.number, stored);
        self.insertion_order.push_back(command.number);
        while self.insertion_order.len() > MAX_RESULTS {
            let Some(number) = self.insertion_order.pop_front() else {
                return;
            };
            let Some(stored) = self.results.remove(&number) else {
                continue;
            };
            let highest = self
                .highest_evicted
                .entry(stored.operator)
                .or_insert(number);
            *highest = (*highest).max(number);
        }
    }
}
